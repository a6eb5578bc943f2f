"""Tests of the bound on open connections, and of turns between requests."""

import gevent
import pytest

from briarbeam.catalog import CallerLimits
from briarbeam.kernel.connections import OpenConnections
from briarbeam.relay.callers import YIELD_AFTER_REQUESTS, RequestReader
from briarbeam.relay.errors import MalformedRequestError

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class FakeSocket:
    """A socket whose peer sends `blocks`, one for each read."""

    def __init__(self, blocks):
        self._blocks = iter(blocks)
        self.closed = False

    def settimeout(self, timeout_s):
        pass

    def recv(self, size_bytes):
        return next(self._blocks, b"")

    def close(self):
        self.closed = True


@pytest.fixture
def turns():
    """The turns of another task, as a list that grows by one with each."""
    turns = []

    def run():
        while True:
            turns.append(True)
            gevent.sleep(0)

    task = gevent.spawn(run)
    yield turns
    task.kill()


def test_connection_that_waits_longest_is_closed_first():
    connections = OpenConnections("test", 3)
    socks = [FakeSocket([]) for _ in range(4)]
    for sock in socks[:3]:
        assert connections.admit(sock)
    with connections.wait(socks[1]), connections.wait(socks[0]):
        assert connections.admit(socks[3])
    assert [sock.closed for sock in socks] == [False, True, False, False]
    assert len(connections) == 3


def test_connection_that_is_answered_is_not_closed_for_another():
    """Its request may have run, and the caller would not get the answer."""
    connections = OpenConnections("test", 1)
    answered, new = FakeSocket([]), FakeSocket([])
    assert connections.admit(answered)
    with connections.wait(answered):
        pass
    assert not connections.admit(new)
    assert not answered.closed
    connections.remove(answered)
    assert connections.admit(new)


def test_pipelined_requests_leave_turns_to_other_connections(turns):
    """2,400 requests of one read were answered in a row if none had to wait."""
    reader = RequestReader(FakeSocket([REQUEST * 20]), CallerLimits)
    for _ in range(20):
        assert reader.read(1.0) is not None
    assert len(turns) >= 19


def test_requests_that_never_wait_leave_turns_to_other_connections(turns):
    """A read of a socket that always has data does not yield."""
    reader = RequestReader(FakeSocket([REQUEST] * 100), CallerLimits)
    for _ in range(100):
        assert reader.read(1.0) is not None
    assert len(turns) >= 100 // YIELD_AFTER_REQUESTS


def test_endless_blank_lines_are_refused():
    """Those behind a request were not counted as part of the next head."""
    blocks = [REQUEST] + [b"\r\n" * 2000] * 100
    reader = RequestReader(FakeSocket(blocks), CallerLimits)
    assert reader.read(1.0) is not None
    with pytest.raises(MalformedRequestError):
        reader.read(1.0)


def test_head_behind_a_long_body_in_the_same_read_is_served():
    """The bytes of that body counted as part of the head, which was refused with 431."""
    body = b"b" * 30_000
    first = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n" + body
    blocks = [first + REQUEST[:10], REQUEST[10:]]
    reader = RequestReader(FakeSocket(blocks), CallerLimits)
    assert reader.read(1.0).body == body
    assert reader.read(1.0).path == "/"
