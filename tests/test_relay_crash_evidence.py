"""Which part of prompts is held responsible for crashes, and what looks like one."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from briarbeam.kernel.clock import ManualClock
from briarbeam.relay.crash_evidence import (
    CRASH_EXPIRY_S,
    CRASHES_PER_SUSPECT_MAX,
    FORGOTTEN_AT_ONCE,
    MOMENT_S,
    SURVIVAL_EXCUSES_S,
    SURVIVED_SUSPECTS_MAX,
    SUSPECTS_MAX,
    CrashEvidence,
    CrashRow,
)
from briarbeam.relay.crash_guard import SURVIVED_AFTER_S
from briarbeam.relay.culprits import CRASHES_MIN, find_culprits
from briarbeam.relay.quarantine import (
    SETTLE_S,
    TRIAL_AFTER_MAX_S,
    TRIAL_AFTER_S,
    Quarantine,
)
from briarbeam.relay.suspects import is_request, request_suspect


def new_evidence():
    clock = ManualClock()
    clock.advance(1000.0)
    evidence = CrashEvidence(clock)
    return clock, evidence, Quarantine(clock, evidence)


def crash(clock, evidence, run, *prompts, begun=False):
    """Record that the run of an engine ended under requests with `prompts`."""
    now_s = clock.boottime_s()
    for parts in prompts:
        evidence.record_crash(parts[:-1], parts[-1], run, now_s, begun)


def crash_apart(clock, evidence, count, *parts):
    """Record crashes of different engines under different requests with `parts`."""
    for _ in range(count):
        clock.advance(2 * MOMENT_S)
        name = f"{clock.boottime_s():.1f}"
        crash(clock, evidence, name, (*parts, name))


def survive(evidence, *parts):
    """Record that an engine survived a request with `parts`."""
    evidence.record_survival(parts, "survived")


def suspected_parts(evidence):
    return {suspect for suspect in evidence.unexcused() if not is_request(suspect)}


def culprits(evidence):
    return {
        part
        for group in find_culprits(evidence.unexcused(), evidence.runs)
        for part in group
    }


def test_part_is_responsible_after_enough_crashes():
    clock, evidence, quarantine = new_evidence()
    crash_apart(clock, evidence, CRASHES_MIN - 1, "aa", "bad")
    assert not quarantine.suspects
    survive(evidence, "aa")
    crash_apart(clock, evidence, 1, "bad")
    assert quarantine.suspects == {"bad"}
    assert quarantine.left_s(("aa", "bad")) is None
    clock.advance(SETTLE_S)
    assert 29.0 < quarantine.left_s(("aa", "bad")) <= TRIAL_AFTER_S
    assert quarantine.left_s(("aa",)) is None


def test_part_that_engines_survived_shortly_before_is_not_suspected():
    clock, evidence, _ = new_evidence()
    for _ in range(5):
        survive(evidence, "hot")
        clock.advance(SURVIVAL_EXCUSES_S - 2 * MOMENT_S)
        crash_apart(clock, evidence, 1, "hot")
    assert not suspected_parts(evidence)
    clock.advance(SURVIVAL_EXCUSES_S)
    crash_apart(clock, evidence, 3, "hot")
    assert len(evidence.unexcused()["hot"]) == 3
    survive(evidence, "hot")
    assert not suspected_parts(evidence)


def test_repetitions_of_one_request_count_once():
    clock, evidence, _ = new_evidence()
    for number in range(8):
        clock.advance(1.0)
        crash(clock, evidence, f"run{number}", ("aa", "same"))
    assert culprits(evidence) == {request_suspect("same")}


def test_engines_that_end_at_the_same_moment_count_once():
    clock, evidence, _ = new_evidence()
    for number in range(16):
        crash(clock, evidence, f"run{number}", ("aa", f"r{number}"))
    assert not culprits(evidence)


def test_engines_that_end_nearly_together_under_different_requests_count_each():
    clock, evidence, _ = new_evidence()
    crash(clock, evidence, "run0", ("aa", "bad", "r0"))
    survive(evidence, "aa")
    clock.advance(0.4)
    crash(clock, evidence, "run1", ("bad", "r1"), ("bb", "r2"))
    clock.advance(MOMENT_S / 2)
    crash(clock, evidence, "run2", ("bad", "r3"), ("cc", "r4"))
    assert culprits(evidence) == {"bad"}


def test_requests_that_had_begun_do_not_weaken_the_evidence_against_a_part():
    """Two more engines ended before the part was found."""
    clock, evidence, quarantine = new_evidence()
    for number in range(CRASHES_MIN):
        clock.advance(1.0)
        run = f"run{number}"
        begun = [(f"n{number}-{index}", f"s{number}-{index}") for index in range(12)]
        crash(clock, evidence, run, *begun, begun=True)
        prompts = [(f"m{number}-{index}", f"r{number}-{index}") for index in range(3)]
        crash(clock, evidence, run, ("bad", f"b{number}"), *prompts)
    assert quarantine.suspects == {"bad"}


def test_part_of_a_request_that_had_begun_is_one_of_all_requests_not_survived():
    """Three engines with full batches would be enough to refuse a sound part."""
    clock, evidence, quarantine = new_evidence()
    for number in range(5):
        assert not quarantine.suspects
        clock.advance(1.0)
        run = f"run{number}"
        waiting = [(f"m{number}-{index}", f"r{number}-{index}") for index in range(12)]
        crash(clock, evidence, run, *waiting)
        begun = [(f"n{number}-{index}", f"s{number}-{index}") for index in range(3)]
        crash(clock, evidence, run, ("bad", f"b{number}"), *begun, begun=True)
    assert quarantine.suspects == {"bad"}


def test_crashes_that_a_part_explains_do_not_count_against_others():
    clock, evidence, _ = new_evidence()
    crash_apart(clock, evidence, 4, "bad")
    crash_apart(clock, evidence, 3, "aa", "bad")
    assert culprits(evidence) == {"bad"}
    crash_apart(clock, evidence, 2, "aa")
    assert culprits(evidence) == {"bad"}
    crash_apart(clock, evidence, 1, "aa")
    assert culprits(evidence) == {"aa", "bad"}


def test_parts_at_the_same_crashes_form_a_group():
    clock, evidence, _ = new_evidence()
    for number in range(4):
        clock.advance(1.0)
        prompts = [("aa", "bad", f"b{number // 2}"), ("aa", f"r{number}")]
        crash(clock, evidence, f"run{number}", *prompts)
    assert find_culprits(evidence.unexcused(), evidence.runs) == [{"aa", "bad"}]
    crash_apart(clock, evidence, 1, "bad")
    assert find_culprits(evidence.unexcused(), evidence.runs) == [{"bad"}]


def test_crashes_of_another_cause_do_not_end_a_quarantine():
    clock, evidence, quarantine = new_evidence()
    others = [(f"m{number}", f"r{number}") for number in range(4)]
    for number in range(3):
        clock.advance(1.0)
        crash(clock, evidence, f"run{number}", ("bad", f"b{number}"), *others)
    assert quarantine.suspects == {"bad"}
    for number in range(8):
        clock.advance(1.0)
        crash(clock, evidence, f"plain{number}", *others)
        survive(evidence, *(part for part, _ in others))
    crash(clock, evidence, "run3", ("bad", "b3"), *others)
    assert quarantine.suspects == {"bad"}
    assert not find_culprits(evidence.unexcused(), evidence.runs)


def test_time_until_a_trial_doubles_with_each_failed_one():
    clock, evidence, quarantine = new_evidence()
    crash_apart(clock, evidence, 3, "bad")
    clock.advance(SETTLE_S)
    waits_s = []
    for number in range(9):
        wait_s = quarantine.left_s(("bad",))
        waits_s.append(round(wait_s + SETTLE_S))
        assert not quarantine.try_trial(("bad",))
        clock.advance(wait_s)
        evidence.expire(quarantine.suspects)
        assert quarantine.try_trial(("bad",))
        assert not quarantine.try_trial(("bad",))
        clock.advance(0.5)
        crash(clock, evidence, f"trial{number}", ("bad", f"t{number}"))
        clock.advance(SETTLE_S)
    assert waits_s == [30, 60, 120, 240, 480, 960, 1920, TRIAL_AFTER_MAX_S, 3600]


def test_trial_goes_to_another_entry_if_it_is_not_made():
    clock, evidence, quarantine = new_evidence()
    quarantine.is_turn = lambda subject: subject == "bad/1"
    crash_apart(clock, evidence, 3, "bad")
    clock.advance(TRIAL_AFTER_S + 1.0)
    assert not quarantine.try_trial(("bad",))
    clock.advance(5.0)
    assert quarantine.try_trial(("bad",))


def test_old_crashes_are_forgotten_unless_quarantined():
    clock, evidence, quarantine = new_evidence()
    crash_apart(clock, evidence, 3, "bad")
    crash_apart(clock, evidence, 2, "aa")
    clock.advance(CRASH_EXPIRY_S + 1.0)
    evidence.expire(quarantine.suspects)
    assert set(evidence.unexcused()) == {"bad"}
    rows = [CrashRow(name, "old", CRASH_EXPIRY_S + 2.0, ("r",), False)
            for name in ("aa", request_suspect("r"))]  # fmt: skip
    evidence.merge(rows)
    assert set(evidence.unexcused()) == {"bad"}


def test_last_survivals_are_bounded():
    _, evidence, _ = new_evidence()
    for number in range(SURVIVED_SUSPECTS_MAX + 100):
        survive(evidence, f"{number:x}")
    assert len(evidence._survived_s) == SURVIVED_SUSPECTS_MAX


class Traffic:
    """Requests with three or four parts, of three routes with skewed middle parts."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.count = 0

    def prompt(self, bad_share=0.0):
        self.count += 1
        route = self.random.randrange(3)
        middle = int(60 * self.random.random() ** 2)
        parts = [f"route{route}", f"m{route}-{middle}"]
        if self.random.random() < 0.5:
            parts.append(f"deep{self.random.randrange(200)}")
        if self.random.random() < bad_share:
            parts.insert(1, "bad")
        return (*parts, f"own{self.count}")


