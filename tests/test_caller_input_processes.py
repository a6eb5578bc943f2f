"""Entry processes stay bounded, whatever callers and peers send or leave unread."""

import os
import resource
import signal

import gevent
import pytest
from gevent import socket

from .test_memory_processes import HOST, MEMORY_MB, Site
from .test_node_processes import wait_until

# Lowered limits make a fault visible with few callers. An entry has about 50 MB without
# requests; the budgets of `MEMORY_MB` allow it 80 MB more.
SETTINGS = """
[caller_input]
max_connections = 64
max_trailer_bytes = 4096
max_trailers = 20
"""
CROWD = 8
# For faults of which one connection holds a few megabytes only.
LARGE_CROWD = 48
MEMORY_MAX_MB = 100
# Lowered below the number of the test's connections.
IDLE_CROWD = 200
# The process has about 30 descriptors without callers.
DESCRIPTORS_MAX = 128
# Fewer than are accepted at once, and for more than the limits on connections.
FEW_DESCRIPTORS = 96
AT_ONCE = 100
PORTS = ["port", "readiness", "peer", "metrics"]
BLOCK_BYTES = 65536
SENT_BYTES = 16 * 2**20
HEAD = (
    b"POST /sound/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id1\r\n"
    b"X-Deadline-Ms: 25000\r\n%bTransfer-Encoding: chunked\r\n\r\n"
)
KEY = b"Authorization: Bearer key1\r\n"
CHUNKS = b"2\r\nhi\r\n0\r\n"
TRAILER = b"X-Trailer: " + b"t" * 1000 + b"\r\n"
REQUEST_OTHER = (
    b"GET /other/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id1\r\n"
    b"X-Deadline-Ms: 25000\r\n" + KEY + b"\r\n"
)
LONG_ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nContent-Length: 4000000\r\n\r\n"
    + b"a" * 4_000_000
)


class RecordingInstance:
    """Answers requests with trailers and keeps their heads."""

    def __init__(self):
        self.heads = []
        self.calls = 0

    def serve(self, sock, _):
        self.calls += 1
        data = b""
        while not data.endswith(b"hi"):
            part = sock.recv(65536)
            if not part:
                return
            data += part
        self.heads.append(data)
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n4\r\ndone\r\n0\r\nX-Secret: trailer\r\nRetry-After: 9\r\n\r\n"
        )


@pytest.fixture
def instance():
    return RecordingInstance()


@pytest.fixture
def site(tmp_path, instance):
    site = Site(tmp_path, instance.serve, SETTINGS)
    try:
        wait_until(lambda: is_served(site))
        yield site
    finally:
        site.stop()


def is_served(site):
    return site.ask("sound", "key2").endswith(b"done")


