"""Tests of the history of namings, learned from the store and from other daemons."""

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from briarbeam.distribution.namings import NamingHistory
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.pause import PauseDetector
from briarbeam.relay.delivery import SUPERSEDED_MARGIN_S
from briarbeam.relay.entry import EntryRole

from .relay_fakes import new_versions
from .test_relay_state import named

WITHIN_S, ASSUMED_S = 8.0, 5.0


def test_time_in_suspension_counts_toward_the_age_of_a_naming():
    clock = ManualClock()
    history = NamingHistory(clock)
    history.record(2, 0.0, True)
    clock.advance(3.0)
    clock.suspend(5.0)
    assert history.required(WITHIN_S) == 2


def test_version_named_during_an_outage_is_not_assumed_to_be_new():
    clock = ManualClock()
    versions = new_versions(clock, ASSUMED_S, unseen_s=20.0)
    versions.update({})
    versions.update(named(2))
    assert versions.describe("m")[-1] == (2, ASSUMED_S, False)


def test_version_named_in_a_short_outage_counts_from_the_start_of_the_outage():
    clock = ManualClock()
    versions = new_versions(clock, ASSUMED_S, unseen_s=0.6)
    versions.update({})
    versions.update(named(2))
    assert versions.describe("m")[-1] == (2, 0.6, True)


def test_late_first_list_gives_a_version_no_more_time():
    clock = ManualClock()
    versions = new_versions(clock, ASSUMED_S)
    clock.advance(3.0)
    versions.update(named(2))
    assert versions.required("m", WITHIN_S) == 2


def test_received_age_of_the_newest_naming_does_not_apply_to_earlier_ones():
    clock = ManualClock()
    versions = new_versions(clock, ASSUMED_S)
    versions.update(named(3))
    versions.merge("m", ((3, 1.0, True),))
    clock.advance(3.0)
    assert versions.required("m", WITHIN_S) == 3


@st.composite
def starts(draw):
    """Return namings with their times, an entry's start time, and what it receives.

    The entry starts after the first naming. The last value has, for each list of
    namings that it receives, the index of the first one in it.
    """
    times_s = sorted(draw(st.lists(st.floats(0, 20), min_size=1, max_size=6)))
    namings = [(version + 2, at_s) for version, at_s in enumerate(times_s)]
    start_s = draw(st.floats(times_s[0], 25))
    received_from = draw(st.lists(st.integers(0, len(namings) - 1), max_size=4))
    return namings, start_s, received_from


@given(starts())
def test_started_entry_never_gives_a_version_more_time_than_it_has(start):
    """At most the rest of the time, counted from the age that is assumed at the start."""
    namings, start_s, received_from = start
    clock = ManualClock()
    clock.advance(start_s)
    versions = new_versions(clock, ASSUMED_S)
    known = [(version, at_s) for version, at_s in namings if at_s <= start_s]
    versions.update(named(known[-1][0]))
    for first in received_from:
        received = [(version, start_s - at_s, True) for version, at_s in known[first:]]
        if received:
            versions.merge("m", received)
    for held in range(1, known[-1][0]):
        true_s = min(at_s for version, at_s in known if version > held)
        left_s = versions.superseded_left_s("m", held, WITHIN_S)
        allowed_s = max(true_s, start_s - ASSUMED_S) + WITHIN_S - start_s
        assert left_s <= allowed_s + 1e-6


@given(starts(), st.integers(0, 10))
def test_entry_that_learns_all_namings_has_their_times(start, delay):
    namings, start_s, _ = start
    clock = ManualClock()
    clock.advance(start_s)
    versions = new_versions(clock, ASSUMED_S)
    known = [(version, at_s) for version, at_s in namings if at_s <= start_s]
    versions.update(named(known[-1][0]))
    received = [(1, start_s + 100.0, True)]
    received += [(v, start_s - at_s, True) for v, at_s in known]
    clock.advance(delay / 10)
    versions.merge("m", [(v, age_s + delay / 10, True) for v, age_s, _ in received])
    for version, at_s in known:
        age_s = versions.history("m").age_s(version)
        assert abs(age_s - (clock.boottime_s() - at_s)) < 1e-6
    assert not versions.history("m").lacks(received)


def start_at(clock, newest):
    """Return the `NamedVersions` of an entry that finds `newest` named at its start."""
    versions = new_versions(clock, ASSUMED_S)
    versions.update(named(newest))
    return versions


def test_received_namings_with_a_gap_give_no_more_time():
    """The sender lacks the naming of 2 and only assumes the time of 3."""
    clock = ManualClock()
    clock.advance(100.0)
    sender = NamingHistory(clock)
    for version, age_s, certain in ((1, 90.0, True), (3, 5.0, False), (4, 1.0, True)):
        sender.record(version, age_s, certain)
    versions = start_at(clock, 4)
    versions.merge("m", sender.describe_certain())
    assert versions.superseded_left_s("m", 1, WITHIN_S) <= WITHIN_S - ASSUMED_S


def test_namings_before_one_whose_time_is_assumed_are_sent():
    clock = ManualClock()
    clock.advance(100.0)
    sender = NamingHistory(clock)
    for version, age_s, certain in ((1, 90.0, True), (2, 9.0, True), (3, 2.0, False)):
        sender.record(version, age_s, certain)
    versions = start_at(clock, 3)
    versions.merge("m", sender.describe_certain())
    assert versions.required("m", WITHIN_S) == 2


