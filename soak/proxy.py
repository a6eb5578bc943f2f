"""A loopback proxy that can delay and reset connections, and block one or both ways."""

import contextlib

import gevent
from gevent import socket
from gevent.server import StreamServer

READ_BLOCK_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
DELAY_S = 0.08
# Interval at which a blocked direction checks whether it is open again.
POLL_S = 0.05
# For each mode: whether it blocks bytes from the client, and bytes to the client.
_BLOCKED_DIRECTIONS = {
    "silent": (True, True),
    "no_requests": (True, False),
    "no_answers": (False, True),
}
MODES = ("delay", "reset", "refuse", *_BLOCKED_DIRECTIONS)


class Proxy:
    """Relays connections from one loopback address to another.

    `mode` is None or one of `MODES`; it applies to open connections too.

    :param host: the host to listen on.
    :param find_target: a function that returns the host and port to relay to.
    :param port: the port to listen on; 0 takes a free one.
    """

    def __init__(self, host, find_target, port=0):
        self._find_target = find_target
        self._pairs = set()
        self.mode = None
        self._server = StreamServer((host, port), self._serve, backlog=256)
        self._server.start()
        self.address = f"{host}:{self._server.server_port}"

    def stop(self):
        """Stop listening and reset all open connections."""
        self._server.stop(timeout=0)
        self._reset_all()

    def set_mode(self, mode):
        """Set the mode; ``reset`` also resets all open connections."""
        self.mode = mode
        if mode == "reset":
            self._reset_all()

    def _reset_all(self):
        for pair in list(self._pairs):
            for sock in pair:
                reset(sock)

    def _serve(self, client, _):
        if self.mode in ("reset", "refuse"):
            reset(client)
            return
        try:
            upstream = socket.create_connection(self._find_target(), CONNECT_TIMEOUT_S)
        except OSError:
            reset(client)
            return
        upstream.settimeout(None)
        pair = (client, upstream)
        self._pairs.add(pair)
        for sock in pair:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pumps = [
            gevent.spawn(self._pump, client, upstream, 0),
            gevent.spawn(self._pump, upstream, client, 1),
        ]
        gevent.joinall(pumps)
        self._pairs.discard(pair)
        for sock in pair:
            sock.close()

    def _pump(self, reader, writer, direction):
        try:
            while data := reader.recv(READ_BLOCK_BYTES):
                if self.mode == "delay":
                    gevent.sleep(DELAY_S)
                while self._is_blocked(direction):
                    gevent.sleep(POLL_S)
                writer.sendall(data)
            while self._is_blocked(direction):
                gevent.sleep(POLL_S)
            writer.shutdown(socket.SHUT_WR)
        except OSError:
            reset(reader)
            reset(writer)

    def _is_blocked(self, direction):
        return (
            self.mode in _BLOCKED_DIRECTIONS
            and _BLOCKED_DIRECTIONS[self.mode][direction]
        )


def reset(sock):
    """Close `sock` so that the peer sees a reset, also while a read is blocked."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
