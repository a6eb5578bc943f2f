"""The back ends that a gate stands before: a registry of adapters."""

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

backends = Registry("back end")

STATUS_TIMEOUT_S = 1.0
STREAM_SILENCE_S = 10.0


@dataclass(frozen=True)
class BackendStatus:
    """What a back end says about itself.

    :param loaded: the version served, by model or adapter.
    """

    incarnation: str
    loaded: dict = field(default_factory=dict)


class Backend:
    """Base of the adapters.

    :param address: where the back end listens.
    """

    def __init__(self, network, address):
        self._network = network
        self._address = address

    def status(self):
        """Return the back end's status.

        :raises UnavailableError: if it doesn't answer.
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
            raise UnavailableError(f"{self._address}: status {status}")
        return json.loads(body)


@backends.register("engine")
class EngineBackend(Backend):
    """A model engine."""

    def status(self):
        body = self._get_status()
        entries = {**body["loaded"], **body["adapters"]}
        loaded = {name: entry["version"] for name, entry in entries.items()}
        return BackendStatus(body["incarnation"], loaded)

    def generate(self, body):
        """Send a generation and return its stream of frames.

        :raises UnavailableError: if nothing was sent.
        :raises OutcomeUnknownError: if the engine may have started.
        """
        request = HttpRequest(
            "POST",
            "/generate",
            json.dumps(body).encode(),
            timeout_s=STREAM_SILENCE_S,
            fresh=True,
        )
        try:
            response = self._network.send(self._address, request)
        except ConnectError as error:
            raise UnavailableError(str(error)) from error
        except ExchangeError as error:
            raise OutcomeUnknownError(str(error)) from error
        if response.status == 404:
            response.close()
            raise UnavailableError("the engine has not loaded what was asked for")
        if response.status != 200:
            response.close()
            raise BackendError(f"the engine answered {response.status}")
        return response

    def cancel(self, request_id):
        """Tell the engine that nobody waits for `request_id` any more."""
        body = json.dumps({"request_id": request_id}).encode()
        request = HttpRequest("POST", "/cancel", body, timeout_s=STATUS_TIMEOUT_S)
        try:
            fetch(self._network, self._address, request)
        except (ConnectError, ExchangeError):
            return

    def order(self, body, timeout_s):
        """Send an order and return the engine's answer.

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
            raise OrderError(f"the order's answer was lost: {error}") from error
        if status != 200:
            raise OrderError(f"the engine answered {status}: {answer.decode()}")
        return json.loads(answer)


@backends.register("service")
class ServiceBackend(Backend):
    """A plain service."""

    def call(self, method, path, body, request_id, timeout_s):
        """Pass a call on and return status, headers and body.

        :raises UnavailableError: if nothing was sent.
        :raises OutcomeUnknownError: if the service may have run it.
        """
        request = HttpRequest(
            method,
            f"/call/{path}",
            body,
            {"x-request-id": request_id},
            timeout_s,
            fresh=True,
        )
        try:
            return fetch(self._network, self._address, request)
        except ConnectError as error:
            raise UnavailableError(str(error)) from error
        except ExchangeError as error:
            raise OutcomeUnknownError(str(error)) from error
