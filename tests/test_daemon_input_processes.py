"""`briarbeamd` stays bounded, whatever callers send."""

import json
import os
import re
import resource
import signal
import subprocess
import sys
import zlib
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import RequestReceived
from h2.exceptions import ProtocolError

from bench.layout import CONTROL_PORT, Domain
from bench.site import Site
from briarbeam.kernel.errors import ExchangeError
from briarbeam.kernel.network import Address
from briarbeam.kernel.rpc import RpcLoop
from briarbeam.wire import control_grpc, control_pb2

DOMAINS = (Domain("hobart", "south", entries=1, engines=1, services=0),)
CROWD = 8
# For faults of which one connection holds a few megabytes only.
LARGE_CROWD = 48
MEMORY_MAX_MB = 160
# Lowers the limit on connections below their number.
DESCRIPTORS = 256
IDLE_CROWD = 200
DESCRIPTORS_MAX = 128
# Fewer than are accepted at once, and for more than the limit on connections.
FEW_DESCRIPTORS = 96
AT_ONCE = 100
SENT_BYTES = 64 * 2**20
# Above what the kernel holds for a connection on loopback.
TAKEN_MAX_BYTES = 32 * 2**20
BLOCK_BYTES = 65536
HEAD = b"POST /gate/call HTTP/1.1\r\nHost: h\r\n%b\r\n"
CHUNKED = HEAD % b"Transfer-Encoding: chunked\r\n"
LINE = b"X-Line: " + b"t" * 1000 + b"\r\n"
ENDLESS = {
    "length": (HEAD % b"Content-Length: 99999999999\r\n", b"b"),
    "chunk": (CHUNKED + b"fffffffff\r\n", b"b"),
    "chunks": (CHUNKED, b"4000\r\n" + b"b" * 0x4000 + b"\r\n"),
    "trailers": (CHUNKED + b"2\r\nhi\r\n0\r\n", LINE),
}

# Sends requests as fast as they are read, and reads the answers.
SENDER = """
import socket, sys, threading

def receive(sock):
    while sock.recv(2**20):
        pass

def send(sock):
    while True:
        sock.sendall(b"GET /healthz HTTP/1.1\\r\\nHost: h\\r\\n\\r\\n" * 2000)

host, port, count = sys.argv[1:]
for _ in range(int(count)):
    sock = socket.create_connection((host, int(port)))
    threading.Thread(target=receive, args=[sock], daemon=True).start()
    threading.Thread(target=send, args=[sock]).start()
print("sending", flush=True)
"""


