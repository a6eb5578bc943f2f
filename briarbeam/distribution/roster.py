"""The entries that greet a stager, and which of them forward loads."""

import structlog

from .messages import ENTRIES_PER_DATAGRAM
from .ranking import FORWARDER_SUBJECT, rank_entries

# An entry is considered lost after three missed greetings.
ENTRY_EXPIRY_S = 3.0
# For how long a neighbour's report that a forwarder is silent counts. A partition or a pause
# lasts some seconds, and avoiding a forwarder that works does no harm.
SILENCE_REPORT_EXPIRY_S = 4.0

_log = structlog.get_logger()


class Roster:
    """The entries that greeted lately, and the forwarder of each failure domain.

    :param clock: a function that returns monotonic seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last_greeting_s = {}
        self._silent_until_s = {}
        self._forwarders = None
        self._next_slice = 0

    def __iter__(self):
        return iter(self._last_greeting_s)

    def __len__(self):
        return len(self._last_greeting_s)

    def record_greeting(self, host, failure_domain, silent_forwarder=None):
        """Record a greeting and return whether the entry is new."""
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
        """Remove entries that have not greeted for `ENTRY_EXPIRY_S`, and old reports."""
        now_s = self._clock()
        for entry, at_s in list(self._last_greeting_s.items()):
            if now_s - at_s > ENTRY_EXPIRY_S:
                _log.info("entry_lost", host=entry[0])
                del self._last_greeting_s[entry]
                self._forwarders = None
        for host, until_s in list(self._silent_until_s.items()):
            if now_s >= until_s:
                del self._silent_until_s[host]
                self._forwarders = None

    def forwarders(self):
        """Return the host and the failure domain of one entry of each failure domain."""
        if self._forwarders is None:
            domains = sorted({domain for _, domain in self._last_greeting_s})
            self._forwarders = [(self._forwarder(domain), domain) for domain in domains]
        return self._forwarders

    def next_slice(self):
        """Return the next `ENTRIES_PER_DATAGRAM` entries; repeated calls cycle over all."""
        entries = sorted(self._last_greeting_s)
        if self._next_slice >= len(entries):
            self._next_slice = 0
        first = self._next_slice
        self._next_slice += ENTRIES_PER_DATAGRAM
        return tuple(entries[first : first + ENTRIES_PER_DATAGRAM])

    def _forwarder(self, failure_domain):
        ranked = rank_entries(self._last_greeting_s, failure_domain, FORWARDER_SUBJECT)
        # min() returns the first minimum, so rank decides among those that are not silent.
        return min(ranked, key=lambda host: host in self._silent_until_s)
