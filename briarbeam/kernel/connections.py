"""Bounds the open connections of the ports of a process.

Connections cost descriptors, without which a process reaches no instance and no store.
Above the limit of a port, the one that has waited longest for its peer is closed, so
that those who send requests still get in.
"""

import resource
import time
from contextlib import contextmanager

import structlog
from prometheus_client import Counter

# Each answer to a caller may need a connection to an instance. So the ports of callers,
# readiness, peers and metrics may use a quarter of the descriptors and an eighth each,
# and connections to instances a quarter; an eighth is left.
CALLERS_SHARE = 1 / 4
OTHER_SHARE = 1 / 8
# Above the number of daemons of a site, each of which keeps one connection to a peer.
OTHER_CONNECTIONS_MAX = 128
LOG_INTERVAL_S = 1.0

_BOUNDED = Counter(
    "briarbeam_connections_bounded",
    "Connections that were closed or refused to stay within the limit of a port",
    ["port", "result"],
)
_log = structlog.get_logger()


def callers_max(max_connections):
    """Return the limit of the callers' port, if the settings allow `max_connections`."""
    return max(1, min(max_connections, int(_descriptors_max() * CALLERS_SHARE)))


def others_max(max_connections):
    """Return the limit of each other port."""
    share = int(_descriptors_max() * OTHER_SHARE)
    return max(1, min(max_connections, OTHER_CONNECTIONS_MAX, share))


def _descriptors_max():
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return float("inf") if soft_limit == resource.RLIM_INFINITY else soft_limit


class OpenConnections:
    """The connections of one port, at most `limit`.

    :param port: the name of the port, for the log and metrics.
    """

    def __init__(self, port, limit):
        self._port = port
        self.limit = limit
        self._open = set()
        # In the order in which they began to wait.
        self._waiting = {}
        self._log_after_s = 0.0
        self._omitted_count = 0

    def __len__(self):
        return len(self._open)

    @property
    def waiting(self):
        """The sockets whose peers have no request under way."""
        return list(self._waiting)

    def admit(self, sock):
        """Add a new connection, and close one that waits if there are too many.

        :param sock: a socket, or another object whose `close` ends the connection.

        :returns: whether it was added; not if none waits.
        """
        if len(self._open) >= self.limit:
            victim = next(iter(self._waiting), None)
            self._report("refused" if victim is None else "closed")
            if victim is None:
                return False
            self.remove(victim)
            victim.close()
        self._open.add(sock)
        return True

    def remove(self, sock):
        """Forget a connection."""
        self._open.discard(sock)
        self._waiting.pop(sock, None)

    @contextmanager
    def wait(self, sock):
        """While in this context, `sock` waits for its peer and may be closed."""
        if sock in self._open:
            self._waiting[sock] = True
        try:
            yield
        finally:
            self._waiting.pop(sock, None)

    def _report(self, result):
        _BOUNDED.labels(self._port, result).inc()
        now_s = time.monotonic()
        if now_s < self._log_after_s:
            self._omitted_count += 1
            return
        self._log_after_s = now_s + LOG_INTERVAL_S
        omitted, self._omitted_count = self._omitted_count, 0
        _log.warning(
            "connections_bounded",
            port=self._port,
            result=result,
            count=len(self._open),
            limit=self.limit,
            omitted_before=omitted,
        )
