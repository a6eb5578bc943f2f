"""Changeovers of engines: fencing, waves, permits and the state after failures."""

from types import SimpleNamespace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarbeam.configuration.resources import RolloutSpec
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import (
    ChangeoverFailedError,
    NotIdleError,
    OrderError,
    OrderUnansweredError,
    OrderUnderWayError,
    PlatformUnavailableError,
    RolloutStoppedError,
    SupersededError,
    WaitingForPermitError,
)
from briarbeam.weights.fence import FENCE_MAX_AGE_S
from briarbeam.weights.waves import PERMIT_KIND, Permits, Wave

from .changeover_fakes import (
    ADAPTER,
    DIGEST,
    EXPIRY_S,
    ORDER_TIMEOUT_S,
    STALL_TIMEOUT_S,
    Bench,
    Objects,
    new_reconciler,
)


def test_order_is_read_back_and_settled():
    bench = Bench()
    bench.run()
    assert bench.gate.loaded_versions == {"chat": "v2"}
    assert not bench.gate.closed
    assert bench.objects.get("fence", "t").value["settled"]


def test_fencing_numbers_increase_across_daemons_and_lost_replies():
    bench = Bench()
    bench.objects.mode = "lose"
    numbers = [bench.fences.allocate().number, bench.fences.allocate().number]
    bench.objects.mode = "ok"
    bench.fences.mark_settled(bench.fences.allocate())
    numbers.append(bench.new_fences().allocate().number)
    assert numbers == [1, 2, 4]


def test_new_daemon_waits_for_the_order_timeout_of_its_predecessor():
    bench = Bench()
    bench.fences.allocate()
    successor = bench.new_fences()
    with pytest.raises(OrderUnderWayError):
        bench.run(fences=successor)
    bench.clock.advance(ORDER_TIMEOUT_S - 1)
    with pytest.raises(OrderUnderWayError):
        bench.run(fences=successor)
    assert not bench.engine.orders
    bench.clock.advance(1)
    bench.run(fences=successor)
    assert bench.gate.loaded_versions == {"chat": "v2"}


@pytest.mark.parametrize("pause", ["advance", "suspend"])
def test_paused_daemon_does_not_send_the_order_it_had_prepared(pause):
    bench = Bench()
    allocate = bench.fences.allocate

    def allocate_and_freeze():
        fence = allocate()
        getattr(bench.clock, pause)(FENCE_MAX_AGE_S + 1)
        return fence

    bench.fences.allocate = allocate_and_freeze
    with pytest.raises(OrderError):
        bench.run()
    assert not bench.engine.orders
    assert not bench.gate.closed


def test_gate_stays_closed_for_the_order_timeout_after_a_lost_reply():
    """Guards against requests to an engine that executes the order late."""
    bench = Bench()
    bench.engine.fault = "lost"
    closed = []
    sleep = bench.clock.sleep
    bench.clock.sleep = lambda s: (closed.append(set(bench.gate.closed)), sleep(s))
    with pytest.raises(OrderUnansweredError):
        bench.run()
    assert bench.clock.monotonic_s() >= ORDER_TIMEOUT_S
    assert closed
    assert all(reasons == {"changing"} for reasons in closed)
    bench.run()
    gaps = bench.engine.orders[1][0] - bench.engine.orders[0][0]
    assert gaps >= ORDER_TIMEOUT_S


@pytest.mark.parametrize("fault", ["refused", "crashes"])
def test_gate_does_not_reopen_on_a_version_that_was_not_read_back(fault):
    bench = Bench()
    bench.engine.fault = fault
    with pytest.raises(ChangeoverFailedError):
        bench.run()
    if fault == "crashes":
        assert bench.gate.closed == {"backend"}
    else:
        assert bench.gate.loaded_versions == {"chat": "v1"}
        assert not bench.gate.closed


def test_superseded_version_is_not_ordered():
    bench = Bench()
    bench.wanted = "v3"
    with pytest.raises(SupersededError):
        bench.run("v2")
    assert not bench.engine.orders
    assert not bench.gate.closed


def test_no_order_while_the_platform_is_down():
    bench = Bench()
    bench.objects.mode = "down"
    with pytest.raises(PlatformUnavailableError):
        bench.run()
    assert not bench.engine.orders
    assert not bench.gate.closed


TARGETS = {"x": {f"x{n}" for n in range(4)}, "y": {f"y{n}" for n in range(5)}}


def _wave(generation=1, **spec):
    return Wave("chat", generation, RolloutSpec(version="v2", **spec), TARGETS)


def _permits(clock, objects, name):
    instance = SimpleNamespace(name=name, failure_domain=name[0])
    return Permits(clock, objects, instance, EXPIRY_S, STALL_TIMEOUT_S)


