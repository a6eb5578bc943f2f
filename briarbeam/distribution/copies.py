"""A version of the weights on its way to an engine, and what belongs to it."""

import hashlib
import math
import random
import time

# A chunk that no entry has yet is asked for again after this; an entry has made the
# daemon wait for it already.
MISSED_RETRY_S = 0.25
# Chunks are drawn lowest first, so a copy that follows closely may ask for few others.
CANDIDATES_MAX = 8
# After so many misses in a row another version may use the link for so long.
MISSES_MAX = 2
BACKOFF_S = 0.5


class Copy:
    """A version in memory: its manifest and the chunks that were verified."""

    def __init__(self, manifest):
        self.manifest = manifest
        self.chunks = {}
        self._started_s = time.monotonic()
        self._missed_until_s = {}
        self._misses = 0
        self._backoff_until_s = 0.0

    def next_number(self):
        """Return the chunk to ask for next, one of the lowest; None while all must wait.

        In step, daemons that fetch together would all ask one entry after another, and
        wait for its link, or for it to begin to draw, while the others are idle.
        """
        now_s = time.monotonic()
        candidates = [
            number
            for number in self.missing()
            if self._missed_until_s.get(number, 0.0) <= now_s
        ]
        return random.choice(candidates[:CANDIDATES_MAX]) if candidates else None

    def add(self, number, content):
        """Keep a chunk that was verified."""
        self.chunks[number] = content
        self._misses = 0

    def record_miss(self, number):
        """Note that no entry had the chunk in time."""
        now_s = time.monotonic()
        self._missed_until_s[number] = now_s + MISSED_RETRY_S
        self._misses += 1
        if self._misses >= MISSES_MAX:
            self._misses = 0
            self._backoff_until_s = now_s + BACKOFF_S

    def is_backing_off(self):
        """Return whether it has to wait for chunks that the entries lack."""
        return time.monotonic() < self._backoff_until_s

    def is_mostly_complete(self):
        """Return whether most of it is there."""
        return 2 * len(self.chunks) > len(self.manifest.digests)

    def age_s(self):
        """Return the seconds since it was begun."""
        return time.monotonic() - self._started_s

    def eta_s(self):
        """Return in how many seconds it will be complete, at the rate so far."""
        if not self.chunks:
            return math.inf
        elapsed_s = time.monotonic() - self._started_s
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
