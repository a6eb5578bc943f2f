"""Datagrams between entries and the daemons beside the engines.

An entry greets the daemon beside each engine about once a second: who it is, which
weights are wanted, and how far the fleet is. The daemon tells one entry of each failure
domain its engine's load many times a second; that one passes the loads of all engines
on to its neighbours, in one datagram. A lost datagram costs one interval.
"""

import json
import math
from dataclasses import MISSING, astuple, dataclass, fields

from .errors import MalformedDatagramError

# What an Ethernet frame carries without fragments, less the headers.
MAX_BYTES = 1400
# Entries told in one datagram, at some 22 bytes each.
ENTRIES_PER_DATAGRAM = 40


@dataclass(frozen=True)
class Greeting:
    """What an entry tells the daemon beside an engine.

    :param host: the entry's IP number; chunks are served at the port it came from.
    :param model: the model that the engine is to hold, or None if not known yet.
    :param versions: for each of the last names the version, the seconds since then, the
        share of the engines that hold it or a newer one, and whether the time is certain
        or only assumed; the last one is wanted.
    :param wave: when the engine's turn to load is, from 0.
    :param wave_count: how many turns there are.
    :param version_within_s: the time in which a named version has to be in use.
    :param silent_forwarder: the neighbour from which loads came and come no more, or None.
    :param state_revision: the store's revision of the desired state that it holds, 0 for none.
    """

    host: str
    failure_domain: str
    model: str | None
    versions: tuple
    wave: int = 0
    wave_count: int = 1
    version_within_s: float = 0.0
    silent_forwarder: str | None = None
    state_revision: int = 0


@dataclass(frozen=True)
class Load:
    """What the daemon beside an engine tells the entries.

    :param version: the version of the weights that the engine holds, 0 for none.
    :param accepting: False while it is about to load others.
    :param forward: whether the entry is to pass it on to its neighbours.
    :param entries: pairs of IP number and failure domain of some of the entries that
        greeted it lately; empty in most datagrams, to keep them small.
    :param namings: for an entry that lacks them, names as `NamingHistory.describe_certain` returns
        them; empty in most datagrams.
    """

    started_ms: int
    version: int
    accepting: bool
    running: int
    waiting: int
    pace: float
    forward: bool = False
    entries: tuple = ()
    namings: tuple = ()


@dataclass(frozen=True)
class LoadBatch:
    """The loads of several engines, passed on by an entry to its neighbours.

    :param loads: pairs of the engine's IP number and the values of its `Load`.
    :param entries: as in `Load`.
    """

    loads: tuple
    entries: tuple = ()


@dataclass(frozen=True)
class Probe:
    """Asks a neighbour how it finds the store.

    :param sent_s: the sender's own boot time; the answer repeats it, so that whatever
        held the two up counts.
    """

    sent_s: float


@dataclass(frozen=True)
class Confirmation:
    """What a neighbour holds of the store.

    :param sent_s: as in the `Probe`.
    :param ages_s: how long ago the store confirmed each of its mirrors to it, None for
        not yet; the desired state comes first.
    :param summaries: the summary of each of its mirrors, in a fixed order.
    """

    sent_s: float
    ages_s: tuple
    summaries: tuple


@dataclass(frozen=True)
class StateAnnouncement:
    """Tells that a desired state exists, and who holds it.

    :param revision: the store's revision of it.
    :param host: the IP number of an entry to fetch it from, or None to wait for one nearby.
    :param root: the IP number of the entry that spreads it in its failure domain, or None
        where it is only told of.
    """

    revision: int
    host: str | None
    root: str | None = None


@dataclass(frozen=True)
class StateReader:
    """Names the entry that is to read the desired state for those that hold none.

    :param host: its IP number.
    """

    host: str


_TYPES = {
    "g": Greeting,
    "l": Load,
    "b": LoadBatch,
    "p": Probe,
    "c": Confirmation,
    "s": StateAnnouncement,
    "r": StateReader,
}
_LETTERS = {kind: letter for letter, kind in _TYPES.items()}


def encode(message):
    """Return the bytes of a message."""
    body = [_LETTERS[type(message)], *_values(message)]
    return json.dumps(body, separators=(",", ":")).encode()


def decode(data):
    """Return the message in the bytes of a datagram.

    :raises MalformedDatagramError: if there is none.
    """
    try:
        letter, *values = json.loads(data)
        message = _TYPES[letter](*values)
        if letter == "b":
            loads = tuple((host, Load(*values)) for host, values in message.loads)
            message = LoadBatch(loads, message.entries)
        elif letter == "l":
            _check_rows(message.namings, (int, float, bool))
        elif letter == "g":
            _check_rows(message.versions, (int, float, float, bool))
            _check_rows([(message.state_revision,)], (int,))
        elif letter == "s":
            _check_rows([(message.revision,)], (int,))
            hosts = [(h,) for h in (message.host, message.root) if h is not None]
            _check_rows(hosts, (str,))
        elif letter == "r":
            _check_rows([(message.host,)], (str,))
        elif letter == "c":
            _check_ages(message.ages_s)
            _check_rows(message.summaries, (int, int))
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedDatagramError(
            f"datagram of {len(data)} bytes: {error!r}"
        ) from error
    return message


def _check_ages(ages_s):
    """Raise unless the first age is there, and each is possible; no NaN is too old."""
    if not ages_s or ages_s[0] is None:
        raise ValueError(f"no age in {ages_s!r}")
    for age_s in ages_s:
        if age_s is not None:
            _check_rows([(age_s,)], (float,))
            if not 0 <= age_s < math.inf:
                raise ValueError(f"{age_s!r} is no age")


def _check_rows(rows, types):
    for row in rows:
        for value, kind in zip(row, types, strict=True):
            is_integral = kind is float and type(value) is int
            if type(value) is not kind and not is_integral:
                raise TypeError(f"{value!r} is no {kind.__name__}")


def encode_batches(loads, entries=()):
    """Return the datagrams that carry `loads`, none above `MAX_BYTES`.

    :param loads: pairs of IP number and `Load`; what concerns only the first receiver
        is left out.
    :param entries: pairs of IP number and failure domain, told in datagrams of theirs.
    """
    datagrams, part, size_bytes = [], [], 0
    for host, load in loads:
        item = [host, _forwarded_values(load)]
        item_bytes = len(json.dumps(item, separators=(",", ":"))) + 1
        if part and size_bytes + item_bytes > MAX_BYTES - len('["b",[],[]]'):
            datagrams.append(encode(LoadBatch(tuple(part))))
            part, size_bytes = [], 0
        part.append(item)
        size_bytes += item_bytes
    if part:
        datagrams.append(encode(LoadBatch(tuple(part))))
    for first in range(0, len(entries), ENTRIES_PER_DATAGRAM):
        listed = tuple(entries[first : first + ENTRIES_PER_DATAGRAM])
        datagrams.append(encode(LoadBatch((), listed)))
    return datagrams


def _forwarded_values(load):
    return [
        load.started_ms, load.version, load.accepting, load.running, load.waiting,
        load.pace,
    ]  # fmt: skip


def _values(message):
    """Return the fields in order, without the last ones that have their default."""
    if isinstance(message, LoadBatch):
        return [message.loads, message.entries]
    values = list(astuple(message))
    for field in reversed(fields(message)):
        if field.default is MISSING or values[-1] != field.default:
            break
        values.pop()
    return values
