"""``briarbeam node-settings check``: check a settings file of ``briarbeam.node``."""

from cleo.commands.command import Command
from cleo.helpers import argument

from .. import node_settings
from ..kernel.errors import SettingsError
from .client import EXIT_USAGE
from .commands import commands


@commands.register("node-settings check")
class NodeSettingsCheckCommand(Command):
    name = "node-settings check"
    description = "Check a settings file of briarbeam.node without starting anything"
    arguments = [argument("file", "The settings file")]

    def handle(self):
        try:
            node_settings.load(self.argument("file"))
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        self.line("ok")
        return 0
