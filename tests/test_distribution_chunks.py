"""Tests that entries download chunks once, verify them and serve them to peers."""

import time

import gevent
import pytest

from briarbeam.catalog import WeightOrigin
from briarbeam.distribution.cached_version import CachedVersion
from briarbeam.distribution.chunks import ChunkCache
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

WEIGHT_ORIGIN = WeightOrigin(ORIGIN, "z1")
ENTRIES = {("10.0.0.1", "z1"), ("10.0.0.2", "z1"), ("10.0.1.1", "z2")}


def build_cache(network, host, failure_domain, holders=()):
    address = Address(host, 77)
    cache = ChunkCache(
        network,
        address,
        failure_domain,
        lambda: WEIGHT_ORIGIN,
        lambda: ENTRIES,
        lambda model, version: holders if version == 1 else (),
        lambda model, version: None,
    )
    network.caches.append(cache)
    server = PeerServer(Address("127.0.0.1", 0), cache)

    def handle(request):
        try:
            return Reply(200, server._get_content(request.path))
        except ChunkUnavailableError as error:
            return Reply(error.status)

    network.handlers[address] = handle
    return cache


@pytest.fixture
def network():
    network = FakeNetwork()
    network.handlers[ORIGIN] = FakeOrigin()
    network.caches = []
    yield network
    # Without this, downloads would continue after the test.
    for cache in network.caches:
        gevent.killall([cached.task for cached in cache._cached_versions.values()])


def all_chunks(cache, version=2):
    return [cache.get_chunk(MODEL, version, n, 2.0) for n in range(CHUNK_COUNT)]


def test_three_entries_download_one_copy_from_the_origin(network):
    caches = [build_cache(network, host, domain) for host, domain in sorted(ENTRIES)]
    tasks = [gevent.spawn(all_chunks, cache) for cache in caches]
    expected = [chunk(2, n) for n in range(CHUNK_COUNT)]
    assert [task.get(timeout=5) for task in tasks] == [expected] * 3
    assert network.count(ORIGIN, "/-/piece/") == CHUNK_COUNT


def test_corrupt_chunk_is_downloaded_again_and_never_served(network):
    network.handlers[ORIGIN].corrupt = {0, 3}
    cache = build_cache(network, "10.0.1.1", "z2")
    for host in ("10.0.0.1", "10.0.0.2"):
        build_cache(network, host, "z1")
    assert all_chunks(cache) == [chunk(2, n) for n in range(CHUNK_COUNT)]


def test_entry_downloads_from_the_origin_if_no_peer_can_be_reached(network):
    cache = build_cache(network, "10.0.1.1", "z2")
    assert all_chunks(cache) == [chunk(2, n) for n in range(CHUNK_COUNT)]


def test_peer_that_waits_for_the_origin_is_not_avoided(network):
    """If it were, a second entry would use the origin too and halve its link's rate."""
    origin = network.handlers[ORIGIN]
    caches = [build_cache(network, host, domain) for host, domain in sorted(ENTRIES)]
    for cache in caches:
        cache.get_manifest(MODEL, 2)
    origin.down = True
    tasks = [gevent.spawn(cache.get_chunk, MODEL, 2, 0, 4.0) for cache in caches]
    gevent.sleep(1.5)
    origin.down = False
    assert [task.get(timeout=4) for task in tasks] == [chunk(2, 0)] * 3
    tasks = [gevent.spawn(cache.get_chunk, MODEL, 2, 7, 4.0) for cache in caches]
    assert [task.get(timeout=4) for task in tasks] == [chunk(2, 7)] * 3
    gevent.sleep(0.3)
    assert network.count(ORIGIN, "/-/piece/m?num=7") == 1


def test_downloads_are_spread_over_all_entries_without_duplicates(network):
    """The link of a single entry is too slow for all engines of a failure domain."""
    caches = [build_cache(network, host, domain) for host, domain in sorted(ENTRIES)]
    tasks = [gevent.spawn(cache.prefetch, MODEL, 2) for cache in caches]
    gevent.joinall(tasks, timeout=5, raise_error=True)
    gevent.sleep(0.3)
    held = [set(cache._cached_versions[MODEL, 2].chunks) for cache in caches]
    assert held[0] | held[1] == held[2] == set(range(CHUNK_COUNT))
    assert held[0] and held[1] and not held[0] & held[1]
    assert network.count(ORIGIN, "/-/piece/") == CHUNK_COUNT


def test_request_for_one_chunk_starts_the_download_of_the_whole_share(network):
    """Without it, each chunk would be downloaded only after the one before was sent."""
    caches = [build_cache(network, host, domain) for host, domain in sorted(ENTRIES)]
    caches[2].get_chunk(MODEL, 2, 0, 2.0)
    gevent.sleep(0.3)
    assert set(caches[2]._cached_versions[MODEL, 2].chunks) == set(range(CHUNK_COUNT))


