"""Admission: how much work a target takes, decided in the one place all work passes.

A request first gets a place, of which there are as many as the limit, and then its
turn to be sent. A cold back end has a small limit that grows with each finished
request. A back end may turn cold without a word; therefore no more requests than a
cold one bears are ever on their way without having been seen by the incarnation
that the limit was learnt from.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from gevent.event import Event

from ..kernel.errors import (
    ChangingVersionError,
    DeadlineExpiredError,
    DrainingError,
    OverloadedError,
    UnavailableError,
    UnconfirmedError,
    WithdrawnError,
)
from ..kernel.registry import Registry
from .waiting import FairQueue

closed_reasons = Registry("reason to be closed")
closed_reasons.register("changing")(ChangingVersionError)
closed_reasons.register("leaving")(DrainingError)
closed_reasons.register("out_of_service")(DrainingError)
closed_reasons.register("backend")(UnavailableError)
closed_reasons.register("unconfirmed")(UnconfirmedError)

# A planned stop waits for what holds a place already, so that it cuts nothing.
GRACEFUL_REASONS = frozenset({"leaving"})

RETRY_AFTER_S = 0.5
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 10.0
ARRIVAL_MARGIN_S = 0.05
SERVICE_TIME_SMOOTHING = 0.2


def _never_disconnected():
    return False


@dataclass(eq=False)
class Ticket:
    """One request's way through a target.

    :param deadline_s: monotonic time after which the request must not be sent.
    :param gone: returns whether the caller is gone.
    :param seen: whether the back end's present incarnation is known to have it.
    """

    team: str
    priority: int
    deadline_s: float
    weight: float = 1.0
    caller_disconnected: Callable[[], bool] = _never_disconnected
    refusal: Exception | None = None
    sent_at_s: float | None = None
    acknowledged: bool = False
    epoch: int | None = None
    slot_granted: Event = field(default_factory=Event)
    send_granted: Event = field(default_factory=Event)


@dataclass(frozen=True)
class Load:
    """What a target tells entries about its room."""

    running: int
    limit: int
    queued: int
    cold: bool
    closed: str = ""

    def __str__(self):
        return (
            f"{self.running}/{self.limit}/{self.queued}/{int(self.cold)}/{self.closed}"
        )

    @property
    def has_free_slot(self):
        """Whether a request would not have to wait."""
        return self.running < self.limit and not self.queued

    @classmethod
    def parse(cls, text):
        """Return the load written by ``str``."""
        running, limit, queued, cold, closed = text.split("/")
        return cls(int(running), int(limit), int(queued), cold == "1", closed)


class Admission:
    """Grants places to requests, never more than the back end can bear.

    :param cold_limit: requests that a cold back end bears at once.
    :param warm_limit: the most that is ever granted at once.
    :param queue_max: requests that may wait.
    """

    def __init__(self, clock, cold_limit, warm_limit, queue_max):
        self._clock = clock
        self._cold_limit = cold_limit
        self._warm_limit = max(cold_limit, warm_limit)
        self._queue_max = queue_max
        self._limit = cold_limit
        self._epoch = 0
        self._waiting = FairQueue()
        self._holders = set()
        self._ready = []
        self._started = set()
        self._service_s = None
        self._closed = {"backend": "not yet seen"}
        self._probe_required = False
        self._idle = Event()
        self._idle.set()

    def load(self):
        """Return the present load."""
        closed = next(iter(self._closed), "")
        cold = self._limit < self._warm_limit
        return Load(len(self._holders), self._limit, len(self._waiting), cold, closed)

    def acquire(self, ticket):
        """Return once `ticket` has a place; raise a typed "not run" otherwise.

        :raises OverloadedError: if the queue is full or too slow for the deadline.
        :raises DeadlineExpiredError: if the deadline passes first.
        :raises WithdrawnError: if the caller goes first.
        """
        self._refuse_if_closed()
        self._refuse_if_wait_too_long(ticket)
        self._make_room(ticket)
        self._waiting.push(ticket)
        self._grant()
        self._wait_for_grant(ticket, ticket.slot_granted)

    def start(self, ticket):
        """Return once `ticket` may be sent; raise a typed "not run" otherwise."""
        self.check(ticket)
        self._ready.append(ticket)
        self._grant()
        self._wait_for_grant(ticket, ticket.send_granted)
        self.check(ticket)

    def check(self, ticket):
        """Raise if `ticket` must not be sent now; call it right before the send."""
        try:
            self._refuse_if_closed(GRACEFUL_REASONS)
            self._refuse_if_expired(ticket)
        except Exception:
            self.release(ticket, finished=False)
            raise

    def note_acknowledged(self, ticket, present=True):
        """Note that the back end named itself in its answer to `ticket`.

        :param present: whether it is the incarnation that answers now; a request of
            an earlier one is no load on this one and says nothing about it.
        """
        if ticket.acknowledged:
            return
        ticket.acknowledged = True
        ticket.epoch = self._epoch if present else None
        self._grant()

    def note_probe(self, started_s):
        """Note that the present incarnation answered a probe begun at `started_s`.

        What was sent well before is taken as seen by it.
        """
        for ticket in self._started:
            if (
                not ticket.acknowledged
                and ticket.sent_at_s + ARRIVAL_MARGIN_S <= started_s
            ):
                ticket.acknowledged = True
                ticket.epoch = self._epoch
        self._probe_required = False
        self._grant()

    def release(self, ticket, finished):
        """Give the place back; harmless if there is none.

        :param finished: whether the back end finished the request whole.
        """
        if ticket not in self._holders:
            return
        if finished and ticket in self._started:
            self._record_completion(ticket)
        self._discard(ticket)
        self._grant()

    def reset_limit(self):
        """Start over with the cold limit."""
        self._limit = self._cold_limit
        self._epoch += 1

    def shrink(self):
        """Halve the limit, after the back end refused or fell silent."""
        self._limit = max(self._cold_limit, self._limit // 2)

    def require_probe(self):
        """Send nothing until a probe has shown who is there."""
        self._probe_required = True

    def close(self, reason, detail=""):
        """Take no new work; what was not sent is refused at once."""
        closed_reasons.get(reason)
        self._closed[reason] = detail
        refused = [*self._waiting]
        if reason not in GRACEFUL_REASONS:
            refused += self._ready
        for ticket in refused:
            self._refuse(ticket, self._refusal(reason))

    def open(self, reason):
        """Lift one reason to be closed."""
        self._closed.pop(reason, None)
        self._grant()

    def wait_idle(self, timeout_s):
        """Wait until nothing runs and return whether that is so."""
        return self._idle.wait(timeout_s)

    def sweep(self):
        """Refuse waiting requests that have become pointless; call it often."""
        for ticket in [*self._waiting, *self._ready]:
            try:
                self._refuse_if_expired(ticket)
            except DeadlineExpiredError as error:
                self._refuse(ticket, error)
                continue
            if ticket.caller_disconnected():
                self._refuse(ticket, WithdrawnError("the caller went while queued"))
        self._grant()

    def blocked_on_probe(self):
        """Return whether requests wait for the back end to show who it is."""
        blocked = self._probe_required or self._unacknowledged() >= self._cold_limit
        return bool(self._ready) and blocked

    def retry_after_s(self):
        """Return when a place is likely to be free, by the measured rate."""
        if self._service_s is None:
            return RETRY_AFTER_S
        wait_s = (len(self._waiting) + 1) * self._service_s / self._limit
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))

    def _grant(self):
        """Give out free places, then turns."""
        while self._waiting and not self._closed and self._free_slots():
            ticket = self._waiting.pop(self._holders)
            self._holders.add(ticket)
            self._idle.clear()
            ticket.slot_granted.set()
        while self._ready and self._may_start():
            ticket = max(self._ready, key=lambda ticket: ticket.priority)
            self._ready.remove(ticket)
            self._started.add(ticket)
            ticket.sent_at_s = self._clock.monotonic_s()
            ticket.send_granted.set()

    def _may_start(self):
        return (
            self._closed.keys() <= GRACEFUL_REASONS
            and not self._probe_required
            and len(self._started) < self._limit
            and self._unacknowledged() < self._cold_limit
        )

    def _unacknowledged(self):
        return sum(not ticket.acknowledged for ticket in self._started)

    def _free_slots(self):
        return max(0, self._limit - len(self._holders))

    def _wait_for_grant(self, ticket, event):
        try:
            event.wait()
        except BaseException:
            self._remove(ticket)
            raise
        if ticket.refusal is not None:
            raise ticket.refusal

    def _make_room(self, ticket):
        if len(self._waiting) < self._queue_max + self._free_slots():
            return
        full = OverloadedError(
            "the target's queue is full", retry_after_s=self.retry_after_s()
        )
        victim = self._waiting.victim_of(ticket)
        if victim is None:
            raise full
        self._refuse(victim, full)

    def _refuse(self, ticket, error):
        ticket.refusal = error
        self._remove(ticket)
        ticket.slot_granted.set()
        ticket.send_granted.set()

    def _remove(self, ticket):
        self._waiting.remove(ticket)
        if ticket in self._ready:
            self._ready.remove(ticket)
        if ticket in self._holders:
            self._discard(ticket)
            self._grant()

    def _discard(self, ticket):
        self._holders.discard(ticket)
        self._started.discard(ticket)
        if not self._holders:
            self._idle.set()

    def _record_completion(self, ticket):
        """Take the finished request as a measure of what the back end bears."""
        took_s = self._clock.monotonic_s() - ticket.sent_at_s
        average_s = took_s if self._service_s is None else self._service_s
        self._service_s = average_s + SERVICE_TIME_SMOOTHING * (took_s - average_s)
        if ticket.epoch == self._epoch:
            self._limit = min(self._warm_limit, self._limit + 1)

    def _refuse_if_closed(self, ignored=frozenset()):
        for reason in self._closed:
            if reason not in ignored:
                raise self._refusal(reason)

    def _refuse_if_expired(self, ticket):
        if self._clock.monotonic_s() >= ticket.deadline_s:
            raise DeadlineExpiredError("the deadline passed before the send")

    def _refuse_if_wait_too_long(self, ticket):
        self._refuse_if_expired(ticket)
        if self._free_slots() > len(self._waiting) or self._service_s is None:
            return
        ahead = self._waiting.count_ahead_of(ticket)
        wait_s = (ahead + 1) * self._service_s / self._limit
        end_s = self._clock.monotonic_s() + wait_s + self._service_s
        if end_s > ticket.deadline_s:
            raise OverloadedError(
                f"{wait_s:.2f} s to wait, too long for the deadline",
                retry_after_s=self.retry_after_s(),
            )

    def _refusal(self, reason):
        error = closed_reasons.get(reason)
        message = f"{reason} {self._closed[reason]}".strip()
        return error(message, retry_after_s=RETRY_AFTER_S)
