"""Tests of the start time of a process, as the operating system reports it."""

import os
import subprocess
import sys
import time

import pytest

from briarbeam.process_start import process_started_s


def boottime_s():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def test_start_time_is_before_the_first_line_of_python():
    code = (
        "import time; time.sleep(0.5)\n"
        "from briarbeam.process_start import process_started_s\n"
        "print(process_started_s())"
    )
    before_s = boottime_s()
    result = subprocess.run([sys.executable, "-c", code], capture_output=True)
    tick_s = 1 / os.sysconf("SC_CLK_TCK")
    assert before_s - tick_s <= float(result.stdout) < boottime_s() - 0.5


@pytest.mark.parametrize("text", [None, "", "7 (x) S 1", "7 (x) S" + " x" * 50])
def test_missing_start_time_is_replaced_by_the_current_time(tmp_path, text):
    path = tmp_path / "stat"
    if text is not None:
        path.write_text(text)
    before_s = boottime_s()
    assert before_s <= process_started_s(path) <= boottime_s()


def test_start_time_in_the_future_is_ignored(tmp_path):
    """A migrated machine may count its ticks from another origin."""
    path = tmp_path / "stat"
    path.write_text("7 (a name) with) S" + " 0" * 18 + f" {10**12} 0")
    assert process_started_s(path) <= boottime_s()
