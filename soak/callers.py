"""Callers that reuse connections and record the outcome of each request."""

import random
import time
from dataclasses import dataclass, field

import gevent
import httptools
from gevent import socket

from .backends import EVENT_COUNT, event_bytes, expected_answer

TIME_LIMIT_S = 4.0
CONNECT_TIMEOUT_S = 1.0
# Each connection carries several requests in sequence, as those of users do.
REQUESTS_PER_CONNECTION = 12


@dataclass
class Attempt:
    """One request of a caller and its outcome.

    :param kind: ``stream``, ``settle`` or ``read``, see `Caller.PATHS`.
    :param key: the API key.
    :param status: the status of the answer, None without an answer, or -1 if the bytes
        received are not a valid HTTP answer.
    :param complete: whether the answer is complete according to its HTTP framing.
    :param caller_closed: whether the caller closed the connection before the end.
    :param sent_s: monotonic time after the last byte was sent, or None.
    """

    request_id: str
    kind: str
    key: str
    entry: str
    started_s: float
    sent_s: float | None = None
    status: int | None = None
    complete: bool = False
    caller_closed: bool = False
    ended_s: float | None = None
    body: bytes = b""
    headers: dict = field(default_factory=dict)

    def expected_body(self):
        """Return the body of a complete answer."""
        if self.kind == "stream":
            events = range(1, EVENT_COUNT + 1)
            return b"".join(event_bytes(self.request_id, n) for n in events)
        return expected_answer(self.request_id)


class Caller:
    """A caller that sends requests in sequence to entries chosen by a balancer.

    :param choose_entry: a function that returns the name, host and port of an entry, or
        None.
    :param keys: a function that returns the API keys in use.
    :param attempts: the list to which each `Attempt` is added.
    """

    PATHS = {"stream": "/gen/x", "settle": "/settle/x", "read": "/read/x"}

    def __init__(self, name, choose_entry, keys, seed, attempts):
        self._name = name
        self._choose_entry = choose_entry
        self._keys = keys
        self._random = random.Random(seed)
        self._attempts = attempts
        self._number = 0

    def run(self):
        """Send requests until killed."""
        while True:
            entry = self._choose_entry()
            if entry is None:
                gevent.sleep(0.1)
                continue
            try:
                self._use_connection(*entry)
            except OSError:
                gevent.sleep(0.05)

    def _use_connection(self, entry, host, port):
        sock = socket.create_connection((host, port), CONNECT_TIMEOUT_S)
        try:
            for _ in range(REQUESTS_PER_CONNECTION):
                if not self._request(sock, entry):
                    return
                gevent.sleep(self._random.uniform(0.0, 0.12))
        finally:
            sock.close()

    def _request(self, sock, entry):
        self._number += 1
        kind = self._random.choice(["stream", "settle", "settle", "read"])
        attempt = Attempt(
            f"{self._name}-{self._number}", kind, self._random.choice(self._keys()),
            entry, time.monotonic(),
        )  # fmt: skip
        self._attempts.append(attempt)
        answer = _AnswerReader(attempt)
        try:
            sock.settimeout(TIME_LIMIT_S + 1.0)
            sock.sendall(self._encode(attempt))
            attempt.sent_s = time.monotonic()
            close_early = kind == "stream" and self._random.random() < 0.05
            return answer.read(sock, close_early)
        except gevent.GreenletExit:
            attempt.caller_closed = True
            raise
        finally:
            attempt.ended_s = time.monotonic()

    def _encode(self, attempt):
        method = "GET" if attempt.kind == "read" else "POST"
        body = "" if method == "GET" else attempt.request_id
        model = "X-Model: m\r\n" if attempt.kind == "stream" else ""
        return (
            f"{method} {self.PATHS[attempt.kind]} HTTP/1.1\r\nHost: h.example\r\n"
            f"X-Request-Id: {attempt.request_id}\r\n{model}"
            f"X-Deadline-Ms: {int(TIME_LIMIT_S * 1000)}\r\n"
            f"Authorization: Bearer {attempt.key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()


class _AnswerReader:
    """Reads one answer into an `Attempt`."""

    def __init__(self, attempt):
        self._attempt = attempt
        self._parser = httptools.HttpResponseParser(self)
        self._keep_alive = True

    def read(self, sock, close_early):
        """Read the answer; return whether the connection can be used again.

        :param close_early: stop as soon as a part of the body has arrived.
        """
        while not self._attempt.complete:
            data = sock.recv(65536)
            if not data:
                return False
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError:
                self._attempt.status = -1
                return False
            if close_early and self._attempt.body:
                self._attempt.caller_closed = not self._attempt.complete
                return False
        return self._keep_alive

    def on_header(self, name, value):
        self._attempt.headers[name.lower()] = value

    def on_headers_complete(self):
        self._attempt.status = self._parser.get_status_code()

    def on_body(self, data):
        self._attempt.body += data

    def on_message_complete(self):
        self._attempt.complete = True
        self._keep_alive = self._parser.should_keep_alive()
