"""Copies of the weights that a stager assembles in memory for its engine."""

import math
import random
import time

from .version_digests import VersionDigests

# Delay before a chunk that an entry did not have is requested again. The entry already
# waited for the chunk before it answered.
MISSED_RETRY_S = 0.25
# The next chunk is picked from this many missing ones with the lowest numbers. Entries
# download the lowest numbers first, so a stager that fetches at the same time finds few
# higher ones at an entry.
CANDIDATES_MAX = 8
# After this many consecutive misses, another version may use the link for `BACKOFF_S`.
MISSES_MAX = 2
BACKOFF_S = 0.5


class Copy:
    """The digests of a version and the verified chunks fetched so far."""

    def __init__(self, manifest):
        self.digests = VersionDigests(manifest)
        self.chunks = {}
        self._started_s = time.monotonic()
        self._staged_seen_s = {}
        self._missed_until_s = {}
        self._consecutive_misses = 0
        self._backoff_until_s = 0.0

    @property
    def manifest(self):
        """The best known `Manifest`."""
        return self.digests.manifest

    def next_number(self):
        """Return the number of the chunk to request next.

        It is a random one of the lowest missing numbers. If stagers that fetch at the
        same time requested chunks in the same order, they would all wait for the link
        of one entry, or for its download to start, while the other entries are idle.

        :returns: None if none is missing, or if all missing ones were requested without
            success less than `MISSED_RETRY_S` ago.
        """
        now_s = time.monotonic()
        candidates = [
            number
            for number in self.missing()
            if self._missed_until_s.get(number, 0.0) <= now_s
        ]
        return random.choice(candidates[:CANDIDATES_MAX]) if candidates else None

    def add(self, number, content):
        """Add a verified chunk."""
        self.chunks[number] = content
        self._consecutive_misses = 0

    def record_staged(self, number, checked_s):
        """Record that the staging area held the verified bytes of a chunk.

        :param checked_s: the boot time at which it did, in seconds.
        """
        self._staged_seen_s[number] = checked_s

    def staged_s(self, number):
        """Return when a chunk was last known to be staged, minus infinity if never."""
        return self._staged_seen_s.get(number, -math.inf)

    def oldest_staged_s(self):
        """Return the earliest of the times at which the chunks were last checked."""
        return min(map(self.staged_s, range(len(self.manifest.digests))))

    def record_miss(self, number):
        """Record that no entry had the chunk in time."""
        now_s = time.monotonic()
        self._missed_until_s[number] = now_s + MISSED_RETRY_S
        self._consecutive_misses += 1
        if self._consecutive_misses >= MISSES_MAX:
            self._consecutive_misses = 0
            self._backoff_until_s = now_s + BACKOFF_S

    def record_mismatch(self, number):
        """Record that the bytes of a chunk did not match its digest."""
        pause_s = self.digests.pause_s(number)
        self._missed_until_s[number] = time.monotonic() + pause_s

    def is_backing_off(self):
        """Return whether fetching is paused after consecutive misses."""
        return time.monotonic() < self._backoff_until_s

    def missing_share(self):
        """Return the share of the chunks that have not been fetched."""
        return 1.0 - len(self.chunks) / len(self.manifest.digests)

    def is_mostly_complete(self):
        """Return whether more than half of the chunks have been fetched."""
        return self.missing_share() < 0.5

    def age_s(self):
        """Return the seconds since the copy was started."""
        return time.monotonic() - self._started_s

    def eta_s(self):
        """Return the seconds until the copy is complete, at the average rate so far.

        :returns: infinity before the first chunk.
        """
        if not self.chunks:
            return math.inf
        elapsed_s = time.monotonic() - self._started_s
        return len(self.missing()) * elapsed_s / len(self.chunks)

    def missing(self):
        """Return the numbers of the missing chunks, in ascending order."""
        return [n for n in range(len(self.manifest.digests)) if n not in self.chunks]

    def size_bytes(self):
        """Return the estimated size of the whole version.

        :returns: an estimate from the chunks fetched so far; 0 before the first one.
        """
        if not self.chunks:
            return 0
        mean_bytes = sum(map(len, self.chunks.values())) / len(self.chunks)
        return mean_bytes * len(self.manifest.digests)
