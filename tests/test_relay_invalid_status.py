"""Answers of instances whose status is none: outside 100 to 599."""

import gevent
import pytest
from structlog.testing import capture_logs

from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    event,
    never_answer,
    ok,
    prompt,
    reply,
    reset,
    stream_head,
)

PLAIN_STREAM = RESUMABLE_STREAM | {"resumable": False}
DONE = ok()
STREAM = stream_head() + event(1) + END
HEADERS = b"x-response-seal: s0\r\nretry-after: 7\r\n"
BODIES = {
    "empty": b"content-length: 0\r\n\r\n",
    "length": b"content-length: 5\r\n\r\nwrong",
    "chunks": b"transfer-encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
    "close": b"\r\nwrong",
    "events": b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    + event(7),
}

statuses = pytest.mark.parametrize("status", [0, 99, 600, 999])
framings = pytest.mark.parametrize("body", BODIES.values(), ids=BODIES)
followed = pytest.mark.parametrize(
    ("behind", "ends"),
    [(b"", False), (b"", True), (ok(b"behind"), False)],
    ids=["open", "closed", "answer"],
)


def invalid(status, body=BODIES["length"], behind=b"", ends=False):
    """Return a script whose answer has an invalid status.

    :param behind: what follows the answer on its connection.
    :param ends: whether the instance closes the connection.
    """

    def script(instance, sock, request):
        sock.sendall(b"HTTP/1.1 %03d Odd\r\n" % status + HEADERS + body + behind)
        if not ends:
            never_answer(instance, sock, request)

    return script


def ask_two(script, second=DONE, **route):
    """Return the answer, the second instance and the line of a request."""
    second = FakeInstance(reply(second))
    entry = Entry({"i1": FakeInstance(script), "i2": second}, **route)
    entry.fleet.get("i2").outstanding = 12
    with capture_logs() as lines:
        answer = entry.ask(method=b"POST", body=b"x")
        gevent.sleep(0.05)
    (line,) = [line for line in lines if line["event"] == "request"]
    return answer, second, line


@statuses
@framings
@followed
@pytest.mark.parametrize(
    "route", [NON_IDEMPOTENT, PLAIN_STREAM], ids=["whole", "stream"]
)
def test_answer_with_an_invalid_status_is_not_passed_on(
    status, body, behind, ends, route
):
    script = invalid(status, body, behind, ends)
    answer, second, line = ask_two(script, **route)
    head, _, text = answer.lower().partition(b"\r\n\r\n")
    assert head.split()[1] == b"502"
    assert b'"code":"invalid_status","ran":"unknown"' in text
    assert b"x-response-seal" not in head and b"retry-after" not in head
    assert not any(part in text for part in (b"wrong", b"tokens", b"behind"))
    assert not second.requests
    assert (line["outcome"], line["ran"]) == ("invalid_status", "unknown")
    assert f"status {status:03d}" in line["cause"]


@statuses
@framings
@followed
@pytest.mark.parametrize(
    ("route", "sound"),
    [({}, DONE), (RESUMABLE_STREAM, STREAM)],
    ids=["whole", "stream"],
)
def test_request_that_may_be_repeated_goes_elsewhere_after_an_invalid_status(
    status, body, behind, ends, route, sound
):
    """Bytes of that answer preceded those of a sound one, or its end was waited for."""
    answer, second, line = ask_two(invalid(status, body, behind, ends), sound, **route)
    assert answer.endswith(sound.partition(b"\r\n\r\n")[2])
    assert b"wrong" not in answer
    assert len(second.requests) == 1
    assert [attempt[:2] for attempt in line["attempts"]] == [
        ("i1", "invalid_status"),
        ("i2", "ok"),
    ]


@statuses
def test_rest_of_a_stream_with_an_invalid_status_is_asked_for_elsewhere(status):
    def script(instance, sock, request):
        sock.sendall(stream_head() + event(1))
        gevent.sleep(0.05)

    rest = stream_head() + event(2) + END
    second = FakeInstance(invalid(status, rest.partition(b"\r\n")[2]))
    third = FakeInstance(reply(rest))
    instances = {"i1": FakeInstance(script), "i2": second, "i3": third}
    entry = Entry(instances, **RESUMABLE_STREAM, max_attempts=3)
    entry.fleet.get("i2").outstanding = 6
    entry.fleet.get("i3").outstanding = 12
    answer = entry.ask(method=b"POST")
    assert [len(fake.requests) for fake in instances.values()] == [1, 1, 1]
    assert [answer.count(b"id: %d" % number) for number in (1, 2)] == [1, 1]
    assert answer.endswith(END)


@pytest.mark.parametrize("status", [200, 299, 399, 418, 499, 599])
def test_valid_statuses_are_passed_on(status):
    answer = ok().replace(b"200", b"%d" % status, 1)
    passed_on, _, _ = ask_two(reply(answer), **NON_IDEMPOTENT)
    assert passed_on.startswith(b"HTTP/1.1 %d " % status)
    assert passed_on.endswith(b"\r\n\r\ndone")


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_interim_answers_precede_an_answer(status):
    interim = b"HTTP/1.1 %d Interim\r\nlink: </a>\r\n\r\n" % status
    passed_on, _, _ = ask_two(reply(interim * 3 + ok()), **NON_IDEMPOTENT)
    assert passed_on.startswith(b"HTTP/1.1 200 ") and passed_on.endswith(b"done")


@pytest.mark.parametrize(
    "body", [b"\r\n", b"content-length: 5\r\n\r\nwrong"], ids=["empty", "length"]
)
@pytest.mark.parametrize("status", [102, 199])
def test_interim_answers_without_end_are_not_waited_for(status, body):
    """They come faster than the time limit of a silence."""

    def script(instance, sock, request):
        while True:
            sock.sendall(b"HTTP/1.1 %d Interim\r\n" % status + body * 99)

    answer, _, _ = ask_two(script, **NON_IDEMPOTENT)
    assert answer.split()[1] == b"502"


@statuses
@pytest.mark.parametrize("ends", [True, False], ids=["ends", "open"])
def test_invalid_status_is_no_crash(status, ends):
    """One that ended looked like a connection that broke."""
    entry = Entry({"i1": FakeInstance(invalid(status, ends=ends))}, **RESUMABLE_STREAM)
    entry.ask(method=b"POST", headers=prompt(b"a1", b"c3"))
    assert not entry.evidence.unexcused()


@statuses
def test_probe_with_an_invalid_status_shows_no_crash(status):
    engine = FakeInstance(lambda instance, sock, request: reset(sock))
    engine.answer_probe = invalid(status)
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    entry.ask(method=b"POST", headers=prompt(b"a1", b"c3"))
    assert engine.probes and not entry.evidence.unexcused()


@statuses
def test_probe_with_an_invalid_status_confirms_no_end(status):
    """What can't write a head is no witness that its answer was complete."""
    engine = FakeInstance(reply(b"HTTP/1.1 200 OK\r\n" + HEADERS + b"\r\nunmarked"))
    engine.answer_probe = invalid(status)
    entry = Entry({"i1": engine}, **NON_IDEMPOTENT)
    answer = entry.ask(method=b"POST")
    assert engine.probes and answer.split()[1] == b"502"
