"""Sends the load of the engine on this machine to entries."""

import structlog

from .messages import ENTRIES_PER_DATAGRAM, Load, encode

# How often the engine's report is read and sent. Places at the engine are granted beside
# it, by what was granted since the last report, and entries only rank engines by the
# reports. Each one costs processor time at every entry, whatever it serves.
HIGH_LOAD_INTERVAL_S = 0.1
LOW_LOAD_INTERVAL_S = 0.2
# One of this many reports, at high and at low load, is sent to the forwarder of the
# stager's own failure domain (local) and to those of others (remote). Loads of engines
# that are far from full are sent less often. So are all loads to other failure domains,
# as datagrams between failure domains are billed.
LOCAL_EVERY_N_REPORTS, LOCAL_EVERY_N_LOW_REPORTS = 1, 1
REMOTE_EVERY_N_REPORTS, REMOTE_EVERY_N_LOW_REPORTS = 2, 2
# Entries are listed with one of this many reports, and accepted orders are stated.
ENTRIES_EVERY_N_REPORTS = 5
# From this number of running and waiting requests, an engine's load counts as high.
HIGH_LOAD_REQUESTS = 6

_log = structlog.get_logger()


class LoadReporter:
    """Sends an engine's load to the forwarder of each failure domain.

    :param send: a function of a datagram's bytes and a host.
    :param roster: the `Roster` of entries.
    :param failure_domain: the failure domain of this stager.
    """

    def __init__(self, send, roster, failure_domain):
        self._send = send
        self._roster = roster
        self._failure_domain = failure_domain
        self._report_count = 0
        self._direct_index = 0

    def interval_s(self, report):
        """Return the seconds until the engine's report should be read again.

        :param report: the last `EngineReport`, or None if the engine can't be reached.
        """
        return HIGH_LOAD_INTERVAL_S if _is_load_high(report) else LOW_LOAD_INTERVAL_S

    def send_load(self, report, version, accepting):
        """Send the load to the forwarders that are due, and to one other entry in turn.

        :param report: the `EngineReport`.
        :param version: the version of the weights that the engine holds, 0 for none.
        :param accepting: whether the engine accepts requests.
        """
        self._report_count += 1
        self._roster.remove_expired()
        is_high = _is_load_high(report)
        local_due = not self._report_count % (
            LOCAL_EVERY_N_REPORTS if is_high else LOCAL_EVERY_N_LOW_REPORTS
        )
        remote_due = not self._report_count % (
            REMOTE_EVERY_N_REPORTS if is_high else REMOTE_EVERY_N_LOW_REPORTS
        )
        entries_due = not self._report_count % ENTRIES_EVERY_N_REPORTS
        entries = self._roster.next_slice() if entries_due else ()
        load = _make_load(
            report, version, accepting, True, entries, with_orders=entries_due
        )
        data = encode(load)
        for host, domain in self._roster.forwarders():
            is_local = domain == self._failure_domain
            if entries or (local_due if is_local else remote_due):
                self._send(data, host)
        self._send_to_one_directly(encode(_make_load(report, version, accepting)))

    def send_load_to_all(self, report, version, accepting):
        """Send the load to all entries at once."""
        forwarders = set(self._roster.forwarders())
        for entry in self._roster:
            forward = entry in forwarders
            load = _make_load(report, version, accepting, forward, with_orders=True)
            self._send(encode(load), entry[0])

    def send_entries(self, report, version, accepting, host):
        """Send the load and the list of all entries to the new entry at `host`."""
        for _ in range(0, len(self._roster), ENTRIES_PER_DATAGRAM):
            entries = self._roster.next_slice()
            load = _make_load(report, version, accepting, entries=entries)
            self._send(encode(load), host)

    def send_namings(self, report, version, accepting, host, namings):
        """Send the load and the times at which versions were named to one entry.

        :param namings: as in `Load`.
        """
        load = _make_load(report, version, accepting, namings=namings)
        self._send(encode(load), host)

    def _send_to_one_directly(self, data):
        """Send to one entry that is no forwarder, in turn, in case its own fails."""
        forwarders = {host for host, _ in self._roster.forwarders()}
        others = [host for host, _ in self._roster if host not in forwarders]
        if others:
            self._direct_index = (self._direct_index + 1) % len(others)
            self._send(data, others[self._direct_index])


def _is_load_high(report):
    return report is not None and report.running + report.waiting >= HIGH_LOAD_REQUESTS


def _make_load(
    report, version, accepting, forward=False, entries=(), namings=(), with_orders=False
):
    # An engine without weights accepts requests, but has proven nothing.
    with_orders = not accepting or (with_orders and version > 0)
    return Load(
        report.started_ms, version, accepting, report.running, report.waiting,
        report.slowdown, forward, entries, namings,
        report.accepted_orders if with_orders else 0,
    )  # fmt: skip
