"""The gate's replies, compared with the requests that its backend ran."""

import base64
import json

import gevent
import pytest

from briarbeam.gate.plugin import CONFIRM_TIMEOUT_S
from briarbeam.wire.headers import REQUEST_ID_HEADER

from .gate_fakes import DOMAIN, GateBench, error_of, frames_of
from .test_gate_claims import FakeObjects

KEY = {"idempotency_key": "k"}


def _yield_to_tasks():
    for _ in range(5):
        gevent.sleep(0)


def test_answer_names_its_request_and_its_version():
    bench = GateBench()
    response = bench.generate()
    assert response.headers[REQUEST_ID_HEADER] == "r1"
    assert response.headers["x-briarbeam-version"] == "v1"
    frames = frames_of(response)
    assert [frame.get("index") for frame in frames] == [0, 1, 2, None]
    assert frames[-1]["done"]
    refusal = bench.generate(model="other")
    assert refusal.headers[REQUEST_ID_HEADER] == "r1"
    assert error_of(refusal)["ran"] == "no"


def test_new_gate_refuses_until_its_configuration_is_confirmed():
    """A peer's configuration may be stale, and the failure domain out of service."""
    bench = GateBench()
    bench.configuration.synced = False
    bench.configuration.apply({"service/ledger": {}})
    assert error_of(bench.generate())["code"] == "draining"
    assert bench.ran() == 0
    bench.configuration.synced = True
    bench.gate._tick()
    assert frames_of(bench.generate())[-1]["done"]


def test_unread_answer_releases_its_slot():
    bench = GateBench()
    for _ in range(4):
        bench.generate().body.close()
        _yield_to_tasks()
    assert bench.gate.admission.load().running == 0


def test_slot_is_kept_until_the_engine_has_answered_the_cancel():
    bench = GateBench()
    response = bench.generate()
    frames = iter(response.body)
    next(frames)
    bench.network.cut = ("/cancel",)
    bench.clock.sleep = gevent.sleep
    response.body.close()
    _yield_to_tasks()
    assert bench.gate.admission.load().running == 1
    bench.network.cut = ()
    assert bench.gate.admission.wait_idle(10.0)
    assert not bench.backend._running


def test_unexpected_version_is_refused_before_it_runs():
    bench = GateBench()
    bench.load("v2")
    refusal = bench.generate()
    assert error_of(refusal)["ran"] == "no"
    assert bench.ran() == 0
    bench.gate.probe()
    assert frames_of(bench.generate())[-1]["version"] == "v2"


@pytest.mark.parametrize("field", ["version", "incarnation"])
def test_answer_ends_where_version_or_incarnation_changes(field):
    bench = GateBench()
    response = bench.generate()
    engine_lines = response.body._response.lines

    def lines_with_change():
        for number, line in enumerate(engine_lines()):
            frame = json.loads(line)
            if number == 2:
                frame[field] = "another"
            yield json.dumps(frame).encode()

    response.body._response.lines = lines_with_change
    frames = frames_of(response)
    assert [frame.get("index") for frame in frames[:-1]] == [0]
    assert frames[-1]["error"]["ran"] == "unknown"


def test_stream_without_its_end_frame_is_an_error():
    bench = GateBench()
    bench.backend.faults.break_after = 1
    frames = frames_of(bench.generate())
    assert frames[-1]["error"]["code"] == "outcome_unknown"
    bench.backend.faults.break_after = 0
    bench.gate.probe()
    response = bench.generate(request_id="r2")
    lines = list(response.body._response.lines())
    response.body._response.lines = lambda: iter(lines[:-1])
    frames = frames_of(response)
    assert frames[-1]["error"]["code"] == "outcome_unknown"


def test_deadline_ends_a_running_answer():
    bench = GateBench()
    bench.backend.faults.step_s = 0.02
    bench.clock.sleep = gevent.sleep
    deadline = bench.clock.now().timestamp() + 1.0
    response = bench.generate(max_tokens=100_000, deadline_unix_s=deadline)
    frames = iter(response.body)
    next(frames)
    bench.clock.advance(2.0)
    last = list(frames)[-1]
    response.body.close()
    assert json.loads(last)["error"]["code"] == "deadline_passed"
    assert bench.gate.admission.wait_idle(10.0)


def test_domain_taken_out_of_service_is_refused_at_once():
    bench = GateBench(cold_concurrency=1, warm_concurrency=1)
    running = bench.generate()
    queued = gevent.spawn(bench.generate)
    _yield_to_tasks()
    bench.configuration.apply({f"failure-domain/{DOMAIN}": {"in_service": False}})
    assert error_of(queued.get(timeout=5.0))["code"] == "draining"
    assert error_of(bench.generate())["ran"] == "no"
    assert frames_of(running)[-1]["done"]
    assert bench.ran() == 1
    bench.configuration.apply({})
    assert frames_of(bench.generate())[-1]["done"]


