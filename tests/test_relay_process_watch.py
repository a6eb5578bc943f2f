"""Answers that mark no end, whose instance may have ended with their connection."""

import time
from dataclasses import replace

import gevent
import pytest
from gevent.event import Event
from gevent.server import StreamServer

from briarbeam.platform.records import decode_desired_state
from briarbeam.relay import process_watch
from briarbeam.relay.process_watch import CONFIRM_WITHIN_S

from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
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

PLAIN_STREAM = RESUMABLE_STREAM | {"resumable": False}
WHOLE_HEAD = b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\n" + SEAL + b"content-type: text/event-stream\r\n\r\n"
STARTED_MS = 1_700_000_000_000


def text(number):
    return b"id: %d\ndata: tokens\n\n" % number


def begin(data, then):
    """Return a script that sends `data`, waits for its receiver, and calls `then`."""

    def script(instance, sock, request):
        sock.sendall(data)
        gevent.sleep(0.1)
        then(instance, sock)

    return script


def end_process(instance, sock):
    instance.end_in_order()


def report(started_ms):
    """Return a script that answers a probe as an engine does."""
    body = b'{"stage":"both","born":%d}' % started_ms
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    return reply(head + body)


def state_draining(target):
    target.instance = replace(target.instance, draining=True)


def lose_record(target):
    target.remove_at_s = time.monotonic() + 60.0


def ask(entry):
    """Return the head and the body that a caller gets, and whether it got a reset."""
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST"))
    data, was_reset = b"", False
    try:
        with gevent.Timeout(8.0):
            while part := sock.recv(65536):
                data += part
    except ConnectionResetError:
        was_reset = True
    head, _, body = data.partition(b"\r\n\r\n")
    return head.lower(), body, was_reset


def make_entry(script, route=PLAIN_STREAM, is_engine=False):
    """Return an entry and its only instance, with a known start."""
    instance = FakeInstance(script)
    entry = Entry({}, **route)
    models = {"m": 1} if is_engine else None
    target = entry.add("i1", instance.address, models)
    target.instance = replace(target.instance, started_ms=STARTED_MS)
    if is_engine:
        instance.answer_probe = report(STARTED_MS)
    return entry, instance


NOTICES = pytest.mark.parametrize(
    "give_notice", [state_draining, lose_record, lambda target: None],
    ids=["draining", "no record", "none"],
)  # fmt: skip


@NOTICES
def test_stream_of_an_instance_that_left_and_was_killed_is_not_complete(give_notice):
    """The kernel's close was the end of the stream if the instance was leaving."""

    def leave(instance, sock):
        give_notice(entry.fleet.get("i1"))
        instance.end_in_order()

    entry, _ = make_entry(begin(STREAM_HEAD + text(1), leave))
    _, body, was_reset = ask(entry)
    assert (body, was_reset) == (text(1), True)


@NOTICES
def test_whole_answer_of_an_instance_that_left_and_was_killed_is_none(give_notice):
    def leave(instance, sock):
        give_notice(entry.fleet.get("i1"))
        instance.end_in_order()

    entry, _ = make_entry(begin(WHOLE_HEAD + b"part", leave), NON_IDEMPOTENT)
    head, _, was_reset = ask(entry)
    assert (head.split()[1], was_reset) == (b"502", False)


def test_stream_of_an_instance_that_left_gets_its_rest_from_another():
    def leave(instance, sock):
        state_draining(entry.fleet.get("i1"))
        instance.end_in_order()

    entry, _ = make_entry(begin(STREAM_HEAD + text(1), leave), RESUMABLE_STREAM)
    other = FakeInstance(reply(stream_head() + event(2) + END))
    entry.add("i2", other.address).outstanding = 12
    assert ask(entry)[1:] == (text(1) + text(2), False)
    assert other.header(b"last-event-id") == b"1"


def accept_for(address, duration_s):
    """Accept and reset connections at `address` for a while, then refuse them."""
    server = StreamServer(tuple(address), lambda sock, _: reset(sock))
    server.start()
    gevent.spawn_later(duration_s, server.close)


def test_connection_that_a_dying_process_accepts_shows_no_life():
    """Its listener was closed a moment after the connection of the answer."""

    def die(instance, sock):
        instance.end_in_order()
        accept_for(instance.address, 0.03)

    entry, _ = make_entry(begin(STREAM_HEAD + text(1), die))
    assert ask(entry)[1:] == (text(1), True)


@pytest.mark.parametrize("is_engine", [False, True])
def test_connection_that_nobody_answers_shows_no_life(is_engine):
    """The kernel accepts connections for a process that stands still."""

    def stall(instance, sock):
        instance.answer_probe = lambda *args: gevent.sleep(9.0)

    entry, _ = make_entry(begin(STREAM_HEAD + text(1), stall), is_engine=is_engine)
    started_s = time.monotonic()
    assert ask(entry)[1:] == (text(1), True)
    assert time.monotonic() - started_s < CONFIRM_WITHIN_S + 0.8


