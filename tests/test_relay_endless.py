"""Instances whose answers have no end: what an entry reads of them, and for how long."""

import functools
import itertools
import subprocess
import sys
import time

import gevent
import pytest

from briarbeam.kernel.network import Address

from .relay_fakes import (
    END,
    SEAL,
    STREAM,
    UNSAFE,
    Entry,
    FakeInstance,
    event,
    ok,
    read_all,
    reply,
    request_bytes,
    stream_head,
)

BLOCK_BYTES = 16384
LINES = b"x-a: b\r\n" * (BLOCK_BYTES // 8)
FRAMED = b"HTTP/1.1 200 OK\r\n" + SEAL
CHUNKED = FRAMED + b"transfer-encoding: chunked\r\n\r\n"
# One chunk of many bytes, with neither an empty line nor an end.
CHUNK = b"%x\r\n%b\r\n" % (BLOCK_BYTES, b"a" * BLOCK_BYTES)
# Far above every limit, so that reading on is told apart from one block too many.
READ_ON_BYTES = 64 * 2**20

# What comes first, and what follows for ever.
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


def endless(opening, block, instance, sock, request):
    """Send `block` again and again, until the other side closes."""
    instance.sent_bytes = 0
    try:
        sock.sendall(opening)
        while instance.sent_bytes < READ_ON_BYTES:
            sock.sendall(block)
            instance.sent_bytes += len(block)
    except OSError:
        instance.left_s.append(time.monotonic())


# Sends to a connection as fast as another process can.
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


def cases(found):
    """Parametrize a test with an endless script for each of `found`."""
    scripts = [functools.partial(endless, *parts) for parts in found.values()]
    return pytest.mark.parametrize("script", scripts, ids=found.keys())


def assert_left_early(fake, read_max_bytes):
    gevent.sleep(0.05)
    assert fake.left_s
    # What lies in the buffers of both sockets was not read.
    assert fake.sent_bytes < read_max_bytes + 8 * 2**20


@cases(NO_HEAD_END | NO_BODY_END)
def test_answer_without_end_fails_with_a_typed_error_and_is_not_read_on(script):
    fake = FakeInstance(script)
    entry = Entry({"i1": fake}, **UNSAFE)
    answer = entry.ask(method=b"POST", body=b"x")
    assert answer.split()[1] == b"502"
    assert b'"code":"answer_too_large","ran":"unknown"' in answer
    assert_left_early(fake, 8 * 2**20)


@cases(NO_HEAD_END | NO_BODY_END)
def test_repeatable_request_goes_elsewhere_from_an_answer_without_end(script):
    entry = Entry({"i1": FakeInstance(script), "i2": FakeInstance(reply(ok()))})
    entry.fleet.get("i2").outstanding = 12
    assert entry.ask().endswith(b"\r\n\r\ndone")


@cases(NO_EVENT_END)
def test_stream_goes_elsewhere_from_an_event_without_end(script):
    opening, block = script.args
    script = functools.partial(endless, stream_head() + event(1) + opening, block)
    first = FakeInstance(script)
    second = FakeInstance(reply(stream_head() + event(2) + END))
    entry = Entry({"i1": first, "i2": second}, **STREAM)
    entry.fleet.get("i2").outstanding = 12
    answer = entry.ask(method=b"POST")
    assert second.header(b"last-event-id") == b"1"
    assert [answer.count(b"id: %d" % n) for n in (1, 2)] == [1, 1]
    assert answer.endswith(END)
    assert_left_early(first, 2**20)


def test_event_that_goes_on_slowly_without_end_counts_as_silence():
    """Each part of it began the wait for a whole event anew, up to the time limit."""

    def trickle(instance, sock, request):
        sock.sendall(stream_head() + event(1))
        while True:
            sock.sendall(b"1\r\na\r\n")
            gevent.sleep(0.1)

    second = FakeInstance(reply(stream_head() + event(2) + END))
    entry = Entry({"i1": FakeInstance(trickle), "i2": second}, **STREAM)
    entry.fleet.get("i2").outstanding = 12
    started_s = time.monotonic()
    assert entry.ask(method=b"POST").endswith(event(2) + END)
    assert time.monotonic() - started_s < 1.5


def test_events_without_end_are_cut_at_the_time_limit_and_look_broken():
    def script(instance, sock, request):
        sock.sendall(stream_head())
        for number in range(10**6):
            sock.sendall(event(number))
            gevent.sleep(0.02)

    entry = Entry({"i1": FakeInstance(script)}, timeout_s=0.5, **STREAM)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST"))
    started_s = time.monotonic()
    with pytest.raises(ConnectionResetError):
        read_all(sock)
    assert 0.4 < time.monotonic() - started_s < 0.9


def test_sender_that_is_faster_than_the_entry_leaves_other_tasks_their_turn():
    """Each read found bytes, so that neither timers nor other connections were served."""
    command = [sys.executable, "-c", SENDER]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as sender:
        try:
            entry = Entry({}, timeout_s=1.0, **UNSAFE)
            entry.add("i1", Address("127.0.0.1", int(sender.stdout.readline())))
            asked = gevent.spawn(entry.ask, method=b"POST", body=b"x")
            turns_s = [time.monotonic()]
            while not asked.ready():
                gevent.sleep(0.005)
                turns_s.append(time.monotonic())
        finally:
            sender.kill()
    assert asked.value.split()[1] in (b"502", b"504")
    assert max(b - a for a, b in itertools.pairwise(turns_s)) < 0.25


@pytest.mark.parametrize("size_bytes", [100_000, 8 * 2**20])
def test_large_answer_passes_whole(size_bytes):
    body = b"a" * size_bytes
    small_chunks = b"".join(b"1\r\na\r\n" for _ in range(100_000)) + END
    entry = Entry({"i1": FakeInstance(reply(ok(body)))})
    assert entry.ask().endswith(b"\r\n\r\n" + body)
    entry = Entry({"i1": FakeInstance(reply(CHUNKED + small_chunks))})
    assert entry.ask().endswith(b"\r\n\r\n" + b"a" * 100_000)


def test_large_event_passes_whole():
    data = b"id: 1\ndata: " + b"a" * 200_000 + b"\n\n"
    answer = stream_head() + b"%x\r\n%b\r\n" % (len(data), data) + END
    entry = Entry({"i1": FakeInstance(reply(answer))}, **STREAM)
    assert entry.ask(method=b"POST").endswith(data + b"\r\n" + END)


def test_interim_answers_before_an_answer_are_passed_over():
    answer = b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + ok()
    entry = Entry({"i1": FakeInstance(reply(answer))})
    assert entry.ask().endswith(b"\r\n\r\ndone")
