"""Gates as real processes that are killed, frozen and restarted."""

import json
import signal
import socket
import time
import uuid

import gevent
import pytest
from gevent.server import StreamServer

from bench.layout import Domain
from bench.site import Site
from briarbeam.kernel.errors import ExchangeError, NetworkError
from briarbeam.kernel.network import Address, HttpNetwork, HttpRequest, fetch

DOMAINS = (Domain("hobart", "south", entries=1, engines=1, services=2),)
BURST = 24


@pytest.fixture(scope="module")
def site():
    with Site(DOMAINS) as started:
        started.declare("v1")
        started.wait_for(lambda: started.count_loaded("v1") == 1)
        started.wait_for(lambda: started.count_ready() == len(started.instances))
        yield started


def _send_to_gate(site, instance, path, fields, wait_s=20.0):
    """Send an envelope to a gate and return the reply's status and body."""
    envelope = {
        "request_id": uuid.uuid4().hex,
        "deadline_unix_s": time.time() + wait_s,
        **fields,
    }
    body = json.dumps(envelope).encode()
    request = HttpRequest("POST", path, body, timeout_s=wait_s + 10.0, fresh=True)
    status, _, answer = fetch(site.network, instance.http, request)
    return status, answer


def _generate(site, tokens=4):
    fields = {"model": "chat", "prompt": "p", "max_tokens": tokens}
    try:
        return _send_to_gate(site, site.targets()[0], "/gate/generate", fields)
    except NetworkError:
        return 0, b""


def _call(site, instance, key, wait_s=20.0):
    """Return the outcome of a settlement: ``ok``, or the ``ran`` value of the error."""
    fields = {
        "service": "ledger",
        "method": "POST",
        "path": "settlements",
        "body": key,
        "idempotency_key": key,
    }
    try:
        status, answer = _send_to_gate(site, instance, "/gate/call", fields, wait_s)
    except NetworkError:
        return "unknown"
    return "ok" if status == 200 else json.loads(answer)["error"]["ran"]


def _wait_for_platform(site, instance):
    """Wait until a gate reaches the platform.

    Each attempt uses a new key, because an unknown outcome is permanent for its key.
    """
    outcomes = []

    def reached():
        outcomes.append(_call(site, instance, uuid.uuid4().hex))
        return outcomes[-1] == "ok"

    try:
        site.wait_for(reached)
    except TimeoutError:
        pytest.fail(f"platform was not reached: {outcomes}")


def _count_runs(site, key):
    records = [
        record
        for instance in site.targets("service")
        for record in site.backend_records(instance)
    ]
    return sum(record.get("body") == key for record in records)


def _burst(site):
    gevent.joinall([gevent.spawn(_generate, site) for _ in range(BURST)])


def _warm_up(site):
    def warm():
        _burst(site)
        metrics = site.metrics(site.targets()[0])
        return metrics["briarbeam_admission_limit"] >= 16

    site.wait_for(warm)


def test_engine_restarted_cold_under_a_burst_stays_within_its_limit(site):
    """A restart at any moment of a burst must not leave the warm limit in force."""
    engine = site.targets()[0]
    for pause_s in (0.0, 0.01, 0.03, 0.06, 0.1):
        _warm_up(site)
        burst = gevent.spawn(_burst, site)
        gevent.sleep(pause_s)
        site.ask(engine.backend_address, "POST", "/turn_cold")
        burst.join()
    events = [record["event"] for record in site.backend_records(engine)]
    assert events.count("turned_cold") == 5
    assert events.count("over_limit") == 0
    assert _generate(site)[0] == 200


