"""Parts of prompts that end engines: how few engines end, and who is still served."""

import contextlib
import functools
from dataclasses import replace

import gevent
import pytest
from structlog.testing import capture_logs

from briarbeam.distribution.crash_reporter import CrashReporter
from briarbeam.distribution.messages import decode
from briarbeam.relay.crash_evidence import MOMENT_S, CrashRow
from briarbeam.relay.quarantine import SETTLE_S

from .relay_fakes import (
    END,
    NOT_RUN,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    crash_on,
    event,
    never_answer,
    prompt,
    reply,
    stream_head,
)

RETURN_S = 0.4


def add_engines(count, delay_s=0.0):
    """Return engines that end at the part ``bad`` and return after `RETURN_S`.

    :param delay_s: how long they take to end.
    """
    script = crash_on(b"bad")

    def crash_and_return(instance, sock, request):
        if b"bad" in request:
            gevent.sleep(delay_s)
        script(instance, sock, request)
        if b"bad" in request:
            instance.crashes += 1
            gevent.spawn_later(RETURN_S, restart, instance)

    def restart(instance):
        instance.restart()
        for entry in instance.entries:
            (target,) = (
                target
                for target in entry.fleet.all()
                if target.instance.address == instance.address
            )
            started_ms = target.instance.started_ms + 1
            target.instance = replace(target.instance, started_ms=started_ms)

    engines = {f"i{number}": FakeInstance(crash_and_return) for number in range(count)}
    for engine in engines.values():
        engine.crashes = 0
        engine.entries = []
    return engines


def send_event_before_end(engines, begins_after_s=0.0, ends_after_s=0.05):
    """Let engines send the first event of an answer before they end."""

    def begin_and_end(crash, instance, sock, request):
        if b"bad" in request:
            gevent.sleep(begins_after_s)
            sock.sendall(stream_head() + event(1))
            gevent.sleep(ends_after_s)
        crash(instance, sock, request)

    for engine in engines.values():
        engine._script = functools.partial(begin_and_end, engine._script)


def count_crashes(engines):
    return sum(engine.crashes for engine in engines.values())


def watch_starts(entries, engines):
    """Let `entries` learn of each new start of the engines at once."""
    for engine in engines.values():
        engine.entries = entries


class Network:
    """Entries that exchange their reports of crashes in memory, but for those `cut`."""

    def __init__(self, engines, count):
        self.entries = [Entry(engines, **RESUMABLE_STREAM) for _ in range(count)]
        self.cut = set()
        self.sent_bytes = 0
        self.reporters = {
            f"10.0.0.{number}": self._connect(f"10.0.0.{number}", entry)
            for number, entry in enumerate(self.entries)
        }

    def _connect(self, host, entry):
        return CrashReporter(
            entry.evidence,
            entry.quarantine,
            host,
            lambda: {(other, "z1") for other in self.reporters},
            lambda data, to: self._deliver(host, data, to),
        )

    def _deliver(self, host, data, to):
        self.sent_bytes += len(data)
        if not {host, to} & self.cut:
            self.reporters[to].handle_report(host, decode(data))


def evidence_rows(*parts, crashes=3):
    """Return the reports of crashes that make `parts` responsible."""
    return [
        CrashRow(part, f"run{number}", 1.0 + 2 * MOMENT_S * number, (f"{number}",), False)
        for part in parts
        for number in range(crashes)
    ]  # fmt: skip


def ask(entry, *parts):
    """Send a request with the prompt of `parts`, which are its body, too."""
    return entry.ask(method=b"POST", headers=prompt(*parts), body=b",".join(parts))


def quarantine(entry, *parts):
    entry.evidence.merge(evidence_rows(*parts))
    gevent.sleep(SETTLE_S + 0.05)


def test_part_that_ends_engines_reaches_few_of_them():
    """28 engines ended in 22 s, and a third of the sound requests beside was served."""
    engines = add_engines(8)
    entry = Entry(engines, **RESUMABLE_STREAM)
    watch_starts([entry], engines)
    served = 0
    for number in range(1, 13):
        ask(entry, b"aa", b"bad", b"%x" % number)
        served += ask(entry, b"aa", b"cc", b"%x" % (100 + number)).endswith(END)
        gevent.sleep(0.25)
    assert count_crashes(engines) <= 5
    assert served >= 10


@pytest.mark.parametrize("parts_before", [16, 1000])
def test_part_of_a_long_prompt_that_ends_engines_reaches_few_of_them(parts_before):
    """Parts behind the 16th were ignored, and 24 to 40 requests reached engines."""
    engines = add_engines(8)
    entry = Entry(engines, **RESUMABLE_STREAM)
    watch_starts([entry], engines)
    shared = [b"a0%06x" % number for number in range(parts_before)]
    served = 0
    for number in range(1, 9):
        ask(entry, *shared, b"bad", b"%x" % number)
        sound = ask(entry, *shared, b"cc", b"%x" % (100 + number))
        served += sound.endswith(END)
        gevent.sleep(0.25)
    assert count_crashes(engines) <= 5
    assert served >= 6
    assert entry.quarantine.suspects == {"bad"}


