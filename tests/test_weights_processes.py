"""Rollouts with real processes: replaced daemons, superseded versions, roll-backs."""

import json
import subprocess
import sys

from bench.callers import Callers
from bench.layout import Domain
from bench.site import OPERATOR_TOKEN, Site

DOMAINS = (
    Domain("hobart", "south", entries=1, engines=3),
    Domain("burnie", "north", entries=1, engines=2),
)
SIZE_BYTES = 3_000_000
LINK_BYTES_PER_S = 1_000_000
COMMAND = "from briarbeam.cli.application import main; main()"
WAIT_S = 60


def _rollout(site, *arguments):
    """Run ``briarbeam rollout`` and return what it printed."""
    server = str(site.entries()[0].http)
    call = [sys.executable, "-c", COMMAND, "rollout", *arguments]
    call += ["--server", server, "--token", OPERATOR_TOKEN]
    result = subprocess.run(call, capture_output=True, text=True, timeout=WAIT_S)
    assert result.returncode == 0, result.stderr
    return result.stdout


def _last_ordered_version(site, instance):
    orders = [
        item for item in site.backend_records(instance) if item["event"] == "order"
    ]
    return orders[-1]["version"]


def test_newest_accepted_version_wins_while_a_daemon_is_replaced():
    limits = {"link_bytes_per_s": LINK_BYTES_PER_S}
    overrides = {"weights": limits, "target": {"order_timeout_s": 3.0}}
    with Site(DOMAINS, LINK_BYTES_PER_S, overrides=overrides) as site:
        site.declare("v1", size_bytes=100_000)
        site.wait_for(lambda: site.count_loaded("v1") == 5, WAIT_S)
        site.wait_for(lambda: site.count_ready() == len(site.instances), WAIT_S)
        callers = Callers(site, rate_per_s=10)
        callers.start()
        for version in ("v2", "v3"):
            site.apply(site.publish(version, SIZE_BYTES, keep=0.5))
            _rollout(site, "start", "chat", version)
        replaced = site.targets()[1]
        site.kill_daemon(replaced)
        site.start_daemon(replaced)
        site.wait_for(lambda: site.count_loaded("v3") == 5, WAIT_S)
        status = json.loads(_rollout(site, "status", "chat", "-o", "json"))
        assert status["version"] == "v3"
        assert status["previous_version"] == "v2"
        _rollout(site, "start", "chat", "v1")
        site.wait_for(lambda: site.count_loaded("v1") == 5, WAIT_S)
        callers.stop()
        events = [
            item for target in site.targets() for item in site.backend_records(target)
        ]
        assert [_last_ordered_version(site, target) for target in site.targets()] == [
            "v1"
        ] * 5
    counts = callers.counts()
    assert counts["ok"] > 0
    assert counts["wrong"] + counts["partial"] == 0
    bad_events = ("bad_weights", "loaded_while_running")
    assert not [event for event in events if event["event"] in bad_events]


def test_engine_that_answers_an_order_too_late_does_not_stop_the_rollout():
    overrides = {"target": {"order_timeout_s": 1.0}}
    with Site(DOMAINS, overrides=overrides) as site:
        site.declare("v1", size_bytes=100_000)
        site.wait_for(lambda: site.count_loaded("v1") == 5, WAIT_S)
        site.wait_for(lambda: site.count_ready() == len(site.instances), WAIT_S)
        callers = Callers(site, rate_per_s=10)
        callers.start()
        for target in site.targets():
            site.set_faults(target.backend_address, load_s=1.5)
        site.apply(site.publish("v2", 100_000))
        _rollout(site, "start", "chat", "v2")
        site.wait_for(lambda: site.count_loaded("v2") == 5, WAIT_S)
        callers.stop()
        events = [
            item for target in site.targets() for item in site.backend_records(target)
        ]
    ordered = [item["version"] for item in events if item["event"] == "order"]
    assert sorted(ordered) == ["v1"] * 5 + ["v2"] * 5
    assert callers.counts()["wrong"] == 0
    bad_events = ("bad_weights", "loaded_while_running")
    assert not [event for event in events if event["event"] in bad_events]
