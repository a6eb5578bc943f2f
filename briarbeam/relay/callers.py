"""Reads the requests of a caller from its connection."""

import socket
import time
from dataclasses import dataclass, field

import gevent
import httptools

from ..kernel.tasks import YIELD_SLEEP_S, ReadYielder
from ..node_settings import CallerInputSettings
from .errors import (
    BodyTooLargeError,
    CallerTimeoutError,
    ChunkFramingTooLargeError,
    HeaderTooLargeError,
    MalformedRequestError,
    NoMemoryError,
    TrailersTooLargeError,
)
from .memory_budget import FREE_BYTES, HeldMemory, MemoryBudgetError

READ_BLOCK_BYTES = 65536
# Bytes that are parsed at a time while no body of a stated length is read. A request of a
# few bytes takes many times as much memory once it is parsed, so what follows the first
# complete request of a piece stays unparsed.
PARSE_BLOCK_BYTES = 8192
# A connection yields to others at least this often, even if its requests are answered
# and read without any wait.
YIELD_AFTER_REQUESTS = 16
# Limit on the bytes of further requests that are read while one is being answered. They
# are read to detect whether the caller has disconnected.
READ_AHEAD_MAX_BYTES = 65536
# The group in the budget of all that is read ahead.
READ_AHEAD_GROUP = "read ahead"
# Chunks of one byte, the smallest ones, take 5 more bytes each.
CHUNK_FRAMING_PER_BODY_BYTE = 8
# The headers of a request that state where its body ends.
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
# A read that took longer than this had to wait, which left other connections their turn.
WAITED_S = 0.001


@dataclass
class CallerRequest:
    """One request as a caller sent it, with its complete body.

    :param target: path and query as received.
    :param headers: pairs of lower-case name and value.
    :param keep_alive: whether the connection stays open after the answer.
    :param read_at_s: monotonic time at which its last byte was read.
    :param reads_chunks: whether the caller can read an answer in chunks.
    :param holder: the `Holder` of its body, or None if that is short.
    """

    method: bytes = b""
    target: bytes = b""
    headers: list = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    read_at_s: float = 0.0
    reads_chunks: bool = True
    holder: object = None

    def release(self):
        """Drop the body, which is not needed any more."""
        self.body = b""
        if self.holder is not None:
            self.holder.release()

    @property
    def path(self):
        """The path without its query, as text."""
        return self.target.partition(b"?")[0].decode("latin-1")


