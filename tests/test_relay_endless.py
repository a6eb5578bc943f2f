"""Endless answers of instances: how much of them an entry reads, and for how long."""

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
    fast_sender,
    longest_block_s,
    send_endlessly,
)
from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    event,
    ok,
    read_all,
    reply,
    request_bytes,
    stream_head,
)


def assert_closed_early(fake, read_max_bytes):
    gevent.sleep(0.05)
    assert fake.closed_at_s
    # The buffers of both sockets contain bytes that were not read.
    assert fake.sent_bytes < read_max_bytes + 8 * 2**20


@cases(NO_HEAD_END | NO_BODY_END)
def test_endless_answer_fails_with_a_typed_error_and_is_not_read_further(script):
    fake = FakeInstance(script)
    entry = Entry({"i1": fake}, **NON_IDEMPOTENT)
    answer = entry.ask(method=b"POST", body=b"x")
    assert answer.split()[1] == b"502"
    assert b'"code":"answer_too_large","ran":"unknown"' in answer
    assert_closed_early(fake, 8 * 2**20)


@cases(NO_HEAD_END | NO_BODY_END)
def test_repeatable_request_is_retried_after_an_endless_answer(script):
    entry = Entry({"i1": FakeInstance(script), "i2": FakeInstance(reply(ok()))})
    entry.fleet.get("i2").outstanding = 12
    assert entry.ask().endswith(b"\r\n\r\ndone")


@cases(NO_EVENT_END)
def test_stream_is_resumed_at_another_instance_after_an_endless_event(script):
    opening, block = script.args
    script = functools.partial(
        send_endlessly, stream_head() + event(1) + opening, block
    )
    first = FakeInstance(script)
    second = FakeInstance(reply(stream_head() + event(2) + END))
    entry = Entry({"i1": first, "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    answer = entry.ask(method=b"POST")
    assert second.header(b"last-event-id") == b"1"
    assert [answer.count(b"id: %d" % n) for n in (1, 2)] == [1, 1]
    assert answer.endswith(END)
    assert_closed_early(first, 2**20)


def test_slow_endless_event_counts_as_silence():
    """Each part of the event restarted the wait for its end, up to the time limit."""

    def trickle(instance, sock, request):
        sock.sendall(stream_head() + event(1))
        while True:
            sock.sendall(b"1\r\na\r\n")
            gevent.sleep(0.1)

    second = FakeInstance(reply(stream_head() + event(2) + END))
    entry = Entry({"i1": FakeInstance(trickle), "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    started_s = time.monotonic()
    assert entry.ask(method=b"POST").endswith(event(2) + END)
    assert time.monotonic() - started_s < 1.5


def test_endless_events_are_reset_at_the_time_limit():
    def script(instance, sock, request):
        sock.sendall(stream_head())
        for number in range(10**6):
            sock.sendall(event(number))
            gevent.sleep(0.02)

    entry = Entry({"i1": FakeInstance(script)}, timeout_s=0.5, **RESUMABLE_STREAM)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST"))
    started_s = time.monotonic()
    with pytest.raises(ConnectionResetError):
        read_all(sock)
    assert 0.4 < time.monotonic() - started_s < 0.9


def test_fast_sender_does_not_block_other_tasks():
    """Each read returned at once, so timers and other connections were starved."""
    with fast_sender() as address:
        entry = Entry({}, timeout_s=1.0, **NON_IDEMPOTENT)
        entry.add("i1", address)
        task = gevent.spawn(entry.ask, method=b"POST", body=b"x")
        assert longest_block_s(task) < 0.1
    assert task.value.split()[1] in (b"502", b"504")


@pytest.mark.parametrize("size_bytes", [100_000, 8 * 2**20])
def test_large_answer_is_forwarded_completely(size_bytes):
    body = b"a" * size_bytes
    small_chunks = b"".join(b"1\r\na\r\n" for _ in range(100_000)) + END
    entry = Entry({"i1": FakeInstance(reply(ok(body)))})
    assert entry.ask().endswith(b"\r\n\r\n" + body)
    entry = Entry({"i1": FakeInstance(reply(CHUNKED + small_chunks))})
    assert entry.ask().endswith(b"\r\n\r\n" + b"a" * 100_000)


def test_large_event_is_forwarded_completely():
    data = b"id: 1\ndata: " + b"a" * 200_000 + b"\n\n"
    answer = stream_head() + b"%x\r\n%b\r\n" % (len(data), data) + END
    entry = Entry({"i1": FakeInstance(reply(answer))}, **RESUMABLE_STREAM)
    assert entry.ask(method=b"POST").endswith(data + b"\r\n" + END)


def test_interim_answers_before_an_answer_are_ignored():
    answer = b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + ok()
    entry = Entry({"i1": FakeInstance(reply(answer))})
    assert entry.ask().endswith(b"\r\n\r\ndone")
