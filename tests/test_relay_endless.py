"""Instances whose answers have no end: what an entry reads of them, and for how long."""

import functools
import time

import gevent
import pytest

from .endless_fakes import (
    CHUNKED,
    NO_BODY_END,
    NO_EVENT_END,
    NO_HEAD_END,
    cases,
    endless,
    fast_sender,
    longest_block_s,
)
from .relay_fakes import (
    END,
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


def assert_left_early(fake, read_max_bytes):
    gevent.sleep(0.05)
    assert fake.closed_at_s
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
    with fast_sender() as address:
        entry = Entry({}, timeout_s=1.0, **UNSAFE)
        entry.add("i1", address)
        asked = gevent.spawn(entry.ask, method=b"POST", body=b"x")
        assert longest_block_s(asked) < 0.1
    assert asked.value.split()[1] in (b"502", b"504")


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