def serve(clock, evidence, traffic, duration_s, rate_per_s, share):
    """Let engines survive requests for `duration_s` at a share of the usual rate."""
    for _ in range(int(duration_s * 10)):
        clock.advance(0.1)
        for _ in range(max(1, int(rate_per_s * share / 10))):
            survive(evidence, *traffic.prompt()[:-1])


@pytest.mark.parametrize(("engines", "rate_per_s"), [(8, 100), (18, 200)])
@pytest.mark.parametrize("seed", range(4))
def test_few_crashes_of_full_batches_leave_only_the_part(engines, rate_per_s, seed):
    clock, evidence, quarantine = new_evidence()
    traffic = Traffic(seed)
    serve(clock, evidence, traffic, 3.0, rate_per_s, 1.0)
    crashes = 0
    while "bad" not in quarantine.suspects:
        crashes += 1
        batch = [traffic.prompt() for _ in range(15)]
        bad = traffic.prompt(bad_share=1.0)
        crash(clock, evidence, f"run{crashes}", *batch, bad)
        assert crashes <= 5
        share = max(0.1, (engines - crashes) / engines)
        serve(clock, evidence, traffic, 0.3, rate_per_s, share)
    serve(clock, evidence, traffic, 1.0, rate_per_s, 0.5)
    assert quarantine.suspects == {"bad"}


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    ("interval_s", "at_once", "gap_s", "share"),
    [
        (1.0, 1, 0.0, 0.8),
        (2.0, 2, 0.0, 0.5),
        (6.0, 8, 0.0, 0.3),
        (12.0, 8, 0.1, 0.3),
        (0.5, 1, 0.0, 0.5),
    ],
    ids=["restarts by turns", "flapping pairs", "stops of all", "slow stops", "storm"],
)
def test_crashes_of_other_causes_hold_no_part_responsible(
    interval_s, at_once, gap_s, share, seed
):
    clock, evidence, quarantine = new_evidence()
    traffic = Traffic(seed)
    serve(clock, evidence, traffic, 3.0, 100, 1.0)
    for number in range(20):
        for engine in range(at_once):
            batch = [traffic.prompt() for _ in range(16)]
            crash(clock, evidence, f"run{number}-{engine}", *batch)
            clock.advance(gap_s)
        clock.advance(SETTLE_S)
        assert not quarantine.suspects
        serve(clock, evidence, traffic, interval_s, 100, share)


