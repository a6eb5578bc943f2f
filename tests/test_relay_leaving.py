"""Tests of callers that disconnect: how soon instances get their requests cancelled."""

import errno
import time

import gevent
import pytest
from gevent import socket

from briarbeam.relay.upstream_call import UpstreamCall

from .relay_fakes import (
    NON_IDEMPOTENT,
    Entry,
    FakeInstance,
    never_answer,
    ok,
    read_all,
    reply,
    request_bytes,
)


def keep_alive_request(**fields):
    """Return a request that leaves the connection open."""
    return request_bytes(**fields).replace(b"connection: close\r\n", b"")


def assert_cancelled_soon(fake, disconnected_s):
    gevent.sleep(0.3)
    assert fake.closed_at_s and fake.closed_at_s[0] - disconnected_s < 0.25


@pytest.mark.parametrize("pause_s", [0.0, 0.1], ids=["at once", "later"])
@pytest.mark.parametrize(
    "pipelined",
    [b"\r\n", keep_alive_request(), keep_alive_request()[:40]],
    ids=["empty line", "whole request", "part of a request"],
)
def test_disconnect_after_pipelined_bytes_cancels_the_request(pipelined, pause_s):
    """Unread bytes hid the close, and the instance ran the request to its end."""
    fake = FakeInstance(never_answer)
    entry = Entry({"i1": fake})
    sock = entry.connect()
    if pause_s:
        sock.sendall(keep_alive_request())
        gevent.sleep(pause_s)
        sock.sendall(pipelined)
    else:
        sock.sendall(keep_alive_request() + pipelined)
    gevent.sleep(0.2)
    assert len(fake.requests) == 1
    sock.close()
    assert_cancelled_soon(fake, time.monotonic())
    gevent.sleep(0.1)
    assert len(fake.requests) == 1


def test_pipelined_requests_are_answered_in_order():
    entry = Entry({"i1": FakeInstance(answer_body)}, **NON_IDEMPOTENT)
    sock = entry.connect()
    bodies = (b"a" * 50_000, b"b" * 200_000, b"c")
    for body in bodies[:2]:
        sock.sendall(keep_alive_request(method=b"POST", body=body))
        gevent.sleep(0.03)
    sock.sendall(request_bytes(method=b"POST", body=bodies[2]))
    answers = read_all(sock)
    assert answers.count(b"HTTP/1.1 200") == len(bodies)
    positions = [answers.index(b"sent " + body[:1]) for body in bodies]
    assert positions == sorted(positions)


def answer_body(instance, sock, data):
    """Answer with the first byte of the body, after a while."""
    _, _, body = data.partition(b"\r\n\r\n")
    while not body:
        body = sock.recv(65536)
    gevent.sleep(0.15)
    sock.sendall(ok(b"sent " + body[:1]))
    while sock.recv(65536):
        continue


def test_nothing_is_sent_for_a_caller_that_disconnected_before_the_send(monkeypatch):
    """A slow entry detects the close in the same loop iteration as its connection."""
    fake = FakeInstance(reply(ok()))
    entry = Entry({"i1": fake})
    sock = entry.connect()
    connect = UpstreamCall.connect

    def connect_then_disconnect(call):
        connect(call)
        sock.shutdown(socket.SHUT_RDWR)

    monkeypatch.setattr(UpstreamCall, "connect", connect_then_disconnect)
    sock.sendall(request_bytes())
    gevent.sleep(0.2)
    assert not fake.requests


def test_disconnect_resets_the_connection_to_an_instance_with_an_unread_body():
    """The close was queued behind the rest of the body, which was not being read."""
    errors = []

    def ignore_disconnect(instance, sock, request):
        gevent.sleep(0.4)
        errors.append(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    fake = FakeInstance(ignore_disconnect)
    entry = Entry({"i1": fake}, **NON_IDEMPOTENT)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST", body=b"x" * (4 * 2**20)))
    gevent.sleep(0.2)
    sock.close()
    gevent.sleep(0.4)
    assert errors == [errno.ECONNRESET]
