"""This daemon's view of the members, and the choice of peers to exchange with.

The platform's list contains the members that exist, and exchanges show which of them
answer. A member that does not answer is suspected and contacted again after growing
pauses. If it still sends to this daemon, the connection is one-sided. Peers are a
small, stable subset of the members, so that connections are reused.
"""

import random
from dataclasses import dataclass
from enum import StrEnum

from prometheus_client import Gauge

from .members import rendezvous_order

NEIGHBOURS_OWN_DOMAIN = 4
NEIGHBOURS_OTHER_DOMAIN = 1
PAUSE_START_S = 1.0
PAUSE_MIN_CAP_S = 2.0
PAUSE_MAX_CAP_S = 30.0
PAUSE_CAP_PER_MEMBER_S = 0.5
RECEIVED_MAX_AGE_S = 5.0
EPOCH_S = 600.0

_STATES = Gauge("briarbeam_members", "Members by state", ["state"])


class MemberState(StrEnum):
    """The state of a member as this daemon sees it."""

    LISTED = "listed"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    ONE_SIDED = "one_sided"
    UNLISTED = "unlisted"


@dataclass
class _Contact:
    failures: int = 0
    suspected_until_s: float = float("-inf")
    received_at_s: float = float("-inf")


class Membership:
    """The members as seen by one daemon.

    Its `watchers` are the names in this daemon's failure domain in the order in which
    they watch the platform, and its `rank` is this daemon's position among them.

    :param instance: the `InstanceSettings` of this daemon.
    :param role: the role of this daemon.
    """

    def __init__(self, clock, instance, role="entry"):
        self._clock = clock
        self._instance = instance
        self._role = role
        self._contacts = {}
        self._neighbours = None
        self._neighbours_until_s = 0.0
        self.members = {}
        self.rank = 0
        self.watchers = [instance.name]
        for state in MemberState:
            _STATES.labels(state).set_function(lambda state=state: self.count(state))

    def update(self, members):
        """Replace the listed members.

        :param members: the `Member` objects by name.
        """
        self.members = members
        domain = self._instance.failure_domain
        roles = {
            member.name: member.role
            for member in members.values()
            if member.failure_domain == domain and not member.leaving
        }
        roles[self._instance.name] = self._role
        self.watchers = watch_order(roles)
        self.rank = self.watchers.index(self._instance.name)
        self._neighbours = None
        for name in set(self._contacts) - set(members):
            if not self._received_recently(self._contacts[name]):
                del self._contacts[name]

    def record_success(self, name):
        """Record that a member answered, which ends a suspicion."""
        contact = self._contacts.get(name)
        if contact is not None and contact.failures:
            contact.failures = 0
            contact.suspected_until_s = float("-inf")
            self._neighbours = None

    def record_failure(self, name):
        """Record that a member did not answer; it is suspected for a growing pause."""
        contact = self._contacts.setdefault(name, _Contact())
        contact.failures += 1
        pause_s = min(
            self._pause_cap_s(), PAUSE_START_S * 2 ** min(8, contact.failures)
        )
        pause_s *= random.uniform(0.5, 1.0)
        contact.suspected_until_s = self._clock.monotonic_s() + pause_s
        self._neighbours = None

    def record_contact(self, name):
        """Record that a member sent to this daemon.

        If it had not done so for `RECEIVED_MAX_AGE_S`, it is no longer suspected and
        can be contacted immediately.
        """
        contact = self._contacts.setdefault(name, _Contact())
        if contact.failures and not self._received_recently(contact):
            contact.suspected_until_s = float("-inf")
            self._neighbours = None
        contact.received_at_s = self._clock.monotonic_s()

    def is_suspected(self, name):
        """Return whether a member should not be contacted now."""
        contact = self._contacts.get(name)
        if contact is None:
            return False
        return self._clock.monotonic_s() < contact.suspected_until_s

    def state(self, name):
        """Return the `MemberState` of a member."""
        contact = self._contacts.get(name)
        if contact is not None and contact.failures:
            received = self._received_recently(contact)
            return MemberState.ONE_SIDED if received else MemberState.SUSPECTED
        member = self.members.get(name)
        if member is None:
            return MemberState.UNLISTED
        return MemberState.LEAVING if member.leaving else MemberState.LISTED

    def count(self, state):
        """Return the number of members in `state`."""
        names = set(self.members) | set(self._contacts)
        return sum(self.state(name) is state for name in names)

    def choose_peers(self, own_domain, other_domains):
        """Return random neighbours to exchange with.

        If one group has too few neighbours, more are chosen from the other group.

        :param own_domain: the number of peers in this daemon's failure domain.
        :param other_domains: the number of peers in other failure domains.
        """
        own, others = self._current_neighbours()
        wanted = own_domain + other_domains
        chosen = random.sample(own, min(own_domain, len(own)))
        chosen += random.sample(others, min(other_domains, len(others)))
        spare = [member for member in own + others if member not in chosen]
        missing = min(wanted - len(chosen), len(spare))
        return chosen + random.sample(spare, missing)

    def choose_replacement(self, member):
        """Return a peer to contact in place of `member`, which did not answer, or None.

        A peer of the same failure domain is preferred, so that updates still reach that
        domain without delay.
        """
        own, others = self._current_neighbours()
        present = [peer for peer in own + others if peer.name != member.name]
        domain = member.failure_domain
        same = [peer for peer in present if peer.failure_domain == domain]
        return random.choice(same or present) if present else None

    def active_watchers(self, count):
        """Return the listed ones of the first `count` watchers, without this daemon."""
        names = self.watchers[:count]
        return [self.members[name] for name in names if name in self.members
                and name != self._instance.name]  # fmt: skip

    def _current_neighbours(self):
        now_s = self._clock.monotonic_s()
        if self._neighbours is None or now_s >= self._neighbours_until_s:
            self._neighbours = self._choose_neighbours()
            pauses = [
                contact.suspected_until_s
                for contact in self._contacts.values()
                if contact.suspected_until_s > now_s
            ]
            self._neighbours_until_s = min([now_s + EPOCH_S, *pauses])
        return self._neighbours

    def _choose_neighbours(self):
        by_domain = {}
        for member in self.members.values():
            if member.name != self._instance.name and not self.is_suspected(
                member.name
            ):
                by_domain.setdefault(member.failure_domain, []).append(member.name)
        own = self._first_in_order(by_domain.pop(self._instance.failure_domain, []),
                          NEIGHBOURS_OWN_DOMAIN)  # fmt: skip
        others = []
        for names in by_domain.values():
            others += self._first_in_order(names, NEIGHBOURS_OTHER_DOMAIN)
        return own, others

    def _first_in_order(self, names, count):
        epoch = int(self._clock.monotonic_s() / EPOCH_S)
        order = rendezvous_order(f"{self._instance.name}/{epoch}", names)
        return [self.members[name] for name in order[:count]]

    def _pause_cap_s(self):
        """Return the longest pause, which grows with the size of the failure domain."""
        cap_s = PAUSE_CAP_PER_MEMBER_S * len(self.watchers)
        return min(PAUSE_MAX_CAP_S, max(PAUSE_MIN_CAP_S, cap_s))

    def _received_recently(self, contact):
        return self._clock.monotonic_s() - contact.received_at_s < RECEIVED_MAX_AGE_S


def watch_order(roles):
    """Return the members of a failure domain in the order in which they watch.

    Entry daemons come first, because target daemons are busy with their engine.

    :param roles: roles by name.
    """
    entries = [name for name, role in roles.items() if role == "entry"]
    others = [name for name, role in roles.items() if role != "entry"]
    return rendezvous_order("watchers", entries) + rendezvous_order("watchers", others)
