"""Answers of instances with neither a length nor chunks, which end with the connection."""

import contextlib
import errno
import time
from dataclasses import replace

import gevent
import pytest
from gevent.event import Event
from structlog.testing import capture_logs

from briarbeam.catalog import CallerLimits
from briarbeam.relay.errors import UpstreamBrokenError, UpstreamError
from briarbeam.relay.limits import RetryBudget
from briarbeam.relay.upstream_call import UpstreamCall

from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE_STREAM,
    SEAL,
    Entry,
    FakeInstance,
    event,
    never_answer,
    ok,
    read_all,
    reply,
    request_bytes,
    reset,
    stream_head,
)

LINE_WITHIN_S = 5.0
PLAIN_STREAM = RESUMABLE_STREAM | {"resumable": False}
WHOLE_HEAD = b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\n" + SEAL + b"content-type: text/event-stream\r\n\r\n"


def text(number):
    return b"id: %d\ndata: tokens\n\n" % number


def then_reset(data):
    """Return a script that sends `data` and then resets the connection."""

    def script(instance, sock, request):
        sock.sendall(data)
        gevent.sleep(0.05)
        reset(sock)

    return script


@pytest.mark.parametrize(
    "script, fields",
    [
        (
            reply(STREAM_HEAD + text(1) + text(2)),
            ("connection", "closed", 2, 0, "runs", "closed"),
        ),
        (
            reply(STREAM_HEAD + text(1) + b"id:"),
            ("connection", "closed", 1, 3, None, "reset"),
        ),
        (
            then_reset(STREAM_HEAD + text(1)),
            ("connection", "reset", 1, 0, None, "reset"),
        ),
        (reply(stream_head() + event(1)), ("chunks", "closed", 1, 0, None, "reset")),
        (reply(stream_head() + event(1) + END), ("chunks", None, 1, 0, None, "marked")),
    ],
    ids=["closed", "closed in event", "reset", "chunks closed", "chunks"],
)
def test_line_of_a_request_tells_how_its_answer_ended(script, fields):
    entry = Entry({"i1": FakeInstance(script)}, **PLAIN_STREAM)
    with capture_logs() as lines:
        with contextlib.suppress(ConnectionResetError):
            entry.ask(method=b"POST")
        # The line is written after the caller's connection has ended.
        with gevent.Timeout(LINE_WITHIN_S):
            while not any(line["event"] == "request" for line in lines):
                gevent.sleep(0.01)
    (line,) = [line for line in lines if line["event"] == "request"]
    names = (
        "answer_framing", "connection_end", "answer_events", "answer_left_bytes",
        "process_state", "caller_end",
    )  # fmt: skip
    assert tuple(line[name] for name in names) == fields


LONG_BODY = b"x" * 2**22


def reset_while_reading(data):
    """Return a script that answers early, reads on for a while and then resets."""

    def script(instance, sock, request):
        sock.sendall(data)
        gevent.sleep(0.3)
        reset(sock)

    return script


@pytest.mark.parametrize(
    "route", [NON_IDEMPOTENT, PLAIN_STREAM], ids=["whole", "stream"]
)
def test_reset_during_a_long_request_is_no_end_of_its_answer(route):
    """The task that sent the request got the error, so a read saw an orderly end."""
    head, body = (WHOLE_HEAD, b"part") if route is NON_IDEMPOTENT else (
        STREAM_HEAD, text(1))  # fmt: skip
    entry = Entry({"i1": FakeInstance(reset_while_reading(head + body))}, **route)
    entry.limits = CallerLimits(max_body_bytes=2**23)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST", body=LONG_BODY))
    data = b""
    was_reset = False
    try:
        with gevent.Timeout(5.0):
            while part := sock.recv(65536):
                data += part
    except ConnectionResetError:
        was_reset = True
    assert was_reset or data.startswith(b"HTTP/1.1 502")


def test_aborted_call_is_no_end_of_its_answer():
    """An orderly end was read after the shutdown of the own connection."""
    engine = FakeInstance(lambda instance, sock, request: (
        sock.sendall(WHOLE_HEAD + b"part"), gevent.sleep(1.0)))  # fmt: skip
    call = UpstreamCall(engine.address)
    call.connect()
    call.send(b"GET / HTTP/1.1\r\n\r\n", b"")
    while not call.take_part():
        call.receive(time.monotonic() + 1.0)
    call.abort()
    with pytest.raises(UpstreamError):
        call.receive(time.monotonic() + 1.0)
    assert not call.is_complete
    call.close()


