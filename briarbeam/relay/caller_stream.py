"""Combines the event streams of several targets into one stream to a caller."""

from ..platform import headers as wire
from .errors import UpstreamError
from .events import EventSplitter


class CallerStream:
    """The event stream to a caller, from one target or from several in sequence.

    :param writer: the `AnswerWriter`.
    """

    def __init__(self, writer):
        self._writer = writer
        self._splitter = EventSplitter()
        self._head = None
        self._has_events = False
        self.begun = False

    @property
    def last_id(self):
        return self._splitter.last_id

    @property
    def can_resume(self):
        """Whether an event that was sent to the caller had an id to resume after."""
        return self.last_id is not None

    def accept(self, head):
        """Start to receive the answer of a target, given its `ReplyHead`.

        The caller gets the head of the answer that contains the first complete event.
        """
        if self._head is None or not self.begun:
            self._head = head
        self._has_events = False
        self._splitter.drop_partial()

    def feed(self, part):
        """Forward the events that `part` completes; return whether there were any."""
        events = self._splitter.feed(part)
        if not events:
            return False
        self._has_events = True
        if self.begun:
            self._writer.write_part(events)
            return True
        self.begun = True
        headers = wire.returned_headers(self._head.headers)
        self._writer.begin_stream(self._head.status, headers, events)
        return True

    def finish(self, framed):
        """End the stream as complete, with any line ends after the last event.

        :param framed: whether the target marked the end of its answer. Otherwise an
            answer without any event counts as broken off, too.
        :raises UpstreamError: if the answer of the target broke off inside an event.
        """
        remainder = self._splitter.remainder
        if remainder.strip(b"\r\n"):
            raise UpstreamError(
                f"stream ended inside an event, after {len(remainder)} bytes of it"
            )
        if not framed and not self._has_events:
            raise UpstreamError("stream without a length ended before its first event")
        if not self.begun:
            self.begun = True
            headers = wire.returned_headers(self._head.headers)
            self._writer.begin_stream(self._head.status, headers, remainder)
        elif remainder:
            self._writer.write_part(remainder)
        self._writer.end_stream()
