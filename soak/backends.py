"""Stand-in back ends that record which requests they run: engines and a ledger."""

import hashlib
import json
import random
import time
from collections import defaultdict
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.server import StreamServer

from briarbeam.catalog import CallerLimits
from briarbeam.kernel.errors import BriarbeamError
from briarbeam.relay.answer_writer import AnswerWriter
from briarbeam.relay.callers import RequestReader
from standins.platform import CHUNK_COUNT, MODEL, chunk

from .proxy import reset

EVENT_COUNT = 8
EVENT_GAP_S = 0.03
LEDGER_WORK_S = 0.03
LOAD_S = 0.3
SLOTS = 8
IDLE_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class Run:
    """One execution of a request, recorded when a back end starts it.

    :param at_s: monotonic time of the start.
    :param first_event: the number of the first event that the execution sends, which is
        more than 1 if it resumes a stream.
    """

    request_id: str
    backend: str
    at_s: float
    team: str
    first_event: int = 1


@dataclass(frozen=True)
class Arrival:
    """A request that reached the back end that it was sent to.

    :param at_s: monotonic time.
    :param wait_s: the Retry-After with which it was refused, or None.
    """

    request_id: str
    backend: str
    at_s: float
    wait_s: float | None = None


class Records:
    """The runs of all back ends by request id, and the weights that engines loaded.

    `arrivals` lists all requests that reached a back end, whether they ran or not. Each
    item of `loads` is the name of an engine, a version and the loaded chunks.
    """

    def __init__(self):
        self.runs = defaultdict(list)
        self.arrivals = []
        self.loads = []

    def add(self, run):
        self.runs[run.request_id].append(run)


