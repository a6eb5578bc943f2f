"""Assignment of chunks to the targets that draw them from the origin.

A plan covers the targets of one region. Every target computes the same plan without
coordination. If instance lists differ between targets, few chunks get different owners.
"""

import hashlib
import math

from ..kernel.registry import Registry
from ..membership.members import rendezvous_order

plans = Registry("source order")

YIELD_EVERY_CHUNKS = 16
_MASK = 2**64 - 1
# 2**64 divided by the golden ratio; odd, so that multiplying by it is invertible.
_MULTIPLIER = 0x9E3779B97F4A7C15


@plans.register("scatter")
class Plan:
    """Scatter, then all-gather: one owner draws each chunk, and peers pull it.

    Owners are found by rendezvous hashing with bounded loads, so all have an equal
    share, and adding or removing a name moves few chunks.

    :param key: identifies the version.
    :param own_name: this target's name.
    :param names: the targets of the region that need the version.
    :param count: the number of chunks.
    :param yield_control: called every `YIELD_EVERY_CHUNKS` chunks, so that other tasks
        can run.
    """

    def __init__(self, key, own_name, names, count, yield_control=lambda: None):
        self._own_name = own_name
        self._count = count
        self._order = rendezvous_order(key, set(names) | {own_name})
        self._positions = {name: index for index, name in enumerate(self._order)}
        self._hashes = [_hash64(f"{key}/{name}") for name in self._order]
        self._rankings = {}
        self._assign_owners(yield_control)

    def _assign_owners(self, yield_control):
        """Find the owner and the backup of each chunk, as positions in the order."""
        size = len(self._order)
        capacity = [math.ceil(self._count / size)] * size
        self._owners, self._backups = [], []
        for index in range(self._count):
            if index % YIELD_EVERY_CHUNKS == 0:
                yield_control()
            scores = self._scores(index)
            order = sorted(range(size), key=scores.__getitem__)
            owner = next(position for position in order if capacity[position])
            capacity[owner] -= 1
            self._owners.append(owner)
            backup = next((other for other in order if other != owner), owner)
            self._backups.append(backup)

    def _scores(self, index):
        salt = _salt(index)
        return [_score(name_hash, salt) for name_hash in self._hashes]

    @property
    def names(self):
        """The targets of the region in rendezvous order."""
        return self._order

    def owner(self, index):
        """Return the target that draws chunk `index` from the origin."""
        return self._order[self._owners[index]]

    def ranking(self, index):
        """Return the targets ranked for chunk `index`, its owner first."""
        if index not in self._rankings:
            scores = self._scores(index)
            order = sorted(range(len(self._order)), key=scores.__getitem__)
            owner = self._owners[index]
            ranked = [owner, *(other for other in order if other != owner)]
            self._rankings[index] = [self._order[position] for position in ranked]
        return self._rankings[index]

    def backup(self, index):
        """Return the first target to adopt chunk `index` if its owner fails."""
        return self._order[self._backups[index]]

    def rank(self, name, index):
        """Return the rank of a target for chunk `index`; rank 0 is the owner."""
        return self.ranking(index).index(name)

    def pull_order(self):
        """Return the chunks in the order in which this target requests them.

        Each target begins with a different owner, which spreads the load over owners.
        """
        count = len(self._order)
        own_position = self._positions[self._own_name]
        return sorted(
            range(self._count),
            key=lambda index: (own_position - self._owners[index]) % count,
        )

    def manifest_parents(self, fanout):
        """Return the peers to ask for the manifest, nearest first.

        They are the ancestors of this target in a tree of the region's targets. The
        root has none and draws the manifest from the origin.

        :param fanout: the number of children of each node.
        """
        position = self._positions[self._own_name]
        parents = []
        while position > 0:
            position = (position - 1) // fanout
            parents.append(self._order[position])
        return parents


@plans.register("origin")
class OriginPlan(Plan):
    """The baseline without peers: every target draws every chunk from the origin."""

    def owner(self, index):
        return self._own_name

    def ranking(self, index):
        return [self._own_name]

    def pull_order(self):
        return list(range(self._count))

    def manifest_parents(self, fanout):
        return []


def _hash64(text):
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _salt(index):
    return (index + 1) * _MULTIPLIER & _MASK


def _score(name_hash, salt):
    mixed = (name_hash ^ salt) * _MULTIPLIER & _MASK
    mixed ^= mixed >> 29
    return mixed * _MULTIPLIER & _MASK
