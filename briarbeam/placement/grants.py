"""Decides beside an engine whether it can take another request in time.

Entries place requests by loads that are a fraction of a second old, and none of them
sees what the others have sent meanwhile. Above the capacity of the engines, all of them
fill the same ones, so that most requests are late although most could be in time. The
daemon beside the engine is asked for each request instead, and knows all that it
granted. After all machines have started again, it also knows how many requests its cold
engine was sent, which entries that don't know each other yet can't.
"""

import collections
import math
from dataclasses import dataclass, replace

from .held_tokens import HeldTokens
from .reservation import SlotReservation
from .returns import PLAIN_WAIT_MAX_S, ReturnPrecedence
from .team_shares import TeamShares

# An engine whose requests wait for less than this counts as idle. It takes a request
# that can't be in time, because no engine could serve that one sooner.
IDLE_WAIT_S = 0.02
# How long a granted request takes to appear in the engine's report: the way to the
# entry and from there to the engine.
UNREPORTED_S = 0.04
# The rate of a cold engine applies to the arrivals in any second. The way of a request
# varies, so the grants of a longer time count.
COLD_WINDOW_S = 1.1
# Share of a cold engine's rate that is granted. Entries that get no answer, behind a cut
# for example, send by their own share of the whole rate in addition. The users' rules
# leave room for half a rate more.
COLD_GRANTED_SHARE = 0.7
# Weight of the last pass in the mean duration of a pass.
PASS_WEIGHT = 0.2
# Share of its wait that a request is left if all requests that the reservation expects
# go before it. On the model with operator A's engines at 1.2 of the capacity, 0.5 and 0.75
# leave the most urgent kind 0.975 and 0.955 of its value, the least urgent 0.472 and 0.498.
RESERVED_WAIT_SHARE = 0.75
# The same for a team with more than its share: it gets free slots only.
OVER_SHARE_WAIT_SHARE = 0.0
# Share of an engine's memory that is granted. Which requests have ended is estimated, and
# some answers are longer than expected.
MEMORY_SHARE = 0.85
# Shortest wait that is stated if the memory is full; a request that was expected to have
# ended is about to.
MEMORY_WAIT_MIN_S = 0.05
# Time after which refused requests may ask again if nothing better is known.
CLOSED_WAIT_S = 0.35


@dataclass(frozen=True)
class Demand:
    """What one request needs from an engine.

    :param read_s: the time to read its prompt at the usual pace.
    :param within_s: the time within which its first event has to be made, or None if it
        is to be placed however late that will be.
    :param wait_max_s: how long it may wait for other requests; has no effect if
        `within_s` is None.
    :param cold_requests_per_s: the rate of requests that the engine may get while it is
        cold; 0 if it isn't cold, or for no limit.
    :param priority: from 0, the most urgent, or -1 if requests don't state it: then
        nothing is reserved, and nothing is counted by priority.
    :param team: the name of the caller's team, empty if it needs none.
    :param returned: whether the caller was refused before.
    :param prompt_tokens: the length of the prompt.
    :param answer_tokens: the length that is expected of the answer.
    :param token_capacity: the tokens that the engine's memory holds, 0 for no limit.
    """

    read_s: float
    within_s: float | None = None
    wait_max_s: float = 0.0
    cold_requests_per_s: float = 0.0
    priority: int = -1
    team: str = ""
    returned: bool = False
    prompt_tokens: int = 0
    answer_tokens: int = 0
    token_capacity: int = 0


@dataclass(frozen=True)
class Decision:
    """Whether a request may be sent to the engine.

    :param granted: whether it may be sent at once.
    :param wait_s: the predicted time to its first event if it is granted, otherwise the
        time after which the engine is expected to be able to take it.
    :param cause: why it was refused: ``cold`` (the engine's cold rate), ``late`` (it
        would wait for too long), ``reserved`` (its place is kept for more urgent
        requests), ``share`` (its team has more than its share of the places of its
        priority) ``memory`` (the tokens of its requests
        would exceed its memory) or ``closed`` (the engine accepts none); empty if it was granted.
    :param free_slots: the slots that are free after this decision, -1 if not stated.
    """

    granted: bool
    wait_s: float
    cause: str = ""
    free_slots: int = -1


