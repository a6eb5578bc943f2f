"""Commands that export, import and restore all resources."""

import json
from pathlib import Path

from cleo.helpers import argument, option

from .commands import OperatorCommand, commands
from .resources import change_options, read_resources


@commands.register("export")
class ExportCommand(OperatorCommand):
    name = "export"
    description = "Write all resources as JSON with their digest"
    arguments = [argument("file", "A file name that ends in .json", optional=True)]

    def run_with(self, client):
        text = json.dumps(client.export(), indent=2)
        if self.argument("file"):
            Path(self.argument("file")).write_text(text + "\n")
        else:
            self.line(text, style=None)


@commands.register("import")
class ImportCommand(OperatorCommand):
    name = "import"
    description = "Apply all resources of an export, after checking its digest"
    arguments = [argument("file", "A file written by export")]
    extra_options = [
        option("prune", None, "Delete resources that are not in the export", flag=True),
        option("force", None, "Apply changes that are dangerous but valid", flag=True),
    ]

    def run_with(self, client):
        resources = [
            {name: item[name] for name in ("kind", "name", "spec")}
            for item in read_resources(self.argument("file"))
        ]
        exported = {(item["kind"], item["name"]) for item in resources}
        delete = [
            {"kind": item["kind"], "name": item["name"]}
            for item in client.list()["items"]
            if self.option("prune") and (item["kind"], item["name"]) not in exported
        ]
        self.show_change(client.apply(resources, delete, **change_options(self)))


@commands.register("restore")
class RestoreCommand(OperatorCommand):
    name = "restore"
    description = "Write the configuration in force back to a platform that lost it"

    def run_with(self, client):
        self.show_change(client.restore())
