"""Replies without end: a call stays within its limits of size and time."""

import time

import gevent
import pytest

from briarbeam.kernel import network
from briarbeam.kernel.errors import ExchangeError, ReplyTooLargeError
from briarbeam.kernel.network import HttpNetwork, HttpRequest, fetch

from .endless_fakes import (
    CHUNKED,
    NO_BODY_END,
    NO_HEAD_END,
    READ_ON_BYTES,
    cases,
    fast_sender,
    longest_block_s,
)
from .relay_fakes import END, FakeInstance, ok, reply

# Cases of `NO_BODY_END` in which the reader receives no bytes of the body.
FRAMING = ("chunk extension", "trailer line", "trailer lines")


def call(address, **fields):
    return fetch(HttpNetwork(), address, HttpRequest("GET", "/", **fields))


@cases(NO_HEAD_END | NO_BODY_END)
def test_reply_without_end_is_a_typed_error_and_reading_stops(script):
    fake = FakeInstance(script)
    with pytest.raises(ReplyTooLargeError):
        call(fake.address)
    gevent.sleep(0.05)
    assert fake.closed_at_s
    # The 8 MiB allow for the buffers of both sockets, which were not read.
    assert fake.sent_bytes < network.REPLY_MAX_BYTES + 8 * 2**20 < READ_ON_BYTES


@cases(NO_BODY_END)
def test_reply_above_the_limit_of_its_request_is_not_read_further(script):
    """Several replies of 16 MiB at a time are more than a stager's memory bears."""
    fake = FakeInstance(script)
    with pytest.raises(ReplyTooLargeError):
        call(fake.address, max_bytes=2**20)
    gevent.sleep(0.05)
    assert fake.closed_at_s
    assert fake.sent_bytes < 2**20 + 8 * 2**20


@cases(NO_BODY_END)
def test_line_without_end_is_a_typed_error(script):
    fake = FakeInstance(script)
    response = HttpNetwork().send(fake.address, HttpRequest("GET", "/"))
    with pytest.raises(ReplyTooLargeError):
        list(response.lines())
    response.close()
    gevent.sleep(0.05)
    assert fake.closed_at_s


@cases({n: parts for n, parts in NO_BODY_END.items() if n in FRAMING})
def test_framing_without_end_is_a_typed_error_when_reading_in_blocks(script):
    fake = FakeInstance(script)
    response = HttpNetwork().send(fake.address, HttpRequest("GET", "/"))
    with pytest.raises(ReplyTooLargeError):
        while response.read(16384):
            continue
    response.close()
    gevent.sleep(0.05)
    assert fake.closed_at_s


def test_fast_sender_cannot_outlast_the_timeout_of_a_call():
    """A time-out does not fire while each read finds data and thus does not yield."""
    with fast_sender() as address:
        call_task = gevent.spawn(call, address, timeout_s=0.5)
        assert longest_block_s(call_task) < 0.1
    assert isinstance(call_task.exception, ExchangeError)


def test_reply_that_ends_before_its_length_fails_at_once():
    cut = ok(b"a longer body")[:-4]
    started_s = time.monotonic()
    with pytest.raises(ExchangeError):
        call(FakeInstance(reply(cut)).address)
    assert time.monotonic() - started_s < 0.5


def test_large_reply_passes_whole():
    body = b"a" * (8 * 2**20)
    assert call(FakeInstance(reply(ok(body))).address)[2] == body
    small_chunks = b"1\r\na\r\n" * 100_000 + END
    found = call(FakeInstance(reply(CHUNKED + small_chunks)).address)[2]
    assert found == b"a" * 100_000


def test_stream_may_be_longer_than_a_reply_that_is_read_whole(monkeypatch):
    monkeypatch.setattr(network, "REPLY_MAX_BYTES", 100_000)
    body = (b"a" * 1023 + b"\n") * 1000
    for read in (lambda r: r.lines(), lambda r: iter(lambda: r.read(1024), b"")):
        fake = FakeInstance(reply(ok(body)))
        response = HttpNetwork().send(fake.address, HttpRequest("GET", "/"))
        assert sum(1 for _ in read(response)) == 1000
