"""Requests in series on a connection to a daemon's own HTTP server."""

import contextlib
import json
import socket

import pytest

from briarbeam.kernel.http import HttpServer, Response, Router
from briarbeam.kernel.network import Address

WEBSOCKET = b"Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n"
H2C = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: A\r\n"
OFFERS = [b"", WEBSOCKET, H2C, b"Connection: Upgrade\r\nUpgrade: h2c\r\n"]


@pytest.fixture
def connection():
    """A connection to a server that answers with what it got."""

    def answer(request, path):
        return Response.of_json({"path": path, "body": request.body.decode()})

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = Address(*probe.getsockname())
    router = Router()
    router.add("GET", "/{path}", answer)
    router.add("POST", "/{path}", answer)
    server = HttpServer(address, router)
    server.start()
    with socket.create_connection(tuple(address), timeout=5) as sock:
        yield sock
    server.stop(timeout_s=0)


def read_answer(file, method=b"GET"):
    """Return the status, the headers and the body of the next answer."""
    status, headers = int(file.readline().split()[1]), {}
    while (line := file.readline()) != b"\r\n":
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    size_bytes = 0 if method == b"HEAD" else int(headers["content-length"])
    return status, headers, file.read(size_bytes)


@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("path", [b"known", b"un/known"])
def test_body_behind_an_offer_is_not_read_again(connection, offer, path):
    """The next request was taken for the body, and the one behind it got a 400."""
    head = b"POST /%b HTTP/1.1\r\nHost: h\r\n" % path + offer
    with_body = head + b"Content-Length: 60\r\n\r\n" + b"b" * 60
    connection.sendall(with_body + b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
    file = connection.makefile("rb")
    status, _, body = read_answer(file)
    assert status == (200 if path == b"known" else 404)
    if status == 200:
        assert json.loads(body) == {"path": "known", "body": "b" * 60}
    status, _, body = read_answer(file)
    assert status == 200
    assert json.loads(body) == {"path": "next", "body": ""}


@pytest.mark.parametrize("offer", OFFERS)
def test_answer_to_head_has_no_body(connection, offer):
    """The body of the 404 was taken for the answer to the next request."""
    head = b"HEAD /head HTTP/1.1\r\nHost: h\r\n" + offer + b"\r\n"
    connection.sendall(head + b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
    file = connection.makefile("rb")
    status, headers, _ = read_answer(file, b"HEAD")
    assert status == 404
    assert int(headers["content-length"]) > 0
    status, _, body = read_answer(file)
    assert status == 200
    assert json.loads(body)["path"] == "next"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n", 404),
        (b"CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n" + H2C + b"\r\n", 404),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 400),
    ],
)
def test_other_protocols_get_one_error_and_the_end(connection, data, status):
    """What was sent through a tunnel that was refused ran as requests."""
    connection.sendall(data + b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
    file = connection.makefile("rb")
    found, headers, _ = read_answer(file)
    assert (found, headers["connection"]) == (status, "close")
    assert file.read() == b""


@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize(
    "chunks",
    [
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        b"10000\r\n%b\r\n" % (b"b" * 65536) * 65 + b"0\r\n\r\n",
        b"zz\r\nabc\r\n0\r\n\r\n",
    ],
    ids=["valid", "too large", "malformed"],
)
def test_body_in_chunks_is_refused_with_the_end_of_the_connection(
    connection, offer, chunks
):
    """A handler got an empty body, and what followed ran as requests."""
    head = b"POST /known HTTP/1.1\r\nHost: h\r\n" + offer
    connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
    file = connection.makefile("rb")
    status, headers, _ = read_answer(file)
    assert (status, headers["connection"]) == (411, "close")
    with contextlib.suppress(OSError):
        connection.sendall(chunks + b"GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
    assert file.read() == b""
