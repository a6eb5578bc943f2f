"""Tests that an engine loads only chunks that were checked shortly before."""

import gevent
import pytest

from briarbeam.distribution.staging_area import TAKEN_AGE_MAX_S
from briarbeam.kernel.clock import ManualClock

from .distribution_fakes import CHUNK_COUNT, UnreachableError, chunk
from .test_distribution_stager import StagerHarness

FREEZE_S = 4.0


class FreezingHarness(StagerHarness):
    """A stager that is frozen once, after a call to the engine that a test chooses.

    Chunks become corrupt at the start of the freeze.
    """

    def __init__(self, freezes_at, when="after", rotten=(0, 1)):
        super().__init__(version=1, clock=ManualClock())
        self._freezes_at = freezes_at
        self._rotten = rotten
        setattr(self.engine, when, self._freeze)

    def _freeze(self, method, path):
        if self._freezes_at is None or not self._freezes_at(self, method, path):
            return
        self._freezes_at = None
        self.stager._clock.suspend(FREEZE_S)
        for number in self._rotten:
            if number in self.engine.staged:
                self.engine.staged[number] = b"rotten"

    def load(self):
        self.greet((1, 9.0, 1.0), (2, 1.0, 0.0), wave=0)
        self.run(0.6)


def is_whole(engine):
    return engine.loaded == {n: chunk(2, n) for n in range(CHUNK_COUNT)}


def accepts(harness):
    return harness.sent[-1].accepting


def during_staging(harness, method, path):
    staged = harness.engine.staged
    return method == "PUT" and len(staged) == CHUNK_COUNT * 2 // 3


def after_staging(harness, method, path):
    return method == "PUT" and len(harness.engine.staged) == CHUNK_COUNT


def after_the_report_before_the_order(harness, method, path):
    return (
        path == "/-/report"
        and len(harness.engine.staged) == CHUNK_COUNT
        and harness.stager._copies[2].oldest_staged_s() > -1
        and not harness.engine.orders
    )


@pytest.mark.parametrize(
    "freezes_at", [during_staging, after_staging, after_the_report_before_the_order]
)
def test_engine_does_not_load_chunks_that_became_corrupt_while_the_stager_was_frozen(
    freezes_at,
):
    harness = FreezingHarness(freezes_at)
    harness.load()
    assert is_whole(harness.engine)
    assert len(harness.engine.orders) == 1
    assert accepts(harness)


def test_chunks_are_checked_again_if_the_stager_is_frozen_as_it_connects_for_the_order():
    harness = FreezingHarness(None)
    send, frozen = harness.network.send, []

    def freeze_before_the_order(address, request):
        if request.path == "/-/order" and not frozen:
            frozen.append(True)
            harness.stager._clock.suspend(FREEZE_S)
            harness.engine.staged[3] = b"rotten"
        return send(address, request)

    harness.network.send = freeze_before_the_order
    harness.load()
    assert is_whole(harness.engine)


def at_the_order(harness, method, path):
    return path == "/-/order"


def test_engine_that_may_have_loaded_corrupt_chunks_reloads_before_it_gets_requests():
    """The stager was frozen with its order under way, and chunks became corrupt."""
    taken = []
    harness = FreezingHarness(at_the_order, when="before")
    harness.engine.after = lambda method, path: (
        taken.append(harness.engine.is_whole()) if path == "/-/order" else None
    )
    harness.load()
    assert taken[0] is False
    assert harness.engine.version == 2 and is_whole(harness.engine)
    assert accepts(harness) and not harness.unsound


def test_engine_whose_chunks_are_still_right_after_a_freeze_serves():
    harness = FreezingHarness(at_the_order, when="before", rotten=())
    harness.load()
    assert is_whole(harness.engine) and accepts(harness)


@pytest.mark.parametrize("late_s", [TAKEN_AGE_MAX_S - 2.0, TAKEN_AGE_MAX_S + 1.0])
def test_order_without_an_answer_is_not_trusted_before_its_outcome_is_known(late_s):
    """The engine accepts the order after the stager has given up waiting for it."""
    harness = StagerHarness(version=1, clock=ManualClock())
    handle, lost = harness.engine, []

    def lose_the_answer(request):
        if request.path == "/-/order" and not lost:
            lost.append(True)
            gevent.spawn_later(0.03, accept_late, request)
            raise UnreachableError("no answer in time")
        return handle(request)

    def accept_late(request):
        harness.stager._clock.suspend(late_s)
        if late_s > TAKEN_AGE_MAX_S:
            harness.engine.staged[0] = b"rotten"
        handle(request)

    harness.network.handlers[("10.0.0.5", 90)] = lose_the_answer
    harness.greet((1, 9.0, 1.0), (2, 1.0, 0.0), wave=0)
    harness.run(0.8)
    assert harness.engine.version == 2
    assert accepts(harness) is is_whole(harness.engine)
