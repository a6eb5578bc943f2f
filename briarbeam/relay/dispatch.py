"""Handles one request: admits it, sends it to a target and retries it where allowed."""

import math
import random
import time

from ..kernel.errors import BriarbeamError, NotRunError
from ..platform import headers as wire
from .admission import RETRY_AFTER_S
from .caller_stream import CallerStream
from .callers import DisconnectWatch
from .errors import (
    CallerDisconnectedError,
    DeadlineError,
    NoCapacityError,
    NotStartedError,
    UpstreamError,
)
from .upstream_call import (
    ConnectFailedError,
    TargetIneligibleError,
    UpstreamCall,
    UpstreamSilentError,
)

# How long a repeatable request waits for the first bytes of its answer before it is
# sent to another target. This is about four times what a busy engine takes, and shorter
# than callers' own time-outs.
FIRST_PART_SILENCE_S = 1.1
# Interval between further searches if no other target can take the request then.
SWITCH_RETRY_INTERVAL_S = 0.3
# The first wait for an engine that is known to be full. Its queue explains the silence,
# and another engine would have to process the prompt from the start. Callers disconnect
# after 3.2 s.
FULL_ENGINE_SILENCE_S = 2.2
# How long a resumable stream may pause before another target continues it. Engines
# cancel the work of their neighbours after 1.5 s, and callers disconnect after 2 s or
# more.
STREAM_SILENCE_S = 1.0
# A request that still waits at a target with superseded weights is cancelled this long
# before the time from which none may begin on them, because it could begin too late.
SUPERSEDED_MARGIN_S = 0.15
# Part of a request's time limit that is reserved for sending the answer to the caller.
ANSWER_MARGIN_S = 0.05
# An attempt that ends before the request is sent costs only time, so another target is
# tried. This many of them mean a network partition.
UNSENT_ATTEMPTS_MAX = 4
# Retry-After if no instance can serve the request while weights are being loaded: about
# as long as one load takes.
LOAD_RETRY_AFTER_S = 0.35
# Retry-After if no instance is loading weights either. Callers retry once, so a retry
# that comes too early fails for good.
NOT_LOADING_RETRY_AFTER_S = 1.3
# Statuses after which a repeatable request is sent to another instance.
_FAILED_STATUSES = frozenset({500, 502, 503, 504, 429})


