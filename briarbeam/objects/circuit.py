"""When the platform may be called: backoff with jitter, shared by a whole process.

Failures in a row open the circuit. It lets a single probe through after a pause that
doubles with each failed probe and is spread at random, so that processes which met
the same outage don't come back in the same second.
"""

import random

from prometheus_client import Counter, Gauge

from ..kernel.errors import PlatformUnavailableError

FAILURES_MAX = 3
PAUSE_START_S = 0.5
PAUSE_MAX_S = 8.0
PROBE_TIMEOUT_S = 5.0

_OPEN = Gauge("briarbeam_platform_circuit_open", "Whether platform calls are held back")
_HELD_BACK = Counter("briarbeam_platform_held_back", "Platform calls not made")


class CircuitBreaker:
    """Counts failures in a row and holds calls back while the platform is out.

    :param clock: the `Clock` to decide by.
    :param jitter: the source of randomness, as ``random.Random``.
    """

    def __init__(self, clock, jitter=None):
        self._clock = clock
        self._jitter = jitter or random
        self._failures = 0
        self._pause_s = PAUSE_START_S
        self._open_until_s = 0.0
        self._probe_until_s = 0.0

    @property
    def is_open(self):
        """Whether calls are held back or only probed."""
        return self._failures >= FAILURES_MAX

    def before_call(self):
        """Ask to make a call.

        :raises PlatformUnavailableError: if it has to wait; nothing was sent.
        """
        now_s = self._clock.monotonic_s()
        wait_s = self._open_until_s - now_s
        if wait_s <= 0 and self.is_open:
            wait_s = self._probe_until_s - now_s
            if wait_s <= 0:
                self._probe_until_s = now_s + PROBE_TIMEOUT_S
        if wait_s > 0:
            _HELD_BACK.inc()
            raise PlatformUnavailableError(
                f"the platform is out; the next try is in {wait_s:.1f} s",
                retry_after_s=wait_s,
            )

    def record_success(self):
        """Note that the platform answered."""
        self._failures = 0
        self._pause_s = PAUSE_START_S
        self._open_until_s = 0.0
        self._probe_until_s = 0.0
        _OPEN.set(0)

    def record_failure(self):
        """Note a call that failed or was not answered in time."""
        self._failures += 1
        if not self.is_open:
            return
        self._open_for(self._pause_s * self._jitter.uniform(0.5, 1.5))
        self._pause_s = min(PAUSE_MAX_S, self._pause_s * 2)

    def record_refusal(self, retry_after_s):
        """Note that the platform refused a call for its rate."""
        self._open_for(retry_after_s * self._jitter.uniform(1.0, 2.0))

    def _open_for(self, pause_s):
        self._open_until_s = self._clock.monotonic_s() + pause_s
        self._probe_until_s = 0.0
        _OPEN.set(1)
