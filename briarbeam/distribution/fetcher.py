"""Fetches manifests and chunks from entries, for a stager."""

import time

from prometheus_client import Counter

from ..kernel.errors import BriarbeamError
from ..kernel.network import Address
from .chunks import fetch_peer_chunk, fetch_peer_manifest
from .copies import matches
from .errors import ChunkUnavailableError, CorruptChunkError
from .ranking import chunk_subject, manifest_subject, rank_entries

# For how long an entry that failed is ranked behind the others.
AVOID_S = 2.0

_FETCHED = Counter(
    "briarbeam_chunks_fetched", "Chunks fetched from entries", ["result"]
)


class ChunkFetcher:
    """Fetches from the entries of the own failure domain in rank order, then from others.

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

        :raises BriarbeamError: if the entry that was asked does not return it.
        """
        return self._fetch_from_first(
            manifest_subject(model, version),
            lambda peer: fetch_peer_manifest(self._network, peer, model, version),
        )

    def fetch_chunk(self, manifest, number):
        """Return the verified bytes of a chunk.

        :raises ChunkUnavailableError: if the entry that was asked does not have it in time.
        :raises BriarbeamError: if the entry fails or sends bytes of another digest.
        """
        model, version = manifest.model, manifest.version
        try:
            content = self._fetch_from_first(
                chunk_subject(model, version, number),
                lambda peer: fetch_peer_chunk(
                    self._network, peer, model, version, number
                ),
            )
            if not matches(manifest, number, content):
                raise CorruptChunkError(
                    f"chunk {number} of {model}/{version} does not match its digest"
                )
        except BriarbeamError:
            _FETCHED.labels("failed").inc()
            raise
        _FETCHED.labels("ok").inc()
        return content

    def _fetch_from_first(self, subject, fetch):
        """Return what `fetch` gets from the first entry in rank.

        Entries that failed lately rank behind the others.
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
        except ChunkUnavailableError:
            raise
        except BriarbeamError:
            self._avoid_until_s[host] = now_s + AVOID_S
            raise
