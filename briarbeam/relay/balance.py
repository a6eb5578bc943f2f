"""Which target a request goes to."""

import random
from dataclasses import dataclass

# Requests that may wait at an engine beyond its slots: with about a tenth of a second
# until the next slot is free, more could not begin within their target latency.
QUEUE_ALLOWANCE = 3
# A target elsewhere has to be this many requests less busy before it is preferred,
# since bytes between failure domains are priced.
REMOTE_PENALTY = 2.0
# What a request counts on a target that failed lately, beside the pause it gets.
FAILURE_PENALTY = 12.0


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
    :param entry_count: a function that returns how many entries there are.
    """

    def __init__(self, fleet, clock, failure_domain, regions, entry_count):
        self._fleet = fleet
        self._clock = clock
        self._failure_domain = failure_domain
        self._regions = regions
        self._entry_count = entry_count

    def pick(self, need, tried=()):
        """Return the best target for `need`, or None if none may take it.

        :param tried: ids of targets that the request was sent to already.
        """
        now_s = self._clock.monotonic_s()
        usable = [t for t in self.eligible(need) if t.id not in tried]
        for avoid in (True, False):
            ranked = [
                (self._cost(target, now_s), random.random(), target)
                for target in usable
                if not (avoid and target.avoid_until_s > now_s)
                and self._has_room(target, need, now_s)
            ]
            for _, _, target in sorted(ranked, key=lambda item: item[:2]):
                if not target.is_cold(now_s):
                    return target
                if target.cold_window.try_send(self._entry_count(), now_s):
                    return target
        return None

    def eligible(self, need):
        """Return the targets that could ever run `need` now, busy or not."""
        return [
            target
            for target in self._fleet.targets(need.service.name)
            if not target.instance.draining
            and target.instance.failure_domain not in self._fleet.evacuated
            and self._region_allowed(target, need)
            and self._holds_weights(target, need)
        ]

    def _region_allowed(self, target, need):
        region = self._regions.get(target.instance.failure_domain)
        return all(not allowed or region in allowed for allowed in need.allowed_regions)

    def _holds_weights(self, target, need):
        if need.model is None or need.service.engine is None:
            return True
        if target.report is not None and not target.report.accepting:
            return False
        version = target.version_of(need.model)
        return version > 0 and version >= need.required_version

    def _has_room(self, target, need, now_s):
        load = target.load(now_s, self._entry_count())
        slots = target.instance.slots
        return load < slots + QUEUE_ALLOWANCE

    def _cost(self, target, now_s):
        cost = target.load(now_s, self._entry_count()) * target_pace(target)
        if target.instance.failure_domain != self._failure_domain:
            cost += REMOTE_PENALTY
        return cost + FAILURE_PENALTY * target.failure_ratio()


def target_pace(target):
    """Return how many times slower than usual the target is."""
    return target.report.pace if target.report is not None else 1.0