def send(port, begin, repeated=b"", total_bytes=0, end=b""):
    """Send as much as the process reads, and return the begin of its answer."""
    block = repeated * max(1, BLOCK_BYTES // len(repeated)) if repeated else b""
    data = b""
    with gevent.Timeout(60.0, False):
        try:
            with socket.create_connection((HOST, port)) as sock:
                reader = gevent.spawn(receive, sock)
                try:
                    sock.sendall(begin)
                    for _ in range(total_bytes // max(1, len(block))):
                        sock.sendall(block)
                        # A send that need not wait leaves no turn to the others.
                        gevent.sleep(0)
                    sock.sendall(end)
                except OSError:
                    pass
                data = reader.get(timeout=10.0)
        except (OSError, gevent.Timeout):
            pass
    return data


def receive(sock):
    data = b""
    try:
        while part := sock.recv(65536):
            data = (data + part)[:BLOCK_BYTES]
            if b"\r\n\r\n" in data:
                break
    except OSError:
        pass
    return data


def run_crowd(site, count, *args, **kwargs):
    """Run `send` `count` times at once and check that the process bears it."""
    tasks = [gevent.spawn(send, *args, **kwargs) for _ in range(count)]
    gevent.joinall(tasks, timeout=90, raise_error=True)
    assert site.node.process.poll() is None
    wait_until(lambda: is_served(site))
    assert site.peak_mb() < MEMORY_MAX_MB
    return [task.value for task in tasks]


def test_endless_trailers_do_not_fill_the_memory(site):
    """Eight callers that sent trailers for 5 s raised it from 50 to 1,058 MB."""
    run_crowd(site, CROWD, site.port, HEAD % KEY + CHUNKS, TRAILER, SENT_BYTES)
    wait_until(lambda: "trailers_too_large" in site.node.log_path.read_text())


def test_trailer_without_an_end_does_not_fill_the_memory(site):
    """The parser holds an incomplete trailer, and reports it only once it is whole."""
    begin = HEAD % KEY + CHUNKS + b"X-Trailer: "
    run_crowd(site, CROWD, site.port, begin, b"t", SENT_BYTES)


def test_more_trailers_than_the_limit_are_refused_and_fewer_are_served(site):
    """A trailer's own bytes are no measure of the objects that it takes."""
    begin = HEAD % KEY + CHUNKS
    many = send(site.port, begin, end=b"A:\r\n" * 21 + b"\r\n")
    assert many.startswith(b"HTTP/1.1 431")
    few = send(site.port, begin, end=b"A: b\r\n" * 20 + b"\r\n")
    assert few.startswith(b"HTTP/1.1 200")


def test_trailers_do_not_authorize(site):
    """A trailer with a key was used to find the team."""
    answer = send(site.port, HEAD % b"" + CHUNKS, end=KEY + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 401")


def test_trailers_do_not_reach_the_instance_or_the_caller(site, instance):
    """Trailers became fields of the head, in both directions."""
    begin = HEAD.replace(b"/sound/", b"/other/") % KEY + CHUNKS
    answer = send(site.port, begin, end=b"X-Secret: trailer\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"secret" not in answer.lower()
    assert b"retry-after" not in answer.lower()
    assert [b"secret" in head.lower() for head in instance.heads] == [False]


def test_tiny_chunks_do_not_fill_the_memory(site):
    """Each chunk was held as an object of its own, and only its bytes were counted."""
    chunk = b"2\r\nab\r\n"
    begin = HEAD % KEY
    run_crowd(site, CROWD, site.port, begin, chunk, len(chunk) * 2**18)


def test_endless_chunk_extensions_are_refused(site):
    """They are no part of a body, so that no limit applied to them."""
    begin = HEAD % KEY + b"2;"
    answers = run_crowd(site, CROWD, site.port, begin, b"e", SENT_BYTES)
    assert {answer.split()[1] for answer in answers if answer} <= {b"400"}
    wait_until(lambda: "chunk_framing_too_large" in site.node.log_path.read_text())


def test_pipelined_requests_do_not_fill_the_memory(site, instance):
    """All requests of one read were parsed before the first one was answered."""
    first = (
        b"GET /other/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id1\r\n"
        b"X-Deadline-Ms: 25000\r\n" + KEY + b"\r\n"
    )
    request = b"GET / HTTP/1.1\r\nHost:a\r\n" + b"ab:cd\r\n" * 100 + b"\r\n"
    block = first + request * ((BLOCK_BYTES - len(first)) // len(request))
    socks = [socket.create_connection((HOST, site.port)) for _ in range(LARGE_CROWD)]
    try:
        for sock in socks:
            sock.sendall(block)
        # The instance answers none of them, so each connection holds what was read.
        wait_until(lambda: instance.calls >= LARGE_CROWD)
        assert is_served(site)
        assert site.peak_mb() < MEMORY_MAX_MB
    finally:
        for sock in socks:
            sock.close()
    assert site.node.process.poll() is None


def test_idle_connections_do_not_use_up_the_descriptors(site):
    """Without descriptors, the entry reaches no instance and no store."""
    socks = []
    try:
        for _ in range(IDLE_CROWD):
            socks.append(socket.create_connection((HOST, site.port)))
            gevent.sleep(0.005)
        assert is_served(site)
        assert count_descriptors(site) < DESCRIPTORS_MAX
    finally:
        for sock in socks:
            sock.close()
    assert site.node.process.poll() is None


def count_descriptors(site):
    return len(os.listdir(f"/proc/{site.node.process.pid}/fd"))


@pytest.mark.parametrize("port", ["readiness", "peer", "metrics"])
def test_bodies_at_other_ports_do_not_fill_the_memory(site, port):
    """These ports accepted 4 MB from each connection without a common budget."""
    begin = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n"
    run_crowd(site, LARGE_CROWD, getattr(site, port), begin, b"b", 3_900_000)


@pytest.mark.parametrize("port", ["readiness", "peer", "metrics"])
def test_long_heads_at_other_ports_do_not_fill_the_memory(site, port):
    """The metrics port accepted 100 lines of 64 KB from each connection."""
    begin = b"GET /x HTTP/1.1\r\nHost: a\r\n"
    line = b"X-Long: " + b"h" * 60_000 + b"\r\n"
    run_crowd(site, LARGE_CROWD, getattr(site, port), begin, line, 5_000_000)


@pytest.mark.parametrize("port", ["readiness", "peer", "metrics"])
def test_idle_connections_at_other_ports_do_not_use_up_the_descriptors(site, port):
    """All ports share the descriptors of the process."""
    socks = []
    try:
        for _ in range(IDLE_CROWD):
            address = HOST, getattr(site, port)
            socks.append(socket.create_connection(address))
            gevent.sleep(0.005)
        assert is_served(site)
        assert count_descriptors(site) < DESCRIPTORS_MAX
    finally:
        for sock in socks:
            sock.close()
    assert site.node.process.poll() is None


def test_refused_connection_gets_an_answer_that_says_not_run(tmp_path):
    """A caller that is refused for the number of connections may retry elsewhere."""
    settings = "[caller_input]\nmax_connections = 2\n"
    calls = []

    def serve(sock, _):
        calls.append(sock.recv(65536))
        sock.recv(65536)

    site = Site(tmp_path, serve, settings)
    socks = []
    try:
        wait_until(lambda: site.ask("sound", "key2").endswith(b"done"))
        for _ in range(2):
            sock = socket.create_connection((HOST, site.port))
            sock.sendall(REQUEST_OTHER)
            socks.append(sock)
        wait_until(lambda: len(calls) == 2)
        with socket.create_connection((HOST, site.port)) as sock:
            answer = sock.recv(65536)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after" in answer
        wait_until(lambda: "too_many_connections" in site.node.log_path.read_text())
        assert len(calls) == 2
    finally:
        for sock in socks:
            sock.close()
        site.stop()


def test_answers_that_are_not_read_do_not_fill_the_memory(tmp_path):
    """An answer is held until its caller has read it, or has lost it."""
    ended = []

    def serve(sock, _):
        try:
            sock.recv(65536)
            sock.sendall(LONG_ANSWER)
        except OSError:
            pass
        ended.append(True)

    site = Site(tmp_path, serve)
    socks = []
    try:
        wait_until(lambda: is_served(site))
        for _ in range(LARGE_CROWD):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect((HOST, site.port))
            sock.sendall(REQUEST_OTHER)
            socks.append(sock)
        wait_until(lambda: len(ended) >= LARGE_CROWD, 40.0)
        assert is_served(site)
        assert site.peak_mb() < MEMORY_MB
        assert site.node.process.poll() is None
    finally:
        for sock in socks:
            sock.close()
        site.stop()


def test_limit_on_descriptors_lowers_the_one_on_connections(tmp_path, instance):
    """At the limit on descriptors, an entry could not accept or connect any more."""
    site = Site(tmp_path, instance.serve)
    # The process reads its limit after its imports.
    limits = DESCRIPTORS_MAX, DESCRIPTORS_MAX
    resource.prlimit(site.node.process.pid, resource.RLIMIT_NOFILE, limits)
    socks = []
    try:
        wait_until(lambda: is_served(site))
        for _ in range(IDLE_CROWD):
            socks.append(socket.create_connection((HOST, site.port)))
            gevent.sleep(0.005)
        assert is_served(site)
        assert count_descriptors(site) < DESCRIPTORS_MAX * 3 / 4
        assert site.node.process.poll() is None
    finally:
        for sock in socks:
            sock.close()
        site.stop()


@pytest.mark.parametrize("ports", [*([p] for p in PORTS), PORTS], ids="-".join)
def test_connections_that_come_at_once_do_not_use_up_the_descriptors(
    tmp_path, instance, ports
):
    """Up to 100 were accepted at a time, before any above the limit was closed."""
    site = Site(tmp_path, instance.serve)
    process = site.node.process
    limits = FEW_DESCRIPTORS, FEW_DESCRIPTORS
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    socks = []
    try:
        wait_until(lambda: is_served(site))
        os.kill(process.pid, signal.SIGSTOP)
        try:
            # Below the backlogs, where they wait to be accepted.
            for port in ports:
                address = HOST, getattr(site, port)
                socks += [socket.create_connection(address) for _ in range(AT_ONCE)]
        finally:
            os.kill(process.pid, signal.SIGCONT)
        assert is_served(site)
        assert "Too many open files" not in site.node.log_path.read_text()
        assert process.poll() is None
    finally:
        for sock in socks:
            sock.close()
        site.stop()
