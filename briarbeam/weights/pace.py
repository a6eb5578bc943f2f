"""Pacing of transfers, which leaves part of the link to live traffic."""


class Pacer:
    """Limits the rate of bytes, shared by all transfers that use this object.

    :param rate_bytes_per_s: bytes per second, or None for no limit.
    """

    def __init__(self, clock, rate_bytes_per_s):
        self._clock = clock
        self._rate_bytes_per_s = rate_bytes_per_s
        self._free_at_s = 0.0

    def acquire(self, size_bytes):
        """Block until `size_bytes` may be transferred."""
        if self._rate_bytes_per_s is None:
            return
        now_s = self._clock.monotonic_s()
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + size_bytes / self._rate_bytes_per_s
        if start_s > now_s:
            self._clock.sleep(start_s - now_s)
