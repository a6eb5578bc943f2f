"""Calls that may not be repeated, while a process on their way stands still."""

import signal

import gevent
import pytest

from bench.layout import Domain
from bench.site import Site

DOMAINS = (Domain("hobart", "south", entries=1, engines=0, services=1),)
STALL_S = 1.3


@pytest.fixture(scope="module")
def site():
    with Site(DOMAINS) as started:
        started.declare("v1")
        started.wait_for(lambda: started.ready() == len(started.instances))
        yield started


def _settle(site, key):
    return site.ask(
        site.entries()[0].http,
        "POST",
        "/services/ledger/settlements",
        {"amount": key},
        {"idempotency-key": key},
    )


def test_link_that_stands_still_while_a_target_is_greeted_costs_no_refusal(site):
    link = site._standins["link"]
    assert "receipt" in _settle(site, "before")
    link.send_signal(signal.SIGSTOP)
    try:
        answer = gevent.spawn(_settle, site, "link")
        gevent.sleep(STALL_S)
    finally:
        link.send_signal(signal.SIGCONT)
    found = answer.get(timeout=30)
    assert "receipt" in found, found
    ran = [
        item for item in site.truth(site.targets("service")[0]) if "link" in str(item)
    ]
    assert len(ran) == 1
