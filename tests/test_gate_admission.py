"""Admission never grants more than the back end bears, and loses no request."""

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
FAR_S = 1000.0
TEAMS = ("large", "small", "other")


class _Backend:
    """A back end that turns cold without a word and bears little then."""

    def __init__(self):
        self.incarnation = 0
        self.running = {}
        self.bearable = COLD
        self.over_limit = 0

    def restart(self):
        self.incarnation += 1
        self.running = {}
        self.bearable = COLD

    def take(self, ticket):
        self.running[ticket] = self.incarnation
        self.over_limit += len(self.running) > self.bearable

    def finish(self, ticket):
        if self.running.pop(ticket, None) is None:
            return False
        self.bearable = min(WARM, self.bearable + 1)
        return True


class _Request:
    """A request driven by a greenlet of its own, as the gate's server does it."""

    def __init__(self, machine, ticket):
        self.machine = machine
        self.ticket = ticket
        self.state = "entering"
        self.error = None
        self.grants = 0
        self.task = gevent.spawn(self._run)

    def _run(self):
        admission = self.machine.admission
        try:
            admission.acquire(self.ticket)
            self.state = "placed"
            admission.start(self.ticket)
        except BriarbeamError as error:
            self.state, self.error = "refused", error
            return
        self.grants += 1
        self.state = "on the way"


