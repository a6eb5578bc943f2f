"""The link stand-in counts bytes and cuts links, and a site ends its processes."""

import contextlib
import os

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from bench.layout import Domain
from bench.site import Site
from standins.link import Links
from tests.thread_fakes import thread_pool_blocked

PIECE = b"x" * 1000


def _echo(sock, address):
    with contextlib.suppress(OSError):
        while data := sock.recv(65536):
            sock.sendall(data)


def _free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


@pytest.fixture
def links_and_connect():
    """Yield links between two instances and a function that connects over them."""
    near_host, far_host = "127.250.1.1", "127.250.2.1"
    server = StreamServer((far_host, 0), _echo)
    server.start()
    relay = {
        "from_host": far_host,
        "from_port": _free_port(far_host),
        "to_host": far_host,
        "to_port": server.server_port,
        "instance": "far",
    }
    locations = {"near": (near_host, "south"), "far": (far_host, "north")}
    instances = [
        {"name": name, "host": host, "region": region, "failure_domain": name}
        for name, (host, region) in locations.items()
    ]
    links = Links({"instances": instances, "relays": [relay]})

    def connect():
        sock = socket.socket()
        sock.bind((near_host, 0))
        sock.connect((far_host, relay["from_port"]))
        return sock

    yield links, connect
    server.stop()
    links.stop()


def _echoed(sock):
    """Send `PIECE` and return the bytes that come back."""
    sock.sendall(PIECE)
    return _read(sock)


def _read(sock):
    data = b""
    while len(data) < len(PIECE):
        data += sock.recv(65536) or pytest.fail(
            "connection closed before all bytes arrived"
        )
    return data


def test_bytes_are_counted_on_every_link(links_and_connect):
    links, connect = links_and_connect
    assert _echoed(connect()) == PIECE
    counts = links.bytes_passed
    assert set(counts) == {
        "near/out", "far/in", "south>north", "far/out", "near/in", "north>south"
    }  # fmt: skip
    assert set(counts.values()) == {len(PIECE)}


def test_links_connect_without_a_resolver(links_and_connect):
    """Resolver threads that are blocked or starved must not delay new connections."""
    _, connect = links_and_connect
    with thread_pool_blocked(), connect() as sock:
        sock.settimeout(2.0)
        _echoed(sock)


def test_silent_cut_holds_bytes_back_until_it_is_healed(links_and_connect):
    links, connect = links_and_connect
    sock = connect()
    assert _echoed(sock) == PIECE
    links.faults.cut = [("near", "far")]
    sock.sendall(PIECE)
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.3):
        _read(sock)
    links.faults.cut = []
    assert _read(sock) == PIECE


def test_cut_by_reset_ends_old_and_new_connections(links_and_connect):
    links, connect = links_and_connect
    old = connect()
    assert _echoed(old) == PIECE
    links.faults.mode, links.faults.cut = "reset", [("near", "far")]
    for sock in (old, connect()):
        with contextlib.suppress(ConnectionError):
            sock.sendall(PIECE)
            assert sock.recv(1) == b""


def test_site_ends_every_process_also_after_a_failure():
    domains = (Domain("hobart", "south"),)
    with pytest.raises(ZeroDivisionError), Site(domains) as site:
        started = site.processes()
        site.signal("hobart-engine-1", 19)  # SIGSTOP
        raise ZeroDivisionError
    assert len(started) == 6
    assert all(process.returncode is not None for process in started)
    for process in started:
        with pytest.raises(ProcessLookupError):
            os.kill(process.pid, 0)
