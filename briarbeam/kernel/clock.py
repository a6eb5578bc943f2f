"""Clock interface, so that code that depends on time also runs on a simulated clock.

Wall-clock times are ``datetime`` in UTC; monotonic times and durations are float
seconds, as in ``time`` and ``threading``.
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import gevent


class Clock(Protocol):
    """Source of time for all code that depends on it.

    `started_s` is the value of ``boottime_s()`` when the process started.
    """

    started_s: float

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start; never steps back."""

    def boottime_s(self) -> float:
        """Return monotonic seconds that also count while the machine is suspended."""

    def sleep(self, duration_s: float) -> None:
        """Suspend the calling task for `duration_s` seconds."""


class SystemClock:
    """The clock of this machine.

    :param started_s: the value of ``boottime_s()`` when the process started; the
        current value if None.
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
    """A clock that advances only on request, for tests and simulations.

    :param start: the initial wall-clock time.
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
        """Advance all clocks but the monotonic one, as if the machine were suspended.

        :param duration_s: seconds to advance.
        """
        self._suspended_s += duration_s

    def sleep(self, duration_s):
        self.advance(duration_s)

    def advance(self, duration_s):
        """Move the clock forward by `duration_s` seconds."""
        if duration_s < 0:
            raise ValueError(f"duration_s must not be negative, got {duration_s}")
        self._elapsed_s += duration_s
