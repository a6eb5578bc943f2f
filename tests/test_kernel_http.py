"""HTTP client and server: connections, and complete and broken replies."""

import socket
import subprocess
import sys
import time
from contextlib import ExitStack

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from briarbeam.kernel import http, network
from briarbeam.kernel.errors import ConnectError, ExchangeError
from briarbeam.kernel.http import HttpServer, Response, Router
from briarbeam.kernel.network import Address, HttpNetwork, HttpRequest, fetch
from tests.thread_fakes import thread_pool_blocked

# A task asks about a caller that has gone, in the turn of the event loop in which the
# task that answers closes the connection. It prints what it learnt once both are done.
ASK_WHILE_CLOSING = """
from gevent import monkey

monkey.patch_all()
import socket
import gevent
from gevent.event import Event
from briarbeam.kernel.http import HttpServer, Response, Router
from briarbeam.kernel.network import Address

with socket.socket() as probe:
    probe.bind(("127.0.0.1", 0))
    address = Address(*probe.getsockname())
requests, may_answer, ended = [], Event(), Event()

def answer(request):
    requests.append(request)
    may_answer.wait()
    gevent.getcurrent().link(lambda task: ended.set())
    return Response.of_json({})

router = Router()
router.add("GET", "/", answer)
HttpServer(address, router).start()
with socket.create_connection(tuple(address)) as caller:
    caller.sendall(b"GET / HTTP/1.1\\r\\n\\r\\n")
    while not requests:
        gevent.sleep(0.01)
gevent.sleep(0.05)
may_answer.set()
gone = requests[0].caller_disconnected()
assert ended.wait(10)
gevent.sleep(0.05)
print(gone, requests[0].caller_disconnected())
"""


@pytest.fixture
def address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(*probe.getsockname())


@pytest.fixture
def router(address):
    router = Router()
    server = HttpServer(address, router)
    server.start()
    yield router
    server.stop(timeout_s=0)


def _stream(count, pause_s):
    for number in range(count):
        gevent.sleep(pause_s)
        yield b"%d\n" % number


def test_failed_connect_differs_from_a_broken_connection(address):
    with pytest.raises(ConnectError):
        fetch(HttpNetwork(), address, HttpRequest("GET", "/"))
    with socket.socket() as listener:
        listener.bind(tuple(address))
        listener.listen()
        with pytest.raises(ExchangeError):
            fetch(HttpNetwork(), address, HttpRequest("GET", "/", timeout_s=0.1))


def test_connection_to_an_ip_address_does_not_use_the_resolver(address, router):
    """Blocked or starved resolver threads must not delay new connections."""
    router.add("GET", "/", lambda request: Response.of_json({}))
    request = HttpRequest("GET", "/", timeout_s=0.5, fresh=True)
    with thread_pool_blocked():
        assert fetch(HttpNetwork("127.0.0.1"), address, request)[0] == 200


def test_hanging_connect_fails_within_the_connect_timeout(address):
    """A connect to a machine that is down must fail before the request time-out.

    Otherwise the return of the machine would be noticed only after that time-out.
    """
    with socket.socket() as listener, socket.socket() as first, socket.socket() as more:
        listener.bind(tuple(address))
        listener.listen(0)
        # These connections fill the queue of the listener, so that others hang.
        for filling in (first, more):
            filling.setblocking(False)
            filling.connect_ex(tuple(address))
        request = HttpRequest("GET", "/", timeout_s=5.0, connect_timeout_s=0.1)
        started_s = time.monotonic()
        with pytest.raises(ConnectError):
            fetch(HttpNetwork(), address, request)
        assert time.monotonic() - started_s < 0.5


def test_idle_connections_are_closed_after_one_timed_out(address, router):
    """Connections to a peer usually fail together, and each would cost a time-out."""
    serving = gevent.event.Event()
    router.add("GET", "/{name}", lambda request, name: answer_after(serving))
    caller = HttpNetwork()
    serving.set()
    request = HttpRequest("GET", "/x", timeout_s=0.2)
    calls = [gevent.spawn(fetch, caller, address, request) for _ in range(3)]
    gevent.joinall(calls, raise_error=True)
    assert len(caller._idle[address]) > 1
    serving.clear()
    with pytest.raises(ExchangeError):
        fetch(caller, address, request)
    assert not caller._idle[address]


def answer_after(event):
    gevent.sleep(0.02)
    event.wait()
    return Response.of_json({})


def test_connection_with_a_reply_outstanding_is_not_reused(address, router):
    slow = gevent.event.Event()

    def answer(request, name):
        if name == "slow":
            slow.wait()
        return Response.of_json({"name": name})

    router.add("GET", "/{name}", answer)
    caller = HttpNetwork()
    with pytest.raises(ExchangeError):
        fetch(caller, address, HttpRequest("GET", "/slow", timeout_s=0.1))
    slow.set()
    for _ in range(3):
        _, _, body = fetch(caller, address, HttpRequest("GET", "/quick"))
        assert body == b'{"name": "quick"}'


def test_reply_that_breaks_off_is_an_error(address, router):
    def answer(request):
        def body():
            yield b"one\n"
            request.connection.shutdown(socket.SHUT_RDWR)
            gevent.sleep(0)
            yield b"two\n"

        return Response(200, body())

    router.add("GET", "/", answer)
    response = HttpNetwork().send(address, HttpRequest("GET", "/", timeout_s=1.0))
    with pytest.raises(ExchangeError):
        list(response.lines())
    response.close()


