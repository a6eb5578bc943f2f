"""Configuration reaches every daemon and never goes back, under faults of all kinds.

Daemons are real plug-ins over a fake network and a manual clock.
"""

import json
import random

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from briarbeam.configuration.documents import CONFIGURATION, Documents
from briarbeam.configuration.head import Head
from briarbeam.configuration.resources import HEAD_KIND, HEAD_NAME
from briarbeam.configuration.spread import ConfigurationPlugin, ControlService
from briarbeam.configuration.watcher import WATCHERS_PER_DOMAIN
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import (
    ConflictError,
    ConnectError,
    ExchangeError,
    NotFoundError,
    PlatformUnavailableError,
)
from briarbeam.platform.client import StoredObject
from briarbeam.settings import check

IN_FORCE_S = 5.0


class FakeStream:
    def __init__(self, message):
        self.message = message
        self.reply = None

    async def recv_message(self):
        return self.message

    async def send_message(self, reply):
        self.reply = reply


class FakeTask:
    def __init__(self, function, args):
        self._call = (function, args)

    def join(self):
        function, args = self._call
        self._call = (lambda: None, ())
        function(*args)


class Platform:
    """The object API as all daemons share it: versions, an outage, stale reads."""

    def __init__(self):
        self.down = False
        self.stale = False
        self.history = []
        self.instances = []
        self.written = 0

    def head(self):
        return self.history[-1] if self.history else StoredObject("", "", 0, {})

    def write(self, head):
        """Write the head on condition of its version, and return what it became."""
        if self.down:
            raise PlatformUnavailableError("down")
        if head.version != self.head().version:
            raise ConflictError("raced")
        stored = StoredObject(HEAD_KIND, HEAD_NAME, head.version + 7, head.to_value())
        self.history.append(stored)
        return Head.from_object(stored)


class Objects:
    """The platform as one daemon reaches it."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    def get(self, kind, name, held_version=0):
        found = self._answer()
        return None if found.version == held_version else found

    def watch(self, kind, name, after_version, wait_s):
        found = self._answer()
        return found if found.version > after_version else None

    def instances(self, held_revision=0):
        platform = self._reach()
        return 1, platform.instances

    def _answer(self):
        platform = self._reach()
        if not platform.history:
            raise NotFoundError("nothing declared")
        old = platform.stale and len(platform.history) > 1
        return platform.history[-2 if old else -1]

    def _reach(self):
        self._world.asked.add(self._name)
        platform = self._world.platform
        if platform.down or self._name in self._world.cut_from_platform:
            raise PlatformUnavailableError("out", retry_after_s=0.5)
        return platform


class NodeClock:
    """The world's clock, where one daemon's sleep doesn't hold up the others."""

    def __init__(self, clock):
        self.now = clock.now
        self.monotonic_s = clock.monotonic_s
        self.awake_at_s = 0.0

    def sleep(self, duration_s):
        self.awake_at_s = self.monotonic_s() + duration_s


class Node:
    """One daemon's configuration plug-in; a kernel and an rpc loop to it."""

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
        if not self.world.connected(self, peer):
            raise ExchangeError("silence")
        stream = FakeStream(message)
        coroutine = getattr(peer.service, method)(stream)
        with pytest.raises(StopIteration):
            coroutine.send(None)
        if not self.world.connected(peer, self):
            raise ExchangeError("the reply was lost")
        return stream.reply

    @property
    def revision(self):
        return self.plugin.documents.get(CONFIGURATION).revision

    @property
    def body(self):
        return self.plugin.documents.get(CONFIGURATION).body


class World:
    """Daemons in failure domains, and what is broken between them."""

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
        self.asked = set()
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
            node.plugin.settle_once()
        self.settle()

    @property
    def by_address(self):
        return self.aliases | {node.control: node for node in self.nodes.values()}

    def connected(self, source, target):
        self.calls += 1
        if self.drop_every and self.calls % self.drop_every == 0:
            return False
        if source.frozen or target.frozen:
            return False
        if (source.name, target.name) in self.one_way:
            return False
        return frozenset((source.domain, target.domain)) not in self.cuts

    def settle(self):
        """Run what is pending, in any order, with what that brings about."""
        while self.pending:
            place = random.randrange(len(self.pending))
            node, task = self.pending.pop(place)
            if not node.frozen:
                task.join()

    def tick(self, duration_s=0.5):
        """Let time pass and each daemon do its rounds, in any order."""
        self.clock.advance(duration_s)
        nodes = list(self.nodes.values())
        random.shuffle(nodes)
        for node in nodes:
            if node.frozen:
                continue
            if node.clock.awake_at_s <= self.clock.monotonic_s():
                node.plugin.watcher.watch_once()
                node.plugin.watcher.list_once()
            node.plugin.exchange_once()
        self.settle()

    def change(self, node, adopt=True):
        """Have a change accepted through `node`, as its operators' plug-in does."""
        head = Head.from_object(self.platform.head())
        if head.revision < node.revision:
            return None
        self.platform.written += 1
        spec = {"weight": float(self.platform.written)}
        head.revision = head.next_revision(self.clock.now())
        head.resources = {"team/t": {"spec": spec, "generation": head.revision}}
        written = self.platform.write(head)
        if adopt:
            node.plugin.adopt(written)
        return written.revision

    def restart(self, name):
        """Replace a daemon by one with empty memory."""
        old = self.nodes[name]
        node = self.nodes[name] = Node(self, name, old.domain, old.world.seeds(name))
        self.pending = [item for item in self.pending if item[0] is not old]
        node.plugin.settle_once()
        self.settle()
        return node

    def seeds(self, name):
        """Return addresses to start from: of daemons, of one daemon again, its own."""
        others = [n.control for n in self.nodes.values() if n.name != name]
        return [*others[:3], *self.aliases, self.addresses[name]]

    def in_force_s(self, revision, among=None):
        """Let time pass until `revision` is in force, and return the seconds."""
        start_s = self.clock.monotonic_s()
        waiting = [n for n in among or self.nodes.values() if not n.frozen]
        while any(node.revision < revision for node in waiting):
            self.tick()
            if self.clock.monotonic_s() - start_s > 120:
                return float("inf")
        return self.clock.monotonic_s() - start_s


