"""The clock as an interface, so that decisions run under any harness.

Instants on the wall clock are ``datetime`` in UTC; monotonic time and durations
are float seconds, as ``time`` and ``threading`` take them.
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import gevent


class Clock(Protocol):
    """What a decision may know and do about time.

    `started_s` is the boot time at which the process started.
    """

    started_s: float

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start; never steps back."""

    def boottime_s(self) -> float:
        """Return monotonic seconds that also count time spent suspended."""

    def sleep(self, duration_s: float) -> None:
        """Suspend the calling task for `duration_s` seconds."""


class SystemClock:
    """The machine's clock.

    :param started_s: boot time at which the process started; now, if not given.
    """

    def __init__(self, started_s=None):
        self.started_s = self.boottime_s() if started_s is None else started_s

    def now(self):
        return datetime.now(UTC)

    def monotonic_s(self):
        return time.monotonic()

    def boottime_s(self):
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, duration_s):
        gevent.sleep(duration_s)


class ManualClock:
    """A clock that moves only when told to; for tests and simulations.

    :param start: the first wall-clock time.
    """

    def __init__(self, start=datetime(2026, 1, 1, tzinfo=UTC)):
        self._start = start
        self._elapsed_s = 0.0
        self._suspended_s = 0.0
        self.started_s = 0.0

    def now(self):
        return self._start + timedelta(seconds=self.boottime_s())

    def monotonic_s(self):
        return self._elapsed_s

    def boottime_s(self):
        return self._elapsed_s + self._suspended_s

    def suspend(self, duration_s):
        """Let time pass that the monotonic clock does not count."""
        self._suspended_s += duration_s

    def sleep(self, duration_s):
        self.advance(duration_s)

    def advance(self, duration_s):
        """Move the clock forward by `duration_s` seconds."""
        if duration_s < 0:
            raise ValueError(f"duration_s must not be negative, got {duration_s}")
        self._elapsed_s += duration_s
