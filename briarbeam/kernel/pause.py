"""Detects pauses of the process: it was stopped, or the machine was suspended."""

import math

import gevent

TICK_INTERVAL_S = 0.2
# A longer gap between ticks is a pause of the process; shorter ones occur under load.
PAUSE_MIN_S = 0.6
# Data that was buffered during a pause is read within this time after it.
CATCH_UP_S = 1.0


class PauseDetector:
    """Detects pauses of the process by the delay between periodic ticks.

    :param clock: the `Clock`; pauses are measured in boot time, which also counts
        while the machine is suspended.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last_tick_s = clock.boottime_s()
        self._pause_start_s = -math.inf
        self._pause_end_s = -math.inf

    def run(self):
        """Tick forever."""
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self):
        """Record that the process is running."""
        now_s = self._clock.boottime_s()
        if now_s - self._last_tick_s > PAUSE_MIN_S:
            self._pause_start_s, self._pause_end_s = self._last_tick_s, now_s
        self._last_tick_s = now_s

    def max_read_delay_s(self):
        """Return how long data that is read now may have been buffered, in seconds.

        This is 0 unless the process was paused within the last `CATCH_UP_S` seconds.
        """
        # Buffered data may be read before the next periodic tick detects the pause.
        self.tick()
        if self._last_tick_s - self._pause_end_s > CATCH_UP_S:
            return 0.0
        return self._last_tick_s - self._pause_start_s
