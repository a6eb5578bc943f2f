"""A fake kernel whose clock, network and targets are controlled by the test."""

import json
from types import SimpleNamespace

from gevent.event import Event

from briarbeam.configuration.resources import Configuration
from briarbeam.entry import plugin as entry_plugin
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import (
    BackendError,
    ConnectError,
    DrainingError,
    ExchangeError,
    NoFreeSlotError,
    OverloadedError,
    UnavailableError,
)
from briarbeam.kernel.http import Router
from briarbeam.kernel.network import Address
from briarbeam.membership.members import Member
from briarbeam.routing.router import Job, RoutingPlugin
from briarbeam.settings import check

OWN_DOMAIN = "hobart"
REGIONS = {"hobart": "south", "huon": "south", "launceston": "north", "burnie": "north"}


def member(name, domain=OWN_DOMAIN, **fields):
    """Return a target that serves the model ``chat``, or the service in `fields`."""
    number = int(name.strip("abcdefghijklmnopqrstuvwxyz-"))
    address = Address(f"127.0.0.{number}", 1)
    if "service" not in fields:
        fields["models"] = ("chat",)
    region = REGIONS[domain]
    return Member(name, "target", region, domain, address, address, **fields)


class FakeReply:
    """A reply with given lines; an exception among the lines is raised."""

    def __init__(self, status, headers, lines):
        self.status = status
        self.headers = headers
        self.closed = False
        self._lines = lines

    def lines(self):
        for line in self._lines:
            if isinstance(line, Exception):
                raise line
            yield line

    def read(self, size_bytes=None):
        return b"".join(self.lines())

    def close(self):
        self.closed = True


class FakeNetwork:
    """Fake targets by address, with the behaviour in ``behaviours``, ``ok`` by default.

    Each behaviour is a method with a leading underscore. ``sent`` has all requests
    sent, ``executed`` those that may have run, and ``probes`` the readiness probes and
    liveness checks. ``loads`` and ``versions`` have what targets report in replies.
    ``break_after`` has the number of frames after which the stream of a target breaks.
    The targets in ``dead`` answer neither probes nor checks. ``while_connecting`` is
    called before a request that is not idempotent is sent.

    :param clock: advanced by the behaviour ``late``, which lets a deadline pass.
    """

    def __init__(self, clock):
        self.clock = clock
        self.behaviours = {}
        self.sent = []
        self.executed = []
        self.replies = []
        self.loads = {}
        self.versions = {}
        self.break_after = {}
        self.probes = []
        self.dead = set()
        self.while_connecting = lambda: None

    def send(self, address, request):
        name = f"t{int(address.host.rpartition('.')[2])}"
        if request.method == "GET":
            return self._probe(name, request)
        envelope = json.loads(request.body)
        if request.fresh:
            self.while_connecting()
            request.before_send()
        self.sent.append((name, envelope["request_id"]))
        behaviour = self.behaviours.get(name, "ok")
        if callable(behaviour):
            behaviour = behaviour()
        return getattr(self, f"_{behaviour}")(name, envelope, request)

    def _probe(self, name, request):
        self.probes.append((name, request.path))
        if name in self.dead or self.behaviours.get(name) in ("stall", "no_connect"):
            raise ExchangeError(f"{name} is silent")
        return FakeReply(200, {}, [b"{}"])

    def _ok(self, name, envelope, request):
        self.executed.append((name, envelope["request_id"]))
        wanted = envelope.get("version")
        version = self.versions.get(name, "v1")
        if wanted and wanted != version:
            self.executed.pop()
            return self._error(name, envelope, UnavailableError("another version"))
        return self._reply(name, envelope, 200, self._frames(name, envelope, version))

    def _frames(self, name, envelope, version):
        if "max_tokens" not in envelope:
            answer = {"status": 200, "content_type": "text/plain", "body": "done"}
            return [json.dumps(answer).encode()]
        lines = []
        start = envelope.get("resume_from", 0)
        for index in range(start, envelope["max_tokens"]):
            if index - start >= self.break_after.get(name, 10**9):
                return [*lines, ExchangeError("the connection broke")]
            frame = {"token": f"{version}-{index}", "index": index, "version": version}
            lines.append(json.dumps(frame).encode())
        end = {"done": True, "tokens": envelope["max_tokens"], "version": version}
        return [*lines, json.dumps(end).encode()]

    def _reply(self, name, envelope, status, lines, echo=None):
        headers = {"x-briarbeam-request-id": echo or envelope["request_id"]}
        if name in self.loads:
            headers["x-briarbeam-load"] = self.loads[name]
        if status == 200:
            headers["x-briarbeam-version"] = self.versions.get(name, "v1")
        reply = FakeReply(status, headers, lines)
        self.replies.append(reply)
        return reply

    def _error(self, name, envelope, error):
        body = json.dumps(error.to_dict()).encode()
        return self._reply(name, envelope, error.status, [body])

    def _no_connect(self, name, envelope, request):
        raise ConnectError("refused")

    def _refuse(self, name, envelope, request):
        return self._error(name, envelope, OverloadedError("full", retry_after_s=0.5))

    def _busy(self, name, envelope, request):
        self.loads[name] = "4/4/0/0/"
        if not envelope["may_wait"]:
            return self._error(name, envelope, NoFreeSlotError("no free slot"))
        return self._ok(name, envelope, request)

    def _closed(self, name, envelope, request):
        self.loads[name] = "0/4/0/0/leaving"
        return self._error(name, envelope, DrainingError("leaving"))

    def _fail(self, name, envelope, request):
        self.executed.append((name, envelope["request_id"]))
        return self._error(name, envelope, BackendError("failed"))

    def _break_before(self, name, envelope, request):
        raise ExchangeError("broke")

    def _break_after(self, name, envelope, request):
        self.executed.append((name, envelope["request_id"]))
        raise ExchangeError("broke")

    def _late(self, name, envelope, request):
        self.executed.append((name, envelope["request_id"]))
        self.clock.advance(request.timeout_s)
        raise ExchangeError("timed out")

    def _crossed(self, name, envelope, request):
        self.executed.append((name, envelope["request_id"]))
        return self._reply(name, envelope, 200, [b"{}"], echo="another")

    def _unreadable(self, name, envelope, request):
        self.executed.append((name, envelope["request_id"]))
        return self._reply(name, envelope, 500, [b"<html>"])

    def _stall(self, name, envelope, request):
        Event().wait()


