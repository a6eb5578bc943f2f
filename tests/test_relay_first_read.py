"""Which of the entries that start together reads the desired state from the store."""

from briarbeam.distribution.messages import StateNews
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.network import Address
from briarbeam.relay.first_read import (
    READ_AFTER_S,
    READ_MAX_S,
    READ_PER_RANK_S,
    UNTOLD_MAX_S,
    UNTOLD_MIN_S,
    FirstRead,
)
from briarbeam.relay.mirror import Mirror
from briarbeam.relay.spread import OWN_READ_AFTER_S, StateSpread

HOSTS = [f"10.0.0.{number}" for number in range(1, 12)]


def start(clock, host="10.0.0.1", neighbours=()):
    """Return the `StateSpread` and the `FirstRead` of an entry that starts now."""
    mirror = Mirror(None, "config", clock, lambda: 1.0, lambda records: None)
    spread = StateSpread(None, Address(host, 7700), clock, mirror, bool)
    spread.neighbours = lambda: list(neighbours)
    first_read = FirstRead(clock, spread)
    first_read.is_due()
    return spread, first_read


def test_entry_that_a_daemon_names_alone_reads_at_once():
    clock = ManualClock()
    _, first_read = start(clock)
    assert not first_read.is_due()
    first_read.note_told(set())
    assert first_read.is_due()


def test_entry_that_no_daemon_names_reads_after_a_moment():
    clock = ManualClock()
    _, first_read = start(clock)
    clock.advance(UNTOLD_MIN_S - 0.01)
    assert not first_read.is_due()
    clock.advance(UNTOLD_MAX_S - UNTOLD_MIN_S + 0.02)
    assert first_read.is_due()


def test_entries_that_follow_a_silent_first_one_read_in_turn():
    """All at once would fill the link with copies; nobody would wait for ever."""
    clock = ManualClock()
    starts = []
    for host in HOSTS[1:]:
        others = [other for other in HOSTS if other != host]
        starts.append(start(clock, host, others)[1])
        starts[-1].note_told(set(others))
    due = []
    for _ in range(round(READ_MAX_S / 0.1) + 1):
        due.append(sum(first_read.is_due() for first_read in starts))
        clock.advance(0.1)
    assert due[round(READ_AFTER_S / 0.1) - 1] == 0
    # Two ranks for the time of a copy: by then it has spread.
    assert due[round((READ_AFTER_S + READ_PER_RANK_S) / 0.1) - 1] <= 1
    assert due[-1] == len(starts)


def test_entry_that_takes_a_copy_reads_none_meanwhile():
    """It listed the state while its neighbour's copy was on the way."""
    clock = ManualClock()
    spread, first_read = start(clock, neighbours=HOSTS[1:2])
    spread._pulling = True
    spread.note_news(StateNews(5, HOSTS[1]))
    clock.advance(UNTOLD_MAX_S + 0.01)
    assert not first_read.is_due()
    clock.advance(OWN_READ_AFTER_S + READ_PER_RANK_S)
    assert first_read.is_due()
