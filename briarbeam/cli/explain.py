"""``briarbeam explain``: the way of one request through the logs of several daemons."""

import json
import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from .client import EXIT_FAILED
from .commands import commands
from .context import context_of, naming_times, time_of


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
        records = sorted(read_records(self.argument("files")), key=time_of)
        request_id = self.argument("request_id")
        found = [r for r in records if r.get("request_id") == request_id]
        if not found:
            self.line_error(f"no line names the request {request_id!r}")
            return EXIT_FAILED
        shown = found
        if self.option("context"):
            shown = sorted(found + context_of(records, found), key=time_of)
        for record in shown:
            self.line(format_record(record))
        return 0


def read_records(paths):
    """Return the JSON objects in the lines of `paths`, or of standard input.

    A line may have words before its object, the last of them the daemon's name; without
    any, its file's name counts as that.
    """
    if not paths:
        return _parse_lines(sys.stdin.read(), "-")
    records = []
    for path in map(Path, paths):
        records += _parse_lines(path.read_text(errors="replace"), path.stem)
    return records


def _parse_lines(text, name):
    records = []
    for line in text.splitlines():
        words, brace, rest = line.partition("{")
        try:
            record = json.loads(brace + rest)
        except ValueError:
            continue
        record["source"] = words.split()[-1] if words.split() else name
        records.append(record)
    return records


def format_record(record):
    """Return a record as one line: time, daemon, event and the other fields."""
    rest = {
        key: value
        for key, value in record.items()
        if key not in ("timestamp", "source", "event", "level")
        and value not in (None, [])
    }
    times = naming_times(record)
    if times:
        rest["named_at"] = times
    fields = " ".join(f"{key}={value}" for key, value in rest.items())
    return f"{time_of(record)} {record['source']} {record.get('event')} {fields}"
