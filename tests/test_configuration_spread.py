"""Configuration reaches every daemon and its revision never decreases, under faults.

The daemons are real plug-ins with a fake network and a manual clock.
"""

import json
import random
from itertools import combinations, product

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from briarbeam.configuration.documents import CONFIGURATION, Documents
from briarbeam.configuration.spread import SYNC_TIMEOUT_S
from briarbeam.configuration.watcher import WATCHERS_PER_DOMAIN
from briarbeam.kernel.clock import ManualClock
from briarbeam.membership.view import EPOCH_S

from .spread_fakes import World

IN_FORCE_S = 5.0


class SpreadMachine(RuleBasedStateMachine):
    """Faults come at any time; no revision decreases, and all daemons converge."""

    @initialize(
        seed=strategies.integers(0, 2**16), ends_with_outage=strategies.booleans()
    )
    def build(self, seed, ends_with_outage):
        random.seed(seed)
        self.ends_with_outage = ends_with_outage
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
        """Restore the platform from a backup, with older objects."""
        history = self.world.platform.history
        newest = max(node.revision for node in self.world.nodes.values())
        held = history and history[-1].value["revision"]
        if len(history) > back and held == newest:
            del history[-back:]
            self.pass_time(2)

    @invariant()
    def check(self):
        for node in getattr(self, "world", None) and self.world.nodes.values() or ():
            assert node.revision >= self.seen.get(node.name, 0), "revision decreased"
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
        self.platform("down" if self.ends_with_outage else "ok")
        for node in world.nodes.values():
            node.frozen = False
        newest = max(node.revision for node in world.nodes.values())
        if not self.ends_with_outage:
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
@pytest.mark.parametrize("fault", ["none", "dead watchers", "cut domain"])
def test_in_force_within_5_s_although_the_platform_goes_down_after_the_write(
    seed, fault
):
    random.seed(seed)
    world = World(domains=3, per_domain=8)
    first = world.change(world.nodes["d0-0"])
    assert world.in_force_s(first) <= IN_FORCE_S
    entry = next(
        node
        for node in world.nodes.values()
        if node.domain == "d0" and node.name not in _watchers(world, node)
    )
    if fault == "dead watchers":
        for node in world.nodes.values():
            node.frozen = node.name in _watchers(world, node)
    reachable = list(world.nodes.values())
    if fault == "cut domain":
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
    cut_off_nodes = [node for node in world.nodes.values() if node.domain == "d1"]
    for node in cut_off_nodes:
        node.frozen = node.name in _watchers(world, node)
    revision = world.change(world.nodes["d0-0"])
    assert world.in_force_s(revision, cut_off_nodes) <= IN_FORCE_S


@pytest.mark.parametrize("seed", range(8))
def test_push_to_a_peer_that_does_not_answer_is_repeated_with_another(seed):
    random.seed(seed)
    world = World(domains=1, per_domain=8)
    world.in_force_s(world.change(world.nodes["d0-0"]))
    writer = world.nodes["d0-0"]
    awake, *frozen = writer.plugin.membership.choose_peers(8, 0)
    for member in frozen:
        world.nodes[member.name].frozen = True
    revision = world.change(writer)
    world.run_pending()
    assert world.nodes[awake.name].revision == revision


def test_long_outage_keeps_most_daemons_away_from_the_platform():
    random.seed(1)
    world = World(domains=1, per_domain=40)
    world.in_force_s(world.change(world.nodes["d0-0"]))
    world.platform.down = True
    for _ in range(60):
        world.tick()
    world.platform_callers.clear()
    for _ in range(20):
        world.tick()
    assert len(world.platform_callers) < len(world.nodes) / 2


def test_new_daemon_applies_the_highest_revision_of_platform_and_peers():
    random.seed(2)
    world = World(domains=2, per_domain=3)
    for _ in range(3):
        newest = world.change(world.nodes["d0-0"])
    world.in_force_s(newest)
    world.platform.stale = True
    node = world.restart("d1-1")
    assert (node.plugin.synced, node.revision) == (True, newest)
    world.platform.down = True
    node = world.restart("d1-1")
    assert (node.plugin.synced, node.revision) == (True, newest)


def test_new_daemon_whose_peers_are_frozen_does_not_apply_a_stale_read():
    random.seed(4)
    world = World(domains=2, per_domain=3)
    for _ in range(3):
        newest = world.change(world.nodes["d0-0"])
    world.in_force_s(newest)
    world.platform.stale = True
    for node in world.nodes.values():
        node.frozen = node.name != "d1-1"
    node = world.restart("d1-1")
    assert (node.plugin.synced, node.revision) == (False, 0)
    for node in world.nodes.values():
        node.frozen = False
    world.clock.advance(1)
    node = world.nodes["d1-1"]
    node.plugin.sync_once()
    world.run_pending()
    assert (node.plugin.synced, node.revision) == (True, newest)


