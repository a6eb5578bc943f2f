"""Clients of the backends behind a gate, in a registry by backend type."""

import json
from dataclasses import dataclass, field

from ..kernel.errors import (
    BackendError,
    ConnectError,
    ExchangeError,
    OrderError,
    OutcomeUnknownError,
    UnavailableError,
)
from ..kernel.network import HttpRequest, fetch
from ..kernel.registry import Registry

backends = Registry("backend")

STATUS_TIMEOUT_S = 1.0
ENGINE_SILENCE_TIMEOUT_S = 10.0
# Status codes by which an engine states that it did not accept a request: it lacks the
# model, or has another version.
REFUSED_STATUSES = frozenset({404, 409})
# Status codes of failures that may come before or after a request has run.
AMBIGUOUS_STATUSES = frozenset({408, 429, 503})


@dataclass(frozen=True)
class BackendStatus:
    """The status reported by a backend.

    :param loaded_versions: the version served, by model or adapter.
    :param running: number of running requests, or 0 if it does not report that.
    """

    incarnation: str
    loaded_versions: dict = field(default_factory=dict)
    running: int = 0


class Backend:
    """Base class of the backend clients.

    :param address: the `Address` at which the backend listens.
    """

    def __init__(self, network, address):
        self._network = network
        self._address = address

    def status(self):
        """Return the status of the backend.

        :raises UnavailableError: if it does not answer.
        """
        body = self._get_status()
        return BackendStatus(body["incarnation"])

    def _get_status(self):
        request = HttpRequest("GET", "/status", timeout_s=STATUS_TIMEOUT_S)
        try:
            status, _, body = fetch(self._network, self._address, request)
        except (ConnectError, ExchangeError) as error:
            raise UnavailableError(str(error)) from error
        if status != 200:
            raise UnavailableError(f"GET /status of {self._address}: status {status}")
        return json.loads(body)


@backends.register("engine")
class EngineBackend(Backend):
    """A model engine."""

    def status(self):
        body = self._get_status()
        entries = {**body["loaded"], **body["adapters"]}
        loaded_versions = {name: entry["version"] for name, entry in entries.items()}
        return BackendStatus(
            body["incarnation"], loaded_versions, body.get("running", 0)
        )

    def generate(self, body, before_send=None):
        """Send a generation request and return the response, a stream of frames.

        :param before_send: function called right before the first byte is sent.
        :raises UnavailableError: if nothing was sent, or the engine did not accept it.
        :raises OutcomeUnknownError: if the engine may have started the request.
        :raises BackendError: if the engine answered with another error status.
        """
        request = HttpRequest(
            "POST",
            "/generate",
            json.dumps(body).encode(),
            timeout_s=ENGINE_SILENCE_TIMEOUT_S,
            fresh=True,
            before_send=before_send,
        )
        try:
            response = self._network.send(self._address, request)
        except ConnectError as error:
            raise UnavailableError(str(error)) from error
        except ExchangeError as error:
            raise OutcomeUnknownError(str(error)) from error
        if response.status == 200:
            return response
        response.close()
        if response.status in REFUSED_STATUSES:
            raise UnavailableError(
                f"the engine refused the request: status {response.status}"
            )
        if response.status in AMBIGUOUS_STATUSES:
            raise OutcomeUnknownError(
                f"the engine answered {response.status}, which does not state that the "
                "request did not run"
            )
        raise BackendError(f"the engine failed the request: status {response.status}")

    def cancel(self, request_id):
        """Cancel the request `request_id` at the engine.

        :returns: whether the request is known not to run, because the engine confirmed
            the cancellation or nothing listens at its address.
        """
        body = json.dumps({"request_id": request_id}).encode()
        request = HttpRequest("POST", "/cancel", body, timeout_s=STATUS_TIMEOUT_S)
        try:
            status, _, _ = fetch(self._network, self._address, request)
        except ConnectError:
            return True
        except ExchangeError:
            return False
        return status == 200

    def order(self, body, timeout_s):
        """Send an order to serve a version, and return the engine's answer.

        :raises OrderError: if the engine refuses, or its answer is lost.
        """
        request = HttpRequest(
            "POST",
            "/orders",
            json.dumps(body).encode(),
            timeout_s=timeout_s,
            fresh=True,
        )
        try:
            status, _, answer = fetch(self._network, self._address, request)
        except (ConnectError, ExchangeError) as error:
            raise OrderError(f"answer to the order was lost: {error}") from error
        if status != 200:
            raise OrderError(
                f"the engine refused the order: status {status}, {answer.decode()}"
            )
        return json.loads(answer)


@backends.register("service")
class ServiceBackend(Backend):
    """A plain service."""

    def call(self, method, path, body, request_id, timeout_s, before_send=None):
        """Forward a call and return status, headers and body.

        :param before_send: function called right before the first byte is sent.
        :raises UnavailableError: if nothing was sent.
        :raises OutcomeUnknownError: if the service may have run the call, but did not
            reply, or not with a mark of the reply's end.
        """
        request = HttpRequest(
            method,
            f"/call/{path}",
            body,
            {"x-request-id": request_id},
            max(0.001, timeout_s),
            fresh=True,
            before_send=before_send,
        )
        try:
            status, headers, answer = fetch(self._network, self._address, request)
        except ConnectError as error:
            raise UnavailableError(str(error)) from error
        except ExchangeError as error:
            raise OutcomeUnknownError(str(error)) from error
        has_end = headers.keys() & {"content-length", "transfer-encoding"}
        if not has_end and status not in (204, 304):
            raise OutcomeUnknownError(
                f"the reply of {self._address} has neither a length nor chunks, so "
                f"that its {len(answer)} bytes may be a part"
            )
        return status, headers, answer
