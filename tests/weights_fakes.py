"""Fakes for tests of the weights package: an event clock and an in-memory network."""

import heapq
import itertools
import random
from types import SimpleNamespace

import gevent
from gevent.event import Event

from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import BriarbeamError, ConnectError, ExchangeError
from briarbeam.kernel.http import Request
from briarbeam.kernel.network import Address
from briarbeam.membership.members import Member
from briarbeam.objects.client import Origin
from briarbeam.settings import WeightsSettings
from briarbeam.weights.library import Library
from briarbeam.weights.manifest import build_manifest, digest_of
from briarbeam.weights.origin import BodyReader, OriginSource
from briarbeam.weights.pace import Pacer
from briarbeam.weights.serving import ChunkServer
from briarbeam.weights.store import ChunkStore
from briarbeam.weights.transfer import Transfer
from briarbeam.wire import control_pb2

ORIGIN = Address("192.0.2.1", 1)
LINK_BYTES_PER_S = 100_000
YIELD_ROUNDS = 8
IDLE_YIELD_ROUNDS = 1000


class EventClock(ManualClock):
    """A clock that wakes sleeping tasks in order; its time advances only in `run`."""

    def __init__(self):
        super().__init__()
        self._sleepers = []
        self._numbers = itertools.count()

    def sleep(self, duration_s):
        if duration_s <= 0:
            gevent.sleep(0)
            return
        event = Event()
        at_s = self.monotonic_s() + duration_s
        heapq.heappush(self._sleepers, (at_s, next(self._numbers), event))
        event.wait()

    def run(self, condition, limit_s):
        """Advance the time until `condition()` is true, by at most `limit_s` seconds.

        :returns: whether the condition became true.
        """
        until_s = self.monotonic_s() + limit_s
        while True:
            rounds = YIELD_ROUNDS if self._sleepers else IDLE_YIELD_ROUNDS
            for _ in range(rounds):
                gevent.sleep(0)
            if condition():
                return True
            if not self._sleepers or self._sleepers[0][0] > until_s:
                return False
            at_s, _, event = heapq.heappop(self._sleepers)
            self.advance(max(0.0, at_s - self.monotonic_s()))
            event.set()


class Node:
    """One target with the parts of the weights plug-in, but without an engine.

    A ``dead`` node refuses and breaks off connections, the connections of a ``stalled``
    one stay open without data, and one that ``corrupts`` changes each chunk it sends.
    If ``listed_members`` is set, it is used instead of the list of the `World`.
    """

    def __init__(self, world, name, region, seed, **settings):
        self.world = world
        self.member = Member(
            name, "target", region, region, Address(name, 1), Address(name, 2),
            models=("chat",),
        )  # fmt: skip
        self.dead = self.stalled = self.corrupts = False
        self.in_bytes = self.out_bytes = 0
        clock = world.clock
        weights_settings = WeightsSettings(
            link_bytes_per_s=LINK_BYTES_PER_S, link_share=1, **settings
        )
        self.kernel = SimpleNamespace(
            clock=clock,
            network=_NodeNetwork(world, self),
            rpc=_Rpc(world, self),
            settings=SimpleNamespace(
                weights=weights_settings,
                instance=SimpleNamespace(name=name, region=region),
            ),
        )
        self.store = ChunkStore(weights_settings.memory_max_bytes)
        self.library = Library(clock, self.store)
        self.reader = BodyReader(
            clock, Pacer(clock, LINK_BYTES_PER_S), weights_settings.stall_after_s
        )
        origin = Origin(self.kernel.network, ORIGIN)
        self.origin = OriginSource(clock, origin, self.reader, 6.0, random.Random(seed))
        self.serving = ChunkServer(
            clock, self.store, Pacer(clock, LINK_BYTES_PER_S), self.library
        )
        self.listed_members = None
        self.task = None

    def fetch(self, manifest_digest, weights_digest):
        """Start to fetch a version and stop fetching an earlier one."""
        self.stop()
        self.task = gevent.spawn(self._fetch, manifest_digest, weights_digest)

    def stop(self):
        """Stop fetching."""
        if self.task is not None:
            self.task.kill()

    def _fetch(self, manifest_digest, weights_digest):
        members = lambda: self.listed_members or self.world.members()  # noqa: E731
        transfer = Transfer(
            self.kernel, self.store, manifest_digest, members, self.origin, self.reader
        )
        self.library.register_transfer(manifest_digest, transfer)
        while True:
            try:
                manifest = transfer.run()
                self.library.verify(manifest, manifest_digest, weights_digest)
                return
            except BriarbeamError:
                self.kernel.clock.sleep(0.5)


