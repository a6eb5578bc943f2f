"""Counts of recent events that fade with age."""

import math

# Usual time in which a count falls to 1/e. The rate of a kind changes within a second or two
# and stays for 3 to 7 s; a longer memory would still describe the time before that.
MEMORY_S = 1.5
# Counts below this are deleted, so that names that are not used any more take no memory.
COUNT_MIN = 0.001
# Number of counted events after which all counts are brought to the present.
EVENTS_PER_REBASE = 256
# The same in units of the memory, so that weights stay small numbers.
REBASE_MEMORIES = 10


class RecentCounts:
    """Counts events by key; each weighs less the longer ago it was.

    All counts are kept in the weight of one reference time, so that counting and
    reading take the same time however many keys there are.

    Load that it answers: rates that rise to 2.5 times the usual for some seconds.

    :param memory_s: the time in which a count falls to 1/e.
    """

    def __init__(self, memory_s=MEMORY_S):
        self._memory_s = memory_s
        self._weights = {}
        self._reference_s = 0.0
        self._events = 0

    def add(self, key, now_s):
        """Count an event."""
        self._events += 1
        if (
            self._events >= EVENTS_PER_REBASE
            or now_s > self._reference_s + REBASE_MEMORIES * self._memory_s
        ):
            self._rebase(now_s)
        weight = math.exp((now_s - self._reference_s) / self._memory_s)
        self._weights[key] = self._weights.get(key, 0.0) + weight

    def rate_per_s(self, key, now_s):
        """Return the recent rate of events of one key."""
        weight = self._weights.get(key, 0.0)
        return (
            weight
            * math.exp((self._reference_s - now_s) / self._memory_s)
            / self._memory_s
        )

    def rates_per_s(self, now_s):
        """Return the recent rate of events of each key, a dictionary."""
        factor = math.exp((self._reference_s - now_s) / self._memory_s) / self._memory_s
        return {key: weight * factor for key, weight in self._weights.items()}

    def _rebase(self, now_s):
        factor = math.exp((self._reference_s - now_s) / self._memory_s)
        self._weights = {
            key: weight * factor
            for key, weight in self._weights.items()
            if weight * factor >= COUNT_MIN
        }
        self._reference_s, self._events = now_s, 0
