"""Log lines about requests, limited in number and written without delaying requests.

Lines go to a bounded buffer that one task writes out. If the reader of the log stops
reading, lines are dropped. A later ``lines_dropped`` line states their number.
"""

import collections
import fcntl
import json
import os
import sys
import time

import gevent
import structlog
from gevent import get_hub
from prometheus_client import Counter, Histogram

from ..kernel.errors import Ran
from ..relay.errors import CallerDisconnectedError
from ..relay.upstream_call import Framing

BUFFER_MAX_LINES = 2000
# Limits on lines per second. Failures, which include refusals, get five times as many
# as successes.
SUCCESSES_PER_S = 5
FAILURES_PER_S = 25
MALFORMED_PER_S = 5
# Answers that were cut are rare and each is a fault, or a failure of targets.
CUT_PER_S = 25
# Successful answers that only the end of their connection marks as complete.
UNMARKED_PER_S = 25
_WRITE_MAX_BYTES = 32768

_DROPPED = Counter("briarbeam_log_lines_dropped", "Log lines left out", ["reason"])
_ANSWERS = Counter("briarbeam_answers", "Answers to callers", ["route_kind", "outcome"])
_CUT = Counter(
    "briarbeam_cut_answers", "Answers that this entry began and broke off", ["outcome"]
)
_LATENCY = Histogram(
    "briarbeam_answer_seconds",
    "Seconds from a request's last byte to the end of its answer",
    ["route_kind"],
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4),
)
_SUPERSEDED_SEND_LEFT = Histogram(
    "briarbeam_superseded_send_left_seconds",
    "Seconds in which requests could still begin on superseded weights, at each send",
    buckets=(0.0, 0.15, 0.35, 0.75, 1.5, 3.0, 6.0),
)


class BufferedOutput:
    """A text stream whose writes never block; a task writes the buffer to a file.

    :param descriptor: the file descriptor to write to; it is set to non-blocking mode.
    """

    def __init__(self, descriptor=1):
        self._descriptor = descriptor
        self._lines = collections.deque()
        self._task = None
        self._dropped_count = 0
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, text):
        """Append `text` to the buffer, or drop it if the buffer is full."""
        if len(self._lines) >= BUFFER_MAX_LINES:
            self._dropped_count += 1
            _DROPPED.labels("reader").inc()
            return
        self._lines.append(text.encode(errors="replace"))
        if self._task is None:
            self._task = gevent.spawn(self._drain)

    def flush(self):
        """Do nothing: the task writes as soon as the descriptor is writable."""

    def close(self, timeout_s=0.3):
        """Wait up to `timeout_s` seconds until the buffer has been written."""
        if self._task is not None:
            self._task.join(timeout=timeout_s)

    def _drain(self):
        try:
            while self._lines:
                self._write_all(self._next_block())
        except OSError:
            # The reader has closed its end, and the lines can't be written elsewhere.
            _DROPPED.labels("closed").inc(len(self._lines))
            self._lines.clear()
        finally:
            self._task = None

    def _next_block(self):
        if self._dropped_count:
            dropped_count, self._dropped_count = self._dropped_count, 0
            self._lines.appendleft(
                b'{"event":"lines_dropped","count":%d}\n' % dropped_count
            )
        block = bytearray()
        while self._lines and len(block) < _WRITE_MAX_BYTES:
            block += self._lines.popleft()
        return bytes(block)

    def _write_all(self, block):
        while block:
            try:
                block = block[os.write(self._descriptor, block) :]
            except BlockingIOError:
                self._wait_writable()

    def _wait_writable(self):
        watcher = get_hub().loop.io(self._descriptor, 2)
        try:
            get_hub().wait(watcher)
        finally:
            watcher.stop()
            watcher.close()


def configure_node_logs(output=None):
    """Configure structured logs as JSON lines, and return the output they go to.

    :param output: a text stream; None for a `BufferedOutput` to standard output.
    """
    output = output or BufferedOutput(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(
                serializer=json.dumps, separators=(",", ":"), default=repr
            ),
        ],
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    return output


