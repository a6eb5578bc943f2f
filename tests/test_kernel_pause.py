"""Detection of pauses of the process, after which data that it reads may be old."""

from hypothesis import given
from hypothesis import strategies as st

from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.pause import PAUSE_MIN_S, TICK_INTERVAL_S, PauseDetector


def detector_after_ticks(clock, count=5):
    detector = PauseDetector(clock)
    for _ in range(count):
        clock.advance(TICK_INTERVAL_S)
        detector.tick()
    return detector


def test_running_process_reads_without_delay():
    assert detector_after_ticks(ManualClock()).max_read_delay_s() == 0.0


@given(
    paused_s=st.floats(PAUSE_MIN_S + 0.01, 100.0),
    tick_first=st.booleans(),
    read_after_s=st.floats(0.0, 0.5),
)
def test_read_delay_after_a_pause_may_be_as_long_as_the_pause(
    paused_s, tick_first, read_after_s
):
    clock = ManualClock()
    detector = detector_after_ticks(clock)
    clock.suspend(paused_s)
    if tick_first:
        detector.tick()
    clock.advance(read_after_s)
    assert detector.max_read_delay_s() >= paused_s - 1e-9


def test_past_pause_does_not_affect_the_read_delay():
    clock = ManualClock()
    detector = detector_after_ticks(clock)
    clock.suspend(5.0)
    detector.tick()
    for _ in range(6):
        clock.advance(TICK_INTERVAL_S)
        detector.tick()
    assert detector.max_read_delay_s() == 0.0
