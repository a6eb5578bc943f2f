"""Types of the request path: the declared state and the running instances.

They are independent of their format on the wire, which an adapter decodes.
"""

import enum
from dataclasses import dataclass, field

from .kernel.network import Address
from .placement.engine_cost import EngineCost


class RequestKind(enum.Enum):
    """Whether and how a request may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class Route:
    """A rule that maps a host and a path prefix to services.

    :param host: the host name that requests have to state.
    :param services: pairs of service name and weight; weights need not sum to 1.
    :param timeout_s: the time limit of a request.
    :param target_latency_s: the time within which the answer, or the first event of a
        stream, is on time.
    :param max_attempts: the number of instances that one request may be sent to.
    :param public: whether requests need no key.
    :param resumable: whether another instance may continue a stream.
    :param max_gap_s: the longest pause between events of a stream that is on time.
    :param allowed_regions: the regions that may serve requests; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    services: tuple
    timeout_s: float
    target_latency_s: float
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    max_gap_s: float = 0.0
    allowed_regions: frozenset = frozenset()

    @property
    def repeatable(self):
        """Whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True)
class WeightOrigin:
    """The origin server of weights, and its failure domain."""

    address: Address
    failure_domain: str


@dataclass(frozen=True)
class Service:
    """A kind of target that requests are routed to.

    :param cold_start_s: how long an instance stays cold after its start.
    :param cold_requests_per_s: the rate of requests that all entries together may send
        to a cold instance; 0 for no limit.
    :param models: names of the models that its engines serve; empty for plain services.
    :param origin: the `WeightOrigin` of its models, or None.
    :param engine_cost: the `EngineCost` of its engines, or None if it is not declared.
    :param chunk_count: the number of chunks of its models' weights, or None if it is
        not declared.
    :param health_path: the path of health checks of its instances.
    """

    name: str
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0
    models: tuple = ()
    origin: WeightOrigin | None = None
    engine_cost: EngineCost | None = None
    chunk_count: int | None = None
    health_path: str = "/"


@dataclass(frozen=True)
class Team:
    """A team, whose members are callers; each key belongs to one team.

    :param priority: the priority of its requests, or None for the priority of the
        route.
    :param allowed_regions: the regions that may serve its requests; empty for all.
    """

    name: str
    priority: int | None = None
    allowed_regions: frozenset = frozenset()


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a request and on the time to send it."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class DesiredState:
    """One accepted version of everything that operators declare.

    :param version: its number; a newer version has a higher one.
    :param routes: `Route` objects.
    :param services: `Service` objects by name.
    :param limits: the `CallerLimits`.
    :param teams_by_key: `Team` objects by key.
    :param uses_keys: whether routes that are not public require a key.
    """

    version: int
    routes: tuple
    services: dict
    limits: CallerLimits
    teams_by_key: dict
    uses_keys: bool
    _routes_by_host: dict = field(default_factory=dict, repr=False)

    def __post_init__(self):
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host, path):
        """Return the route of `host` with the longest prefix of `path`, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_origin(self):
        """Return the `WeightOrigin`, or None if no service has one."""
        for service in self.services.values():
            if service.origin is not None:
                return service.origin
        return None

    def find_chunk_count(self, model):
        """Return the number of chunks of a model's weights, or None if unknown."""
        for service in self.services.values():
            if model in service.models:
                return service.chunk_count
        return None

    def find_model(self):
        """Return the first model of the first service that has one, or None."""
        for service in self.services.values():
            if service.models:
                return service.models[0]
        return None


@dataclass(frozen=True)
class Instance:
    """One running target, as it registered itself.

    :param id: its name, which changes with almost every start.
    :param service: the name of its service.
    :param slots: the number of requests that it runs at a time.
    :param draining: whether it is about to stop.
    :param cold_left_s: for how many more seconds it is cold, as of its last report.
    :param started_ms: Unix milliseconds of its start; shows a restart under the same
        id.
    :param models: the version of each model of which it has all layers; None for a
        target that reports no models.
    """

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    draining: bool = False
    cold_left_s: float = 0.0
    started_ms: int = 0
    models: dict | None = None