class RunningFleet:
    """Engines that end by themselves, with requests that wait and answers that run."""

    WAIT_S, LENGTH_S, DOWN_S = (0.05, 0.3), (0.6, 1.6), 3.0

    def __init__(self, seed, engines):
        self.random = random.Random(seed)
        self.clock, self.evidence, self.quarantine = new_evidence()
        self.traffic = Traffic(seed)
        self.engines = engines
        self.up_from_s = [0.0] * engines
        # The begin and the end of each answer, its engine and the prompt.
        self.answers = []
        self.survived = set()
        self.crashes = 0

    def send(self, prompt):
        now_s = self.clock.boottime_s()
        up = [n for n in range(self.engines) if self.up_from_s[n] <= now_s]
        if up:
            begin_s = now_s + self.random.uniform(*self.WAIT_S)
            end_s = begin_s + self.random.uniform(*self.LENGTH_S)
            self.answers.append((begin_s, end_s, self.random.choice(up), prompt))

    def step(self, requests):
        self.clock.advance(0.05)
        for _ in range(requests):
            self.send(self.traffic.prompt())
        now_s = self.clock.boottime_s()
        for answer in self.answers:
            if answer not in self.survived and now_s >= answer[0] + SURVIVED_AFTER_S:
                self.survived.add(answer)
                survive(self.evidence, *answer[3][:-1])
        self.answers = [answer for answer in self.answers if answer[1] > now_s]

    def end(self, engine):
        now_s = self.clock.boottime_s()
        self.crashes += 1
        self.up_from_s[engine] = now_s + self.DOWN_S
        cut = [answer for answer in self.answers if answer[2] == engine]
        self.answers = [answer for answer in self.answers if answer[2] != engine]
        run = f"run{self.crashes}"
        for answer in cut:
            if answer not in self.survived:
                begun = now_s >= answer[0]
                crash(self.clock, self.evidence, run, answer[3], begun=begun)
            self.send(answer[3])


