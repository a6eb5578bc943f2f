"""Replies whose status is outside 100 to 599, for each client of other processes."""

import contextlib

import gevent
import pytest

from briarbeam.gate.backends import EngineBackend, ServiceBackend
from briarbeam.kernel.errors import (
    ConnectError,
    ExchangeError,
    OrderError,
    OutcomeUnknownError,
    PlatformUnknownError,
    UnavailableError,
)
from briarbeam.kernel.network import HttpNetwork, HttpRequest, fetch
from briarbeam.objects.client import ObjectApi
from briarbeam.platform import engines
from briarbeam.platform.store import StoreClient
from briarbeam.relay.errors import StoreUnavailableError

from .test_kernel_stray_replies import Peer, good

HEAD = b"HTTP/1.1 %03d Odd\r\n"
BODIES = {
    "empty": b"content-length: 0\r\n\r\n",
    "length": b"content-length: 5\r\n\r\nwrong",
    "chunks": b"transfer-encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
    "close": b"\r\nwrong",
}
STAYS_OPEN_S = 4.0

statuses = pytest.mark.parametrize("status", [0, 99, 600, 999])


def peer(status, body=BODIES["length"], behind=b"", ends=False):
    """Return a `Peer` whose replies have an invalid status.

    :param behind: what follows the reply on its connection.
    :param ends: whether the peer closes the connection.
    """

    def script(sock, number):
        sock.sendall(HEAD % status + body + behind)
        if ends:
            sock.close()

    return Peer(script)


def send(address, method="GET", **fields):
    fields = {"timeout_s": STAYS_OPEN_S} | fields
    return fetch(HttpNetwork(), address, HttpRequest(method, "/", **fields))


@statuses
@pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
@pytest.mark.parametrize(
    ("behind", "ends"),
    [(b"", False), (b"", True), (good(b"behind"), False)],
    ids=["open", "closed", "reply"],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_reply_with_an_invalid_status_is_an_error(status, body, behind, ends, method):
    fake = peer(status, body, behind, ends)
    with pytest.raises(ExchangeError, match=f"invalid status {status:03d}"):
        send(fake.address, method)
    assert len(fake.requests) == 1


@statuses
def test_connection_of_a_reply_with_an_invalid_status_is_not_used_again(status):
    """What came behind it answered the next request."""
    invalid = HEAD % status + BODIES["empty"]
    fake = Peer(lambda sock, number: sock.sendall(good() if number else invalid))
    client = HttpNetwork()
    with pytest.raises(ExchangeError):
        fetch(client, fake.address, HttpRequest("GET", "/", timeout_s=STAYS_OPEN_S))
    fetch(client, fake.address, HttpRequest("GET", "/"))
    assert fake.connections == 2


@statuses
def test_probe_with_an_invalid_status_lets_nothing_be_sent(status):
    fake = peer(status)
    with pytest.raises(ConnectError, match=f"{status:03d}"):
        send(fake.address, "POST", fresh=True, probe_path="/healthz")
    assert len(fake.requests) == 1


@pytest.mark.parametrize("status", [200, 299, 499, 599])
def test_valid_statuses_are_returned(status):
    reply = good().replace(b"200", b"%d" % status, 1)
    fake = Peer(lambda sock, number: sock.sendall(reply))
    assert send(fake.address)[::2] == (status, b"good")


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_interim_replies_are_skipped(status):
    interim = b"HTTP/1.1 %d Interim\r\nlink: </a>\r\n\r\n" % status
    fake = Peer(lambda sock, number: sock.sendall(interim * 3 + good()))
    assert send(fake.address)[::2] == (200, b"good")


@pytest.mark.parametrize(
    ("method", "fresh", "sends"),
    [("GET", False, 2), ("POST", False, 1), ("GET", True, 1), ("PUT", True, 1)],
)
def test_only_repeatable_requests_are_sent_again_after_a_close(method, fresh, sends):
    """They are, once more, if the peer closed a reused connection meanwhile."""

    def script(sock, number):
        if number == 1:
            sock.close()
        else:
            sock.sendall(good())

    fake, client = Peer(script), HttpNetwork()
    fetch(client, fake.address, HttpRequest("GET", "/"))
    with contextlib.nullcontext() if sends == 2 else pytest.raises(ExchangeError):
        fetch(client, fake.address, HttpRequest(method, "/", body=b"x", fresh=fresh))
    gevent.sleep(0.05)
    assert len(fake.requests) == 1 + sends


@statuses
def test_call_of_a_service_with_an_invalid_status_has_an_unknown_outcome(status):
    """It may have run, and nothing of such a reply is passed on."""
    backend = ServiceBackend(HttpNetwork(), peer(status).address)
    with pytest.raises(OutcomeUnknownError, match=f"{status:03d}"):
        backend.call("POST", "x", b"", "id1", STAYS_OPEN_S)


@statuses
def test_engine_whose_status_is_invalid_may_have_run_a_request(status):
    """The failure was taken for one of a request that ran."""
    backend = EngineBackend(HttpNetwork(), peer(status).address)
    with pytest.raises(OutcomeUnknownError, match=f"{status:03d}"):
        backend.generate({})
    with pytest.raises(OrderError, match=f"{status:03d}"):
        backend.order({}, STAYS_OPEN_S)
    with pytest.raises(UnavailableError, match=f"{status:03d}"):
        backend.status()
    assert not backend.cancel("id1")


@statuses
def test_write_whose_reply_has_an_invalid_status_may_have_been_applied(status):
    store = ObjectApi(HttpNetwork(), peer(status).address)
    with pytest.raises(PlatformUnknownError, match=f"{status:03d}"):
        store.put("k", "n", {})


@statuses
def test_order_whose_reply_has_an_invalid_status_counts_as_no_refusal(status):
    """The engine may have accepted it."""
    fake = peer(status)
    with pytest.raises(ExchangeError, match=f"{status:03d}"):
        engines.order_load(HttpNetwork(), fake.address, "m", 2, 0)
    assert len(fake.requests) == 1


@statuses
def test_answer_of_the_store_with_an_invalid_status_states_no_era(status):
    fake = peer(status, b"store-era: 7\r\n" + BODIES["length"])
    client, eras = StoreClient(HttpNetwork(), fake.address), []
    client.on_era = lambda era, previous: eras.append(era)
    with pytest.raises(StoreUnavailableError, match=f"{status:03d}"):
        client.list("servers")
    assert not eras
