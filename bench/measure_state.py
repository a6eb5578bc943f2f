"""``make measure-state``: how a desired state reaches all entries, one row per case.

Each case runs in a simulation of links, see `state_model`; its processor times are
measured here first. Prints tables in Markdown.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import logging  # noqa: E402
import random  # noqa: E402
import statistics  # noqa: E402
import string  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from dataclasses import asdict  # noqa: E402
from functools import partial  # noqa: E402
from itertools import product  # noqa: E402
from pathlib import Path  # noqa: E402

import structlog  # noqa: E402

from briarbeam.distribution.state_copy import (  # noqa: E402
    decode_copy,
    encode_copy,
    pack_records,
)
from briarbeam.platform.records import decode_desired_state  # noqa: E402
from briarbeam.platform.store import Record  # noqa: E402

from .state_model import (  # noqa: E402
    REGIONS,
    REVISION,
    STORE_REGION,
    Case,
    Model,
    ProcessorTimes,
)

ENTRIES = (41, 100, 300)
# A record of the store holds at most 1 MB, which is about 3,900 routes.
ROUTES = (250, 1200, 3800)
# The size to design for: entries and failure domains.
DESIGN_ENTRIES, DESIGN_DOMAINS = 370, 8
SEED = 1
ROUNDS = 7
ANNOUNCEMENT_LOSS = 0.1
# For a variant that is not implemented: entries learn of a state by comparison only
# this long after the reader has it in force, when the tree has already delivered it.
COMPARE_AFTER_S = 1.5
REGION_NAMES = ("ulaanbaatar", "darkhan", "oyu-gobi")

HEADINGS = (
    "way", "entries", "routes", "in force", "store's region, first and last (s)",
    "other regions, first and last (s)", "over a region's link (MB)",
    "link full (s; share)", "out of one entry (MB)", "datagrams", "copies, failed",
    "reads of the store",
)  # fmt: skip


def state_spec(routes):
    """Return a desired state whose random names compress no better than real ones."""
    services = [{"name": _word()} for _ in range(4)]
    return {
        "version": REVISION,
        "routes": [_route(random.choice(services)["name"]) for _ in range(routes)],
        "services": services,
        "limits": {},
        "tenants": [
            {"name": _word(), "api_keys": [random.randbytes(16).hex()]}
            for _ in range(24)
        ],
    }


def _route(service):
    return {
        "name": f"{_word()}-{_word()}",
        "host": f"{_word()}.{_word()}.example",
        "path_prefix": f"/{_word()}/{_word()}/{_word()}/",
        "kind": random.choice(("streaming", "idempotent", "non_idempotent")),
        "timeout_ms": random.randrange(1000, 6100),
        "target_latency_ms": random.randrange(200, 510),
        "service": service,
        "priority": random.randrange(3),
        "max_attempts": random.randrange(1, 4),
        "public": random.random() < 0.2,
        "allowed_regions": random.sample(REGION_NAMES, random.randrange(3)),
    }


def _word():
    return "".join(random.choices(string.ascii_lowercase, k=6))


def measure_processor_times(raw):
    """Return the `ProcessorTimes` of a state, and its sizes and times as a dict."""
    records = {"main": Record("main", REVISION, json.loads(raw))}
    packed = pack_records(records, REVISION)
    copy = encode_copy(packed, 1.0)
    spec = records["main"].spec
    seconds = {
        "parse_s": _median_processor_s(lambda: json.loads(raw)),
        "pack_s": _median_processor_s(lambda: pack_records(records, REVISION)),
        "unpack_s": _median_processor_s(lambda: decode_copy(copy)),
        "decode_s": _median_processor_s(lambda: decode_desired_state(spec)),
    }
    times = ProcessorTimes(
        seconds["parse_s"] + seconds["decode_s"],
        seconds["pack_s"],
        seconds["unpack_s"] + seconds["decode_s"],
    )
    measures = {
        "raw_bytes": len(raw),
        "packed_bytes": len(packed),
        **{key: round(value, 5) for key, value in seconds.items()},
    }
    return times, measures


def _median_processor_s(function):
    """Return the median processor time of `ROUNDS` calls of `function`."""
    times_s = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        function()
        times_s.append(time.process_time() - started_s)
    return statistics.median(times_s)


def measure(case, raw, processor_times):
    """Run the model for `case` and return the results.

    :param raw: the state's bytes as the store sends them.
    """
    random.seed(SEED)
    model = Model(case, raw, processor_times)
    model.run()
    end_s = max(
        (
            m.in_force_at_s
            for m in model.members.values()
            if m.in_force_at_s is not None
        ),
        default=0.0,
    )
    live = [m for m in model.members.values() if m.alive]
    if any(m.in_force_at_s is None for m in live):
        end_s = model.clock.monotonic_s()
    full_s = max(link.full_s for link in model.region_links.values())
    return {
        **asdict(case),
        "living": len(live),
        "in_force": sum(m.in_force_at_s is not None for m in live),
        "regions_s": [_first_and_last(model, live, r) for r in range(REGIONS)],
        "region_link_bytes": round(_max_transmitted_bytes(model.region_links.values())),
        "region_links_bytes": [
            round(link.transmitted_bytes) for link in model.region_links.values()
        ],
        "region_link_full_s": round(full_s, 3),
        "region_link_full_share": round(full_s / end_s, 3) if end_s else 0.0,
        "entry_out_bytes": round(
            _max_transmitted_bytes(m.link_out for m in model.members.values())
        ),
        "datagrams": sum(domain.announcements_sent for domain in model.domains),
        "copies": sum(len(domain.copy_requests) for domain in model.domains),
        "copies_failed": model.copies_failed,
        "store_reads": model.reads,
    }


def _first_and_last(model, live, region):
    """Return when the first and the last live entry of a region have the state.

    Either is None if that does not happen during the run.
    """
    times_s = [m.in_force_at_s for m in live if model.region_of(m) == region]
    known = [s for s in times_s if s is not None]
    first_s = round(min(known), 3) if known else None
    return [first_s, round(max(times_s), 3) if len(known) == len(times_s) else None]


def _max_transmitted_bytes(links):
    return max(link.transmitted_bytes for link in links)


def cases(entries_counts, routes_counts):
    """Yield the cases: each variant at each size, faults, the size to design for."""
    late_comparison = partial(Case, "spread", compare_after_s=COMPARE_AFTER_S)
    for entries, routes in product(entries_counts, routes_counts):
        yield Case("before", entries, routes)
        yield Case("spread", entries, routes)
        yield late_comparison(entries, routes)
    smallest, largest = min(entries_counts), max(entries_counts)
    for entries, routes in product((smallest, largest), routes_counts):
        yield late_comparison(entries, routes, compressed=False)
        yield late_comparison(entries, routes, tree=False)
    for routes in routes_counts:
        for variant in (partial(Case, "spread"), late_comparison):
            yield variant(largest, routes, reader_dies=True)
            yield variant(largest, routes, loss=ANNOUNCEMENT_LOSS)
    for routes in routes_counts:
        for variant in (
            partial(Case, "before"),
            partial(Case, "spread"),
            late_comparison,
        ):
            yield variant(DESIGN_ENTRIES, routes, domains=DESIGN_DOMAINS)


def format_row(result):
    """Return the cells of a row, in the order of `HEADINGS`."""
    store_region_s = result["regions_s"][STORE_REGION]
    others_s = [s for r, s in enumerate(result["regions_s"]) if r != STORE_REGION]
    lasts = [last for _, last in others_s]
    firsts = [first for first, _ in others_s if first is not None]
    other_regions_s = [
        min(firsts, default=None),
        None if None in lasts else max(lasts),
    ]
    return (
        _describe_case(result),
        result["entries"],
        result["routes"],
        f"{result['in_force']} of {result['living']}",
        _format_range(store_region_s),
        _format_range(other_regions_s),
        f"{result['region_link_bytes'] / 1e6:.2f}",
        f"{result['region_link_full_s']:.2f}; {result['region_link_full_share']:.0%}",
        f"{result['entry_out_bytes'] / 1e6:.2f}",
        result["datagrams"],
        f"{result['copies']}, {result['copies_failed']}",
        result["store_reads"],
    )


def _describe_case(result):
    name = "each reads the store" if result["way"] == "before" else "spread"
    variants = {
        ", comparisons later": result["compare_after_s"] > 0,
        ", not compressed": not result["compressed"],
        ", no tree": not result["tree"],
        f", {result['loss']:.0%} of datagrams lost": result["loss"] > 0,
        ", a reader dies": result["reader_dies"],
        f", {result['domains']} failure domains": result["domains"] != REGIONS,
    }
    return name + "".join(text for text, applies in variants.items() if applies)


def _format_range(times_s):
    return " to ".join("not yet" if s is None else f"{s:.2f}" for s in times_s)


def markdown_row(cells):
    """Return a row of a Markdown table."""
    return "| " + " | ".join(map(str, cells)) + " |"


def print_header(headings):
    print(markdown_row(headings))
    print(markdown_row(["---"] * len(headings)))


def main():
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--entries", default=",".join(map(str, ENTRIES)))
    arguments.add_argument("--routes", default=",".join(map(str, ROUTES)))
    arguments.add_argument(
        "--json", metavar="FILE", help="also write one JSON line per case"
    )
    options = arguments.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    entries = [int(part) for part in options.entries.split(",")]
    routes = [int(part) for part in options.routes.split(",")]
    random.seed(SEED)
    raws = {
        n: json.dumps(state_spec(n), separators=(",", ":")).encode() for n in routes
    }
    measured = {n: measure_processor_times(raw) for n, raw in raws.items()}
    lines = [{"routes": n, **measures} for n, (_, measures) in measured.items()]
    print_header(lines[0])
    for line in lines:
        print(markdown_row(line.values()))
    print()
    print_header(HEADINGS)
    for case in cases(entries, routes):
        result = measure(case, raws[case.routes], measured[case.routes][0])
        lines.append(result)
        print(markdown_row(format_row(result)), flush=True)
    if options.json:
        text = "".join(json.dumps(line) + "\n" for line in lines)
        Path(options.json).write_text(text)


if __name__ == "__main__":
    sys.exit(main())
