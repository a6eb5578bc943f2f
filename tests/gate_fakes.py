"""An in-process gate in front of the stand-ins' handlers, with a manual clock."""

import json
from types import SimpleNamespace

from briarbeam.configuration.documents import CONFIGURATION, Documents
from briarbeam.configuration.resources import Configuration
from briarbeam.gate.plugin import GatePlugin
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import ConnectError, ExchangeError
from briarbeam.kernel.http import Request, Router
from briarbeam.kernel.network import Address
from briarbeam.kernel.tasks import TaskGroup
from briarbeam.settings import check
from standins.base import EventLog
from standins.engine import Engine
from standins.service import Service

from .test_gate_claims import FakeObjects

DOMAIN = "hobart"
BACKEND = Address("127.0.0.1", 8090)


class InProcessNetwork:
    """Passes requests to a stand-in's router; connections can be refused or cut.

    ``connecting`` is called where a real network waits for the connection. Requests to
    the paths in ``cut`` fail before they reach the router.
    """

    def __init__(self, router):
        self._router = router
        self.refused = False
        self.cut = ()
        self.connecting = lambda request: None

    def send(self, address, request):
        if self.refused:
            raise ConnectError("connection refused")
        self.connecting(request)
        if request.before_send is not None:
            request.before_send()
        if request.path in self.cut:
            raise ExchangeError("connection cut after the request")
        path = request.path.partition("?")[0]
        received = Request(
            request.method, path, request.headers, {}, request.body, "127.0.0.1"
        )
        return _Reply(self._router.handle(received))


class _Reply:
    def __init__(self, response):
        self.status = response.status
        # As a real server does, by a length or in chunks.
        mark = (
            "content-length"
            if isinstance(response.body, bytes)
            else "transfer-encoding"
        )
        self.headers = {**response.headers, mark: ""}
        self._body = response.body
        self._reading = False
        self._closed = False

    def read(self, size_bytes=None):
        return self._body if isinstance(self._body, bytes) else b"".join(self._body)

    def lines(self):
        self._reading = True
        try:
            for line in self._body:
                if self._closed:
                    raise ExchangeError("closed while being read")
                yield line
        except ConnectionResetError as error:
            raise ExchangeError(str(error)) from error
        finally:
            self._reading = False

    def close(self):
        self._closed = True
        if hasattr(self._body, "close") and not self._reading:
            self._body.close()


class FakeConfiguration:
    """A fake of the configuration plug-in, as far as the gate uses it."""

    def __init__(self, clock):
        self.documents = Documents(clock)
        self.configuration = Configuration()
        self.reachable = True
        self.synced = True
        self.refreshed = 0
        self.documents.subscribe(CONFIGURATION, self._apply_document)

    def refresh(self):
        self.refreshed += 1
        return self.reachable

    def apply(self, resources):
        """Put resources in force, given by ``kind/name``."""
        revision = self.documents.get(CONFIGURATION).revision + 1
        value = {"resources": {key: {"spec": spec} for key, spec in resources.items()}}
        self.documents.offer(CONFIGURATION, revision, json.dumps(value).encode())

    def _apply_document(self, document):
        self.configuration = Configuration.from_document(
            document.revision, document.body
        )


class GateBench:
    """A gate with its backend.

    :param backend: ``engine`` or ``service``.
    :param objects: the platform's object API if several gates share it, or None.
    :param target: target settings that differ from the defaults.
    """

    def __init__(self, backend="engine", objects=None, **target):
        self.clock = ManualClock()
        self.truth = EventLog(None)
        self.objects = objects or FakeObjects()
        if backend == "engine":
            self.backend = Engine(2, self.truth)
            self.backend.faults.step_s = 0.0
            self.load("v1")
            target["models"] = ["chat"]
        else:
            self.backend = Service(self.truth)
            target["service"] = "ledger"
        self.network = InProcessNetwork(self.backend.router())
        self.configuration = FakeConfiguration(self.clock)
        self.router = Router()
        self.gate = GatePlugin(self._kernel(backend, target))
        self.configuration.apply({"service/ledger": {}})
        self.gate.probe()

    def load(self, version):
        """Load a version into the engine without the gate's knowledge."""
        entry = {"version": version, "weights_digest": f"digest of {version}"}
        self.backend._loaded["chat"] = entry

    def post(self, url, fields):
        """Send an envelope to the gate and return its reply."""
        envelope = {
            "request_id": "r1",
            "deadline_unix_s": self.clock.now().timestamp() + 30.0,
            **fields,
        }
        body = json.dumps(envelope).encode()
        return self.router.handle(Request("POST", url, {}, {}, body, "127.0.0.1"))

    def generate(self, **fields):
        """Send a generation request to the gate."""
        defaults = {"model": "chat", "prompt": "p", "max_tokens": 3}
        return self.post("/gate/generate", {**defaults, **fields})

    def call(self, **fields):
        """Send a call that is not idempotent to the gate."""
        defaults = {"service": "ledger", "method": "POST", "path": "settlements"}
        return self.post("/gate/call", {**defaults, **fields})

    def ran(self):
        """Return how many requests the backend ran."""
        return sum(record["event"] == "ran" for record in self.truth.records)

    def _kernel(self, backend, target):
        settings = check(
            {
                "role": "target",
                "instance": {
                    "name": "t1",
                    "region": "south",
                    "failure_domain": DOMAIN,
                },
                "listen": {"http": "127.0.0.1:8080", "control": "127.0.0.1:8081"},
                "platform": {
                    "object_api": "127.0.0.1:7000",
                    "origin": "127.0.0.1:7001",
                },
                "target": {
                    "backend": backend,
                    "backend_address": str(BACKEND),
                    **target,
                },
            }
        )
        plugins = {
            "configuration": self.configuration,
            "platform": SimpleNamespace(objects=self.objects),
        }
        return SimpleNamespace(
            settings=settings,
            clock=self.clock,
            network=self.network,
            router=self.router,
            tasks=TaskGroup(),
            find=plugins.get,
        )


def frames_of(response):
    """Return the frames of a reply and close it, as the server does."""
    try:
        return [json.loads(line) for line in response.body]
    finally:
        response.body.close()


def error_of(response):
    """Return the error in a refusal, as a dictionary."""
    return json.loads(response.body)["error"]
