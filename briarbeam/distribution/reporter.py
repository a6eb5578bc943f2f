"""Sends the load of the engine on this machine to entries."""

import structlog

from .messages import ENTRIES_PER_DATAGRAM, Load, encode

# Reading the engine's report costs nothing on its own machine. Entries that choose by stale
# loads overload engines: at nine tenths of the capacity, a sixth of the requests meet a full
# engine with reports every 0.2 s, and a fiftieth with reports every 0.05 s.
REPORT_INTERVAL_S = 0.05
IDLE_REPORT_INTERVAL_S = 0.1
# Every how many reports one is sent. Loads of engines that are far from full are sent less
# often, and so are those to other failure domains, as datagrams between them are billed.
LOCAL_EVERY, LOCAL_IDLE_EVERY = 1, 2
REMOTE_EVERY, REMOTE_IDLE_EVERY = 2, 4
ENTRIES_EVERY = 10
# Number of running and waiting requests from which an engine is reported at the busy rate.
BUSY_LOAD = 6

_log = structlog.get_logger()


class LoadReporter:
    """Sends an engine's load to a forwarder of each failure domain.

    :param send: a function of a datagram's bytes and a host.
    :param roster: the `Roster` of entries.
    """

    def __init__(self, send, roster, failure_domain):
        self._send = send
        self._roster = roster
        self._failure_domain = failure_domain
        self._reports = 0
        self._next_direct = 0

    def interval_s(self, report):
        """Return the time until the next report is due, in seconds."""
        return REPORT_INTERVAL_S if _is_busy(report) else IDLE_REPORT_INTERVAL_S

    def send_load(self, report, version, accepting):
        """Send the load to the forwarders, and to one of the other entries in turn.

        :param report: the `EngineReport`.
        :param version: the version of the weights that the engine holds, 0 for none.
        :param accepting: whether the engine accepts requests.
        """
        self._reports += 1
        self._roster.remove_expired()
        busy = _is_busy(report)
        local_due = not self._reports % (LOCAL_EVERY if busy else LOCAL_IDLE_EVERY)
        remote_due = not self._reports % (REMOTE_EVERY if busy else REMOTE_IDLE_EVERY)
        entries_due = not self._reports % ENTRIES_EVERY
        entries = self._roster.next_slice() if entries_due else ()
        data = encode(_make_load(report, version, accepting, True, entries))
        for host, domain in self._roster.forwarders():
            is_local = domain == self._failure_domain
            if entries or (local_due if is_local else remote_due):
                self._send(data, host)
        self._send_to_one_directly(encode(_make_load(report, version, accepting)))

    def send_load_to_all(self, report, version, accepting):
        """Send the load to all entries at once."""
        forwarders = set(self._roster.forwarders())
        for entry in self._roster:
            data = encode(_make_load(report, version, accepting, entry in forwarders))
            self._send(data, entry[0])

    def send_entries(self, report, version, accepting, host):
        """Send the load and the list of all entries to a new entry."""
        for _ in range(0, len(self._roster), ENTRIES_PER_DATAGRAM):
            entries = self._roster.next_slice()
            load = _make_load(report, version, accepting, entries=entries)
            self._send(encode(load), host)

    def send_namings(self, report, version, accepting, host, namings):
        """Send an entry the times at which versions were named.

        :param namings: as in `Load`.
        """
        load = _make_load(report, version, accepting, namings=namings)
        self._send(encode(load), host)

    def _send_to_one_directly(self, data):
        """Send to one of the other entries, in turn, in case their forwarder fails."""
        forwarders = {host for host, _ in self._roster.forwarders()}
        others = [host for host, _ in self._roster if host not in forwarders]
        if others:
            self._next_direct = (self._next_direct + 1) % len(others)
            self._send(data, others[self._next_direct])


def _is_busy(report):
    return report is not None and report.running + report.waiting >= BUSY_LOAD


def _make_load(report, version, accepting, forward=False, entries=(), namings=()):
    return Load(
        report.started_ms, version, accepting, report.running, report.waiting,
        report.pace, forward, entries, namings,
    )  # fmt: skip