def ask(entry, version=b"1.1", **request):
    """Return the head and the body that a caller gets, and whether it got a reset.

    :param version: the version of HTTP that the caller states.
    """
    sock = entry.connect()
    sent = request_bytes(**request)
    sock.sendall(sent.replace(b" HTTP/1.1", b" HTTP/" + version, 1))
    data, was_reset = b"", False
    try:
        with gevent.Timeout(5.0):
            while part := sock.recv(65536):
                data += part
    except ConnectionResetError:
        was_reset = True
    head, _, body = data.partition(b"\r\n\r\n")
    return head.lower(), body, was_reset


def then_end(data):
    """Return a script that sends `data`, after which the process ends in order."""

    def script(instance, sock, request):
        instance._server.close()
        sock.sendall(data)

    return script


def assert_no_end_mark(head):
    assert b"content-length" not in head
    assert b"transfer-encoding" not in head
    assert b"connection: close" in head


@pytest.mark.parametrize(
    "kept",
    [b"", b"connection: close\r\n", b"connection: keep-alive\r\n"],
    ids=["plain", "closes", "kept"],
)
def test_whole_answer_without_an_end_mark_gets_none_on_its_way(kept):
    """A length was stated that the instance had not stated."""
    data = WHOLE_HEAD[:-2] + kept + b"\r\nunmarked"
    entry = Entry({"i1": FakeInstance(reply(data))}, **NON_IDEMPOTENT)
    head, body, was_reset = ask(entry, method=b"POST")
    assert_no_end_mark(head)
    assert (body, was_reset) == (b"unmarked", False)


@pytest.mark.parametrize(
    "end", [b"", b"\n", b"\r\n\r\n"], ids=["plain", "newline", "newlines"]
)
def test_stream_without_an_end_mark_gets_none_on_its_way(end):
    """Its caller was sent a last chunk."""
    data = STREAM_HEAD + text(1) + text(2) + end
    entry = Entry({"i1": FakeInstance(reply(data))}, **PLAIN_STREAM)
    head, body, was_reset = ask(entry, method=b"POST")
    assert_no_end_mark(head)
    assert (body, was_reset) == (text(1) + text(2) + end, False)


def test_unread_bytes_of_the_caller_do_not_reset_an_answer_without_an_end_mark():
    entry = Entry({"i1": FakeInstance(reply(WHOLE_HEAD + b"unmarked"))})
    sock = entry.connect()
    request = request_bytes().replace(b"connection: close\r\n", b"")
    sock.sendall(request + b"x" * 200_000)
    assert read_all(sock).endswith(b"\r\n\r\nunmarked")


def test_stream_without_an_end_mark_that_is_reset_is_reset_for_its_caller():
    entry = Entry(
        {"i1": FakeInstance(then_reset(STREAM_HEAD + text(1)))}, **PLAIN_STREAM
    )
    _, body, was_reset = ask(entry, method=b"POST")
    assert (body, was_reset) == (text(1), True)


def test_reset_that_a_check_of_the_connection_saw_is_no_end_of_its_answer():
    """The kernel reports an error once, and the check got it instead of the next read."""
    engine = FakeInstance(then_reset(WHOLE_HEAD + b"part"))
    call = UpstreamCall(engine.address)
    call.connect()
    call.send(b"GET / HTTP/1.1\r\n\r\n", b"")
    while not call.take_part():
        call.receive(time.monotonic() + 1.0)
    gevent.sleep(0.2)
    assert not call.is_quiet()
    assert call.connection_end == "reset"
    with pytest.raises(UpstreamBrokenError):
        call.receive(time.monotonic() + 1.0)
    assert (call.is_complete, call.connection_end) == (False, "reset")
    call.close()


@pytest.mark.parametrize("is_stream", [True, False], ids=["stream", "whole"])
def test_answer_that_is_reset_at_once_beside_another_one_is_not_complete(is_stream):
    """The check found its reset, and its process answered the probe afterwards."""
    head = STREAM_HEAD if is_stream else WHOLE_HEAD

    is_checked = Event()

    def script(instance, sock, request):
        sock.sendall(head + text(1))
        if len(instance.requests) > 1:
            reset(sock)
            # Not gevent's: the entry reads only once the reset has arrived.
            time.sleep(0.05)
        else:
            is_checked.wait()

    route = PLAIN_STREAM if is_stream else NON_IDEMPOTENT
    entry = Entry({"i1": FakeInstance(script)}, **route)
    other = gevent.spawn(ask, entry, method=b"POST")
    with gevent.Timeout(5.0):
        while not has_kept_connection(entry):
            gevent.sleep(0.01)
    answer_head, body, was_reset = ask(entry, method=b"POST")
    assert not other.ready()
    is_checked.set()
    if is_stream:
        assert (body, was_reset) == (text(1), True)
    else:
        assert answer_head.split()[1] == b"502"
    assert other.get()[1:] == (text(1), False)