@contextmanager
def start_site(descriptors):
    """Start a site whose processes may have `descriptors` descriptors each."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    with ExitStack() as stack:
        try:
            # The processes inherit it.
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, limits[1]))
            started = stack.enter_context(Site(DOMAINS))
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        yield started


@pytest.fixture(scope="module")
def site():
    with start_site(DESCRIPTORS) as started:
        yield started


def send(address, begin, repeated):
    """Send as much as the process takes; return its answer and the bytes taken."""
    block = repeated * max(1, BLOCK_BYTES // len(repeated))
    answer, taken_bytes = b"", 0
    with socket.create_connection(tuple(address)) as sock:
        sock.settimeout(30.0)
        reader = gevent.spawn(receive, sock)
        try:
            sock.sendall(begin)
            while taken_bytes < SENT_BYTES:
                sock.sendall(block)
                taken_bytes += len(block)
                # A send that need not wait leaves no turn to the others.
                gevent.sleep(0)
        except OSError:
            pass
        answer = reader.get()
    return answer, taken_bytes


def receive(sock):
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
    except OSError:
        pass
    return data


def run_crowd(instance, begin, repeated):
    """Run `send` from all at once and check that the process bears it."""
    address = instance.http
    tasks = [gevent.spawn(send, address, begin, repeated) for _ in range(CROWD)]
    gevent.joinall(tasks, raise_error=True)
    assert instance.daemon.poll() is None
    assert is_served(instance)
    return [task.value for task in tasks]


def is_served(instance):
    with socket.create_connection(tuple(instance.http)) as sock:
        sock.settimeout(30.0)
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        return receive(sock).startswith(b"HTTP/1.1 200")


def accepts_connections(address):
    try:
        socket.create_connection(address).close()
    except ConnectionRefusedError:
        return False
    return True


def peak_mb(instance):
    status = Path(f"/proc/{instance.daemon.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1000


@pytest.mark.parametrize("role", ["entry", "target"])
@pytest.mark.parametrize("kind", ENDLESS)
def test_body_without_an_end_is_not_read_on(site, role, kind):
    """The server read what was behind a refused head for as long as it came."""
    instance = (site.entries() if role == "entry" else site.targets())[0]
    results = run_crowd(instance, *ENDLESS[kind])
    assert max(taken_bytes for _, taken_bytes in results) < TAKEN_MAX_BYTES
    for answer, _ in results:
        # The reset of a connection may overtake its answer.
        head, _, body = answer.partition(b"\r\n\r\n")
        assert not answer or head.split()[1] in (b"411", b"413")
        assert not body or json.loads(body)["error"]["ran"] == "no"


def hold(stack, instance, count, *parts):
    """Open `count` connections, send `parts` on each and keep them open."""
    for _ in range(count):
        sock = stack.enter_context(socket.create_connection(tuple(instance.http)))
        sock.settimeout(30.0)
        try:
            for part in parts:
                sock.sendall(part)
                gevent.sleep(0)
        except OSError:
            continue


def test_long_heads_do_not_fill_the_memory(site):
    """The server took 100 lines of 64 KB from each connection."""
    entry = site.entries()[0]
    line = b"X-Long: " + b"h" * 60_000 + b"\r\n"
    with ExitStack() as stack:
        hold(stack, entry, LARGE_CROWD, b"GET /healthz HTTP/1.1\r\n", *[line] * 80)
        assert is_served(entry)
        assert peak_mb(entry) < MEMORY_MAX_MB
    assert entry.daemon.poll() is None


def test_bodies_do_not_fill_the_memory(site):
    """Each connection could hold a body of 4 MB."""
    target = site.targets()[0]
    head = HEAD % b"Content-Length: 4000000\r\n"
    with ExitStack() as stack:
        hold(stack, target, LARGE_CROWD, head, *[b"b" * 60_000] * 65)
        assert is_served(target)
        assert peak_mb(target) < MEMORY_MAX_MB
    assert target.daemon.poll() is None


def test_idle_connections_do_not_use_up_the_descriptors(site):
    """Without descriptors, a daemon reaches neither its back end nor the platform."""
    entry = site.entries()[0]
    with ExitStack() as stack:
        hold(stack, entry, IDLE_CROWD)
        assert is_served(entry)
        assert len(os.listdir(f"/proc/{entry.daemon.pid}/fd")) < DESCRIPTORS_MAX
    assert entry.daemon.poll() is None


def test_connections_that_come_at_once_do_not_use_up_the_descriptors():
    """Up to 100 were accepted at a time, before any above the limit was closed."""
    with start_site(FEW_DESCRIPTORS) as site, ExitStack() as stack:
        entry = site.entries()[0]
        os.kill(entry.daemon.pid, signal.SIGSTOP)
        try:
            # Below the backlog, where they wait to be accepted.
            hold(stack, entry, AT_ONCE)
        finally:
            os.kill(entry.daemon.pid, signal.SIGCONT)
        assert is_served(entry)
        assert "Too many open files" not in site.log_tails()
        assert entry.daemon.poll() is None


def test_head_that_is_cut_off_is_not_run(site):
    """The server took the end of the connection for the end of the head."""
    with socket.create_connection(tuple(site.entries()[0].http)) as sock:
        sock.settimeout(30.0)
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: h\r\nX-Cut: ")
        sock.shutdown(socket.SHUT_WR)
        assert not receive(sock).startswith(b"HTTP/1.1 200")


def test_pipelined_requests_leave_turns_to_other_connections(site):
    """Their connections never waited, so no other one was accepted."""
    entry = site.entries()[0]
    command = [sys.executable, "-c", SENDER, *map(str, entry.http), str(CROWD)]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as sender:
        try:
            assert sender.stdout.readline() == b"sending\n"
            assert is_served(entry)
        finally:
            sender.kill()
    assert entry.daemon.poll() is None


def send_message(sock):
    """Send a control call whose message is announced with 4 GB."""
    sock.settimeout(30.0)
    connection = H2Connection()
    connection.initiate_connection()
    call = {":method": "POST", ":scheme": "http", ":authority": "h"}
    call |= {":path": "/briarbeam.Control/Offer", "te": "trailers"}
    call["content-type"] = "application/grpc"
    connection.send_headers(1, call.items())
    connection.send_data(1, b"\0\xff\xff\xff\xff")
    taken_bytes = 0
    try:
        while taken_bytes < SENT_BYTES:
            window_bytes = connection.local_flow_control_window(1)
            if window_bytes == 0:
                data = sock.recv(65536)
                if not data:
                    return
                connection.receive_data(data)
                continue
            size_bytes = min(window_bytes, connection.max_outbound_frame_size)
            connection.send_data(1, b"x" * size_bytes)
            taken_bytes += size_bytes
            sock.sendall(connection.data_to_send())
    except (OSError, ProtocolError):
        return


def test_long_control_messages_do_not_fill_the_memory(site):
    """A message was collected up to the 4 GB that a call may announce."""
    target = site.targets()[0]
    address = target.host, CONTROL_PORT
    with ExitStack() as stack:
        socks = [
            stack.enter_context(socket.create_connection(address)) for _ in range(CROWD)
        ]
        gevent.joinall([gevent.spawn(send_message, s) for s in socks], raise_error=True)
        assert is_served(target)
        assert peak_mb(target) < MEMORY_MAX_MB
    assert target.daemon.poll() is None


def test_body_that_is_cut_off_leaves_no_traceback(site):
    """Each one was logged as an error of the daemon and got an untyped 500."""
    target = site.targets()[0]
    with socket.create_connection(tuple(target.http)) as sock:
        sock.settimeout(30.0)
        sock.sendall(HEAD % b"Content-Length: 9\r\n" + b"cut")
        sock.shutdown(socket.SHUT_WR)
        assert receive(sock).startswith(b"HTTP/1.1 400")
    assert "unexpected end of file" not in site.log_tails()


def test_idle_control_connections_do_not_use_up_the_descriptors(site):
    """The control port has no limit on connections."""
    target = site.targets()[0]
    address = target.host, CONTROL_PORT
    with ExitStack() as stack:
        for _ in range(IDLE_CROWD):
            stack.enter_context(socket.create_connection(address))
        assert is_served(target)
        assert len(os.listdir(f"/proc/{target.daemon.pid}/fd")) < DESCRIPTORS_MAX
    assert target.daemon.poll() is None


def test_control_connections_at_once_do_not_use_up_the_descriptors():
    """Up to 100 were accepted at a time, before any above the limit was closed."""
    with start_site(FEW_DESCRIPTORS) as site, ExitStack() as stack:
        target = site.targets()[0]
        address = target.host, CONTROL_PORT
        # A process that is stopped before it listens refuses them all.
        site.wait_for(lambda: accepts_connections(address))
        os.kill(target.daemon.pid, signal.SIGSTOP)
        try:
            for _ in range(AT_ONCE):
                stack.enter_context(socket.create_connection(address))
        finally:
            os.kill(target.daemon.pid, signal.SIGCONT)
        assert is_served(target)
        assert "Too many open files" not in site.log_tails()
        assert target.daemon.poll() is None


def test_offered_document_does_not_fill_the_memory(site):
    """A body of 0.6 MB was decompressed to 600 MB."""
    target = site.targets()[0]
    packer = zlib.compressobj()
    parts = [packer.compress(bytes(10**7)) for _ in range(60)]
    body = b"".join(parts) + packer.flush()
    document = control_pb2.Document(document="configuration", revision=2**50, body=body)
    loop = RpcLoop()
    loop.start()
    try:
        address = Address(target.host, CONTROL_PORT)
        # The time that a call may last is no bound of this test.
        with suppress(ExchangeError):
            loop.call(address, control_grpc.ControlStub, "Offer", document)
    finally:
        loop.stop()
    assert is_served(target)
    assert peak_mb(target) < MEMORY_MAX_MB
    assert target.daemon.poll() is None


# Makes one control call and prints the most resident memory in kB.
CALLER = """
from gevent import monkey
monkey.patch_all()
import resource, sys
from briarbeam.kernel.errors import ExchangeError
from briarbeam.kernel.network import Address
from briarbeam.kernel.rpc import RpcLoop
from briarbeam.wire import control_grpc, control_pb2

