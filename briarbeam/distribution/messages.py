"""Datagrams between entries and the daemons beside the engines.

An entry greets the daemon beside each engine about once a second: who it is, which
weights are wanted, and how far the fleet is. The daemon answers all entries that greeted
it with its engine's load. A lost datagram costs one interval.
"""

import json
from dataclasses import asdict, dataclass

from .errors import MalformedDatagramError

MAX_BYTES = 1400


@dataclass(frozen=True)
class Greeting:
    """What an entry tells the daemon beside an engine.

    :param host: the entry's IP number; chunks are served at the port it came from.
    :param model: the model that the engine is to hold, or None if not known yet.
    :param versions: triples of a named version, the seconds since it was heard of and
        the share of the engines that hold it or a newer one; the last one is wanted.
    :param wave: when the engine's turn to load is, from 0.
    :param wave_count: how many turns there are.
    :param version_within_s: the time in which a named version has to be in use.
    """

    host: str
    failure_domain: str
    model: str | None
    versions: tuple
    wave: int = 0
    wave_count: int = 1
    version_within_s: float = 0.0


@dataclass(frozen=True)
class Load:
    """What the daemon beside an engine tells the entries.

    :param version: the version of the weights that the engine holds, 0 for none.
    :param accepting: False while it is about to load others.
    :param entries: pairs of IP number and failure domain of the entries that greeted
        it lately; empty in most datagrams, to keep them small.
    """

    started_ms: int
    version: int
    accepting: bool
    running: int
    waiting: int
    pace: float
    entries: tuple = ()


_KINDS = {"g": Greeting, "l": Load}
_NAMES = {kind: name for name, kind in _KINDS.items()}


def encode(message):
    """Return the bytes of a `Greeting` or a `Load`."""
    values = list(asdict(message).values())
    body = [_NAMES[type(message)], *values]
    return json.dumps(body, separators=(",", ":")).encode()


def decode(data):
    """Return the message in the bytes of a datagram.

    :raises MalformedDatagramError: if there is none.
    """
    try:
        name, *values = json.loads(data)
        return _KINDS[name](*values)
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedDatagramError(
            f"datagram of {len(data)} bytes: {error!r}"
        ) from error
