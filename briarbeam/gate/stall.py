"""Notices that the process stood still, so that what it knew before is not trusted."""

import structlog
from prometheus_client import Counter

STALL_MIN_S = 1.0

_STALLS = Counter("briarbeam_stalls", "Times that the process stood still")
_log = structlog.get_logger()


class StallWatch:
    """Compares the clock with that of the last tick.

    :param on_stall: called once for each time that the process stood still.
    """

    def __init__(self, clock, on_stall):
        self._clock = clock
        self._on_stall = on_stall
        self._ticked_at = self._now()

    def check(self):
        """Look at the clock; call this from a ticker and before each decision."""
        before, self._ticked_at = self._ticked_at, self._now()
        stood_s = max(
            now - then for now, then in zip(self._ticked_at, before, strict=True)
        )
        if stood_s > STALL_MIN_S:
            _STALLS.inc()
            _log.warning("stood_still", stood_s=round(stood_s, 3))
            self._on_stall()

    def _now(self):
        return self._clock.monotonic_s(), self._clock.now().timestamp()
