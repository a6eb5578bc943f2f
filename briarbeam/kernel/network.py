"""HTTP client between processes: the `Network` interface and its implementation.

A connection whose reply is still outstanding is closed and never reused, so that a
late reply can't be read as the answer to the next request. The type of an error says
whether bytes may have been sent: `ConnectError` (none were) or `ExchangeError`.
"""

import ipaddress
import socket
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

import gevent
import gevent.socket
from opentelemetry import propagate, trace

from .checked_client import CheckedClient
from .errors import (
    ConnectError,
    ExchangeError,
    NotRunError,
    ReplyTooLargeError,
    SettingsError,
)
from .limited_pool import HEAD_MAX_BYTES, BoundedHeaders, SourcePool

CONNECT_TIMEOUT_S = 1.0
CONNECTION_PROBE_TIMEOUT_S = 1.0
IDLE_CONNECTIONS_MAX = 32
IDLE_MAX_S = 15.0
READ_BLOCK_BYTES = 65536
# Limit of a body that is read in one call, or of one line of a body. A watch on the
# platform's service may return several values of a megabyte in one reply.
REPLY_MAX_BYTES = 16 * 1024 * 1024
# As pool size, this disables resending: geventhttpclient resends PUT and DELETE by
# itself, "size of the pool + 1" times.
_NO_RESEND = -1

_tracer = trace.get_tracer(__name__)


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text):
        """Return the address written as ``IP:PORT``.

        :raises SettingsError: if the text is not of that form.
        """
        host, _, port_text = text.rpartition(":")
        try:
            ipaddress.IPv4Address(host)
            port = int(port_text)
        except ValueError as error:
            raise SettingsError(f"expected IP:PORT, got {text!r}") from error
        if not 0 < port < 65536:
            raise SettingsError(f"expected a port from 1 to 65535, got {text!r}")
        return cls(host, port)

    def __str__(self):
        return f"{self.host}:{self.port}"