class GrantPolicy:
    """Grants the places of one engine.

    It follows the engine's passes by the published cost. The phase of the passes is
    unknown, but their durations and what is left to read are known from the grants.

    Loads that it answers: more requests than the engines bear, for a second or for
    long, also of several priorities; one entry that gets a third of them; engines that
    are slow or cold.
    """

    def __init__(self):
        self._reported_load = 0
        self._slowdown = 1.0
        self._granted_s = collections.deque()
        self._cold_granted_s = collections.deque()
        self._pass_ends_s = 0.0
        self._mean_pass_s = 0.0
        # The time that the prompts take at the usual pace that were granted, but are not
        # being read yet.
        self._unread_s = 0.0
        self._reservation = SlotReservation()
        self._precedence = ReturnPrecedence()
        self._teams = TeamShares()
        self._held = HeldTokens()

    def observe(self, load, slowdown, now_s):
        """Apply a fresh report of the engine.

        :param load: the number of requests that run or wait there.
        :param slowdown: how many times slower than usual the engine is.
        :param now_s: monotonic time.
        """
        self._reported_load, self._slowdown = load, slowdown
        while self._granted_s and self._granted_s[0] <= now_s - UNREPORTED_S:
            self._granted_s.popleft()

    def decide(self, demand, cost, now_s):
        """Return the `Decision` on a request, and count it if it is granted.

        :param demand: its `Demand`.
        :param cost: the `PassCost` of the engine.
        :param now_s: monotonic time.
        """
        cold_wait_s = self._cold_wait_s(demand, now_s)
        if cold_wait_s > 0.0:
            return Decision(False, cold_wait_s, "cold")
        load = self._reported_load + len(self._granted_s)
        free_slots = -1 if demand.priority < 0 else max(0, cost.slots - load)
        if demand.priority >= 0:
            demand = self._count_question(demand, now_s)
            memory_wait_s = self._memory_wait_s(demand, load, now_s)
            if memory_wait_s > 0.0:
                return Decision(False, memory_wait_s, "memory", free_slots)
        steps_s = cost.steps_s(load) * self._slowdown
        self._advance(now_s, load, steps_s)
        wait_s = max(
            self._pass_ends_s - now_s + self._unread_s * self._slowdown,
            self._slot_wait_s(load, cost),
        )
        read_s = demand.read_s * self._slowdown
        first_event_s = wait_s + read_s + steps_s
        if demand.within_s is not None and wait_s > IDLE_WAIT_S:
            excess_s = max(first_event_s - demand.within_s, wait_s - demand.wait_max_s)
            if excess_s > 0:
                return Decision(False, min(excess_s, wait_s), "late", free_slots)
        reserved_wait_s, cause = self._reserved_wait_s(demand, load, cost, now_s)
        if reserved_wait_s > 0.0:
            return Decision(False, reserved_wait_s, cause, free_slots)
        self._unread_s += demand.read_s
        self._granted_s.append(now_s)
        self._cold_granted_s.append(now_s)
        if demand.priority < 0:
            return Decision(True, first_event_s)
        self._count_grant(demand, now_s)
        self._held.add(
            demand.prompt_tokens,
            demand.answer_tokens,
            now_s + first_event_s,
            cost.passes_per_answer * max(self._mean_pass_s, steps_s),
        )
        return Decision(True, first_event_s, "", max(0, free_slots - 1))

    def _count_question(self, demand, now_s):
        """Count a question; return the `Demand` with the wait that applies to it."""
        self._reservation.record_question(demand.priority, now_s)
        self._teams.record_question(demand.priority, demand.team, now_s)
        if not demand.returned:
            self._precedence.record_question(demand.priority, now_s)
        elif not self._precedence.applies(demand.priority, now_s):
            return replace(demand, wait_max_s=min(demand.wait_max_s, PLAIN_WAIT_MAX_S))
        return demand

    def predict_end_s(self, demand, cost, now_s):
        """Return the time until a request would have its whole answer.

        :param demand: its `Demand`.
        :param cost: the `PassCost` of the engine, with the passes of its answer.
        :param now_s: monotonic time.
        """
        load = self._reported_load + len(self._granted_s)
        steps_s = cost.steps_s(load + 1) * self._slowdown
        wait_s = max(
            self._pass_ends_s - now_s + self._unread_s * self._slowdown,
            self._slot_wait_s(load, cost),
        )
        pass_s = max(self._mean_pass_s, steps_s)
        return (
            max(0.0, wait_s)
            + demand.read_s * self._slowdown
            + cost.passes_per_answer * pass_s
        )

    def _count_grant(self, demand, now_s):
        """Count a grant by priority and team."""
        self._reservation.record_grant(demand.priority, now_s)
        self._teams.record_grant(demand.priority, demand.team, now_s)
        if not demand.returned:
            self._precedence.record_grant(demand.priority, now_s)

    def _memory_wait_s(self, demand, load, now_s):
        """Return the time until the engine's memory holds another request, or 0.

        This applies to requests that are sent again as well: an engine that ends breaks
        off all others.
        """
        self._held.observe(load)
        size = demand.prompt_tokens + demand.answer_tokens
        if not demand.token_capacity:
            return 0.0
        if self._held.tokens(load, size) + size <= MEMORY_SHARE * demand.token_capacity:
            return 0.0
        next_end_s = self._held.next_end_s()
        if next_end_s is None:
            return CLOSED_WAIT_S
        return max(MEMORY_WAIT_MIN_S, next_end_s - now_s)

    def _advance(self, now_s, load, steps_s):
        """Follow the engine's passes until `now_s`."""
        while self._pass_ends_s <= now_s:
            duration_s = self._unread_s * self._slowdown + steps_s
            if not duration_s or self._pass_ends_s + duration_s < now_s - 1.0:
                # It was idle, or nobody asked for longer than any pass lasts.
                self._pass_ends_s, self._unread_s = now_s, 0.0
                return
            self._mean_pass_s += PASS_WEIGHT * (duration_s - self._mean_pass_s)
            self._pass_ends_s += duration_s
            self._unread_s = 0.0

    def _reserved_wait_s(self, demand, load, cost, now_s):
        """Return the time after which a request is not refused for others, and why.

        Requests that are sent again are never refused for others.
        """
        if demand.priority < 0 or demand.within_s is None:
            return 0.0, ""
        steps_s = cost.steps_s(max(1, load)) * self._slowdown
        slot_free_s = (
            cost.passes_per_answer * max(self._mean_pass_s, steps_s) / cost.slots
        )
        others_per_s = self._teams.others_per_s(demand.priority, demand.team, now_s)
        reserved = self._reservation.reserved_slots(
            demand.priority, cost.slots, slot_free_s, now_s, others_per_s
        )
        if not reserved:
            return 0.0, ""
        wait_s = (load + 1 + reserved - cost.slots) * slot_free_s
        share = 1.0 if demand.returned else RESERVED_WAIT_SHARE
        cause = "reserved"
        if others_per_s:
            share, cause = OVER_SHARE_WAIT_SHARE, "share"
        return max(0.0, wait_s - share * demand.wait_max_s), cause

    def _slot_wait_s(self, load, cost):
        """Return how long another request waits for a slot."""
        excess = load + 1 - cost.slots
        if excess <= 0:
            return 0.0
        steps_s = cost.steps_s(load) * self._slowdown
        pass_s = max(self._mean_pass_s, steps_s)
        return excess * cost.passes_per_answer * pass_s / cost.slots

    def _cold_wait_s(self, demand, now_s):
        """Return the time until a cold engine may get another request."""
        recent = self._cold_granted_s
        while recent and recent[0] <= now_s - COLD_WINDOW_S:
            recent.popleft()
        if not demand.cold_requests_per_s:
            return 0.0
        limit = math.ceil(demand.cold_requests_per_s * COLD_GRANTED_SHARE)
        if len(recent) < limit:
            return 0.0
        return recent[len(recent) - limit] + COLD_WINDOW_S - now_s
