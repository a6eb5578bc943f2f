"""The state that an entry keeps of each target: load, failures and recovery."""

import math
import random
from dataclasses import dataclass, field
from enum import StrEnum

from prometheus_client import Counter

from ..gate.admission import Load

LOAD_MAX_AGE_S = 2.0
QUEUE_FULL_MAX_AGE_S = 0.25
ASSUMED_LIMIT = 2
EJECTION_FIRST_S = 0.5
EJECTION_MAX_S = 4.0
CLOSED_PROBE_DELAY_S = 0.4
JITTER = 0.25
REPLACED_AFTER_FAILURES = 3
SERVICE_TIME_FIRST_S = 0.5
SERVICE_TIME_WEIGHT = 0.1
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 10.0

_PHASES = Counter("briarbeam_target_phases", "Targets entering a phase", ["phase"])


class Phase(StrEnum):
    """Whether a target may be sent requests.

    A target that is closed or has failed gets no requests until a probe finds it ready.
    One that failed then gets a single trial request first. If no other target is left,
    an ejected target may get the trial request without a probe.
    """

    SERVING = "serving"
    CLOSED = "closed"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclass
class TargetState:
    """The last known state of one target.

    :param load: the last load report, or None.
    :param reported_at_s: monotonic time of the last load report.
    :param in_flight: requests of this entry that have not ended.
    :param sent_since_report: requests sent after the last load report, which it can't
        include.
    :param activity_count: replies and frames received, to distinguish a target with a
        queue from a stalled one.
    :param failures: consecutive failures.
    :param next_probe_s: monotonic time of the next probe, if it is closed or ejected.
    :param probing: whether a probe is in progress.
    :param queue_bound: number of queued requests when it last refused one because its
        queue was full, or None if it never did.
    :param service_time_s: mean time of a complete answer.
    :param versions: the last reported version, by model.
    """

    load: Load | None = None
    reported_at_s: float = -math.inf
    in_flight: int = 0
    sent_since_report: int = 0
    activity_count: int = 0
    failures: int = 0
    phase: Phase = Phase.SERVING
    next_probe_s: float = -math.inf
    probing: bool = False
    queue_bound: int | None = None
    service_time_s: float = SERVICE_TIME_FIRST_S
    versions: dict = field(default_factory=dict)