class RequestLog:
    """Logs and counts answered requests; lines above a rate limit are omitted.

    :param state_age_s: a function that returns the age of the desired state in seconds,
        or None.
    """

    def __init__(self, state_age_s):
        self._log = structlog.get_logger()
        self._state_age_s = state_age_s
        self._current_second = 0
        self._lines_left = {}
        self._omitted_count = 0
        self._malformed_omitted_count = 0

    def log_malformed(self, error):
        """Log and count the refusal of bytes that are not a valid request."""
        _ANSWERS.labels("none", error.code).inc()
        if not self._allow_line("malformed"):
            self._malformed_omitted_count += 1
            _DROPPED.labels("rate").inc()
            return
        omitted, self._malformed_omitted_count = self._malformed_omitted_count, 0
        self._log.info(
            "request_malformed",
            outcome=error.code,
            cause=str(error),
            status=error.status,
            omitted_before=omitted,
        )

    def count_send(self, superseded_left_s):
        """Count a request that is sent to an engine, if its weights are superseded.

        :param superseded_left_s: as in `Job`.
        """
        if superseded_left_s is not None:
            _SUPERSEDED_SEND_LEFT.observe(max(0.0, superseded_left_s))

    def log_request(self, request, meta, job, writer, error):
        """Log and count the answer to `request`.

        :param meta: the `RequestMeta` of the request.
        :param job: the `Job`, or None if it was not admitted.
        :param writer: the `AnswerWriter` that it was answered with.
        :param error: the error that it failed with, or None.
        """
        route_kind = job.route.kind.value if job is not None else "none"
        outcome = "ok" if error is None else getattr(error, "code", "unexpected")
        cut = (
            error is not None
            and writer.begun
            and not writer.complete
            and not isinstance(error, CallerDisconnectedError)
        )
        if cut:
            _CUT.labels(outcome).inc()
        _ANSWERS.labels(route_kind, outcome).inc()
        elapsed_s = time.monotonic() - request.read_at_s
        _LATENCY.labels(route_kind).observe(elapsed_s)
        end = job.answer_end if job is not None else None
        is_unmarked = end is not None and end.framing is Framing.CONNECTION
        if cut:
            kind = "cut"
        else:
            is_failure = error is not None or (end is not None and end.status >= 400)
            kind = "unmarked" if error is None and is_unmarked else not is_failure
        if not self._allow_line(kind):
            self._omitted_count += 1
            _DROPPED.labels("rate").inc()
            return
        fields = {"omitted_before": self._omitted_count} if self._omitted_count else {}
        self._omitted_count = 0
        if job is not None:
            fields.update(
                route=job.route.name,
                service=job.requirements.service.name,
                config_version=job.state_version,
                homes=_common_regions(job.requirements.allowed_regions),
                target=job.target_id,
                target_domain=job.target_domain,
                sent_state_age_s=_round(job.state_age_s),
                tried=job.tried,
                sends=job.sends,
                connects=job.unsent_attempts,
                may_have_run=job.may_have_run,
                attempts=job.attempts,
                not_sent_cause=job.not_sent_cause,
                required_version=job.requirements.required_version,
                time_limit_s=round(job.deadline_s - job.started_s, 3),
                predicted_s=_round(job.predicted_s),
                first_event_s=_round(job.first_event_s),
                place_wait_s=_round(job.place_wait_s),
                priority=job.priority,
                grants_silent=job.grants_silent,
            )
            if job.target_version is not None:
                fields.update(
                    target_version=job.target_version,
                    superseded_in_s=_round(job.superseded_left_s),
                )
        if end is not None:
            fields.update(
                answer_status=end.status,
                answer_framing=str(end.framing),
                connection_end=end.connection_end,
                answer_events=end.event_count,
                answer_left_bytes=end.left_bytes,
                process_state=end.process_state and str(end.process_state),
            )
        age_s = self._state_age_s()
        self._log.info(
            "request",
            request_id=meta.request_id.decode("latin-1"),
            outcome=outcome,
            cause=None if error is None else str(error) or repr(error),
            ran="yes" if error is None else str(getattr(error, "ran", Ran.UNKNOWN)),
            status=getattr(error, "status", None),
            answer_begun=writer.begun,
            cut=cut,
            caller_end=_describe_caller_end(writer, cut),
            elapsed_s=round(elapsed_s, 3),
            config_age_s=_round(age_s),
            **fields,
        )

    def _allow_line(self, kind):
        """Return whether the rate limit allows another line of this kind.

        :param kind: True for a success, False for a failure, ``"cut"``,
            ``"unmarked"`` or ``"malformed"``.
        """
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_left = {
                True: SUCCESSES_PER_S,
                False: FAILURES_PER_S,
                "cut": CUT_PER_S,
                "unmarked": UNMARKED_PER_S,
                "malformed": MALFORMED_PER_S,
            }
        left = self._lines_left.get(kind, 0)
        self._lines_left[kind] = left - 1
        return left > 0


def _describe_caller_end(writer, cut):
    """Return how the caller learns that its answer ended, or None if it doesn't."""
    if cut:
        return "reset"
    if not writer.complete:
        return None
    return "closed" if writer.ends_with_connection else "marked"


def _common_regions(allowed_regions):
    """Return the regions that all sets allow, or None if all regions are allowed.

    :param allowed_regions: sets of regions; an empty one allows all.
    """
    restrictions = [regions for regions in allowed_regions if regions]
    return sorted(frozenset.intersection(*restrictions)) if restrictions else None


def _round(duration_s):
    return None if duration_s is None else round(duration_s, 2)