def test_version_that_is_mostly_downloaded_is_completed_before_a_newer_one():
    """Otherwise neither would be complete if the origin became unreachable."""
    older, newer = CachedVersion(MODEL, 2), CachedVersion(MODEL, 3)
    older.add_wanted(range(8))
    for number in range(5):
        older.add(number, b"")
    newer.add_wanted(range(8))
    left_s = {2: 8.0}
    cache = ChunkCache(
        None,
        Address("10.0.0.1", 77),
        "z1",
        None,
        None,
        None,
        lambda model, version: left_s[version],
    )
    cache._cached_versions = {(MODEL, 2): older, (MODEL, 3): newer}
    assert not cache._is_preempted(older)
    # The older version is no longer of use: the newer one is required before the older
    # one could serve, however recently this entry learned of the newer one.
    left_s[2] = 2.0
    assert cache._is_preempted(older)
    left_s[2] = 8.0
    older.chunks.pop(4)
    older.chunks.pop(3)
    assert cache._is_preempted(older)


def test_neighbour_that_waits_for_the_manifest_is_not_avoided(network):
    """If it were, its chunks would be downloaded from the origin a second time."""
    network.handlers[ORIGIN].down = True
    caches = [build_cache(network, host, domain) for host, domain in sorted(ENTRIES)]
    tasks = [gevent.spawn(cache.get_manifest, MODEL, 2, 3.0) for cache in caches]
    gevent.sleep(0.9)
    avoided = [peer for cache in caches for peer in cache._avoid_until_s]
    network.handlers[ORIGIN].down = False
    assert avoided == []
    assert all(task.get(timeout=3).version == 2 for task in tasks)


def test_peer_does_not_wait_long_for_an_unreachable_origin(network):
    cache = build_cache(network, "10.0.0.1", "z1")
    cache.get_manifest(MODEL, 2, 1.0)
    network.handlers[ORIGIN].down = True
    with pytest.raises(ChunkUnavailableError):
        cache.get_chunk(MODEL, 2, 0)
    started_s = time.monotonic()
    with pytest.raises(ChunkUnavailableError):
        cache.get_chunk(MODEL, 2, 1)
    assert time.monotonic() - started_s < 0.3


def test_chunk_that_is_not_downloaded_in_time_is_a_typed_error(network):
    network.handlers[ORIGIN].down = True
    cache = build_cache(network, "10.0.0.1", "z1")
    with pytest.raises(ChunkUnavailableError):
        cache.get_chunk(MODEL, 2, 0, 0.05)


def test_newest_versions_are_kept_and_older_ones_dropped(network):
    cache = build_cache(network, "10.0.0.1", "z1")
    for version in (1, 2, 3, 4):
        cache.get_chunk(MODEL, version, 0, 2.0)
    assert sorted(version for _, version in cache._cached_versions) == [2, 3, 4]


def test_rank_does_not_depend_on_list_order_and_is_stable_when_an_entry_leaves():
    subject = "m/2"
    hosts = [(f"10.0.0.{n}", "z1") for n in range(9)]
    ranked = rank_entries(hosts, "z1", subject)
    assert ranked == rank_entries(reversed(hosts), "z1", subject)
    without = [entry for entry in hosts if entry[0] != ranked[3]]
    assert rank_entries(without, "z1", subject) == ranked[:3] + ranked[4:]


def test_version_that_local_engines_hold_comes_from_their_stagers(network):
    """Traffic between regions and from the origin is billed; local traffic is not."""
    network.handlers[Address("10.0.1.5", 77)] = lambda request: Reply(
        200, chunk(1, int(request.path.rsplit("/", 1)[1]))
    )
    network.handlers[Address("10.0.1.7", 77)] = network.handlers[
        Address("10.0.1.5", 77)
    ]
    network.handlers[Address("10.0.1.6", 77)] = lambda request: Reply(200, b"rotten")
    holders = ("10.0.1.5", "10.0.1.6", "10.0.1.7")
    cache = build_cache(network, "10.0.1.1", "z2", holders=holders)
    assert all_chunks(cache, 1) == [chunk(1, n) for n in range(CHUNK_COUNT)]
    assert network.count(ORIGIN, "/-/piece/") == 0


def test_origin_is_used_if_holders_have_nothing_staged(network):
    for host in ("10.0.1.5", "10.0.1.6"):
        network.handlers[Address(host, 77)] = lambda request: Reply(503)
    cache = build_cache(network, "10.0.1.1", "z2", holders=("10.0.1.5", "10.0.1.6"))
    assert all_chunks(cache, 1) == [chunk(1, n) for n in range(CHUNK_COUNT)]
