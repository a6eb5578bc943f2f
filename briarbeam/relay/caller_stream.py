"""Combines the event streams of several targets into one stream to a caller."""

import math

from ..platform import headers as wire
from .errors import UpstreamError
from .upstream_call import Framing


class CallerStream:
    """The event stream to a caller, from one target or from several in sequence.

    :param writer: the `AnswerWriter`.

    `begun` is whether the caller has received a part of it, and `last_id` the last id
    of an event that was sent to the caller, or None. Its end is marked if the first
    target marks that of its own stream. `rest_by_s` is the monotonic time by which
    another target must have sent more if the last one's end was not marked.
    """

    def __init__(self, writer):
        self._writer = writer
        self.begun = False
        self.last_id = None
        self.rest_by_s = math.inf
        self._expects_event = False

    @property
    def may_end(self):
        """Whether all events were sent, as far as the targets show."""
        is_awaiting_rest = self.rest_by_s < math.inf and not self._expects_event
        return is_awaiting_rest and self._writer.ends_with_connection

    @property
    def can_resume(self):
        """Whether an event that was sent to the caller had an id to resume after."""
        return self.last_id is not None

    def forward(self, head, events, last_id):
        """Forward complete events.

        :param head: the `ReplyHead` of the target that sent them. The caller gets that
            of the first target.
        :param last_id: the last id in them, or None.
        """
        if last_id is not None:
            self.last_id = last_id
        self.rest_by_s = math.inf
        self._expects_event = False
        if self.begun:
            self._writer.write_part(events)
            return
        self.begun = True
        headers = wire.returned_headers(head.headers)
        marks_end = head.framing is not Framing.CONNECTION
        self._writer.begin_stream(head.status, headers, events, marks_end)

    def record_break(self, remainder):
        """Record that a target broke off.

        :param remainder: what it sent after its last event.
        """
        if remainder.strip(b"\r\n"):
            self._expects_event = True

    def await_rest(self, remainder, by_s):
        """Wait for more events, as the end of the last target's was not marked.

        :param remainder: the bytes after the last event.
        :param by_s: as in `rest_by_s`.
        """
        if remainder:
            self._writer.write_part(remainder)
        self.rest_by_s = by_s

    def finish(self, head, remainder):
        """End the stream as complete, with any line ends after the last event.

        :param remainder: the bytes after the last event.
        :raises UpstreamError: if the end of `head`'s stream is not marked, but the
            caller was told that its stream's would be, or if another target had begun
            an event that is missing.
        """
        if self._expects_event:
            raise UpstreamError("an event that another target had begun is missing")
        if remainder or not self.begun:
            self.forward(head, remainder, None)
        is_marked = head.framing is not Framing.CONNECTION
        if not (is_marked or self._writer.ends_with_connection):
            raise UpstreamError("the end of the resumed stream is not marked")
        self.end()

    def end(self):
        """End the stream after its last event."""
        self._writer.end_stream()
