"""Tests of manifests that arrive corrupt, at entries and at stagers."""

import json

import gevent
import pytest
from hypothesis import given, strategies

from briarbeam.distribution.version_digests import VersionDigests
from briarbeam.platform.engines import Manifest

from .distribution_fakes import (
    CHUNK_COUNT,
    MODEL,
    ORIGIN,
    FakeNetwork,
    FakeOrigin,
    Reply,
    chunk,
    digests,
)
from .test_distribution_chunks import ENTRIES, all_chunks, build_cache
from .test_distribution_stager import StagerHarness

WRONG = "0" * 64
EXPECTED = [chunk(2, n) for n in range(CHUNK_COUNT)]


class CorruptingOrigin(FakeOrigin):
    """An origin that states other digests in its first answers, and then right ones.

    :param answers: functions that change the list of digests.
    """

    def __init__(self, *answers):
        super().__init__()
        self.answers = list(answers)

    def __call__(self, request):
        if not self.answers or "/manifest/" not in request.path:
            return super().__call__(request)
        body = {"version": 2, "digests": self.answers.pop(0)(digests(2))}
        return Reply(200, json.dumps(body).encode())


def replace_digest(number):
    """Return a function that replaces the digest of chunk `number`."""
    return lambda stated: [*stated[:number], WRONG, *stated[number + 1 :]]


@pytest.fixture
def network():
    network = FakeNetwork()
    network.caches = []
    yield network
    for cache in network.caches:
        gevent.killall([cached.task for cached in cache._cached_versions.values()])


@pytest.mark.parametrize("number", [0, 5, CHUNK_COUNT - 1])
def test_corrupt_manifest_does_not_keep_a_version_from_being_downloaded(
    network, number
):
    network.handlers[ORIGIN] = CorruptingOrigin(replace_digest(number))
    cache = build_cache(network, "10.0.0.1", "z1")
    assert all_chunks(cache) == EXPECTED
    assert list(cache.get_manifest(MODEL, 2).digests) == digests(2)
    assert network.count(ORIGIN, "/-/piece/") <= CHUNK_COUNT + 1
    assert network.count(ORIGIN, "/-/manifest/") == 2


def test_manifests_that_are_corrupt_in_different_chunks_are_told_apart(network):
    network.handlers[ORIGIN] = CorruptingOrigin(
        lambda stated: replace_digest(2)(replace_digest(6)(stated)), replace_digest(4)
    )
    cache = build_cache(network, "10.0.0.1", "z1")
    assert all_chunks(cache) == EXPECTED
    assert list(cache.get_manifest(MODEL, 2).digests) == digests(2)


def test_corrupt_manifest_that_neighbours_already_have_is_corrected(network):
    network.handlers[ORIGIN] = CorruptingOrigin(replace_digest(3))
    caches = [build_cache(network, host, domain) for host, domain in sorted(ENTRIES)]
    for cache in caches:
        assert cache.get_manifest(MODEL, 2, 2.0).digests[3] == WRONG
    tasks = [gevent.spawn(all_chunks, cache) for cache in caches]
    assert [task.get(timeout=5) for task in tasks] == [EXPECTED] * 3
    assert network.count(ORIGIN, "/-/manifest/") <= 1 + len(caches)
    assert network.count(ORIGIN, "/-/piece/") <= CHUNK_COUNT + 2


@pytest.mark.parametrize("number", [0, CHUNK_COUNT - 1])
def test_stager_with_a_corrupt_manifest_completes_and_loads_its_copy(number):
    """An entry had handed it on before it noticed."""
    harness = StagerHarness()
    answer, manifests = harness._answer, []

    def corrupt_once(request):
        reply = answer(request)
        if "/manifests/" in request.path and not manifests:
            manifests.append(reply)
            return Reply(200, json.dumps(replace_digest(number)(digests(1))).encode())
        return reply

    harness.network.handlers["10.0.0.1", 77] = corrupt_once
    harness.greet((1, 0.0, 0.0))
    harness.run(0.6)
    assert harness.engine.loaded == {n: chunk(1, n) for n in range(CHUNK_COUNT)}
    assert harness.network.count(("10.0.0.1", 77), "/manifests/") == 2
    assert harness.network.count(("10.0.0.1", 77), "/chunks/") == CHUNK_COUNT


@pytest.mark.parametrize(
    "change",
    [lambda stated: stated[:-1], lambda stated: [*stated, WRONG]],
    ids=["fewer", "more"],
)
def test_manifest_without_the_declared_number_of_chunks_is_refused(network, change):
    network.handlers[ORIGIN] = CorruptingOrigin(change)
    cache = build_cache(network, "10.0.0.1", "z1")
    cache._chunk_count = lambda model: CHUNK_COUNT
    assert list(cache.get_manifest(MODEL, 2, 2.0).digests) == digests(2)


def test_chunk_that_never_matches_a_right_manifest_is_requested_less_and_less(network):
    """It was requested twelve times a second, without end."""
    origin = network.handlers[ORIGIN] = FakeOrigin()

    class NeverRight(set):
        def discard(self, number):
            """Keep sending the chunk corrupt."""

    origin.corrupt = NeverRight({3})
    cache = build_cache(network, "10.0.0.1", "z1")
    tasks = [
        gevent.spawn(cache.get_chunk, MODEL, 2, number, 2.0)
        for number in range(CHUNK_COUNT)
    ]
    gevent.joinall(tasks, timeout=5)
    others = [task.value for number, task in enumerate(tasks) if number != 3]
    assert others == EXPECTED[:3] + EXPECTED[4:]
    assert network.count(ORIGIN, "/-/piece/m?num=3&") <= 7
    assert network.count(ORIGIN, "/-/manifest/") == 2


def test_chunk_that_arrives_corrupt_once_costs_no_second_manifest(network):
    network.handlers[ORIGIN] = FakeOrigin()
    network.handlers[ORIGIN].corrupt = {1, 4}
    cache = build_cache(network, "10.0.0.1", "z1")
    assert all_chunks(cache) == EXPECTED
    assert network.count(ORIGIN, "/-/manifest/") == 1


def test_second_look_at_a_manifest_that_fails_is_repeated_later(network):
    origin = network.handlers[ORIGIN] = CorruptingOrigin(
        replace_digest(2), lambda stated: "no list"
    )
    cache = build_cache(network, "10.0.0.1", "z1")
    assert all_chunks(cache) == EXPECTED
    assert not origin.answers


corruptions = strategies.sets(strategies.integers(0, CHUNK_COUNT - 1), max_size=3)


@given(
    first=corruptions,
    others=strategies.lists(corruptions, max_size=4),
    broken=strategies.sets(strategies.integers(0, CHUNK_COUNT - 1)),
)
def test_no_manifest_makes_other_bytes_right_and_two_right_ones_suffice(
    first, others, broken
):
    def manifest(numbers):
        stated = digests(2)
        for number in numbers:
            # No corruption occurs twice in the same way.
            stated[number] = f"{len(seen):064x}"
            seen.append(number)
        return Manifest(MODEL, 2, tuple(stated))

    seen, now_s = [], [0.0]
    known = VersionDigests(manifest(first), lambda: now_s[0])
    looks = [*map(manifest, others), manifest(()), manifest(())]
    for _ in range(len(looks) + 2):
        for number, content in enumerate(EXPECTED):
            now_s[0] += 10.0
            for data in [b"broken"] * (number in broken) + [content]:
                right = known.accepts(number, data) or known.record_mismatch(
                    number, data, False, lambda: looks.pop(0) if looks else manifest(())
                )
                assert data is content or not right
    assert list(known.manifest.digests) == digests(2)
