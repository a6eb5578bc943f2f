"""The datagrams of entries and stagers.

A stager is the daemon on an engine's machine. An entry sends each stager a greeting
about once a second: who it is, which weights are wanted, and how many engines hold
them. The stager sends its engine's load many times a second to one entry of each
failure domain, the forwarder, which forwards the loads of all engines to its neighbours
in one datagram. A lost datagram delays its information by one interval.

A datagram is a JSON array: a letter for the type of the message, then the fields of its
class by position. The order of the fields is part of the protocol.
"""

import json
from dataclasses import MISSING, astuple, dataclass, fields

from ..relay.crash_evidence import REQUESTS_PER_CRASH_MAX, CrashRow, RunRow
from .errors import MalformedDatagramError
from .field_checks import (
    Host,
    check_age,
    check_ages,
    check_from_minus_one,
    check_optional,
    check_row,
    check_rows,
)

# A datagram of this size fits into one Ethernet frame, with the headers of IP and UDP.
MAX_BYTES = 1400
# Number of entries listed in one datagram, at about 22 bytes each.
ENTRIES_PER_DATAGRAM = 40
# Longest id of a suspect, a run or a request in a report of crashes.
CRASH_ID_MAX_CHARS = 16
# Longest name of a team in a question; the count of each team is kept for seconds.
TEAM_MAX_CHARS = 100
# Length of the description of a malformed datagram in an error.
DESCRIPTION_MAX = 200


