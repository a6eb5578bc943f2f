"""HTTP between processes, as an interface and over geventhttpclient.

A connection that still has a reply outstanding is closed and never reused, so a
late reply can't be read as the answer to the next request. A failure tells
whether bytes may have left: `ConnectError` (none did) or `ExchangeError`.
"""

import ipaddress
import math
import socket
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

import gevent
import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.header import Headers
from opentelemetry import propagate, trace

from .errors import (
    ConnectError,
    ExchangeError,
    NotRunError,
    ReplyTooLargeError,
    SettingsError,
)
from .tasks import ReadYielder

CONNECT_TIMEOUT_S = 1.0
GREET_TIMEOUT_S = 1.0
IDLE_CONNECTIONS_MAX = 32
IDLE_MAX_S = 15.0
READ_BLOCK_BYTES = 65536
# A head with the interim replies before it; also trailers, and the framing of a part.
HEAD_MAX_BYTES = 65536
# A body that is read whole, or one line of a body. A watch of the platform's service may
# bring several values of a megabyte at once.
REPLY_MAX_BYTES = 16 * 1024 * 1024
# geventhttpclient resends PUT and DELETE by itself, "size of the pool + 1" times.
_NO_RESEND = -1

_tracer = trace.get_tracer(__name__)


class Address(NamedTuple):
    """An IP number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Return the address written as ``IP:PORT``.

        :raises SettingsError: if the text is not of that form.
        """
        host, _, port = text.rpartition(":")
        try:
            ipaddress.IPv4Address(host)
            number = int(port)
        except ValueError as error:
            raise SettingsError(f"expected IP:PORT, got {text!r}") from error
        if not 0 < number < 65536:
            raise SettingsError(f"expected a port from 1 to 65535, got {text!r}")
        return cls(host, number)

    def __str__(self):
        return f"{self.host}:{self.port}"


@dataclass
class HttpRequest:
    """One request to a peer.

    :param timeout_s: seconds until the reply's head must be there.
    :param silence_s: the longest silence allowed afterwards; `timeout_s` if None.
    :param fresh: use a new connection and close it afterwards; for what must not
        be sent twice.
    :param before_send: called once a fresh connection stands, with no wait between it and
        the first byte; what it raises ends the request unsent.
    :param connect_timeout_s: how long a new connection may take to stand.
    :param greet_path: read first on the fresh connection. A peer that doesn't answer,
        or means to close, is left before a byte of the request is sent.
    """

    method: str
    path: str
    body: bytes = b""
    headers: dict = field(default_factory=dict)
    timeout_s: float = 5.0
    fresh: bool = False
    read_timeout_s: float | None = None
    before_send: Callable[[], None] | None = None
    probe_path: str | None = None
    connect_timeout_s: float = CONNECT_TIMEOUT_S


class HttpResponse(Protocol):
    """A reply whose body is read by its receiver."""

    status: int
    headers: dict

    def read(self, size_bytes=None) -> bytes:
        """Return up to `size_bytes` of the body, or all that is left.

        :raises ReplyTooLargeError: if more than `REPLY_MAX_BYTES` are left, or the
            framing of a part has no end.
        """

    def lines(self):
        """Yield the body's lines as they come, without their end.

        :raises ReplyTooLargeError: if one has more than `REPLY_MAX_BYTES`.
        """

    def close(self) -> None:
        """Give the connection up; closes it unless the body was read whole."""


class Network(Protocol):
    """What a decision may do with the network."""

    def send(self, address: Address, request: HttpRequest) -> HttpResponse:
        """Send `request` and return the reply once its head is there.

        :raises ConnectError: if nothing was sent.
        :raises ExchangeError: if bytes may have left and no reply came.
        """


def reset_on_close(sock):
    """Have the socket's close break the connection, whatever is unsent or unread."""
    linger = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        return


def fetch_in_parts(network, address, request, max_bytes):
    """As `fetch`, but only a silence ends the body; it may come slowly.

    A large body that is given up halfway and asked for again makes a full link fuller.

    :raises ReplyTooLargeError: if the body has more than `max_bytes`.
    """
    response = network.send(address, request)
    try:
        body = bytearray()
        while part := response.read(READ_BLOCK_BYTES):
            body += part
            if len(body) > max_bytes:
                raise ReplyTooLargeError(f"body above {max_bytes} bytes")
        return response.status, response.headers, bytes(body)
    finally:
        response.close()


