"""Named background tasks that end together."""

import gevent
import structlog
from prometheus_client import Counter

# A sender that is faster than this process never makes it wait, so other tasks get
# their turn after so much was read.
TURN_BYTES = 64 * 1024
# Above zero: gevent repeats sleeps of zero for a while before it looks at other sockets.
TURN_S = 0.0001

_FAILURES = Counter("briarbeam_task_failures", "Background task failures", ["task"])
_log = structlog.get_logger()


class ReadYielder:
    """Lets other tasks run while one reads from a socket that always has bytes."""

    def __init__(self):
        self._read_bytes = 0

    def note_read(self, size_bytes):
        """Count bytes that were read; wait for a moment after `TURN_BYTES`."""
        self._read_bytes += size_bytes
        if self._read_bytes > TURN_BYTES:
            self._read_bytes = 0
            gevent.sleep(TURN_S)


class TaskGroup:
    """A set of greenlets, stopped as one."""

    def __init__(self):
        self._greenlets = set()

    def spawn(self, function, *args):
        """Run `function` in a task of its own and return its greenlet."""
        greenlet = gevent.spawn(self._run, function, args)
        self._greenlets.add(greenlet)
        greenlet.link(self._greenlets.discard)
        return greenlet

    def repeat(self, function, interval_s, clock):
        """Call `function` for ever, `interval_s` seconds apart; failures are counted.

        :param interval_s: seconds, or a function without arguments that gives them.
        """
        return self.spawn(self._repeat, function, interval_s, clock)

    def stop(self):
        """End all tasks and wait for them."""
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
