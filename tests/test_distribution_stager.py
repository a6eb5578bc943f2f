"""The stager: what it stages, when the engine loads it, and what it reports."""

import json

import gevent
import pytest

from briarbeam.distribution.errors import MalformedDatagramError
from briarbeam.distribution.messages import (
    MAX_BYTES,
    Greeting,
    Load,
    decode,
    encode,
)
from briarbeam.distribution.stager import Stager
from briarbeam.distribution.waves import plan_wave, updated_share
from briarbeam.kernel.clock import ManualClock, SystemClock
from briarbeam.kernel.network import Address
from briarbeam.platform import engines

from .distribution_fakes import (
    CHUNK_COUNT,
    ENGINE,
    MODEL,
    FakeEngine,
    FakeNetwork,
    Reply,
    chunk,
    digests,
)

PEER = Address("10.0.0.1", 77)
TICK_S = 0.01


class Bench:
    """A stager, its engine and one entry that has all versions."""

    def __init__(self, version=0, clock=None):
        self.network = FakeNetwork()
        self.engine = self.network.handlers[ENGINE] = FakeEngine(version)
        self.network.handlers[PEER] = self._answer
        self.slow_s = 0.0
        self.stager = Stager(
            self.network,
            clock or SystemClock(),
            ENGINE,
            Address("10.0.0.5", 77),
            "z1",
            1e4,
        )
        self.sent = []
        self.stager._send = self._note_load
        self.stager._report = engines.fetch_report(self.network, ENGINE)

    def _note_load(self, data, host):
        message = decode(data)
        if isinstance(message, Load):
            self.sent.append(message)

    def _answer(self, request):
        gevent.sleep(self.slow_s)
        _, kind, _, version, *number = request.path.split("/")
        if kind == "manifests":
            return Reply(200, json.dumps(digests(int(version))).encode())
        return Reply(200, chunk(int(version), int(number[0])))

    def greet(self, *versions, wave=0, wave_count=3, within_s=8.0):
        namings = tuple((*version, True) for version in versions)
        greeting = Greeting(PEER.host, "z1", MODEL, namings, wave, wave_count, within_s)
        self.stager._handle_greeting(greeting)

    def run(self, seconds):
        """Run the stager's tasks for a time that is counted in rounds of the event loop.

        On a busy machine the elapsed time would include time in which the process was not
        scheduled.
        """
        tasks = [
            gevent.spawn(self.stager._fetch_forever),
            gevent.spawn(self.stager._load_weights_forever),
            gevent.spawn(self.stager._report_forever),
        ]
        for _ in range(round(seconds / TICK_S)):
            gevent.sleep(TICK_S)
        gevent.killall(tasks)


def test_engine_without_weights_gets_the_wanted_version_whole():
    bench = Bench()
    bench.greet((1, 0.0, 0.0))
    bench.run(0.5)
    assert bench.engine.version == 1
    assert bench.engine.loaded == {n: chunk(1, n) for n in range(CHUNK_COUNT)}
    assert len(bench.engine.orders) == 1


def test_staged_chunk_that_became_corrupt_is_rewritten_before_the_order():
    bench = Bench(version=1)
    bench.greet((1, 0.0, 1.0), (2, 0.0, 0.0), wave=1)
    bench.run(0.5)
    assert not bench.engine.orders
    bench.engine.staged = {n: chunk(2, n) for n in range(CHUNK_COUNT)}
    bench.engine.staged[3] = b"rotten"
    bench.greet((1, 0.0, 1.0), (2, 1.0, 0.4), wave=1)
    bench.run(0.3)
    assert bench.engine.loaded == {n: chunk(2, n) for n in range(CHUNK_COUNT)}


def test_restarted_engine_loads_what_is_staged_without_the_link():
    bench = Bench()
    bench.engine.staged = {n: chunk(1, n) for n in range(CHUNK_COUNT)}
    bench.greet((1, 0.0, 0.0))
    bench.run(0.4)
    assert bench.engine.version == 1
    assert bench.network.count(PEER, "/chunks/") == 0


def test_later_wave_waits_for_the_one_before_and_not_past_its_time():
    bench = Bench(version=1)
    bench.greet((1, 9.0, 1.0), (2, 1.0, 0.0), wave=1)
    bench.run(0.4)
    assert bench.engine.version == 1
    bench.greet((1, 9.0, 1.0), (2, 7.6, 0.0), wave=1)
    bench.run(0.3)
    assert bench.engine.version == 2
    assert bench.engine.orders[0]["strategy"] == "preempt"


def test_last_wave_finishes_its_requests_and_overdue_engines_are_preempted():
    for age_s, strategy in ((7.6, "queue"), (8.2, "preempt")):
        bench = Bench(version=1)
        bench.greet((1, 9.0, 1.0), (2, age_s, 0.0), wave=2)
        bench.run(0.4)
        assert bench.engine.orders[0]["strategy"] == strategy


