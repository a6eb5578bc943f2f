"""Fetching a version's chunks: each once from the origin a region, then from peers."""

import gevent
from gevent.pool import Pool
from prometheus_client import Counter

from ..kernel.errors import BriarbeamError, ChunkUnavailableError, NetworkError
from ..kernel.network import HttpRequest, fetch
from .manifest import Manifest
from .plan import Plan

RETRY_PAUSE_S = 0.1
CHUNK_TIMEOUT_S = 5.0

_BYTES = Counter("briarbeam_weights_bytes", "Verified bytes taken in", ["source"])
_FAULTS = Counter("briarbeam_weights_faults", "Failed draws", ["code"])


class Transfer:
    """Brings one version's chunks into the store.

    :param manifest_digest: names the version's manifest.
    :param peers: a function that returns the members which need the version too.
    """

    def __init__(self, kernel, store, manifest_digest, peers):
        self._kernel = kernel
        self._store = store
        self._manifest_digest = manifest_digest
        self._peers = peers
        self._settings = kernel.settings.weights
        self._origin = kernel.find("platform").origin
        self._name = kernel.settings.instance.name
        self._started_s = kernel.clock.monotonic_s()
        self.drawing = set()

    def run(self):
        """Return the manifest once every chunk of it is held and verified."""
        manifest = Manifest.from_bytes(self._fetch_manifest())
        missing = [
            index
            for index, chunk in enumerate(manifest.chunks)
            if chunk.digest not in self._store
        ]
        pool = Pool(self._settings.fetchers)
        try:
            for _ in pool.imap_unordered(
                lambda index: self._fetch(index, manifest.chunks[index].digest),
                self._in_order(missing),
            ):
                continue
        finally:
            pool.kill()
        return manifest

    def _in_order(self, indexes):
        plan = self._plan()
        return sorted(indexes, key=lambda index: plan.rank(self._name, index))

    def _plan(self):
        names = {member.name for member in self._peers()} | {self._name}
        return Plan(self._manifest_digest, names)

    def _fetch_manifest(self):
        digest = self._manifest_digest
        while digest not in self._store:
            self._fetch(0, digest)
        return self._store.get(digest)

    def _fetch(self, index, digest):
        while digest not in self._store:
            plan = self._plan()
            rank = plan.rank(self._name, index)
            elapsed_s = self._kernel.clock.monotonic_s() - self._started_s
            if elapsed_s >= rank * self._settings.step_in_delay_s:
                sources = [self._draw]
            else:
                peers = {member.name: member for member in self._peers()}
                holders = [name for name in plan.holders(index) if name in peers]
                sources = [
                    lambda digest, peer=peers[name]: self._ask(peer, digest)
                    for name in holders[:2]
                ]
            if not any(self._try(source, digest) for source in sources):
                gevent.sleep(RETRY_PAUSE_S)

    def _try(self, source, digest):
        self.drawing.add(digest)
        try:
            source(digest)
        except (BriarbeamError, NetworkError) as error:
            _FAULTS.labels(error.code).inc()
            return False
        finally:
            self.drawing.discard(digest)
        return True

    def _draw(self, digest):
        data = self._origin.read(digest)
        self._store.add(digest, data)
        _BYTES.labels("origin").inc(len(data))

    def _ask(self, peer, digest):
        request = HttpRequest("GET", f"/chunks/{digest}", timeout_s=CHUNK_TIMEOUT_S)
        status, _, data = fetch(self._kernel.network, peer.http, request)
        if status != 200:
            raise ChunkUnavailableError(f"{peer.name} does not hold {digest}")
        self._store.add(digest, data)
        _BYTES.labels("peer").inc(len(data))
