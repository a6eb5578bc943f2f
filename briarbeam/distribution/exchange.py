"""Exchanges datagrams at an entry: greetings, loads and announcements of states."""

import math
import time
import zlib

import gevent
import structlog
from gevent import socket

from ..relay.follower import NEIGHBOUR_AGE_MAX_S
from ..relay.limits import EntryPosition
from ..relay.target import LoadReport
from .crash_reporter import CrashReporter
from .datagram_sender import DatagramSender
from .errors import MalformedDatagramError
from .forwarder import LoadForwarder
from .messages import (
    MAX_BYTES,
    Confirmation,
    CrashReport,
    GrantReply,
    Greeting,
    Load,
    LoadBatch,
    Probe,
    RecordsAnnouncement,
    StateAnnouncement,
    StateReader,
    decode,
    encode,
)
from .ranking import FORWARDER_SUBJECT, rank_entries

GREET_INTERVAL_S = 1.0
# How often the silence of the forwarder is checked between two rounds of greetings.
SILENCE_POLL_S = 0.2
# Number of entries of a failure domain that greet stagers of other failure domains: the
# forwarder of loads and some that can replace it.
REMOTE_GREETERS = 4
# How often a neighbour is probed for the age of its state. Even with this added to the
# age of the neighbour's own state, the desired state stays younger than the bound on
# the revocation of keys.
PROBE_INTERVAL_S = 0.7
# Pauses before each of the repeated greetings about a new version. If a single one was
# lost, the next would follow a second later, and a version has to be in use within a
# few seconds.
REPEAT_PAUSES_S = (0.0, 0.1, 0.3)
# How long an entry counts when limits are divided. It is much longer than
# `ENTRY_EXPIRY_S`: a partitioned entry must not take the shares of those that it has
# lost contact with.
ENTRY_COUNT_EXPIRY_S = 30.0
# An entry that does not know all others yet divides limits by this, or by the number of
# known ones if that is higher. It is above the 53 entries of the largest deployment so
# far, including spare ones.
ASSUMED_ENTRY_COUNT = 60
# After this time, a new entry and the others of its failure domain know each other.
# Until then the others still use its share.
LISTING_DELAY_S = 2.5
# How long a computed `EntryPosition` is reused; entries are listed only about once a
# second.
POSITION_CACHE_S = 0.25
# Changes of the fleet's weights within this time share one greeting.
COALESCE_S = 0.05
# Index of the records of instances among the summaries of a `Confirmation`.
INSTANCE_SUMMARY = 1
# Entries that no stager has listed for this long are considered lost.
ENTRY_EXPIRY_S = 4.0

_log = structlog.get_logger()


