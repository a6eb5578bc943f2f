"""Refusals of instances: which ones prove that a request did not run."""

import time

import gevent
import pytest
from gevent import socket
from structlog.testing import capture_logs

from briarbeam.kernel.network import Address
from briarbeam.telemetry import request_log

from .relay_fakes import (
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    ok,
    reply,
)

OWN_ID = b"x-request-id: id1\r\n"
OTHER_ID = b"x-request-id: id0\r\n"
STATUSES = [b"503 Busy", b"421 Other", b"429 Full", b"400 Bad"]


def refusal(status=b"503 Busy", headers=b""):
    """Return the bytes of an answer that states that the request did not run."""
    head = b"HTTP/1.1 %b\r\nx-not-run: 1\r\n%bcontent-length: 0\r\n\r\n"
    return head % (status, headers)


def ask_two(script, method=b"POST", body=b"x", **route):
    """Return the answer of an entry and its second instance.

    :param script: that of the first instance, which the entry prefers.
    """
    first, second = FakeInstance(script), FakeInstance(reply(ok(extra=OWN_ID)))
    entry = Entry({"i1": first, "i2": second}, **(route or NON_IDEMPOTENT))
    entry.fleet.get("i2").outstanding = 12
    answer = entry.ask(method=method, body=body)
    assert len(first.requests) <= 1
    return answer, second


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("not_run", [b"x-not-run: 1\r\n", b""])
def test_refusal_of_another_request_proves_nothing_about_this_one(status, not_run):
    head = b"HTTP/1.1 %b\r\n%b%bcontent-length: 0\r\n\r\n" % (status, not_run, OTHER_ID)
    answer, second = ask_two(reply(head))
    assert answer.split()[1] == b"502"
    assert b'"ran":"unknown"' in answer
    assert not second.requests


def test_refusal_of_another_request_does_not_mark_the_instance_as_replaced():
    fake = FakeInstance(reply(refusal(b"421 Other", OTHER_ID)))
    entry = Entry({"i1": fake}, **NON_IDEMPOTENT)
    entry.ask(method=b"POST", body=b"x")
    assert entry.fleet.get("i1").replaced_until_s == 0.0


@pytest.mark.parametrize("headers", [OWN_ID + OTHER_ID, OTHER_ID + OWN_ID])
def test_refusal_with_two_ids_proves_nothing(headers):
    answer, second = ask_two(reply(refusal(headers=headers)))
    assert answer.split()[1] == b"502"
    assert not second.requests


def test_refusal_of_another_request_lets_a_repeatable_one_go_elsewhere():
    for route in ({"max_attempts": 2}, RESUMABLE_STREAM):
        answer, second = ask_two(reply(refusal(headers=OTHER_ID)), **route)
        assert answer.split()[1] == b"200"
        assert len(second.requests) == 1


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("headers", [OWN_ID, b""])
def test_refusal_of_this_request_lets_it_go_elsewhere(status, headers):
    """A connection carries one request, so a refusal without an id is about it."""
    answer, second = ask_two(reply(refusal(status, headers)))
    assert answer.split()[1] == b"200"
    assert len(second.requests) == 1


@pytest.mark.parametrize("status", [b"200 OK", b"204 No Content", b"302 Found"])
def test_answer_without_an_error_status_is_no_refusal(status):
    answer, second = ask_two(reply(refusal(status, OWN_ID)))
    assert answer.split()[1] == b"502"
    assert not second.requests


def test_earlier_refusal_after_an_interim_answer_is_recognized():
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    answer, second = ask_two(reply(interim + refusal(headers=OTHER_ID) + ok()))
    assert answer.split()[1] == b"502"
    assert not second.requests


def test_late_refusal_after_a_complete_answer_is_ignored():
    answer, second = ask_two(reply(ok(extra=OWN_ID) + refusal(headers=OWN_ID)))
    assert answer.split()[1] == b"200"
    assert answer.endswith(b"\r\n\r\ndone")
    assert not second.requests


class EagerInstance:
    """Sends bytes as soon as it accepts a connection, and then reads.

    `received` has the bytes of each connection.
    """

    def __init__(self, data):
        self.received = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self._data = data
        gevent.spawn(self._run)

    def _run(self):
        while True:
            sock, _ = self._listener.accept()
            sock.sendall(self._data)
            gevent.spawn(self._read, sock)

    def _read(self, sock):
        with sock:
            self.received.append(b"")
            number = len(self.received) - 1
            while part := sock.recv(65536):
                self.received[number] += part


@pytest.mark.parametrize("data", [refusal(), refusal(headers=OWN_ID), ok(), b"x"])
def test_request_is_not_sent_where_an_answer_is_there_before_it(data):
    """The answer belongs to no request of this connection."""
    eager, second = EagerInstance(data), FakeInstance(reply(ok(b"second")))
    entry = Entry({"i2": second}, **NON_IDEMPOTENT)
    entry.add("i1", eager.address)
    entry.fleet.get("i2").outstanding = 12
    original = entry.delivery._recheck

    def recheck(job, target):
        gevent.sleep(0.05)
        original(job, target)

    entry.delivery._recheck = recheck
    answer = entry.ask(method=b"POST", body=b"x")
    assert answer.endswith(b"\r\n\r\nsecond")
    assert eager.received == [b""]
    assert len(second.requests) == 1


def test_refusal_without_an_id_before_the_request_was_sent_proves_nothing():
    def refuse_early(instance, sock, request):
        sock.sendall(refusal())
        gevent.sleep(0.3)

    first, second = FakeInstance(refuse_early), FakeInstance(reply(ok()))
    entry = Entry({"i1": first, "i2": second}, **NON_IDEMPOTENT)
    entry.limits = type(entry.limits)(max_body_bytes=64 * 2**20)
    entry.fleet.get("i2").outstanding = 12
    answer = entry.ask(method=b"POST", body=b"x" * (32 * 2**20))
    assert answer.split()[1] == b"502"
    assert not second.requests


