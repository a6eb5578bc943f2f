"""Serving of chunks to peers, at a limited rate and within a budget.

Replies also carry the bitmaps of the chunks that this target holds and draws.
"""

import math
from collections import defaultdict, deque

from prometheus_client import Counter

from ..kernel.errors import BudgetSpentError, NotFoundError
from ..kernel.http import Response

MANIFEST_HEADER = "x-briarbeam-manifest"
SENDER_HEADER = "x-briarbeam-sender"
BEYOND_BUDGET_HEADER = "x-briarbeam-must"
WAIT_HEADER = "x-briarbeam-wait-s"
HELD_HEADER = "x-briarbeam-held"
DRAWING_HEADER = "x-briarbeam-drawing"
REFERRAL_HEADER = "x-briarbeam-referral"

PIECE_BYTES = 16384
WAIT_MAX_S = 2.0
WAIT_POLL_S = 0.05
REFERRALS_MAX = 4
REFERRAL_MAX_AGE_S = 3.0
BITMAP_HEADER_MAX_BYTES = 4096

_SERVED = Counter("briarbeam_weights_served_bytes", "Bytes given to peers")
_REFERRED = Counter("briarbeam_weights_referrals", "Peers sent on to another holder")


class ChunkServer:
    """Answers the chunk requests of peers.

    :param store: the `ChunkStore`.
    :param pacer: the `Pacer` of the bytes that this target sends.
    :param library: the `Library`; only its methods ``holdings``, ``is_expected`` and
        ``budget_bytes`` are used.
    """

    def __init__(self, clock, store, pacer, library):
        self._clock = clock
        self._store = store
        self._pacer = pacer
        self._library = library
        self._sent_bytes = defaultdict(int)
        self._recipients = defaultdict(lambda: deque(maxlen=REFERRALS_MAX))
        self._last_sent_at_s = {}

    def serve_chunk(self, request, digest):
        """Serve ``GET /chunks/{digest}``, which also serves manifests.

        If the budget is exhausted, the reply refers the peer to others that received
        the chunk. A peer that sets `BEYOND_BUDGET_HEADER` still gets the chunk, unless
        the chunk was sent to another peer within the last `REFERRAL_MAX_AGE_S`.
        """
        headers = request.headers
        manifest_digest = headers.get(MANIFEST_HEADER, "")
        sender = headers.get(SENDER_HEADER, "")
        data = self._wait_for_chunk(manifest_digest, digest, headers.get(WAIT_HEADER))
        holdings = self._holdings_headers(manifest_digest)
        if data is None:
            error = NotFoundError(f"chunk {digest} is not held")
            return _error_response(error, holdings)
        if digest != manifest_digest and self._exceeds_budget(manifest_digest, data):
            others = [name for name in self._recipients[digest] if name != sender]
            if not headers.get(BEYOND_BUDGET_HEADER) or self._sent_recently(
                digest, others
            ):
                _REFERRED.inc()
                error = BudgetSpentError("this peer has used up its send budget")
                return _error_response(
                    error, {**holdings, REFERRAL_HEADER: ",".join(others)}
                )
        self._sent_bytes[manifest_digest] += len(data)
        if sender:
            self._recipients[digest].appendleft(sender)
            self._last_sent_at_s[digest] = self._clock.monotonic_s()
        holdings.pop(DRAWING_HEADER, None)
        holdings["content-length"] = str(len(data))
        return Response(200, self._paced(data), holdings)

    def keep_only(self, manifest_digests):
        """Drop byte counts of other manifests and recipients of dropped chunks."""
        for digest in set(self._sent_bytes) - set(manifest_digests):
            del self._sent_bytes[digest]
        for digest in [
            digest for digest in self._recipients if digest not in self._store
        ]:
            del self._recipients[digest]
            self._last_sent_at_s.pop(digest, None)

    def _wait_for_chunk(self, manifest_digest, digest, wait_s):
        """Return a chunk, or None if it is not held; wait if it will arrive soon.

        :param wait_s: the header with the seconds that the peer is ready to wait, or
            None. The wait is at most `WAIT_MAX_S`.
        """
        try:
            timeout_s = min(WAIT_MAX_S, float(wait_s or 0))
        except ValueError:
            timeout_s = 0.0
        deadline_s = self._clock.monotonic_s() + timeout_s
        while digest not in self._store:
            remaining_s = deadline_s - self._clock.monotonic_s()
            if remaining_s <= 0 or not self._library.is_expected(
                manifest_digest, digest
            ):
                break
            self._clock.sleep(WAIT_POLL_S)
        return self._store.get(digest)

    def _holdings_headers(self, manifest_digest):
        held, drawing = self._library.holdings(manifest_digest)
        if len(bytes(held)) > BITMAP_HEADER_MAX_BYTES:
            return {}
        return {HELD_HEADER: str(held), DRAWING_HEADER: str(drawing)}

    def _exceeds_budget(self, manifest_digest, data):
        budget_bytes = self._library.budget_bytes(manifest_digest)
        if budget_bytes is None:
            return False
        return self._sent_bytes[manifest_digest] + len(data) > budget_bytes

    def _sent_recently(self, digest, others):
        """Return whether one of `others` received a chunk recently and can send it."""
        last_sent_at_s = self._last_sent_at_s.get(digest, -math.inf)
        return (
            bool(others)
            and self._clock.monotonic_s() - last_sent_at_s < REFERRAL_MAX_AGE_S
        )

    def _paced(self, data):
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            self._pacer.acquire(len(piece))
            _SERVED.inc(len(piece))
            yield piece


def _error_response(error, headers):
    response = Response.of_error(error)
    response.headers.update(headers)
    return response
