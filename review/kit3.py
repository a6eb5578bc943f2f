"""Stand-ins and processes for the scripts of the third review.

Everything listens on loopback addresses. Store, requesters and runners live in the
script's own process; entries and stagers are started with the command of the deploy
file.
"""

import json
import os
import shlex
import shutil
import signal
import socket as plain_socket
import subprocess
import sys
import tempfile
import time
import tomllib
import uuid
from pathlib import Path

import gevent
from gevent import socket
from gevent.server import StreamServer

from standins.platform import CHUNK_COUNT, Engine, Origin, Store, chunk

ROOT = Path(__file__).resolve().parent.parent
DRAIN_S, CONTACT_S = 2.0, 3.0
BEAT_S = 1.2
ENTRY_HOSTS = [f"127.0.0.{10 + n}" for n in range(20)]
STORE_HOST, ORIGIN_HOST = "127.0.0.1", "127.0.0.2"

SETTINGS = """
role = "{role}"
[instance]
name = "{name}"
host = "{host}"
region = "r1"
failure_domain = "{zone}"
[listen]
{front}metrics_port = {metrics}
peer_ports = [{peer}, {peer}]
[store]
address = "{store}"
[bounds]
key_revocation_s = 5.0
config_apply_s = {apply_s}
version_within_s = 8.0
grace_s = 8
retry_ratio = 0.2
retry_slack = 104
retry_window_s = 10
contact_s = 3.0
[link]
mbit_per_s = {mbit}
[memory]
limit_mb = {memory_mb}
[regions]
"z1" = "r1"
"z2" = "r2"
{engine}
"""


class CannotRunError(Exception):
    """The case could not be brought about."""


