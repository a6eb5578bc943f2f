"""Answers that callers did not get whole, and what the log says about them."""

import errno
import os

import gevent
import pytest
from gevent import socket

from briarbeam.catalog import CallerLimits
from briarbeam.relay import answer_writer, delivery, upstream_call
from briarbeam.relay.admission import ANSWER_MARGIN_S
from briarbeam.relay.limits import RetryBudget
from briarbeam.telemetry import request_log

from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    desired_state,
    event,
    never_answer,
    ok,
    read_all,
    reply,
    request_bytes,
    reset,
    stream_head,
)

# Longer than any silence after which a request is sent to a second target, and shorter
# than the silence after which callers leave.
PAUSE_S = 1.6


@pytest.fixture
def lines(monkeypatch):
    """Return the fields of the lines that entries log about requests."""
    written = []

    class Log:
        def info(self, event, **fields):
            written.append(fields)

    monkeypatch.setattr(request_log.structlog, "get_logger", Log)
    return written


def break_off(instance, sock, request):
    sock.sendall(stream_head() + event(1))
    gevent.sleep(0.05)
    reset(sock)


def test_line_of_a_cut_answer_says_how_each_attempt_ended(lines):
    entry = Entry({"i1": FakeInstance(break_off)}, **RESUMABLE_STREAM)
    with pytest.raises(ConnectionResetError):
        entry.ask(method=b"POST")
    (fields,) = lines
    assert fields["cut"]
    assert [attempt[:2] for attempt in fields["attempts"]] == [("i1", "upstream")]
    assert fields["attempts"][0][2] >= 0.05
    assert fields["not_sent_cause"] == "no_target"


def test_lines_of_cut_answers_are_not_crowded_out_by_refusals(lines):
    entry = Entry({"i1": FakeInstance(break_off)}, **RESUMABLE_STREAM)
    for _ in range(request_log.FAILURES_PER_S + 5):
        entry.ask(path=b"/unknown/x")
    with pytest.raises(ConnectionResetError):
        entry.ask(method=b"POST")
    assert lines[-1]["cut"]


def test_line_of_a_request_has_the_attempts_that_its_time_limit_ended(lines):
    entry = Entry({f"i{n}": FakeInstance(never_answer) for n in (1, 2)}, timeout_s=1.3)
    assert entry.ask().split()[1] == b"504"
    (fields,) = lines
    assert sorted(attempt[:2] for attempt in fields["attempts"]) == [
        ("i1", "cancelled"),
        ("i2", "cancelled"),
    ]


def fail(*args, **kwargs):
    raise RuntimeError("no such thing")


def test_request_is_refused_if_an_unexpected_error_comes_before_its_send(lines):
    entry = Entry({}, **RESUMABLE_STREAM)
    entry.admission.admit = fail
    answer = entry.ask(method=b"POST")
    assert answer.split()[1] == b"503"
    assert b"retry-after" in answer and b'"ran":"no"' in answer
    assert lines[0]["outcome"] == "internal"
    assert lines[0]["cause"] == "RuntimeError('no such thing')"


def test_request_may_have_run_if_an_unexpected_error_comes_after_its_send(lines):
    entry = Entry({"i1": FakeInstance(reply(ok()))}, **RESUMABLE_STREAM)
    entry.delivery._statements.record = fail
    answer = entry.ask(method=b"POST")
    assert answer.split()[1] == b"502" and b'"ran":"unknown"' in answer


def test_stream_is_reset_if_an_unexpected_error_comes_within_it(lines):
    entry = Entry({"i1": FakeInstance(break_off)}, **RESUMABLE_STREAM)
    entry.delivery._handle_failure = fail
    with pytest.raises(ConnectionResetError):
        entry.ask(method=b"POST")
    assert lines[0]["cut"]


def test_request_is_refused_if_no_descriptor_is_left_for_its_connection(monkeypatch):
    def socket(*args):
        raise OSError(errno.EMFILE, "Too many open files")

    instance = FakeInstance(reply(ok()))
    entry = Entry({"i1": instance})
    sock = entry.connect()
    monkeypatch.setattr(upstream_call.socket, "socket", socket)
    sock.sendall(request_bytes())
    assert read_all(sock).split()[1] == b"503"
    assert not instance.requests


def pause_in_stream(instance, sock, request):
    """Send one event, nothing for a while, and then the rest of the stream."""
    sock.sendall(stream_head() + event(1))
    gevent.sleep(PAUSE_S)
    sock.sendall(event(2) + END)


def pause_before_stream(instance, sock, request):
    gevent.sleep(PAUSE_S)
    sock.sendall(stream_head() + event(1) + event(2) + END)


def assert_whole(answer):
    assert answer.startswith(b"HTTP/1.1 200")
    assert [answer.count(b"id: %d\n" % n) for n in (1, 2)] == [1, 1]
    assert answer.count(b"HTTP/1.1") == 1
    assert answer.endswith(END)


