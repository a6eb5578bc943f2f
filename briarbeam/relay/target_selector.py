"""Chooses the target of a request."""

import math
import random
from dataclasses import dataclass

# Number of requests that may wait at an engine beyond its slots. A slot becomes free
# about every 0.1 s, so more requests could not begin within their target latency.
QUEUE_ALLOWANCE = 3
# Targets in the same failure domain whose load is below this share of their slots are
# chosen before all others, because traffic between failure domains is billed.
NEAR_LOAD_SHARE_MAX = 0.6
# Exponent of the number of free slots in the weight of a target. With an exponent of 2,
# the share of requests that met a full engine at 90 % of the capacity was 2 percentage
# points higher.
FREE_EXPONENT = 4
# How long a mean load is cached, so that it isn't computed for each target of a
# request.
MEAN_LOAD_CACHE_S = 0.05
# The same for the mean speed, which changes little while single targets change.
MEAN_SLOWDOWN_CACHE_S = 1.0
# How long after a change of its readiness an engine counts as starting or loading: a
# load takes a third of a second, and the check of staged chunks before it as long.
READINESS_CHANGE_S = 2.0
# How many times more often a target in the same failure domain is chosen than an
# equally busy one in another.
NEAR_PREFERENCE = 2.0


@dataclass(frozen=True)
class Requirements:
    """The requirements of a request on its target.

    :param service: the `Service` that the target has to belong to.
    :param model: the model that the target has to serve, or None.
    :param required_version: the lowest allowed version of its weights, 0 for any.
    :param allowed_regions: a tuple of sets of regions; the target's region has to be in
        each set that is not empty.
    """

    service: object
    model: str | None
    required_version: int
    allowed_regions: tuple


