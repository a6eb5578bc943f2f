"""Notices that a caller closes its connection while its request is being answered."""

import gevent
from gevent import get_hub

from .errors import CallerDisconnectedError


class DisconnectWatch:
    """Raises `CallerDisconnectedError` in a task once its caller closes the connection.

    A context manager. A close becomes visible only after all bytes sent before it are
    read, so the bytes of further requests are buffered by the reader. Once these are
    `READ_AHEAD_MAX_BYTES`, the connection is no longer watched.

    :param sock: the connected socket.
    :param reader: its `RequestReader`.
    """

    def __init__(self, sock, reader):
        self._sock = sock
        self._reader = reader
        self._watcher = None

    def __enter__(self):
        self._task = gevent.getcurrent()
        self._watcher = get_hub().loop.io(self._sock.fileno(), 1)
        self._watcher.start(self._on_readable)
        return self

    def __exit__(self, *exc_info):
        self._stop()

    def check(self):
        """Check that the caller has not closed the connection.

        The event loop detects a close as well, but only once this task waits.

        :raises CallerDisconnectedError: if it has.
        """
        if not self._reader.read_ahead():
            raise CallerDisconnectedError("caller closed its connection")

    def _stop(self):
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def _on_readable(self):
        if self._watcher is None:
            return
        connected = self._reader.read_ahead()
        if not connected or self._reader.is_read_ahead_full:
            self._stop()
        if not connected:
            gevent.kill(
                self._task, CallerDisconnectedError("caller closed its connection")
            )
