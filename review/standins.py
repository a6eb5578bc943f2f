"""Stand-ins and a small site for the scripts of this review; standard library only.

The stand-ins follow `PROTOCOL.md`: the platform's store, plain runners, a model runner,
the origin of weights, a TCP proxy and a requester. They run in the process of the
script. The project's own programs run as separate processes, with the command and the
settings template of the deploy file.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs

REPOSITORY = Path(__file__).resolve().parent.parent
DEPENDENCIES = REPOSITORY / "target" / "deps"
HELD, BROKEN, NOT_RUN = 0, 1, 2
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
# Bounds of the site file dfr-briarbeam.toml, as the settings of a process state them.
BOUNDS = {
    "revoke_ms": 5000, "config_apply_ms": 2000, "version_ms": 8000, "grace_s": 8,
    "retry_budget_ratio": 0.2, "budget_slack": 104, "budget_window_s": 10,
    "contact_ms": 3000,
}  # fmt: skip
HEARTBEAT_S = 1.2
_STARTED_S = time.monotonic()


def now_s():
    """Return seconds since the start of the script."""
    return time.monotonic() - _STARTED_S


class CannotRunError(Exception):
    """The case can't run on this machine or after this build."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run, with the time."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")  # noqa: SIM115

    def __call__(self, text):
        self._file.write(f"{now_s():8.3f} {text}\n")
        self._file.flush()


# HTTP


async def read_message(reader):
    """Return the first line, the headers and the body of a message, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


def encode_answer(status, headers, body):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpStandin:
    """An HTTP server; `answer` gets method, path, query, headers, body and writer.

    It returns status, headers and body, or None if it has answered by itself.
    """

    def __init__(self, host, port):
        self.host, self.port = host, port
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**24
        )

    def exit(self):
        """End as a process does: no listener, and all channels closed."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ")
                path, _, text = target.partition("?")
                query = {key: values[-1] for key, values in parse_qs(text).items()}
                answer = await self.answer(method, path, query, headers, body, writer)
                if answer is not None:
                    writer.write(encode_answer(*answer))
                await writer.drain()
                if headers.get("connection") == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, path, query, headers, body, writer):
        raise NotImplementedError


class Answer:
    """The answer to a requester: `status` is None if the channel ended without one."""

    def __init__(self, status=None, headers=None, body=b"", complete=False):
        self.status, self.headers = status, headers or {}
        self.body, self.complete = body, complete


async def send_request(record, address, request_id, headers, time_limit_s, path,
                       method="POST", body=b"{}"):  # fmt: skip
    """Send one request as a requester on a channel of its own; return an `Answer`."""
    record(f"requester sends {request_id} to {address}")
    try:
        async with asyncio.timeout(time_limit_s):
            answer = await _exchange(
                address, request_id, headers, time_limit_s, path, method, body
            )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer = Answer()
        record(f"requester got no answer to {request_id}: {error!r}")
    else:
        record(
            f"requester got {answer.status} for {request_id}, "
            f"complete={answer.complete}, seal={answer.headers.get('x-response-seal')}"
        )
    return answer


async def _exchange(address, request_id, headers, time_limit_s, path, method, body):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=2**24)
    try:
        lines = [
            f"{method} {path} HTTP/1.1", f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {int(time_limit_s * 1000)}",
            f"Content-Length: {len(body)}", "Connection: close",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]  # fmt: skip
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = await reader.readuntil(b"\r\n\r\n")
        first, *fields = head.decode("latin-1").split("\r\n")[:-2]
        received = {}
        for field in fields:
            name, _, value = field.partition(":")
            received[name.strip().lower()] = value.strip()
        status = int(first.split(" ")[1])
        if "chunked" in received.get("transfer-encoding", ""):
            content, complete = await _read_chunks(reader)
        elif "content-length" not in received:
            content, complete = await _read_to_end(reader)
        else:
            length = int(received.get("content-length", 0))
            content = await reader.readexactly(length)
            complete = True
        return Answer(status, received, content, complete)
    finally:
        writer.close()


async def _read_to_end(reader):
    """Return a body that ends with its channel; one that is reset isn't complete."""
    content = b""
    while True:
        try:
            part = await reader.read(65536)
        except ConnectionError:
            return content, False
        if not part:
            # A stream that ends inside an event has been broken off.
            return content, content.endswith(b"\n\n")
        content += part


