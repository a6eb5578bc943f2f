"""The plug-in that holds the platform's clients."""

from ..kernel.plugin import Plugin, plugins
from .client import ObjectApi, Origin


@plugins.register("platform")
class PlatformPlugin(Plugin):
    """The clients of the object API and of the origin."""

    def __init__(self, kernel):
        super().__init__(kernel)
        chosen = self.settings.platform
        self.objects = ObjectApi(
            kernel.network, chosen.object_api, chosen.call_timeout_s
        )
        self.origin = Origin(kernel.network, chosen.origin)
