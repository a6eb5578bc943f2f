"""The start time of this process, as the operating system reports it.

This module is imported before those that take time to load.
"""

import os
import time

# Index of the start time among the fields after the program's name, see proc(5).
_START_FIELD = 19


def process_started_s(path="/proc/self/stat"):
    """Return the boot time in seconds at which this process started.

    The first line of Python runs some time later, about a second on a busy machine.

    :param path: the file with the status of the process, see proc(5).
    :returns: the current time if the start time is not available or not plausible.
    """
    now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    try:
        with open(path) as stat:
            fields = stat.read().rpartition(")")[2].split()
        started_s = int(fields[_START_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return now_s
    # The start time is in whole ticks, and may count from another origin than the
    # clock.
    return started_s if 0.0 < started_s <= now_s else now_s