class RequestReader:
    """Reads the requests of one connection, one after another.

    Its requests and what is read ahead count as held until `close`, or until the
    request is released.

    :param sock: the connected socket.
    :param limits: a function that returns the `CallerLimits` in force.
    :param budget: the `MemoryBudget` of requests; None for no limit.
    :param find_group: a function of the headers that returns the group in `budget`.
    :param input_limits: the `CallerInputSettings`; None for the defaults.
    """

    def __init__(
        self,
        sock,
        limits,
        budget=None,
        find_group=lambda headers: None,
        input_limits=None,
    ):
        self._sock = sock
        self._limits = limits
        self._budget = budget or HeldMemory.divide().requests
        self._find_group = find_group
        self._input_limits = input_limits or CallerInputSettings()
        self._requests = []
        self._read_ahead_data = b""
        self._read_ahead_holder = self._budget.open(READ_AHEAD_GROUP)
        self._may_read_ahead = True
        self._malformed = None
        self._read_yielder = ReadYielder()
        self._request_count = 0
        self._reset()

    def read(self, idle_timeout_s):
        """Return the next `CallerRequest`, or None if the connection ends or is idle.

        :param idle_timeout_s: how long to wait for its first byte, in seconds.
        :raises MalformedRequestError: if the bytes are no valid request, or exceed a
            limit.
        :raises NoMemoryError: if its body may not be held.
        :raises CallerTimeoutError: if a request that has begun is not completed in
            time.
        """
        self._yield_between_requests()
        if self._malformed is not None and not self._requests:
            raise self._malformed
        started_s = time.monotonic() if self._started else None
        timeout_s = (
            idle_timeout_s if started_s is None else self._read_timeout_s(started_s)
        )
        while not self._requests:
            try:
                data = self._receive(timeout_s)
            except TimeoutError:
                if started_s is None:
                    return None
                raise CallerTimeoutError(
                    f"request is incomplete and nothing arrived for {timeout_s} s"
                ) from None
            except OSError:
                return None
            if not data:
                return None
            if started_s is None:
                started_s = time.monotonic()
            try:
                self._feed(data)
            except (MalformedRequestError, NoMemoryError) as error:
                if not self._requests:
                    raise
                # The bytes follow complete requests, which are answered first.
                self._malformed = error
            timeout_s = self._read_timeout_s(started_s)
        return self._requests.pop(0)

    @property
    def has_request(self):
        """Whether `read` returns a request without waiting for the caller."""
        return bool(self._requests)

    def read_ahead(self):
        """Read available bytes without waiting; return whether the caller is connected.

        It reads from the plain socket below gevent's, since it is also called from the
        event loop, which must not wait.
        """
        if self.is_read_ahead_full:
            return True
        size_bytes = READ_AHEAD_MAX_BYTES - len(self._read_ahead_data)
        try:
            data = self._sock._sock.recv(size_bytes, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._read_ahead_data += data
        try:
            self._read_ahead_holder.resize(len(self._read_ahead_data))
        except MemoryBudgetError:
            self._may_read_ahead = False
        return bool(data)

    @property
    def is_read_ahead_full(self):
        """Whether no more of further requests may be buffered.

        These are `READ_AHEAD_MAX_BYTES`, or fewer if all connections together buffer
        too many.
        """
        return (
            not self._may_read_ahead
            or len(self._read_ahead_data) >= READ_AHEAD_MAX_BYTES
        )

    def close(self):
        """Drop what was read."""
        for request in [self._request, *self._requests]:
            request.release()
        self._requests.clear()
        self._read_ahead_data = b""
        self._read_ahead_holder.release()

    def _receive(self, timeout_s):
        """Return bytes to parse, at most as many as may be parsed at a time."""
        data, self._read_ahead_data = self._read_ahead_data, b""
        if not data:
            data = self._receive_more(timeout_s)
            if len(data) <= PARSE_BLOCK_BYTES:
                return data
        size_bytes = max(PARSE_BLOCK_BYTES, self._body_left_bytes())
        if len(data) > size_bytes:
            self._read_ahead_data = data[size_bytes:]
            data = data[:size_bytes]
        try:
            self._read_ahead_holder.resize(len(self._read_ahead_data))
            self._may_read_ahead = True
        except MemoryBudgetError:
            self._may_read_ahead = False
        return data

    def _receive_more(self, timeout_s):
        self._sock.settimeout(timeout_s)
        began_s = time.monotonic()
        data = self._sock.recv(READ_BLOCK_BYTES)
        if time.monotonic() - began_s > WAITED_S:
            self._read_yielder = ReadYielder()
            self._request_count = 0
        else:
            self._read_yielder.count_read(len(data))
        return data

    def _body_left_bytes(self):
        """Return how much is left of a body of a stated length, otherwise 0."""
        if self._in_header:
            return 0
        return self._stated_bytes - len(self._body)

    def _yield_between_requests(self):
        """Yield before a request that need not be waited for."""
        self._request_count += 1
        is_pipelined = self._requests or self._read_ahead_data
        if is_pipelined or self._request_count % YIELD_AFTER_REQUESTS == 0:
            gevent.sleep(YIELD_SLEEP_S)

    def _read_timeout_s(self, started_s):
        """Return how long to wait for more bytes of a request, in seconds.

        :param started_s: monotonic time from which the time limit of its header counts.
        """
        limits = self._limits()
        if not self._in_header:
            # A body has no time limit as long as bytes keep arriving.
            return limits.idle_timeout_s
        return max(0.01, started_s + limits.header_timeout_s - time.monotonic())

    def _reset(self):
        self._parser = httptools.HttpRequestParser(self)
        self._repeats_head = False
        self._started = False
        self._message_count = 0
        self._begin_message()

    def _begin_message(self):
        self._request = CallerRequest()
        self._url = []
        # One buffer: a caller may send millions of chunks of a few bytes each.
        self._body = bytearray()
        self._framing_bytes = 0
        self._header_bytes = 0
        self._in_header = True
        self._stated_bytes = 0
        self._chunk_count = 0
        self._chunk_is_empty = False
        self._trailer_count = 0
        self._trailer_bytes = 0
        self._raw_trailer_bytes = 0

    def _feed(self, data):
        while data:
            data = self._feed_piece(data)

    def _feed_piece(self, data):
        """Parse `data`, and return what is left of it behind an offer of an upgrade."""
        self._started = True
        message_count = self._message_count
        chunk_count = self._chunk_count
        in_body, body_bytes = not self._in_header, len(self._body)
        rest = b""
        offer_end = self._parse(data)
        if offer_end is not None:
            data, rest = data[:offer_end], data[offer_end:]
            self._ignore_upgrade()
        self._count_piece(data, message_count, chunk_count, in_body, body_bytes)
        return rest

    def _parse(self, data):
        """Feed the parser.

        :returns: the offset at which it stopped behind a head that offers an upgrade, or
            None if there is no such head.
        :raises MalformedRequestError: if the bytes are no valid request, or exceed a
            limit.
        :raises NoMemoryError: if a body may not be held.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            return offer.args[0]
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, (MalformedRequestError, NoMemoryError)):
                raise cause from None
            raise MalformedRequestError(f"malformed request: {error!r}") from error
        except httptools.HttpParserError as error:
            raise MalformedRequestError(f"malformed request: {error}") from error
        return None

    def _ignore_upgrade(self):
        """Go on behind a head that offers an upgrade as if it offered none.

        The parser takes what follows for the other protocol, a body included. A new one
        gets what the head states about the end of the request.
        """
        lines = [
            b"%b: %b" % header
            for header in self._request.headers
            if header[0] in FRAMING_HEADERS
        ]
        if not self._request.keep_alive:
            lines.append(b"connection: close")
        self._parser = httptools.HttpRequestParser(self)
        self._repeats_head = True
        self._parse(b"\r\n".join([b"POST / HTTP/1.1", *lines, b"", b""]))
        self._repeats_head = False

    def _count_piece(self, data, message_count, chunk_count, in_body, body_bytes):
        """Count parsed bytes towards the limits.

        :param message_count: how many requests were complete before them.
        :param chunk_count: how many chunks had begun before them.
        :param in_body: whether they follow a head that was complete before them.
        :param body_bytes: the length of the body before them.
        """
        if message_count != self._message_count:
            # How much of the data belongs to the next request is not known. The rest of
            # it counts.
            return
        if self._in_header:
            self._header_bytes += len(data)
            if self._header_bytes > self._limits().max_header_bytes:
                raise HeaderTooLargeError(
                    f"header section is too large: {self._header_bytes} bytes"
                )
        else:
            self._count_body()
        if in_body:
            self._count_framing(len(data) - (len(self._body) - body_bytes))
            # The parser reports a trailer only once it is complete.
            if self._chunk_is_empty and chunk_count == self._chunk_count:
                self._raw_trailer_bytes += len(data)
                self._check_trailers(self._raw_trailer_bytes)

    def _count_body(self):
        """Count the body as far as it was read, once for all chunks of one read."""
        size_bytes = len(self._body)
        if size_bytes > self._limits().max_body_bytes:
            raise BodyTooLargeError(f"body is too large: at least {size_bytes} bytes")
        if self._request.holder is not None:
            try:
                self._request.holder.resize(size_bytes)
            except MemoryBudgetError as error:
                raise NoMemoryError(f"no room for more of a body: {error}") from error

    def _count_framing(self, size_bytes):
        self._framing_bytes += size_bytes
        limit_bytes = (
            self._input_limits.max_chunk_framing_bytes
            + CHUNK_FRAMING_PER_BODY_BYTE * len(self._body)
        )
        if self._framing_bytes > limit_bytes:
            raise ChunkFramingTooLargeError(
                f"chunk framing is too large: {self._framing_bytes} bytes, "
                f"the limit is {limit_bytes} at {len(self._body)} bytes of body"
            )

    def _check_trailers(self, size_bytes):
        limits = self._input_limits
        if size_bytes > limits.max_trailer_bytes:
            raise TrailersTooLargeError(
                f"trailers are too large: {size_bytes} bytes, "
                f"the limit is {limits.max_trailer_bytes}"
            )
        if self._trailer_count > limits.max_trailers:
            raise TrailersTooLargeError(
                f"too many trailers: {self._trailer_count}, "
                f"the limit is {limits.max_trailers}"
            )

    # The following methods are called by the parser.

    def on_message_begin(self):
        # Blank lines before the request count as its head.
        # Also if it follows another request in one read: the time limit of its head
        # counts from now on.
        self._started = True

    def on_url(self, url):
        if self._repeats_head:
            return
        self._url.append(url)

    def on_header(self, name, value):
        if self._repeats_head:
            return
        if not self._in_header:
            # A trailer. It must neither route or authorize the request nor reach an
            # instance, so only its size matters.
            self._trailer_count += 1
            self._trailer_bytes += len(name) + len(value) + 4
            self._check_trailers(self._trailer_bytes)
            return
        self._request.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self):
        if self._repeats_head:
            return
        self._in_header = False
        request = self._request
        request.method = self._parser.get_method()
        if request.method == b"CONNECT":
            raise MalformedRequestError("tunnels by CONNECT are not served")
        request.target = b"".join(self._url)
        request.keep_alive = self._parser.should_keep_alive()
        request.reads_chunks = self._parser.get_http_version() != "1.0"
        size_bytes = len(request.target) + sum(
            len(name) + len(value) + 4 for name, value in request.headers
        )
        if size_bytes > self._limits().max_header_bytes:
            raise HeaderTooLargeError(
                f"header section is too large: {size_bytes} bytes"
            )
        names = [name for name, _ in request.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            raise MalformedRequestError(
                "both Content-Length and Transfer-Encoding given"
            )
        if names.count(b"host") != 1:
            raise MalformedRequestError(
                f"{names.count(b'host')} Host headers, expected 1"
            )
        self._open_holder()
        if (b"expect", b"100-continue") in request.headers:
            self._sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _open_holder(self):
        """Open the `Holder` of the body that follows.

        :raises NoMemoryError: if there is no room for the length that is stated.
        """
        request = self._request
        headers = dict(request.headers)
        # The parser has checked that it is a number.
        stated_bytes = int(headers.get(b"content-length", 0))
        self._stated_bytes = stated_bytes
        if stated_bytes <= FREE_BYTES and b"transfer-encoding" not in headers:
            return
        group = self._find_group(request.headers)
        request.holder = self._budget.open(group)
        # A body above its own limit is refused for that.
        if stated_bytes > self._limits().max_body_bytes:
            return
        if not self._budget.fits(group, stated_bytes):
            raise NoMemoryError(f"no room for a body of {stated_bytes} bytes")

    def on_chunk_header(self):
        self._chunk_count += 1
        # The last chunk is empty; trailers follow it.
        self._chunk_is_empty = True

    def on_body(self, data):
        self._chunk_is_empty = False
        self._body += data

    def on_message_complete(self):
        if self._parser.should_upgrade():
            # Its body, if any, has not been read.
            return
        self._count_body()
        self._request.body = bytes(self._body)
        self._request.read_at_s = time.monotonic()
        self._requests.append(self._request)
        self._message_count += 1
        self._begin_message()
        self._started = False
