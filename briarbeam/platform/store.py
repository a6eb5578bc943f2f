"""The client of the platform's metadata store: lists and watches.

It writes nothing, as briarbeam has no data of its own to persist on this platform.
"""

import time
from dataclasses import dataclass
from urllib.parse import urlencode

import structlog
from prometheus_client import Counter, Histogram

from ..kernel.errors import BriarbeamError
from ..kernel.lenient_json import parse_leniently
from ..kernel.network import HttpRequest, fetch_in_parts
from ..relay.errors import (
    HistoryGoneError,
    RecheckError,
    StoreUnavailableError,
)
from .pages import read_item, read_items, read_revision

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
_log = structlog.get_logger()


@dataclass(frozen=True)
class Record:
    """An object of the store.

    :param revision: the store's revision at which it was last changed.
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
    """

    def __init__(self, network, address, timeout_s=CALL_TIMEOUT_S):
        self._network = network
        self._address = address
        self._timeout_s = timeout_s
        self._unnamed_counts = {}

    def list(self, kind):
        """Return all records of `kind`, and the store's revision when they were read.

        :raises StoreUnavailableError: if the store can't be reached, does not answer
            200 or sends a malformed answer.
        """
        records = {}
        query = {}
        while True:
            page = self._get("list", kind, query)
            try:
                listed = self._decode_items(kind, read_items(page, "items"))
                if not page.get("more"):
                    return [*(records | listed).values()], read_revision(page)
            except (KeyError, TypeError, AttributeError) as error:
                raise StoreUnavailableError(
                    f"list of {kind} is malformed: {error!r}"
                ) from error
            if not listed.keys() - records.keys():
                raise StoreUnavailableError(f"list of {kind} repeats a page")
            records |= listed
            query = {"after": next(reversed(listed))}

    def watch(self, kind, revision, wait_s):
        """Return changes of `kind` after `revision`, and the revision to continue from.

        :param wait_s: how long the store may wait for a first change, in seconds.
        :raises HistoryGoneError: if the store no longer has the changes after
            `revision`, so that a new list is needed.
        :raises StoreUnavailableError: as for `list`.
        """
        query = {"watch": revision, "wait_ms": int(wait_s * 1000)}
        page = self._get("watch", kind, query, wait_s)
        try:
            events = read_items(page, "events")
            return [_decode_change(event) for event in events], read_revision(page)
        except (KeyError, TypeError) as error:
            raise StoreUnavailableError(
                f"watch of {kind} is malformed: {error!r}"
            ) from error

    def _get(self, call, kind, query, wait_s=0.0):
        """Return the decoded JSON of the store's answer.

        :param call: ``list`` or ``watch``, for metrics and logs.
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
        try:
            status, _, content = fetch_in_parts(
                self._network, self._address, request, BODY_MAX_BYTES
            )
        except BriarbeamError as error:
            # The `Mirror` interrupted the watch; the network wraps the error as a
            # failure.
            if isinstance(error.__cause__, RecheckError):
                raise error.__cause__ from None
            _CALLS.labels(call, "none").inc()
            raise StoreUnavailableError(f"GET {path} failed: {error}") from error
        _CALLS.labels(call, status).inc()
        self._observe_body(call, kind, len(content), time.monotonic() - sent_s)
        if status == 410:
            raise HistoryGoneError(f"GET {path}: the store dropped this history")
        if status != 200:
            raise StoreUnavailableError(f"GET {path} failed with status {status}")
        try:
            return parse_leniently(content)
        except ValueError as error:
            raise StoreUnavailableError(f"answer to GET {path} is not JSON") from error

    def _decode_items(self, kind, items):
        """Return the records by name; items that name no record are left out."""
        read = [read_item(item) for item in items]
        unnamed = read.count(None)
        if unnamed and unnamed != self._unnamed_counts.get(kind):
            _log.warning("items_unnamed", kind=kind, count=unnamed)
        self._unnamed_counts[kind] = unnamed
        return {fields[0]: Record(*fields) for fields in read if fields is not None}

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


def _decode_change(event):
    """Return the `Change` in an event of a watch.

    :raises HistoryGoneError: if the event names no change, so that only a new list
        shows what has changed.
    """
    removed = event.get("removed") if isinstance(event, dict) else None
    fields = read_item(event["object"]) if isinstance(removed, int) else None
    if fields is None:
        raise HistoryGoneError("an event of the store names no change")
    return Change(Record(*fields), bool(removed))
