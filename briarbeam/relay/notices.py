"""What an instance has stated in its answers about further requests."""

import math
from dataclasses import dataclass

# The shortest time for which an instance that refuses a request with Retry-After is
# closed. It doubles with each refusal in a row, up to the second value: otherwise an
# instance that refuses everything and asks for no wait would use up the retry budget.
CLOSED_MIN_S = 0.1
CLOSED_IN_A_ROW_MAX_S = 1.0


@dataclass(frozen=True)
class Statement:
    """Identifies the boot of an instance that made a statement in an answer.

    :param started_ms: Unix milliseconds of the latest start that was known then.
    :param stated_ms: Unix milliseconds at which the answer arrived.
    """

    started_ms: int
    stated_ms: int

    def applies_to(self, started_ms):
        """Return whether the boot that started at `started_ms` made the statement.

        The list of instances may be older than the answer. So a boot that was not known
        then made the statement too, unless it started after the answer arrived.
        """
        return started_ms <= self.started_ms or started_ms < self.stated_ms


class Notices:
    """The statements of one instance, kept over changes of its record.

    All targets with the same id share one object, because a request that was picked by
    an older record reaches the same instance.
    """

    def __init__(self):
        self._leaving = None
        self._draining_revision = None
        self._closed = None
        self._closed_until_s = -math.inf
        self._least_closed_s = 0.0

    def record_leaving(self, statement):
        """Record that the instance is leaving; return whether that is new."""
        is_new = not self.is_leaving(statement)
        self._leaving = statement
        return is_new

    def is_leaving(self, boot):
        """Return whether `boot`, an object with a `started_ms`, is leaving."""
        # The start is read only if needed, as this is called for each target of each
        # request.
        return self._leaving is not None and self._leaving.applies_to(boot.started_ms)

    def apply_record(self, instance, revision):
        """Withdraw the leaving if the instance was listed as draining and no longer is.

        A newer record alone doesn't withdraw it: it may have been written before the
        instance began to leave.

        :param revision: the store's revision of the record of `instance`.
        """
        if instance.draining:
            self._draining_revision = max(revision, self._draining_revision or 0)
        elif self._draining_revision is not None and revision > self._draining_revision:
            self._draining_revision = None
            if self._leaving and instance.started_ms <= self._leaving.started_ms:
                self._leaving = None

    def record_refusal(self, statement, retry_after_s, now_s):
        """Record that the instance wants no requests for `retry_after_s` from now on.

        :param now_s: monotonic time.
        """
        closed_until_s = self.closed_until_s(statement)
        # Requests that were sent together are refused together, which counts once.
        if now_s >= closed_until_s:
            self._least_closed_s = min(
                CLOSED_IN_A_ROW_MAX_S, max(CLOSED_MIN_S, 2 * self._least_closed_s)
            )
        wait_s = max(retry_after_s, self._least_closed_s)
        self._closed = statement
        self._closed_until_s = max(closed_until_s, now_s + wait_s)

    def record_success(self):
        """Record that the instance ran a request."""
        self._least_closed_s = 0.0

    def closed_until_s(self, boot):
        """Return the monotonic time until which requests are unwanted; may be past.

        :param boot: an object with a `started_ms`.
        """
        if self._closed is None or not self._closed.applies_to(boot.started_ms):
            return -math.inf
        return self._closed_until_s
