"""HTTP server on an address of its own for metrics in the text format."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..relay.connections import PlainServer

IDLE_TIMEOUT_S = 60.0


class MetricsServer:
    """Serves ``/metrics``.

    :param host: the IP address to listen on.
    :param listen: the `ListenSettings` with the port.
    :param max_connections: as in the settings.
    """

    def __init__(self, host, listen, max_connections):
        address = (host, listen.metrics_port)
        self._server = PlainServer(
            address, "metrics", _answer, IDLE_TIMEOUT_S, max_connections
        )

    def start(self):
        """Start listening."""
        self._server.start()


def _answer(request, writer):
    if request.path != "/metrics":
        writer.write(404, [], b"")
        return
    headers = [(b"content-type", CONTENT_TYPE_LATEST.encode())]
    writer.write(200, headers, generate_latest())
