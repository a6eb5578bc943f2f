"""Exception hierarchy: each kind of failure of briarbeam has its own type.

An error carries its stable code, the HTTP status of its reply, whether the request
ran, and when the caller may retry.
"""

from enum import StrEnum


class Ran(StrEnum):
    """Whether a request reached its backend, or whether that is not known."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class BriarbeamError(Exception):
    """Base class of all errors raised by briarbeam.

    :param message: what failed, with the value that caused it.
    :param retry_after_s: seconds to wait before a retry, or None if unknown.
    """

    code = "internal"
    status = 500
    ran = Ran.UNKNOWN

    def __init__(self, message="", *, retry_after_s=None):
        super().__init__(message or self.code)
        self.retry_after_s = retry_after_s

    def to_dict(self):
        """Return the error as the JSON object that callers receive."""
        body = {"code": self.code, "message": str(self), "ran": str(self.ran)}
        if self.retry_after_s is not None:
            body["retry_after_s"] = self.retry_after_s
        return {"error": body}


class SettingsError(BriarbeamError):
    """The settings are invalid; the message names key, value and what is expected."""

    code = "settings"
    ran = Ran.NO


class NotRunError(BriarbeamError):
    """Base class of refusals: no part of the request reached a backend."""

    code = "not_run"
    status = 503
    ran = Ran.NO


class InvalidRequestError(NotRunError):
    """The request itself is invalid, so a retry fails in the same way."""

    code = "invalid_request"
    status = 400


class HeaderTooLargeError(NotRunError):
    """The head of the request is above the limit."""

    code = "header_too_large"
    status = 431


class BodyTooLargeError(NotRunError):
    """The body of the request is above the limit; it was not read."""

    code = "body_too_large"
    status = 413


class BodiesTooLargeError(NotRunError):
    """The bodies that are held at a time are above the limit; it was not read."""

    code = "bodies_too_large"


class TooManyConnectionsError(NotRunError):
    """All connections that may be open have a request under way."""

    code = "too_many_connections"


class LengthRequiredError(NotRunError):
    """The request states no length of its body, as a chunked one; it was not read."""

    code = "length_required"
    status = 411


class UnauthorizedError(NotRunError):
    """The request has no valid operator token or team API key."""

    code = "unauthorized"
    status = 401


class NotFoundError(NotRunError):
    """There is no such path, model or resource."""

    code = "not_found"
    status = 404


class ConflictError(NotRunError):
    """A conditional update found another version; read again before a retry."""

    code = "conflict"
    status = 409


class ResourceConflictError(ConflictError):
    """A change to resources conflicts with another change; the message names it.

    :param changed: the conflicting changes, each with key, generation and operator.
    """

    code = "resource_conflict"

    def __init__(self, message="", *, changed=(), retry_after_s=None):
        super().__init__(message, retry_after_s=retry_after_s)
        self.changed = list(changed)

    def to_dict(self):
        body = super().to_dict()
        body["error"]["changed"] = self.changed
        return body


class TooLargeError(NotRunError):
    """A value is larger than the platform can store."""

    code = "too_large"
    status = 413


class WithdrawnError(NotRunError):
    """The caller closed its connection before the request was sent."""

    code = "withdrawn"
    status = 499


class UnconfirmedError(NotRunError):
    """The process was paused and has not confirmed its configuration since."""

    code = "unconfirmed"


class InProgressError(BriarbeamError):
    """Another attempt with the same idempotency key is in progress."""

    code = "in_progress"
    status = 409


class OverloadedError(NotRunError):
    """No target has capacity for the request."""

    code = "overloaded"
    status = 429


class NoFreeSlotError(OverloadedError):
    """The target has no free slot, and the request may not wait for one."""

    code = "no_place"


class UnavailableError(NotRunError):
    """No target in service can accept the request."""

    code = "unavailable"


class DrainingError(NotRunError):
    """The target or daemon is draining, or its failure domain is out of service."""

    code = "draining"


class ChangingVersionError(NotRunError):
    """The target is changing over from one version to another."""

    code = "changing_version"


class DeadlineExpiredError(NotRunError):
    """The deadline passed before the request was sent to a backend."""

    code = "deadline_expired"
    status = 504


class OutcomeUnknownError(BriarbeamError):
    """The request may or may not have run, so it must not be retried blindly."""

    code = "outcome_unknown"
    status = 502


class CallerGoneError(OutcomeUnknownError):
    """The caller closed its connection, so nobody receives this error."""

    code = "caller_gone"


class BackendError(BriarbeamError):
    """The backend ran the request and failed."""

    code = "backend_failed"
    status = 502
    ran = Ran.YES


class AnswerNotKeptError(BackendError):
    """A call with this idempotency key has run, but its answer was not stored."""

    code = "answer_not_kept"
    status = 409


class DeadlinePassedError(BriarbeamError):
    """The deadline passed while the backend ran the request."""

    code = "deadline_passed"
    status = 504
    ran = Ran.YES


class NetworkError(BriarbeamError):
    """Base class of communication failures between two processes."""

    code = "network"
    status = 502


class ConnectError(NetworkError):
    """No connection was made, so nothing was sent."""

    code = "connect"
    ran = Ran.NO


class ExchangeError(NetworkError):
    """The connection broke or timed out after bytes may have been sent."""

    code = "exchange"


class ReplyTooLargeError(ExchangeError):
    """The reply of the peer exceeds its size limit; the rest was not read."""

    code = "reply_too_large"


class PlatformError(BriarbeamError):
    """The platform's service failed or could not be reached."""

    code = "platform"
    status = 503


