"""Datagrams at an entry: greets the daemons beside engines and takes their loads."""

import math
import time
import zlib

import gevent
import structlog
from gevent import socket

from ..relay.fleet import LoadReport
from ..relay.follower import NEIGHBOUR_AGE_MAX_S
from ..relay.limits import Place
from .datagrams import DatagramSender
from .errors import MalformedDatagramError
from .forwarder import LoadForwarder
from .messages import (
    MAX_BYTES,
    Confirmation,
    Greeting,
    Load,
    LoadBatch,
    Probe,
    StateNews,
    StateReader,
    decode,
    encode,
)
from .ranking import FORWARDER_SUBJECT, rank_entries

GREET_INTERVAL_S = 1.0
# How often a round looks whether loads still come.
SILENCE_POLL_S = 0.2
# Entries of a failure domain that greet engines elsewhere: the one that passes loads on
# and some to take its place.
FAR_GREETERS = 4
# How often a neighbour is asked how it finds the store; with the age of its own
# confirmation this keeps the desired state younger than the bound on keys.
PROBE_INTERVAL_S = 0.7
# A lost greeting about a new version would cost a second of the few there are.
URGENT_REPEATS_S = (0.0, 0.1, 0.3)
# Shares of limits count entries for much longer: one that is cut off must not take what
# belongs to those that it no longer hears of.
ENTRY_COUNT_EXPIRY_S = 30.0
# Before it knows the entries, one shares limits as if there were so many, or more if more
# are known: above the 53 of the largest deployment so far, spare ones included.
ENTRIES_UNKNOWN = 60
# Within this the entries of a failure domain are told of a new one, and it of them. Until
# then they go on taking its share.
UNKNOWN_FOR_S = 2.5
# Entries are heard of about once a second.
PLACE_KEPT_S = 0.25
# Changes of the fleet's weights within this are told in one greeting.
COALESCE_S = 0.05
# Entries that no daemon has heard of for so long are taken as gone.
ENTRY_EXPIRY_S = 4.0

_log = structlog.get_logger()