class AdmissionMachine(RuleBasedStateMachine):
    """Requests come, are seen, finish or break; the back end turns cold unseen."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.admission = Admission(self.clock, COLD, WARM, QUEUE)
        self.admission.open("backend")
        self.backend = _Backend()
        self.known = 0
        self.requests = []

    def _in(self, *states):
        return [request for request in self.requests if request.state in states]

    def _pick(self, index, *states):
        found = self._in(*states)
        return found[index % len(found)] if found else None

    def _settle(self):
        gevent.sleep(0)
        gevent.sleep(0)

    def _note(self, incarnation):
        if incarnation != self.known:
            self.known = incarnation
            self.admission.reset_limit()

    @rule(
        team=st.sampled_from(TEAMS),
        priority=st.integers(0, 2),
        wait_s=st.sampled_from([0.5, 5.0, FAR_S]),
        count=st.integers(1, 4),
    )
    def come(self, team, priority, wait_s, count):
        for _ in range(count):
            ticket = Ticket(team, priority, self.clock.monotonic_s() + wait_s)
            self.requests.append(_Request(self, ticket))
        self._settle()

    @rule(index=st.integers(0, 20))
    def arrive(self, index):
        request = self._pick(index, "on the way")
        if request is not None:
            self.backend.take(request.ticket)
            request.state = "running"

    @rule(index=st.integers(0, 20))
    def name_itself(self, index):
        request = self._pick(index, "running")
        if request is None:
            return
        incarnation = self.backend.running.get(request.ticket)
        if incarnation is None:
            return
        self._note(incarnation)
        self.admission.note_acknowledged(request.ticket)
        self._settle()

    @rule(index=st.integers(0, 20))
    def finish(self, index):
        request = self._pick(index, "running")
        if request is None:
            return
        incarnation = self.backend.running.get(request.ticket)
        if incarnation is not None:
            self._note(incarnation)
            self.admission.note_acknowledged(request.ticket)
        whole = self.backend.finish(request.ticket)
        if not whole:
            self.admission.require_probe()
        self.admission.release(request.ticket, finished=whole)
        request.state = "ended"
        self._settle()

    @rule()
    def restart_silently(self):
        self.backend.restart()

    @rule()
    def probe(self):
        """All that was sent before has arrived by the time of a later probe."""
        for request in self._in("on the way"):
            self.backend.take(request.ticket)
            request.state = "running"
        self.clock.advance(ARRIVAL_MARGIN_S * 2)
        known = self.known == self.backend.incarnation
        self._note(self.backend.incarnation)
        if known:
            self.admission.note_probe(self.clock.monotonic_s())
        self._settle()

    @rule(duration_s=st.sampled_from([0.01, 0.6, 6.0]))
    def wait(self, duration_s):
        self.clock.advance(duration_s)
        self.admission.sweep()
        self._settle()

    @rule(index=st.integers(0, 20))
    def caller_goes(self, index):
        request = self._pick(index, "entering", "placed")
        if request is not None:
            request.ticket.caller_disconnected = lambda: True
            self.admission.sweep()
            self._settle()
            assert isinstance(request.error, WithdrawnError | DeadlineExpiredError)

    @rule(reason=st.sampled_from(["changing", "out_of_service", "unconfirmed"]))
    def close(self, reason):
        self.admission.close(reason)
        self._settle()
        assert not self._in("entering", "placed")

    @rule(reason=st.sampled_from(["changing", "out_of_service", "unconfirmed"]))
    def open(self, reason):
        self.admission.open(reason)
        self._settle()

    @precondition(lambda self: self.requests)
    @rule()
    def end_all(self):
        """Everything that began comes to an end, and no place is lost."""
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
            self._settle()
        assert not self._in("entering", "placed", "on the way", "running")
        assert self.admission.wait_idle(0)
        self.requests.clear()

    @invariant()
    def never_over_limit(self):
        assert self.backend.over_limit == 0

    @invariant()
    def granted_once(self):
        assert all(request.grants <= 1 for request in self.requests)

    @invariant()
    def places_are_those_of_live_requests(self):
        load = self.admission.load()
        live = self._in("placed", "on the way", "running")
        assert load.running == len(live)
        assert load.queued == len(self._in("entering"))
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
    """Return an admission that has learnt its limit and its service time."""
    admission = Admission(clock, COLD, limit, queue_max)
    admission.open("backend")
    while admission.load().cold:
        ticket = Ticket("warm-up", 0, clock.monotonic_s() + FAR_S)
        admission.acquire(ticket)
        admission.start(ticket)
        admission.note_acknowledged(ticket)
        clock.advance(service_s)
        admission.release(ticket, finished=True)
    return admission


def _enter(admission, clock, team="default", priority=0, wait_s=FAR_S, **more):
    """Enter in a greenlet and return the ticket with its greenlet."""
    ticket = Ticket(team, priority, clock.monotonic_s() + wait_s, **more)

    def run():
        try:
            admission.acquire(ticket)
            admission.start(ticket)
            admission.note_acknowledged(ticket)
        except BriarbeamError as error:
            ticket.refusal = error

    gevent.spawn(run)
    gevent.sleep(0)
    gevent.sleep(0)
    return ticket


def test_small_team_passes_the_queue_of_a_large_one():
    clock = ManualClock()
    admission = _warm(clock, queue_max=20)
    running = [_enter(admission, clock, "large") for _ in range(WARM)]
    for _ in range(10):
        _enter(admission, clock, "large")
    small = _enter(admission, clock, "small")
    admission.release(running[0], finished=True)
    assert small.slot_granted.is_set()


def test_weight_is_the_share_of_places():
    clock = ManualClock()
    admission = _warm(clock, queue_max=40)
    running = [_enter(admission, clock, "other") for _ in range(WARM)]
    heavy = [_enter(admission, clock, "heavy", weight=2.0) for _ in range(10)]
    light = [_enter(admission, clock, "light", weight=1.0) for _ in range(10)]
    for ticket in running:
        admission.release(ticket, finished=True)
    gevent.sleep(0)
    assert sum(ticket.slot_granted.is_set() for ticket in heavy) == 4
    assert sum(ticket.slot_granted.is_set() for ticket in light) == 2


def test_higher_priority_displaces_the_lowest_at_once():
    clock = ManualClock()
    admission = _warm(clock)
    for _ in range(WARM):
        _enter(admission, clock)
    queued = [_enter(admission, clock, priority=1) for _ in range(QUEUE - 1)]
    low = _enter(admission, clock, priority=0)
    high = _enter(admission, clock, priority=2)
    assert isinstance(low.refusal, OverloadedError)
    assert low.refusal.retry_after_s > 0
    assert high.refusal is None
    assert all(ticket.refusal is None for ticket in queued)


def test_full_queue_gives_way_to_the_team_with_less_of_it():
    clock = ManualClock()
    admission = _warm(clock)
    for _ in range(WARM):
        _enter(admission, clock, "large")
    queued = [_enter(admission, clock, "large") for _ in range(QUEUE)]
    small = _enter(admission, clock, "small")
    assert small.refusal is None
    assert isinstance(queued[-1].refusal, OverloadedError)
    late = _enter(admission, clock, "large")
    assert isinstance(late.refusal, OverloadedError)


def test_deadline_that_cannot_be_met_is_refused_at_once():
    clock = ManualClock()
    admission = _warm(clock, service_s=1.0)
    running = [_enter(admission, clock, wait_s=1.5) for _ in range(WARM)]
    assert all(ticket.refusal is None for ticket in running)
    hopeless = _enter(admission, clock, wait_s=1.0)
    assert isinstance(hopeless.refusal, OverloadedError)
    assert clock.monotonic_s() < hopeless.deadline_s
    patient = _enter(admission, clock, wait_s=5.0)
    assert patient.refusal is None


def test_limit_shrinks_on_trouble_and_not_below_the_cold_one():
    clock = ManualClock()
    admission = _warm(clock)
    admission.shrink()
    assert admission.load().limit == WARM // 2
    admission.shrink()
    admission.shrink()
    assert admission.load().limit == COLD


def test_work_of_an_earlier_incarnation_does_not_warm_the_present_one():
    clock = ManualClock()
    admission = _warm(clock)
    old = [_enter(admission, clock) for _ in range(WARM)]
    admission.reset_limit()
    for ticket in old:
        admission.release(ticket, finished=True)
    assert admission.load().limit == COLD


def test_wait_that_is_killed_leaves_no_place_behind():
    clock = ManualClock()
    admission = _warm(clock, limit=COLD)
    running = [_enter(admission, clock) for _ in range(COLD)]
    waiting = gevent.spawn(admission.acquire, Ticket("default", 0, FAR_S * 2))
    gevent.sleep(0)
    assert admission.load().queued == 1
    waiting.kill()
    assert admission.load().queued == 0
    for ticket in running:
        admission.release(ticket, finished=True)
    assert admission.wait_idle(0)


def test_planned_stop_serves_what_holds_a_place():
    clock = ManualClock()
    admission = _warm(clock, limit=COLD)
    slot_granted = [Ticket("default", 0, FAR_S * 2) for _ in range(COLD)]
    for ticket in slot_granted:
        admission.acquire(ticket)
    queued = _enter(admission, clock)
    admission.close("leaving")
    assert queued.refusal.ran is Ran.NO
    for ticket in slot_granted:
        admission.start(ticket)
        admission.release(ticket, finished=True)
    late = _enter(admission, clock)
    assert late.refusal.code == "draining"
    assert admission.wait_idle(0)
