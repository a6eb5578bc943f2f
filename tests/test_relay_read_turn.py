"""Tests of which entry reads the desired state after an outage or a start on a copy."""

import gevent
import pytest

from briarbeam.kernel.clock import ManualClock, SystemClock
from briarbeam.kernel.network import Address
from briarbeam.relay.errors import StoreUnavailableError
from briarbeam.relay.mirror import Mirror
from briarbeam.relay.read_turn import ReadTurn
from briarbeam.relay.spread import STORE_READ_MAX_S, StateSpread

AGE_MAX_S = 4.4
HOSTS = [f"10.0.0.{number}" for number in range(1, 13)]


def new_turns(clock, lost_s=None, hosts=HOSTS, age_s=lambda: 9.0):
    """Return the `ReadTurn` of each of `hosts`, by the rank of its entry.

    :param lost_s: when the store, which is reached again now, was lost.
    """
    turns = []
    for host in hosts:
        mirror = Mirror(None, "config", clock, lambda: 1.0, lambda records: None)
        spread = StateSpread(None, Address(host, 77), clock, mirror, bool)
        spread.neighbours = lambda host=host: [h for h in hosts if h != host]
        turns.append((spread, ReadTurn(clock, spread, age_s, AGE_MAX_S)))
        if lost_s is not None:
            turns[-1][1].record_outage(lost_s)
    return sorted(turns, key=lambda pair: pair[0].rank())


def count_due(turns):
    return sum(turn.is_due() for _, turn in turns)


def test_entries_that_reach_the_store_again_do_not_read_at_the_same_time():
    clock = ManualClock()
    clock.advance(100.0)
    turns = new_turns(clock, lost_s=90.0)
    assert count_due(turns) == 1
    counts = []
    for _ in range(33):
        clock.advance(0.1)
        counts.append(count_due(turns))
    # A state takes about a second to arrive, so the others have time to get a copy.
    assert counts[9] == 1 and counts == sorted(counts)
    assert counts[-1] == len(turns)


def test_reader_does_not_pause_after_a_failed_call():
    """Its neighbours would all have stopped following it."""
    clock = ManualClock()
    clock.advance(100.0)
    turns = new_turns(clock, lost_s=99.5)
    assert count_due(turns) == len(turns)


def test_state_does_not_expire_while_its_entry_waits_for_its_turn():
    """After outages of 2 s without a change, entries refused requests for a second."""
    clock = ManualClock()
    clock.advance(100.0)
    confirmed_s = clock.boottime_s() - 2.5
    turns = new_turns(
        clock, lost_s=98.0, age_s=lambda: clock.boottime_s() - confirmed_s
    )
    assert count_due(turns) == 1
    # A watch takes 0.6 s at least.
    clock.advance(AGE_MAX_S - 2.5 - 0.7)
    assert count_due(turns) == len(turns)


@pytest.mark.parametrize("hosts", [HOSTS, HOSTS[:1]])
def test_entry_that_started_on_a_copy_reads_if_no_neighbour_supplies_more(hosts):
    clock = ManualClock()
    turns = new_turns(clock, hosts=hosts)
    for spread, _ in turns:
        spread.first_copied_s = clock.boottime_s()
    assert count_due(turns) == 0
    clock.advance(STORE_READ_MAX_S)
    assert count_due(turns) == len(turns)


def new_lossy_turn(clock):
    """Return the `ReadTurn` of the last in rank and a function that loses the store."""
    detector = Mirror(None, "versions", clock, lambda: 1.0, lambda records: None)
    _, turn = new_turns(clock)[-1]
    detector.on_regained = turn.record_outage

    def lose_store(duration_s):
        detector._mark_unreachable(StoreUnavailableError("gone"))
        clock.advance(duration_s)
        detector._mark_reachable()

    return turn, lose_store


def test_failed_call_after_an_outage_does_not_end_the_wait():
    """All entries whose first calls met it read the state at the same time."""
    clock = ManualClock()
    clock.advance(100.0)
    turn, lose_store = new_lossy_turn(clock)
    lose_store(5.0)
    clock.advance(0.3)
    assert not turn.is_due()
    lose_store(0.1)
    assert not turn.is_due()


def test_outages_that_follow_each_other_do_not_begin_the_wait_again():
    """An entry that no neighbour supplies then never reads the state."""
    clock = ManualClock()
    clock.advance(100.0)
    turn, lose_store = new_lossy_turn(clock)
    due = []
    for _ in range(5):
        lose_store(0.9)
        for _ in range(20):
            clock.advance(0.1)
            due.append(turn.is_due())
    assert any(due)


def test_store_that_was_not_reached_does_not_count_as_regained():
    """Its detector still waits for a watch that was sent before the store was lost."""
    clock = SystemClock()
    detector = Mirror(None, "versions", clock, lambda: 25.0, lambda records: None)
    mirror = Mirror(
        None, "config", clock, lambda: 0.6, lambda records: None, is_large=True,
        is_supplied_by_peers=lambda: True, outage_detector=detector,
    )  # fmt: skip
    mirror._revision = 1
    mirror._mark_unreachable(StoreUnavailableError("gone"))
    task = gevent.spawn(mirror.run)
    gevent.sleep(0.1)
    task.kill()
    assert mirror.lost_s is not None and mirror.restored_s is None
