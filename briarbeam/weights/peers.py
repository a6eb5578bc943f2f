"""The chunks of one version that the peers of this target hold, as far as is known."""

import math
from dataclasses import dataclass, field

from .bitmap import Bitmap

FAILURE_BACKOFF_START_S = 3.0
FAILURE_BACKOFF_MAX_S = 30.0
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
    referred_indexes: set = field(default_factory=set)


class Peers:
    """Records which chunks peers hold and draw, and which peers must not be asked now.

    :param own_name: this target's name.
    :param names: the targets of the region; this target itself is skipped.
    """

    def __init__(self, clock, own_name, names):
        self._clock = clock
        self._peers = {name: _Peer() for name in names if name != own_name}

    @property
    def names(self):
        """The names of the peers."""
        return list(self._peers)

    def update_holdings(self, name, held, drawing=None):
        """Record the holdings that a peer reported, and that the peer is alive.

        If most peers had failed, the fault was this target's own link: their failures
        are cleared. Peers that sent corrupt bytes stay quarantined.

        :param held: the `Bitmap` of chunks that the peer holds.
        :param drawing: the `Bitmap` of chunks that it draws, or None if not reported.
        """
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
        """Record that another peer named this one as a recipient of a chunk."""
        if name in self._peers:
            self._peers[name].referred_indexes.add(index)

    def record_failure(self, name):
        """Record that a peer did not answer; it is not asked during a backoff.

        The backoff doubles with each failure, up to `FAILURE_BACKOFF_MAX_S`.
        """
        peer = self._peers.get(name)
        if peer is None:
            return
        pause_s = min(FAILURE_BACKOFF_MAX_S, FAILURE_BACKOFF_START_S * 2**peer.failures)
        peer.failures += 1
        self._avoid(peer, pause_s)

    def quarantine(self, name):
        """Record that a peer sent corrupt bytes; it is not asked for `QUARANTINE_S`."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.corrupt = True
            self._avoid(peer, QUARANTINE_S)

    def is_usable(self, name):
        """Return whether a peer may be asked now."""
        peer = self._peers.get(name)
        return peer is not None and self._clock.monotonic_s() >= peer.unusable_until_s

    def holds(self, name, index):
        """Return whether a peer is known to hold a chunk, from reports or referrals."""
        peer = self._peers[name]
        return index in peer.held or index in peer.referred_indexes

    def is_drawing(self, name, index):
        """Return whether a peer reported that it draws a chunk and makes progress."""
        return index in self._peers[name].drawing

    def held_age_s(self, name):
        """Return the seconds since a peer last reported the chunks that it holds."""
        return self._clock.monotonic_s() - self._peers[name].held_updated_at_s

    def drawing_age_s(self, name):
        """Return the seconds since a peer last reported the chunks that it draws."""
        return self._clock.monotonic_s() - self._peers[name].drawing_updated_at_s

    def holders(self, index):
        """Return the usable peers that hold a chunk."""
        return [
            name
            for name in self._peers
            if self.holds(name, index) and self.is_usable(name)
        ]

    def max_held_fraction(self, count):
        """Return the largest fraction of all `count` chunks that any peer reported."""
        fractions = [
            sum(index in peer.held for index in range(count)) / count
            for peer in self._peers.values()
        ]
        return max(fractions, default=0.0)

    def remove_referral(self, name, index):
        """Record that a peer does not hold a chunk that a referral attributed to it."""
        if name in self._peers:
            self._peers[name].referred_indexes.discard(index)

    def _most_have_failed(self):
        """Return whether most peers, and at least two, failed since they last reported.

        In that case the cause is this target's own link.
        """
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