async def _read_chunks(reader):
    content = b""
    while True:
        try:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            content += await reader.readexactly(size)
            await reader.readexactly(2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return content, False
        if not size:
            return content, True


# The platform


class Store(HttpStandin):
    """The platform's store, for lists and watches.

    The operator and the runners of the script write with `put` and `remove`, whose
    return is the store's ack. `on_page` is called with the kind and the number of a
    page after the page was answered.
    """

    def __init__(self, host, port, record):
        super().__init__(host, port)
        self._record = record
        self.records = {}
        self.revision = 100
        self.era = 1
        self.away = False
        self.page_s = 0.0
        self.calls = []
        self.on_page = lambda kind, number: None
        self._events = []
        self._log = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec, who="operator"):
        """Write an object; return the time of the ack."""
        self._change(kind, name, spec, False, who)
        return now_s()

    def remove(self, kind, name, who="operator"):
        self._change(kind, name, None, True, who)
        return now_s()

    def _change(self, kind, name, spec, removed, who):
        self.revision += 1
        item = {
            "metadata": {
                "name": name, "revision": self.revision, "created": self.revision,
                "finalizers": [], "deleting": False,
            },
            "spec": spec if not removed else self.records[kind, name]["spec"],
            "status": None,
        }  # fmt: skip
        self._apply(kind, name, item, removed)
        self._events.append((self.revision, kind, {"removed": removed, "object": item}))
        self._log.append((now_s(), kind, name, item, removed))
        what = "removed" if removed else json.dumps(spec)
        self._record(f"store acks {who}: {kind}/{name} {what[:200]}")
        self._wake()

    def _apply(self, kind, name, item, removed):
        if removed:
            self.records.pop((kind, name), None)
        else:
            self.records[kind, name] = item

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def restore(self, copied_s):
        """Come back from the copy that was made at `copied_s`; return what is lost."""
        kept = [entry for entry in self._log if entry[0] <= copied_s]
        lost = self._log[len(kept) :]
        self._log = kept
        self.records = {}
        for _, kind, name, item, removed in kept:
            self._apply(kind, name, item, removed)
        self.revision = max(item["metadata"]["revision"] for *_, item, _ in kept)
        self._events = [event for event in self._events if event[0] <= self.revision]
        self.era += 1
        self._record(f"store is back from the copy of {copied_s:.3f}, era {self.era}")
        self._wake()
        return lost

    async def answer(self, method, path, query, headers, body, writer):
        if self.away:
            # A store that is away answers nothing; the caller's channel ends.
            writer.transport.abort()
            return None
        status, content = await self._answer(method, path, query)
        return status, {"Store-Era": self.era, "Content-Type": "application/json"}, (
            json.dumps(content).encode()
        )  # fmt: skip

    async def _answer(self, method, path, query):
        kind = path.removeprefix("/-/objects/")
        self.calls.append((now_s(), kind, "watch" in query, query))
        if method != "GET" or "/" in kind:
            return 404, {}
        await asyncio.sleep(0.004)
        if "watch" in query:
            return await self._watch(kind, query)
        return await self._list(kind, query.get("after", ""))

    async def _list(self, kind, after):
        items, size, more = [], 0, False
        for (item_kind, name), item in sorted(self.records.items()):
            if item_kind != kind or name <= after:
                continue
            size += len(json.dumps(item))
            if len(items) >= PAGE_ITEMS or size > PAGE_BYTES:
                more = True
                break
            items.append(item)
        revision = self.revision
        # The page is on its way.
        await asyncio.sleep(self.page_s * len(items) / PAGE_ITEMS)
        self.on_page(kind, 1 if not after else 2)
        return 200, {"items": items, "more": more, "store_revision": revision}

    async def _watch(self, kind, query):
        since, era = int(query["watch"]), self.era
        until_s = now_s() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if era != self.era or since > self.revision:
                return 410, {}
            events = [e for r, k, e in self._events if k == kind and r > since]
            left_s = until_s - now_s()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


