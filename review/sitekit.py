"""A small site for the review's scripts: stand-ins, a proxy, callers and processes.

The stand-ins follow PROTOCOL.md and need the standard library only. The processes are
those of the deploy file, with settings like those that its template gives.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

REPOSITORY = Path(__file__).resolve().parent.parent
READ_BLOCK_BYTES = 65536
START_TIMEOUT_S = 30.0
HELD = 0
BROKEN = 1
NOT_RUN = 2

SETTINGS = """role = {role}

[instance]
name = {name}
host = {host}
region = {region}
failure_domain = {zone}

[listen]
{listen}peer_ports = [7700,7715]

[store]
address = {store}

[bounds]
key_revocation_s = 5000e-3
config_apply_s = 2000e-3
version_within_s = 8000e-3
grace_s = 8
retry_ratio = 0.2
retry_slack = 104
retry_window_s = 10
contact_s = 3000e-3

[link]
mbit_per_s = 1000.0

[memory]
limit_mb = 300

[regions]
{regions}"""


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self._file = Path(path).open("w")  # noqa: SIM115
        self._started_s = time.monotonic()

    def add(self, text):
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


@dataclass
class Message:
    """A request or an answer.

    :param start: the three parts of its first line.
    :param headers: values by lower-case name.
    :param arrived_at: the host at which a request arrived.
    """

    start: list
    headers: dict
    body: bytes = b""
    arrived_at: str = ""

    @property
    def path(self):
        return urlsplit(self.start[1]).path

    @property
    def query(self):
        return dict(parse_qsl(urlsplit(self.start[1]).query))

    @property
    def request_id(self):
        return self.headers.get("x-request-id", "")


async def read_head(reader):
    """Return a `Message` without its body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(reader, message):
    """Read the body of `message`, which has a length or comes in chunks."""
    if message.headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return
    length = int(message.headers.get("content-length", 0))
    message.body = await reader.readexactly(length)


def encode_answer(status, headers=(), body=b""):
    """Return the bytes of an answer with a stated length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """A server that answers one request after the other on each connection.

    :param more_hosts: further hosts to listen at, with the same port.
    """

    def __init__(self, host, more_hosts=()):
        self.host = host
        self._hosts = [host, *more_hosts]
        self._writers = set()
        self._servers = []
        self.port = 0

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen at the same port as before, or at a free one."""
        first = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = first.sockets[0].getsockname()[1]
        self._servers = [first]
        for host in self._hosts[1:]:
            server = await asyncio.start_server(self._serve, host, self.port)
            self._servers.append(server)

    def stop(self):
        """Stop listening and reset all connections, as at the end of a process."""
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                request.arrived_at = writer.get_extra_info("sockname")[0]
                status, headers, body = await self.handle(request)
                writer.write(encode_answer(status, headers, body))
                await writer.drain()
                if request.headers.get("connection") == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The script ends. asyncio would report the cancelled task as an error.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request):
        """Return status, headers and body of the answer to `request`."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: records by kind and name, with revisions and watches.

    `watches` has the host at which each watch arrived, by kind. `era` is None if answers
    state none.
    """

    # A page of a list has about so many items at most.
    PAGE_ITEMS = 500

    def __init__(self, host, more_hosts=()):
        super().__init__(host, more_hosts)
        self.records = {}
        self.revision = 100
        self.era = None
        self.is_away = False
        self.watches = {}
        self._events = []
        self._changed = asyncio.Condition()

    async def put(self, kind, name, spec):
        """Write a record, as the operator or a server does."""
        await self._change(kind, name, spec)

    async def remove(self, kind, name):
        """Remove a record."""
        await self._change(kind, name, None)

    def copy(self):
        """Return a copy to `restore` from."""
        return self.revision, dict(self.records), list(self._events)

    async def restore(self, copy):
        """Come back from a copy; its age and all later revisions are lost."""
        revision, records, events = copy
        self.revision, self.records, self._events = revision, dict(records), events[:]
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def _change(self, kind, name, spec):
        self.revision += 1
        metadata = {
            "name": name, "revision": self.revision, "created": 1,
            "finalizers": [], "deleting": False,
        }  # fmt: skip
        item = {"metadata": metadata, "spec": spec, "status": None}
        if spec is None:
            item = self.records.pop((kind, name))
        else:
            self.records[kind, name] = item
        event = {"object": item, "removed": spec is None}
        self._events.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    async def handle(self, request):
        headers = [("Content-Type", "application/json")]
        status, value = await self._answer(request)
        if self.era is not None:
            headers.append(("Store-Era", self.era))
        return status, headers, json.dumps(value).encode()

    async def _answer(self, request):
        if self.is_away:
            return 503, {}
        kind = request.path.rsplit("/", 1)[1]
        query = request.query
        if "watch" not in query:
            items = [
                item
                for (k, name), item in sorted(self.records.items())
                if k == kind and name > query.get("after", "")
            ]
            return 200, {
                "items": items[: self.PAGE_ITEMS],
                "more": len(items) > self.PAGE_ITEMS,
                "store_revision": self.revision,
            }
        self.watches.setdefault(kind, []).append(request.arrived_at)
        since, era = int(query["watch"]), self.era
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if self.is_away:
                return 503, {}
            if since > self.revision or era != self.era:
                return 410, {}
            events = [e for r, k, e in self._events if k == kind and r > since]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left_s)


