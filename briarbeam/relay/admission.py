"""Whether a request may be sent at all, and what it asks of its target."""

import dataclasses
import random

from .balance import Need
from .errors import (
    NoCapacityError,
    NoDesiredStateError,
    RouteNotFoundError,
    UnknownKeyError,
)
from .job import Job

# When a caller may come back after a refusal; callers wait up to a third of their time.
RETRY_AFTER_S = 0.6
# For how long requests go by a desired state once a newer one is known of. Neighbours
# bring it within a fraction of that.
SUPERSEDED_STATE_MAX_S = 0.5
# When a caller may come back to an entry that is fetching the newer state.
SUPERSEDED_RETRY_AFTER_S = 0.3


class Admission:
    """Decides whether a request may be sent at all, and with what needs.

    Decided when it comes and again before each send, by the state that is in force then.

    :param in_force: the `InForce` desired state.
    :param news: what daemons tell each other of the desired state, as `StateSpread`.
    :param confirmed_age_s: a function that returns how long ago the desired state was
        last confirmed, in seconds, or None.
    :param key_age_max_s: the age above which no request with a key is sent.
    :param denial_age_max_s: the age above which no route or key is said to be unknown: a
        newer desired state that is in force by now may have it.
    :param versions: the `NamedVersions`.
    :param names_age_s: a function that returns how long ago these were last confirmed, in
        seconds, or None.
    :param version_within_s: after this, only the newest named weights may begin.
    :param send_margin_s: how much sooner nothing is sent to older weights any more.
    """

    def __init__(
        self,
        in_force,
        spread,
        confirmed_age_s,
        key_age_max_s,
        denial_age_max_s,
        versions,
        names_age_s,
        version_within_s,
        send_margin_s,
    ):
        self._in_force = in_force
        self._spread = spread
        self._confirmed_age_s = confirmed_age_s
        self._key_age_max_s = key_age_max_s
        self._denial_age_max_s = denial_age_max_s
        self._versions = versions
        self._names_age_s = names_age_s
        self._version_within_s = version_within_s
        self._send_margin_s = send_margin_s

    def state_age_s(self):
        """Return how long ago the desired state was last confirmed, or None."""
        return self._confirmed_age_s()

    def weights_left_s(self, job, target):
        """Return how long requests may still begin on the target's weights.

        :returns: seconds; None while they are the newest.
        """
        model = job.need.model
        if model is None:
            return None
        version = target.version_of(model)
        return self._versions.superseded_in_s(model, version, self._version_within_s)

    def admit(self, request, meta):
        """Return the `Job` for `request`.

        :raises NotRunError: if it may not be sent.
        """
        state = self._state()
        route, team, need, priority = self._resolve(state, request, meta)
        left_s = route.timeout_s
        if meta.time_left_s is not None:
            left_s = min(left_s, meta.time_left_s)
        return Job(
            request, meta, route, team, need, priority,
            request.read_at_s, request.read_at_s + left_s, state.version,
        )  # fmt: skip

    def renew(self, job):
        """Make `job` ask of its next target what holds now; time has passed.

        :raises NotRunError: if it may not be sent any more.
        """
        state = self._state()
        if state.version == job.state_version:
            if job.team is not None:
                self._check_confirmed(self._key_age_max_s)
            required = self._required_version(job.need.service, job.meta)
            job.need = dataclasses.replace(job.need, required_version=required)
            return
        route, team, need, priority = self._resolve(
            state, job.request, job.meta, job.need.service.name
        )
        if job.team is not None and (team is None or team.name != job.team.name):
            raise UnknownKeyError("the key was taken away")
        if job.sends and job.streams and need.service.name != job.need.service.name:
            # A stream of one service can't go on with the events of another.
            raise NoCapacityError(f"route {route.name} moved to {need.service.name}")
        job.route, job.team, job.need, job.priority = route, team, need, priority
        job.state_version = state.version

    def _state(self):
        """Return the desired state to go by.

        :raises NoDesiredStateError: if there is none, or it is known to be superseded.
        """
        state = self._in_force.state
        if state is None:
            raise NoDesiredStateError("no desired state is known yet")
        superseded_s = self._spread.superseded_for_s()
        if superseded_s is not None and superseded_s > SUPERSEDED_STATE_MAX_S:
            raise NoDesiredStateError(
                f"a newer desired state than {state.version} has been known of for "
                f"{superseded_s:.2f} s and is not here yet",
                retry_after_s=SUPERSEDED_RETRY_AFTER_S,
            )
        if self._spread.is_isolated():
            # Others may know of a newer one, and nobody can tell.
            self._check_confirmed(self._denial_age_max_s)
        return state

    def _resolve(self, state, request, meta, service_name=None):
        """Return route, team, `Need` and priority of a request by `state`.

        :param service_name: the service to keep where the route still allows it.
        """
        route = state.find_route(meta.host, request.path)
        if route is None:
            self._check_confirmed(self._denial_age_max_s)
            raise RouteNotFoundError(f"no route for {meta.host}{request.path}")
        team = self._find_team(state, route, meta)
        names = [name for name, _ in route.services]
        if service_name not in names:
            service_name = _choose(route.services)
        service = state.services.get(service_name)
        if service is None:
            raise NoCapacityError(f"route {route.name} names no declared service")
        need = Need(
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
        return route, team, need, priority

    def _find_team(self, state, route, meta):
        if route.public or not state.uses_keys:
            return None
        self._check_confirmed(self._key_age_max_s)
        team = state.teams_by_key.get(meta.key)
        if team is None:
            self._check_confirmed(self._denial_age_max_s)
            raise UnknownKeyError("the request carries no key of a team")
        return team

    def _check_confirmed(self, age_max_s):
        age_s = self._confirmed_age_s()
        if age_s is None or age_s > age_max_s:
            raise NoDesiredStateError(
                f"the desired state was confirmed {age_s} s ago",
                retry_after_s=RETRY_AFTER_S,
            )

    def _required_version(self, service, meta):
        if not service.models or meta.model is None:
            return 0
        within_s = self._version_within_s - self._send_margin_s
        age_s = self._names_age_s()
        if age_s is None or age_s > within_s:
            # A newer name may be there for longer than its time.
            raise NoDesiredStateError(f"names of versions were read {age_s} s ago")
        return self._versions.required(meta.model, within_s)


def _choose(services):
    if len(services) == 1:
        return services[0][0]
    names, weights = zip(*services, strict=True)
    return random.choices(names, weights)[0]
