"""Requests that end engines, whatever their prompts: how few engines end."""

import contextlib

import gevent
import pytest
from structlog.testing import capture_logs

from .relay_fakes import (
    END,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    crash_on,
    event,
    ok,
    prompt,
    stream_head,
)
from .test_relay_quarantine import Network, add_engines, count_crashes, watch_starts

DEADLY = b"bad-request"


def ask(entry, body, headers=b""):
    return entry.ask(method=b"POST", body=body, headers=headers)


def ask_deadly(entry, headers=b""):
    """Send the deadly request once more, in which the engines find ``bad``."""
    return entry.ask(b"/a/bad", method=b"POST", body=DEADLY, headers=headers)


@pytest.mark.parametrize("name_parts", [True, False], ids=["prompt", "no prompt"])
def test_request_that_ends_engines_reaches_few_of_them(name_parts):
    """14 to 18 engines ended in 20 s; sound requests with its part excused it."""
    engines = add_engines(8)
    entry = Entry(engines, **RESUMABLE_STREAM)
    watch_starts([entry], engines)
    served = 0
    for number in range(1, 13):
        ask_deadly(entry, prompt(b"aa", b"%x" % number) if name_parts else b"")
        sound = prompt(b"aa", b"%x" % (100 + number)) if name_parts else b""
        served += ask(entry, b"sound %d" % number, sound).endswith(END)
        gevent.sleep(0.25)
    assert count_crashes(engines) <= 4
    assert served >= 11


def test_entries_that_see_one_crash_each_find_the_request_together():
    engines = add_engines(10)
    network = Network(engines, 10)
    watch_starts(network.entries, engines)
    for number, entry in enumerate(network.entries):
        ask_deadly(entry, prompt(b"aa", b"%x" % (number + 1)))
        sound = prompt(b"aa", b"%x" % (100 + number))
        assert ask(entry, b"sound %d" % number, sound).endswith(END)
        gevent.sleep(0.25)
    assert count_crashes(engines) <= 4


def test_request_that_ends_engines_after_its_first_event_reaches_few_of_them():
    """Its begin excused it."""
    engines = add_engines(8)

    def begin_and_end(crash, instance, sock, request):
        if b"bad" in request:
            sock.sendall(stream_head() + event(1))
            gevent.sleep(0.05)
        crash(instance, sock, request)

    for engine in engines.values():
        crash = engine._script
        engine._script = lambda *args, crash=crash: begin_and_end(crash, *args)
    entry = Entry(engines, **RESUMABLE_STREAM)
    watch_starts([entry], engines)
    for _ in range(8):
        with contextlib.suppress(ConnectionResetError):
            ask_deadly(entry, prompt(b"aa", b"c1"))
        gevent.sleep(0.25)
    assert count_crashes(engines) <= 4


def test_plain_request_that_ends_instances_reaches_few_of_them():
    engines = add_engines(8)
    script = crash_on(b"bad", ok())
    for engine in engines.values():
        engine._script = crash_plain(engine._script, script)
    entry = Entry(engines, **NON_IDEMPOTENT)
    watch_starts([entry], engines)
    for number in range(8):
        ask_deadly(entry)
        assert ask(entry, b"sound %d" % number).endswith(b"done")
        gevent.sleep(0.1)
    assert count_crashes(engines) <= 4


def crash_plain(crash, answer):
    """Return a script that crashes with `crash` and answers with `answer`."""

    def script(instance, sock, request):
        (crash if b"bad" in request else answer)(instance, sock, request)

    return script


def test_line_of_a_crash_tells_repetitions_of_one_request():
    """They have different ids, so nobody could see that they were one."""
    engines = {name: FakeInstance(crash_on(b"bad")) for name in ("i1", "i2")}
    entry = Entry(engines, **RESUMABLE_STREAM)
    with capture_logs() as lines:
        ask_deadly(entry, prompt(b"aa", b"c1"))
        gevent.sleep(0.3)
    crashes = [x for x in lines if x["event"] == "engine_ended_under_requests"]
    assert len(crashes) == 2
    assert crashes[0]["contents"] == crashes[1]["contents"]
    assert len(crashes[0]["contents"]) == 1