def test_answer_that_was_there_before_the_question_shows_no_life():
    """A server tells idle connections of their time limit before it closes them."""
    entry, instance = make_entry(begin(STREAM_HEAD + text(1), end_process))
    server = instance._server
    handle = server.handle

    def answer_at_once(sock, address):
        if instance.requests:
            sock.sendall(b"HTTP/1.1 408 Idle\r\ncontent-length: 0\r\n\r\n")
        handle(sock, address)

    server.set_handle(answer_at_once)
    assert ask(entry)[1:] == (text(1), True)


def replace_process(answer_probe):
    """Return a function that ends an instance and has another process listen there."""

    def then(instance, sock):
        instance.end_in_order()
        instance.restart()
        instance.answer_probe = answer_probe

    return then


@pytest.mark.parametrize(
    ("answer_probe", "is_engine"),
    [
        (reply(b"HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n"), True),
        (report(STARTED_MS + 900), True),
        (reply(b"HTTP/1.1 421 X\r\nx-instance-id: i9\r\ncontent-length: 0\r\n\r\n"),
         False),
    ],
    ids=["other engine", "restarted engine", "other instance"],
)  # fmt: skip
def test_life_of_another_process_at_the_address_shows_nothing(answer_probe, is_engine):
    """Another instance listened there when the question was asked."""
    then = replace_process(answer_probe)
    entry, _ = make_entry(begin(STREAM_HEAD + text(1), then), is_engine=is_engine)
    assert ask(entry)[1:] == (text(1), True)


def test_process_that_can_not_be_told_apart_after_a_pause_shows_nothing():
    """The entry stood still, so that an instance could restart under its id."""

    def then(instance, sock):
        entry.paused_s = 1.4
        instance.end_in_order()
        instance.restart()

    entry, _ = make_entry(begin(STREAM_HEAD + text(1), then))
    assert ask(entry)[1:] == (text(1), True)


@pytest.mark.parametrize("is_engine", [False, True])
def test_instance_that_closes_its_listener_first_completes_its_streams(is_engine):
    """It answers on the connection that was open before."""

    def drain(instance, sock):
        state_draining(entry.fleet.get("i1"))
        instance.stop_listening()
        sock.sendall(text(2))
        gevent.sleep(0.1)

    entry, instance = make_entry(begin(STREAM_HEAD + text(1), drain), PLAIN_STREAM,
                                 is_engine)  # fmt: skip
    assert ask(entry)[1:] == (text(1) + text(2), False)
    assert len(instance.probes) == 1


def test_process_that_answers_late_completes_its_answer():
    """Sound instances are silent for a second at times."""

    def fall_silent(instance, sock):
        def answer_late(*args):
            gevent.sleep(1.0)
            answer(*args)

        answer = instance.answer_probe
        instance.answer_probe = answer_late

    entry, _ = make_entry(begin(STREAM_HEAD + text(1), fall_silent))
    assert ask(entry)[1:] == (text(1), False)


def test_pause_does_not_break_answers_whose_process_was_watched():
    def pause(instance, sock):
        entry.paused_s = 1.4

    entry, _ = make_entry(begin(STREAM_HEAD + text(1), pause))
    assert ask(entry)[1:] == (text(1), False)


@pytest.mark.parametrize("answer", [ok(), stream_head() + event(1) + END])
def test_instance_whose_answers_mark_their_end_is_not_asked(answer):
    instance = FakeInstance(reply(answer))
    connections = []
    handle = instance._server.handle
    instance._server.set_handle(
        lambda sock, address: (connections.append(sock), handle(sock, address))
    )
    entry = Entry({"i1": instance}, **PLAIN_STREAM)
    entry.ask(method=b"POST")
    assert len(connections) == 1
    assert not instance.probes


def test_answers_that_end_together_share_a_question():
    """Each probe is billed, and takes a connection of the instance."""
    together = Event()

    def script(instance, sock, request):
        sock.sendall(STREAM_HEAD + text(1))
        together.wait(5.0)

    entry, instance = make_entry(script)
    tasks = [gevent.spawn(ask, entry) for _ in range(8)]
    gevent.sleep(0.3)
    instance.answer_probe = begin(b"", lambda fake, sock: sock.sendall(
        b"HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n"))  # fmt: skip
    together.set()
    assert all(task.get()[1:] == (text(1), False) for task in tasks)
    assert len(instance.probes) <= 3


def test_watch_of_a_process_ends_with_its_last_answer():
    """Connections of watches would use up those of the instance."""
    entry, instance = make_entry(reply(STREAM_HEAD + text(1)))
    for _ in range(3):
        ask(entry)
    gevent.sleep(0.1)
    assert not entry.delivery._process_watches._watches
    assert not instance._open_socks


def test_caller_that_leaves_ends_the_watch():
    def stay(instance, sock):
        gevent.sleep(0.5)

    entry, instance = make_entry(begin(STREAM_HEAD + text(1), stay))
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST"))
    gevent.sleep(0.2)
    assert len(instance._open_socks) == 2
    sock.close()
    gevent.sleep(0.6)
    assert not instance._open_socks


