"""Replicates the desired state between entries, and tracks newer states known to peers.

One entry of each failure domain, the reader, reads it from the store. The others, its
neighbours, fetch compressed copies from each other along a tree, which all of them
compute alike. The messages that daemons exchange anyway state the newest revision that
their sender knows, so that an entry learns that its own revision is superseded.
"""

import random
import time

import gevent
import structlog
from prometheus_client import Counter

from ..distribution.errors import ChunkUnavailableError
from ..distribution.messages import StateAnnouncement
from ..distribution.ranking import rank_entries
from ..distribution.state_copy import (
    MAX_BYTES,
    decode_copy,
    encode_copy,
    extract_packed,
    pack_records,
)
from ..kernel.errors import BriarbeamError
from ..kernel.network import Address, HttpRequest, fetch_in_parts

# Number of neighbours to which each entry announces a new state. The state reaches a
# hundred entries in four steps, and three copies of 60 KB take 0.07 s on a link of
# 20 Mbit/s.
FANOUT = 3
# How long a neighbour may send nothing, before and during its answer. A slow transfer
# is not aborted, because a second one would only take longer.
PULL_SILENCE_S = 0.6
PULL_CONNECT_TIMEOUT_S = 0.2
# How long an entry that reads the store itself waits for its own read before it fetches
# a copy from others.
READER_PULL_DELAY_S = 0.4
# An entry that could not get a newer state from others reads the store itself. It waits
# for the first time, plus the second for each neighbour that ranks before it, so that
# the state that the first one reads can reach the others in the meantime, but at most
# for the third.
STORE_READ_AFTER_S = 0.8
STORE_READ_PER_RANK_S = 0.3
STORE_READ_MAX_S = 3.2
# How long an entry that learns of a newer state by comparing with its reader waits for
# the copy from the tree, per neighbour and at most. Without the wait, all neighbours
# would fetch from the reader at once and saturate its link.
COMPARE_PULL_DELAY_PER_ENTRY_S = 0.007
COMPARE_PULL_DELAY_MAX_S = 0.7
# Number of entries that are remembered as sources of newer states, in case one fails.
SOURCES_MAX = 4
# An entry that receives no message of other daemons for this long counts as isolated.
ISOLATED_AFTER_S = 3.0
# The subject of the ranking of entries, see `rank_entries`.
_SUBJECT = "states"

_COPIES = Counter(
    "briarbeam_state_copies", "Desired states taken from other entries", ["result"]
)
_log = structlog.get_logger()