loop = RpcLoop()
loop.start()
address = Address("127.0.0.1", int(sys.argv[1]))
request = control_pb2.DocumentRequest()
try:
    loop.call(address, control_grpc.ControlStub, "Fetch", request)
except ExchangeError:
    print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
"""


def answer_without_end(sock, _):
    """Answer a control call with a message announced with 4 GB."""
    connection = H2Connection(H2Configuration(client_side=False))
    connection.initiate_connection()
    answered = False
    try:
        while data := sock.recv(65536):
            for event in connection.receive_data(data):
                if isinstance(event, RequestReceived):
                    content_type = ("content-type", "application/grpc+proto")
                    connection.send_headers(1, [(":status", "200"), content_type])
                    connection.send_data(1, b"\0\xff\xff\xff\xff")
                    answered = True
            while answered and connection.local_flow_control_window(1):
                window_bytes = connection.local_flow_control_window(1)
                size_bytes = min(window_bytes, connection.max_outbound_frame_size)
                connection.send_data(1, b"x" * size_bytes)
            sock.sendall(connection.data_to_send())
            gevent.sleep(0)
    except (OSError, ProtocolError):
        return


def test_endless_answer_to_a_control_call_does_not_fill_the_memory():
    """The caller collected it for the 2 s that a call may last."""
    server = StreamServer(("127.0.0.1", 0), answer_without_end)
    server.start()
    try:
        command = [sys.executable, "-c", CALLER, str(server.server_port)]
        done = subprocess.run(command, capture_output=True, timeout=60, check=True)
        assert int(done.stdout) < 100_000
    finally:
        server.stop()
