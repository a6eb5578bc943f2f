"""Detects that the process did not run for a while, so that its state may be stale."""

import structlog
from prometheus_client import Counter

STALL_MIN_S = 1.0

_STALLS = Counter("briarbeam_stalls", "Times that the process stood still")
_log = structlog.get_logger()


class StallWatch:
    """Compares the current time with that of the last check.

    :param on_stall: function called for each stall of more than `STALL_MIN_S`.
    """

    def __init__(self, clock, on_stall):
        self._clock = clock
        self._on_stall = on_stall
        self._checked_at = self._now()

    def check(self):
        """Detect a stall; call this periodically and before each decision."""
        before, self._checked_at = self._checked_at, self._now()
        stall_s = max(
            now - then for now, then in zip(self._checked_at, before, strict=True)
        )
        if stall_s > STALL_MIN_S:
            _STALLS.inc()
            _log.warning("process_stalled", stood_s=round(stall_s, 3))
            self._on_stall()

    def _now(self):
        return self._clock.monotonic_s(), self._clock.now().timestamp()