def test_engine_is_announced_as_closed_before_its_order():
    bench = Bench(version=1)
    bench.greet((1, 9.0, 1.0), (2, 1.0, 0.0), wave=0)
    bench.run(0.5)
    accepting = [load.accepting for load in bench.sent]
    first_closed = accepting.index(False)
    assert bench.sent[first_closed].version == 1
    assert bench.sent[-1].accepting and bench.sent[-1].version == 2


def test_newer_version_replaces_one_being_fetched_if_both_keep_their_deadlines():
    bench = Bench(version=1)
    bench.slow_s = 0.02
    bench.greet((2, 0.0, 0.0))
    bench.run(0.08)
    bench.greet((2, 2.0, 0.0), (3, 0.0, 0.0))
    assert bench.stager._rank_versions()[0] == 3


def test_older_version_goes_first_where_replacing_it_would_be_too_late():
    bench = Bench(version=1)
    bench.slow_s = 0.02
    bench.greet((2, 0.0, 0.0))
    bench.run(0.08)
    copy_s = bench.stager._copy_time_s()
    assert copy_s > 0
    bench.greet((2, 8.0 - copy_s / 2, 0.0), (3, 0.0, 0.0))
    assert bench.stager._rank_versions()[0] == 2


def test_older_version_is_fetched_while_chunks_of_the_newer_are_unavailable():
    """The link must not be idle, for example if the origin failed between the two."""
    bench = Bench(version=1)
    answer = bench.network.handlers[PEER]
    bench.greet((2, 0.5, 0.0), (3, 0.0, 0.0), wave=1)
    bench.network.handlers[PEER] = lambda request: (
        Reply(503) if request.path.startswith("/chunks/m/3/") else answer(request)
    )
    assert bench.stager._rank_versions() == [3, 2]
    bench.run(0.6)
    assert bench.stager._is_complete(2)
    bench.network.handlers[PEER] = answer
    bench.run(0.9)
    assert bench.stager._is_complete(3)


def test_joined_engine_serves_with_the_older_version_while_the_newest_is_unavailable():
    bench = Bench(version=0)
    answer = bench.network.handlers[PEER]
    bench.greet((1, 9.0, 1.0), (2, 1.0, 0.0))
    bench.network.handlers[PEER] = lambda request: (
        Reply(503) if request.path.startswith("/chunks/m/2/") else answer(request)
    )
    bench.run(0.8)
    assert bench.engine.version == 1


def test_joined_engine_gets_no_weights_on_which_nothing_may_begin():
    bench = Bench(version=0)
    bench.greet((1, 90.0, 1.0), (2, 9.0, 0.0))
    assert bench.stager._rank_versions() == [2]


def test_joined_engine_fetches_nothing_older_than_what_is_complete():
    bench = Bench(version=0)
    bench.greet((1, 90.0, 1.0), (2, 1.0, 0.0))
    copy = bench.stager._open_copy(2)
    for number in range(CHUNK_COUNT):
        copy.add(number, chunk(2, number))
    assert bench.stager._rank_versions() == []


