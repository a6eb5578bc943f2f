"""Reports of crashes between entries: their size, and how excuses spread."""

import itertools

import gevent
import pytest

from briarbeam.distribution import crash_reporter
from briarbeam.distribution.crash_messages import (
    RUNS_PER_DATAGRAM,
    SUSPECTS_PER_ROW,
    encode_crashes,
    encode_runs,
)
from briarbeam.distribution.crash_reporter import DATAGRAMS_PER_SYNC, CrashReporter
from briarbeam.distribution.errors import MalformedDatagramError
from briarbeam.distribution.messages import (
    MAX_BYTES,
    CrashReport,
    decode,
)
from briarbeam.kernel.clock import ManualClock
from briarbeam.relay.crash_evidence import (
    REQUESTS_PER_CRASH_MAX,
    CrashEvidence,
    CrashRow,
    RunRow,
)
from briarbeam.relay.quarantine import Quarantine
from briarbeam.relay.suspects import request_suspect

LONG_ID = "f" * 16
HOSTS = [f"10.0.0.{number}" for number in range(5)]


class Group:
    """Entries whose datagrams are delivered at once, and counted by their sender."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.evidence = {host: CrashEvidence(self.clock) for host in HOSTS}
        self.sent = []
        self.reporters = {host: self._add(host) for host in HOSTS}

    def _add(self, host):
        evidence = self.evidence[host]
        return CrashReporter(
            evidence,
            Quarantine(self.clock, evidence),
            host,
            lambda: {(other, "z1") for other in HOSTS},
            lambda data, to: self._deliver(host, data, to),
        )

    def _deliver(self, host, data, to):
        assert len(data) <= MAX_BYTES
        self.sent.append((host, to))
        self.reporters[to].handle_report(host, decode(data))

    def unexcused(self):
        return [set(self.evidence[host].unexcused()) for host in HOSTS]


def test_reports_fit_into_datagrams():
    requests = (LONG_ID,) * REQUESTS_PER_CRASH_MAX
    rows = [
        CrashRow(LONG_ID, f"{number:08}", 123456.789, requests, False, False)
        for number in range(21)
    ]
    datagrams = encode_crashes(rows)
    assert len(datagrams) == 3
    assert max(map(len, datagrams)) <= MAX_BYTES
    assert [row for data in datagrams for row in decode(data).rows] == rows
    run = RunRow("12345678", 123456.789, 100, 100)
    datagram = encode_runs([run] * 100)
    assert len(datagram) <= MAX_BYTES
    assert decode(datagram) == CrashReport((), (run,) * RUNS_PER_DATAGRAM)


def test_suspects_with_the_same_crash_share_rows():
    """Each part of a long prompt had a row of its own, in five times as many bytes."""
    requests = (LONG_ID,) * REQUESTS_PER_CRASH_MAX
    longest = [
        CrashRow(f"{number:016x}", "12345678", 123456.789, requests, False, False)
        for number in range(3 * SUSPECTS_PER_ROW + 1)
    ]
    datagrams = encode_crashes(longest)
    assert max(map(len, datagrams)) <= MAX_BYTES
    assert [row for data in datagrams for row in decode(data).rows] == longest
    prompt = [
        CrashRow(f"{number:08x}", "12345678", 0.123, ("0123456789abcde",), False)
        for number in range(20)
    ]
    (datagram,) = encode_crashes(prompt)
    assert len(datagram) <= 20 * 15


@pytest.mark.parametrize(
    "data",
    [
        b'["x"]',
        b'["x",1]',
        b'["x",[["p","r",1.0,["q"]]]]',
        b'["x",[["p","r",-1.0,["q"],false]]]',
        b'["x",[["p","r",NaN,["q"],false]]]',
        b'["x",[["p","r",Infinity,["q"],false]]]',
        b'["x",[["p","r",1.0,["q"],1]]]',
        b'["x",[["p","r",1.0,["q"],false,1]]]',
        b'["x",[[["p",1],"r",1.0,["q"],false]]]',
        b'["x",[[[["p"]],"r",1.0,["q"],false]]]',
        b'["x",[[{"p":1},"r",1.0,["q"],false]]]',
        b'["x",[["p","r",1.0,["q"],false,false,false]]]',
        b'["x",[[1,"r",1.0,["q"],false]]]',
        b'["x",[["p","r",1.0,[2],false]]]',
        b'["x",[["p","r",1.0,5,false]]]',
        b'["x",[["p","r",1.0,["a","b","c","d","e"],false]]]',
        b'["x",[["%b","r",1.0,["q"],false]]]' % (b"f" * 17),
        b'["x",[],[["r",1.0,0]]]',
        b'["x",[],[["r",NaN,1]]]',
        b'["x",[],[["r",1.0]]]',
        b'["x",[],[["r",1.0,1,-1]]]',
        b'["x",[],[["r",1.0,1,1,1]]]',
        b'["x",[],[["%b",1.0,1]]]' % (b"f" * 17),
    ],
)
def test_malformed_report_is_refused(data):
    with pytest.raises(MalformedDatagramError):
        decode(data)


def test_crash_is_reported_to_all_and_excused_by_one(monkeypatch):
    # Two entries that wait equally long both send, so the waits differ clearly.
    delays_s = itertools.count(0.0, 0.2)
    monkeypatch.setattr(crash_reporter.random, "uniform", lambda *_: next(delays_s))
    group = Group()
    for host in HOSTS[1:]:
        group.evidence[host].record_survival(("aa",), "sound")
    now_s = group.clock.boottime_s()
    group.evidence[HOSTS[0]].record_crash(("aa", "bad"), "r1", "run1", now_s)
    gevent.sleep(0.2 * len(HOSTS) + 0.05)
    assert group.unexcused() == [{"bad", request_suspect("r1")}] * len(HOSTS)
    reports_before = len(HOSTS) - 1
    excusing = {sender for sender, _ in group.sent[reports_before:]} - {HOSTS[0]}
    assert len(excusing) == 1


def test_entry_that_was_cut_off_learns_that_a_crash_is_excused():
    group = Group()
    now_s = group.clock.boottime_s()
    rows = [CrashRow("aa", "run1", 1.0, ("r1",), False)]
    for host in HOSTS:
        group.evidence[host].merge(rows)
    group.evidence[HOSTS[0]].on_news = lambda keys: None
    group.evidence[HOSTS[0]].record_survival(("aa",), "sound")
    for _ in range(20):
        for reporter in group.reporters.values():
            reporter.synchronize()
    assert group.unexcused() == [set()] * len(HOSTS)
    assert group.clock.boottime_s() == now_s


def test_nothing_is_sent_while_nothing_is_suspected():
    group = Group()
    group.evidence[HOSTS[0]].record_survival(("aa",), "sound")
    for reporter in group.reporters.values():
        reporter.synchronize()
    gevent.sleep(0.01)
    assert not group.sent


def test_size_of_a_synchronization_is_bounded():
    group = Group()
    evidence = group.evidence[HOSTS[0]]
    rows = [
        CrashRow(f"{part:x}", f"run{number}", 1.0, ("r1",), False)
        for part in range(100)
        for number in range(16)
    ]
    evidence.merge(rows)
    group.reporters[HOSTS[0]].synchronize()
    assert len(group.sent) <= 1 + DATAGRAMS_PER_SYNC


def test_entry_that_starts_learns_of_all_parts_of_a_long_prompt():
    """Of several parts with the same crashes it learned some, and not the deadly one."""
    group = Group()
    parts = [f"a0{number:06x}" for number in range(40)]
    rows = [
        CrashRow(part, f"run{number}", 1.0 + number, (f"r{number}",), False)
        for part in parts
        for number in range(4)
    ]
    group.evidence[HOSTS[0]].merge(rows)
    for _ in range(60):
        group.reporters[HOSTS[0]].synchronize()
    assert group.unexcused() == [set(parts)] * len(HOSTS)