class Proxy:
    """A TCP proxy before one address; `silence` makes its open channels silent."""

    def __init__(self, host, port, to_host, to_port):
        self.host, self.port = host, port
        self._to = (to_host, to_port)
        self._channels = []
        self.sent_bytes = 0

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        await asyncio.start_server(self._serve, self.host, self.port)

    def silence(self):
        """Make all open channels silent for good, without a reset."""
        for channel in self._channels:
            channel["silent"] = True

    async def _serve(self, reader, writer):
        channel = {"silent": False}
        self._channels.append(channel)
        try:
            to_reader, to_writer = await asyncio.open_connection(*self._to)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, to_writer, channel, counts=True),
            self._pump(to_reader, writer, channel),
        )

    async def _pump(self, reader, writer, channel, counts=False):
        try:
            while data := await reader.read(65536):
                self.sent_bytes += counts * len(data)
                if not channel["silent"]:
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            pass
        if not channel["silent"]:
            writer.close()


# Runners


class Runner(HttpStandin):
    """A sound runner of a plain service."""

    def __init__(self, name, service, host, port, zone, store, record, work_s=0.09):
        super().__init__(host, port)
        self.name, self.service, self.zone = name, service, zone
        self.work_s = work_s
        self.leaving = False
        self.left_s = None
        self.arrivals = []
        self.runs = []
        self.ended = []
        self.running = 0
        self.born = int(time.time() * 1000)
        self._store, self._record = store, record

    def register(self, state="ready"):
        return self._store.put(
            "servers",
            self.name,
            {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 6, "state": state, "cold_left_ms": 0,
                "seq": 1, "born": self.born,
            },
            self.name,
        )  # fmt: skip

    def drain(self):
        """Report `draining`; return the time of the store's ack."""
        self.leaving = True
        self.left_s = self.register("draining")
        return self.left_s

    def exit(self):
        self._record(f"{self.name} exits with {self.running} running")
        super().exit()
        if ("servers", self.name) in self._store.records:
            self._store.remove("servers", self.name, self.name)

    async def answer(self, method, path, query, headers, body, writer):
        request_id = headers.get("x-request-id", "")
        load = {"X-Request-Id": request_id, "X-Server-Load": f"{self.running},0,6"}
        if self.leaving:
            load["Server-Leaving"] = "1"
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.name):
            return 421, {**load, "X-Instance-Id": self.name}, b""
        self.arrivals.append((now_s(), request_id))
        self._record(f"{request_id} reaches {self.name}, leaving={self.leaving}")
        if self.running >= 12:
            return 503, {**load, "X-Not-Run": "1"}, b""
        self.running += 1
        self.runs.append((now_s(), request_id, headers.get("x-tenant")))
        self._record(f"{self.name} runs {request_id} for {headers.get('x-tenant')}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.ended.append(request_id)
        return 200, {**load, "X-Response-Seal": f"{self.name}.{request_id}"}, (
            f"done {request_id}".encode()
        )  # fmt: skip


MODEL = "m0"
CHUNKS = 96
CHUNK_BYTES = 24576
LAYERS = 16


def chunk(version, number):
    """Return the bytes of a piece of the weights."""
    seed = hashlib.sha256(b"%d/%d" % (version, number)).digest()
    return seed * (CHUNK_BYTES // len(seed))


class Engine(HttpStandin):
    """A sound model runner: it holds, stages and loads weights, and streams events."""

    service = "llm"

    def __init__(self, name, host, port, zone, store, record, version=1):
        super().__init__(host, port)
        self.name, self.zone = name, zone
        self.version = version
        self.staged = {n: chunk(version, n) for n in range(CHUNKS)} if version else {}
        self.turned_bad_s = {}
        self.loaded = dict(self.staged)
        self.loaded_at_s = now_s()
        self.busy, self.seq, self.running = False, 0, 0
        self.tokens = []
        # How many events a stream has, and the share of streams without chunks.
        self.events, self.gap_s, self.unframed_share = 4, 0.05, 0.0
        self.born = int(time.time() * 1000)
        self.on_stage_put = lambda count: None
        self._puts = 0
        self._store, self._record = store, record

    def register(self):
        self._store.put(
            "servers",
            self.name,
            {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 0,
                "seq": 1, "born": self.born, **self._held(),
            },
            self.name,
        )  # fmt: skip

    def _held(self):
        if not self.version:
            return {"stage": "both", "models": [], "layers": {}}
        layers = {"from": 0, "to": LAYERS, "version": self.version}
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return {"stage": "both", "models": models, "layers": layers}

    def lose_power(self):
        """End, and lose what is staged and loaded."""
        self._record(f"{self.name} loses power")
        super().exit()
        self.staged, self.loaded, self.version = {}, {}, 0
        self.turned_bad_s = {}
        self.busy, self.seq, self.running = False, 0, 0

    async def come_back(self):
        self.born = int(time.time() * 1000)
        await self.start()
        self.register()
        self._record(f"{self.name} is back and holds nothing")

    def turn_bad(self, numbers):
        """Spoil staged pieces."""
        for number in numbers:
            content = self.staged[number]
            self.staged[number] = bytes([content[0] ^ 1]) + content[1:]
            self.turned_bad_s[number] = now_s()
        self._record(f"{self.name}: staged pieces {sorted(numbers)} turn bad")

    async def answer(self, method, path, query, headers, body, writer):
        if path == "/-/report":
            report = {
                **self._held(), "busy": self.busy, "seq": self.seq, "queued": 0,
                "running": self.running, "kv_used": 0, "kv_total": 18_880_000,
                "handles": 0, "born": self.born, "pace": 1.0, "stalled": [],
            }  # fmt: skip
            return 200, {}, json.dumps(report).encode()
        if path.startswith("/-/stage-put/"):
            number = int(query["num"])
            self.staged[number] = body
            self.turned_bad_s.pop(number, None)
            self._puts += 1
            self.on_stage_put(self._puts)
            return 200, {}, b""
        if path.startswith("/-/stage-get/"):
            if "num" not in query:
                return 200, {}, json.dumps({"held": sorted(self.staged)}).encode()
            content = self.staged.get(int(query["num"]))
            return (404, {}, b"") if content is None else (200, {}, content)
        if path == "/-/order":
            return self._order(json.loads(body)), {}, b""
        return await self._generate(headers, writer)

    def _order(self, order):
        if self.busy or order.get("precondition", self.seq) != self.seq:
            self._record(f"{self.name} refuses an order: {order}")
            return 409
        if order["version"] == self.version:
            return 200
        self.seq += 1
        self.busy = True
        taken = dict(self.staged)
        bad = {
            number: round(now_s() - at_s, 3)
            for number, at_s in self.turned_bad_s.items()
        }
        self._record(f"{self.name} accepts {order}; bad for seconds, by piece: {bad}")
        asyncio.ensure_future(self._load(order["version"], taken))
        return 202

    async def _load(self, version, taken):
        loaded_at_s = now_s()
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        self.loaded, self.loaded_at_s, self.version = taken, loaded_at_s, version
        self.loaded_bad = {
            number: loaded_at_s - at_s for number, at_s in self.turned_bad_s.items()
        }
        self.busy = False
        self._record(f"{self.name} has loaded version {version}")
        self.register()

    def bad_layers(self, spared_s=3.0):
        """Return the pieces of the loaded layers that are missing, spoilt or foreign.

        :param spared_s: pieces that turned bad this long before the load don't count.
        """
        late = {n for n, s in getattr(self, "loaded_bad", {}).items() if s <= spared_s}
        return [
            number
            for number in range(CHUNKS)
            if self.loaded.get(number) != chunk(self.version, number)
            and number not in late
        ]

    async def _generate(self, headers, writer):
        request_id = headers.get("x-request-id", "")
        marks = {"X-Request-Id": request_id, "X-Server-Load": f"{self.running},0,16"}
        if headers.get("x-expect-instance") not in (None, self.name):
            return 421, {**marks, "At-Server": self.name}, b""
        if self.busy or not self.version:
            return 503, {**marks, "X-Not-Run": "1", "At-Server": self.name}, b""
        self.running += 1
        chunked = random.random() >= self.unframed_share
        bad = self.bad_layers()
        self.tokens.append((now_s(), request_id, self.version, bad))
        self._record(
            f"{self.name} runs {request_id} with version {self.version}, "
            f"chunks={chunked}, bad pieces in its layers: {bad}"
        )
        try:
            lines = [
                "HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                *(["Transfer-Encoding: chunked"] if chunked else []),
                "Connection: close",
                f"X-Response-Seal: {self.name}.{request_id}",
                f"X-Weight-Versions: {self.version}",
                *(f"{name}: {value}" for name, value in marks.items()),
            ]  # fmt: skip
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            after = int(headers.get("last-event-id") or 0)
            for number in range(after + 1, self.events + 1):
                event = f"id: {number}\ndata: token {number}\n\n".encode()
                if chunked:
                    event = b"%x\r\n%b\r\n" % (len(event), event)
                writer.write(event)
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            if chunked:
                writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Origin(HttpStandin):
    """The service with the origin of weights, behind a link of 7.3 Mbit/s.

    :param spoil: a function of the path, the query and the bytes of an answer, which
        returns the bytes that are sent.
    """

    link_bytes_per_s = 7.3e6 / 8

    def __init__(self, host, port, record, spoil):
        super().__init__(host, port)
        self._record, self._spoil = record, spoil
        self._link = asyncio.Lock()

    async def answer(self, method, path, query, headers, body, writer):
        version = int(query.get("version", 1))
        if path.startswith("/-/manifest/"):
            digests = [
                hashlib.sha256(chunk(version, n)).hexdigest() for n in range(CHUNKS)
            ]
            content = json.dumps(
                {
                    "model": MODEL, "version": version, "chunk_bytes": CHUNK_BYTES,
                    "layers": LAYERS, "digests": digests,
                }
            ).encode()  # fmt: skip
        elif path.startswith("/-/piece/"):
            content = chunk(version, int(query["num"]))
        else:
            return 404, {}, b""
        sent = self._spoil(path, query, content)
        note = "" if sent == content else ", corrupted"
        self._record(f"origin sends {path} {query}{note}")
        async with self._link:
            await asyncio.sleep(len(sent) / self.link_bytes_per_s)
        return 200, {}, sent


# The desired state


def plain_route(service, **fields):
    return {
        "name": f"r-{service}", "host": f"{service}.example", "path_prefix": "/p/",
        "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 400,
        "priority": 2, "service": service, "max_attempts": 1, "public": False,
        "sticky": False, "resumable": False, "allowed_regions": [], **fields,
    }  # fmt: skip


def plain_service(name):
    return {
        "name": name, "health_path": "/health", "max_conns": 51, "protocol": "h1",
        "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
    }  # fmt: skip


def engine_service(name="llm"):
    return {
        "name": name, "health_path": "/health", "max_conns": 344, "protocol": "h1",
        "tls": False, "cold_start_s": 3.0, "cold_per_s": 36.0,
        "engine": {
            "slots": 16, "kv_capacity": 1180000, "kv_token_bytes": 163840,
            "link_mbps": 400000.0, "stride": 5,
            "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
            "size_mb": 266000.0, "adapter_slots": 8, "loads_per_s": 0.0,
            "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227,
            "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048,
            "report_lag_ms": 200.0, "loads_at_once": 8, "delays": [],
            "usual": {"prompt": 977, "answer": 94}, "layers": LAYERS,
            "layer_mb": 4540.0, "act_bytes": 16384, "pipe_mbps": 0.0,
            "chunks": CHUNKS, "chunk_bytes": CHUNK_BYTES,
        },
    }  # fmt: skip


def origin_service(address, zone):
    return {
        "name": "weights", "origin": address, "zone": zone, "link_mbps": 7.3,
        "max_conns": 48,
    }  # fmt: skip


def desired_state(version, routes, services, tenants):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }  # fmt: skip


def tenant(name, *keys):
    return {"name": name, "api_keys": list(keys), "priority": 1, "allowed_regions": []}


STREAM_HEADERS = {
    "Host": "llm.example", "X-Model": MODEL, "X-Token-Usage": "100,20",
    "X-Prefix-Hash": "5c1e07a2:40,91bd3f06:60",
}  # fmt: skip


# The project's own programs


def render(template, fields):
    """Fill in a settings template as `DEPLOY.md` describes it."""

    def look_up(name, scopes):
        if name == ".":
            return scopes[-1][1]
        if name == "@":
            return scopes[-1][0]
        for _, scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
                if value is None:
                    break
            if value is not None:
                return value
        return None

    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def fill(text, scopes):
        match = section.search(text)
        if match:
            value = look_up(match[2], scopes)
            if match[1] == "^":
                inner = "" if value else fill(match[3], scopes)
            elif not value:
                inner = ""
            elif isinstance(value, dict) and match[2] == "zones":
                inner = "".join(
                    fill(match[3], [*scopes, (key, item)])
                    for key, item in value.items()
                )
            else:
                inner = fill(match[3], [*scopes, (match[2], value)])
            return (
                substitute(text[: match.start()], scopes)
                + inner
                + fill(text[match.end() :], scopes)
            )
        return substitute(text, scopes)

    def substitute(text, scopes):
        def replace(match):
            name, _, form = match[1].partition("|")
            value = look_up(name, scopes)
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([^}]+)\}\}", replace, text)

    return fill(template, [("", fields)])


