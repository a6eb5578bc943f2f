"""The chunks that this target holds, all verified, within a bound of memory."""

from ..kernel.errors import CorruptChunkError, WeightsError
from .manifest import digest_of


class ChunkStore:
    """Verified chunks by digest.

    :param max_bytes: the most that is held.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self._chunks = {}
        self.held_bytes = 0

    def __contains__(self, digest):
        return digest in self._chunks

    def get(self, digest):
        """Return a chunk's bytes, or None."""
        return self._chunks.get(digest)

    def digests(self):
        """Return the digests of all chunks held."""
        return set(self._chunks)

    def add(self, digest, data):
        """Verify and hold a chunk.

        :raises CorruptChunkError: if `data` does not match `digest`.
        :raises WeightsError: if the bound would be passed.
        """
        if digest in self._chunks:
            return
        found = digest_of(data)
        if found != digest:
            raise CorruptChunkError(f"expected {digest}, got {found}")
        if self.held_bytes + len(data) > self.max_bytes:
            raise WeightsError(
                f"{self.held_bytes + len(data)} bytes, at most {self.max_bytes}"
            )
        self._chunks[digest] = data
        self.held_bytes += len(data)

    def keep_only(self, digests):
        """Drop every chunk that is not in `digests`."""
        for digest in set(self._chunks) - set(digests):
            self.held_bytes -= len(self._chunks.pop(digest))