class SpreadMachine(RuleBasedStateMachine):
    """Anything may break at any moment; nothing goes back, and all meet at last."""

    @initialize(seed=strategies.integers(0, 2**16), ends_blind=strategies.booleans())
    def build(self, seed, ends_blind):
        random.seed(seed)
        self.ends_blind = ends_blind
        self.world = World(domains=3, per_domain=3)
        self.seen = {}
        self.bodies = {}
        self.snapshot = 0

    def _node(self, number):
        return list(self.world.nodes.values())[number]

    @rule(number=strategies.integers(0, 8), adopt=strategies.booleans())
    def change(self, number, adopt):
        if not self.world.platform.down and not self._node(number).frozen:
            self.world.change(self._node(number), adopt)
        self.pass_time(1)

    @rule(ticks=strategies.integers(2, 6))
    def pass_time(self, ticks):
        for _ in range(ticks):
            self.world.tick()
            self.check()

    @rule(pair=strategies.sets(strategies.sampled_from(["d0", "d1", "d2"]), max_size=2))
    def cut(self, pair):
        if len(pair) == 2:
            self.world.cuts.add(frozenset(pair))

    @rule()
    def heal(self):
        self.world.cuts.clear()
        self.world.one_way.clear()
        self.world.cut_from_platform.clear()

    @rule(
        first=strategies.integers(0, 8),
        second=strategies.integers(0, 8),
        platform=strategies.booleans(),
    )
    def break_one_way(self, first, second, platform):
        self.world.one_way.add((self._node(first).name, self._node(second).name))
        if platform:
            self.world.cut_from_platform.add(self._node(first).name)

    @rule(every=strategies.sampled_from([0, 2, 3, 7]))
    def drop(self, every):
        self.world.drop_every = every

    @rule(state=strategies.sampled_from(["ok", "stale", "stale", "down"]))
    def platform(self, state):
        self.world.platform.down = state == "down"
        self.world.platform.stale = state == "stale"
        self.pass_time(1)

    @rule(number=strategies.integers(0, 8))
    def freeze_or_wake(self, number):
        node = self._node(number)
        node.frozen = not node.frozen
        self.pass_time(1)

    @rule(number=strategies.integers(0, 8))
    def restart(self, number):
        node = self.world.restart(self._node(number).name)
        self.seen.pop(node.name, None)

    @rule(back=strategies.integers(1, 3))
    def restore_platform(self, back):
        """The platform comes back from a backup, with older objects."""
        history = self.world.platform.history
        newest = max(node.revision for node in self.world.nodes.values())
        held = history and history[-1].value["revision"]
        if len(history) > back and held == newest:
            del history[-back:]
            self.pass_time(2)

    @invariant()
    def check(self):
        for node in getattr(self, "world", None) and self.world.nodes.values() or ():
            assert node.revision >= self.seen.get(node.name, 0), "went back"
            self.seen[node.name] = node.revision
            if node.revision:
                known = self.bodies.setdefault(node.revision, node.body)
                assert node.body == known, "two bodies of one revision"

    def teardown(self):
        if not hasattr(self, "world"):
            return
        world = self.world
        self.heal()
        self.drop(0)
        self.platform("down" if self.ends_blind else "ok")
        for node in world.nodes.values():
            node.frozen = False
        newest = max(node.revision for node in world.nodes.values())
        if not self.ends_blind:
            newest = max(newest, world.platform.head().value.get("revision", 0))
        assert world.in_force_s(newest) <= IN_FORCE_S
        self.check()
        assert {node.revision for node in world.nodes.values()} == {newest}


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    phases=[Phase.explicit, Phase.reuse, Phase.generate],
)


