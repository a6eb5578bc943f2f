"""Admission control: limits the concurrent requests at a target's backend.

All requests to the backend pass through this module. A request first acquires a slot
and then waits for permission to be sent. The limit is the number of slots.
A cold backend has a small limit, which grows with each finished request. A backend
may restart cold without notice. Therefore the number of requests that were sent, but
not yet acknowledged by the incarnation for which the limit was measured, never exceeds
the cold limit.
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
from .fair_queue import FairQueue

closed_reasons = Registry("reason to be closed")
closed_reasons.register("changing")(ChangingVersionError)
closed_reasons.register("leaving")(DrainingError)
closed_reasons.register("out_of_service")(DrainingError)
closed_reasons.register("backend")(UnavailableError)
closed_reasons.register("unconfirmed")(UnconfirmedError)

# A planned stop waits for requests that already hold a slot, so none is cut off.
GRACEFUL_REASONS = frozenset({"leaving"})

RETRY_AFTER_DEFAULT_S = 0.5
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 10.0
ARRIVAL_MARGIN_S = 0.05
SERVICE_TIME_SMOOTHING = 0.2


def _never_disconnected():
    return False


@dataclass(eq=False)
class Ticket:
    """A request waiting for, or holding, a slot of the backend.

    :param deadline_s: monotonic time after which the request must not be sent.
    :param caller_disconnected: function that returns whether the caller has
        disconnected.
    :param refusal: the error to raise in the task that waits for a grant, or None.
    :param sent_at_s: monotonic time at which sending was permitted, or None.
    :param acknowledged: whether it is known which incarnation of the backend received
        the request.
    :param limit_epoch: number of resets of the limit when the request was acknowledged,
        or None if it was not, or by an earlier incarnation.
    """

    team: str
    priority: int
    deadline_s: float
    weight: float = 1.0
    caller_disconnected: Callable[[], bool] = _never_disconnected
    refusal: Exception | None = None
    sent_at_s: float | None = None
    acknowledged: bool = False
    limit_epoch: int | None = None
    slot_granted: Event = field(default_factory=Event)
    send_granted: Event = field(default_factory=Event)


@dataclass(frozen=True)
class Load:
    """The load of a target, as reported to entries.

    :param running: number of requests that hold a slot.
    :param limit: number of slots.
    :param queued: number of requests that wait for a slot.
    :param cold: whether the limit is still below its upper bound.
    :param closed_reason: why the target admits no requests, or "" if it does.
    """

    running: int
    limit: int
    queued: int
    cold: bool
    closed_reason: str = ""

    def __str__(self):
        return (
            f"{self.running}/{self.limit}/{self.queued}/{int(self.cold)}/"
            f"{self.closed_reason}"
        )

    @property
    def has_free_slot(self):
        """Whether a new request would get a slot without waiting."""
        return self.running < self.limit and not self.queued

    @classmethod
    def parse(cls, text):
        """Return the load that ``str()`` wrote as `text`."""
        running, limit, queued, cold, closed_reason = text.split("/")
        return cls(int(running), int(limit), int(queued), cold == "1", closed_reason)


class Admission:
    """Grants slots to requests, up to the limit of the backend.

    :param cold_limit: concurrent requests that a cold backend can handle.
    :param warm_limit: upper bound of the concurrent requests.
    :param queue_max: number of requests that may wait for a slot.
    """

    def __init__(self, clock, cold_limit, warm_limit, queue_max):
        self._clock = clock
        self._cold_limit = cold_limit
        self._warm_limit = max(cold_limit, warm_limit)
        self._queue_max = queue_max
        self._limit = cold_limit
        self._limit_epoch = 0
        self._waiting = FairQueue()
        self._holders = set()
        self._awaiting_send = []
        self._sent = set()
        self._mean_service_time_s = None
        self._closed = {"backend": "has not been probed yet"}
        self._probe_required = False
        self._idle = Event()
        self._idle.set()

    def load(self):
        """Return the current load."""
        closed_reason = next(iter(self._closed), "")
        cold = self._limit < self._warm_limit
        return Load(
            len(self._holders), self._limit, len(self._waiting), cold, closed_reason
        )

    def acquire(self, ticket):
        """Wait until `ticket` holds a slot.

        All errors raised here state that the request was not run.

        :raises OverloadedError: if the queue is full, or the expected wait exceeds the
            deadline.
        :raises DeadlineExpiredError: if the deadline passes first.
        :raises WithdrawnError: if the caller disconnects first.
        """
        self._refuse_if_closed()
        self._refuse_if_wait_too_long(ticket)
        self._make_room(ticket)
        self._waiting.push(ticket)
        self._grant()
        self._wait_for_grant(ticket, ticket.slot_granted)

    def wait_to_send(self, ticket):
        """Wait until `ticket`, which holds a slot, may be sent.

        All errors raised here release the slot and state that the request was not run.
        """
        self.check_before_send(ticket)
        self._awaiting_send.append(ticket)
        self._grant()
        self._wait_for_grant(ticket, ticket.send_granted)
        self.check_before_send(ticket)

    def check_before_send(self, ticket):
        """Release the slot of `ticket` and raise if it must not be sent now.

        Call this right before the send.
        """
        try:
            self._refuse_if_closed(GRACEFUL_REASONS)
            self._refuse_if_expired(ticket)
        except Exception:
            self.release(ticket, finished=False)
            raise

    def record_acknowledgement(self, ticket, is_current=True):
        """Record that the backend sent its incarnation in its answer to `ticket`.

        :param is_current: whether that is the current incarnation. A request of an
            earlier one is no load on the current one, and its completion says nothing
            about the capacity of the current one.
        """
        if ticket.acknowledged:
            return
        ticket.acknowledged = True
        ticket.limit_epoch = self._limit_epoch if is_current else None
        self._grant()

    def record_probe(self, started_s):
        """Record that the current incarnation answered a probe begun at `started_s`.

        Requests sent at least `ARRIVAL_MARGIN_S` earlier count as acknowledged by it.
        """
        for ticket in self._sent:
            if (
                not ticket.acknowledged
                and ticket.sent_at_s + ARRIVAL_MARGIN_S <= started_s
            ):
                ticket.acknowledged = True
                ticket.limit_epoch = self._limit_epoch
        self._probe_required = False
        self._grant()

    def release(self, ticket, finished):
        """Release the slot of `ticket`; do nothing if it holds none.

        :param finished: whether the backend completed the request. Only then does the
            request count for the mean service time and the growth of the limit.
        """
        if ticket not in self._holders:
            return
        if finished and ticket in self._sent:
            self._record_completion(ticket)
        self._remove_holder(ticket)
        self._grant()

    def reset_limit(self):
        """Return to the cold limit, as after a restart of the backend."""
        self._limit = self._cold_limit
        self._limit_epoch += 1

    def shrink(self):
        """Halve the limit, after the backend refused a request or did not respond."""
        self._limit = max(self._cold_limit, self._limit // 2)

    def require_probe(self):
        """Send nothing until a probe has confirmed the backend's incarnation."""
        self._probe_required = True

    def close(self, reason, detail=""):
        """Admit no new requests and refuse at once those that were not sent yet.

        For a reason in `GRACEFUL_REASONS`, requests that hold a slot are still sent.

        :param reason: one of `closed_reasons`; several may apply at the same time.
        """
        closed_reasons.get(reason)
        self._closed[reason] = detail
        refused = [*self._waiting]
        if reason not in GRACEFUL_REASONS:
            refused += self._awaiting_send
        for ticket in refused:
            self._refuse(ticket, self._refusal(reason))

    def open(self, reason):
        """Remove one reason to be closed."""
        self._closed.pop(reason, None)
        self._grant()

    def wait_idle(self, timeout_s):
        """Wait until no request holds a slot; return False if that timed out."""
        return self._idle.wait(timeout_s)

    def sweep(self):
        """Refuse waiting requests whose deadline passed or whose caller disconnected.

        Call this periodically.
        """
        for ticket in [*self._waiting, *self._awaiting_send]:
            try:
                self._refuse_if_expired(ticket)
            except DeadlineExpiredError as error:
                self._refuse(ticket, error)
                continue
            if ticket.caller_disconnected():
                self._refuse(
                    ticket, WithdrawnError("the caller disconnected while queued")
                )
        self._grant()

    def blocked_on_probe(self):
        """Return whether requests are held back until the backend answers a probe."""
        blocked = self._probe_required or self._unacknowledged() >= self._cold_limit
        return bool(self._awaiting_send) and blocked

    def retry_after_s(self):
        """Return the estimated seconds until a slot is free."""
        if self._mean_service_time_s is None:
            return RETRY_AFTER_DEFAULT_S
        wait_s = (len(self._waiting) + 1) * self._mean_service_time_s / self._limit
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))

    def _grant(self):
        """Grant free slots to waiting requests, then permission to send."""
        while self._waiting and not self._closed and self._free_slot_count():
            ticket = self._waiting.pop(self._holders)
            self._holders.add(ticket)
            self._idle.clear()
            ticket.slot_granted.set()
        while self._awaiting_send and self._may_send():
            ticket = max(self._awaiting_send, key=lambda ticket: ticket.priority)
            self._awaiting_send.remove(ticket)
            self._sent.add(ticket)
            ticket.sent_at_s = self._clock.monotonic_s()
            ticket.send_granted.set()

    def _may_send(self):
        return (
            self._closed.keys() <= GRACEFUL_REASONS
            and not self._probe_required
            and len(self._sent) < self._limit
            and self._unacknowledged() < self._cold_limit
        )

    def _unacknowledged(self):
        return sum(not ticket.acknowledged for ticket in self._sent)

    def _free_slot_count(self):
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
        """Refuse a queued request in favour of `ticket` if the queue is full.

        :raises OverloadedError: if the queue is full and no request may be evicted.
        """
        if len(self._waiting) < self._queue_max + self._free_slot_count():
            return
        full = OverloadedError(
            "the target's queue is full", retry_after_s=self.retry_after_s()
        )
        victim = self._waiting.find_victim(ticket)
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
        if ticket in self._awaiting_send:
            self._awaiting_send.remove(ticket)
        if ticket in self._holders:
            self._remove_holder(ticket)
            self._grant()

    def _remove_holder(self, ticket):
        self._holders.discard(ticket)
        self._sent.discard(ticket)
        if not self._holders:
            self._idle.set()

    def _record_completion(self, ticket):
        """Update the mean service time and the limit after a completed request."""
        took_s = self._clock.monotonic_s() - ticket.sent_at_s
        mean_s = (
            took_s if self._mean_service_time_s is None else self._mean_service_time_s
        )
        self._mean_service_time_s = mean_s + SERVICE_TIME_SMOOTHING * (took_s - mean_s)
        if ticket.limit_epoch == self._limit_epoch:
            self._limit = min(self._warm_limit, self._limit + 1)

    def _refuse_if_closed(self, ignored=frozenset()):
        for reason in self._closed:
            if reason not in ignored:
                raise self._refusal(reason)

    def _refuse_if_expired(self, ticket):
        if self._clock.monotonic_s() >= ticket.deadline_s:
            raise DeadlineExpiredError(
                "the deadline passed before the request was sent"
            )

    def _refuse_if_wait_too_long(self, ticket):
        self._refuse_if_expired(ticket)
        if (
            self._free_slot_count() > len(self._waiting)
            or self._mean_service_time_s is None
        ):
            return
        ahead = self._waiting.count_ahead_of(ticket)
        wait_s = (ahead + 1) * self._mean_service_time_s / self._limit
        end_s = self._clock.monotonic_s() + wait_s + self._mean_service_time_s
        if end_s > ticket.deadline_s:
            raise OverloadedError(
                f"expected wait of {wait_s:.2f} s is too long for the deadline",
                retry_after_s=self.retry_after_s(),
            )

    def _refusal(self, reason):
        error = closed_reasons.get(reason)
        message = f"the target is closed: {reason} {self._closed[reason]}".strip()
        return error(message, retry_after_s=RETRY_AFTER_DEFAULT_S)
