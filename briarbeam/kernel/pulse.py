"""Notices that the process did not run for a while: stopped, or its machine suspended."""

import math

import gevent

BEAT_S = 0.2
# Beats that are later than this tell of a pause, not of a busy moment.
PAUSE_MIN_S = 0.6
# What waited during a pause is read within this after it.
CATCH_UP_S = 1.0


class PauseDetector:
    """Beats while the process runs.

    :param clock: the `Clock`; pauses are measured in boot time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._beat_s = clock.boottime_s()
        self._paused_s = -math.inf
        self._resumed_s = -math.inf

    def run(self):
        """Beat for ever."""
        while True:
            gevent.sleep(BEAT_S)
            self.beat()

    def beat(self):
        """Note that the process runs."""
        now_s = self._clock.boottime_s()
        if now_s - self._beat_s > PAUSE_MIN_S:
            self._paused_s, self._resumed_s = self._beat_s, now_s
        self._beat_s = now_s

    def max_read_delay_s(self):
        """Return for how long something that is read now may have waited here; mostly 0."""
        # What waited may be read before the next beat.
        self.beat()
        if self._beat_s - self._resumed_s > CATCH_UP_S:
            return 0.0
        return self._beat_s - self._paused_s
