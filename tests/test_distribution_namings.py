"""When versions were named: what daemons know of it, and learn from each other."""

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from briarbeam.distribution.namings import NamingHistory
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.pulse import Pulse
from briarbeam.relay.dispatch import SUPERSEDED_MARGIN_S
from briarbeam.relay.entry import EntryRole

from .relay_fakes import versions_of
from .test_relay_state import named

WITHIN_S, ASSUMED_S = 8.0, 5.0


def test_daemon_that_was_suspended_counts_that_time():
    clock = ManualClock()
    history = NamingHistory(clock)
    history.note(2, 0.0, True)
    clock.advance(3.0)
    clock.suspend(5.0)
    assert history.required(WITHIN_S) == 2


def test_name_from_before_an_outage_ends_is_not_taken_as_new():
    clock = ManualClock()
    versions = versions_of(clock, ASSUMED_S, unseen_s=20.0)
    versions.update({})
    versions.update(named(2))
    assert versions.describe("m")[-1] == (2, ASSUMED_S, False)


def test_name_heard_after_a_moment_without_the_store_counts_from_before_it():
    clock = ManualClock()
    versions = versions_of(clock, ASSUMED_S, unseen_s=0.6)
    versions.update({})
    versions.update(named(2))
    assert versions.describe("m")[-1] == (2, 0.6, True)


def test_first_list_that_comes_late_gives_no_more_time():
    clock = ManualClock()
    versions = versions_of(clock, ASSUMED_S)
    clock.advance(3.0)
    versions.update(named(2))
    assert versions.required("m", WITHIN_S) == 2


def test_word_of_others_about_the_newest_name_says_nothing_of_those_before():
    clock = ManualClock()
    versions = versions_of(clock, ASSUMED_S)
    versions.update(named(3))
    versions.learn("m", ((3, 1.0, True),))
    clock.advance(3.0)
    assert versions.required("m", WITHIN_S) == 3


@st.composite
def plays(draw):
    """Return names with their times, a start after some of them, and who tells what."""
    times_s = sorted(draw(st.lists(st.floats(0, 20), min_size=1, max_size=6)))
    names = [(version + 2, at_s) for version, at_s in enumerate(times_s)]
    start_s = draw(st.floats(times_s[0], 25))
    told_from = draw(st.lists(st.integers(0, len(names) - 1), max_size=4))
    return names, start_s, told_from


@given(plays())
def test_started_entry_never_gives_a_version_more_time_than_it_has(play):
    """At most what the start allows: the rest of the time less what is assumed."""
    names, start_s, told_from = play
    clock = ManualClock()
    clock.advance(start_s)
    versions = versions_of(clock, ASSUMED_S)
    known = [(version, at_s) for version, at_s in names if at_s <= start_s]
    versions.update(named(known[-1][0]))
    for first in told_from:
        told = [(version, start_s - at_s, True) for version, at_s in known[first:]]
        if told:
            versions.learn("m", told)
    for held in range(1, known[-1][0]):
        true_s = min(at_s for version, at_s in known if version > held)
        left_s = versions.superseded_in_s("m", held, WITHIN_S)
        allowed_s = max(true_s, start_s - ASSUMED_S) + WITHIN_S - start_s
        assert left_s <= allowed_s + 1e-6


@given(plays(), st.integers(0, 10))
def test_entry_that_learns_all_names_has_their_times(play, delay):
    names, start_s, _ = play
    clock = ManualClock()
    clock.advance(start_s)
    versions = versions_of(clock, ASSUMED_S)
    known = [(version, at_s) for version, at_s in names if at_s <= start_s]
    versions.update(named(known[-1][0]))
    told = [(1, start_s + 100.0, True)]
    told += [(v, start_s - at_s, True) for v, at_s in known]
    clock.advance(delay / 10)
    versions.learn("m", [(v, age_s + delay / 10, True) for v, age_s, _ in told])
    for version, at_s in known:
        age_s = versions.history("m").age_s(version)
        assert abs(age_s - (clock.boottime_s() - at_s)) < 1e-6
    assert not versions.history("m").lacks(told)


def start_at(clock, newest):
    """Return the `NamedVersions` of an entry that finds `newest` named at its start."""
    versions = versions_of(clock, ASSUMED_S)
    versions.update(named(newest))
    return versions


def test_word_of_others_with_a_gap_gives_no_more_time():
    """Of the names 2, 3 and 4 a daemon heard the last one, and that 3 came before it."""
    clock = ManualClock()
    clock.advance(100.0)
    teller = NamingHistory(clock)
    for version, age_s, certain in ((1, 90.0, True), (3, 5.0, False), (4, 1.0, True)):
        teller.note(version, age_s, certain)
    versions = start_at(clock, 4)
    versions.learn("m", teller.certain())
    assert versions.superseded_in_s("m", 1, WITHIN_S) <= WITHIN_S - ASSUMED_S


