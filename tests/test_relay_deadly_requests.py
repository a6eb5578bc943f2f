"""Requests that end engines, whatever their prompts: how few engines end."""

import gevent
from structlog.testing import capture_logs

from .relay_fakes import RESUMABLE_STREAM, Entry, FakeInstance, crash_on, prompt

DEADLY = b"bad-request"


def ask_deadly(entry, headers=b""):
    """Send the deadly request once more, in which the engines find ``bad``."""
    return entry.ask(b"/a/bad", method=b"POST", body=DEADLY, headers=headers)


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
