"""``make measure-rollout``: rollouts of new weights, one JSON line per case.

The stand-ins limit the rate of the links, so ``ratio`` compares the time until every
reachable engine has loaded the new version with the physical limit. Copies are the
bytes on a link divided by the payload, less what the link carried in the same time
before the rollout.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from dataclasses import dataclass  # noqa: E402

import gevent  # noqa: E402

from .callers import Callers  # noqa: E402
from .layout import Domain  # noqa: E402
from .rollout_failures import Trial, failures  # noqa: E402
from .site import Site  # noqa: E402

SIZES = (8, 16, 32, 64)
FAILURE_SIZE = 16
PAYLOAD_BYTES = 48_000_000
FAILURE_PAYLOAD_BYTES = 16_000_000
BASELINE_PAYLOAD_BYTES = 8_000_000
CHUNK_BYTES = 100_000
INITIAL_PAYLOAD_BYTES = 250_000
LINK_BYTES_PER_S = 1_000_000
ORIGIN_BYTES_PER_S = 4_000_000
REGION_BYTES_PER_S = 1_250_000
LINK_SHARE = 0.95
TOKEN_INTERVAL_S = 0.4
TOKENS = 2
REQUESTS_PER_S = 12.0
BACKGROUND_S = 10.0
WARM_UP_S = 3.0
TIMEOUT_S = 180.0
POLL_S = 0.5


@dataclass(frozen=True)
class Case:
    """One measurement.

    :param source_order: the plan by which targets choose the sources of chunks.
    :param failure: the name of the failure injected during the rollout, or None.
    """

    name: str
    targets: int
    source_order: str = "scatter"
    failure: str | None = None
    payload_bytes: int = PAYLOAD_BYTES


def cases(sizes, failure_sizes, names):
    """Return the cases for the given sizes, limited to `names` if there are any."""
    selected = [Case("scatter", targets) for targets in sizes]
    selected += [
        Case("baseline-origin", targets, "origin", None, BASELINE_PAYLOAD_BYTES)
        for targets in sizes
    ]
    selected += [
        Case(name, targets, failure=name, payload_bytes=FAILURE_PAYLOAD_BYTES)
        for targets in failure_sizes
        for name in failures.names()
    ]
    return [case for case in selected if not names or case.name in names]


def domains(targets):
    """Return three failure domains in two regions with `targets` targets in total."""
    share = targets * 3 // 8
    return (
        Domain("hobart", "south", entries=2, engines=share),
        Domain("launceston", "north", entries=2, engines=share),
        Domain("burnie", "north", entries=2, engines=targets - 2 * share),
    )


class Measurement:
    """The measurement of one case.

    :param case: the `Case`.
    """

    def __init__(self, case):
        self._case = case
        overrides = {
            "weights": {
                "link_bytes_per_s": LINK_BYTES_PER_S,
                "link_share": LINK_SHARE,
                "source_order": case.source_order,
            },
            "target": {"order_timeout_s": 10.0},
        }
        self._site = Site(
            domains(case.targets),
            LINK_BYTES_PER_S,
            REGION_BYTES_PER_S,
            ORIGIN_BYTES_PER_S,
            overrides,
        )

    def run(self):
        """Run the case and return its result line."""
        with self._site as site:
            self._prepare()
            callers = Callers(site, REQUESTS_PER_S, TOKENS)
            callers.start()
            gevent.sleep(WARM_UP_S)
            background_start_s, background_counts = time.monotonic(), self._counts()
            gevent.sleep(BACKGROUND_S)
            before = self._counts()
            rates = _rates(
                background_counts, before, time.monotonic() - background_start_s
            )
            sent_before = self._origin_sent_bytes()
            start_s, start_unix_s = time.monotonic(), time.time()
            trial = self._roll_out()
            is_done = self._wait_until_done(trial)
            end_s = time.monotonic()
            after = self._counts()
            callers.stop()
            took_s = max(0.0, self._last_order_unix_s(trial) - start_unix_s)
            copies = _copies(rates, before, after, end_s - start_s)
            idle_p95_s = callers.first_token_p95_s(background_start_s, start_s)
            rollout_p95_s = callers.first_token_p95_s(start_s, end_s)
            counts = callers.counts()
        payload = self._case.payload_bytes
        limit_s = payload / min(LINK_BYTES_PER_S, ORIGIN_BYTES_PER_S)
        return {
            "case": self._case.name,
            "targets": self._case.targets,
            "time_s": round(took_s, 2) if is_done else None,
            "limit_s": round(limit_s, 2),
            "ratio": round(took_s / limit_s, 3) if is_done else None,
            "origin_copies": round(
                (self._origin_sent_at_end - sent_before) / payload, 3
            ),
            "link_copies_max": round(copies["link"] / payload, 3),
            "region_copies_max": round(copies["region"] / payload, 3),
            "wrong_answers": counts["wrong"] + counts["partial"],
            "failed_requests": counts["refused"] + counts["failed"],
            "ttft_ratio_p95": round(rollout_p95_s / idle_p95_s, 3),
        }

    def _prepare(self):
        site = self._site
        for instance in site.targets():
            site.set_faults(instance.backend_address, step_s=TOKEN_INTERVAL_S)
        site.declare("v1", size_bytes=INITIAL_PAYLOAD_BYTES, chunk_bytes=CHUNK_BYTES)
        site.wait_for(
            lambda: site.count_loaded("v1") == len(site.targets()), TIMEOUT_S, 1.0
        )
        site.wait_for(lambda: site.count_ready() == len(site.instances), TIMEOUT_S, 1.0)

    def _roll_out(self):
        site, case = self._site, self._case
        trial = Trial(site, case.payload_bytes, CHUNK_BYTES)
        version = site.publish(
            "v2", size_bytes=case.payload_bytes, chunk_bytes=CHUNK_BYTES
        )
        site.apply(version, site.rollout_resource("v2", previous_version="v1"))
        if case.failure is not None:
            gevent.spawn(failures.get(case.failure), trial)
        return trial

    def _wait_until_done(self, trial):
        """Wait until every reachable engine serves the expected version.

        Two polls in a row must confirm it. Return whether that happens in time.
        """
        deadline_s = time.monotonic() + TIMEOUT_S * max(1, self._case.targets / 16)
        done_polls = 0
        while time.monotonic() < deadline_s:
            gevent.sleep(POLL_S)
            done_polls = done_polls + 1 if self._is_done(trial) else 0
            if done_polls > 1:
                self._origin_sent_at_end = self._origin_sent_bytes()
                return True
        self._origin_sent_at_end = self._origin_sent_bytes()
        return False

    def _is_done(self, trial):
        version_changes = self._case.failure in ("version-follows", "rolled-back")
        if version_changes and trial.expected_version == "v2":
            return False
        return all(
            self._last_order(instance)[0] == trial.expected_version
            for instance in self._site.targets()
            if instance.name not in trial.killed
        )

    def _last_order(self, instance):
        """Return version and unix time of the last order that an engine executed."""
        orders = [
            (record["version"], record["at"])
            for record in self._site.backend_records(instance)
            if record["event"] == "order"
        ]
        return orders[-1] if orders else (None, 0.0)

    def _last_order_unix_s(self, trial):
        return max(
            self._last_order(instance)[1]
            for instance in self._site.targets()
            if instance.name not in trial.killed
        )

    def _counts(self):
        return self._site.ask(self._site.links, "GET", "/counts")

    def _origin_sent_bytes(self):
        return self._site.ask(self._site.origin, "GET", "/counts")["sent_bytes"]


def _rates(before, after, duration_s):
    """Return the bytes per second on each link."""
    return {key: (after[key] - before.get(key, 0)) / duration_s for key in after}


def _copies(rates, before, after, duration_s):
    """Return the most bytes on any instance's link, both ways, and between regions.

    :param rates: bytes per second on each link without a rollout, which don't count.
    """
    links, regions = {}, {}
    for key, value in after.items():
        net = value - before.get(key, 0) - rates.get(key, 0.0) * duration_s
        name, _, direction = key.partition("/")
        if ">" in key:
            regions[key] = net
        elif direction and name not in ("origin", "object_api"):
            links[name] = links.get(name, 0.0) + net
    return {"link": max(links.values()), "region": max(regions.values(), default=0.0)}


def _numbers(text):
    return [int(number) for number in text.split(",") if number]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=_numbers, default=list(SIZES))
    parser.add_argument("--failure-sizes", type=_numbers, default=[FAILURE_SIZE])
    parser.add_argument("--cases", default="", help="names, separated by commas")
    options = parser.parse_args()
    names = [name for name in options.cases.split(",") if name]
    for case in cases(options.sizes, options.failure_sizes, names):
        try:
            line = Measurement(case).run()
        except TimeoutError as error:
            print(f"{case.name} with {case.targets} targets: {error}", file=sys.stderr)
            continue
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
