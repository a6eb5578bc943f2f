"""Log lines: bounded, and never in the way of a request."""

import json
import os
import time

import gevent
import pytest
import structlog
from prometheus_client import REGISTRY

from briarbeam.catalog import RequestKind, Service
from briarbeam.relay.errors import MalformedRequestError
from briarbeam.telemetry import decisions
from briarbeam.telemetry.decisions import BufferedOutput

from .relay_fakes import Entry, FakeInstance, ok, read_all, reply


def test_reader_that_stands_still_delays_nobody_and_costs_counted_lines():
    reading, writing = os.pipe()
    output = BufferedOutput(writing)
    started_s = time.monotonic()
    line = "x" * 200 + "\n"
    for _ in range(decisions.BUFFER_MAX_LINES + 1500):
        output.write(line)
    gevent.sleep(0.05)
    for _ in range(decisions.BUFFER_MAX_LINES):
        output.write(line)
    assert time.monotonic() - started_s < 1.0
    text = b""
    while b"lines_dropped" not in text:
        text += os.read(reading, 65536)
        gevent.sleep(0.001)
    dropped = [x for x in text.split(b"\n") if b"lines_dropped" in x][0]
    assert json.loads(dropped)["count"] > 0
    output.close()


@pytest.fixture
def default_logs():
    yield
    structlog.reset_defaults()


@pytest.mark.parametrize("earlier_count", [0, 1])
def test_reader_that_stands_still_loses_whole_lines_and_as_many_as_are_counted(
    default_logs, earlier_count
):
    reading, writing = os.pipe()
    output = decisions.configure_node_logs(BufferedOutput(writing))
    log = structlog.get_logger()
    output._lines.extend([b'{"event":"earlier"}\n'] * earlier_count)
    written = decisions.BUFFER_MAX_LINES + 500
    for number in range(written):
        log.info("line", number=number)
    gevent.sleep(0.05)
    text = b""
    while b'"last"' not in text:
        text += os.read(reading, 65536)
        gevent.sleep(0.001)
        if output._task is None and b'"last"' not in text:
            log.info("last")
    os.close(reading)
    records = [json.loads(line) for line in text.splitlines()]
    kept = [r for r in records if r["event"] == "line"]
    dropped = [r["count"] for r in records if r["event"] == "lines_dropped"]
    assert len(kept) == decisions.BUFFER_MAX_LINES - earlier_count
    assert sum(dropped) == written - len(kept)


def test_lines_of_successes_are_bounded_and_failures_go_first(monkeypatch):
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append(fields)

    entry = Entry({"i1": FakeInstance(reply(ok()))})
    entry.dispatcher._decisions._log = Log()
    monkeypatch.setattr(decisions.time, "monotonic", lambda: 1000.0)
    log = entry.dispatcher._decisions
    taken = [log._allow_line(True) for _ in range(50)]
    assert taken.count(True) == decisions.SUCCESSES_PER_S
    assert log._allow_line(False)


def test_flood_of_malformed_requests_leaves_few_lines_and_those_of_others(monkeypatch):
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append((event, fields))

    entry = Entry({})
    entry.dispatcher._decisions._log = Log()
    monkeypatch.setattr(decisions.time, "monotonic", lambda: 1000.0)
    for _ in range(3 * decisions.MALFORMED_PER_S):
        sock = entry.connect()
        sock.sendall(b"NOT HTTP\r\n\r\n")
        assert b" 400 " in read_all(sock)
    entry.ask()
    events = [event for event, _ in lines]
    assert events.count("request_malformed") == decisions.MALFORMED_PER_S
    assert events[-1] == "request"
    monkeypatch.setattr(decisions.time, "monotonic", lambda: 1001.0)
    entry.dispatcher.note_malformed(MalformedRequestError("x"))
    assert lines[-1][1]["omitted_before"] == 2 * decisions.MALFORMED_PER_S


def test_a_refused_request_leaves_a_line_with_its_cause():
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append((event, fields))

    entry = Entry({})
    entry.dispatcher._decisions._log = Log()
    entry.ask()
    event, fields = lines[0]
    assert event == "request"
    assert fields["request_id"] == "id1"
    assert fields["outcome"] == "no_capacity"
    assert fields["ran"] == "no"
    assert fields["config_version"] == 1 and fields["config_age_s"] == 0.1


def test_line_of_a_request_tells_which_weights_it_was_sent_to_and_until_when():
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append(fields)

    fake = FakeInstance(reply(ok()))
    service = Service("svc", models=("m",))
    entry = Entry({}, service, kind=RequestKind.STREAMING)
    entry.add("i1", fake.address, models={"m": 1})
    entry.dispatcher._decisions._log = Log()
    entry.name_version(2, 6.0)
    entry.ask(headers=b"x-model: m\r\n")
    assert lines[0]["target_version"] == 1
    assert 1.5 < lines[0]["superseded_in_s"] <= 2.0


def test_sends_to_superseded_weights_are_counted_by_the_time_left():
    def counted():
        name = "briarbeam_superseded_send_left_seconds_bucket"
        bounds = ("0.0", "0.35", "1.5", "3.0")
        return [REGISTRY.get_sample_value(name, {"le": bound}) for bound in bounds]

    fake = FakeInstance(reply(ok()))
    service = Service("svc", models=("m",))
    entry = Entry({}, service, kind=RequestKind.STREAMING)
    entry.add("i1", fake.address, models={"m": 1})
    before = counted()
    entry.ask(headers=b"x-model: m\r\n")
    assert counted() == before
    entry.name_version(2, 6.0)
    entry.ask(headers=b"x-model: m\r\n")
    assert [now - then for now, then in zip(counted(), before, strict=True)] == [
        0, 0, 0, 1,
    ]  # fmt: skip
    log = entry.dispatcher._decisions
    log.count_send(-1.0)
    assert [now - then for now, then in zip(counted(), before, strict=True)] == [
        1, 1, 1, 2,
    ]  # fmt: skip


def test_line_tells_the_homes_the_target_and_the_age_a_request_was_sent_by():
    """Incident HOME: no line told where a request was allowed to go, or where it went."""
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append(fields)

    entry = Entry(
        {"i1": FakeInstance(reply(ok()))}, allowed_regions=frozenset({"r1", "r3"})
    )
    entry.age_s = 0.25
    entry.dispatcher._decisions._log = Log()
    entry.ask()
    told = lines[-1]
    assert told["homes"] == ["r1", "r3"]
    assert (told["target"], told["target_domain"]) == ("i1", "z1")
    assert told["sent_state_age_s"] == 0.25
