"""The staging area beside an engine, from which it loads weights."""

import math

import structlog
from prometheus_client import Counter

from ..platform import engines
from .errors import StaleCheckError

# How long a staged chunk is trusted without reading it again. Staged chunks may become
# corrupt at any time, and the engine loads them as they are.
STAGED_TRUST_S = 0.5
# The oldest check of a chunk with which a load is ordered. An engine answers the order
# within `CALL_TIMEOUT_S`, so that it takes the chunks within `TAKEN_AGE_MAX_S`.
ORDER_AGE_MAX_S = 1.5
# Weights count as whole if their chunks were right this long before the engine took
# them (RULES.md, Model runners).
TAKEN_AGE_MAX_S = 3.0

_STAGED = Counter("briarbeam_chunks_staged", "Chunks put beside the engine")
_REPAIRED = Counter(
    "briarbeam_chunks_repaired", "Chunks that were staged with other bytes"
)
_log = structlog.get_logger()


class StagingArea:
    """Reads and writes the chunks that are staged for one engine.

    The time of a check is that before the chunk was read or written, in boot time: the
    process may be stopped, or the machine suspended, before the answer is read.

    :param network: the `Network`.
    :param clock: the `Clock`.
    :param engine: the engine's `Address`, on this machine.

    `writes_begun` and `writes_ended` count the chunks whose write was begun, and those
    whose write was answered.
    """

    def __init__(self, network, clock, engine):
        self._network = network
        self._clock = clock
        self._engine = engine
        self.writes_begun = self.writes_ended = 0

    def reuse(self, copy):
        """Add the chunks that were staged before a restart of this process."""
        manifest = copy.manifest
        staged = engines.list_staged(self._network, self._engine, manifest.model)
        for number in sorted(staged):
            checked_s = self._clock.boottime_s()
            content = self._read(manifest, number)
            if not copy.digests.accepts(number, content):
                if not copy.chunks:
                    # The staging area holds another version; no two share a chunk.
                    return
                continue
            copy.add(number, content)
            copy.record_staged(number, checked_s)

    def stage(self, copy):
        """Write the chunks of `copy` that are not staged or staged with other bytes.

        The engine loads staged chunks without verifying them. Those that were read in
        the last `STAGED_TRUST_S` are not read again: after a restart of the engine that
        would take as long as the load.

        :returns: the number of chunks that were written.
        """
        manifest = copy.manifest
        staged = engines.list_staged(self._network, self._engine, manifest.model)
        written = repaired = 0
        for number, content in sorted(copy.chunks.items()):
            checked_s = self._clock.boottime_s()
            if number in staged:
                if checked_s - copy.staged_s(number) <= STAGED_TRUST_S:
                    continue
                if self._read(manifest, number) == content:
                    copy.record_staged(number, checked_s)
                    continue
                repaired += 1
                checked_s = self._clock.boottime_s()
            self._write(manifest, number, content)
            copy.record_staged(number, checked_s)
            written += 1
        _STAGED.inc(written)
        _REPAIRED.inc(repaired)
        _log.info(
            "staged",
            version=manifest.version,
            written=written,
            repaired=repaired,
            checked_age_s=round(self.checked_age_s(copy), 3),
        )
        return written

    def checked_age_s(self, copy):
        """Return the seconds since the oldest check of a staged chunk of `copy`.

        :returns: infinity if a chunk was never staged.
        """
        return self._clock.boottime_s() - copy.oldest_staged_s()

    def check_age(self, copy):
        """Check that all chunks of `copy` were checked shortly before.

        :raises StaleCheckError: if one was not, for example because the process was
            stopped meanwhile.
        """
        age_s = self.checked_age_s(copy)
        if age_s > ORDER_AGE_MAX_S:
            raise StaleCheckError(
                f"a staged chunk of version {copy.manifest.version} was checked "
                f"{age_s:.3f} s ago, limit {ORDER_AGE_MAX_S} s"
            )

    def is_whole(self, copy):
        """Read all staged chunks; return whether they are those of `copy`."""
        manifest = copy.manifest
        is_whole = True
        for number in range(len(manifest.digests)):
            checked_s = self._clock.boottime_s()
            content = self._read(manifest, number)
            if copy.digests.accepts(number, content):
                copy.record_staged(number, checked_s)
            else:
                copy.record_staged(number, -math.inf)
                is_whole = False
        return is_whole

    def _write(self, manifest, number, content):
        self.writes_begun += 1
        engines.write_staged(
            self._network, self._engine, manifest.model, number, content
        )
        self.writes_ended += 1

    def _read(self, manifest, number):
        return engines.read_staged(self._network, self._engine, manifest.model, number)
