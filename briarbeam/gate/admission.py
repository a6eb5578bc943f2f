"""Admission: how much work a target takes, decided in the one place all work passes.

A cold back end gets a small limit that grows with each finished request. Waiting
requests are served by priority, then by each team's share.
"""

import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from gevent.event import Event

from ..kernel.errors import (
    ChangingVersionError,
    DeadlineExpiredError,
    DrainingError,
    OverloadedError,
    UnavailableError,
)
from ..kernel.registry import Registry

closed_reasons = Registry("reason to be closed")
closed_reasons.register("changing")(ChangingVersionError)
closed_reasons.register("leaving")(DrainingError)
closed_reasons.register("out_of_service")(DrainingError)
closed_reasons.register("backend")(UnavailableError)

RETRY_AFTER_S = 0.5


@dataclass(eq=False)
class Ticket:
    """One request's place in a target.

    :param deadline_s: monotonic time after which the request must not be sent.
    """

    team: str
    priority: int
    deadline_s: float
    weight: float = 1.0
    granted: Event = field(default_factory=Event)
    refusal: Exception | None = None


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
        self._warm_limit = warm_limit
        self._queue_max = queue_max
        self._limit = cold_limit
        self._running = set()
        self._waiting = []
        self._served = defaultdict(float)
        self._order = itertools.count()
        self._closed = {"backend": "not yet seen"}
        self._idle = Event()
        self._idle.set()

    def load(self):
        """Return the present load."""
        closed = next(iter(self._closed), "")
        cold = self._limit < self._warm_limit
        running = len(self._running)
        return Load(running, self._limit, len(self._waiting), cold, closed)

    def enter(self, ticket):
        """Return once `ticket` has a place; raise a typed "not run" otherwise.

        :raises OverloadedError: if the queue is full.
        :raises DeadlineExpiredError: if the deadline passes first.
        """
        self._refuse_if_closed()
        if len(self._waiting) >= self._queue_max + self._free_places():
            raise OverloadedError(
                "the target's queue is full", retry_after_s=RETRY_AFTER_S
            )
        self._waiting.append((next(self._order), ticket))
        self._grant()
        remaining_s = ticket.deadline_s - self._clock.monotonic_s()
        ticket.granted.wait(max(0.0, remaining_s))
        if ticket.refusal is not None:
            raise ticket.refusal
        if ticket not in self._running:
            self._forget(ticket)
            raise DeadlineExpiredError("no place became free before the deadline")
        self.check(ticket)

    def check(self, ticket):
        """Raise if `ticket` must not be sent now; call it right before the send."""
        try:
            self._refuse_if_closed()
            if self._clock.monotonic_s() >= ticket.deadline_s:
                raise DeadlineExpiredError("the deadline passed before the send")
        except Exception:
            self.leave(ticket, finished=False)
            raise

    def leave(self, ticket, finished):
        """Give the place back.

        :param finished: whether the back end finished the request whole.
        """
        if ticket not in self._running:
            return
        self._running.discard(ticket)
        if finished:
            self._limit = min(self._warm_limit, self._limit + 1)
        if not self._running:
            self._idle.set()
        self._grant()

    def turn_cold(self):
        """Start over with the cold limit."""
        self._limit = self._cold_limit

    def close(self, reason, detail=""):
        """Take no new work; waiting requests are refused at once."""
        closed_reasons.get(reason)
        self._closed[reason] = detail
        refused, self._waiting = self._waiting, []
        for _, ticket in refused:
            ticket.refusal = self._refusal()
            ticket.granted.set()

    def open(self, reason):
        """Lift one reason to be closed."""
        self._closed.pop(reason, None)
        self._grant()

    def wait_idle(self, timeout_s):
        """Wait until nothing runs and return whether that is so."""
        return self._idle.wait(timeout_s)

    def _free_places(self):
        return max(0, self._limit - len(self._running))

    def _refuse_if_closed(self):
        if self._closed:
            raise self._refusal()

    def _refusal(self):
        reason, detail = next(iter(self._closed.items()))
        error = closed_reasons.get(reason)
        return error(f"{reason} {detail}".strip(), retry_after_s=RETRY_AFTER_S)

    def _grant(self):
        while self._waiting and self._free_places() and not self._closed:
            place = min(self._waiting, key=self._rank)
            self._waiting.remove(place)
            ticket = place[1]
            self._served[ticket.team] += 1 / ticket.weight
            self._running.add(ticket)
            self._idle.clear()
            ticket.granted.set()

    def _rank(self, place):
        order, ticket = place
        running = Counter(other.team for other in self._running)
        share = running[ticket.team] / ticket.weight
        return (-ticket.priority, share, self._served[ticket.team], order)

    def _forget(self, ticket):
        self._waiting = [place for place in self._waiting if place[1] is not ticket]
