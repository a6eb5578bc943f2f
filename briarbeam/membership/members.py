"""The members of the system, which the platform lists as instances."""

import hashlib
import json
from dataclasses import dataclass

from ..kernel.network import Address


@dataclass(frozen=True)
class Member:
    """One daemon of the system, as the instance list describes it."""

    name: str
    role: str
    region: str
    failure_domain: str
    http: Address
    control: Address
    leaving: bool = False
    models: tuple[str, ...] = ()
    service: str | None = None

    @classmethod
    def from_dict(cls, raw):
        """Return the member for an entry of the instance list."""
        return cls(
            name=raw["name"],
            role=raw["role"],
            region=raw["region"],
            failure_domain=raw["failure_domain"],
            http=Address.parse(raw["http"]),
            control=Address.parse(raw["control"]),
            leaving=raw.get("state") == "leaving",
            models=tuple(raw.get("models", ())),
            service=raw.get("service"),
        )


class MemberParser:
    """Parses the body of the instances document.

    Most entries don't change from one list to the next, so their `Member` objects are
    reused.
    """

    def __init__(self):
        self._known = {}

    def parse(self, body):
        """Return the members in `body`, by name."""
        known = {}
        for raw in json.loads(body).get("instances", []):
            name = raw["name"]
            kept = self._known.get(name)
            if kept is None or kept[0] != raw:
                kept = raw, Member.from_dict(raw)
            known[name] = kept
        self._known = known
        return {name: member for name, (_, member) in known.items()}


def rendezvous_order(key, names):
    """Return `names` in the rendezvous order of `key`.

    Every daemon computes the same order without coordination, and adding or removing a
    name does not change the relative order of the others.
    """

    def score(name):
        return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=score)
