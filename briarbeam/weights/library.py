"""The versions that this target holds or fetches, and how much of each it may send."""

import hashlib

from ..kernel.errors import NotFoundError, WeightsError
from .bitmap import Bitmap
from .manifest import Manifest

HOLDINGS_CACHE_S = 0.1


class Library:
    """Tracks the transfer of each manifest and which weights are complete.

    :param store: the `ChunkStore`.
    """

    def __init__(self, clock, store):
        self._clock = clock
        self._store = store
        self._manifests = {}
        self._transfers = {}
        self._complete = set()
        self._cached_holdings = {}

    def register_transfer(self, manifest_digest, transfer):
        """Register the transfer of a manifest, in place of an earlier one."""
        self._transfers[manifest_digest] = transfer

    def transfer(self, manifest_digest):
        """Return the latest transfer of a manifest, or None."""
        return self._transfers.get(manifest_digest)

    def is_complete(self, manifest_digest):
        """Return whether all chunks are held and the digest over them was verified."""
        return manifest_digest in self._complete

    def verify(self, manifest, manifest_digest, weights_digest):
        """Verify the digest over all chunks, before an engine may load the weights.

        :raises WeightsError: if the digest differs or a chunk is missing.
        """
        hasher = hashlib.sha256()
        for chunk in manifest.chunks:
            data = self._store.get(chunk.digest)
            if data is None:
                raise WeightsError(f"chunk {chunk.digest} is not held")
            hasher.update(data)
            self._clock.sleep(0)
        if hasher.hexdigest() != weights_digest:
            raise WeightsError(
                f"expected weights with digest {weights_digest}, "
                f"got {hasher.hexdigest()}"
            )
        self._complete.add(manifest_digest)

    def chunks(self, manifest_digest):
        """Return the size of the weights in bytes and the list of their chunks.

        :raises NotFoundError: if they are not complete and verified.
        """
        if manifest_digest not in self._complete:
            raise NotFoundError(
                f"weights of manifest {manifest_digest} are not complete"
            )
        manifest = self._manifest(manifest_digest)
        chunks = [self._store.get(chunk.digest) for chunk in manifest.chunks]
        return manifest.size_bytes, chunks

    def holdings(self, manifest_digest):
        """Return two bitmaps: chunks held, and chunks being drawn from the origin.

        A chunk counts as being drawn only while draws make progress. The result is
        cached for `HOLDINGS_CACHE_S`.
        """
        now_s = self._clock.monotonic_s()
        cached_at_s, cached = self._cached_holdings.get(
            manifest_digest, (now_s - 1, None)
        )
        if cached is not None and now_s - cached_at_s < HOLDINGS_CACHE_S:
            return cached
        cached = self._read_holdings(manifest_digest)
        self._cached_holdings[manifest_digest] = now_s, cached
        return cached

    def is_expected(self, manifest_digest, digest):
        """Return whether a chunk will arrive soon, so that a peer may wait for it."""
        transfer = self._transfers.get(manifest_digest)
        return transfer is not None and transfer.is_expected(digest)

    def budget_bytes(self, manifest_digest):
        """Return how many bytes of a version this target sends before it refers peers.

        This is the share of one target when each chunk goes once to every target, plus
        the size of the largest chunk. If peers already held a fraction of the version
        when the transfer began, this target may be a replacement whose predecessor
        received that fraction and sent as much, so the share is reduced by twice the
        fraction. Return None, which means no limit, while the manifest is unknown.
        """
        transfer = self._transfers.get(manifest_digest)
        if transfer is None or transfer.manifest is None:
            return None
        manifest = transfer.manifest
        others_fraction = (transfer.target_count - 1) / transfer.target_count
        largest_bytes = max(chunk.size_bytes for chunk in manifest.chunks)
        return (
            manifest.size_bytes * others_fraction * transfer.budget_fraction
            + largest_bytes
        )

    def keep_only(self, manifest_digests):
        """Drop everything that does not belong to one of `manifest_digests`."""
        kept = set(manifest_digests)
        for known in (self._manifests, self._transfers, self._cached_holdings):
            for digest in set(known) - kept:
                del known[digest]
        self._complete &= kept
        digests = set(kept)
        for manifest_digest in kept:
            manifest = self._manifest(manifest_digest)
            if manifest is not None:
                digests.update(chunk.digest for chunk in manifest.chunks)
        self._store.keep_only(digests)

    def _manifest(self, manifest_digest):
        if manifest_digest not in self._manifests:
            data = self._store.get(manifest_digest)
            if data is None:
                return None
            self._manifests[manifest_digest] = Manifest.from_bytes(data)
        return self._manifests[manifest_digest]

    def _read_holdings(self, manifest_digest):
        manifest = self._manifest(manifest_digest)
        if manifest is None:
            return Bitmap(), Bitmap()
        transfer = self._transfers.get(manifest_digest)
        held = Bitmap.from_flags(
            chunk.digest in self._store for chunk in manifest.chunks
        )
        if transfer is None:
            return held, Bitmap()
        count = len(manifest.chunks)
        return held, Bitmap.from_flags(
            transfer.is_drawing(index) for index in range(count)
        )