def test_stream_of_the_only_target_is_not_cut_for_a_pause():
    entry = Entry({"i1": FakeInstance(pause_in_stream)}, **RESUMABLE_STREAM)
    assert_whole(entry.ask(method=b"POST"))


@pytest.mark.parametrize("script", [pause_in_stream, pause_before_stream])
def test_silent_target_is_kept_if_the_second_one_refuses(script):
    second = FakeInstance(reply(NOT_RUN))
    entry = Entry({"i1": FakeInstance(script), "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    assert_whole(entry.ask(method=b"POST"))
    assert len(second.requests) == 1


def test_silent_target_is_kept_if_the_second_one_breaks_off():
    second = FakeInstance(lambda instance, sock, request: reset(sock))
    first = FakeInstance(pause_in_stream)
    entry = Entry({"i1": first, "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    assert_whole(entry.ask(method=b"POST"))
    assert len(second.requests) == 1


def test_silent_target_is_kept_if_the_second_one_can_not_be_reached():
    second = FakeInstance(reply(ok()))
    first = FakeInstance(pause_in_stream)
    entry = Entry({"i1": first, "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    second.close()
    assert_whole(entry.ask(method=b"POST"))


@pytest.mark.parametrize("connect_s", [0.2, 0.3])
def test_silent_target_is_kept_if_time_runs_out_while_the_second_one_is_reached(
    monkeypatch, connect_s
):
    def answer_late(instance, sock, request):
        gevent.sleep(1.2)
        sock.sendall(ok(b"late"))

    class SlowConnectCall(upstream_call.UpstreamCall):
        def connect(self):
            if self._address == second.address:
                gevent.sleep(connect_s)
            super().connect()

    monkeypatch.setattr(delivery, "UpstreamCall", SlowConnectCall)
    second = FakeInstance(reply(ok()))
    entry = Entry({"i1": FakeInstance(answer_late), "i2": second}, timeout_s=1.33)
    entry.fleet.get("i2").outstanding = 12
    assert entry.ask().endswith(b"\r\n\r\nlate")
    assert not second.requests


def test_silent_target_that_goes_on_first_is_preferred_to_the_second_one():
    second = FakeInstance(never_answer)
    first = FakeInstance(pause_in_stream)
    entry = Entry({"i1": first, "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    assert_whole(entry.ask(method=b"POST"))
    gevent.sleep(0.1)
    assert len(second.requests) == len(second.closed_at_s) == 1


def test_silent_target_is_kept_if_the_second_one_breaks_off_within_its_answer():
    def answer_late(instance, sock, request):
        gevent.sleep(PAUSE_S)
        sock.sendall(ok(b"late"))

    def break_off_body(instance, sock, request):
        sock.sendall(ok(b"done")[:-1])
        gevent.sleep(0.1)
        reset(sock)

    second = FakeInstance(break_off_body)
    entry = Entry({"i1": FakeInstance(answer_late), "i2": second})
    entry.fleet.get("i2").outstanding = 12
    assert entry.ask().endswith(b"\r\n\r\nlate")
    assert len(second.requests) == 1


@pytest.fixture
def many_descriptors():
    """Take all descriptors that `select.select` can handle."""
    descriptors = [os.open(os.devnull, os.O_RDONLY)]
    while descriptors[-1] < 1024:
        descriptors.append(os.dup(descriptors[0]))
    yield
    for descriptor in descriptors:
        os.close(descriptor)


def test_silent_target_is_kept_by_an_entry_with_many_connections(many_descriptors):
    second = FakeInstance(never_answer)
    first = FakeInstance(pause_in_stream)
    entry = Entry({"i1": first, "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    assert_whole(entry.ask(method=b"POST"))
    assert len(second.requests) == 1


def test_whole_answer_of_a_silent_target_is_kept_if_the_second_one_refuses():
    def answer_late(instance, sock, request):
        gevent.sleep(PAUSE_S)
        sock.sendall(ok(b"late"))

    second = FakeInstance(reply(NOT_RUN))
    entry = Entry({"i1": FakeInstance(answer_late), "i2": second})
    entry.fleet.get("i2").outstanding = 12
    assert entry.ask().endswith(b"\r\n\r\nlate")
    assert len(second.requests) == 1


def test_long_request_is_sent_whole_to_a_target_that_reads_it_late():
    body = bytes(8_000_000)
    received = []

    def read_late(instance, sock, request):
        gevent.sleep(PAUSE_S)
        size_bytes = len(request.partition(b"\r\n\r\n")[2])
        while size_bytes < len(body) and (part := sock.recv(65536)):
            size_bytes += len(part)
        received.append(size_bytes)
        sock.sendall(ok())

    entry = Entry({"i1": FakeInstance(read_late)}, **NON_IDEMPOTENT)
    entry.limits = CallerLimits(max_body_bytes=len(body))
    assert entry.ask(method=b"POST", body=body).endswith(b"done")
    assert received == [len(body)]


@pytest.mark.parametrize("superseded_s", [None, 9.0])
def test_stream_is_not_cut_for_a_pause_beside_a_change_of_the_desired_state(
    superseded_s,
):
    second = FakeInstance(reply(stream_head() + event(2) + END))
    first = FakeInstance(pause_in_stream)
    entry = Entry({"i1": first, "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12

    def change():
        # Either the route is gone, or a newer state is known of and can't be read.
        entry.spread.superseded_s = superseded_s
        if superseded_s is None:
            entry.in_force.state = desired_state(
                entry.service, version=2, path_prefix="/b/", **RESUMABLE_STREAM
            )

    gevent.spawn_later(0.3, change)
    assert_whole(entry.ask(method=b"POST"))
    assert not second.requests


@pytest.mark.parametrize("cause", ["state", "budget"])
def test_silent_target_without_load_report_is_kept_if_no_second_send_is_allowed(cause):
    second = FakeInstance(reply(ok()))
    entry = Entry({"i1": FakeInstance(pause_before_stream), "i2": second})
    entry.fleet.get("i2").outstanding = 12
    if cause == "budget":
        entry.delivery._budget = RetryBudget(0.0, 0, 10.0)
    else:
        gevent.spawn_later(0.3, setattr, entry.spread, "superseded_s", 9.0)
    assert entry.ask().startswith(b"HTTP/1.1 200")
    assert not second.requests


def test_stream_without_ids_is_not_cut_for_a_pause():
    def pause(instance, sock, request):
        data = b"6\r\ndata\n\n\r\n"
        sock.sendall(stream_head() + data)
        gevent.sleep(PAUSE_S)
        sock.sendall(data + END)

    second = FakeInstance(reply(stream_head() + event(1) + END))
    entry = Entry({"i1": FakeInstance(pause), "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    answer = entry.ask(method=b"POST")
    assert answer.count(b"data\n\n") == 2 and answer.endswith(END)
    assert not second.requests


def test_failure_that_a_target_answered_is_passed_on_if_there_is_no_other_target():
    data = b"HTTP/1.1 500 Oops\r\nx-response-seal: s5\r\ncontent-length: 0\r\n\r\n"
    answer = Entry({"i1": FakeInstance(reply(data))}).ask()
    assert answer.split()[1] == b"500" and b"s5" in answer


@pytest.mark.parametrize("script", [never_answer, lambda i, s, r: reset_later(s)])
def test_request_is_not_repeated_once_its_route_forbids_it(script):
    """The route was idempotent when the request was first sent, and is not now."""
    second = FakeInstance(reply(ok()))
    entry = Entry({"i1": FakeInstance(script), "i2": second})
    entry.fleet.get("i2").outstanding = 12
    newer_state = desired_state(entry.service, version=2, **NON_IDEMPOTENT)
    gevent.spawn_later(0.1, setattr, entry.in_force, "state", newer_state)
    assert entry.ask().split()[1] in (b"502", b"504")
    assert not second.requests


def reset_later(sock):
    gevent.sleep(0.3)
    reset(sock)


def test_caller_gets_an_answer_before_its_time_limit(lines):
    entry = Entry({"i1": FakeInstance(never_answer)}, **NON_IDEMPOTENT)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST").replace(b"3000", b"600"))
    assert read_all(sock).split()[1] == b"504"
    assert lines[0]["time_limit_s"] == pytest.approx(0.6 - ANSWER_MARGIN_S)
    assert ANSWER_MARGIN_S > 0.01


def test_caller_sees_that_a_request_under_way_exceeds_a_limit_that_was_lowered():
    body = bytes(4_000_000)
    entry = Entry({"i1": FakeInstance(reply(ok()))})
    entry.limits = CallerLimits(max_body_bytes=len(body))
    sock = entry.connect()
    data = request_bytes(method=b"POST", body=body)
    sock.sendall(data[:100_000])
    gevent.sleep(0.1)
    entry.limits = CallerLimits(max_body_bytes=1_000_000)
    sock.sendall(data[100_000:])
    assert read_all(sock).split()[1] == b"413"


def test_complete_request_is_answered_if_malformed_bytes_follow_it():
    instance = FakeInstance(reply(ok()))
    entry = Entry({"i1": instance})
    sock = entry.connect()
    data = request_bytes().replace(b"connection: close\r\n", b"")
    sock.sendall(data + b"no request\r\n\r\n")
    answer = read_all(sock)
    assert answer.split()[1] == b"200" and b"HTTP/1.1 400" in answer
    assert len(instance.requests) == 1


def test_answer_is_not_cut_while_its_caller_reads_it_slowly(monkeypatch):
    monkeypatch.setattr(answer_writer, "WRITE_TIMEOUT_S", 0.5)
    data = ok(bytes(8_000_000))
    entry = Entry({"i1": FakeInstance(reply(data))})
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.connect(("127.0.0.1", entry.port))
    sock.sendall(request_bytes())
    size_bytes = 0
    while part := sock.recv(200_000):
        size_bytes += len(part)
        gevent.sleep(0.02)
    assert size_bytes > len(data)
