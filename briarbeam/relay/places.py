"""Finds a target for a request, and asks the daemon beside an engine for a place."""

import math

from ..placement.far_choice import (
    FAR_ASKED_MAX,
    RESERVED_ROOM_MIN,
    ROOM_MIN,
    choose_far,
)
from ..placement.grants import Demand

# Engines that are asked for a request before its caller is refused. With one engine
# asked, requests are refused while another engine is idle; more than a few cost time.
ENGINES_ASKED_MAX = 3
# After this many daemons gave no answer, a request is placed without asking: each one
# costs the time of an answer, and a cut hides many at once.
SILENT_MAX = 2
# How long a request may wait for others at an engine. With more, requests that allow for
# more time would make those late that allow for less, and a longer queue serves nobody
# sooner.
WAIT_MAX_S = 0.2
# The same for a request that returns after a refusal and can't be in time any more. It
# gets a place that nobody who still can be in time needs.
RETURNED_WAIT_MAX_S = 0.05
# How many times the usual time of an answer is kept of the time limit of a request that
# returns. The prompts of others are read in between, and some answers are longer.
ANSWER_PACE = 2.0
# A request with less than this share of the route's time limit left is assumed to have
# been refused before: its caller's time limit counts from the first attempt.
RETURNED_TIME_SHARE = 0.85
# How long the free slots in a reply count; later the reports of loads are fresher.
REPLY_VALID_S = 0.15
# Number of targets whose replies are kept. Ids of targets that are gone are deleted with
# all others, which costs nothing as replies are valid only briefly.
REPLIES_KEPT_MAX = 1000
NO_REPLY = -math.inf, 0
# Share of its remaining time that a caller waits at most after a refusal.
HONOURED_TIME_SHARE = 1 / 3
# Part of the target latency that the ways between caller, entry and engine take.
WAYS_S = 0.02


class PlaceFinder:
    """Finds targets that can take a request in time.

    :param selector: the `TargetSelector`, which ranks targets by their reported loads.
    :param grants: the `GrantClient`.
    :param clock: the `Clock`.
    :param load_control: whether requests state their priority and team, so that
        places are shared by them.
    """

    def __init__(self, selector, grants, clock, load_control=False):
        self._selector = selector
        self._grants = grants
        self._clock = clock
        self._load_control = load_control
        # For each target, when it last stated its free slots, and how many.
        self._free_slots = {}

    def find(self, job, excluded):
        """Return a target that can take `job`, or None.

        Targets whose places nobody grants, because they are no engines or the daemon
        beside them is silent, are chosen by their reported loads.

        :param excluded: ids of the targets that are not chosen.
        """
        cost = job.requirements.service.engine_cost
        if cost is None:
            return self._selector.pick(job.requirements, excluded)
        refused, waits_s, silent_count = [], [], 0
        while len(refused) < ENGINES_ASKED_MAX:
            if silent_count >= SILENT_MAX:
                return self._selector.pick(job.requirements, (*excluded, *refused))
            target = self._selector.pick(
                job.requirements, (*excluded, *refused), self._grants.covers
            )
            if target is None:
                break
            if not self._grants.covers(target):
                return target
            decision = self._ask(job, target, cost)
            if decision is None:
                # The next choice of this engine goes by the load that is known here.
                silent_count += 1
                job.grants_silent = silent_count
                continue
            if decision.granted:
                return target
            refused.append(target.id)
            waits_s.append(decision.wait_s)
        if len(refused) == ENGINES_ASKED_MAX:
            target = self._find_far(job, (*excluded, *refused), cost, waits_s)
            if target is not None:
                return target
        job.place_wait_s = min(waits_s, default=None)
        if self._load_control and waits_s:
            job.honoured_wait_s = HONOURED_TIME_SHARE * self._time_left_s(job)
        return None

    def _prompt_tokens(self, job, cost):
        if job.meta.prompt_tokens is None:
            return round(cost.usual_prompt_tokens)
        return job.meta.prompt_tokens

    def _find_far(self, job, tried, cost, waits_s):
        """Return a target of another failure domain that grants a place, or None.

        :param tried: ids of the targets that are not asked.
        :param waits_s: the waits that engines stated, to which theirs are added.
        """
        for _ in range(FAR_ASKED_MAX):
            rooms = self._selector.far_rooms(
                job.requirements, tried, self._grants.covers
            )
            target = choose_far(
                [(self._room(*pair), pair[1]) for pair in rooms],
                RESERVED_ROOM_MIN if self._load_control else ROOM_MIN,
            )
            if target is None:
                return None
            decision = self._ask(job, target, cost)
            if decision is None:
                return None
            if decision.granted:
                return target
            tried = (*tried, target.id)
            waits_s.append(decision.wait_s)
        return None

    def _room(self, room, target):
        """Return the free slots of a target by its report and its last reply."""
        replied_s, free_slots = self._free_slots.get(target.id, NO_REPLY)
        if self._clock.monotonic_s() - replied_s > REPLY_VALID_S:
            return room
        return min(room, free_slots)

    def _ask(self, job, target, cost):
        """Return the `Decision` of the daemon beside `target`, or None."""
        decision = self._grants.ask(
            target, self._demand(job, target, cost), cost.pass_cost
        )
        if decision is None:
            return None
        if decision.free_slots >= 0:
            now_s = self._clock.monotonic_s()
            if len(self._free_slots) >= REPLIES_KEPT_MAX:
                self._free_slots.clear()
            self._free_slots[target.id] = now_s, decision.free_slots
        if decision.granted:
            job.predicted_s = decision.wait_s
        return decision

    def _time_left_s(self, job):
        """Return the time until the deadline of the caller, at least 0."""
        time_left_s = job.meta.time_left_s
        if time_left_s is None:
            time_left_s = job.route.timeout_s
        elapsed_s = self._clock.monotonic_s() - job.started_s
        return max(0.0, time_left_s - elapsed_s)

    def _demand(self, job, target, cost):
        within_s, wait_max_s = None, 0.0
        returned = has_returned(job)
        if self._load_control and returned and not job.sends:
            answer_s = ANSWER_PACE * cost.pass_cost.answer_s
            within_s, wait_max_s = self._time_left_s(job) - answer_s, WAIT_MAX_S
        elif not job.sends:
            wait_max_s = RETURNED_WAIT_MAX_S if returned else WAIT_MAX_S
            elapsed_s = self._clock.monotonic_s() - job.started_s
            within_s = job.route.target_latency_s - elapsed_s - WAYS_S
        service = job.requirements.service
        is_cold = target.is_cold(self._clock.monotonic_s())
        cold_requests_per_s = service.cold_requests_per_s if is_cold else 0.0
        read_s = cost.read_s(job.meta.prompt_tokens)
        if not self._load_control:
            return Demand(read_s, within_s, wait_max_s, cold_requests_per_s)
        return Demand(
            read_s,
            within_s,
            wait_max_s,
            cold_requests_per_s,
            max(0, job.priority),
            job.team.name if job.team is not None else "",
            returned,
            self._prompt_tokens(job, cost),
            cost.answer_tokens(job.meta.answer_tokens),
            cost.token_capacity,
        )


def has_returned(job):
    """Return whether the caller of `job` seems to return after a refusal."""
    left_s = job.meta.time_left_s
    return left_s is not None and left_s < RETURNED_TIME_SHARE * job.route.timeout_s
