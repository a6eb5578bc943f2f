"""One play of a seed: a site, callers, faults, and the checks at its end."""

import random
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import gevent

from .callers import TIME_LIMIT_S, Caller
from .checks import Checker
from .faults import FaultPlayer
from .site import Size, SoakSite

START_TIMEOUT_S = 30.0
# The users' bound on recovery after everything is back.
RECOVERY_S = 12.0
CALM_S = 3.0
SERIES = 3


@dataclass(frozen=True)
class SoakPlan:
    """What is played.

    :param seconds: for how long faults begin.
    """

    seed: int
    seconds: float = 20.0
    callers: int = 8
    size: Size = Size()


@dataclass
class Result:
    """What came of a play."""

    violations: list
    attempts: int
    statuses: Counter
    faults: int
    folder: Path

    def __str__(self):
        return (
            f"{self.attempts} requests {dict(self.statuses)}, {self.faults} faults, "
            f"{len(self.violations)} broken promises"
        )


def play(plan):
    """Play `plan` and return its `Result`."""
    rng = random.Random(plan.seed)
    site = SoakSite(plan.size)
    attempts, tasks = [], []
    try:
        _wait_until_ready(site)
        for number in range(plan.callers):
            caller = Caller(
                f"s{plan.seed}c{number}", site.choose_entry,
                lambda: ["main", "main", *site.keys], rng.random(), attempts,
            )  # fmt: skip
            tasks.append(gevent.spawn(caller.run))
        gevent.sleep(CALM_S)
        player = FaultPlayer(site, rng, SERIES)
        gevent.sleep(plan.seconds)
        player.end()
        gevent.sleep(RECOVERY_S)
        healed_s = time.monotonic()
        gevent.sleep(CALM_S)
        gevent.killall(tasks)
        # What is still under way may run until its time limit.
        gevent.sleep(TIME_LIMIT_S)
        violations = Checker(site, player, attempts).check_all(healed_s)
    finally:
        gevent.killall(tasks)
        site.stop()
    statuses = Counter(attempt.status for attempt in attempts)
    return Result(violations, len(attempts), statuses, len(player.played), site.folder)


def _wait_until_ready(site):
    end_s = time.monotonic() + START_TIMEOUT_S
    while len(site.ready) < len(site.front_proxies):
        if time.monotonic() > end_s:
            raise TimeoutError(
                f"only {sorted(site.ready)} ready in {START_TIMEOUT_S} s"
            )
        gevent.sleep(0.1)
