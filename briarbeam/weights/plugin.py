"""The plug-in that brings wanted versions to this target and its engine."""

import hashlib

import gevent
import structlog

from ..configuration.documents import CONFIGURATION
from ..kernel.errors import BriarbeamError, NotFoundError, WeightsError
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from .manifest import Manifest
from .reconcile import Reconciler
from .store import ChunkStore
from .transfer import Transfer

RETRY_PAUSE_S = 0.5
PIECE_BYTES = 64 * 1024

_log = structlog.get_logger()


@plugins.register("weights")
class WeightsPlugin(Plugin):
    """Holds chunks, serves them to peers, and keeps the engine at its version."""

    roles = ("target",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self.store = ChunkStore(self.settings.weights.memory_max_bytes)
        self._configuration = kernel.find("configuration")
        self._transfers = {}
        self._following = {}
        self._whole = set()
        self.reconciler = Reconciler(kernel, self._whole.__contains__)
        kernel.router.add("GET", "/chunks/{digest}", self._serve_chunk)
        kernel.router.add("GET", "/weights/{digest}", self._serve_weights)

    def start(self):
        self._follow_all()
        self._configuration.documents.subscribe(
            CONFIGURATION, lambda document: self._follow_all()
        )
        self.kernel.tasks.spawn(self.reconciler.run)

    def holdings(self, manifest_digest):
        """Return bitmaps of the chunks held and being drawn."""
        data = self.store.get(manifest_digest)
        if data is None:
            return b"", b""
        manifest = Manifest.from_bytes(data)
        transfer = self._transfers.get(manifest_digest)
        drawing = transfer.drawing if transfer else ()
        return (
            _bitmap(chunk.digest in self.store for chunk in manifest.chunks),
            _bitmap(chunk.digest in drawing for chunk in manifest.chunks),
        )

    def peers(self, model):
        """Return the other members of this region that serve `model`."""
        instance = self.settings.instance
        return [
            member
            for member in self._configuration.members.values()
            if model in member.models
            and member.region == instance.region
            and member.name != instance.name
        ]

    def _follow_all(self):
        """Fetch what is wanted now; a superseded version's transfer stops at once."""
        snapshot = self._configuration.configuration
        wanted = {model: snapshot.wanted_version(model) for model in self._models()}
        for model, (version, task) in list(self._following.items()):
            if wanted.get(model) != version:
                task.kill(block=False)
                del self._following[model]
        for model, version in wanted.items():
            if version is not None and model not in self._following:
                task = self.kernel.tasks.spawn(self._reach, model, version[1])
                self._following[model] = version, task

    def _models(self):
        return self.reconciler.models()

    def _reach(self, model, spec):
        """Hold a version's weights whole, however often it takes."""
        while True:
            try:
                self._fetch(model, spec)
                self._whole.add(spec.manifest_digest)
                return
            except BriarbeamError as error:
                _log.warning("version_delayed", model=model, error=str(error))
                gevent.sleep(RETRY_PAUSE_S)

    def _fetch(self, model, spec):
        digest = spec.manifest_digest
        transfer = Transfer(self.kernel, self.store, digest, lambda: self.peers(model))
        self._transfers[digest] = transfer
        manifest = transfer.run()
        whole = hashlib.sha256()
        for chunk in manifest.chunks:
            whole.update(self.store.get(chunk.digest))
        if whole.hexdigest() != spec.weights_digest:
            raise WeightsError(f"{model}: the whole does not match its digest")
        return manifest

    def _serve_chunk(self, request, digest):
        data = self.store.get(digest)
        if data is None:
            raise NotFoundError(f"chunk {digest} is not held")
        return Response(200, _pieces([data]), {"content-length": str(len(data))})

    def _serve_weights(self, request, digest):
        data = self.store.get(digest)
        if data is None:
            raise NotFoundError(f"manifest {digest} is not held")
        manifest = Manifest.from_bytes(data)
        chunks = [self.store.get(chunk.digest) for chunk in manifest.chunks]
        if None in chunks:
            raise NotFoundError(f"manifest {digest} is not held whole")
        size_bytes = str(manifest.size_bytes)
        return Response(200, _pieces(chunks), {"content-length": size_bytes})


def _pieces(chunks):
    for chunk in chunks:
        for start in range(0, len(chunk), PIECE_BYTES):
            yield chunk[start : start + PIECE_BYTES]


def _bitmap(flags):
    bits = "".join("1" if flag else "0" for flag in flags)
    size_bytes = (len(bits) + 7) // 8
    return int(bits.ljust(size_bytes * 8, "0") or "0", 2).to_bytes(size_bytes, "big")
