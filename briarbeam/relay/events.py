"""Server-sent events, cut out of a byte stream whole."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:\A|\n)id: ?([^\r\n]*)")


class EventSplitter:
    """Cuts bytes into whole events and remembers the id of the last one."""

    def __init__(self):
        self._rest = b""
        self.last_id = None

    def feed(self, data):
        """Return the bytes of all events that are whole with `data`."""
        self._rest += data
        end = 0
        for match in _END.finditer(self._rest):
            end = match.end()
        whole, self._rest = self._rest[:end], self._rest[end:]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def drop_partial(self):
        """Forget an event that was cut off in its middle."""
        self._rest = b""

    @property
    def rest(self):
        """Bytes after the last whole event."""
        return self._rest
