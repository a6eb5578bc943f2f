"""Chunks of weights at an entry: downloaded once, verified, and served to peers.

A chunk is served as soon as it has arrived, while others are still being downloaded. In
the names of metrics and log events, "draw" means a download from the origin or a peer.
"""

import time

import gevent
import structlog
from prometheus_client import Counter

from ..kernel.errors import BriarbeamError
from ..kernel.network import Address, HttpRequest, fetch
from ..platform import engines
from .cached_version import CachedVersion
from .errors import (
    ChunkUnavailableError,
    CorruptChunkError,
    MalformedManifestError,
)
from .ranking import chunk_subject, manifest_subject, rank_entries
from .version_digests import VersionDigests
from .waves import OLDER_USEFUL_S

# Limits on the concurrent chunk downloads of a failure domain, all its entries
# together: in the origin's failure domain, and in others. The origin's link carries
# nothing else; on links between regions, data in flight delays live requests.
ORIGIN_DOWNLOADS = 6
PEER_DOWNLOADS = 2
# How long a peer's request waits for a chunk that is still being downloaded.
PEER_WAIT_S = 0.8
# The same for a manifest. It is shorter, as the peer may fetch chunks of another
# version meanwhile.
MANIFEST_WAIT_S = 0.3
# The same for a chunk while no chunk of the version has arrived for `STALLED_AFTER_S`,
# for example because the origin is unreachable.
STALLED_WAIT_S = 0.05
STALLED_AFTER_S = 0.5
# Timeout of a request to a peer. Covers the wait at the peer and the transfer of a
# chunk over a slow link.
PEER_TIMEOUT_S = 1.6
# Short, so that an unreachable peer is soon skipped in favour of the next one in rank.
PEER_CONNECT_TIMEOUT_S = 0.3
# Timeout of a request to the origin. Six concurrent chunks take 0.2 s over its link,
# and ten times that when the rate of the link is reduced.
ORIGIN_TIMEOUT_S = 2.5
# Prefetching a version is abandoned if its manifest takes longer than this; its chunks
# are then downloaded on demand.
PREFETCH_WAIT_S = 30.0
# How long a peer is skipped after a failure; meanwhile the next source is used.
AVOID_S = 2.0
# How long a version may make no progress while a peer answers that it lacks the chunk;
# then another source is tried. The origin's link is the narrowest, so a chunk should
# not cross it twice without need.
PEER_STALL_TIMEOUT_S = 3.0
# Number of engines that must hold a version before chunks are downloaded from them.
HOLDERS_MIN = 2
RETRY_PAUSE_S = 0.05
# Number of versions of each model that are cached.
VERSIONS_KEPT = 3

_DOWNLOADED = Counter("briarbeam_chunks_drawn", "Chunks drawn", ["source", "result"])
_log = structlog.get_logger()


