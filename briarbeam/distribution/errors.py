"""Errors of the distribution of weights and desired states."""

from ..kernel.errors import BriarbeamError, NotRunError


class MalformedDatagramError(BriarbeamError):
    """A datagram could not be decoded."""

    code = "malformed_datagram"


class ChunkUnavailableError(NotRunError):
    """No source provided the chunk in time."""

    code = "chunk_unavailable"


class CorruptChunkError(BriarbeamError):
    """The bytes of a chunk do not match its digest."""

    code = "corrupt_chunk"


class MalformedManifestError(BriarbeamError):
    """A manifest does not have the declared number of chunks."""

    code = "malformed_manifest"


class StaleCheckError(NotRunError):
    """Staged chunks were checked too long ago to order that they be loaded."""

    code = "stale_check"


class EngineChangedError(NotRunError):
    """An engine accepted an order, or restarted, while the next one was prepared."""

    code = "engine_changed"


class MalformedCopyError(BriarbeamError):
    """The bytes from another entry could not be decoded as a desired state."""

    code = "malformed_copy"
