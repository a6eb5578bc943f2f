"""HTTP server on an address of its own for metrics in the text format."""

from gevent.pywsgi import WSGIServer
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest


class MetricsServer:
    """Serves ``/metrics``.

    :param host: the IP address to listen on.
    :param listen: the `ListenSettings` with the port.
    """

    def __init__(self, host, listen):
        address = (host, listen.metrics_port)
        self._server = WSGIServer(address, _answer, log=None, error_log=None)

    def start(self):
        """Start listening."""
        self._server.start()


def _answer(environ, start_response):
    if environ["PATH_INFO"] != "/metrics":
        start_response("404 Not Found", [("Content-Length", "0")])
        return [b""]
    start_response("200 OK", [("Content-Type", CONTENT_TYPE_LATEST)])
    return [generate_latest()]