def _watchers(world, node):
    return node.plugin.membership.watchers[:WATCHERS_PER_DOMAIN]


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("trouble", ["none", "dead watchers", "cut domain"])
def test_in_force_within_5_s_with_the_platform_out_right_after_the_write(seed, trouble):
    random.seed(seed)
    world = World(domains=3, per_domain=8)
    first = world.change(world.nodes["d0-0"])
    assert world.in_force_s(first) <= IN_FORCE_S
    entry = next(
        node
        for node in world.nodes.values()
        if node.domain == "d0" and node.name not in _watchers(world, node)
    )
    if trouble == "dead watchers":
        for node in world.nodes.values():
            node.frozen = node.name in _watchers(world, node)
    reachable = list(world.nodes.values())
    if trouble == "cut domain":
        world.cuts |= {frozenset(("d0", "d2")), frozenset(("d1", "d2"))}
        reachable = [node for node in reachable if node.domain != "d2"]
    revision = world.change(entry)
    world.platform.down = True
    assert world.in_force_s(revision, reachable) <= IN_FORCE_S


@pytest.mark.parametrize("seed", range(8))
def test_standby_reads_for_a_cut_domain_whose_watchers_are_frozen(seed):
    random.seed(seed)
    world = World(domains=2, per_domain=8)
    world.in_force_s(world.change(world.nodes["d0-0"]))
    for _ in range(10):
        world.tick()
    world.cuts.add(frozenset(("d0", "d1")))
    away = [node for node in world.nodes.values() if node.domain == "d1"]
    for node in away:
        node.frozen = node.name in _watchers(world, node)
    revision = world.change(world.nodes["d0-0"])
    assert world.in_force_s(revision, away) <= IN_FORCE_S


def test_long_outage_keeps_most_daemons_away_from_the_platform():
    random.seed(1)
    world = World(domains=1, per_domain=40)
    world.in_force_s(world.change(world.nodes["d0-0"]))
    world.platform.down = True
    for _ in range(60):
        world.tick()
    world.asked.clear()
    for _ in range(20):
        world.tick()
    assert len(world.asked) < len(world.nodes) / 2


def test_new_daemon_takes_the_highest_of_platform_and_peers():
    random.seed(2)
    world = World(domains=2, per_domain=3)
    for _ in range(3):
        newest = world.change(world.nodes["d0-0"])
    world.in_force_s(newest)
    world.platform.stale = True
    node = world.restart("d1-1")
    assert (node.plugin.settled, node.revision) == (True, newest)
    world.platform.down = True
    node = world.restart("d1-1")
    assert (node.plugin.settled, node.revision) == (True, newest)


def test_new_daemon_that_meets_a_single_stale_peer_is_not_ready_at_once():
    random.seed(3)
    world = World(domains=1, per_domain=5)
    world.in_force_s(world.change(world.nodes["d0-0"]))
    stale = world.nodes["d0-1"]
    stale.frozen = True
    newest = world.change(world.nodes["d0-0"])
    world.in_force_s(newest)
    world.platform.down = True
    stale.frozen = False
    others = [node for node in world.nodes.values() if node is not stale]
    for node in others:
        node.frozen = True
    world.aliases[stale.control.replace("8081", "9081")] = stale
    node = world.restart("d0-2")
    assert not node.plugin.ready()
    for other in others:
        other.frozen = False
    world.clock.advance(3)
    node.plugin.settle_once()
    world.settle()
    assert (node.plugin.ready(), node.revision) == (True, newest)


def test_unreadable_body_is_refused_whole_and_a_failing_listener_stops_nothing():
    documents = Documents(ManualClock())
    heard = []

    def fail(document):
        raise RuntimeError("on purpose")

    documents.subscribe(CONFIGURATION, fail)
    documents.subscribe(CONFIGURATION, lambda document: heard.append(document.revision))
    good = json.dumps({"resources": {"team/a": {"spec": {}, "generation": 1}}})
    bad = json.dumps({"resources": {"team/a": {"spec": {}}, "team/b": {"spec": 3}}})
    assert documents.offer(CONFIGURATION, 1, good.encode())
    assert not documents.offer(CONFIGURATION, 2, bad.encode())
    assert not documents.offer_packed(CONFIGURATION, 3, b"no zlib")
    held = documents.get(CONFIGURATION)
    assert (held.revision, held.body, heard) == (1, good.encode(), [1])


def test_change_onto_a_restored_platform_shares_no_revision_with_what_was_lost():
    random.seed(4)
    world = World(domains=2, per_domain=3)
    world.in_force_s(world.change(world.nodes["d0-0"]))
    kept = list(world.platform.history)
    lost = world.change(world.nodes["d0-0"])
    world.in_force_s(lost)
    world.platform.history = kept
    world.cuts.add(frozenset(("d0", "d1")))
    for name in ("d1-0", "d1-1", "d1-2"):
        world.nodes[name].frozen = True
    alone = world.restart("d1-0")
    assert alone.revision < lost
    newest = world.change(alone)
    assert newest > lost
    for node in world.nodes.values():
        node.frozen = False
    world.cuts.clear()
    assert world.in_force_s(newest) <= IN_FORCE_S
    assert len({node.body for node in world.nodes.values()}) == 1
