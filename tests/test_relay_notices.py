"""Tests of instances that state in an answer that they want no further requests."""

import time

import gevent
import pytest
from structlog.testing import capture_logs

from briarbeam.kernel.clock import ManualClock
from briarbeam.platform import headers as wire
from briarbeam.platform.store import Record
from briarbeam.relay.fleet import REMOVED_MAX, Fleet
from briarbeam.relay.target import LoadReport
from briarbeam.relay.upstream_call import UpstreamCall

from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    event,
    ok,
    read_all,
    reply,
    request_bytes,
    stream_head,
)

LEAVING = b"server-leaving: 1\r\n"
NOW_MS = int(ManualClock().now().timestamp() * 1000)
SPEC = {
    "service": "svc", "address": "10.0.0.9:8080", "zone": "z1", "version": "v1",
    "slots": 16, "state": "ready", "cold_left_ms": 0, "seq": 4, "born": NOW_MS - 9000,
}  # fmt: skip


def leaving_stream(instance, sock, request):
    head = stream_head().replace(b"\r\n\r\n", b"\r\n" + LEAVING + b"\r\n")
    sock.sendall(head)
    for number in (1, 2, 3):
        sock.sendall(event(number))
        gevent.sleep(0.1)
    sock.sendall(END)


def refusal(retry_after, extra=b"x-not-run: 1\r\n"):
    """Return the bytes of a 503 with a Retry-After."""
    return failure(503, b"retry-after: %b\r\n" % retry_after + extra)


def retry_after_of(answer):
    """Return the Retry-After of an answer's bytes in seconds, or None."""
    for line in answer.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"retry-after":
            return float(value)
    return None


def failure(status, extra=b""):
    """Return the bytes of an answer with an error status and no body."""
    return b"HTTP/1.1 %d X\r\n%bcontent-length: 0\r\n\r\n" % (status, extra)


# Targets that leave


@pytest.mark.parametrize(
    "answer",
    [
        ok(extra=LEAVING),
        failure(404, LEAVING),
        failure(500, LEAVING),
        failure(421, LEAVING),
        failure(503, LEAVING),
        failure(503, LEAVING + b"x-not-run: 1\r\n"),
    ],
    ids=["200", "404", "500", "421", "503", "503 not run"],
)
def test_target_that_states_its_leaving_in_any_answer_gets_no_further_request(answer):
    """It got requests until the list showed that it drains."""
    leaving = FakeInstance(reply(answer))
    entry = Entry({"i1": leaving}, **NON_IDEMPOTENT)
    entry.ask()
    entry.fleet.get("i1").replaced_until_s = 0.0
    stays = FakeInstance(reply(ok(b"stays")))
    entry.add("i2", stays.address, failure_domain="z2")
    for _ in range(5):
        assert entry.ask().endswith(b"stays")
    assert len(leaving.requests) == 1


def test_callers_get_the_answer_of_a_leaving_target_unchanged():
    entry = Entry({"i1": FakeInstance(reply(ok(extra=LEAVING)))})
    answer = entry.ask()
    assert answer.startswith(b"HTTP/1.1 200 OK\r\n") and answer.endswith(b"done")
    assert LEAVING in answer


def test_request_is_refused_at_once_if_all_targets_have_stated_their_leaving():
    entry = Entry({"i1": FakeInstance(reply(ok(extra=LEAVING)))})
    entry.ask()
    started_s = time.monotonic()
    answer = entry.ask()
    assert answer.split()[1] == b"503" and b"retry-after" in answer
    assert time.monotonic() - started_s < 0.2


def test_target_that_leaves_with_the_head_of_a_stream_ends_it_and_gets_no_other():
    """The statement must not wait for the end of a stream that takes seconds."""
    leaving = FakeInstance(leaving_stream)
    entry = Entry({"i1": leaving}, **RESUMABLE_STREAM)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST", body=b"x"))
    gevent.sleep(0.15)
    stays = FakeInstance(reply(ok(b"stays")))
    entry.add("i2", stays.address, failure_domain="z2")
    assert entry.ask(method=b"POST", body=b"x").endswith(b"stays")
    assert read_all(sock).endswith(END)
    assert len(leaving.requests) == 1


def test_request_picked_before_a_target_states_its_leaving_is_not_sent(monkeypatch):
    leaving, stays = FakeInstance(reply(ok())), FakeInstance(reply(ok(b"stays")))
    entry = Entry({"i1": leaving})
    connect = UpstreamCall.connect

    def connect_then_leave(call):
        connect(call)
        entry.delivery._statements.record(
            entry.fleet.get("i1"),
            wire.decode_reply(200, [(b"server-leaving", b"1")]),
            0.0,
        )

    entry.add("i2", stays.address, failure_domain="z2").outstanding = 15
    monkeypatch.setattr(UpstreamCall, "connect", connect_then_leave)
    assert entry.ask().endswith(b"stays")
    assert not leaving.requests


