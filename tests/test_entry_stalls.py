"""Calls that are not idempotent, while a process on their path is stopped."""

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
        started.wait_for(lambda: started.count_ready() == len(started.instances))
        yield started


def _post_settlement(site, key):
    return site.ask(
        site.entries()[0].http,
        "POST",
        "/services/ledger/settlements",
        {"amount": key},
        {"idempotency-key": key},
    )


def test_link_stall_during_the_connection_probe_causes_no_refusal(site):
    """The entry tries again, as nothing was sent when the connection probe fails."""
    link = site._standins["link"]
    assert "receipt" in _post_settlement(site, "before")
    link.send_signal(signal.SIGSTOP)
    try:
        answer = gevent.spawn(_post_settlement, site, "link")
        gevent.sleep(STALL_S)
    finally:
        link.send_signal(signal.SIGCONT)
    found = answer.get(timeout=30)
    assert "receipt" in found, found
    ran = [
        item
        for item in site.backend_records(site.targets("service")[0])
        if "link" in str(item)
    ]
    assert len(ran) == 1