class World:
    """Targets, an origin and a network, all in memory.

    ``origin_mode`` is ``ok``, ``down`` (status 503), ``dead`` (refuses connections),
    ``silent``, ``short`` (half of the body) or ``corrupt``.

    :param regions: the number of targets by region.
    """

    def __init__(self, regions, seed=0, **settings):
        random.seed(seed)
        self.clock = EventClock()
        self.blobs = {}
        self.origin_mode = "ok"
        self.origin_bytes = 0
        self.manifests = set()
        self.nodes = {}
        for region, count in regions.items():
            for number in range(count):
                name = f"{region}-{number}"
                self.nodes[name] = Node(self, name, region, seed + number, **settings)

    def publish(self, version, count, size_bytes=10_000, shared=0):
        """Publish a version at the origin.

        :param count: the number of chunks.
        :param shared: how many of the first chunks are the same in all versions.
        :returns: the digest of the manifest and the manifest.
        """
        chunks = [
            random.Random(f"{'all' if i < shared else version}/{i}").randbytes(
                size_bytes
            )
            for i in range(count)
        ]
        manifest = build_manifest("chat", version, chunks)
        for chunk in [*chunks, manifest.to_bytes()]:
            self.blobs[digest_of(chunk)] = chunk
        self.manifests.add(digest_of(manifest.to_bytes()))
        return digest_of(manifest.to_bytes()), manifest

    def fetch_all(self, published):
        """Start to fetch a version at every live node."""
        digest, manifest = published
        for node in self.live_nodes():
            node.fetch(digest, manifest.weights_digest)

    def live_nodes(self):
        """Return the nodes that are not dead."""
        return [node for node in self.nodes.values() if not node.dead]

    def members(self):
        """Return the members as the platform lists them, including dead ones."""
        return [node.member for node in self.nodes.values()]

    def all_hold(self, published):
        """Return whether every live node holds a version completely and verified."""
        return all(node.library.is_complete(published[0]) for node in self.live_nodes())

    def held_fraction(self, published):
        """Return the fraction of a version that live nodes hold on average."""
        chunks = published[1].chunks
        held = sum(c.digest in node.store for node in self.live_nodes() for c in chunks)
        return held / len(chunks) / len(self.live_nodes())

    def stop(self):
        """End all tasks."""
        for node in self.nodes.values():
            node.stop()

    def send(self, node, address, request):
        """Return the reply to `request` that `node` sends to `address`."""
        if address == ORIGIN:
            return self._open_origin(node, request)
        peer = self.nodes[address.host]
        if peer.dead:
            raise ConnectError("dead")
        if peer.stalled or node.stalled:
            self.clock.sleep(request.timeout_s)
            raise ExchangeError("silent")
        digest = request.path.rpartition("/")[2]
        peer_request = Request("GET", request.path, request.headers, {}, b"", "")
        response = peer.serving.serve_chunk(peer_request, digest)
        body = [response.body] if isinstance(response.body, bytes) else response.body
        return _Reply(self, response, iter(body), node, peer)

    def _open_origin(self, node, request):
        digest = request.path.rpartition("/")[2]
        if self.origin_mode == "dead":
            raise ConnectError("origin dead")
        if self.origin_mode == "silent" or node.stalled:
            self.clock.sleep(request.timeout_s)
            raise ExchangeError("origin silent")
        if self.origin_mode == "down":
            return _Reply(self, SimpleNamespace(status=503, headers={}), iter(()), node)
        data = self.blobs[digest]
        if self.origin_mode == "short":
            data = data[: len(data) // 2]
        if self.origin_mode == "corrupt":
            data = bytes([data[0] ^ 1]) + data[1:]
        if digest not in self.manifests:
            self.origin_bytes += len(data)
        return _Reply(self, SimpleNamespace(status=200, headers={}), iter([data]), node)


class _NodeNetwork:
    def __init__(self, world, node):
        self._world = world
        self._node = node

    def send(self, address, request):
        self._world.clock.sleep(0.001)
        return self._world.send(self._node, address, request)


class _Rpc:
    def __init__(self, world, node):
        self._world = world
        self._node = node

    def call(self, address, stub, method, message, timeout_s):
        peer = self._world.nodes[address.host]
        if peer.dead:
            raise ConnectError("dead")
        if peer.stalled or self._node.stalled:
            self._world.clock.sleep(timeout_s)
            raise ExchangeError("silent")
        held, drawing = peer.library.holdings(message.manifest_digest)
        return control_pb2.Holdings(held=bytes(held), drawing=bytes(drawing))


class _Reply:
    def __init__(self, world, response, body, node, peer=None):
        self.status = response.status
        self.headers = response.headers
        self._world = world
        self._body = body
        self._node = node
        self._peer = peer

    def read(self, size_bytes=None):
        if size_bytes is None:
            return b"".join(iter(lambda: self.read(-1), b""))
        endpoints = [node for node in (self._node, self._peer) if node]
        if any(node.stalled for node in endpoints):
            self._world.clock.sleep(3.0)
            raise ExchangeError("went silent")
        piece = next(self._body, b"")
        self._world.clock.sleep(len(piece) / LINK_BYTES_PER_S)
        if any(node.dead for node in endpoints):
            raise ExchangeError("broke off")
        if self._peer is not None:
            self._peer.out_bytes += len(piece)
            if piece and self._peer.corrupts and self.status == 200:
                piece = bytes([piece[0] ^ 1]) + piece[1:]
        self._node.in_bytes += len(piece)
        return piece

    def close(self):
        close = getattr(self._body, "close", None)
        if close is not None:
            close()