def has_kept_connection(entry):
    """Return whether the entry has opened the connection for its next probe."""
    watches = entry.delivery._process_watches._watches.values()
    return any(watch._call is not None for watch in watches)


def test_whole_answer_whose_instance_ended_is_not_complete():
    """A process that ends closes its connections in order."""
    script = then_end(WHOLE_HEAD + b"part")
    entry = Entry({"i1": FakeInstance(script)}, **NON_IDEMPOTENT)
    head, _, _ = ask(entry, method=b"POST")
    assert head.split()[1] == b"502"
    entry = Entry({"i1": FakeInstance(script), "i2": FakeInstance(reply(ok()))})
    entry.fleet.get("i2").outstanding = 12
    assert ask(entry)[1] == b"done"


def test_stream_whose_instance_ended_between_events_is_not_complete():
    entry = Entry({"i1": FakeInstance(then_end(STREAM_HEAD + text(1)))}, **PLAIN_STREAM)
    _, body, was_reset = ask(entry, method=b"POST")
    assert (body, was_reset) == (text(1), True)


def choose_in_order(entry, names):
    """Let an entry choose targets in the order of `names`, instead of drawing them."""
    selector = entry.delivery._selector
    draw = selector.pick

    def pick(requirements, excluded=()):
        for name in names:
            others = [other for other in names if other != name]
            target = draw(requirements, (*excluded, *others))
            if target is not None:
                return target
        return None

    selector.pick = pick


def ask_in_turn(*scripts, **route):
    """Return what a caller gets of a resumable stream, and the instances in order."""
    fakes = {f"i{n}": FakeInstance(script) for n, script in enumerate(scripts)}
    entry = Entry(fakes, **(RESUMABLE_STREAM | {"max_attempts": len(fakes)} | route))
    choose_in_order(entry, list(fakes))
    return ask(entry, method=b"POST"), list(fakes.values())


def test_stream_without_an_end_mark_gets_its_rest_from_another_instance():
    """A stream that was broken off between events looked complete."""
    (head, body, was_reset), fakes = ask_in_turn(
        reply(STREAM_HEAD + text(1)), reply(stream_head() + event(2) + END)
    )
    assert_no_end_mark(head)
    assert (body, was_reset) == (text(1) + text(2), False)
    assert fakes[1].header(b"last-event-id") == b"1"


def test_stream_without_an_end_mark_ends_once_another_instance_has_no_more():
    (_, body, was_reset), fakes = ask_in_turn(
        reply(STREAM_HEAD + text(1) + text(2)), reply(stream_head() + END), never_answer
    )
    assert (body, was_reset) == (text(1) + text(2), False)
    assert fakes[1].header(b"last-event-id") == b"2"
    assert not fakes[2].requests


