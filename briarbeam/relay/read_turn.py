"""Decides when an entry whose neighbours may supply the desired state reads it itself."""

from .follower import STORE_LOST_MAX_S

# A watch on the state may wait for 0.6 s, and its answer may take as long on a busy link.
READ_DURATION_S = 1.2


class ReadTurn:
    """Decides whether it is this entry's turn to read the desired state.

    Entries that start or reach the store again together would saturate the link to it
    if each of them read the state. Which one is the reader is not settled then, and
    several may be. So they read one after the other, in the order of their ranks, until
    a neighbour supplies the state. An entry whose state would become too old to be used
    meanwhile does not wait.

    :param clock: the `Clock`.
    :param spread: the `StateSpread`.
    :param age_s: a function that returns the age of the state in seconds, or None.
    :param age_max_s: the age in seconds above which the state is not used.
    """

    def __init__(self, clock, spread, age_s, age_max_s):
        self._clock = clock
        self._spread = spread
        self._age_s = age_s
        self._age_max_s = age_max_s
        self._regained_s = None

    def record_outage(self, lost_s):
        """Record that the store, lost at the boot time `lost_s`, is reached again."""
        now_s = self._clock.boottime_s()
        # After a shorter outage, the reader is still the same.
        if now_s - lost_s <= STORE_LOST_MAX_S:
            return
        # An outage during the wait does not prolong it.
        if not self._is_within_wait(self._regained_s):
            self._regained_s = now_s

    def is_due(self):
        """Return whether this entry may read the state now."""
        if self._expires_soon():
            return True
        if self._is_within_wait(self._spread.first_copied_s):
            return False
        return self._spread.rank() == 0 or not self._is_within_wait(self._regained_s)

    def _expires_soon(self):
        age_s = self._age_s()
        if age_s is None:
            return False
        return self._age_max_s - READ_DURATION_S <= age_s < self._age_max_s

    def _is_within_wait(self, since_s):
        if since_s is None:
            return False
        waited_s = self._clock.boottime_s() - since_s
        return waited_s < self._spread.store_read_wait_s()
