"""Chunks at entries: downloaded once from the origin, verified, and served to peers."""

import time

import gevent
import pytest

from briarbeam.catalog import WeightSource
from briarbeam.distribution.chunks import CachedVersion, ChunkCache
from briarbeam.distribution.errors import ChunkUnavailableError
from briarbeam.distribution.peer_server import PeerServer
from briarbeam.distribution.ranking import rank_entries
from briarbeam.kernel.network import Address

from .distribution_fakes import (
    CHUNK_COUNT,
    MODEL,
    ORIGIN,
    FakeNetwork,
    FakeOrigin,
    Reply,
    chunk,
)

SOURCE = WeightSource(ORIGIN, "z1")
ENTRIES = {("10.0.0.1", "z1"), ("10.0.0.2", "z1"), ("10.0.1.1", "z2")}


def build(network, host, failure_domain, holders=()):
    address = Address(host, 77)
    store = ChunkCache(
        network,
        address,
        failure_domain,
        lambda: SOURCE,
        lambda: ENTRIES,
        lambda model, version: holders if version == 1 else (),
        lambda model, version: None,
    )
    network.stores.append(store)
    server = PeerServer(Address("127.0.0.1", 0), store)

    def handle(request):
        try:
            return Reply(200, server._answer(request.path))
        except ChunkUnavailableError as error:
            return Reply(error.status)

    network.handlers[address] = handle
    return store


@pytest.fixture
def network():
    network = FakeNetwork()
    network.handlers[ORIGIN] = FakeOrigin()
    network.stores = []
    yield network
    # Downloads would continue after the test until they have their chunks.
    for store in network.stores:
        gevent.killall([cached.task for cached in store._cached_versions.values()])


def all_chunks(store, version=2):
    return [store.get_chunk(MODEL, version, n, 2.0) for n in range(CHUNK_COUNT)]


def test_three_entries_download_one_copy_from_the_origin(network):
    stores = [build(network, host, domain) for host, domain in sorted(ENTRIES)]
    tasks = [gevent.spawn(all_chunks, store) for store in stores]
    expected = [chunk(2, n) for n in range(CHUNK_COUNT)]
    assert [task.get(timeout=5) for task in tasks] == [expected] * 3
    assert network.count(ORIGIN, "/-/piece/") == CHUNK_COUNT


def test_corrupt_chunk_is_downloaded_again_and_never_served(network):
    network.handlers[ORIGIN].corrupt = {0, 3}
    store = build(network, "10.0.1.1", "z2")
    for host in ("10.0.0.1", "10.0.0.2"):
        build(network, host, "z1")
    assert all_chunks(store) == [chunk(2, n) for n in range(CHUNK_COUNT)]


def test_entry_downloads_from_the_origin_if_no_peer_can_be_reached(network):
    store = build(network, "10.0.1.1", "z2")
    assert all_chunks(store) == [chunk(2, n) for n in range(CHUNK_COUNT)]


def test_peer_that_waits_for_the_origin_is_not_taken_as_failed(network):
    """A second entry that then used the origin too would halve the rate of its link."""
    origin = network.handlers[ORIGIN]
    stores = [build(network, host, domain) for host, domain in sorted(ENTRIES)]
    for store in stores:
        store.get_manifest(MODEL, 2)
    origin.down = True
    tasks = [gevent.spawn(store.get_chunk, MODEL, 2, 0, 4.0) for store in stores]
    gevent.sleep(1.5)
    origin.down = False
    assert [task.get(timeout=4) for task in tasks] == [chunk(2, 0)] * 3
    tasks = [gevent.spawn(store.get_chunk, MODEL, 2, 7, 4.0) for store in stores]
    assert [task.get(timeout=4) for task in tasks] == [chunk(2, 7)] * 3
    gevent.sleep(0.3)
    assert network.count(ORIGIN, "/-/piece/m?num=7") == 1


def test_downloads_are_spread_over_all_entries_without_duplicates(network):
    """The link of a single entry is too narrow for all engines of a failure domain."""
    stores = [build(network, host, domain) for host, domain in sorted(ENTRIES)]
    tasks = [gevent.spawn(store.prefetch, MODEL, 2) for store in stores]
    gevent.joinall(tasks, timeout=5, raise_error=True)
    gevent.sleep(0.3)
    held = [set(store._cached_versions[MODEL, 2].chunks) for store in stores]
    assert held[0] | held[1] == held[2] == set(range(CHUNK_COUNT))
    assert held[0] and held[1] and not held[0] & held[1]
    assert network.count(ORIGIN, "/-/piece/") == CHUNK_COUNT


