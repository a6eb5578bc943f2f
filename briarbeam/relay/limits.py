"""Limits for all entries together, each of which enforces its share by itself."""

import collections
from typing import NamedTuple

# The users' platform counts the requests to a cold instance in windows of this length.
COLD_WINDOW_S = 1.0


class EntryPosition(NamedTuple):
    """The index of this entry among all entries, from 0, and their number."""

    index: int
    count: int


class ColdRateLimiter:
    """Limits the requests that one entry sends to one cold instance.

    The requests that the instance allows in a window are divided among the entries in
    equal integer shares. The remainder goes to the first entries, one request each.
    """

    def __init__(self):
        self._sent_s = collections.deque()

    def try_send(self, rate_per_s, position, now_s):
        """Count one request and return True, or return False if it exceeds the limit.

        :param rate_per_s: requests per second of all entries together; 0 for no limit.
        :param position: the `EntryPosition` of this entry.
        :param now_s: monotonic time.
        """
        if not rate_per_s:
            return True
        while self._sent_s and self._sent_s[0] <= now_s - COLD_WINDOW_S:
            self._sent_s.popleft()
        share, remainder = divmod(int(rate_per_s * COLD_WINDOW_S), position.count)
        if len(self._sent_s) >= share + (position.index < remainder):
            return False
        self._sent_s.append(now_s)
        return True


class RetryBudget:
    """Limits retries to a share of the requests of the same service.

    :param ratio: retries per request.
    :param slack: additional retries in each window, of all entries together.
    :param window_s: the length of the window in seconds.
    """

    # Share of the budget that is used, so that entries that don't know of each other
    # don't exceed it together.
    _USED_SHARE = 0.6

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio * self._USED_SHARE
        self._slack = slack * self._USED_SHARE
        self._window_s = window_s
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)

    def count_request(self, service, now_s):
        """Count a caller's request for `service`."""
        self._requests[service].append(now_s)
        self._trim(self._requests[service], now_s)

    def try_retry(self, service, entry_count, now_s):
        """Count one retry and return True, or return False if it exceeds the budget."""
        requests = self._trim(self._requests[service], now_s)
        retries = self._trim(self._retries[service], now_s)
        allowed = self._ratio * requests + self._slack / max(1, entry_count)
        if retries + 1 > allowed:
            return False
        self._retries[service].append(now_s)
        return True

    def _trim(self, times_s, now_s):
        while times_s and times_s[0] <= now_s - self._window_s:
            times_s.popleft()
        return len(times_s)
