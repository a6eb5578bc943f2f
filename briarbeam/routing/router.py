"""Choosing a target for a request, and trying again where that is safe."""

import hashlib
import json
import random
from dataclasses import dataclass, field

from prometheus_client import Counter

from ..kernel.errors import (
    BackendError,
    BriarbeamError,
    ConnectError,
    ExchangeError,
    NotRunError,
    OutcomeUnknownError,
    Ran,
    UnavailableError,
)
from ..kernel.network import HttpRequest
from ..kernel.plugin import Plugin, plugins
from .budget import RetryBudgets
from .targets import Targets

LOAD_HEADER = "x-briarbeam-load"
AFFINITY_CHARACTERS = 64
AFFINITY_PRESSURE_MAX = 0.8

_ATTEMPTS = Counter("briarbeam_attempts", "Attempts at targets", ["result"])


@dataclass
class Job:
    """One caller's request on its way to a target.

    :param deadline_unix_s: wall-clock time after which nobody waits.
    :param idempotent: whether it may run more than once.
    """

    request_id: str
    team: str
    deadline_unix_s: float
    idempotent: bool
    path: str
    envelope: dict
    model: str | None = None
    service: str | None = None
    affinity: str = ""
    traceparent: str = ""
    tried: list = field(default_factory=list)


@plugins.register("routing")
class RoutingPlugin(Plugin):
    """Sends jobs to targets."""

    roles = ("entry",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self.targets = Targets(kernel.clock)
        self._configuration = kernel.find("configuration")
        self._budgets = RetryBudgets(self.settings.entry.retry_budget_ratio)

    def send(self, job):
        """Return the target's name and its reply, whose head says that it runs.

        Another target is tried only if the last one did not run the job, or if the
        job is idempotent, and while the team's retry budget lasts.

        :raises BriarbeamError: the last failure, typed.
        """
        self._budgets.earn(job.team)
        while True:
            member = self.choose(job)
            job.tried.append(member.name)
            try:
                return member, self._try(member, job)
            except BriarbeamError as error:
                _ATTEMPTS.labels(error.code).inc()
                if not self._may_retry(job, error):
                    raise

    def choose(self, job):
        """Return the member to try next.

        :raises UnavailableError: if there is none in service.
        """
        usable = [
            member
            for member in self._serving(job)
            if member.name not in job.tried and self.targets.usable(member.name)
        ]
        if not usable:
            raise UnavailableError(
                "no target in service can take it", retry_after_s=1.0
            )
        own = self.settings.instance.failure_domain
        near = [
            member
            for member in usable
            if member.failure_domain == own and self.targets.pressure(member.name) < 1
        ]
        pool = near or usable
        favourite = self._favourite(job, pool)
        if favourite is not None:
            return favourite
        pair = random.sample(pool, min(2, len(pool)))
        return min(pair, key=lambda member: self.targets.pressure(member.name))

    def _serving(self, job):
        configuration = self._configuration.configuration
        for member in self._configuration.members.values():
            serves = (
                member.service == job.service
                if job.service
                else job.model in member.models
            )
            if (
                member.role == "target"
                and serves
                and not member.leaving
                and configuration.in_service(member.failure_domain)
            ):
                yield member

    def _favourite(self, job, pool):
        if not job.affinity:
            return None

        def weight(member):
            return hashlib.blake2b(
                f"{job.affinity}/{member.name}".encode(), digest_size=8
            ).digest()

        best = min(pool, key=weight)
        calm = self.targets.pressure(best.name) < AFFINITY_PRESSURE_MAX
        return best if calm else None

    def _try(self, member, job):
        remaining_s = job.deadline_unix_s - self.clock.now().timestamp()
        body = {
            **job.envelope,
            "request_id": job.request_id,
            "team": job.team,
            "deadline_unix_s": job.deadline_unix_s,
        }
        request = HttpRequest(
            "POST",
            job.path,
            json.dumps(body).encode(),
            {"content-type": "application/json", "traceparent": job.traceparent},
            timeout_s=max(0.001, remaining_s),
            fresh=not job.idempotent,
        )
        state = self.targets.state(member.name)
        state.sent += 1
        try:
            response = self.kernel.network.send(member.http, request)
        except ConnectError as error:
            state.sent -= 1
            self.targets.fail(member.name)
            raise UnavailableError(str(error)) from error
        except ExchangeError as error:
            state.sent -= 1
            self.targets.fail(member.name)
            raise OutcomeUnknownError(str(error)) from error
        except BaseException:
            state.sent -= 1
            raise
        if LOAD_HEADER in response.headers:
            self.targets.report(member.name, response.headers[LOAD_HEADER])
        if response.status != 200:
            state.sent -= 1
            raise _read_error(response)
        _ATTEMPTS.labels("accepted").inc()
        return response

    def done(self, member, response):
        """Give up the connection to a target after its reply."""
        self.targets.state(member.name).sent -= 1
        response.close()

    def _may_retry(self, job, error):
        safe = error.ran is Ran.NO or job.idempotent
        known = isinstance(error, NotRunError | OutcomeUnknownError | BackendError)
        if not safe or not known or error.status == 400:
            return False
        if len(job.tried) >= self.settings.entry.attempts_max:
            return False
        return self._budgets.spend(job.team)


def _read_error(response):
    """Return the typed error in a target's refusal, and close the connection."""
    try:
        raw = json.loads(response.read())["error"]
        retry_after_s = raw.get("retry_after_s")
        found = _ERRORS.get(raw["code"], OutcomeUnknownError)
        return found(raw["message"], retry_after_s=retry_after_s)
    except (ValueError, KeyError, ExchangeError) as error:
        return OutcomeUnknownError(f"a target's refusal was not readable: {error!r}")
    finally:
        response.close()


def _all_errors(base):
    yield base
    for subclass in base.__subclasses__():
        yield from _all_errors(subclass)


_ERRORS = {error.code: error for error in _all_errors(BriarbeamError)}
