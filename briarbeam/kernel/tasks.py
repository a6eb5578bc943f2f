"""Named background tasks that end together."""

import gevent
import structlog
from prometheus_client import Counter

_FAILURES = Counter("briarbeam_task_failures", "Background task failures", ["task"])
_log = structlog.get_logger()


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
