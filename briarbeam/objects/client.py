"""Clients of the platform's object API, instance list and origin of weights.

All calls have a timeout. `PlatformUnavailableError` means that a call had no effect.
`PlatformUnknownError` means that a write may have taken effect and has to be read back.
"""

import json
from dataclasses import dataclass

from prometheus_client import Counter

from ..kernel.clock import SystemClock
from ..kernel.errors import (
    ChunkUnavailableError,
    ConflictError,
    ConnectError,
    ExchangeError,
    NetworkError,
    NotFoundError,
    OriginRefusedError,
    PlatformUnavailableError,
    PlatformUnknownError,
    TooLargeError,
)
from ..kernel.lenient_json import is_readable, parse_leniently
from ..kernel.network import HttpRequest, fetch
from .circuit import CircuitBreaker

_CALLS = Counter("briarbeam_platform_calls", "Calls to the platform", ["kind"])
_FAILURES = Counter("briarbeam_platform_failures", "Failed platform calls", ["kind"])
WATCH_SLACK_S = 2.0


@dataclass
class StoredObject:
    """An object that the platform stores.

    :param version: increases with every write of any object; 0 means absent.
    """

    kind: str
    name: str
    version: int
    value: dict


class ObjectApi:
    """Client of the platform's object API, with conditional updates and watches.

    :param timeout_s: the timeout of calls other than watches.
    :param circuit: the `CircuitBreaker`; by default one for this client alone.
    """

    def __init__(self, network, address, timeout_s=2.0, circuit=None):
        self._network = network
        self._address = address
        self._timeout_s = timeout_s
        self._circuit = circuit or CircuitBreaker(SystemClock())

    def get(self, kind, name, held_version=0):
        """Return an object, or None if it still has `held_version`.

        :param held_version: the version that the caller already has, or 0.
        :raises NotFoundError: if the object does not exist.
        """
        held = {"if-none-match": str(held_version)} if held_version else {}
        status, body = self._call("get", "GET", f"/objects/{kind}/{name}", headers=held)
        if status == 304:
            return None
        if status == 404:
            raise NotFoundError(f"no {kind} is called {name!r}")
        return StoredObject(kind, name, body["version"], body["value"])

    def list(self, kind):
        """Return all objects of `kind`."""
        _, body = self._call("list", "GET", f"/objects/{kind}")
        return [
            StoredObject(kind, item["name"], item["version"], item["value"])
            for item in body["items"]
        ]

    def put(self, kind, name, value, if_version=None):
        """Write an object and return its new version.

        :param if_version: the version it must have now; 0 if it must not exist, None
            for any.
        :raises ConflictError: if it has another version.
        :raises TooLargeError: if `value` exceeds the platform's size limit.
        :raises PlatformUnknownError: if the write may have taken effect.
        """
        condition = "" if if_version is None else f"?if_version={if_version}"
        status, body = self._call(
            "put", "PUT", f"/objects/{kind}/{name}{condition}", value
        )
        if status == 409:
            raise ConflictError(f"{kind} {name!r} has version {body['version']}")
        if status == 413:
            raise TooLargeError(f"{kind} {name!r} is above the platform's size limit")
        return body["version"]

    def delete(self, kind, name, if_version=None):
        """Delete an object.

        :raises ConflictError: if it has another version than `if_version`.
        """
        condition = "" if if_version is None else f"?if_version={if_version}"
        status, body = self._call(
            "delete", "DELETE", f"/objects/{kind}/{name}{condition}"
        )
        if status == 409:
            raise ConflictError(f"{kind} {name!r} has version {body['version']}")

    def watch(self, kind, name, after_version, wait_s):
        """Return the object once its version is above `after_version`.

        :param wait_s: seconds to wait for a change.
        :returns: the object, or None if it did not change or does not exist.
        """
        path = f"/watch/{kind}/{name}?after={after_version}&wait_s={wait_s}"
        status, body = self._call(
            "watch", "GET", path, timeout_s=wait_s + WATCH_SLACK_S
        )
        if status == 404 or body.get("version", 0) <= after_version:
            return None
        return StoredObject(kind, name, body["version"], body["value"])

    def instances(self, held_revision=0):
        """Return the revision and the entries of the instance list, which may lag.

        Entries that can't be decoded are left out.

        :param held_revision: the revision that the caller already has, or 0.
        :returns: the pair, or None if the list still has `held_revision`.
        """
        held = {"if-none-match": str(held_revision)} if held_revision else {}
        status, body = self._call("instances", "GET", "/instances", headers=held)
        if status == 304:
            return None
        return body["revision"], [i for i in body["instances"] if is_readable(i)]

    def _call(self, kind, method, path, value=None, timeout_s=None, headers=None):
        self._circuit.before_call()
        _CALLS.labels(kind).inc()
        body = b"" if value is None else json.dumps(value).encode()
        is_write = method != "GET"
        request = HttpRequest(
            method,
            path,
            body,
            headers or {},
            timeout_s or self._timeout_s,
            fresh=is_write,
        )
        try:
            status, headers, raw = fetch(self._network, self._address, request)
            answer = parse_leniently(raw or b"{}")
            if kind != "instances" and not is_readable(answer):
                raise ValueError(f"answer to {path} has unreadable values")
        except (ConnectError, ExchangeError, ValueError) as error:
            self._circuit.record_failure()
            _FAILURES.labels(kind).inc()
            may_have_applied = is_write and not isinstance(error, ConnectError)
            error_type = (
                PlatformUnknownError if may_have_applied else PlatformUnavailableError
            )
            raise error_type(str(error), retry_after_s=1.0) from error
        if status < 500 and status != 429:
            self._circuit.record_success()
            return status, answer
        _FAILURES.labels(kind).inc()
        raise self._error_for_status(
            f"{method} {path}: status {status}", status, headers
        )

    def _error_for_status(self, message, status, headers):
        retry_after_s = float(headers.get("retry-after", 1.0))
        if status == 429:
            self._circuit.record_refusal(retry_after_s)
        else:
            self._circuit.record_failure()
        if status in (429, 503):
            return PlatformUnavailableError(message, retry_after_s=retry_after_s)
        return PlatformUnknownError(message, retry_after_s=retry_after_s)


class Origin:
    """Client of the origin of weights, which stores manifests and chunks by digest."""

    def __init__(self, network, address, timeout_s=5.0):
        self._network = network
        self._address = address
        self._timeout_s = timeout_s

    def read(self, digest, read_body=lambda response: response.read()):
        """Return the bytes stored under `digest`, unverified.

        :param read_body: a function that reads the body of a response, so that the
            caller can limit its rate.
        :raises OriginRefusedError: if the origin answers with a status other than 200.
        :raises ChunkUnavailableError: if the origin can't be reached or the response
            breaks off.
        """
        _CALLS.labels("origin").inc()
        request = HttpRequest("GET", f"/blobs/{digest}", timeout_s=self._timeout_s)
        try:
            response = self._network.send(self._address, request)
            try:
                if response.status == 200:
                    return read_body(response)
            finally:
                response.close()
        except NetworkError as error:
            _FAILURES.labels("origin").inc()
            raise ChunkUnavailableError(str(error), retry_after_s=1.0) from error
        _FAILURES.labels("origin").inc()
        raise OriginRefusedError(
            f"the origin answered {response.status} for {digest}",
            retry_after_s=float(response.headers.get("retry-after", 1.0)),
        )
