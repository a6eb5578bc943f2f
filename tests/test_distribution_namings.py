"""When versions were named: what daemons know of it, and learn from each other."""

from hypothesis import given
from hypothesis import strategies as st

from briarbeam.distribution.namings import NamingHistory
from briarbeam.kernel.clock import ManualClock

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
    versions.learn("m", ((3, 1.0),))
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
        told = [(version, start_s - at_s) for version, at_s in known[first:]]
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
    told = [(1, start_s + 100.0)] + [(v, start_s - at_s) for v, at_s in known]
    clock.advance(delay / 10)
    versions.learn("m", [(v, age_s + delay / 10) for v, age_s in told])
    for version, at_s in known:
        age_s = versions.history("m").age_s(version)
        assert abs(age_s - (clock.boottime_s() - at_s)) < 1e-6
    assert not versions.history("m").lacks(told)
