"""Calls to a model engine and to the origin of weights."""

import enum
import json
from dataclasses import dataclass

from ..kernel.network import HttpRequest, fetch
from ..relay.errors import UpstreamError
from .records import decode_models

CALL_TIMEOUT_S = 1.0
# Connecting takes one round trip of a few milliseconds. To an unreachable machine it
# hangs, and a longer timeout would delay the detection that the machine is reachable
# again.
CONNECT_TIMEOUT_S = 0.3


class OrderResult(enum.Enum):
    """The answer of an engine to an order; any other answer counts as `REFUSED`."""

    BEGUN = "begun"
    IN_EFFECT = "in_effect"
    REFUSED = "refused"


@dataclass(frozen=True)
class EngineReport:
    """An engine's report of its own state.

    :param models: by name, the version of each model that it holds completely.
    :param busy: whether an order is in progress.
    :param accepted_orders: the number of orders accepted since its start.
    :param running: the number of requests that it runs.
    :param waiting: the number of requests in its queue.
    :param started_ms: Unix milliseconds of its start, 0 if not reported.
    :param slowdown: a factor, above 1 for an engine that is slower than usual.
    """

    models: dict
    busy: bool
    accepted_orders: int
    running: int
    waiting: int
    started_ms: int
    slowdown: float


@dataclass(frozen=True)
class Manifest:
    """The SHA-256 digests of one version's chunks, by number, in hexadecimal."""

    model: str
    version: int
    digests: tuple


def fetch_report(network, address):
    """Return the `EngineReport` of the engine at `address`.

    :raises BriarbeamError: if the engine can't be reached or its report is malformed.
    """
    content = _get(network, address, "/-/report")
    report = _parse_object(address, content)
    try:
        return EngineReport(
            models=decode_models(report["models"], report.get("layers")),
            busy=bool(report["busy"]),
            accepted_orders=report["seq"],
            running=report["running"],
            waiting=report["queued"],
            started_ms=report.get("born", 0),
            slowdown=report.get("pace", 1.0),
        )
    except (KeyError, TypeError) as error:
        raise UpstreamError(f"report from {address} is malformed: {error!r}") from error


def order_load(network, address, model, version, accepted_orders, strategy="preempt"):
    """Order the engine to load its staged chunks, and return an `OrderResult`.

    :param accepted_orders: the number of orders that the engine must have accepted so
        far; it refuses the order otherwise.
    :param strategy: ``queue`` finishes running requests first and accepts no others
        meanwhile; ``preempt`` interrupts them, and they continue after the load.
    :raises BriarbeamError: if the engine does not answer; the order may still take
        effect.
    """
    body = {"op": "start", "model": model, "version": version, "strategy": strategy}
    body["precondition"] = accepted_orders
    request = HttpRequest(
        "POST",
        "/-/order",
        json.dumps(body).encode(),
        {"content-type": "application/json"},
        timeout_s=CALL_TIMEOUT_S,
        fresh=True,
    )
    status, _, _ = fetch(network, address, request)
    results = {202: OrderResult.BEGUN, 200: OrderResult.IN_EFFECT}
    return results.get(status, OrderResult.REFUSED)


def list_staged(network, address, model):
    """Return the numbers of the chunks in the engine's staging area.

    :raises BriarbeamError: if the engine can't be reached or its answer is malformed.
    """
    staged = _parse_object(address, _get(network, address, f"/-/stage-get/{model}"))
    return set(staged.get("held") or ())


def read_staged(network, address, model, number):
    """Return the bytes of a staged chunk, or None if the engine does not send it.

    :raises BriarbeamError: if the engine can't be reached.
    """
    request = HttpRequest(
        "GET", f"/-/stage-get/{model}?num={number}", timeout_s=CALL_TIMEOUT_S
    )
    status, _, content = fetch(network, address, request)
    return content if status == 200 else None


def write_staged(network, address, model, number, content):
    """Write a chunk to the staging area, replacing one with the same number.

    :raises BriarbeamError: if the engine can't be reached or refuses the chunk.
    """
    request = HttpRequest(
        "PUT",
        f"/-/stage-put/{model}?num={number}",
        content,
        timeout_s=CALL_TIMEOUT_S,
    )
    status, _, _ = fetch(network, address, request)
    if status not in (200, 201, 204):
        raise UpstreamError(
            f"staging chunk {number} at {address} failed with status {status}"
        )


def fetch_manifest(network, address, model, version, timeout_s):
    """Return the `Manifest` of a version from the origin at `address`.

    :raises BriarbeamError: if the origin can't be reached or the manifest is malformed.
    """
    path = f"/-/manifest/{model}?version={version}"
    manifest = _parse_object(address, _get(network, address, path, timeout_s))
    try:
        return Manifest(model, manifest["version"], tuple(manifest["digests"]))
    except (KeyError, TypeError) as error:
        raise UpstreamError(
            f"manifest from {address} is malformed: {error!r}"
        ) from error


def fetch_chunk(network, address, model, version, number, timeout_s):
    """Return the bytes of a chunk from the origin, unverified; they may be corrupted.

    :raises BriarbeamError: if the origin can't be reached or refuses the request.
    """
    path = f"/-/piece/{model}?num={number}&version={version}"
    return _get(network, address, path, timeout_s)


def _get(network, address, path, timeout_s=CALL_TIMEOUT_S):
    request = HttpRequest(
        "GET", path, timeout_s=timeout_s, connect_timeout_s=CONNECT_TIMEOUT_S
    )
    status, _, content = fetch(network, address, request)
    if status != 200:
        raise UpstreamError(f"GET {path} from {address} failed with status {status}")
    return content


def _parse_object(address, content):
    try:
        value = json.loads(content)
    except ValueError as error:
        raise UpstreamError(f"answer from {address} is not JSON") from error
    if not isinstance(value, dict):
        raise UpstreamError(
            f"answer from {address} is {type(value).__name__}, expected an object"
        )
    return value
