"""Splits a byte stream into complete server-sent events."""

import re

from .errors import AnswerTooLargeError

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:\A|\n)id: ?([^\r\n]*)")
_END_MAX_BYTES = 4
# Limit on one event; those of engines have some hundred bytes.
EVENT_MAX_BYTES = 262144


class EventSplitter:
    """Splits bytes into complete events and remembers the id of the last one."""

    def __init__(self):
        self._rest = bytearray()
        self.last_id = None

    def feed(self, data):
        """Return the bytes of all events that `data` completes.

        :raises AnswerTooLargeError: if an event has more than `EVENT_MAX_BYTES`.
        """
        searched = max(0, len(self._rest) - _END_MAX_BYTES + 1)
        self._rest += data
        end = 0
        for match in _END.finditer(self._rest, searched):
            end = match.end()
        if not end and len(self._rest) > EVENT_MAX_BYTES:
            raise AnswerTooLargeError(f"event is larger than {EVENT_MAX_BYTES} bytes")
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def drop_partial(self):
        """Discard an incomplete event."""
        self._rest.clear()

    @property
    def rest(self):
        """The bytes after the last complete event."""
        return bytes(self._rest)
