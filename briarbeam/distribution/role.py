"""The role ``stager``: the daemon on an engine's machine."""

import gevent

from ..node import roles
from .stager import Stager


@roles.register("stager")
class StagerRole:
    """Runs a `Stager`, or does nothing on a machine without an engine."""

    def __init__(self, settings, clock, network):
        self._stager = None
        if settings.engine is not None:
            self._stager = Stager(
                network,
                clock,
                settings.engine.address,
                settings.peer_address,
                settings.instance.failure_domain,
                settings.link.bytes_per_s,
                settings.load_control,
            )

    def start(self):
        """Start the stager in the background."""
        if self._stager is not None:
            self._stager.start()

    def stop(self, grace_s):
        """Return at once: the chunks in the staging area stay with the engine."""
        gevent.sleep(0)

    def reload(self, settings):
        """Do nothing: no setting of a stager can change while it runs."""
