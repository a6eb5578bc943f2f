"""The client of the platform's metadata store: lists, watches, conditional writes."""

import json
from dataclasses import dataclass
from urllib.parse import quote, urlencode

from prometheus_client import Counter

from ..kernel.errors import BriarbeamError
from ..kernel.network import HttpRequest, fetch
from ..relay.errors import (
    HistoryGoneError,
    StoreConflictError,
    StoreUnavailableError,
)

# The store answers in about 4 ms; a call that is silent for longer than this is
# taken as lost and made again.
CALL_TIMEOUT_S = 0.7
_CALLS = Counter("briarbeam_store_calls", "Calls to the store", ["call", "status"])
_JSON = {"content-type": "application/json"}


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
            page = self._call("list", "GET", kind, query=query)
            records += [_decode_record(item) for item in page["items"]]
            if not page.get("more"):
                return records, page["store_revision"]
            after = records[-1].name

    def watch(self, kind, revision, wait_s):
        """Return changes of `kind` after `revision`, and the revision to go on from.

        :param wait_s: how long the store may wait for a first change, in seconds.
        :raises HistoryGoneError: if a new list is needed.
        """
        query = {"watch": revision, "wait_ms": int(wait_s * 1000)}
        page = self._call("watch", "GET", kind, query=query, wait_s=wait_s)
        changes = [
            Change(_decode_record(event["object"]), bool(event["removed"]))
            for event in page["events"]
        ]
        return changes, page["store_revision"]

    def create(self, kind, name, spec):
        """Create an object.

        :raises StoreConflictError: if there is one of that name.
        """
        body = {"metadata": {"name": name}, "spec": spec}
        return _decode_record(self._call("create", "POST", kind, body=body))

    def replace(self, kind, record, spec):
        """Replace `record` if it is still at its revision.

        :raises StoreConflictError: if it has changed meanwhile.
        """
        body = {
            "metadata": {"name": record.name, "revision": record.revision},
            "spec": spec,
        }
        path = f"{kind}/{quote(record.name, safe='')}"
        return _decode_record(self._call("replace", "PUT", path, body=body))

    def _call(self, call, method, path, query=None, body=None, wait_s=0.0):
        target = f"/-/objects/{path}"
        if query:
            target += f"?{urlencode(query)}"
        request = HttpRequest(
            method,
            target,
            body=b"" if body is None else json.dumps(body).encode(),
            headers=_JSON if body is not None else {},
            timeout_s=wait_s + self._timeout_s,
        )
        try:
            status, _, content = fetch(self._network, self._address, request)
        except BriarbeamError as error:
            _CALLS.labels(call, "none").inc()
            raise StoreUnavailableError(f"{method} {target}: {error}") from error
        _CALLS.labels(call, status).inc()
        if status == 410:
            raise HistoryGoneError(f"{method} {target}: the history is gone")
        if status == 409:
            raise StoreConflictError(f"{method} {target}: the revision differs")
        if status not in (200, 201):
            raise StoreUnavailableError(f"{method} {target}: status {status}")
        try:
            return json.loads(content)
        except ValueError as error:
            raise StoreUnavailableError(f"{method} {target}: not JSON") from error


def _decode_record(item):
    metadata = item["metadata"]
    return Record(metadata["name"], metadata["revision"], item.get("spec"))
