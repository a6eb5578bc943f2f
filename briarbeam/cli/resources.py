"""Commands that read, apply, watch and delete resources."""

import json
import tomllib
from pathlib import Path

from cleo.helpers import argument, option

from ..kernel.errors import SettingsError
from .client import EXIT_FAILED, check_digest
from .commands import OperatorCommand, commands, describe_change

WATCH_WAIT_S = 10.0

_FILE = option("file", "f", "TOML or JSON file with 'resources'", flag=False)
_FORCE = option("force", None, "Apply changes that are dangerous but valid", flag=True)
_IF_REVISION = option(
    "if-revision", None, "Apply only if this is the current revision", flag=False
)


@commands.register("get")
class GetCommand(OperatorCommand):
    name = "get"
    description = "List resources, 'members' or 'changes', or get one resource"
    arguments = [
        argument("kind", "Kind of resource", optional=True),
        argument("name", "Name of the resource", optional=True),
    ]

    def run_with(self, client):
        kind, name = self.argument("kind"), self.argument("name")
        if kind == "members":
            self.show({"items": client.members()})
        elif kind == "changes":
            self.show({"changes": client.changes()})
        elif name:
            self.show(client.get(kind, name))
        else:
            self.show(client.list(kind))


@commands.register("describe")
class DescribeCommand(OperatorCommand):
    name = "describe"
    description = "Show a resource with its status and the changes that touched it"
    arguments = [argument("kind", "Kind"), argument("name", "Name")]

    def run_with(self, client):
        kind, name = self.argument("kind"), self.argument("name")
        resource = client.get(kind, name)
        key = f"{kind}/{name}"
        resource["changes"] = [
            describe_change(change)
            for change in client.changes()
            if key in [item["key"] for item in change["changed"]]
        ]
        if self.option("output") != "table":
            self.show(resource)
            return
        for field, value in resource.items():
            self.line(f"{field}: {json.dumps(value)}", style=None)


@commands.register("apply")
class ApplyCommand(OperatorCommand):
    name = "apply"
    description = "Apply the resources of a file, all or none; safe to repeat"
    extra_options = [
        _FILE,
        _FORCE,
        _IF_REVISION,
        option("dry-run", None, "Check the changes without applying them", flag=True),
    ]

    def run_with(self, client):
        resources = read_resources(self.option("file"))
        options = change_options(self)
        if self.option("dry-run"):
            options["dry_run"] = True
        self.show_change(client.apply(resources, **options))


@commands.register("diff")
class DiffCommand(OperatorCommand):
    name = "diff"
    description = "Show what apply would change; exit code 1 if there are changes"
    extra_options = [_FILE, _FORCE]

    def run_with(self, client):
        resources = read_resources(self.option("file"))
        current = {_resource_key(item): item["spec"] for item in client.list()["items"]}
        wanted = {_resource_key(item): item["spec"] for item in resources}
        answer = client.apply(resources, dry_run=True, **change_options(self))
        for item in answer["changed"]:
            self.line(f"{item['key']} {item['action']}")
            before, after = current.get(item["key"], {}), wanted[item["key"]]
            for field in sorted(set(before) | set(after)):
                self._show_field(field, before, after)
        return EXIT_FAILED if answer["changed"] else 0

    def _show_field(self, field, before, after):
        if before.get(field) == after.get(field):
            return
        if field in before and before[field] is not None:
            self.line(f"- {field} = {json.dumps(before[field])}", style=None)
        if field in after:
            self.line(f"+ {field} = {json.dumps(after[field])}", style=None)
        else:
            self.line(f"+ {field} = (default)", style=None)


@commands.register("delete")
class DeleteCommand(OperatorCommand):
    name = "delete"
    description = "Delete a resource that is not referenced"
    arguments = [argument("kind", "Kind"), argument("name", "Name")]
    extra_options = [_FORCE, _IF_REVISION]

    def run_with(self, client):
        kind, name = self.argument("kind"), self.argument("name")
        client.get(kind, name)
        deleted = [{"kind": kind, "name": name}]
        self.show_change(client.apply(delete=deleted, **change_options(self)))


@commands.register("watch")
class WatchCommand(OperatorCommand):
    name = "watch"
    description = "Print each change of resources when it comes into force"
    arguments = [argument("kind", "Kind of resource", optional=True)]
    extra_options = [
        option("count", None, "Stop after this number of changes", flag=False),
        option("after", None, "Start after this revision", flag=False),
    ]

    def run_with(self, client):
        kind, remaining = self.argument("kind"), int(self.option("count") or 0)
        listing = client.list(kind)
        after = int(self.option("after") or listing["revision"])
        previous = {} if self.option("after") else _generations_by_key(listing)
        while True:
            update = client.watch(after, WATCH_WAIT_S, kind)
            after = update["revision"]
            if update["items"] is None:
                continue
            current = _generations_by_key(update)
            for key in sorted(set(previous) | set(current)):
                if previous.get(key) != current.get(key):
                    action = "deleted" if key not in current else "changed"
                    action = "created" if key not in previous else action
                    self.line(f"{after} {key} {action}")
            previous = current
            remaining -= 1
            if remaining == 0:
                return


class _DomainCommand(OperatorCommand):
    arguments = [argument("name", "Name of the failure domain")]
    extra_options = [_FORCE, _IF_REVISION]
    in_service = True

    def run_with(self, client):
        resource = {
            "kind": "failure-domain",
            "name": self.argument("name"),
            "spec": {"in_service": self.in_service},
        }
        self.show_change(client.apply([resource], **change_options(self)))


@commands.register("domain out")
class DomainOutCommand(_DomainCommand):
    name = "domain out"
    description = "Take a failure domain out of service"
    in_service = False


@commands.register("domain in")
class DomainInCommand(_DomainCommand):
    name = "domain in"
    description = "Bring a failure domain back into service"


def change_options(command):
    """Return a command's options as keyword arguments for `OperatorClient.apply`.

    :raises SettingsError: if ``--if-revision`` is not a number.
    """
    options = {"force": command.option("force")}
    if command.definition.has_option("if-revision") and command.option("if-revision"):
        options["if_revision"] = _parse_int(
            "--if-revision", command.option("if-revision")
        )
    return options


def read_resources(path):
    """Return the resources that a TOML or JSON file declares.

    If the file contains a digest, as written by ``briarbeam export``, it is checked.

    :param path: the path of the file; JSON if it ends in ``.json``, otherwise TOML.
    :raises SettingsError: if the path is missing, or the file can't be read or is
        invalid.
    """
    if not path:
        raise SettingsError("--file is required")
    try:
        text = Path(path).read_text()
        raw = json.loads(text) if path.endswith(".json") else tomllib.loads(text)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    if not isinstance(raw, dict) or not isinstance(raw.get("resources"), list):
        raise SettingsError(f"{path}: expected [[resources]] with kind, name and spec")
    if "digest" in raw:
        check_digest(raw)
    items = []
    for item in raw["resources"]:
        missing = {"kind", "name"} - set(item)
        if missing:
            raise SettingsError(f"{path}: a resource lacks {', '.join(missing)}")
        items.append({"spec": {}, **item})
    return items


def _resource_key(item):
    return f"{item['kind']}/{item['name']}"


def _generations_by_key(listing):
    return {_resource_key(item): item["generation"] for item in listing["items"]}


def _parse_int(name, text):
    try:
        return int(text)
    except ValueError:
        raise SettingsError(f"{name}: expected a number, got {text!r}") from None
