"""Engines that end under requests: what counts as a crash, and what is logged of it."""

import gevent
import pytest
from structlog.testing import capture_logs

from briarbeam.platform.headers import PROMPT_PARTS_MAX, decode_request
from briarbeam.relay.engine_crashes import LOG_DELAY_S

from .relay_fakes import (
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    crash_on,
    event,
    prompt,
    reset,
    stream_head,
)


def crashes_logged(entry, headers):
    """Send a request and return the fields of the logged crashes."""
    gevent.sleep(LOG_DELAY_S + 0.05)
    with capture_logs() as lines:
        entry.ask(method=b"POST", headers=headers)
        gevent.sleep(LOG_DELAY_S + 0.05)
    return [line for line in lines if line["event"] == "engine_ended_under_requests"]


def test_crash_is_logged_with_the_shared_parts_of_the_requests():
    entry = Entry({"i1": FakeInstance(crash_on(b"bad"))}, **RESUMABLE_STREAM)
    (line,) = crashes_logged(entry, prompt(b"a1", b"bad", b"c3"))
    assert line["instance"] == "i1"
    assert line["requests"] == ["id1"]
    assert line["parts"] == [("a1", "bad")]


def test_reset_by_an_engine_that_still_listens_is_no_crash():
    engine = FakeInstance(lambda instance, sock, request: reset(sock))
    entry = Entry({"i1": engine}, **RESUMABLE_STREAM)
    assert not crashes_logged(entry, prompt(b"a1", b"c3"))


def test_crash_after_the_first_event_is_not_attributed_to_the_request():
    def answer_and_crash(instance, sock, request):
        sock.sendall(stream_head() + event(1))
        gevent.sleep(0.05)
        instance.crash()

    route = RESUMABLE_STREAM | {"max_attempts": 1}
    entry = Entry({"i1": FakeInstance(answer_and_crash)}, **route)
    with pytest.raises(ConnectionResetError):
        entry.ask(method=b"POST", headers=prompt(b"a1", b"c3"))
    assert not entry.evidence.unexcused()


@pytest.mark.parametrize(
    ("value", "shared", "own"),
    [
        (b"5c1e07a2:800,91BD3f06:410, e4402b7d:250", ("5c1e07a2", "91bd3f06"), "e4402b7d"),
        (b"e4:250", (), "e4"),
        (b"a1:1,a1:2,b2:1", ("a1",), "b2"),
        (b"", (), None),
        (b"a1", (), None),
        (b"a1:x,b2:1", (), None),
        (b"a1:1,,b2:1", (), None),
        (b"11112222333344445:1,b2:1", (), None),
        (b"\xff:1", (), None),
    ],
)  # fmt: skip
def test_parts_of_a_prompt_are_decoded(value, shared, own):
    meta = decode_request([(b"x-prefix-hash", value)])
    assert (meta.prompt_parts, meta.own_part) == (shared, own)


def test_long_prompt_is_truncated_to_its_first_parts():
    value = b",".join(b"%x:1" % number for number in range(1, 100))
    meta = decode_request([(b"x-prefix-hash", value)])
    assert len(meta.prompt_parts) == PROMPT_PARTS_MAX
