"""When callers that no target could serve should try again."""

import random

from .admission import RETRY_AFTER_S

# Retry-After if no instance can serve the request while weights are being loaded: about
# as long as one load takes.
LOAD_RETRY_AFTER_S = 0.35
# Retry-After if no instance is loading weights either. Callers retry once, so a retry
# that comes too early fails for good.
NOT_LOADING_RETRY_AFTER_S = 1.3
# If all targets are closed, callers return within this share of the time until the
# first of them opens, counted from its opening, or within the shortest time. The
# longer the wait, the more callers wait for it.
OPENING_SPREAD_SHARE = 0.5
OPENING_SPREAD_MIN_S = 0.2
# Range of Retry-After with load control, as shares of the longest one that the caller
# honours. Bursts last for 3 to 7 s and callers return once, so that a late return finds
# capacity most often; the range is wide enough that callers do not return together.
CONTROLLED_RETURN_SHARES = 0.65, 1.0
# Range of the time that is added to the wait for a place. Callers that were refused
# together return one after another, once a short burst has passed. They can't be in
# time any more, so they make room for those that still can.
RETURN_MIN_S, RETURN_MAX_S = 1.0, 1.6


class RetryHint:
    """Computes Retry-After from the state of the targets.

    :param selector: the `TargetSelector`.
    """

    def __init__(self, selector):
        self._selector = selector

    def retry_after_s(self, job):
        """Return a random Retry-After for a `Job` that no target can take now."""
        if job.place_wait_s is not None and job.honoured_wait_s is not None:
            return job.honoured_wait_s * random.uniform(*CONTROLLED_RETURN_SHARES)
        if job.place_wait_s is not None:
            return job.place_wait_s + random.uniform(RETURN_MIN_S, RETURN_MAX_S)
        opening_s = self.opening_after_s(job.requirements)
        if opening_s is not None:
            return opening_s
        return self._usual_s(job.requirements) * random.uniform(0.8, 1.2)

    def opening_after_s(self, requirements):
        """Return a random Retry-After that ends after the first target opens.

        :returns: None if a target is open, or if none is closed.
        """
        opening_s = self._selector.next_opening_s(requirements)
        if opening_s is None:
            return None
        if self._selector.any_loading(requirements):
            opening_s = min(opening_s, LOAD_RETRY_AFTER_S)
        spread_s = max(OPENING_SPREAD_MIN_S, OPENING_SPREAD_SHARE * opening_s)
        return opening_s + random.uniform(0.0, spread_s)

    def _usual_s(self, requirements):
        if self._selector.eligible_targets(requirements):
            return RETRY_AFTER_S
        if self._selector.any_loading(requirements):
            return LOAD_RETRY_AFTER_S
        return NOT_LOADING_RETRY_AFTER_S
