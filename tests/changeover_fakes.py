"""Fakes for tests of changeovers: an object API, an engine and a gate in memory."""

import copy
from types import SimpleNamespace

from briarbeam.configuration.resources import Configuration
from briarbeam.gate.backends import BackendStatus
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import (
    ConflictError,
    ConnectError,
    ExchangeError,
    NotFoundError,
    OrderError,
    PlatformUnavailableError,
    PlatformUnknownError,
    UnavailableError,
)
from briarbeam.objects.client import StoredObject
from briarbeam.weights.changeover import Changeover
from briarbeam.weights.fence import Fences
from briarbeam.weights.reconcile import Reconciler

ORDER_TIMEOUT_S = 30.0
EXPIRY_S = 45.0
STALL_TIMEOUT_S = 10.0
ADAPTER = "tariffs"
DIGEST = "0" * 64


class Objects:
    """The object API in memory.

    ``mode`` is ``ok``, ``down`` or ``lose`` (writes take effect, but their replies are
    lost).
    """

    def __init__(self):
        self.mode = "ok"
        self._held = {}
        self._revision = 0

    def get(self, kind, name):
        if self.mode == "down":
            raise PlatformUnavailableError("down")
        if (kind, name) not in self._held:
            raise NotFoundError(name)
        version, value = self._held[kind, name]
        return StoredObject(kind, name, version, copy.deepcopy(value))

    def put(self, kind, name, value, if_version=None):
        if self.mode == "down":
            raise PlatformUnavailableError("down")
        version = self._held.get((kind, name), (0, None))[0]
        if if_version is not None and if_version != version:
            raise ConflictError(name)
        self._revision += 1
        self._held[kind, name] = self._revision, copy.deepcopy(value)
        if self.mode == "lose":
            raise PlatformUnknownError("lost")
        return self._revision


class Engine:
    """An engine that ignores fencing numbers; ``fault`` applies to its next order.

    ``refused``: the engine answers with an error. ``lost``: it neither answers nor
    executes the order. ``unreachable``: the connection is refused. ``late``: the order
    takes effect ``late_s`` after its sender timed out. ``crashes``: the engine is
    ``dead`` afterwards and its status can't be read.
    """

    def __init__(self, clock):
        self._clock = clock
        self.loaded = {"chat": "v1"}
        self.orders = []
        self.fault = None
        self.late_s = 0.0
        self._late = None

    def status(self):
        if self.fault == "dead":
            raise UnavailableError("dead")
        if self._late is not None and self._clock.monotonic_s() >= self._late[0]:
            self.loaded.update(self._late[1])
            self._late = None
        return BackendStatus("one", dict(self.loaded))

    def order(self, body, timeout_s):
        self.orders.append((self._clock.monotonic_s(), body["fence"]))
        fault, self.fault = self.fault, None
        if fault == "refused":
            raise OrderError("bad weights")
        if fault == "lost":
            raise OrderError("lost") from ExchangeError("lost")
        if fault == "unreachable":
            raise OrderError("not sent") from ConnectError("refused")
        if fault == "late":
            self._clock.sleep(timeout_s)
            due_s = self._clock.monotonic_s() + self.late_s
            self._late = due_s, {body["name"]: body["version"]}
            raise OrderError("lost") from ExchangeError("silent")
        if fault == "crashes":
            self.fault = "dead"
            raise OrderError("lost") from ExchangeError("lost")
        self.loaded[body["name"]] = body["version"]


class Gate:
    """The gate as changeovers use it; ``closed`` holds the reasons why it is closed."""

    def __init__(self, engine):
        self.backend = engine
        self.loaded_versions = {}
        self.closed = set()
        self.idle = True
        self.admission = self

    def close(self, reason, detail=""):
        self.closed.add(reason)

    def open(self, reason):
        self.closed.discard(reason)

    def wait_idle(self, timeout_s):
        return self.idle

    def reset_limit(self):
        pass

    def probe(self):
        try:
            self.loaded_versions = self.backend.status().loaded_versions
        except UnavailableError:
            self.closed.add("backend")


class Bench:
    """One target with the fakes that its changeovers need."""

    def __init__(self):
        self.clock = ManualClock()
        self.objects = Objects()
        self.engine = Engine(self.clock)
        self.gate = Gate(self.engine)
        self.fences = self.new_fences()
        self.wanted = "v2"

    def new_fences(self):
        """Return the fences of another daemon of the same target."""
        return Fences(self.clock, self.objects, "t", ORDER_TIMEOUT_S)

    def run(self, version="v2", fences=None):
        """Run one changeover to `version`."""
        kernel = SimpleNamespace(
            clock=self.clock,
            find=lambda name: self.gate,
            settings=SimpleNamespace(
                drain_timeout_s=60,
                target=SimpleNamespace(order_timeout_s=ORDER_TIMEOUT_S),
            ),
        )
        order = {"kind": "model", "name": "chat", "version": version}
        changeover = Changeover(
            kernel, fences or self.fences, order, lambda: self.wanted == version
        )
        changeover.run()


def new_reconciler(bench, base_version, rollouts):
    """Return a reconciler of a target that serves ``chat`` and an adapter on it.

    :param base_version: the version of ``chat`` that the adapter needs.
    :param rollouts: the wanted version by model.
    """
    resources = {
        "model/chat": {},
        f"model/{ADAPTER}": {"base": "chat"},
    }
    for name, version in rollouts.items():
        spec = {"model": name, "size_bytes": 1, "base_version": None}
        spec.update(manifest_digest=DIGEST, weights_digest=DIGEST)
        if name == ADAPTER:
            spec["base_version"] = base_version
        resources[f"version/{name}@{version}"] = spec
        resources[f"rollout/{name}"] = {"version": version}
    head = {key: {"spec": spec, "generation": 1} for key, spec in resources.items()}
    plugins = {
        "gate": bench.gate,
        "platform": SimpleNamespace(objects=bench.objects),
        "configuration": SimpleNamespace(
            configuration=Configuration.from_head(1, {"resources": head}), members={}
        ),
    }
    settings = SimpleNamespace(
        drain_timeout_s=60,
        instance=SimpleNamespace(name="t", failure_domain="x"),
        listen=SimpleNamespace(http="127.0.0.1:1"),
        weights=SimpleNamespace(
            permit_expiry_s=EXPIRY_S, wave_patience_s=STALL_TIMEOUT_S
        ),
        target=SimpleNamespace(models=["chat"], order_timeout_s=ORDER_TIMEOUT_S),
    )
    kernel = SimpleNamespace(clock=bench.clock, settings=settings, find=plugins.get)
    bench.gate.probe()
    return Reconciler(kernel, lambda digest: True)