class TargetSelector:
    """Picks targets by their load, those in the same failure domain first.

    :param fleet: the `Fleet`.
    :param clock: the `Clock`.
    :param failure_domain: the failure domain of this entry.
    :param regions: a dictionary of the region of each failure domain.
    :param position: a function that returns this entry's `EntryPosition`.
    """

    def __init__(self, fleet, clock, failure_domain, regions, position):
        self._fleet = fleet
        self._clock = clock
        self._failure_domain = failure_domain
        self._regions = regions
        self._position = position
        self._mean_loads = {}
        self._mean_slowdowns = {}

    def pick(self, requirements, tried=(), covers=lambda target: False):
        """Return a target for `requirements`, or None if none can take the request.

        Entries learn of each other's requests with a delay. If all chose the least busy
        target, they would overload it together, so each one chooses at random, weighted
        strongly by free slots.

        :param tried: ids of targets that are not chosen again.
        :param covers: a function that returns whether the daemon beside a target grants
            its places, so that neither its room nor its cold rate is checked here.
        """
        now_s = self._clock.monotonic_s()
        usable = [t for t in self.eligible_targets(requirements) if t.id not in tried]
        for skip_avoided in (True, False):
            open_targets = [
                target
                for target in usable
                if not (skip_avoided and target.avoid_until_s > now_s)
                and (covers(target) or self._has_room(target, now_s))
            ]
            near_targets = self._near_with_capacity(open_targets, now_s)
            target = self._draw(near_targets, requirements.service, now_s, covers)
            if target is None:
                target = self._draw(open_targets, requirements.service, now_s, covers)
            if target is not None:
                return target
        return None

    def far_rooms(self, requirements, tried, covers):
        """Return pairs of free slots and `Target`, for engines of other failure domains.

        Only engines whose places are granted count, by the loads that are known here.

        :param tried: ids of targets that are not listed.
        :param covers: as in `pick`.
        """
        now_s = self._clock.monotonic_s()
        return [
            (target.instance.slots - self._estimated_load(target, now_s), target)
            for target in self.eligible_targets(requirements)
            if target.id not in tried
            and not self._is_near(target)
            and target.avoid_until_s <= now_s
            and covers(target)
        ]

    def _near_with_capacity(self, targets, now_s):
        """Return those of `targets` in this failure domain that are far from full."""
        return [
            target
            for target in targets
            if self._is_near(target)
            and self._estimated_load(target, now_s) * self._work_factor(target, now_s)
            < NEAR_LOAD_SHARE_MAX * target.instance.slots
        ]

    def _draw(self, targets, service, now_s, covers):
        """Return one of `targets` by weighted random choice, or None.

        Cold targets are chosen only within the rate that `service` allows for them.
        """
        candidates = list(targets)
        while candidates:
            weights = [self._weight(target, now_s) for target in candidates]
            target = random.choices(candidates, weights)[0]
            if not target.is_cold(now_s) or covers(target):
                return target
            # The rate is read from the service at each send, because the instance may
            # have been listed before the desired state was known.
            rate_per_s = service.cold_requests_per_s
            if target.cold_limiter.try_send(rate_per_s, self._position(), now_s):
                return target
            candidates.remove(target)
        return None

    def _weight(self, target, now_s):
        work, slowdown = self._estimated_load(target, now_s), target.slowdown(now_s)
        if target.speed is not None:
            work *= slowdown / self._mean_slowdown(target.instance.service, now_s)
        free = target.instance.slots - work
        # The lower limit and the final summand keep all weights positive.
        weight = max(0.3, free) ** FREE_EXPONENT / slowdown
        if self._is_near(target):
            weight *= NEAR_PREFERENCE
        return weight * (1.0 - target.failure_ratio()) ** 3 + 1e-6

    def _is_near(self, target):
        return target.instance.failure_domain == self._failure_domain

    def _work_factor(self, target, now_s):
        """Return how much longer than at others the load of `target` takes.

        Only a speed that it states counts, in relation to that of the others. If all
        are slow, their loads would otherwise seem to exceed their slots, and no longer
        be told apart.
        """
        if target.speed is None:
            return 1.0
        mean_slowdown = self._mean_slowdown(target.instance.service, now_s)
        return target.speed.slowdown(now_s) / mean_slowdown

    def _mean_slowdown(self, service, now_s):
        """Return the mean slowdown of the targets of `service` that state theirs."""
        computed_s, mean_slowdown = self._mean_slowdowns.get(service, (-math.inf, 1.0))
        if now_s - computed_s >= MEAN_SLOWDOWN_CACHE_S:
            slowdowns = [
                target.slowdown(now_s)
                for target in self._fleet.targets(service)
                if target.speed is not None
            ]
            mean_slowdown = sum(slowdowns) / len(slowdowns) if slowdowns else 1.0
            self._mean_slowdowns[service] = now_s, mean_slowdown
        return mean_slowdown

    def _estimated_load(self, target, now_s):
        load = target.estimated_load(now_s, self._position().count)
        if target.instance.models is None or target.has_fresh_report(now_s):
            return load
        # An engine without fresh reports is not assumed to be idle, because all entries
        # would choose it at once.
        return max(load, self._mean_load(target.instance.service, now_s))

    def _mean_load(self, service, now_s):
        """Return the mean load of the accepting engines of `service`, or 0.

        Only engines with a fresh load report count.
        """
        computed_s, mean_load = self._mean_loads.get(service, (-math.inf, 0.0))
        if now_s - computed_s >= MEAN_LOAD_CACHE_S:
            count = self._position().count
            loads = [
                target.estimated_load(now_s, count)
                for target in self._fleet.targets(service)
                if target.has_fresh_report(now_s) and target.report.accepting
            ]
            mean_load = sum(loads) / len(loads) if loads else 0.0
            self._mean_loads[service] = now_s, mean_load
        return mean_load

    def is_full(self, target):
        """Return whether the estimated load of `target` exceeds its slots."""
        load = self._estimated_load(target, self._clock.monotonic_s())
        return load > target.instance.slots

    def eligible_targets(self, requirements):
        """Return the targets that meet `requirements` now, regardless of their load."""
        now_s = self._clock.monotonic_s()
        return [
            target
            for target in self._fleet.targets(requirements.service.name)
            if self._meets(target, requirements, now_s)
            and target.closed_until_s <= now_s
        ]

    def is_eligible(self, target, requirements):
        """Return whether `target` meets `requirements` now, regardless of its load.

        A target that asked for a wait is not eligible until its end.
        """
        now_s = self._clock.monotonic_s()
        return (
            self._meets(target, requirements, now_s) and target.closed_until_s <= now_s
        )

    def _meets(self, target, requirements, now_s):
        """Return whether `target` meets `requirements`, whether it is closed or not."""
        return self._may_serve(
            target, requirements, now_s
        ) and self._has_required_weights(target, requirements)

    def _may_serve(self, target, requirements, now_s):
        """Return whether `target` meets `requirements` apart from its weights."""
        return (
            target.instance.service == requirements.service.name
            and not target.instance.draining
            and not target.leaving
            and target.replaced_until_s <= now_s
            and target.instance.failure_domain not in self._fleet.evacuated_domains
            and self._region_allowed(target, requirements)
        )

    def next_opening_s(self, requirements):
        """Return the seconds until a closed target becomes eligible, or None.

        :returns: None if a target is eligible now, or if none is closed.
        """
        now_s = self._clock.monotonic_s()
        waits_s = [
            target.closed_until_s - now_s
            for target in self._fleet.targets(requirements.service.name)
            if self._meets(target, requirements, now_s)
        ]
        wait_s = min(waits_s, default=0.0)
        return wait_s if wait_s > 0.0 else None

    def record_refusal(self, target, retry_after):
        """Record that `target` refused a request; `retry_after` is its `RetryAfter`."""
        self._fleet.record_refusal(target, retry_after)

    def record_speed(self, target, slowdown, now_s):
        """Record the slowdown that an answer of `target` states."""
        self._fleet.record_speed(target, slowdown, now_s)

    def record_odd_speed(self, target, value, now_s):
        """Record that an answer of `target` states a speed that can't be read."""
        self._fleet.record_odd_speed(target, value, now_s)

    def record_leaving(self, target):
        """Record that `target` has stated in an answer that it is leaving."""
        self._fleet.record_leaving(target)

    def any_loading(self, requirements):
        """Return whether a target of the required service is loading weights."""
        return any(
            target.report is not None and not target.report.accepting
            for target in self._fleet.targets(requirements.service.name)
        )

    def is_capacity_growing(self, requirements):
        """Return whether engines that may serve `requirements` are starting or loading.

        An engine counts for `READINESS_CHANGE_S` after it became known, stopped to
        accept requests or began to accept them, so that one that stays away does not
        count.
        """
        now_s = self._clock.monotonic_s()
        return requirements.model is not None and any(
            now_s - target.readiness_changed_s < READINESS_CHANGE_S
            and self._may_serve(target, requirements, now_s)
            for target in self._fleet.targets(requirements.service.name)
        )

    def _region_allowed(self, target, requirements):
        region = self._regions.get(target.instance.failure_domain)
        return all(
            not allowed or region in allowed for allowed in requirements.allowed_regions
        )

    def _has_required_weights(self, target, requirements):
        if requirements.model is None:
            return True
        if target.report is None or not target.report.accepting:
            return False
        version = target.version_of(requirements.model)
        return version > 0 and version >= requirements.required_version

    def _has_room(self, target, now_s):
        return (
            self._estimated_load(target, now_s)
            < target.instance.slots + QUEUE_ALLOWANCE
        )
