"""Reads the frames of an answer, and resumes it at another target if necessary."""

import json
from dataclasses import replace

from prometheus_client import Counter

from ..kernel.errors import (
    CallerGoneError,
    ExchangeError,
    OutcomeUnknownError,
)

_RESUMES = Counter("briarbeam_resumes", "Answers taken up elsewhere", ["result"])


class Answer:
    """One answer, read as frames; always release it with ``close()``.

    When the stream of a target ends early, the answer resumes at another target with
    the same version, at the first token that was not received.

    `versions` has the version of the model and that of the adapter, or is None until
    the first frame. `target` is the name of the current target.

    :param routing: the `RoutingPlugin` to send with.
    :param job: the `Job` to answer.
    :param can_restart: whether an answer that can't be resumed may start again with any
        version, because nothing of it was sent to the caller.
    :param on_release: function called once when the answer is released.
    :raises BriarbeamError: if no target accepts the job.
    """

    def __init__(self, routing, job, can_restart, on_release):
        self._routing = routing
        self._can_restart = can_restart
        self._on_release = on_release
        self._next_index = 0
        self._resume_count = 0
        self._clock = routing.clock
        self._member = self._response = None
        self.job = job
        self.versions = None
        self.target = ""
        self._send(job)

    def frames(self):
        """Yield the frames with tokens, each index once, then the end frame.

        Yield None where the answer starts again; the frames before must be discarded.

        :raises BriarbeamError: if the answer can't be completed.
        """
        while True:
            try:
                yield from self._read_frames()
                return
            except CallerGoneError:
                raise
            except (ExchangeError, OutcomeUnknownError) as error:
                self._resume(error)
            if not self._next_index:
                self.versions = None
                yield None

    def close(self):
        """Close the connection to the target, which then cancels the request.

        Call `on_release` the first time.
        """
        self._release_target()
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release()

    def _send(self, job):
        self._member, self._response = self._routing.send(job)
        self._started_s = self._clock.monotonic_s()
        self.target = self._member.name

    def _release_target(self, took_s=None):
        response, self._response = self._response, None
        if response is not None:
            self._routing.finish(self._member, response, took_s)

    def _read_frames(self):
        """Yield the frames of the current target; raise if the end frame is missing."""
        targets, name = self._routing.targets, self._member.name
        lines = self._response.lines()
        for line in lines:
            targets.record_activity(name)
            frame = _parse_frame(line)
            if "load" in frame:
                targets.record_load(name, frame["load"])
            self._check_frame(frame)
            if frame.get("done"):
                took_s = self._clock.monotonic_s() - self._started_s
                yield frame
                for _ in lines:
                    raise OutcomeUnknownError(
                        "frames were received after the end frame"
                    )
                self._release_target(took_s)
                return
            self._next_index += 1
            yield frame
            if self.job.caller_disconnected():
                raise CallerGoneError("the caller closed its connection")
        raise OutcomeUnknownError("the answer ended without its end frame")

    def _check_frame(self, frame):
        """Check that a frame continues the answer: same versions, next index.

        :raises OutcomeUnknownError: if it does not.
        """
        versions = frame["version"], frame.get("adapter_version")
        if self.versions is None:
            self.versions = versions
        if versions != self.versions:
            raise OutcomeUnknownError(
                f"expected a frame of versions {self.versions}, got {versions}"
            )
        found = frame["tokens"] if frame.get("done") else frame["index"]
        if found != self._next_index:
            raise OutcomeUnknownError(
                f"frame is at token {found}, expected {self._next_index}"
            )

    def _resume(self, error):
        """Resume the answer at another target.

        :raises BriarbeamError: `error` if the answer may not be resumed, otherwise the
            error of the attempt to resume it.
        """
        routing, failed = self._routing, self._member.name
        self._release_target()
        if isinstance(error, ExchangeError):
            routing.targets.record_failure(failed)
        self._resume_count += 1
        if not self._may_resume():
            raise error
        if not routing.policy.spend_retry(self.job):
            _RESUMES.labels("no_budget").inc()
            raise error
        self._resend(failed)

    def _may_resume(self):
        routing = self._routing
        if not (routing.policy.can_resume and self.job.idempotent):
            return False
        if self._resume_count > routing.settings.entry.attempts_max:
            return False
        return self._clock.now().timestamp() < self.job.deadline_unix_s

    def _resend(self, failed):
        """Send the rest of the job to another target, or all of it if nothing arrived.

        If no target accepts the rest, send all of it, provided that the answer may
        start again.
        """
        restart = replace(self.job, tried=[failed], may_have_run=True)
        if not self._next_index:
            self._send(restart)
            return
        rest = replace(
            restart,
            tried=[failed],
            envelope={**self.job.envelope, "resume_from": self._next_index},
            version=_requested_version(self.versions),
        )
        try:
            self._send(rest)
        except OutcomeUnknownError as error:
            _RESUMES.labels("refused").inc()
            if not self._can_restart or isinstance(error, CallerGoneError):
                raise
            self._next_index = 0
            self._send(restart)
        _RESUMES.labels("resumed").inc()


def _parse_frame(line):
    """Return the frame in a line.

    :raises OutcomeUnknownError: if it is malformed or contains an error.
    """
    try:
        frame = json.loads(line)
        if "error" in frame:
            raise OutcomeUnknownError(frame["error"].get("message", ""))
        required = ("tokens",) if frame.get("done") else ("index", "token")
        missing = [name for name in ("version", *required) if name not in frame]
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise OutcomeUnknownError(f"malformed frame: {error}") from error
    if missing:
        raise OutcomeUnknownError(f"malformed frame: lacks {missing}")
    return frame


def _requested_version(versions):
    """Return the version of the adapter, or of the model if there is no adapter."""
    version, adapter_version = versions
    return adapter_version or version
