"""The frames of an answer, over the targets that it takes to give it whole."""

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
    """One answer as an iterator of frames; always release it by ``close()``.

    When a target's stream breaks off, the answer resumes at another target of the
    same version, at the first token that has not come.

    :param routing: the `RoutingPlugin` to send with.
    :param job: the `Job` to answer.
    :param restartable: whether an answer that can't be resumed may start afresh on
        any version, because nothing of it was passed on.
    :param released: function that is called once when the answer is released.
    :raises BriarbeamError: if no target takes the job.
    """

    def __init__(self, routing, job, restartable, released):
        self._routing = routing
        self._restartable = restartable
        self._released = released
        self._index = 0
        self._resumes = 0
        self._clock = routing.clock
        self._member = self._response = None
        self.job = job
        self.stamp = None
        self.target = ""
        self._open(job)

    def tokens(self):
        """Yield the frames with tokens, each index once, then the end frame.

        None comes where the answer starts over; what came before it is void.

        :raises BriarbeamError: if the answer can't be given whole.
        """
        while True:
            try:
                yield from self._read()
                return
            except CallerGoneError:
                raise
            except (ExchangeError, OutcomeUnknownError) as error:
                self._resume(error)
            if not self._index:
                self.stamp = None
                yield None

    def close(self):
        """Give up the connection to the target; the target cancels what runs."""
        self._drop()
        released, self._released = self._released, None
        if released is not None:
            released()

    def _open(self, job):
        self._member, self._response = self._routing.send(job)
        self._started_s = self._clock.monotonic_s()
        self.target = self._member.name

    def _drop(self, took_s=None):
        response, self._response = self._response, None
        if response is not None:
            self._routing.finish(self._member, response, took_s)

    def _read(self):
        """Yield the frames of the present target; raise unless the end came."""
        targets, name = self._routing.targets, self._member.name
        lines = self._response.lines()
        for line in lines:
            targets.hear(name)
            frame = _parse(line)
            if "load" in frame:
                targets.record_load(name, frame["load"])
            self._check(frame)
            if frame.get("done"):
                took_s = self._clock.monotonic_s() - self._started_s
                yield frame
                for _ in lines:
                    raise OutcomeUnknownError("frames came after the end")
                self._drop(took_s)
                return
            self._index += 1
            yield frame
            if self.job.gone():
                raise CallerGoneError("the caller closed its connection")
        raise OutcomeUnknownError("the answer broke off before its end")

    def _check(self, frame):
        """Check that a frame continues the answer: same version, next index."""
        stamp = frame["version"], frame.get("adapter_version")
        if self.stamp is None:
            self.stamp = stamp
        if stamp != self.stamp:
            raise OutcomeUnknownError(f"an answer of {self.stamp} met {stamp}")
        found = frame["tokens"] if frame.get("done") else frame["index"]
        if found != self._index:
            raise OutcomeUnknownError(f"token {found} came in place of {self._index}")

    def _resume(self, error):
        """Take the answer up at another target.

        :raises BriarbeamError: `error`, or what kept it from being taken up.
        """
        routing, failed = self._routing, self._member.name
        self._drop()
        if isinstance(error, ExchangeError):
            routing.targets.fail(failed)
        self._resumes += 1
        if not self._may_resume():
            raise error
        if not routing.policy.spend_retry(self.job):
            _RESUMES.labels("no_budget").inc()
            raise error
        self._take_up(failed)

    def _may_resume(self):
        routing = self._routing
        if not (routing.policy.resumes and self.job.idempotent):
            return False
        if self._resumes > routing.settings.entry.attempts_max:
            return False
        return self._clock.now().timestamp() < self.job.deadline_unix_s

    def _take_up(self, failed):
        """Send the rest of the job, or all of it if nothing of it was passed on."""
        afresh = replace(self.job, tried=[failed], may_have_run=True)
        if not self._index:
            self._open(afresh)
            return
        rest = replace(
            afresh,
            tried=[failed],
            envelope={**self.job.envelope, "resume_from": self._index},
            version=_version(self.stamp),
        )
        try:
            self._open(rest)
        except OutcomeUnknownError as error:
            _RESUMES.labels("refused").inc()
            if not self._restartable or isinstance(error, CallerGoneError):
                raise
            self._index = 0
            self._open(afresh)
        _RESUMES.labels("resumed").inc()


def _parse(line):
    """Return the frame in a line.

    :raises OutcomeUnknownError: if it is an error, or not readable.
    """
    try:
        frame = json.loads(line)
    except ValueError as error:
        raise OutcomeUnknownError(f"a frame was not readable: {error}") from error
    if "error" in frame:
        raise OutcomeUnknownError(frame["error"].get("message", ""))
    return frame


def _version(stamp):
    version, adapter_version = stamp
    return adapter_version or version
