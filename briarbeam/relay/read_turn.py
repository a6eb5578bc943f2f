"""Decides when an entry whose neighbours may supply the desired state reads it itself."""

from .follower import STORE_LOST_MAX_S


class ReadTurn:
    """Decides whether it is this entry's turn to read the desired state.

    Entries that start or reach the store again together would saturate the link to it
    if each of them read the state. Which one is the reader is not settled then, and
    several may be. So they read one after the other, in the order of their ranks, until
    a neighbour supplies the state.

    :param clock: the `Clock`.
    :param spread: the `StateSpread`.
    :param last_outage_s: a function that returns the boot times at which the store was
        last lost and reached again, or None.
    """

    def __init__(self, clock, spread, last_outage_s):
        self._clock = clock
        self._spread = spread
        self._last_outage_s = last_outage_s

    def is_due(self):
        """Return whether this entry may read the state now."""
        if self._is_within_wait(self._spread.first_copied_s):
            return False
        outage_s = self._last_outage_s()
        if outage_s is None or self._spread.rank() == 0:
            return True
        lost_s, regained_s = outage_s
        # After a shorter outage, the reader is still the same.
        if regained_s - lost_s <= STORE_LOST_MAX_S:
            return True
        return not self._is_within_wait(regained_s)

    def _is_within_wait(self, since_s):
        if since_s is None:
            return False
        waited_s = self._clock.boottime_s() - since_s
        return waited_s < self._spread.store_read_wait_s()
