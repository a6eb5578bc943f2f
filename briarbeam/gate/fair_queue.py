"""The queue of a target: strict priorities, and weighted fair queuing among teams.

Within a priority, the team with the smallest weighted share of the running requests is
served first. Ties are resolved by start-time fair queuing: each ticket gets a virtual
start time, which is the virtual finish time of the team's previous ticket, or the
current virtual time of the queue if that is later.
"""

import itertools
from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class _QueuedTicket:
    ticket: object
    virtual_start: float
    sequence: int


class FairQueue:
    """Tickets that wait for a slot."""

    def __init__(self):
        self._queued = {}
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._finish_times = {}

    def __len__(self):
        return len(self._queued)

    def __iter__(self):
        return iter(list(self._queued))

    def __contains__(self, ticket):
        return ticket in self._queued

    def push(self, ticket):
        """Add a ticket to the queue."""
        virtual_start = max(
            self._virtual_time, self._finish_times.get(ticket.team, 0.0)
        )
        self._finish_times[ticket.team] = virtual_start + 1 / ticket.weight
        self._queued[ticket] = _QueuedTicket(
            ticket, virtual_start, next(self._sequence)
        )

    def pop(self, holders):
        """Remove and return the next ticket.

        :param holders: the tickets that hold a slot now.
        """
        counts = Counter(ticket.team for ticket in holders)
        queued = min(self._queued.values(), key=lambda queued: _rank(queued, counts))
        del self._queued[queued.ticket]
        self._virtual_time = max(self._virtual_time, queued.virtual_start)
        self._discard_idle_teams()
        return queued.ticket

    def remove(self, ticket):
        """Remove a ticket that was not served; do nothing if it is not queued."""
        if self._queued.pop(ticket, None) is None:
            return
        if ticket.team in self._finish_times:
            self._finish_times[ticket.team] -= 1 / ticket.weight
        self._discard_idle_teams()

    def count_ahead_of(self, ticket):
        """Return how many queued tickets could be served before a new `ticket`."""
        return sum(other.priority >= ticket.priority for other in self._queued)

    def find_victim(self, ticket):
        """Return the queued ticket to evict in favour of `ticket`, or None.

        A ticket of lower priority is evicted for one of higher priority. Within a
        priority, a ticket is evicted if its team has more queued tickets, relative to
        its weight, than the team of `ticket` would have.
        """
        counts = Counter(other.team for other in self._queued)
        share = (counts[ticket.team] + 1) / ticket.weight

        def excess(queued):
            other = queued.ticket
            return (-other.priority, counts[other.team] / other.weight, queued.sequence)

        candidates = [
            queued
            for queued in self._queued.values()
            if queued.ticket.priority < ticket.priority
            or (
                queued.ticket.priority == ticket.priority
                and counts[queued.ticket.team] / queued.ticket.weight > share
            )
        ]
        return max(candidates, key=excess).ticket if candidates else None

    def _discard_idle_teams(self):
        if not self._queued:
            self._virtual_time = 0.0
            self._finish_times.clear()
            return
        self._finish_times = {
            team: finish_time
            for team, finish_time in self._finish_times.items()
            if finish_time > self._virtual_time
        }


def _rank(queued, counts):
    ticket = queued.ticket
    share = counts[ticket.team] / ticket.weight
    return (-ticket.priority, share, queued.virtual_start, queued.sequence)