@dataclass
class HttpRequest:
    """One request to a peer.

    :param timeout_s: seconds until the head of the reply must have been received.
    :param read_timeout_s: time limit of each read of the body; `timeout_s` if None.
    :param fresh: use a new connection and close it afterwards, for requests that must
        not be sent twice.
    :param before_send: called once a fresh connection is established, and again after
        its probe, with no wait between the last call and the first byte. If it raises,
        the request is not sent.
    :param connect_timeout_s: time limit to establish a new connection.
    :param max_bytes: limit of the body of the reply if it is read in one call.
    :param probe_path: path that is requested first on the fresh connection. If the peer
        doesn't answer, or is about to close the connection, the request is not sent.
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
    max_bytes: int = REPLY_MAX_BYTES


class HttpResponse(Protocol):
    """A reply whose body is read by the receiver."""

    status: int
    headers: dict

    def read(self, size_bytes=None) -> bytes:
        """Return up to `size_bytes` of the body, or the rest of it if None.

        :raises ReplyTooLargeError: if the rest is larger than the request allows, or
            the chunk framing exceeds its limit.
        """

    def lines(self):
        """Yield the lines of the body as they are received, without line ends.

        :raises ReplyTooLargeError: if a line is larger than `REPLY_MAX_BYTES`.
        """

    def close(self) -> None:
        """Release the connection, and close it unless the body was read completely."""


class Network(Protocol):
    """Interface to send HTTP requests to other processes."""

    def send(self, address: Address, request: HttpRequest) -> HttpResponse:
        """Send `request` and return the reply once its head has been received.

        :raises ConnectError: if nothing was sent.
        :raises ExchangeError: if bytes may have been sent and no reply was received.
        """


def reset_on_close(sock, enabled=True):
    """Make ``close`` reset the connection, even with unsent or unread data.

    The end of the process closes it too.

    :param enabled: False to close it in order again.
    """
    linger = int(enabled).to_bytes(4, "little") + (0).to_bytes(4, "little")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        return


def fetch_in_parts(network, address, request, max_bytes):
    """Like `fetch`, but the read timeout applies to each block, not to the whole body.

    A slow transfer is not aborted, because requesting a large body again adds load to a
    link that is already full.

    :param max_bytes: limit of the body.
    :raises ReplyTooLargeError: if the body is larger than `max_bytes`; if its length is
        stated, before any of it is read.
    """
    response = network.send(address, request)
    try:
        length = response.headers.get("content-length", "")
        if length.isdecimal() and int(length) > max_bytes:
            raise ReplyTooLargeError(f"body of {length} bytes, above {max_bytes}")
        body = bytearray()
        while part := response.read(READ_BLOCK_BYTES):
            body += part
            if len(body) > max_bytes:
                raise ReplyTooLargeError(f"body above {max_bytes} bytes")
        return response.status, response.headers, bytes(body)
    finally:
        response.close()


def fetch(network, address, request):
    """Send `request` and return the status, headers and whole body of the reply.

    :raises ConnectError: if nothing was sent.
    :raises ExchangeError: if bytes may have been sent and the reply is incomplete.
    """
    response = network.send(address, request)
    try:
        return response.status, response.headers, response.read()
    finally:
        response.close()


class HttpNetwork:
    """`Network` on geventhttpclient that reuses idle connections.

    :param source_host: the local IP address to connect from, or None for any.
    """

    def __init__(self, source_host=None):
        self._source_host = source_host
        self._idle = defaultdict(list)

    def send(self, address, request):
        with _tracer.start_as_current_span(
            f"{request.method} {address}",
            context=_trace_context(request),
            kind=trace.SpanKind.CLIENT,
        ):
            return self._send(address, request)

    def _send(self, address, request):
        client = self._acquire(address, request)
        if request.probe_path:
            self._probe(client, address, request)
        headers = dict(request.headers)
        propagate.inject(headers)
        client._connection_pool.read_limit.allow(HEAD_MAX_BYTES)
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
            self._close_idle(address)
            raise ExchangeError(
                f"no reply from {address} to {request.method} {request.path} "
                f"within {request.timeout_s} s"
            ) from error
        except ReplyTooLargeError:
            client.close()
            raise
        except Exception as error:
            client.close()
            self._close_idle(address)
            raise ExchangeError(
                f"{request.method} {request.path} to {address} failed: {error!r}"
            ) from error
        except BaseException:
            client.close()
            raise
        return _PooledResponse(self, address, client, raw, request)

    def _probe(self, client, address, request):
        """Check that the peer serves the connection.

        A relay, or a listener that is about to close, accepts a connection that nobody
        will read from. Without this check, a request that is lost there could not be
        distinguished from one that ran.

        :raises ConnectError: if the peer doesn't answer in time, answers with an error
            or announces a close.
        """
        client._connection_pool.read_limit.allow(HEAD_MAX_BYTES)
        try:
            with gevent.Timeout(min(CONNECTION_PROBE_TIMEOUT_S, request.timeout_s)):
                raw = client.request("GET", request.probe_path)
                raw.read()
            if raw.status_code != 200 or raw.should_close():
                raise ConnectError(
                    f"{address} refused the probe or is closing: "
                    f"status {raw.status_code}"
                )
            raw.release()
            if request.before_send is not None:
                request.before_send()
        except (ConnectError, NotRunError):
            client.close()
            raise
        except (Exception, gevent.Timeout) as error:
            client.close()
            raise ConnectError(
                f"connection probe of {address} failed: {error!r}"
            ) from error
        except BaseException:
            client.close()
            raise

    def _acquire(self, address, request):
        if not request.fresh:
            client = self._acquire_idle(address)
            if client is not None:
                return client
        client = CheckedClient(
            address.host,
            address.port,
            concurrency=1,
            block_size=READ_BLOCK_BYTES,
            headers_type=BoundedHeaders,
        )
        client._connection_pool = SourcePool(
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

    def _acquire_idle(self, address):
        """Return the most recently used idle connection, or None.

        A connection that was idle for `IDLE_MAX_S` is closed, as the peer may have
        closed it already.
        """
        idle = self._idle[address]
        while idle:
            client, since_s = idle.pop()
            if time.monotonic() - since_s < IDLE_MAX_S:
                return client
            client.close()
        return None

    def _close_idle(self, address):
        """Close the idle connections to a peer: what broke one may have broken all."""
        for client, _ in self._idle.pop(address, ()):
            client.close()

    def _release(self, address, client):
        idle = self._idle[address]
        idle.append((client, time.monotonic()))
        if len(idle) > IDLE_CONNECTIONS_MAX:
            oldest, _ = idle.pop(0)
            oldest.close()


def _trace_context(request):
    """Return the parent context of the span of `request`.

    None means the current span of the task. Without such a span, the context comes
    from the headers of the request.
    """
    if trace.get_current_span().get_span_context().is_valid:
        return None
    return propagate.extract(request.headers)


class _PooledResponse:
    """A reply whose connection can be reused once the body was read completely."""

    def __init__(self, network, address, client, raw, request):
        self.status = raw.status_code
        self.headers = {str(k).lower(): v for k, v in raw.items()}
        self._network = network
        self._address = address
        self._client = client
        self._read_limit = client._connection_pool.read_limit
        self._raw = raw
        self._request = request
        self._complete = False

    def read(self, size_bytes=None):
        if size_bytes is None:
            self._read_limit.allow(self._request.max_bytes)
            data = self._read_with_timeout(self._raw.read)
        else:
            self._read_limit.allow(size_bytes + HEAD_MAX_BYTES)
            data = self._read_with_timeout(self._raw.read, size_bytes)
        if size_bytes is None or not data:
            self._complete = True
        return bytes(data)

    def lines(self):
        while True:
            self._read_limit.allow(REPLY_MAX_BYTES)
            line = self._read_with_timeout(self._raw.readline, b"\n")
            if not line:
                self._complete = True
                return
            if line.strip():
                yield bytes(line).rstrip(b"\n")

    def close(self):
        client, self._client = self._client, None
        if client is None:
            return
        reusable = (
            self._complete and not self._request.fresh and not self._raw.should_close()
        )
        self._raw.release()
        if reusable:
            self._network._release(self._address, client)
        else:
            client.close()

    def _read_with_timeout(self, function, *args):
        read_timeout_s = self._request.read_timeout_s or self._request.timeout_s
        try:
            with gevent.Timeout(read_timeout_s):
                return function(*args)
        except gevent.Timeout as error:
            raise ExchangeError(
                f"read from {self._address} timed out after {read_timeout_s} s"
            ) from error
        except ReplyTooLargeError as error:
            raise ReplyTooLargeError(f"reply of {self._address}: {error}") from error
        except Exception as error:
            raise ExchangeError(
                f"reply of {self._address} failed: {error!r}"
            ) from error
