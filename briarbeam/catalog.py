"""What the request path works with: the declared state and the running instances.

These types carry the project's own names. An adapter fills them; nothing here knows
how they were written on the wire.
"""

import enum
from dataclasses import dataclass, field

from .kernel.network import Address


class RequestKind(enum.Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class Route:
    """One rule that maps a host and a path prefix to services.

    :param services: pairs of service name and weight; weights need not sum to 1.
    :param timeout_s: the longest time that a caller is kept waiting.
    :param target_latency_s: an answer within it is on time; for streams, the first event.
    :param max_attempts: the number of instances that one request may be sent to.
    :param public: whether the route asks for no key.
    :param resumable: whether a stream may go on at another instance.
    :param max_gap_s: the longest pause between events of a stream that is on time.
    :param allowed_regions: where it may be served; empty for everywhere.
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
        """Whether a request that may have run may be sent once more."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True)
class WeightSource:
    """The origin of weights, and the failure domain that it stands in."""

    address: Address
    failure_domain: str


@dataclass(frozen=True)
class Service:
    """A kind of target that requests are routed to.

    :param cold_start_s: how long an instance stays cold after its start.
    :param cold_requests_per_s: what all entries together may send a cold instance;
        0 for no limit.
    :param models: names of the models that its engines serve; empty for plain services.
    """

    name: str
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0
    models: tuple = ()
    source: WeightSource | None = None


@dataclass(frozen=True)
class Team:
    """Who a key belongs to. A priority of None leaves the route's in force."""

    name: str
    priority: int | None = None
    allowed_regions: frozenset = frozenset()


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller sends and how long it may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class DesiredState:
    """One accepted version of everything that operators declare."""

    version: int
    routes: tuple
    services: dict
    limits: CallerLimits
    teams_by_key: dict
    uses_keys: bool
    _by_host: dict = field(default_factory=dict, repr=False)

    def __post_init__(self):
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def find_route(self, host, path):
        """Return the route with the longest prefix of `path`, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_source(self):
        """Return the `WeightSource`, or None if no service has one."""
        for service in self.services.values():
            if service.source is not None:
                return service.source
        return None

    def find_model(self):
        """Return the name of the first model that an engine serves, or None."""
        for service in self.services.values():
            if service.models:
                return service.models[0]
        return None


@dataclass(frozen=True)
class Instance:
    """One running target as it registered itself.

    :param id: new with nearly each start.
    :param started_ms: Unix milliseconds of its start; tells a restart under one id.
    :param cold_left_s: how much longer it is cold, as of its last report.
    :param models: the version of each model of which it holds all layers; None for
        a target that reports no models.
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