class _Tasks:
    """Runs each task synchronously."""

    def spawn(self, function, *args):
        function(*args)


class RoutingBench:
    """An entry's routing to fake targets.

    :param members: the targets on the instance list.
    :param resources: specs by kind and name.
    :param entry: entry settings that differ from the defaults.
    """

    def __init__(self, members, resources=None, **entry):
        self.clock = ManualClock()
        self.network = FakeNetwork(self.clock)
        self.configuration_plugin = SimpleNamespace(
            members={item.name: item for item in members},
            configuration=Configuration(),
        )
        self.configure(resources or {})
        settings = check(
            {
                "role": "entry",
                "instance": {
                    "name": "e1",
                    "region": REGIONS[OWN_DOMAIN],
                    "failure_domain": OWN_DOMAIN,
                },
                "listen": {"http": "127.0.0.1:8080", "control": "127.0.0.1:8081"},
                "platform": {"object_api": "127.0.0.1:1", "origin": "127.0.0.1:2"},
                "entry": {"head_silence_s": 0.02, **entry},
            }
        )
        plugins = {"configuration": self.configuration_plugin}
        self.kernel = SimpleNamespace(
            settings=settings,
            clock=self.clock,
            network=self.network,
            router=Router(),
            tasks=_Tasks(),
            find=plugins.get,
        )
        self.routing = plugins["routing"] = RoutingPlugin(self.kernel)
        self.entry = entry_plugin.EntryPlugin(self.kernel)

    def configure(self, resources):
        """Put a configuration in force, with the next revision."""
        value = {
            "resources": {
                f"{kind}/{name}": {"spec": spec}
                for (kind, name), spec in resources.items()
            }
        }
        revision = self.configuration_plugin.configuration.revision + 1
        self.configuration_plugin.configuration = Configuration.from_head(
            revision, value
        )

    def job(self, idempotent=True, wait_s=30.0, **fields):
        """Return a job for the model, or for the service in `fields`."""
        if "service" not in fields:
            fields = {"model": "chat", **fields}
        number = len(self.network.sent)
        return Job(
            request_id=f"r{number}",
            team=fields.pop("team", "one"),
            deadline_unix_s=self.clock.now().timestamp() + wait_s,
            idempotent=idempotent,
            path="/gate/generate" if "model" in fields else "/gate/call",
            envelope=fields.pop("envelope", {"max_tokens": 4}),
            **fields,
        )
