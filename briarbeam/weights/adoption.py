"""Adoption of chunks whose owner neither holds nor draws them.

A target that adopts a chunk draws it from the origin in place of the owner.
"""

import math

from ..kernel.errors import NetworkError
from ..wire import control_grpc, control_pb2
from .bitmap import Bitmap

CHECK_INTERVAL_S = 0.25
HOLDINGS_MAX_AGE_S = 1.0
OWNER_CHECK_INTERVAL_S = 2.0
HOLDINGS_TIMEOUT_S = 1.0


class OrphanAdopter:
    """Monitors the owners of missing chunks and adopts chunks that are orphaned.

    A chunk is orphaned while its owner neither holds nor draws it and no usable peer
    holds it. The target of rank r adopts it after r times the delay, unless a target of
    lower rank holds or draws it by then. While the origin fails for this target too, it
    adopts nothing, and the delays start again once the origin has recovered.

    :param missing_chunks: the `MissingChunks` of the transfer.
    :param origin: the `OriginSource`.
    :param delay_s: the delay of each rank behind the one before, in seconds.
    :param request_holdings: a function that asks the named peer for its holdings.
    """

    def __init__(
        self,
        clock,
        plan,
        peers,
        missing_chunks,
        origin,
        own_name,
        delay_s,
        request_holdings,
    ):
        self._clock = clock
        self._plan = plan
        self._peers = peers
        self._missing_chunks = missing_chunks
        self._origin = origin
        self._own_name = own_name
        self._delay_s = delay_s
        self._request_holdings = request_holdings
        self._orphaned_at_s = {}

    def run(self):
        """Check the missing chunks periodically until none is left."""
        while self._missing_chunks.indexes:
            self._clock.sleep(CHECK_INTERVAL_S)
            self.check_once()

    def check_once(self):
        """Check all missing chunks once and adopt those that are due."""
        orphans = [
            index for index in self._missing_chunks.indexes if self._is_orphan(index)
        ]
        for index in set(self._orphaned_at_s) - set(orphans):
            del self._orphaned_at_s[index]
        self._refresh_oldest_report(orphans)
        for index in orphans:
            self._adopt_if_due(index)

    def _is_orphan(self, index):
        if self._missing_chunks.is_assigned(index) or self._may_provide(
            self._plan.owner(index), index
        ):
            return False
        return not self._peers.holders(index)

    def _may_provide(self, name, index):
        """Return whether a usable peer holds or draws a chunk, or has not reported."""
        if not self._peers.is_usable(name):
            return False
        if self._peers.holds(name, index) or self._peers.is_drawing(name, index):
            return True
        return self._peers.drawing_age_s(name) == math.inf

    def _adopt_if_due(self, index):
        now_s = self._clock.monotonic_s()
        since_s = self._orphaned_at_s.setdefault(index, now_s)
        since_s = max(since_s, self._origin.recovered_at_s)
        rank = self._plan.rank(self._own_name, index)
        if now_s - since_s < rank * self._delay_s:
            return
        if self._origin.is_failing or self._is_provided_by_lower_rank(index, rank):
            self._orphaned_at_s[index] = now_s
            return
        self._missing_chunks.adopted.add(index)

    def _is_provided_by_lower_rank(self, index, rank):
        for name in self._plan.ranking(index)[:rank]:
            if (
                self._peers.is_usable(name)
                and self._peers.drawing_age_s(name) > HOLDINGS_MAX_AGE_S
            ):
                self._request_holdings(name)
            if self._may_provide(name, index):
                return True
        return False

    def _refresh_oldest_report(self, orphans):
        """Request the holdings of one peer, the one whose last report is oldest.

        Candidates are the owners for which this target is the backup, and for each
        orphan the first usable peer after its owner, if their last report is too old.
        """
        max_ages_s = {
            self._plan.owner(index): OWNER_CHECK_INTERVAL_S
            for index in self._missing_chunks.indexes
            if self._plan.backup(index) == self._own_name
        }
        for index in orphans:
            for name in self._plan.ranking(index)[1:]:
                if name != self._own_name and self._peers.is_usable(name):
                    max_ages_s[name] = HOLDINGS_MAX_AGE_S
                    break
        outdated = [
            name
            for name, max_age_s in max_ages_s.items()
            if self._peers.is_usable(name)
            and self._peers.drawing_age_s(name) > max_age_s
        ]
        if outdated:
            self._request_holdings(max(outdated, key=self._peers.drawing_age_s))


class HoldingsClient:
    """Requests the holdings of peers over the control channel.

    :param members: a function that returns the members of the region by name.
    :param peers: the `Peers` in which replies and failures are recorded.
    """

    def __init__(self, kernel, manifest_digest, members, peers):
        self._rpc = kernel.rpc
        self._sender = kernel.settings.instance.name
        self._manifest_digest = manifest_digest
        self._members = members
        self._peers = peers

    def request_holdings(self, name):
        """Request the holdings of a peer, and record them or the failure."""
        member = self._members().get(name)
        if member is None:
            self._peers.record_failure(name)
            return
        request = control_pb2.HoldingsRequest(
            sender=self._sender, manifest_digest=self._manifest_digest
        )
        try:
            reply = self._rpc.call(
                member.control,
                control_grpc.ControlStub,
                "Held",
                request,
                timeout_s=HOLDINGS_TIMEOUT_S,
            )
        except NetworkError:
            self._peers.record_failure(name)
            return
        self._peers.update_holdings(name, Bitmap(reply.held), Bitmap(reply.drawing))
