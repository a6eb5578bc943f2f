"""Failures on the way of the weights."""

from ..kernel.errors import BriarbeamError, NotRunError


class MalformedDatagramError(BriarbeamError):
    """The bytes of a datagram are no message."""

    code = "malformed_datagram"


class ChunkUnavailableError(NotRunError):
    """No source has given the chunk in time."""

    code = "chunk_unavailable"


class CorruptChunkError(BriarbeamError):
    """The bytes of a chunk do not match its digest."""

    code = "corrupt_chunk"


class MalformedCopyError(BriarbeamError):
    """The bytes from another entry are no copy of a desired state."""

    code = "malformed_copy"
