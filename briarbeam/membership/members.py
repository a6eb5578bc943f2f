"""The members of the system, which the platform lists as instances."""

import hashlib
from dataclasses import dataclass

import structlog

from ..kernel.errors import SettingsError
from ..kernel.lenient_json import is_readable, parse_leniently
from ..kernel.network import Address

# Length of the description of a malformed entry in a log line.
DESCRIPTION_MAX = 200

_log = structlog.get_logger()


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
        """Return the member for an entry of the instance list.

        :raises KeyError, TypeError, ValueError, SettingsError: if a required field is
            missing or has the wrong type.
        """
        return cls(
            name=_get_text(raw, "name"),
            role=_get_text(raw, "role"),
            region=_get_text(raw, "region"),
            failure_domain=_get_text(raw, "failure_domain"),
            http=Address.parse(_get_text(raw, "http")),
            control=Address.parse(_get_text(raw, "control")),
            leaving=raw.get("state") == "leaving",
            models=_get_texts(raw, "models"),
            service=None if raw.get("service") is None else _get_text(raw, "service"),
        )


class MemberParser:
    """Parses the body of the instances document.

    Most entries don't change from one list to the next, so their `Member` objects are
    reused. An entry that is no member, for example one of another writer, is left out.
    """

    def __init__(self):
        self._known = {}
        self._malformed = []

    def parse(self, body):
        """Return the members in `body`, by name.

        :raises ValueError, AttributeError, TypeError: if `body` is no list of entries.
        """
        known, malformed = {}, []
        for raw in parse_leniently(body).get("instances", []):
            try:
                if not is_readable(raw):
                    raise ValueError("entry has unreadable values")
                name = _get_text(raw, "name")
                kept = self._known.get(name)
                if kept is None or kept[0] != raw:
                    kept = raw, Member.from_dict(raw)
            except (KeyError, TypeError, ValueError, SettingsError) as error:
                malformed.append(repr(error)[:DESCRIPTION_MAX])
                continue
            known[name] = kept
        if malformed and malformed != self._malformed:
            _log.warning("members_malformed", errors=malformed)
        self._known, self._malformed = known, malformed
        return {name: member for name, (_, member) in known.items()}


def _get_text(raw, field):
    """Return a field's text.

    :raises TypeError: if `raw` is no dictionary or the field has another type.
    :raises ValueError: if it is empty or not printable.
    """
    value = raw[field]
    if not isinstance(value, str):
        raise TypeError(f"{field} is {type(value).__name__}, expected text")
    if not value or not value.isprintable():
        raise ValueError(f"{field} is empty or not printable")
    return value


def _get_texts(raw, field):
    values = raw.get(field, [])
    if not isinstance(values, list) or not all(isinstance(v, str) for v in values):
        raise TypeError(f"{field} is no list of texts")
    return tuple(values)


def rendezvous_order(key, names):
    """Return `names` in the rendezvous order of `key`.

    Every daemon computes the same order without coordination, and adding or removing a
    name does not change the relative order of the others.
    """

    def score(name):
        return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=score)
