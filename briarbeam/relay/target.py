"""One instance that requests may be sent to, and what this entry knows about it."""

import math
import random
from collections import deque
from dataclasses import dataclass, field

from ..placement.speed import SpeedEstimate
from .limits import ColdRateLimiter
from .notices import Notices

# A load report older than this is less accurate than this entry's own counts.
REPORT_MAX_AGE_S = 1.5
# Upper limit on the estimated load of an engine without fresh reports, as a multiple of
# this entry's own requests there. The estimate assumes that a third of the entries,
# those in the engine's failure domain, send as many requests as this one.
OTHER_ENTRIES_FACTOR_MAX = 3.0
# Limits on the time that an instance is avoided after consecutive failures: long enough
# to keep requests away from a broken instance, short compared to the seconds that a
# crash lasts.
AVOID_MIN_S = 0.4
AVOID_MAX_S = 4.0
AVOID_DOUBLINGS_MAX = 10
# How long an instance gets no requests after another one has taken over its address.
# The store removes the record of a crashed instance after about 4 s.
REPLACED_FOR_S = 4.0
# Age at which the load in an answer of a plain instance that also states its speed has
# no weight any more. In bench/plain_model.py at 0.75 of the capacity, answers took 76 ms
# on average with 0.1 s, 77 ms with 0.3 s, 79 ms with 0.6 s, and 86 ms with the full
# weight for 1 s.
ANSWER_LOAD_AGE_S = 0.1


@dataclass
class LoadReport:
    """The load and the weights of an engine, as reported by its stager.

    :param received_s: monotonic time of arrival.
    :param started_ms: Unix milliseconds of the engine's start.
    :param accepting: False while the engine is about to load weights.
    :param version: the version of the loaded weights, 0 for none.
    :param running: the number of requests that run there.
    :param waiting: the number of requests that wait there.
    :param slowdown: how many times slower than usual the engine is.
    :param accepted_orders: the number of orders that it has accepted, 0 if not stated.
    """

    received_s: float
    started_ms: int
    accepting: bool
    version: int
    running: int
    waiting: int
    slowdown: float = 1.0
    accepted_orders: int = 0


