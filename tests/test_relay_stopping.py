"""A planned stop of an entry: which requests it still takes, and how the rest end."""

import time

import gevent
import pytest

from .relay_fakes import (
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    event,
    never_answer,
    ok,
    read_all,
    reply,
    request_bytes,
    stream_head,
)


def ask_late(entry, **request):
    """Return the task of a request with a time limit of 6 s."""
    sock = entry.connect()
    sock.sendall(request_bytes(**request).replace(b"3000", b"6000"))
    return gevent.spawn(read_all, sock, 8.0)


@pytest.mark.parametrize("route", [NON_IDEMPOTENT, RESUMABLE_STREAM, {}],
                         ids=["once", "stream", "repeatable"])  # fmt: skip
def test_request_without_an_answer_at_the_end_of_the_grace_gets_one(route):
    """Its connection was closed without an answer."""
    fake = FakeInstance(never_answer)
    entry = Entry({"i1": fake}, timeout_s=6.0, max_attempts=1, **route)
    asked = ask_late(entry, method=b"POST")
    gevent.sleep(0.1)
    started_s = time.monotonic()
    entry.server.close_gracefully(3.6)
    assert time.monotonic() - started_s < 3.4
    answer = asked.get(timeout=0.5)
    assert answer.split()[1] == b"502"
    assert b'"code":"stopping_sent","ran":"unknown"' in answer
    gevent.sleep(0.05)
    assert len(fake.closed_at_s) == 1


def test_request_that_was_not_sent_by_the_end_of_the_grace_is_refused():
    entry = Entry({"i1": FakeInstance(never_answer)}, timeout_s=6.0)
    entry.delivery._pick = lambda job, tried, excluded=(): gevent.sleep(5.0)
    asked = ask_late(entry)
    gevent.sleep(0.1)
    entry.server.close_gracefully(3.6)
    answer = asked.get(timeout=0.5)
    assert answer.split()[1] == b"503"
    assert b'"code":"stopping","ran":"no"' in answer


def test_stream_that_runs_at_the_end_of_the_grace_looks_broken():
    def run_on(instance, sock, request):
        for number in range(100):
            sock.sendall((stream_head() if not number else b"") + event(number))
            gevent.sleep(0.1)

    entry = Entry({"i1": FakeInstance(run_on)}, timeout_s=6.0, **RESUMABLE_STREAM)
    asked = ask_late(entry, method=b"POST")
    gevent.sleep(0.1)
    entry.server.close_gracefully(3.6)
    with pytest.raises(ConnectionResetError):
        asked.get(timeout=0.5)


def test_request_late_in_a_short_grace_is_refused_at_once():
    """It was passed on, and cut at the end of the grace."""

    def script(instance, sock, request):
        (never_answer if b"/a/slow" in request else reply(ok()))(
            instance, sock, request
        )

    fake = FakeInstance(script)
    entry = Entry({"i1": fake}, timeout_s=6.0, **NON_IDEMPOTENT)
    ask_late(entry, path=b"/a/slow")
    gevent.sleep(0.1)
    stop = gevent.spawn(entry.server.close_gracefully, 3.0)
    gevent.sleep(0.8)
    assert entry.ask().split()[1] == b"200"
    gevent.sleep(0.8)
    assert entry.ask().split()[1] == b"503"
    assert len(fake.requests) == 2
    stop.join(timeout=1.5)
    assert stop.ready()
