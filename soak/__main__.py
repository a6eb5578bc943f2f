"""``python -m soak``: plays seeds and prints each promise that was broken."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

from .run import SoakPlan, play  # noqa: E402
from .site import Size  # noqa: E402


def main():
    """Play the seeds that the command line names; exit with 1 if one fails."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("seeds", nargs="*", help="as 7 or 1-50; none: a fresh one")
    parser.add_argument(
        "--regressions", action="store_true", help="the seeds that failed once"
    )
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults")
    parser.add_argument("--domains", type=int, default=2)
    parser.add_argument("--entries", type=int, default=2, help="a failure domain")
    parser.add_argument("--engines", type=int, default=1, help="a failure domain")
    parser.add_argument("--callers", type=int, default=8)
    options = parser.parse_args()
    size = Size(options.domains, options.entries, options.engines)
    seeds = _parse(options.seeds)
    if options.regressions:
        seeds += _read_regressions()
    seeds = seeds or [random.SystemRandom().randrange(10**6)]
    failed = []
    for seed in seeds:
        plan = SoakPlan(seed, options.seconds, options.callers, size)
        started_s = time.monotonic()
        result = play(plan)
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


def _parse(words):
    seeds = []
    for word in words:
        first, _, last = word.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


if __name__ == "__main__":
    main()