class EntryExchange:
    """Speaks with the daemons beside the engines.

    :param address: where to send from and listen; the same port holds at all daemons.
    :param fleet: the `Fleet` to greet and to note reports in.
    :param describe: a function of a target that returns what to tell it of versions.
    :param follower: the `StoreFollower`, which compares with a neighbour.
    :param on_namings: called with the names that a daemon beside an engine tells an
        entry which lacks them.
    :param spread: the `StateSpread`, which is told of desired states.
    :param on_reader: called with the host that a daemon names as the reader of the first
        desired state.
    :param failure_domains: all failure domains, with entries or without.
    """

    def __init__(
        self,
        address,
        failure_domain,
        fleet,
        clock,
        describe,
        on_namings,
        follower,
        spread,
        on_reader,
        failure_domains,
    ):
        self._address = address
        self._failure_domain = failure_domain
        self._fleet = fleet
        self._clock = clock
        self._describe = describe
        self._on_namings = on_namings
        self._on_reader = on_reader
        self._follower = follower
        self._entries = {}
        # All count at first: a cut may hide the entries of one from the start.
        self._domains = dict.fromkeys(
            {failure_domain, *failure_domains}, clock.monotonic_s()
        )
        self._told_since_s = math.inf
        self._soon = None
        self._place = None
        self._place_s = 0.0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sender = DatagramSender(self._sock, address.port)
        self._forwarder = LoadForwarder(clock, self._neighbours, self._send)
        self._spread = spread
        spread.send = lambda news, host: self._send(encode(news), host)
        spread.neighbours = self._neighbours
        spread.on_change = self.greet_shortly
        follower.is_reader = self._forwarder.forwards

    def start(self):
        """Bind, and greet and listen in the background."""
        self._sock.bind(tuple(self._address))
        gevent.spawn(self._greet_forever)
        gevent.spawn(self._listen_forever)
        gevent.spawn(self._forwarder.run)
        gevent.spawn(self._probe_forever)

    def greet_soon(self):
        """Greet all daemons at once, and again shortly after."""
        gevent.spawn(self._greet_urgently)

    def greet_shortly(self):
        """Greet all daemons in a moment; changes that come together share it."""
        if self._soon is None:
            self._soon = gevent.spawn_later(COALESCE_S, self._greet_coalesced)

    def has_reader(self):
        """Return whether a neighbour reads the store for this entry."""
        return self._forwarder.has_neighbour()

    def entries(self):
        """Return pairs of host and failure domain of the entries known to be there."""
        now_s = self._clock.monotonic_s()
        fresh = {
            entry
            for entry, at_s in self._entries.items()
            if now_s - at_s < ENTRY_EXPIRY_S
        }
        return fresh | {(self._address.host, self._failure_domain)}

    def place(self):
        """Return the `Place` of this entry among all.

        Entries of one failure domain hear of each other by the engines beside them, those
        elsewhere may be hidden by a cut or a full link. So each failure domain takes the
        same share, whatever is known of the others, and its entries divide it.

        Asked for several times a request, it is worked out anew only now and then.
        """
        now_s = self._clock.monotonic_s()
        if self._place is None or now_s - self._place_s >= PLACE_KEPT_S:
            self._place = self._find_place(now_s)
            self._place_s = now_s
        return self._place

    def _find_place(self, now_s):
        host = self._address.host
        counted = _recent(self._entries, now_s)
        nearby = {h for h, domain in counted if domain == self._failure_domain}
        hosts = sorted(nearby | {host})
        domains = sorted(_recent(self._domains, now_s) | {self._failure_domain})
        count = len(hosts) * len(domains)
        if now_s - self._told_since_s < UNKNOWN_FOR_S or not self._is_told(now_s):
            # A position that differs between entries, without knowing them.
            count = max(count, ENTRIES_UNKNOWN)
            return Place(zlib.crc32(host.encode()) % count, count)
        turn = domains.index(self._failure_domain)
        return Place(hosts.index(host) * len(domains) + turn, count)

    def _is_told(self, now_s):
        """Return whether entries are told of this one, as it is told of itself."""
        told_s = self._entries.get((self._address.host, self._failure_domain))
        return told_s is not None and now_s - told_s < ENTRY_COUNT_EXPIRY_S

    def _greet_forever(self):
        while True:
            try:
                self._greet_all()
            except Exception:
                # A target that can't be described must not end the greetings for good.
                _log.exception("greeting_broke")
            self._wait_for_round()

    def _wait_for_round(self):
        """Wait for the next round; a forwarder that falls silent brings it forward."""
        told = self._silent_forwarder()
        end_s = self._clock.monotonic_s() + GREET_INTERVAL_S
        while self._clock.monotonic_s() < end_s:
            gevent.sleep(SILENCE_POLL_S)
            silent = self._silent_forwarder()
            if silent is not None and silent != told:
                _log.info("forwarder_silent", host=silent)
                return

    def _silent_forwarder(self):
        """Return who passes on no loads any more, or reads no desired state; or None.

        One that lost the store itself gives its place to the next entry in rank.
        """
        age_s = self._follower.describe()[0][0]
        if self._forwarder.forwards() and (age_s or 0.0) > NEIGHBOUR_AGE_MAX_S:
            return self._address.host
        return self._forwarder.find_silent()

    def _greet_coalesced(self):
        self._soon = None
        self._greet_all()

    def _greet_urgently(self):
        for pause_s in URGENT_REPEATS_S:
            gevent.sleep(pause_s)
            self._greet_all()

    def _greets_far(self):
        """Return whether this entry greets engines of other failure domains.

        Those tell only one entry of each failure domain their loads, and what crosses
        between regions is priced.
        """
        first = rank_entries(self.entries(), self._failure_domain, FORWARDER_SUBJECT)
        return self._address.host in first[:FAR_GREETERS]

    def _neighbours(self):
        """Return the hosts of the other entries of this failure domain."""
        return [
            host
            for host, domain in self.entries()
            if domain == self._failure_domain and host != self._address.host
        ]

    def _greet_all(self):
        silent = self._silent_forwarder()
        greets_far = self._greets_far()
        for target in self._fleet.all():
            if (
                not greets_far
                and target.instance.failure_domain != self._failure_domain
            ):
                continue
            facts = self._describe(target)
            if facts is None:
                continue
            greeting = Greeting(
                self._address.host,
                self._failure_domain,
                silent_forwarder=silent,
                state_revision=self._spread.revision,
                **facts,
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
            self._spread.note_peer_contact()
            if isinstance(message, Load):
                self._hear(host, message)
            elif isinstance(message, LoadBatch):
                self._hear_batch(host, message)
            elif isinstance(message, Probe):
                self._confirm(host, message)
            elif isinstance(message, Confirmation):
                self._note_confirmation(host, message)
            elif isinstance(message, StateNews):
                self._spread.handle_announcement(message)
            elif isinstance(message, StateReader):
                self._on_reader(message.host)

    def _probe_forever(self):
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            for host in self._probed():
                self._send(encode(Probe(self._clock.boottime_s())), host)

    def _probed(self):
        """Return the hosts of the entries to ask how they find the store."""
        source = self._forwarder.find_source()
        if source is not None:
            return [source]
        age_s = self._follower.describe()[0][0]
        if age_s is None or age_s < NEIGHBOUR_AGE_MAX_S:
            return []
        entries = self.entries()
        domains = {domain for _, domain in entries} - {self._failure_domain}
        return [
            rank_entries(entries, domain, FORWARDER_SUBJECT)[0]
            for domain in sorted(domains)
        ]

    def _note_confirmation(self, host, message):
        if message.summaries:
            self._spread.compare_with_neighbour(host, message.summaries[0][0])
        self._follower.note_confirmation(
            message.sent_s, message.ages_s, message.summaries
        )

    def _confirm(self, host, probe):
        ages_s, summaries = self._follower.describe()
        if ages_s[0] is not None and not self._follower.following:
            rounded_s = tuple(a if a is None else round(a, 3) for a in ages_s)
            answer = Confirmation(probe.sent_s, rounded_s, summaries)
            self._send(encode(answer), host)

    def _hear(self, host, load):
        self._note_entries(load.entries)
        self._note(host, load)
        if load.namings:
            self._on_namings(load.namings)
        if load.forward:
            self._forwarder.take(host, load)

    def _hear_batch(self, sender, batch):
        self._forwarder.note_batch(sender)
        self._note_entries(batch.entries)
        for host, load in batch.loads:
            self._note(host, load)

    def _note_entries(self, entries):
        now_s = self._clock.monotonic_s()
        was_told = self._is_told(now_s)
        for host, domain in entries:
            self._entries[host, domain] = now_s
            self._domains[domain] = now_s
        if not was_told and self._is_told(now_s):
            self._told_since_s = now_s

    def _note(self, host, load):
        report = LoadReport(
            received_s=time.monotonic(),
            started_ms=load.started_ms,
            accepting=load.accepting,
            version=load.version,
            running=load.running,
            waiting=load.waiting,
            pace=load.pace,
        )
        self._fleet.note_report(host, report)


def _recent(heard_s, now_s):
    """Return the keys that were heard of lately enough to count.

    :param heard_s: by key, when it was last heard of.
    """
    return {key for key, at_s in heard_s.items() if now_s - at_s < ENTRY_COUNT_EXPIRY_S}
