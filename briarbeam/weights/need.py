"""What a target still needs of a version, and whom it asks for which chunk."""

import math
import random
from collections import Counter
from dataclasses import dataclass

INFO_FRESH_S = 0.5
NOTHING_S = 0.03


@dataclass(frozen=True)
class Pull:
    """One chunk to be asked of one peer.

    :param must: whether the peer shall give it beyond its budget.
    """

    index: int
    name: str
    must: bool = False


class MissingChunks:
    """The missing chunks of a version.

    :param plan: the `Plan` of the region.
    :param peers: the `Peers` of the region.
    :param missing: the indexes of the chunks that are not held.
    """

    def __init__(self, clock, plan, peers, own, missing):
        self._clock = clock
        self._peers = peers
        self._own = own
        missing = set(missing)
        order = [index for index in plan.pull_order() if index in missing]
        self.missing = dict.fromkeys(order)
        self._owners = {index: plan.owner(index) for index in order}
        self._nothing_until_s = -math.inf
        self._in_flight = set()
        self._busy = set()
        self._refused = {}
        self._musts = Counter()
        self.adopted = set()

    def pledged(self, index):
        """Return whether this target draws a chunk from the origin."""
        return index in self.missing and (
            index in self.adopted or self._owners[index] == self._own
        )

    def arrives(self, index):
        """Return whether a chunk is on its way."""
        return index in self._in_flight

    def next_draw(self):
        """Return the next chunk to draw, or None."""
        for index in self.missing:
            if (
                index not in self._in_flight
                and self.pledged(index)
                and not self._peers.holders(index)
            ):
                return index
        return None

    def next_pull(self):
        """Return the next `Pull`, or None if nothing can be asked for now."""
        if self._clock.monotonic_s() < self._nothing_until_s:
            return None
        guess = None
        for index in self.missing:
            if index in self._in_flight:
                continue
            if self.pledged(index):
                pull, certain = self._from_holder(index), True
            else:
                pull, certain = self._from_owner(index)
            if pull is not None and certain:
                return pull
            guess = guess or pull
        if guess is None:
            self._nothing_until_s = self._clock.monotonic_s() + NOTHING_S
        return guess

    def begin(self, index, name=None):
        """Note that a chunk is on its way, from a peer or from the origin."""
        self._in_flight.add(index)
        if name is not None:
            self._busy.add(name)

    def end(self, index, name=None):
        """Note that a chunk is no longer on its way."""
        self._in_flight.discard(index)
        self._busy.discard(name)

    def got(self, index):
        """Note that a chunk is held."""
        self.missing.pop(index, None)
        self.adopted.discard(index)
        self._refused.pop(index, None)

    def refuse(self, index, name):
        """Note that a peer sent this target on to others for a chunk."""
        self._refused.setdefault(index, set()).add(name)

    def _from_owner(self, index):
        """Return the pull of a chunk and whether the peer is known to hold it."""
        owner = self._owners[index]
        refused = self._refused.get(index, ())
        if owner not in refused and self._peers.usable(owner):
            if owner in self._busy:
                return None, False
            if self._peers.holds(owner, index):
                return Pull(index, owner), True
            if self._peers.age_s(owner) > INFO_FRESH_S:
                return Pull(index, owner), False
            if self._peers.draws(owner, index):
                return None, False
        return self._from_holder(index), True

    def _from_holder(self, index):
        """Return the pull of a chunk from any peer that is known to hold it."""
        holders = self._peers.holders(index)
        refused = self._refused.get(index, ())
        willing = [name for name in holders if name not in refused]
        free = [name for name in willing or holders if name not in self._busy]
        if not free:
            return None
        if willing:
            return Pull(index, random.choice(free))
        least = min(self._musts[name] for name in free)
        name = random.choice([name for name in free if self._musts[name] == least])
        self._musts[name] += 1
        return Pull(index, name, must=True)
