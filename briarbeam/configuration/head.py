"""The head: the one object of the platform that holds all resources.

Its revision is kept inside the value and grows with each change, under the object's
conditional update. It is the time of the change in milliseconds, or one more than the
last if that is higher: should the platform come back from a backup, the next change is
above whatever daemons still hold, and no two changes share a revision. The last changes
are kept beside the resources.
"""

from dataclasses import dataclass, field

from ..kernel.errors import TooLargeError
from .documents import canonical_json

HEAD_MAX_BYTES = 900_000
CHANGES_KEPT = 50


@dataclass
class Head:
    """The head as the platform holds it.

    :param version: the platform's version of the object; 0 if it is absent.
    :param resources: the declared specs and generations by ``kind/name``.
    :param changes: the last changes, the newest at the end.
    """

    version: int = 0
    revision: int = 0
    resources: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)

    @classmethod
    def from_object(cls, stored):
        """Return the head in a `StoredObject`."""
        value = stored.value
        return cls(
            stored.version,
            value.get("revision") or stored.version,
            value.get("resources", {}),
            value.get("changes", []),
        )

    def next_revision(self, now):
        """Return the revision of a change made at the wall-clock time `now`."""
        return max(self.revision + 1, int(now.timestamp() * 1000))

    def body(self):
        """Return the body of the configuration document."""
        return canonical_json({"resources": self.resources})

    def to_value(self):
        """Return the value to write.

        :raises TooLargeError: if it is above what the platform holds.
        """
        value = {
            "revision": self.revision,
            "resources": self.resources,
            "changes": self.changes[-CHANGES_KEPT:],
        }
        size_bytes = len(canonical_json(value))
        if size_bytes > HEAD_MAX_BYTES:
            raise TooLargeError(
                f"all resources take {size_bytes} bytes, at most {HEAD_MAX_BYTES}"
            )
        return value

    def change_by_attempt(self, attempt):
        """Return the record of the change that `attempt` made, or None."""
        made = [item for item in self.changes if item.get("attempt") == attempt]
        return made[-1] if made else None
