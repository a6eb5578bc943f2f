"""A version of the weights on its way to an engine, and what belongs to it."""

import hashlib
import math
import time


class Copy:
    """A version in memory: its manifest and the chunks that were verified."""

    def __init__(self, manifest):
        self.manifest = manifest
        self.chunks = {}
        self._first_s = time.monotonic()

    def eta_s(self):
        """Return in how many seconds it will be complete, at the rate so far."""
        if not self.chunks:
            return math.inf
        elapsed_s = time.monotonic() - self._first_s
        return len(self.missing()) * elapsed_s / len(self.chunks)

    def missing(self):
        """Return the numbers of the chunks that are not there, in order."""
        return [n for n in range(len(self.manifest.digests)) if n not in self.chunks]

    def size_bytes(self):
        """Return about how large the whole version is, from the chunks that are here."""
        if not self.chunks:
            return 0
        mean_bytes = sum(map(len, self.chunks.values())) / len(self.chunks)
        return mean_bytes * len(self.manifest.digests)


def matches(manifest, number, content):
    """Return whether `content` is chunk `number` of the version of `manifest`."""
    if content is None or number >= len(manifest.digests):
        return False
    return hashlib.sha256(content).hexdigest() == manifest.digests[number]
