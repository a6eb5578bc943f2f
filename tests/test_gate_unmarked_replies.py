"""Replies of a service with neither a length nor chunks."""

import pytest

from briarbeam.gate.backends import ServiceBackend
from briarbeam.kernel.errors import OutcomeUnknownError
from briarbeam.kernel.network import HttpNetwork

from .test_kernel_stray_replies import Peer, good

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n"


def call(data):
    def script(sock, number):
        sock.sendall(data)
        sock.close()

    backend = ServiceBackend(HttpNetwork(), Peer(script).address)
    return backend.call("POST", "x", b"", "id1", 1.0)


@pytest.mark.parametrize("body", [b"good", b"go", b""])
def test_reply_that_may_be_cut_is_no_complete_one(body):
    """Its caller got it with a length, which states that it is complete."""
    with pytest.raises(OutcomeUnknownError):
        call(b"HTTP/1.1 200 OK\r\n\r\n" + body)


@pytest.mark.parametrize(
    ("data", "body"),
    [
        (good(), b"good"),
        (CHUNKED, b"good"),
        (b"HTTP/1.1 204 None\r\n\r\n", b""),
    ],
)
def test_reply_with_a_mark_of_its_end_is_complete(data, body):
    assert call(data)[2] == body
