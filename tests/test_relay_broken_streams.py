"""Streams that break off: what callers get of them, and of errors that follow."""

import gevent
import pytest

from briarbeam.catalog import RequestKind

from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE_STREAM,
    SEAL,
    Entry,
    FakeInstance,
    event,
    ok,
    read_all,
    reply,
    request_bytes,
    reset,
    stream_head,
)

PLAIN_STREAM = {"kind": RequestKind.STREAMING}
UNFRAMED_HEAD = (
    b"HTTP/1.1 200 OK\r\n" + SEAL + b"content-type: text/event-stream\r\n\r\n"
)
EVENT_STREAM = b"content-type: text/event-stream\r\n"


def text(number):
    return b"id: %d\ndata: tokens\n\n" % number


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def break_off(instance, sock, request):
    sock.sendall(stream_head() + event(1) + event(2) + event(3)[:-9])
    gevent.sleep(0.05)
    reset(sock)


def error(status, headers=b"", body=b"the error of an instance"):
    head = b"HTTP/1.1 %b\r\nx-error: head\r\n" + SEAL + b"%bcontent-length: %d\r\n\r\n"
    return head % (status, headers, len(body)) + body


def ask_two(first, second, method=b"POST", **route):
    """Return the bytes that a caller gets before the end or a reset, and which it was.

    :param first: the script of the instance that the entry prefers.
    :param second: that of the other one.
    """
    fakes = {"i1": FakeInstance(first), "i2": FakeInstance(second)}
    entry = Entry(fakes, **(RESUMABLE_STREAM | route))
    entry.fleet.get("i2").outstanding = 12
    sock = entry.connect()
    sock.sendall(request_bytes(method=method))
    data = b""
    try:
        with gevent.Timeout(5.0):
            while part := sock.recv(65536):
                data += part
    except ConnectionResetError:
        return data, True, fakes["i2"]
    return data, False, fakes["i2"]


def decode_chunks(body):
    """Return the content of complete chunks, and the bytes after them."""
    content = b""
    while body and body != END:
        size, _, rest = body.partition(b"\r\n")
        size_bytes = int(size, 16)
        assert rest[size_bytes : size_bytes + 2] == b"\r\n"
        content += rest[:size_bytes]
        body = rest[size_bytes + 2 :]
    return content, body


def assert_only_events(data, count, end=b"", is_marked=True):
    """Check that a caller got one head, `count` events and `end`, and nothing else.

    :param is_marked: whether the stream has a mark of its end; if not, it has no `end`,
        and whether the connection was reset tells that it is complete.
    """
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK")
    assert b"x-error" not in head
    events = b"".join(text(n + 1) for n in range(count))
    if is_marked:
        assert decode_chunks(body) == (events, end)
    else:
        assert b"transfer-encoding" not in head
        assert b"content-length" not in head
        assert body == events


ERRORS = {
    "500": error(b"500 Oops"),
    "500_events": error(b"500 Oops", EVENT_STREAM, text(3)),
    "502": error(b"502 Bad"),
    "503": error(b"503 Busy"),
    "503_events": error(b"503 Busy", EVENT_STREAM, text(3)),
    "503_not_run": NOT_RUN,
    "504": error(b"504 Late"),
    "400": error(b"400 Bad", b"x-not-run: 1\r\n"),
    "404": error(b"404 None", EVENT_STREAM, text(3)),
    "421": error(b"421 Other"),
    "429": error(b"429 Full"),
    "302": error(b"302 Found", EVENT_STREAM, text(3)),
    "200_whole": ok(b"whole"),
    "200_json": error(b"200 OK", b"content-type: application/json\r\n", b"{}"),
    "200_empty": ok(b""),
    "201_events": error(b"201 Made", EVENT_STREAM, text(3)),
    "204": b"HTTP/1.1 204 None\r\n" + SEAL + b"x-error: head\r\n\r\n",
    "204_events": b"HTTP/1.1 204 None\r\n" + SEAL + EVENT_STREAM + b"\r\n",
    "304_events": b"HTTP/1.1 304 Same\r\n" + EVENT_STREAM + b"\r\n",
    "unframed_500": b"HTTP/1.1 500 Oops\r\nx-error: head\r\n\r\nthe error",
    "unframed_200": b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\nthe error",
    "unframed_empty": UNFRAMED_HEAD,
    "garbage": b"the error of an instance\r\n\r\n",
    "no_answer": b"",
}


@pytest.mark.parametrize("data", ERRORS.values(), ids=ERRORS.keys())
@pytest.mark.parametrize("max_attempts", [2, 3])
def test_error_after_a_broken_stream_is_no_part_of_it(data, max_attempts):
    """The stream stays visibly incomplete instead."""
    answer, was_reset, second = ask_two(
        break_off, reply(data), max_attempts=max_attempts
    )
    assert_only_events(answer, 2)
    assert was_reset
    assert len(second.requests) == 1


def test_error_without_end_after_a_broken_stream_delays_nothing():
    def fail_endlessly(instance, sock, request):
        sock.sendall(b"HTTP/1.1 500 Oops\r\ncontent-length: 9\r\n\r\n")
        gevent.sleep(3.0)

    with gevent.Timeout(1.0):
        answer, was_reset, _ = ask_two(break_off, fail_endlessly)
    assert_only_events(answer, 2)
    assert was_reset


PARTIAL = text(2)[:-1]


def framed(*parts):
    return stream_head() + b"".join(map(chunk, parts)) + END


def with_length(body):
    head = UNFRAMED_HEAD[:-2] + b"content-length: %d\r\n\r\n" % len(body)
    return head + body