@dataclass
class Target:
    """One instance, with what this entry knows about it.

    :param instance: the `Instance`, as in the store's record.
    :param cold_until_s: monotonic time until which it is cold.
    :param outstanding: the number of this entry's requests that are not answered yet.
    :param report: the last `LoadReport`, or None.
    :param sent_since_report: the number of requests sent since the last load report.
    :param answer_load: the last load that an answer stated, or None.
    :param answer_load_at_s: monotonic time of that answer.
    :param failures: the number of consecutive failures.
    :param avoid_until_s: monotonic time until which other targets are preferred.
    :param remove_at_s: monotonic time at which it is removed, or None while it has a
        record.
    :param seen_version: the last version of the weights that an answer stated, or None.
    :param replaced_until_s: monotonic time until which another instance is assumed to
        have its address.
    :param results: whether each of the most recent answers was a success.
    :param notices: its `Notices`.
    :param not_asked_until_s: monotonic time until which the daemon beside it is not asked
        for places, as it gave no answer.
    :param silences: the number of consecutive questions that it did not answer.
    :param readiness_changed_s: monotonic time at which it became known, stopped to accept
        requests with weights, or began to accept them.
    :param proven_load: the start and the accepted orders with which the engine was last
        reported as accepting requests; empty if never.
    :param speed: the `SpeedEstimate` by what its answers state, or None if they state no
        speed.
    :param odd_speed_logged_s: monotonic time of the last log line about a speed that
        couldn't be read.
    :param unproven_load: the same of its last load that was only reported as not
        accepting requests; empty if there is none.
    """

    instance: object
    cold_until_s: float
    cold_limiter: ColdRateLimiter = field(default_factory=ColdRateLimiter)
    outstanding: int = 0
    report: LoadReport | None = None
    sent_since_report: int = 0
    answer_load: int | None = None
    answer_load_at_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0
    remove_at_s: float | None = None
    seen_version: int | None = None
    replaced_until_s: float = 0.0
    results: deque = field(default_factory=lambda: deque(maxlen=20))
    notices: Notices = field(default_factory=Notices)
    not_asked_until_s: float = 0.0
    silences: int = 0
    readiness_changed_s: float = -math.inf
    proven_load: tuple = ()
    unproven_load: tuple = ()
    speed: SpeedEstimate | None = None
    odd_speed_logged_s: float = -math.inf

    @property
    def id(self):
        return self.instance.id

    @property
    def started_ms(self):
        """Unix milliseconds of the latest known start.

        The store's record can be seconds behind a load report.
        """
        reported_ms = self.report.started_ms if self.report is not None else 0
        return max(self.instance.started_ms, reported_ms)

    @property
    def leaving(self):
        """Whether it has stated in an answer that it is leaving."""
        return self.notices.is_leaving(self)

    @property
    def closed_until_s(self):
        """Monotonic time until which it wants no requests; may be past."""
        return self.notices.closed_until_s(self)

    def version_of(self, model):
        """Return the version of `model` that is presumably loaded, 0 if none."""
        if self.report is not None:
            return self.report.version
        loaded_version = (self.instance.models or {}).get(model, 0)
        return max(loaded_version, self.seen_version or 0) if loaded_version else 0

    def is_cold(self, now_s):
        return now_s < self.cold_until_s

    def has_fresh_report(self, now_s):
        """Return whether a load report arrived within `REPORT_MAX_AGE_S`."""
        report = self.report
        return report is not None and now_s - report.received_s < REPORT_MAX_AGE_S

    def estimated_load(self, now_s, entry_count):
        """Return the estimated number of requests that run or wait there.

        :param entry_count: the number of entries that send requests.
        """
        report = self.report
        if self.has_fresh_report(now_s):
            return report.running + report.waiting + self.sent_since_report
        if self.speed is not None and self.instance.models is None:
            return self._aged_answer_load(now_s)
        if self.answer_load is not None and now_s - self.answer_load_at_s < 1.0:
            return max(self.outstanding, self.answer_load)
        if self.instance.models is None:
            return self.outstanding
        return self.outstanding * min(
            OTHER_ENTRIES_FACTOR_MAX, max(1.0, entry_count / 3)
        )

    def _aged_answer_load(self, now_s):
        if self.answer_load is None:
            return self.outstanding
        weight = max(0.0, 1.0 - (now_s - self.answer_load_at_s) / ANSWER_LOAD_AGE_S)
        return self.outstanding + weight * max(0, self.answer_load - self.outstanding)

    def begin_request(self):
        """Count a request that is about to be sent."""
        self.outstanding += 1
        self.sent_since_report += 1

    def end_request(self):
        """Count the end of a request that was sent, with or without an answer."""
        self.outstanding -= 1

    def record_load(self):
        """Keep what the last report says of the load that the engine holds."""
        report = self.report
        if not report.accepted_orders:
            return
        load_id = report.started_ms, report.accepted_orders
        if not report.accepting:
            self.unproven_load = () if load_id == self.proven_load else load_id
        elif report.version:
            self.proven_load, self.unproven_load = load_id, ()

    def record_answer_load(self, running, waiting, now_s):
        """Store the load that an answer states; it is newer than any report."""
        if self.report is not None:
            self.report.running, self.report.waiting = running, waiting
            self.report.received_s = now_s
            self.sent_since_report = 0
        self.answer_load = running + waiting
        self.answer_load_at_s = now_s

    def slowdown(self, now_s):
        """Return how many times slower than usual it is."""
        if self.speed is not None:
            return self.speed.slowdown(now_s)
        return self.report.slowdown if self.report is not None else 1.0

    def record_answer_time(self, answer_s, now_s):
        """Compare the time of a successful answer with the speed that it stated."""
        load_factor = max(1.0, (self.answer_load or 0) / max(1, self.instance.slots))
        self.speed.observe_answer(answer_s, load_factor, now_s)

    def record_success(self):
        """Record a complete answer of the instance."""
        self.failures = 0
        self.results.append(True)
        self.notices.record_success()

    def record_failure(self, now_s):
        """Record a failure that the instance caused, and avoid it for a while.

        A leaving instance is expected to refuse requests, so it causes no failures.
        """
        if self.leaving:
            return
        self.failures += 1
        self.results.append(False)
        # The exponent is bounded as well: a float can't hold 2 to the power of 1024.
        doublings = min(self.failures - 1, AVOID_DOUBLINGS_MAX)
        pause_s = min(AVOID_MAX_S, AVOID_MIN_S * 2**doublings)
        self.avoid_until_s = now_s + pause_s * random.uniform(0.8, 1.2)

    def mark_replaced(self, now_s):
        """Record that another instance has taken over its address."""
        self.replaced_until_s = now_s + REPLACED_FOR_S

    def failure_ratio(self):
        """Return the share of failures among recent answers; 0 for fewer than four."""
        if len(self.results) < 4:
            return 0.0
        return self.results.count(False) / len(self.results)
