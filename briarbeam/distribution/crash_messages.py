"""Encodes reports of crashes into datagrams that fit.

Suspects with the same crash, such as the parts of one prompt, share a row.
"""

import json

from .messages import MAX_BYTES, CrashReport, encode

# A shared row has at most 40 x (16 + 3) characters of suspects, 8 + 4 x 16 of other ids
# and about 40 others.
SUSPECTS_PER_ROW = 40
RUNS_PER_DATAGRAM = 40
_FRAME_BYTES = len(encode(CrashReport(())))


def encode_runs(run_rows):
    """Return the datagram that carries `RunRow` objects, not too many of them."""
    items = [
        [row.name, round(row.age_s, 3), row.waiting_count, row.begun_count]
        for row in run_rows
    ]
    return encode(CrashReport((), tuple(items[:RUNS_PER_DATAGRAM])))


def encode_crashes(rows):
    """Return the datagrams that carry `CrashRow` objects, none above `MAX_BYTES`."""
    datagrams, batch, batch_bytes = [], [], _FRAME_BYTES
    for item in _share_rows(rows):
        item_bytes = len(json.dumps(item, separators=(",", ":"))) + 1
        if batch and batch_bytes + item_bytes > MAX_BYTES:
            datagrams.append(encode(CrashReport(tuple(batch))))
            batch, batch_bytes = [], _FRAME_BYTES
        batch.append(item)
        batch_bytes += item_bytes
    if batch:
        datagrams.append(encode(CrashReport(tuple(batch))))
    return datagrams


def _share_rows(rows):
    """Yield the fields of rows, with the suspects that have the same crash in a list."""
    suspects_by_crash = {}
    for row in rows:
        crash = (
            row.run, round(row.age_s, 3), tuple(sorted(row.requests)), row.excused,
            row.begun,
        )  # fmt: skip
        suspects_by_crash.setdefault(crash, []).append(row.suspect)
    for crash, suspects in suspects_by_crash.items():
        for first in range(0, len(suspects), SUSPECTS_PER_ROW):
            shared = suspects[first : first + SUSPECTS_PER_ROW]
            yield [shared if len(shared) > 1 else shared[0], *crash]