class Dispatcher:
    """Admits requests, sends them to targets, retries where allowed, and answers them.

    :param admission: the `Admission` that checks requests.
    :param selector: the `TargetSelector`.
    :param budget: the `RetryBudget` of this entry.
    :param position: a function that returns this entry's `EntryPosition`.
    :param request_log: the `RequestLog` that logs each answer.
    :param guard: the `CrashGuard`.
    """

    def __init__(self, admission, selector, budget, position, request_log, guard):
        self._admission = admission
        self._selector = selector
        self._budget = budget
        self._position = position
        self._request_log = request_log
        self._guard = guard

    def answer(self, request, writer, sock, reader):
        """Answer `request` through `writer`.

        :param reader: the `RequestReader` of the connection.
        :raises CallerDisconnectedError: if the caller disconnects before its answer is
            complete.
        :raises BriarbeamError: if an answer that was partly sent can't be completed.
        """
        job = None
        meta = wire.decode_request(request.headers)
        outcome = None
        try:
            with DisconnectWatch(sock, reader) as caller:
                job = self._admission.admit(request, meta)
                job.caller = caller
                self._guard.admit(job)
                self._budget.count_request(job.requirements.service.name, job.started_s)
                self._run(job, writer)
        except CallerDisconnectedError as error:
            outcome = error
            raise
        except BriarbeamError as error:
            outcome = error
            if writer.begun:
                raise
            self._refuse(writer, error)
        finally:
            self._request_log.log_request(request, meta, job, writer, outcome)

    def log_malformed(self, error):
        """Log that bytes from a caller were refused, as they are no valid request."""
        self._request_log.log_malformed(error)

    def refuse(self, request, writer, error):
        """Answer `request` with the `NotRunError` `error` instead of running it."""
        meta = wire.decode_request(request.headers)
        self._refuse(writer, error)
        self._request_log.log_request(request, meta, None, writer, error)

    def _refuse(self, writer, error):
        headers = [(b"content-type", b"application/json")]
        if error.status in (429, 503):
            retry_after_s = error.retry_after_s or RETRY_AFTER_S
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        body = b'{"error":{"code":"%b","ran":"%b"}}' % (
            error.code.encode(),
            str(error.ran).encode(),
        )
        writer.write(error.status, headers, body)

    def _run(self, job, writer):
        stream = CallerStream(writer) if job.streams else None
        while True:
            target = job.next_target or self._pick(job, job.tried)
            job.next_target = None
            if target is None:
                raise self._no_target_error(job)
            try:
                self._attempt(job, target, writer, stream)
                return
            except TargetIneligibleError as error:
                if isinstance(error, ConnectFailedError):
                    target.record_failure(time.monotonic())
                job.unsent_attempts += 1
                if job.unsent_attempts >= UNSENT_ATTEMPTS_MAX:
                    raise self._no_target_error(job) from None
            except _RefusedError:
                job.tried.append(target.id)
            except UpstreamError as error:
                target.record_failure(time.monotonic())
                job.may_have_run = True
                job.tried.append(target.id)
                self._check_repeatable(job, stream, error)
            except NotRunError as error:
                if not job.may_have_run:
                    raise
                # The error is about the retry, which was not sent. The request may have
                # run at an earlier target.
                raise UpstreamError(
                    f"no retry after attempts at {job.tried}: {error}"
                ) from error
            if time.monotonic() >= job.deadline_s - ANSWER_MARGIN_S:
                raise self._timeout_error(job)

    def _pick(self, job, tried):
        """Return the next target, or None if there is none or no retry is allowed."""
        if len(tried) >= max(1, job.route.max_attempts):
            return None
        try:
            self._admission.revalidate(job)
        except NotRunError:
            if not tried:
                raise
            # The error is about the retry only; the request may have run before.
            return None
        target = self._selector.pick(job.requirements, tried)
        if target is None or not tried:
            return target
        service, now_s = job.requirements.service.name, time.monotonic()
        if not self._budget.try_retry(service, self._position().count, now_s):
            return None
        return target

    def _no_target_error(self, job):
        if job.may_have_run:
            return UpstreamError(f"no retry possible after attempts at {job.tried}")
        if job.tried:
            return NotStartedError(f"targets refused to run the request: {job.tried}")
        return NoCapacityError(
            f"no target of service {job.requirements.service.name} "
            "can take the request",
            retry_after_s=self._retry_after_s(job) * random.uniform(0.8, 1.2),
        )

    def _retry_after_s(self, job):
        if self._selector.eligible_targets(job.requirements):
            return RETRY_AFTER_S
        if self._selector.any_loading(job.requirements):
            return LOAD_RETRY_AFTER_S
        return NOT_LOADING_RETRY_AFTER_S

    def _timeout_error(self, job):
        if job.may_have_run:
            return DeadlineError("time limit exceeded after the request was sent")
        return NotStartedError("time limit exceeded before any target ran the request")

    def _check_repeatable(self, job, stream, error):
        """Raise `error` if `job` must not be sent again after it may have run."""
        self._guard.check_repeat(job, error)
        if not job.route.repeatable:
            raise error
        if stream is not None and stream.begun and not stream.can_resume:
            raise error

    def _attempt(self, job, target, writer, stream):
        with UpstreamCall(
            target.instance.address, job.request.method == b"HEAD"
        ) as call:
            call.connect()
            # All checks are repeated right before the send, because the process may
            # have been suspended.
            job.caller.check()
            self._recheck(job, target)
            now_s = time.monotonic()
            left_s = job.deadline_s - now_s
            if left_s <= ANSWER_MARGIN_S:
                raise self._timeout_error(job)
            head = wire.encode_request(
                job.meta, job.request.method, job.request.target, job.request.body,
                target.id, left_s, job.team.name if job.team else None, job.priority,
                stream.last_id if stream and stream.last_id else job.meta.last_event_id,
            )  # fmt: skip
            target.begin_request()
            self._record_send(job, target)
            try:
                with self._guard.watch(job, target, call):
                    call.send(head, job.request.body)
                    self._receive(job, target, call, writer, stream)
            finally:
                target.end_request()

    def _recheck(self, job, target):
        """Check that `job` may still be sent to `target`.

        :raises NotRunError: if something changed since the target was picked.
        """
        self._admission.revalidate(job)
        self._guard.check(job)
        if not self._selector.is_eligible(target, job.requirements):
            raise TargetIneligibleError(f"{target.id} is no longer eligible")

    def _record_send(self, job, target):
        job.sends += 1
        job.target_id = target.id
        job.target_domain = target.instance.failure_domain
        job.state_age_s = self._admission.state_age_s()
        if job.requirements.model is not None:
            job.target_version = target.version_of(job.requirements.model)
            job.superseded_left_s = self._admission.superseded_left_s(job, target)
            self._request_log.count_send(job.superseded_left_s)

    def _receive(self, job, target, call, writer, stream):
        # If an attempt is left, sending to another target is better than waiting for a
        # silent one or forwarding an error.
        may_switch = (
            job.route.repeatable and len(job.tried) + 1 < job.route.max_attempts
        )
        switch_at_s = self._switch_time_s(target) if may_switch else math.inf
        weights_deadline_s = (
            self._weights_deadline_s(job, target) if stream else math.inf
        )
        head = self._read(job, target, call.read_head, switch_at_s, weights_deadline_s)
        reply = wire.decode_reply(head.status, head.headers)
        self._update_target(target, reply)
        if reply.not_run:
            if reply.status == 421:
                target.mark_replaced(time.monotonic())
            raise _RefusedError(reply.status)
        if reply.request_id not in (None, job.meta.request_id):
            raise UpstreamError(f"{target.id} returned the answer to another request")
        if head.status in _FAILED_STATUSES and may_switch:
            raise UpstreamError(f"{target.id} answered with status {head.status}")
        if stream is not None and head.status == 200 and head.is_event_stream():
            self._forward_stream(job, target, call, head, stream, may_switch)
        else:
            self._forward_whole(job, target, call, head, writer, stream)
        target.record_success()

    def _switch_time_s(self, target):
        """Return the monotonic time at which a silent target may be replaced."""
        is_full = self._selector.is_full(target)
        return time.monotonic() + (
            FULL_ENGINE_SILENCE_S if is_full else FIRST_PART_SILENCE_S
        )

    def _weights_deadline_s(self, job, target):
        """Return the monotonic time by which the first event must have arrived.

        Later, the request must not begin on the weights of the target any more.
        """
        left_s = self._admission.superseded_left_s(job, target)
        if left_s is None:
            return math.inf
        return time.monotonic() + max(0.01, left_s - SUPERSEDED_MARGIN_S)

    def _update_target(self, target, reply):
        if reply.running is not None:
            target.record_answer_load(
                reply.running, reply.waiting or 0, time.monotonic()
            )
        if reply.weights_version is not None:
            target.seen_version = reply.weights_version

    def _forward_whole(self, job, target, call, head, writer, stream):
        body = self._read(job, target, call.read_body)
        if head.status == 200:
            self._guard.record_begin(job)
        if stream is not None and stream.begun:
            raise UpstreamError("resumed stream was answered without an event stream")
        writer.write(head.status, wire.returned_headers(head.headers), body)

    def _forward_stream(self, job, target, call, head, stream, may_switch):
        stream.accept(head)
        switch_at_s = self._switch_time_s(target) if may_switch else math.inf
        weights_deadline_s = self._weights_deadline_s(job, target)
        while True:
            part = self._read(
                job, target, call.read_part, switch_at_s, weights_deadline_s
            )
            if part is None:
                break
            # Only a complete event counts as progress: parts are not forwarded.
            if stream.feed(part):
                self._guard.record_begin(job)
                switch_at_s = (
                    time.monotonic() + STREAM_SILENCE_S if may_switch else math.inf
                )
                weights_deadline_s = math.inf
        stream.finish()

    def _read(
        self, job, target, read, switch_at_s=math.inf, weights_deadline_s=math.inf
    ):
        """Return the result of `read`, a function that waits until a given time.

        A target that is silent at `switch_at_s` is abandoned if another one can take
        the request. It is also abandoned if it has no fresh load report: then the delay
        is not known to come from a queue, and the caller may retry. At
        `weights_deadline_s` it is abandoned in any case.

        :param switch_at_s: monotonic time.
        :param weights_deadline_s: monotonic time.
        :raises UpstreamSilentError: if the target is abandoned.
        :raises DeadlineError: if the deadline of the job passes.
        """
        while True:
            try:
                return read(min(job.deadline_s, weights_deadline_s, switch_at_s))
            except UpstreamSilentError as error:
                now_s = time.monotonic()
                if now_s >= job.deadline_s:
                    raise DeadlineError(str(error)) from error
                if now_s >= weights_deadline_s:
                    raise
                job.next_target = self._pick(job, (*job.tried, target.id))
                if job.next_target is not None or not target.has_fresh_report(now_s):
                    raise
                switch_at_s = now_s + SWITCH_RETRY_INTERVAL_S


class _RefusedError(Exception):
    """Raised when a target states that it did not run the request."""
