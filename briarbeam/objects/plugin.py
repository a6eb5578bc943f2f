"""The plug-in with the clients of the platform."""

from ..kernel.plugin import Plugin, plugins
from .circuit import CircuitBreaker
from .client import ObjectApi, Origin
from .status import StatusWriter


@plugins.register("platform")
class PlatformPlugin(Plugin):
    """Provides the clients of the object API and the origin to all plug-ins."""

    def __init__(self, kernel):
        super().__init__(kernel)
        platform_settings = self.settings.platform
        self.objects = ObjectApi(
            kernel.network,
            platform_settings.object_api,
            platform_settings.call_timeout_s,
            CircuitBreaker(kernel.clock),
        )
        self.origin = Origin(kernel.network, platform_settings.origin)
        self.status = StatusWriter(self.objects, platform_settings.status_interval_s)

    def start(self):
        flush = self.status.flush
        self.kernel.tasks.repeat(flush, self.status.next_pause_s, self.clock)
