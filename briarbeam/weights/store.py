"""The in-memory store of verified chunks, of bounded size."""

from ..kernel.errors import CorruptChunkError, WeightsError
from .manifest import digest_of


class ChunkStore:
    """Holds verified chunks by digest.

    :param max_bytes: the maximum size of all chunks together.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self._chunks = {}
        self.held_bytes = 0

    def __contains__(self, digest):
        return digest in self._chunks

    def get(self, digest):
        """Return the bytes of a chunk, or None if it is not held."""
        return self._chunks.get(digest)

    def digests(self):
        """Return the digests of all chunks held."""
        return set(self._chunks)

    def add(self, digest, data):
        """Verify and store a chunk; one that is held already is ignored.

        :raises CorruptChunkError: if `data` does not match `digest`.
        :raises WeightsError: if the chunk would exceed the maximum size.
        """
        if digest in self._chunks:
            return
        found = digest_of(data)
        if found != digest:
            raise CorruptChunkError(f"expected digest {digest}, got {found}")
        if self.held_bytes + len(data) > self.max_bytes:
            raise WeightsError(
                f"store would need {self.held_bytes + len(data)} bytes, "
                f"limit is {self.max_bytes}"
            )
        self._chunks[digest] = data
        self.held_bytes += len(data)

    def keep_only(self, digests):
        """Drop every chunk that is not in `digests`."""
        for digest in set(self._chunks) - set(digests):
            self.held_bytes -= len(self._chunks.pop(digest))
