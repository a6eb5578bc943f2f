"""Decides whether a request may be sent, and what its target has to meet."""

import dataclasses
import random
import time

from ..platform import headers as wire
from .errors import (
    NoCapacityError,
    NoDesiredStateError,
    RouteNotFoundError,
    UnknownKeyError,
)
from .job import Job
from .target_selector import Requirements

# Retry-After of a refusal. Callers wait for at most a third of their time limit.
RETRY_AFTER_S = 0.6
# How long requests are still admitted under a desired state once a newer one is known.
# Neighbours supply the newer one in a fraction of this time.
SUPERSEDED_STATE_MAX_S = 0.5
# How long a request waits for the first desired state of this process. Its list takes 0.1
# to 0.2 s after the start, and a caller that is refused returns later than that.
FIRST_STATE_WAIT_S = 0.3
# Part of a caller's time limit that is reserved for sending it the answer.
ANSWER_MARGIN_S = 0.05
# Retry-After while this entry is fetching a newer desired state.
SUPERSEDED_RETRY_AFTER_S = 0.3


def find_team_name(state, headers):
    """Return the name of the team whose key is in `headers`, or None.

    :param state: the `DesiredState`, or None.
    """
    team = state.teams_by_key.get(wire.find_key(headers)) if state is not None else None
    return team.name if team is not None else None


