"""The entry with real targets, one of them frozen, and callers that disconnect."""

import json
import signal
import socket
import time
import uuid

import pytest

from bench.callers import Callers
from bench.layout import Domain
from bench.site import Site
from briarbeam.kernel.network import HttpRequest

DOMAINS = (Domain("hobart", "south", entries=1, engines=2),)
LONG_ANSWER_TOKENS = 100_000


@pytest.fixture(scope="module")
def site():
    with Site(DOMAINS) as started:
        started.declare("v1", size_bytes=100_000)
        started.wait_for(lambda: started.count_loaded("v1") == 2)
        started.wait_for(lambda: started.count_ready() == len(started.instances))
        yield started


def _count_running(site):
    return sum(
        site.ask(engine.backend_address, "GET", "/status")["running"]
        for engine in site.targets()
    )


@pytest.mark.parametrize("stream", [True, False])
def test_disconnected_caller_cancels_the_request_at_the_engine(site, stream):
    body = {
        "model": "chat",
        "prompt": "p",
        "max_tokens": LONG_ANSWER_TOKENS,
        "stream": stream,
    }
    data = json.dumps(body).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\n"
        f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
    )
    with socket.create_connection(site.entries()[0].http) as caller:
        caller.sendall(head.encode() + data)
        site.wait_for(lambda: _count_running(site) == 1)
    site.wait_for(lambda: _count_running(site) == 0, timeout_s=10.0)


def test_full_gate_refuses_at_once_a_request_that_may_not_wait(site):
    """Otherwise, the entry could not try another target that has a free slot."""
    target = site.targets()[1]
    envelope = {"model": "chat", "prompt": "p", "max_tokens": LONG_ANSWER_TOKENS}
    envelope["deadline_unix_s"] = time.time() + 60.0
    running = []

    def send(**fields):
        body = {**envelope, "request_id": uuid.uuid4().hex, **fields}
        data = json.dumps(body).encode()
        request = HttpRequest("POST", "/gate/generate", data, timeout_s=30.0)
        return site.network.send(target.http, request)

    try:
        while (reply := send(may_wait=False)).status == 200:
            running.append(reply)
        refusal = json.loads(reply.read())["error"]
        assert (refusal["code"], refusal["ran"]) == ("no_place", "no")
        assert 2 <= len(running) <= 16
    finally:
        for reply in running:
            reply.close()
    site.wait_for(lambda: _count_running(site) == 0, timeout_s=10.0)


def test_frozen_target_loses_no_answer(site):
    callers = Callers(site, rate_per_s=1)
    frozen = site.targets()[0]
    site.signal(frozen.name, signal.SIGSTOP)
    try:
        for number in range(10):
            outcome = callers.complete(site.entries()[0], f"prompt {number}")
            assert (outcome.result, outcome.code) == ("ok", "")
            assert outcome.target != frozen.name
    finally:
        site.signal(frozen.name, signal.SIGCONT)
    metrics = site.metrics(site.entries()[0])
    assert metrics.get('briarbeam_attempts_total{result="exchange"}', 0) <= 3