def test_disconnected_callers_leave_nothing_running(site):
    engine = site.targets()[0]
    body = {"model": "chat", "prompt": "p", "max_tokens": 100_000}
    for number in range(6):
        sock = socket.create_connection(engine.http)
        envelope = {
            **body,
            "request_id": f"gone {number}",
            "deadline_unix_s": time.time() + 600,
        }
        raw = json.dumps(envelope).encode()
        head = f"POST /gate/generate HTTP/1.1\r\nhost: t\r\ncontent-length: {len(raw)}"
        sock.sendall(head.encode() + b"\r\n\r\n" + raw)
        if number % 2:
            sock.recv(100)
        sock.close()
    site.wait_for(
        lambda: (
            site.ask(engine.backend_address, "GET", "/status")["running"] == 0
            and site.metrics(engine)["briarbeam_admission_running"] == 0
        )
    )
    assert _generate(site)[0] == 200
    events = [record["event"] for record in site.backend_records(engine)]
    assert events.count("over_limit") == 0


@pytest.mark.parametrize("mode", ["ok", "lose"])
def test_same_key_at_two_gates_at_once_runs_once(site, mode):
    site.set_faults(site.object_api, mode=mode)
    gates = site.targets("service")
    keys = [f"{mode}-{number}" for number in range(10)]
    try:
        tasks = {
            key: [gevent.spawn(_call, site, gate, key) for gate in gates * 2]
            for key in keys
        }
        gevent.joinall([task for group in tasks.values() for task in group])
    finally:
        site.set_faults(site.object_api, mode="ok")
    for key in keys:
        results = [task.value for task in tasks[key]]
        assert _count_runs(site, key) <= 1
        assert "ok" not in results or _count_runs(site, key) == 1
        assert _count_runs(site, key) == 1 or "no" in results


def test_platform_that_is_out_costs_refusals_and_no_run(site):
    gate = site.targets("service")[0]
    site.set_faults(site.object_api, mode="down")
    try:
        assert _call(site, gate, "while out") == "no"
    finally:
        site.set_faults(site.object_api, mode="ok")
    assert _count_runs(site, "while out") == 0
    site.wait_for(lambda: _call(site, gate, "while out") == "ok")
    assert _count_runs(site, "while out") == 1


def test_gate_frozen_between_claim_and_send_does_not_send_late(site):
    gate = site.targets("service")[0]
    site.set_faults(site.object_api, delay_s=1.0)
    try:
        late = gevent.spawn(_call, site, gate, "frozen", 2.0)
        gevent.sleep(0.4)
        site.signal(gate.name, signal.SIGSTOP)
        gevent.sleep(2.5)
    finally:
        site.signal(gate.name, signal.SIGCONT)
        site.set_faults(site.object_api, delay_s=0.0)
    assert late.get(timeout=30) in ("no", "unknown")
    assert _count_runs(site, "frozen") == 0
    site.wait_for(lambda: _call(site, gate, "frozen") == "ok")
    assert _count_runs(site, "frozen") == 1


def test_gate_killed_after_the_send_leaves_unknown_everywhere(site):
    gate, other = site.targets("service")
    _wait_for_platform(site, other)
    site.set_faults(gate.backend_address, silent=True)
    cut = gevent.spawn(_call, site, gate, "killed")
    site.wait_for(lambda: _count_runs(site, "killed") == 1)
    site.signal(gate.name, signal.SIGKILL)
    assert cut.get(timeout=30) == "unknown"
    site.set_faults(gate.backend_address, silent=False)
    site.start_daemon(gate)
    assert _call(site, other, "killed") == "unknown"
    site.wait_for(lambda: _call(site, gate, "killed") == "unknown")
    assert _count_runs(site, "killed") == 1


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
def test_fresh_request_is_sent_once_whatever_its_method(method):
    """A server that reads a request and closes must not receive it a second time."""
    received = []

    def read_and_close(sock, address):
        received.append(sock.recv(65536))
        sock.close()

    server = StreamServer(("127.0.0.1", 0), read_and_close)
    server.start()
    try:
        address = Address("127.0.0.1", server.server_port)
        request = HttpRequest(method, "/x", b"body", timeout_s=5.0, fresh=True)
        with pytest.raises(ExchangeError):
            HttpNetwork().send(address, request)
        gevent.sleep(0.2)
    finally:
        server.stop()
    assert len(received) == 1
