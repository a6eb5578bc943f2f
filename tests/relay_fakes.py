"""Fakes for the request path: scripted instances, an entry and a caller on loopback."""

import contextlib
import math
import time

import gevent
from gevent import socket
from gevent.server import StreamServer

from briarbeam.catalog import (
    CallerLimits,
    DesiredState,
    Instance,
    RequestKind,
    Route,
    Service,
    Team,
)
from briarbeam.distribution.grant_client import GrantClient
from briarbeam.kernel.clock import SystemClock
from briarbeam.kernel.network import Address
from briarbeam.node_settings import CallerInputSettings
from briarbeam.platform.store import Record
from briarbeam.relay.admission import Admission, find_team_name
from briarbeam.relay.crash_evidence import CrashEvidence
from briarbeam.relay.crash_guard import CrashGuard
from briarbeam.relay.delivery import Delivery
from briarbeam.relay.dispatch import Dispatcher
from briarbeam.relay.fleet import Fleet
from briarbeam.relay.hold import HoldingPlaceFinder
from briarbeam.relay.limits import EntryPosition, RetryBudget
from briarbeam.relay.memory_budget import HeldMemory
from briarbeam.relay.places import PlaceFinder
from briarbeam.relay.process_watch import ProcessWatches
from briarbeam.relay.quarantine import Quarantine
from briarbeam.relay.server import CallerServer
from briarbeam.relay.state_in_force import NamedVersions, StateInForce
from briarbeam.relay.target import LoadReport, Target
from briarbeam.relay.target_selector import TargetSelector
from briarbeam.telemetry.request_log import RequestLog

SEAL = b"x-response-seal: s1\r\n"
MEMORY_BYTES = 300_000_000
NON_IDEMPOTENT = {"kind": RequestKind.NON_IDEMPOTENT}
RESUMABLE_STREAM = {"kind": RequestKind.STREAMING, "resumable": True, "max_gap_s": 0.4}
PROBE_PATHS = (b"/health", b"/-/report")
# The answer of a plain instance to a probe, which names another one.
OTHER_INSTANCE = b"HTTP/1.1 421 Other\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"


def ok(body=b"done", extra=b""):
    """Return the bytes of a complete answer with status 200."""
    return (
        b"HTTP/1.1 200 OK\r\n" + SEAL + extra
        + b"content-length: %d\r\n\r\n%b" % (len(body), body)
    )  # fmt: skip


def stream_head():
    """Return the head of an event stream."""
    return (
        b"HTTP/1.1 200 OK\r\n" + SEAL
        + b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )  # fmt: skip


def event(number):
    """Return a chunk with one event."""
    data = b"id: %d\ndata: tokens\n\n" % number
    return b"%x\r\n%b\r\n" % (len(data), data)


END = b"0\r\n\r\n"


class FakeInstance:
    """An instance that runs a script for each connection.

    :param script: called with this object, the socket and the bytes of each request.

    `requests` has the bytes of the requests, `probes` those of the probes, which
    `answer_probe` answers, and `closed_at_s` the monotonic times at which scripts noticed
    that the connection was closed.
    """

    def __init__(self, script, host="127.0.0.1"):
        self.requests = []
        self.probes = []
        self.answer_probe = reply(OTHER_INSTANCE)
        self.closed_at_s = []
        self._open_socks = set()
        self._script = script
        self._server = StreamServer((host, 0), self._serve)
        self._server.start()
        self.address = Address(host, self._server.server_port)

    def close(self):
        self._server.stop(timeout=0)

    def crash(self):
        """Stop to listen and reset all connections, as if the process ended."""
        self._server.close()
        for sock in list(self._open_socks):
            reset(sock)

    def end_in_order(self):
        """Close the listener and all connections, as the kernel does for a process."""
        self._server.close()
        for sock in list(self._open_socks):
            sock.shutdown(socket.SHUT_WR)
            sock.close()

    def stop_listening(self):
        """Refuse new connections and keep those that are open."""
        self._server.close()

    def restart(self):
        """Listen on the same address again."""
        self._server = StreamServer(tuple(self.address), self._serve)
        self._server.start()

    def _serve(self, sock, _):
        self._open_socks.add(sock)
        try:
            with contextlib.suppress(OSError):
                self._serve_request(sock)
        finally:
            self._open_socks.discard(sock)
        sock.close()

    def _serve_request(self, sock):
        while data := self._receive_head(sock):
            if data.split()[1] not in PROBE_PATHS:
                self.requests.append(data)
                self._script(self, sock, data)
                return
            self.probes.append(data)
            self.answer_probe(self, sock, data)

    def _receive_head(self, sock):
        """Return the bytes up to the end of a head, or none at the connection's end."""
        data = b""
        while b"\r\n\r\n" not in data:
            part = sock.recv(65536)
            if not part:
                return b""
            data += part
        return data

    def header(self, name, index=-1):
        """Return the value of a header of a received request, or None."""
        for line in self.requests[index].split(b"\r\n"):
            key, _, value = line.partition(b":")
            if key.lower() == name:
                return value.strip()
        return None


def reply(data):
    """Return a script that answers with the bytes `data`."""
    return lambda instance, sock, request: sock.sendall(data)


def never_answer(instance, sock, request):
    """Send no answer, and wait until the other side closes the connection."""
    while sock.recv(100):
        pass
    instance.closed_at_s.append(time.monotonic())


def crash_on(part, answer=None):
    """Return a script that crashes the instance at requests with a part of a prompt.

    :param answer: the bytes of the answer to other requests.
    """
    answer = answer or stream_head() + event(1) + END

    def script(instance, sock, request):
        if part in request:
            instance.crash()
        else:
            sock.sendall(answer)

    return script


