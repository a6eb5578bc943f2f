"""An event stream to a caller, put together from those of several targets."""

from ..platform import headers as wire
from .events import EventSplitter


class CallerStream:
    """The one answer that a caller sees, whichever targets it comes from."""

    def __init__(self, writer):
        self._writer = writer
        self._splitter = EventSplitter()
        self._head = None
        self.begun = False

    @property
    def last_id(self):
        return self._splitter.last_id

    @property
    def can_resume(self):
        """Whether the last event that the caller has is known."""
        return self.last_id is not None

    def accept(self, head):
        """Take the head of an answer; the first one is the caller's."""
        if self._head is None or not self.begun:
            self._head = head
        self._splitter.drop_partial()

    def feed(self, part):
        """Forward the events that are whole with `part`; return whether there were any."""
        whole = self._splitter.feed(part)
        if not whole:
            return False
        if self.begun:
            self._writer.write_part(whole)
            return True
        self.begun = True
        headers = wire.returned_headers(self._head.headers)
        self._writer.begin_stream(self._head.status, headers, whole)
        return True

    def finish(self):
        """End the answer as complete."""
        rest = self._splitter.rest
        if not self.begun:
            self.begun = True
            headers = wire.returned_headers(self._head.headers)
            self._writer.begin_stream(self._head.status, headers, rest)
        elif rest:
            self._writer.write_part(rest)
        self._writer.end_stream()
