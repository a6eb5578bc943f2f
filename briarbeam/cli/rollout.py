"""``briarbeam rollout``: bring a version to all replicas and watch it."""

import json
import os
import time

from cleo.commands.command import Command
from cleo.helpers import argument, option

from ..kernel.errors import NetworkError, SettingsError
from ..kernel.network import Address, HttpNetwork, HttpRequest, fetch

ENTRY_VARIABLE = "BRIARBEAM_ENTRY"
TOKEN_VARIABLE = "BRIARBEAM_TOKEN"
TIMEOUT_S = 10.0
WATCH_INTERVAL_S = 1.0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_STOPPED = 3

_MODEL = argument("model", "The model or adapter")
_COMMON = [
    option(
        "entry", None, f"IP:PORT of an entry daemon, or {ENTRY_VARIABLE}", flag=False
    ),
    option("json", None, "Print JSON instead of a table", flag=True),
]


class _RolloutCommand(Command):
    """Base of the commands, which calls an entry daemon."""

    arguments = [_MODEL]
    options = _COMMON

    def handle(self):
        try:
            return self._run()
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        except NetworkError as error:
            self.line_error(f"the entry daemon can't be reached: {error}")
            return EXIT_FAILED
        except _Refused as error:
            self.line_error(str(error))
            return EXIT_FAILED

    def _call(self, method, value=None):
        """Return an entry daemon's answer.

        :raises _Refused: if it is an error.
        """
        address = self.option("entry") or os.environ.get(ENTRY_VARIABLE, "")
        token = os.environ.get(TOKEN_VARIABLE, "")
        request = HttpRequest(
            method,
            f"/operator/v1/rollouts/{self.argument('model')}",
            b"" if value is None else json.dumps(value).encode(),
            {"authorization": f"Bearer {token}"},
            TIMEOUT_S,
            fresh=True,
        )
        status, _, body = fetch(HttpNetwork(), Address.parse(address), request)
        answer = json.loads(body)
        if status != 200:
            error = answer["error"]
            raise _Refused(f"{error['code']}: {error['message']}")
        return answer

    def _show(self, status):
        if self.option("json"):
            self.line(json.dumps(status))
            return
        for line in describe(status):
            self.line(line)


class _Refused(Exception):
    """The entry daemon refused the call."""


class RolloutStartCommand(_RolloutCommand):
    name = "rollout start"
    description = "Bring a version to all replicas"
    arguments = [_MODEL, argument("version", "The version")]
    options = [
        *_COMMON,
        option(
            "capacity-floor", None, "Share of a failure domain kept serving", flag=False
        ),
        option(
            "domains-at-once", None, "Failure domains that change at once", flag=False
        ),
        option(
            "failures-max", None, "Failed changeovers that don't stop it", flag=False
        ),
    ]

    def _run(self):
        asked = {"action": "start", "version": self.argument("version")}
        numbers = {"capacity-floor": float, "domains-at-once": int, "failures-max": int}
        for name, kind in numbers.items():
            text = self.option(name)
            if text is not None:
                asked[name.replace("-", "_")] = _number(name, text, kind)
        answer = self._call("POST", asked)
        self.line(f"accepted at revision {answer['revision']}")
        return 0


class RolloutStatusCommand(_RolloutCommand):
    name = "rollout status"
    description = "Show how far a rollout is, and why targets are behind"

    def _run(self):
        status = self._call("GET")
        self._show(status)
        return EXIT_STOPPED if status["state"] == "stopped" else 0


class RolloutWatchCommand(_RolloutCommand):
    name = "rollout watch"
    description = "Show a rollout until it is done or stops"

    def _run(self):
        while True:
            status = self._call("GET")
            self._show(status)
            if status["state"] == "done":
                return 0
            if status["state"] == "stopped":
                return EXIT_STOPPED
            time.sleep(WATCH_INTERVAL_S)


class _ActionCommand(_RolloutCommand):
    action = ""

    def _run(self):
        answer = self._call("POST", {"action": self.action})
        self.line(f"accepted at revision {answer['revision']}")
        return 0


class RolloutPauseCommand(_ActionCommand):
    name = "rollout pause"
    description = "Let no further target change over"
    action = "pause"


class RolloutResumeCommand(_ActionCommand):
    name = "rollout resume"
    description = "Go on after a pause, or try again after a failure"
    action = "resume"


class RolloutAbortCommand(_ActionCommand):
    name = "rollout abort"
    description = "Go back to the previous version"
    action = "abort"


COMMANDS = (
    RolloutStartCommand,
    RolloutStatusCommand,
    RolloutWatchCommand,
    RolloutPauseCommand,
    RolloutResumeCommand,
    RolloutAbortCommand,
)


def describe(status):
    """Yield the lines of a rollout's status."""
    eta = "" if status["eta_s"] is None else f", {status['eta_s']} s left to move"
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


def _number(name, text, kind):
    try:
        return kind(text)
    except ValueError:
        raise SettingsError(f"--{name} = {text!r}: expected a number") from None
