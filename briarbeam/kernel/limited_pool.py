"""Connections of the HTTP client that limit what is read of a reply."""

import math
import socket

import gevent.socket
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.header import Headers

from .early_bytes import find_early_fault
from .errors import ConnectError, ExchangeError, ReplyTooLargeError
from .tasks import ReadYielder

# Limit of the head of a reply, including interim replies before it. It also applies to
# trailers and to the chunk framing within one block that is read.
HEAD_MAX_BYTES = 65536


class ReadLimit:
    """Limits the bytes read of a reply, as the HTTP parser itself has no limits."""

    def __init__(self):
        self._remaining_bytes = math.inf
        self._yielder = ReadYielder()

    def allow(self, size_bytes):
        """Allow `size_bytes` from now on, including the chunk framing."""
        self._remaining_bytes = size_bytes

    def check(self):
        """Raise `ReplyTooLargeError` if the allowed bytes have been read."""
        if self._remaining_bytes <= 0:
            raise ReplyTooLargeError(
                f"read limit reached, {-self._remaining_bytes} bytes above it"
            )

    def count_read(self, size_bytes):
        """Count bytes read, and yield to other tasks from time to time."""
        self._remaining_bytes -= size_bytes
        self._yielder.count_read(size_bytes)


class BoundedHeaders(Headers):
    """Headers and trailers of one reply, limited to `HEAD_MAX_BYTES`."""

    _size_bytes = 0

    def add(self, field, value):
        self._size_bytes += len(field) + len(value)
        if self._size_bytes > HEAD_MAX_BYTES:
            raise ReplyTooLargeError(f"more than {HEAD_MAX_BYTES} bytes of headers")
        super().add(field, value)

    def clear(self):
        # The parser calls this when another reply begins. Only interim replies, which
        # have no body, precede the reply to a request.
        if "content-length" in self or "transfer-encoding" in self:
            raise ExchangeError("another reply follows a complete one")
        super().clear()


class LimitedSocket(gevent.socket.socket):
    """A socket whose reads are limited by a `ReadLimit`.

    The library reads the reply also after a send failed.
    """

    read_limit = None
    _send_error = None

    def send(self, *args, **options):
        try:
            return super().send(*args, **options)
        except ConnectionResetError as error:
            # The kernel reports it once: the next read would get an orderly end.
            self._send_error = error
            raise

    def recv(self, *args):
        self.read_limit.check()
        data = super().recv(*args)
        if not data and self._send_error is not None:
            raise self._send_error
        self.read_limit.count_read(len(data))
        return data


class SourcePool(ConnectionPool):
    """A pool that connects from `source_host` and raises `ConnectError` on failure."""

    source_host = None
    before_send = None

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.read_limit = ReadLimit()

    def _resolve(self):
        # The library resolves names in a thread, even for an IP address. A connection
        # would have to wait until that thread is scheduled.
        address = self._connection_host, self._connection_port
        return [(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", address)]

    def _create_tcp_socket(self, family, socktype, protocol):
        sock = LimitedSocket(family, socktype, protocol)
        sock.read_limit = self.read_limit
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
        if fault := find_early_fault(connected):
            raise ConnectError(f"{address} {fault}")
        return connected
