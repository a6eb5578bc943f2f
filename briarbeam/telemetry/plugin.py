"""HTTP endpoints of a daemon for metrics, health, readiness and traces."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from .traces import install_tracer


@plugins.register("telemetry")
class TelemetryPlugin(Plugin):
    """Serves ``/metrics``, ``/healthz``, ``/readyz`` and ``/traces``."""

    def __init__(self, kernel):
        super().__init__(kernel)
        self._span_ring = install_tracer(
            self.settings.telemetry, self.settings.instance, self.clock
        )
        kernel.router.add("GET", "/metrics", self._metrics)
        kernel.router.add("GET", "/healthz", self._healthz)
        kernel.router.add("GET", "/readyz", self._readyz)
        kernel.router.add("GET", "/traces", self._traces)

    def _metrics(self, request):
        return Response(200, generate_latest(), {"content-type": CONTENT_TYPE_LATEST})

    def _healthz(self, request):
        return Response.of_json({"ok": True})

    def _readyz(self, request):
        waiting = [
            type(plugin).__name__
            for plugin in self.kernel.list_plugins()
            if not plugin.ready()
        ]
        draining = self.kernel.router.draining
        ready = not waiting and not draining
        body = {"ready": ready, "draining": draining, "waiting": waiting}
        return Response.of_json(body, 200 if ready else 503)

    def _traces(self, request):
        return Response.of_json({"spans": self._span_ring.to_list()})
