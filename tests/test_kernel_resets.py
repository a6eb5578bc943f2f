"""Resets of connections that another call than a read gets."""

import gevent
import pytest
from gevent.server import StreamServer

from briarbeam.kernel.errors import ExchangeError
from briarbeam.kernel.network import Address, HttpNetwork, HttpRequest, fetch

from .relay_fakes import reset


@pytest.mark.parametrize("fresh", [True, False])
def test_reset_during_a_long_request_is_no_end_of_its_reply(fresh):
    """The send got the error, and the library read a part of the reply as the whole."""

    def serve(sock, _):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\npart")
        gevent.sleep(0.1)
        reset(sock)

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    address = Address("127.0.0.1", server.server_port)
    request = HttpRequest("POST", "/", b"x" * 2**23, fresh=fresh)
    with pytest.raises(ExchangeError):
        fetch(HttpNetwork(), address, request)
    server.stop(timeout=0)