def test_names_before_one_whose_time_is_assumed_are_told():
    clock = ManualClock()
    clock.advance(100.0)
    teller = NamingHistory(clock)
    for version, age_s, certain in ((1, 90.0, True), (2, 9.0, True), (3, 2.0, False)):
        teller.note(version, age_s, certain)
    versions = start_at(clock, 3)
    versions.learn("m", teller.certain())
    assert versions.required("m", WITHIN_S) == 2


def test_entry_that_knows_what_can_be_known_is_not_told_again_and_again():
    clock = ManualClock()
    clock.advance(100.0)
    versions = start_at(clock, 3)
    told = ((3, 1.0, True),)
    versions.learn("m", told)
    assert not versions.history("m").lacks(told)


def test_time_that_is_wrong_by_what_is_kept_back_of_the_bound_is_corrected():
    clock = ManualClock()
    clock.advance(100.0)
    history = NamingHistory(clock)
    history.note(1, 90.0, True)
    history.note(2, 1.0, True)
    assert history.lacks(((1, 90.0, True), (2, 1.0 + SUPERSEDED_MARGIN_S, True)))


def test_older_time_of_the_first_name_told_is_taken_over():
    clock = ManualClock()
    clock.advance(100.0)
    history = NamingHistory(clock)
    history.note(2, 1.0, True)
    told = ((2, 6.0, True), (3, 0.5, True))
    history.note(3, 0.5, True)
    assert history.lacks(told)
    history.learn(told)
    assert history.required(6.0) == 2


def test_word_of_others_that_comes_before_the_first_list_gives_no_more_time():
    clock = ManualClock()
    clock.advance(100.0)
    versions = versions_of(clock, ASSUMED_S)
    versions.learn("m", ((3, 1.0, True),))
    versions.update(named(3))
    assert versions.superseded_in_s("m", 1, WITHIN_S) <= WITHIN_S - ASSUMED_S


def test_word_of_others_that_waited_during_a_pause_is_not_taken_as_current():
    clock = ManualClock()
    clock.advance(100.0)
    entry = EntryRole.__new__(EntryRole)
    entry._in_force = SimpleNamespace(state=SimpleNamespace(find_model=lambda: "m"))
    entry._pause_detector = Pulse(clock)
    entry._versions = start_at(clock, 2)
    clock.suspend(5.0)
    entry._on_namings_reported(((1, 90.0, True), (2, 1.0, True)))
    assert entry._versions.required("m", WITHIN_S) == 2


@st.composite
def days(draw):
    """Return times of names, and entries with their start and a cut from the store."""
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


class SeenEntry:
    """An entry that starts at one time and is cut off from the store for a while."""

    def __init__(self, clock, start_s, cut_s, for_s):
        self.clock, self.start_s, self.versions = clock, start_s, None
        self.listed_s = None
        self.cut_s, self.back_s = cut_s, cut_s + for_s

    def play(self, now_s, newest):
        if now_s < self.start_s:
            return
        cut = self.cut_s <= now_s < self.back_s
        if cut and (self.versions is None or now_s > self.cut_s):
            return
        if self.versions is None:
            self.versions = versions_of(self.clock, ASSUMED_S)
            self.listed_s = now_s
        unseen_s = now_s - self.cut_s if now_s == self.back_s else 0.0
        self.versions._unseen_s = lambda: unseen_s
        self.versions.update(named(newest) if newest > 1 else {})

    def describe(self):
        return self.versions.describe("m") if self.versions else ()


@given(days())
def test_names_that_pass_through_others_never_give_a_version_more_time(day):
    """Entries come, go and are cut off; one that starts last hears it from a stager."""
    times, seen, stager_s, last_s = day
    clock = ManualClock()
    entries = [SeenEntry(clock, *entry) for entry in seen]
    stager = NamingHistory(clock)
    late = None
    for now_s in range(52):
        newest = 1 + sum(at_s <= now_s for at_s in times)
        for entry in entries:
            entry.play(now_s, newest)
            if now_s >= stager_s:
                for version, age_s, certain in entry.describe():
                    stager.note(version, age_s, certain)
                if entry.versions and (told := stager.certain()):
                    entry.versions.learn("m", told)
        if now_s == last_s:
            late = start_at(clock, newest)
        if late is not None and (told := stager.certain()):
            late.learn("m", told)
        clock.advance(1.0)
    blind = [(late, 0, last_s)]
    for entry in entries:
        if entry.versions is not None and entry.back_s <= times[-1]:
            blind.append((entry.versions, 0, entry.listed_s))
            if entry.listed_s <= entry.cut_s:
                blind.append((entry.versions, entry.cut_s, entry.back_s))
    for versions, from_s, until_s in blind:
        for held, true_s in enumerate(times, start=1):
            if from_s <= true_s <= until_s:
                allowed_s = max(true_s, until_s - ASSUMED_S) + WITHIN_S
                left_s = versions.superseded_in_s("m", held, WITHIN_S)
                assert clock.boottime_s() + left_s <= allowed_s + 1e-6