def test_part_that_ends_engines_after_their_first_event_reaches_few_of_them():
    """41 to 48 engines ended in 40 s: the first event excused the part."""
    engines = add_engines(8)
    send_event_before_end(engines, ends_after_s=0.04)
    entry = Entry(engines, **RESUMABLE_STREAM)
    watch_starts([entry], engines)
    served = 0
    for number in range(1, 13):
        with contextlib.suppress(ConnectionResetError):
            ask(entry, b"aa", b"bad", b"%x" % number)
        served += ask(entry, b"aa", b"cc", b"%x" % (100 + number)).endswith(END)
        gevent.sleep(0.25)
    assert count_crashes(engines) <= 5
    assert served >= 10
    assert entry.quarantine.suspects == {"bad"}


def test_entries_that_see_one_crash_each_find_the_part_together():
    engines = add_engines(10)
    network = Network(engines, 10)
    watch_starts(network.entries, engines)
    network.cut = {"10.0.0.9"}
    for number, entry in enumerate(network.entries[:9]):
        ask(entry, b"aa", b"bad", b"%x" % (number + 1))
        assert ask(entry, b"aa", b"%x" % (100 + number)).endswith(END)
        gevent.sleep(0.25)
    assert count_crashes(engines) <= 5
    assert all(entry.quarantine.suspects == {"bad"} for entry in network.entries[:9])
    assert not network.entries[9].quarantine.suspects
    network.cut = set()
    for _ in range(5):
        for reporter in network.reporters.values():
            reporter.synchronize()
    assert network.entries[9].quarantine.suspects == {"bad"}


def test_quarantined_request_is_refused_at_once_as_not_run():
    engine = FakeInstance(reply(stream_head() + event(1) + END))
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    quarantine(entry, "bad")
    answer = entry.ask(method=b"POST", headers=prompt(b"aa", b"bad", b"c1"))
    assert answer.startswith(b"HTTP/1.1 503") and b'"ran":"no"' in answer
    assert b"retry-after: " in answer
    assert not engine.requests
    for headers in (prompt(b"aa", b"c1"), prompt(b"aa", b"bad"), b""):
        assert entry.ask(method=b"POST", headers=headers).endswith(END)


def test_parts_that_cannot_be_told_apart_concern_requests_with_both():
    engine = FakeInstance(reply(stream_head() + event(1) + END))
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    quarantine(entry, "aa", "bad")
    answer = entry.ask(method=b"POST", headers=prompt(b"aa", b"bad", b"c1"))
    assert answer.startswith(b"HTTP/1.1 503")
    assert entry.ask(method=b"POST", headers=prompt(b"aa", b"c2")).endswith(END)
    assert entry.quarantine.suspects == {"bad"}
    answer = entry.ask(method=b"POST", headers=prompt(b"bad", b"c3"))
    assert answer.startswith(b"HTTP/1.1 503")


def test_request_that_is_quarantined_while_it_is_refused_goes_no_further():
    """The check is made again right before each send."""

    def refuse_late(instance, sock, request):
        quarantine(entry, "bad")
        sock.sendall(NOT_RUN)

    engines = {name: FakeInstance(refuse_late) for name in ("i1", "i2")}
    entry = Entry(engines, **RESUMABLE_STREAM)
    entry.quarantine.on_effective = lambda: None
    answer = entry.ask(method=b"POST", headers=prompt(b"bad", b"c1"))
    assert answer.startswith(b"HTTP/1.1 503")
    assert sum(len(engine.requests) for engine in engines.values()) == 1


def test_waiting_requests_are_cancelled_and_running_ones_go_on():
    def run_on(instance, sock, request):
        sock.sendall(stream_head() + event(1))
        gevent.sleep(SETTLE_S + 0.3)
        sock.sendall(event(2) + END)

    route = RESUMABLE_STREAM | {"max_attempts": 1}
    waiting, running = FakeInstance(never_answer), FakeInstance(run_on)
    entry = Entry({"i1": waiting}, **route)
    asked = gevent.spawn(
        entry.ask, method=b"POST", headers=prompt(b"aa", b"bad", b"c1")
    )
    gevent.sleep(0.05)
    entry.fleet._targets.clear()
    entry.add("i2", running.address)
    other = gevent.spawn(entry.ask, method=b"POST", headers=prompt(b"aa", b"c2"))
    gevent.sleep(0.05)
    quarantine(entry, "bad")
    assert asked.get(timeout=1.0).startswith(b"HTTP/1.1 502")
    assert len(waiting.closed_at_s) == 1
    assert entry.fleet.get("i2").failures == 0
    answer = other.get(timeout=2.0)
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(END)


