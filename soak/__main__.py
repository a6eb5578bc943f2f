"""``python -m soak``: runs the soak test for each seed and prints all violations."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

from .run import SoakPlan, run_soak  # noqa: E402
from .site import SiteSize  # noqa: E402


def main():
    """Run the seeds given on the command line; exit with status 1 if one fails."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument(
        "seeds", nargs="*", help="as 7 or 1-50; default: one random seed"
    )
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="also run the seeds in seeds.txt, each of which failed once",
    )
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="how long faults are injected"
    )
    parser.add_argument("--domains", type=int, default=2)
    parser.add_argument("--entries", type=int, default=2, help="per failure domain")
    parser.add_argument("--engines", type=int, default=1, help="per failure domain")
    parser.add_argument("--callers", type=int, default=8)
    options = parser.parse_args()
    size = SiteSize(options.domains, options.entries, options.engines)
    seeds = _parse_seeds(options.seeds)
    if options.regressions:
        seeds += _read_regressions()
    seeds = seeds or [random.SystemRandom().randrange(10**6)]
    failed = []
    for seed in seeds:
        plan = SoakPlan(seed, options.seconds, options.callers, size)
        started_s = time.monotonic()
        result = run_soak(plan)
        print(
            f"seed {seed}: {result} in {time.monotonic() - started_s:.0f} s", flush=True
        )
        for line in result.violations:
            print(f"  {line}")
        if result.violations:
            failed.append(seed)
            print(f"  logs: {result.folder}", flush=True)
        else:
            shutil.rmtree(result.folder)
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


def _read_regressions():
    lines = (Path(__file__).parent / "seeds.txt").read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and line[0] != "#"]


def _parse_seeds(words):
    seeds = []
    for word in words:
        first, _, last = word.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


if __name__ == "__main__":
    main()
