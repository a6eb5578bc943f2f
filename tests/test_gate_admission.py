"""Admission never exceeds the capacity of the backend, and loses no request."""

import gevent
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from briarbeam.gate.admission import ARRIVAL_MARGIN_S, Admission, Ticket
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import (
    BriarbeamError,
    DeadlineExpiredError,
    OverloadedError,
    Ran,
    WithdrawnError,
)

COLD, WARM, QUEUE = 2, 6, 4
LONG_S = 1000.0
TEAMS = ("large", "small", "other")


class _Backend:
    """A backend that may restart cold without notice, with little capacity then."""

    def __init__(self):
        self.incarnation = 0
        self.running = {}
        self.capacity = COLD
        self.over_limit = 0

    def restart(self):
        self.incarnation += 1
        self.running = {}
        self.capacity = COLD

    def take(self, ticket):
        self.running[ticket] = self.incarnation
        self.over_limit += len(self.running) > self.capacity

    def finish(self, ticket):
        if self.running.pop(ticket, None) is None:
            return False
        self.capacity = min(WARM, self.capacity + 1)
        return True


class _Request:
    """A request handled in its own greenlet, as by the gate's server."""

    def __init__(self, machine, ticket):
        self.machine = machine
        self.ticket = ticket
        self.state = "waiting"
        self.error = None
        self.grants = 0
        self.task = gevent.spawn(self._run)

    def _run(self):
        admission = self.machine.admission
        try:
            admission.acquire(self.ticket)
            self.state = "granted"
            admission.wait_to_send(self.ticket)
        except BriarbeamError as error:
            self.state, self.error = "refused", error
            return
        self.grants += 1
        self.state = "sent"