class EntryExchange:
    """Exchanges datagrams with stagers and with other entries.

    Neighbours are the other entries of the failure domain.

    :param address: where to send from and listen; all daemons use the same port.
    :param fleet: the `Fleet` whose stagers are greeted, and in which loads are
        recorded.
    :param version_fields: a function of a target that returns the fields of its
        `Greeting` about versions as a dictionary, or None if it should not be greeted.
    :param on_namings: called with `Load.namings` if a stager sends them to this entry.
    :param follower: the `StoreFollower`, which compares its state with a neighbour's.
    :param spread: the `StateSpread`, which receives announcements of desired states.
    :param on_reader: called with the host that a stager names as the reader of the
        first desired state.
    :param failure_domains: all failure domains, with entries or without.
    :param evidence: the `CrashEvidence` that entries share.
    :param quarantine: the `Quarantine`.
    :param grants: the `GrantClient`.
    :param record_copies: the `RecordCopies` of the records of instances.
    :param era_age: the `EraAge`, which greetings report to stagers.
    """

    def __init__(
        self,
        address,
        failure_domain,
        fleet,
        clock,
        version_fields,
        on_namings,
        follower,
        spread,
        on_reader,
        failure_domains,
        evidence,
        quarantine,
        grants,
        record_copies,
        era_age,
    ):
        self._address = address
        self._failure_domain = failure_domain
        self._fleet = fleet
        self._clock = clock
        self._version_fields = version_fields
        self._on_namings = on_namings
        self._on_reader = on_reader
        self._era_age = era_age
        self._follower = follower
        self._entries = {}
        # When each failure domain was last listed. All count at first, as a partition
        # may hide the entries of one from the start.
        self._domains = dict.fromkeys(
            {failure_domain, *failure_domains}, clock.monotonic_s()
        )
        self._listed_since_s = math.inf
        self._scheduled_greeting = None
        self._position = None
        self._position_computed_s = 0.0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sender = DatagramSender(self._sock, address.port)
        self._forwarder = LoadForwarder(clock, self._neighbours, self._send)
        self._crash_reporter = CrashReporter(
            evidence, quarantine, address.host, self.entries, self._send
        )
        self._grants = grants
        grants.send = self._send
        self._record_copies = record_copies
        record_copies.send = lambda message, host: self._send(encode(message), host)
        record_copies.neighbours = self._neighbours
        self._spread = spread
        spread.send = lambda message, host: self._send(encode(message), host)
        spread.neighbours = self._neighbours
        spread.on_change = self.schedule_greeting
        follower.is_reader = self._forwarder.is_forwarding

    def start(self):
        """Bind the socket, and greet and listen in background tasks."""
        self._sock.bind(tuple(self._address))
        gevent.spawn(self._greet_forever)
        gevent.spawn(self._listen_forever)
        gevent.spawn(self._forwarder.run)
        gevent.spawn(self._crash_reporter.run)
        gevent.spawn(self._probe_forever)

    def greet_repeatedly(self):
        """Greet all stagers in a new task, after each of `REPEAT_PAUSES_S`."""
        gevent.spawn(self._greet_repeatedly)

    def schedule_greeting(self):
        """Greet all stagers after `COALESCE_S`; calls until then share one greeting."""
        if self._scheduled_greeting is None:
            self._scheduled_greeting = gevent.spawn_later(
                COALESCE_S, self._greet_coalesced
            )

    def has_reader(self):
        """Return whether a neighbour, the forwarder, reads the store for this entry.

        One that stopped forwarding loads recently still counts.
        """
        return self._forwarder.has_recent_forwarder()

    def entries(self):
        """Return pairs of host and failure domain of the live entries and this one."""
        now_s = self._clock.monotonic_s()
        live = {
            entry
            for entry, at_s in self._entries.items()
            if now_s - at_s < ENTRY_EXPIRY_S
        }
        return live | {(self._address.host, self._failure_domain)}

    def position(self):
        """Return the `EntryPosition` of this entry among all, by which it divides limits.

        Entries of one failure domain learn of each other from the stagers there; those
        of other failure domains may be hidden by a partition or a congested link. So
        each failure domain gets the same share, however many entries of the others are
        known, and its own entries divide that share.

        The result is cached for `POSITION_CACHE_S`, as each request needs it several
        times.
        """
        now_s = self._clock.monotonic_s()
        if (
            self._position is None
            or now_s - self._position_computed_s >= POSITION_CACHE_S
        ):
            self._position = self._compute_position(now_s)
            self._position_computed_s = now_s
        return self._position

    def _compute_position(self, now_s):
        host = self._address.host
        counted = _listed_recently(self._entries, now_s)
        local_hosts = {h for h, domain in counted if domain == self._failure_domain}
        hosts = sorted(local_hosts | {host})
        domains = sorted(
            _listed_recently(self._domains, now_s) | {self._failure_domain}
        )
        count = len(hosts) * len(domains)
        if now_s - self._listed_since_s < LISTING_DELAY_S or not self._is_listed(now_s):
            # Entries that don't know each other get different positions in most cases.
            count = max(count, ASSUMED_ENTRY_COUNT)
            return EntryPosition(zlib.crc32(host.encode()) % count, count)
        domain_index = domains.index(self._failure_domain)
        return EntryPosition(hosts.index(host) * len(domains) + domain_index, count)

    def _is_listed(self, now_s):
        """Return whether the lists of entries that stagers send contain this entry."""
        listed_s = self._entries.get((self._address.host, self._failure_domain))
        return listed_s is not None and now_s - listed_s < ENTRY_COUNT_EXPIRY_S

    def _greet_forever(self):
        while True:
            try:
                self._greet_all()
            except Exception:
                # A target that can't be described must not end this task.
                _log.exception("greeting_broke")
            self._wait_for_round()

    def _wait_for_round(self):
        """Wait until the next round is due: earlier if a forwarder must be replaced."""
        already_reported = self._silent_forwarder()
        end_s = self._clock.monotonic_s() + GREET_INTERVAL_S
        while self._clock.monotonic_s() < end_s:
            gevent.sleep(SILENCE_POLL_S)
            silent = self._silent_forwarder()
            if silent is not None and silent != already_reported:
                _log.info("forwarder_silent", host=silent)
                return

    def _silent_forwarder(self):
        """Return the host of a forwarder that must be replaced, or None.

        That is the one that has stopped forwarding loads to this entry. It is this
        entry itself if it is the forwarder and can't reach the store; the next entry in
        rank then replaces it.
        """
        age_s = self._follower.describe()[0][0]
        is_outdated = (age_s or 0.0) > NEIGHBOUR_AGE_MAX_S
        if self._forwarder.is_forwarding() and (
            is_outdated or self._follower.has_lost_store()
        ):
            return self._address.host
        return self._forwarder.find_silent_forwarder()

    def _greet_coalesced(self):
        self._scheduled_greeting = None
        self._greet_all()

    def _greet_repeatedly(self):
        for pause_s in REPEAT_PAUSES_S:
            gevent.sleep(pause_s)
            self._greet_all()

    def _greets_remote_domains(self):
        """Return whether this entry greets stagers of other failure domains.

        Those report loads to only one entry of each failure domain, so few entries need
        to greet them, and traffic between regions is billed.
        """
        first = rank_entries(self.entries(), self._failure_domain, FORWARDER_SUBJECT)
        return self._address.host in first[:REMOTE_GREETERS]

    def _neighbours(self):
        """Return the hosts of the other entries of this failure domain."""
        return [
            host
            for host, domain in self.entries()
            if domain == self._failure_domain and host != self._address.host
        ]

    def _greet_all(self):
        silent = self._silent_forwarder()
        greets_remote_domains = self._greets_remote_domains()
        store_era, store_era_age_s = self._era_age.describe()
        for target in self._fleet.all():
            if (
                not greets_remote_domains
                and target.instance.failure_domain != self._failure_domain
            ):
                continue
            version_fields = self._version_fields(target)
            if version_fields is None:
                continue
            greeting = Greeting(
                self._address.host,
                self._failure_domain,
                silent_forwarder=silent,
                state_revision=self._spread.revision,
                proven_load=target.proven_load,
                unproven_load=target.unproven_load,
                store_era=store_era,
                store_era_age_s=store_era_age_s,
                **version_fields,
            )
            self._send(encode(greeting), target.instance.address.host)

    def _send(self, data, host):
        self._sender.send(data, host)

    def _listen_forever(self):
        while True:
            try:
                data, (host, _) = self._sock.recvfrom(MAX_BYTES)
                message = decode(data)
            except (OSError, MalformedDatagramError) as error:
                _log.warning("datagram_refused", error=repr(error))
                gevent.sleep(0.01)
                continue
            try:
                self._apply(host, message)
            except Exception:
                # A message that can't be applied must not end this task.
                _log.exception("datagram_broke")

    def _apply(self, host, message):
        """Apply a message from `host`."""
        self._spread.record_peer_contact()
        if isinstance(message, Load):
            self._handle_load(host, message)
        elif isinstance(message, LoadBatch):
            self._handle_batch(host, message)
        elif isinstance(message, Probe):
            self._answer_probe(host, message)
        elif isinstance(message, Confirmation):
            self._handle_confirmation(host, message)
        elif isinstance(message, StateAnnouncement):
            self._spread.handle_announcement(message)
        elif isinstance(message, RecordsAnnouncement):
            self._record_copies.handle_announcement(host, message)
        elif isinstance(message, StateReader):
            self._handle_reader(host, message)
        elif isinstance(message, GrantReply):
            self._grants.handle_reply(host, message)
        elif isinstance(message, CrashReport):
            self._crash_reporter.handle_report(host, message)

    def _probe_forever(self):
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            for host in self._hosts_to_probe():
                self._send(encode(Probe(self._clock.boottime_s())), host)

    def _hosts_to_probe(self):
        """Return the hosts of the entries to probe for the age of their state.

        An entry probes the forwarder of its failure domain. If it has none and its own
        state gets old, it probes the first entry in rank of each other failure domain.
        """
        forwarder = self._forwarder.find_forwarder()
        if forwarder is not None:
            return [forwarder]
        age_s = self._follower.describe()[0][0]
        if age_s is None or age_s < NEIGHBOUR_AGE_MAX_S:
            return []
        entries = self.entries()
        domains = {domain for _, domain in entries} - {self._failure_domain}
        return [
            rank_entries(entries, domain, FORWARDER_SUBJECT)[0]
            for domain in sorted(domains)
        ]

    def _handle_confirmation(self, host, message):
        if message.summaries:
            self._spread.compare_with_neighbour(host, message.summaries[0][0])
        self._follower.handle_confirmation(
            message.sent_s, message.ages_s, message.summaries
        )
        if len(message.summaries) > INSTANCE_SUMMARY:
            self._record_copies.compare(host, message.summaries[INSTANCE_SUMMARY])

    def _answer_probe(self, host, probe):
        ages_s, summaries = self._follower.describe()
        is_reader = not (self._follower.following or self._follower.has_lost_store())
        if ages_s[0] is not None and is_reader:
            rounded_s = tuple(a if a is None else round(a, 3) for a in ages_s)
            confirmation = Confirmation(probe.sent_s, rounded_s, summaries)
            self._send(encode(confirmation), host)

    def _handle_reader(self, host, message):
        self._era_age.record_reported(message.store_era, message.store_era_age_s, host)
        self._on_reader(message.host)

    def _handle_load(self, host, load):
        self._record_entries(load.entries)
        self._record_report(host, load)
        if load.namings:
            self._on_namings(load.namings)
        if load.forward:
            self._forwarder.add(host, load)

    def _handle_batch(self, sender, batch):
        self._forwarder.record_batch(sender)
        self._record_entries(batch.entries)
        for host, load in batch.loads:
            self._record_report(host, load)

    def _record_entries(self, entries):
        now_s = self._clock.monotonic_s()
        was_listed = self._is_listed(now_s)
        for host, domain in entries:
            self._entries[host, domain] = now_s
            self._domains[domain] = now_s
        if not was_listed and self._is_listed(now_s):
            self._listed_since_s = now_s

    def _record_report(self, host, load):
        report = LoadReport(
            received_s=time.monotonic(),
            started_ms=load.started_ms,
            accepting=load.accepting,
            version=load.version,
            running=load.running,
            waiting=load.waiting,
            slowdown=load.slowdown,
            accepted_orders=load.accepted_orders,
        )
        self._fleet.apply_report(host, report)


def _listed_recently(last_listed_s, now_s):
    """Return the keys that were listed within `ENTRY_COUNT_EXPIRY_S`.

    :param last_listed_s: by key, the time at which a stager last listed it.
    """
    return {
        key
        for key, at_s in last_listed_s.items()
        if now_s - at_s < ENTRY_COUNT_EXPIRY_S
    }