@dataclass
class Run:
    """A request that reached a server.

    :param at_s: monotonic time of its arrival.
    """

    request_id: str
    at_s: float
    headers: dict
    ended: bool = False


class PlainServer(Server):
    """A server of a plain service that takes `work_s` for each request.

    While `leaving` is true, all its answers state it. `runs` lists the requests that
    it began to run.
    """

    def __init__(self, host, name, service, zone, record, work_s=0.09, slots=6):
        super().__init__(host)
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self.slots = work_s, slots
        self.leaving = self.has_exited = False
        self.runs = []
        self._running = 0
        self._record = record
        self.born_ms = int(time.time() * 1000)

    def exit(self):
        """End as a process does; what runs is cut off."""
        self.has_exited = True
        self._record.add(f"{self.name} exits")
        self.stop()

    def entry(self, state="ready"):
        """Return what the server writes to the store about itself."""
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": state, "cold_left_ms": 0,
            "seq": 1, "born": self.born_ms,
        }  # fmt: skip

    async def handle(self, request):
        leaving = [("Server-Leaving", "1")] if self.leaving else []
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return 421, [("X-Instance-Id", self.name), *leaving], b""
        run = Run(request.request_id, time.monotonic(), request.headers)
        self.runs.append(run)
        self._record.add(f"{run.request_id} reaches {self.name} and runs")
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        if self.has_exited:
            raise ConnectionResetError
        run.ended = True
        self._record.add(f"{run.request_id} has run to its end at {self.name}")
        headers = [
            ("X-Request-Id", run.request_id),
            ("X-Response-Seal", f"seal.{self.name}.{run.request_id}"),
            ("X-Server-Load", f"{self._running},0,{self.slots}"),
            *leaving,
        ]
        return 200, headers, f"done {run.request_id}".encode() * 50


class Engine(Server):
    """A model runner that holds the first version and gets no orders.

    :param name: its id.
    """

    def __init__(self, host, name, service, model, zone):
        super().__init__(host)
        self.name, self.service, self.zone = name, service, zone
        self._state = {
            "models": [{"name": model, "version": 1, "adapters": []}],
            "layers": {"from": 0, "to": 16, "version": 1},
            "born": int(time.time() * 1000),
        }  # fmt: skip

    def entry(self):
        """Return what the runner writes to the store about itself."""
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 0,
            "stage": "both", "seq": 1, **self._state,
        }  # fmt: skip

    async def handle(self, request):
        headers = [("Content-Type", "application/json")]
        if request.path == "/-/report":
            report = {
                "stage": "both", "busy": False, "seq": 0, "queued": 0, "running": 0,
                "kv_used": 0, "kv_total": 90000, "handles": 0, **self._state,
            }  # fmt: skip
            return 200, headers, json.dumps(report).encode()
        if request.path.startswith("/-/stage-get/"):
            return 200, headers, b'{"held":[]}'
        return 404, headers, b"{}"


class Proxy:
    """Relays connections; those that are open can be made silent for good.

    While `is_cut` is true, no bytes pass and none are lost.

    :param find_target: a function that returns the host and the port to relay to.
    """

    def __init__(self, host, find_target):
        self._host = host
        self._find_target = find_target
        self._server = None
        self._open = set()
        self._silent = set()
        self.is_cut = False
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"

    def stop(self):
        self._server.close()

    def silence(self):
        """Pass no more bytes on open connections, and return their number."""
        self._silent |= self._open
        return len(self._open)

    async def _serve(self, reader, writer):
        key = object()
        try:
            there = await asyncio.open_connection(*self._find_target())
        except OSError:
            writer.transport.abort()
            return
        self._open.add(key)
        pumps = [
            asyncio.create_task(self._pump(key, reader, there[1])),
            asyncio.create_task(self._pump(key, there[0], writer)),
        ]
        # The task is cancelled when the script ends.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        self._open.discard(key)
        writer.close()
        there[1].close()

    async def _pump(self, key, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BLOCK_BYTES):
                while self.is_cut:
                    await asyncio.sleep(0.02)
                if key not in self._silent:
                    writer.write(data)
                    await writer.drain()


