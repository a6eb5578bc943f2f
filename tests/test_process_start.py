"""When a process started, as its machine tells."""

import os
import subprocess
import sys
import time

import pytest

from briarbeam.process_start import process_started_s


def boottime_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def test_time_before_the_first_line_counts():
    code = (
        "import time; time.sleep(0.5)\n"
        "from briarbeam.process_start import process_started_s\n"
        "print(process_started_s())"
    )
    before_s = boottime_s()
    answer = subprocess.run([sys.executable, "-c", code], capture_output=True)
    tick_s = 1 / os.sysconf("SC_CLK_TCK")
    assert before_s - tick_s <= float(answer.stdout) < boottime_s() - 0.5


@pytest.mark.parametrize("text", [None, "", "7 (x) S 1", "7 (x) S" + " x" * 50])
def test_machine_that_tells_no_start_is_no_failure(tmp_path, text):
    path = tmp_path / "stat"
    if text is not None:
        path.write_text(text)
    before_s = boottime_s()
    assert before_s <= process_started_s(path) <= boottime_s()


def test_start_that_lies_ahead_is_not_believed(tmp_path):
    """A machine that was moved may number its ticks from elsewhere."""
    path = tmp_path / "stat"
    path.write_text("7 (a name) with) S" + " 0" * 18 + f" {10**12} 0")
    assert process_started_s(path) <= boottime_s()