class ChunkCache:
    """Caches chunks of the newest versions and downloads those that are requested.

    The entries of a failure domain are ranked for each chunk. The first one in rank in
    the origin's failure domain downloads the chunk from the origin. The first one in
    each other failure domain downloads it from that entry, and from the origin only if
    that fails. The load is thus spread over all entries, and each chunk crosses each
    link once.

    A version that engines of this failure domain already hold, for example when another
    engine joins them, is downloaded from their staging areas instead.

    :param network: the `Network`.
    :param address: this entry's `Address` for peers.
    :param find_origin: a function that returns the `WeightOrigin`, or None if none is
        declared.
    :param entries: a function that returns pairs of host and failure domain of the live
        entries.
    :param holders: a function of model and version that returns hosts of this failure
        domain whose engines hold the version, with a copy in their staging area.
    :param superseded_left_s: a function of model and version that returns for how many
        seconds requests may still begin on it, or None if there is no limit.
    :param chunk_count: a function of a model that returns the declared number of its
        chunks, or None if that is unknown.
    """

    def __init__(
        self,
        network,
        address,
        failure_domain,
        find_origin,
        entries,
        holders,
        superseded_left_s,
        chunk_count=lambda model: None,
    ):
        self._chunk_count = chunk_count
        self._network = network
        self._address = address
        self._failure_domain = failure_domain
        self._find_origin = find_origin
        self._entries = entries
        self._holders = holders
        self._superseded_left_s = superseded_left_s
        self._cached_versions = {}
        self._avoid_until_s = {}
        self._origin_lost = False

    def prefetch(self, model, version):
        """Start to download the chunks of a version for which this entry ranks first.

        Blocks until the manifest is available. Without one after `PREFETCH_WAIT_S`,
        nothing is downloaded.
        """
        cached = self._open_version(model, version)
        if not cached.manifest_ready.wait(PREFETCH_WAIT_S):
            return
        cached.add_wanted(
            number
            for number in range(len(cached.manifest.digests))
            if self._ranks_first(chunk_subject(cached.model, cached.version, number))
        )

    def get_manifest(self, model, version, timeout_s=MANIFEST_WAIT_S):
        """Return the `Manifest` of a version.

        :raises ChunkUnavailableError: if it is not downloaded within `timeout_s`.
        """
        cached = self._open_version(model, version)
        cached.manifest_ready.wait(timeout_s)
        if cached.manifest is None:
            raise ChunkUnavailableError(
                f"manifest of {model}/{version} is not downloaded", retry_after_s=0.1
            )
        return cached.manifest

    def get_chunk(self, model, version, number, timeout_s=PEER_WAIT_S):
        """Return the bytes of a chunk.

        :raises ChunkUnavailableError: if it is not downloaded within `timeout_s`.
        """
        cached = self._open_version(model, version)
        cached.add_wanted([number])
        if not cached.was_requested:
            # A peer that requests one chunk will request the others too. If each was
            # downloaded only when it is requested, the link from the source would be
            # idle while the peer receives the chunk before.
            cached.was_requested = True
            gevent.spawn(self.prefetch, model, version)
        if cached.stalled_s() > STALLED_AFTER_S:
            # The origin may be unreachable: let the peer fetch another version
            # meanwhile.
            timeout_s = min(timeout_s, STALLED_WAIT_S)
        content = cached.wait_for(number, timeout_s)
        if content is None:
            raise ChunkUnavailableError(
                f"chunk {model}/{version}/{number} is not downloaded", retry_after_s=0.1
            )
        return content

    def _ranks_first(self, subject):
        ranked = rank_entries(self._entries(), self._failure_domain, subject)
        return bool(ranked) and ranked[0] == self._address.host

    def _open_version(self, model, version):
        cached = self._cached_versions.get((model, version))
        if cached is None:
            cached = self._cached_versions[model, version] = CachedVersion(
                model, version
            )
            cached.task = gevent.spawn(self._download_version, cached)
            self._drop_oldest(model)
        return cached

    def _drop_oldest(self, model):
        versions = sorted(v for m, v in self._cached_versions if m == model)
        for version in versions[:-VERSIONS_KEPT]:
            cached = self._cached_versions.pop((model, version))
            cached.task.kill(block=False)
            _log.info("copy_dropped", model=model, version=version)

    def _download_version(self, cached):
        """Download the wanted chunks of `cached` until the version is dropped."""
        while cached.digests is None:
            manifest = self._download_manifest(cached)
            if manifest is not None:
                cached.digests = VersionDigests(manifest)
        cached.manifest_ready.set()
        _log.info("draw_started", model=cached.model, version=cached.version)
        workers = [
            gevent.spawn(self._download_wanted, cached)
            for _ in range(self._download_concurrency())
        ]
        try:
            gevent.joinall(workers)
        finally:
            gevent.killall(workers, block=False)

    def _download_concurrency(self):
        """Return this entry's share of the failure domain's concurrent downloads."""
        origin = self._find_origin()
        is_local = origin is not None and origin.failure_domain == self._failure_domain
        limit = ORIGIN_DOWNLOADS if is_local else PEER_DOWNLOADS
        domains = [domain for _, domain in self._entries()]
        return max(1, round(limit / max(1, domains.count(self._failure_domain))))

    def _download_wanted(self, cached):
        while True:
            number = cached.claim_next()
            while cached.is_claimed(number):
                if self._is_preempted(cached):
                    gevent.sleep(RETRY_PAUSE_S)
                    continue
                self._download_chunk(cached, number)
            if not cached.missing():
                _log.info(
                    "draw_ended",
                    model=cached.model,
                    version=cached.version,
                    chunks=len(cached.chunks),
                )

    def _is_preempted(self, cached):
        """Return whether downloads of `cached` must wait for those of a newer version.

        A version that is mostly downloaded is completed first as long as it is of use:
        if the origin becomes unreachable, it may be the last one that can be loaded in
        time.
        """
        newer = any(
            other.model == cached.model
            and other.version > cached.version
            and other.missing()
            for other in self._cached_versions.values()
        )
        if not newer or not cached.is_mostly_downloaded():
            return newer
        left_s = self._superseded_left_s(cached.model, cached.version)
        return left_s is not None and left_s <= OLDER_USEFUL_S

    def _download_chunk(self, cached, number):
        source, content = None, None
        try:
            source = self._pick_holder(cached, number) or self._pick_source(
                chunk_subject(cached.model, cached.version, number)
            )
            content = self._fetch_chunk(source, cached, number)
            self._verify(source, cached, number, content)
        except ChunkUnavailableError as error:
            self._handle_unavailable(source, cached, error)
            return
        except CorruptChunkError as error:
            self._record_failure(source, error)
            cached.defer(number, cached.digests.pause_s(number))
            return
        except BriarbeamError as error:
            self._record_failure(source, error)
            gevent.sleep(RETRY_PAUSE_S)
            return
        self._record_success(source)
        cached.add(number, content)

    def _verify(self, source, cached, number, content):
        """Check that `content` is a chunk; doubt the manifest if it can't be.

        :raises CorruptChunkError: if it is not.
        """
        if cached.digests.accepts(number, content):
            return
        # Stagers serve what is staged, unverified, and have no manifest.
        is_holder = source in self._holder_peers(cached)
        if is_holder or not cached.digests.record_mismatch(
            number,
            content,
            source is not None,
            lambda: self._fetch_manifest(source, cached),
        ):
            raise CorruptChunkError(
                f"chunk {cached.model}/{cached.version}/{number} "
                "does not match its digest"
            )

    def _fetch_chunk(self, source, cached, number):
        if source is None:
            address = self._origin_address()
            return engines.fetch_chunk(
                self._network,
                address,
                cached.model,
                cached.version,
                number,
                ORIGIN_TIMEOUT_S,
            )
        return fetch_peer_chunk(
            self._network, source, cached.model, cached.version, number
        )

    def _download_manifest(self, cached):
        source = None
        try:
            source = self._pick_neighbour(cached) or self._pick_source(
                manifest_subject(cached.model, cached.version)
            )
            return self._fetch_manifest(source, cached)
        except ChunkUnavailableError as error:
            self._handle_unavailable(source, cached, error)
            return None
        except BriarbeamError as error:
            self._record_failure(source, error)
            gevent.sleep(RETRY_PAUSE_S)
            return None

    def _fetch_manifest(self, source, cached):
        """Return the `Manifest` that `source` has, or the origin if that is None.

        :raises MalformedManifestError: if it has not the declared number of chunks.
        :raises BriarbeamError: if it can't be fetched.
        """
        model, version = cached.model, cached.version
        if source is None:
            address = self._origin_address()
            manifest = engines.fetch_manifest(
                self._network, address, model, version, ORIGIN_TIMEOUT_S
            )
        else:
            manifest = fetch_peer_manifest(self._network, source, model, version)
        count, expected = len(manifest.digests), self._chunk_count(model)
        if expected is not None and count != expected:
            raise MalformedManifestError(
                f"manifest of {model}/{version} has {count} digests, "
                f"expected {expected}"
            )
        return manifest

    def _origin_address(self):
        origin = self._find_origin()
        if origin is None:
            raise ChunkUnavailableError("no origin is declared")
        return origin.address

    def _pick_holder(self, cached, number):
        """Return the address of a stager whose engine holds the version, or None.

        Only stagers of this failure domain are picked. Each serves chunks at half the
        rate of its link, so fewer than `HOLDERS_MIN` would be too slow.
        """
        now_s = time.monotonic()
        peers = sorted(self._holder_peers(cached))
        usable = [p for p in peers if self._avoid_until_s.get(p, 0.0) <= now_s]
        return usable[number % len(usable)] if len(usable) >= HOLDERS_MIN else None

    def _holder_peers(self, cached):
        hosts = self._holders(cached.model, cached.version)
        return [Address(host, self._address.port) for host in hosts]

    def _pick_neighbour(self, cached):
        """Return the peer to fetch the manifest from; None as in `_first_usable`."""
        ranked = rank_entries(
            self._entries(),
            self._failure_domain,
            manifest_subject(cached.model, cached.version),
        )
        return self._first_usable(ranked)

    def _pick_source(self, subject):
        """Return the peer to download from, or None for the origin.

        :raises ChunkUnavailableError: if no origin is declared.
        """
        origin = self._find_origin()
        if origin is None:
            raise ChunkUnavailableError("no origin is declared")
        return self._first_usable(
            rank_entries(self._entries(), origin.failure_domain, subject)
        )

    def _first_usable(self, ranked):
        """Return the address of the first of `ranked` that has not failed recently.

        :returns: None if this entry comes before it, or if there is none.
        """
        now_s = time.monotonic()
        for host in ranked:
            if host == self._address.host:
                return None
            peer = Address(host, self._address.port)
            if self._avoid_until_s.get(peer, 0.0) <= now_s:
                return peer
        return None

    def _handle_unavailable(self, source, cached, error):
        """Pause before the next attempt.

        A source is avoided if the version has made no progress for too long, or if it
        was expected to hold the version.
        """
        if cached.stalled_s() > PEER_STALL_TIMEOUT_S or source in self._holder_peers(
            cached
        ):
            self._record_failure(source, error)
            cached.last_progress_s = time.monotonic()
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
    :raises BriarbeamError: if the peer can't be reached or does not answer.
    """
    return _fetch_peer(network, peer, f"/chunks/{model}/{version}/{number}")


def fetch_peer_manifest(network, peer, model, version):
    """Return the `Manifest` that a peer serves.

    :raises ChunkUnavailableError: if the peer does not have it in time.
    :raises BriarbeamError: if the peer can't be reached, or its answer is malformed.
    """
    content = _fetch_peer(network, peer, f"/manifests/{model}/{version}")
    digests = engines.parse_json(peer, content)
    return engines.decode_manifest(peer, model, version, digests)


def _fetch_peer(network, peer, path):
    request = HttpRequest(
        "GET",
        path,
        timeout_s=PEER_TIMEOUT_S,
        connect_timeout_s=PEER_CONNECT_TIMEOUT_S,
        max_bytes=engines.CHUNK_MAX_BYTES,
    )
    status, _, content = fetch(network, peer, request)
    if status != 200:
        raise ChunkUnavailableError(f"{peer}{path} answered with status {status}")
    return content


def _source_label(source):
    return "origin" if source is None else "peer"
