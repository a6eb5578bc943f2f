"""Plug-ins: the parts of a daemon, which register themselves."""

from dataclasses import dataclass

from .registry import Registry

plugins = Registry("plugin")


@dataclass
class Kernel:
    """What every plug-in is built with.

    :param settings: the process's validated settings.
    :param clock: the `Clock` to decide by.
    :param network: the `Network` to send with.
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
        self._built = {}

    def build(self):
        """Build the plug-ins of this process's role in order of registration."""
        for name, plugin in plugins.items():
            if self.settings.role in plugin.roles:
                self._built[name] = plugin(self)

    def find(self, name):
        """Return the plug-in called `name`, or None if the role has none."""
        return self._built.get(name)

    def built(self):
        """Return the plug-ins in the order in which they start."""
        return list(self._built.values())


class Plugin:
    """One part of a daemon.

    A subclass names its `roles` and overrides what it needs.

    :param kernel: the `Kernel` of this process.
    """

    roles = ("entry", "target")

    def __init__(self, kernel):
        self.kernel = kernel
        self.settings = kernel.settings
        self.clock = kernel.clock

    def start(self):
        """Begin background work; called once every plug-in is built."""

    def ready(self):
        """Return whether this part can serve."""
        return True

    def drain(self):
        """Take no new work and return once the running work has ended."""

    def stop(self):
        """End background work."""
