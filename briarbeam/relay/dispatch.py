"""Answers one request: admits it, has it delivered, or refuses it."""

import structlog

from ..kernel.errors import BriarbeamError
from ..platform import headers as wire
from .admission import RETRY_AFTER_S
from .disconnect_watch import DisconnectWatch
from .errors import (
    CallerDisconnectedError,
    GraceEndedError,
    InternalError,
    NotRunInternalError,
    StoppingError,
)

_log = structlog.get_logger()


class Dispatcher:
    """Admits requests, has them delivered, and answers and logs what was refused.

    :param admission: the `Admission` that checks requests.
    :param budget: the `RetryBudget`, which counts them.
    :param delivery: the `Delivery`, which sends them.
    :param guard: the `CrashGuard`.
    :param request_log: the `RequestLog` that logs each answer.
    """

    def __init__(self, admission, budget, delivery, guard, request_log):
        self._admission = admission
        self._budget = budget
        self._delivery = delivery
        self._guard = guard
        self._request_log = request_log

    def answer(self, request, writer, sock, reader):
        """Answer `request` through `writer`.

        :param reader: the `RequestReader` of the connection.
        :raises CallerDisconnectedError: if the caller disconnects before its answer is
            complete.
        :raises BriarbeamError: if an answer that was partly sent can't be completed,
            also after an unexpected error.
        """
        job = None
        meta = wire.decode_request(request.headers)
        outcome = None
        try:
            with DisconnectWatch(sock, reader) as caller:
                self._admission.await_first_state(request.read_at_s)
                job = self._admission.admit(request, meta)
                job.caller = caller
                self._guard.admit(job)
                self._budget.count_request(job.requirements.service.name, job.started_s)
                self._delivery.deliver(job, writer)
        except CallerDisconnectedError as error:
            outcome = error
            raise
        except GraceEndedError as error:
            if writer.complete:
                return
            outcome = error
            if writer.begun:
                raise
            if job is None or not job.may_have_run:
                outcome = StoppingError("entry ended before the request was sent")
            self._refuse(writer, outcome)
        except BriarbeamError as error:
            outcome = error
            if writer.begun:
                raise
            self._refuse(writer, error)
        except Exception as error:
            _log.exception(
                "request_broke", request_id=meta.request_id.decode("latin-1")
            )
            outcome = _internal_error(job, error)
            if writer.begun:
                raise outcome from error
            self._refuse(writer, outcome)
        finally:
            self._request_log.log_request(request, meta, job, writer, outcome)

    def log_malformed(self, error):
        """Log that bytes from a caller were refused, as they are no valid request."""
        self._request_log.log_malformed(error)

    def refuse(self, request, writer, error):
        """Answer `request` with the `NotRunError` `error` instead of running it."""
        meta = wire.decode_request(request.headers)
        self._refuse(writer, error)
        self._request_log.log_request(request, meta, None, writer, error)

    def _refuse(self, writer, error):
        headers = [(b"content-type", b"application/json")]
        if error.status in (429, 503):
            retry_after_s = error.retry_after_s or RETRY_AFTER_S
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        body = b'{"error":{"code":"%b","ran":"%b"}}' % (
            error.code.encode(),
            str(error.ran).encode(),
        )
        writer.write(error.status, headers, body)


def _internal_error(job, error):
    """Return the typed error for an unexpected one."""
    if job is None or not job.may_have_run:
        return NotRunInternalError(repr(error))
    return InternalError(repr(error))
