"""Sends an admitted request to targets until one of them has answered it."""

import math
import time

from ..kernel.errors import BriarbeamError, NotRunError
from ..platform import headers as wire
from .answer_checks import check_attribution
from .attempt import Attempt, OpenAttempts
from .caller_stream import CallerStream
from .errors import (
    CallerDisconnectedError,
    DeadlineError,
    MisleadingStatusError,
    NoCapacityError,
    NotStartedError,
    UpstreamError,
)
from .retry_hint import RetryHint
from .target_statements import TargetStatements
from .upstream_call import (
    ConnectFailedError,
    Framing,
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
# How long the end of a stream that has no mark is delayed, while another target is asked
# for more of it.
REST_WAIT_S = 1.0
# How long a resumable stream may pause before another target continues it. Engines
# cancel the work of their neighbours after 1.5 s, and callers disconnect after 2 s or
# more.
STREAM_SILENCE_S = 1.0
# A request that still waits at a target with superseded weights is cancelled this long
# before the time from which none may begin on them, because it could begin too late.
SUPERSEDED_MARGIN_S = 0.15
# How often a request that waits at a target is checked against the named versions.
NAMING_POLL_S = 0.5
# With less time than this left, a request is not sent to another target.
SEND_MARGIN_S = 0.05
# An attempt that ends before the request is sent costs only time, so another target is
# tried. This many of them mean a network partition.
UNSENT_ATTEMPTS_MAX = 4
# Statuses after which a repeatable request is sent to another instance.
_FAILED_STATUSES = frozenset({408, 429, 500, 502, 503, 504})


class Delivery:
    """Sends admitted requests to targets, retries where allowed, forwards the answers.

    :param admission: the `Admission`, which checks requests again before each send.
    :param selector: the `TargetSelector`.
    :param budget: the `RetryBudget` of this entry.
    :param position: a function that returns this entry's `EntryPosition`.
    :param request_log: the `RequestLog` that counts sends.
    :param guard: the `CrashGuard`.
    :param places: the `PlaceFinder`.
    :param held_answers: the `MemoryBudget` of answers.
    :param process_watches: the `ProcessWatches`.
    """

    def __init__(
        self,
        admission,
        selector,
        budget,
        position,
        request_log,
        guard,
        places,
        held_answers,
        process_watches,
    ):
        self._admission = admission
        self._selector = selector
        self._statements = TargetStatements(selector)
        self._retry_hint = RetryHint(selector)
        self._budget = budget
        self._position = position
        self._request_log = request_log
        self._guard = guard
        self._places = places
        self._held_answers = held_answers
        self._process_watches = process_watches

    def deliver(self, job, writer):
        """Send `job` until it is answered through `writer`.

        :raises BriarbeamError: if it can't be answered, or not completely.
        """
        stream = CallerStream(writer) if job.streams else None
        try:
            self._deliver(job, writer, stream)
        except CallerDisconnectedError:
            raise
        except BriarbeamError:
            if stream is None or not stream.may_end:
                raise
            stream.end()

    def _deliver(self, job, writer, stream):
        with OpenAttempts(job) as attempts:
            while True:
                if not attempts:
                    target = job.next_target or self._pick(job, job.tried)
                    job.next_target = None
                    if target is None:
                        raise self._no_target_error(job)
                    self._start(job, target, attempts, stream)
                elif self._advance(job, attempts, writer, stream):
                    return
                left_s = job.deadline_s - time.monotonic()
                if not attempts and left_s <= SEND_MARGIN_S:
                    raise self._timeout_error(job)

    def _start(self, job, target, attempts, stream):
        """Send `job` to `target`, in addition to the `OpenAttempts`."""
        started_s = time.monotonic()
        outcome = "sent"
        try:
            attempts.append(self._send(job, target, stream))
        except (NotRunError, DeadlineError) as error:
            outcome = error.code
            self._handle_unsent(job, target, error, attempts)
        except UpstreamError as error:
            outcome = error.code
            job.tried.append(target.id)
            self._handle_failure(job, target, error, attempts, stream)
        finally:
            if outcome != "sent":
                job.record_attempt(target, outcome, started_s)

    def _handle_unsent(self, job, target, error, attempts):
        """Handle an error before `job` was sent to `target`.

        :raises BriarbeamError: if no attempt is open and none may follow.
        """
        job.not_sent_cause = error.code
        if isinstance(error, ConnectFailedError):
            target.record_failure(time.monotonic())
            job.unreachable.append(target.id)
        if attempts:
            return
        if isinstance(error, TargetIneligibleError):
            job.unsent_attempts += 1
            if job.unsent_attempts >= UNSENT_ATTEMPTS_MAX:
                raise self._no_target_error(job) from None
            return
        if isinstance(error, DeadlineError) or not job.may_have_run:
            raise error
        # The error is about the retry, which was not sent. The request may have run at
        # an earlier target.
        raise UpstreamError(
            f"no retry after attempts at {job.tried}: {error}"
        ) from error

    def _handle_failure(self, job, target, error, attempts, stream):
        """Handle the `UpstreamError` of an attempt that has ended.

        :raises UpstreamError: if no attempt is open and none may follow.
        """
        target.record_failure(time.monotonic())
        if not attempts:
            self._check_repeatable(job, stream, error)

    def _advance(self, job, attempts, writer, stream):
        """Wait for the next part of an answer; return whether the answer is complete.

        :raises BriarbeamError: if no attempt can answer the request any more.
        """
        until_s = min(job.deadline_s, attempts.latest.switch_at_s)
        if stream is not None:
            until_s = min(until_s, stream.rest_by_s)
        for attempt in attempts:
            if stream is not None and not attempt.has_events:
                attempt.begin_by_s = self._begin_by_s(job, attempt.target)
                poll_at_s = time.monotonic() + NAMING_POLL_S
                until_s = min(until_s, attempt.begin_by_s, poll_at_s)
        for attempt in attempts.wait(until_s):
            if attempt not in attempts:
                continue
            try:
                with self._guard.watch(attempt.target, attempt.call):
                    attempt.call.receive(until_s)
                    if self._process(job, attempt, attempts, writer, stream):
                        return True
            except UpstreamSilentError:
                pass
            except _RefusedError:
                job.refusals += 1
                attempts.drop(attempt, "refused")
            except UpstreamError as error:
                if stream is not None:
                    stream.record_break(attempt.splitter.remainder)
                attempts.drop(attempt, error.code)
                self._handle_failure(job, attempt.target, error, attempts, stream)
        if attempts and time.monotonic() >= until_s:
            self._handle_silence(job, attempts, stream)
        return False

    def _handle_silence(self, job, attempts, stream):
        """Handle that the earliest time limit passed without progress.

        A silent target is not given up before another one has begun to answer: it may
        go on, and the other one may refuse the request.
        """
        now_s = time.monotonic()
        if now_s >= job.deadline_s:
            raise DeadlineError(
                f"{attempts.target_ids()} sent nothing more before the deadline"
            )
        if stream is not None and now_s >= stream.rest_by_s:
            for attempt in attempts:
                stream.record_break(attempt.splitter.remainder)
            raise UpstreamSilentError(f"{attempts.target_ids()} sent no rest in time")
        for attempt in attempts:
            if now_s >= attempt.begin_by_s:
                self._give_up(job, attempt, attempts, stream)
        if attempts and now_s >= attempts.latest.switch_at_s:
            self._try_another(job, attempts, stream, now_s)

    def _try_another(self, job, attempts, stream, now_s):
        """Send `job` to another target as well, as the latest one is silent."""
        latest = attempts.latest
        if not self._may_switch(job, attempts, stream):
            latest.switch_at_s = math.inf
            return
        latest.switch_at_s = now_s + SWITCH_RETRY_INTERVAL_S
        sent_to = (*job.tried, *attempts.target_ids())
        target = self._pick(job, sent_to, job.unreachable)
        if target is not None:
            self._start(job, target, attempts, stream)
        elif (
            len(attempts) == 1
            and job.not_sent_cause == "no_target"
            and not (stream and stream.begun)
            and not latest.target.has_fresh_report(now_s)
        ):
            # The delay is not known to come from a queue, and the caller may retry.
            self._give_up(job, latest, attempts, stream)

    def _give_up(self, job, attempt, attempts, stream):
        """Drop an attempt that has been silent for too long."""
        error = UpstreamSilentError(f"{attempt.target.id} sent nothing in time")
        attempts.drop(attempt, error.code)
        self._handle_failure(job, attempt.target, error, attempts, stream)

    def _may_switch(self, job, attempts, stream):
        """Return whether `job` may be sent to a target beside the open attempts."""
        return (
            job.route.repeatable
            and self._guard.may_send_beside(job)
            and len(job.tried) + len(attempts) < job.route.max_attempts
            and not (stream is not None and stream.begun and not stream.can_resume)
        )

    def _pick(self, job, tried, excluded=()):
        """Return the next target, or None if there is none or no retry is allowed.

        :param tried: ids of the targets that the request was sent to.
        :param excluded: ids of further targets that are not chosen.
        """
        if len(tried) >= max(1, job.route.max_attempts):
            job.not_sent_cause = "max_attempts"
            return None
        try:
            self._admission.revalidate(job)
        except NotRunError as error:
            job.not_sent_cause = error.code
            if not tried:
                raise
            # The error is about the retry only; the request may have run before.
            return None
        target = self._places.find(job, (*tried, *excluded))
        if target is None:
            job.not_sent_cause = "no_target"
            return None
        service, now_s = job.requirements.service.name, time.monotonic()
        count = self._position().count
        if tried and not self._budget.try_retry(service, count, now_s):
            job.not_sent_cause = "budget"
            return None
        return target

    def _no_target_error(self, job):
        if job.may_have_run:
            return UpstreamError(f"no retry possible after attempts at {job.tried}")
        if job.tried:
            return NotStartedError(
                f"targets refused to run the request: {job.tried}",
                retry_after_s=self._retry_hint.opening_after_s(job.requirements),
            )
        return NoCapacityError(
            f"no target of service {job.requirements.service.name} "
            "can take the request",
            retry_after_s=self._retry_hint.retry_after_s(job),
        )

    def _timeout_error(self, job):
        if job.may_have_run:
            return DeadlineError("time limit exceeded after the request was sent")
        return NotStartedError("time limit exceeded before any target ran the request")

    def _check_repeatable(self, job, stream, error):
        """Raise `error` if `job` must not be sent again after it may have run."""
        self._guard.check_repeat(job, error)
        # A `MisleadingStatusError` is raised only if no other target can be tried.
        if not job.route.repeatable or isinstance(error, MisleadingStatusError):
            raise error
        if stream is not None and stream.begun and not stream.can_resume:
            raise error

    def _send(self, job, target, stream):
        """Return an `Attempt` at `target`.

        :raises NotRunError: if nothing was sent.
        :raises DeadlineError: if nothing was sent for lack of time, but the request was
            sent to another target before.
        :raises UpstreamError: if the connection breaks.
        """
        call = UpstreamCall(target.instance.address, job.request.method == b"HEAD")
        try:
            call.connect()
            # All checks are repeated right before the send, because the process may
            # have been suspended.
            job.caller.check()
            self._recheck(job, target)
            call.check_unanswered()
            left_s = job.deadline_s - time.monotonic()
            if left_s <= SEND_MARGIN_S:
                raise self._timeout_error(job)
            head = wire.encode_request(
                job.meta, job.request.method, job.request.target, job.request.body,
                target.id, left_s, job.team.name if job.team else None, job.priority,
                stream.last_id if stream and stream.last_id else job.meta.last_event_id,
            )  # fmt: skip
            self._record_send(job, target)
            target.begin_request()
            self._guard.open(job, call)
            with self._guard.watch(target, call):
                call.send(head, job.request.body)
        except BaseException:
            self._guard.close(call)
            if call.sent:
                target.end_request()
            call.close()
            raise
        return Attempt(
            target,
            call,
            self._switch_time_s(target),
            self._guard.close,
            self._held_answers,
        )

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

    def _process(self, job, attempt, attempts, writer, stream):
        """Forward what `attempt` received; return whether the answer is complete.

        :raises UpstreamError: if the answer can't be used.
        """
        if attempt.head is None:
            if attempt.call.head is None:
                return False
            self._accept(job, attempt, attempts, stream)
        head = attempt.head
        health_path = job.requirements.service.health_path
        self._process_watches.observe(attempt, health_path)
        has_events = head.status == 200 and head.is_event_stream()
        if stream is not None and has_events and job.request.method != b"HEAD":
            return self._forward_events(job, attempt, attempts, stream)
        if stream is not None and stream.begun:
            raise UpstreamError(f"resumed stream was answered with {head.status}")
        if head.status == 200:
            self._guard.record_progress(attempt.call)
        return self._forward_whole(job, attempt, attempts, writer)

    def _accept(self, job, attempt, attempts, stream):
        """Check the head of an answer.

        If another attempt is possible, a failure is not accepted.

        :raises UpstreamError: if the answer can't be used.
        """
        target, head = attempt.target, attempt.call.head
        reply = wire.decode_reply(head.status, head.headers)
        check_attribution(job, target, attempt.call, reply)
        self._statements.record(target, reply, attempt.started_s)
        if reply.not_run:
            if reply.status == 421:
                target.mark_replaced(time.monotonic())
            raise _RefusedError(reply.status)
        if head.status in _FAILED_STATUSES and self._has_alternative(
            job, attempts, stream
        ):
            raise UpstreamError(f"{target.id} answered with status {head.status}")
        if reply.misleading:
            raise MisleadingStatusError(
                f"{target.id} answered {head.status} without stating that the request "
                "did not run"
            )
        attempt.head = head

    def _has_alternative(self, job, attempts, stream):
        """Return whether another attempt is open, or choose a target for the next."""
        if len(attempts) > 1:
            return True
        if not self._may_switch(job, attempts, stream):
            return False
        job.next_target = self._pick(job, (*job.tried, *attempts.target_ids()))
        return job.next_target is not None

    def _switch_time_s(self, target):
        """Return the monotonic time at which a silent target may be replaced."""
        is_full = self._selector.is_full(target)
        return time.monotonic() + (
            FULL_ENGINE_SILENCE_S if is_full else FIRST_PART_SILENCE_S
        )

    def _begin_by_s(self, job, target):
        """Return the monotonic time by which the first event must have arrived.

        Later, the request must not begin on the weights of the target any more.
        """
        left_s = self._admission.superseded_left_s(job, target)
        if left_s is None:
            return math.inf
        return time.monotonic() + left_s - SUPERSEDED_MARGIN_S

    def _forward_whole(self, job, attempt, attempts, writer):
        attempt.switch_at_s = attempt.begin_by_s = math.inf
        body = attempt.read_body()
        if body is None:
            return False
        self._process_watches.check_end(attempt, job.deadline_s)
        attempts.keep_only(attempt)
        head = attempt.head
        headers = wire.returned_headers(head.headers)
        # A length that the target did not state is not known to be right.
        marks_end = head.framing is not Framing.CONNECTION
        self._guard.record_survival(attempt.call)
        writer.write(head.status, headers, body, marks_end)
        attempts.complete(attempt)
        return True

    def _forward_events(self, job, attempt, attempts, stream):
        events = attempt.read_events()
        # Only a complete event counts as progress: parts are not forwarded.
        if events:
            attempt.has_events = True
            job.record_first_event()
            self._guard.record_progress(attempt.call)
            attempts.keep_only(attempt)
            stream.forward(attempt.head, events, attempt.splitter.last_id)
            attempt.switch_at_s = time.monotonic() + STREAM_SILENCE_S
            attempt.begin_by_s = math.inf
        if not attempt.call.is_complete:
            return False
        attempt.check_stream_end()
        self._process_watches.check_end(attempt, job.deadline_s)
        attempts.keep_only(attempt)
        if self._may_ask_for_rest(job, attempt, stream):
            by_s = time.monotonic() + REST_WAIT_S
            stream.await_rest(attempt.splitter.remainder, by_s)
            attempt.target.record_success()
            attempts.drop(attempt, "end_unmarked")
            return False
        self._guard.record_survival(attempt.call)
        stream.finish(attempt.head, attempt.splitter.remainder)
        attempts.complete(attempt)
        return True

    def _may_ask_for_rest(self, job, attempt, stream):
        """Return whether to ask another target if there is more of a stream.

        One that has no more says so at once, without processing the prompt.
        """
        return (
            attempt.head.framing is Framing.CONNECTION
            and job.route.repeatable
            and stream.can_resume
            and self._guard.may_send_beside(job)
        )


class _RefusedError(Exception):
    """Raised when a target states that it did not run the request."""
