"""Asks an instance which process answers at a connection, without any work for it.

An engine is asked for its report, which needs no slot. A plain instance might let a
health check wait for a slot, so it is sent one that names another instance, which it
refuses at once.
"""

import json
from dataclasses import dataclass

# No instance has this id.
_NOBODY = b"-"


@dataclass(frozen=True)
class ProcessIdentity:
    """What the answer to a probe states about the process that made it.

    :param is_other: whether it is another instance than the expected one.
    :param started_ms: Unix milliseconds of its start, or None if not stated.
    """

    is_other: bool
    started_ms: int | None = None


def encode_probe(instance, health_path):
    """Return the bytes of a probe of `instance`.

    :param health_path: the path of its service's health checks.
    """
    is_engine = instance.models is not None
    path = b"/-/report" if is_engine else health_path.encode()
    expected = instance.id.encode() if is_engine else _NOBODY
    lines = [
        b"GET %b HTTP/1.1" % path,
        b"host: %b" % str(instance.address).encode(),
        b"x-expect-instance: %b" % expected,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def decode_probe_answer(instance, status, headers, body):
    """Return the `ProcessIdentity` that the answer to a probe of `instance` states.

    :param body: what was received of its body.
    """
    if instance.models is not None:
        return ProcessIdentity(status == 421, _find_start(body))
    stated_ids = {value for name, value in headers if name == b"x-instance-id"}
    return ProcessIdentity(bool(stated_ids) and instance.id.encode() not in stated_ids)


def _find_start(body):
    """Return the Unix milliseconds of the start in a report, or None if not stated."""
    try:
        started_ms = json.loads(body)["born"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    return started_ms if type(started_ms) is int else None
