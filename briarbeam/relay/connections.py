"""Server of the ports that balancers, scrapers and peers use."""

from gevent import socket
from gevent.server import StreamServer

from ..catalog import CallerLimits
from ..kernel.connections import OpenConnections, others_max
from ..kernel.errors import BriarbeamError
from .answer_writer import AnswerWriter
from .callers import RequestReader

# Requests of balancers, scrapers and peers have no body.
PLAIN_LIMITS = CallerLimits(max_body_bytes=4096)


class PlainServer:
    """Serves short requests without a body, with one task per connection.

    :param address: where to listen.
    :param port: the name of the port, for the log and metrics.
    :param answer: a function of a `CallerRequest` and its `AnswerWriter`.
    :param idle_timeout_s: how long an idle connection stays open, in seconds.
    :param max_connections: as in the settings.
    """

    def __init__(self, address, port, answer, idle_timeout_s, max_connections):
        self._answer = answer
        self._idle_timeout_s = idle_timeout_s
        self._connections = OpenConnections(port, others_max(max_connections))
        self._server = StreamServer(tuple(address), self._serve)
        # What is accepted is counted only once its task runs.
        self._server.max_accept = 1

    def start(self):
        """Listen, and serve connections in the background."""
        self._server.start()

    def stop(self):
        """Stop listening."""
        self._server.stop(timeout=0)

    @property
    def server_port(self):
        """The port on which it listens."""
        return self._server.server_port

    def _serve(self, sock, _):
        try:
            if not self._connections.admit(sock):
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve_requests(sock)
        except (BriarbeamError, OSError):
            # The peer closed the connection or sent an invalid request. It may open
            # another connection.
            return
        finally:
            self._connections.remove(sock)
            sock.close()

    def _serve_requests(self, sock):
        reader = RequestReader(sock, lambda: PLAIN_LIMITS)
        keep_alive = True
        while keep_alive:
            with self._connections.wait(sock):
                request = reader.read(self._idle_timeout_s)
            if request is None:
                return
            writer = AnswerWriter(sock, request, lambda: False)
            self._answer(request, writer)
            keep_alive = writer.keep_alive
