"""Requests through an entry on loopback: what callers see, and what instances get."""

import time

import gevent
import pytest

from briarbeam.catalog import CallerLimits, RequestKind

from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
    NOT_RUN,
    RESUMABLE_STREAM,
    SEAL,
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


def reset_connection(instance, sock, request):
    reset(sock)


def test_answer_is_unchanged_and_request_has_the_headers_that_an_instance_needs():
    fake = FakeInstance(reply(ok(b"body")))
    answer = Entry({"i1": fake}).ask(
        headers=b"x-tenant: forged\r\nx-other: 1\r\nx-expect-instance: i9\r\n"
    )
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
    assert b"x-response-seal: s1" in answer
    assert answer.endswith(b"\r\n\r\nbody")
    assert fake.header(b"x-tenant") == b"team1"
    assert fake.header(b"x-expect-instance") == b"i1"
    assert fake.header(b"x-other") == b"1"
    assert fake.header(b"authorization") is None
    assert 0 < int(fake.header(b"x-deadline-ms")) <= 3000


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [(b"/b/", b"k1", b"404"), (b"/a/x", b"k2", b"401"), (b"/a/x", b"", b"401")],
)
def test_unknown_routes_and_keys_are_refused(path, key, status):
    fake = FakeInstance(reply(ok()))
    answer = Entry({"i1": fake}).ask(path=path, key=key)
    assert answer.split()[1] == status
    assert not fake.requests


def test_missing_or_unconfirmed_desired_state_refuses_with_503():
    fake = FakeInstance(reply(ok()))
    entry = Entry({"i1": fake})
    entry.age_s = 4.5
    assert entry.ask().split()[1] == b"503"
    entry.in_force.state = None
    answer = entry.ask()
    assert answer.split()[1] == b"503"
    assert b"retry-after" in answer
    assert not fake.requests


def test_route_missing_in_a_stale_desired_state_is_not_reported_as_unknown():
    entry = Entry({})
    for age_s, status in ((4.5, b"503"), (3.1, b"503"), (0.1, b"404")):
        entry.age_s = age_s
        assert entry.ask(path=b"/new/x").split()[1] == status


def test_key_missing_in_a_stale_desired_state_is_not_reported_as_unknown():
    entry = Entry({})
    for age_s, status in ((3.1, b"503"), (0.1, b"401")):
        entry.age_s = age_s
        assert entry.ask(key=b"new").split()[1] == status


@pytest.mark.parametrize("method", [b"GET", b"POST"])
def test_request_that_an_instance_did_not_run_is_sent_to_another(method):
    first, second = FakeInstance(reply(NOT_RUN)), FakeInstance(reply(ok()))
    entry = Entry({"i1": first, "i2": second}, **NON_IDEMPOTENT)
    entry.fleet.get("i2").outstanding = 12
    assert entry.ask(method=method).split()[1] == b"200"
    assert len(first.requests) == len(second.requests) == 1


def test_non_idempotent_request_whose_connection_breaks_is_not_sent_again():
    first, second = FakeInstance(reset_connection), FakeInstance(reply(ok()))
    entry = Entry({"i1": first, "i2": second}, **NON_IDEMPOTENT)
    entry.fleet.get("i2").outstanding = 12
    assert entry.ask(method=b"POST", body=b"x").split()[1] == b"502"
    assert not second.requests


def test_idempotent_request_whose_connection_breaks_is_sent_to_another():
    first, second = FakeInstance(reset_connection), FakeInstance(reply(ok()))
    entry = Entry({"i1": first, "i2": second})
    entry.fleet.get("i2").outstanding = 12
    assert entry.ask().split()[1] == b"200"


def test_request_is_answered_also_if_its_target_failed_a_thousand_times_before():
    """An overflow ended the connection of each caller without an answer."""
    entry = Entry({"i1": FakeInstance(reset_connection)}, **NON_IDEMPOTENT)
    entry.fleet.get("i1").failures = 1024
    assert entry.ask(method=b"POST", body=b"x").split()[1] == b"502"