@dataclass(frozen=True)
class Greeting:
    """An entry's greeting to a stager.

    :param host: the entry's IP address; it serves chunks at the datagram's source port.
    :param model: the model that the engine should hold, or None if not known yet.
    :param versions: for each of the last versions that were named, oldest first: the
        version, the seconds since it was named, the share of the engines that hold it
        or a newer one, and whether the time is certain (True) or assumed. The engine
        should load the last one.
    :param wave: the wave in which the engine loads new weights, from 0.
    :param wave_count: the number of waves.
    :param version_within_s: the seconds within which a named version has to be in use.
    :param silent_forwarder: the IP address of a forwarder that must be replaced, or
        None.
    :param state_revision: the store's revision of the desired state that the entry
        holds, 0 for none.
    :param proven_load: the start and the number of accepted orders with which the
        engine was last reported as accepting requests; empty if never. A stager that
        was restarted learns from it what the one before it had proven.
    :param unproven_load: the same of the engine's last load that was only reported as
        not accepting requests; empty if there is none.
    :param turn: the engine's turn to load new weights, from 0, and the number of turns;
        empty if the waves apply instead.
    :param store_era: the store's era if it was restored from a copy, 0 otherwise.
    :param store_era_age_s: for how many seconds the entry has known of that era. It may
        be lower than the age of the era, never higher.
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
    proven_load: tuple = ()
    unproven_load: tuple = ()
    turn: tuple = ()
    store_era: int = 0
    store_era_age_s: float = 0.0


@dataclass(frozen=True)
class Load:
    """A stager's report of its engine's load.

    Fields that are not described are as in `EngineReport`.

    :param version: the version of the weights that the engine holds, 0 for none.
    :param accepting: False while the engine is about to load other weights.
    :param forward: whether the entry should forward the load to its neighbours.
    :param entries: pairs of IP address and failure domain of some of the entries that
        greeted the stager recently; empty in most datagrams, to keep them small.
    :param namings: for an entry that lacks them, what `NamingHistory.describe_certain`
        returned; empty in most datagrams.
    :param accepted_orders: those with which the weights are proven, or while the engine
        does not accept requests; 0 in most datagrams, to keep them small.
    """

    started_ms: int
    version: int
    accepting: bool
    running: int
    waiting: int
    slowdown: float
    forward: bool = False
    entries: tuple = ()
    namings: tuple = ()
    accepted_orders: int = 0


@dataclass(frozen=True)
class LoadBatch:
    """The loads of several engines, forwarded by an entry to its neighbours.

    :param loads: pairs of the engine's IP address and its `Load`.
    :param entries: as in `Load`.
    """

    loads: tuple
    entries: tuple = ()


@dataclass(frozen=True)
class Probe:
    """Asks an entry for the age and the revision of the store's records that it holds.

    :param sent_s: the sender's boot time in seconds. The answer repeats it, so that the
        delays of both datagrams are added to the ages.
    """

    sent_s: float


@dataclass(frozen=True)
class Confirmation:
    """The answer to a `Probe`: the state of the sender's mirrors of the store.

    :param sent_s: as in the `Probe`.
    :param ages_s: for each mirror, the seconds since the store confirmed it, or None if
        it has not yet; the desired state comes first.
    :param summaries: the summary of each mirror, in a fixed order.
    """

    sent_s: float
    ages_s: tuple
    summaries: tuple


@dataclass(frozen=True)
class StateAnnouncement:
    """Announces a desired state and an entry that holds it.

    :param revision: the store's revision of the desired state.
    :param host: the IP address of an entry to fetch it from, or None to wait for one of
        the receiver's failure domain.
    :param root: the IP address of the entry at the root of the tree that distributes it
        in its failure domain, or None if the announcement is not part of such a tree.
    """

    revision: int
    host: str | None
    root: str | None = None


@dataclass(frozen=True)
class RecordsAnnouncement:
    """A reader's announcement that its records of instances have changed.

    :param revision: the store's revision that they were read at.
    """

    revision: int


@dataclass(frozen=True)
class StateReader:
    """Names the entry that reads the desired state for those that hold none.

    All others wait for a copy from it instead of reading the store themselves. An entry
    that has read a state itself, but does not know the age of the store's era, gets the
    message with its own address.

    :param host: the IP address of that entry.
    :param store_era: as in `Greeting`, as far as the stager knows.
    :param store_era_age_s: as in `Greeting`.
    """

    host: str
    store_era: int = 0
    store_era_age_s: float = 0.0


@dataclass(frozen=True)
class CrashReport:
    """Crashes that are held against suspects.

    :param rows: the fields of `CrashRow` objects; the suspects that share the other
        fields are one list.
    :param run_rows: the fields of `RunRow` objects.
    """

    rows: tuple
    run_rows: tuple = ()


@dataclass(frozen=True)
class GrantRequest:
    """An entry's question whether it may send a request to the engine of a stager.

    The fields from `read_s` to `cold_requests_per_s` and those from `priority` on are
    those of a `Demand`, the others those of a `PassCost`.

    :param number: identifies the question at the entry.
    """

    number: int
    read_s: float
    within_s: float | None
    wait_max_s: float
    cold_requests_per_s: float
    slots: int
    base_s: float
    per_request_s: float
    passes_per_answer: float
    priority: int = -1
    team: str = ""
    returned: bool = False
    prompt_tokens: int = 0
    answer_tokens: int = 0
    token_capacity: int = 0


@dataclass(frozen=True)
class GrantReply:
    """The answer to a `GrantRequest`.

    :param number: as in the question.
    :param granted: as in `Decision`.
    :param wait_s: as in `Decision`.
    :param free_slots: the slots that are free after the decision, -1 if not stated.
    """

    number: int
    granted: bool
    wait_s: float
    free_slots: int = -1


_TYPES = {
    "g": Greeting,
    "l": Load,
    "b": LoadBatch,
    "p": Probe,
    "c": Confirmation,
    "s": StateAnnouncement,
    "r": StateReader,
    "x": CrashReport,
    "q": GrantRequest,
    "a": GrantReply,
    "i": RecordsAnnouncement,
}
_LETTERS = {message_type: letter for letter, message_type in _TYPES.items()}


def encode(message):
    """Return the bytes of a message."""
    body = [_LETTERS[type(message)], *_field_values(message)]
    return json.dumps(body, separators=(",", ":")).encode()


def decode(data):
    """Return the message in the bytes of a datagram.

    :raises MalformedDatagramError: if they are not a valid message.
    """
    try:
        letter, *values = json.loads(data)
        message = _TYPES[letter](*values)
        if letter == "b":
            loads = tuple((host, Load(*values)) for host, values in message.loads)
            message = LoadBatch(loads, message.entries)
        elif letter == "x":
            message = _decode_crash_report(message)
        _CHECKS[letter](message)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise MalformedDatagramError(
            f"datagram of {len(data)} bytes can't be decoded: "
            f"{repr(error)[:DESCRIPTION_MAX]}"
        ) from error
    return message


def _decode_crash_report(report):
    rows = [
        CrashRow(suspect, run, age_s, tuple(requests), *flags)
        for shared, run, age_s, requests, *flags in report.rows
        for suspect in (shared if isinstance(shared, list) else [shared])
    ]
    run_rows = [RunRow(*fields) for fields in report.run_rows]
    return CrashReport(tuple(rows), tuple(run_rows))


def _check_greeting(greeting):
    check_row((greeting.host, greeting.failure_domain), (Host, str))
    check_optional(greeting.model, str)
    check_optional(greeting.silent_forwarder, Host)
    check_rows(greeting.versions, (int, float, float, bool))
    counts = (greeting.wave, greeting.wave_count, greeting.state_revision)
    check_row((*counts, greeting.version_within_s), (int, int, int, float))
    for load_id in (greeting.proven_load, greeting.unproven_load):
        if load_id != () and load_id != []:
            check_rows([load_id], (int, int))
    if greeting.turn != () and greeting.turn != []:
        check_rows([greeting.turn], (int, int))
        index, count = greeting.turn
        if index >= count:
            raise ValueError(f"turn is {index} of {count}")
    _check_store_era(greeting)


def _check_load(load):
    check_row(
        (load.started_ms, load.version, load.accepting, load.running, load.waiting),
        (int, int, bool, int, int),
    )
    check_row((load.slowdown, load.forward), (float, bool))
    if load.slowdown <= 0:
        raise ValueError(f"slowdown is {load.slowdown!r}")
    check_rows(load.entries, (Host, str))
    check_rows(load.namings, (int, float, bool))
    check_row((load.accepted_orders,), (int,))


def _check_batch(batch):
    for host, load in batch.loads:
        check_row((host,), (Host,))
        _check_load(load)
    check_rows(batch.entries, (Host, str))


def _check_confirmation(confirmation):
    check_row((confirmation.sent_s,), (float,))
    check_ages(confirmation.ages_s)
    check_rows(confirmation.summaries, (int, int))


def _check_announcement(announcement):
    check_row((announcement.revision,), (int,))
    check_optional(announcement.host, Host)
    check_optional(announcement.root, Host)


def _check_reader(reader):
    check_row((reader.host,), (Host,))
    _check_store_era(reader)


def _check_store_era(message):
    check_row((message.store_era, message.store_era_age_s), (int, float))
    check_age(message.store_era_age_s)


def _check_crash_report(report):
    for row in report.rows:
        check_row((row.suspect, row.run, row.age_s), (str, str, float))
        check_row((row.excused, row.begun), (bool, bool))
        check_rows([(request,) for request in row.requests], (str,))
        check_age(row.age_s)
        if len(row.requests) > REQUESTS_PER_CRASH_MAX:
            raise ValueError(f"crash has {len(row.requests)} requests")
        if max(map(len, (row.suspect, row.run, *row.requests))) > CRASH_ID_MAX_CHARS:
            raise ValueError(f"crash has an id that is too long: {row!r}")
    for row in report.run_rows:
        check_row((row.name, row.age_s), (str, float))
        check_row((row.waiting_count, row.begun_count), (int, int))
        check_age(row.age_s)
        if len(row.name) > CRASH_ID_MAX_CHARS or row.waiting_count < 1:
            raise ValueError(f"run is {row!r}")


def _check_grant_request(request):
    times_s = (
        request.read_s,
        request.wait_max_s,
        request.base_s,
        request.per_request_s,
    )
    shares = (request.cold_requests_per_s, request.passes_per_answer)
    check_row((request.number, request.slots), (int, int))
    for value in (*times_s, *shares):
        check_row((value,), (float,))
        check_age(value)
    if request.within_s is not None:
        check_row((request.within_s,), (float,))
    if not request.slots:
        raise ValueError("engine has 0 slots")
    check_row((request.team, request.returned), (str, bool))
    check_row(
        (request.prompt_tokens, request.answer_tokens, request.token_capacity),
        (int, int, int),
    )
    check_from_minus_one(request.priority)
    if len(request.team) > TEAM_MAX_CHARS:
        raise ValueError(f"team has {len(request.team)} characters")


def _check_grant_reply(reply):
    check_row((reply.number, reply.granted, reply.wait_s), (int, bool, float))
    check_age(reply.wait_s)
    check_from_minus_one(reply.free_slots)


_CHECKS = {
    "g": _check_greeting,
    "l": _check_load,
    "b": _check_batch,
    "p": lambda probe: check_row((probe.sent_s,), (float,)),
    "c": _check_confirmation,
    "s": _check_announcement,
    "r": _check_reader,
    "x": _check_crash_report,
    "q": _check_grant_request,
    "a": _check_grant_reply,
    "i": lambda announcement: check_row((announcement.revision,), (int,)),
}


def encode_batches(loads, entries=()):
    """Return the datagrams that carry `loads`, none larger than `MAX_BYTES`.

    :param loads: pairs of the engine's IP address and its `Load`; the fields that
        concern only the first receiver are left out.
    :param entries: pairs of IP address and failure domain, sent in separate datagrams.
    """
    datagrams, batch, batch_bytes = [], [], 0
    for host, load in loads:
        item = [host, _forwarded_values(load)]
        item_bytes = len(json.dumps(item, separators=(",", ":"))) + 1
        if batch and batch_bytes + item_bytes > MAX_BYTES - len('["b",[],[]]'):
            datagrams.append(encode(LoadBatch(tuple(batch))))
            batch, batch_bytes = [], 0
        batch.append(item)
        batch_bytes += item_bytes
    if batch:
        datagrams.append(encode(LoadBatch(tuple(batch))))
    for first in range(0, len(entries), ENTRIES_PER_DATAGRAM):
        listed = tuple(entries[first : first + ENTRIES_PER_DATAGRAM])
        datagrams.append(encode(LoadBatch((), listed)))
    return datagrams


def _forwarded_values(load):
    values = [
        load.started_ms, load.version, load.accepting, load.running, load.waiting,
        load.slowdown,
    ]  # fmt: skip
    if load.accepted_orders:
        values += [False, (), (), load.accepted_orders]
    return values


def _field_values(message):
    """Return the values of the fields in order, without trailing default values."""
    if isinstance(message, LoadBatch):
        return [message.loads, message.entries]
    values = list(astuple(message))
    for field in reversed(fields(message)):
        if field.default is MISSING or values[-1] != field.default:
            break
        values.pop()
    return values
