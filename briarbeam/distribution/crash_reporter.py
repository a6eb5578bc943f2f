"""Shares the crashes that are held against suspects among all entries."""

import random

import gevent

from .crash_messages import encode_crashes, encode_runs
from .ranking import first_in_rank

# Pauses before each datagram about news, in case one is lost.
REPEAT_PAUSES_S = (0.0, 0.1, 0.3)
# How often an entry sends what it knows to another one, for those that have just
# started or were cut off.
SYNC_INTERVAL_S = 0.5
CRASHES_PER_SYNC = 400
# Limit on the datagrams with these crashes.
DATAGRAMS_PER_SYNC = 2
# Several entries may be able to excuse a crash. Each waits for a random part of this
# time, and sends nothing if another one was faster.
EXCUSE_DELAY_MAX_S = 0.02


class CrashReporter:
    """Sends and receives the rows of `CrashEvidence`.

    :param evidence: the `CrashEvidence` of this entry.
    :param quarantine: the `Quarantine` of this entry.
    :param host: the IP address of this entry.
    :param entries: a function that returns pairs of host and failure domain of the live
        entries.
    :param send: called with the bytes of a datagram and a host.
    """

    def __init__(self, evidence, quarantine, host, entries, send):
        self._evidence = evidence
        self._quarantine = quarantine
        self._host = host
        self._entries = entries
        self._send = send
        self._unsent = set()
        evidence.on_news = lambda keys: gevent.spawn(self._report, keys)
        quarantine.is_turn = lambda subject: host == first_in_rank(entries(), subject)

    def run(self):
        """Send the main crashes to a random other entry at intervals, forever."""
        while True:
            gevent.sleep(SYNC_INTERVAL_S)
            self.synchronize()

    def synchronize(self):
        """Forget old crashes, and send the main ones to one other entry."""
        self._evidence.expire(self._quarantine.suspects)
        keys = self._evidence.main_keys()[:CRASHES_PER_SYNC]
        hosts = self._other_hosts()
        if keys and hosts:
            host = random.choice(hosts)
            # The receiver needs the other crashes to weigh those in the rows.
            run_rows = self._evidence.run_rows(self._evidence.last_runs())
            self._send(encode_runs(run_rows), host)
            for data in encode_crashes(self._evidence.rows(keys))[:DATAGRAMS_PER_SYNC]:
                self._send(data, host)

    def handle_report(self, host, report):
        """Merge a `CrashReport` from `host`."""
        for row in report.rows:
            if row.excused:
                self._unsent.discard((row.suspect, row.run))
        newly_excused, known_excused = self._evidence.merge(
            report.rows, report.run_rows
        )
        if known_excused:
            self._send_rows(known_excused, [host])
        if newly_excused:
            self._unsent.update(newly_excused)
            delay_s = random.uniform(0.0, EXCUSE_DELAY_MAX_S)
            gevent.spawn_later(delay_s, self._report_unsent, newly_excused)

    def _report_unsent(self, keys):
        """Report those of `keys` that no other entry has reported as excused."""
        unsent = [key for key in keys if key in self._unsent]
        self._unsent.difference_update(unsent)
        if unsent:
            self._report(unsent)

    def _report(self, keys):
        for pause_s in REPEAT_PAUSES_S:
            gevent.sleep(pause_s)
            self._send_rows(keys, self._other_hosts())

    def _send_rows(self, keys, hosts):
        for data in encode_crashes(self._evidence.rows(keys)):
            for host in hosts:
                self._send(data, host)

    def _other_hosts(self):
        return sorted(host for host, _ in self._entries() if host != self._host)
