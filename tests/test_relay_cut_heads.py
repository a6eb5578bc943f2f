"""Instances that stop in the middle of the head of an answer, and close."""

import pytest

from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    SEAL,
    Entry,
    FakeInstance,
    event,
    ok,
    reply,
    stream_head,
)

WHOLE = b"HTTP/1.1 200 OK\r\n" + SEAL + b"content-length: 4\r\nx-last: 1\r\n\r\ndone"
UNMARKED = b"HTTP/1.1 200 OK\r\n" + SEAL + b"x-last: 1\r\n\r\ndone"
CHUNKED = b"HTTP/1.1 200 OK\r\n" + SEAL + b"transfer-encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


def cut_heads(answer):
    """Return the beginnings of `answer` that end within its head."""
    return [answer[:size] for size in range(answer.index(b"\r\n\r\n") + 4)]


@pytest.mark.parametrize(
    "answer", [WHOLE, UNMARKED, CHUNKED, INTERIM + WHOLE],
    ids=["whole", "unmarked", "chunked", "interim"],
)  # fmt: skip
def test_answer_that_is_cut_in_its_head_is_no_answer(answer):
    """Callers of other systems got 200 with an empty body."""
    for data in cut_heads(answer):
        entry = Entry({"i1": FakeInstance(reply(data))}, **NON_IDEMPOTENT)
        got = entry.ask(method=b"POST")
        assert got.split()[1] == b"502", data


def test_interim_head_alone_is_no_answer():
    for data in (INTERIM, INTERIM * 2, INTERIM + WHOLE[:30]):
        entry = Entry({"i1": FakeInstance(reply(data))}, **NON_IDEMPOTENT)
        assert entry.ask(method=b"POST").split()[1] == b"502", data


@pytest.mark.parametrize("route", [RESUMABLE_STREAM, {}], ids=["stream", "whole"])
def test_request_whose_answer_is_cut_in_its_head_is_repeated(route):
    answer = stream_head() + event(1) + END if route else ok()
    for data in cut_heads(answer):
        second = FakeInstance(reply(answer))
        entry = Entry({"i1": FakeInstance(reply(data)), "i2": second}, **route)
        entry.fleet.get("i2").outstanding = 12
        got = entry.ask(method=b"POST" if route else b"GET")
        assert got.endswith(answer.partition(b"\r\n\r\n")[2]), data
        assert len(second.requests) == 1
