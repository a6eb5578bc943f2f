"""Real configuration plug-ins with a fake network and platform and a manual clock."""

import random

import pytest

from briarbeam.configuration.documents import CONFIGURATION
from briarbeam.configuration.head import Head
from briarbeam.configuration.resources import HEAD_KIND, HEAD_NAME
from briarbeam.configuration.spread import ConfigurationPlugin, ControlService
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import (
    ConflictError,
    ConnectError,
    ExchangeError,
    NotFoundError,
    PlatformUnavailableError,
)
from briarbeam.objects.client import StoredObject
from briarbeam.settings import check


class FakeStream:
    """A control call in memory: the message received and the reply sent."""

    def __init__(self, message):
        self.message = message
        self.reply = None

    async def recv_message(self):
        return self.message

    async def send_message(self, reply):
        self.reply = reply


class FakeTask:
    """A task that runs when it is first joined."""

    def __init__(self, function, args):
        self._call = (function, args)

    def join(self):
        function, args = self._call
        self._call = (lambda: None, ())
        function(*args)


class Platform:
    """The platform that all daemons share, with versions, outages and stale reads.

    While it is ``stale``, reads return the state before the last write.
    """

    def __init__(self):
        self.down = False
        self.stale = False
        self.history = []
        self.instances = []
        self.change_count = 0

    def head(self):
        return self.history[-1] if self.history else StoredObject("", "", 0, {})

    def write(self, head):
        """Write the head on condition of its version and return the stored head."""
        if self.down:
            raise PlatformUnavailableError("down")
        if head.version != self.head().version:
            raise ConflictError("raced")
        stored = StoredObject(HEAD_KIND, HEAD_NAME, head.version + 7, head.to_value())
        self.history.append(stored)
        return Head.from_object(stored)


class Objects:
    """One daemon's client of the platform."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    def get(self, kind, name, held_version=0):
        found = self._stored_head()
        return None if found.version == held_version else found

    def watch(self, kind, name, after_version, wait_s):
        found = self._stored_head()
        return found if found.version > after_version else None

    def instances(self, held_revision=0):
        platform = self._reachable_platform()
        return 1, platform.instances

    def _stored_head(self):
        platform = self._reachable_platform()
        if not platform.history:
            raise NotFoundError("nothing declared")
        old = platform.stale and len(platform.history) > 1
        return platform.history[-2 if old else -1]

    def _reachable_platform(self):
        self._world.platform_callers.add(self._name)
        platform = self._world.platform
        if platform.down or self._name in self._world.cut_from_platform:
            raise PlatformUnavailableError("out", retry_after_s=0.5)
        return platform


class NodeClock:
    """The world's clock; the sleep of one daemon does not block the others."""

    def __init__(self, clock):
        self.now = clock.now
        self.monotonic_s = clock.monotonic_s
        self.awake_at_s = 0.0

    def sleep(self, duration_s):
        self.awake_at_s = self.monotonic_s() + duration_s


class Node:
    """One daemon's configuration plug-in, which sees this object as kernel and rpc."""

    def __init__(self, world, name, domain, bootstrap=()):
        self.world = world
        self.name = name
        self.domain = domain
        number = len(world.addresses) + 1
        self.control = world.addresses.setdefault(name, f"127.1.0.{number}:8081")
        self.settings = check(
            {
                "role": "entry",
                "instance": {"name": name, "region": "r", "failure_domain": domain},
                "listen": {"http": "127.0.0.1:8080", "control": self.control},
                "platform": {"object_api": "127.0.0.1:1", "origin": "127.0.0.1:2"},
                "spread": {"bootstrap_peers": list(bootstrap)},
                "entry": {},
            }
        )
        self.clock = NodeClock(world.clock)
        self.rpc = self.tasks = self
        self.objects = Objects(world, name)
        self.frozen = False
        self.plugin = ConfigurationPlugin(self)
        self.service = ControlService(self)

    def find(self, name):
        return self.plugin if name == "configuration" else self

    def spawn(self, function, *args):
        task = FakeTask(function, args)
        self.world.pending.append((self, task))
        return task

    def call(self, address, stub, method, message, timeout_s):
        peer = self.world.by_address.get(str(address))
        if peer is None:
            raise ConnectError("no such peer")
        if not self.world.delivers(self, peer):
            raise ExchangeError("silence")
        stream = FakeStream(message)
        coroutine = getattr(peer.service, method)(stream)
        with pytest.raises(StopIteration):
            coroutine.send(None)
        if not self.world.delivers(peer, self):
            raise ExchangeError("the reply was lost")
        return stream.reply

    @property
    def revision(self):
        return self.plugin.documents.get(CONFIGURATION).revision

    @property
    def body(self):
        return self.plugin.documents.get(CONFIGURATION).body