def test_older_version_that_is_mostly_complete_goes_first():
    bench = Bench(version=1)
    bench.greet((2, 0.5, 0.0), (3, 0.0, 0.0), wave=1)
    copy = bench.stager._open_copy(2)
    for number in range(CHUNK_COUNT // 2 + 1):
        copy.add(number, chunk(2, number))
    assert bench.stager._rank_versions() == [2, 3]
    bench.greet((2, 7.0, 0.0), (3, 6.5, 0.0), wave=1)
    assert bench.stager._rank_versions() == [3, 2]


def test_next_version_is_fetched_while_the_last_one_waits_for_its_wave():
    bench = Bench(version=1)
    bench.greet((2, 1.0, 0.0), wave=1)
    bench.run(0.3)
    bench.greet((2, 1.3, 0.0), (3, 0.0, 0.0), wave=1)
    bench.run(0.3)
    assert bench.stager._is_complete(2) and bench.stager._is_complete(3)
    assert bench.engine.version == 1


def test_one_chunk_at_a_time_is_in_flight_on_the_link():
    bench = Bench()
    active, most = 0, 0
    answer = bench.network.handlers[PEER]

    def count(request):
        nonlocal active, most
        active += 1
        most = max(most, active)
        gevent.sleep(0.005)
        active -= 1
        return answer(request)

    bench.network.handlers[PEER] = count
    bench.greet((1, 0.0, 0.0))
    bench.run(0.5)
    assert bench.engine.version == 1
    assert most == 1


def test_all_stagers_follow_the_plan_of_the_same_entry():
    bench = Bench(version=1)
    first = Greeting("10.0.0.1", "z1", MODEL, ((2, 1.0, 0.0, True),), 0, 3, 8.0)
    other = Greeting("10.0.0.2", "z1", MODEL, ((2, 1.0, 0.0, True),), 2, 3, 8.0)
    bench.stager._handle_greeting(first)
    bench.stager._handle_greeting(other)
    assert bench.stager._greeting.wave == 0


def test_plan_of_an_entry_without_the_newest_version_is_not_followed():
    bench = Bench(version=1)
    behind = Greeting("10.0.0.1", "z1", MODEL, ((1, 9.0, 1.0, True),), 0, 3, 8.0)
    before = Greeting("10.0.0.2", "z1", MODEL, ((2, 1.0, 0.0, True),), 2, 3, 8.0)
    after = Greeting("10.0.0.2", "z1", MODEL, ((2, 2.0, 0.7, True),), 2, 3, 8.0)
    for greeting in (behind, before, behind, after):
        bench.stager._handle_greeting(greeting)
    assert bench.stager._greeting == after


@pytest.mark.parametrize(
    "data",
    [
        b"", b"{}", b"[1]", b'["g"]', b"\xff", b'["x",1]',
        # Namings in the formats of earlier releases.
        b'["l",1,2,true,0,0,1.0,false,[],[3,1.2]]',
        b'["l",1,2,true,0,0,1.0,false,[],[[3,1.2]]]',
        b'["g","10.0.0.1","z1","m",[[2,1.0]]]',
        b'["g","10.0.0.1","z1","m",[["2",1.0,0.0,true]]]',
        # Confirmations in the format of earlier releases, and invalid ones.
        b'["c",1.0,0.5,[[2,1]]]', b'["c",1.0,[null],[[2,1]]]', b'["c",1.0,[],[]]',
    ],
)  # fmt: skip
def test_foreign_datagrams_are_typed_errors(data):
    with pytest.raises(MalformedDatagramError):
        decode(data)


def test_messages_survive_their_encoding():
    load = Load(1, 2, True, 3, 4, 1.0, (("10.0.0.1", "z1"),))
    again = decode(encode(load))
    assert (again.started_ms, again.version, again.running) == (1, 2, 3)
    assert tuple(map(tuple, again.entries)) == load.entries


class Held:
    """A target with the attributes that the plan of waves needs."""

    def __init__(self, name, version):
        self.id, self._version = name, version

    def version_of(self, model):
        return self._version


def test_waves_are_of_about_one_size_and_leave_out_engines_without_weights():
    engines_ = [Held(f"i{n}", 1) for n in range(7)] + [Held("new", 0)]
    waves = [plan_wave(engines_, e, MODEL)["wave"] for e in engines_[:7]]
    assert sorted(waves.count(w) for w in set(waves)) == [2, 2, 3]
    assert updated_share(engines_, MODEL, 2) == 0.0
    assert updated_share(engines_, MODEL, 1) == 1.0


def test_greetings_that_waited_during_a_pause_give_no_certain_age():
    clock = ManualClock()
    bench = Bench(version=1, clock=clock)
    bench.greet((1, 90.0, 1.0), (2, 0.1, 0.0))
    clock.suspend(5.0)
    bench.greet((1, 90.2, 1.0), (2, 0.3, 0.0), (3, 0.1, 0.0))
    assert 3 not in [
        version for version, _, _ in bench.stager._namings.describe_certain()
    ]


def test_entry_that_lacks_namings_gets_them_in_one_datagram_that_fits():
    bench = Bench(version=1)
    names = ((1, 9000.123, 1.0, True), *((v, 99.123, 1.0, True) for v in (21, 22, 23)))
    for number in range(100, 150):
        bench.stager._handle_greeting(
            Greeting(f"10.200.100.{number}", "failure-domain-a", MODEL, names)
        )
    sizes_bytes = []
    bench.stager._send = lambda data, host: sizes_bytes.append(len(data))
    late = Greeting("10.200.100.100", "failure-domain-a", MODEL, names[:-1])
    bench.stager._handle_greeting(late)
    assert len(sizes_bytes) == 1
    assert sizes_bytes[0] < MAX_BYTES


def test_entry_that_only_assumes_when_a_version_was_named_gets_the_time():
    bench = Bench(version=1)
    bench.greet((1, 90.0, 1.0), (2, 1.0, 0.0))
    bench.sent.clear()
    bench.stager._handle_greeting(
        Greeting("10.0.0.9", "z1", MODEL, ((2, 5.0, 0.0, False),), 0, 3, 8.0)
    )
    (namings,) = [load.namings for load in bench.sent if load.namings]
    assert [(version, certain) for version, _, certain in namings] == [
        (1, True),
        (2, True),
    ]
    assert 1.0 <= namings[1][1] < 1.2
    # An assumed time does not replace one that is certain.
    assert bench.stager._namings.age_s(2) < 1.2
