"""Switch an engine to a complete, verified version while its gate is closed."""

import structlog
from prometheus_client import Counter

from ..kernel.errors import (
    BriarbeamError,
    ChangeoverFailedError,
    ConnectError,
    NetworkError,
    NotIdleError,
    OrderError,
    OrderUnansweredError,
    SupersededError,
    UnavailableError,
)

READ_BACK_TIMEOUT_S = 5.0
READ_BACK_INTERVAL_S = 0.2

_CHANGEOVERS = Counter("briarbeam_changeovers", "Changeovers", ["result"])
_log = structlog.get_logger()


class Changeover:
    """One switch of an engine to one version.

    A newer wanted version does not interrupt a changeover whose order was sent.

    :param fences: the `Fences` of this target.
    :param order: the body of the order for the engine, without the fencing number.
    :param is_wanted: a function that returns whether the version is still wanted.
    """

    def __init__(self, kernel, fences, order, is_wanted):
        self._clock = kernel.clock
        self._gate = kernel.find("gate")
        self._fences = fences
        self._body = order
        self._is_wanted = is_wanted
        self._drain_timeout_s = kernel.settings.drain_timeout_s
        self._order_timeout_s = kernel.settings.target.order_timeout_s

    def run(self):
        """Close the gate, drain, send the order, read back the version and reopen.

        If an order was sent, the gate reopens with its cold limit.

        :raises SupersededError: if another version is wanted in the meantime, or if
            another daemon may have sent an order since.
        :raises NotIdleError: if running requests did not end within the drain timeout.
        :raises OrderUnansweredError: if the reply to the order was lost and the engine
            still serves another version. The order can be sent again.
        :raises ChangeoverFailedError: if the engine refused the order, or its status
            can't be read afterwards.
        :raises UnavailableError: if the engine's status can't be read before the order.
        :raises OrderUnderWayError: while another daemon's order may be in flight.
        :raises OrderError: if the fencing number is too old, so that no order was sent.
        :raises PlatformError: if no fencing number could be allocated.
        :raises ConflictError: if another daemon allocated a number at the same time.
        """
        admission = self._gate.admission
        admission.close("changing", self._body["name"])
        try:
            if not admission.wait_idle(self._drain_timeout_s):
                raise NotIdleError(
                    f"requests still running after {self._drain_timeout_s} s"
                )
            self._switch_engine()
        except BriarbeamError:
            _CHANGEOVERS.labels("failed").inc()
            raise
        finally:
            self._reopen()
        _CHANGEOVERS.labels("done").inc()

    def _switch_engine(self):
        if self._loaded_version() == self._body["version"]:
            return
        fence = self._fences.allocate()
        if not self._is_wanted():
            self._fences.mark_settled(fence)
            raise SupersededError(f"{self._body['version']!r} is no longer wanted")
        failure = self._send(fence)
        self._gate.admission.reset_limit()
        found = self._read_back(may_take_effect_late=_is_lost(failure))
        if found != self._body["version"] and not self._fences.is_newest(fence):
            raise SupersededError(
                "another daemon may have sent an order to this engine"
            )
        self._fences.mark_settled(fence)
        if found != self._body["version"]:
            raise self._error_for(found, failure)

    def _error_for(self, found, failure):
        """Return the error to raise when the engine serves `found` after an order."""
        message = f"ordered {self._body['version']!r}, the engine serves {found!r}"
        if failure is not None:
            message += f": {failure}"
        if found is not None and _is_unanswered(failure):
            return OrderUnansweredError(message)
        return ChangeoverFailedError(message)

    def _send(self, fence):
        """Send the order and return the error, or None if the engine accepted it.

        If the reply was lost, the engine may still execute the order: wait until the
        order timeout has passed since the send.
        """
        body = {**self._body, "fence": fence.number}
        self._fences.check_age(fence)
        sent_at_s = self._clock.monotonic_s()
        try:
            self._gate.backend.order(body, self._order_timeout_s)
        except OrderError as error:
            if _is_lost(error):
                deadline_s = sent_at_s + self._order_timeout_s
                self._clock.sleep(max(0.0, deadline_s - self._clock.monotonic_s()))
            return error
        return None

    def _read_back(self, may_take_effect_late):
        """Return the version that the engine serves, or None if it does not answer.

        An engine that does not answer is polled for up to `READ_BACK_TIMEOUT_S`.

        :param may_take_effect_late: whether the engine may still execute the order, so
            that an engine with another version is polled for as long.
        """
        deadline_s = self._clock.monotonic_s() + READ_BACK_TIMEOUT_S
        while True:
            try:
                found = self._loaded_version()
                if found == self._body["version"] or not may_take_effect_late:
                    return found
            except UnavailableError:
                found = None
            if self._clock.monotonic_s() >= deadline_s:
                return found
            self._clock.sleep(READ_BACK_INTERVAL_S)

    def _loaded_version(self):
        return self._gate.backend.status().loaded_versions.get(self._body["name"])

    def _reopen(self):
        """Probe the engine, so that the gate reports its version, and admit again."""
        try:
            self._gate.probe()
        except Exception as error:
            _log.warning("probe_failed", error=repr(error))
            self._gate.admission.close("backend", "its status can't be read")
        self._gate.admission.open("changing")


def _is_unanswered(failure):
    """Return whether an order failed in the network and not at the engine."""
    return failure is not None and isinstance(failure.__cause__, NetworkError)


def _is_lost(failure):
    """Return whether an unanswered order may have reached the engine."""
    return _is_unanswered(failure) and not isinstance(failure.__cause__, ConnectError)
