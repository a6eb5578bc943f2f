"""Replies that no request of their connection asked for answer no later request."""

import contextlib

import gevent
import pytest
from gevent.server import StreamServer

from briarbeam.kernel.errors import ConnectError, ExchangeError
from briarbeam.kernel.network import Address, HttpNetwork, HttpRequest, fetch

STRAY = b"HTTP/1.1 503 Stray\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"


def good(body=b"good"):
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)


class Peer:
    """A peer that runs a script for each request on a connection.

    :param script: called with the socket and the number of the request, from 0.
    """

    def __init__(self, script, on_connect=lambda sock: None):
        self.connections = 0
        self.requests = []
        self._script = script
        self._on_connect = on_connect
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = Address("127.0.0.1", self._server.server_port)

    def _serve(self, sock, _):
        self.connections += 1
        with contextlib.suppress(OSError):
            self._on_connect(sock)
            while data := sock.recv(65536):
                self.requests.append(data)
                self._script(sock, len(self.requests) - 1)


def test_reply_on_an_idle_connection_closes_it():
    def script(sock, number):
        sock.sendall(good(b"%d" % number))
        gevent.sleep(0.02)
        sock.sendall(STRAY)

    peer, client = Peer(script), HttpNetwork()
    for number in range(3):
        status, _, body = fetch(client, peer.address, HttpRequest("GET", "/"))
        assert (status, body) == (200, b"%d" % number)
        gevent.sleep(0.05)
    assert peer.connections == 3


@pytest.mark.parametrize("extra", [STRAY, good(b"stray"), b"x", b"\r\n" + STRAY])
def test_reply_that_comes_with_the_one_before_answers_no_later_request(extra):
    peer = Peer(lambda sock, number: sock.sendall(good(b"%d" % number) + extra))
    client = HttpNetwork()
    for _ in range(3):
        try:
            status, _, body = fetch(client, peer.address, HttpRequest("GET", "/"))
        except ExchangeError:
            continue
        assert (status, body) == (200, b"%d" % (len(peer.requests) - 1))


def test_interim_replies_precede_the_reply():
    interim = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
    peer = Peer(lambda sock, number: sock.sendall(interim * 2 + good()))
    status, _, body = fetch(HttpNetwork(), peer.address, HttpRequest("GET", "/"))
    assert (status, body) == (200, b"good")


def test_request_is_not_sent_where_a_reply_is_there_before_it():
    peer = Peer(
        lambda sock, number: sock.sendall(good()), lambda sock: sock.sendall(STRAY)
    )
    request = HttpRequest(
        "POST", "/", fresh=True, before_send=lambda: gevent.sleep(0.05)
    )
    with pytest.raises(ConnectError):
        fetch(HttpNetwork(), peer.address, request)
    gevent.sleep(0.05)
    assert peer.requests == []
