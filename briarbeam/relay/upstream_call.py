"""Sends one request to one instance over a separate connection."""

import contextlib
import enum
import time
from dataclasses import dataclass

import gevent
import httptools
from gevent import socket

from ..kernel.early_bytes import find_early_fault
from ..kernel.errors import NotRunError
from ..kernel.network import reset_on_close
from ..kernel.statuses import is_valid_status
from ..kernel.tasks import ReadYielder
from .errors import (
    AnswerTooLargeError,
    InvalidStatusError,
    UpstreamBrokenError,
    UpstreamError,
)

# Connecting takes one round trip of a few ms. The kernel sends a lost first packet
# again only after a second, so a new connection attempt is faster.
CONNECT_TIMEOUT_S = 0.25
READ_BLOCK_BYTES = 65536
# Longer requests are sent in a separate task, because an instance may answer before it
# has read the whole request.
SEND_INLINE_BYTES = 8192
# Limit on consecutive received bytes that contain no part of a body: heads, interim
# answers, chunk sizes with their extensions, trailers.
FRAMING_MAX_BYTES = 65536


class TargetIneligibleError(NotRunError):
    """The instance is no longer eligible for the request; nothing was sent."""

    code = "target_unfit"


class ConnectFailedError(TargetIneligibleError):
    """The connection to the instance failed; nothing was sent."""

    code = "connect_failed"


class UpstreamSilentError(UpstreamError):
    """The instance sent nothing more before the deadline of a read."""

    code = "upstream_silent"