@pytest.mark.parametrize("change", ["domain", "deadline", "stall"])
def test_conditions_are_checked_again_once_connected(change):
    bench = GateBench("service")

    def change_conditions(request):
        if request.path.startswith("/call"):
            if change == "domain":
                out = {f"failure-domain/{DOMAIN}": {"in_service": False}}
                bench.configuration.apply(out)
            else:
                bench.clock.advance(60.0 if change == "deadline" else 5.0)

    bench.network.connecting = change_conditions
    assert error_of(bench.call(**KEY))["ran"] == "no"
    assert bench.ran() == 0


def test_paused_process_serves_after_confirmation():
    bench = GateBench()
    bench.clock.sleep = gevent.sleep
    bench.configuration.reachable = False
    bench.clock.advance(5.0)
    refusal = bench.generate()
    assert error_of(refusal)["code"] == "unconfirmed"
    assert bench.ran() == 0
    _yield_to_tasks()
    bench.gate.probe()
    assert error_of(bench.generate())["ran"] == "no"
    bench.configuration.reachable = True
    for _ in range(100):
        gevent.sleep(0.02)
        if not bench.gate.admission.load().closed_reason:
            break
    assert frames_of(bench.generate())[-1]["done"]


def test_isolated_target_serves_after_the_confirm_timeout():
    bench = GateBench()
    bench.configuration.reachable = False
    bench.clock.advance(5.0)
    bench.gate._tick()
    _yield_to_tasks()
    assert bench.configuration.refreshed == 1
    for _ in range(12):
        bench.clock.advance(CONFIRM_TIMEOUT_S / 10)
        bench.gate._tick()
        gevent.sleep(0.12)
    bench.gate.probe()
    assert frames_of(bench.generate())[-1]["done"]


def test_binary_bodies_are_unchanged_both_ways():
    bench = GateBench("service")
    raw = bytes(range(256))
    encoded = base64.b64encode(raw).decode()
    answer = json.loads(bench.call(path="echo", body_base64=encoded).body)
    assert base64.b64decode(answer["body_base64"]) == raw
    answer = json.loads(bench.call(path="echo", body="täglich").body)
    assert answer["body"] == "täglich"


def test_call_sent_to_two_gates_runs_once():
    objects = FakeObjects()
    gates = [GateBench("service", objects) for _ in range(2)]
    replies = []
    for bench in gates:
        replies.append(bench.call(**KEY))
        _yield_to_tasks()
    assert replies[0].status == 200
    assert replies[1].body == replies[0].body
    assert sum(bench.ran() for bench in gates) == 1


def test_lost_answer_of_the_service_stays_unknown_at_every_gate():
    objects = FakeObjects()
    gates = [GateBench("service", objects) for _ in range(2)]
    gates[0].network.cut = ("/call/settlements",)
    for bench in (gates[0], gates[1], gates[0]):
        assert error_of(bench.call(**KEY))["ran"] == "unknown"
    assert gates[1].ran() == 0


def test_refused_call_leaves_its_key_free_for_another_gate():
    objects = FakeObjects()
    gates = [GateBench("service", objects) for _ in range(2)]
    network = gates[0].network

    def refuse_calls(request):
        network.refused = request.path.startswith("/call")

    network.connecting = refuse_calls
    network.refused = True
    assert error_of(gates[0].call(**KEY))["ran"] == "no"
    assert gates[1].call(**KEY).status == 200


def test_engine_that_restarted_cold_gets_only_the_cold_limit():
    bench = GateBench(warm_concurrency=8)
    for _ in range(8):
        frames_of(bench.generate())
    assert bench.gate.admission.load().limit == 8
    bench.backend.turn_cold(None)
    bench.load("v1")
    streams = []

    def run(number):
        streams.append(bench.generate(request_id=f"burst {number}"))

    burst = [gevent.spawn(run, number) for number in range(8)]
    _yield_to_tasks()
    assert len(streams) == 2
    assert [record["event"] for record in bench.truth.records].count("over_limit") == 0
    while not all(task.dead for task in burst):
        while streams:
            frames_of(streams.pop())
        _yield_to_tasks()
    assert bench.ran() == 16
    assert [record["event"] for record in bench.truth.records].count("over_limit") == 0


def test_new_daemon_waits_for_requests_of_the_previous_one():
    bench = GateBench()
    bench.backend._running = {"old": {}}
    successor = GateBench()
    successor.network._router = bench.backend.router()
    successor.gate._incarnation = None
    successor.gate._inherited_work_until_s = None
    successor.gate.probe()
    assert error_of(successor.generate())["ran"] == "no"
    bench.backend._running.clear()
    successor.gate.probe()
    assert frames_of(successor.generate())[-1]["done"]