class Node:
    """One process of the system, started as the deploy file says."""

    def __init__(self, site, role, host, zone, store_address, app=None):
        self.role, self.host, self.zone = role, host, zone
        self._site, self._store_address, self._app = site, store_address, app
        self.name = f"{role}-{host.rpartition('.')[2]}"
        self.process = None

    @property
    def callers(self):
        return f"{self.host}:{self._site.ports['front']}"

    @property
    def readiness(self):
        return f"{self.host}:{self._site.ports['ready']}"

    def start(self):
        site = self._site
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        role = deploy["roles"][self.role]
        fields = {
            "role": self.role, "node": self.name, "ip": self.host, "zone": self.zone,
            "region": site.zones[self.zone], "zones": site.zones,
            "port_range": [site.ports["peer"], site.ports["peer"] + 15],
            "platform": {"address": self._store_address}, "bounds": BOUNDS,
            "limits": {"link_mbps": 1000.0 if self.role == "entry" else 7.3},
        }  # fmt: skip
        if self.role == "entry":
            fields["listen"] = {"front": self.callers, "ready": self.readiness}
        if self._app is not None:
            fields["app"] = self._app
        template = (REPOSITORY / role["template"]).read_text()
        path = site.folder / f"{self.name}.conf"
        path.write_text(render(template, fields))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }  # fmt: skip
        environment["BRIARBEAM_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(DEPENDENCIES)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(site.folder / f"{self.name}.log", "a") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=REPOSITORY, env=environment,
                stdout=log, stderr=log,
            )  # fmt: skip
        site.record(f"{self.name} is started")

    def signal(self, number):
        self._site.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, within_s=20.0):
        """Ask for readiness as the platform does, until it is ready."""
        until_s = now_s() + within_s
        while now_s() < until_s:
            try:
                answer = await _exchange(
                    self.readiness, "ready", {"Host": "x"}, 1, "/-/ready", "GET", b""
                )
            except (OSError, asyncio.IncompleteReadError):
                answer = Answer()
            if answer.status == 200:
                self._site.record(f"{self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} did not become ready")