class AdmissionMachine(RuleBasedStateMachine):
    """Requests arrive, are acknowledged, finish or fail; the backend restarts cold."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.admission = Admission(self.clock, COLD, WARM, QUEUE)
        self.admission.open("backend")
        self.backend = _Backend()
        self.known_incarnation = 0
        self.requests = []

    def _in(self, *states):
        return [request for request in self.requests if request.state in states]

    def _pick(self, index, *states):
        found = self._in(*states)
        return found[index % len(found)] if found else None

    def _yield_to_tasks(self):
        """Let all tasks run until none is ready any more.

        Each task that gives up its turn costs one, so their number bounds the turns.
        """
        for _ in range(len(self.requests) + 2):
            gevent.sleep(0)

    def _record_incarnation(self, incarnation):
        if incarnation != self.known_incarnation:
            self.known_incarnation = incarnation
            self.admission.reset_limit()

    @rule(
        team=st.sampled_from(TEAMS),
        priority=st.integers(0, 2),
        wait_s=st.sampled_from([0.5, 5.0, LONG_S]),
        count=st.integers(1, 4),
    )
    def new_requests(self, team, priority, wait_s, count):
        for _ in range(count):
            ticket = Ticket(team, priority, self.clock.monotonic_s() + wait_s)
            self.requests.append(_Request(self, ticket))
        self._yield_to_tasks()

    @rule(index=st.integers(0, 20))
    def arrive(self, index):
        request = self._pick(index, "sent")
        if request is not None:
            self.backend.take(request.ticket)
            request.state = "running"

    @rule(index=st.integers(0, 20))
    def acknowledge(self, index):
        request = self._pick(index, "running")
        if request is None:
            return
        incarnation = self.backend.running.get(request.ticket)
        if incarnation is None:
            return
        self._record_incarnation(incarnation)
        self.admission.record_acknowledgement(request.ticket)
        self._yield_to_tasks()

    @rule(index=st.integers(0, 20))
    def finish(self, index):
        request = self._pick(index, "running")
        if request is None:
            return
        incarnation = self.backend.running.get(request.ticket)
        if incarnation is not None:
            self._record_incarnation(incarnation)
            self.admission.record_acknowledgement(request.ticket)
        completed = self.backend.finish(request.ticket)
        if not completed:
            self.admission.require_probe()
        self.admission.release(request.ticket, finished=completed)
        request.state = "ended"
        self._yield_to_tasks()

    @rule()
    def restart_silently(self):
        self.backend.restart()

    @rule()
    def probe(self):
        """Probe the backend, after all requests sent before have arrived."""
        for request in self._in("sent"):
            self.backend.take(request.ticket)
            request.state = "running"
        self.clock.advance(ARRIVAL_MARGIN_S * 2)
        known = self.known_incarnation == self.backend.incarnation
        self._record_incarnation(self.backend.incarnation)
        if known:
            self.admission.record_probe(self.clock.monotonic_s())
        self._yield_to_tasks()

    @rule(duration_s=st.sampled_from([0.01, 0.6, 6.0]))
    def wait(self, duration_s):
        self.clock.advance(duration_s)
        self.admission.sweep()
        self._yield_to_tasks()

    @rule(index=st.integers(0, 20))
    def caller_disconnects(self, index):
        request = self._pick(index, "waiting", "granted")
        if request is not None:
            request.ticket.caller_disconnected = lambda: True
            self.admission.sweep()
            self._yield_to_tasks()
            assert isinstance(request.error, WithdrawnError | DeadlineExpiredError)

    @rule(reason=st.sampled_from(["changing", "out_of_service", "unconfirmed"]))
    def close(self, reason):
        self.admission.close(reason)
        self._yield_to_tasks()
        assert not self._in("waiting", "granted")

    @rule(reason=st.sampled_from(["changing", "out_of_service", "unconfirmed"]))
    def open(self, reason):
        self.admission.open(reason)
        self._yield_to_tasks()

    @precondition(lambda self: self.requests)
    @rule()
    def end_all(self):
        """End all requests and check that no slot is lost."""
        for reason in ("changing", "out_of_service", "unconfirmed"):
            self.admission.open(reason)
        for _ in range(len(self.requests) + 1):
            self.probe()
            self.probe()
            for request in self._in("running"):
                if self.backend.finish(request.ticket):
                    self.admission.release(request.ticket, finished=True)
                else:
                    self.admission.release(request.ticket, finished=False)
                request.state = "ended"
            self.admission.sweep()
            self._yield_to_tasks()
        assert not self._in("waiting", "granted", "sent", "running")
        assert self.admission.wait_idle(0)
        self.requests.clear()

    @invariant()
    def never_over_limit(self):
        assert self.backend.over_limit == 0

    @invariant()
    def granted_once(self):
        assert all(request.grants <= 1 for request in self.requests)

    @invariant()
    def slots_belong_to_live_requests(self):
        load = self.admission.load()
        live = self._in("granted", "sent", "running")
        assert load.running == len(live)
        assert load.queued == len(self._in("waiting"))
        assert load.queued <= QUEUE

    @invariant()
    def refusals_say_not_run(self):
        assert all(
            request.error.ran is Ran.NO and request.grants == 0
            for request in self._in("refused")
        )


AdmissionMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)
TestAdmission = AdmissionMachine.TestCase


def _warm(clock, limit=WARM, queue_max=QUEUE, service_s=1.0):
    """Return a warm admission, with a measured service time."""
    admission = Admission(clock, COLD, limit, queue_max)
    admission.open("backend")
    while admission.load().cold:
        ticket = Ticket("warm-up", 0, clock.monotonic_s() + LONG_S)
        admission.acquire(ticket)
        admission.wait_to_send(ticket)
        admission.record_acknowledgement(ticket)
        clock.advance(service_s)
        admission.release(ticket, finished=True)
    return admission


def _spawn_request(admission, clock, team="default", priority=0, wait_s=LONG_S, **more):
    """Acquire a slot and wait to send in a new greenlet; return the ticket."""
    ticket = Ticket(team, priority, clock.monotonic_s() + wait_s, **more)

    def run():
        try:
            admission.acquire(ticket)
            admission.wait_to_send(ticket)
            admission.record_acknowledgement(ticket)
        except BriarbeamError as error:
            ticket.refusal = error

    gevent.spawn(run)
    gevent.sleep(0)
    gevent.sleep(0)
    return ticket


def test_small_team_is_served_before_the_queue_of_a_large_one():
    clock = ManualClock()
    admission = _warm(clock, queue_max=20)
    running = [_spawn_request(admission, clock, "large") for _ in range(WARM)]
    for _ in range(10):
        _spawn_request(admission, clock, "large")
    small = _spawn_request(admission, clock, "small")
    admission.release(running[0], finished=True)
    assert small.slot_granted.is_set()


def test_slots_are_shared_by_weight():
    clock = ManualClock()
    admission = _warm(clock, queue_max=40)
    running = [_spawn_request(admission, clock, "other") for _ in range(WARM)]
    heavy = [_spawn_request(admission, clock, "heavy", weight=2.0) for _ in range(10)]
    light = [_spawn_request(admission, clock, "light", weight=1.0) for _ in range(10)]
    for ticket in running:
        admission.release(ticket, finished=True)
    gevent.sleep(0)
    assert sum(ticket.slot_granted.is_set() for ticket in heavy) == 4
    assert sum(ticket.slot_granted.is_set() for ticket in light) == 2


def test_higher_priority_displaces_the_lowest_at_once():
    clock = ManualClock()
    admission = _warm(clock)
    for _ in range(WARM):
        _spawn_request(admission, clock)
    queued = [_spawn_request(admission, clock, priority=1) for _ in range(QUEUE - 1)]
    low = _spawn_request(admission, clock, priority=0)
    high = _spawn_request(admission, clock, priority=2)
    assert isinstance(low.refusal, OverloadedError)
    assert low.refusal.retry_after_s > 0
    assert high.refusal is None
    assert all(ticket.refusal is None for ticket in queued)


def test_full_queue_evicts_for_the_team_with_fewer_tickets():
    clock = ManualClock()
    admission = _warm(clock)
    for _ in range(WARM):
        _spawn_request(admission, clock, "large")
    queued = [_spawn_request(admission, clock, "large") for _ in range(QUEUE)]
    small = _spawn_request(admission, clock, "small")
    assert small.refusal is None
    assert isinstance(queued[-1].refusal, OverloadedError)
    late = _spawn_request(admission, clock, "large")
    assert isinstance(late.refusal, OverloadedError)


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    clock = ManualClock()
    admission = _warm(clock, service_s=1.0)
    running = [_spawn_request(admission, clock, wait_s=1.5) for _ in range(WARM)]
    assert all(ticket.refusal is None for ticket in running)
    too_late = _spawn_request(admission, clock, wait_s=1.0)
    assert isinstance(too_late.refusal, OverloadedError)
    assert clock.monotonic_s() < too_late.deadline_s
    waiting = _spawn_request(admission, clock, wait_s=5.0)
    assert waiting.refusal is None


def test_limit_shrinks_but_not_below_the_cold_limit():
    clock = ManualClock()
    admission = _warm(clock)
    admission.shrink()
    assert admission.load().limit == WARM // 2
    admission.shrink()
    admission.shrink()
    assert admission.load().limit == COLD


def test_requests_of_an_earlier_incarnation_do_not_raise_the_limit():
    clock = ManualClock()
    admission = _warm(clock)
    old = [_spawn_request(admission, clock) for _ in range(WARM)]
    admission.reset_limit()
    for ticket in old:
        admission.release(ticket, finished=True)
    assert admission.load().limit == COLD


def test_killed_wait_leaves_the_queue():
    clock = ManualClock()
    admission = _warm(clock, limit=COLD)
    running = [_spawn_request(admission, clock) for _ in range(COLD)]
    waiting = gevent.spawn(admission.acquire, Ticket("default", 0, LONG_S * 2))
    gevent.sleep(0)
    assert admission.load().queued == 1
    waiting.kill()
    assert admission.load().queued == 0
    for ticket in running:
        admission.release(ticket, finished=True)
    assert admission.wait_idle(0)


def test_planned_stop_serves_requests_that_hold_a_slot():
    clock = ManualClock()
    admission = _warm(clock, limit=COLD)
    holders = [Ticket("default", 0, LONG_S * 2) for _ in range(COLD)]
    for ticket in holders:
        admission.acquire(ticket)
    queued = _spawn_request(admission, clock)
    admission.close("leaving")
    assert queued.refusal.ran is Ran.NO
    for ticket in holders:
        admission.wait_to_send(ticket)
        admission.release(ticket, finished=True)
    late = _spawn_request(admission, clock)
    assert late.refusal.code == "draining"
    assert admission.wait_idle(0)
