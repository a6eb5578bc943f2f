"""A simulated clock that advances from event to event, and links of limited rate."""

import heapq
import itertools
import math
from functools import partial

import gevent
from gevent.event import AsyncResult

# A link that uses at least this share of its rate counts as full, since it has nothing
# left for other transfers.
FULL_SHARE = 0.99
# Rounding errors may leave a fraction of a byte of a complete transfer.
COMPLETE_BELOW_BYTES = 1e-3


class ModelClock:
    """A `Clock` that advances only in `run`, from one event to the next."""

    started_s = 0.0

    def __init__(self):
        self._now_s = 0.0
        self._events = []
        self._order = itertools.count()

    def monotonic_s(self):
        return self._now_s

    def boottime_s(self):
        return self._now_s

    def sleep(self, duration_s):
        elapsed = AsyncResult()
        self.call_later(duration_s, partial(elapsed.set, None))
        elapsed.get()

    def call_later(self, delay_s, function):
        """Call `function`, which must not block, after `delay_s` of simulated time."""
        heapq.heappush(
            self._events, (self._now_s + delay_s, next(self._order), function)
        )

    def run(self, until_s, is_done):
        """Process events until `is_done()`, or until none is left up to `until_s`."""
        gevent.idle()
        while self._events and self._events[0][0] <= until_s and not is_done():
            self._now_s, _, function = heapq.heappop(self._events)
            function()
            gevent.idle()


class Link:
    """One direction of a link, whose rate is divided evenly among its transfers.

    `full_s` is the time in which it was full, see `FULL_SHARE`.
    """

    def __init__(self, rate_mbit_per_s):
        self.rate_bytes_per_s = rate_mbit_per_s * 1e6 / 8
        self.transfer_count = 0
        self.used_bytes_per_s = 0.0
        self.transmitted_bytes = 0.0
        self.full_s = 0.0

    @property
    def is_full(self):
        return self.used_bytes_per_s >= FULL_SHARE * self.rate_bytes_per_s

    @property
    def share_bytes_per_s(self):
        return self.rate_bytes_per_s / self.transfer_count


class _Transfer:
    def __init__(self, size_bytes, links):
        self.left_bytes = size_bytes
        self.links = links
        self.rate_bytes_per_s = 0.0
        self.ended = AsyncResult()


class Links:
    """Transfers that each run over one or more `Link` objects.

    :param clock: the `ModelClock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._transfers = {}
        self._counted_until_s = 0.0
        self._rates_generation = 0
        self._is_recompute_scheduled = False

    def transmit(self, size_bytes, links, timeout_s=math.inf):
        """Transmit bytes over all of `links`; return False if `timeout_s` expires."""
        transfer = _Transfer(size_bytes, links)
        self._count_progress()
        self._transfers[transfer] = None
        for link in links:
            link.transfer_count += 1
        self._schedule_recompute()
        if timeout_s < math.inf:
            self._clock.call_later(timeout_s, partial(self._time_out, transfer))
        return transfer.ended.get()

    def _time_out(self, transfer):
        if transfer in self._transfers:
            self._count_progress()
            self._end(transfer, False)
            self._schedule_recompute()

    def _end(self, transfer, is_complete):
        del self._transfers[transfer]
        for link in transfer.links:
            link.transfer_count -= 1
        transfer.ended.set(is_complete)

    def _count_progress(self):
        """Count the bytes transmitted since the last call at the current rates."""
        now_s = self._clock.monotonic_s()
        elapsed_s, self._counted_until_s = now_s - self._counted_until_s, now_s
        if not elapsed_s:
            return
        used = set()
        for transfer in self._transfers:
            sent_bytes = transfer.rate_bytes_per_s * elapsed_s
            transfer.left_bytes -= sent_bytes
            for link in transfer.links:
                link.transmitted_bytes += sent_bytes
                used.add(link)
        for link in used:
            link.full_s += elapsed_s if link.is_full else 0.0

    def _schedule_recompute(self):
        """Recompute the rates once, after all changes at the current instant."""
        if not self._is_recompute_scheduled:
            self._is_recompute_scheduled = True
            self._clock.call_later(0.0, self._recompute_rates)

    def _recompute_rates(self):
        self._is_recompute_scheduled = False
        self._count_progress()
        self._rates_generation += 1
        for transfer in self._transfers:
            for link in transfer.links:
                link.used_bytes_per_s = 0.0
        for transfer in self._transfers:
            rate = min(link.share_bytes_per_s for link in transfer.links)
            transfer.rate_bytes_per_s = rate
            for link in transfer.links:
                link.used_bytes_per_s += rate
        next_s = min(
            (t.left_bytes / t.rate_bytes_per_s for t in self._transfers), default=None
        )
        if next_s is not None:
            end = partial(self._end_complete, self._rates_generation)
            self._clock.call_later(max(0.0, next_s), end)

    def _end_complete(self, rates_generation):
        """End complete transfers, unless rates were recomputed after the scheduling."""
        if rates_generation != self._rates_generation:
            return
        self._count_progress()
        for transfer in list(self._transfers):
            if transfer.left_bytes <= COMPLETE_BELOW_BYTES:
                self._end(transfer, True)
        self._schedule_recompute()
