"""The chunks that a target is missing, and the source of each of them.

A chunk is drawn from the origin if it is assigned to this target and no usable peer
holds it. Otherwise it is pulled from a peer.
"""

import math
import random
from collections import Counter
from dataclasses import dataclass

HOLDINGS_MAX_AGE_S = 0.5
NO_PULL_PAUSE_S = 0.03


@dataclass(frozen=True)
class Pull:
    """A chunk to request from a peer.

    :param peer: the name of the peer.
    :param beyond_budget: whether the peer is asked to send the chunk even if its budget
        is exhausted.
    """

    index: int
    peer: str
    beyond_budget: bool = False


class MissingChunks:
    """The missing chunks of a version.

    Its `indexes` holds the indexes of the missing chunks, in the order in which they
    are pulled. Its `adopted` holds those that this target draws in place of their
    owners.

    :param plan: the `Plan` of the region.
    :param peers: the `Peers` of the region.
    :param own_name: this target's name.
    :param missing: the indexes of the chunks that are not held.
    """

    def __init__(self, clock, plan, peers, own_name, missing):
        self._clock = clock
        self._peers = peers
        self._own_name = own_name
        missing = set(missing)
        order = [index for index in plan.pull_order() if index in missing]
        self.indexes = dict.fromkeys(order)
        self._owners = {index: plan.owner(index) for index in order}
        self._no_pull_until_s = -math.inf
        self._in_flight = set()
        self._busy_peers = set()
        self._referrers = {}
        self._beyond_budget_counts = Counter()
        self.adopted = set()

    def is_assigned(self, index):
        """Return whether this target has to draw a missing chunk from the origin."""
        return index in self.indexes and (
            index in self.adopted or self._owners[index] == self._own_name
        )

    def is_in_flight(self, index):
        """Return whether a request for a chunk is in flight."""
        return index in self._in_flight

    def next_draw(self):
        """Return the index of the next chunk to draw from the origin, or None."""
        for index in self.indexes:
            if (
                index not in self._in_flight
                and self.is_assigned(index)
                and not self._peers.holders(index)
            ):
                return index
        return None

    def next_pull(self):
        """Return the next `Pull`, or None if no peer can be asked now.

        Peers that are known to hold a chunk come before those that may hold it. If none
        can be asked, the next search is made after `NO_PULL_PAUSE_S` at the earliest.
        """
        if self._clock.monotonic_s() < self._no_pull_until_s:
            return None
        fallback = None
        for index in self.indexes:
            if index in self._in_flight:
                continue
            if self.is_assigned(index):
                pull, certain = self._pull_from_holder(index), True
            else:
                pull, certain = self._pull_from_owner(index)
            if pull is not None and certain:
                return pull
            fallback = fallback or pull
        if fallback is None:
            self._no_pull_until_s = self._clock.monotonic_s() + NO_PULL_PAUSE_S
        return fallback

    def begin_request(self, index, peer=None):
        """Record that a chunk was requested.

        :param peer: the peer, or None for the origin.
        """
        self._in_flight.add(index)
        if peer is not None:
            self._busy_peers.add(peer)

    def end_request(self, index, peer=None):
        """Record that the request for a chunk ended."""
        self._in_flight.discard(index)
        self._busy_peers.discard(peer)

    def mark_held(self, index):
        """Record that a chunk is held now."""
        self.indexes.pop(index, None)
        self.adopted.discard(index)
        self._referrers.pop(index, None)

    def record_referral(self, index, name):
        """Record that a peer referred this target to others for a chunk."""
        self._referrers.setdefault(index, set()).add(name)

    def _pull_from_owner(self, index):
        """Return the pull of a chunk, or None, and whether this choice is certain.

        It is not certain while the owner is busy with another request of this target,
        draws the chunk, or has not reported for `HOLDINGS_MAX_AGE_S`.
        """
        owner = self._owners[index]
        referrers = self._referrers.get(index, ())
        if owner not in referrers and self._peers.is_usable(owner):
            if owner in self._busy_peers:
                return None, False
            if self._peers.holds(owner, index):
                return Pull(index, owner), True
            if self._peers.held_age_s(owner) > HOLDINGS_MAX_AGE_S:
                return Pull(index, owner), False
            if self._peers.is_drawing(owner, index):
                return None, False
        return self._pull_from_holder(index), True

    def _pull_from_holder(self, index):
        """Return the pull of a chunk from a peer that is known to hold it, or None.

        If all holders have referred this target to others, the holder that has been
        asked beyond its budget least often is asked again.
        """
        holders = self._peers.holders(index)
        referrers = self._referrers.get(index, ())
        not_referring = [name for name in holders if name not in referrers]
        free = [
            name for name in not_referring or holders if name not in self._busy_peers
        ]
        if not free:
            return None
        if not_referring:
            return Pull(index, random.choice(free))
        fewest = min(self._beyond_budget_counts[name] for name in free)
        name = random.choice(
            [name for name in free if self._beyond_budget_counts[name] == fewest]
        )
        self._beyond_budget_counts[name] += 1
        return Pull(index, name, beyond_budget=True)
