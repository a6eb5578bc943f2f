"""Claims: how a call with an idempotency key runs at most once over all gates.

Before a call is sent to its service, the gate creates a record under the key in the
platform's object API, on condition that there is none. Whoever creates it may run.
Every write is conditional on the version that was read or written before, so that a
write which lands late lands on nothing. The one exception, a late creation, leaves a
claim of an attempt that is void: the gate that made it never runs it.
"""

import hashlib
import json
import uuid
from collections import OrderedDict
from dataclasses import dataclass, replace

from prometheus_client import Counter, Gauge

from ..kernel.errors import (
    AnswerNotKeptError,
    ConflictError,
    InProgressError,
    InvalidRequestError,
    NotFoundError,
    OutcomeUnknownError,
    PlatformError,
    Ran,
    UnavailableError,
)

CLAIM_KIND_PREFIX = "claim-"
ANSWER_MAX_BYTES = 64 * 1024
CREATE_ATTEMPTS_MAX = 3
PENDING_MAX = 256
VOID_ATTEMPTS_MAX = 4096
LATE_WRITE_MAX_S = 120.0
POLLS_MAX = 2
POLL_INTERVAL_S = 0.1

_CLAIMS = Counter("briarbeam_claims", "Claims by outcome", ["outcome"])
_PENDING = Gauge("briarbeam_claims_pending", "Claims with a write still to be made")


def claim_name(service, team, key):
    """Return the name of the record for an idempotency key of a team."""
    return hashlib.sha256(json.dumps([service, team, key]).encode()).hexdigest()


def claim_kind(name):
    """Return the kind that a claim is kept under: one of 256, so that lists stay small."""
    return CLAIM_KIND_PREFIX + name[:2]


def claim_kinds():
    """Return all kinds that claims are kept under."""
    return [f"{CLAIM_KIND_PREFIX}{number:02x}" for number in range(256)]


@dataclass(frozen=True)
class Claim:
    """A claim that this gate holds.

    :param attempt: the id of the attempt that may run.
    :param call_digest: digest of what runs; a key covers one call only.
    :param created_unix_s: when the attempt began; the retention counts from here.
    :param version: the record's version; None if it is not known.
    """

    name: str
    attempt: str
    call_digest: str
    created_unix_s: float
    version: int | None = None

    def record(self, state="claimed", **more):
        """Return the record's value."""
        return {
            "attempt": self.attempt,
            "call_digest": self.call_digest,
            "created_unix_s": self.created_unix_s,
            "state": state,
            **more,
        }


@dataclass
class _PendingWrite:
    """A write that is still to be made, or whose effect is still to be seen."""

    claim: Claim
    added_s: float
    answer: dict | None = None
    is_release: bool = False


