"""Limits on the requests that a daemon's HTTP server reads."""

from contextlib import contextmanager

from .errors import (
    BodiesTooLargeError,
    BodyTooLargeError,
    HeaderTooLargeError,
    InvalidRequestError,
    LengthRequiredError,
)

BODY_MAX_BYTES = 4 * 1024 * 1024
# Of all requests that are read or run at a time. Small bodies are not counted, so that
# large ones don't keep them out.
BODIES_MAX_BYTES = 64 * 1024 * 1024
SMALL_BODY_MAX_BYTES = 64 * 1024
HEAD_MAX_BYTES = 64 * 1024


class BodyBudget:
    """The bodies of the requests of one server, at most `BODIES_MAX_BYTES`."""

    def __init__(self):
        self._held_bytes = 0

    def find_refusal(self, length):
        """Return the error for another body of `length` bytes, or None."""
        held_bytes = self._held_bytes + _counted_bytes(length)
        if held_bytes <= BODIES_MAX_BYTES or not _counted_bytes(length):
            return None
        return BodiesTooLargeError(
            f"bodies of {held_bytes} bytes at a time are above the limit of "
            f"{BODIES_MAX_BYTES} bytes",
            retry_after_s=1.0,
        )

    @contextmanager
    def hold(self, length):
        """Count a body of `length` bytes while in this context."""
        self._held_bytes += _counted_bytes(length)
        try:
            yield
        finally:
            self._held_bytes -= _counted_bytes(length)


def _counted_bytes(length):
    return 0 if length is None or length <= SMALL_BODY_MAX_BYTES else length


class HeadReader:
    """Lines of one head, at most `HEAD_MAX_BYTES` together."""

    def __init__(self, file):
        self._file = file
        self._left_bytes = HEAD_MAX_BYTES

    def readline(self, size_bytes):
        """Return the next line.

        :raises HeaderTooLargeError: if the head is larger than the limit.
        :raises InvalidRequestError: if the connection ends before the head does.
        """
        line = self._file.readline(min(size_bytes, self._left_bytes + 1))
        self._left_bytes -= len(line)
        if self._left_bytes < 0:
            raise HeaderTooLargeError(f"head is above {HEAD_MAX_BYTES} bytes")
        if not line:
            raise InvalidRequestError("the connection ended within the head")
        return line


def find_refusal(headers, length):
    """Return the error for a request whose body is not to be read, or None."""
    coding = headers.get("transfer-encoding")
    if coding is not None:
        return LengthRequiredError(
            f"Transfer-Encoding {coding[:40]!r}: a body needs a Content-Length"
        )
    if length is not None and length > BODY_MAX_BYTES:
        return BodyTooLargeError(
            f"body of {length} bytes is above the limit of {BODY_MAX_BYTES} bytes"
        )
    return None
