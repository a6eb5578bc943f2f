"""Orders to engines whose reply is lost or that take effect late."""

import pytest

from briarbeam.kernel.errors import (
    NotFoundError,
)
from briarbeam.weights.reconcile import ORDER_TRIES_MAX
from briarbeam.weights.waves import PERMIT_KIND, ROLLOUT_STATUS_KIND

from .changeover_fakes import (
    Bench,
    new_reconciler,
)


def _failures(bench):
    try:
        return bench.objects.get(ROLLOUT_STATUS_KIND, "chat").value["failures"]
    except NotFoundError:
        return []


@pytest.mark.parametrize("fault", ["lost", "unreachable"])
def test_unanswered_order_is_sent_again_and_does_not_stop_the_rollout(fault):
    bench = Bench()
    reconciler = new_reconciler(bench, None, {"chat": "v2"})
    bench.engine.fault = fault
    reconciler.reconcile_once()
    assert not _failures(bench)
    assert reconciler.reasons["chat"].startswith("order_unanswered")
    assert bench.gate.loaded_versions == {"chat": "v1"}
    bench.clock.advance(2)
    reconciler.reconcile_once()
    assert bench.gate.loaded_versions == {"chat": "v2"}
    assert [number for _, number in bench.engine.orders] == [1, 2]
    assert not reconciler.reasons


def test_gate_stays_closed_until_a_late_order_takes_effect():
    """Guards against requests to an engine that loads after the order has timed out.

    The order is neither sent twice nor counted as a failure.
    """
    bench = Bench()
    reconciler = new_reconciler(bench, None, {"chat": "v2"})
    bench.engine.fault, bench.engine.late_s = "late", 3.0
    opened = []
    open_gate = bench.gate.open
    bench.gate.open = lambda reason: (
        opened.append((reason, bench.engine.status().loaded_versions["chat"])),
        open_gate(reason),
    )
    reconciler.reconcile_once()
    assert opened == [("changing", "v2")]
    assert bench.gate.loaded_versions == {"chat": "v2"}
    assert len(bench.engine.orders) == 1
    assert not _failures(bench)
    assert bench.objects.get(PERMIT_KIND, "chat.x").value["changed"] == ["t"]


def test_engine_that_never_answers_orders_stops_the_rollout():
    bench = Bench()
    reconciler = new_reconciler(bench, None, {"chat": "v2"})
    for tries in range(1, ORDER_TRIES_MAX + 1):
        assert not _failures(bench)
        bench.engine.fault = "lost"
        reconciler.reconcile_once()
        assert len(bench.engine.orders) == tries
        bench.clock.advance(2)
    (failure,) = _failures(bench)
    assert failure["target"] == "t"
    reconciler.reconcile_once()
    assert reconciler.reasons["chat"].startswith("rollout_stopped")
    assert len(bench.engine.orders) == ORDER_TRIES_MAX
