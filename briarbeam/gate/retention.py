"""Deletes claims whose retention has ended.

The claims of a service are spread over many kinds. Each kind is swept periodically by
the first of the service's targets in rendezvous order. Deletions are conditional on the
record's version, so it is harmless if two targets sweep the same kind.
"""

from prometheus_client import Counter

from ..kernel.errors import ConflictError, PlatformError
from ..membership.members import rendezvous_order
from .claims import claim_kinds

SWEEP_INTERVAL_S = 60.0
DELETE_PAUSE_S = 0.05

_EXPIRED = Counter("briarbeam_claims_expired", "Claims deleted after their retention")


class Retention:
    """Sweeps the kinds of claims one after the other.

    :param objects: the platform's `ObjectApi`.
    :param clock: the `Clock` that gives the age of claims.
    :param retention_s: seconds for which a key remains bound to one call.
    :param get_target_names: function without arguments that returns the names of the
        targets that share the work, including this one.
    :param own_name: the name of this target.
    """

    def __init__(self, objects, clock, retention_s, get_target_names, own_name):
        self._objects = objects
        self._clock = clock
        self._retention_s = retention_s
        self._get_target_names = get_target_names
        self._own_name = own_name
        self._remaining_kinds = []

    def sweep(self):
        """Delete the expired claims of the next kind, if this target is responsible."""
        if not self._remaining_kinds:
            self._remaining_kinds = claim_kinds()
        kind = self._remaining_kinds.pop()
        if rendezvous_order(kind, self._get_target_names())[0] != self._own_name:
            return
        oldest_unix_s = self._clock.now().timestamp() - self._retention_s
        for record in self._objects.list(kind):
            if record.value["created_unix_s"] < oldest_unix_s:
                self._delete(record)

    def _delete(self, record):
        try:
            self._objects.delete(record.kind, record.name, record.version)
            _EXPIRED.inc()
        except (ConflictError, PlatformError):
            return
        self._clock.sleep(DELETE_PAUSE_S)
