"""Engines that end under requests: what counts as a crash, and what is logged of it."""

import time
from dataclasses import replace

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from structlog.testing import capture_logs

from briarbeam.catalog import CallerLimits
from briarbeam.platform.headers import PROMPT_PARTS_MAX, decode_request
from briarbeam.relay.crash_guard import SURVIVED_AFTER_S
from briarbeam.relay.engine_crashes import LOG_DELAY_S
from briarbeam.relay.notices import Statement
from briarbeam.relay.suspects import is_request

from .relay_fakes import (
    END,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    crash_on,
    event,
    never_answer,
    prompt,
    reply,
    reset,
    stream_head,
)


def crashes_logged(entry, headers):
    """Send a request and return the fields of the logged crashes."""
    gevent.sleep(LOG_DELAY_S + 0.05)
    with capture_logs() as lines:
        entry.ask(method=b"POST", headers=headers)
        gevent.sleep(LOG_DELAY_S + 0.05)
    return [line for line in lines if line["event"] == "engine_ended_under_requests"]


def test_crash_is_logged_with_the_shared_parts_of_the_requests():
    entry = Entry({"i1": FakeInstance(crash_on(b"bad"))}, **RESUMABLE_STREAM)
    (line,) = crashes_logged(entry, prompt(b"a1", b"bad", b"c3"))
    assert line["instance"] == "i1"
    assert line["requests"] == ["id1"]
    assert line["parts"] == [("a1", "bad")]


def test_reset_by_an_engine_that_still_listens_is_no_crash():
    engine = FakeInstance(lambda instance, sock, request: reset(sock))
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    assert not crashes_logged(entry, prompt(b"a1", b"c3"))


def break_under_a_request(entry, engine, listen_after):
    """Break the connection of a waiting request, with a listener that is replaced."""
    asked = gevent.spawn(entry.ask, method=b"POST", headers=prompt(b"a1", b"c3"))
    gevent.sleep(0.05)
    engine.crash()
    sockets = listen_after(engine.address)
    assert asked.get(timeout=2.0).startswith(b"HTTP/1.1 502")
    for sock in sockets:
        sock.close()


def listen_without_accepting(address):
    """Return a listener with a full queue and the connections in it.

    Further connections are not answered.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(tuple(address))
    listener.listen(0)
    queued = [socket.socket() for _ in range(4)]
    for sock in queued:
        sock.setblocking(False)
        sock.connect_ex(tuple(address))
    return [listener, *queued]


def test_machine_that_does_not_answer_is_no_crash_of_an_engine():
    """It may have lost power or contact, with all engines of its failure domain."""
    engine = FakeInstance(never_answer)
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    break_under_a_request(entry, engine, listen_without_accepting)
    assert not entry.evidence.unexcused()


def accept_for_a_moment(address):
    """Accept and reset connections for a moment, as a process that is ending does."""
    server = StreamServer(tuple(address), lambda sock, _: reset(sock))
    server.start()
    gevent.spawn_later(0.03, server.close)
    return []


def test_connection_that_an_ending_engine_accepts_does_not_hide_its_crash():
    """The request was sent on to the next engine, and ended that one, too."""
    engine = FakeInstance(never_answer)
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    break_under_a_request(entry, engine, accept_for_a_moment)
    assert "a1" in entry.evidence.unexcused()


def test_engine_that_is_silent_does_not_delay_a_retry_for_long():
    """Its answer to the probe is not needed for the retry."""

    def stall(instance, sock, request):
        instance.answer_probe = lambda *args: gevent.sleep(9.0)
        reset(sock)

    second = FakeInstance(reply(stream_head() + event(1) + END))
    entry = Entry({"i1": FakeInstance(stall), "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    started_s = time.monotonic()
    assert entry.ask(method=b"POST").startswith(b"HTTP/1.1 200")
    assert time.monotonic() - started_s < 1.0
    assert not entry.evidence.unexcused()


def start_draining(target):
    target.instance = replace(target.instance, draining=True)


def lose_record(target):
    target.remove_at_s = 0.0


def state_leaving(target):
    target.notices.record_leaving(Statement(target.started_ms, target.started_ms))


@pytest.mark.parametrize("leave", [start_draining, lose_record, state_leaving])
def test_end_of_an_engine_that_leaves_is_no_crash(leave):
    """Some engines never report that they drain; their record is removed."""
    engine = FakeInstance(never_answer)
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    target = entry.fleet.get("i1")
    asked = gevent.spawn(entry.ask, method=b"POST", headers=prompt(b"a1", b"c3"))
    gevent.sleep(0.05)
    leave(target)
    engine.crash()
    assert asked.get(timeout=2.0).startswith(b"HTTP/1.1 502")
    assert not entry.evidence.unexcused()


@pytest.mark.parametrize("wait_s", [0.05, SURVIVED_AFTER_S + 0.1])
def test_crash_after_the_first_event_is_attributed_until_the_engine_survived(wait_s):
    """An engine may end right after its first event, which excused the parts."""

    def answer_and_crash(instance, sock, request):
        sock.sendall(stream_head() + event(1))
        gevent.sleep(wait_s)
        sock.sendall(event(2))
        gevent.sleep(0.05)
        instance.crash()

    route = RESUMABLE_STREAM | {"max_attempts": 1, "max_gap_s": 2.0}
    entry = Entry({"i1": FakeInstance(answer_and_crash)}, **route)
    with pytest.raises(ConnectionResetError):
        entry.ask(method=b"POST", headers=prompt(b"a1", b"c3"))
    suspected = list(entry.evidence.unexcused())
    expected = [False, True] if wait_s < SURVIVED_AFTER_S else []
    assert [is_request(s) for s in suspected] == expected


@pytest.mark.parametrize(
    ("value", "shared"),
    [
        (b"5c1e07a2:800,91BD3f06:410, e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"e4:250", ()),
        (b"a1:1,a1:2,b2:1", ("a1",)),
        (b"", ()),
        (b"a1", ()),
        (b"a1:x,b2:1", ()),
        (b"a1:1,,b2:1", ()),
        (b"11112222333344445:1,b2:1", ()),
        (b"\xff:1", ()),
    ],
)  # fmt: skip
def test_parts_of_a_prompt_are_decoded(value, shared):
    meta = decode_request([(b"x-prefix-hash", value)])
    assert meta.prompt_parts == shared


def test_long_prompt_is_truncated_to_its_first_parts():
    numbers = range(1, PROMPT_PARTS_MAX + 100)
    value = b",".join(b"%x:1" % number for number in numbers)
    meta = decode_request([(b"x-prefix-hash", value)])
    assert len(meta.prompt_parts) == PROMPT_PARTS_MAX


def test_line_of_a_crash_under_a_long_prompt_names_some_parts_only():
    engine = FakeInstance(lambda instance, sock, request: instance.crash())
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    parts = [b"%x" % number for number in range(1000)]
    (line,) = crashes_logged(entry, prompt(*parts))
    assert line["parts"] == [(*(f"{number:x}" for number in range(16)), "and 983 more")]


def test_all_parts_that_a_head_can_name_are_tracked():
    """Those behind the 16th were ignored, so that one of them was never found."""
    value = b""
    for number in range(0x1000):
        if len(value) < CallerLimits().max_header_bytes:
            value += b"%x:1," % number
    meta = decode_request([(b"x-prefix-hash", value + b"fff:1")])
    assert len(meta.prompt_parts) == value.count(b",")
