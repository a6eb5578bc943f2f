"""Fetches manifests and chunks from entries, for a stager."""

import time

from prometheus_client import Counter

from ..kernel.errors import BriarbeamError
from ..kernel.network import Address
from .chunks import fetch_peer_chunk, fetch_peer_manifest
from .errors import ChunkUnavailableError, CorruptChunkError
from .ranking import chunk_subject, manifest_subject, rank_entries

# How long an entry that failed ranks behind the others.
AVOID_S = 2.0

_FETCHED = Counter(
    "briarbeam_chunks_fetched", "Chunks fetched from entries", ["result"]
)


class ChunkFetcher:
    """Fetches from the first entry in rank.

    The entries of the stager's failure domain rank before all others, and those that
    failed recently rank last.

    :param network: the `Network`.
    :param roster: the `Roster` of entries.
    :param port: the port at which entries serve chunks.
    """

    def __init__(self, network, roster, failure_domain, port):
        self._network = network
        self._roster = roster
        self._failure_domain = failure_domain
        self._port = port
        self._avoid_until_s = {}

    def fetch_manifest(self, model, version):
        """Return the `Manifest` of a version.

        :raises ChunkUnavailableError: if no entry is known, or if the one that was
            asked does not have it in time.
        :raises BriarbeamError: if the entry can't be reached or does not answer.
        """
        return self._fetch_from_first(
            manifest_subject(model, version),
            lambda peer: fetch_peer_manifest(self._network, peer, model, version),
        )

    def fetch_chunk(self, digests, number):
        """Return the verified bytes of a chunk.

        Entries verify chunks themselves. So if one does not match, the manifest of the
        entry that sent it is compared with the known one.

        :param digests: the `VersionDigests`.

        :raises ChunkUnavailableError: as in `fetch_manifest`.
        :raises CorruptChunkError: if the bytes do not match the digest in the manifest.
        :raises BriarbeamError: as in `fetch_manifest`.
        """
        model, version = digests.manifest.model, digests.manifest.version
        network = self._network

        def fetch(peer):
            content = fetch_peer_chunk(network, peer, model, version, number)
            if digests.accepts(number, content) or digests.record_mismatch(
                number,
                content,
                verified=True,
                look=lambda: fetch_peer_manifest(network, peer, model, version),
            ):
                return content
            raise CorruptChunkError(
                f"chunk {model}/{version}/{number} of {peer} does not match its digest"
            )

        try:
            content = self._fetch_from_first(
                chunk_subject(model, version, number), fetch
            )
        except BriarbeamError:
            _FETCHED.labels("failed").inc()
            raise
        _FETCHED.labels("ok").inc()
        return content

    def _fetch_from_first(self, subject, fetch):
        """Return what `fetch` gets from the first entry in rank.

        The entry is avoided for `AVOID_S` if it fails, but not if it only lacks the
        chunk.

        :param subject: as in `rank_entries`.
        :param fetch: a function of the entry's `Address`.
        """
        now_s = time.monotonic()
        ranked = rank_entries(self._roster, self._failure_domain, subject)
        ranked += [host for host, _ in self._roster if host not in ranked]
        if not ranked:
            raise ChunkUnavailableError("no entry is known")
        ranked.sort(key=lambda host: self._avoid_until_s.get(host, 0.0) > now_s)
        host = ranked[0]
        try:
            return fetch(Address(host, self._port))
        except (ChunkUnavailableError, CorruptChunkError):
            raise
        except BriarbeamError:
            self._avoid_until_s[host] = now_s + AVOID_S
            raise
