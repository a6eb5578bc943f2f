"""``briarbeam explain``: the way of one request through the logs of several daemons."""

import json
import sys
from datetime import datetime
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from .client import EXIT_FAILED
from .commands import commands

# Changes of belief within this before a request are printed with it.
CONTEXT_S = 10.0
_BELIEFS = frozenset({
    "store_lost", "store_regained", "history_gone", "desired_state_in_force",
    "version_named", "evacuated", "instance_seen", "instance_changed", "instance_gone",
    "weights_seen", "started", "stopping", "load_ordered", "load_ended",
})  # fmt: skip


@commands.register("explain")
class ExplainCommand(Command):
    name = "explain"
    description = "Print what daemons logged about a request, in order"
    arguments = [
        argument("request_id", "The request's id"),
        argument(
            "files", "Log files; standard input if none", optional=True, multiple=True
        ),
    ]
    options = [
        option("context", None, "Print changes of belief before it too", flag=True)
    ]

    def handle(self):
        records = sorted(read_records(self.argument("files")), key=_time)
        request_id = self.argument("request_id")
        found = [r for r in records if r.get("request_id") == request_id]
        if not found:
            self.line_error(f"no line names the request {request_id!r}")
            return EXIT_FAILED
        shown = found
        if self.option("context"):
            shown = sorted(found + context_of(records, found), key=_time)
        for record in shown:
            self.line(format_record(record))
        return 0


def read_records(paths):
    """Return the JSON objects in the lines of `paths`, or of standard input.

    A line may have words before its object, such as a host's name.
    """
    records = []
    texts = [Path(path).read_text(errors="replace") for path in paths or ()]
    if not texts:
        texts = [sys.stdin.read()]
    for line in "\n".join(texts).splitlines():
        words, brace, rest = line.partition("{")
        try:
            record = json.loads(brace + rest)
        except ValueError:
            continue
        record["source"] = words.split()[-1] if words.split() else "-"
        records.append(record)
    return records


def context_of(records, found):
    """Return changes of belief in the daemons of `found`, shortly before its lines."""
    sources = {record["source"] for record in found}
    last = max(map(_time, found))
    return [
        record
        for record in records
        if record.get("event") in _BELIEFS
        and record["source"] in sources
        and _time(record) <= last
        and _seconds_between(record, last) <= CONTEXT_S
    ]


def format_record(record):
    """Return a record as one line: time, daemon, event and the other fields."""
    rest = {
        key: value
        for key, value in record.items()
        if key not in ("timestamp", "source", "event", "level")
        and value not in (None, [])
    }
    fields = " ".join(f"{key}={value}" for key, value in rest.items())
    return f"{_time(record)} {record['source']} {record.get('event')} {fields}"


def _time(record):
    return str(record.get("timestamp", ""))


def _seconds_between(record, last):
    try:
        return (
            datetime.fromisoformat(last) - datetime.fromisoformat(_time(record))
        ).total_seconds()
    except ValueError:
        return 0.0
