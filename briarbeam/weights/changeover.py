"""Changing an engine over to a complete, verified version, under the gate."""

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

READ_BACK_S = 5.0
READ_BACK_PAUSE_S = 0.2

_CHANGEOVERS = Counter("briarbeam_changeovers", "Changeovers", ["result"])
_log = structlog.get_logger()


class Changeover:
    """One change of an engine to one version, never cut short by a newer wish.

    :param fences: the `Fences` of this target.
    :param order: what the engine is sent, without its fencing number.
    :param is_wanted: a function that tells whether the version is still wanted.
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
        """Stop admitting, drain, order, read back and admit as cold.

        :raises SupersededError: if another version is wanted by now.
        :raises NotIdleError: if running requests did not end in time.
        :raises OrderUnansweredError: if the order's answer was lost and the engine goes
            on serving another version; it can be ordered again.
        :raises ChangeoverFailedError: if the engine refused, or is silent afterwards.
        :raises PlatformError: if no fencing number could be taken.
        """
        admission = self._gate.admission
        admission.close("changing", self._body["name"])
        try:
            if not admission.wait_idle(self._drain_timeout_s):
                raise NotIdleError(f"not idle after {self._drain_timeout_s} s")
            self._order()
        except BriarbeamError:
            _CHANGEOVERS.labels("failed").inc()
            raise
        finally:
            self._reopen()
        _CHANGEOVERS.labels("done").inc()

    def _order(self):
        if self._loaded() == self._body["version"]:
            return
        fence = self._fences.take()
        if not self._is_wanted():
            self._fences.settle(fence)
            raise SupersededError(f"{self._body['version']!r} is no longer wanted")
        failure = self._send(fence)
        self._gate.admission.reset_limit()
        found = self._read_back(may_follow=_is_lost(failure))
        if found != self._body["version"] and not self._fences.owns(fence):
            raise SupersededError("another daemon orders this engine")
        self._fences.settle(fence)
        if found != self._body["version"]:
            raise self._describe(found, failure)

    def _describe(self, found, failure):
        """Return the error of an order after which the engine serves `found`."""
        message = f"ordered {self._body['version']!r}, the engine serves {found!r}"
        if failure is not None:
            message += f": {failure}"
        if found is not None and _is_unanswered(failure):
            return OrderUnansweredError(message)
        return ChangeoverFailedError(message)

    def _send(self, fence):
        """Send the order, outlast it if its answer is lost, and return the failure."""
        body = {**self._body, "fence": fence.number}
        self._fences.check(fence)
        sent_at_s = self._clock.monotonic_s()
        try:
            self._gate.backend.order(body, self._order_timeout_s)
        except OrderError as error:
            if _is_lost(error):
                until_s = sent_at_s + self._order_timeout_s
                self._clock.sleep(max(0.0, until_s - self._clock.monotonic_s()))
            return error
        return None

    def _read_back(self, may_follow):
        """Return the version served, or None if the engine went silent.

        :param may_follow: whether the order may take effect only now.
        """
        until_s = self._clock.monotonic_s() + READ_BACK_S
        while True:
            try:
                found = self._loaded()
                if found == self._body["version"] or not may_follow:
                    return found
            except UnavailableError:
                found = None
            if self._clock.monotonic_s() >= until_s:
                return found
            self._clock.sleep(READ_BACK_PAUSE_S)

    def _loaded(self):
        return self._gate.backend.status().loaded.get(self._body["name"])

    def _reopen(self):
        """Admit again; the gate reports the version that it reads back here."""
        try:
            self._gate.probe()
        except Exception as error:
            _log.warning("probe_failed", error=repr(error))
            self._gate.admission.close("backend", "its status can't be read")
        self._gate.admission.open("changing")


def _is_unanswered(failure):
    """Return whether an order failed on its way, rather than at the engine."""
    return failure is not None and isinstance(failure.__cause__, NetworkError)


def _is_lost(failure):
    """Return whether an order that was not answered may have been accepted."""
    return _is_unanswered(failure) and not isinstance(failure.__cause__, ConnectError)