def test_entry_that_is_asked_for_one_chunk_downloads_its_whole_share(network):
    stores = [build(network, host, domain) for host, domain in sorted(ENTRIES)]
    stores[2].get_chunk(MODEL, 2, 0, 2.0)
    gevent.sleep(0.3)
    assert set(stores[2]._cached_versions[MODEL, 2].chunks) == set(range(CHUNK_COUNT))


def test_version_that_is_mostly_downloaded_is_completed_before_a_newer_one():
    """Otherwise neither is ever complete if the origin becomes unreachable in between."""
    older, newer = CachedVersion(MODEL, 2), CachedVersion(MODEL, 3)
    older.add_wanted(range(8))
    for number in range(5):
        older.add(number, b"")
    newer.add_wanted(range(8))
    left_s = {2: 8.0}
    store = ChunkCache(
        None,
        Address("10.0.0.1", 77),
        "z1",
        None,
        None,
        None,
        lambda model, version: left_s[version],
    )
    store._cached_versions = {(MODEL, 2): older, (MODEL, 3): newer}
    assert not store._is_preempted(older)
    # Too late to be of use: the newer version is required before the older one could serve,
    # however recently this entry learned of it.
    left_s[2] = 2.0
    assert store._is_preempted(older)
    left_s[2] = 8.0
    older.chunks.pop(4)
    older.chunks.pop(3)
    assert store._is_preempted(older)


def test_neighbour_that_waits_for_the_manifest_is_not_avoided(network):
    """If it were, its chunks would be downloaded from the origin a second time."""
    network.handlers[ORIGIN].down = True
    stores = [build(network, host, domain) for host, domain in sorted(ENTRIES)]
    tasks = [gevent.spawn(store.get_manifest, MODEL, 2, 3.0) for store in stores]
    gevent.sleep(0.9)
    avoided = [peer for store in stores for peer in store._avoid_until_s]
    network.handlers[ORIGIN].down = False
    assert avoided == []
    assert all(task.get(timeout=3).version == 2 for task in tasks)


def test_peer_does_not_wait_long_for_an_origin_that_is_away(network):
    store = build(network, "10.0.0.1", "z1")
    store.get_manifest(MODEL, 2, 1.0)
    network.handlers[ORIGIN].down = True
    with pytest.raises(ChunkUnavailableError):
        store.get_chunk(MODEL, 2, 0)
    started_s = time.monotonic()
    with pytest.raises(ChunkUnavailableError):
        store.get_chunk(MODEL, 2, 1)
    assert time.monotonic() - started_s < 0.3


def test_no_chunk_in_time_is_a_typed_error(network):
    network.handlers[ORIGIN].down = True
    store = build(network, "10.0.0.1", "z1")
    with pytest.raises(ChunkUnavailableError):
        store.get_chunk(MODEL, 2, 0, 0.05)


def test_newest_versions_are_kept_and_older_ones_dropped(network):
    store = build(network, "10.0.0.1", "z1")
    for version in (1, 2, 3, 4):
        store.get_chunk(MODEL, version, 0, 2.0)
    assert sorted(version for _, version in store._cached_versions) == [2, 3, 4]


def test_rank_is_the_same_for_all_and_stable_when_an_entry_leaves():
    subject = "m/2"
    hosts = [(f"10.0.0.{n}", "z1") for n in range(9)]
    ranked = rank_entries(hosts, "z1", subject)
    assert ranked == rank_entries(reversed(hosts), "z1", subject)
    without = [entry for entry in hosts if entry[0] != ranked[3]]
    assert rank_entries(without, "z1", subject) == ranked[:3] + ranked[4:]


def test_version_that_local_engines_hold_comes_from_their_stagers(network):
    """Traffic between regions and from the origin is charged for; local traffic is not."""
    network.handlers[Address("10.0.1.5", 77)] = lambda request: Reply(
        200, chunk(1, int(request.path.rsplit("/", 1)[1]))
    )
    network.handlers[Address("10.0.1.7", 77)] = network.handlers[
        Address("10.0.1.5", 77)
    ]
    network.handlers[Address("10.0.1.6", 77)] = lambda request: Reply(200, b"rotten")
    holders = ("10.0.1.5", "10.0.1.6", "10.0.1.7")
    store = build(network, "10.0.1.1", "z2", holders=holders)
    assert all_chunks(store, 1) == [chunk(1, n) for n in range(CHUNK_COUNT)]
    assert network.count(ORIGIN, "/-/piece/") == 0


def test_origin_is_used_if_holders_have_nothing_staged(network):
    for host in ("10.0.1.5", "10.0.1.6"):
        network.handlers[Address(host, 77)] = lambda request: Reply(503)
    store = build(network, "10.0.1.1", "z2", holders=("10.0.1.5", "10.0.1.6"))
    assert all_chunks(store, 1) == [chunk(1, n) for n in range(CHUNK_COUNT)]
