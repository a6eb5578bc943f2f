"""The back ends that a gate stands before: a registry of adapters."""

import json
from dataclasses import dataclass, field

from ..kernel.errors import (
    BackendError,
    ConnectError,
    ExchangeError,
    OrderError,
    OutcomeUnknownError,
    OverloadedError,
    UnavailableError,
)
from ..kernel.network import HttpRequest, fetch
from ..kernel.registry import Registry

backends = Registry("back end")

STATUS_TIMEOUT_S = 1.0
STREAM_SILENCE_S = 10.0
# Statuses by which an engine says that it did not take a request.
REFUSED_STATUSES = {
    404: UnavailableError,
    409: UnavailableError,
    429: OverloadedError,
    503: OverloadedError,
}


@dataclass(frozen=True)
class BackendStatus:
    """What a back end says about itself.

    :param loaded: the version served, by model or adapter.
    :param running: requests that run, as far as it reports that.
    """

    incarnation: str
    loaded: dict = field(default_factory=dict)
    running: int = 0


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
        return BackendStatus(body["incarnation"], loaded, body.get("running", 0))

    def generate(self, body, guard=None):
        """Send a generation and return its stream of frames.

        :param guard: called right before the first byte.
        :raises UnavailableError: if nothing was sent, or the engine did not take it.
        :raises OverloadedError: if the engine refused for load.
        :raises OutcomeUnknownError: if the engine may have started.
        """
        request = HttpRequest(
            "POST",
            "/generate",
            json.dumps(body).encode(),
            timeout_s=STREAM_SILENCE_S,
            fresh=True,
            before_send=guard,
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
            refusal = f"the engine refused with {response.status}"
            raise REFUSED_STATUSES[response.status](refusal)
        raise BackendError(f"the engine answered {response.status}")

    def cancel(self, request_id):
        """Tell the engine that nobody waits for `request_id` any more.

        :returns: whether the request is known not to run: the engine answered, or
            nothing listens at its address.
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

    def call(self, method, path, body, request_id, timeout_s, guard=None):
        """Pass a call on and return status, headers and body.

        :param guard: called right before the first byte.
        :raises UnavailableError: if nothing was sent.
        :raises OutcomeUnknownError: if the service may have run it.
        """
        request = HttpRequest(
            method,
            f"/call/{path}",
            body,
            {"x-request-id": request_id},
            max(0.001, timeout_s),
            fresh=True,
            before_send=guard,
        )
        try:
            return fetch(self._network, self._address, request)
        except ConnectError as error:
            raise UnavailableError(str(error)) from error
        except ExchangeError as error:
            raise OutcomeUnknownError(str(error)) from error
