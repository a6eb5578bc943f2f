"""``briarbeam explain``: trace one request through the logs of several daemons."""

import json
import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from .client import EXIT_FAILED
from .commands import commands
from .context import find_context, naming_times, time_of


@commands.register("explain")
class ExplainCommand(Command):
    name = "explain"
    description = "Print what daemons logged about a request, in order of time"
    arguments = [
        argument("request_id", "The request's id"),
        argument(
            "files", "Log files; standard input if none", optional=True, multiple=True
        ),
    ]
    options = [
        option(
            "context", None, "Also print the state changes that preceded it", flag=True
        )
    ]

    def handle(self):
        records = sorted(read_records(self.argument("files")), key=time_of)
        request_id = self.argument("request_id")
        request_records = [r for r in records if r.get("request_id") == request_id]
        if not request_records:
            self.line_error(f"no log line is about the request {request_id!r}")
            return EXIT_FAILED
        printed = request_records
        if self.option("context"):
            printed = sorted(
                request_records + find_context(records, request_records), key=time_of
            )
        for record in printed:
            self.line(format_record(record))
        return 0


def read_records(paths):
    """Return the JSON objects in the lines of `paths`, or of standard input.

    Each object gets a ``source``: the last word before it in its line, which is the
    name of the daemon, or else the name of the file. Lines without an object are
    ignored.
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
    """Format a record as one line: time, daemon, event and the other fields."""
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
