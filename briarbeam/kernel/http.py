"""HTTP server of a daemon: a router on top of gevent's WSGI server."""

import json
import re
import socket
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from http.client import HTTPException
from urllib.parse import parse_qs

import gevent
import structlog
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer
from opentelemetry import propagate, trace
from prometheus_client import Counter

from .connections import OpenConnections, callers_max
from .errors import (
    BriarbeamError,
    InvalidRequestError,
    NotFoundError,
    TooManyConnectionsError,
)
from .http_input import BodyBudget, HeadReader, find_refusal
from .tasks import YIELD_SLEEP_S, ReadYielder

CONNECTIONS_MAX = 2048
SOCKET_TIMEOUT_S = 60.0
# What is read behind a refused head, so that a reset does not overtake the answer.
LINGER_MAX_BYTES = 1024 * 1024
LINGER_S = 1.0
# A connection whose requests are already here never waits for a read.
YIELD_AFTER_REQUESTS = 16
_REASON_PHRASES = {
    200: "OK", 201: "Created", 202: "Accepted", 204: "No Content",
    304: "Not Modified",
    400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 409: "Conflict",
    411: "Length Required", 413: "Content Too Large",
    429: "Too Many Requests", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
_REQUESTS = Counter("briarbeam_http_requests", "HTTP replies", ["route", "status"])
_log = structlog.get_logger()
_tracer = trace.get_tracer(__name__)


@dataclass
class Request:
    """One received request.

    :param headers: the values by lower-case name.
    :param query: the last value of each key in the query string.
    :param peer_host: IP address of the caller.
    :param connection: the socket of the caller, or None if there is no connection.
    :param query_text: the query string as received.
    """

    method: str
    path: str
    headers: dict
    query: dict
    body: bytes
    peer_host: str
    connection: socket.socket | None = None
    query_text: str = ""

    def json(self):
        """Return the body, parsed as a JSON object.

        :raises InvalidRequestError: if the body is not a JSON object.
        """
        try:
            value = json.loads(self.body or b"{}")
        except (ValueError, RecursionError) as error:
            raise InvalidRequestError(f"the body is not JSON: {error}") from error
        if not isinstance(value, dict):
            raise InvalidRequestError("the body must be a JSON object")
        return value

    def caller_disconnected(self):
        """Return whether the caller has closed its side of the connection.

        It does not wait and leaves no watcher at the event loop: the task that answers
        the request may close the connection while another task asks, and libev ends a
        process that watches a closed descriptor.
        """
        if self.connection is None:
            return False
        try:
            # The plain socket below gevent's, which would wait.
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return self.connection._sock.recv(1, flags) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


@dataclass
class Response:
    """One reply. `body` is bytes, or an iterable of bytes that is streamed."""

    status: int = 200
    body: object = b""
    headers: dict = field(default_factory=dict)

    @classmethod
    def of_json(cls, value, status=200, **headers):
        """Return a reply with `value` as its JSON body.

        :param headers: further headers, with underscores in place of hyphens.
        """
        named = {k.replace("_", "-"): str(v) for k, v in headers.items()}
        body = json.dumps(value).encode()
        return cls(status, body, {"content-type": "application/json", **named})

    @classmethod
    def of_error(cls, error):
        """Return the reply for a `BriarbeamError`."""
        response = cls.of_json(error.to_dict(), error.status)
        response.headers["x-briarbeam-ran"] = str(error.ran)
        if error.retry_after_s is not None:
            response.headers["retry-after"] = str(max(1, round(error.retry_after_s)))
        return response


class Router:
    """WSGI application that maps methods and paths to handlers.

    A path may contain names in braces, which match one segment, or with an ellipsis, as
    in ``{path...}``, the rest of the path. The matched values are passed to the handler
    as keyword arguments.

    While `draining` is True, each reply closes its connection. The reply to CONNECT always
    does.
    """

    def __init__(self):
        self.draining = False
        self._routes = []
        self._running = 0
        self._idle = Event()
        self._idle.set()

    def wait_idle(self, timeout_s):
        """Wait until no request is in progress; return False if that timed out."""
        return self._idle.wait(timeout_s)

    def add(self, method, path, handler):
        """Register ``handler(request, **parameters)`` for `method` on `path`."""
        pattern = re.sub(r"\{(\w+)\.\.\.\}", r"(?P<\1>.+)", path)
        pattern = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", pattern)
        self._routes.append((method, re.compile(pattern + r"\Z"), path, handler))

    def handle(self, request):
        """Return the reply to `request`; an exception becomes an error reply."""
        route = "none"
        try:
            route, handler, parameters = self._match_route(request)
            response = self._handle_in_span(route, handler, request, parameters)
        except BriarbeamError as error:
            response = Response.of_error(error)
        except Exception as error:
            _log.error("handler_failed", route=route, error=repr(error), exc_info=True)
            response = Response.of_error(BriarbeamError(repr(error)))
        _REQUESTS.labels(route, response.status).inc()
        return response

    def __call__(self, environ, start_response):
        self._running += 1
        self._idle.clear()
        try:
            response = self._respond(environ)
            body = self._start_reply(environ, response, start_response)
        except BaseException:
            self._end_request()
            raise
        return _ReplyBody(body, self._end_request)

    def _match_route(self, request):
        for method, pattern, path, handler in self._routes:
            match = pattern.match(request.path)
            if match and method == request.method:
                return path, handler, match.groupdict()
        raise NotFoundError(f"no such path: {request.method} {request.path}")

    def _handle_in_span(self, route, handler, request, parameters):
        with _tracer.start_as_current_span(
            f"{request.method} {route}",
            context=propagate.extract(request.headers),
            kind=trace.SpanKind.SERVER,
        ) as span:
            response = handler(request, **parameters)
            span.set_attribute("http.response.status_code", response.status)
            return response

    def _respond(self, environ):
        try:
            request = _read_request(environ)
        except BriarbeamError as error:
            response = Response.of_error(error)
            _REQUESTS.labels("none", response.status).inc()
            # What follows the head is not read, so no other request can.
            response.headers["connection"] = "close"
            return response
        return self.handle(request)

    def _start_reply(self, environ, response, start_response):
        headers = list(response.headers.items())
        body, method = response.body, environ["REQUEST_METHOD"]
        if isinstance(body, bytes):
            headers.append(("content-length", str(len(body))))
            # Only the head of an answer to HEAD is sent.
            body = [] if method == "HEAD" else [body]
        # What follows a CONNECT is meant for a tunnel.
        closes = self.draining or method == "CONNECT"
        if closes and "connection" not in response.headers:
            headers.append(("connection", "close"))
        reason = _REASON_PHRASES.get(response.status, "Status")
        start_response(f"{response.status} {reason}", headers)
        return body

    def _end_request(self):
        self._running -= 1
        if not self._running:
            self._idle.set()


class _ReplyBody:
    """Body of a reply that calls `on_close` once it was sent or abandoned.

    The server closes it even if it never started to read it.
    """

    def __init__(self, pieces, on_close):
        self._pieces = pieces
        self._on_close = on_close

    def __iter__(self):
        return iter(self._pieces)

    def close(self):
        """Close the wrapped iterable, then call `on_close` the first time."""
        on_close, self._on_close = self._on_close, None
        if on_close is None:
            return
        try:
            close = getattr(self._pieces, "close", None)
            if close is not None:
                close()
        finally:
            on_close()


class HttpServer:
    """HTTP server for a router on an address."""

    def __init__(self, address, router):
        self._server = WSGIServer(
            tuple(address), router, handler_class=_Handler, log=None, error_log=None
        )
        # What is accepted is counted only once its task runs.
        self._server.max_accept = 1
        self._server.bodies = BodyBudget()
        self._server.connections = OpenConnections(
            "daemon", callers_max(CONNECTIONS_MAX)
        )

    def start(self):
        """Bind the address and serve in the background."""
        self._server.start()

    def stop(self, timeout_s=1.0):
        """Stop listening and close the connections after `timeout_s` seconds."""
        self._server.stop(timeout=timeout_s)


class _Handler(WSGIHandler):
    """Handler that disables Nagle's algorithm and shares the socket with the router.

    A connection whose peer neither sends nor reads for `SOCKET_TIMEOUT_S` is closed.
    """

    def __init__(self, sock, address, server, rfile=None):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(SOCKET_TIMEOUT_S)
        self._request_count = 0
        super().__init__(sock, address, server, rfile)

    def handle(self):
        connections = self.server.connections
        if not connections.admit(self):
            error = TooManyConnectionsError(
                f"all {connections.limit} connections are in use", retry_after_s=1.0
            )
            # Waiting for what it sends would hold a descriptor.
            with suppress(OSError):
                self._send_response(Response.of_error(error))
            return
        try:
            super().handle()
        finally:
            connections.remove(self)

    def handle_one_request(self):
        self._request_count += 1
        if self._request_count % YIELD_AFTER_REQUESTS == 0:
            gevent.sleep(YIELD_SLEEP_S)
        return super().handle_one_request()

    def close(self):
        """End the connection; the task that reads from it closes it."""
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def read_requestline(self):
        with self.server.connections.wait(self):
            return super().read_requestline()

    def read_request(self, raw_requestline):
        with self.server.connections.wait(self):
            return super().read_request(raw_requestline)

    def get_environ(self):
        environ = super().get_environ()
        environ["briarbeam.socket"] = self.socket
        # Behind an offer of an upgrade, gevent lets the application read from the
        # connection itself, and reads the body once more before the next request.
        environ["wsgi.input"] = self.wsgi_input
        environ["wsgi.input_terminated"] = True
        environ["briarbeam.wait"] = partial(self.server.connections.wait, self)
        error = find_refusal(self.headers, self.content_length)
        error = error or self.server.bodies.find_refusal(self.content_length)
        if error is not None:
            environ["briarbeam.refusal"] = error
            # Otherwise the server reads the body to its end after the answer.
            self.wsgi_input.content_length = 0
            self.wsgi_input.chunked_input = False
        return environ

    def MessageClass(self, file, *args):
        return super().MessageClass(HeadReader(file), *args)

    def _handle_client_error(self, ex):
        if isinstance(ex, HTTPException):
            ex = InvalidRequestError(f"invalid header: {ex!r}")
        if not isinstance(ex, BriarbeamError):
            return super()._handle_client_error(ex)
        response = Response.of_error(ex)
        _REQUESTS.labels("none", response.status).inc()
        self._send_refusal(response)
        return None

    def _send_refusal(self, response):
        with suppress(OSError):
            self._send_response(response)
            self._linger()

    def _send_response(self, response):
        """Send `response` outside of the router; the connection is closed next."""
        headers = {**response.headers, "content-length": len(response.body)}
        reason = _REASON_PHRASES.get(response.status, "Status")
        lines = [f"HTTP/1.1 {response.status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "connection: close", "", ""]).encode("latin-1")
        self.socket.sendall(head + response.body)

    def handle_one_response(self):
        if "briarbeam.refusal" in self.environ:
            super().handle_one_response()
            self._linger()
            return
        with self.server.bodies.hold(self.content_length):
            super().handle_one_response()

    def _linger(self):
        left_bytes = LINGER_MAX_BYTES
        yielder = ReadYielder()
        with suppress(OSError), gevent.Timeout(LINGER_S, False):
            self.socket.shutdown(socket.SHUT_WR)
            while left_bytes > 0 and (data := self.socket.recv(16384)):
                left_bytes -= len(data)
                yielder.count_read(len(data))


def _read_request(environ):
    refusal = environ.get("briarbeam.refusal")
    if refusal is not None:
        raise refusal
    length = int(environ.get("CONTENT_LENGTH") or 0)
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    try:
        with environ["briarbeam.wait"]():
            body = environ["wsgi.input"].read(length) if length else b""
    except OSError as error:
        raise InvalidRequestError(f"body of {length} bytes: {error}") from error
    query_text = environ.get("QUERY_STRING", "")
    query = parse_qs(query_text)
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        headers=headers,
        query={key: values[-1] for key, values in query.items()},
        body=body,
        peer_host=environ.get("REMOTE_ADDR", ""),
        connection=environ.get("briarbeam.socket"),
        query_text=query_text,
    )
