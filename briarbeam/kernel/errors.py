"""The exception tree: every failure of briarbeam has a type.

An error knows its stable code, the HTTP status it answers with, whether the
request ran, and when the caller may come back.
"""

from enum import StrEnum


class Ran(StrEnum):
    """Whether a request reached its back end."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class BriarbeamError(Exception):
    """Base of all errors raised by briarbeam.

    :param message: what failed, with the value that made it fail.
    :param retry_after_s: seconds until a retry makes sense, or None.
    """

    code = "internal"
    status = 500
    ran = Ran.UNKNOWN

    def __init__(self, message="", *, retry_after_s=None):
        super().__init__(message or self.code)
        self.retry_after_s = retry_after_s

    def to_dict(self):
        """Return the error in the shape that callers receive."""
        body = {"code": self.code, "message": str(self), "ran": str(self.ran)}
        if self.retry_after_s is not None:
            body["retry_after_s"] = self.retry_after_s
        return {"error": body}


class SettingsError(BriarbeamError):
    """The settings file has a fault; the message names key, value and expectation."""

    code = "settings"
    ran = Ran.NO


class NotRunError(BriarbeamError):
    """Base of refusals: nothing of the request reached a back end."""

    code = "not_run"
    status = 503
    ran = Ran.NO


class InvalidRequestError(NotRunError):
    """The request itself is at fault; a retry gives the same answer."""

    code = "invalid_request"
    status = 400


class UnauthorizedError(NotRunError):
    """No valid token came with an operator's call."""

    code = "unauthorized"
    status = 401


class NotFoundError(NotRunError):
    """No such path, model or resource."""

    code = "not_found"
    status = 404


class ConflictError(NotRunError):
    """A conditional update lost a race; read again before the next try."""

    code = "conflict"
    status = 409


class ResourceConflictError(ConflictError):
    """A change to resources met another change; the message says which.

    :param changed: the changes that were met, each with key, generation and operator.
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
    """A value is above the bound of what the platform holds."""

    code = "too_large"
    status = 413


class WithdrawnError(NotRunError):
    """The caller closed its connection before the request was sent."""

    code = "withdrawn"
    status = 499


class UnconfirmedError(NotRunError):
    """The process stood still and has not confirmed its configuration since."""

    code = "unconfirmed"


class InProgressError(BriarbeamError):
    """Another attempt with the same idempotency key is running now."""

    code = "in_progress"
    status = 409


class OverloadedError(NotRunError):
    """No target has room for the request."""

    code = "overloaded"
    status = 429


class NoPlaceError(OverloadedError):
    """The target has no free place, and the request asked not to wait for one."""

    code = "no_place"


class UnavailableError(NotRunError):
    """No target in service can take the request."""

    code = "unavailable"


class DrainingError(NotRunError):
    """The target or daemon is leaving, or its failure domain is out of service."""

    code = "draining"


class ChangingVersionError(NotRunError):
    """The target is between two versions."""

    code = "changing_version"


class DeadlineExpiredError(NotRunError):
    """The deadline passed before the request was sent to a back end."""

    code = "deadline_expired"
    status = 504


class OutcomeUnknownError(BriarbeamError):
    """The request may or may not have run, and it must not be repeated blindly."""

    code = "outcome_unknown"
    status = 502


class CallerGoneError(OutcomeUnknownError):
    """The caller closed its connection; nobody reads this error."""

    code = "caller_gone"


class BackendError(BriarbeamError):
    """The back end ran the request and failed."""

    code = "backend_failed"
    status = 502
    ran = Ran.YES


class AnswerNotKeptError(BackendError):
    """A call with this idempotency key has run; its answer was not kept."""

    code = "answer_not_kept"
    status = 409


class DeadlinePassedError(BriarbeamError):
    """The deadline passed while the back end ran the request."""

    code = "deadline_passed"
    status = 504
    ran = Ran.YES


class NetworkError(BriarbeamError):
    """Base of failures between two processes."""

    code = "network"
    status = 502


class ConnectError(NetworkError):
    """No connection was made, so nothing was sent."""

    code = "connect"
    ran = Ran.NO


class ExchangeError(NetworkError):
    """The connection broke or went silent after bytes may have left."""

    code = "exchange"


class ReplyTooLargeError(ExchangeError):
    """The peer sent more than its reply may have; the rest was not read."""

    code = "reply_too_large"


class PlatformError(BriarbeamError):
    """The platform's service failed or could not be reached."""

    code = "platform"
    status = 503


class PlatformUnavailableError(PlatformError):
    """The platform did not take the call; it took no effect."""

    code = "platform_unavailable"
    ran = Ran.NO


class PlatformUnknownError(PlatformError):
    """The answer of a call was lost; it may have taken effect."""

    code = "platform_unknown"


class PlatformBehindError(PlatformError):
    """The platform holds an older configuration than the one in force here."""

    code = "platform_behind"
    status = 409
    ran = Ran.NO


class WeightsError(BriarbeamError):
    """Base of failures while weights are fetched, verified or loaded."""

    code = "weights"
    ran = Ran.NO


class CorruptChunkError(WeightsError):
    """The bytes of a chunk do not match its digest."""

    code = "corrupt_chunk"


class ChunkUnavailableError(WeightsError):
    """The peer or origin does not have or does not give the chunk now."""

    code = "chunk_unavailable"


class OriginRefusedError(ChunkUnavailableError):
    """The origin answered that it does not give the chunk now."""

    code = "origin_refused"


class BudgetSpentError(ChunkUnavailableError):
    """A peer has given its share; others hold the chunk too."""

    code = "budget_spent"
    status = 429


class StalledError(ChunkUnavailableError):
    """A source gave too few bytes in an interval."""

    code = "stalled"


class OrderError(WeightsError):
    """An engine refused or failed an order."""

    code = "order"


class ChangeoverFailedError(OrderError):
    """The engine does not serve the ordered version after the order."""

    code = "changeover_failed"


class OrderUnansweredError(OrderError):
    """The engine did not answer an order, and it goes on serving as before."""

    code = "order_unanswered"


class OrderUnderWayError(WeightsError):
    """An earlier order may still be under way at the engine."""

    code = "order_under_way"


class SupersededError(WeightsError):
    """Another version is wanted by now, or another daemon orders the engine."""

    code = "superseded"


class NotIdleError(WeightsError):
    """Running requests did not end in time, so nothing was ordered."""

    code = "not_idle"


class RolloutStoppedError(WeightsError):
    """The rollout is paused, or too many changeovers of it failed."""

    code = "rollout_stopped"


class WaitingForPermitError(WeightsError):
    """Other targets change first."""

    code = "waiting_for_permit"


class BaseVersionError(WeightsError):
    """An adapter's base model is not at the version that the adapter needs."""

    code = "base_version"


class MemoryBoundError(WeightsError):
    """The chunks of a version do not fit into the memory bound."""

    code = "memory_bound"