def test_refusal_by_two_instances_is_reported_as_not_run():
    fakes = {f"i{n}": FakeInstance(reply(NOT_RUN)) for n in range(3)}
    answer = Entry(fakes, **NON_IDEMPOTENT).ask(method=b"POST", body=b"x")
    assert answer.split()[1] == b"503"
    assert b"retry-after" in answer
    assert sum(len(fake.requests) for fake in fakes.values()) == 2


def test_truncated_answer_is_never_forwarded_as_complete():
    truncated = ok(b"a longer body")[:-4]
    fake = FakeInstance(reply(truncated))
    assert (
        Entry({"i1": fake}, **NON_IDEMPOTENT).ask(method=b"POST").split()[1] == b"502"
    )


@pytest.mark.parametrize("status", [b"200 OK", b"201 Created", b"204 None"])
@pytest.mark.parametrize("is_stream", [False, True])
def test_success_without_the_proof_of_an_instance_is_none(status, is_stream):
    """Another program at the address answered requests that nothing had run."""
    kind = b"content-type: text/event-stream\r\n" if is_stream else b""
    data = b"HTTP/1.1 " + status + b"\r\n" + kind + b"\r\nid: 1\ndata: up\n\n"
    route = RESUMABLE_STREAM if is_stream else {}
    stranger = FakeInstance(reply(data))
    entry = Entry({"stranger": stranger}, **(route | NON_IDEMPOTENT))
    answer = entry.ask(method=b"POST")
    assert answer.startswith(b"HTTP/1.1 502") and b'"ran":"unknown"' in answer
    sound = reply(stream_head() + event(1) + END) if is_stream else reply(ok())
    entry = Entry({"stranger": stranger, "i1": FakeInstance(sound)}, **route)
    entry.fleet.get("i1").outstanding = 12
    assert entry.ask(method=b"POST").startswith(b"HTTP/1.1 200")


