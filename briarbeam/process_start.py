"""When this process started, as its machine knows it.

Imported before anything that takes time to load.
"""

import os
import time

# Of the fields after the program's name in /proc/self/stat, see proc(5).
_START_FIELD = 19


def process_started_s(path="/proc/self/stat"):
    """Return the boot time in seconds at which this process started.

    The interpreter's first line runs some time later, on a busy machine by a second.
    Where the machine doesn't tell, it is now.
    """
    now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    try:
        with open(path) as stat:
            fields = stat.read().rpartition(")")[2].split()
        started_s = int(fields[_START_FIELD]) / os.sysconf("SC_CLK_TCK")
    except (OSError, ValueError, IndexError):
        return now_s
    # Counted in whole ticks; and a machine may number its ticks from elsewhere.
    return started_s if 0.0 < started_s <= now_s else now_s
