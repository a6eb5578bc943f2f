"""Splits a byte stream into complete server-sent events."""

import re

from .errors import AnswerTooLargeError

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:\A|\n)id: ?([^\r\n]*)")
_END_MAX_BYTES = 4
# Limit on the size of one event; events of engines have some hundred bytes.
EVENT_MAX_BYTES = 262144


class EventSplitter:
    """Splits bytes into complete events, and remembers their count and the last id."""

    def __init__(self):
        self._remainder = bytearray()
        self.last_id = None
        self.count = 0

    def feed(self, data):
        """Return the bytes of all events that `data` completes.

        :raises AnswerTooLargeError: if an event has more than `EVENT_MAX_BYTES`.
        """
        searched = max(0, len(self._remainder) - _END_MAX_BYTES + 1)
        self._remainder += data
        end = 0
        for match in _END.finditer(self._remainder, searched):
            end = match.end()
            self.count += 1
        if not end and len(self._remainder) > EVENT_MAX_BYTES:
            raise AnswerTooLargeError(f"event is larger than {EVENT_MAX_BYTES} bytes")
        complete = bytes(self._remainder[:end])
        del self._remainder[:end]
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1]
        return complete

    def drop_partial(self):
        """Discard an incomplete event."""
        self._remainder.clear()

    @property
    def left_bytes(self):
        """The number of bytes after the last complete event."""
        return len(self._remainder)

    @property
    def remainder(self):
        """The bytes after the last complete event."""
        return bytes(self._remainder)