class Claims:
    """The claims made by one gate.

    :param objects: the platform's `ObjectApi`.
    """

    def __init__(self, objects, clock):
        self._objects = objects
        self._clock = clock
        self._running = {}
        self._pending = OrderedDict()
        self._void = OrderedDict()
        _PENDING.set_function(lambda: len(self._pending))

    def acquire(self, name, request_id, call_digest, deadline_s):
        """Claim `name` for an attempt at a request.

        An entry may bring one request to several gates, so each take is an attempt
        with an id of its own.

        :param deadline_s: monotonic time after which no further try is made.
        :returns: the claim if the caller may run now, else the answer of the earlier
            run, a dictionary.
        :raises UnavailableError: if the platform can't be asked; nothing ran.
        :raises InProgressError: if an attempt at this gate is running.
        :raises OutcomeUnknownError: if an earlier attempt may have run.
        """
        attempt = f"{request_id}/{uuid.uuid4().hex}"
        claim = Claim(name, attempt, call_digest, self._clock.now().timestamp())
        if name in self._running:
            self._check_same_call(self._running[name].call_digest, claim)
            raise InProgressError("the same call is running", retry_after_s=1.0)
        pending = self._pending.get(name)
        if pending is not None and not pending.is_release:
            return self._answer_of(claim, pending.claim.record("done"), pending.answer)
        self._running[name] = claim
        try:
            outcome = self._create(claim, deadline_s)
        except BaseException:
            del self._running[name]
            raise
        if isinstance(outcome, Claim):
            self._pending.pop(name, None)
            self._running[name] = outcome
            _CLAIMS.labels("taken").inc()
            return outcome
        del self._running[name]
        return outcome

    def finish(self, claim, answer):
        """Note that the call ran, so that a repeated call gets the same answer.

        The record is written by `flush`; until then this gate answers by itself.
        """
        size_bytes = len(json.dumps(answer).encode())
        kept = answer if size_bytes <= ANSWER_MAX_BYTES else None
        self._forget_running(claim)
        self._add_pending(_PendingWrite(claim, self._clock.monotonic_s(), kept))

    def release(self, claim):
        """Give up a claim under which nothing ran."""
        self._forget_running(claim)
        self._schedule_release(claim)

    def keep_unknown(self, claim):
        """Keep a claim whose outcome is unknown."""
        self._forget_running(claim)
        _CLAIMS.labels("unknown").inc()

    def flush(self, name=None):
        """Try once to make the writes that are pending; return how many are left.

        :param name: the only claim to look at, or None for all.
        """
        for pending in list(self._pending.values()):
            if name is None or pending.claim.name == name:
                self._flush_one(pending)
        return len(self._pending)

    def _flush_one(self, pending):
        try:
            done = (self._delete_void if pending.is_release else self._write_answer)(
                pending
            )
        except PlatformError:
            return
        if done and self._pending.get(pending.claim.name) is pending:
            del self._pending[pending.claim.name]

    def _create(self, claim, deadline_s):
        """Create the record; return the claim held, or an earlier run's answer.

        A try whose effect is unknown is repeated with the same attempt id: at most
        one of the tries can create the record, and reading it back shows whose it is.
        """
        if_version, no_effect, failure = 0, True, None
        for tries in range(CREATE_ATTEMPTS_MAX):
            if tries and self._clock.monotonic_s() >= deadline_s:
                break
            try:
                version = self._put(claim, claim.record(), if_version)
                return replace(claim, version=version)
            except ConflictError as error:
                failure, no_effect = error, False
            except PlatformError as error:
                failure = error
                if error.ran is Ran.NO:
                    break
                no_effect = False
            try:
                found = self._objects.get(claim_kind(claim.name), claim.name)
            except NotFoundError:
                if_version = 0
                continue
            except PlatformError:
                continue
            if found.value["attempt"] == claim.attempt:
                return replace(claim, version=found.version)
            if not self._is_void(found.value):
                return self._earlier_answer(claim, found.value, deadline_s)
            if_version = found.version
        if not no_effect:
            self._schedule_release(claim)
        raise UnavailableError(
            f"no claim could be made: {failure}",
            retry_after_s=failure.retry_after_s or 1.0,
        )

    def _earlier_answer(self, claim, record, deadline_s):
        """Return the answer of an earlier attempt, which may be about to be written."""
        self._check_same_call(record["call_digest"], claim)
        for _ in range(POLLS_MAX):
            now_s = self._clock.monotonic_s()
            if record["state"] == "done" or now_s + POLL_INTERVAL_S >= deadline_s:
                break
            self._clock.sleep(POLL_INTERVAL_S)
            try:
                record = self._objects.get(claim_kind(claim.name), claim.name).value
            except (NotFoundError, PlatformError):
                break
        return self._answer_of(claim, record, record.get("answer"))

    def _schedule_release(self, claim):
        """Note a claim that may still appear, and that nothing will run under it."""
        self._mark_void(claim)
        pending = _PendingWrite(claim, self._clock.monotonic_s(), is_release=True)
        self._add_pending(pending)

    def _put(self, claim, value, if_version):
        return self._objects.put(claim_kind(claim.name), claim.name, value, if_version)

    def _answer_of(self, claim, record, answer):
        self._check_same_call(record["call_digest"], claim)
        if record["state"] != "done":
            raise OutcomeUnknownError("an earlier attempt of this call may have run")
        _CLAIMS.labels("repeated").inc()
        if answer is None:
            raise AnswerNotKeptError("the call has run; its answer was not kept")
        return answer

    def _check_same_call(self, call_digest, claim):
        if call_digest != claim.call_digest:
            raise InvalidRequestError("the idempotency key was used for another call")

    def _write_answer(self, pending):
        """Write that the call ran; return whether nothing is left to do."""
        claim = pending.claim
        value = claim.record("done", answer=pending.answer)
        try:
            self._put(claim, value, claim.version)
            return True
        except ConflictError:
            return self._is_recorded(claim)

    def _is_recorded(self, claim):
        try:
            found = self._objects.get(claim_kind(claim.name), claim.name)
        except NotFoundError:
            return True
        own = found.value["attempt"] == claim.attempt
        return not own or found.value["state"] == "done"

    def _delete_void(self, pending):
        """Delete a claim under which nothing ran; return whether that is over.

        A record that is not there may still be created late, if the effect of its
        creation was unknown; it is looked for until no write can be that late.
        """
        claim = pending.claim
        try:
            found = self._objects.get(claim_kind(claim.name), claim.name)
        except NotFoundError:
            age_s = self._clock.monotonic_s() - pending.added_s
            return claim.version is not None or age_s > LATE_WRITE_MAX_S
        if not self._is_void(found.value):
            return True
        try:
            self._objects.delete(claim_kind(claim.name), claim.name, found.version)
        except ConflictError:
            return False
        return True

    def _is_void(self, record):
        return record["state"] == "claimed" and record["attempt"] in self._void

    def _mark_void(self, claim):
        self._void[claim.attempt] = True
        while len(self._void) > VOID_ATTEMPTS_MAX:
            self._void.popitem(last=False)

    def _add_pending(self, pending):
        self._pending[pending.claim.name] = pending
        while len(self._pending) > PENDING_MAX:
            self._pending.popitem(last=False)
            _CLAIMS.labels("not_settled").inc()

    def _forget_running(self, claim):
        held = self._running.get(claim.name)
        if held is not None and held.attempt == claim.attempt:
            del self._running[claim.name]
