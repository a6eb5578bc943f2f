"""The command-line tool ``briarbeam``.

Exit codes: 0 ok, 1 failed or different, 2 usage, 3 conflict, 4 not found,
5 unavailable or outcome unknown, 6 unauthorized.
"""

import importlib
import json
import sys

import tomli_w
from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option

from .. import settings as settings_module
from ..kernel.errors import SettingsError
from .client import EXIT_FAILED, EXIT_USAGE
from .commands import commands

COMMAND_MODULES = (".resources", ".backup", ".rollout", ".explain", ".node_settings")


class SettingsCheckCommand(Command):
    name = "settings check"
    description = "Check a settings file without starting anything"
    arguments = [argument("file", "The settings file")]

    def handle(self):
        try:
            settings_module.load(self.argument("file"))
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        self.line("ok")
        return 0


class SettingsShowCommand(Command):
    name = "settings show"
    description = "Print the effective settings, including defaults"
    arguments = [argument("file", "The settings file")]
    options = [option("json", None, "Print JSON instead of TOML", flag=True)]

    def handle(self):
        try:
            settings = settings_module.load(self.argument("file"))
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        shown = _to_plain(settings.model_dump())
        if self.option("json"):
            self.line(json.dumps(shown, indent=2))
        else:
            self.line(tomli_w.dumps(shown))
        return 0


def _to_plain(value):
    """Return `value` as TOML can represent it: addresses as text, without None."""
    if hasattr(value, "_fields"):
        return str(value)
    if isinstance(value, dict):
        return {k: _to_plain(v) for k, v in value.items() if v is not None}
    return value


def build():
    """Return the cleo application with all commands."""
    application = Application("briarbeam")
    application.catch_exceptions(False)
    application.add(SettingsCheckCommand())
    application.add(SettingsShowCommand())
    for module in COMMAND_MODULES:
        importlib.import_module(module, __package__)
    for _, command in commands.items():
        application.add(command())
    return application


def main():
    """Run the command line, and exit with the command's exit code."""
    try:
        sys.exit(build().run())
    except CleoError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except KeyboardInterrupt:
        sys.exit(EXIT_FAILED)
