"""When an entry that starts reads the desired state from the store itself."""

import random

# An entry that hears of no others within this reads the state; that is random, so that
# those which can't hear of each other don't read it at the same moment.
UNTOLD_MIN_S = 0.3
UNTOLD_MAX_S = 0.6
# One that has neighbours gives them so long to bring the state, and later by the second
# figure for each neighbour before it in rank.
READ_AFTER_S = 0.8
READ_PER_RANK_S = 0.3
READ_MAX_S = 3.2


class FirstRead:
    """Decides when this entry stops waiting for a neighbour's copy of the first state.

    Entries that start together would fill the link to the store with copies of the same
    state. The first one that a daemon beside an engine hears reads it at once, and the
    others take it from there.

    :param clock: the `Clock`.
    :param spread: the `StateSpread`.
    """

    def __init__(self, clock, spread):
        self._clock = clock
        self._spread = spread
        self._untold_s = random.uniform(UNTOLD_MIN_S, UNTOLD_MAX_S)
        self._begun_s = None
        self._told_s = None
        self._is_first = False

    def note_told(self, neighbours):
        """Note that a daemon named this entry.

        :param neighbours: the other entries of the failure domain that it named.
        """
        if self._told_s is None:
            self._told_s = self._clock.monotonic_s()
        self._is_first = self._is_first or not neighbours

    def is_due(self):
        """Return whether the entry is to read the state, asked from its start on."""
        now_s = self._clock.monotonic_s()
        if self._begun_s is None:
            self._begun_s = now_s
        if self._spread.is_pulling():
            return self._spread.needs_own_read()
        if self._told_s is None:
            return now_s - self._begun_s >= self._untold_s
        patience_s = READ_AFTER_S + self._spread.rank() * READ_PER_RANK_S
        waited_s = now_s - self._told_s
        return self._is_first or waited_s >= min(READ_MAX_S, patience_s)
