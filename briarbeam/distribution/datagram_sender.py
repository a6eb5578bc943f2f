"""Sends datagrams; one that can't be sent is counted and dropped."""

import structlog
from prometheus_client import Counter

_UNSENT = Counter("briarbeam_datagrams_unsent", "Datagrams that could not be sent")
_log = structlog.get_logger()


class DatagramSender:
    """Sends datagrams to one port of any host.

    Only the first of consecutive failures and the end of them are logged, because
    several datagrams a second may fail for as long as a network is down.

    :param sock: the datagram socket.
    :param port: the port on which all daemons listen.
    """

    def __init__(self, sock, port):
        self._sock = sock
        self._port = port
        self._failing = False

    def send(self, data, host):
        """Send `data` to `host`; count a failure and raise nothing."""
        try:
            self._sock.sendto(data, (host, self._port))
        except OSError as error:
            _UNSENT.inc()
            if not self._failing:
                _log.warning("datagrams_unsent", host=host, error=repr(error))
            self._failing = True
            return
        if self._failing:
            _log.info("datagrams_sent_again", host=host)
        self._failing = False
