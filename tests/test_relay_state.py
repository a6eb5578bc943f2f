"""Tests of an entry's state: mirrors of the store, named versions, shared limits."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarbeam.kernel.clock import ManualClock
from briarbeam.platform.store import Change, Record
from briarbeam.relay.errors import HistoryGoneError, StoreUnavailableError
from briarbeam.relay.limits import ColdRateLimiter, EntryPosition, RetryBudget
from briarbeam.relay.mirror import Mirror
from briarbeam.relay.state_in_force import StateInForce

from .relay_fakes import new_versions
from .test_platform_records import CONFIG


class FakeStore:
    """Answers from a script, and raises the exceptions in it."""

    def __init__(self, clock, script):
        self.clock, self.script, self.calls = clock, list(script), []

    def _next(self, call):
        self.calls.append(call)
        self.clock.advance(0.5)
        answer = self.script.pop(0)
        if isinstance(answer, BaseException):
            raise answer
        return answer

    def list(self, kind):
        return self._next("list")

    def watch(self, kind, revision, wait_s):
        return self._next(f"watch {revision}")


def new_mirror(clock, script, seen):
    store = FakeStore(clock, script)
    return Mirror(
        store, "config", clock, lambda: 1.6, lambda r: seen.append(dict(r))
    ), store


def test_mirror_lists_then_follows_changes():
    clock, seen = ManualClock(), []
    gone = Change(Record("a", 4, {}), True)
    script = [([Record("a", 1, {})], 3), ([Change(Record("b", 4, {}), False)], 4),
              ([gone], 5), ([], 5)]  # fmt: skip
    mirror, store = new_mirror(clock, script, seen)
    for _ in range(4):
        mirror._step()
    assert [sorted(records) for records in seen] == [["a"], ["a", "b"], ["b"]]
    assert store.calls == ["list", "watch 3", "watch 4", "watch 5"]


def test_age_counts_from_the_send_of_the_confirming_call_and_grows_without_answers():
    clock, seen = ManualClock(), []
    script = [([], 3), ([], 3), StoreUnavailableError("down")]
    mirror, _ = new_mirror(clock, script, seen)
    assert mirror.age_s is None
    mirror._step()
    assert mirror.age_s == 0.5
    mirror._step()
    assert mirror.age_s == 0.5
    clock.advance(3.0)
    with pytest.raises(StoreUnavailableError):
        mirror._step()
    assert mirror.age_s == 4.0


def test_lost_history_and_a_lost_store_are_followed_by_a_new_list():
    clock, seen = ManualClock(), []
    script = [([], 3), HistoryGoneError("gone"), ([], 9), StoreUnavailableError("x"),
              ([], 12)]  # fmt: skip
    mirror, store = new_mirror(clock, script, seen)
    mirror._step()
    with pytest.raises(HistoryGoneError):
        mirror._step()
    mirror._revision = None
    mirror._step()
    with pytest.raises(StoreUnavailableError):
        mirror._step()
    mirror._mark_unreachable(StoreUnavailableError("x"))
    mirror._step()
    mirror._mark_reachable()
    assert store.calls == ["list", "watch 3", "list", "watch 9", "list"]
    assert mirror.restored_s == clock.boottime_s()


@given(st.lists(st.integers(1, 9), min_size=1))
def test_desired_state_never_reverts(versions):
    in_force, highest = StateInForce(ManualClock()), 0
    for version in versions:
        spec = dict(CONFIG, version=version)
        in_force.update({"main": Record("main", 1, spec)})
        highest = max(highest, version)
        assert in_force.state.version == highest


def test_malformed_desired_state_leaves_the_one_in_force():
    in_force = StateInForce(ManualClock())
    in_force.update({"main": Record("main", 1, CONFIG)})
    in_force.update({"main": Record("main", 2, {"version": 99})})
    assert in_force.state.version == 7


def named(version):
    return {"m": Record("m", version, {"model": "m", "version": version})}


def test_named_version_is_required_after_its_time_and_at_a_start_sooner():
    clock = ManualClock()
    versions = new_versions(clock)
    versions.update(named(2))
    assert versions.required("m", 8.0) == 0
    clock.advance(3.0)
    assert versions.required("m", 8.0) == 2
    versions.update(named(3))
    clock.advance(7.9)
    assert versions.required("m", 8.0) == 2
    clock.advance(0.1)
    assert versions.required("m", 8.0) == 3
    versions.update(named(1))
    assert versions.newest("m") == 3


def test_version_found_at_the_start_gets_the_age_that_others_report():
    clock = ManualClock()
    clock.advance(100.0)
    versions = new_versions(clock)
    versions.update(named(2))
    assert versions.describe("m") == ((2, 5.0, False),)
    versions.merge("m", ((1, 90.0, True), (2, 0.5, True)))
    versions.merge("m", ((1, 90.0, True), (2, 0.7, True)))
    versions.merge("m", ((1, 90.0, True), (2, 0.1, True)))
    clock.advance(7.0)
    assert versions.required("m", 8.0) == 1
    clock.advance(0.3)
    assert versions.required("m", 8.0) == 2


def test_unknown_models_in_requests_use_no_memory():
    versions = new_versions(ManualClock())
    versions.update(named(2))
    for number in range(100):
        assert versions.required(f"made-up-{number}", 8.0) == 0
        assert versions.superseded_left_s(f"made-up-{number}", 1, 8.0) is None
    assert len(versions._histories) == 1


def test_version_with_a_certain_age_keeps_it():
    clock = ManualClock()
    versions = new_versions(clock)
    versions.update({})
    versions.update(named(2))
    clock.advance(8.0)
    versions.merge("m", ((2, 1.0, True),))
    assert versions.required("m", 8.0) == 2
    assert versions.describe("m")[-1] == (2, 8.0, True)


@given(entries=st.integers(1, 60), rate=st.sampled_from([26.0, 10.0, 3.0]))
def test_cold_instance_gets_its_rate_from_all_entries_together(entries, rate):
    limiters = [ColdRateLimiter() for _ in range(entries)]
    times_s = [step * 0.02 for step in range(50)]
    sent = sum(
        limiter.try_send(rate, EntryPosition(index, entries), now_s)
        for now_s, (index, limiter) in itertools.product(times_s, enumerate(limiters))
    )
    assert sent == rate


def test_retry_budget_of_all_entries_stays_within_ratio_and_slack():
    budgets = [RetryBudget(0.2, 106, 10.0) for _ in range(9)]
    retries = 0
    for step in range(1000):
        budget = budgets[step % 9]
        budget.count_request("s", step * 0.01)
        retries += budget.try_retry("s", 9, step * 0.01)
    assert 0 < retries <= 0.2 * 1000 + 106


def test_change_that_cannot_be_applied_does_not_end_the_watch(monkeypatch):
    clock, seen = ManualClock(), []
    mirror, store = new_mirror(clock, [([], 3), ([], 4), KeyboardInterrupt()], seen)

    def on_change(records):
        seen.append(records)
        if len(seen) == 1:
            raise KeyError("a field")

    mirror._on_change = on_change
    monkeypatch.setattr("briarbeam.relay.mirror.gevent.sleep", lambda seconds: None)
    with pytest.raises(KeyboardInterrupt):
        mirror.run()
    assert store.calls == ["list", "list", "watch 4"]
    assert len(seen) == 2
