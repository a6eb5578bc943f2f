"""Chunks of weights at an entry: downloaded once, verified, and served to peers.

A chunk is served as soon as it is there, while others are still being downloaded. Where the
names of metrics and log events say "draw", they mean a download from the origin or a peer.
"""

import hashlib
import json
import time

import gevent
import structlog
from gevent.event import Event
from prometheus_client import Counter

from ..kernel.errors import BriarbeamError
from ..kernel.network import Address, HttpRequest, fetch
from ..platform import engines
from .errors import ChunkUnavailableError, CorruptChunkError
from .ranking import chunk_subject, manifest_subject, rank_entries
from .waves import OLDER_USEFUL_S

# Concurrent chunk downloads of all entries of a failure domain together. The origin's link
# carries nothing else; on links between regions, data in flight delays live requests.
ORIGIN_DOWNLOADS = 6
PEER_DOWNLOADS = 2
# How long a peer's request waits for a chunk that is still being downloaded.
PEER_WAIT_S = 0.8
# The same for a manifest; shorter, as the peer may have chunks of another version to fetch.
MANIFEST_WAIT_S = 0.3
# The same for a chunk while no chunk of the version has arrived for `STALLED_AFTER_S`,
# for example because the origin is unreachable.
STALLED_WAIT_S = 0.05
STALLED_AFTER_S = 0.5
# Covers the wait at the peer and the transfer of a chunk over a slow link.
PEER_TIMEOUT_S = 1.6
# Short, so that the next peer in rank is soon tried in place of an unreachable one.
PEER_CONNECT_TIMEOUT_S = 0.3
# Six concurrent chunks take 0.2 s over the origin's link, and ten times that when its rate
# is reduced.
ORIGIN_TIMEOUT_S = 2.5
# Prefetching a version is abandoned if its manifest takes longer than this; its chunks are
# then downloaded on demand.
PREFETCH_WAIT_S = 30.0
# How long a peer is skipped after a failure, in favour of the next source.
AVOID_S = 2.0
# How long a peer may answer without having a new chunk before another source is tried. The
# origin's link is the narrowest, so chunks must not cross it twice without need.
PEER_STALL_TIMEOUT_S = 3.0
HOLDERS_MIN = 2
RETRY_PAUSE_S = 0.05
VERSIONS_KEPT = 3

_DOWNLOADED = Counter("briarbeam_chunks_drawn", "Chunks drawn", ["source", "result"])
_log = structlog.get_logger()


class Copy:
    """The chunks of one version that an entry holds, and those that it has to download."""

    def __init__(self, model, version):
        self.model = model
        self.version = version
        self.manifest = None
        self.manifest_ready = Event()
        self.chunks = {}
        self.task = None
        self.prefetch_started = False
        self.last_progress_s = time.monotonic()
        self._wanted = set()
        self._downloading = set()
        self._wanted_changed = Event()
        self._waiting = {}

    def stalled_s(self):
        """Return the seconds since the last chunk arrived."""
        return time.monotonic() - self.last_progress_s

    def want(self, numbers):
        """Add chunks to those to download."""
        new_numbers = set(numbers) - self._wanted
        if not new_numbers:
            return
        if not self.missing():
            self.last_progress_s = time.monotonic()
        self._wanted |= new_numbers
        self._wanted_changed.set()

    def missing(self):
        """Return the numbers of the chunks that are wanted and not yet downloaded."""
        return self._wanted - self.chunks.keys()

    def is_mostly_downloaded(self):
        """Return whether more than half of the wanted chunks are downloaded."""
        return 2 * len(self.missing()) < len(self._wanted)

    def take_next(self):
        """Return the lowest number of a chunk to download; block until there is one."""
        while not (available := self.missing() - self._downloading):
            self._wanted_changed.clear()
            self._wanted_changed.wait()
        number = min(available)
        self._downloading.add(number)
        return number

    def add(self, number, content):
        """Store a verified chunk and wake the tasks that wait for it."""
        self.chunks[number] = content
        self._downloading.discard(number)
        self.last_progress_s = time.monotonic()
        event = self._waiting.pop(number, None)
        if event is not None:
            event.set()

    def wait(self, number, timeout_s):
        """Return the chunk once it is downloaded, or None after `timeout_s` seconds."""
        if number not in self.chunks:
            self._waiting.setdefault(number, Event()).wait(timeout_s)
        return self.chunks.get(number)


