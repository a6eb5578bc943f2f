"""Keeps requests from engines that would end under them."""

import contextlib
import random

from .engine_crashes import EngineCrashes
from .errors import QuarantinedError, QuarantinedSentError, UpstreamError

# A request whose engine ended is not sent again if a part of its prompt was at this
# many crashes before any answer with the part began.
REPEAT_CRASHES_MAX = 1
# A request under which this many engines ended is refused, whoever repeats it.
REQUEST_CRASHES_MAX = 2
# Limits on the Retry-After of refused requests.
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 10.0


class CrashGuard:
    """Refuses, watches and cancels requests by the parts of their prompts.

    :param clock: the `Clock`.
    :param evidence: the `CrashEvidence`.
    :param quarantine: the `Quarantine`.
    """

    def __init__(self, clock, evidence, quarantine):
        self._evidence = evidence
        self._quarantine = quarantine
        self._crashes = EngineCrashes(clock, self._record_crash)
        self._waiting = {}
        quarantine.on_effective = self._cancel_quarantined

    def admit(self, job):
        """Check a request that has arrived; it may become the trial of its parts.

        :raises QuarantinedError: if it may not be sent.
        """
        job.is_trial = self._find_left_s(job) is not None and (
            self._quarantine.try_trial(job.meta.prompt_parts)
        )
        self.check(job)
        self._check_repetition(job)

    def check(self, job):
        """Check a request right before it is sent.

        :raises QuarantinedError: if it may not be sent.
        """
        left_s = self._find_left_s(job)
        if left_s is None or job.is_trial:
            return
        retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, left_s))
        raise QuarantinedError(
            f"engines ended under requests with parts of {job.meta.prompt_parts}",
            retry_after_s=retry_after_s * random.uniform(0.8, 1.2),
        )

    def _check_repetition(self, job):
        if job.is_trial:
            return
        crash_count = self._evidence.count_crashes_under(
            job.meta.prompt_parts, job.meta.own_part
        )
        if crash_count >= REQUEST_CRASHES_MAX:
            raise QuarantinedError(
                f"{crash_count} engines ended under this request",
                retry_after_s=RETRY_AFTER_MAX_S * random.uniform(0.8, 1.2),
            )

    def check_repeat(self, job, error):
        """Raise `error` if `job` ended an engine and may end the next one, too."""
        if job.is_trial or (job.ended_engine and self._is_suspected(job)):
            raise error

    def may_send_beside(self, job):
        """Return whether `job` may be sent to a second engine beside a silent one."""
        return not (job.is_trial or self._is_suspected(job))

    def open(self, job, call):
        """Abort `call` if `job` is quarantined before its answer begins.

        It has to be closed by `close`.

        :param call: the `UpstreamCall`.
        """
        if not job.begun and job.meta.prompt_parts:
            self._waiting[call] = job

    def close(self, call):
        """Forget an `UpstreamCall` that has ended."""
        self._waiting.pop(call, None)

    @contextlib.contextmanager
    def watch(self, job, target, call):
        """Watch what an `UpstreamCall` does in the body of the ``with`` statement.

        :raises QuarantinedSentError: if the call was aborted.
        """
        try:
            with self._crashes.watch(job, target, call):
                yield
        except UpstreamError as error:
            if call.aborted:
                raise QuarantinedSentError(str(error)) from error
            raise

    def record_begin(self, job):
        """Record that an engine began to answer `job`."""
        if not job.begun:
            job.begun = True
            self._evidence.record_begin(job.meta.prompt_parts)

    def _is_suspected(self, job):
        return any(
            self._evidence.is_suspected(part, REPEAT_CRASHES_MAX + 1)
            for part in job.meta.prompt_parts
        )

    def _find_left_s(self, job):
        return self._quarantine.left_s(job.meta.prompt_parts)

    def _record_crash(self, job, run, at_s):
        job.ended_engine = True
        self._evidence.record_crash(job.meta.prompt_parts, job.meta.own_part, run, at_s)

    def _cancel_quarantined(self):
        for call, job in list(self._waiting.items()):
            is_waiting = not (job.begun or job.is_trial)
            if is_waiting and self._find_left_s(job) is not None:
                call.abort()
