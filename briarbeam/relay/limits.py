"""Limits that hold over all entries without agreement: each takes its share."""

import collections
from typing import NamedTuple

# The window in which the users count what reaches a cold instance.
COLD_WINDOW_S = 1.0


class Place(NamedTuple):
    """Which of the entries this one is, from 0, and how many there are."""

    position: int
    count: int


class ColdWindow:
    """Bounds what one entry sends to one cold instance.

    Each entry takes an equal whole share of what the instance bears from all entries
    together; what remains goes to the first ones, one request each.
    """

    def __init__(self):
        self._sent_s = collections.deque()

    def try_send(self, rate_per_s, place, now_s):
        """Count one request and return True, or return False if it is too many.

        :param rate_per_s: requests a second from all entries together; 0 for no limit.
        :param place: the `Place` of this entry.
        """
        if not rate_per_s:
            return True
        while self._sent_s and self._sent_s[0] <= now_s - COLD_WINDOW_S:
            self._sent_s.popleft()
        whole, rest = divmod(int(rate_per_s * COLD_WINDOW_S), place.count)
        if len(self._sent_s) >= whole + (place.position < rest):
            return False
        self._sent_s.append(now_s)
        return True


class RetryBudget:
    """Bounds second sends to a share of the requests of the same service.

    :param ratio: second sends for each request.
    :param slack: second sends that all entries may make beside, in each window.
    :param window_s: the window's length in seconds.
    """

    # Entries that can't see each other must not overdraw together.
    _SAFE_SHARE = 0.6

    def __init__(self, ratio, slack, window_s):
        self._ratio = ratio * self._SAFE_SHARE
        self._slack = slack * self._SAFE_SHARE
        self._window_s = window_s
        self._requests = collections.defaultdict(collections.deque)
        self._retries = collections.defaultdict(collections.deque)

    def note_request(self, service, now_s):
        """Count a caller's request for `service`."""
        self._requests[service].append(now_s)
        self._trim(self._requests[service], now_s)

    def try_retry(self, service, entry_count, now_s):
        """Count one more send of a request and return True, or return False."""
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
