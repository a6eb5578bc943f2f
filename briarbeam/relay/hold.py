"""Holds requests at an entry while capacity is about to appear."""

import random
import time

import gevent
from prometheus_client import Counter

from ..placement.holding import hold_pause_s
from .places import has_returned

_HELD = Counter(
    "briarbeam_held_requests",
    "Requests that waited for an engine to start or to load",
    ["result"],
)


class HoldingPlaceFinder:
    """Searches for a target again while engines start or load weights.

    :param places: the `PlaceFinder`.
    :param selector: the `TargetSelector`.
    """

    def __init__(self, places, selector):
        self._places = places
        self._selector = selector

    def find(self, job, excluded):
        """Return a target that can take `job`, or None.

        Only a request that was not sent yet is held.

        :param excluded: ids of the targets that are not chosen.
        """
        target = self._search(job, excluded)
        pause_s = None if target is not None else self._pause_s(job)
        if pause_s is None:
            return target
        result = "ended"
        try:
            while target is None and pause_s is not None:
                # Requests that were held together don't search again together.
                gevent.sleep(pause_s * random.uniform(0.7, 1.0))
                target = self._search(job, excluded)
                pause_s = self._pause_s(job)
            result = "refused" if target is None else "placed"
        finally:
            _HELD.labels(result).inc()
        return target

    def _search(self, job, excluded):
        job.place_wait_s = None
        return self._places.find(job, excluded)

    def _pause_s(self, job):
        """Return the pause before the next search, or None if `job` is not held."""
        now_s = time.monotonic()
        is_short_of_time = job.deadline_s - now_s < job.route.target_latency_s
        if (
            job.sends
            or is_short_of_time
            or not self._selector.is_capacity_growing(job.requirements)
        ):
            return None
        return hold_pause_s(
            now_s - job.started_s,
            job.route.target_latency_s,
            has_returned(job),
            job.place_wait_s,
        )
