"""Sends a request to one target and waits for the head of its reply.

A gate sends the head of its reply as soon as it admits a request. If a target sends
nothing and does not answer a liveness check either, the request is not waiting in its
queue: the target has stalled, or the link is down. The attempt then fails.
"""

import json

import gevent
from gevent.event import AsyncResult
from prometheus_client import Counter

from ..kernel.errors import (
    BriarbeamError,
    CallerGoneError,
    ExchangeError,
    OutcomeUnknownError,
)
from ..wire.headers import REQUEST_ID_HEADER

CALLER_POLL_S = 0.1

# The errors by which a malformed refusal shows.
_REFUSAL_ERRORS = (
    ValueError, KeyError, TypeError, AttributeError, RecursionError, ExchangeError,
)  # fmt: skip

_CROSSED = Counter("briarbeam_crossed_replies", "Replies to another request, dropped")


class HeadWait:
    """Sends a request in its own task, so that the wait can end before the reply.

    :param send: function without arguments that returns the reply.
    :param get_activity_count: function that returns how many replies and frames were
        received from the target so far.
    :param is_alive: function that returns whether the target answers a liveness check.
    :param caller_disconnected: function that returns whether the caller has
        disconnected.
    """

    def __init__(self, send, get_activity_count, is_alive, caller_disconnected):
        self._send = send
        self._get_activity_count = get_activity_count
        self._is_alive = is_alive
        self._caller_disconnected = caller_disconnected
        self._result = AsyncResult()

    def run(self, silence_s):
        """Return the reply.

        :raises ExchangeError: if the target sent nothing for `silence_s` seconds and
            does not answer a liveness check.
        :raises CallerGoneError: if the caller has disconnected.
        """
        task = gevent.spawn(self._run)
        try:
            self._wait(silence_s)
            return self._result.get()
        except BaseException:
            task.kill()
            self._close_reply()
            raise

    def _wait(self, silence_s):
        activity_count, silent_s = self._get_activity_count(), 0.0
        while not self._result.ready():
            step_s = min(CALLER_POLL_S, silence_s)
            self._result.wait(step_s)
            if self._result.ready():
                return
            if self._caller_disconnected():
                raise CallerGoneError("the caller closed its connection")
            silent_s += step_s
            if self._get_activity_count() != activity_count:
                activity_count, silent_s = self._get_activity_count(), 0.0
            elif silent_s >= silence_s and not self._is_alive():
                if self._result.ready():
                    return
                raise ExchangeError(
                    f"target sent nothing for {silence_s} s and failed a liveness check"
                )

    def _run(self):
        try:
            self._result.set(self._send())
        except Exception as error:
            self._result.set_exception(error)

    def _close_reply(self):
        if self._result.ready() and self._result.successful():
            self._result.get().close()


def check_echo(response, request_id):
    """Check that a reply belongs to the request.

    Only a refusal by the HTTP server, before the request reached the gate, may lack the
    request id.

    :raises ExchangeError: if the reply has another id; the reply is closed.
    """
    echoed = response.headers.get(REQUEST_ID_HEADER)
    refusal_without_id = echoed is None and response.status != 200
    if echoed != request_id and not refusal_without_id:
        _CROSSED.inc()
        response.close()
        raise ExchangeError(f"reply has request id {echoed}, expected {request_id}")


def read_error(response):
    """Return a target's refusal as an error of the type that its code names.

    Return an `OutcomeUnknownError` if the refusal is malformed or its code is unknown.
    The response is closed.
    """
    try:
        raw = json.loads(response.read())["error"]
        error_type = _ERRORS_BY_CODE.get(raw["code"], OutcomeUnknownError)
        return error_type(raw["message"], retry_after_s=raw.get("retry_after_s"))
    except _REFUSAL_ERRORS as error:
        return OutcomeUnknownError(f"malformed refusal of a target: {error!r}")
    finally:
        response.close()


def _error_types(base):
    yield base
    for subclass in base.__subclasses__():
        yield from _error_types(subclass)


_ERRORS_BY_CODE = {error.code: error for error in _error_types(BriarbeamError)}
