"""Serves chunks, manifests and desired states to other daemons."""

import json

from ..node_settings import CallerInputSettings
from ..relay.connections import PlainServer
from .errors import ChunkUnavailableError

# Number of copies of a desired state that are sent concurrently. With more, each would
# be too slow, and a peer that has received one sends it to others.
STATE_COPIES_MAX = 5
# How long an idle connection stays open, for example between two versions.
IDLE_TIMEOUT_S = 30.0


class PeerServer:
    """Serves peers, with one task per connection.

    :param address: where to listen.
    :param chunks: an object with methods `get_manifest` and `get_chunk`, as
        `ChunkCache` has.
    :param get_state: a function of a revision that returns the bytes of a desired state
        of at least that revision, or raises `ChunkUnavailableError`; None in a daemon
        that holds no desired state.
    :param get_records: the same for the records of instances.
    :param max_connections: as in the settings; None for the default.
    """

    def __init__(
        self, address, chunks, get_state=None, get_records=None, max_connections=None
    ):
        self._chunks = chunks
        self._get_state = get_state
        self._get_records = get_records
        self._active_state_copies = 0
        self._server = PlainServer(
            address,
            "peer",
            lambda request, writer: self._serve_one(writer, request.path),
            IDLE_TIMEOUT_S,
            max_connections or CallerInputSettings().max_connections,
        )

    def start(self):
        """Listen, and serve connections in the background."""
        self._server.start()

    def _get_content(self, path):
        """Return the bytes of the answer to a request.

        :raises ChunkUnavailableError: if they are not available, or not in time.
        """
        kind, *parts = path.strip("/").split("/")
        try:
            if kind == "manifests":
                manifest = self._chunks.get_manifest(parts[0], int(parts[1]))
                return json.dumps(manifest.digests).encode()
            if kind == "chunks":
                return self._chunks.get_chunk(parts[0], int(parts[1]), int(parts[2]))
            if kind == "states" and self._get_state is not None:
                return self._get_state(int(parts[0]))
            if kind == "records" and self._get_records is not None:
                return self._get_records(int(parts[0]))
        except (IndexError, ValueError) as error:
            raise ChunkUnavailableError(f"path is not served: {path}") from error
        raise ChunkUnavailableError(f"path is not served: {path}")

    def _serve_one(self, writer, path):
        is_state = path.startswith("/states/")
        self._active_state_copies += is_state
        try:
            if is_state and self._active_state_copies > STATE_COPIES_MAX:
                raise ChunkUnavailableError(
                    f"{STATE_COPIES_MAX} desired states are already being sent"
                )
            writer.write(200, [], self._get_content(path))
        except ChunkUnavailableError as error:
            writer.write(error.status, [], b"")
        finally:
            self._active_state_copies -= is_state
