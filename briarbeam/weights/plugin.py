"""The plug-in that brings wanted versions to this target and its engine."""

import hashlib

import gevent
import structlog

from ..configuration.documents import CONFIGURATION
from ..kernel.errors import BriarbeamError, NotFoundError, WeightsError
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from .changeover import Changeover
from .manifest import Manifest
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
        kernel.router.add("GET", "/chunks/{digest}", self._serve_chunk)
        kernel.router.add("GET", "/weights/{digest}", self._serve_weights)

    def start(self):
        for model in self.settings.target.models:
            self._follow(model)
        self._configuration.documents.subscribe(CONFIGURATION, self._restart_changed)

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

    def _follow(self, model):
        wanted = self._configuration.configuration.wanted_version(model)
        self._following[model] = (wanted, self.kernel.tasks.spawn(self._reach, model))

    def _restart_changed(self, document):
        for model, (wanted, task) in list(self._following.items()):
            if self._configuration.configuration.wanted_version(model) != wanted:
                task.kill(block=False)
                self._follow(model)

    def _reach(self, model):
        """Bring `model` to its wanted version, however often it takes."""
        wanted = self._configuration.configuration.wanted_version(model)
        if wanted is None:
            return
        version, spec = wanted
        while True:
            try:
                manifest = self._fetch(model, spec)
                Changeover(self.kernel, model, version, spec, manifest).run()
                _log.info("version_in_force", model=model, version=version)
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