class World:
    """Daemons in failure domains, and the faults between them.

    ``cuts`` are pairs of failure domains without connection. ``one_way`` are pairs of a
    sender and a receiver whose messages are lost in this direction. One of every
    ``drop_every`` messages is lost, or none if it is 0.
    """

    def __init__(self, domains, per_domain):
        self.clock = ManualClock()
        self.platform = Platform()
        self.addresses = {}
        self.aliases = {}
        self.pending = []
        self.cuts = set()
        self.one_way = set()
        self.drop_every = 0
        self.calls = 0
        self.platform_callers = set()
        self.cut_from_platform = set()
        self.nodes = {}
        for domain in range(domains):
            for number in range(per_domain):
                name = f"d{domain}-{number}"
                self.nodes[name] = Node(self, name, f"d{domain}")
        self.platform.instances = [
            {
                "name": node.name,
                "role": "entry",
                "region": "r",
                "failure_domain": node.domain,
                "http": "127.0.0.1:8080",
                "control": node.control,
            }
            for node in self.nodes.values()
        ]
        for node in list(self.nodes.values()):
            node.plugin.sync_once()
        self.run_pending()

    @property
    def by_address(self):
        return self.aliases | {node.control: node for node in self.nodes.values()}

    def delivers(self, sender, receiver):
        """Return whether the next message from `sender` reaches `receiver`."""
        self.calls += 1
        if self.drop_every and self.calls % self.drop_every == 0:
            return False
        if sender.frozen or receiver.frozen:
            return False
        if (sender.name, receiver.name) in self.one_way:
            return False
        return frozenset((sender.domain, receiver.domain)) not in self.cuts

    def run_pending(self):
        """Run the pending tasks and those that they start, in random order."""
        while self.pending:
            index = random.randrange(len(self.pending))
            node, task = self.pending.pop(index)
            if not node.frozen:
                task.join()

    def tick(self, duration_s=0.5):
        """Advance the time and run the periodic work of all daemons in random order."""
        self.clock.advance(duration_s)
        nodes = list(self.nodes.values())
        random.shuffle(nodes)
        for node in nodes:
            if node.frozen:
                continue
            if node.clock.awake_at_s <= self.clock.monotonic_s():
                node.plugin.watcher.watch_once()
                node.plugin.watcher.read_instance_list_once()
            node.plugin.exchange_once()
        self.run_pending()

    def change(self, node, adopt=True):
        """Write a change through `node`, as the operators plug-in does.

        :param adopt: whether `node` applies the change itself.
        :returns: the revision, or None if the platform is behind `node`.
        """
        head = Head.from_object(self.platform.head())
        if head.revision < node.revision:
            return None
        self.platform.change_count += 1
        spec = {"weight": float(self.platform.change_count)}
        head.revision = head.next_revision(self.clock.now())
        head.resources = {"team/t": {"spec": spec, "generation": head.revision}}
        written = self.platform.write(head)
        if adopt:
            node.plugin.apply_head(written)
        return written.revision

    def restart(self, name):
        """Replace a daemon by one with empty memory."""
        old = self.nodes[name]
        node = self.nodes[name] = Node(
            self, name, old.domain, old.world.bootstrap_addresses(name)
        )
        self.pending = [item for item in self.pending if item[0] is not old]
        node.plugin.sync_once()
        self.run_pending()
        return node

    def bootstrap_addresses(self, name):
        """Return bootstrap addresses, with aliases and the daemon's own address."""
        others = [n.control for n in self.nodes.values() if n.name != name]
        return [*others[:3], *self.aliases, self.addresses[name]]

    def in_force_s(self, revision, among=None):
        """Advance the time until `revision` is in force, and return the seconds.

        :returns: infinity if it is not in force after 120 s.
        """
        start_s = self.clock.monotonic_s()
        waiting = [n for n in among or self.nodes.values() if not n.frozen]
        while any(node.revision < revision for node in waiting):
            self.tick()
            if self.clock.monotonic_s() - start_s > 120:
                return float("inf")
        return self.clock.monotonic_s() - start_s
