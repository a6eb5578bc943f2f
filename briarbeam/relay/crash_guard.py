"""Keeps requests from engines that would end under them."""

import contextlib
import random
import time

from .engine_crashes import EngineCrashes, WatchedSend
from .errors import QuarantinedError, QuarantinedSentError, UpstreamError
from .suspects import name_some

# A request whose engine ended is not sent again if one of its suspects was at this many
# other crashes without an excuse.
REPEAT_CRASHES_MAX = 1
# An engine has survived a request if it still answers this long after it began to. What
# another engine did before does not count.
SURVIVED_AFTER_S = 0.5
# Limits on the Retry-After of refused requests.
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 10.0


class CrashGuard:
    """Refuses, watches and cancels requests by what they are suspected of.

    :param clock: the `Clock`.
    :param evidence: the `CrashEvidence`.
    :param quarantine: the `Quarantine`.
    """

    def __init__(self, clock, evidence, quarantine):
        self._evidence = evidence
        self._quarantine = quarantine
        self._crashes = EngineCrashes(clock, self._record_crash)
        # The `WatchedSend` of each open `UpstreamCall`.
        self._sends = {}
        quarantine.on_effective = self._cancel_quarantined

    def admit(self, job):
        """Check a request that has arrived; it may become the trial of its suspects.

        :raises QuarantinedError: if it may not be sent.
        """
        job.is_trial = self._find_left_s(job) is not None and (
            self._quarantine.try_trial(job.suspects)
        )
        self.check(job)

    def check(self, job):
        """Check a request right before it is sent.

        :raises QuarantinedError: if it may not be sent.
        """
        left_s = self._find_left_s(job)
        if left_s is None or job.is_trial:
            return
        retry_after_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, left_s))
        raise QuarantinedError(
            f"engines ended under one of {name_some(job.suspects)}",
            retry_after_s=retry_after_s * random.uniform(0.8, 1.2),
        )

    def check_repeat(self, job, error):
        """Raise `error` if `job` ended an engine and may end the next one, too."""
        if job.is_trial or (job.ended_engine and self._is_suspected(job)):
            raise error

    def may_send_beside(self, job):
        """Return whether `job` may be sent to a second engine beside a silent one."""
        return not (job.is_trial or self._is_suspected(job))

    def open(self, job, call):
        """Watch over a send of `job`, which is aborted if `job` is quarantined.

        It is not aborted once its answer has begun. It has to be closed by `close`.

        :param call: the `UpstreamCall`.
        """
        self._sends[call] = WatchedSend(job, call)

    def close(self, call):
        """Forget an `UpstreamCall` that has ended."""
        self._sends.pop(call, None)

    @contextlib.contextmanager
    def watch(self, target, call):
        """Watch what an `UpstreamCall` does in the body of the ``with`` statement.

        :param call: one that is open, see `open`.
        :raises QuarantinedSentError: if the call was aborted.
        """
        try:
            with self._crashes.watch(self._sends[call], target):
                yield
        except UpstreamError as error:
            if call.aborted:
                raise QuarantinedSentError(str(error)) from error
            raise

    def record_progress(self, call):
        """Record that the engine of an open `UpstreamCall` began to answer, or goes on."""
        now_s, send = time.monotonic(), self._sends[call]
        if not send.begun:
            send.begun_s = now_s
        elif now_s - send.begun_s >= SURVIVED_AFTER_S:
            self.record_survival(call)

    def record_survival(self, call):
        """Record that an engine survived a request, such as by a complete answer.

        :param call: the open `UpstreamCall`.
        """
        send = self._sends[call]
        if not send.survived:
            send.survived = True
            job = send.job
            self._evidence.record_survival(job.meta.prompt_parts, job.content_id)

    def _is_suspected(self, job):
        return any(
            self._evidence.is_suspected(suspect, REPEAT_CRASHES_MAX + 1)
            for suspect in job.suspects
        )

    def _find_left_s(self, job):
        return self._quarantine.left_s(job.suspects)

    def _record_crash(self, send, run, at_s):
        job = send.job
        job.ended_engine = True
        self._evidence.record_crash(
            job.meta.prompt_parts, job.content_id, run, at_s, send.begun
        )

    def _cancel_quarantined(self):
        for call, send in list(self._sends.items()):
            is_waiting = not (send.begun or send.job.is_trial)
            if is_waiting and self._find_left_s(send.job) is not None:
                call.abort()
