"""Runs one seed: starts a site and callers, injects faults and checks the outcome."""

import random
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import gevent

from .callers import TIME_LIMIT_S, Caller
from .checks import Checker
from .faults import FaultInjector
from .site import SiteSize, SoakSite

START_TIMEOUT_S = 30.0
# The users' limit for the recovery after all faults are undone.
RECOVERY_WAIT_S = 12.0
FAULT_FREE_S = 3.0
SERIES_COUNT = 3


@dataclass(frozen=True)
class SoakPlan:
    """The parameters of one run.

    :param seconds: the time during which new faults are injected.
    :param callers: the number of callers.
    """

    seed: int
    seconds: float = 20.0
    callers: int = 8
    size: SiteSize = SiteSize()


@dataclass
class Result:
    """The outcome of one run."""

    violations: list
    attempts: int
    statuses: Counter
    faults: int
    folder: Path

    def __str__(self):
        return (
            f"{self.attempts} requests {dict(self.statuses)}, {self.faults} faults, "
            f"{len(self.violations)} violations"
        )


def run_soak(plan):
    """Run `plan` and return its `Result`."""
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
        gevent.sleep(FAULT_FREE_S)
        injector = FaultInjector(site, rng, SERIES_COUNT)
        gevent.sleep(plan.seconds)
        injector.end()
        gevent.sleep(RECOVERY_WAIT_S)
        recovered_s = time.monotonic()
        gevent.sleep(FAULT_FREE_S)
        gevent.killall(tasks)
        # Requests that are still running may take until their time limit.
        gevent.sleep(TIME_LIMIT_S)
        violations = Checker(site, injector, attempts).check_all(recovered_s)
    finally:
        gevent.killall(tasks)
        site.stop()
    statuses = Counter(attempt.status for attempt in attempts)
    return Result(
        violations, len(attempts), statuses, len(injector.injected), site.folder
    )


def _wait_until_ready(site):
    end_s = time.monotonic() + START_TIMEOUT_S
    while len(site.ready_entries) < len(site.entry_proxies):
        if time.monotonic() > end_s:
            raise TimeoutError(
                f"only {sorted(site.ready_entries)} became ready within {START_TIMEOUT_S} s"
            )
        gevent.sleep(0.1)
