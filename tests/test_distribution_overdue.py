"""Tests that a stager detects requests that begin too late on superseded weights."""

import dataclasses

import gevent
import pytest
from prometheus_client import REGISTRY

from briarbeam.distribution.namings import NamingHistory
from briarbeam.distribution.overdue import OverdueDetector
from briarbeam.kernel.clock import ManualClock
from briarbeam.platform.engines import EngineReport

from .test_distribution_stager import StagerHarness

WITHIN_S = 8.0
REPORT = EngineReport({"m": 1}, False, 0, 3, 0, 7, 1.0)


def overdue_begins():
    return REGISTRY.get_sample_value("briarbeam_overdue_begins_total")


class OverdueEngine:
    """An engine that holds version 1 after version 2 was named.

    :param certain: whether the time of that naming is certain.
    """

    def __init__(self, certain=True):
        self.clock = ManualClock()
        self.namings = NamingHistory(self.clock)
        self.namings.record(2, 0.0, certain)
        self.detector = OverdueDetector(self.namings)
        self.before = overdue_begins()

    def report(self, age_s, version=1, **fields):
        """Observe a report `age_s` after the naming; return the count so far."""
        self.clock.advance(age_s - self.namings.age_s(2))
        report = dataclasses.replace(REPORT, **fields)
        self.detector.observe(report, version, WITHIN_S)
        return overdue_begins() - self.before


def test_requests_that_begin_after_the_allowed_time_are_counted():
    """In incident inc1, no daemon on the engines' machines reported such requests."""
    engine = OverdueEngine()
    assert engine.report(8.1, running=3) == 0
    assert engine.report(8.2, running=5) == 2
    assert engine.report(8.3, running=4) == 2
    assert engine.report(8.4, running=5) == 3


def test_request_that_began_in_time_may_continue():
    engine = OverdueEngine()
    assert engine.report(7.98, running=3) == 0
    assert engine.report(8.03, running=5) == 0
    assert engine.report(8.08, running=5) == 0


@pytest.mark.parametrize(
    "fields", [{"version": 2}, {"version": 0}, {"busy": True}, {"started_ms": 8}]
)
def test_requests_on_other_weights_or_after_a_restart_are_not_counted(
    fields,
):
    engine = OverdueEngine()
    assert engine.report(8.1) == 0
    assert engine.report(8.2, running=5, **fields) == 0


def test_requests_are_not_counted_if_the_time_is_only_assumed():
    engine = OverdueEngine(certain=False)
    assert engine.report(8.1) == 0
    assert engine.report(8.2, running=5) == 0


def test_stager_counts_overdue_begins_at_its_engine():
    harness, before = StagerHarness(version=1), overdue_begins()
    harness.greet((2, 9.0, 0.0), within_s=WITHIN_S)
    task = gevent.spawn(harness.stager._report_forever)
    try:
        gevent.sleep(0.05)
        harness.engine.running = 2
        gevent.sleep(0.3)
    finally:
        task.kill()
    assert overdue_begins() - before == 2