class PlatformUnavailableError(PlatformError):
    """The platform did not accept the call, so the call had no effect."""

    code = "platform_unavailable"
    ran = Ran.NO


class PlatformUnknownError(PlatformError):
    """The answer to a call was lost; the call may have taken effect."""

    code = "platform_unknown"


class PlatformBehindError(PlatformError):
    """The platform holds an older configuration than the one in force."""

    code = "platform_behind"
    status = 409
    ran = Ran.NO


class WeightsError(BriarbeamError):
    """Base class of failures to fetch, verify or load weights."""

    code = "weights"
    ran = Ran.NO


class CorruptChunkError(WeightsError):
    """The bytes of a chunk do not match its digest."""

    code = "corrupt_chunk"


class ChunkUnavailableError(WeightsError):
    """The peer or origin does not have the chunk, or does not serve it now."""

    code = "chunk_unavailable"


class OriginRefusedError(ChunkUnavailableError):
    """The origin answered that it does not serve the chunk now."""

    code = "origin_refused"


class BudgetSpentError(ChunkUnavailableError):
    """A peer has used up its send budget; other peers hold the chunk too."""

    code = "budget_spent"
    status = 429


class StalledError(ChunkUnavailableError):
    """A source sent too few bytes within an interval."""

    code = "stalled"


class OrderError(WeightsError):
    """An engine refused an order or failed to carry it out."""

    code = "order"


class ChangeoverFailedError(OrderError):
    """The engine does not serve the ordered version after the order."""

    code = "changeover_failed"


class OrderUnansweredError(OrderError):
    """The engine did not answer an order and continues to serve as before."""

    code = "order_unanswered"


class OrderUnderWayError(WeightsError):
    """An earlier order may still be in progress at the engine."""

    code = "order_under_way"


class SupersededError(WeightsError):
    """Another version is wanted now, or another daemon controls the engine."""

    code = "superseded"


class NotIdleError(WeightsError):
    """Running requests did not end in time, so no order was sent."""

    code = "not_idle"


class RolloutStoppedError(WeightsError):
    """The rollout is paused, or too many changeovers of it failed."""

    code = "rollout_stopped"


class WaitingForPermitError(WeightsError):
    """Other targets change over first."""

    code = "waiting_for_permit"


class BaseVersionError(WeightsError):
    """The base model of an adapter is not at the version that the adapter needs."""

    code = "base_version"


class MemoryBoundError(WeightsError):
    """The chunks of a version do not fit into the memory limit."""

    code = "memory_bound"
