"""The plug-in that fetches the wanted versions and switches the engine to them."""

import random

import structlog

from ..configuration.documents import CONFIGURATION
from ..kernel.errors import BriarbeamError
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from .library import Library
from .origin import BodyReader, OriginSource
from .pace import Pacer
from .progress import ProgressReporter
from .reconcile import RECONCILE_INTERVAL_S, Reconciler
from .serving import PIECE_BYTES, ChunkServer
from .store import ChunkStore
from .transfer import Transfer

RETRY_PAUSE_S = 0.5

_log = structlog.get_logger()


@plugins.register("weights")
class WeightsPlugin(Plugin):
    """Fetches weights, serves chunks to peers, and keeps the engine's version current.

    Its `transfer_errors` holds, by model, the last error of a transfer that is being
    retried.
    """

    roles = ("target",)

    def __init__(self, kernel):
        super().__init__(kernel)
        weights_settings = self.settings.weights
        clock = kernel.clock
        self.store = ChunkStore(weights_settings.memory_max_bytes)
        self.library = Library(clock, self.store)
        self._configuration = kernel.find("configuration")
        self._reader = BodyReader(
            clock, self._new_pacer(), weights_settings.stall_after_s
        )
        self.origin = OriginSource(
            clock,
            kernel.find("platform").origin,
            self._reader,
            2 * weights_settings.stall_after_s,
        )
        self._chunk_server = ChunkServer(
            clock, self.store, self._new_pacer(), self.library
        )
        self._transfer_tasks = {}
        self.transfer_errors = {}
        self.reconciler = Reconciler(kernel, self.library.is_complete)
        kernel.router.add("GET", "/chunks/{digest}", self._chunk_server.serve_chunk)
        kernel.router.add("GET", "/weights/{digest}", self._serve_weights)

    def start(self):
        self._update_transfers()
        self._configuration.documents.subscribe(
            CONFIGURATION, lambda document: self._update_transfers()
        )
        reconcile = self.reconciler.reconcile_once
        self.kernel.tasks.repeat(reconcile, RECONCILE_INTERVAL_S, self.clock)
        progress = ProgressReporter(self.kernel, self)
        self.kernel.tasks.repeat(progress.report, progress.interval_s, self.clock)

    def holdings(self, manifest_digest):
        """Return two bitmaps as bytes: chunks held, and chunks being drawn."""
        held, drawing = self.library.holdings(manifest_digest)
        return bytes(held), bytes(drawing)

    def members(self, model):
        """Return the members that serve `model` or, for an adapter, its base model."""
        snapshot = self._configuration.configuration
        spec = snapshot.get("model", model)
        base = (spec and spec.base) or model
        return [
            member
            for member in self._configuration.members.values()
            if base in member.models
        ]

    def _new_pacer(self):
        """Return a pacer that leaves part of the link to live traffic."""
        weights_settings = self.settings.weights
        if weights_settings.link_bytes_per_s is None:
            return Pacer(self.clock, None)
        return Pacer(
            self.clock, weights_settings.link_bytes_per_s * weights_settings.link_share
        )

    def _update_transfers(self):
        """Start transfers of the wanted versions and stop those of superseded ones."""
        snapshot = self._configuration.configuration
        models = self.reconciler.models()
        wanted = {model: snapshot.wanted_version(model) for model in models}
        for model, (version, task) in list(self._transfer_tasks.items()):
            if wanted.get(model) != version:
                task.kill(block=False)
                del self._transfer_tasks[model]
                self.transfer_errors.pop(model, None)
        for model, version in wanted.items():
            if version is not None and model not in self._transfer_tasks:
                task = self.kernel.tasks.spawn(
                    self._fetch_with_retries, model, version[1]
                )
                self._transfer_tasks[model] = version, task

    def _fetch_with_retries(self, model, spec):
        """Fetch a version's weights, retrying until they are complete and verified."""
        while True:
            try:
                self._fetch(model, spec)
                self.transfer_errors.pop(model, None)
                return
            except Exception as error:
                if model not in self.transfer_errors:
                    _log.warning("version_delayed", model=model, error=repr(error))
                code = getattr(error, "code", BriarbeamError.code)
                self.transfer_errors[model] = f"{code}: {error}"
                self.clock.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.5))

    def _fetch(self, model, spec):
        digest = spec.manifest_digest
        self._evict_unneeded()
        transfer = Transfer(
            self.kernel,
            self.store,
            digest,
            lambda: self.members(model),
            self.origin,
            self._reader,
        )
        self.library.register_transfer(digest, transfer)
        manifest = transfer.run()
        self.library.verify(manifest, digest, spec.weights_digest)
        took_s = self.clock.monotonic_s() - transfer.started_at_s
        _log.info("weights_held", model=model, digest=digest, took_s=took_s)

    def _evict_unneeded(self):
        """Evict weights that are no longer needed.

        The wanted and the served versions are kept, and so is the version of a
        changeover in progress. The previous versions are kept too if all of them fit
        into the memory limit.
        """
        needed, previous = {self.reconciler.changing_digest}, set()
        snapshot = self._configuration.configuration
        for model in self.reconciler.models():
            rollout = snapshot.get("rollout", model)
            if rollout is None:
                continue
            for version in (rollout.version, self.reconciler.loaded_version(model)):
                needed.add(_manifest_of(snapshot, model, version))
            previous.add(_manifest_of(snapshot, model, rollout.previous_version))
        needed.discard(None)
        previous.discard(None)
        bound_bytes = self.settings.weights.memory_max_bytes
        sizes = [self._size_bytes(snapshot, digest) for digest in needed | previous]
        kept = needed | previous if sum(sizes) <= bound_bytes else needed
        self.library.keep_only(kept)
        self._chunk_server.keep_only(kept)

    def _size_bytes(self, snapshot, manifest_digest):
        for resource in snapshot.of_kind("version").values():
            if resource.spec.manifest_digest == manifest_digest:
                return resource.spec.size_bytes
        return 0

    def _serve_weights(self, request, digest):
        """Serve complete, verified weights to the engine: ``GET /weights/{digest}``."""
        size_bytes, chunks = self.library.chunks(digest)
        return Response(200, _pieces(chunks), {"content-length": str(size_bytes)})


def _manifest_of(snapshot, model, version):
    spec = snapshot.get("version", f"{model}@{version}")
    return spec.manifest_digest if spec else None


def _pieces(chunks):
    for chunk in chunks:
        for start in range(0, len(chunk), PIECE_BYTES):
            yield chunk[start : start + PIECE_BYTES]
