"""Tests of the replication of large desired states between entries."""

import gevent

from bench.state_group import Group
from briarbeam.distribution.messages import StateAnnouncement
from briarbeam.relay.spread import FANOUT


def test_comparisons_while_copies_are_on_their_way_do_not_bypass_the_tree():
    """Each entry fetched from the reader, whose link then carried a copy for each."""
    group = Group(41)
    group.reader.apply_from_store(5)
    for member in group.followers:
        member.spread.compare_with_neighbour(group.reader.host, 5)
    gevent.sleep(0.5)
    assert group.count_holding(5) == 41
    assert group.copy_requests.count(group.reader.host) <= FANOUT


def test_state_from_another_failure_domain_spreads_along_the_tree():
    """Its neighbours only found the state by comparison, up to 0.7 s later."""
    group = Group(9)
    elsewhere = group.followers[-1]
    for member in group.members.values():
        near = [h for h in member.spread.neighbours() if h != elsewhere.host]
        member.spread.neighbours = lambda near=near: near
    elsewhere.spread.neighbours = list
    elsewhere.apply_from_store(5)
    group.reader.spread.handle_announcement(StateAnnouncement(5, elsewhere.host))
    # A reader waits for a moment for its own read of the store first.
    gevent.sleep(0.7)
    assert group.reader.spread.revision == 5
    assert group.count_holding(5) == 9
