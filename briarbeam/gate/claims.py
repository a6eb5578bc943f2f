"""Claims: how a call with an idempotency key runs at most once over all gates.

Before a call is sent to its service, the gate creates a record under the key in the
platform's object API, on condition that there is none. Whoever creates it may run.
"""

import hashlib

from prometheus_client import Counter

from ..kernel.errors import (
    ConflictError,
    InProgressError,
    InvalidRequestError,
    NotFoundError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnknownError,
    UnavailableError,
)

CLAIM_KIND = "claim"
ANSWER_MAX_BYTES = 64 * 1024

_CLAIMS = Counter("briarbeam_claims", "Claims by outcome", ["outcome"])


def claim_name(service, team, key):
    """Return the name of the record for an idempotency key of a team."""
    return hashlib.sha256(f"{service}/{team}/{key}".encode()).hexdigest()


class Claims:
    """The claims made by one gate.

    :param objects: the platform's `ObjectApi`.
    """

    def __init__(self, objects):
        self._objects = objects
        self._running = set()

    def take(self, name, attempt, call_digest):
        """Claim `name` for `attempt`.

        :param call_digest: digest of what shall run; a key covers one call only.
        :returns: None if the caller may run now, else the answer of the earlier run.
        :raises UnavailableError: if the platform can't be asked; nothing ran.
        :raises InProgressError: if an attempt at this gate is running.
        :raises OutcomeUnknownError: if an earlier attempt may have run.
        """
        value = {"attempt": attempt, "call_digest": call_digest, "state": "claimed"}
        try:
            self._objects.put(CLAIM_KIND, name, value, if_version=0)
        except ConflictError:
            return self._read_earlier(name, attempt, call_digest)
        except PlatformUnknownError:
            return self._read_earlier(name, attempt, call_digest)
        except PlatformError as error:
            raise UnavailableError(
                f"no claim could be made: {error}", retry_after_s=error.retry_after_s
            ) from error
        _CLAIMS.labels("taken").inc()
        self._running.add(name)
        return None

    def finish(self, name, attempt, call_digest, answer):
        """Keep the answer, so that a repeated call gets the same one."""
        self._running.discard(name)
        value = {
            "attempt": attempt,
            "call_digest": call_digest,
            "state": "done",
            "answer": answer,
        }
        try:
            self._objects.put(CLAIM_KIND, name, value)
        except PlatformError:
            _CLAIMS.labels("answer_not_kept").inc()

    def release(self, name):
        """Give up a claim under which nothing ran."""
        self._running.discard(name)
        try:
            self._objects.delete(CLAIM_KIND, name)
        except (PlatformError, ConflictError):
            _CLAIMS.labels("not_released").inc()

    def leave(self, name):
        """Keep a claim whose outcome is unknown."""
        self._running.discard(name)
        _CLAIMS.labels("unknown").inc()

    def _read_earlier(self, name, attempt, call_digest):
        try:
            found = self._objects.get(CLAIM_KIND, name)
        except NotFoundError as error:
            raise UnavailableError("the claim did not take effect") from error
        except PlatformError as error:
            raise UnavailableError(
                f"no claim could be read: {error}", retry_after_s=error.retry_after_s
            ) from error
        value = found.value
        if value["attempt"] == attempt:
            self._running.add(name)
            return None
        if value["call_digest"] != call_digest:
            raise InvalidRequestError("the idempotency key was used for another call")
        if value["state"] == "done":
            _CLAIMS.labels("repeated").inc()
            return value["answer"]
        if name in self._running:
            raise InProgressError("the same call is running", retry_after_s=1.0)
        raise OutcomeUnknownError("an earlier attempt of this call may have run")