def test_new_daemon_that_knows_only_itself_and_one_peer_does_not_wait_for_more():
    random.seed(6)
    world = World(domains=1, per_domain=2)
    newest = world.change(world.nodes["d0-0"])
    world.in_force_s(newest)
    node = world.restart("d0-1")
    assert (node.plugin.synced, node.revision) == (True, newest)
    world = World(domains=1, per_domain=1)
    newest = world.change(world.nodes["d0-0"])
    world.aliases["127.1.0.1:9081"] = world.nodes["d0-0"]
    node = world.restart("d0-0")
    world.aliases["127.1.0.1:9081"] = node
    node.plugin.sync_once()
    assert (node.plugin.synced, node.revision) == (True, newest)


def test_first_daemon_of_a_new_site_does_not_wait_for_its_peers():
    random.seed(7)
    world = World(domains=1, per_domain=3)
    for node in world.nodes.values():
        node.frozen = node.name != "d0-1"
    assert world.restart("d0-1").plugin.synced


def test_new_daemon_without_answering_peers_syncs_from_the_platform_after_the_timeout():
    random.seed(5)
    world = World(domains=1, per_domain=3)
    newest = world.change(world.nodes["d0-0"])
    world.in_force_s(newest)
    for node in world.nodes.values():
        node.frozen = node.name != "d0-1"
    node = world.restart("d0-1")
    assert not node.plugin.synced
    world.clock.advance(SYNC_TIMEOUT_S + 1)
    node.plugin.sync_once()
    assert (node.plugin.synced, node.revision) == (True, newest)


def test_new_daemon_that_reaches_a_single_stale_peer_is_not_ready_immediately():
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
    node.plugin.sync_once()
    world.run_pending()
    assert (node.plugin.ready(), node.revision) == (True, newest)


def test_malformed_body_is_refused_and_a_failing_listener_does_not_stop_others():
    documents = Documents(ManualClock())
    received = []

    def fail(document):
        raise RuntimeError("on purpose")

    documents.subscribe(CONFIGURATION, fail)
    documents.subscribe(
        CONFIGURATION, lambda document: received.append(document.revision)
    )
    good = json.dumps({"resources": {"team/a": {"spec": {}, "generation": 1}}})
    bad = json.dumps({"resources": {"team/a": {"spec": {}}, "team/b": {"spec": 3}}})
    assert documents.offer(CONFIGURATION, 1, good.encode())
    assert not documents.offer(CONFIGURATION, 2, bad.encode())
    assert not documents.offer_compressed(CONFIGURATION, 3, b"no zlib")
    held = documents.get(CONFIGURATION)
    assert (held.revision, held.body, received) == (1, good.encode(), [1])


def test_change_after_a_restore_does_not_reuse_the_revision_of_a_lost_change():
    """Guards against two bodies of one revision, which daemons can't tell apart."""
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
    isolated = world.restart("d1-0")
    assert isolated.revision < lost
    newest = world.change(isolated)
    assert newest > lost
    for node in world.nodes.values():
        node.frozen = False
    world.cuts.clear()
    assert world.in_force_s(newest) <= IN_FORCE_S
    assert len({node.body for node in world.nodes.values()}) == 1


def _neighbours_in_other_domain(world):
    """Return, by name, each daemon's neighbour in the other failure domain."""
    return {
        name: node.plugin.membership.choose_peers(0, 1)[0].name
        for name, node in world.nodes.items()
    }


def _halves(names):
    return [set(chosen) for chosen in combinations(sorted(names), len(names) // 2)]


def _world_with_frozen_neighbours():
    """Return a `World` of two failure domains with half of each frozen.

    Each other daemon's only neighbour in the other domain is a frozen one.
    """
    world = World(domains=2, per_domain=4)
    domains = [[n for n in world.nodes if n.startswith(d)] for d in ("d0-", "d1-")]
    while True:
        first = _neighbours_in_other_domain(world)
        for halves in product(*map(_halves, domains)):
            frozen = set.union(*halves)
            if all(first[name] in frozen for name in set(world.nodes) - frozen):
                for name in frozen:
                    world.nodes[name].frozen = True
                return world
        world.clock.advance(EPOCH_S)


@pytest.mark.parametrize("seed", range(8))
def test_frozen_neighbour_in_another_domain_does_not_block_a_change(seed):
    """Guards against a daemon that contacts the same frozen neighbour forever.

    The neighbour's pause had ended each time before the next exchange with its failure
    domain.
    """
    random.seed(seed)
    world = _world_with_frozen_neighbours()
    awake = [node for node in world.nodes.values() if not node.frozen]
    revision = world.change(awake[0])
    world.platform.down = True
    world.run_pending()
    assert world.in_force_s(revision, awake) <= IN_FORCE_S
