"""Fakes for the distribution of weights: an engine, an origin and a network."""

import hashlib
import json

from bench.state_group import Reply
from briarbeam.kernel.errors import BriarbeamError
from briarbeam.kernel.network import Address

MODEL = "m"
CHUNK_COUNT = 8


def chunk(version, number):
    """Return the bytes of a chunk, which differ between any two versions."""
    return b"%d/%d " % (version, number) * 20


def digests(version):
    """Return the SHA-256 digests of the chunks of a version, in hexadecimal."""
    return [
        hashlib.sha256(chunk(version, number)).hexdigest()
        for number in range(CHUNK_COUNT)
    ]


class UnreachableError(BriarbeamError):
    """The fake network has no handler for the address."""


class FakeNetwork:
    """Passes requests to the handler of their address, and records the requests."""

    def __init__(self):
        self.handlers = {}
        self.calls = []

    def send(self, address, request):
        handler = self.handlers.get(address)
        if handler is not None and request.before_send is not None:
            request.before_send()
        self.calls.append((address, request.method, request.path))
        if handler is None:
            raise UnreachableError(str(address))
        return handler(request)

    def count(self, address, path_part):
        """Return the number of requests to `address` whose path has `path_part`."""
        return sum(a == address and path_part in path for a, _, path in self.calls)


class FakeEngine:
    """An engine that loads staged chunks without verifying them.

    An order for an empty range of layers leaves it without weights.
    """

    def __init__(self, version=0):
        self.staged = {}
        self.version = version
        self.orders = []
        self.started_ms = 1
        self.accepted = 0
        self.loaded = None
        self.running = 0
        self.busy = False
        # Called before and after each answer, for example to advance a clock.
        self.before = lambda method, path: None
        self.after = lambda method, path: None

    def __call__(self, request):
        path, _, query = request.path.partition("?")
        self.before(request.method, path)
        try:
            return self._answer(request, path, query)
        finally:
            self.after(request.method, path)

    def _answer(self, request, path, query):
        if path == "/-/report":
            return Reply(200, json.dumps(self.report()).encode())
        if path == "/-/order":
            return self._order(json.loads(request.body))
        number = int(query.partition("=")[2] or -1)
        if path.startswith("/-/stage-put/"):
            self.staged[number] = request.body
            return Reply(200)
        if number < 0:
            return Reply(200, json.dumps({"held": sorted(self.staged)}).encode())
        if number not in self.staged:
            return Reply(404)
        return Reply(200, self.staged[number])

    def is_whole(self):
        """Return whether it holds no other chunks than those of its version."""
        return self.loaded is None or self.loaded == {
            number: chunk(self.version, number) for number in range(CHUNK_COUNT)
        }

    def report(self):
        models = [{"name": MODEL, "version": self.version}] if self.version else []
        return {
            "models": models, "busy": self.busy, "seq": self.accepted, "queued": 0,
            "running": self.running, "born": self.started_ms,
        }  # fmt: skip

    def _order(self, order):
        self.orders.append(order)
        if order["precondition"] != self.accepted or self.busy:
            return Reply(409)
        is_empty = order.get("from") is not None and order["from"] == order["to"]
        if order["version"] == self.version and not is_empty:
            return Reply(200)
        self.accepted += 1
        if is_empty:
            self.version, self.loaded = 0, None
            return Reply(202)
        self.loaded = dict(self.staged)
        self.version = order["version"]
        return Reply(202)


class FakeOrigin:
    """An origin that sends each chunk in `corrupt` corrupted once.

    It does not answer while `down`.
    """

    def __init__(self):
        self.corrupt = set()
        self.down = False

    def __call__(self, request):
        if self.down:
            raise UnreachableError("origin")
        path, _, query = request.path.partition("?")
        fields = dict(part.split("=") for part in query.split("&"))
        version = int(fields["version"])
        if path.startswith("/-/manifest/"):
            body = {"version": version, "digests": digests(version)}
            return Reply(200, json.dumps(body).encode())
        number = int(fields["num"])
        if number in self.corrupt:
            self.corrupt.discard(number)
            return Reply(200, b"garbage")
        return Reply(200, chunk(version, number))


ORIGIN = Address("10.0.9.9", 80)
ENGINE = Address("10.0.0.5", 90)