def fetch(network, address, request):
    """Send `request` and return its status, headers and whole body."""
    response = network.send(address, request)
    try:
        return response.status, response.headers, response.read()
    finally:
        response.close()


class HttpNetwork:
    """The real network.

    :param source_host: the IP number that connections leave from, or None.
    """

    def __init__(self, source_host=None):
        self._source_host = source_host
        self._idle = defaultdict(list)

    def send(self, address, request):
        with _tracer.start_as_current_span(
            f"{request.method} {address}",
            context=_context_of(request),
            kind=trace.SpanKind.CLIENT,
        ):
            return self._send(address, request)

    def _send(self, address, request):
        client = self._take(address, request)
        if request.probe_path:
            self._greet(client, address, request)
        headers = dict(request.headers)
        propagate.inject(headers)
        client._connection_pool.meter.allow(HEAD_MAX_BYTES)
        try:
            with gevent.Timeout(request.timeout_s):
                raw = client.request(
                    request.method, request.path, request.body, headers
                )
        except (ConnectError, NotRunError):
            client.close()
            raise
        except gevent.Timeout as error:
            client.close()
            self._drop_idle(address)
            raise ExchangeError(
                f"no reply from {address} to {request.method} {request.path} "
                f"within {request.timeout_s} s"
            ) from error
        except ReplyTooLargeError:
            client.close()
            raise
        except Exception as error:
            client.close()
            self._drop_idle(address)
            raise ExchangeError(
                f"{request.method} {request.path} to {address} broke: {error!r}"
            ) from error
        except BaseException:
            client.close()
            raise
        return _PooledResponse(self, address, client, raw, request)

    def _greet(self, client, address, request):
        """Make sure that the peer serves the connection.

        A relay, or a listener that is about to close, takes a connection that nobody
        will read from. Without this, a request lost there could not be told from one
        that ran.

        :raises ConnectError: if the peer doesn't answer in time or means to close.
        """
        client._connection_pool.meter.allow(HEAD_MAX_BYTES)
        try:
            with gevent.Timeout(min(GREET_TIMEOUT_S, request.timeout_s)):
                raw = client.request("GET", request.probe_path)
                raw.read()
            if raw.status_code != 200 or raw.should_close():
                raise ConnectError(f"{address} answered {raw.status_code} and closes")
            raw.release()
            if request.before_send is not None:
                request.before_send()
        except (ConnectError, NotRunError):
            client.close()
            raise
        except (Exception, gevent.Timeout) as error:
            client.close()
            raise ConnectError(f"{address} did not answer: {error!r}") from error
        except BaseException:
            client.close()
            raise

    def _take(self, address, request):
        if not request.fresh:
            client = self._take_idle(address)
            if client is not None:
                return client
        client = HTTPClient(
            address.host,
            address.port,
            concurrency=1,
            block_size=READ_BLOCK_BYTES,
            headers_type=_BoundedHeaders,
        )
        client._connection_pool = _SourcePool(
            address.host,
            address.port,
            address.host,
            address.port,
            size=1,
            connection_timeout=request.connect_timeout_s,
            network_timeout=None,
        )
        client._connection_pool.source_host = self._source_host
        if request.fresh:
            client._connection_pool.before_send = request.before_send
            client._connection_pool.size = _NO_RESEND
        return client

    def _take_idle(self, address):
        """Return the connection used last, unless the peer may have closed it."""
        idle = self._idle[address]
        while idle:
            client, since_s = idle.pop()
            if time.monotonic() - since_s < IDLE_MAX_S:
                return client
            client.close()
        return None

    def _drop_idle(self, address):
        """Close kept connections: what silenced or broke one may hold for all."""
        for client, _ in self._idle.pop(address, ()):
            client.close()

    def _give_back(self, address, client):
        idle = self._idle[address]
        idle.append((client, time.monotonic()))
        if len(idle) > IDLE_CONNECTIONS_MAX:
            oldest, _ = idle.pop(0)
            oldest.close()