def test_refusal_with_an_id_before_a_long_body_was_sent_is_one():
    def refuse_early(instance, sock, request):
        sock.sendall(refusal(headers=OWN_ID))
        gevent.sleep(0.3)

    first, second = FakeInstance(refuse_early), FakeInstance(reply(ok()))
    entry = Entry({"i1": first, "i2": second}, **NON_IDEMPOTENT)
    entry.limits = type(entry.limits)(max_body_bytes=64 * 2**20)
    entry.fleet.get("i2").outstanding = 12
    answer = entry.ask(method=b"POST", body=b"x" * (32 * 2**20))
    assert answer.split()[1] == b"200"
    assert len(second.requests) == 1


def test_line_of_a_request_tells_the_status_that_its_instance_answered():
    """A failure that was passed on had the line of a success."""
    head = b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"
    entry = Entry({"i1": FakeInstance(reply(head))}, **NON_IDEMPOTENT)
    with capture_logs() as lines:
        entry.ask(method=b"POST", body=b"x")
    (line,) = [line for line in lines if line["event"] == "request"]
    assert (line["outcome"], line["answer_status"]) == ("ok", 500)


def test_failures_of_instances_are_not_left_out_for_successes(monkeypatch):
    """They shared the few lines of successes."""
    monkeypatch.setattr(request_log, "SUCCESSES_PER_S", 0)
    head = b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"
    entry = Entry({"i1": FakeInstance(reply(head))}, **NON_IDEMPOTENT)
    with capture_logs() as lines:
        entry.ask(method=b"POST", body=b"x")
    assert [line for line in lines if line["event"] == "request"]


MISLEADING = [b"408 Late", b"429 Full", b"503 Busy"]
SEALED = b"x-response-seal: s1\r\nretry-after: 3\r\n"


def failure(status, headers=SEALED, body=b"oops"):
    """Return the bytes of an answer that doesn't state whether the request ran."""
    head = b"HTTP/1.1 %b\r\n%bcontent-length: %d\r\n\r\n%b"
    return head % (status, headers, len(body), body)


def assert_promises_nothing(answer):
    head = answer.partition(b"\r\n\r\n")[0]
    assert head.split()[1] == b"502"
    assert b"x-response-seal" not in head
    assert b"retry-after" not in head
    assert b'"ran":"unknown"' in answer
    assert b"oops" not in answer


@pytest.mark.parametrize("status", MISLEADING)
@pytest.mark.parametrize(
    "route",
    [NON_IDEMPOTENT, RESUMABLE_STREAM | {"resumable": False}],
    ids=["whole", "stream"],
)
def test_failure_of_a_request_that_ran_is_not_passed_on_as_a_promise(status, route):
    """Callers took the instance's 503 for a promise and sent the request again."""
    answer, second = ask_two(reply(failure(status)), **route)
    assert_promises_nothing(answer)
    assert not second.requests


@pytest.mark.parametrize("status", MISLEADING)
@pytest.mark.parametrize("route", [{}, RESUMABLE_STREAM], ids=["whole", "stream"])
def test_last_failure_of_a_repeatable_request_promises_nothing(status, route):
    fakes = [FakeInstance(reply(failure(status))) for _ in range(3)]
    entry = Entry(dict(zip("abc", fakes, strict=True)), **route)
    assert_promises_nothing(entry.ask(method=b"POST", body=b"x"))
    assert sum(len(fake.requests) for fake in fakes) == 2


@pytest.mark.parametrize("status", MISLEADING)
def test_repeatable_request_goes_elsewhere_after_a_failure_that_promises(status):
    answer, second = ask_two(reply(failure(status)), max_attempts=2)
    assert answer.split()[1] == b"200"
    assert len(second.requests) == 1


def test_failure_that_promises_before_the_request_is_read_promises_nothing():
    """An instance may answer before it has read a long body, and run it later."""
    body = b"x" * 2**20
    answer, second = ask_two(reply(failure(b"503 Busy")), body=body, **NON_IDEMPOTENT)
    assert_promises_nothing(answer)
    assert not second.requests


def test_refusal_after_an_attempt_that_may_have_run_promises_nothing():
    """The refusal of the second instance is no word on the first."""
    instances = {
        "i1": FakeInstance(reply(failure(b"503 Busy"))),
        "i2": FakeInstance(reply(refusal())),
    }
    entry = Entry(instances)
    entry.fleet.get("i2").outstanding = 12
    assert_promises_nothing(entry.ask())
    assert all(fake.requests for fake in instances.values())


def test_instance_whose_failure_is_replaced_is_still_taken_at_its_word():
    """It states its load and for how long it wants nothing."""
    headers = SEALED + b"x-server-load: 5,2,8\r\n"
    entry = Entry({"i1": FakeInstance(reply(failure(b"503 Busy", headers)))})
    entry.ask()
    target = entry.fleet.get("i1")
    assert target.answer_load == 7
    assert target.closed_until_s > time.monotonic()


def test_line_of_a_replaced_failure_tells_what_the_instance_and_the_caller_said():
    entry = Entry({"i1": FakeInstance(reply(failure(b"429 Full")))}, **NON_IDEMPOTENT)
    with capture_logs() as lines:
        entry.ask(method=b"POST", body=b"x")
    (line,) = [line for line in lines if line["event"] == "request"]
    names = "outcome", "answer_status", "status", "ran"
    assert [line[name] for name in names] == ["misleading_status", 429, 502, "unknown"]
