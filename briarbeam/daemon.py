"""``briarbeamd``: one process of the system, with the role that its settings name."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import importlib  # noqa: E402
import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import structlog  # noqa: E402
from gevent import signal_handler  # noqa: E402
from gevent.event import Event  # noqa: E402

from . import settings as settings_module  # noqa: E402
from .kernel.clock import SystemClock  # noqa: E402
from .kernel.errors import SettingsError  # noqa: E402
from .kernel.http import HttpServer, Router  # noqa: E402
from .kernel.network import HttpNetwork  # noqa: E402
from .kernel.plugin import Kernel  # noqa: E402
from .kernel.rpc import RpcLoop  # noqa: E402
from .kernel.tasks import TaskGroup  # noqa: E402
from .telemetry.logs import configure_logs  # noqa: E402

PLUGIN_MODULES = (
    "telemetry.plugin",
    "objects.plugin",
    "configuration.spread",
    "gate.plugin",
    "weights.plugin",
    "routing.router",
    "entry.plugin",
    "operators.plugin",
    "operators.rollouts",
)
EXIT_SECOND_SIGNAL = 1
EXIT_SETTINGS = 2

_log = structlog.get_logger()


class Daemon:
    """Builds the plug-ins of a role, runs them and stops them in order.

    :param settings: the validated `Settings` of the process.
    """

    def __init__(self, settings, clock=None, network=None):
        for module in PLUGIN_MODULES:
            importlib.import_module(f".{module}", __package__)
        source_host = settings.listen.source_host
        self._settings = settings
        self._rpc = RpcLoop(source_host)
        self._stopping = Event()
        self._kernel = Kernel(
            settings=settings,
            clock=clock or SystemClock(),
            network=network or HttpNetwork(source_host),
            rpc=self._rpc,
            router=Router(),
            tasks=TaskGroup(),
        )
        self._kernel.build()
        self._server = HttpServer(settings.listen.http, self._kernel.router)

    def run(self):
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        signal_handler(signal.SIGTERM, self._on_signal)
        signal_handler(signal.SIGINT, self._on_signal)
        self._rpc.start()
        self._server.start()
        for plugin in self._kernel.list_plugins():
            plugin.start()
        instance = self._settings.instance
        _log.info("started", role=self._settings.role, instance=instance.name)
        self._stopping.wait()
        self._stop()

    def _stop(self):
        """Stop without interrupting requests: readiness first, the listener last.

        A load balancer keeps sending requests for a while, which are still served.
        """
        kernel = self._kernel
        _log.info("draining")
        kernel.router.draining = True
        for plugin in reversed(kernel.list_plugins()):
            plugin.drain()
        kernel.clock.sleep(self._settings.stop_notice_s)
        if not kernel.router.wait_idle(self._settings.drain_timeout_s):
            _log.warning("drain_timed_out", timeout_s=self._settings.drain_timeout_s)
        for plugin in reversed(kernel.list_plugins()):
            plugin.stop()
        self._server.stop()
        kernel.tasks.stop()
        self._rpc.stop()
        _log.info("stopped")

    def _on_signal(self):
        if self._stopping.is_set():
            os._exit(EXIT_SECOND_SIGNAL)
        self._stopping.set()


def main():
    """Run the daemon with the settings file named on the command line."""
    parser = argparse.ArgumentParser(prog="briarbeamd", description=__doc__)
    parser.add_argument("--settings", required=True, metavar="FILE.toml")
    options = parser.parse_args()
    try:
        settings = settings_module.load(options.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    configure_logs(settings.telemetry)
    Daemon(settings).run()


if __name__ == "__main__":
    main()
