"""``briarbeam rollout``: roll out a version to all replicas, watch it, roll it back."""

import time

from cleo.helpers import argument, option

from ..kernel.errors import SettingsError
from .client import ServerError
from .commands import OperatorCommand, commands

WATCH_INTERVAL_S = 1.0
EXIT_STOPPED = 7

_MODEL = argument("model", "The model or adapter")


class _ChangeCommand(OperatorCommand):
    """Base class of commands that change the spec of a rollout."""

    arguments = [_MODEL]

    def run_with(self, client):
        model = self.argument("model")
        try:
            current = client.get("rollout", model)
        except ServerError as error:
            if error.status != 404:
                raise
            current = {"spec": {}, "generation": None}
        resource = {
            "kind": "rollout",
            "name": model,
            "spec": self.change(current["spec"]),
        }
        if current["generation"] is not None:
            resource["generation"] = current["generation"]
        self.show_change(client.apply([resource]))

    def change(self, spec):
        """Return the new spec to declare in place of `spec`.

        :param spec: the declared spec, empty if there is no rollout.
        :raises SettingsError: if this change is not possible.
        """
        raise NotImplementedError

    def check_declared(self, spec):
        """Raise `SettingsError` if there is no rollout."""
        if not spec:
            raise SettingsError(f"no rollout of {self.argument('model')!r}")


@commands.register("rollout start")
class StartCommand(_ChangeCommand):
    name = "rollout start"
    description = "Roll a version out to all replicas"
    arguments = [_MODEL, argument("version", "The version")]
    extra_options = [
        option(
            "capacity-floor",
            None,
            "Share of each failure domain that keeps serving",
            flag=False,
        ),
        option(
            "domains-at-once",
            None,
            "Number of failure domains that change at once",
            flag=False,
        ),
        option(
            "failures-max",
            None,
            "Number of failures that don't stop the rollout",
            flag=False,
        ),
    ]

    def change(self, spec):
        version = self.argument("version")
        started = {**spec, "version": version, "paused": False, "attempt": 0}
        if spec and spec["version"] != version:
            started["previous_version"] = spec["version"]
        for name in ("capacity-floor", "domains-at-once", "failures-max"):
            if self.option(name) is not None:
                started[name.replace("-", "_")] = _parse_number(name, self.option(name))
        return started


@commands.register("rollout pause")
class PauseCommand(_ChangeCommand):
    name = "rollout pause"
    description = "Stop further targets from changing over"

    def change(self, spec):
        self.check_declared(spec)
        return {**spec, "paused": True}


@commands.register("rollout resume")
class ResumeCommand(_ChangeCommand):
    name = "rollout resume"
    description = "Continue after a pause, or retry after a failure"

    def change(self, spec):
        self.check_declared(spec)
        return {**spec, "paused": False, "attempt": spec["attempt"] + 1}


@commands.register("rollout abort")
class AbortCommand(_ChangeCommand):
    name = "rollout abort"
    description = "Roll back to the previous version"

    def change(self, spec):
        self.check_declared(spec)
        if spec["previous_version"] is None:
            raise SettingsError("the rollout names no previous version")
        return {
            **spec,
            "version": spec["previous_version"],
            "previous_version": spec["version"],
            "paused": False,
            "attempt": spec["attempt"] + 1,
        }


@commands.register("rollout status")
class StatusCommand(OperatorCommand):
    name = "rollout status"
    description = "Show the progress of a rollout, and why targets are behind"
    arguments = [_MODEL]

    def run_with(self, client):
        return self.show_status(client)["exit"]

    def show_status(self, client):
        """Print the status; return a dictionary of its state and the exit code."""
        status = client.call("GET", f"/operator/v1/rollouts/{self.argument('model')}")
        if self.option("output") == "table":
            for line in describe_status(status):
                self.line(line, style=None)
        else:
            self.show(status)
        exit_codes = {"done": 0, "stopped": EXIT_STOPPED}
        return {"state": status["state"], "exit": exit_codes.get(status["state"], 0)}


@commands.register("rollout watch")
class WatchCommand(StatusCommand):
    name = "rollout watch"
    description = "Show a rollout until it is done or stopped"

    def run_with(self, client):
        while True:
            shown = self.show_status(client)
            if shown["state"] in ("done", "stopped"):
                return shown["exit"]
            time.sleep(WATCH_INTERVAL_S)


def describe_status(status):
    """Yield the lines that describe the status of a rollout."""
    eta = "" if status["eta_s"] is None else f", {status['eta_s']} s left to transfer"
    yield (
        f"{status['model']} {status['version']}: {status['state']}, "
        f"{status['serving']}/{status['targets']} serve it, "
        f"{status['origin_bytes']} bytes from the origin, "
        f"{status['rate_bytes_per_s']} bytes/s{eta}"
    )
    for failure in status["failures"]:
        yield f"  failed: {failure['target']}: {failure['reason']}"
    for name, domain in sorted(status["domains"].items()):
        yield (
            f"  {name}: {domain['serving']}/{domain['targets']} serve it, "
            f"{domain['holding']} hold it, {domain['left_bytes']} bytes left, "
            f"{domain['rate_bytes_per_s']} bytes/s"
        )
        for behind in domain["behind"]:
            yield f"    {behind['target']}: {behind['reason']}"


def _parse_number(name, text):
    try:
        return float(text) if "." in text else int(text)
    except ValueError:
        raise SettingsError(f"--{name} = {text!r}: expected a number") from None
