"""The client of the platform's metadata store: lists and watches.

Nothing of briarbeam's own has to last on this platform, so it writes nothing.
"""

import json
import time
from dataclasses import dataclass
from urllib.parse import urlencode

import structlog
from prometheus_client import Counter, Histogram

from ..kernel.errors import BriarbeamError
from ..kernel.network import HttpRequest, fetch_in_parts
from ..relay.errors import (
    HistoryGoneError,
    RecheckError,
    StoreUnavailableError,
)

# The store answers in about 4 ms; a call that is silent for longer than this is
# taken as lost and made again.
CALL_TIMEOUT_S = 0.7
# The longest silence in a body; a desired state of a thousand routes may come slowly.
BODY_TIMEOUT_S = 2.0
# A watch may bring several values of a megabyte.
BODY_MAX_BYTES = 16 * 1024 * 1024
# Answers above this are told of one by one; they matter to links between regions.
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

    :param spec: what it says, or None if its bytes could not be read.
    """

    name: str
    revision: int
    spec: object


@dataclass(frozen=True)
class Change:
    """One event of a watch; a removed record keeps its last content."""

    record: Record
    removed: bool


class StoreClient:
    """Calls the store, each with a bound on its time.

    :param network: the `Network` to send with.
    :param address: the store's `Address`.
    """

    def __init__(self, network, address, timeout_s=CALL_TIMEOUT_S):
        self._network = network
        self._address = address
        self._timeout_s = timeout_s

    def list(self, kind):
        """Return all records of `kind` and the revision they were read at.

        :raises StoreUnavailableError: if the store can't be reached or refuses.
        """
        records = []
        after = None
        while True:
            query = {} if after is None else {"after": after}
            page = self._get("list", kind, query)
            try:
                records += [_decode_record(item) for item in page["items"]]
                if not page.get("more"):
                    return records, page["store_revision"]
                after = records[-1].name
            except (KeyError, TypeError, IndexError) as error:
                raise StoreUnavailableError(f"list of {kind}: {error!r}") from error

    def watch(self, kind, revision, wait_s):
        """Return changes of `kind` after `revision`, and the revision to go on from.

        :param wait_s: how long the store may wait for a first change, in seconds.
        :raises HistoryGoneError: if a new list is needed.
        """
        query = {"watch": revision, "wait_ms": int(wait_s * 1000)}
        page = self._get("watch", kind, query, wait_s)
        try:
            changes = [
                Change(_decode_record(event["object"]), bool(event["removed"]))
                for event in page["events"]
            ]
            return changes, page["store_revision"]
        except (KeyError, TypeError) as error:
            raise StoreUnavailableError(f"watch of {kind}: {error!r}") from error

    def _get(self, call, path, query, wait_s=0.0):
        target = f"/-/objects/{path}"
        if query:
            target += f"?{urlencode(query)}"
        request = HttpRequest(
            "GET",
            target,
            timeout_s=wait_s + self._timeout_s,
            read_timeout_s=BODY_TIMEOUT_S,
        )
        sent_s = time.monotonic()
        try:
            status, _, content = fetch_in_parts(
                self._network, self._address, request, BODY_MAX_BYTES
            )
        except BriarbeamError as error:
            if isinstance(error.__cause__, RecheckError):
                raise error.__cause__ from None
            _CALLS.labels(call, "none").inc()
            raise StoreUnavailableError(f"GET {target}: {error}") from error
        _CALLS.labels(call, status).inc()
        self._note_body(call, path, len(content), time.monotonic() - sent_s)
        if status == 410:
            raise HistoryGoneError(f"GET {target}: the history is gone")
        if status != 200:
            raise StoreUnavailableError(f"GET {target}: status {status}")
        try:
            return json.loads(content)
        except ValueError as error:
            raise StoreUnavailableError(f"GET {target}: not JSON") from error

    def _note_body(self, call, kind, size_bytes, elapsed_s):
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


def _decode_record(item):
    metadata = item["metadata"]
    return Record(metadata["name"], metadata["revision"], item.get("spec"))
