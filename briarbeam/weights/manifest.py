"""Manifests: a version's weights as an ordered list of chunk digests."""

import hashlib
import json
from dataclasses import asdict, dataclass

from ..kernel.errors import WeightsError


@dataclass(frozen=True)
class Chunk:
    """One piece of a version's weights."""

    digest: str
    size_bytes: int


@dataclass(frozen=True)
class Manifest:
    """What a version's weights consist of.

    :param weights_digest: the digest of the whole, over all chunks in order.
    """

    model: str
    version: str
    weights_digest: str
    chunks: tuple[Chunk, ...]

    @property
    def size_bytes(self):
        """The size of the whole."""
        return sum(chunk.size_bytes for chunk in self.chunks)

    def to_bytes(self):
        """Return the canonical encoding."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def from_bytes(cls, data):
        """Return the manifest encoded in `data`.

        :raises WeightsError: if it is not a manifest.
        """
        try:
            raw = dict(json.loads(data))
            chunks = tuple(Chunk(**chunk) for chunk in raw.pop("chunks"))
            return cls(chunks=chunks, **raw)
        except (ValueError, TypeError, KeyError) as error:
            raise WeightsError(f"not a manifest: {error!r}") from error


def digest_of(data):
    """Return the digest that names `data`."""
    return hashlib.sha256(data).hexdigest()


def build_manifest(model, version, chunks):
    """Return the manifest of the weights that are made of `chunks`."""
    whole = hashlib.sha256()
    for chunk in chunks:
        whole.update(chunk)
    described = tuple(Chunk(digest_of(chunk), len(chunk)) for chunk in chunks)
    return Manifest(model, version, whole.hexdigest(), described)