def _context_of(request):
    """Return the trace context to send in: the task's own, or the request's."""
    if trace.get_current_span().get_span_context().is_valid:
        return None
    return propagate.extract(request.headers)


class _Meter:
    """Counts what is read of a reply; the client that parses it has no bounds."""

    def __init__(self):
        self._left_bytes = math.inf
        self._turns = ReadYielder()

    def allow(self, size_bytes):
        """Allow so many more bytes, the framing included."""
        self._left_bytes = size_bytes

    def check(self):
        """Raise if what was allowed has been read."""
        if self._left_bytes <= 0:
            raise ReplyTooLargeError(f"{-self._left_bytes} bytes more than allowed")

    def note_read(self, size_bytes):
        """Count bytes that were read."""
        self._left_bytes -= size_bytes
        self._turns.note_read(size_bytes)


class _BoundedHeaders(Headers):
    """Headers of one reply; its trailers are added to them."""

    _size_bytes = 0

    def add(self, field, value):
        self._size_bytes += len(field) + len(value)
        if self._size_bytes > HEAD_MAX_BYTES:
            raise ReplyTooLargeError(f"more than {HEAD_MAX_BYTES} bytes of headers")
        super().add(field, value)


class _MeteredSocket(gevent.socket.socket):
    """A socket whose reads a `_Meter` counts."""

    meter = None

    def recv(self, *args):
        self.meter.check()
        data = super().recv(*args)
        self.meter.note_read(len(data))
        return data


class _SourcePool(ConnectionPool):
    """A pool whose sockets leave from `source_host`; failed connects are typed."""

    source_host = None
    before_send = None

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.meter = _Meter()

    def _resolve(self):
        # The library asks for names in a thread, also for an IP number; a connection would
        # wait for that thread's turn.
        address = self._connection_host, self._connection_port
        return [(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", address)]

    def _create_tcp_socket(self, family, socktype, protocol):
        sock = _MeteredSocket(family, socktype, protocol)
        sock.meter = self.meter
        if self.source_host:
            sock.bind((self.source_host, 0))
        return sock

    def _connect_socket(self, sock, address):
        try:
            connected = super()._connect_socket(sock, address)
        except OSError as error:
            raise ConnectError(f"no connection to {address}: {error}") from error
        if self.before_send is not None:
            self.before_send()
        return connected


class _PooledResponse:
    """A reply on a connection that goes back to the network once read whole."""

    def __init__(self, network, address, client, raw, request):
        self.status = raw.status_code
        self.headers = {str(k).lower(): v for k, v in raw.items()}
        self._network = network
        self._address = address
        self._client = client
        self._meter = client._connection_pool.meter
        self._raw = raw
        self._request = request
        self._complete = False

    def read(self, size_bytes=None):
        if size_bytes is None:
            self._meter.allow(REPLY_MAX_BYTES)
            data = self._guard(self._raw.read)
        else:
            self._meter.allow(size_bytes + HEAD_MAX_BYTES)
            data = self._guard(self._raw.read, size_bytes)
        if size_bytes is None or not data:
            self._complete = True
        return bytes(data)

    def lines(self):
        while True:
            self._meter.allow(REPLY_MAX_BYTES)
            line = self._guard(self._raw.readline, b"\n")
            if not line:
                self._complete = True
                return
            if line.strip():
                yield bytes(line).rstrip(b"\n")

    def close(self):
        client, self._client = self._client, None
        if client is None:
            return
        keep = (
            self._complete and not self._request.fresh and not self._raw.should_close()
        )
        self._raw.release()
        if keep:
            self._network._give_back(self._address, client)
        else:
            client.close()

    def _guard(self, function, *args):
        read_timeout_s = self._request.read_timeout_s or self._request.timeout_s
        try:
            with gevent.Timeout(read_timeout_s):
                return function(*args)
        except gevent.Timeout as error:
            raise ExchangeError(
                f"{self._address} went silent for {read_timeout_s} s"
            ) from error
        except ReplyTooLargeError as error:
            raise ReplyTooLargeError(f"reply of {self._address}: {error}") from error
        except Exception as error:
            raise ExchangeError(f"reply of {self._address} broke: {error!r}") from error
