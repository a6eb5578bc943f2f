"""Combines the event streams of several targets into one stream to a caller."""

from ..platform import headers as wire
from .upstream_call import Framing


class CallerStream:
    """The event stream to a caller, from one target or from several in sequence.

    :param writer: the `AnswerWriter`.

    `begun` is whether the caller has received a part of it, and `last_id` the last id
    of an event that was sent to the caller, or None. Its end is marked if the first
    target marks that of its own stream.
    """

    def __init__(self, writer):
        self._writer = writer
        self.begun = False
        self.last_id = None

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
        if self.begun:
            self._writer.write_part(events)
            return
        self.begun = True
        headers = wire.returned_headers(head.headers)
        marks_end = head.framing is not Framing.CONNECTION
        self._writer.begin_stream(head.status, headers, events, marks_end)

    def finish(self, head, remainder):
        """End the stream as complete, with any line ends after the last event.

        :param remainder: the bytes after the last event.
        """
        if remainder or not self.begun:
            self.forward(head, remainder, None)
        self._writer.end_stream()
