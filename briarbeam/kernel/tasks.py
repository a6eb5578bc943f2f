"""Background tasks that are stopped together, and fair reads from sockets."""

import gevent
import structlog
from prometheus_client import Counter

# Reads from a peer that sends faster than this process reads never block. A reader
# therefore yields to other tasks after this many bytes.
YIELD_AFTER_BYTES = 64 * 1024
# Not zero: gevent repeats sleeps of zero for a while before it polls other sockets.
YIELD_SLEEP_S = 0.0001

_FAILURES = Counter("briarbeam_task_failures", "Background task failures", ["task"])
_log = structlog.get_logger()


class ReadYielder:
    """Yields to other tasks during reads from a socket that always has data."""

    def __init__(self):
        self._read_bytes = 0

    def count_read(self, size_bytes):
        """Count bytes read, and yield after more than `YIELD_AFTER_BYTES`."""
        self._read_bytes += size_bytes
        if self._read_bytes > YIELD_AFTER_BYTES:
            self._read_bytes = 0
            gevent.sleep(YIELD_SLEEP_S)


class TaskGroup:
    """A set of greenlets that are stopped together."""

    def __init__(self):
        self._greenlets = set()

    def spawn(self, function, *args):
        """Run `function` in a new task and return its greenlet."""
        greenlet = gevent.spawn(self._run, function, args)
        self._greenlets.add(greenlet)
        greenlet.link(self._greenlets.discard)
        return greenlet

    def repeat(self, function, interval_s, clock):
        """Call `function` forever; a call that fails is logged and counted.

        :param interval_s: seconds between the end of a call and the next call, or a
            function without arguments that returns them.
        """
        return self.spawn(self._repeat, function, interval_s, clock)

    def stop(self):
        """Kill all tasks and wait until they have ended."""
        gevent.killall(list(self._greenlets))

    def _repeat(self, function, interval_s, clock):
        while True:
            self._run(function, ())
            clock.sleep(interval_s() if callable(interval_s) else interval_s)

    def _run(self, function, args):
        name = getattr(function, "__qualname__", repr(function))
        try:
            function(*args)
        except Exception as error:
            _FAILURES.labels(name).inc()
            _log.warning("task_failed", task=name, error=repr(error))
