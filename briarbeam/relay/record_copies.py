"""Supplies a follower's records of instances with copies of its reader's.

A change of these records ended a watch at every entry, and each of them called the
store again, which bills every call. Only the reader of a failure domain watches them
now. It announces each change to its neighbours, which fetch a copy. A lost announcement
shows at the next confirmation.
"""

import random
import time

import gevent
import structlog
from prometheus_client import Counter

from ..distribution.errors import ChunkUnavailableError
from ..distribution.messages import RecordsAnnouncement
from ..distribution.state_copy import (
    MAX_BYTES,
    decode_copy,
    encode_copy,
    pack_records,
)
from ..kernel.errors import BriarbeamError
from ..kernel.network import Address, HttpRequest, fetch_in_parts

# An entry whose records are known to be outdated for this long watches the store
# itself. A confirmation comes every 0.7 s, so two copies may fail.
OUTDATED_MAX_S = 1.0
# How long the reader may send nothing, before and during its answer.
FETCH_SILENCE_S = 0.4
FETCH_CONNECT_TIMEOUT_S = 0.2
# Neighbours fetch a copy at random within this time for each of them, so that they
# don't all ask at once.
SPREAD_PER_NEIGHBOUR_S = 0.001

_COPIES = Counter(
    "briarbeam_record_copies", "Records of instances taken from the reader", ["result"]
)
_log = structlog.get_logger()


class RecordCopies:
    """Keeps a mirror equal to the reader's, without calls to the store.

    :param network: the `Network`.
    :param address: this entry's `Address` for its peers; all use the same port.
    :param clock: the `Clock`.
    :param is_following: a function that returns whether a neighbour, the reader,
        confirms the mirrors of this entry.

    The `EntryExchange` sets two functions: `send` sends a `RecordsAnnouncement` to a
    host, `neighbours` returns the hosts of the other entries of the failure domain.
    `mirror` is the `Mirror`.
    """

    def __init__(self, network, address, clock, is_following):
        self._network = network
        self._port = address.port
        self._clock = clock
        self._is_following = is_following
        self._outdated_since_s = None
        self._task = None
        self._packed = (None, b"")
        self.mirror = None
        self.send = lambda announcement, host: None
        self.neighbours = list

    def is_supplied(self):
        """Return whether the reader supplies the records, so that no watch is needed."""
        if not self._is_following():
            self._outdated_since_s = None
            return False
        if self._outdated_since_s is None:
            return True
        outdated_s = self._clock.boottime_s() - self._outdated_since_s
        return outdated_s < OUTDATED_MAX_S

    def announce(self):
        """Announce the records to neighbours after a change, if this is the reader."""
        if not self._is_following():
            announcement = RecordsAnnouncement(self.mirror.store_revision)
            for host in self.neighbours():
                self.send(announcement, host)

    def handle_announcement(self, host, announcement):
        """Fetch the records that the reader at `host` announces, if they are newer."""
        if announcement.revision > self.mirror.store_revision:
            self._fetch_from(host)

    def compare(self, host, summary):
        """Compare the records with the reader's, by the summary in its confirmation."""
        if tuple(summary) == self.mirror.summary:
            self._outdated_since_s = None
        else:
            self._fetch_from(host)

    def encode(self, revision):
        """Return a copy of this entry's records as bytes, for a neighbour.

        :raises ChunkUnavailableError: if they are older than `revision`.
        """
        age_s = self.mirror.age_s
        records, current = self.mirror.snapshot()
        if age_s is None or current < revision:
            raise ChunkUnavailableError(
                f"records of revision {revision} are not available, this entry has "
                f"those of {current}"
            )
        if self._packed[0] != current:
            self._packed = current, pack_records(records, current)
        return encode_copy(self._packed[1], age_s)

    def _fetch_from(self, host):
        # A watch that still waits shows the change itself.
        if not self._is_following() or self.mirror.watching:
            return
        if self._outdated_since_s is None:
            self._outdated_since_s = self._clock.boottime_s()
        if self._task is None:
            self._task = gevent.spawn(self._fetch, host)

    def _fetch(self, host):
        try:
            spread_s = SPREAD_PER_NEIGHBOUR_S * len(self.neighbours())
            gevent.sleep(random.uniform(0.0, spread_s))
            self._apply_copy(host)
        except BriarbeamError as error:
            _COPIES.labels("failed").inc()
            _log.info("records_not_copied", host=host, error=str(error))
        finally:
            self._task = None

    def _apply_copy(self, host):
        sent_s, started_s = self._clock.boottime_s(), time.monotonic()
        request = HttpRequest(
            "GET",
            f"/records/{self.mirror.store_revision}",
            timeout_s=FETCH_SILENCE_S,
            connect_timeout_s=FETCH_CONNECT_TIMEOUT_S,
        )
        address = Address(host, self._port)
        status, _, data = fetch_in_parts(self._network, address, request, MAX_BYTES)
        if status != 200:
            raise ChunkUnavailableError(f"copy was refused with status {status}")
        copy = decode_copy(data)
        self.mirror.replace_if_later(
            copy.records, copy.store_revision, sent_s - copy.age_s
        )
        self._outdated_since_s = None
        _COPIES.labels("ok").inc()
        _log.info(
            "records_copied",
            revision=copy.store_revision,
            host=host,
            size_bytes=len(data),
            elapsed_s=round(time.monotonic() - started_s, 3),
        )
