"""Calls to a model engine and to the origin of weights."""

import enum
import json
import re
from dataclasses import dataclass

from ..kernel.network import HttpRequest, fetch
from ..relay.errors import UpstreamError
from .records import decode_models, get_integer, get_typed

CALL_TIMEOUT_S = 1.0
# Connecting takes one round trip of a few milliseconds. To an unreachable machine it
# hangs, and a longer timeout would delay the detection that the machine is reachable
# again.
CONNECT_TIMEOUT_S = 0.3
# Limits of replies. A stager reads several at a time, in 128 MB of memory.
SMALL_REPLY_MAX_BYTES = 1024 * 1024
CHUNK_MAX_BYTES = 2 * 1024 * 1024
# Range of the slowdown, by which the choice of a target divides.
SLOWDOWN_MIN = 0.01
SLOWDOWN_MAX = 1e4
_DIGEST = re.compile(r"[0-9a-f]{64}\Z")


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

    @property
    def load_id(self):
        """What identifies its last load: its start, and the orders accepted since."""
        return self.started_ms, self.accepted_orders


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
            accepted_orders=get_integer(report, "seq", 0),
            running=get_integer(report, "running", 0),
            waiting=get_integer(report, "queued", 0),
            started_ms=get_integer(report, "born", 0) if "born" in report else 0,
            slowdown=_get_slowdown(report) if "pace" in report else 1.0,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise UpstreamError(f"report from {address} is malformed: {error!r}") from error


def order_load(
    network,
    address,
    model,
    version,
    accepted_orders,
    strategy="preempt",
    before_send=None,
):
    """Order the engine to load its staged chunks, and return an `OrderResult`.

    :param accepted_orders: the number of orders that the engine must have accepted so
        far; it refuses the order otherwise.
    :param strategy: ``queue`` finishes running requests first and accepts no others
        meanwhile; ``preempt`` interrupts them, and they continue after the load.
    :param before_send: as in `HttpRequest`.
    :raises BriarbeamError: if the engine does not answer; the order may still take
        effect.
    """
    return _order(
        network, address, model, version, accepted_orders, strategy, {}, before_send
    )


def order_unload(network, address, model, version, accepted_orders):
    """Order the engine to give up all layers of a version; return an `OrderResult`.

    Running requests are interrupted and go on after the next load. The parameters and
    errors are those of `order_load`.
    """
    no_layers = {"from": 0, "to": 0}
    return _order(
        network, address, model, version, accepted_orders, "preempt", no_layers, None
    )


def _order(
    network, address, model, version, accepted_orders, strategy, layers, before_send
):
    body = {"op": "start", "model": model, "version": version, "strategy": strategy}
    body |= {"precondition": accepted_orders, **layers}
    request = HttpRequest(
        "POST",
        "/-/order",
        json.dumps(body).encode(),
        {"content-type": "application/json"},
        timeout_s=CALL_TIMEOUT_S,
        fresh=True,
        before_send=before_send,
        max_bytes=SMALL_REPLY_MAX_BYTES,
    )
    status, _, _ = fetch(network, address, request)
    results = {202: OrderResult.BEGUN, 200: OrderResult.IN_EFFECT}
    return results.get(status, OrderResult.REFUSED)


def list_staged(network, address, model):
    """Return the numbers of the chunks in the engine's staging area.

    :raises BriarbeamError: if the engine can't be reached or its answer is malformed.
    """
    staged = _parse_object(address, _get(network, address, f"/-/stage-get/{model}"))
    held = staged.get("held") or []
    if not isinstance(held, list) or not all(type(n) is int and n >= 0 for n in held):
        raise UpstreamError(f"list of staged chunks from {address} is malformed")
    return set(held)


def read_staged(network, address, model, number):
    """Return the bytes of a staged chunk, or None if the engine does not send it.

    :raises BriarbeamError: if the engine can't be reached.
    """
    request = HttpRequest(
        "GET",
        f"/-/stage-get/{model}?num={number}",
        timeout_s=CALL_TIMEOUT_S,
        max_bytes=CHUNK_MAX_BYTES,
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
        max_bytes=SMALL_REPLY_MAX_BYTES,
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
        digests = manifest["digests"]
        if get_integer(manifest, "version", 0) != version:
            raise ValueError(f"version is {manifest['version']}, expected {version}")
    except (KeyError, TypeError, ValueError) as error:
        raise UpstreamError(
            f"manifest from {address} is malformed: {error!r}"
        ) from error
    return decode_manifest(address, model, version, digests)


def decode_manifest(address, model, version, digests):
    """Return the `Manifest` with `digests`, as decoded from the answer of `address`.

    :raises UpstreamError: if they are no list of digests, or an empty one.
    """
    is_valid = isinstance(digests, list) and all(
        isinstance(digest, str) and _DIGEST.match(digest) for digest in digests
    )
    if not is_valid or not digests:
        raise UpstreamError(
            f"manifest of {model}/{version} from {address} is malformed"
        )
    return Manifest(model, version, tuple(digests))


def fetch_chunk(network, address, model, version, number, timeout_s):
    """Return the bytes of a chunk from the origin, unverified; they may be corrupted.

    :raises BriarbeamError: if the origin can't be reached or refuses the request.
    """
    path = f"/-/piece/{model}?num={number}&version={version}"
    return _get(network, address, path, timeout_s, CHUNK_MAX_BYTES)


def _get(
    network,
    address,
    path,
    timeout_s=CALL_TIMEOUT_S,
    max_bytes=SMALL_REPLY_MAX_BYTES,
):
    request = HttpRequest(
        "GET",
        path,
        timeout_s=timeout_s,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        max_bytes=max_bytes,
    )
    status, _, content = fetch(network, address, request)
    if status != 200:
        raise UpstreamError(f"GET {path} from {address} failed with status {status}")
    return content


def _get_slowdown(report):
    slowdown = get_typed(report, "pace", (int, float))
    if not 0 < slowdown < float("inf"):
        raise ValueError(f"pace is {slowdown!r}")
    return min(SLOWDOWN_MAX, max(SLOWDOWN_MIN, slowdown))


def parse_json(address, content):
    """Return the decoded JSON of the answer from `address`.

    :raises UpstreamError: if it can't be decoded.
    """
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        raise UpstreamError(f"answer from {address} is not JSON") from error


def _parse_object(address, content):
    value = parse_json(address, content)
    if not isinstance(value, dict):
        raise UpstreamError(
            f"answer from {address} is {type(value).__name__}, expected an object"
        )
    return value
