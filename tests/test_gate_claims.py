"""A call with a key runs at most once across all gates, and "not run" is true."""

import json

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from briarbeam.gate.claims import (
    ANSWER_MAX_BYTES,
    LATE_WRITE_MAX_S,
    Claim,
    Claims,
    claim_kind,
)
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import (
    AnswerNotKeptError,
    BriarbeamError,
    ConflictError,
    InvalidRequestError,
    NotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    PlatformUnknownError,
    Ran,
    UnavailableError,
)
from briarbeam.objects.client import StoredObject

DIGEST = "digest of the call"
LONG_S = 1e9
MODES = ("ok", "down", "lost before", "lost after", "late")


class FakeObjects:
    """A fake object API whose calls may fail before or after their effect, or late.

    ``plan`` has the modes of the next calls; the mode is "ok" once the plan is used up.
    ``before_write`` is called once, before the next write. ``calls`` counts the calls.
    """

    def __init__(self):
        self.plan = []
        self.late_writes = []
        self.before_write = None
        self.calls = 0
        self._records = {}
        self._revision = 0

    def get(self, kind, name):
        if self._next_mode() != "ok":
            raise PlatformUnavailableError("no answer")
        if name not in self._records:
            raise NotFoundError(name)
        version, value = self._records[name]
        return StoredObject(kind, name, version, json.loads(value))

    def put(self, kind, name, value, if_version=None):
        text = json.dumps(value)
        return self._write(lambda: self._put(name, text, if_version))

    def delete(self, kind, name, if_version=None):
        self._write(lambda: self._delete(name, if_version))

    def apply_late_write(self, index=0):
        """Apply a write of mode "late" now."""
        write = self.late_writes.pop(index % len(self.late_writes))
        try:
            write()
        except ConflictError:
            return

    def _write(self, write):
        before, self.before_write = self.before_write, None
        if before is not None:
            before()
        mode = self._next_mode()
        if mode == "down":
            raise PlatformUnavailableError("down")
        if mode == "lost before":
            raise PlatformUnknownError("lost before the effect")
        if mode == "late":
            self.late_writes.append(write)
            raise PlatformUnknownError("still in transit")
        result = write()
        if mode == "lost after":
            raise PlatformUnknownError("lost after the effect")
        return result

    def _next_mode(self):
        self.calls += 1
        return self.plan.pop(0) if self.plan else "ok"

    def _check(self, name, if_version):
        version = self._records.get(name, (0, None))[0]
        if if_version is not None and version != if_version:
            raise ConflictError(f"version {version}")

    def _put(self, name, text, if_version):
        self._check(name, if_version)
        self._revision += 1
        self._records[name] = (self._revision, text)
        return self._revision

    def _delete(self, name, if_version):
        self._check(name, if_version)
        self._records.pop(name, None)