class Waves(RuleBasedStateMachine):
    """Targets take and release permits in any order, and some die as holders."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.objects = Objects()
        names = sorted(TARGETS["x"] | TARGETS["y"])
        self.permits = {n: _permits(self.clock, self.objects, n) for n in names}
        self.wave = _wave()
        self.holders = {}
        self.changed = set()

    @rule(name=st.sampled_from(sorted(TARGETS["x"] | TARGETS["y"])))
    def take(self, name):
        if name in self.changed or name in self.holders:
            return
        try:
            self.permits[name].take(self.wave)
        except (WaitingForPermitError, PlatformUnavailableError):
            return
        assert self.objects.mode == "ok"
        self.holders[name] = self.clock.monotonic_s()

    @rule()
    def release(self):
        if self.holders and self.objects.mode == "ok":
            name = min(self.holders)
            del self.holders[name]
            self.permits[name].release(self.wave, changed=True)
            self.changed.add(name)

    @rule(mode=st.sampled_from(["ok", "ok", "down"]))
    def platform(self, mode):
        self.objects.mode = mode

    @rule(duration_s=st.sampled_from([0.5, 5.0, 20.0]))
    def wait(self, duration_s):
        self.clock.advance(duration_s)

    @invariant()
    def floor_is_kept(self):
        now_s = self.clock.monotonic_s()
        for domain, names in TARGETS.items():
            away = [
                name
                for name, since_s in self.holders.items()
                if name in names and now_s - since_s < EXPIRY_S
            ]
            assert len(away) <= self.wave.limit(domain)

    @invariant()
    def first_target_goes_alone(self):
        fresh = [
            name
            for name, since_s in self.holders.items()
            if self.clock.monotonic_s() - since_s < STALL_TIMEOUT_S
        ]
        assert self.changed or len(fresh) <= 1

    def teardown(self):
        """Check that the wave ends, whatever happened before."""
        self.objects.mode = "ok"
        self.holders.clear()
        for _ in range(60):
            self.clock.advance(STALL_TIMEOUT_S)
            for name in self.permits:
                self.take(name)
            self.release()
        assert self.changed | set(self.holders) == TARGETS["x"] | TARGETS["y"]


TestWaves = Waves.TestCase
TestWaves.settings = settings(max_examples=40, stateful_step_count=40)


def test_first_domain_that_resumes_after_a_stall_does_not_join_the_first_change():
    """One target of each failure domain changed before any had shown the version."""
    clock, objects = ManualClock(), Objects()
    wave = _wave()
    first, other = (sorted(TARGETS[domain])[0] for domain in wave.domains)
    one, two = (_permits(clock, objects, name) for name in (first, other))
    with pytest.raises(WaitingForPermitError):
        two.take(wave)
    clock.advance(STALL_TIMEOUT_S)
    two.take(wave)
    with pytest.raises(WaitingForPermitError, match=f"{other} of {other[0]}"):
        one.take(wave)
    two.release(wave, changed=True)
    one.take(wave)


def test_failed_changeover_stops_the_rollout_until_it_is_resumed():
    clock, objects = ManualClock(), Objects()
    first = _wave().domains[0]
    one, two = (_permits(clock, objects, name) for name in sorted(TARGETS[first])[:2])
    one.take(_wave())
    one.record_failure(_wave(), "bad weights")
    one.release(_wave(), changed=False)
    with pytest.raises(RolloutStoppedError, match="bad weights"):
        two.take(_wave())
    two.take(_wave(generation=2, attempt=1))


def test_paused_and_older_rollouts_get_no_permit():
    clock, objects = ManualClock(), Objects()
    name = f"{_wave().domains[0]}0"
    permits = _permits(clock, objects, name)
    with pytest.raises(RolloutStoppedError):
        permits.take(_wave(paused=True))
    objects.put(
        PERMIT_KIND,
        f"chat.{name[0]}",
        {"generation": 5, "target_version": "v3", "holders": {}, "changed": []},
    )
    with pytest.raises(WaitingForPermitError):
        permits.take(_wave(generation=4))


def test_permit_of_a_dead_holder_expires():
    clock, objects = ManualClock(), Objects()
    first = _wave().domains[0]
    one, two = (_permits(clock, objects, name) for name in sorted(TARGETS[first])[:2])
    one.take(_wave())
    with pytest.raises(WaitingForPermitError):
        two.take(_wave())
    clock.advance(EXPIRY_S + 1)
    two.take(_wave())


def test_adapter_is_ordered_only_onto_the_exact_version_of_its_base():
    bench = Bench()
    reconciler = new_reconciler(bench, "v2", {ADAPTER: "a1"})
    reconciler.reconcile_once()
    assert not bench.engine.orders
    assert reconciler.reasons[ADAPTER].startswith("base_version")
    reconciler = new_reconciler(bench, "v2", {"chat": "v2", ADAPTER: "a1"})
    reconciler.reconcile_once()
    assert bench.gate.loaded_versions == {"chat": "v2", ADAPTER: "a1"}


def test_adapter_that_the_engine_lost_is_ordered_again():
    bench = Bench()
    reconciler = new_reconciler(bench, "v2", {"chat": "v2", ADAPTER: "a1"})
    reconciler.reconcile_once()
    bench.engine.loaded = {"chat": "v2"}
    bench.gate.probe()
    reconciler.reconcile_once()
    assert bench.gate.loaded_versions == {"chat": "v2", ADAPTER: "a1"}


def test_reconciler_gives_the_digest_of_a_changeover_in_progress():
    """Guards against evicting weights that the engine is still reading."""
    bench = Bench()
    reconciler = new_reconciler(bench, None, {"chat": "v2"})
    digests = []
    order = bench.gate.backend.order

    def record_and_order(body, timeout_s):
        digests.append(reconciler.changing_digest)
        return order(body, timeout_s)

    bench.gate.backend.order = record_and_order
    reconciler.reconcile_once()
    assert digests == [DIGEST]
    assert reconciler.changing_digest is None


def test_serving_target_changes_nothing_while_the_platform_is_down():
    bench = Bench()
    reconciler = new_reconciler(bench, None, {"chat": "v2"})
    bench.objects.mode = "down"
    reconciler.reconcile_once()
    assert not bench.engine.orders
    assert reconciler.reasons["chat"].startswith("platform_unavailable")
    assert not bench.gate.closed
    bench.objects.mode = "ok"
    bench.clock.advance(5)
    reconciler.reconcile_once()
    assert bench.gate.loaded_versions == {"chat": "v2"}


def test_nothing_is_ordered_while_requests_run():
    bench = Bench()
    bench.gate.idle = False
    with pytest.raises(NotIdleError):
        bench.run()
    assert not bench.engine.orders
    assert not bench.gate.closed
