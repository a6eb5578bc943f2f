"""Manifests, which list the chunk digests of a version's weights in order."""

import hashlib
import json
from dataclasses import asdict, dataclass

from ..kernel.errors import WeightsError


@dataclass(frozen=True)
class Chunk:
    """The digest and size of one chunk of a version's weights."""

    digest: str
    size_bytes: int


@dataclass(frozen=True)
class Manifest:
    """The chunks of a version's weights.

    :param weights_digest: the digest over all chunks, concatenated in order.
    """

    model: str
    version: str
    weights_digest: str
    chunks: tuple[Chunk, ...]

    @property
    def size_bytes(self):
        """The size of all chunks together."""
        return sum(chunk.size_bytes for chunk in self.chunks)

    def to_bytes(self):
        """Return the canonical JSON encoding, whose digest names the manifest."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the manifest encoded in `data`.

        :raises WeightsError: if `data` does not encode a manifest.
        """
        try:
            raw = dict(json.loads(data))
            chunks = tuple(Chunk(**chunk) for chunk in raw.pop("chunks"))
            return cls(chunks=chunks, **raw)
        except (ValueError, TypeError, KeyError, RecursionError) as error:
            raise WeightsError(f"malformed manifest: {error!r}") from error


def digest_of(data):
    """Return the SHA-256 of `data` in hexadecimal, by which it is addressed."""
    return hashlib.sha256(data).hexdigest()


def build_manifest(model, version, chunks):
    """Return the manifest of the weights that consist of `chunks`."""
    hasher = hashlib.sha256()
    for chunk in chunks:
        hasher.update(chunk)
    described = tuple(Chunk(digest_of(chunk), len(chunk)) for chunk in chunks)
    return Manifest(model, version, hasher.hexdigest(), described)