class Framing(enum.StrEnum):
    """What marks the end of an answer."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@dataclass
class ReplyHead:
    """The status and the headers of an answer.

    :param headers: pairs of lower-case name and value.
    :param framing: the `Framing` of the body.
    """

    status: int
    headers: list
    framing: Framing = Framing.LENGTH

    def is_event_stream(self):
        """Return whether the body is a stream of server-sent events."""
        return any(
            name == b"content-type" and value.startswith(b"text/event-stream")
            for name, value in self.headers
        )


class UpstreamCall:
    """Sends a request and reads its answer incrementally.

    :param address: the `Address` of the instance.
    :param head_only: whether the answer has no body, as with ``HEAD``.
    """

    def __init__(self, address, head_only=False):
        self._address = address
        self._head_only = head_only
        self._sock = None
        self._send_task = None
        # The kernel reports an error of a connection once. If it was not a read that
        # got it, the next read gets what arrived before, and then an orderly end.
        self._unread_error = None
        self._parser = httptools.HttpResponseParser(self)
        self._head = None
        self._interim = False
        self._parts = []
        self._framing_bytes = 0
        self._read_yielder = ReadYielder()
        self._connection_end = None
        self._ended = self._stays_open = False
        self._is_given_up = False
        self.sent = False
        self.aborted = False

    @property
    def head(self):
        """The `ReplyHead`, or None before it is complete."""
        return self._head

    @property
    def is_complete(self):
        """Whether the answer was received completely."""
        return self._ended or (self._head_only and self._head is not None)

    def fileno(self):
        """Return the descriptor of the connection, to wait until it is readable."""
        return self._sock.fileno()

    def close(self):
        """Close the connection, which cancels a running request."""
        if self._send_task is not None:
            self._send_task.kill(block=False)
        if self._sock is not None:
            if self._send_task is not None and not self.is_complete:
                # An orderly close would be queued behind the rest of the request's
                # body, which the instance may not be reading.
                reset_on_close(self._sock)
            self._sock.close()

    def connect(self, timeout_s=CONNECT_TIMEOUT_S):
        """Open the connection.

        :raises ConnectFailedError: if that fails or takes longer than `timeout_s`.
        """
        sock = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.settimeout(timeout_s)
            sock.connect(tuple(self._address))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            if sock is not None:
                sock.close()
            raise ConnectFailedError(
                f"connecting to {self._address} failed: {error!r}"
            ) from error
        self._sock = sock

    def check_unanswered(self):
        """Check that the connection is open and that nothing was received yet.

        :raises ConnectFailedError: if the connection must not be used.
        """
        if fault := find_early_fault(self._sock):
            raise ConnectFailedError(f"{self._address} {fault}")

    def renew(self):
        """Prepare for another request on the connection after a complete answer.

        :returns: whether the connection stays open for one.
        """
        if not self._stays_open:
            return False
        self._parser = httptools.HttpResponseParser(self)
        self._head = None
        self._ended = self._stays_open = self.sent = False
        self._framing_bytes = 0
        return True

    def is_quiet(self):
        """Return whether the connection is open and has nothing to read."""
        try:
            # The plain socket below gevent's, which would wait.
            self._sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError as error:
            self._unread_error = error
        return False

    def abort(self):
        """End the call; the task that waits for its answer gets an `UpstreamError`."""
        self.aborted = True
        self._shut_down()

    def give_up(self):
        """Read no more of an answer that may not be held; `receive` raises from now on."""
        self._is_given_up = True
        self._shut_down()

    def _shut_down(self):
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    @property
    def connection_end(self):
        """How the instance ended the connection, ``"closed"``, ``"reset"`` or None."""
        return "reset" if self._unread_error is not None else self._connection_end

    @property
    def is_sent(self):
        """Whether the request was handed to the connection completely."""
        return self.sent and (self._send_task is None or self._send_task.ready())

    def send(self, head, body):
        """Send the request, which may run from now on.

        :param head: the bytes of the request line and the headers.
        :raises UpstreamBrokenError: if the connection breaks.
        """
        self.sent = True
        if len(head) + len(body) > SEND_INLINE_BYTES:
            # A long body is not copied: there may be many at a time.
            self._send_task = gevent.spawn(self._send_in_background, head, body)
            return
        try:
            self._sock.sendall(head + body)
        except OSError as error:
            raise UpstreamBrokenError(
                f"sending to {self._address} failed: {error!r}"
            ) from error

    def take_part(self):
        """Return the bytes of the body that were received since the last call."""
        parts, self._parts = self._parts, []
        return b"".join(parts)

    def receive(self, until_s):
        """Receive the next bytes of the answer.

        :param until_s: monotonic time until which to wait.
        :raises UpstreamSilentError: if there are none by then.
        :raises AnswerTooLargeError: if more than `FRAMING_MAX_BYTES` arrive without any
            part of a body, or if the answer was given up.
        :raises InvalidStatusError: if the status of the answer is invalid.
        :raises UpstreamError: if the connection breaks or the answer is malformed.
        """
        # What has already arrived is read even if the time is over.
        self._sock.settimeout(max(0.0, until_s - time.monotonic()))
        try:
            data = self._sock.recv(READ_BLOCK_BYTES)
        except OSError as error:
            self._check_given_up()
            if _means_not_ready(error):
                raise UpstreamSilentError(
                    f"{self._address} sent nothing more before the deadline"
                ) from None
            raise self._broken_error("reading from", error) from error
        self._check_given_up()
        if not data:
            if self.aborted:
                raise UpstreamBrokenError(f"call to {self._address} was aborted")
            if self._unread_error is not None:
                raise self._broken_error("connection to", self._unread_error)
            self._connection_end = "closed"
            self._on_end()
            return
        self._feed(data)
        self._check_framing(len(data))
        self._read_yielder.count_read(len(data))

    def _check_given_up(self):
        if self._is_given_up:
            raise AnswerTooLargeError(
                f"answer of {self._address} was given up to hold others"
            )

    def _feed(self, data):
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Bytes after a complete answer belong to no request and are ignored.
            if isinstance(error.__context__, InvalidStatusError):
                raise error.__context__ from None
            if not self._ended:
                raise UpstreamError(
                    f"answer from {self._address} is malformed: {error}"
                ) from error

    def _check_framing(self, size_bytes):
        """Count consecutive received bytes that contain no part of a body.

        :raises AnswerTooLargeError: if there are more than `FRAMING_MAX_BYTES`.
        """
        self._framing_bytes = 0 if self._parts else self._framing_bytes + size_bytes
        if self._framing_bytes > FRAMING_MAX_BYTES and not self._ended:
            raise AnswerTooLargeError(
                f"{self._address}: {self._framing_bytes} bytes without part of a body"
            )

    def _on_end(self):
        """Handle an orderly end of the connection.

        :raises UpstreamBrokenError: if that does not complete the answer. It completes
            only a body that has neither a length nor chunks.
        """
        if self._head is not None and self._head.framing is Framing.CONNECTION:
            self._ended = True
        else:
            raise UpstreamBrokenError(
                f"{self._address} closed the connection before the answer was complete"
            )

    def _send_in_background(self, *parts):
        try:
            for part in parts:
                self._send_part(memoryview(part))
        except BrokenPipeError:
            # The instance closed the connection in order before it reset it.
            return
        except OSError as error:
            self._unread_error = error

    def _send_part(self, left):
        while left:
            # The time limit of the socket is the one of the task that reads, so `send`
            # must not wait.
            socket.wait_write(self._sock.fileno())
            try:
                left = left[self._sock.send(left) :]
            except OSError as error:
                if not _means_not_ready(error):
                    raise

    def _broken_error(self, action, error):
        self._connection_end = "reset"
        return UpstreamBrokenError(f"{action} {self._address} failed: {error!r}")

    # The following methods are called by the parser.

    def on_message_begin(self):
        self._headers = []

    def on_header(self, name, value):
        # What follows the head is a trailer, which the caller must not get as a header.
        if self._head is None:
            self._headers.append((name.lower(), value.strip()))

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if not (self._ended or is_valid_status(status)):
            # The exception stops the parser before what follows on the connection.
            raise InvalidStatusError(f"{self._address} answered status {status:03d}")
        self._interim = status < 200
        if self._interim or self._ended:
            return
        self._head = ReplyHead(status, self._headers, self._find_framing(status))

    def _find_framing(self, status):
        names = {name for name, _ in self._headers}
        if status in (204, 304) or self._head_only:
            return Framing.NO_BODY
        if b"transfer-encoding" in names:
            return Framing.CHUNKS
        return Framing.LENGTH if b"content-length" in names else Framing.CONNECTION

    def on_body(self, data):
        if not self._ended:
            self._parts.append(data)

    def on_message_complete(self):
        if not self._interim and self._head is not None:
            self._ended = True
            # The parser tells this during this call only.
            self._stays_open = self._parser.should_keep_alive()


def _means_not_ready(error):
    """Return whether an `OSError` means that a socket operation had to wait too long.

    A connection that the kernel has timed out raises `TimeoutError` with an ``errno``.
    """
    return isinstance(error, BlockingIOError) or (
        isinstance(error, TimeoutError) and error.errno is None
    )
