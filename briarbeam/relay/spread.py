"""How a desired state goes from entry to entry, and what others know of newer ones.

One entry of each failure domain reads it from the store; the others take compressed
copies from each other, along a tree that all work out alike. What daemons tell each other
anyway names the newest revision that they hold, so an entry that lacks it knows that.
"""

import random
import time

import gevent
import structlog
from prometheus_client import Counter

from ..distribution.errors import ChunkUnavailableError
from ..distribution.messages import StateNews
from ..distribution.ranking import rank_entries
from ..distribution.state_copy import (
    MAX_BYTES,
    decode_copy,
    encode_copy,
    pack_records,
    packed_part,
)
from ..kernel.errors import BriarbeamError
from ..kernel.network import Address, HttpRequest, fetch_in_parts

# How many neighbours each entry tells of a new state: a hundred have it in four steps,
# and three copies of 60 KB take a link of 20 Mbit/s 0.07 s.
FANOUT = 3
# How long a neighbour may be silent, before its answer and in it. A copy that comes slowly
# is not given up: asked for again, it would come more slowly.
PULL_SILENCE_S = 0.6
PULL_CONNECT_TIMEOUT_S = 0.2
# How long an entry that reads the store itself waits for that before it asks others.
READER_PULL_DELAY_S = 0.4
# An entry that could get a newer state from nobody for so long reads the store itself, and
# later by the second figure for each neighbour before it in rank: the first one's copy
# spreads meanwhile.
STORE_READ_AFTER_S = 0.8
STORE_READ_PER_RANK_S = 0.3
STORE_READ_MAX_S = 3.2
# How long an entry that hears of a newer state by comparing with its reader waits for the
# tree to bring it, for each neighbour: together they would fill the reader's link.
COMPARE_PULL_DELAY_PER_ENTRY_S = 0.007
COMPARE_PULL_DELAY_MAX_S = 0.7
# Entries that hold a state, remembered in case one of them can't give it.
HOLDERS_MAX = 4
# An entry that hears from no other daemon for so long is cut off from all.
ISOLATED_AFTER_S = 3.0
# Tells which entries are asked first, see `rank_entries`.
_SUBJECT = "states"

_COPIES = Counter(
    "briarbeam_state_copies", "Desired states taken from other entries", ["result"]
)
_log = structlog.get_logger()