def prompt(*parts):
    """Return the header of a prompt with the given ids of its parts."""
    items = b",".join(b"%b:40" % part for part in parts)
    return b"x-prefix-hash: %b\r\n" % items


def reset(sock):
    """Break a connection so that its other side sees a reset."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


class FakeSpread:
    """Stands in for `StateSpread`: what is known about newer desired states."""

    superseded_s = None
    isolated = False

    def superseded_for_s(self):
        return self.superseded_s

    def is_isolated(self):
        return self.isolated


class Entry:
    """A real entry on loopback that sends to fake instances.

    :param instances: `FakeInstance` objects by id.
    :param route: fields of the `Route` that differ from the defaults.
    """

    def __init__(self, instances, service=None, **route):
        self.clock = SystemClock()
        self.limits = CallerLimits()
        self.age_s = self.versions_age_s = 0.1
        self.in_force = StateInForce(self.clock)
        self.service = service or Service("svc", health_path="/health")
        self.paused_s = 0.0
        self.in_force.state = desired_state(self.service, **route)
        self.fleet = Fleet(self.clock, lambda: self.in_force.state.services)
        for name, fake in instances.items():
            self.add(name, fake.address)
        self.versions = new_versions(self.clock, 0.0)
        self.versions.update({})
        self.budget = RetryBudget(0.2, 100, 10.0)
        self.selector = selector = TargetSelector(
            self.fleet,
            self.clock,
            "z1",
            {"z1": "r1", "z2": "r2"},
            lambda: EntryPosition(0, 1),
        )
        self.spread = FakeSpread()
        self.admission = Admission(
            self.in_force,
            self.spread,
            lambda: self.age_s,
            4.4,
            3.0,
            self.versions,
            lambda: self.versions_age_s,
            8.0,
            0.45,
        )
        request_log = RequestLog(lambda: self.age_s)
        self.held = HeldMemory.divide(MEMORY_BYTES)
        self.grants = GrantClient(self.clock)
        self.evidence = CrashEvidence(self.clock)
        self.quarantine = Quarantine(self.clock, self.evidence)
        self.guard = CrashGuard(self.clock, self.evidence, self.quarantine)
        self.delivery = Delivery(
            self.admission,
            selector,
            self.budget,
            lambda: EntryPosition(0, 1),
            request_log,
            self.guard,
            HoldingPlaceFinder(
                PlaceFinder(selector, self.grants, self.clock), selector
            ),
            self.held.answers,
            ProcessWatches(lambda: self.paused_s),
        )
        self.dispatcher = Dispatcher(
            self.admission, self.budget, self.delivery, self.guard, request_log
        )
        self.server = CallerServer(
            Address("127.0.0.1", 0),
            self.dispatcher,
            lambda: self.limits,
            self.held.requests,
            lambda headers: find_team_name(self.in_force.state, headers),
            CallerInputSettings(),
        )
        self.server.start()

    @property
    def port(self):
        return self.server._server.server_port

    def add(self, name, address, models=None, failure_domain="z1", cold_s=0.0):
        """Add an instance to the fleet and return its `Target`.

        One with weights was reported as accepting requests, long ago.
        """
        instance = Instance(name, "svc", address, failure_domain, 16, models=models)
        target = Target(instance, time.monotonic() + cold_s)
        if models:
            version = max(models.values())
            target.report = LoadReport(-math.inf, 0, True, version, 0, 0)
        self.fleet._targets[name] = target
        return target

    def name_version(self, version, age_s):
        """Name a version of the model ``m`` as of `age_s` seconds ago."""
        self.versions = new_versions(self.clock, age_s)
        self.versions.update(
            {"m": Record("m", version, {"model": "m", "version": version})}
        )
        self.admission._versions = self.versions

    def connect(self):
        return socket.create_connection(("127.0.0.1", self.port))

    def ask(self, path=b"/a/x", key=b"k1", method=b"GET", headers=b"", body=b""):
        """Send a request and return all bytes of the answer."""
        sock = self.connect()
        sock.sendall(request_bytes(path, key, method, headers, body))
        return read_all(sock)


def new_versions(clock, assumed_age_s=5.0, unseen_s=0.0):
    """Return the `NamedVersions` of an entry that has just started."""
    return NamedVersions(
        clock,
        lambda model, version: None,
        assumed_age_s,
        lambda: unseen_s,
        clock.boottime_s(),
    )


def request_bytes(path=b"/a/x", key=b"k1", method=b"GET", headers=b"", body=b""):
    """Return a caller's request that asks to close the connection."""
    head = b"%b %b HTTP/1.1\r\nhost: h.example\r\n" % (method, path)
    head += b"x-request-id: id1\r\nx-deadline-ms: 3000\r\nconnection: close\r\n"
    if key:
        head += b"authorization: Bearer %b\r\n" % key
    if body:
        head += b"content-length: %d\r\n" % len(body)
    return head + headers + b"\r\n" + body


def read_all(sock, timeout_s=5.0):
    """Return all bytes until the end of the connection.

    :raises ConnectionResetError: if the connection is reset.
    """
    data = b""
    with gevent.Timeout(timeout_s):
        while part := sock.recv(65536):
            data += part
    return data


def desired_state(service, version=1, keys=("k1",), **route):
    """Return a `DesiredState` with one route ``/a/`` to `service`."""
    fields = {
        "name": "r1",
        "host": "h.example",
        "path_prefix": "/a/",
        "kind": RequestKind.IDEMPOTENT,
        "services": ((service.name, 1),),
        "timeout_s": 3.0,
        "target_latency_s": 0.4,
        "max_attempts": 2,
    }
    teams = {key: Team("team1") for key in keys}
    routes = (Route(**(fields | route)),)
    services = {service.name: service}
    return DesiredState(version, routes, services, CallerLimits(), teams, True)
