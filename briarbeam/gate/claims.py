"""Claims ensure that a call with an idempotency key runs at most once across all gates.

Before a call is sent to its service, the gate creates a record for the key in the
platform's object API, on condition that none exists. Only the attempt that created the
record may run. Every write is conditional on the version read or written before, so a
delayed write cannot overwrite a newer one. However, a creation that is delayed may take
effect after its gate has given up the attempt. Such an attempt is void: the gate never
runs it, and deletes its record if that appears within `LATE_WRITE_MAX_S`.
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
CREATE_TRIES_MAX = 3
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
    """Return the kind of a claim's record, one of 256, so that lists stay short."""
    return CLAIM_KIND_PREFIX + name[:2]


def claim_kinds():
    """Return all kinds that records of claims can have."""
    return [f"{CLAIM_KIND_PREFIX}{number:02x}" for number in range(256)]


@dataclass(frozen=True)
class Claim:
    """A claim held by this gate.

    :param attempt: the id of the attempt that may run.
    :param call_digest: digest of the call; a key is valid for one call only.
    :param created_unix_s: when the attempt began, which is the start of the retention.
    :param version: version of the record, or None if unknown.
    """

    name: str
    attempt: str
    call_digest: str
    created_unix_s: float
    version: int | None = None

    def record_value(self, state="claimed", **more):
        """Return the value of the record in the given state."""
        return {
            "attempt": self.attempt,
            "call_digest": self.call_digest,
            "created_unix_s": self.created_unix_s,
            "state": state,
            **more,
        }


@dataclass
class _PendingWrite:
    """A write that has not been made yet, or whose effect is not confirmed yet.

    :param added_s: monotonic time at which it was added.
    :param answer: the answer to write, or None if it is too large to be kept.
    :param is_release: whether to delete the record rather than to write the answer.
    """

    claim: Claim
    added_s: float
    answer: dict | None = None
    is_release: bool = False


class Claims:
    """Acquires and releases the claims of one gate.

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
        """Claim `name` for a new attempt of a request.

        An entry may send one request to several gates, so each call of this method
        creates an attempt with its own id.

        :param deadline_s: monotonic time after which creation is not retried.
        :returns: a `Claim` if the call may run now, or the answer of the earlier run,
            as a dictionary.
        :raises UnavailableError: if the claim could not be created; nothing ran.
        :raises InProgressError: if an attempt is running at this gate.
        :raises OutcomeUnknownError: if an earlier attempt may have run.
        :raises AnswerNotKeptError: if an earlier attempt ran, but its answer was too
            large to be kept.
        :raises InvalidRequestError: if the key was used for a different call.
        """
        attempt = f"{request_id}/{uuid.uuid4().hex}"
        claim = Claim(name, attempt, call_digest, self._clock.now().timestamp())
        if name in self._running:
            self._check_same_call(self._running[name].call_digest, claim)
            raise InProgressError("the same call is running", retry_after_s=1.0)
        pending = self._pending.get(name)
        if pending is not None and not pending.is_release:
            return self._answer_of(
                claim, pending.claim.record_value("done"), pending.answer
            )
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
        """Record that the call ran, so that a repeated call gets the same answer.

        `flush` writes the record; until then, this gate answers from memory.
        """
        size_bytes = len(json.dumps(answer).encode())
        kept = answer if size_bytes <= ANSWER_MAX_BYTES else None
        self._remove_running(claim)
        self._add_pending(_PendingWrite(claim, self._clock.monotonic_s(), kept))

    def release(self, claim):
        """Release a claim whose call did not run."""
        self._remove_running(claim)
        self._schedule_release(claim)

    def keep_unknown(self, claim):
        """Keep a claim whose call may have run, so that no other attempt runs."""
        self._remove_running(claim)
        _CLAIMS.labels("unknown").inc()

    def flush(self, name=None):
        """Try each pending write once and return how many remain pending.

        :param name: the name of the only claim to write, or None for all.
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
        """Create the record; return the claim held, or the answer of an earlier run.

        A creation with an unknown effect is retried with the same attempt id. At most
        one of the tries can create the record, and reading it back shows which attempt
        it belongs to.
        """
        if_version, no_effect, failure = 0, True, None
        for tries in range(CREATE_TRIES_MAX):
            if tries and self._clock.monotonic_s() >= deadline_s:
                break
            try:
                version = self._put(claim, claim.record_value(), if_version)
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
            f"claim could not be created: {failure}",
            retry_after_s=failure.retry_after_s or 1.0,
        )

    def _earlier_answer(self, claim, record, deadline_s):
        """Return the answer of an earlier attempt; wait briefly until it is written."""
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
        """Mark the attempt as void, and schedule the deletion of its record.

        The record may not exist yet, if its creation takes effect late.
        """
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
            raise AnswerNotKeptError("the call ran, but its answer was not kept")
        return answer

    def _check_same_call(self, call_digest, claim):
        if call_digest != claim.call_digest:
            raise InvalidRequestError("the idempotency key belongs to a different call")

    def _write_answer(self, pending):
        """Write that the call ran; return whether the write is complete."""
        claim = pending.claim
        value = claim.record_value("done", answer=pending.answer)
        try:
            self._put(claim, value, claim.version)
            return True
        except ConflictError:
            return self._is_complete(claim)

    def _is_complete(self, claim):
        """Return whether the record is written, deleted or of another attempt."""
        try:
            found = self._objects.get(claim_kind(claim.name), claim.name)
        except NotFoundError:
            return True
        own = found.value["attempt"] == claim.attempt
        return not own or found.value["state"] == "done"

    def _delete_void(self, pending):
        """Delete the record of a void attempt; return whether that is complete.

        If the effect of its creation was unknown, a missing record may still be created
        late. It is looked up until no write can be that late.
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
        """Add a write, and drop the oldest ones beyond `PENDING_MAX`."""
        self._pending[pending.claim.name] = pending
        while len(self._pending) > PENDING_MAX:
            self._pending.popitem(last=False)
            _CLAIMS.labels("not_settled").inc()

    def _remove_running(self, claim):
        running = self._running.get(claim.name)
        if running is not None and running.attempt == claim.attempt:
            del self._running[claim.name]
