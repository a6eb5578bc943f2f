"""Connections to the store that fall silent, without a reset, while new ones work."""

import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit

import gevent
import gevent.event
import pytest
from gevent.server import StreamServer

from briarbeam.kernel.clock import SystemClock
from briarbeam.kernel.errors import ExchangeError
from briarbeam.kernel.network import Address, HttpNetwork, HttpRequest
from briarbeam.kernel.silence import SilenceDetector
from briarbeam.platform.store import StoreClient
from briarbeam.relay.entry import STATE_WAIT_S, VERSIONS_WAIT_S, WATCH_WAIT_S
from briarbeam.relay.mirror import Mirror

# A machine whose channels were reset is in touch again after this time.
CONTACT_S = 3.0
WAITS_S = {
    "servers": WATCH_WAIT_S,
    "versions": VERSIONS_WAIT_S,
    "config": STATE_WAIT_S,
}
PEER = Address("10.0.0.9", 80)


class SilentStore:
    """A store whose open connections can fall silent.

    `calls` are pairs of a kind and whether it is watched. Only `changed` kinds change.
    """

    def __init__(self):
        self.revision, self.silences, self.calls = 1, 0, []
        self.changed = ()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def fall_silent(self):
        self.silences += 1

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _):
        with contextlib.suppress(ConnectionError):
            self._answer_calls(sock)

    def _answer_calls(self, sock):
        silences, file = self.silences, sock.makefile("rb")
        while line := file.readline():
            while file.readline() not in (b"\r\n", b""):
                pass
            if silences == self.silences:
                url = urlsplit(line.split()[1].decode())
                body = json.dumps(self._answer(url)).encode()
            if silences == self.silences:
                sock.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                )

    def _answer(self, url):
        query, kind = parse_qs(url.query), url.path.rpartition("/")[2]
        self.calls.append((kind, "watch" in query))
        if "watch" not in query:
            return {"items": [self._record(kind)], "store_revision": self.revision}
        since, until_s = int(query["watch"][0]), int(query["wait_ms"][0]) / 1000
        until_s += time.monotonic()
        while self._number(kind) <= since and time.monotonic() < until_s:
            gevent.sleep(0.01)
        is_changed = self._number(kind) > since
        events = [{"object": self._record(kind), "removed": 0}] if is_changed else []
        return {"events": events, "store_revision": self.revision}

    def _number(self, kind):
        return self.revision if kind in self.changed else 1

    def _record(self, kind):
        return {"metadata": {"name": "a", "revision": self._number(kind)}, "spec": {}}


@pytest.fixture
def store():
    store = SilentStore()
    yield store
    store.stop()


@pytest.mark.parametrize("changed", [["servers"], ["versions"], [*WAITS_S]])
@pytest.mark.parametrize("delay_s", [0.2, 0.65])
def test_change_of_any_kind_is_known_once_in_touch_after_connections_fell_silent(
    store, delay_s, changed
):
    client, mirrors = StoreClient(HttpNetwork(), store.address), []
    for kind, wait_s in WAITS_S.items():
        mirrors.append(
            Mirror(
                client, kind, SystemClock(), lambda wait_s=wait_s: wait_s,
                lambda records: None, is_large=kind == "config",
            )
        )  # fmt: skip
    tasks = [gevent.spawn(mirror.run) for mirror in mirrors]
    with gevent.Timeout(5.0):
        while ("servers", True) not in store.calls:
            gevent.sleep(0.01)
    gevent.sleep(delay_s)
    store.fall_silent()
    silent_s = time.monotonic()
    gevent.sleep(0.1)
    store.revision, store.changed = 2, changed
    known_s = {}
    while len(known_s) < len(changed) and time.monotonic() < silent_s + 10.0:
        for mirror in mirrors:
            if mirror.summary[0] == 2:
                known_s.setdefault(mirror.kind, time.monotonic() - silent_s)
        gevent.sleep(0.01)
    gevent.killall(tasks)
    assert len(known_s) == len(changed)
    assert max(known_s.values()) < CONTACT_S, known_s


class FakeNetwork:
    """Answers as the test says: each path waits for its event, or times out."""

    def __init__(self):
        self.results = {}

    def send(self, address, request):
        result = self.results.setdefault(request.path, gevent.event.AsyncResult())
        try:
            return result.get()
        except gevent.Timeout as error:
            raise ExchangeError("no reply") from error


class Calls:
    """Calls through a `SilenceDetector`, by path."""

    def __init__(self):
        self.network = FakeNetwork()
        self.detector = SilenceDetector(self.network)
        self.tasks = {}

    def send(self, path):
        self.tasks[path] = gevent.spawn(self._send, path)
        gevent.sleep(0)

    def _send(self, path):
        try:
            return self.detector.send(PEER, HttpRequest("GET", path))
        except ExchangeError as error:
            return error

    def answer(self, path):
        self.network.results[path].set("answered")
        gevent.sleep(0.01)

    def time_out(self, path):
        self.network.results[path].set_exception(gevent.Timeout(1.0))
        gevent.sleep(0.01)

    def waiting(self):
        return [path for path, task in self.tasks.items() if not task.ready()]


@pytest.fixture
def calls():
    calls = Calls()
    yield calls
    gevent.killall([*calls.tasks.values()])


def test_call_on_a_new_connection_is_not_given_up_with_the_silent_ones(calls):
    for path in ("/old", "/fails"):
        calls.send(path)
    calls.time_out("/fails")
    for path in ("/new", "/answered"):
        calls.send(path)
    calls.answer("/answered")
    assert calls.waiting() == ["/new"]


def test_calls_are_not_repeated_while_none_shows_that_the_peer_works(calls):
    for path in ("/old", "/other", "/fails"):
        calls.send(path)
    calls.time_out("/fails")
    calls.send("/new")
    # It was sent before the time-out and shows nothing about new connections.
    calls.answer("/other")
    assert calls.waiting() == ["/old", "/new"]


def test_one_silence_gives_calls_up_once(calls):
    for path in ("/old", "/fails"):
        calls.send(path)
    calls.time_out("/fails")
    calls.send("/first")
    calls.answer("/first")
    calls.send("/long")
    calls.send("/second")
    calls.answer("/second")
    assert calls.waiting() == ["/long"]