def free_ports(count):
    """Return ports that are free at one loopback address, and most likely at all."""
    socks = [plain_socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((STORE_HOST, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def wait_until(condition, timeout_s=20.0, what="a condition"):
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise CannotRunError(f"{what} did not come in {timeout_s} s")
        gevent.sleep(0.02)


class Record:
    """Writes `record.txt`; times are seconds since the start of the script."""

    def __init__(self, folder):
        # Open as long as the script runs.
        self._file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115
        self._started_s = time.monotonic()

    def at(self, monotonic_s):
        return monotonic_s - self._started_s

    def add(self, what, at_s=None, **fields):
        at_s = time.monotonic() if at_s is None else at_s
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.at(at_s):8.3f} {what} {text}\n")
        self._file.flush()


class Node:
    """One process of the product, started with the command of the deploy file."""

    def __init__(self, folder, role, host, zone, ports, store, engine=None, more=None):
        more = {"memory_mb": 300, "mbit": 1000.0, "apply_s": 2.0} | (more or {})
        self.host, self.name, self.role = host, f"{role}-{host}", role
        self.log_path = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.toml"
        front = ""
        if role == "entry":
            front = (
                f'callers = "{host}:{ports["callers"]}"\n'
                f'readiness = "{host}:{ports["ready"]}"\n'
            )
        self._settings.write_text(
            SETTINGS.format(
                role=role,
                name=self.name,
                host=host,
                zone=zone,
                front=front,
                peer=ports["peer"],
                metrics=ports["metrics"],
                store=store,
                engine=f'[engine]\naddress = "{engine}"\n' if engine else "",
                **more,
            )  # fmt: skip
        )
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"][self.role]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        env = {
            "PATH": os.environ.get("PATH", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BRIARBEAM_SETTINGS": str(self._settings),
        }
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log(self):
        return self.log_path.read_text(errors="replace")

    def events(self, name):
        lines = [li for li in self.log().splitlines() if f'"{name}"' in li]
        found = []
        for line in lines:
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found


class Link:
    """A link that all connections to the store share.

    :param mbit_per_s: its rate for what the store sends, None for no limit.
    """

    def __init__(self, mbit_per_s=None):
        self._bytes_per_s = mbit_per_s * 1e6 / 8 if mbit_per_s else None
        self._free_s = 0.0
        self.sent_bytes = 0

    def wait_for(self, size_bytes):
        self.sent_bytes += size_bytes
        if self._bytes_per_s is None:
            return
        now_s = time.monotonic()
        self._free_s = max(self._free_s, now_s) + size_bytes / self._bytes_per_s
        gevent.sleep(self._free_s - now_s)


class Proxy:
    """Passes TCP connections of one machine on to the store.

    `cut` holds back all bytes, those of new connections too: the machine is partitioned
    from the store. `silence` holds back the bytes of open connections for good, while
    new ones work.
    """

    def __init__(self, host, target, link):
        self._target, self._link = target, link
        self.is_cut = False
        self.pairs = []
        self._server = StreamServer((host, 0), self._serve)
        self._server.start()
        self.address = f"{host}:{self._server.server_port}"

    def _serve(self, sock, _):
        pair = {
            "silent": False,
            "first": b"",
            "last": b"",
            "opened_s": time.monotonic(),
        }
        while self.is_cut:
            gevent.sleep(0.01)
        try:
            other = socket.create_connection(self._target)
        except OSError:
            sock.close()
            return
        self.pairs.append(pair)
        there = gevent.spawn(self._pump, sock, other, pair, True)
        back = gevent.spawn(self._pump, other, sock, pair, False)
        gevent.joinall([there, back], count=1)
        gevent.joinall([there, back], timeout=0.2)
        there.kill()
        back.kill()
        sock.close()
        other.close()
        self.pairs.remove(pair)

    def _pump(self, source, sink, pair, is_request):
        while True:
            try:
                data = source.recv(16384)
            except OSError:
                data = b""
            if not is_request:
                self._link.wait_for(len(data))
            while self.is_cut or pair["silent"]:
                gevent.sleep(0.01)
            if is_request and data:
                pair["last"], pair["sent_s"] = data, time.monotonic()
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return

    def is_fresh(self, path):
        """Return whether a request for `path` was passed on within the last 0.1 s."""
        now_s = time.monotonic()
        return any(
            path in pair["last"] and now_s - pair["sent_s"] < 0.1 for pair in self.pairs
        )

    def silence(self, path):
        """Silence the open connections whose last request was for `path`."""
        chosen = [p for p in self.pairs if path in p["last"] and not p["silent"]]
        for pair in chosen:
            pair["silent"] = True
        return [p["last"].split(b"\r\n")[0].decode() for p in chosen]

    def stop(self):
        self._server.stop(timeout=0)


def read_head(file):
    """Return the first line and the headers of a message, or None at its end."""
    line = file.readline(65536)
    if not line:
        return None
    headers = {}
    while (header := file.readline(65536)) not in (b"\r\n", b"\n", b""):
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").split(), headers


def read_body(file, headers, is_answer=False):
    """Return a body; that of an answer may end with the connection, but not by a reset."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(file.readline(1024).split(b";")[0], 16):
            body += file.read(size)
            file.readline(1024)
        while file.readline(65536) not in (b"\r\n", b"\n", b""):
            pass
        return body
    if is_answer and "content-length" not in headers:
        return file.read()
    return file.read(int(headers.get("content-length", 0)))


class Runner:
    """A sound runner of a plain service.

    It runs each request that names it (or nobody) and answers with its seal, and it says
    in all answers that it leaves once it does. It registers itself in the store.
    """

    def __init__(self, store, record, host, service, zone, work_s=0.05, slots=6):
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.service, self.zone, self.slots, self.work_s = service, zone, slots, work_s
        self.born = int(time.time() * 1000)
        self.leaving = False
        self.running = 0
        self.runs = []
        self.refusals = []
        self._store, self._record = store, record
        self._server = StreamServer((host, 0), self._serve)
        self._server.start()
        self.address = f"{host}:{self._server.server_port}"
        self.write()

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots,
            "state": "draining" if self.leaving else "ready",
            "cold_left_ms": 0, "seq": 1, "born": self.born,
        }  # fmt: skip

    def write(self):
        self._store.put("servers", self.id, self.entry())

    def leave(self):
        """Report `draining`; return the time at which the store has accepted that."""
        self.leaving = True
        self.write()
        acked_s = time.monotonic()
        self._record.add("draining is acknowledged", acked_s, runner=self.id)
        return acked_s

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _):
        file = sock.makefile("rb")
        try:
            while (head := read_head(file)) is not None:
                (method, path, _), headers = head
                body = read_body(file, headers)
                arrived_s = time.monotonic()
                sock.sendall(self.answer(method, path, headers, body, arrived_s))
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, ValueError):
            return
        finally:
            sock.close()

    def answer(self, method, path, headers, body, arrived_s):
        expected = headers.get("x-expect-instance")
        request_id = headers.get("x-request-id")
        if expected not in (None, self.id):
            return self.reply(421, [("X-Not-Run", "1"), ("X-Instance-Id", self.id)])
        if path == "/health":
            return self.reply(
                503 if self.leaving else 200, [("X-Instance-Id", self.id)]
            )
        self.runs.append((arrived_s, request_id))
        self._record.add("runs", arrived_s, id=request_id, runner=self.id)
        self.running += 1
        gevent.sleep(self.work_s)
        self.running -= 1
        more = [("X-Request-Id", request_id), ("X-Response-Seal", f"seal.{self.id}")]
        return self.reply(200, more, b"done by " + self.id.encode())

    def reply(self, status, headers, body=b""):
        headers = [*headers, ("Content-Length", str(len(body)))]
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        lines = [f"HTTP/1.1 {status} Status", *(f"{n}: {v}" for n, v in headers)]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class LlmRunner(Runner):
    """A sound model runner: it streams events of five tokens and states its load.

    Requests whose prompt has the part `deadly_part` end its process: it closes its
    listener and all connections, and is back `down_s` later, with nothing running. If
    `writes_first` is true, it has written the first event of the answer by then.
    """

    def __init__(self, store, record, host, zone, gap_s=0.04):
        self.deadly_part, self.writes_first, self.down_s = None, False, 3.0
        self.events_out, self.gap_s = 8, gap_s
        self.crashes = []
        self.reached = []
        self._open = set()
        super().__init__(store, record, host, "llm", zone, slots=16)
        self.port = self._server.server_port

    def entry(self):
        return super().entry() | {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "layers": {"from": 0, "to": 16, "version": 1},
        }

    def report(self):
        return {
            "stage": "both", "busy": False, "seq": 0, "queued": 0, "handles": 0,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "layers": {"from": 0, "to": 16, "version": 1}, "born": self.born,
            "running": self.running, "kv_used": 0, "kv_total": 1180000,
        }  # fmt: skip

    def crash(self, cause):
        """End the process, as the kernel would: all connections close."""
        now_s = time.monotonic()
        self.crashes.append(now_s)
        self._record.add("runner crashes", now_s, runner=self.id, cause=cause)
        self._server.stop(timeout=0)
        self._server.close()
        for sock in list(self._open):
            shut(sock)
        self.running = 0
        gevent.spawn_later(self.down_s, self._come_back)

    def _come_back(self):
        host = self.address.split(":")[0]
        while True:
            self._server = StreamServer((host, self.port), self._serve)
            try:
                self._server.start()
                break
            except OSError:
                # A connection that is closing may still hold the port.
                gevent.sleep(0.1)
        self.born = int(time.time() * 1000)
        self.write()
        self._record.add("runner is back", runner=self.id)

    def stop(self):
        self.down_s = 1e6
        self._server.stop(timeout=0)

    def _serve(self, sock, _):
        self._open.add(sock)
        file = sock.makefile("rb")
        try:
            while (head := read_head(file)) is not None:
                (method, path, _), headers = head
                body = read_body(file, headers)
                self._handle(sock, method, path, headers, body)
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, ValueError):
            return
        finally:
            self._open.discard(sock)
            sock.close()

    def _handle(self, sock, method, path, headers, body):
        arrived_s = time.monotonic()
        if path == "/-/report":
            content = json.dumps(self.report()).encode()
            sock.sendall(
                self.reply(200, [("Content-Type", "application/json")], content)
            )
            return
        if path.startswith("/-/stage-get/"):
            sock.sendall(self.reply(200, [], b'{"held":[]}'))
            return
        if path.startswith("/-/") or headers.get("x-expect-instance") != self.id:
            sock.sendall(self.answer(method, path, headers, body, arrived_s))
            return
        request_id = headers.get("x-request-id")
        parts = [p.split(":")[0] for p in headers.get("x-prefix-hash", "").split(",")]
        self.reached.append((arrived_s, request_id, parts))
        self._record.add("reaches", arrived_s, id=request_id, runner=self.id)
        self.running += 1
        born = self.born
        try:
            self._stream(sock, headers, parts)
        finally:
            if born == self.born and self.running:
                self.running -= 1

    def _stream(self, sock, headers, parts):
        is_deadly = self.deadly_part in parts[:-1]
        first = int(headers.get("last-event-id") or 0) + 1
        gevent.sleep(0.03)
        lines = [
            "HTTP/1.1 200 OK", f"X-Request-Id: {headers['x-request-id']}",
            "Content-Type: text/event-stream", f"X-Response-Seal: seal.{self.id}",
            "X-Weight-Versions: 1", "Transfer-Encoding: chunked",
            f"X-Server-Load: {self.running},0,{self.slots}",
        ]  # fmt: skip
        if is_deadly and not self.writes_first:
            self.crash(headers["x-request-id"])
            return
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, self.events_out + 1):
            event = b"id: %d\ndata: five tokens\n\n" % number
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            gevent.sleep(self.gap_s)
            if is_deadly:
                self.crash(headers["x-request-id"])
                return
        sock.sendall(b"0\r\n\r\n")


def shut(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


def desired_state(version, origin, routes, services, tenants):
    """Return a desired state with the engines' service and the given plain ones."""
    llm = {
        "name": "llm", "health_path": "/health", "max_conns": 344,
        "cold_start_s": 3.0, "cold_per_s": 36.0,
        "engine": {"slots": 16, "models": [{"name": "m"}]},
    }  # fmt: skip
    portal = {"name": "portal", "origin": origin, "zone": "z1", "max_conns": 48}
    return {
        "version": version,
        "routes": routes,
        "services": [llm, portal, *services],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }  # fmt: skip


def plain_route(name, prefix, service, kind="idempotent", **more):
    return {
        "name": name, "host": "h.example", "path_prefix": prefix, "kind": kind,
        "timeout_ms": 800, "target_latency_ms": 300, "priority": 2, "service": service,
        "max_attempts": 2, "public": False, "allowed_regions": [],
    } | more  # fmt: skip


def plain_service(name):
    return {
        "name": name, "health_path": "/health", "max_conns": 51, "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }  # fmt: skip


class Site:
    """A small deployment in one zone: entries, one engine with its stager, a store."""

    def __init__(
        self, folder, entries=3, tenants=None, idle_engine=True, far=0, mbit=None
    ):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.tenants = tenants or [{"name": "t1", "api_keys": ["key1"]}]
        self.store = Store((STORE_HOST, 0))
        self.origin = Origin((ORIGIN_HOST, 0))
        self.engine_host = "127.0.0.3"
        self.engine = Engine((self.engine_host, 0), "i-engine")
        self.engine.staged = {n: chunk(1, n) for n in range(CHUNK_COUNT)}
        if idle_engine:
            self.store.put("servers", "i-engine", self.engine.registration("z1"))
        self.version = 0
        self.runners = []
        self.nodes, self.stagers, self.proxies = [], [], []
        self.entry_settings = {}
        # What the store sends to the first zone shares a link of a region.
        self.link = Link(mbit)
        # The last entries, `far` of them, are in another zone.
        self.entry_count = entries
        self.zones = ["z1"] * (entries - far) + ["z2"] * far
        self.counter = 0

    def put_state(self, routes, services):
        self.version += 3
        spec = desired_state(
            self.version, self.origin.address, routes, services, self.tenants
        )
        self.store.put("config", "main", spec)
        acked_s = time.monotonic()
        self.record.add("desired state is acknowledged", acked_s, version=self.version)
        return acked_s

    def add_runners(self, count, service, zone="z1", **more):
        added = [
            Runner(self.store, self.record, f"127.0.1.{10 + n}", service, zone, **more)
            for n in range(count)
        ]
        self.runners += added
        return added

    def add_engines(self, count, zone="z1"):
        added = [
            LlmRunner(self.store, self.record, f"127.0.2.{10 + n}", zone)
            for n in range(count)
        ]
        self.runners += added
        return added

    def start(self):
        names = ("callers", "ready", "peer", "metrics")
        self.ports = dict(zip(names, free_ports(4), strict=True))
        host, port = self.store.address.split(":")
        for number in range(self.entry_count):
            host_of = ENTRY_HOSTS[number]
            proxy = Proxy(
                host_of,
                (host, int(port)),
                self.link if self.zones[number] == "z1" else Link(),
            )
            self.proxies.append(proxy)
            self.nodes.append(
                Node(
                    self.folder,
                    "entry",
                    host_of,
                    self.zones[number],
                    self.ports,
                    proxy.address,
                    more=self.entry_settings,
                )
            )
        self.stagers = [
            self._stager(self.engine_host, "z1", self.engine.address),
            *(
                self._stager(r.address.split(":")[0], r.zone, r.address)
                for r in self.runners
                if isinstance(r, LlmRunner)
            ),
        ]
        self._start_nodes()

    def _start_nodes(self):
        for node in self.stagers:
            node.start()
        # One after the other, so that the first one reads the store for the others.
        for node in self.nodes:
            node.start()
            wait_until(lambda n=node: self.is_ready(n), what=f"{node.name} ready")

    def _stager(self, host, zone, engine):
        return Node(
            self.folder, "stager", host, zone, self.ports, self.store.address, engine,
            {"memory_mb": 168, "mbit": 100.0},
        )  # fmt: skip

    def is_ready(self, node):
        try:
            with gevent.Timeout(1.0, OSError):
                sock = socket.create_connection((node.host, self.ports["ready"]))
                try:
                    sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    return sock.recv(65536).split()[1] == b"200"
                finally:
                    sock.close()
        except (OSError, IndexError):
            return False

    def wait_for_reader(self):
        """Return the number of the entry that all others of the first zone follow."""
        near = [n for n, zone in enumerate(self.zones) if zone == "z1"]

        def readers():
            return [n for n in near if not _follows(self.nodes[n])]

        # Watches from before the others followed end within 6 s.
        settled_s = time.monotonic()
        found = []

        def is_settled():
            nonlocal settled_s, found
            previous, found = found, readers()
            if len(found) != 1 or found != previous:
                settled_s = time.monotonic()
            return time.monotonic() - settled_s >= 6.0

        try:
            wait_until(is_settled, 20.0, "one reader")
        except CannotRunError:
            # Two entries may relieve each other every few seconds.
            self.record.add("no single reader, all processes start again")
            for node in [*self.nodes, *self.stagers]:
                node.kill()
            self._start_nodes()
            wait_until(is_settled, 40.0, "one reader")
        return found[0]

    def ask(
        self, number, path="/led/x", key="key1", method="GET", timeout_s=3.0,
        deadline_ms=1500, headers="",
    ):  # fmt: skip
        """Send one request to an entry; return its id, times, status and body."""
        self.counter += 1
        request_id = f"{self.counter:08x}{uuid.uuid4().hex[:8]}"
        node = self.nodes[number]
        sent_s = time.monotonic()
        status, body = None, b""
        try:
            with gevent.Timeout(timeout_s, OSError("no answer in time")):
                sock = socket.create_connection((node.host, self.ports["callers"]))
                try:
                    sock.sendall(
                        f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
                        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                        f"{headers}Content-Length: 0\r\nAuthorization: Bearer {key}\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
                    file = sock.makefile("rb")
                    head = read_head(file)
                    if head is not None:
                        status = int(head[0][1])
                        body = read_body(file, head[1], is_answer=True)
                finally:
                    sock.close()
        except (OSError, ValueError, IndexError) as error:
            body = repr(error).encode()
        self.record.add(
            "answered", id=request_id, entry=number, sent=f"{self.record.at(sent_s):.3f}",
            status=status, body=body[:60],
        )  # fmt: skip
        return request_id, sent_s, time.monotonic(), status, body

    def stop(self):
        for node in [*self.nodes, *self.stagers]:
            node.kill()
        for server in [
            *self.proxies,
            *self.runners,
            self.store,
            self.origin,
            self.engine,
        ]:
            server.stop()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _follows(node):
    text = node.log().rpartition('"event":"started"')[2]
    return text.rfind('"follow_begun"') > text.rfind('"follow_lost"')


def main(case, folder):
    """Run `case(trouble, folder)` and exit as the issue asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        is_broken = case(trouble, folder)
    except CannotRunError as error:
        print(f"could not run: {error}")
        status = 2
    else:
        print("the rule was broken" if is_broken else "the rule held")
        status = 1 if is_broken else 0
    sys.stdout.flush()
    os._exit(status)
