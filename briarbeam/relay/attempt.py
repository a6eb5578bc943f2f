"""The sends of one request that are not answered yet."""

import math
import time
from dataclasses import dataclass

from gevent import select
from prometheus_client import Counter

from .errors import AnswerTooLargeError, UpstreamError
from .events import EventSplitter
from .memory_budget import MemoryBudgetError
from .upstream_call import Framing, UpstreamSilentError

# Limit on an answer that is no event stream, which is buffered until it is complete.
BODY_MAX_BYTES = 8 * 1024 * 1024

_UNMARKED = Counter(
    "briarbeam_unmarked_answers",
    "Answers of instances with neither a length nor chunks",
    ["connection_end"],
)


@dataclass(frozen=True)
class AnswerEnd:
    """How far an instance's answer came.

    :param status: its status.
    :param framing: the `Framing` of its body.
    :param connection_end: how the instance ended the connection, or None.
    :param event_count: the number of complete events.
    :param left_bytes: the number of bytes after the last event.
    :param process_state: the `ProcessState` that was found after an end without a mark,
        or None if it was not asked for.
    """

    status: int
    framing: Framing
    connection_end: str | None
    event_count: int
    left_bytes: int
    process_state: str | None = None


class Attempt:
    """One send of a request to a target, and the progress of the target's answer.

    :param target: the `Target`.
    :param call: the `UpstreamCall`, which has sent the request.
    :param switch_at_s: monotonic time at which the request may be sent to another
        target as well if this one has made no progress.
    :param on_closed: called with `call` once it is closed.
    :param budget: the `MemoryBudget` of what is received of answers.

    `begin_by_s` is the monotonic time by which the target must have made progress,
    `target_started_ms` the start of its process as known at the send, 0 if unknown,
    `head` is the accepted `ReplyHead`, or None before it has arrived, `has_events`
    is whether a complete event has arrived, `process_watch` is what watches the
    target's process for it, or None, and `process_state` the `ProcessState` that was
    found after the end of the answer, or None.
    """

    def __init__(self, target, call, switch_at_s, on_closed, budget):
        self.target = target
        self.call = call
        self.switch_at_s = switch_at_s
        self.begin_by_s = math.inf
        self.started_s = time.monotonic()
        self.target_started_ms = target.started_ms
        self.head = None
        self.has_events = False
        self.splitter = EventSplitter()
        self.process_watch = None
        self.process_state = None
        self._body = bytearray()
        self._on_closed = on_closed
        self._holder = budget.open(target.id, self._give_up)

    def read_body(self):
        """Return the body if it is complete, or None.

        :raises AnswerTooLargeError: if it has more than `BODY_MAX_BYTES`, or may not be
            held.
        """
        part = self.call.take_part()
        if len(self._body) + len(part) > BODY_MAX_BYTES:
            raise AnswerTooLargeError(
                f"{self.target.id}: body is larger than {BODY_MAX_BYTES} bytes"
            )
        self._hold(len(self._body) + len(part))
        self._body += part
        if not self.call.is_complete:
            return None
        # A complete answer is delivered whatever comes after it.
        self._holder.keep()
        body, self._body = bytes(self._body), bytearray()
        return body

    def read_events(self):
        """Return the bytes of the events that are complete now.

        :raises AnswerTooLargeError: if an event is larger than its limit, or may not be
            held.
        """
        events = self.splitter.feed(self.call.take_part())
        if not events or self.splitter.left_bytes < self._holder.size_bytes:
            self._hold(self.splitter.left_bytes)
        return events

    def _give_up(self):
        self._body = bytearray()
        self.splitter.drop_partial()
        self.call.give_up()

    def _hold(self, size_bytes):
        try:
            self._holder.resize(size_bytes)
        except MemoryBudgetError as error:
            raise AnswerTooLargeError(
                f"{self.target.id}: no room for more of its answer: {error}"
            ) from error

    def check_stream_end(self):
        """Check that a stream whose last bytes were received is complete.

        :raises UpstreamError: if it broke off inside an event, or if it has neither a
            mark of its end nor any event.
        """
        partial = self.splitter.remainder.strip(b"\r\n")
        if partial:
            raise UpstreamError(
                f"stream ended inside an event, after {len(partial)} bytes of it"
            )
        is_marked = self.head.framing is not Framing.CONNECTION
        if not (self.has_events or is_marked):
            raise UpstreamError("stream without a length ended before its first event")

    def describe_end(self):
        """Return the `AnswerEnd`, or None if no head has arrived."""
        head, call = self.call.head, self.call
        if head is None:
            return None
        return AnswerEnd(
            head.status,
            head.framing,
            call.connection_end,
            self.splitter.count,
            self.splitter.left_bytes,
            self.process_state,
        )

    def close(self):
        """Close the connection, which cancels the request at the target."""
        if self.process_watch is not None:
            self.process_watch.forget(self)
        self.call.close()
        self._holder.release()
        self._on_closed(self.call)
        self.target.end_request()


class OpenAttempts:
    """The attempts of one request that may still answer it, in the order of sending.

    A context manager that closes those that are still open at its end.

    :param job: the `Job`; attempts that end are recorded in it.
    """

    def __init__(self, job):
        self._job = job
        self._attempts = []

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for attempt in self:
            self._end(attempt, "cancelled")

    def __len__(self):
        return len(self._attempts)

    def __iter__(self):
        return iter(list(self._attempts))

    @property
    def latest(self):
        """The attempt that was sent last."""
        return self._attempts[-1]

    def target_ids(self):
        """Return the ids of the targets."""
        return [attempt.target.id for attempt in self._attempts]

    def append(self, attempt):
        """Add an `Attempt` that has just been sent."""
        self._attempts.append(attempt)

    def drop(self, attempt, outcome):
        """Close an attempt that won't answer the request.

        :param outcome: how it ended, for the log.
        """
        self._end(attempt, outcome)
        self._job.tried.append(attempt.target.id)

    def complete(self, attempt):
        """Close `attempt`, which has answered the request completely."""
        attempt.target.record_success()
        self._end(attempt, "ok")

    def keep_only(self, attempt):
        """Drop all attempts but the one that answers the request.

        Those that were sent before it were silent for too long, which counts as a
        failure of their targets.
        """
        position = self._attempts.index(attempt)
        for earlier in self._attempts[:position]:
            earlier.target.record_failure(time.monotonic())
            self.drop(earlier, UpstreamSilentError.code)
        for later in self._attempts[1:]:
            self.drop(later, "not_needed")

    def wait(self, until_s):
        """Wait until an attempt can receive something, if there are several.

        A single attempt waits while it receives.

        :param until_s: monotonic time.
        :returns: the attempts to receive from; all if nothing arrives by then.
        """
        if len(self._attempts) == 1:
            return list(self._attempts)
        # select.select raises ValueError for descriptors of 1024 and above.
        poll = select.poll()
        for attempt in self._attempts:
            poll.register(attempt.call, select.POLLIN)
        timeout_s = max(0.0, until_s - time.monotonic())
        readable = {descriptor for descriptor, _ in poll.poll(timeout_s * 1000)}
        ready = [a for a in self._attempts if a.call.fileno() in readable]
        return ready or list(self._attempts)

    def _end(self, attempt, outcome):
        self._attempts.remove(attempt)
        attempt.close()
        end = attempt.describe_end()
        if end is not None:
            self._job.answer_end = end
            if end.framing is Framing.CONNECTION:
                _UNMARKED.labels(end.connection_end or "cancelled").inc()
        self._job.record_attempt(attempt.target, outcome, attempt.started_s)