@dataclass
class Answer:
    """What a caller got: the status is None if the connection ended without one."""

    status: int | None = None
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def call(address, method, path, host, request_id, headers=(), body=b"", wait_s=5):
    """Send one request on a new connection and return the `Answer`."""
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}",
        *(f"{name}: {value}" for name, value in headers),
    ]  # fmt: skip
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    answer = Answer()
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(*split_address(address))
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                message = await read_head(reader)
                if message is not None:
                    answer.status = int(message.start[1])
                    answer.headers = message.headers
                    await read_body(reader, message)
                    answer.body, answer.complete = message.body, True
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    return answer


def split_address(address):
    """Return the host and the port of an address as text."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Process:
    """One process of the deploy file.

    :param folder: where its settings file and its log are.
    """

    def __init__(self, role, name, host, zone, store, folder, regions, app=None):
        self.name, self.host = name, host
        self.callers, self.ready = f"{host}:8005", f"{host}:8002"
        self.process = None
        listen = ""
        if role == "entry":
            listen = f'callers = "{self.callers}"\nreadiness = "{self.ready}"\n'
        text = SETTINGS.format(
            role=json.dumps(role), name=json.dumps(name), host=json.dumps(host),
            region=json.dumps(regions[zone]), zone=json.dumps(zone), listen=listen,
            store=json.dumps(store),
            regions="\n".join(f'"{z}" = "{r}"' for z, r in regions.items()),
        )  # fmt: skip
        if app is not None:
            text += f"\n[engine]\naddress = {json.dumps(app)}\n"
        self.settings_path = Path(folder) / f"{name}.toml"
        self.settings_path.write_text(text)
        self.log_path = Path(folder) / f"{name}.log"

    def start(self):
        """Start the process as the deploy file tells."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["BRIARBEAM_SETTINGS"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "briarbeam.node"],
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number):
        self.process.send_signal(number)

    def end(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Return whether it reports that it is ready."""
        answer = await call(self.ready, "GET", "/-/ready", "x", "ready", wait_s=1)
        return answer.status == 200

    async def wait_ready(self):
        """Wait until it reports that it is ready.

        :raises CannotRunError: if that takes longer than `START_TIMEOUT_S`.
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)


class CannotRunError(Exception):
    """The case could not run."""


def reserve_prefix():
    """Return the first two numbers of loopback addresses that nobody listens at."""
    while True:
        prefix = f"127.{random.randrange(16, 250)}"
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((f"{prefix}.0.1", 6998))
            return prefix


def route(name, prefix, kind, service, **fields):
    """Return a route of the host ``jepu9.example``, as in a desired state."""
    return {
        "name": name, "host": "jepu9.example", "path_prefix": prefix, "kind": kind,
        "timeout_ms": 3000, "target_latency_ms": 300, "priority": 2,
        "service": service, "max_attempts": 2, "public": False, "resumable": False,
        "gap_target_ms": 0, "allowed_regions": [], **fields,
    }  # fmt: skip


def plain_service(name):
    """Return a plain service, as in a desired state."""
    return {"name": name, "health_path": "/health", "max_conns": 51}


def model_service(name, model):
    """Return a service of model runners, as in a desired state."""
    engine = {"slots": 16, "models": [{"name": model}]}
    return {"name": name, "health_path": "/health", "max_conns": 344, "engine": engine}


LIMITS = {
    "max_header_bytes": 16384, "max_body_bytes": 4194304,
    "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
}  # fmt: skip


def main(case):
    """Run `case`, a coroutine function, and exit with its result.

    It gets the `Record`, a temporary folder, and whether to cause the trouble.
    """
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="briarbeam-review-") as temporary:
        try:
            result = asyncio.run(
                asyncio.wait_for(case(record, temporary, has_trouble), 110)
            )
        except Exception as error:  # An uncaught one would end with status 1, BROKEN.
            record.add(f"the case could not run: {error!r}")
            result = NOT_RUN
    record.add({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[result])
    record.close()
    sys.exit(result)
