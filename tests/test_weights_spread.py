"""Distribution of a version under faults: bytes from the origin and on each link."""

import pytest

from briarbeam.kernel.clock import ManualClock
from briarbeam.weights.bitmap import Bitmap
from briarbeam.weights.peers import Peers
from briarbeam.weights.plan import Plan

from .weights_fakes import World

CHUNKS = 64
LIMIT_S = 600
PAYLOAD_BYTES = CHUNKS * 10_000


def _distribute(world, published, disturb=None, at_fraction=0.0):
    """Distribute a version and check that every live target holds it.

    :param disturb: called with the world once targets hold `at_fraction` on average.
    """
    world.fetch_all(published)
    if disturb is not None:
        assert world.clock.run(
            lambda: world.held_fraction(published) >= at_fraction, LIMIT_S
        )
        disturb(world)
    done = world.clock.run(lambda: world.all_hold(published), LIMIT_S)
    world.stop()
    assert done, "a live target does not hold the version"
    for node in world.live_nodes():
        for chunk in published[1].chunks:
            assert node.store.get(chunk.digest) == world.blobs[chunk.digest]


def _check_bytes(world, origin_copies, link_copies):
    """Check the bytes that the fake network counted against bounds.

    :param origin_copies: the most copies of the version that the origin may send.
    :param link_copies: the most copies that one target may send and receive together.
    """
    assert world.origin_bytes <= origin_copies * PAYLOAD_BYTES
    moved = [node.in_bytes + node.out_bytes for node in world.live_nodes()]
    assert max(moved) <= link_copies * PAYLOAD_BYTES


@pytest.mark.parametrize("regions", [{"a": 3, "b": 5}, {"a": 12}])
def test_origin_sends_one_copy_per_region_and_each_link_carries_two(regions):
    world = World(regions)
    _distribute(world, world.publish("v1", CHUNKS))
    _check_bytes(world, 2, 2.06)


@pytest.mark.parametrize("share", [0.1, 0.5, 0.9])
def test_target_that_sends_chunks_is_killed(share):
    world = World({"a": 8, "b": 4})

    def kill(world):
        world.nodes["a-3"].dead = True
        world.nodes["a-3"].stop()

    _distribute(world, world.publish("v1", CHUNKS), kill, share)
    _check_bytes(world, 2.4, 2.2)


def test_peer_that_always_sends_corrupt_chunks():
    world = World({"a": 8})
    world.nodes["a-2"].corrupts = True
    _distribute(world, world.publish("v1", CHUNKS))
    _check_bytes(world, 1.4, 2.2)


def test_link_that_stalls_without_closing():
    world = World({"a": 8})

    def stall(world):
        world.nodes["a-1"].stalled = True

    published = world.publish("v1", CHUNKS)
    world.fetch_all(published)
    world.clock.run(lambda: world.held_fraction(published) >= 0.3, LIMIT_S)
    stall(world)
    others = [node for node in world.live_nodes() if node.member.name != "a-1"]
    assert world.clock.run(
        lambda: all(node.library.is_complete(published[0]) for node in others), LIMIT_S
    )
    world.nodes["a-1"].stalled = False
    assert world.clock.run(lambda: world.all_hold(published), LIMIT_S)
    world.stop()
    _check_bytes(world, 1.4, 2.2)


@pytest.mark.parametrize("mode", ["down", "dead", "silent", "short", "corrupt"])
def test_origin_that_fails_for_a_while(mode):
    world = World({"a": 4, "b": 4})
    published = world.publish("v1", CHUNKS)
    world.fetch_all(published)
    world.clock.run(lambda: world.held_fraction(published) >= 0.1, LIMIT_S)
    world.origin_mode = mode
    world.clock.run(lambda: False, 30.0)
    refused_bytes = world.origin_bytes
    world.origin_mode = "ok"
    assert world.clock.run(lambda: world.all_hold(published), LIMIT_S)
    world.stop()
    assert world.origin_bytes <= 2.4 * PAYLOAD_BYTES + (
        refused_bytes if mode in ("short", "corrupt") else 0
    )


def test_other_region_with_the_version_replaces_a_dead_origin():
    world = World({"a": 4, "b": 4})
    published = world.publish("v1", CHUNKS)
    for node in world.nodes.values():
        if node.member.region == "a":
            node.fetch(published[0], published[1].weights_digest)
    holders = [node for node in world.live_nodes() if node.member.region == "a"]
    assert world.clock.run(
        lambda: all(node.library.is_complete(published[0]) for node in holders), LIMIT_S
    )
    drawn_bytes = world.origin_bytes
    world.origin_mode = "dead"
    _distribute(world, published)
    assert world.origin_bytes == drawn_bytes
    sent = sum(node.out_bytes for node in holders) - 3 * PAYLOAD_BYTES
    assert sent <= 1.1 * PAYLOAD_BYTES


def test_instance_lists_that_lag():
    """Some targets don't list a new member, and all list two dead ones."""
    world = World({"a": 10})
    for name in ("a-4", "a-5"):
        world.nodes[name].dead = True
    stale = [member for member in world.members() if member.name != "a-9"]
    for number in range(4):
        world.nodes[f"a-{number}"].listed_members = stale
    _distribute(world, world.publish("v1", CHUNKS))
    _check_bytes(world, 1.4, 2.2)


def test_target_with_empty_memory_joins_late_and_draws_nothing():
    world = World({"a": 6})
    published = world.publish("v1", CHUNKS)
    _distribute(world, published)
    drawn_bytes = world.origin_bytes
    late_node = world.nodes["a-0"]
    late_node.store.keep_only(())
    late_node.library.keep_only(())
    late_node.fetch(published[0], published[1].weights_digest)
    assert world.clock.run(lambda: late_node.library.is_complete(published[0]), LIMIT_S)
    world.stop()
    assert world.origin_bytes == drawn_bytes


def test_owners_have_equal_shares_and_few_chunks_move_when_a_target_leaves():
    names = [f"t{number}" for number in range(40)]
    plan = Plan("key", "t0", names, 400)
    owners = [plan.owner(index) for index in range(400)]
    assert max(owners.count(name) for name in names) == 10
    smaller = Plan("key", "t0", names[:-1], 400)
    moved = sum(smaller.owner(index) != owners[index] for index in range(400))
    assert moved <= 100


def test_failure_of_the_own_link_does_not_exclude_the_peers():
    """Guards against excluding all peers because this target's own link failed.

    A peer that sent corrupt data stays excluded, and so does a single failed peer.
    """
    clock = ManualClock()
    peers = Peers(clock, "own", ["a", "b", "c", "d"])
    peers.record_failure("a")
    peers.update_holdings("b", Bitmap())
    assert not peers.is_usable("a")
    for name in ("a", "b", "c"):
        peers.record_failure(name)
    peers.quarantine("d")
    peers.update_holdings("c", Bitmap())
    assert [name for name in "abcd" if peers.is_usable(name)] == ["a", "b", "c"]


def test_replaced_target_does_not_exceed_the_bound_of_its_link():
    """Guards against a replacement with a full send budget.

    It receives again what its predecessor had received, so it has to send less.
    """
    world = World({"a": 8})
    published = world.publish("v1", CHUNKS)
    replaced = world.nodes["a-2"]

    def replace(world):
        replaced.stop()
        replaced.store.keep_only(())
        replaced.library.keep_only(())
        replaced.serving.keep_only(())
        replaced.fetch(published[0], published[1].weights_digest)

    _distribute(world, published, replace, 0.5)
    _check_bytes(world, 1.4, 2.2)
