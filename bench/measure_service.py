"""Measures the service under failures and load, and a simple baseline for comparison.

Prints one JSON line per case. The baseline, whose cases end in ``/baseline``, routes at
random among the targets in service and retries a fixed number of times. The records of
the back ends show what ran, how often, and whether an engine exceeded its limit.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections import Counter  # noqa: E402
from dataclasses import dataclass, field  # noqa: E402

import gevent  # noqa: E402

from .callers import Callers  # noqa: E402
from .layout import Domain  # noqa: E402
from .settlements import Settlements  # noqa: E402
from .site import Site  # noqa: E402

DOMAINS = (
    Domain("ulaanbaatar", "central", entries=2, engines=2, services=1),
    Domain("darkhan", "central", entries=2, engines=2, services=1),
    Domain("oyu-gobi", "south", entries=2, engines=2, services=1),
)
WARM_CONCURRENCY = 4
QUEUE_MAX = 8
STEP_S = 0.08
TOKENS = 8
CAPACITY_PER_S = 6 * WARM_CONCURRENCY / (STEP_S * TOKENS)
BASE_PER_S = 0.4 * CAPACITY_PER_S
SETTLEMENTS_PER_S = 2.0
LARGE_TEAMS = {"large-1": 0.35, "large-2": 0.35}
SMALL_TEAMS = {f"small-{number}": 0.3 / 8 for number in range(1, 9)}
WARM_UP_S = 8.0
STEADY_S = 4.0
LOAD_S = 6.0
SLOW_FACTOR = 3.0


@dataclass
class Window:
    """An interval of monotonic time, with the wall-clock time of its start.

    :param end_s: infinite until `close` is called.
    """

    start_s: float = field(default_factory=time.monotonic)
    end_s: float = float("inf")
    start_unix_s: float = field(default_factory=time.time)

    def close(self):
        """Set the end of the window to now and return the window."""
        self.end_s = time.monotonic()
        return self

    @property
    def duration_s(self):
        """The time from start to end, in seconds."""
        return self.end_s - self.start_s

    def contains(self, instant_s):
        """Return whether an instant of monotonic time is in the window."""
        return self.start_s <= instant_s < self.end_s


class Trial:
    """The cases that are measured on one site under load.

    :param policy: the routing policy of the entries, ``balanced`` or ``random``.
    """

    def __init__(self, site, policy):
        self._site = site
        self._suffix = "" if policy == "balanced" else "/baseline"
        teams = {**LARGE_TEAMS, **SMALL_TEAMS}
        self._callers = Callers(site, BASE_PER_S, TOKENS, teams=teams)
        self._settlements = Settlements(site, SETTLEMENTS_PER_S)
        self._peak_per_s = None

    def run(self):
        """Yield the result line of each case."""
        site = self._site
        site.declare("v1", size_bytes=200_000)
        engines = site.targets()
        site.wait_for(lambda: site.count_loaded("v1") == len(engines))
        site.wait_for(lambda: site.count_ready() == len(site.instances))
        for engine in engines:
            site.set_faults(engine.backend_address, step_s=STEP_S)
        self._callers.start()
        self._settlements.start()
        gevent.sleep(WARM_UP_S)
        for case in (
            self._domain_out,
            self._domain_cut,
            self._third_killed,
            self._cold_start,
            self._load_1x,
            self._load_2x,
            self._load_5x,
            self._team_burst,
        ):
            yield case()
        self._callers.stop()
        self._settlements.stop()

    def _domain_out(self):
        before = self._observe_steady_state()
        out_domain = DOMAINS[1].name
        during = Window()
        self._site.apply(self._site.domain_resource(out_domain, False))
        out_unix_s = time.time()
        gevent.sleep(6.0)
        self._site.apply(self._site.domain_resource(out_domain, True))
        during.close()
        back_unix_s = time.time()
        gevent.sleep(6.0)
        last_work_s = max(
            (
                record["at"] - out_unix_s
                for record in self._run_records(out_domain)
                if out_unix_s <= record["at"] < back_unix_s
            ),
            default=0.0,
        )
        return self._measure(
            "domain_out",
            before,
            during,
            during.end_s,
            new_work_after_out_s=last_work_s,
        )

    def _domain_cut(self):
        before = self._observe_steady_state()
        first, second, cut_domain = (domain.name for domain in DOMAINS)
        during = Window()
        self._site.cut([cut_domain, first], [cut_domain, second])
        gevent.sleep(6.0)
        during.close()
        self._site.cut()
        gevent.sleep(6.0)
        return self._measure("domain_cut", before, during, during.end_s)

    def _third_killed(self):
        before = self._observe_steady_state()
        killed = [self._site.targets()[0], self._site.targets()[2]]
        during = Window()
        for instance in killed:
            self._site.kill_daemon(instance)
            self._site.kill_backend(instance)
        gevent.sleep(6.0)
        during.close()
        for instance in killed:
            self._site.start_backend(instance)
            self._site.start_daemon(instance)
        self._site.wait_for(
            lambda: self._site.count_loaded("v1", killed) == len(killed)
        )
        for instance in killed:
            self._site.set_faults(instance.backend_address, step_s=STEP_S)
        gevent.sleep(WARM_UP_S)
        return self._measure(
            "third_killed",
            before,
            during,
            during.start_s,
            recovery_until_s=during.end_s,
        )

    def _cold_start(self):
        before = self._observe_steady_state()
        during = Window()
        for instance in self._site.targets()[::2]:
            self._site.ask(instance.backend_address, "POST", "/turn_cold", {})
        gevent.sleep(6.0)
        return self._measure("cold_start", before, during.close(), during.start_s)

    def _load_1x(self):
        return self._load("load_1x", 1)

    def _load_2x(self):
        return self._load("load_2x", 2)

    def _load_5x(self):
        return self._load("load_5x", 5)

    def _load(self, case, factor):
        before = self._observe_steady_state()
        self._callers.rate_per_s = factor * CAPACITY_PER_S
        gevent.sleep(1.0)
        during = Window()
        gevent.sleep(LOAD_S)
        during.close()
        self._callers.rate_per_s = BASE_PER_S
        gevent.sleep(4.0)
        goodput_per_s = self._goodput_per_s(during)
        self._peak_per_s = max(self._peak_per_s or 0.0, goodput_per_s)
        return self._measure(
            case,
            before,
            during,
            during.end_s,
            load=True,
            goodput_ratio=goodput_per_s / self._peak_per_s,
        )

    def _team_burst(self):
        """Measure small teams while a large team sends four times the capacity."""
        before = self._observe_steady_state()
        burst = Callers(self._site, 4 * CAPACITY_PER_S, TOKENS, teams={"large-1": 1.0})
        burst.start()
        gevent.sleep(1.0)
        during = Window()
        gevent.sleep(LOAD_S)
        during.close()
        burst.stop()
        gevent.sleep(3.0)
        return self._measure(
            "team_burst", before, during, during.end_s, teams=SMALL_TEAMS, load=True
        )

    def _observe_steady_state(self):
        window = Window()
        gevent.sleep(STEADY_S)
        return window.close()

    def _measure(
        self,
        case,
        before,
        during,
        recovery_from_s,
        teams=None,
        load=False,
        recovery_until_s=None,
        **extra,
    ):
        """Return the result line of a case.

        First tokens and goodput are measured during the disturbance. Requests are
        counted until the call of this method, when the service has recovered, or, if
        `load` is true, only during the disturbance.

        :param before: a window of steady state before the disturbance.
        :param during: the window of the disturbance.
        :param recovery_from_s: the monotonic time from which recovery is measured.
        :param recovery_until_s: the time until which it is measured, because a new
            disturbance began then; None for the call of this method.
        :param teams: the teams whose requests are counted, or None for all.
        :param load: whether the disturbance is increased load.
        """
        gevent.sleep(1.0)
        until_s = time.monotonic()
        sent_until_s = during.end_s if load else until_s
        outcomes = [
            outcome
            for outcome in self._callers.outcomes
            if teams is None or outcome.team in teams
        ]
        sent = [
            outcome
            for outcome in outcomes
            if during.start_s <= outcome.started_s < sent_until_s
        ]
        answered = [outcome for outcome in sent if outcome.result == "ok"]
        _print_outcomes(case, sent)
        settlements = [
            item
            for item in self._settlements.settlements
            if before.start_s <= item.started_s < until_s
        ]
        normal_p95_s = _p95_s(outcomes, before)
        measures = {
            "case": case + self._suffix,
            "requests": len(sent),
            "answered_ratio": _ratio(len(answered), len(sent)),
            "wrong": sum(outcome.result in ("wrong", "partial") for outcome in sent)
            + sum("wrong" in item.attempts for item in settlements),
            "doubled": self._count_excess_runs(settlements),
            "false_not_run": self._count_false_not_run(sent, settlements),
            "new_work_after_out_s": None,
            "cold_over_limit": self._count_over_limit(before.start_unix_s),
            "ttft_p95_ratio": _ratio(_p95_s(outcomes, during), normal_p95_s),
            "recovery_s": _recovery_s(
                outcomes,
                recovery_from_s,
                recovery_until_s or until_s,
                normal_p95_s,
            ),
            "goodput_ratio": self._goodput_per_s(during, outcomes)
            / max(0.001, self._goodput_per_s(before, outcomes)),
        }
        measures.update(extra)
        return {
            key: round(value, 3) if isinstance(value, float) else value
            for key, value in measures.items()
        }

    def _goodput_per_s(self, window, outcomes=None):
        outcomes = self._callers.outcomes if outcomes is None else outcomes
        good = [
            outcome
            for outcome in outcomes
            if outcome.result == "ok" and window.contains(outcome.ended_s)
        ]
        return len(good) / window.duration_s

    def _count_excess_runs(self, settlements):
        """Return how many runs there were beyond the first of each settlement."""
        run_counts = self._settlements.run_counts()
        return sum(max(0, run_counts[item.body] - 1) for item in settlements)

    def _count_false_not_run(self, sent, settlements):
        """Return how many requests were refused as "not run" but ran."""
        run_counts = self._settlements.run_counts()
        false_count = sum(
            item.reported_not_run and run_counts[item.body] > 0 for item in settlements
        )
        ran_ids = {record["request_id"] for record in self._run_records()}
        return false_count + sum(
            outcome.ran == "no" and outcome.request_id in ran_ids for outcome in sent
        )

    def _count_over_limit(self, since_unix_s):
        return sum(
            record["event"] == "over_limit" and record["at"] >= since_unix_s
            for engine in self._site.targets()
            for record in self._site.backend_records(engine)
        )

    def _run_records(self, domain=None):
        """Return the records of what targets ran, in one failure domain or in all."""
        targets = self._site.targets() + self._site.targets("service")
        return [
            record
            for instance in targets
            if domain in (None, instance.failure_domain)
            for record in self._site.backend_records(instance)
            if record["event"] == "ran"
        ]


def _print_outcomes(case, outcomes):
    """Print the number of requests by result and code to standard error."""
    counts = Counter(f"{outcome.result} {outcome.code}".strip() for outcome in outcomes)
    print(case, dict(counts), file=sys.stderr, flush=True)


def _ratio(part, whole):
    return part / whole if whole else float("nan")


def _p95_s(outcomes, window):
    times = sorted(
        outcome.first_token_s
        for outcome in outcomes
        if outcome.first_token_s and window.contains(outcome.started_s)
    )
    return times[int(len(times) * 0.95)] if times else float("nan")


def _recovery_s(outcomes, from_s, until_s, normal_p95_s):
    """Return how long after `from_s` the last failed or slow request started.

    A request is slow if its first token takes more than `SLOW_FACTOR` times the 95th
    percentile before the disturbance.
    """
    bad = [
        outcome.started_s - from_s
        for outcome in outcomes
        if from_s <= outcome.started_s < until_s
        and (
            outcome.result != "ok" or outcome.first_token_s > SLOW_FACTOR * normal_p95_s
        )
    ]
    return max(bad, default=0.0)


def main():
    """Run all cases with each routing policy in the arguments; by default both."""
    policies = sys.argv[1:] or ["balanced", "random"]
    for policy in policies:
        overrides = {
            "entry": {"routing_policy": policy},
            "target": {"warm_concurrency": WARM_CONCURRENCY, "queue_max": QUEUE_MAX},
        }
        with Site(DOMAINS, overrides=overrides) as site:
            for measures in Trial(site, policy).run():
                print(json.dumps(measures), flush=True)


if __name__ == "__main__":
    main()
