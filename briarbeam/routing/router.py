"""Sends jobs to targets, and retries where that is safe."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field

from prometheus_client import Counter

from ..kernel.errors import (
    BriarbeamError,
    CallerGoneError,
    ChangingVersionError,
    ConflictError,
    ConnectError,
    DeadlineExpiredError,
    DeadlinePassedError,
    DrainingError,
    ExchangeError,
    InProgressError,
    InvalidRequestError,
    NetworkError,
    NoFreeSlotError,
    NotFoundError,
    NotRunError,
    OutcomeUnknownError,
    OverloadedError,
    Ran,
    UnauthorizedError,
    UnavailableError,
    UnconfirmedError,
    WithdrawnError,
)
from ..kernel.network import HttpRequest, fetch
from ..kernel.plugin import Plugin, plugins
from ..wire.headers import LOAD_HEADER, VERSION_HEADER
from .budget import RetryBudgets
from .exchange import HeadWait, check_echo, read_error
from .selection import policies
from .shares import Shares
from .targets import Targets

READINESS_PROBE_TIMEOUT_S = 1.0
LIVENESS_CHECK_TIMEOUT_S = 0.5
CONNECTION_PROBE_PATH = "/healthz"
FINAL_ERRORS = (
    CallerGoneError,
    ConflictError,
    DeadlineExpiredError,
    DeadlinePassedError,
    InProgressError,
    InvalidRequestError,
    NotFoundError,
    UnauthorizedError,
    WithdrawnError,
)
# Refusals of a target that accepts no requests at all. The job is sent to another
# target. As `BalancedPolicy` chooses each target only once, these refusals count
# neither as attempts nor against the retry budget.
CLOSED_ERRORS = (ChangingVersionError, DrainingError, UnconfirmedError)

_ATTEMPTS = Counter("briarbeam_attempts", "Attempts at targets", ["result"])
_REFUSALS = Counter("briarbeam_entry_refusals", "Jobs given up", ["code"])
_NO_BUDGET = Counter("briarbeam_retries_denied", "Retries without budget")
_UNREACHED_WAITS = Counter(
    "briarbeam_unreached_waits", "Waits for a target that was not reached"
)


def _never_disconnected():
    return False


@dataclass
class Job:
    """A caller's request to be sent to a target.

    :param deadline_unix_s: wall-clock time after which the caller no longer waits.
    :param idempotent: whether it may run more than once.
    :param path: path of the gate's HTTP API to which the job is sent.
    :param envelope: fields of the request body that stay the same for all attempts.
    :param model: the requested model or adapter, or None for a call to a service.
    :param base_model: the base model if `model` is an adapter. Targets list only base
        models.
    :param service: the requested service, or None for a model.
    :param affinity: prefix of the prompt by which targets are preferred, or "".
    :param version: the version that must answer, or "" for any.
    :param caller_disconnected: function that returns whether the caller has
        disconnected; called for idempotent jobs only.
    :param may_wait: whether it may wait in a target's queue for a slot; otherwise the
        target refuses at once, and another one is asked.
    :param no_slot_refusals: how often a target that was expected to have a free slot
        had none.
    :param tried: names of the targets that it was sent to, in order; `BalancedPolicy`
        does not choose them again.
    :param unreached: names of the targets in `tried` that received no byte of it.
    :param waited_for_unreached: whether it waited for an unreached target. It may then
        be sent to an ejected target without a probe.
    :param may_have_run: whether an attempt may have reached a backend.
    """

    request_id: str
    team: str
    deadline_unix_s: float
    idempotent: bool
    path: str
    envelope: dict
    model: str | None = None
    base_model: str | None = None
    service: str | None = None
    affinity: str = ""
    traceparent: str = ""
    priority: int = 0
    weight: float = 1.0
    version: str = ""
    caller_disconnected: Callable[[], bool] = _never_disconnected
    may_wait: bool = True
    no_slot_refusals: int = 0
    tried: list = field(default_factory=list)
    unreached: list = field(default_factory=list)
    waited_for_unreached: bool = False
    may_have_run: bool = False


@plugins.register("routing")
class RoutingPlugin(Plugin):
    """Chooses targets for jobs, sends them, and retries."""

    roles = ("entry",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self.targets = Targets(kernel.clock)
        self.shares = Shares(kernel.clock)
        self.budgets = RetryBudgets(self.settings.entry.retry_budget_ratio)
        self._configuration = kernel.find("configuration")
        self._known_members = None
        self.policy = policies.get(self.settings.entry.routing_policy)(self)

    def update_members(self):
        """Discard the states of targets that are no longer members.

        :returns: a value that changes whenever the order of targets may change.
        """
        members = self._configuration.members
        if members is not self._known_members:
            self._known_members = members
            self.targets.retain(members)
        return id(members), self._configuration.configuration.revision

    def members_serving(self, job):
        """Yield the members in service that serve the model or service of `job`."""
        configuration = self._configuration.configuration
        for member in self._configuration.members.values():
            serves = (
                member.service == job.service
                if job.service
                else (job.base_model or job.model) in member.models
            )
            if (
                member.role == "target"
                and serves
                and not member.leaving
                and configuration.in_service(member.failure_domain)
            ):
                yield member

    def send(self, job):
        """Send `job` and return the target that accepted it, with the target's reply.

        Another target is tried only if the previous one did not run the job, or if the
        job is idempotent. The number of attempts is limited, and the policy must allow
        each retry. A refusal by a closed target or for lack of a slot counts neither as
        an attempt nor as a retry.

        :raises BriarbeamError: the last failure; of type "not run" only if no attempt
            may have run.
        """
        self.budgets.earn(job.team)
        attempts, last_error = 0, None
        while True:
            try:
                member = self._choose(job, last_error)
                attempts += 1
                return member, self._attempt(member, job)
            except BriarbeamError as error:
                if self._count_no_slot_refusal(job, error):
                    attempts -= 1
                    continue
                if self._wait_for_unreached(job, error):
                    continue
                last_error = error
                job.may_have_run |= error.ran is not Ran.NO
                if isinstance(error, CLOSED_ERRORS):
                    attempts -= 1
                elif not self._may_retry(job, error, attempts):
                    raise self._final_error(job, error) from error

    def _count_no_slot_refusal(self, job, error):
        """Count a refusal for lack of a slot; return whether to choose again.

        As nothing waited or ran, this is no retry, and the same target may be chosen
        again. The policy limits the number of these refusals by letting the job wait in
        a queue after the last one.
        """
        if not isinstance(error, NoFreeSlotError) or job.may_wait:
            return False
        job.no_slot_refusals += 1
        job.tried.pop()
        return True

    def _wait_for_unreached(self, job, error):
        """Wait for a target that `job` did not reach; return whether to choose again.

        On a busy machine, a target may answer the connection probe too late. Without
        this wait, the job would be refused if no other target is left, although nothing
        of it was sent and its deadline has not passed.
        """
        no_target_left = isinstance(error, _NoTargetLeftError)
        if job.idempotent or not no_target_left or not job.unreached:
            return False
        wait_s = self.targets.retry_after_s(job.unreached)
        if self.clock.now().timestamp() + wait_s >= job.deadline_unix_s:
            return False
        _UNREACHED_WAITS.inc()
        self.clock.sleep(wait_s)
        job.tried = [name for name in job.tried if name not in job.unreached]
        job.unreached = []
        job.waited_for_unreached = True
        return True

    def finish(self, member, response, took_s=None):
        """Record the end of a request to a target and close the reply.

        :param took_s: seconds that the answer took, or None if it was incomplete.
        """
        self.targets.end_request(member.name)
        if took_s is not None:
            self.targets.record_service_time(member.name, took_s)
        response.close()

    def probe_if_due(self, members):
        """Start a probe of each of `members` whose next probe is due."""
        for member in members:
            if self.targets.start_probe_if_due(member.name):
                self.kernel.tasks.spawn(self._probe, member)

    def _probe(self, member):
        request = HttpRequest(
            "GET", "/readyz", timeout_s=READINESS_PROBE_TIMEOUT_S, fresh=True
        )
        ready = None
        try:
            status, _, _ = fetch(self.kernel.network, member.http, request)
            ready = status == 200
        except NetworkError:
            _ATTEMPTS.labels("probe_failed").inc()
        finally:
            self.targets.record_probe(member.name, ready)

    def _is_alive(self, member):
        """Return whether a target answers a liveness check."""
        request = HttpRequest(
            "GET", "/healthz", timeout_s=LIVENESS_CHECK_TIMEOUT_S, fresh=True
        )
        try:
            fetch(self.kernel.network, member.http, request)
        except NetworkError:
            return False
        self.targets.record_activity(member.name)
        return True

    def _choose(self, job, last_error):
        """Return the target to which the job is sent next.

        :param last_error: the error of the previous attempt, or None.
        :raises DeadlineExpiredError: if the deadline has passed.
        :raises _NoTargetLeftError: if no target can be chosen.
        """
        if job.deadline_unix_s <= self.clock.now().timestamp():
            raise DeadlineExpiredError(
                "the deadline passed before the request was sent"
            )
        try:
            return self.policy.choose(job)
        except NotRunError as error:
            raise _NoTargetLeftError(last_error or error) from error

    def _attempt(self, member, job):
        job.tried.append(member.name)
        request = self._build_request(job, member)
        self.targets.begin_request(member.name)
        try:
            response = self._send(member, job, request)
            check_echo(response, job.request_id)
            return self._process_reply(member, job, response)
        except ConnectError as error:
            self.targets.end_request(member.name)
            self.targets.record_failure(member.name)
            job.unreached.append(member.name)
            _ATTEMPTS.labels("connect").inc()
            raise UnavailableError(str(error)) from error
        except ExchangeError as error:
            self.targets.end_request(member.name)
            self.targets.record_failure(member.name)
            _ATTEMPTS.labels("exchange").inc()
            raise OutcomeUnknownError(str(error)) from error
        except BaseException:
            self.targets.end_request(member.name)
            raise

    def _build_request(self, job, member):
        remaining_s = job.deadline_unix_s - self.clock.now().timestamp()
        body = {
            **job.envelope,
            "request_id": job.request_id,
            "team": job.team,
            "priority": job.priority,
            "weight": job.weight,
            "deadline_unix_s": job.deadline_unix_s,
            "may_wait": job.may_wait,
        }
        if job.version:
            body["version"] = job.version
        headers = {"content-type": "application/json"}
        if job.traceparent:
            headers["traceparent"] = job.traceparent
        return HttpRequest(
            "POST",
            job.path,
            json.dumps(body).encode(),
            headers,
            timeout_s=max(0.001, remaining_s),
            fresh=not job.idempotent,
            probe_path=None if job.idempotent else CONNECTION_PROBE_PATH,
            before_send=lambda: self._check_before_send(job, member),
            read_timeout_s=min(self.settings.entry.stream_silence_s, remaining_s)
            if job.idempotent and self.policy.enforces_silence_timeout
            else None,
        )

    def _check_before_send(self, job, member):
        """Check again what may have changed while the connection was established.

        :raises NotRunError: if the job must no longer be sent to `member`.
        """
        if job.deadline_unix_s <= self.clock.now().timestamp():
            raise DeadlineExpiredError(
                "the deadline passed before the request was sent"
            )
        if all(item.name != member.name for item in self.members_serving(job)):
            raise DrainingError(f"{member.name} is no longer in service")

    def _send(self, member, job, request):
        def send():
            return self.kernel.network.send(member.http, request)

        if not (job.idempotent and self.policy.enforces_silence_timeout):
            return send()
        state = self.targets.state(member.name)
        wait = HeadWait(
            send,
            lambda: state.activity_count,
            lambda: self._is_alive(member),
            job.caller_disconnected,
        )
        return wait.run(self.settings.entry.head_silence_s)

    def _process_reply(self, member, job, response):
        """Record what a reply reports; return the reply, or raise the error in it."""
        name = member.name
        self.targets.record_activity(name)
        self.targets.record_success(name)
        if LOAD_HEADER in response.headers:
            self.targets.record_load(name, response.headers[LOAD_HEADER])
        if response.status != 200:
            error = read_error(response)
            _ATTEMPTS.labels(error.code).inc()
            full = isinstance(error, OverloadedError)
            if full and not isinstance(error, NoFreeSlotError):
                self.targets.record_queue_full(name)
            raise error
        version = response.headers.get(VERSION_HEADER)
        if version and job.model:
            self.targets.state(name).versions[job.model] = version
        _ATTEMPTS.labels("accepted").inc()
        return response

    def _may_retry(self, job, error, attempts):
        if isinstance(error, (_NoTargetLeftError, *FINAL_ERRORS)):
            return False
        if error.ran is not Ran.NO and not job.idempotent:
            return False
        if attempts >= self.settings.entry.attempts_max:
            return False
        if not self.policy.spend_retry(job):
            _NO_BUDGET.inc()
            return False
        return True

    def _final_error(self, job, error):
        """Return the error for the caller, which must be true of all attempts."""
        if isinstance(error, _NoTargetLeftError):
            error = error.cause
        _REFUSALS.labels(error.code).inc()
        if error.ran is not Ran.NO:
            return error
        retry_after_s = error.retry_after_s
        if retry_after_s is None and not isinstance(error, InvalidRequestError):
            names = [member.name for member in self.members_serving(job)]
            retry_after_s = self.targets.retry_after_s(names)
        if job.may_have_run:
            return OutcomeUnknownError(
                f"an earlier attempt may have run; last error: {error}",
                retry_after_s=retry_after_s,
            )
        error.retry_after_s = retry_after_s
        return error


class _NoTargetLeftError(NotRunError):
    """No target is left to try; `cause` is the error for the caller."""

    def __init__(self, cause):
        super().__init__(str(cause))
        self.cause = cause
        self.ran = cause.ran