class Admission:
    """Decides whether a request may be sent, and what its target has to meet.

    It decides when a request arrives and again before each send, based on the desired
    state in force at that time.

    :param in_force: the `StateInForce`.
    :param spread: the `StateSpread`, which knows of newer desired states.
    :param confirmed_age_s: a function that returns how long ago the desired state was
        last confirmed, in seconds, or None.
    :param state_age_max_for_keys_s: the age of the desired state in seconds above which
        no request with a key is sent.
    :param state_age_max_for_unknown_s: the age of the desired state in seconds above
        which no route or key is reported as unknown, because a newer state may declare
        it.
    :param versions: the `NamedVersions`.
    :param versions_age_s: a function that returns how long ago the named versions were
        last confirmed, in seconds, or None.
    :param version_within_s: for how many seconds after a version was named requests may
        still begin on older weights.
    :param send_margin_s: the last seconds of that time, in which no request is sent to
        older weights any more.
    """

    def __init__(
        self,
        in_force,
        spread,
        confirmed_age_s,
        state_age_max_for_keys_s,
        state_age_max_for_unknown_s,
        versions,
        versions_age_s,
        version_within_s,
        send_margin_s,
    ):
        self._in_force = in_force
        self._spread = spread
        self._confirmed_age_s = confirmed_age_s
        self._state_age_max_for_keys_s = state_age_max_for_keys_s
        self._state_age_max_for_unknown_s = state_age_max_for_unknown_s
        self._versions = versions
        self._versions_age_s = versions_age_s
        self._version_within_s = version_within_s
        self._send_margin_s = send_margin_s

    def state_age_s(self):
        """Return how long ago the desired state was last confirmed, or None."""
        return self._confirmed_age_s()

    def superseded_left_s(self, job, target):
        """Return for how many seconds requests may still begin on the target's weights.

        :returns: None if the weights are the newest, or if the request names no model.
        """
        model = job.requirements.model
        if model is None:
            return None
        version = target.version_of(model)
        return self._versions.superseded_left_s(model, version, self._version_within_s)

    def await_first_state(self, read_at_s):
        """Wait for the first desired state of a process that has just started.

        :param read_at_s: monotonic time at which the request was read.
        """
        self._in_force.await_first(read_at_s + FIRST_STATE_WAIT_S - time.monotonic())

    def admit(self, request, meta):
        """Return the `Job` for `request`.

        :param meta: the `RequestMeta` of the request.
        :raises NotRunError: if it may not be sent.
        """
        state = self._current_state()
        route, team, requirements, priority = self._resolve(state, request, meta)
        left_s = route.timeout_s
        if meta.time_left_s is not None:
            left_s = min(left_s, meta.time_left_s - ANSWER_MARGIN_S)
        return Job(
            request, meta, route, team, requirements, priority,
            request.read_at_s, request.read_at_s + left_s, state.version,
        )  # fmt: skip

    def revalidate(self, job):
        """Update `job` to the desired state and the named versions before it is sent.

        :raises NotRunError: if it may no longer be sent.
        """
        state = self._current_state()
        if state.version == job.state_version:
            if job.team is not None:
                self._check_confirmed(self._state_age_max_for_keys_s)
            required = self._required_version(job.requirements.service, job.meta)
            job.requirements = dataclasses.replace(
                job.requirements, required_version=required
            )
            return
        route, team, requirements, priority = self._resolve(
            state, job.request, job.meta, job.requirements.service.name
        )
        if job.team is not None and (team is None or team.name != job.team.name):
            raise UnknownKeyError("request no longer belongs to the same team")
        if job.may_have_run and not route.repeatable:
            raise NoCapacityError(f"route {route.name} no longer allows a second send")
        if (
            job.sends
            and job.streams
            and requirements.service.name != job.requirements.service.name
        ):
            # A stream can't continue with the events of another service.
            raise NoCapacityError(
                f"route {route.name} moved to service {requirements.service.name}"
            )
        job.route, job.team, job.requirements, job.priority = (
            route,
            team,
            requirements,
            priority,
        )
        job.state_version = state.version

    def _current_state(self):
        """Return the desired state to apply.

        :raises NoDesiredStateError: if there is none, or it is known to be superseded.
        """
        state = self._in_force.state
        if state is None:
            raise NoDesiredStateError("no desired state has been read yet")
        superseded_s = self._spread.superseded_for_s()
        if superseded_s is not None and superseded_s > SUPERSEDED_STATE_MAX_S:
            raise NoDesiredStateError(
                f"desired state {state.version} has been superseded for "
                f"{superseded_s:.2f} s and the newer one has not arrived yet",
                retry_after_s=SUPERSEDED_RETRY_AFTER_S,
            )
        if self._spread.is_isolated():
            # There may be a newer state that this entry has not learned of.
            self._check_confirmed(self._state_age_max_for_unknown_s)
        return state

    def _resolve(self, state, request, meta, service_name=None):
        """Return route, team, `Requirements` and priority that `state` gives a request.

        :param service_name: the service to keep if the route still has it, or None.
        :raises NotRunError: if the request may not be sent.
        """
        route = state.find_route(meta.host, request.path)
        if route is None:
            self._check_confirmed(self._state_age_max_for_unknown_s)
            raise RouteNotFoundError(f"no route matches {meta.host}{request.path}")
        team = self._find_team(state, route, meta)
        service_names = [name for name, _ in route.services]
        if service_name not in service_names:
            service_name = _choose_service(route.services)
        service = state.services.get(service_name)
        if service is None:
            raise NoCapacityError(f"route {route.name} refers to an undeclared service")
        requirements = Requirements(
            service=service,
            model=meta.model if service.models else None,
            required_version=self._required_version(service, meta),
            allowed_regions=(
                route.allowed_regions,
                team.allowed_regions if team else frozenset(),
            ),
        )
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        return route, team, requirements, priority

    def _find_team(self, state, route, meta):
        """Return the team that the key belongs to, or None if no key is required.

        :raises UnknownKeyError: if the key belongs to no team.
        """
        if route.public or not state.uses_keys:
            return None
        self._check_confirmed(self._state_age_max_for_keys_s)
        team = state.teams_by_key.get(meta.key)
        if team is None:
            self._check_confirmed(self._state_age_max_for_unknown_s)
            raise UnknownKeyError("request has no key of a team")
        return team

    def _check_confirmed(self, age_max_s):
        """Raise `NoDesiredStateError` if the state is older than `age_max_s`."""
        age_s = self._confirmed_age_s()
        if age_s is None or age_s > age_max_s:
            raise NoDesiredStateError(
                f"desired state is too old or not confirmed yet: age {age_s} s",
                retry_after_s=RETRY_AFTER_S,
            )

    def _required_version(self, service, meta):
        if not service.models or meta.model is None:
            return 0
        within_s = self._version_within_s - self._send_margin_s
        age_s = self._versions_age_s()
        if age_s is None or age_s > within_s:
            # A newer version, not read yet, may have been named longer ago than that.
            raise NoDesiredStateError(
                f"named versions are too old or not confirmed yet: age {age_s} s"
            )
        return self._versions.required(meta.model, within_s)


def _choose_service(services):
    if len(services) == 1:
        return services[0][0]
    service_names, weights = zip(*services, strict=True)
    return random.choices(service_names, weights)[0]
