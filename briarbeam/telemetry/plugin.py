"""Logs, metrics, health and traces."""

import logging

import structlog
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins


def configure_logs(settings):
    """Set the process's logs up as the settings say."""
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    level = getattr(logging, settings.log_level.upper())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
    )


@plugins.register("telemetry")
class TelemetryPlugin(Plugin):
    """Serves ``/metrics``, ``/healthz`` and ``/readyz``."""

    def __init__(self, kernel):
        super().__init__(kernel)
        self._draining = False
        kernel.router.add("GET", "/metrics", self._metrics)
        kernel.router.add("GET", "/healthz", self._healthz)
        kernel.router.add("GET", "/readyz", self._readyz)

    def set_draining(self):
        """Say from now on that this process is not ready."""
        self._draining = True

    def _metrics(self, request):
        return Response(200, generate_latest(), {"content-type": CONTENT_TYPE_LATEST})

    def _healthz(self, request):
        return Response.of_json({"ok": True})

    def _readyz(self, request):
        waiting = [
            type(plugin).__name__
            for plugin in self.kernel.built()
            if not plugin.ready()
        ]
        ready = not waiting and not self._draining
        body = {"ready": ready, "draining": self._draining, "waiting": waiting}
        return Response.of_json(body, 200 if ready else 503)