def test_answer_without_length_ends_with_its_connection():
    fake = FakeInstance(reply(b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\nunframed"))
    assert Entry({"i1": fake}).ask().endswith(b"\r\n\r\nunframed")


def test_answer_without_length_that_is_reset_is_not_complete():
    def script(instance, sock, request):
        sock.sendall(b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\nunfra")
        gevent.sleep(0.05)
        reset(sock)

    fake = FakeInstance(script)
    assert (
        Entry({"i1": fake}, **NON_IDEMPOTENT).ask(method=b"POST").split()[1] == b"502"
    )


def test_second_answer_after_a_complete_one_is_ignored():
    fake = FakeInstance(reply(ok(b"one") + ok(b"two")))
    answer = Entry({"i1": fake}).ask()
    assert answer.endswith(b"\r\n\r\none")


def test_answer_to_another_request_is_not_forwarded():
    fake = FakeInstance(reply(ok(extra=b"x-request-id: id9\r\n")))
    answer = Entry({"i1": fake}, **NON_IDEMPOTENT).ask(method=b"POST")
    assert answer.split()[1] == b"502"


def test_failure_of_an_instance_keeps_its_status_and_seal():
    data = b"HTTP/1.1 500 Oops\r\nx-response-seal: s5\r\ncontent-length: 0\r\n\r\n"
    fake = FakeInstance(reply(data))
    answer = Entry({"i1": fake}, **NON_IDEMPOTENT).ask(method=b"POST")
    assert answer.split()[1] == b"500"
    assert b"s5" in answer


def test_route_timeout_ends_the_request_with_504():
    fake = FakeInstance(never_answer)
    entry = Entry({"i1": fake}, timeout_s=0.3, **NON_IDEMPOTENT)
    started_s = time.monotonic()
    assert entry.ask(method=b"POST").split()[1] == b"504"
    assert 0.25 < time.monotonic() - started_s < 0.6


def test_disconnect_of_a_caller_cancels_its_request_at_the_instance():
    fake = FakeInstance(never_answer)
    entry = Entry({"i1": fake})
    sock = entry.connect()
    sock.sendall(request_bytes())
    gevent.sleep(0.2)
    sock.close()
    disconnected_s = time.monotonic()
    gevent.sleep(0.3)
    assert fake.closed_at_s and fake.closed_at_s[0] - disconnected_s < 0.25


def test_request_of_a_disconnected_caller_is_not_sent_again():
    first, second = FakeInstance(never_answer), FakeInstance(reply(ok()))
    entry = Entry({"i1": first, "i2": second})
    entry.fleet.get("i2").outstanding = 12
    sock = entry.connect()
    sock.sendall(request_bytes())
    gevent.sleep(0.2)
    sock.close()
    gevent.sleep(1.3)
    assert not second.requests


def test_smuggled_and_malformed_requests_reach_no_instance():
    fake = FakeInstance(reply(ok()))
    entry = Entry({"i1": fake})
    both = b"content-length: 4\r\ntransfer-encoding: chunked\r\n"
    for data in (
        request_bytes(headers=both),
        b"GET /a/x HTTP/1.1\r\n\r\n",
        b"nonsense\r\n\r\n",
        request_bytes(headers=b"x-big: " + b"a" * 20000 + b"\r\n"),
    ):
        sock = entry.connect()
        sock.sendall(data)
        assert read_all(sock).split()[1][:1] == b"4"
    assert not fake.requests


def test_chunked_body_arrives_complete_and_the_connection_serves_a_second_request():
    fake = FakeInstance(reply(ok()))
    entry = Entry({"i1": fake}, **NON_IDEMPOTENT)
    sock = entry.connect()
    head = request_bytes(method=b"POST", headers=b"transfer-encoding: chunked\r\n")
    sock.sendall(head.replace(b"connection: close\r\n", b"") + b"3\r\nabc\r\n0\r\n\r\n")
    gevent.sleep(0.2)
    sock.sendall(request_bytes(method=b"POST"))
    answers = read_all(sock)
    assert answers.count(b"HTTP/1.1 200") == 2
    assert fake.requests[0].endswith(b"\r\n\r\nabc")


def test_stream_is_forwarded_event_by_event():
    def script(instance, sock, request):
        sock.sendall(stream_head() + event(1))
        gevent.sleep(0.3)
        sock.sendall(event(2) + END)

    entry = Entry({"i1": FakeInstance(script)}, **RESUMABLE_STREAM)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST"))
    started_s = time.monotonic()
    first = sock.recv(65536)
    assert b"id: 1" in first and time.monotonic() - started_s < 0.2
    assert read_all(sock).endswith(END)


def test_broken_stream_continues_at_another_instance_after_the_last_complete_event():
    def break_off(instance, sock, request):
        sock.sendall(stream_head() + event(1) + event(2) + event(3)[:-9])
        gevent.sleep(0.05)
        reset(sock)

    first = FakeInstance(break_off)
    second = FakeInstance(reply(stream_head() + event(3) + END))
    entry = Entry({"i1": first, "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    answer = entry.ask(method=b"POST")
    assert second.header(b"last-event-id") == b"2"
    assert [answer.count(b"id: %d" % n) for n in (1, 2, 3)] == [1, 1, 1]
    assert answer.count(b"HTTP/1.1") == 1
    assert answer.endswith(END)


def test_broken_stream_that_may_not_be_resumed_resets_the_connection():
    def break_off(instance, sock, request):
        sock.sendall(stream_head() + event(1))
        gevent.sleep(0.05)
        reset(sock)

    second = FakeInstance(reply(ok()))
    entry = Entry(
        {"i1": FakeInstance(break_off), "i2": second}, kind=RequestKind.STREAMING
    )
    entry.fleet.get("i2").outstanding = 12
    with pytest.raises(ConnectionResetError):
        entry.ask(method=b"POST")
    assert not second.requests


def test_resumable_stream_moves_from_a_silent_instance_to_another():
    second = FakeInstance(reply(stream_head() + event(1) + END))
    entry = Entry({"i1": FakeInstance(never_answer), "i2": second}, **RESUMABLE_STREAM)
    entry.fleet.get("i2").outstanding = 12
    assert entry.ask(method=b"POST").endswith(END)


def test_stopping_entry_refuses_late_requests_and_ends_soon():
    def answer_slowly(instance, sock, request):
        gevent.sleep(3.5 if b"/a/slow" in request else 0.0)
        sock.sendall(ok())

    fake = FakeInstance(answer_slowly)
    entry = Entry({"i1": fake}, timeout_s=6.0, **NON_IDEMPOTENT)
    sock = entry.connect()
    sock.sendall(request_bytes(path=b"/a/slow").replace(b"3000", b"6000"))
    running = gevent.spawn(read_all, sock)
    gevent.sleep(0.1)
    stop = gevent.spawn(entry.server.close_gracefully, 8.0)
    gevent.sleep(0.5)
    assert entry.ask().split()[1] == b"200"
    gevent.sleep(2.4)
    late = entry.ask()
    assert late.split()[1] == b"503"
    assert b"connection: close" in late
    stop.join(timeout=1.0)
    assert stop.ready()
    assert running.get().split()[1] == b"200"


def test_stopping_entry_completes_a_running_request():
    def answer_slowly(instance, sock, request):
        gevent.sleep(3.2)
        sock.sendall(ok())

    entry = Entry({"i1": FakeInstance(answer_slowly)}, timeout_s=6.0, **NON_IDEMPOTENT)
    sock = entry.connect()
    sock.sendall(request_bytes(headers=b"").replace(b"3000", b"6000"))
    gevent.sleep(0.1)
    stop = gevent.spawn(entry.server.close_gracefully, 8.0)
    assert read_all(sock).split()[1] == b"200"
    stop.join(timeout=1.0)
    assert stop.ready()


def test_key_revoked_before_the_send_stops_the_request():
    fake = FakeInstance(reply(ok()))
    entry = Entry({"i1": fake})
    newer_state = desired_state(entry.service, version=2, keys=("k9",))
    original = entry.delivery._recheck

    def recheck(job, target):
        entry.in_force.state = newer_state
        original(job, target)

    entry.delivery._recheck = recheck
    assert entry.ask().split()[1] == b"401"
    assert not fake.requests


def test_allowed_regions_keep_a_request_in_its_region():
    disallowed, allowed = FakeInstance(reply(ok())), FakeInstance(reply(ok()))
    entry = Entry({}, allowed_regions=frozenset({"r2"}))
    entry.add("i1", disallowed.address, failure_domain="z1")
    entry.add("i2", allowed.address, failure_domain="z2")
    assert entry.ask().split()[1] == b"200"
    assert not disallowed.requests


def test_request_that_may_have_run_is_not_reported_as_not_run():
    """The desired state became too old between two sends. Found by soak seed 9."""

    def make_state_stale(instance, sock, request):
        entry.age_s = 9.0
        reset(sock)

    second = FakeInstance(reply(ok()))
    entry = Entry(
        {"i1": FakeInstance(make_state_stale), "i2": second},
        kind=RequestKind.IDEMPOTENT,
        max_attempts=2,
    )
    entry.fleet.get("i2").outstanding = 12
    assert b" 502 " in entry.ask()
    assert not second.requests


def test_slow_body_is_accepted_and_slow_header_is_not():
    entry = Entry({"i1": FakeInstance(reply(ok(b"body")))})
    entry.limits = CallerLimits(header_timeout_s=0.2, idle_timeout_s=1.0)
    data = request_bytes(method=b"POST", body=b"12345")
    sock = entry.connect()
    sock.sendall(data[:-5])
    for part in (b"12", b"34", b"5"):
        gevent.sleep(0.15)
        sock.sendall(part)
    assert b" 200 " in read_all(sock)
    sock = entry.connect()
    sock.sendall(data[:20])
    assert b" 408 " in read_all(sock)
