"""The queue before a target: strict by priority, weighted fair among teams.

Within a priority the team with the smallest share of the running work comes first,
and among equals start-time fair queuing decides: each ticket gets a virtual start
time, and a team's next ticket starts where its last one ended.
"""

import itertools
from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class _Place:
    ticket: object
    start: float
    order: int


class FairQueue:
    """Tickets that wait for a place."""

    def __init__(self):
        self._places = {}
        self._order = itertools.count()
        self._virtual = 0.0
        self._ends = {}

    def __len__(self):
        return len(self._places)

    def __iter__(self):
        return iter(list(self._places))

    def __contains__(self, ticket):
        return ticket in self._places

    def push(self, ticket):
        """Add a ticket."""
        start = max(self._virtual, self._ends.get(ticket.team, 0.0))
        self._ends[ticket.team] = start + 1 / ticket.weight
        self._places[ticket] = _Place(ticket, start, next(self._order))

    def pop(self, running):
        """Remove and return the ticket whose turn it is.

        :param running: the tickets that run now.
        """
        counts = Counter(ticket.team for ticket in running)
        place = min(self._places.values(), key=lambda place: _rank(place, counts))
        del self._places[place.ticket]
        self._virtual = max(self._virtual, place.start)
        self._forget_idle_teams()
        return place.ticket

    def remove(self, ticket):
        """Remove a ticket that was not served, if it is there."""
        if self._places.pop(ticket, None) is None:
            return
        if ticket.team in self._ends:
            self._ends[ticket.team] -= 1 / ticket.weight
        self._forget_idle_teams()

    def ahead_of(self, ticket):
        """Return how many waiting tickets a newcomer would have to let pass."""
        return sum(other.priority >= ticket.priority for other in self._places)

    def victim_of(self, ticket):
        """Return the ticket that has to give way to `ticket`, or None.

        A lower priority gives way to a higher one; within a priority, a team that
        holds more of the queue than its share gives way to one that holds less.
        """
        counts = Counter(other.team for other in self._places)
        share = (counts[ticket.team] + 1) / ticket.weight

        def excess(place):
            other = place.ticket
            return (-other.priority, counts[other.team] / other.weight, place.order)

        weaker = [
            place
            for place in self._places.values()
            if place.ticket.priority < ticket.priority
            or (
                place.ticket.priority == ticket.priority
                and counts[place.ticket.team] / place.ticket.weight > share
            )
        ]
        return max(weaker, key=excess).ticket if weaker else None

    def _forget_idle_teams(self):
        if not self._places:
            self._virtual = 0.0
            self._ends.clear()
            return
        self._ends = {
            team: end for team, end in self._ends.items() if end > self._virtual
        }


def _rank(place, counts):
    ticket = place.ticket
    share = counts[ticket.team] / ticket.weight
    return (-ticket.priority, share, place.start, place.order)