def test_refusals_of_a_leaving_target_are_no_failures():
    entry = Entry({"i1": FakeInstance(reply(failure(503, LEAVING)))})
    entry.add("i2", FakeInstance(reply(ok())).address, failure_domain="z2")
    target = entry.fleet.get("i1")
    assert entry.ask().split()[1] == b"200"
    assert target.failures == 0 and not target.results
    assert target.avoid_until_s == 0.0


def listed(state="ready", revision=1, **fields):
    """Return the store's records with one instance."""
    return {"i1": Record("i1", revision, SPEC | {"state": state} | fields)}


def leave(fleet):
    fleet.record_leaving(fleet.get("i1"))
    assert fleet.get("i1").leaving


@pytest.mark.parametrize("revision", [1, 7])
@pytest.mark.parametrize("models", [(), [{"name": "m", "version": 2}]])
def test_list_that_is_older_than_the_leaving_does_not_bring_a_target_back(
    revision, models
):
    """A record that changed before the leaving was read after it."""
    fleet = Fleet(ManualClock(), dict)
    fleet.update(listed())
    leave(fleet)
    fleet.update(listed(revision=revision, models=list(models)))
    assert fleet.get("i1").leaving


def test_lost_and_restored_record_does_not_bring_a_leaving_target_back():
    fleet = Fleet(ManualClock(), dict)
    fleet.update(listed())
    leave(fleet)
    fleet.update({})
    assert not fleet.targets("svc")
    for number in range(REMOVED_MAX + 10):
        fleet.update({f"n{number}": Record(f"n{number}", 2, SPEC)})
        fleet.targets("svc")
    fleet.update(listed(revision=9))
    assert [target.leaving for target in fleet.targets("svc")] == [True]


def test_removed_targets_are_bounded_also_if_all_of_them_left():
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    for number in range(REMOVED_MAX * 2):
        fleet.update({f"n{number}": Record(f"n{number}", 2, SPEC)})
        fleet.record_leaving(fleet.get(f"n{number}"))
        fleet.targets("svc")
    assert len(fleet._removed) == REMOVED_MAX


def test_new_boot_of_a_target_that_left_is_used_again():
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    fleet.update(listed())
    leave(fleet)
    clock.advance(5.0)
    fleet.update(listed(revision=2, born=NOW_MS + 4000))
    assert not fleet.get("i1").leaving


def test_new_boot_that_only_its_stager_has_reported_is_used_again():
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    fleet.update(listed())
    leave(fleet)
    clock.advance(5.0)
    fleet.apply_report("10.0.0.9", LoadReport(5.0, NOW_MS + 4000, True, 1, 0, 0))
    assert not fleet.get("i1").leaving


def test_boot_that_left_before_it_was_listed_stays_out():
    """A target that restarted under its id was still known by the older record."""
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    fleet.update(listed())
    held_by_a_request = fleet.get("i1")
    clock.advance(5.0)
    leave(fleet)
    clock.advance(5.0)
    fleet.update(listed(revision=2, born=NOW_MS + 1000))
    assert fleet.get("i1").leaving
    assert held_by_a_request.leaving


def test_target_whose_leaving_was_withdrawn_in_the_list_is_used_again():
    fleet = Fleet(ManualClock(), dict)
    fleet.update(listed())
    leave(fleet)
    fleet.update(listed("draining", revision=5))
    fleet.update(listed(revision=4))
    assert fleet.get("i1").leaving
    fleet.update(listed(revision=6))
    assert not fleet.get("i1").leaving


@pytest.mark.parametrize("value", [b"0", b"", b"no", b"\xff"])
def test_only_the_documented_value_takes_a_target_out(value):
    assert not wire.decode_reply(200, [(b"server-leaving", value)]).leaving


# Targets that ask for a wait


@pytest.mark.parametrize("extra", [b"", b"x-not-run: 1\r\n"])
def test_target_gets_no_request_until_its_retry_after_ends(extra):
    """It got requests again at once, though it wants nothing from this machine."""
    busy = FakeInstance(reply(refusal(b"0.7", extra)))
    entry = Entry({"i1": busy})
    entry.ask()
    refused_s = time.monotonic()
    open_target = FakeInstance(reply(ok()))
    entry.add("i2", open_target.address, failure_domain="z2")
    while time.monotonic() < refused_s + 0.6:
        assert entry.ask().split()[1] == b"200"
        gevent.sleep(0.02)
    assert len(busy.requests) == 1
    entry.fleet.get("i1").avoid_until_s = 0.0
    gevent.sleep(0.15)
    for _ in range(20):
        entry.ask()
    assert len(busy.requests) == 2


def test_request_picked_before_a_refusal_is_not_sent_after_it(monkeypatch):
    busy, other = FakeInstance(reply(ok())), FakeInstance(reply(ok(b"other")))
    entry = Entry({"i1": busy})
    connect = UpstreamCall.connect

    def connect_then_refuse(call):
        connect(call)
        entry.delivery._statements.record(
            entry.fleet.get("i1"), wire.decode_reply(503, [(b"retry-after", b"2")]), 0.0
        )

    entry.add("i2", other.address, failure_domain="z2").outstanding = 15
    monkeypatch.setattr(UpstreamCall, "connect", connect_then_refuse)
    assert entry.ask().endswith(b"other")
    assert not busy.requests


