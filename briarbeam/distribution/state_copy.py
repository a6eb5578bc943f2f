"""A desired state as one entry gives it to another: the store's records, compressed."""

import json
import math
import zlib
from dataclasses import dataclass

from ..platform.store import Record
from .errors import MalformedCopyError

# A record holds a megabyte at most, and there is one.
MAX_BYTES = 4 * 1024 * 1024
# The fastest level: a state of 300 KB shrinks to a fifth in some milliseconds.
_COMPRESSION_LEVEL = 1


@dataclass(frozen=True)
class StateCopy:
    """Records as of a revision of the store.

    :param records: `Record` objects by name.
    :param store_revision: where a watch goes on from.
    :param age_s: seconds since the store confirmed them, as of when the copy was given.
    """

    records: dict
    store_revision: int
    age_s: float


def pack_records(records, store_revision):
    """Return the part of a copy that does not change with time, as bytes."""
    rows = [[r.name, r.revision, r.spec] for r in records.values()]
    text = json.dumps([store_revision, rows], separators=(",", ":"))
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def encode_copy(packed, age_s):
    """Return the bytes of a copy of what `pack_records` packed."""
    return b"%.3f\n" % age_s + packed


def packed_part(data):
    """Return what `encode_copy` was given, from the bytes of a copy."""
    return data.partition(b"\n")[2]


def decode_copy(data):
    """Return the `StateCopy` in `data`.

    :raises MalformedCopyError: if there is none, or if it is above `MAX_BYTES`.
    """
    try:
        age = data.partition(b"\n")[0]
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(packed_part(data), MAX_BYTES)
        if not unpacker.eof:
            raise ValueError(f"above {MAX_BYTES} bytes, or cut off")
        store_revision, rows = json.loads(text)
        records = {}
        for name, revision, spec in rows:
            if type(revision) is not int or type(name) is not str:
                raise TypeError(f"record {name!r} of revision {revision!r}")
            records[name] = Record(name, revision, spec)
        if type(store_revision) is not int:
            raise TypeError(f"store revision {store_revision!r}")
        age_s = float(age)
        if not 0 <= age_s < math.inf:
            raise ValueError(f"{age_s!r} is no age")
        return StateCopy(records, store_revision, age_s)
    except (ValueError, TypeError, zlib.error) as error:
        raise MalformedCopyError(f"copy of {len(data)} bytes: {error!r}") from error
