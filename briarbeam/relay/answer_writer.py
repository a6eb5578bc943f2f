"""Writes answers to the connections of callers."""

from http import HTTPStatus

from ..kernel.network import reset_on_close
from .errors import CallerDisconnectedError

# A longer body is sent separately from its head instead of being copied behind it.
JOINED_BODY_MAX_BYTES = 65536
# A caller that accepts no bytes of its answer for this long is treated as disconnected.
WRITE_TIMEOUT_S = 5.0


class AnswerWriter:
    """Writes the answer to one request.

    The kernel closes the connections of a process that ends in order. So while an
    answer is incomplete whose end only that of the connection marks, the connection is
    one that is reset when it is closed.

    :param sock: the connected socket.
    :param request: the `CallerRequest`.
    :param closing: a function that returns whether the connection has to be closed
        after the answer, even if the caller would keep it open.

    `begun` is whether bytes of the answer were written, `complete` whether all were,
    `keep_alive` whether the connection stays open, as the written head states, and
    `ends_with_connection` whether only the end of the connection marks that of the
    answer.
    """

    def __init__(self, sock, request, closing):
        self._sock = sock
        self._request = request
        self._closing = closing
        self._chunked = False
        self.ends_with_connection = False
        self.begun = False
        self.complete = False
        self.keep_alive = False

    def write(self, status, headers, body, marks_end=True):
        """Write a complete answer.

        :param marks_end: whether to state its length.
        :raises CallerDisconnectedError: if the caller has disconnected or accepts no
            bytes.
        """
        has_body = self._request.method != b"HEAD" and status not in (204, 304)
        self.ends_with_connection = has_body and not marks_end
        has_length = status != 204 and not self.ends_with_connection
        length = [(b"content-length", b"%d" % len(body))] if has_length else []
        head = self._head(status, list(headers) + length)
        if self.ends_with_connection:
            reset_on_close(self._sock)
        if has_body and len(body) > JOINED_BODY_MAX_BYTES:
            self._send(head)
            self._send(body)
        else:
            self._send(head + body if has_body else head)
        self._complete()

    def begin_stream(self, status, headers, first, marks_end=True):
        """Write the head and the first bytes of an answer of unknown length.

        :param marks_end: whether to send it in chunks, so that the last one marks its
            end. A caller with HTTP/1.0 can't read chunks.
        """
        marks_end = marks_end and self._request.reads_chunks
        self._chunked = marks_end
        self.ends_with_connection = not marks_end
        if self.ends_with_connection:
            reset_on_close(self._sock)
        coding = [(b"transfer-encoding", b"chunked")] if marks_end else []
        self._send(self._head(status, list(headers) + coding) + self._encode(first))

    def write_part(self, data):
        """Write more bytes of an answer that was started with `begin_stream`."""
        self._send(self._encode(data))

    def end_stream(self):
        """Complete the answer, with an end marker unless the connection's end is one."""
        if self._chunked:
            self._send(b"0\r\n\r\n")
        self._complete()

    def _complete(self):
        self.complete = True
        if self.ends_with_connection:
            reset_on_close(self._sock, enabled=False)

    def _encode(self, data):
        return _chunk(data) if self._chunked else data

    def _head(self, status, headers):
        self.keep_alive = (
            self._request.keep_alive
            and not self._closing()
            and not self.ends_with_connection
        )
        if not self.keep_alive:
            headers.append((b"connection", b"close"))
        lines = [b"HTTP/1.1 %d %b" % (status, _reason(status))]
        lines += [b"%b: %b" % header for header in headers]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _send(self, data):
        self.begun = True
        left = memoryview(data)
        try:
            # The time limit of `sendall` would be one for all of the data.
            self._sock.settimeout(WRITE_TIMEOUT_S)
            while left:
                left = left[self._sock.send(left) :]
        except OSError as error:
            raise CallerDisconnectedError(
                f"writing the answer failed: {error!r}"
            ) from error


def _reason(status):
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