class Targets:
    """The states of the targets that this entry has used."""

    def __init__(self, clock):
        self._clock = clock
        self._states = {}

    def state(self, name):
        """Return the state of a target."""
        return self._states.setdefault(name, TargetState())

    def retain(self, names):
        """Discard all states but those of `names` and of targets with open requests."""
        self._states = {
            name: state
            for name, state in self._states.items()
            if name in names or state.in_flight
        }

    def begin_request(self, name):
        """Record that a request is sent."""
        state = self.state(name)
        state.in_flight += 1
        state.sent_since_report += 1

    def end_request(self, name):
        """Record that a request has ended."""
        self.state(name).in_flight -= 1

    def record_activity(self, name):
        """Record that a reply or a frame was received."""
        self.state(name).activity_count += 1

    def record_load(self, name, load_text):
        """Record the load reported with a reply or a frame."""
        state = self.state(name)
        state.load = Load.parse(load_text)
        state.reported_at_s = self._clock.monotonic_s()
        state.sent_since_report = 0
        if state.load.closed_reason:
            self._suspend(state, Phase.CLOSED, CLOSED_PROBE_DELAY_S)
        elif state.phase is Phase.CLOSED:
            self._enter_phase(state, Phase.SERVING)

    def record_queue_full(self, name):
        """Record that a target refused a request because its queue is full."""
        state = self.state(name)
        state.queue_bound = state.load.queued if state.load else 0

    def record_success(self, name):
        """Record a reply, which shows that a target works; end its ejection."""
        state = self.state(name)
        state.failures = 0
        if state.phase in (Phase.EJECTED, Phase.TRIAL):
            self._enter_phase(state, Phase.SERVING)

    def record_service_time(self, name, took_s):
        """Update the mean service time with that of a complete answer."""
        state = self.state(name)
        state.service_time_s += SERVICE_TIME_WEIGHT * (took_s - state.service_time_s)

    def record_failure(self, name):
        """Record that a target was unreachable, closed the connection or timed out.

        Failures of requests that were in flight at the same time count as one, because
        an ejected target ignores all failures but those of its probes.
        """
        state = self.state(name)
        if state.phase is Phase.EJECTED and not state.probing:
            return
        state.failures += 1
        growth = 2 ** min(state.failures - 1, 10)
        pause_s = min(EJECTION_MAX_S, EJECTION_FIRST_S * growth)
        self._suspend(state, Phase.EJECTED, pause_s)

    def start_probe_if_due(self, name):
        """Return whether a probe is due; the caller must then send it."""
        state = self.state(name)
        suspended = state.phase in (Phase.CLOSED, Phase.EJECTED)
        due = suspended and self._clock.monotonic_s() >= state.next_probe_s
        if not due or state.probing:
            return False
        state.probing = True
        return True

    def record_probe(self, name, ready):
        """Record the result of a probe.

        :param ready: whether the target accepts requests, or None if it did not answer.
        """
        state = self.state(name)
        if ready is None:
            self.record_failure(name)
        elif not ready:
            self._suspend(state, Phase.CLOSED, CLOSED_PROBE_DELAY_S)
        elif state.failures:
            self._enter_phase(state, Phase.TRIAL)
        else:
            self._enter_phase(state, Phase.SERVING)
        state.probing = False

    def is_usable(self, name):
        """Return whether a target may be sent a request now."""
        state = self.state(name)
        if state.phase is Phase.TRIAL:
            return state.in_flight == 0
        return state.phase is Phase.SERVING

    def may_try_unprobed(self, name):
        """Return whether an ejected target may get a trial request without a probe."""
        state = self.state(name)
        return state.phase is Phase.EJECTED and state.in_flight == 0

    def is_replaced(self, name):
        """Return whether a target has failed so often that another one replaces it."""
        state = self.state(name)
        down = state.phase is Phase.EJECTED
        return down and state.failures >= REPLACED_AFTER_FAILURES

    def free_slots(self, name):
        """Return the free slots by a recent load report, or None if there is none."""
        state = self.state(name)
        if not self._is_fresh(state, LOAD_MAX_AGE_S):
            return None
        return state.load.limit - self._occupied(state)

    def is_queue_full(self, name, queue_share=1.0):
        """Return whether a target's queue is full by a recent load report.

        :param queue_share: the fraction of the queue that the request may use.
        """
        state = self.state(name)
        if state.queue_bound is None or not self._is_fresh(state, QUEUE_FULL_MAX_AGE_S):
            return False
        bound = state.load.limit + state.queue_bound * queue_share
        return self._occupied(state) >= bound

    def utilization(self, name):
        """Return the occupied fraction of the slots; 1 or more if none is free."""
        state = self.state(name)
        if self._is_fresh(state, LOAD_MAX_AGE_S):
            return self._occupied(state) / max(1, state.load.limit)
        limit = state.load.limit if state.load else ASSUMED_LIMIT
        return state.in_flight / max(1, limit)

    def retry_after_s(self, names):
        """Return the estimated seconds until one of these targets has a free slot."""
        waits_s = [self._expected_wait_s(self.state(name)) for name in names]
        wait_s = min(waits_s, default=1.0)
        wait_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
        return round(_jittered(wait_s), 3)

    def _expected_wait_s(self, state):
        if state.phase in (Phase.CLOSED, Phase.EJECTED):
            return state.next_probe_s - self._clock.monotonic_s()
        if state.load is None:
            return state.service_time_s
        ahead = max(0, self._occupied(state) - state.load.limit) + 1
        return ahead * state.service_time_s / max(1, state.load.limit)

    def _is_fresh(self, state, age_max_s):
        age_s = self._clock.monotonic_s() - state.reported_at_s
        return state.load is not None and age_s < age_max_s

    def _occupied(self, state):
        load = state.load
        running = max(load.running + state.sent_since_report, state.in_flight)
        return running + load.queued

    def _suspend(self, state, phase, pause_s):
        state.next_probe_s = self._clock.monotonic_s() + _jittered(pause_s)
        self._enter_phase(state, phase)

    def _enter_phase(self, state, phase):
        if state.phase is not phase:
            _PHASES.labels(phase).inc()
        state.phase = phase


def _jittered(duration_s):
    return duration_s * random.uniform(1 - JITTER, 1 + JITTER)
