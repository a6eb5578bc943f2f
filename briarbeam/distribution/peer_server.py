"""Serves chunks, manifests and desired states to other daemons."""

import json

from gevent import socket
from gevent.server import StreamServer

from ..catalog import CallerLimits
from ..kernel.errors import BriarbeamError
from ..relay.callers import AnswerWriter, RequestReader
from .errors import ChunkUnavailableError

# Copies of a desired state that are sent concurrently. More would all be too slow, and each
# peer that has one sends it on to others.
STATE_COPIES_MAX = 5
# How long a peer may keep an idle connection open between versions.
IDLE_TIMEOUT_S = 30.0


class PeerServer:
    """Serves peers, with one task a connection.

    :param address: where to listen.
    :param store: an object with methods `get_manifest` and `get_chunk`, as `ChunkCache` has.
    :param state_copy: a function of a revision that returns the bytes of a desired state
        of at least that revision, or raises `ChunkUnavailableError`; None in a daemon that
        holds no desired state.
    """

    def __init__(self, address, store, state_copy=None):
        self._store = store
        self._state_copy = state_copy
        self._state_copies = 0
        self._server = StreamServer(tuple(address), self._serve)

    def start(self):
        """Start to listen in the background."""
        self._server.start()

    def _answer(self, path):
        kind, *parts = path.strip("/").split("/")
        try:
            if kind == "manifests":
                manifest = self._store.get_manifest(parts[0], int(parts[1]))
                return json.dumps(manifest.digests).encode()
            if kind == "chunks":
                return self._store.get_chunk(parts[0], int(parts[1]), int(parts[2]))
            if kind == "states" and self._state_copy is not None:
                return self._state_copy(int(parts[0]))
        except (IndexError, ValueError) as error:
            raise ChunkUnavailableError(f"path is not served: {path}") from error
        raise ChunkUnavailableError(f"path is not served: {path}")

    def _serve_one(self, writer, path):
        is_state = path.startswith("/states/")
        self._state_copies += is_state
        try:
            if is_state and self._state_copies > STATE_COPIES_MAX:
                raise ChunkUnavailableError(
                    f"{STATE_COPIES_MAX} copies of desired states are being sent"
                )
            writer.write(200, [], self._answer(path))
        except ChunkUnavailableError as error:
            writer.write(error.status, [], b"")
        finally:
            self._state_copies -= is_state

    def _serve(self, sock, _):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            reader = RequestReader(sock, CallerLimits)
            while (request := reader.read(IDLE_TIMEOUT_S)) is not None:
                writer = AnswerWriter(sock, request, lambda: False)
                self._serve_one(writer, request.path)
        except (BriarbeamError, OSError):
            # The peer closed the connection or sent an invalid request; it may open another.
            return
        finally:
            sock.close()