def expected_answer(request_id):
    """Return the complete body of the ledger's answer to a request."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode() * 12


def seal(request_id, backend):
    """Return the seal by which an answer proves which back end ran the request."""
    return hashlib.blake2b(f"{request_id}|{backend}".encode()).hexdigest()[:24]


class Backend:
    """A service instance that uses raw sockets, so that it can send broken answers.

    Faults: `lost_share` is the share of answers that are lost after the run, and
    `loss_mode` (``reset``, ``hang``, ``cut``, or ``end`` for an orderly end between two
    events or within a whole answer) selects how. `stray_share` is the share of answers
    that are followed by stray bytes, `unmarked_share` that of answers with neither a
    length nor chunks, and `refused_share` the share of requests that are refused with
    the assurance that they did not run. Refusals ask for a wait of `retry_after_s`, or
    for none if it is None.

    While `leaving` is true, all answers state it.
    """

    service = "ledger"
    slots = SLOTS

    def __init__(self, host, name, records):
        self.host, self.name = host, name
        self.records = records
        self.random = random.Random(name)
        self.state = "ready"
        self.running = 0
        self.clear_faults()
        self._connections = set()
        self._server = None
        self.start()

    def clear_faults(self):
        """Stop losing, refusing and extending answers."""
        self.retry_after_s = None
        self.unmarked_share = 0.0
        self.lost_share, self.loss_mode, self.stray_share, self.refused_share = (
            0.0,
            "reset",
            0.0,
            0.0,
        )

    def start(self):
        """Start listening as a new instance, with a new start time."""
        self.leaving = False
        self.started_ms = int(time.time() * 1000)
        self._server = StreamServer((self.host, 0), self._serve, backlog=256)
        self._server.start()
        self.port = self._server.server_port

    def crash(self):
        """Stop at once and reset all open connections."""
        self._server.stop(timeout=0)
        for sock in list(self._connections):
            reset(sock)
        self.running = 0

    def registration(self, address, failure_domain):
        """Return the record by which the instance registers in the store.

        :param address: the address to register, which is that of its proxy.
        """
        return {
            "service": self.service, "address": address, "zone": failure_domain,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_left_ms": 0, "seq": 1, "born": self.started_ms,
        }  # fmt: skip

    def _serve(self, sock, _):
        self._connections.add(sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            reader = RequestReader(sock, CallerLimits)
            while (request := reader.read(IDLE_TIMEOUT_S)) is not None:
                writer = AnswerWriter(sock, request, lambda: False)
                self._answer(sock, request, writer)
                if not writer.keep_alive:
                    return
        except (BriarbeamError, OSError):
            return
        finally:
            self._connections.discard(sock)
            sock.close()

    def _answer(self, sock, request, writer):
        headers = dict(request.headers)
        if headers.get(b"x-expect-instance") != self.name.encode():
            writer.write(421, self._leaving_headers(), b"")
            return
        overloaded = self.running >= self.slots + 4
        if overloaded or self.random.random() < self.refused_share:
            self._refuse(writer, headers)
            return
        self._record_arrival(headers)
        self.running += 1
        try:
            self._run(sock, request, writer, headers)
        finally:
            self.running = max(0, self.running - 1)

    def _refuse(self, writer, headers):
        wait_s = self.retry_after_s
        answer_headers = [(b"x-not-run", b"1"), *self._leaving_headers()]
        if wait_s is not None:
            answer_headers.append((b"retry-after", b"%.2f" % wait_s))
        self._record_arrival(headers, wait_s)
        writer.write(503, answer_headers, b"")

    def _record_arrival(self, headers, wait_s=None):
        request_id = headers[b"x-request-id"].decode()
        arrival = Arrival(request_id, self.name, time.monotonic(), wait_s)
        self.records.arrivals.append(arrival)

    def _run(self, sock, request, writer, headers):
        request_id = headers[b"x-request-id"].decode()
        self._record_run(request_id, headers)
        gevent.sleep(LEDGER_WORK_S)
        answer_headers = self._headers(request_id)
        body = expected_answer(request_id)
        if self._maybe_lose_answer(sock):
            if self.loss_mode == "end":
                part = body[: self.random.randrange(len(body))]
                writer.write(200, answer_headers, part, marks_end=False)
            return
        marks_end = self._marks_end()
        writer.write(200, answer_headers, body, marks_end)
        if marks_end and self.random.random() < self.stray_share:
            sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray")

    def _record_run(self, request_id, headers, first_event=1):
        team = headers.get(b"x-tenant", b"").decode()
        run = Run(request_id, self.name, time.monotonic(), team, first_event)
        self.records.add(run)

    def _headers(self, request_id):
        return [
            (b"x-request-id", request_id.encode()),
            (b"x-response-seal", seal(request_id, self.name).encode()),
            (b"x-server-load", b"%d,0,%d" % (self.running, self.slots)),
            *self._leaving_headers(),
        ]

    def _leaving_headers(self):
        return [(b"server-leaving", b"1")] if self.leaving else []

    def _marks_end(self):
        return self.random.random() >= self.unmarked_share

    def _maybe_lose_answer(self, sock):
        """Lose the answer with probability `lost_share`; return whether it was lost."""
        if self.random.random() >= self.lost_share:
            return False
        if self.loss_mode == "end":
            return True
        if self.loss_mode == "hang":
            gevent.sleep(IDLE_TIMEOUT_S)
        elif self.loss_mode == "cut":
            sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\npart")
        reset(sock)
        return True


class Engine(Backend):
    """A model engine that streams events and loads staged chunks without checks.

    :param version: the version of the loaded weights, 0 if none are loaded.
    """

    service = "llm"

    def __init__(self, host, name, records, version):
        self.version, self.busy, self.orders = version, False, 0
        self.staged = {n: chunk(version, n) for n in range(CHUNK_COUNT)}
        super().__init__(host, name, records)

    def crash(self):
        super().crash()
        self.version, self.busy, self.orders = 0, False, 0

    def lose_power(self):
        """Discard the staged chunks, which a crash alone keeps."""
        self.staged = {}

    def registration(self, address, failure_domain):
        return super().registration(address, failure_domain) | {
            "models": self._models(),
            "layers": self._layers(),
        }

    def _models(self):
        return [{"name": MODEL, "version": self.version}] if self.version else []

    def _layers(self):
        held = 16 if self.version else 0
        return {"from": 0, "to": held, "version": self.version}

    def _answer(self, sock, request, writer):
        if request.path.startswith("/-/"):
            self._answer_control(request, writer)
        elif not self.version or self.busy:
            writer.write(421, self._leaving_headers(), b"")
        else:
            super()._answer(sock, request, writer)

    def _answer_control(self, request, writer):
        chunk_number = request.target.decode().partition("?num=")[2]
        if request.path == "/-/report":
            report = {
                "models": self._models(), "layers": self._layers(),
                "busy": self.busy, "seq": self.orders,
                "queued": 0, "running": self.running, "born": self.started_ms,
            }  # fmt: skip
            writer.write(200, [], json.dumps(report).encode())
        elif request.path == "/-/order":
            self._order(json.loads(request.body), writer)
        elif request.path.startswith("/-/stage-put/"):
            self.staged[int(chunk_number)] = request.body
            writer.write(200, [], b"")
        elif chunk_number:
            content = self.staged.get(int(chunk_number))
            writer.write(404 if content is None else 200, [], content or b"")
        else:
            writer.write(200, [], json.dumps({"held": sorted(self.staged)}).encode())

    def _order(self, order, writer):
        if order["precondition"] != self.orders or self.busy:
            writer.write(409, [], b"")
            return
        self.orders += 1
        loaded = [self.staged.get(number) for number in range(CHUNK_COUNT)]
        self.records.loads.append((self.name, order["version"], loaded))
        self.busy = True
        gevent.spawn(self._load, order["version"], self.orders)
        writer.write(202, [], b"")

    def _load(self, version, order):
        # A crash in the meantime discards the order.
        gevent.sleep(LOAD_S)
        if self.orders == order and self.busy:
            self.version, self.busy = version, False

    def _run(self, sock, request, writer, headers):
        request_id = headers[b"x-request-id"].decode()
        first = int(headers.get(b"last-event-id", b"0")) + 1
        self._record_run(request_id, headers, first)
        answer_headers = self._headers(request_id) + [
            (b"content-type", b"text/event-stream"),
            (b"x-weight-versions", b"%d" % self.version),
        ]
        if first > EVENT_COUNT:
            # The stream is resumed after its last event, so only its end is sent.
            writer.begin_stream(200, answer_headers, b"")
            writer.end_stream()
            return
        lost_at = self.random.randint(first, EVENT_COUNT)
        marks_end = self._marks_end()
        for number in range(first, EVENT_COUNT + 1):
            if number == lost_at and self._maybe_lose_answer(sock):
                return
            event = event_bytes(request_id, number)
            if number == first:
                writer.begin_stream(200, answer_headers, event, marks_end)
            else:
                writer.write_part(event)
            gevent.sleep(EVENT_GAP_S)
        writer.end_stream()


def event_bytes(request_id, number):
    """Return one event of the stream that answers a request."""
    last = " last" if number == EVENT_COUNT else ""
    return f"id: {number}\ndata: {request_id} {number}{last}\n\n".encode()
