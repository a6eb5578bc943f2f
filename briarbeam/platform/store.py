"""The client of the platform's metadata store: lists and watches.

It writes nothing, as briarbeam has no data of its own to persist on this platform.

The store may be restored from an older copy. Its answers state how often that has
happened, its era. The revisions that the client returns and accepts contain the era,
see `revisions`.
"""

import time
from dataclasses import dataclass
from urllib.parse import urlencode

import structlog
from prometheus_client import Counter, Gauge, Histogram

from ..kernel.errors import BriarbeamError, ReplyTooLargeError
from ..kernel.lenient_json import parse_leniently
from ..kernel.network import HttpRequest, fetch_in_parts
from ..kernel.silence import SilenceDetector
from ..relay.errors import (
    ChangesTooLargeError,
    HistoryGoneError,
    RecheckError,
    StoreRewoundError,
    StoreUnavailableError,
)
from .pages import read_item, read_items, read_revision
from .revisions import ERA_MAX, era_of, join_revision, number_of

# The store answers in about 4 ms. A call without an answer after this time is
# considered lost, and callers repeat it.
CALL_TIMEOUT_S = 0.7
# The longest pause within an answer's body. The whole body may take longer: a desired
# state of a thousand routes may arrive slowly.
BODY_TIMEOUT_S = 2.0
# A watch may return several records of a megabyte each.
BODY_MAX_BYTES = 16 * 1024 * 1024
# Answers of this size or larger are logged individually, as they add noticeable load to
# links between regions.
LARGE_BODY_BYTES = 16384
_ERA_HEADER = "store-era"
_CALLS = Counter("briarbeam_store_calls", "Calls to the store", ["call", "status"])
_READ_BYTES = Counter(
    "briarbeam_store_read_bytes", "Bytes of the store's answers", ["kind"]
)
_LIST_SECONDS = Histogram(
    "briarbeam_store_list_seconds",
    "Seconds from a list's call to the end of its answer",
    ["kind"],
    buckets=(0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0),
)
_ERA = Gauge("briarbeam_store_era", "How often the store was restored from a copy")
_log = structlog.get_logger()


@dataclass(frozen=True)
class Record:
    """An object of the store.

    :param revision: the store's revision at which it was last changed, with the era.
    :param spec: the decoded content, or None if its bytes could not be read.
    """

    name: str
    revision: int
    spec: object


@dataclass(frozen=True)
class Change:
    """One event of a watch; `record` has the last content of a removed record."""

    record: Record
    removed: bool