@pytest.mark.parametrize(
    "script",
    [
        reply(NOT_RUN),
        reply(b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"),
        reply(STREAM_HEAD),
        lambda instance, sock, request: reset(sock),
        never_answer,
    ],
    ids=["refused", "failed", "unmarked", "reset", "silent"],
)
def test_stream_without_an_end_mark_ends_without_one_if_nobody_knows_more(script):
    with gevent.Timeout(2.0):
        (_, body, was_reset), fakes = ask_in_turn(reply(STREAM_HEAD + text(1)), script)
    assert (body, was_reset) == (text(1), False)
    assert len(fakes[1].requests) == 1


def test_rest_of_a_stream_that_breaks_is_no_end():
    (_, body, was_reset), _ = ask_in_turn(
        reply(STREAM_HEAD + text(1)), reply(stream_head() + event(2))
    )
    assert (body, was_reset) == (text(1) + text(2), True)


@pytest.mark.parametrize("knows_end", [True, False])
def test_rest_without_an_end_mark_is_no_end_of_a_chunked_stream(knows_end):
    """The caller was told that a last chunk would mark the end."""
    scripts = [reply(stream_head() + event(1)), reply(STREAM_HEAD + text(2))]
    if knows_end:
        scripts.append(reply(stream_head() + END))
    (_, body, was_reset), fakes = ask_in_turn(*scripts)
    assert body == event(1) + event(2) + (END if knows_end else b"")
    assert was_reset != knows_end
    assert all(len(fake.requests) == 1 for fake in fakes)


def test_end_of_a_stream_is_not_asked_for_without_a_retry_budget():
    fakes = {"i1": FakeInstance(reply(STREAM_HEAD + text(1))), "i2": FakeInstance(
        reply(stream_head() + event(2) + END))}  # fmt: skip
    entry = Entry(fakes, **RESUMABLE_STREAM)
    choose_in_order(entry, ["i1", "i2"])
    entry.budget = entry.delivery._budget = RetryBudget(0.0, 0, 10.0)
    assert ask(entry, method=b"POST")[1:] == (text(1), False)
    assert not fakes["i2"].requests


def test_connection_that_the_kernel_timed_out_is_broken():
    """It counted as silence, and the next read saw an orderly end."""
    engine = FakeInstance(reply(WHOLE_HEAD + b"part"))
    call = UpstreamCall(engine.address)
    call.connect()
    call.send(b"GET / HTTP/1.1\r\n\r\n", b"")
    call.receive(time.monotonic() + 1.0)
    plain = call._sock

    class TimedOutSocket:
        settimeout = plain.settimeout

        def recv(self, size_bytes):
            raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")

    call._sock = TimedOutSocket()
    with pytest.raises(UpstreamBrokenError):
        call.receive(time.monotonic() + 1.0)
    plain.close()


def test_early_answer_that_ends_in_order_before_a_long_request_is_complete():
    """The instance resets the connection only because of what arrives later."""

    def script(instance, sock, request):
        sock.settimeout(0.1)
        try:
            while True:
                sock.recv(2**20)
        except TimeoutError:
            sock.sendall(WHOLE_HEAD + b"early")

    engine = FakeInstance(script)
    call = UpstreamCall(engine.address)
    call.connect()
    call.send(b"POST / HTTP/1.1\r\n\r\n", b"")
    call._send_task = gevent.spawn_later(0.3, call._send_in_background, LONG_BODY)
    gevent.sleep(0.5)
    while not call.is_complete:
        call.receive(time.monotonic() + 1.0)
    assert call.take_part() == b"early"
    call.close()


def test_last_answer_of_an_instance_that_nobody_can_ask_any_more_is_not_complete():
    """An instance that leaves was believed although its process may have been killed."""

    def script(instance, sock, request):
        target = entry.fleet.get("i1")
        target.instance = replace(target.instance, draining=True)
        then_end(WHOLE_HEAD + b"last")(instance, sock, request)

    entry = Entry({"i1": FakeInstance(script)}, **NON_IDEMPOTENT)
    assert ask(entry, method=b"POST")[0].split()[1] == b"502"


@pytest.mark.parametrize("head", [WHOLE_HEAD, STREAM_HEAD], ids=["whole", "stream"])
def test_last_answer_of_an_instance_that_leaves_is_complete(head):
    """It stops to listen before it has answered everything, and then answers a probe."""

    def script(instance, sock, request):
        sock.sendall(head + text(1))
        gevent.sleep(0.1)
        target = entry.fleet.get("i1")
        target.instance = replace(target.instance, draining=True)
        then_end(text(2))(instance, sock, request)

    route = NON_IDEMPOTENT if head == WHOLE_HEAD else PLAIN_STREAM
    entry = Entry({"i1": FakeInstance(script)}, **route)
    assert ask(entry, method=b"POST")[1:] == (text(1) + text(2), False)


def fall_silent(data):
    """Return a script that sends `data` and nothing more."""

    def script(instance, sock, request):
        sock.sendall(data)
        never_answer(instance, sock, request)

    return script


@pytest.mark.parametrize(
    "script",
    [
        reply(stream_head() + b"5\r\nid: 2\r\n"),
        then_reset(STREAM_HEAD + b"id: 2"),
        fall_silent(STREAM_HEAD + b"id: 2"),
    ],
    ids=["closed", "reset", "silent"],
)
def test_stream_whose_rest_breaks_off_inside_an_event_does_not_end_in_order(script):
    (_, body, was_reset), _ = ask_in_turn(reply(STREAM_HEAD + text(1)), script)
    assert (body, was_reset) == (text(1), True)


@pytest.mark.parametrize("ends", [True, False])
def test_caller_that_can_not_read_chunks_gets_the_stream_without_them(ends):
    """It took the sizes of the chunks for parts of the answer."""
    script = reply(stream_head() + event(1) + event(2) + (END if ends else b""))
    entry = Entry({"i1": FakeInstance(script)}, **PLAIN_STREAM)
    head, body, was_reset = ask(entry, b"1.0", method=b"POST")
    assert_no_end_mark(head)
    assert (body, was_reset) == (text(1) + text(2), not ends)