class StateSpread:
    """Fetches newer desired states from other entries, and announces them to others.

    :param network: the `Network`.
    :param address: this entry's `Address` for its peers; all use the same port.
    :param clock: the `Clock`.
    :param mirror: the `Mirror` of the desired state.
    :param is_supplied_by_peers: a function that returns whether neighbours supply the
        state, so that this entry does not read it from the store.

    The `EntryExchange` sets three functions. `send` sends a `StateAnnouncement` to a
    host. `neighbours` returns the hosts of the other entries of the failure domain.
    `on_change` is called when a newer state has arrived, unless it came along the tree
    of the failure domain. `first_copied_s` is the boot time at which another entry
    supplied the first state, or None.
    """

    def __init__(self, network, address, clock, mirror, is_supplied_by_peers):
        self._network = network
        self._address = address
        self._clock = clock
        self._mirror = mirror
        self._is_supplied_by_peers = is_supplied_by_peers
        self._known_since_s = {}
        self._sources = []
        self._pulling = None
        self._packed = (0, b"")
        self._last_contact_s = None
        self.first_copied_s = None
        # The newest revision that was announced to neighbours.
        self._announced_revision = 0
        # The root of the tree that the copy being applied came along, or None.
        self._root = None
        self.send = lambda announcement, host: None
        self.neighbours = list
        self.on_change = lambda: None

    @property
    def revision(self):
        """The store's revision of this entry's desired state, 0 for none."""
        return self._mirror.summary[0]

    def superseded_for_s(self):
        """Return for how many seconds a newer state has been known, or None."""
        current = self.revision
        since_s = [
            at_s for revision, at_s in self._known_since_s.items() if revision > current
        ]
        return self._clock.boottime_s() - min(since_s) if since_s else None

    def needs_store_read(self):
        """Return whether this entry has to read a newer state from the store itself.

        It has to if other entries did not supply it for too long.
        """
        superseded_s = self.superseded_for_s()
        if superseded_s is None or superseded_s < STORE_READ_AFTER_S:
            return False
        return superseded_s >= self.store_read_wait_s()

    def store_read_wait_s(self):
        """Return how long others may supply a state before this entry reads it."""
        wait_s = STORE_READ_AFTER_S + self.rank() * STORE_READ_PER_RANK_S
        return min(STORE_READ_MAX_S, wait_s)

    def rank(self):
        """Return how many neighbours rank before this entry."""
        return self._ranked_hosts().index(self._address.host)

    def highest_ranked(self, hosts):
        """Return the highest-ranked of `hosts`."""
        return rank_entries([(host, None) for host in hosts], None, _SUBJECT)[0]

    def is_pulling(self):
        """Return whether a copy is being fetched from another entry."""
        return self._pulling is not None

    def is_isolated(self):
        """Return whether messages of other daemons arrived before, but no longer do."""
        if self._last_contact_s is None:
            return False
        return self._clock.boottime_s() - self._last_contact_s > ISOLATED_AFTER_S

    def record_peer_contact(self):
        """Record that a message of another daemon has arrived."""
        self._last_contact_s = self._clock.boottime_s()

    def handle_announcement(self, announcement):
        """Fetch the state of a `StateAnnouncement` if it is newer."""
        self.record_peer_contact()
        if announcement.revision > self.revision:
            self._schedule_pull(announcement)

    def compare_with_neighbour(self, host, revision):
        """Compare this entry's revision with that of a neighbour.

        This entry's state is announced to a neighbour that has an older one. A newer
        state is fetched after a delay.
        """
        self.record_peer_contact()
        if revision < self.revision:
            self.send(StateAnnouncement(self.revision, self._address.host), host)
        elif revision > self.revision:
            self._record_newer_revision(revision, host)
            root = host if host in self.neighbours() else None
            gevent.spawn(
                self._handle_after_delay, StateAnnouncement(revision, host, root)
            )

    def handle_records_update(self):
        """Announce the state to neighbours if an update of the mirror made it newer."""
        current = self.revision
        self._known_since_s = {
            r: at_s for r, at_s in self._known_since_s.items() if r > current
        }
        if current > self._announced_revision:
            self._announce_to_children(self._root or self._address.host)
            if self._root is None:
                self.on_change()

    def encode_state(self, revision):
        """Return a copy of this entry's state as bytes, for a peer.

        :raises ChunkUnavailableError: if the state is older than `revision`.
        """
        current, age_s = self.revision, self._mirror.age_s
        if current < revision or not current or age_s is None:
            raise ChunkUnavailableError(
                f"state revision {revision} is not available, this entry has {current}"
            )
        if self._packed[0] != current:
            records, store_revision = self._mirror.snapshot()
            self._packed = current, pack_records(records, store_revision)
        return encode_copy(self._packed[1], age_s, self._mirror.is_settled())

    def _handle_after_delay(self, announcement):
        """Fetch a state found by comparison, unless it arrives earlier."""
        count = len(self.neighbours())
        delay_max_s = min(
            COMPARE_PULL_DELAY_MAX_S, COMPARE_PULL_DELAY_PER_ENTRY_S * count
        )
        gevent.sleep(random.uniform(0.5, 1.0) * delay_max_s)
        self.handle_announcement(announcement)

    def _record_newer_revision(self, revision, host):
        if revision not in self._known_since_s:
            _log.info("state_heard", revision=revision, host=host)
            self._known_since_s[revision] = self._clock.boottime_s()

    def _schedule_pull(self, announcement):
        self._record_newer_revision(announcement.revision, announcement.host)
        if announcement.host is None:
            return
        source = (announcement.revision, announcement.host, announcement.root)
        self._sources = [s for s in self._sources if s[1] != announcement.host]
        self._sources = [*self._sources, source][-SOURCES_MAX:]
        if self._pulling is None:
            self._pulling = gevent.spawn(self._pull_newest)

    def _pull_newest(self):
        try:
            if self.revision and not self._is_supplied_by_peers():
                gevent.sleep(READER_PULL_DELAY_S)
            while source := self._next_source():
                self._pull(*source)
        finally:
            self._pulling = None

    def _next_source(self):
        current = self.revision
        self._sources = [s for s in self._sources if s[0] > current]
        # The latest announcement is about the newest state or from the nearest entry.
        return self._sources.pop() if self._sources else None

    def _pull(self, revision, host, root):
        sent_s, started_s = self._clock.boottime_s(), time.monotonic()
        try:
            data = self._fetch(revision, host)
            copy = decode_copy(data)
        except BriarbeamError as error:
            _COPIES.labels("failed").inc()
            _log.info(
                "state_not_pulled", revision=revision, host=host, error=str(error)
            )
            return
        _COPIES.labels("ok").inc()
        _log.info(
            "state_pulled",
            revision=revision,
            host=host,
            size_bytes=len(data),
            elapsed_s=round(time.monotonic() - started_s, 3),
        )
        if not self.revision:
            self.first_copied_s = self._clock.boottime_s()
        self._root = root
        fetched = max((r.revision for r in copy.records.values()), default=0)
        self._packed = fetched, extract_packed(data)
        try:
            self._mirror.replace_if_newer(
                copy.records,
                copy.store_revision,
                sent_s - copy.age_s,
                copy.is_settled,
            )
        finally:
            self._root = None

    def _fetch(self, revision, host):
        """Return a copy of the state as bytes from the entry at `host`.

        :param revision: the lowest revision that the copy may have.
        :raises BriarbeamError: if that fails.
        """
        request = HttpRequest(
            "GET",
            f"/states/{revision}",
            timeout_s=PULL_SILENCE_S,
            connect_timeout_s=PULL_CONNECT_TIMEOUT_S,
        )
        address = Address(host, self._address.port)
        status, _, data = fetch_in_parts(self._network, address, request, MAX_BYTES)
        if status != 200:
            raise ChunkUnavailableError(
                f"copy of state revision {revision} was refused with status {status}"
            )
        return data

    def _ranked_hosts(self):
        """Return the hosts of this entry and its neighbours, ranked alike on each."""
        hosts = [(host, None) for host in {*self.neighbours(), self._address.host}]
        return rank_entries(hosts, None, _SUBJECT)

    def _announce_to_children(self, root):
        """Announce the state to this entry's children in the tree rooted at `root`."""
        self._announced_revision = self.revision
        hosts = [root, *(host for host in self._ranked_hosts() if host != root)]
        first_child = hosts.index(self._address.host) * FANOUT + 1
        announcement = StateAnnouncement(self.revision, self._address.host, root)
        for host in hosts[first_child : first_child + FANOUT]:
            self.send(announcement, host)
