"""``python -m briarbeam.node``: one process on the users' platform.

The path of its settings file is given by ``--settings`` or the environment variable
`SETTINGS_VARIABLE`; the file names the role of the process.
"""

import gc
import os
import signal

from .process_start import process_started_s

# Callers expect a process to be up to date a fixed time after its start, so this is
# read first: the start of the interpreter and the imports take most of a second.
_STARTED_S = process_started_s()

# Imports create many objects and no garbage: searching for it takes a tenth of the time
# to start.
gc.disable()

# By default this signal would end a process that is still starting. Ignoring it loses
# no change, as the settings are read after the imports and again once it is handled.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# A process that is still starting has nothing to shut down first.
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))

from gevent import monkey  # noqa: E402

monkey.patch_all()

import argparse  # noqa: E402
import importlib  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402
import structlog  # noqa: E402
from gevent import signal_handler  # noqa: E402
from gevent.event import Event  # noqa: E402

from . import node_settings  # noqa: E402
from .kernel.clock import SystemClock  # noqa: E402
from .kernel.errors import SettingsError  # noqa: E402
from .kernel.network import HttpNetwork  # noqa: E402
from .kernel.registry import Registry  # noqa: E402
from .telemetry.exposition import MetricsServer  # noqa: E402
from .telemetry.request_log import configure_node_logs  # noqa: E402

SETTINGS_VARIABLE = "BRIARBEAM_SETTINGS"
EXIT_SETTINGS = 2
# Modules that register a role; a process imports only the module of its own role.
ROLE_MODULES = {"entry": "relay.entry", "stager": "distribution.role"}

roles = Registry("role")
_log = structlog.get_logger()


class Node:
    """Runs one role until a signal requests the end.

    :param path: path of the settings file, which is reloaded at SIGHUP.
    """

    def __init__(self, path, settings, clock):
        self._path = path
        self._settings = settings
        self._stopping = Event()
        importlib.import_module(f".{ROLE_MODULES[settings.role]}", __package__)
        create_role = roles.get(settings.role)
        self._role = create_role(settings, clock, HttpNetwork())
        # What exists now lives as long as the process, so it need not be searched.
        gc.freeze()
        gc.enable()

    def run(self):
        """Run the role until SIGTERM or SIGINT, then stop it gracefully."""
        signal_handler(signal.SIGTERM, self._stopping.set)
        signal_handler(signal.SIGINT, self._stopping.set)
        signal_handler(signal.SIGHUP, self._on_hangup)
        MetricsServer(
            self._settings.instance.host,
            self._settings.listen,
            self._settings.caller_input.max_connections,
        ).start()
        self._role.start()
        instance = self._settings.instance
        # The settings may have changed after they were read and before SIGHUP was
        # handled.
        self._reload_settings()
        _log.info(
            "started",
            role=self._settings.role,
            instance=instance.name,
            host=instance.host,
            failure_domain=instance.failure_domain,
        )
        self._stopping.wait()
        _log.info("stopping", grace_s=self._settings.bounds.grace_s)
        self._role.stop(self._settings.bounds.grace_s)
        _log.info("stopped")

    def _on_hangup(self):
        gevent.spawn(self._reload_settings)

    def _reload_settings(self):
        """Apply the settings file if it has changed and is valid."""
        try:
            settings = node_settings.load(self._path)
        except SettingsError as error:
            _log.error("reload_refused", error=str(error))
            return
        changed = settings != self._settings
        _log.info("reloaded", changed=changed)
        if changed:
            self._settings = settings
            self._role.reload(settings)


def main(started_s):
    """Run the process according to its settings.

    :param started_s: boot time in seconds at which the process started.
    """
    parser = argparse.ArgumentParser(prog="briarbeam-node", description=__doc__)
    parser.add_argument("--settings", default=os.environ.get(SETTINGS_VARIABLE))
    path = parser.parse_args().settings
    if path is None:
        sys.exit(
            f"--settings or {SETTINGS_VARIABLE} must give the settings file's path"
        )
    try:
        settings = node_settings.load(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    output = configure_node_logs()
    Node(path, settings, SystemClock(started_s)).run()
    output.close()
    # Greenlets that wait for peers must not keep the process alive.
    os._exit(0)


if __name__ == "__main__":
    # Roles register with the module of this name. It is not the same object as
    # ``__main__``, whose registry stays empty.
    importlib.import_module("briarbeam.node").main(_STARTED_S)
