"""Servers on loopback that send endless answers."""

import contextlib
import functools
import itertools
import subprocess
import sys
import time

import gevent
import pytest

from briarbeam.kernel.network import Address

from .relay_fakes import SEAL

BLOCK_BYTES = 16384
LINES = b"x-a: b\r\n" * (BLOCK_BYTES // 8)
FRAMED = b"HTTP/1.1 200 OK\r\n" + SEAL
CHUNKED = FRAMED + b"transfer-encoding: chunked\r\n\r\n"
# One large chunk without an empty line or an end.
CHUNK = b"%x\r\n%b\r\n" % (BLOCK_BYTES, b"a" * BLOCK_BYTES)
# Far above every limit, so that endless reading differs from one block too many.
READ_ON_BYTES = 64 * 2**20

# Pairs of the first bytes and the block that is repeated forever.
NO_HEAD_END = {
    "status line": (b"HTTP/1.1 200 ", b"a" * BLOCK_BYTES),
    "header line": (FRAMED + b"x-a: ", b"a" * BLOCK_BYTES),
    "header name": (FRAMED, b"a" * BLOCK_BYTES),
    "header lines": (FRAMED, LINES),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
    "interim header": (b"HTTP/1.1 103 Early Hints\r\nx-a: ", b"a" * BLOCK_BYTES),
}
NO_BODY_END = {
    "body without length": (FRAMED + b"\r\n", b"a" * BLOCK_BYTES),
    "body of huge length": (
        FRAMED + b"content-length: 9999999999999\r\n\r\n",
        b"a" * BLOCK_BYTES,
    ),
    "chunks": (CHUNKED, CHUNK),
    "chunk extension": (CHUNKED + b"1;", b"a" * BLOCK_BYTES),
    "trailer line": (CHUNKED + b"1\r\nx\r\n0\r\nx-a: ", b"a" * BLOCK_BYTES),
    "trailer lines": (CHUNKED + b"1\r\nx\r\n0\r\n", LINES),
}
NO_EVENT_END = {
    "event": (b"", CHUNK),
    "event lines": (b"", b"%x\r\n%b\r\n" % (BLOCK_BYTES, b"data: a\n" * 2048)),
    "chunk extension": (b"1;", b"a" * BLOCK_BYTES),
    "trailer lines": (b"0\r\n", LINES),
}


def send_endlessly(opening, block, instance, sock, request):
    """Send `opening`, then `block` repeatedly until the other side closes."""
    instance.sent_bytes = 0
    try:
        sock.sendall(opening)
        while instance.sent_bytes < READ_ON_BYTES:
            sock.sendall(block)
            instance.sent_bytes += len(block)
    except OSError:
        instance.closed_at_s.append(time.monotonic())


# Runs in another process and sends as fast as it can.
SENDER = """
import socket
server = socket.create_server(("127.0.0.1", 0))
print(server.getsockname()[1], flush=True)
sock, _ = server.accept()
sock.recv(65536)
sock.sendall(b"HTTP/1.1 200 OK\\r\\ntransfer-encoding: chunked\\r\\n\\r\\n")
while True:
    sock.sendall(b"1\\r\\na\\r\\n" * 100_000)
"""


@contextlib.contextmanager
def fast_sender():
    """Run a server with an endless body in another process, and yield its address."""
    command = [sys.executable, "-c", SENDER]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as sender:
        try:
            yield Address("127.0.0.1", int(sender.stdout.readline()))
        finally:
            sender.kill()


def cases(answers):
    """Parametrize a test with a script for each of `answers`, as in `NO_HEAD_END`."""
    scripts = [functools.partial(send_endlessly, *parts) for parts in answers.values()]
    return pytest.mark.parametrize("script", scripts, ids=answers.keys())


def longest_block_s(greenlet):
    """Return the longest time for which other tasks were blocked while `greenlet` runs.

    Measured as processor time, since elapsed time would include other processes on a
    busy machine.
    """
    times_s = [time.process_time()]
    while not greenlet.ready():
        gevent.sleep(0.005)
        times_s.append(time.process_time())
    return max(b - a for a, b in itertools.pairwise(times_s))