def test_entry_does_not_lack_an_incomplete_naming_that_it_has_learned():
    clock = ManualClock()
    clock.advance(100.0)
    versions = start_at(clock, 3)
    received = ((3, 1.0, True),)
    versions.merge("m", received)
    assert not versions.history("m").lacks(received)


def test_time_that_is_late_by_the_safety_margin_is_corrected():
    clock = ManualClock()
    clock.advance(100.0)
    history = NamingHistory(clock)
    history.record(1, 90.0, True)
    history.record(2, 1.0, True)
    assert history.lacks(((1, 90.0, True), (2, 1.0 + SUPERSEDED_MARGIN_S, True)))


def test_older_time_of_the_first_received_naming_is_adopted():
    clock = ManualClock()
    clock.advance(100.0)
    history = NamingHistory(clock)
    history.record(2, 1.0, True)
    received = ((2, 6.0, True), (3, 0.5, True))
    history.record(3, 0.5, True)
    assert history.lacks(received)
    history.merge(received)
    assert history.required(6.0) == 2


def test_namings_received_before_the_first_list_give_no_more_time():
    clock = ManualClock()
    clock.advance(100.0)
    versions = new_versions(clock, ASSUMED_S)
    versions.merge("m", ((3, 1.0, True),))
    versions.update(named(3))
    assert versions.superseded_left_s("m", 1, WITHIN_S) <= WITHIN_S - ASSUMED_S


def test_namings_that_waited_during_a_pause_are_not_learned():
    clock = ManualClock()
    clock.advance(100.0)
    entry = EntryRole.__new__(EntryRole)
    entry._in_force = SimpleNamespace(state=SimpleNamespace(find_model=lambda: "m"))
    entry._pause_detector = PauseDetector(clock)
    entry._versions = start_at(clock, 2)
    clock.suspend(5.0)
    entry._on_namings_reported(((1, 90.0, True), (2, 1.0, True)))
    assert entry._versions.required("m", WITHIN_S) == 2


@st.composite
def outages(draw):
    """Return times of namings, entries, and starts of a stager and a late entry.

    Each entry has its start, and the start and the duration of its outage of the store.
    """
    times = sorted(draw(st.sets(st.integers(10, 40), min_size=1, max_size=5)))
    entries = draw(
        st.lists(
            st.tuples(st.integers(0, 45), st.integers(0, 45), st.integers(0, 20)),
            min_size=1,
            max_size=4,
        )
    )
    stager_s = draw(st.integers(0, 45))
    return times, entries, stager_s, draw(st.integers(times[-1], 50))


class InterruptedEntry:
    """An entry that starts at a given time and can't reach the store for a while."""

    def __init__(self, clock, start_s, lost_s, for_s):
        self.clock, self.start_s, self.versions = clock, start_s, None
        self.listed_s = None
        self.lost_s, self.regained_s = lost_s, lost_s + for_s

    def step(self, now_s, newest):
        if now_s < self.start_s:
            return
        is_partitioned = self.lost_s <= now_s < self.regained_s
        if is_partitioned and (self.versions is None or now_s > self.lost_s):
            return
        if self.versions is None:
            self.versions = new_versions(self.clock, ASSUMED_S)
            self.listed_s = now_s
        unseen_s = now_s - self.lost_s if now_s == self.regained_s else 0.0
        self.versions._unseen_s = lambda: unseen_s
        self.versions.update(named(newest) if newest > 1 else {})

    def describe(self):
        return self.versions.describe("m") if self.versions else ()


@given(outages())
def test_namings_that_pass_through_others_never_give_a_version_more_time(outage):
    """Entries start and lose the store; the last one learns the namings from a stager."""
    times, seen, stager_s, last_s = outage
    clock = ManualClock()
    entries = [InterruptedEntry(clock, *entry) for entry in seen]
    stager = NamingHistory(clock)
    late = None
    for now_s in range(52):
        newest = 1 + sum(at_s <= now_s for at_s in times)
        for entry in entries:
            entry.step(now_s, newest)
            if now_s >= stager_s:
                for version, age_s, certain in entry.describe():
                    stager.record(version, age_s, certain)
                if entry.versions and (received := stager.describe_certain()):
                    entry.versions.merge("m", received)
        if now_s == last_s:
            late = start_at(clock, newest)
        if late is not None and (received := stager.describe_certain()):
            late.merge("m", received)
        clock.advance(1.0)
    unseen = [(late, 0, last_s)]
    for entry in entries:
        if entry.versions is not None and entry.regained_s <= times[-1]:
            unseen.append((entry.versions, 0, entry.listed_s))
            if entry.listed_s <= entry.lost_s:
                unseen.append((entry.versions, entry.lost_s, entry.regained_s))
    for versions, from_s, until_s in unseen:
        for held, true_s in enumerate(times, start=1):
            if from_s <= true_s <= until_s:
                allowed_s = max(true_s, until_s - ASSUMED_S) + WITHIN_S
                left_s = versions.superseded_left_s("m", held, WITHIN_S)
                assert clock.boottime_s() + left_s <= allowed_s + 1e-6
