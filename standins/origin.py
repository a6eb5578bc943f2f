"""A stand-in for the origin of weights, which serves blobs at a limited rate."""

from .base import Faults, Pacer, new_router, new_parser, serve  # isort: skip

import random

import gevent

from briarbeam.kernel.http import Response
from briarbeam.weights.manifest import build_manifest, digest_of

PIECE_BYTES = 16384


class Origin:
    """Serves blobs by digest at a limited rate and counts the bytes of chunks sent.

    Faults: ``mode`` is ``ok``, ``down`` (503), ``silent`` (no answer for 60 s),
    ``short`` (half of each blob), ``corrupt`` (first byte changed) or ``limit`` (429);
    ``rate_bytes_per_s`` is the rate of the link, or None for no limit.
    """

    def __init__(self, rate_bytes_per_s):
        self.faults = Faults(mode="ok", rate_bytes_per_s=rate_bytes_per_s)
        self._pacer = Pacer(rate_bytes_per_s)
        self._blobs = {}
        self._sent_bytes = 0
        self._manifests = set()

    def router(self):
        """Return a router with the HTTP interface of this stand-in."""
        router = new_router(self.faults)
        router.add("GET", "/blobs/{digest}", self.read)
        router.add("PUT", "/versions/{model}/{version}", self.create)
        router.add("GET", "/counts", self.counts)
        return router

    def create(self, request, model, version):
        """Create a version of pseudo-random weights and return its digests and size.

        ``keep`` is the probability that a chunk is taken from weights that all versions
        of the model share. The other chunks depend on the version and on ``seed``.
        """
        fields = request.json()
        chunk_bytes = fields["chunk_bytes"]
        shared_random = random.Random(f"{model}/base")
        own_random = random.Random(f"{model}/{version}/{fields.get('seed', 0)}")
        chunks = []
        left_bytes = fields["size_bytes"]
        while left_bytes > 0:
            size_bytes = min(chunk_bytes, left_bytes)
            common = shared_random.randbytes(size_bytes)
            fresh = own_random.randbytes(size_bytes)
            chunks.append(
                common if own_random.random() < fields.get("keep", 0) else fresh
            )
            left_bytes -= size_bytes
        manifest = build_manifest(model, version, chunks)
        for chunk in chunks:
            self._blobs[digest_of(chunk)] = chunk
        encoded = manifest.to_bytes()
        self._blobs[digest_of(encoded)] = encoded
        self._manifests.add(digest_of(encoded))
        return Response.of_json(
            {
                "manifest_digest": digest_of(encoded),
                "weights_digest": manifest.weights_digest,
                "size_bytes": manifest.size_bytes,
            }
        )

    def read(self, request, digest):
        mode = self.faults.mode
        if mode == "silent":
            gevent.sleep(60)
        if mode in ("down", "limit"):
            return Response.of_json({}, 503 if mode == "down" else 429, retry_after=1)
        blob = self._blobs.get(digest)
        if blob is None:
            return Response.of_json({}, 404)
        if mode == "short":
            blob = blob[: len(blob) // 2]
        if mode == "corrupt":
            blob = bytes([blob[0] ^ 1]) + blob[1:]
        headers = {"content-length": str(len(blob))}
        return Response(200, self._paced(blob, digest), headers)

    def counts(self, request):
        return Response.of_json({"sent_bytes": self._sent_bytes})

    def _paced(self, blob, digest):
        self._pacer.rate_bytes_per_s = self.faults.rate_bytes_per_s
        for start in range(0, len(blob), PIECE_BYTES):
            piece = blob[start : start + PIECE_BYTES]
            self._pacer.consume(len(piece))
            if digest not in self._manifests:
                self._sent_bytes += len(piece)
            yield piece


def main():
    arguments = new_parser(__doc__)
    arguments.add_argument("--rate-bytes-per-s", type=float, default=None)
    options = arguments.parse_args()
    serve(options.listen, Origin(options.rate_bytes_per_s).router())


if __name__ == "__main__":
    main()
