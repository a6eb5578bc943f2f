"""Decides whether the first state that a process reads may lack what a restore lost.

The store counts its restores as its era. A process that makes its first call just after
a restore can't tell from the answers how old the era is. Daemons therefore tell each
other for how long they have known it.
"""

import math

import structlog
from prometheus_client import Gauge

# The store's first era; in it, or without eras (era 0), it was never restored.
FIRST_ERA = 1
# How long after a restore of the store its answers are not taken to show all that was
# ever written. Operators and instances write again what it lost within about 2 s.
REWRITE_GRACE_S = 2.0

_ERA_AGE = Gauge(
    "briarbeam_store_era_age_seconds",
    "Seconds since which the store's era is known to exist",
)
_log = structlog.get_logger()


class EraAge:
    """Tracks the latest known era of the store, and since when it is known to exist.

    An age may be too low, which only makes a start wait, but must not be too high. So
    it counts from the time at which an answer or a message arrived, without the delay
    of that. A process that is paused meanwhile dates the era too late, never too early.

    :param clock: the `Clock`. Ages are measured in boot time, as an era also ages while
        the machine is suspended.
    """

    def __init__(self, clock):
        self._clock = clock
        self._era = 0
        self._since_s = math.inf
        self._has_risen = False

    def observe(self, era, previous=None):
        """Record that the store is in `era` now.

        :param previous: the era that the store was seen in before, or None.
        """
        if previous is not None and era > previous:
            self._has_risen = True
        self._update(era, self._clock.boottime_s())

    def record_reported(self, era, age_s, host):
        """Record that the daemon at `host` has known `era` for `age_s` seconds."""
        age_before_s = self.age_s(era)
        self._update(era, self._clock.boottime_s() - age_s)
        if era > FIRST_ERA and (age_before_s or 0.0) < REWRITE_GRACE_S <= age_s:
            _log.info("store_era_age_learned", era=era, age_s=age_s, host=host)

    def _update(self, era, since_s):
        if era > self._era:
            self._era, self._since_s = era, since_s
            _ERA_AGE.set_function(lambda: self.age_s(self._era))
        elif era == self._era:
            self._since_s = min(self._since_s, since_s)

    def age_s(self, era):
        """Return for how many seconds at least the store has been in `era`, or None."""
        if era != self._era or not math.isfinite(self._since_s):
            return None
        return self._clock.boottime_s() - self._since_s

    def describe(self):
        """Return the latest era and its age in seconds, to report to other daemons.

        Both are 0 if the store was never restored, as nobody needs the age then. The
        age is rounded down.
        """
        if self._era <= FIRST_ERA:
            return 0, 0.0
        return self._era, math.floor(self.age_s(self._era) * 1000) / 1000

    def is_settled(self, era, at_s):
        """Return whether what was read at `at_s` shows all that was written before.

        :param era: the era of the store that it was read in.
        :param at_s: the boot time at which it matched the store.
        """
        if era <= FIRST_ERA and not self._has_risen:
            return True
        return era == self._era and at_s - self._since_s >= REWRITE_GRACE_S