BROKEN = {
    "chunked": framed(text(1), PARTIAL),
    "chunked_in_field": framed(text(1), b"id: 2\nda"),
    "chunked_in_line_end": framed(text(1), b"id: 2\ndata: tokens\n\r"),
    "length": with_length(text(1) + PARTIAL),
    "unframed": UNFRAMED_HEAD + text(1) + PARTIAL,
    "unframed_in_field": UNFRAMED_HEAD + text(1) + b"id: 2\nda",
}


@pytest.mark.parametrize("name", BROKEN)
def test_stream_that_ends_inside_an_event_is_resumed(name):
    rest = reply(framed(text(2), text(3)))
    answer, was_reset, second = ask_two(reply(BROKEN[name]), rest)
    assert second.header(b"last-event-id") == b"1"
    assert not was_reset
    assert_only_events(answer, 3, END, is_marked="unframed" not in name)


@pytest.mark.parametrize("name", BROKEN)
def test_stream_that_ends_inside_an_event_and_may_not_be_resumed_looks_broken(name):
    route = PLAIN_STREAM | {"resumable": False}
    answer, was_reset, second = ask_two(reply(BROKEN[name]), reply(ok()), **route)
    assert_only_events(answer, 1, is_marked="unframed" not in name)
    assert was_reset
    assert not second.requests


@pytest.mark.parametrize(
    "data",
    [framed(b"id: 1\ndata"), with_length(b"id: 1\ndata"),
     UNFRAMED_HEAD + b"id: 1\ndata", UNFRAMED_HEAD],
    ids=["chunked", "length", "unframed", "unframed_empty"],
)  # fmt: skip
def test_stream_that_ends_before_its_first_event_has_failed(data):
    rest = framed(text(1))
    answer, _, _ = ask_two(reply(data), reply(rest))
    assert_only_events(answer, 1, END)
    answer, _, second = ask_two(reply(data), reply(rest), resumable=False)
    assert answer.split()[1] == b"502"
    assert b"data" not in answer
    assert not second.requests


@pytest.mark.parametrize("end", [b"", b"\n", b"\r\n\r\n"])
@pytest.mark.parametrize("make", [framed, with_length])
def test_stream_that_ends_between_events_is_complete(make, end):
    answer, was_reset, second = ask_two(
        reply(make(text(1) + text(2) + end)), reply(ok())
    )
    assert not was_reset
    assert answer.endswith(END)
    assert b"id: 2\ndata: tokens\n\n" in answer
    assert not second.requests


@pytest.mark.parametrize("route", [RESUMABLE_STREAM, PLAIN_STREAM])
def test_unframed_stream_that_is_reset_between_events_is_not_complete(route):
    def script(instance, sock, request):
        sock.sendall(UNFRAMED_HEAD + text(1))
        gevent.sleep(0.05)
        reset(sock)

    resumable = bool(route.get("resumable"))
    answer, was_reset, second = ask_two(
        script, reply(framed(text(2))), **{"resumable": False} | route
    )
    assert was_reset != resumable
    assert_only_events(answer, 1 + resumable, is_marked=False)
    assert len(second.requests) == resumable


def test_chunked_stream_whose_connection_ends_without_its_last_chunk_is_broken():
    answer, was_reset, _ = ask_two(
        reply(stream_head() + event(1)), reply(ok()), resumable=False
    )
    assert_only_events(answer, 1)
    assert was_reset


@pytest.mark.parametrize(
    "head",
    [UNFRAMED_HEAD, stream_head(),
     UNFRAMED_HEAD[:-2] + b"content-length: 90\r\n\r\n"],
    ids=["unframed", "chunked", "length"],
)  # fmt: skip
def test_answer_to_head_has_no_body_and_the_connection_serves_the_next_request(head):
    first = FakeInstance(reply(head))
    entry = Entry({"i1": first}, **RESUMABLE_STREAM)
    sock = entry.connect()
    request = request_bytes(method=b"HEAD").replace(b"connection: close\r\n", b"")
    sock.sendall(request)
    gevent.sleep(0.2)
    sock.sendall(request_bytes(method=b"HEAD"))
    answers = read_all(sock)
    assert answers.count(b"HTTP/1.1 200 OK\r\n") == 2
    assert answers.count(b"\r\n\r\n") == 2
    assert answers.endswith(b"\r\n\r\n")


@pytest.mark.parametrize("status", [b"204 None", b"304 Same"])
def test_answer_without_a_body_needs_neither_length_nor_end(status):
    def script(instance, sock, request):
        sock.sendall(b"HTTP/1.1 %b\r\n%b\r\n" % (status, SEAL))
        gevent.sleep(2.0)

    with gevent.Timeout(1.0):
        answer = Entry({"i1": FakeInstance(script)}, **NON_IDEMPOTENT).ask()
    assert answer.split()[1] == status.split()[0]
    assert answer.endswith(b"\r\n\r\n")


@pytest.mark.parametrize("name", BROKEN)
def test_rest_without_the_event_that_had_begun_is_not_the_rest(name):
    """A second target that sent nothing more completed the stream."""
    answer, was_reset, second = ask_two(reply(BROKEN[name]), reply(framed()))
    assert second.header(b"last-event-id") == b"1"
    assert_only_events(answer, 1, is_marked="unframed" not in name)
    assert was_reset


def test_answer_without_the_event_that_had_begun_is_no_answer():
    answer, _, second = ask_two(reply(framed(b"id: 1\ndata")), reply(framed()))
    assert len(second.requests) == 1
    assert answer.split()[1] == b"502"