@pytest.mark.parametrize(
    ("engines", "requests_per_step", "interval_s", "at_once"),
    [(8, 5, 1.0, 1), (8, 5, 0.5, 1), (8, 5, 6.0, 7), (18, 10, 0.5, 1)],
)
@pytest.mark.parametrize("seed", range(2))
def test_answers_that_run_beside_plain_crashes_hold_no_part_responsible(
    engines, requests_per_step, interval_s, at_once, seed
):
    """An engine that ends takes answers along that it had begun and not survived."""
    fleet = RunningFleet(seed, engines)
    for step in range(400):
        fleet.step(requests_per_step)
        if step % round(interval_s / 0.05) == 0:
            for engine in fleet.random.sample(range(engines), at_once):
                fleet.end(engine)
            fleet.clock.advance(SETTLE_S)
            assert not any(map(is_part, fleet.quarantine.suspects))
    assert fleet.crashes >= 20 / interval_s


def is_part(suspect):
    return not is_request(suspect)


def test_hot_part_during_plain_crashes_is_not_held_responsible():
    clock, evidence, quarantine = new_evidence()
    for number in range(20):
        clock.advance(0.7)
        survive(evidence, "hot")
        prompts = [("hot", f"r{number}-{index}") for index in range(16)]
        crash(clock, evidence, f"run{number}", *prompts)
        assert not quarantine.suspects


