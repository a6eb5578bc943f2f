"""Writes of objects' status in the background, at a limited rate.

Values of the same object are merged, so that only the latest one is written.
"""

import random

from prometheus_client import Counter, Gauge

from ..kernel.errors import ConflictError, PlatformError

STATUS_KIND = "status"
WRITES_PER_FLUSH = 4
PAUSE_MAX_S = 30.0

_WRITES = Counter("briarbeam_status_writes", "Status writes", ["result"])
_PENDING = Gauge("briarbeam_status_pending", "Objects whose status is to be written")


class StatusWriter:
    """Writes the status of objects in the background.

    A new value replaces an older one that was not written yet, so at most one write per
    object is pending after an outage of any length.

    :param objects: the platform's `ObjectApi`.
    :param interval_s: seconds between flushes of at most `WRITES_PER_FLUSH` objects.
    :param jitter: the source of randomness, as ``random.Random``.
    """

    def __init__(self, objects, interval_s=1.0, jitter=None):
        self._objects = objects
        self._interval_s = interval_s
        self._jitter = jitter or random
        self._pause_s = interval_s
        self._pending = {}
        self._written = {}

    def put(self, name, value, kind=STATUS_KIND):
        """Queue `value` to be written as the object `name`."""
        key = kind, name
        if key not in self._pending and self._written.get(key) == value:
            return
        self._pending[key] = value
        _PENDING.set(len(self._pending))

    def pending_count(self):
        """Return the number of objects with a pending write."""
        return len(self._pending)

    def flush(self):
        """Write at most `WRITES_PER_FLUSH` pending objects, and stop at a failure."""
        for key in list(self._pending)[:WRITES_PER_FLUSH]:
            value = self._pending[key]
            try:
                self._objects.put(*key, value)
            except (PlatformError, ConflictError):
                _WRITES.labels("failed").inc()
                self._pause_s = min(PAUSE_MAX_S, self._pause_s * 2)
                return
            _WRITES.labels("done").inc()
            self._pause_s = self._interval_s
            self._written[key] = value
            if self._pending.get(key) is value:
                del self._pending[key]
        _PENDING.set(len(self._pending))

    def next_pause_s(self):
        """Return the seconds until the next flush; they grow while writes fail."""
        return self._pause_s * self._jitter.uniform(0.5, 1.5)
