"""Downloads from the origin of weights, called draws, with one backoff per process."""

import math
import random

from prometheus_client import Counter, Gauge

from ..kernel.errors import (
    BriarbeamError,
    ChunkUnavailableError,
    OriginRefusedError,
    StalledError,
)

BACKOFF_START_S = 0.5
BACKOFF_MAX_S = 4.0
PIECE_BYTES = 16384
PROGRESS_MIN_BYTES = 1024

_BYTES = Counter("briarbeam_weights_bytes", "Verified bytes taken in", ["source"])
_BACKOFF = Gauge("briarbeam_origin_backoff", "Whether draws from the origin wait")


class BodyReader:
    """Reads response bodies at a limited rate and detects stalled senders.

    :param pacer: the `Pacer` of the bytes that this target receives.
    :param stall_after_s: seconds of waiting for data in which at least
        `PROGRESS_MIN_BYTES` must arrive; pauses for the rate limit don't count.
    """

    def __init__(self, clock, pacer, stall_after_s):
        self._clock = clock
        self._pacer = pacer
        self._stall_after_s = stall_after_s

    def read(self, response, size_bytes, on_progress=None):
        """Return a body of exactly `size_bytes`.

        :param on_progress: called after each piece that arrives.
        :raises StalledError: if too few bytes arrived in an interval.
        :raises ChunkUnavailableError: if the body is shorter or longer.
        """
        pieces, got_bytes = [], 0
        interval_bytes, waited_s = 0, 0.0
        while True:
            began_s = self._clock.monotonic_s()
            piece = response.read(PIECE_BYTES)
            waited_s += self._clock.monotonic_s() - began_s
            if not piece:
                break
            pieces.append(piece)
            got_bytes += len(piece)
            interval_bytes += len(piece)
            if got_bytes > size_bytes:
                raise ChunkUnavailableError(f"body is longer than {size_bytes} bytes")
            if waited_s >= self._stall_after_s:
                if interval_bytes < PROGRESS_MIN_BYTES:
                    raise StalledError(
                        f"only {interval_bytes} bytes received in {waited_s:.1f} s"
                    )
                interval_bytes, waited_s = 0, 0.0
            if on_progress is not None:
                on_progress()
            self._pacer.acquire(len(piece))
        if got_bytes != size_bytes:
            raise ChunkUnavailableError(
                f"body ended after {got_bytes} of {size_bytes} bytes"
            )
        return b"".join(pieces)


class OriginSource:
    """The origin, with the backoff and the progress of this process's draws.

    :param origin: the platform's `Origin`.
    :param reader: the `BodyReader` of the process.
    :param progress_timeout_s: seconds without progress after which draws count as
        stalled.
    :param jitter: the source of randomness, as ``random.Random``.
    """

    def __init__(self, clock, origin, reader, progress_timeout_s, jitter=None):
        self._clock = clock
        self._origin = origin
        self._reader = reader
        self._progress_timeout_s = progress_timeout_s
        self._jitter = jitter or random.Random()
        self._retry_at_s = -math.inf
        self._progress_at_s = clock.monotonic_s()
        self._failures = 0
        self.drawn_bytes = 0
        self.recovered_at_s = -math.inf

    @property
    def is_failing(self):
        """Whether the last draw failed."""
        return self._failures > 0

    def can_draw(self):
        """Return whether the backoff allows a draw now."""
        return self._clock.monotonic_s() >= self._retry_at_s

    def makes_progress(self):
        """Return whether draws made progress within the progress timeout.

        A draw that the origin refuses counts as progress, because the origin answers.
        """
        return (
            self._clock.monotonic_s() - self._progress_at_s < self._progress_timeout_s
        )

    def reset_progress_timeout(self):
        """Restart the progress timeout, unless the last draw failed.

        A new transfer counts as making progress until the timeout expires.
        """
        if not self.is_failing:
            self._record_progress()

    def draw(self, digest, size_bytes, store):
        """Download a blob and pass it to `store`, which verifies and stores it.

        :param size_bytes: the expected size, or None for any size.
        :param store: called as ``store(digest, data)``.
        :raises BriarbeamError: if the download or the verification fails; the next
            draw is allowed after a pause that doubles with each failure in a row.
        """
        try:
            data = self._origin.read(
                digest, lambda response: self._read(response, size_bytes)
            )
            store(digest, data)
        except BriarbeamError as error:
            self._record_failure(error)
            raise
        self._record_success()
        self.drawn_bytes += len(data)
        _BYTES.labels("origin").inc(len(data))

    def _read(self, response, size_bytes):
        if size_bytes is None:
            return response.read()
        return self._reader.read(response, size_bytes, self._record_progress)

    def _record_progress(self):
        self._progress_at_s = self._clock.monotonic_s()

    def _record_success(self):
        if self.is_failing:
            self.recovered_at_s = self._clock.monotonic_s()
        self._failures = 0
        self._record_progress()
        _BACKOFF.set(0)

    def _record_failure(self, error):
        if isinstance(error, OriginRefusedError):
            self._record_progress()
        pause_s = min(BACKOFF_MAX_S, BACKOFF_START_S * 2**self._failures)
        pause_s *= self._jitter.uniform(0.5, 1.5)
        self._failures += 1
        self._retry_at_s = self._clock.monotonic_s() + max(
            pause_s, (error.retry_after_s or 0.0) * self._jitter.uniform(1.0, 1.5)
        )
        _BACKOFF.set(1)