class StateSpread:
    """Takes newer desired states from other entries, and tells others of them.

    :param network: the `Network`.
    :param address: this entry's `Address` for its peers; all use the same port.
    :param mirror: the `Mirror` of the desired state.
    :param is_supplied_by_peers: a function that tells whether neighbours bring the state, so that
        nobody reads it from the store here.

    `send` (of a `StateNews` to a host), `neighbours` (the hosts of the other entries of the
    failure domain) and `on_change` (of a state that was first read here) are set by what
    sends datagrams.
    """

    def __init__(self, network, address, clock, mirror, is_supplied_by_peers):
        self._network = network
        self._address = address
        self._clock = clock
        self._mirror = mirror
        self._is_supplied_by_peers = is_supplied_by_peers
        self._known_since_s = {}
        self._holders = []
        self._pulling = None
        self._packed = (0, b"")
        self._last_contact_s = None
        # The newest revision that neighbours were told of here.
        self._announced_revision = 0
        # The root of the tree that brought the copy that is being taken over, or None.
        self._root = None
        self.send = lambda announcement, host: None
        self.neighbours = list
        self.on_change = lambda: None

    @property
    def revision(self):
        """The store's revision of the desired state that is held, 0 for none."""
        return self._mirror.summary[0]

    def superseded_for_s(self):
        """Return for how long a newer state has been known of, or None."""
        held = self.revision
        since_s = [
            at_s for revision, at_s in self._known_since_s.items() if revision > held
        ]
        return self._clock.boottime_s() - min(since_s) if since_s else None

    def needs_store_read(self):
        """Return whether others fail to give a state that is known to be there."""
        superseded_s = self.superseded_for_s()
        if superseded_s is None or superseded_s < STORE_READ_AFTER_S:
            return False
        after_s = STORE_READ_AFTER_S + self.rank() * STORE_READ_PER_RANK_S
        return superseded_s >= min(STORE_READ_MAX_S, after_s)

    def rank(self):
        """Return how many neighbours come before this entry where they take turns."""
        return self._ranked().index(self._address.host)

    def highest_ranked(self, hosts):
        """Return the one of `hosts` that comes first where entries take turns."""
        return rank_entries([(host, None) for host in hosts], None, _SUBJECT)[0]

    def is_pulling(self):
        """Return whether a copy is being fetched from another entry now."""
        return self._pulling is not None

    def is_isolated(self):
        """Return whether other daemons were heard before, and none is any more."""
        if self._last_contact_s is None:
            return False
        return self._clock.boottime_s() - self._last_contact_s > ISOLATED_AFTER_S

    def note_peer_contact(self):
        """Note that another daemon was heard."""
        self._last_contact_s = self._clock.boottime_s()

    def handle_announcement(self, announcement):
        """Take a `StateNews`; a newer state is fetched and passed on."""
        self.note_peer_contact()
        if announcement.revision > self.revision:
            self._note_newer(announcement)

    def compare_with_neighbour(self, host, revision):
        """Compare with what a neighbour holds, and tell it what it lacks."""
        self.note_peer_contact()
        if revision < self.revision:
            self.send(StateNews(self.revision, self._address.host), host)
        elif revision > self.revision:
            self._note_revision(revision, host)
            root = host if host in self.neighbours() else None
            gevent.spawn(self._handle_after_delay, StateNews(revision, host, root))

    def note_records_updated(self):
        """Note that the mirror has taken records over, from the store or a neighbour."""
        held = self.revision
        self._known_since_s = {
            r: at_s for r, at_s in self._known_since_s.items() if r > held
        }
        if held > self._announced_revision:
            self._announce_to_children(self._root or self._address.host)
            if self._root is None:
                self.on_change()

    def copy(self, revision):
        """Return the bytes of a copy of the state held, for a peer.

        :raises ChunkUnavailableError: if it is older than `revision`.
        """
        held, age_s = self.revision, self._mirror.age_s
        if held < revision or not held or age_s is None:
            raise ChunkUnavailableError(f"state {revision} is not here, {held} is")
        if self._packed[0] != held:
            records, store_revision = self._mirror.snapshot()
            self._packed = held, pack_records(records, store_revision)
        return encode_copy(self._packed[1], age_s)

    def _handle_after_delay(self, announcement):
        """Take what a comparison told of, unless the tree brings it before."""
        count = len(self.neighbours())
        longest_s = min(
            COMPARE_PULL_DELAY_MAX_S, COMPARE_PULL_DELAY_PER_ENTRY_S * count
        )
        gevent.sleep(random.uniform(0.5, 1.0) * longest_s)
        self.handle_announcement(announcement)

    def _note_revision(self, revision, host):
        if revision not in self._known_since_s:
            _log.info("state_heard", revision=revision, host=host)
            self._known_since_s[revision] = self._clock.boottime_s()

    def _note_newer(self, announcement):
        self._note_revision(announcement.revision, announcement.host)
        if announcement.host is None:
            return
        holder = (announcement.revision, announcement.host, announcement.root)
        self._holders = [h for h in self._holders if h[1] != announcement.host]
        self._holders = [*self._holders, holder][-HOLDERS_MAX:]
        if self._pulling is None:
            self._pulling = gevent.spawn(self._pull_newest)

    def _pull_newest(self):
        try:
            if self.revision and not self._is_supplied_by_peers():
                gevent.sleep(READER_PULL_DELAY_S)
            while holder := self._next_holder():
                self._pull(*holder)
        finally:
            self._pulling = None

    def _next_holder(self):
        held = self.revision
        self._holders = [h for h in self._holders if h[0] > held]
        # The one that told last holds what is newest, or is nearest.
        return self._holders.pop() if self._holders else None

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
        self._root = root
        held = max((r.revision for r in copy.records.values()), default=0)
        self._packed = held, packed_part(data)
        try:
            self._mirror.replace_if_newer(
                copy.records, copy.store_revision, sent_s - copy.age_s
            )
        finally:
            self._root = None

    def _fetch(self, revision, host):
        """Return the bytes of a copy from the entry at `host`.

        :raises BriarbeamError: if it does not give one.
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
            raise ChunkUnavailableError(f"state {revision}: status {status}")
        return data

    def _ranked(self):
        """Return this entry and its neighbours in an order that all work out alike."""
        hosts = [(host, None) for host in {*self.neighbours(), self._address.host}]
        return rank_entries(hosts, None, _SUBJECT)

    def _announce_to_children(self, root):
        """Tell the neighbours that follow this entry in the tree that begins at `root`."""
        self._announced_revision = self.revision
        order = [root, *(host for host in self._ranked() if host != root)]
        first = order.index(self._address.host) * FANOUT + 1
        announcement = StateNews(self.revision, self._address.host, root)
        for host in order[first : first + FANOUT]:
            self.send(announcement, host)
