"""Entries that run as processes while their store comes back from a copy."""

import json
import time

import gevent

from .test_node_processes import wait_until
from .test_state_processes import start  # noqa: F401

OUTAGE_S = 0.4


def logged(node, event):
    """Return the lines of an event in the log of a node, decoded."""
    lines = node.log_path.read_text().splitlines()
    return [json.loads(line) for line in lines if f'"{event}"' in line]


def rewind(site, age_s):
    """Take the store away for a moment and return it from a copy."""
    site.store.down = True
    gevent.sleep(OUTAGE_S)
    site.store.rewind(age_s)
    site.store.down = False


def all_hold_era(site, era):
    return all(
        any(
            line["kind"] == "config" and line["era"] == era
            for line in logged(node, "records_rewound")
        )
        for node in site.nodes
    )


def test_state_of_a_new_era_reaches_all_entries_and_is_read_once(start):  # noqa: F811
    """Entries kept the newer numbers of the era before, and listed without end."""
    site = start(4, routes=500)
    for version in (2, 3):
        site.put_state(version)
        wait_until(lambda version=version: site.all_have_state(version))
        gevent.sleep(1.0)
    gevent.sleep(1.0)
    before = sum(proxy.large_answers for proxy in site.proxies)
    rewind(site, age_s=2.5 + OUTAGE_S)
    returned_s = time.monotonic()
    wait_until(lambda: all_hold_era(site, 2))
    in_force_s = time.monotonic() - returned_s
    gevent.sleep(1.0)
    read = sum(proxy.large_answers for proxy in site.proxies) - before
    assert in_force_s < 1.0
    assert read == 1
    # The version that was lost stays in force, and one that is written again is read.
    site.store.write_lost_again()
    site.put_state(4)
    wait_until(lambda: site.all_have_state(4))
    calls = [len(proxy.requests) for proxy in site.proxies]
    gevent.sleep(2.0)
    # A reader makes about two calls a second for the state and one for other kinds.
    counts = [len(p.requests) - n for p, n in zip(site.proxies, calls, strict=True)]
    assert max(counts) <= 12, counts