class ClaimsMachine(RuleBasedStateMachine):
    """Two gates get the same keys; writes are lost, late or refused; gates crash."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.objects = FakeObjects()
        self.gates = [Claims(self.objects, self.clock) for _ in range(2)]
        self.running = []
        self.ran = {"k1": 0, "k2": 0}
        self.attempts = 0

    @rule(
        gate=st.integers(0, 1),
        key=st.sampled_from(["k1", "k2"]),
        plan=st.lists(st.sampled_from(MODES), max_size=6),
    )
    def acquire(self, gate, key, plan):
        self.attempts += 1
        self.objects.plan = list(plan)
        try:
            outcome = self.gates[gate].acquire(key, f"a{self.attempts}", DIGEST, LONG_S)
        except OutcomeUnknownError:
            assert self.attempts > 1
        except BriarbeamError:
            pass
        else:
            if isinstance(outcome, Claim):
                self.running.append((gate, key, outcome))
            else:
                assert self.ran[key] == 1
                assert outcome == {"answer of": key}
        self.objects.plan = []

    @precondition(lambda self: self.running)
    @rule(
        index=st.integers(0, 9),
        end=st.sampled_from(["ran", "ran", "not run", "answer lost", "gate died"]),
        plan=st.lists(st.sampled_from(MODES), max_size=4),
    )
    def end(self, index, end, plan):
        gate, key, claim = self.running.pop(index % len(self.running))
        claims = self.gates[gate]
        self.objects.plan = list(plan)
        if end != "not run":
            self.ran[key] += 1
        if end == "ran":
            claims.finish(claim, {"answer of": key})
        elif end == "not run":
            claims.release(claim)
        elif end == "answer lost":
            claims.keep_unknown(claim)
        else:
            self._replace(gate)
        claims.flush(key)
        self.objects.plan = []

    @rule(gate=st.integers(0, 1), plan=st.lists(st.sampled_from(MODES), max_size=4))
    def flush(self, gate, plan):
        self.objects.plan = list(plan)
        self.gates[gate].flush()
        self.objects.plan = []

    @precondition(lambda self: self.objects.late_writes)
    @rule(index=st.integers(0, 9))
    def apply_late(self, index):
        self.objects.apply_late_write(index)

    @rule(duration_s=st.sampled_from([1.0, LATE_WRITE_MAX_S + 1]))
    def wait(self, duration_s):
        """Advance the clock; no write is in transit for longer than the bound."""
        if duration_s > LATE_WRITE_MAX_S:
            while self.objects.late_writes:
                self.objects.apply_late_write()
        self.clock.advance(duration_s)

    @invariant()
    def runs_at_most_once(self):
        for key, count in self.ran.items():
            running = sum(its_key == key for _, its_key, _ in self.running)
            assert count + running <= 1

    def _replace(self, gate):
        """Restart the gate without its state; its running calls may have run."""
        self.gates[gate] = Claims(self.objects, self.clock)
        kept = []
        for item in self.running:
            if item[0] == gate:
                self.ran[item[1]] += 1
            else:
                kept.append(item)
        self.running = kept


ClaimsMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
TestClaims = ClaimsMachine.TestCase


def _two_gates():
    clock = ManualClock()
    objects = FakeObjects()
    return clock, objects, Claims(objects, clock), Claims(objects, clock)


def _outcome_of(gate, attempt, call_digest=DIGEST):
    try:
        return gate.acquire("k", attempt, call_digest, LONG_S)
    except BriarbeamError as error:
        return error


def test_lost_answer_of_the_claim_is_resolved_by_reading_back():
    for mode in ("lost before", "lost after", "late"):
        _, objects, gate, other = _two_gates()
        objects.plan = [mode]
        assert isinstance(gate.acquire("k", "a", DIGEST, LONG_S), Claim)
        assert isinstance(_outcome_of(other, "b"), OutcomeUnknownError)


def test_released_claim_frees_the_key_at_both_gates():
    _, _, gate, other = _two_gates()
    gate.release(gate.acquire("k", "a", DIGEST, LONG_S))
    gate.flush()
    assert isinstance(_outcome_of(other, "b"), Claim)


def test_claim_that_could_not_be_released_is_taken_over_by_its_gate():
    _, objects, gate, other = _two_gates()
    claim = gate.acquire("k", "a", DIGEST, LONG_S)
    gate.release(claim)
    objects.plan = ["late"] * 2
    objects.plan.insert(0, "ok")
    gate.flush()
    assert len(objects.late_writes) == 1
    assert isinstance(_outcome_of(other, "b"), OutcomeUnknownError)
    assert isinstance(_outcome_of(gate, "c"), Claim)
    objects.apply_late_write()
    assert isinstance(_outcome_of(other, "d"), OutcomeUnknownError)


def test_late_creation_is_void_and_deleted():
    _, objects, gate, other = _two_gates()
    objects.plan = ["late", "ok"] + ["lost before", "ok"] * 2
    refusal = _outcome_of(gate, "a")
    assert isinstance(refusal, UnavailableError)
    assert refusal.ran is Ran.NO
    objects.apply_late_write()
    assert isinstance(_outcome_of(other, "b"), OutcomeUnknownError)
    assert gate.flush() == 0
    assert isinstance(_outcome_of(other, "c"), Claim)


def test_void_claim_that_another_gate_gets_first_is_not_taken_over():
    _, objects, gate, other = _two_gates()
    gate.release(gate.acquire("k", "a", DIGEST, LONG_S))

    def lose_the_race():
        objects.before_write = race

    def race():
        gate.flush()
        assert isinstance(_outcome_of(other, "b"), Claim)

    objects.before_write = lose_the_race
    assert isinstance(_outcome_of(gate, "c"), OutcomeUnknownError)


def test_answer_is_repeated_while_the_platform_is_down():
    _, objects, gate, other = _two_gates()
    claim = gate.acquire("k", "a", DIGEST, LONG_S)
    gate.finish(claim, {"status": 200})
    objects.plan = ["down"]
    assert gate.flush() == 1
    objects.plan = ["down"] * 3
    assert _outcome_of(gate, "b") == {"status": 200}
    assert isinstance(_outcome_of(gate, "b", "other call"), InvalidRequestError)
    objects.plan = []
    assert gate.flush() == 0
    assert _outcome_of(other, "c") == {"status": 200}


def test_large_answer_is_recorded_as_run():
    _, _, gate, other = _two_gates()
    claim = gate.acquire("k", "a", DIGEST, LONG_S)
    gate.finish(claim, {"body": "x" * ANSWER_MAX_BYTES})
    gate.flush()
    for claims in (gate, other):
        refusal = _outcome_of(claims, "b")
        assert isinstance(refusal, AnswerNotKeptError)
        assert refusal.ran is Ran.YES


def test_second_attempt_at_the_running_gate_has_unknown_outcome():
    _, objects, gate, _ = _two_gates()
    gate.acquire("k", "a", DIGEST, LONG_S)
    calls = objects.calls
    assert _outcome_of(gate, "b").ran is Ran.UNKNOWN
    assert objects.calls == calls


def test_record_outlives_its_gate():
    clock, objects, gate, _ = _two_gates()
    gate.acquire("k", "a", DIGEST, LONG_S)
    successor = Claims(objects, clock)
    assert isinstance(_outcome_of(successor, "a"), OutcomeUnknownError)
    assert objects.get(claim_kind("k"), "k").value["state"] == "claimed"
