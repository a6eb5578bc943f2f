"""Encodes reports of crashes into datagrams that fit."""

from .messages import CrashReport, encode

# A row has at most 16 + 8 + 4 x 16 characters of ids and about 40 others.
CRASHES_PER_DATAGRAM = 10
RUNS_PER_DATAGRAM = 40


def encode_runs(run_rows):
    """Return the datagram that carries `RunRow` objects, not too many of them."""
    items = [
        [row.name, round(row.age_s, 3), row.waiting_count, row.begun_count]
        for row in run_rows
    ]
    return encode(CrashReport((), tuple(items[:RUNS_PER_DATAGRAM])))


def encode_crashes(rows):
    """Return the datagrams that carry `CrashRow` objects, none above `MAX_BYTES`."""
    items = [
        [
            row.suspect, row.run, round(row.age_s, 3), row.requests, row.excused,
            row.begun,
        ]
        for row in rows
    ]  # fmt: skip
    return [
        encode(CrashReport(tuple(items[first : first + CRASHES_PER_DATAGRAM])))
        for first in range(0, len(items), CRASHES_PER_DATAGRAM)
    ]
