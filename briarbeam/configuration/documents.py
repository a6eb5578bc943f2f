"""Documents that every daemon holds, each with a revision that never decreases."""

import json
import math
import zlib
from dataclasses import dataclass, field

import structlog
from prometheus_client import Counter

from ..kernel.clock import Clock
from ..membership.members import MemberParser
from .resources import Configuration

CONFIGURATION = "configuration"
INSTANCES = "instances"
COMPRESSION_LEVEL = 3
# The resources have at most 900,000 bytes.
BODY_MAX_BYTES = 4 * 1024 * 1024

_REFUSED = Counter(
    "briarbeam_document_refused", "Unreadable bodies refused", ["document"]
)
_LISTENER_FAILURES = Counter(
    "briarbeam_document_listener_failures", "Failed listeners", ["document"]
)
_log = structlog.get_logger()


@dataclass
class Document:
    """The state of a document at this daemon.

    :param value: the parsed body.
    :param confirmed_at_s: monotonic time at which the platform last confirmed that this
        revision is its newest, as far as this daemon knows.
    """

    name: str
    revision: int = 0
    body: bytes = b"{}"
    value: object = None
    confirmed_at_s: float = -math.inf
    _compressed: bytes = field(default=b"", repr=False)

    def compressed_body(self):
        """Return the compressed body, as it is sent to peers."""
        if not self._compressed:
            self._compressed = zlib.compress(self.body, COMPRESSION_LEVEL)
        return self._compressed

    def update(self, revision, body, value, compressed=b""):
        """Replace the content by that of a newer revision.

        :param compressed: the compressed body that a peer sent, so that it need not be
            compressed again; empty if there is none.
        """
        self.revision, self.body, self.value = revision, body, value
        self._compressed = compressed


class Documents:
    """The documents of this daemon."""

    def __init__(self, clock: Clock):
        self._clock = clock
        members = MemberParser()
        self._parsers = {
            CONFIGURATION: Configuration.from_document,
            INSTANCES: lambda revision, body: members.parse(body),
        }
        self._documents = {name: Document(name) for name in self._parsers}
        self._listeners = []

    def __contains__(self, name):
        return name in self._documents

    def get(self, name):
        """Return the document called `name`."""
        return self._documents[name]

    def all(self):
        """Return all documents."""
        return list(self._documents.values())

    def subscribe(self, name, listener):
        """Call ``listener(document)`` after each update of the document `name`."""
        self._listeners.append((name, listener))

    def offer(self, name, revision, body, confirmed_age_s=math.inf, compressed=b""):
        """Accept a revision if it is above the one held and its body can be parsed.

        If it is the one held already, only its confirmation is recorded.

        :param confirmed_age_s: seconds since the platform confirmed the revision.
        :param compressed: the compressed body that a peer sent.
        :returns: whether the document was updated.
        """
        held = self._documents.get(name)
        if held is None or revision < held.revision:
            return False
        is_newer = revision > held.revision
        if is_newer:
            try:
                value = self._parsers[name](revision, body)
            except Exception as error:
                _REFUSED.labels(name).inc()
                _log.warning("document_refused", document=name, revision=revision,
                             error=repr(error))  # fmt: skip
                return False
            held.update(revision, body, value, compressed)
        self.confirm(name, revision, confirmed_age_s)
        if is_newer:
            self._notify_listeners(held)
        return is_newer

    def offer_compressed(self, name, revision, compressed, confirmed_age_s=math.inf):
        """Accept a newer revision whose compressed body a peer sent; see `offer`.

        A body that can't be decompressed, or is larger than `BODY_MAX_BYTES` then, is
        refused. If the revision is the one held already, its confirmation is not
        recorded either.
        """
        held = self._documents.get(name)
        if held is None or revision <= held.revision:
            return False
        try:
            body = _decompress(compressed)
        except (ValueError, zlib.error):
            _REFUSED.labels(name).inc()
            return False
        return self.offer(name, revision, body, confirmed_age_s, compressed)

    def confirm(self, name, revision, confirmed_age_s):
        """Record that `revision` was the platform's newest `confirmed_age_s` ago."""
        held = self._documents.get(name)
        if held is not None and revision == held.revision:
            confirmed_at_s = self._clock.monotonic_s() - confirmed_age_s
            held.confirmed_at_s = max(held.confirmed_at_s, confirmed_at_s)

    def confirmed_age_s(self, name):
        """Return the seconds since the platform confirmed the revision held."""
        return self._clock.monotonic_s() - self._documents[name].confirmed_at_s

    def _notify_listeners(self, document):
        """Call the listeners; an error in one is logged, and the others still run."""
        for name, listener in self._listeners:
            if name != document.name:
                continue
            try:
                listener(document)
            except Exception as error:
                _LISTENER_FAILURES.labels(name).inc()
                _log.error("listener_failed", document=name, error=repr(error),
                           exc_info=True)  # fmt: skip


def canonical_json(value):
    """Return the JSON encoding of `value`, which is the same at every daemon."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _decompress(compressed):
    unpacker = zlib.decompressobj()
    body = unpacker.decompress(compressed, BODY_MAX_BYTES)
    if not unpacker.eof:
        raise ValueError(
            f"body of {len(compressed)} bytes is cut off, or above {BODY_MAX_BYTES} "
            "bytes when decompressed"
        )
    return body
