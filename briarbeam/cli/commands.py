"""Base of the commands for operators: common options, output and exit codes."""

import json

import tomli_w
from cleo.commands.command import Command
from cleo.helpers import option

from ..kernel.errors import BriarbeamError, SettingsError
from ..kernel.registry import Registry
from .client import OperatorClient, exit_code

commands = Registry("command")
formats = Registry("output format")


@formats.register("json")
def _format_json(value):
    return json.dumps(value, indent=2)


@formats.register("toml")
def _format_toml(value):
    return tomli_w.dumps(without_none(value)).rstrip()


@formats.register("table")
def _format_table(value):
    rows = value.get("items") or value.get("changes") or [value]
    return table(
        [{key: _format_cell(cell) for key, cell in row.items()} for row in rows]
    )


def table(rows):
    """Format mappings of text as a table; the keys of the first are the heading."""
    if not rows:
        return ""
    names = list(rows[0])
    lines = [[name.upper() for name in names]]
    lines += [[row.get(name, "") for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        .rstrip()
        for line in lines
    )  # fmt: skip


def without_none(value):
    """Return `value` as TOML can represent it: without None."""
    if isinstance(value, dict):
        return {k: without_none(v) for k, v in value.items() if v is not None}
    if isinstance(value, list):
        return [without_none(item) for item in value]
    return value


class OperatorCommand(Command):
    """Base class of commands that call the operators' API.

    A subclass defines its own options in `extra_options` and overrides `run_with`.
    """

    extra_options = []
    common_options = [
        option("server", "s", "Entry daemon, IP:PORT", flag=False),
        option("token", None, "The operator's token", flag=False),
        option("output", "o", "table, json or toml", flag=False, default="table"),
    ]

    def configure(self):
        for item in self.common_options + self.extra_options:
            self._definition.add_option(item)
        super().configure()

    def handle(self):
        try:
            if self.option("output") not in formats.names():
                raise SettingsError(f"--output: one of {', '.join(formats.names())}")
            client = OperatorClient.find(self.option("server"), self.option("token"))
            return self.run_with(client) or 0
        except BriarbeamError as error:
            self.line_error(f"error: {error.code}: {error}")
            for change in getattr(error, "changed", []):
                self.line_error(f"  conflicts with {describe_change(change)}")
            return exit_code(error)

    def run_with(self, client):
        """Execute the command and return its exit code, or None for 0.

        :param client: the `OperatorClient`.
        :raises BriarbeamError: if it fails.
        """
        raise NotImplementedError

    def show(self, value):
        """Print a mapping in the selected output format."""
        self.line(formats.get(self.option("output"))(value), style=None)

    def show_change(self, answer):
        """Print which resources a change changed, and the revision after it."""
        if self.option("output") != "table":
            self.show(answer)
            return
        suffix = " (dry run)" if answer.get("dry_run") else ""
        for item in answer.get("changed", []):
            self.line(f"{item['key']} {item['action']}{suffix}")
        if not answer.get("changed"):
            self.line("unchanged")
        self.line(f"revision {answer['revision']}")


def describe_change(change):
    """Return a one-line description of a recorded change."""
    keys = ", ".join(f"{item['key']} {item['action']}" for item in change["changed"])
    return f"{change['at']} {change['operator']}: {keys} ({change['revision']})"


def _format_cell(value):
    if isinstance(value, dict):
        pairs = [f"{k}={_format_cell(v)}" for k, v in value.items() if v is not None]
        return " ".join(pairs)
    if isinstance(value, list):
        return ",".join(map(_format_cell, value))
    return "" if value is None else str(value)