PARTS = st.sampled_from([f"p{number}" for number in range(5)])
RUNS = st.sampled_from([f"run{number}" for number in range(6)])


class TestSharedEvidence(RuleBasedStateMachine):
    """Two entries that exchange reports late, repeatedly and in any order."""

    @initialize()
    def start(self):
        self.clock = ManualClock()
        self.clock.advance(1000.0)
        self.entries = [CrashEvidence(self.clock) for _ in range(2)]
        self.sent = []
        self.excused = set()
        for entry in self.entries:
            entry.on_news = lambda keys, entry=entry: self._send(entry, keys)

    def _send(self, entry, keys):
        rows = entry.rows(keys)
        self.sent.append((entry, self.clock.boottime_s(), rows))
        self.excused |= {(row.suspect, row.run) for row in rows if row.excused}

    @rule(part=PARTS, run=RUNS, request=PARTS, entry=st.integers(0, 1))
    def end(self, part, run, request, entry):
        now_s = self.clock.boottime_s()
        self.entries[entry].record_crash((part,), request, run, now_s)

    @rule(part=PARTS, entry=st.integers(0, 1))
    def survive(self, part, entry):
        survive(self.entries[entry], part)
        assert not self.entries[entry].is_suspected(part, 1)

    @rule(duration_s=st.floats(0.0, 3.0))
    def wait(self, duration_s):
        self.clock.advance(duration_s)

    @rule(data=st.data())
    def deliver(self, data):
        """Deliver a report, which stays to be delivered again."""
        if not self.sent:
            return
        sender, sent_s, rows = data.draw(st.sampled_from(self.sent))
        (receiver,) = [entry for entry in self.entries if entry is not sender]
        self._merge(receiver, rows, self.clock.boottime_s() - sent_s)

    def _merge(self, receiver, rows, delay_s):
        # The ages in a report do not include how long it was on its way.
        newly, known = receiver.merge(rows)
        if newly + known:
            self._send(receiver, newly + known)

    @rule()
    def synchronize(self):
        """After both have sent all, both hold the same."""
        for _ in range(3):
            for entry, other in (self.entries, self.entries[::-1]):
                keys = [(p, r) for p, runs in entry._crashes.items() for r in runs]
                self._merge(other, entry.rows(keys), 0.0)
        first, second = (
            {
                (part, run): (crash.requests, crash.excused)
                for part, crashes in entry._crashes.items()
                for run, crash in crashes.items()
            }
            for entry in self.entries
        )
        assert first == second

    @invariant()
    def excused_crashes_stay_excused(self):
        for part, run in getattr(self, "excused", ()):
            states = [
                entry._crashes[part][run].excused
                for entry in self.entries
                if run in entry._crashes.get(part, {})
            ]
            assert any(states)


TestSharedEvidence.TestCase.settings = settings(max_examples=60, deadline=None)
TestSharedEvidence = TestSharedEvidence.TestCase


def test_table_is_bounded():
    clock, evidence, _ = new_evidence()
    for number in range(SUSPECTS_MAX + 50):
        crash(clock, evidence, "run", (f"{number:x}", "r"))
    assert SUSPECTS_MAX - FORGOTTEN_AT_ONCE <= len(evidence._crashes) <= SUSPECTS_MAX
    crash_apart(clock, evidence, CRASHES_PER_SUSPECT_MAX + 5, "bad")
    assert len(evidence._crashes["bad"]) == CRASHES_PER_SUSPECT_MAX
    for number in range(SUSPECTS_MAX + 50):
        crash(clock, evidence, "run2", (f"x{number:x}", "r"))
    assert culprits(evidence) == {"bad"}
