"""Tests of log lines: their rate is limited, and they never delay a request."""

import json
import os
import time

import gevent
import pytest
import structlog
from prometheus_client import REGISTRY

from briarbeam.catalog import RequestKind, Service
from briarbeam.relay.errors import MalformedRequestError
from briarbeam.telemetry import request_log
from briarbeam.telemetry.request_log import BufferedOutput

from .relay_fakes import Entry, FakeInstance, ok, read_all, reply


def test_blocked_reader_delays_no_writer_and_dropped_lines_are_counted():
    reading, writing = os.pipe()
    output = BufferedOutput(writing)
    started_s = time.monotonic()
    line = "x" * 200 + "\n"
    for _ in range(request_log.BUFFER_MAX_LINES + 1500):
        output.write(line)
    gevent.sleep(0.05)
    for _ in range(request_log.BUFFER_MAX_LINES):
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
def test_blocked_reader_loses_complete_lines_and_their_count_is_exact(
    default_logs, earlier_count
):
    reading, writing = os.pipe()
    output = request_log.configure_node_logs(BufferedOutput(writing))
    log = structlog.get_logger()
    output._lines.extend([b'{"event":"earlier"}\n'] * earlier_count)
    written = request_log.BUFFER_MAX_LINES + 500
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
    assert len(kept) == request_log.BUFFER_MAX_LINES - earlier_count
    assert sum(dropped) == written - len(kept)


def test_lines_of_successes_are_rate_limited_and_failures_have_priority(monkeypatch):
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append(fields)

    entry = Entry({"i1": FakeInstance(reply(ok()))})
    entry.dispatcher._request_log._log = Log()
    monkeypatch.setattr(request_log.time, "monotonic", lambda: 1000.0)
    log = entry.dispatcher._request_log
    allowed = [log._allow_line(True) for _ in range(50)]
    assert allowed.count(True) == request_log.SUCCESSES_PER_S
    assert log._allow_line(False)


def test_flood_of_malformed_requests_leaves_few_lines_and_suppresses_no_others(
    monkeypatch,
):
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append((event, fields))

    entry = Entry({})
    entry.dispatcher._request_log._log = Log()
    monkeypatch.setattr(request_log.time, "monotonic", lambda: 1000.0)
    for _ in range(3 * request_log.MALFORMED_PER_S):
        sock = entry.connect()
        sock.sendall(b"NOT HTTP\r\n\r\n")
        assert b" 400 " in read_all(sock)
    entry.ask()
    events = [event for event, _ in lines]
    assert events.count("request_malformed") == request_log.MALFORMED_PER_S
    assert events[-1] == "request"
    monkeypatch.setattr(request_log.time, "monotonic", lambda: 1001.0)
    entry.dispatcher.log_malformed(MalformedRequestError("x"))
    assert lines[-1][1]["omitted_before"] == 2 * request_log.MALFORMED_PER_S


def test_refused_request_is_logged_with_its_cause():
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append((event, fields))

    entry = Entry({})
    entry.dispatcher._request_log._log = Log()
    entry.ask()
    event, fields = lines[0]
    assert event == "request"
    assert fields["request_id"] == "id1"
    assert fields["outcome"] == "no_capacity"
    assert fields["ran"] == "no"
    assert fields["config_version"] == 1 and fields["config_age_s"] == 0.1


def test_request_line_has_the_weights_version_and_the_time_left():
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append(fields)

    fake = FakeInstance(reply(ok()))
    service = Service("svc", models=("m",))
    entry = Entry({}, service, kind=RequestKind.STREAMING)
    entry.add("i1", fake.address, models={"m": 1})
    entry.dispatcher._request_log._log = Log()
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
    log = entry.dispatcher._request_log
    log.count_send(-1.0)
    assert [now - then for now, then in zip(counted(), before, strict=True)] == [
        1, 1, 1, 2,
    ]  # fmt: skip


def test_request_line_has_the_allowed_regions_the_target_and_the_state_age():
    """In incident HOME no line had the allowed regions of a request, or its target."""
    lines = []

    class Log:
        def info(self, event, **fields):
            lines.append(fields)

    entry = Entry(
        {"i1": FakeInstance(reply(ok()))}, allowed_regions=frozenset({"r1", "r3"})
    )
    entry.age_s = 0.25
    entry.dispatcher._request_log._log = Log()
    entry.ask()
    line = lines[-1]
    assert line["homes"] == ["r1", "r3"]
    assert (line["target"], line["target_domain"]) == ("i1", "z1")
    assert line["sent_state_age_s"] == 0.25
