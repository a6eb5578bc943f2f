"""The entries that a daemon beside an engine hears, and who of them passes loads on."""

import structlog

from .messages import ENTRIES_PER_DATAGRAM
from .ranking import FORWARDER_SUBJECT, rank_entries

# Three greetings without a word are taken as an entry that is gone.
ENTRY_EXPIRY_S = 3.0
# For how long neighbours' word counts that a forwarder is silent: a cut or a freeze
# lasts some seconds, and an idle forwarder does no harm.
SILENCE_REPORT_EXPIRY_S = 4.0

_log = structlog.get_logger()


class Roster:
    """Entries that greeted lately, in rank order of who forwards loads.

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

    def note(self, host, failure_domain, silent_forwarder=None):
        """Note a greeting; return whether the entry is new."""
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
        """Drop entries that have been silent for too long."""
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
        """Return pairs of host and failure domain, one for each failure domain."""
        if self._forwarders is None:
            domains = sorted({domain for _, domain in self._last_greeting_s})
            self._forwarders = [(self._forwarder(domain), domain) for domain in domains]
        return self._forwarders

    def next_slice(self):
        """Return some of the entries; several calls in a row return all of them."""
        entries = sorted(self._last_greeting_s)
        if self._next_slice >= len(entries):
            self._next_slice = 0
        first = self._next_slice
        self._next_slice += ENTRIES_PER_DATAGRAM
        return tuple(entries[first : first + ENTRIES_PER_DATAGRAM])

    def _forwarder(self, failure_domain):
        ranked = rank_entries(self._last_greeting_s, failure_domain, FORWARDER_SUBJECT)
        # The sort is stable: among those that are heard, rank decides.
        return min(ranked, key=lambda host: host in self._silent_until_s)
