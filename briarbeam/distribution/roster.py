"""The entries that greet a stager, and which of them forward loads."""

import structlog

from .messages import ENTRIES_PER_DATAGRAM
from .ranking import FORWARDER_SUBJECT, rank_entries

# An entry is considered lost this long after its last greeting, when it missed three.
GREETING_EXPIRY_S = 3.0
# How long a forwarder is avoided after a neighbour reported it silent. A partition or a
# pause lasts some seconds, and avoiding a forwarder that works does no harm.
SILENCE_REPORT_EXPIRY_S = 4.0

_log = structlog.get_logger()


class Roster:
    """The entries that greeted recently, and the forwarder of each failure domain.

    :param clock: a function that returns monotonic seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last_greeting_s = {}
        self._silent_until_s = {}
        self._forwarders = None
        self._slice_start = 0

    def __iter__(self):
        return iter(self._last_greeting_s)

    def __len__(self):
        return len(self._last_greeting_s)

    def record_greeting(self, host, failure_domain, silent_forwarder=None):
        """Record a greeting and return whether the entry is new.

        :param silent_forwarder: the forwarder that the entry reports silent, or None.
        """
        entry = (host, failure_domain)
        is_new = entry not in self._last_greeting_s
        self._last_greeting_s[entry] = self._clock()
        if silent_forwarder is not None:
            if silent_forwarder not in self._silent_until_s:
                _log.info("forwarder_avoided", host=silent_forwarder, told_by=host)
            self._silent_until_s[silent_forwarder] = (
                self._clock() + SILENCE_REPORT_EXPIRY_S
            )
        if is_new or silent_forwarder is not None:
            self._forwarders = None
        if is_new:
            _log.info("entry_seen", host=host)
        return is_new

    def remove_expired(self):
        """Remove entries without a recent greeting, and expired reports of silence."""
        now_s = self._clock()
        for entry, at_s in list(self._last_greeting_s.items()):
            if now_s - at_s > GREETING_EXPIRY_S:
                _log.info("entry_lost", host=entry[0])
                del self._last_greeting_s[entry]
                self._forwarders = None
        for host, until_s in list(self._silent_until_s.items()):
            if now_s >= until_s:
                del self._silent_until_s[host]
                self._forwarders = None

    def forwarders(self):
        """Return the forwarder of each failure domain, as pairs of host and domain."""
        if self._forwarders is None:
            domains = sorted({domain for _, domain in self._last_greeting_s})
            self._forwarders = [
                (self._choose_forwarder(domain), domain) for domain in domains
            ]
        return self._forwarders

    def next_slice(self):
        """Return `ENTRIES_PER_DATAGRAM` entries or fewer; calls cycle over all."""
        entries = sorted(self._last_greeting_s)
        if self._slice_start >= len(entries):
            self._slice_start = 0
        first = self._slice_start
        self._slice_start += ENTRIES_PER_DATAGRAM
        return tuple(entries[first : first + ENTRIES_PER_DATAGRAM])

    def _choose_forwarder(self, failure_domain):
        ranked = rank_entries(self._last_greeting_s, failure_domain, FORWARDER_SUBJECT)
        # min() returns the first of equal items: the first in rank that is not silent,
        # or the first in rank if all are.
        return min(ranked, key=lambda host: host in self._silent_until_s)