class Site:
    """A small deployment on loopback addresses of its own."""

    def __init__(self, folder, zones):
        if not DEPENDENCIES.is_dir():
            raise CannotRunError("target/deps is missing: run the build first")
        self.record = Record(folder)
        self.zones = zones
        # With KEEP=FOLDER, the logs of the processes are kept there.
        self._keep = os.environ.get("KEEP")
        self.folder = Path(self._keep or tempfile.mkdtemp(prefix="review-"))
        self.folder.mkdir(exist_ok=True)
        self._prefix, self.ports = _find_free_addresses()
        self.nodes = []
        self.store = Store(self.host(200), self.ports["store"], self.record)

    def host(self, number):
        return f"{self._prefix}.{number}"

    def add_node(self, role, number, zone, store_address=None, app=None):
        address = store_address or self.store.address
        node = Node(self, role, self.host(number), zone, address, app)
        self.nodes.append(node)
        return node

    def log_lines(self, node):
        path = self.folder / f"{node.name}.log"
        return path.read_text().splitlines() if path.exists() else []

    def close(self):
        for node in self.nodes:
            node.kill()
        if not self._keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def _find_free_addresses():
    """Return a prefix of loopback addresses and ports that are free on them."""
    for _ in range(50):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        ports = {"front": 8005, "ready": 8002, "peer": 7700, "store": 8007, "app": 8001}
        try:
            for port in (*ports.values(), 9464):
                with socket.socket() as sock:
                    sock.bind((f"{prefix}.1", port))
        except OSError:
            continue
        return prefix, ports
    raise CannotRunError("no free loopback addresses")


def main(folder, play):
    """Run `play(site_folder, trouble)` and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        async with asyncio.timeout(110):
            return await play(folder, trouble)

    try:
        # The loop isn't closed: its open transports would report themselves.
        broken = asyncio.new_event_loop().run_until_complete(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}", flush=True)
        os._exit(NOT_RUN)
    print("BROKEN: " + broken if broken else "held", flush=True)
    os._exit(BROKEN if broken else HELD)
