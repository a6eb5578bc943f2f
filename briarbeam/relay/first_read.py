"""Decides when a starting entry reads the desired state from the store itself."""

import math
import random

from .spread import STORE_READ_AFTER_S, STORE_READ_PER_RANK_S

# Range of the random time after which an entry reads the state if no stager (the daemon
# on an engine's machine) has answered. It is random so that entries that have no
# contact with each other don't read the state at the same time.
NO_ANSWER_MIN_S = 0.3
NO_ANSWER_MAX_S = 0.6
# The answers of all stagers arrive within this time after the first one.
ANSWERS_WITHIN_S = 0.1


class FirstRead:
    """Decides when this entry stops waiting for a neighbour's copy of the first state.

    Entries that start together would saturate the link to the store if each of them
    read the state. Each stager therefore names the entry that greeted it first as the
    reader. If stagers name different entries, the ranking of entries decides. The other
    entries fetch the state from the reader.

    :param clock: the `Clock`.
    :param host: the IP address of this entry.
    :param spread: the `StateSpread`.
    :param restored_s: a function that returns the boot time at which the store was last
        reached again, or None.
    """

    def __init__(self, clock, host, spread, restored_s):
        self._clock = clock
        self._host = host
        self._spread = spread
        self._restored_s = restored_s
        self._no_answer_wait_s = random.uniform(NO_ANSWER_MIN_S, NO_ANSWER_MAX_S)
        self._began_s = None
        self._first_answer_s = None
        self._named_readers = set()
        self._reader = None

    def start_waiting(self):
        """Start to wait for stagers' answers; only the first call has an effect."""
        if self._began_s is None:
            self._began_s = self._clock.boottime_s()

    def record_named_reader(self, host):
        """Record the host of the entry that a stager names as the reader."""
        if self._first_answer_s is None:
            self._first_answer_s = self._clock.boottime_s()
        self._named_readers.add(host)

    def is_due(self):
        """Return whether this entry has to read the state from the store now."""
        if self._began_s is None:
            return False
        if self._spread.is_pulling():
            return self._spread.needs_store_read()
        if self._first_answer_s is None:
            return self._waited_s(self._began_s) >= self._no_answer_wait_s
        waited_s = self._waited_s(self._first_answer_s)
        if waited_s < ANSWERS_WITHIN_S:
            return False
        if self._reader is None:
            # Decided only once, as stagers that start later may name other entries.
            self._reader = self._spread.highest_ranked(self._named_readers)
        if self._reader == self._host:
            return True
        wait_s = STORE_READ_AFTER_S + self._spread.rank() * STORE_READ_PER_RANK_S
        return waited_s >= wait_s

    def _waited_s(self, since_s):
        """Return the seconds since `since_s` or, if later, since the store's return."""
        restored_s = self._restored_s()
        latest_s = max(since_s, -math.inf if restored_s is None else restored_s)
        return self._clock.boottime_s() - latest_s
