"""Estimates how fast an instance works from the speed that its answers state.

Loads that it answers: 15% of the instances are 2.5 times slower than usual, and others
every 0.6 s; one instance is slow permanently; all are slow; one states that it is fast
and is not.
"""

import math
import statistics
import weakref

# Time within which the speed of an instance changes. A reading that was made at a random
# moment of such a period still holds after a share of it with the remaining probability.
CHANGE_S = 0.6
# The mean speed of an instance goes back this many times `CHANGE_S`.
MEAN_PERIODS = 20.0
# An instance that states that it is faster than this is not preferred any further, so
# that the others still get enough requests to compare their answer times.
SLOWDOWN_MIN = 0.4
# Weight of an answer in the mean answer time of its instance. The mean is geometric, so
# that few long answers among many short ones have little effect.
ANSWER_WEIGHT = 0.05
# Answers before the mean answer time of an instance is used, and instances that it is
# compared with at least.
ANSWERS_MIN = 10
INSTANCES_MIN = 3
# Shorter answer times are not told apart.
ANSWER_MIN_S = 0.0001
# How long the usual answer time is cached, so that it isn't computed for each answer.
USUAL_CACHE_S = 0.5
# The time of an answer also varies with its request. Below this multiple of the usual
# time, the stated speed is taken as right.
EXCESS_MIN = 1.5


class UsualAnswerTime:
    """The answer time of comparable instances, per unit of the work that they stated.

    It is the median of the instances, because an instance with a wrong speed may get
    most of the requests.
    """

    def __init__(self):
        self._estimates = weakref.WeakSet()
        self._unit_s = None
        self._computed_s = -math.inf

    def add(self, estimate):
        """Include the instance of a `SpeedEstimate` for as long as that one is in use."""
        self._estimates.add(estimate)

    def unit_s(self, now_s):
        """Return the median time, or None while too few instances have answered."""
        if now_s - self._computed_s >= USUAL_CACHE_S:
            self._computed_s = now_s
            units_s = [e.unit_s for e in self._estimates if e.unit_s is not None]
            has_enough = len(units_s) >= INSTANCES_MIN
            self._unit_s = statistics.median(units_s) if has_enough else None
        return self._unit_s


class SpeedEstimate:
    """The speed of one instance, as a factor above 1 if it is slower than usual.

    The last reading loses its weight within `CHANGE_S`. The estimate then reverts to the
    mean of the instance.

    :param usual_answer: the `UsualAnswerTime` of the instances to compare it with.
    """

    def __init__(self, usual_answer):
        self._usual_answer = usual_answer
        usual_answer.add(self)
        self._answer_count, self._mean_log_s = 0, 0.0
        self._last = self._mean = 1.0
        self._last_s = -math.inf
        # The mean starts as if the usual speed had been observed for one period.
        self._periods = 1.0
        self._excess = 1.0

    @property
    def unit_s(self):
        """The mean time of its answers per unit of stated work, None for too few."""
        if self._answer_count < ANSWERS_MIN:
            return None
        return math.exp(self._mean_log_s)

    def observe(self, slowdown, now_s):
        """Apply a stated slowdown.

        Readings within one period are about the same speed, so each one counts in the
        mean for the time since the one before it.

        :param slowdown: how many times slower than usual it is, above 0.
        :param now_s: monotonic time.
        """
        periods = min(1.0, max(0.0, now_s - self._last_s) / CHANGE_S)
        if periods > 0.0:
            self._periods = min(MEAN_PERIODS, self._periods + periods)
            self._mean += periods / self._periods * (slowdown - self._mean)
        self._last, self._last_s = slowdown, now_s

    def observe_answer(self, answer_s, load_factor, now_s):
        """Compare the time of an answer with the slowdown that it stated.

        :param answer_s: the time from the request to the answer.
        :param load_factor: how many times longer it takes because of other requests.
        :param now_s: monotonic time.
        """
        self._answer_count += 1
        weight = max(ANSWER_WEIGHT, 1.0 / self._answer_count)
        unit_s = max(ANSWER_MIN_S, answer_s) / (self._last * load_factor)
        self._mean_log_s += weight * (math.log(unit_s) - self._mean_log_s)
        usual_s = self._usual_answer.unit_s(now_s)
        self._excess = 1.0
        if usual_s is not None and self._answer_count >= ANSWERS_MIN:
            excess = self.unit_s / usual_s
            self._excess = excess if excess >= EXCESS_MIN else 1.0

    def slowdown(self, now_s):
        """Return how many times slower than usual it presumably is at `now_s`."""
        # This is called for each target of a request, so it calls nothing itself.
        age = (now_s - self._last_s) / CHANGE_S
        slowdown = self._mean
        if age < 1.0:
            slowdown = self._last + age * (slowdown - self._last)
        slowdown *= self._excess
        return slowdown if slowdown > SLOWDOWN_MIN else SLOWDOWN_MIN
