"""What this target knows of the chunks that its peers hold, for one version."""

import math
from dataclasses import dataclass, field

from .bitmap import Bitmap

SUSPECT_START_S = 3.0
SUSPECT_MAX_S = 30.0
QUARANTINE_S = 60.0


@dataclass
class _Peer:
    held: Bitmap = field(default_factory=Bitmap)
    drawing: Bitmap = field(default_factory=Bitmap)
    held_updated_at_s: float = -math.inf
    drawing_updated_at_s: float = -math.inf
    unusable_until_s: float = -math.inf
    failures: int = 0
    corrupt: bool = False
    referred: set = field(default_factory=set)


class Peers:
    """The peers' holdings as they told them, and which peers to leave alone.

    :param own: this target's name.
    :param names: the other targets of the region.
    """

    def __init__(self, clock, own, names):
        self._clock = clock
        self._peers = {name: _Peer() for name in names if name != own}

    @property
    def names(self):
        """The names of the peers."""
        return list(self._peers)

    def update_holdings(self, name, held, drawing=None):
        """Take in what a peer says it holds; it is alive."""
        peer = self._peers.get(name)
        if peer is None:
            return
        peer.held = held
        if self._most_have_failed():
            self._clear_failures()
        peer.held_updated_at_s = self._clock.monotonic_s()
        if drawing is not None:
            peer.drawing = drawing
            peer.drawing_updated_at_s = peer.held_updated_at_s
        peer.failures = 0

    def add_referral(self, name, index):
        """Take in that a peer was seen to be given a chunk."""
        if name in self._peers:
            self._peers[name].referred.add(index)

    def record_failure(self, name):
        """Leave a peer alone for a while that did not answer, longer each time."""
        peer = self._peers.get(name)
        if peer is None:
            return
        pause_s = min(SUSPECT_MAX_S, SUSPECT_START_S * 2**peer.failures)
        peer.failures += 1
        self._avoid(peer, pause_s)

    def quarantine(self, name):
        """Leave a peer alone that gave corrupt bytes."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.corrupt = True
            self._avoid(peer, QUARANTINE_S)

    def is_usable(self, name):
        """Return whether a peer may be asked now."""
        peer = self._peers.get(name)
        return peer is not None and self._clock.monotonic_s() >= peer.unusable_until_s

    def holds(self, name, index):
        """Return whether a peer holds a chunk, as far as it told."""
        peer = self._peers[name]
        return index in peer.held or index in peer.referred

    def is_drawing(self, name, index):
        """Return whether a peer draws a chunk with progress, as far as it told."""
        return index in self._peers[name].drawing

    def held_age_s(self, name):
        """Return the seconds since a peer last told what it holds."""
        return self._clock.monotonic_s() - self._peers[name].held_updated_at_s

    def drawing_age_s(self, name):
        """Return the seconds since a peer last told what it draws."""
        return self._clock.monotonic_s() - self._peers[name].drawing_updated_at_s

    def holders(self, index):
        """Return the usable peers that hold a chunk."""
        return [
            name
            for name in self._peers
            if self.holds(name, index) and self.is_usable(name)
        ]

    def max_held_fraction(self, count):
        """Return the largest part of all `count` chunks that a peer told it holds."""
        parts = [
            sum(index in peer.held for index in range(count)) / count
            for peer in self._peers.values()
        ]
        return max(parts, default=0.0)

    def remove_referral(self, name, index):
        """Take in that a peer does not hold a chunk that it was thought to hold."""
        if name in self._peers:
            self._peers[name].referred.discard(index)

    def _most_have_failed(self):
        """Return whether so many peers failed that it was this target's own link."""
        failed = sum(peer.failures > 0 for peer in self._peers.values())
        return failed > 1 and 2 * failed > len(self._peers)

    def _clear_failures(self):
        for peer in self._peers.values():
            peer.failures = 0
            if not peer.corrupt:
                peer.unusable_until_s = -math.inf

    def _avoid(self, peer, pause_s):
        until_s = self._clock.monotonic_s() + pause_s
        peer.unusable_until_s = max(peer.unusable_until_s, until_s)
