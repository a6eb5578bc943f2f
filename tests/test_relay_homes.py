"""Requests whose allowed regions change while they are processed."""

import pytest

from briarbeam.catalog import Service
from briarbeam.relay.upstream_call import UpstreamCall

from .relay_fakes import (
    NOT_RUN,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    desired_state,
    event,
    ok,
    reply,
    reset,
    stream_head,
)

REGION_R2_ONLY = {"allowed_regions": frozenset({"r2"})}


def change_allowed_regions(entry, **route):
    """Put a desired state in force that no longer allows region r1."""
    entry.in_force.state = desired_state(
        entry.service, version=2, **REGION_R2_ONLY, **route
    )


def new_entry(first, second, **route):
    """Return an entry that prefers `first` to `second`, both in region r1."""
    entry = Entry({"i1": first, "i2": second}, **route)
    entry.fleet.get("i2").outstanding = 12
    return entry


@pytest.mark.parametrize("key", [b"k1", b""])
def test_retry_respects_the_allowed_regions_of_the_newest_state(key):
    def refuse(instance, sock, request):
        change_allowed_regions(entry, public=not key)
        sock.sendall(NOT_RUN)

    second = FakeInstance(reply(ok()))
    entry = new_entry(FakeInstance(refuse), second, public=not key)
    assert entry.ask(key=key).split()[1] == b"503"
    assert not second.requests


@pytest.mark.parametrize("key", [b"k1", b""])
def test_request_that_waits_for_a_connection_respects_the_newest_allowed_regions(
    monkeypatch, key
):
    connect = UpstreamCall.connect

    def connect_then_change(call):
        connect(call)
        change_allowed_regions(entry, public=not key)

    monkeypatch.setattr(UpstreamCall, "connect", connect_then_change)
    fake = FakeInstance(reply(ok()))
    entry = Entry({"i1": fake}, public=not key)
    assert entry.ask(key=key).split()[1] == b"503"
    assert not fake.requests


def test_resumed_stream_respects_the_allowed_regions_of_the_newest_state():
    def break_off(instance, sock, request):
        sock.sendall(stream_head() + event(1))
        change_allowed_regions(entry, **RESUMABLE_STREAM)
        reset(sock)

    second = FakeInstance(reply(stream_head() + event(2)))
    entry = new_entry(FakeInstance(break_off), second, **RESUMABLE_STREAM)
    with pytest.raises(ConnectionResetError):
        entry.ask(method=b"POST")
    assert not second.requests


def test_request_whose_route_moves_while_it_waits_runs_at_the_new_service_only():
    """A new desired state may also map the path to another service."""

    def refuse(instance, sock, request):
        moved = desired_state(entry.service, version=2, services=(("other", 1),))
        moved.services["other"] = Service("other")
        entry.in_force.state = moved
        sock.sendall(NOT_RUN)

    second = FakeInstance(reply(ok()))
    entry = new_entry(FakeInstance(refuse), second)
    assert entry.ask().split()[1] == b"503"
    assert not second.requests
