"""Pauses of the process, as what it reads afterwards may be old."""

from hypothesis import given
from hypothesis import strategies as st

from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.pulse import BEAT_S, PAUSE_MIN_S, PauseDetector


def beating(clock, count=5):
    pulse = PauseDetector(clock)
    for _ in range(count):
        clock.advance(BEAT_S)
        pulse.beat()
    return pulse


def test_what_a_running_process_reads_has_not_waited():
    assert beating(ManualClock()).max_read_delay_s() == 0.0


@given(
    paused_s=st.floats(PAUSE_MIN_S + 0.01, 100.0),
    beat_first=st.booleans(),
    read_after_s=st.floats(0.0, 0.5),
)
def test_what_is_read_after_a_pause_may_be_as_old_as_the_pause(
    paused_s, beat_first, read_after_s
):
    clock = ManualClock()
    pulse = beating(clock)
    clock.suspend(paused_s)
    if beat_first:
        pulse.beat()
    clock.advance(read_after_s)
    assert pulse.max_read_delay_s() >= paused_s - 1e-9


def test_pause_that_is_long_over_says_nothing_of_what_is_read_now():
    clock = ManualClock()
    pulse = beating(clock)
    clock.suspend(5.0)
    pulse.beat()
    for _ in range(6):
        clock.advance(BEAT_S)
        pulse.beat()
    assert pulse.max_read_delay_s() == 0.0
