"""One caller's request on its way."""

from dataclasses import dataclass, field

from ..catalog import RequestKind
from ..platform import headers as wire
from .balance import Need


@dataclass
class Job:
    """One caller's request on its way.

    :param deadline_s: monotonic time at which the answer has to be there.
    :param caller: the `DisconnectWatch` on its connection.
    :param tried: ids of the targets that refused or failed it.
    :param next_target: the target that takes it from a silent one, or None.
    :param target_id: the target that it was sent to last, or None.
    :param target_domain: the failure domain of that target, or None.
    :param state_age_s: the age of the desired state at the last send, in seconds.
    :param target_version: the version of the weights that the target was thought to hold.
    :param superseded_in_s: how long after the send requests could still begin on that
        version, in seconds; None while it is the newest.
    """

    request: object
    meta: wire.RequestMeta
    route: object
    team: object
    need: Need
    priority: int
    started_s: float
    deadline_s: float
    state_version: int
    caller: object = None
    tried: list = field(default_factory=list)
    connects: int = 0
    sends: int = 0
    may_have_run: bool = False
    next_target: object = None
    target_id: str | None = None
    target_domain: str | None = None
    state_age_s: float | None = None
    target_version: int | None = None
    superseded_in_s: float | None = None

    @property
    def streams(self):
        return self.route.kind is RequestKind.STREAMING
