"""The circuit breaker for platform calls, shared by all callers in a process.

Consecutive failures open the circuit. After a pause, it lets a single probe through.
The pause doubles with each failed probe and has random jitter, so that processes that
saw the same outage don't call again in the same second.
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
    """Counts consecutive failures and rejects calls while the platform is down.

    :param clock: the `Clock`.
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
        """Whether consecutive failures have opened the circuit.

        Calls other than probes are then rejected.
        """
        return self._failures >= FAILURES_MAX

    def before_call(self):
        """Check that a call may be made now.

        :raises PlatformUnavailableError: if the circuit is open, or the platform has
            rejected a call because of its rate limit; nothing was sent.
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
                f"calls to the platform are suspended for another {wait_s:.1f} s",
                retry_after_s=wait_s,
            )

    def record_success(self):
        """Record that the platform answered, and close the circuit."""
        self._failures = 0
        self._pause_s = PAUSE_START_S
        self._open_until_s = 0.0
        self._probe_until_s = 0.0
        _OPEN.set(0)

    def record_failure(self):
        """Record a call that failed or timed out."""
        self._failures += 1
        if not self.is_open:
            return
        self._open_for(self._pause_s * self._jitter.uniform(0.5, 1.5))
        self._pause_s = min(PAUSE_MAX_S, self._pause_s * 2)

    def record_refusal(self, retry_after_s):
        """Record that the platform rejected a call because of its rate limit."""
        self._open_for(retry_after_s * self._jitter.uniform(1.0, 2.0))

    def _open_for(self, pause_s):
        self._open_until_s = self._clock.monotonic_s() + pause_s
        self._probe_until_s = 0.0
        _OPEN.set(1)