class ChunkCache:
    """Caches chunks of the newest versions and downloads those that are requested.

    The entries of a failure domain are ranked for each chunk. The first one in the origin's
    failure domain downloads it from the origin. The first one in each other failure domain
    downloads it from that entry, and from the origin only if that fails. The load is thus
    spread over all entries, and each chunk crosses each link once.

    A version that engines of this failure domain already hold, for example when another
    engine joins them, is downloaded from their staging areas instead.

    :param network: the `Network`.
    :param address: this entry's `Address` for peers.
    :param source: a function that returns the `WeightSource`, or None.
    :param entries: a function that returns pairs of host and failure domain.
    :param holders: a function of model and version that returns hosts of this failure
        domain whose engines hold it, with a copy in their staging area.
    :param superseded_in_s: a function of model and version that returns for how many
        seconds requests may still begin on it, or None if there is no limit.
    """

    def __init__(
        self,
        network,
        address,
        failure_domain,
        source,
        entries,
        holders,
        superseded_in_s,
    ):
        self._network = network
        self._address = address
        self._failure_domain = failure_domain
        self._source = source
        self._entries = entries
        self._holders = holders
        self._superseded_in_s = superseded_in_s
        self._copies = {}
        self._avoid_until_s = {}
        self._origin_lost = False

    def prefetch(self, model, version):
        """Download the chunks of a version for which this entry is first in rank."""
        copy = self._copy(model, version)
        if not copy.manifest_ready.wait(PREFETCH_WAIT_S):
            return
        copy.want(
            number
            for number in range(len(copy.manifest.digests))
            if self._is_first(chunk_subject(copy.model, copy.version, number))
        )

    def get_manifest(self, model, version, timeout_s=MANIFEST_WAIT_S):
        """Return the `Manifest` of a version.

        :raises ChunkUnavailableError: if it is not downloaded within `timeout_s`.
        """
        copy = self._copy(model, version)
        copy.manifest_ready.wait(timeout_s)
        if copy.manifest is None:
            raise ChunkUnavailableError(
                f"manifest of {model}/{version} is not downloaded", retry_after_s=0.1
            )
        return copy.manifest

    def get_chunk(self, model, version, number, timeout_s=PEER_WAIT_S):
        """Return the bytes of a chunk.

        :raises ChunkUnavailableError: if it is not downloaded within `timeout_s`.
        """
        copy = self._copy(model, version)
        copy.want([number])
        if not copy.prefetch_started:
            # A peer that requests one chunk will request the others too. Without read-ahead
            # each of them would cross two links one after the other.
            copy.prefetch_started = True
            gevent.spawn(self.prefetch, model, version)
        if copy.stalled_s() > STALLED_AFTER_S:
            # The origin may be unreachable: let the peer fetch something else meanwhile.
            timeout_s = min(timeout_s, STALLED_WAIT_S)
        content = copy.wait(number, timeout_s)
        if content is None:
            raise ChunkUnavailableError(
                f"chunk {model}/{version}/{number} is not downloaded", retry_after_s=0.1
            )
        return content

    def _is_first(self, subject):
        ranked = rank_entries(self._entries(), self._failure_domain, subject)
        return bool(ranked) and ranked[0] == self._address.host

    def _copy(self, model, version):
        copy = self._copies.get((model, version))
        if copy is None:
            copy = self._copies[model, version] = Copy(model, version)
            copy.task = gevent.spawn(self._download_copy, copy)
            self._drop_oldest(model)
        return copy

    def _drop_oldest(self, model):
        versions = sorted(v for m, v in self._copies if m == model)
        for version in versions[:-VERSIONS_KEPT]:
            copy = self._copies.pop((model, version))
            copy.task.kill(block=False)
            _log.info("copy_dropped", model=model, version=version)

    def _download_copy(self, copy):
        """Download the wanted chunks of `copy` until the version is dropped."""
        while copy.manifest is None:
            copy.manifest = self._download_manifest(copy)
        copy.manifest_ready.set()
        _log.info("draw_started", model=copy.model, version=copy.version)
        workers = [
            gevent.spawn(self._download_wanted, copy)
            for _ in range(self._download_count())
        ]
        try:
            gevent.joinall(workers)
        finally:
            gevent.killall(workers, block=False)

    def _download_count(self):
        """Return this entry's share of its failure domain's concurrent downloads."""
        origin = self._source()
        is_local = origin is not None and origin.failure_domain == self._failure_domain
        limit = ORIGIN_DOWNLOADS if is_local else PEER_DOWNLOADS
        domains = [domain for _, domain in self._entries()]
        return max(1, round(limit / max(1, domains.count(self._failure_domain))))

    def _download_wanted(self, copy):
        while True:
            number = copy.take_next()
            while number not in copy.chunks:
                if self._is_preempted(copy):
                    gevent.sleep(RETRY_PAUSE_S)
                    continue
                self._download_chunk(copy, number)
            if not copy.missing():
                _log.info(
                    "draw_ended",
                    model=copy.model,
                    version=copy.version,
                    chunks=len(copy.chunks),
                )

    def _is_preempted(self, copy):
        """Return whether the downloads of `copy` have to wait for those of a newer version.

        A copy that is mostly downloaded is completed first as long as it is of use: if the
        origin becomes unreachable, it may be the last version that can be loaded in time.
        """
        newer = any(
            other.model == copy.model
            and other.version > copy.version
            and other.missing()
            for other in self._copies.values()
        )
        if not newer or not copy.is_mostly_downloaded():
            return newer
        left_s = self._superseded_in_s(copy.model, copy.version)
        return left_s is not None and left_s <= OLDER_USEFUL_S

    def _download_chunk(self, copy, number):
        source, content = None, None
        try:
            source = self._pick_holder(copy, number) or self._pick_source(
                chunk_subject(copy.model, copy.version, number)
            )
            content = self._fetch_chunk(source, copy, number)
            digest = hashlib.sha256(content).hexdigest()
            if digest != copy.manifest.digests[number]:
                raise CorruptChunkError(
                    f"chunk {copy.model}/{copy.version}/{number} does not match its digest"
                )
        except ChunkUnavailableError as error:
            self._handle_unavailable(source, copy, error)
            return
        except BriarbeamError as error:
            self._record_failure(source, error)
            gevent.sleep(RETRY_PAUSE_S)
            return
        self._record_success(source)
        copy.add(number, content)

    def _fetch_chunk(self, source, copy, number):
        if source is None:
            address = self._origin()
            return engines.fetch_chunk(
                self._network,
                address,
                copy.model,
                copy.version,
                number,
                ORIGIN_TIMEOUT_S,
            )
        return fetch_peer_chunk(self._network, source, copy.model, copy.version, number)

    def _download_manifest(self, copy):
        source = None
        try:
            source = self._pick_neighbour(copy) or self._pick_source(
                manifest_subject(copy.model, copy.version)
            )
            if source is None:
                return engines.fetch_manifest(
                    self._network,
                    self._origin(),
                    copy.model,
                    copy.version,
                    ORIGIN_TIMEOUT_S,
                )
            return fetch_peer_manifest(self._network, source, copy.model, copy.version)
        except ChunkUnavailableError as error:
            self._handle_unavailable(source, copy, error)
            return None
        except BriarbeamError as error:
            self._record_failure(source, error)
            gevent.sleep(RETRY_PAUSE_S)
            return None

    def _origin(self):
        origin = self._source()
        if origin is None:
            raise ChunkUnavailableError("no origin is declared")
        return origin.address

    def _pick_holder(self, copy, number):
        """Return a stager of this failure domain whose engine holds the version, or None.

        Each serves chunks with half of its link's rate, so fewer than `HOLDERS_MIN` would
        be too slow.
        """
        now_s = time.monotonic()
        peers = sorted(self._holder_peers(copy))
        usable = [p for p in peers if self._avoid_until_s.get(p, 0.0) <= now_s]
        return usable[number % len(usable)] if len(usable) >= HOLDERS_MIN else None

    def _holder_peers(self, copy):
        hosts = self._holders(copy.model, copy.version)
        return [Address(host, self._address.port) for host in hosts]

    def _pick_neighbour(self, copy):
        """Return the neighbour to fetch the manifest from, or None if this entry is first."""
        ranked = rank_entries(
            self._entries(),
            self._failure_domain,
            manifest_subject(copy.model, copy.version),
        )
        return self._first_usable(ranked)

    def _pick_source(self, subject):
        """Return the peer to download from, or None for the origin."""
        origin = self._source()
        if origin is None:
            raise ChunkUnavailableError("no origin is declared")
        return self._first_usable(
            rank_entries(self._entries(), origin.failure_domain, subject)
        )

    def _first_usable(self, ranked):
        """Return the first of `ranked` that did not fail lately.

        :returns: None if this entry comes first, or if none is usable.
        """
        now_s = time.monotonic()
        for host in ranked:
            if host == self._address.host:
                return None
            peer = Address(host, self._address.port)
            if self._avoid_until_s.get(peer, 0.0) <= now_s:
                return peer
        return None

    def _handle_unavailable(self, source, copy, error):
        """Pause; avoid a source that has stalled, or that should have held the version."""
        if copy.stalled_s() > PEER_STALL_TIMEOUT_S or source in self._holder_peers(
            copy
        ):
            self._record_failure(source, error)
            copy.last_progress_s = time.monotonic()
        gevent.sleep(RETRY_PAUSE_S)

    def _record_failure(self, source, error):
        _DOWNLOADED.labels(_source_label(source), "failed").inc()
        if source is not None:
            if self._avoid_until_s.get(source, 0.0) <= time.monotonic():
                _log.warning("peer_avoided", peer=str(source), error=str(error))
            self._avoid_until_s[source] = time.monotonic() + AVOID_S
        elif not self._origin_lost:
            self._origin_lost = True
            _log.warning("origin_lost", error=str(error))

    def _record_success(self, source):
        _DOWNLOADED.labels(_source_label(source), "ok").inc()
        if source is None and self._origin_lost:
            self._origin_lost = False
            _log.info("origin_regained")


def fetch_peer_chunk(network, peer, model, version, number):
    """Return the bytes of a chunk that a peer serves.

    :raises ChunkUnavailableError: if the peer does not have it in time.
    """
    return _fetch_peer(network, peer, f"/chunks/{model}/{version}/{number}")


def fetch_peer_manifest(network, peer, model, version):
    """Return the `Manifest` that a peer serves.

    :raises ChunkUnavailableError: if the peer does not have it in time.
    """
    content = _fetch_peer(network, peer, f"/manifests/{model}/{version}")
    return engines.Manifest(model, version, tuple(json.loads(content)))


def _fetch_peer(network, peer, path):
    request = HttpRequest(
        "GET", path, timeout_s=PEER_TIMEOUT_S, connect_timeout_s=PEER_CONNECT_TIMEOUT_S
    )
    status, _, content = fetch(network, peer, request)
    if status != 200:
        raise ChunkUnavailableError(f"{peer}{path} answered with status {status}")
    return content


def _source_label(source):
    return "origin" if source is None else "peer"
