"""``make measure-control``: what control costs a daemon, one JSON line per case.

Sites of real processes are idle first, then receive changes. Processor time comes from
``/proc``, bytes from the link stand-in and calls from the object API stand-in. Costs
that grow with a size, such as that of the instance list or the configuration, are
measured in this process, up to the size to design for. The last case combines both and
is marked extrapolated.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import contextlib  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import statistics  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

from gevent.pool import Pool  # noqa: E402

from briarbeam.configuration.watcher import WATCHERS_PER_DOMAIN  # noqa: E402

from .control_slopes import SLOPES  # noqa: E402
from .layout import Domain  # noqa: E402
from .site import Site  # noqa: E402

SIZES = (12, 39, 120)
IDLE_S = 30.0
CHANGES = 15
CHANGE_PAUSE_S = 2.0
TRIALS = 5
TIMEOUT_S = 180.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

DESIGN_ENTRIES = 370
DESIGN_TARGETS = 740
CONFIGURATION_CHANGES_PER_DAY = 750
LIST_CHANGES_PER_DAY = 500
DAY_S = 86_400
COPIES = 2
SITE_DOMAINS = 3
DESIGN_DOMAINS = 8
EXTRAPOLATED = (
    "cpu_pct_core",
    "cpu_pct_core_entry",
    "cpu_pct_core_target",
    "cpu_pct_core_max",
    "control_bytes_per_s",
    "control_bytes_per_s_max",
)


def make_site(daemons):
    """Return a site of `daemons` daemons in three domains, a third of them entries."""
    per_domain = daemons // 3
    entries = max(1, per_domain // 3)
    names = (("hobart", "south"), ("launceston", "north"), ("burnie", "north"))
    return Site(
        [Domain(name, region, entries, per_domain - entries) for name, region in names]
    )


class Meter:
    """Reads the resource usage of the daemons of a site.

    :param site: the running `Site`.
    """

    def __init__(self, site):
        self._site = site
        self._daemons = list(site.instances.values())

    def sample(self):
        """Return the counters at this moment.

        These are the monotonic time, the processor seconds by instance, the bytes in
        and out by instance, and the number of calls to the platform.
        """
        cpu_s = {item.name: _cpu_s(item.daemon.pid) for item in self._daemons}
        counts = self._site.ask(self._site.links, "GET", "/counts")
        link_bytes = {
            item.name: [
                counts.get(f"{item.name}/{direction}", 0) for direction in ("in", "out")
            ]
            for item in self._daemons
        }
        calls = self._site.ask(self._site.object_api, "GET", "/counts")
        return time.monotonic(), cpu_s, link_bytes, sum(calls.values())

    def usage_since(self, before):
        """Return the mean usage since the sample `before`, and the current memory."""
        start_s, cpu_s, link_bytes, calls = before
        now_s, cpu_now_s, link_bytes_now, calls_now = self.sample()
        elapsed_s = now_s - start_s
        cpu = {k: 100 * (cpu_now_s[k] - cpu_s[k]) / elapsed_s for k in cpu_s}
        rates = {
            k: sum(now - then for now, then in zip(link_bytes_now[k], link_bytes[k],
                                                   strict=True)) / elapsed_s
            for k in link_bytes
        }  # fmt: skip
        entries = [item.name for item in self._daemons if item.role == "entry"]
        targets = [item.name for item in self._daemons if item.role == "target"]
        rss = [_rss_bytes(item.daemon.pid) / 1e6 for item in self._daemons]
        return {
            "entries": len(entries),
            "targets": len(targets),
            "cpu_pct_core": round(statistics.mean(cpu.values()), 3),
            "cpu_pct_core_entry": round(
                statistics.mean(cpu[name] for name in entries), 3
            ),
            "cpu_pct_core_target": round(
                statistics.mean(cpu[name] for name in targets), 3
            ),
            "cpu_pct_core_max": round(max(cpu.values()), 3),
            "rss_mb": round(max(rss), 1),
            "control_bytes_per_s": round(statistics.mean(rates.values())),
            "control_bytes_per_s_max": round(max(rates.values())),
            "platform_calls_per_s": round((calls_now - calls) / elapsed_s, 2),
        }


def measure(daemons):
    """Run a site of `daemons` daemons and yield its cases: idle, then with changes."""
    with make_site(daemons) as site:
        site.declare("v1", size_bytes=64_000)
        targets = len(site.targets())
        with contextlib.suppress(TimeoutError):
            site.wait_for(
                lambda: site.count_loaded("v1") == targets, TIMEOUT_S, pause_s=2.0
            )
        time.sleep(5)
        meter = Meter(site)
        before = meter.sample()
        time.sleep(IDLE_S)
        idle = meter.usage_since(before)
        before = meter.sample()
        for number in range(CHANGES):
            site.apply(_team_resource(number))
            time.sleep(CHANGE_PAUSE_S)
        changing = meter.usage_since(before)
        worst_s = max(_in_force_s(site, CHANGES + trial) for trial in range(TRIALS))
        extra = {"loaded": site.count_loaded("v1")}
        yield {"case": f"idle-{daemons}", **idle, "config_in_force_s": None, **extra}
        yield {
            "case": f"changing-{daemons}",
            **changing,
            "changes_per_s": 1 / CHANGE_PAUSE_S,
            "config_in_force_s": round(worst_s, 2),
        }


def extrapolate(cases, slopes):
    """Return the case extrapolated to the size to design for.

    Processor time and bytes of an idle daemon are fitted linearly to the share of
    daemons that are watchers, which falls with the size; memory is fitted linearly to
    the number of daemons. The changes of a day are added to both. The highest bytes are
    those of a watcher, which also reads each change from the platform, uncompressed.
    """
    idle = [case for case in cases if case["case"].startswith("idle")]
    changing = [case for case in cases if case["case"].startswith("changing")]
    daemons = DESIGN_ENTRIES + DESIGN_TARGETS
    shares = [_watcher_share(SITE_DOMAINS, _daemons(case)) for case in idle]
    share = _watcher_share(DESIGN_DOMAINS, daemons)
    changes = [
        (slopes["list_change", daemons], LIST_CHANGES_PER_DAY),
        (slopes["configuration_change", 1000], CONFIGURATION_CHANGES_PER_DAY),
    ]
    cpu_ms = sum(slope["cpu_ms"] * per_day for slope, per_day in changes)
    sent_bytes = sum(
        slope["packed_bytes"] * COPIES * per_day for slope, per_day in changes
    )
    read_bytes = sum(slope["body_bytes"] * per_day for slope, per_day in changes)
    # Milliseconds per second, divided by 10, are percent of a core.
    added = dict.fromkeys(EXTRAPOLATED, cpu_ms / DAY_S / 10)
    added["control_bytes_per_s"] = sent_bytes / DAY_S
    added["control_bytes_per_s_max"] = (sent_bytes + read_bytes) / DAY_S
    extrapolated = {}
    for key in EXTRAPOLATED:
        points = zip(shares, [case[key] for case in idle], strict=True)
        value = _fit_at(list(points), share) + added[key]
        extrapolated[key] = round(value, 3)
    memory = [(_daemons(case), case["rss_mb"]) for case in idle]
    calls = max(case["platform_calls_per_s"] for case in idle)
    return {
        "case": "extrapolated",
        "entries": DESIGN_ENTRIES,
        "targets": DESIGN_TARGETS,
        **extrapolated,
        "rss_mb": round(_fit_at(memory, daemons) + changes[0][0]["held_mb"], 1),
        "platform_calls_per_s": round(calls / SITE_DOMAINS * DESIGN_DOMAINS, 1),
        "config_in_force_s": max(case["config_in_force_s"] for case in changing),
        "extrapolated": True,
        "measured_up_to_daemons": max(map(_daemons, idle)),
    }


def _daemons(case):
    return case["entries"] + case["targets"]


def _watcher_share(domains, daemons):
    return WATCHERS_PER_DOMAIN * domains / daemons


def _in_force_s(site, number):
    """Apply a change and return the seconds until every daemon has it in force.

    The result is infinite if that takes longer than `TIMEOUT_S`.
    """
    pending = list(site.instances.values())
    started_s = time.monotonic()
    revision = site.apply(_team_resource(number))
    pool = Pool(16)
    while pending:
        revisions = pool.map(site.revision, pending)
        pairs = zip(pending, revisions, strict=True)
        pending = [item for item, in_force in pairs if (in_force or 0) < revision]
        if time.monotonic() - started_s > TIMEOUT_S:
            return float("inf")
    return time.monotonic() - started_s


def _team_resource(number):
    spec = {"weight": float(number + 1)}
    return {"kind": "team", "name": "measured", "spec": spec}


def _fit_at(points, x):
    """Return the value at `x` of the least-squares line through `points`."""
    if len(points) < 2:
        return points[0][1]
    slope, intercept = statistics.linear_regression(*zip(*points, strict=True))
    return intercept + slope * x


def _cpu_s(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _rss_bytes(pid):
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def read_results(path):
    """Return the cases and slopes from the output of an earlier run."""
    lines = [json.loads(line) for line in Path(path).read_text().splitlines()]
    slopes = {(line["case"], line["size"]): line for line in lines if "size" in line}
    return [line for line in lines if "platform_calls_per_s" in line], slopes


def main():
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--sizes", default=",".join(map(str, SIZES)))
    arguments.add_argument("--slopes-only", action="store_true")
    arguments.add_argument(
        "--extrapolate", metavar="FILE", help="the output of an earlier run"
    )
    options = arguments.parse_args()
    if options.extrapolate:
        print(json.dumps(extrapolate(*read_results(options.extrapolate))))
        return
    slopes = {}
    for name, (sizes, slope) in SLOPES.items():
        for size in sizes:
            slopes[name, size] = costs = slope(size)
            print(json.dumps({"case": name, "size": size, **costs}), flush=True)
    if options.slopes_only:
        return
    cases = []
    for daemons in map(int, options.sizes.split(",")):
        for case in measure(daemons):
            cases.append(case)
            print(json.dumps(case), flush=True)
    print(json.dumps(extrapolate(cases, slopes)), flush=True)


if __name__ == "__main__":
    sys.exit(main())
