"""The digests of one version's chunks, as stated by manifests that may be corrupt.

Chunks are verified against a manifest, but nothing verifies the manifest. Bytes whose
digest a manifest states can't be corrupt, so a chunk that matches any of several
manifests shows which of them is right about it. A digest that two manifests state is
right, too, as no corruption occurs twice in the same way.
"""

import hashlib
import time
from collections import deque
from dataclasses import replace

import structlog
from prometheus_client import Counter

from ..kernel.errors import BriarbeamError

# Pauses between requests for a manifest that is doubted: the first, and the longest.
LOOK_PAUSE_S = 0.5
LOOK_PAUSE_MAX_S = 8.0
# Pauses before a chunk that did not match is requested again: the first, and the
# longest.
MISMATCH_PAUSE_S = 0.05
MISMATCH_PAUSE_MAX_S = 4.0
# Number of digests of bytes that did not match that are kept for each chunk.
FOUND_KEPT = 8

_LOOKS = Counter(
    "briarbeam_manifest_looks", "Requests for a manifest that is doubted", ["result"]
)
_log = structlog.get_logger()


class VersionDigests:
    """Verifies chunks against the manifest of their version, and corrects it.

    :param manifest: the first `Manifest` that was received.
    :param clock: a function that returns monotonic seconds.

    `manifest` is the best known one.
    """

    def __init__(self, manifest, clock=time.monotonic):
        self.manifest = manifest
        self._clock = clock
        # Other digests that manifests stated, by number of the chunk.
        self._others = {}
        # Numbers whose digest is known to be right.
        self._confirmed = set()
        self._mismatches = {}
        # Digests of bytes that did not match, by number of the chunk.
        self._found = {}
        self._look_at_s = 0.0
        self._look_pause_s = LOOK_PAUSE_S

    def accepts(self, number, content):
        """Return whether `content` is chunk `number`, and correct the manifest by it.

        :param content: the bytes of the chunk, or None, which is no chunk.
        """
        if content is None or number >= len(self.manifest.digests):
            return False
        found = hashlib.sha256(content).hexdigest()
        if found in self._others.get(number, ()):
            self._correct(number, found)
        return found == self.manifest.digests[number]

    def record_mismatch(self, number, content, verified, look):
        """Handle bytes that do not match, and return whether they are right after all.

        The manifest is requested again if it is the likelier cause: if the source has
        verified the bytes itself, or if the same bytes arrived twice.

        :param verified: whether the source only sends bytes that match its manifest.
        :param look: a function that returns the source's `Manifest`, or None if it has
            none.
        """
        found = hashlib.sha256(content).hexdigest()
        earlier = self._found.setdefault(number, deque(maxlen=FOUND_KEPT))
        is_repeated = found in earlier
        earlier.append(found)
        self._mismatches[number] = self._mismatches.get(number, 0) + 1
        is_doubted = number not in self._confirmed and (verified or is_repeated)
        if not is_doubted or look is None or self._clock() < self._look_at_s:
            return False
        self._look(number, look)
        return self.accepts(number, content)

    def pause_s(self, number):
        """Return how long to wait before chunk `number` is requested again."""
        count = min(self._mismatches.get(number, 1), 16)
        return min(MISMATCH_PAUSE_MAX_S, MISMATCH_PAUSE_S * 2 ** (count - 1))

    def _look(self, number, look):
        self._look_at_s = self._clock() + self._look_pause_s
        self._look_pause_s = min(LOOK_PAUSE_MAX_S, 2 * self._look_pause_s)
        error = None
        differing = ()
        try:
            differing = self._add(look())
            result = "differs" if differing else "same"
        except BriarbeamError as look_error:
            result, error = "failed", str(look_error)
        _LOOKS.labels(result).inc()
        _log.warning(
            "manifest_doubted",
            version=self.manifest.version,
            number=number,
            mismatches=self._mismatches[number],
            result=result,
            differing=len(differing),
            error=error,
        )

    def _add(self, manifest):
        """Add another manifest; return the numbers for which it states other digests.

        One of another length is ignored, and counts as different in all of them.
        """
        if len(manifest.digests) != len(self.manifest.digests):
            return range(len(manifest.digests))
        differing = []
        for number, digest in enumerate(manifest.digests):
            if digest == self.manifest.digests[number]:
                self._confirmed.add(number)
                continue
            differing.append(number)
            others = self._others.setdefault(number, set())
            if digest in others:
                self._correct(number, digest)
            others.add(digest)
        return differing

    def _correct(self, number, digest):
        """Replace the digest of a chunk by one that is known to be right."""
        digests = list(self.manifest.digests)
        digests[number] = digest
        self.manifest = replace(self.manifest, digests=tuple(digests))
        self._others.pop(number, None)
        self._confirmed.add(number)
        _log.warning("manifest_corrected", version=self.manifest.version, number=number)