@pytest.mark.parametrize(("crashes", "sends"), [(0, 2), (1, 1)])
def test_request_is_sent_again_after_a_crash_unless_its_part_is_suspected(
    crashes, sends
):
    engines = {
        "i1": FakeInstance(lambda instance, sock, request: instance.crash()),
        "i2": FakeInstance(lambda instance, sock, request: instance.crash()),
    }
    entry = Entry(engines, **RESUMABLE_STREAM)
    entry.evidence.merge(evidence_rows("aa", crashes=crashes))
    answer = entry.ask(method=b"POST", headers=prompt(b"aa", b"c1"))
    assert answer.startswith(b"HTTP/1.1 502")
    assert sum(len(engine.requests) for engine in engines.values()) == sends


def test_request_under_which_two_engines_ended_is_not_sent_a_third_time():
    """The caller's repetition ended a third engine, and told little about the part."""
    engines = add_engines(6, 2 * MOMENT_S)
    entry = Entry(engines, **RESUMABLE_STREAM)
    watch_starts([entry], engines)
    assert ask(entry, b"aa", b"bad", b"c1").startswith(b"HTTP/1.1 502")
    assert count_crashes(engines) == 2
    gevent.sleep(SETTLE_S + 0.05)
    answer = ask(entry, b"aa", b"bad", b"c1")
    assert answer.startswith(b"HTTP/1.1 503") and b'"ran":"no"' in answer
    assert count_crashes(engines) == 2
    assert ask(entry, b"aa", b"cc", b"c1").endswith(END)
    (suspect,) = entry.quarantine.suspects
    entry.evidence.record_survival((), suspect[1:])
    assert not ask(entry, b"aa", b"bad", b"c1").startswith(b"HTTP/1.1 503")


def test_sound_requests_beside_a_plain_crash_are_answered_by_another_engine():
    def crash_under_ten(instance, sock, request):
        while len(instance.requests) < 10:
            gevent.sleep(0.01)
        gevent.sleep(0.1)
        instance.crash()

    engine = FakeInstance(crash_under_ten)
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    asked = [
        gevent.spawn(entry.ask, method=b"POST", headers=prompt(b"aa", b"%x" % number))
        for number in range(10)
    ]
    gevent.sleep(0.05)
    second = FakeInstance(reply(stream_head() + event(1) + END))
    entry.add("i2", second.address)
    assert all(task.get(timeout=3.0).endswith(END) for task in asked)
    assert not entry.quarantine.suspects


def test_trial_ends_the_quarantine_or_renews_it():
    engines = {
        "i1": FakeInstance(crash_on(b"bad")),
        "i2": FakeInstance(crash_on(b"bad")),
    }
    entry = Entry(engines, **RESUMABLE_STREAM)
    rows = [
        CrashRow("bad", row.run, row.age_s + 31.0, row.requests, False)
        for row in evidence_rows("bad")
    ]
    entry.evidence.merge(rows)
    gevent.sleep(SETTLE_S + 0.05)
    headers = [prompt(b"aa", b"bad", b"%x" % number) for number in range(1, 5)]
    answer = entry.ask(method=b"POST", headers=headers[0])
    assert answer.startswith(b"HTTP/1.1 502")
    assert entry.ask(method=b"POST", headers=headers[1]).startswith(b"HTTP/1.1 503")
    assert sum(len(engine.requests) for engine in engines.values()) == 1
    (case,) = entry.quarantine._cases.values()
    assert case.trial_after_s == 60.0
    for crash in entry.evidence._crashes["bad"].values():
        crash.at_s -= 61.0
    entry.quarantine.update()
    entry.quarantine._cases[frozenset({"bad"})].trial_s = None
    mended = FakeInstance(reply(stream_head() + event(1) + END))
    entry.fleet._targets.clear()
    entry.add("i3", mended.address)
    assert entry.ask(method=b"POST", headers=headers[2]).endswith(END)
    assert not entry.quarantine.suspects
    assert entry.ask(method=b"POST", headers=headers[3]).endswith(END)


def test_one_entry_makes_the_trial_for_all():
    network = Network({"i1": FakeInstance(never_answer)}, 10)
    turns = [
        [e for e in network.entries if e.quarantine.is_turn(f"bad/{turn}")]
        for turn in range(20)
    ]
    assert all(len(entries) == 1 for entries in turns)
    assert len({id(entries[0]) for entries in turns}) > 4


def test_suspect_that_is_excused_at_once_leaves_no_line():
    """Entries hear of a crash one request at a time, and logged each step."""
    entry = Entry({}, **RESUMABLE_STREAM)
    with capture_logs() as lines:
        entry.evidence.merge(evidence_rows("bad"))
        entry.evidence.record_survival(("bad",), "survived")
        gevent.sleep(SETTLE_S + 0.05)
        quarantine(entry, "worse")
    events = [line["suspects"] for line in lines if "suspects" in line]
    assert events == [["worse"]]
