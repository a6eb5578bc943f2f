"""Keeps requests away from engines that would end them."""

from dataclasses import dataclass

import gevent
import structlog
from prometheus_client import Gauge

from .culprits import SUSPECT_CRASHES_MIN, find_culprits
from .suspects import name_some

# Other entries can excuse a suspect within this time before it is quarantined.
SETTLE_S = 0.05
# After this time without a crash, one request is tried. The time doubles each time that
# an engine ends under such a request.
TRIAL_AFTER_S = 30.0
TRIAL_AFTER_MAX_S = 3600.0
# A crash that comes this long after the one before is assumed to be that of a trial.
TRIAL_GAP_S = 20.0
# How long the result of a trial is awaited before another one is made.
TRIAL_TIMEOUT_S = 10.0
# Another entry may make the trial after this time, if the one before gets no request.
TRIAL_TURN_S = 5.0

_QUARANTINED = Gauge(
    "briarbeam_quarantined_suspects",
    "Groups of parts of prompts, and requests, that end engines",
)
_log = structlog.get_logger()


@dataclass
class _Case:
    """A group of suspects that is held responsible for crashes.

    :param since_s: boot time from which that is known.
    :param last_crash_s: boot time of the last crash.
    :param trial_after_s: how long after the last crash a request is tried.
    :param trial_s: boot time of the trial that this entry makes, or None.
    """

    since_s: float
    last_crash_s: float
    trial_after_s: float
    trial_s: float | None = None

    def is_effective(self, now_s):
        return now_s >= self.since_s + SETTLE_S

    def left_s(self, now_s):
        return max(0.0, self.last_crash_s + self.trial_after_s - now_s)


class Quarantine:
    """Decides which requests may not be sent because engines ended under their suspects.

    `on_effective` is called without arguments when more requests are concerned.
    `is_turn` is called with a text that identifies a trial, and returns whether this
    entry is the one that makes it.

    :param clock: the `Clock`.
    :param evidence: the `CrashEvidence`.
    """

    def __init__(self, clock, evidence):
        self._clock = clock
        self._evidence = evidence
        self._cases = {}
        self.on_effective = lambda: None
        self.is_turn = lambda subject: True
        evidence.on_change = self.update

    @property
    def suspects(self):
        """The suspects of all groups."""
        return frozenset().union(*self._cases)

    def update(self):
        """Find the responsible suspects again, after the evidence has changed."""
        now_s = self._clock.boottime_s()
        crashes_by_suspect = self._evidence.unexcused(SUSPECT_CRASHES_MIN)
        cases = {}
        groups = find_culprits(crashes_by_suspect, self._evidence.runs, self.suspects)
        for group in groups:
            crashes = crashes_by_suspect[min(group)].values()
            times_s = sorted(crash.at_s for crash in crashes)
            earlier = [c for known, c in self._cases.items() if known & group]
            since_s = min((case.since_s for case in earlier), default=now_s)
            case = _Case(since_s, times_s[-1], _trial_after_s(times_s))
            if group in self._cases:
                case.trial_s = self._cases[group].trial_s
            else:
                gevent.spawn_later(SETTLE_S, self._apply, group, case, len(crashes))
            cases[group] = case
        for group in self._cases.keys() - cases.keys():
            if self._cases[group].is_effective(now_s):
                _log.info("suspect_released", suspects=name_some(sorted(group)))
        self._cases = cases
        _QUARANTINED.set(len(cases))

    def left_s(self, suspects):
        """Return for how long a request with `suspects` may not be sent, or None.

        :returns: None if it may be sent; 0 if it is due for a trial by some entry.
        """
        now_s = self._clock.boottime_s()
        return max(
            (case.left_s(now_s) for _, case in self._effective_cases(suspects)),
            default=None,
        )

    def try_trial(self, suspects):
        """Return whether a request with `suspects` is the next trial of all its groups."""
        now_s = self._clock.boottime_s()
        cases = self._effective_cases(suspects)
        if not all(self._is_due(group, case, now_s) for group, case in cases):
            return False
        for group, case in cases:
            case.trial_s = now_s
            _log.info("suspect_tried", suspects=name_some(sorted(group)))
        return True

    def _is_due(self, group, case, now_s):
        if case.left_s(now_s):
            return False
        if case.trial_s is not None and now_s - case.trial_s < TRIAL_TIMEOUT_S:
            return False
        overdue_s = now_s - case.last_crash_s - case.trial_after_s
        turn = int(overdue_s / TRIAL_TURN_S)
        return self.is_turn(f"{','.join(sorted(group))}/{turn}")

    def _effective_cases(self, suspects):
        if not self._cases:
            return []
        now_s, present = self._clock.boottime_s(), frozenset(suspects)
        return [
            (group, case)
            for group, case in self._cases.items()
            if group <= present and case.is_effective(now_s)
        ]

    def _apply(self, group, case, crash_count):
        # A timer may fire early, because the event loop caches the time.
        while group in self._cases and not case.is_effective(self._clock.boottime_s()):
            gevent.sleep(SETTLE_S / 8)
        if group in self._cases:
            _log.info(
                "suspect_quarantined",
                suspects=name_some(sorted(group)),
                crashes=crash_count,
                trial_after_s=case.trial_after_s,
            )
            self.on_effective()


def _trial_after_s(times_s):
    """Return the time from the last crash to the next trial.

    :param times_s: the sorted times of all crashes.
    """
    trials = sum(
        later_s - earlier_s > TRIAL_GAP_S
        for earlier_s, later_s in zip(times_s, times_s[1:], strict=False)
    )
    return min(TRIAL_AFTER_MAX_S, TRIAL_AFTER_S * 2**trials)