def test_refused_watch_is_not_repeated_with_each_event():
    def drain(instance, sock):
        for number in range(2, 30):
            sock.sendall(text(number))
            gevent.sleep(0.01)

    entry, instance = make_entry(begin(STREAM_HEAD + text(1), drain))
    tries = []
    connect = process_watch.UpstreamCall.connect

    def refuse(call, *args):
        if call._address == instance.address and instance.requests:
            tries.append(time.monotonic())
            instance.stop_listening()
        return connect(call, *args)

    process_watch.UpstreamCall.connect = refuse
    try:
        ask(entry)
    finally:
        process_watch.UpstreamCall.connect = connect
    assert len(tries) <= 4


@pytest.mark.parametrize(
    ("path", "expected"),
    [("/up", "/up"), ("up", "/"), ("/a b", "/"), ("/a\r\nx: 1", "/"), (7, "/"),
     (None, "/")],
)  # fmt: skip
def test_odd_path_of_health_checks_can_not_forge_a_probe(path, expected):
    spec = {
        "version": 1, "routes": [], "services": [{"name": "s", "health_path": path}],
    }  # fmt: skip
    assert decode_desired_state(spec).services["s"].health_path == expected


def test_probe_can_not_be_run_by_a_plain_instance():
    """It names no instance, and bears no id of a request."""
    entry, instance = make_entry(reply(STREAM_HEAD + text(1)))
    assert ask(entry)[1:] == (text(1), False)
    (probe,) = instance.probes
    assert probe.startswith(b"GET /health HTTP/1.1\r\n")
    assert b"x-expect-instance: -\r\n" in probe
    assert b"x-request-id" not in probe


def test_answer_still_arrives_whole_after_the_confirmation():
    entry, _ = make_entry(reply(WHOLE_HEAD + b"unmarked"), NON_IDEMPOTENT)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST"))
    assert read_all(sock).endswith(b"\r\n\r\nunmarked")


def restart_at_once(instance, sock):
    """End a process and have it listen again under its id, without a stated start."""
    instance.end_in_order()
    instance.restart()


@pytest.mark.parametrize("is_long", [True, False], ids=["two reads", "one read"])
@pytest.mark.parametrize(
    "route", [PLAIN_STREAM, NON_IDEMPOTENT], ids=["stream", "whole"]
)
def test_instance_that_restarted_did_not_write_the_answer_before(route, is_long):
    """A new connection made after the end was believed to be one to the same process."""
    head = STREAM_HEAD if route is PLAIN_STREAM else WHOLE_HEAD

    def script(instance, sock, request):
        # The server has begun to serve each connection that was opened by now.
        gevent.sleep(0.05)
        sock.sendall(head + text(1))
        if len(instance.requests) > 1:
            if is_long:
                gevent.sleep(0.1)
            restart_at_once(instance, sock)

    entry, _ = make_entry(script, route)
    assert ask(entry)[1:] == (text(1), False)
    answer_head, body, was_reset = ask(entry)
    if route is PLAIN_STREAM:
        assert (body, was_reset) == (text(1), True)
    else:
        assert answer_head.split()[1] == b"502"


def test_first_stream_of_an_instance_that_restarted_is_not_complete():
    entry, _ = make_entry(begin(STREAM_HEAD + text(1), restart_at_once))
    assert ask(entry)[1:] == (text(1), True)


@pytest.mark.parametrize("renews", [True, False], ids=["kept", "closed"])
def test_short_answers_of_a_plain_instance_stay_complete(renews):
    """Their ends arrive with them, so that no connection can be opened after a read."""
    entry, instance = make_entry(reply(WHOLE_HEAD + b"short"), NON_IDEMPOTENT)
    if not renews:
        refuse = b"HTTP/1.0 421 X\r\ncontent-length: 0\r\n\r\n"
        instance.answer_probe = lambda _, sock, request: (
            sock.sendall(refuse), sock.shutdown(2))  # fmt: skip
    for _ in range(5):
        tasks = [gevent.spawn(ask, entry) for _ in range(4)]
        assert all(task.get()[1:] == (b"short", False) for task in tasks)
    gevent.sleep(0.1)
    assert not instance._open_socks


def test_streams_that_end_close_together_stay_complete():
    """The server closes the shared connection behind the first question."""
    entry, instance = make_entry(begin(STREAM_HEAD + text(1), lambda *args: None))
    refuse = b"HTTP/1.0 421 X\r\ncontent-length: 0\r\n\r\n"
    instance.answer_probe = lambda _, sock, request: (
        sock.sendall(refuse), sock.shutdown(2))  # fmt: skip
    assert ask(entry)[1:] == (text(1), False)
    tasks = [gevent.spawn_later(0.005 * n, ask, entry) for n in range(8)]
    assert all(task.get()[1:] == (text(1), False) for task in tasks)


def test_server_that_serves_one_after_the_other_is_not_kept_waiting():
    """It would wait for a request on a connection that was opened before that of one."""
    entry, instance = make_entry(reply(WHOLE_HEAD + b"short"), NON_IDEMPOTENT)
    instance._server.set_spawn(1)
    for _ in range(3):
        assert ask(entry)[1:] == (b"short", False)