def test_caller_is_refused_until_the_earliest_opening_and_callers_are_spread():
    """They were told 0.6 s whatever the targets asked for, and came back in vain."""
    targets = {
        name: FakeInstance(reply(refusal(wait)))
        for name, wait in (("i1", b"9"), ("i2", b"4"))
    }
    entry = Entry(targets)
    first = entry.ask()
    assert first.split()[1] == b"503"
    started_s = time.monotonic()
    waits_s = [retry_after_of(entry.ask()) for _ in range(30)]
    assert time.monotonic() - started_s < 1.0
    assert all(3.0 <= wait_s <= 6.1 for wait_s in [retry_after_of(first), *waits_s])
    assert max(waits_s) - min(waits_s) > 0.5
    assert [len(target.requests) for target in targets.values()] == [1, 1]


def test_open_target_that_is_full_does_not_make_callers_wait_for_a_closed_one():
    entry = Entry({"i1": FakeInstance(reply(refusal(b"9")))})
    entry.ask()
    full = entry.add("i2", FakeInstance(reply(ok())).address)
    full.outstanding = 100
    assert retry_after_of(entry.ask()) < 1.0


@pytest.mark.parametrize("wait", [b"0", b"-3", b"0.05", b"soon"])
def test_refusals_of_one_target_do_not_use_up_the_retry_budget(wait):
    """A target that refuses everything cost each second request a retry."""
    busy, other = FakeInstance(reply(refusal(wait))), FakeInstance(reply(ok()))
    entry = Entry({"i1": busy, "i2": other})
    started_s = time.monotonic()
    while time.monotonic() < started_s + 2.0:
        assert entry.ask().split()[1] == b"200"
    assert len(other.requests) > 100
    assert len(busy.requests) <= 6
    assert len(entry.budget._retries["svc"]) == len(busy.requests)


@pytest.mark.parametrize(
    ("values", "wait_s"),
    [
        ([b"1.5"], 1.5),
        ([b"0"], 0.0),
        ([b"-4"], 0.0),
        ([b"1" * 5000], 30.0),
        ([b"31"], 30.0),
        ([b"Wed, 21 Oct 2026 07:28:00 GMT"], 1.0),
        ([b"nan"], 1.0),
        ([b"inf"], 1.0),
        ([b"1_0"], 1.0),
        ([b""], 1.0),
        ([b"\xff"], 1.0),
        ([b"2", b"5"], 5.0),
        ([b"7, x, 2"], 7.0),
    ],
)
def test_odd_retry_after_is_bounded_and_reported(values, wait_s):
    headers = [(b"retry-after", value) for value in values]
    retry_after = wire.decode_reply(503, headers).retry_after
    assert retry_after.wait_s == wait_s
    is_odd = values not in ([b"1.5"], [b"0"])
    assert (retry_after.odd_value is not None) == is_odd
    assert len(retry_after.odd_value or b"") <= 100


def test_odd_retry_after_is_logged_once_for_each_closing():
    entry = Entry({"i1": FakeInstance(reply(refusal(b"x" * 4000)))})
    with capture_logs() as lines:
        for _ in range(5):
            entry.ask()
    events = [line["event"] for line in lines]
    assert events.count("retry_after_odd") == 1


@pytest.mark.parametrize("status", [200, 429, 500, 502])
def test_retry_after_of_other_statuses_closes_no_target(status):
    assert wire.decode_reply(status, [(b"retry-after", b"5")]).retry_after is None


def close(fleet, wait_s, name="i1"):
    fleet.record_refusal(fleet.get(name), wire.RetryAfter(wait_s))


def test_later_refusal_does_not_shorten_an_earlier_one():
    """A request that was on its way is refused too, with another wait."""
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    fleet.update(listed())
    close(fleet, 5.0)
    clock.advance(1.0)
    close(fleet, 0.5)
    assert fleet.get("i1").closed_until_s == 5.0


def test_new_boot_of_a_closed_target_is_open():
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    fleet.update(listed())
    close(fleet, 20.0)
    clock.advance(5.0)
    fleet.update(listed(revision=2, born=NOW_MS + 4000))
    assert fleet.get("i1").closed_until_s <= clock.monotonic_s()
    close(fleet, 2.0)
    assert fleet.get("i1").closed_until_s == 7.0


def test_boot_that_refused_before_it_was_listed_stays_closed():
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    fleet.update(listed())
    clock.advance(5.0)
    close(fleet, 20.0)
    fleet.update(listed(revision=2, born=NOW_MS + 1000))
    assert fleet.get("i1").closed_until_s == 25.0
    fleet.update({})
    fleet.targets("svc")
    fleet.update(listed(revision=3, born=NOW_MS + 1000))
    assert fleet.get("i1").closed_until_s == 25.0


def test_target_that_refuses_for_hours_is_still_only_closed_for_a_while():
    """The time doubled without bound inside, until it could not be computed."""
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    fleet.update(listed())
    for _ in range(3000):
        close(fleet, 0.0)
        clock.advance(1.1)
    assert fleet.get("i1").closed_until_s <= clock.monotonic_s()
