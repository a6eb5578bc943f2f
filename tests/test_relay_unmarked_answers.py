"""Answers of instances with neither a length nor chunks, which end with the connection."""

import gevent
import pytest
from structlog.testing import capture_logs

from .relay_fakes import (
    END,
    RESUMABLE_STREAM,
    SEAL,
    Entry,
    FakeInstance,
    event,
    reply,
    reset,
    stream_head,
)

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
        (reply(STREAM_HEAD + text(1) + text(2)), ("connection", "closed", 2, 0)),
        (reply(STREAM_HEAD + text(1) + b"id:"), ("connection", "closed", 1, 3)),
        (then_reset(STREAM_HEAD + text(1)), ("connection", "reset", 1, 0)),
        (reply(stream_head() + event(1)), ("chunks", "closed", 1, 0)),
        (reply(stream_head() + event(1) + END), ("chunks", None, 1, 0)),
    ],
    ids=["closed", "closed in event", "reset", "chunks closed", "chunks"],
)
def test_line_of_a_request_tells_how_its_answer_ended(script, fields):
    entry = Entry({"i1": FakeInstance(script)}, **PLAIN_STREAM)
    with capture_logs() as lines:
        try:
            entry.ask(method=b"POST")
        except ConnectionResetError:
            gevent.sleep(0.05)
    (line,) = [line for line in lines if line["event"] == "request"]
    names = "answer_framing", "connection_end", "answer_events", "answer_left_bytes"
    assert tuple(line[name] for name in names) == fields
