"""The staging area beside an engine, from which it loads weights."""

import structlog
from prometheus_client import Counter

from ..platform import engines
from .copies import matches_digest

# How long a staged chunk is trusted without reading it again. Staged chunks may become
# corrupt at any time, and the engine loads them as they are.
STAGED_TRUST_S = 0.5

_STAGED = Counter("briarbeam_chunks_staged", "Chunks put beside the engine")
_log = structlog.get_logger()


class StagingArea:
    """Reads and writes the chunks that are staged for one engine.

    :param network: the `Network`.
    :param engine: the engine's `Address`, on this machine.
    """

    def __init__(self, network, engine):
        self._network = network
        self._engine = engine

    def reuse(self, copy):
        """Add the chunks that were staged before a restart of this process."""
        manifest = copy.manifest
        staged = engines.list_staged(self._network, self._engine, manifest.model)
        for number in sorted(staged):
            content = self._read(manifest, number)
            if not matches_digest(manifest, number, content):
                if not copy.chunks:
                    # The staging area holds another version; no two share a chunk.
                    return
                continue
            copy.add(number, content)
            copy.record_staged(number)

    def stage(self, copy):
        """Write the chunks of `copy` that are not staged or staged with other bytes.

        The engine loads staged chunks without verifying them. Those that were read in
        the last `STAGED_TRUST_S` are not read again: after a restart of the engine that
        would take as long as the load.
        """
        manifest = copy.manifest
        staged = engines.list_staged(self._network, self._engine, manifest.model)
        written = 0
        for number, content in sorted(copy.chunks.items()):
            if number in staged and (
                copy.was_staged(number, STAGED_TRUST_S)
                or self._read(manifest, number) == content
            ):
                continue
            engines.write_staged(
                self._network, self._engine, manifest.model, number, content
            )
            copy.record_staged(number)
            written += 1
        _STAGED.inc(written)
        _log.info("staged", version=manifest.version, written=written)

    def _read(self, manifest, number):
        return engines.read_staged(self._network, self._engine, manifest.model, number)
