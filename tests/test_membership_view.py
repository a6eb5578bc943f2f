"""A daemon's view of members: the list, failed exchanges and messages received."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from briarbeam.kernel.clock import ManualClock
from briarbeam.membership.members import Member
from briarbeam.membership.view import Membership, MemberState

DOMAINS = 4
PER_DOMAIN = 20


def _member(domain, number, leaving=False):
    name = f"d{domain}-{number}"
    return Member(name, "entry", "r", f"d{domain}", (name, 1), (name, 2), leaving)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def membership(clock):
    own = SimpleNamespace(name="d0-0", failure_domain="d0")
    membership = Membership(clock, own)
    membership.update(_fleet())
    return membership


def _fleet(leaving=()):
    members = [
        _member(domain, number, f"d{domain}-{number}" in leaving)
        for domain in range(DOMAINS)
        for number in range(PER_DOMAIN)
    ]
    return {member.name: member for member in members}


def _chosen_peers(membership, rounds=60):
    return {
        member.name for _ in range(rounds) for member in membership.choose_peers(2, 1)
    }


def test_peers_are_few_and_stay_the_same_when_other_members_leave(membership):
    chosen = _chosen_peers(membership)
    assert len(chosen) == 4 + DOMAINS - 1
    assert {name[:2] for name in chosen} == {"d0", "d1", "d2", "d3"}
    fleet = _fleet()
    others = [name for name in fleet if name not in chosen and name != "d0-0"]
    for name in others[::4]:
        del fleet[name]
    membership.update(fleet)
    assert _chosen_peers(membership) == chosen


def test_failing_member_is_not_chosen_for_growing_pauses(membership, clock):
    failing_name = min(
        name for name in _chosen_peers(membership) if name.startswith("d0")
    )
    pauses = []
    for _ in range(6):
        membership.record_failure(failing_name)
        assert membership.state(failing_name) is MemberState.SUSPECTED
        assert failing_name not in _chosen_peers(membership)
        began_s = clock.monotonic_s()
        while membership.is_suspected(failing_name):
            clock.advance(0.25)
        pauses.append(clock.monotonic_s() - began_s)
        assert failing_name in _chosen_peers(membership)
    assert pauses[2] > 2 * pauses[0]
    assert max(pauses) <= 0.5 * PER_DOMAIN + 0.25
    membership.record_success(failing_name)
    assert membership.state(failing_name) is MemberState.LISTED


def test_member_that_sends_but_does_not_answer_is_one_sided(membership, clock):
    membership.record_failure("d1-3")
    membership.record_contact("d1-3")
    assert membership.state("d1-3") is MemberState.ONE_SIDED
    assert not membership.is_suspected("d1-3")
    membership.record_failure("d1-3")
    membership.record_contact("d1-3")
    assert membership.is_suspected("d1-3")
    clock.advance(60)
    assert membership.state("d1-3") is MemberState.SUSPECTED


def test_members_can_be_missing_from_the_list_or_leaving(membership):
    membership.record_contact("new")
    assert membership.state("new") is MemberState.UNLISTED
    first, second = membership.watchers[:2]
    membership.update(_fleet(leaving=[first]))
    assert membership.state(first) is MemberState.LEAVING
    assert membership.watchers[0] == second
    assert first not in membership.watchers
    assert membership.count(MemberState.LEAVING) == 1


def test_entries_watch_before_targets(membership):
    fleet = _fleet()
    for number in range(1, PER_DOMAIN - 2):
        name = f"d0-{number}"
        fleet[name] = replace(fleet[name], role="target")
    membership.update(fleet)
    entries = {"d0-0", f"d0-{PER_DOMAIN - 2}", f"d0-{PER_DOMAIN - 1}"}
    assert set(membership.watchers[:3]) == entries
    assert len(membership.watchers) == PER_DOMAIN
