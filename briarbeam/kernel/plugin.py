"""Plug-ins: the parts of a daemon, each registered by its own module."""

from dataclasses import dataclass

from .registry import Registry

plugins = Registry("plugin")


@dataclass
class Kernel:
    """Services that all plug-ins of a process share, and the plug-ins themselves.

    :param settings: the validated settings of the process.
    :param clock: the `Clock` of the process.
    :param network: the `Network` to send requests with.
    :param rpc: the `RpcLoop` for control calls.
    :param router: the `Router` to add HTTP paths to.
    :param tasks: the `TaskGroup` for background tasks.
    """

    settings: object
    clock: object
    network: object
    rpc: object
    router: object
    tasks: object

    def __post_init__(self):
        self._plugins = {}

    def build(self):
        """Build the plug-ins for the role of this process, in order of registration."""
        for name, plugin in plugins.items():
            if self.settings.role in plugin.roles:
                self._plugins[name] = plugin(self)

    def find(self, name):
        """Return the plug-in called `name`, or None if the role has no such plug-in."""
        return self._plugins.get(name)

    def list_plugins(self):
        """Return the plug-ins in the order in which they are started."""
        return list(self._plugins.values())


class Plugin:
    """Base class of the parts of a daemon.

    A subclass sets its `roles` and overrides the methods that it needs.

    :param kernel: the `Kernel` of this process.
    """

    roles = ("entry", "target")

    def __init__(self, kernel):
        self.kernel = kernel
        self.settings = kernel.settings
        self.clock = kernel.clock

    def start(self):
        """Start background work. Called after all plug-ins have been built."""

    def ready(self):
        """Return whether this plug-in is ready to serve."""
        return True

    def drain(self):
        """Wait until the running work has ended; new work may be refused meanwhile."""

    def stop(self):
        """Stop background work."""