def test_router_is_idle_once_each_body_is_closed(address, router):
    router.add("GET", "/", lambda request: Response(200, _stream(1000, 0.01)))
    response = HttpNetwork().send(address, HttpRequest("GET", "/"))
    next(response.lines())
    assert not router.wait_idle(0)
    response.close()
    assert router.wait_idle(10)


def test_draining_router_serves_and_ends_connections(address, router):
    router.add("GET", "/", lambda request: Response.of_json({}))
    router.draining = True
    status, headers, _ = fetch(HttpNetwork(), address, HttpRequest("GET", "/"))
    assert status == 200
    assert headers["connection"] == "close"


def test_silent_peer_loses_its_connection(address, router, monkeypatch):
    monkeypatch.setattr(http, "SOCKET_TIMEOUT_S", 0.1)
    with socket.create_connection(tuple(address)) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\n")
        caller.settimeout(10)
        while caller.recv(1000):
            continue


def test_refused_connection_is_closed_at_once(address, monkeypatch):
    """Each one held a descriptor for a second more, without a limit on their number."""
    monkeypatch.setattr(http, "CONNECTIONS_MAX", 1)
    router, may_answer = Router(), Event()
    router.add("GET", "/", lambda request: may_answer.wait() and Response.of_json({}))
    server = HttpServer(address, router)
    server.start()
    try:
        with ExitStack() as stack:
            first = stack.enter_context(socket.create_connection(tuple(address)))
            first.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            while router.wait_idle(0):
                gevent.sleep(0.01)
            refused = stack.enter_context(socket.create_connection(tuple(address)))
            refused.settimeout(10)
            assert refused.recv(65536).startswith(b"HTTP/1.1 503")
            refused.setblocking(False)
            # A peer that is still read takes what is sent.
            with pytest.raises(OSError, match="Broken pipe|reset"):
                for _ in range(5):
                    refused.send(b"x")
                    gevent.sleep(0.05)
            may_answer.set()
            assert first.recv(65536).startswith(b"HTTP/1.1 200")
    finally:
        server.stop(timeout_s=0)


def test_connection_idle_for_too_long_is_not_reused(address, router, monkeypatch):
    peers = set()

    def answer(request):
        peers.add(request.connection.getpeername())
        return Response.of_json({})

    router.add("GET", "/", answer)
    caller = HttpNetwork()
    for _ in range(2):
        fetch(caller, address, HttpRequest("GET", "/"))
    assert len(peers) == 1
    monkeypatch.setattr(network, "IDLE_MAX_S", 0.0)
    fetch(caller, address, HttpRequest("GET", "/"))
    assert len(peers) == 2


def test_probed_request_is_sent_once_and_on_the_probed_connection(address, router):
    seen = []

    def answer(request):
        seen.append((request.path, request.connection.getpeername()))
        return Response.of_json({})

    router.add("GET", "/healthz", answer)
    router.add("POST", "/", answer)
    request = HttpRequest("POST", "/", b"{}", fresh=True, probe_path="/healthz")
    status, _, _ = fetch(HttpNetwork(), address, request)
    assert status == 200
    assert [path for path, _ in seen] == ["/healthz", "/"]
    assert len({peer for _, peer in seen}) == 1


@pytest.mark.parametrize("peer", ["silent", "closes", "draining"])
def test_nothing_is_sent_to_a_peer_that_does_not_serve(address, peer):
    router = Router()
    router.draining = peer == "draining"
    router.add("GET", "/healthz", lambda request: Response.of_json({}))
    received = []

    def accept(sock, _):
        received.append(sock.recv(1000))
        if peer == "silent":
            gevent.sleep(60)

    if peer == "draining":
        server = HttpServer(address, router)
        router.add("POST", "/", lambda request: received.append(b"POST"))
    else:
        server = StreamServer(tuple(address), accept)
    server.start()
    request = HttpRequest(
        "POST", "/", b"{}", timeout_s=0.2, fresh=True, probe_path="/healthz"
    )
    with pytest.raises(ConnectError):
        HttpNetwork().send(address, request)
    server.stop()
    assert not any(b"POST" in data for data in received)


def test_disconnected_caller_is_detected_with_many_open_files(address, router):
    """``select`` does not support descriptors of 1024 and above."""
    seen = []

    def answer(request):
        seen.append(request.caller_disconnected())
        while not request.caller_disconnected():
            gevent.sleep(0.01)
        seen.append(True)

    router.add("GET", "/", answer)
    spare = [socket.socket() for _ in range(1100)]
    try:
        with socket.create_connection(tuple(address)) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
            while not seen:
                gevent.sleep(0.01)
        while len(seen) < 2:
            gevent.sleep(0.01)
    finally:
        for sock in spare:
            sock.close()
    assert seen == [False, True]


def test_question_about_a_caller_does_not_end_the_process_that_closes_its_connection():
    """libev ends a process that watches a closed descriptor."""
    command = [sys.executable, "-c", ASK_WHILE_CLOSING]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert (result.returncode, result.stdout) == (0, "True True\n"), result.stderr
