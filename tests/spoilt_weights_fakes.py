"""A site of real processes, whose engine records the bytes with which it makes tokens.

Its engine follows the platform's page on orders: an order is for a range of layers, the
whole range by default. Layers that it holds already are kept, so a range without layers
empties it; the others are taken from the staged chunks as they are on acceptance.
"""

import json
import time
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult

from standins.platform import (
    CHUNK_COUNT,
    MODEL,
    Engine,
    Origin,
    Store,
    chunk,
    desired_state,
)

from . import test_node_processes

LAYER_COUNT = 16


@dataclass(frozen=True)
class Token:
    """A request that the engine ran.

    :param wrong_chunks: the numbers of the chunks in its layers that are not those of
        its version.
    """

    at_s: float
    version: int
    wrong_chunks: tuple


class StagingEngine(Engine):
    """An engine that loads layers from what is staged.

    `on_order` is called with an order before it is looked at; if it returns True, the
    order is not answered before `accept_held`. `on_list` and `on_put` are called before
    the staged chunks are listed, and after one (number and bytes) was written. `loads`
    has the version and wrong chunks of each order that took chunks. A load of all layers
    takes `load_s`.

    :param store: the `Store` in which it registers.
    """

    def __init__(self, address, name, store):
        self._store = store
        # By layer, the bytes of its chunks by number.
        self.layers = {}
        self.version = 1
        self.busy = False
        self.load_s = 0.3
        self.held_orders = []
        self.loads, self.tokens = [], []
        self.on_order = self.on_list = self.on_put = lambda *arguments: None
        super().__init__(address, name)
        self.staged = {number: chunk(1, number) for number in range(CHUNK_COUNT)}
        self.layers = self._take(range(LAYER_COUNT))

    def register(self):
        """Write its record to the store."""
        record = self.registration("z1")
        self._store.put("servers", self.name, record | self._holdings())

    def spoil(self, numbers):
        """Spoil staged chunks."""
        for number in numbers:
            content = self.staged[number]
            self.staged[number] = bytes([content[0] ^ 1]) + content[1:]

    def accept_held(self):
        """Look at the orders that were held back, in the order of their arrival."""
        for order, answer in self.held_orders:
            answer.set(self._load(order))
        self.held_orders = []

    def _holdings(self):
        if not self.layers:
            return {"models": [], "layers": None}
        first, last = min(self.layers), max(self.layers)
        return {
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "layers": {"from": first, "to": last + 1, "version": self.version},
        }

    def _answer(self, path, fields, body, environ):
        if path == "/-/report":
            report = {
                **self._holdings(), "stage": "both", "busy": self.busy,
                "seq": self.orders, "queued": 0, "running": 0, "kv_used": 0,
                "kv_total": 18_880_000, "handles": 0, "born": self.started_ms,
                "pace": 1.0, "stalled": [],
            }  # fmt: skip
            return _json(report)
        if path == "/-/order":
            return self._answer_order(json.loads(body))
        if path.startswith("/-/stage-"):
            if path.startswith("/-/stage-get/") and "num" not in fields:
                self.on_list()
            answer = super()._answer(path, fields, body, environ)
            if path.startswith("/-/stage-put/"):
                self.on_put(int(fields["num"]), body)
            return answer
        return self._generate(path, fields, body, environ)

    def _generate(self, path, fields, body, environ):
        expected = environ.get("HTTP_X_EXPECT_VERSION", str(self.version))
        if environ.get("HTTP_X_EXPECT_INSTANCE") != self.name:
            return 421, [], b""
        if self.busy:
            return 503, [("X-Not-Run", "1"), ("At-Server", self.name)], b""
        if len(self.layers) < LAYER_COUNT or expected != str(self.version):
            return 421, [("At-Server", self.name)], b""
        wrong = self._find_wrong(self.layers, self.version)
        self.tokens.append(Token(time.monotonic(), self.version, wrong))
        return super()._answer(path, fields, body, environ)

    def _answer_order(self, order):
        if not self.on_order(order):
            return self._load(order)
        answer = AsyncResult()
        self.held_orders.append((order, answer))
        return answer.get()

    def _load(self, order):
        if self.busy or order.get("precondition", self.orders) != self.orders:
            return 409, [], b""
        wanted = range(order.get("from", 0), order.get("to", LAYER_COUNT))
        is_held = order["version"] == self.version
        kept = {n: self.layers[n] for n in wanted if is_held and n in self.layers}
        if is_held and len(kept) == len(wanted) == len(self.layers):
            return 200, [], b""
        if not wanted and not is_held:
            return 409, [], b""
        self.orders += 1
        taken = self._take([n for n in wanted if n not in kept])
        if taken:
            wrong = self._find_wrong(taken, order["version"])
            self.loads.append((order["version"], wrong))
            self.busy = True
            load_s = self.load_s * len(taken) / LAYER_COUNT
            gevent.spawn_later(load_s, self._hold, kept | taken, order["version"])
        else:
            self._hold(kept, order["version"])
        return 202, [], b""

    def _hold(self, layers, version):
        self.layers, self.version, self.busy = layers, version, False
        self.register()

    def _take(self, layers):
        taken = {}
        for layer in layers:
            end = -(-(layer + 1) * CHUNK_COUNT // LAYER_COUNT)
            numbers = range(layer * CHUNK_COUNT // LAYER_COUNT, end)
            taken[layer] = {number: self.staged.get(number) for number in numbers}
        return taken

    def _find_wrong(self, layers, version):
        wrong = {
            number
            for chunks in layers.values()
            for number, content in chunks.items()
            if content != chunk(version, number)
        }
        return tuple(sorted(wrong))


class Site(test_node_processes.Site):
    """The stand-ins, one entry, one stager, and callers who ask all the time."""

    def __init__(self, folder):
        entry_host = test_node_processes.ENTRY_HOST
        stager_host = test_node_processes.STAGER_HOST
        self.store = Store((entry_host, 0))
        self.origin = Origin((entry_host, 0))
        self.engine = StagingEngine((stager_host, 0), "i-1", self.store)
        self.store.put("config", "main", desired_state(1, self.origin.address))
        self.store.put("versions", MODEL, {"model": MODEL, "version": 1})
        self.engine.register()
        self.folder = folder
        self.processes = {}
        ports = test_node_processes.free_ports(5)
        self.callers, self.readiness, self._peer, *self._metrics = ports
        self.start("entry", entry_host, self._peer, self._metrics[0])
        self.start_stager()
        # The monotonic times and versions of the streams that callers got.
        self.served = []
        self._callers = []

    def start_stager(self):
        self.start(
            "stager",
            test_node_processes.STAGER_HOST,
            self._peer,
            self._metrics[1],
            self.engine.address,
        )

    def start_callers(self, count=3):
        self._callers = [gevent.spawn(self._ask_forever) for _ in range(count)]

    def stop(self):
        gevent.killall(self._callers)
        super().stop()

    def _ask_forever(self):
        while True:
            try:
                status, headers = test_node_processes.parse_answer(self.ask())
            except (OSError, IndexError, gevent.Timeout):
                status = None
            if status == 200:
                version = int(headers["x-weight-versions"])
                self.served.append((time.monotonic(), version))
            gevent.sleep(0.02)


def _json(value):
    headers = [("Content-Type", "application/json")]
    return 200, headers, json.dumps(value).encode()