class StoreClient:
    """Calls the store, with a timeout for each call.

    :param network: the `Network` to send with.
    :param address: the store's `Address`.
    :param timeout_s: how long to wait for an answer; in a watch, in addition to
        `wait_s`.

    `on_era` is called with the era, and the one before or None, when the era becomes
    known and when it has risen.
    """

    def __init__(self, network, address, timeout_s=CALL_TIMEOUT_S):
        self._network = SilenceDetector(network)
        self._address = address
        self._timeout_s = timeout_s
        self._unnamed_counts = {}
        # The latest era that is known, or None before the first answer.
        self._era = None
        self._logged_odd_era = False
        self.on_era = lambda era, previous: None

    def list(self, kind):
        """Return all records of `kind`, and the store's revision when they were read.

        :raises HistoryGoneError: if the store was restored while it was listed.
        :raises StoreUnavailableError: if the store can't be reached, does not answer
            200 or sends a malformed answer.
        """
        records = {}
        query = {}
        first_era = None
        while True:
            page, era = self._get("list", kind, query)
            if first_era is None:
                first_era = era
            elif era != first_era:
                raise StoreRewoundError(f"list of {kind} spans two eras", era)
            try:
                listed = self._decode_items(kind, read_items(page, "items"), era)
                if not page.get("more"):
                    revision = join_revision(era, read_revision(page))
                    return [*(records | listed).values()], revision
            except (KeyError, TypeError, AttributeError) as error:
                raise StoreUnavailableError(
                    f"list of {kind} is malformed: {error!r}"
                ) from error
            if not listed.keys() - records.keys():
                raise StoreUnavailableError(f"list of {kind} repeats a page")
            records |= listed
            query = {"after": next(reversed(listed))}

    def watch(self, kind, revision, wait_s, max_bytes=BODY_MAX_BYTES):
        """Return changes of `kind` after `revision`, and the revision to continue from.

        :param wait_s: how long the store may wait for a first change, in seconds.
        :param max_bytes: the largest answer that is read.
        :raises ChangesTooLargeError: if the answer is larger than `max_bytes`.
        :raises HistoryGoneError: if the store no longer has the changes after
            `revision`, so that a new list is needed.
        :raises StoreRewoundError: if that is because the store was restored.
        :raises StoreUnavailableError: as for `list`.
        """
        query = {"watch": number_of(revision), "wait_ms": int(wait_s * 1000)}
        page, era = self._get("watch", kind, query, wait_s, era_of(revision), max_bytes)
        try:
            events = read_items(page, "events")
            changes = [_decode_change(event, era) for event in events]
            return changes, join_revision(era, read_revision(page))
        except (KeyError, TypeError) as error:
            raise StoreUnavailableError(
                f"watch of {kind} is malformed: {error!r}"
            ) from error

    def _get(
        self,
        call,
        kind,
        query,
        wait_s=0.0,
        watched_era=None,
        max_bytes=BODY_MAX_BYTES,
    ):
        """Return the decoded JSON of the store's answer, and the era of the answer.

        :param call: ``list`` or ``watch``, for metrics and logs.
        :param watched_era: the era of the revision to watch from; None for a list.
        """
        path = f"/-/objects/{kind}"
        if query:
            path += f"?{urlencode(query)}"
        request = HttpRequest(
            "GET",
            path,
            timeout_s=wait_s + self._timeout_s,
            read_timeout_s=BODY_TIMEOUT_S,
        )
        sent_s = time.monotonic()
        if watched_era is not None and watched_era > (self._era or 0):
            # Another entry, from which the revision came, has seen this era.
            self._set_era(watched_era)
        era_when_sent = self._era
        try:
            status, headers, content = fetch_in_parts(
                self._network, self._address, request, max_bytes
            )
        except ReplyTooLargeError as error:
            _CALLS.labels(call, "too_large").inc()
            if call == "watch":
                raise ChangesTooLargeError(f"GET {path}: {error}") from error
            raise StoreUnavailableError(f"GET {path} failed: {error}") from error
        except BriarbeamError as error:
            # The `Mirror` interrupted the watch; the network wraps the error as a
            # failure.
            if isinstance(error.__cause__, RecheckError):
                raise error.__cause__ from None
            _CALLS.labels(call, "none").inc()
            raise StoreUnavailableError(f"GET {path} failed: {error}") from error
        _CALLS.labels(call, status).inc()
        self._observe_body(call, kind, len(content), time.monotonic() - sent_s)
        era = self._read_era(headers.get(_ERA_HEADER), era_when_sent)
        if watched_era is not None and era > watched_era:
            raise StoreRewoundError(
                f"GET {path}: the store is in era {era}, not {watched_era} any more",
                era,
            )
        if status == 410:
            raise HistoryGoneError(f"GET {path}: the store dropped this history")
        if status != 200:
            raise StoreUnavailableError(f"GET {path} failed with status {status}")
        try:
            return parse_leniently(content), era
        except ValueError as error:
            raise StoreUnavailableError(f"answer to GET {path} is not JSON") from error

    def _decode_items(self, kind, items, era):
        """Return the records by name; items that name no record are left out."""
        read = [read_item(item) for item in items]
        unnamed = read.count(None)
        if unnamed and unnamed != self._unnamed_counts.get(kind):
            _log.warning("items_unnamed", kind=kind, count=unnamed)
        self._unnamed_counts[kind] = unnamed
        records = [_make_record(fields, era) for fields in read if fields is not None]
        return {record.name: record for record in records}

    def _read_era(self, header, era_when_sent):
        """Return the era of an answer.

        An answer to a call that was sent before the current era was known may be from
        an earlier one. Without a valid era, or with a lower one than was known when the
        call was sent, it counts as being from the era that was known then.

        :param header: the value of the answer's header, or None.
        :param era_when_sent: the era that was known when the call was sent, or None.
        :raises HistoryGoneError: if the answer is from an earlier era.
        """
        is_valid = header is not None and header.isascii() and header.isdecimal()
        era = int(header) if is_valid and len(header) <= len(str(ERA_MAX)) else -1
        known = era_when_sent or 0
        if not known <= era <= ERA_MAX:
            if not self._logged_odd_era:
                self._logged_odd_era = True
                _log.warning("store_era_odd", header=header, era=known)
            era = known
        if era < (self._era or 0):
            raise HistoryGoneError(f"answer is from era {era}, now is {self._era}")
        if era != self._era:
            self._set_era(era)
        return era

    def _set_era(self, era):
        previous, self._era = self._era, era
        if previous is not None:
            _log.warning("store_rewound", era=era, previous=previous)
        _ERA.set(era)
        self.on_era(era, previous)

    def _observe_body(self, call, kind, size_bytes, elapsed_s):
        _READ_BYTES.labels(kind).inc(size_bytes)
        if call == "list":
            _LIST_SECONDS.labels(kind).observe(elapsed_s)
        if size_bytes >= LARGE_BODY_BYTES:
            _log.info(
                "store_read",
                call=call,
                kind=kind,
                size_bytes=size_bytes,
                elapsed_s=round(elapsed_s, 3),
            )


def _decode_change(event, era):
    """Return the `Change` in an event of a watch.

    :raises HistoryGoneError: if the event names no change, so that only a new list
        shows what has changed.
    """
    removed = event.get("removed") if isinstance(event, dict) else None
    fields = read_item(event["object"]) if isinstance(removed, int) else None
    if fields is None:
        raise HistoryGoneError("an event of the store names no change")
    return Change(_make_record(fields, era), bool(removed))


def _make_record(fields, era):
    """Return the `Record` of the name, the revision and the spec of an object."""
    name, number, spec = fields
    return Record(name, join_revision(era, number), spec)
