"""The head, which is the single object of the platform that holds all resources.

Its revision is stored inside the value and increases with each change, under a
conditional update of the object. It is the Unix time of the change in milliseconds, or
one more than the last revision if that is higher. If the platform is restored from a
backup, the next change is therefore above whatever daemons still hold, and no two
changes share a revision. The latest changes are stored with the resources.
"""

from dataclasses import dataclass, field

from ..kernel.errors import TooLargeError
from .documents import canonical_json

HEAD_MAX_BYTES = 900_000
CHANGES_KEPT = 50


@dataclass
class Head:
    """The content of the head.

    :param version: the platform's version of the object; 0 if it does not exist.
    :param resources: the declared specs and generations by ``kind/name``.
    :param changes: the latest changes, the newest last.
    """

    version: int = 0
    revision: int = 0
    resources: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)

    @classmethod
    def from_object(cls, stored):
        """Return the head that a `StoredObject` contains."""
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
        """Return the value to store, with the last `CHANGES_KEPT` changes.

        :raises TooLargeError: if it is larger than `HEAD_MAX_BYTES`.
        """
        value = {
            "revision": self.revision,
            "resources": self.resources,
            "changes": self.changes[-CHANGES_KEPT:],
        }
        size_bytes = len(canonical_json(value))
        if size_bytes > HEAD_MAX_BYTES:
            raise TooLargeError(
                f"all resources take {size_bytes} bytes, limit is {HEAD_MAX_BYTES}"
            )
        return value

    def change_by_attempt(self, attempt):
        """Return the record of the change made by `attempt`, or None."""
        matching = [item for item in self.changes if item.get("attempt") == attempt]
        return matching[-1] if matching else None
