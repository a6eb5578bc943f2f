"""Transfer of a version's chunks to this target.

Each region downloads each chunk once from the origin, which is called a draw. All other
copies are requested from peers, which is called a pull.
"""

import random

import gevent
import structlog
from prometheus_client import Counter

from ..kernel.errors import (
    BriarbeamError,
    BudgetSpentError,
    ChunkUnavailableError,
    CorruptChunkError,
    MemoryBoundError,
    NetworkError,
)
from ..kernel.network import HttpRequest
from . import serving
from .adoption import HoldingsClient, OrphanAdopter
from .bitmap import Bitmap
from .manifest import Manifest
from .missing_chunks import MissingChunks
from .peers import Peers
from .plan import plans

IDLE_PAUSE_S = 0.05
RETRY_PAUSE_S = 0.2
LONG_POLL_S = 1.0
INITIAL_PEERS = 2
MANIFEST_FANOUT = 2
MANIFEST_PEERS_TIMEOUT_S = 2.0

_BYTES = Counter("briarbeam_weights_peer_bytes", "Verified bytes from peers", ["from"])
_FAULTS = Counter("briarbeam_weights_faults", "Failed draws and pulls", ["code"])
_log = structlog.get_logger()


class Transfer:
    """Fetches the manifest and the chunks of one version into the store.

    Its `target_count` is the number of targets in the plan. Its `budget_fraction` is
    the fraction of the full send budget that this target has; see
    `Library.budget_bytes`. Its `manifest` is None until it was fetched.

    :param store: the `ChunkStore`.
    :param manifest_digest: the digest of the version's manifest.
    :param members: a function that returns the members that need the version.
    :param origin: the `OriginSource` of the process.
    :param reader: the `BodyReader` of the process.
    """

    def __init__(self, kernel, store, manifest_digest, members, origin, reader):
        self._kernel = kernel
        self._clock = kernel.clock
        self._store = store
        self._manifest_digest = manifest_digest
        self._members = members
        self._origin = origin
        self._reader = reader
        self._settings = kernel.settings.weights
        self._instance = kernel.settings.instance
        self._own_name = self._instance.name
        self.manifest = None
        self.missing_chunks = None
        self._indexes = {}
        self.peers = None
        self.target_count = 1
        self.budget_fraction = 1.0
        self.origin_bytes = 0
        self.started_at_s = kernel.clock.monotonic_s()

    def run(self):
        """Fetch all chunks and return the manifest.

        Every chunk is verified against its digest before it is stored.

        :raises MemoryBoundError: if the chunks do not fit into the memory limit.
        """
        self._origin.reset_progress_timeout()
        manifest = Manifest.from_bytes(self._fetch_manifest())
        missing = [
            index
            for index, chunk in enumerate(manifest.chunks)
            if chunk.digest not in self._store
        ]
        self._check_memory(manifest, missing)
        plan = self._make_plan(self._region_members(), len(manifest.chunks))
        self.target_count = len(plan.names)
        self.peers = Peers(self._clock, self._own_name, plan.names)
        self.missing_chunks = MissingChunks(
            self._clock, plan, self.peers, self._own_name, missing
        )
        chunks = enumerate(manifest.chunks)
        self._indexes = {chunk.digest: index for index, chunk in chunks}
        self.manifest = manifest
        self._fetch_chunks(plan)
        return manifest

    def is_expected(self, digest):
        """Return whether a chunk will arrive soon, so that a peer may wait for it."""
        if self.manifest is None:
            return digest == self._manifest_digest
        index = self._indexes.get(digest)
        if index is None or index not in self.missing_chunks.indexes:
            return False
        return self.missing_chunks.is_in_flight(index) or self.is_drawing(index)

    def is_drawing(self, index):
        """Return whether this target draws a chunk and its draws make progress."""
        if self.missing_chunks is None or not self._origin.makes_progress():
            return False
        return self.missing_chunks.is_assigned(index)

    def _fetch_chunks(self, plan):
        holdings_client = HoldingsClient(
            self._kernel, self._manifest_digest, self._region_members, self.peers
        )
        names = self.peers.names
        for name in random.sample(names, min(INITIAL_PEERS, len(names))):
            holdings_client.request_holdings(name)
        held = self.peers.max_held_fraction(len(self.manifest.chunks))
        self.budget_fraction = max(0.0, 1 - 2 * held)
        adopter = OrphanAdopter(
            self._clock,
            plan,
            self.peers,
            self.missing_chunks,
            self._origin,
            self._own_name,
            self._settings.step_in_delay_s,
            holdings_client.request_holdings,
        )
        tasks = [gevent.spawn(adopter.run)]
        tasks += [gevent.spawn(self._draw_all) for _ in range(self._settings.drawers)]
        tasks += [gevent.spawn(self._pull_all) for _ in range(self._settings.fetchers)]
        try:
            gevent.joinall(tasks, raise_error=True)
        finally:
            gevent.killall(tasks)

    def _region_members(self):
        """Return the members of this region that need the version, by name."""
        return {
            member.name: member
            for member in self._members()
            if member.region == self._instance.region
        }

    def _make_plan(self, names, count):
        plan = plans.get(self._settings.source_order)
        key = self._manifest_digest
        return plan(key, self._own_name, names, count, lambda: self._clock.sleep(0))

    def _check_memory(self, manifest, missing):
        chunks = {manifest.chunks[index] for index in missing}
        missing_bytes = sum(chunk.size_bytes for chunk in chunks)
        needed_bytes = self._store.held_bytes + missing_bytes
        if needed_bytes > self._store.max_bytes:
            raise MemoryBoundError(
                f"store would need {needed_bytes} bytes, "
                f"limit is {self._store.max_bytes}"
            )

    def _draw_all(self):
        while self.missing_chunks.indexes:
            index = self.missing_chunks.next_draw()
            if index is None:
                self._clock.sleep(IDLE_PAUSE_S)
            elif self._origin.can_draw():
                self._fetch_chunk(index, self._draw)
            elif not self._fetch_chunk(index, self._pull_from_other_region):
                self._clock.sleep(RETRY_PAUSE_S)

    def _draw(self, index):
        chunk = self.manifest.chunks[index]
        self._origin.draw(chunk.digest, chunk.size_bytes, self._store.add)
        self.origin_bytes += chunk.size_bytes

    def _pull_from_other_region(self, index):
        """Pull a chunk from another region, used while draws are backed off."""
        regions = {}
        for member in self._members():
            if member.region != self._instance.region:
                regions.setdefault(member.region, {})[member.name] = member
        for members in regions.values():
            names = sorted(members)
            name = names[index % len(names)]
            try:
                self._request_chunk(members[name], index, beyond_budget=True, wait_s=0)
                return
            except BriarbeamError as error:
                _FAULTS.labels(error.code).inc()
        raise ChunkUnavailableError("no other region could send the chunk")

    def _pull_all(self):
        while self.missing_chunks.indexes:
            pull = self.missing_chunks.next_pull()
            if pull is None or not self._fetch_chunk(pull.index, self._pull, pull):
                self._clock.sleep(IDLE_PAUSE_S)

    def _fetch_chunk(self, index, source, pull=None):
        """Call `source` to fetch a chunk and return whether it succeeded."""
        peer = pull.peer if pull else None
        self.missing_chunks.begin_request(index, peer)
        try:
            source(pull or index)
        except BriarbeamError as error:
            _FAULTS.labels(error.code).inc()
            return False
        finally:
            self.missing_chunks.end_request(index, peer)
        self.missing_chunks.mark_held(index)
        return True

    def _pull(self, pull):
        member = self._region_members().get(pull.peer)
        if member is None:
            self.peers.record_failure(pull.peer)
            raise ChunkUnavailableError(f"{pull.peer} is no longer listed")
        try:
            self._request_chunk(member, pull.index, pull.beyond_budget, LONG_POLL_S)
        except CorruptChunkError:
            self.peers.quarantine(pull.peer)
            _log.warning("corrupt_chunk", peer=pull.peer)
            raise
        except BudgetSpentError:
            self.missing_chunks.record_referral(pull.index, pull.peer)
            raise
        except ChunkUnavailableError as error:
            if error.status != 404:
                self.peers.record_failure(pull.peer)
            raise
        except NetworkError:
            self.peers.record_failure(pull.peer)
            raise

    def _request_chunk(self, member, index, beyond_budget, wait_s):
        """Request a chunk from a peer and store it."""
        chunk = self.manifest.chunks[index]
        headers = {
            serving.MANIFEST_HEADER: self._manifest_digest,
            serving.SENDER_HEADER: self._own_name,
            serving.WAIT_HEADER: str(wait_s),
        }
        if beyond_budget:
            headers[serving.BEYOND_BUDGET_HEADER] = "1"
        response = self._send(member, chunk.digest, headers)
        try:
            self._record_reply(member.name, index, response)
            data = self._reader.read(response, chunk.size_bytes)
        finally:
            response.close()
        self._store.add(chunk.digest, data)
        is_own_region = member.region == self._instance.region
        _BYTES.labels("region" if is_own_region else "abroad").inc(len(data))

    def _send(self, member, digest, headers):
        timeout_s = max(self._settings.stall_after_s, 2 * LONG_POLL_S)
        request = HttpRequest("GET", f"/chunks/{digest}", b"", headers, timeout_s)
        return self._kernel.network.send(member.http, request)

    def _record_reply(self, name, index, response):
        """Record the holdings and referrals in a peer's reply.

        :raises BudgetSpentError: if the peer refers this target to others.
        :raises ChunkUnavailableError: if the reply does not carry the chunk.
        """
        headers = response.headers
        if serving.HELD_HEADER in headers:
            held = Bitmap.from_text(headers[serving.HELD_HEADER])
            drawing = headers.get(serving.DRAWING_HEADER)
            self.peers.update_holdings(
                name, held, None if drawing is None else Bitmap.from_text(drawing)
            )
        if response.status == 200:
            return
        self.peers.remove_referral(name, index)
        if response.status == BudgetSpentError.status:
            for other in headers.get(serving.REFERRAL_HEADER, "").split(","):
                self.peers.add_referral(other, index)
            raise BudgetSpentError(f"{name} has used up its send budget")
        error = ChunkUnavailableError(f"{name} answered {response.status}")
        error.status = response.status
        raise error

    def _fetch_manifest(self):
        """Return the bytes of the manifest.

        It is pulled from the parents in a tree over the region's targets, or drawn from
        the origin at the root or if the parents don't have it in time.
        """
        digest = self._manifest_digest
        while digest not in self._store:
            members = self._region_members()
            parents = self._make_plan(members, 0).manifest_parents(MANIFEST_FANOUT)
            waited_s = self._clock.monotonic_s() - self.started_at_s
            asked = [members[name] for name in parents if name in members]
            if any(self._pull_manifest(member) for member in asked[:2]):
                continue
            if not parents or waited_s > MANIFEST_PEERS_TIMEOUT_S:
                self._draw_manifest()
            self._clock.sleep(RETRY_PAUSE_S)
        return self._store.get(digest)

    def _draw_manifest(self):
        """Draw the manifest, or pull it from other regions if that is not possible."""
        if self._origin.can_draw():
            try:
                self._origin.draw(self._manifest_digest, None, self._store.add)
                return
            except BriarbeamError as error:
                _FAULTS.labels(error.code).inc()
        others = [m for m in self._members() if m.region != self._instance.region]
        any(self._pull_manifest(member) for member in others[:2])

    def _pull_manifest(self, member):
        """Pull the manifest from a peer and return whether it succeeded."""
        headers = {
            serving.MANIFEST_HEADER: self._manifest_digest,
            serving.WAIT_HEADER: str(LONG_POLL_S),
        }
        try:
            response = self._send(member, self._manifest_digest, headers)
            try:
                if response.status != 200:
                    return False
                self._store.add(self._manifest_digest, response.read())
            finally:
                response.close()
        except BriarbeamError as error:
            _FAULTS.labels(error.code).inc()
            return False
        return True
