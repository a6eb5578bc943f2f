"""Tests of platform outages: bounded calls, a backoff per process, coalesced writes."""

import json
import random

import pytest

from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import (
    ConnectError,
    ExchangeError,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from briarbeam.kernel.network import Address
from briarbeam.objects.circuit import CircuitBreaker
from briarbeam.objects.client import ObjectApi
from briarbeam.objects.status import StatusWriter

PLATFORM = Address("127.0.0.1", 7000)
CLIENT_COUNT = 400


class FakeReply:
    def __init__(self, status, value, headers):
        self.status = status
        self.headers = headers
        self._value = value

    def read(self, size_bytes=None):
        return json.dumps(self._value).encode()

    def close(self):
        pass


class FakePlatform:
    """Answers all calls alike, and records the calls and the values written."""

    def __init__(self, clock):
        self.clock = clock
        self.calls_s = []
        self.written = []
        self.failure = None
        self.status = 200

    def send(self, address, request):
        self.calls_s.append(self.clock.monotonic_s())
        if self.failure:
            raise self.failure
        if request.method == "PUT" and self.status == 200:
            self.written.append((request.path, json.loads(request.body)))
        return FakeReply(self.status, {"version": 1, "value": {}}, {"retry-after": "3"})


def _client(clock, platform, seed=0):
    circuit = CircuitBreaker(clock, random.Random(seed))
    return ObjectApi(platform, PLATFORM, circuit=circuit)


def _try_get(objects):
    try:
        objects.get("configuration", "head")
    except PlatformError:
        return False
    return True


def test_clients_do_not_burst_at_the_end_of_an_outage():
    clock = ManualClock()
    platform = FakePlatform(clock)
    platform.failure = ConnectError("down")
    clients = [_client(clock, platform, seed) for seed in range(CLIENT_COUNT)]
    for _ in range(600):
        for objects in clients:
            _try_get(objects)
        clock.advance(0.1)
    during = [at_s for at_s in platform.calls_s if at_s > 30]
    assert len(during) / 30 < CLIENT_COUNT / 4
    platform.failure = None
    ended_s = clock.monotonic_s()
    recovered = set()
    while len(recovered) < CLIENT_COUNT:
        for number, objects in enumerate(clients):
            if number not in recovered and _try_get(objects):
                recovered.add(number)
        clock.advance(0.1)
    assert clock.monotonic_s() - ended_s <= 13
    after = [int(at_s * 10) for at_s in platform.calls_s if at_s >= ended_s]
    assert max(after.count(tenth) for tenth in set(after)) < CLIENT_COUNT / 8


def test_retry_after_of_a_rate_limited_platform_is_honoured():
    clock = ManualClock()
    platform = FakePlatform(clock)
    objects = _client(clock, platform)
    platform.status = 429
    with pytest.raises(PlatformUnavailableError):
        objects.get("configuration", "head")
    platform.status = 200
    while not _try_get(objects):
        clock.advance(0.1)
    assert clock.monotonic_s() >= 3
    assert len(platform.calls_s) == 2


def test_write_that_may_have_taken_effect_raises_an_unknown_outcome():
    clock = ManualClock()
    platform = FakePlatform(clock)
    platform.failure = ExchangeError("lost")
    with pytest.raises(PlatformUnknownError):
        _client(clock, platform).put("status", "a", {})
    platform.failure = ConnectError("refused")
    with pytest.raises(PlatformUnavailableError):
        _client(clock, platform).put("status", "a", {})


def test_status_writes_are_coalesced_during_an_outage():
    clock = ManualClock()
    platform = FakePlatform(clock)
    platform.failure = ConnectError("down")
    writer = StatusWriter(_client(clock, platform), jitter=random.Random(0))
    for step in range(500):
        for name in ("a", "b"):
            writer.put(name, {"step": step})
        writer.flush()
        clock.advance(writer.next_pause_s())
    assert writer.pending_count() == 2
    platform.failure = None
    while writer.pending_count():
        writer.flush()
        clock.advance(writer.next_pause_s())
    writer.put("a", {"step": 499})
    writer.flush()
    expected = {"step": 499}
    assert platform.written == [
        ("/objects/status/a", expected),
        ("/objects/status/b", expected),
    ]
