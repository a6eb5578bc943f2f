"""Detects that the process was paused, so that its state may be stale."""

import structlog
from prometheus_client import Counter

PAUSE_MIN_S = 1.0

_PAUSES = Counter("briarbeam_stalls", "Times that the process stood still")
_log = structlog.get_logger()


class PauseMonitor:
    """Detects pauses of the process by the time since the last check.

    Both clocks are read, because the monotonic clock does not advance while the machine
    is suspended, and the wall clock may be set back. If the wall clock is set forward
    by more than `PAUSE_MIN_S`, that also counts as a pause.

    :param on_pause: function called for each pause of more than `PAUSE_MIN_S`.
    """

    def __init__(self, clock, on_pause):
        self._clock = clock
        self._on_pause = on_pause
        self._checked_at = self._now()

    def check(self):
        """Detect a pause; call this periodically and before each decision."""
        before, self._checked_at = self._checked_at, self._now()
        pause_s = max(
            now - then for now, then in zip(self._checked_at, before, strict=True)
        )
        if pause_s > PAUSE_MIN_S:
            _PAUSES.inc()
            _log.warning("process_stalled", stood_s=round(pause_s, 3))
            self._on_pause()

    def _now(self):
        return self._clock.monotonic_s(), self._clock.now().timestamp()
