"""HTTP client of geventhttpclient that rejects replies with an invalid status."""

import errno

from geventhttpclient import HTTPClient
from geventhttpclient.client import IDEMPOTENT_METHODS
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPSocketPoolResponse,
)

from .errors import ExchangeError
from .statuses import is_valid_status


class CheckedClient(HTTPClient):
    """Reads replies with a `_CheckedReply`, whose type the library does not let choose.

    Bodies of requests are bytes, and ``Expect`` is not supported.
    """

    def request(self, method, request_uri, body=b"", headers=None):
        """Send a request and return the reply once its head has been received.

        :raises ExchangeError: if the status of the reply is invalid.
        """
        head = self._build_request(method, request_uri, body, headers)
        data = head.encode("latin-1") + body
        # A reused connection may have been closed by the peer meanwhile.
        resends_left = self._connection_pool.size + 1
        while True:
            try:
                return self._exchange(method, data)
            except _NoReplyError as error:
                if resends_left <= 0 or method not in IDEMPOTENT_METHODS:
                    raise error.__cause__ from None
                resends_left -= 1

    def _exchange(self, method, data):
        pool = self._connection_pool
        sock = pool.get_socket()
        no_reply_errors = HTTPConnectionClosed
        try:
            sock.sendall(data)
        except OSError as error:
            if error.errno not in (errno.ECONNRESET, errno.EPIPE):
                pool.release_socket(sock)
                raise
            # The peer may have replied before it closed the connection.
            no_reply_errors = (OSError, HTTPParseError)
        try:
            return _CheckedReply(
                sock,
                pool,
                block_size=self.block_size,
                method=method,
                headers_type=self.headers_type,
            )
        except no_reply_errors as error:
            raise _NoReplyError from error


class _CheckedReply(HTTPSocketPoolResponse):
    def _on_headers_complete(self):
        if not is_valid_status(self.status_code):
            raise ExchangeError(f"reply has the invalid status {self.status_code:03d}")
        return super()._on_headers_complete()


class _NoReplyError(Exception):
    """Raised from the error of a connection that ended before a reply."""
