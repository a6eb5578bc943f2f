"""A loopback proxy that delays, resets, silences or cuts one way what it relays."""

import contextlib

import gevent
from gevent import socket
from gevent.server import StreamServer

READ_BLOCK_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
DELAY_S = 0.08
# How often held bytes look whether the way is open again.
POLL_S = 0.05
# What each mode holds back: of bytes towards the target, and of those back.
_HOLDS = {
    "silent": (True, True),
    "no_requests": (True, False),
    "no_answers": (False, True),
}
MODES = ("delay", "reset", "refuse", *_HOLDS)


class Proxy:
    """Relays connections from a loopback address to another.

    `mode` is None or one of `MODES`; it holds for open connections too.

    :param host: where to listen, at a free port.
    :param find_target: a function that returns host and port to relay to.
    """

    def __init__(self, host, find_target, port=0):
        self._find_target = find_target
        self._pairs = set()
        self.mode = None
        self._server = StreamServer((host, port), self._serve, backlog=256)
        self._server.start()
        self.address = f"{host}:{self._server.server_port}"

    def stop(self):
        """Stop listening and end what is open."""
        self._server.stop(timeout=0)
        self._reset_all()

    def set_mode(self, mode):
        """Change how bytes are treated from now on."""
        self.mode = mode
        if mode == "reset":
            self._reset_all()

    def _reset_all(self):
        for pair in list(self._pairs):
            for sock in pair:
                reset(sock)

    def _serve(self, near, _):
        if self.mode in ("reset", "refuse"):
            reset(near)
            return
        try:
            far = socket.create_connection(self._find_target(), CONNECT_TIMEOUT_S)
        except OSError:
            reset(near)
            return
        far.settimeout(None)
        pair = (near, far)
        self._pairs.add(pair)
        for sock in pair:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pumps = [
            gevent.spawn(self._pump, near, far, 0),
            gevent.spawn(self._pump, far, near, 1),
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
                while self._holds(direction):
                    gevent.sleep(POLL_S)
                writer.sendall(data)
            while self._holds(direction):
                gevent.sleep(POLL_S)
            writer.shutdown(socket.SHUT_WR)
        except OSError:
            reset(reader)
            reset(writer)

    def _holds(self, direction):
        return self.mode in _HOLDS and _HOLDS[self.mode][direction]


def reset(sock):
    """Close `sock` so that the other side sees a reset, also in a blocked read."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
