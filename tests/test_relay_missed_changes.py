"""Changes of a large state that follow each other faster than a link carries them."""

import time

import gevent

from briarbeam.kernel.clock import SystemClock
from briarbeam.kernel.network import Address, HttpNetwork
from briarbeam.platform.store import StoreClient
from briarbeam.relay.entry import STATE_CHANGE_PAUSE_S, STATE_WAIT_S
from briarbeam.relay.mirror import CHANGES_PER_RECORDS_MAX, CHANGES_READ_BYTES, Mirror
from standins.platform import Store

KIND = "config"
STATE_BYTES = 440_000
LINK_BYTES_PER_S = 11.5e6 / 8
PIECE_BYTES = 16384
CONFIG_APPLY_S = 3.0


class LinkedStore(Store):
    """A store whose answers share a link."""

    def __init__(self):
        self.sent_bytes = 0
        self._free_s = 0.0
        super().__init__(("127.0.0.1", 0))

    def _serve(self, environ, start_response):
        (content,) = super()._serve(environ, start_response)
        return self._send_paced(content)

    def _send_paced(self, content):
        for first in range(0, len(content), PIECE_BYTES):
            piece = content[first : first + PIECE_BYTES]
            self.sent_bytes += len(piece)
            started_s = max(self._free_s, time.monotonic())
            self._free_s = started_s + len(piece) / LINK_BYTES_PER_S
            gevent.sleep(self._free_s - time.monotonic())
            yield piece

    def put_state(self, number, size_bytes=STATE_BYTES):
        spec = {"version": number, "routes": "r" * size_bytes}
        self.put(KIND, "main", spec)


class Reader:
    """A mirror of the state at a `LinkedStore`, with what it had and when."""

    def __init__(self, store):
        self._store = store
        self.versions = []
        self.seen_s = {}
        self.client = StoreClient(HttpNetwork(), Address.parse(store.address))
        self.mirror = Mirror(
            self.client,
            KIND,
            SystemClock(),
            lambda: STATE_WAIT_S,
            self._update,
            STATE_CHANGE_PAUSE_S,
            is_large=True,
        )
        self._task = gevent.spawn(self.mirror.run)

    def _update(self, records):
        version = records["main"].spec["version"]
        self.versions.append(version)
        for number in range(version + 1):
            self.seen_s.setdefault(number, time.monotonic())

    def wait_for(self, version, timeout_s):
        with gevent.Timeout(timeout_s):
            while version not in self.seen_s:
                gevent.sleep(0.01)

    def stop(self):
        self._task.kill()
        self._store.stop()


def test_quick_changes_of_a_large_state_are_not_read_one_by_one():
    """A watch returned ten states at once, and a change took 5 to 6 s."""
    store = LinkedStore()
    store.put_state(0)
    reader = Reader(store)
    reader.wait_for(0, 5.0)
    gevent.sleep(0.5)
    before_bytes, began_s, written_s = store.sent_bytes, time.monotonic(), {}
    for number in range(1, 26):
        gevent.sleep(max(0.0, began_s + number * 0.06 - time.monotonic()))
        store.put_state(number)
        written_s[number] = time.monotonic()
    reader.wait_for(25, 15.0)
    gevent.sleep(1.0)
    reader.stop()
    late_s = max(reader.seen_s[n] - at_s for n, at_s in written_s.items())
    assert late_s <= CONFIG_APPLY_S
    assert store.sent_bytes - before_bytes <= 8 * STATE_BYTES


def test_single_changes_of_a_large_state_cost_one_answer_each():
    store = LinkedStore()
    store.put_state(0, 10_000)
    reader = Reader(store)
    reader.wait_for(0, 5.0)
    before_bytes = store.sent_bytes
    for number, size_bytes in enumerate((STATE_BYTES, STATE_BYTES + 10_000), 1):
        gevent.sleep(0.2)
        store.put_state(number, size_bytes)
        reader.wait_for(number, 5.0)
        gevent.sleep(1.0)
    reader.stop()
    assert reader.versions == [0, 1, 2]
    assert store.sent_bytes - before_bytes <= 2 * STATE_BYTES + 20_000


def test_changes_that_a_watch_missed_are_not_read_one_by_one():
    """A reader that takes over, or reaches the store again, asked for all of them."""
    store = LinkedStore()
    store.put_state(0)
    reader = Reader(store)
    reader.wait_for(0, 5.0)
    store.down = True
    gevent.sleep(0.3)
    for number in range(1, 21):
        store.put_state(number)
    before_bytes, store.down = store.sent_bytes, False
    reader.wait_for(20, 5.0)
    gevent.sleep(1.5)
    reader.stop()
    assert set(reader.versions) == {0, 20}
    assert store.sent_bytes - before_bytes <= 3 * STATE_BYTES


def test_limit_of_changes_grows_with_the_state():
    store = LinkedStore()
    reader = Reader(store)
    assert reader.mirror._changes_max_bytes() == CHANGES_READ_BYTES
    store.put_state(0, 900_000)
    reader.wait_for(0, 5.0)
    limit_bytes = reader.mirror._changes_max_bytes()
    reader.stop()
    assert CHANGES_PER_RECORDS_MAX * 900_000 <= limit_bytes < 2 * 900_000
