"""Odd answers of engines, origins and peers are typed errors."""

import json

import pytest

from briarbeam.distribution.chunks import fetch_peer_manifest
from briarbeam.kernel.errors import BriarbeamError
from briarbeam.kernel.network import Address
from briarbeam.platform import engines

from .distribution_fakes import MODEL, FakeNetwork, Reply, digests

PEER = Address("10.0.0.2", 80)
NESTED = b"[" * 5000 + b"]" * 5000
DIGESTS = digests(2)
ODD_DIGESTS = [
    [], "", "text", None, 7, {}, [7], [None], [["a"]], ["a"], [DIGESTS[0][:-1]],
    [DIGESTS[0][:-1] + "g"], [DIGESTS[0], ""], {DIGESTS[0]: 1},
]  # fmt: skip


def answering(body):
    network = FakeNetwork()
    network.handlers[PEER] = lambda request: Reply(200, body)
    return network


@pytest.mark.parametrize(
    "body", [b"", b"{", b"\xff", NESTED, b"9" * 5000,
             *(json.dumps(odd).encode() for odd in ODD_DIGESTS)],
    ids=lambda body: body[:30],
)  # fmt: skip
def test_malformed_manifest_of_a_peer_is_a_typed_error(body):
    with pytest.raises(BriarbeamError):
        fetch_peer_manifest(answering(body), PEER, MODEL, 2)


@pytest.mark.parametrize(
    "manifest",
    [{"version": 2}, {"digests": DIGESTS}, {"version": 3, "digests": DIGESTS},
     {"version": "2", "digests": DIGESTS}, {"version": True, "digests": DIGESTS},
     *({"version": 2, "digests": odd} for odd in ODD_DIGESTS)],
)  # fmt: skip
def test_malformed_manifest_of_the_origin_is_a_typed_error(manifest):
    network = answering(json.dumps(manifest).encode())
    with pytest.raises(BriarbeamError):
        engines.fetch_manifest(network, PEER, MODEL, 2, 1.0)


def test_manifests_of_both_sources_are_equal():
    from_peer = fetch_peer_manifest(
        answering(json.dumps(DIGESTS).encode()), PEER, MODEL, 2
    )
    text = json.dumps({"version": 2, "digests": DIGESTS}).encode()
    assert engines.fetch_manifest(answering(text), PEER, MODEL, 2, 1.0) == from_peer
    assert from_peer.digests == tuple(DIGESTS)


REPORT = {
    "models": [{"name": MODEL, "version": 2}], "busy": False, "seq": 1, "running": 3,
    "queued": 1, "born": 1700, "pace": 1.2,
}  # fmt: skip
ODD_VALUES = [None, "7", [], {}, True, -1, 2**60, float("inf"), float("nan")]


@pytest.mark.parametrize(
    "field", ["models", "seq", "running", "queued", "born", "pace"]
)
@pytest.mark.parametrize("value", ODD_VALUES)
def test_malformed_report_of_an_engine_is_a_typed_error(field, value):
    if (field, value) in (("models", []), ("pace", 2**60)):
        return
    network = answering(json.dumps(REPORT | {field: value}).encode())
    with pytest.raises(BriarbeamError):
        engines.fetch_report(network, PEER)


@pytest.mark.parametrize(("pace", "slowdown"), [(2**60, 1e4), (1e-300, 0.01), (2, 2)])
def test_slowdown_of_an_engine_stays_in_a_range_that_can_be_divided_by(pace, slowdown):
    network = answering(json.dumps(REPORT | {"pace": pace}).encode())
    assert engines.fetch_report(network, PEER).slowdown == slowdown


@pytest.mark.parametrize("body", [NESTED, b"9" * 5000, b"[]", b"", b"\xff"])
def test_report_that_is_no_json_object_is_a_typed_error(body):
    with pytest.raises(BriarbeamError):
        engines.fetch_report(answering(body), PEER)
    with pytest.raises(BriarbeamError):
        engines.list_staged(answering(body), PEER, MODEL)


@pytest.mark.parametrize(
    "held", [7, "12", {"1": 2}, [[1]], [None], ["1"], [True], [-1]]
)
def test_malformed_list_of_staged_chunks_is_a_typed_error(held):
    network = answering(json.dumps({"held": held}).encode())
    with pytest.raises(BriarbeamError):
        engines.list_staged(network, PEER, MODEL)
