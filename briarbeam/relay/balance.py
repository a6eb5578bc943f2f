"""Which target a request goes to."""

import math
import random
from dataclasses import dataclass

# Requests that may wait at an engine beyond its slots: with about a tenth of a second
# until the next slot is free, more could not begin within their target latency.
QUEUE_ALLOWANCE = 3
# A target nearby is taken without looking further while it is less busy than this,
# since bytes between failure domains are priced.
NEAR_ENOUGH_LOAD = 0.6
# Free slots count by this power: with the second power two requests in a hundred more
# met a full engine at nine tenths of the capacity.
FREE_EXPONENT = 4
# The mean load is worked out anew only now and then, not for each target of a request.
MEAN_LOAD_CACHE_S = 0.05
# How much more often a target nearby is chosen than an equally busy one elsewhere.
NEAR_PREFERENCE = 2.0


@dataclass(frozen=True)
class Need:
    """What a request asks of its target.

    :param allowed_regions: a tuple of sets of regions; each that is not empty binds.
    :param model: the model that has to be held, or None.
    :param required_version: the lowest version of its weights, 0 for any.
    """

    service: object
    model: str | None
    required_version: int
    allowed_regions: tuple


class Balancer:
    """Picks targets by their load, near ones first.

    :param fleet: the `Fleet`.
    :param failure_domain: where this entry stands.
    :param regions: the region of each failure domain.
    :param place: a function that returns this entry's `Place`.
    """

    def __init__(self, fleet, clock, failure_domain, regions, place):
        self._fleet = fleet
        self._clock = clock
        self._failure_domain = failure_domain
        self._regions = regions
        self._place = place
        self._mean_loads = {}

    def pick(self, need, tried=()):
        """Return a target for `need`, or None if none may take it.

        Entries see each other's requests late. If all took the least busy target they
        would fill it together, so each draws at random, free targets far more often.

        :param tried: ids of targets that the request was sent to already.
        """
        now_s = self._clock.monotonic_s()
        usable = [t for t in self.eligible(need) if t.id not in tried]
        for avoid in (True, False):
            open_targets = [
                target
                for target in usable
                if not (avoid and target.avoid_until_s > now_s)
                and self._has_room(target, now_s)
            ]
            near_targets = self._nearest(open_targets, now_s)
            target = self._draw(near_targets, need.service, now_s)
            if target is None:
                target = self._draw(open_targets, need.service, now_s)
            if target is not None:
                return target
        return None

    def _nearest(self, targets, now_s):
        """Return targets nearby that are far from full."""
        return [
            target
            for target in targets
            if self._is_near(target)
            and self._load(target, now_s) < NEAR_ENOUGH_LOAD * target.instance.slots
        ]

    def _draw(self, targets, service, now_s):
        """Return one of `targets` at random by its weight; cold ones within their rate."""
        left = list(targets)
        while left:
            weights = [self._weight(target, now_s) for target in left]
            target = random.choices(left, weights)[0]
            if not target.is_cold(now_s):
                return target
            # The instance may have been listed before the desired state was known.
            rate_per_s = service.cold_requests_per_s
            if target.cold_window.try_send(rate_per_s, self._place(), now_s):
                return target
            left.remove(target)
        return None

    def _weight(self, target, now_s):
        free = target.instance.slots - self._load(target, now_s)
        weight = max(0.3, free) ** FREE_EXPONENT / slowdown_factor(target)
        if self._is_near(target):
            weight *= NEAR_PREFERENCE
        return weight * (1.0 - target.failure_ratio()) ** 3 + 1e-6

    def _is_near(self, target):
        return target.instance.failure_domain == self._failure_domain

    def _load(self, target, now_s):
        load = target.load(now_s, self._place().count)
        if target.instance.models is None or target.has_fresh_report(now_s):
            return load
        # An engine that nobody hears of is not free: all entries would choose it at once.
        return max(load, self._mean_load(target.instance.service, now_s))

    def _mean_load(self, service, now_s):
        """Return the mean load of the engines of `service` whose load is told."""
        found_s, load = self._mean_loads.get(service, (-math.inf, 0.0))
        if now_s - found_s >= MEAN_LOAD_CACHE_S:
            count = self._place().count
            loads = [
                target.load(now_s, count)
                for target in self._fleet.targets(service)
                if target.has_fresh_report(now_s) and target.report.accepting
            ]
            load = sum(loads) / len(loads) if loads else 0.0
            self._mean_loads[service] = now_s, load
        return load

    def is_full(self, target):
        """Return whether more requests are thought to be at `target` than it has slots."""
        load = self._load(target, self._clock.monotonic_s())
        return load > target.instance.slots

    def eligible(self, need):
        """Return the targets that could ever run `need` now, busy or not."""
        targets = self._fleet.targets(need.service.name)
        return [target for target in targets if self.is_eligible(target, need)]

    def is_eligible(self, target, need):
        """Return whether `target` could ever run `need` now, busy or not."""
        return (
            target.instance.service == need.service.name
            and not target.instance.draining
            and target.replaced_until_s <= self._clock.monotonic_s()
            and target.instance.failure_domain not in self._fleet.evacuated
            and self._region_allowed(target, need)
            and self._holds_weights(target, need)
        )

    def any_loading(self, need):
        """Return whether some target of the service is loading weights just now."""
        return any(
            target.report is not None and not target.report.accepting
            for target in self._fleet.targets(need.service.name)
        )

    def _region_allowed(self, target, need):
        region = self._regions.get(target.instance.failure_domain)
        return all(not allowed or region in allowed for allowed in need.allowed_regions)

    def _holds_weights(self, target, need):
        if need.model is None:
            return True
        if target.report is not None and not target.report.accepting:
            return False
        version = target.version_of(need.model)
        return version > 0 and version >= need.required_version

    def _has_room(self, target, now_s):
        return self._load(target, now_s) < target.instance.slots + QUEUE_ALLOWANCE


def slowdown_factor(target):
    """Return how many times slower than usual the target is."""
    return target.report.pace if target.report is not None else 1.0
