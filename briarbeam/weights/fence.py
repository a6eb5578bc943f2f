"""Fencing numbers, which allow one order at a time per engine across all daemons.

Each order gets a number by a conditional update of the target's record. The record is
marked as settled once the outcome of the order was read back. A daemon that finds the
unsettled record of another daemon waits for the order timeout, the longest time that
the other daemon's order can be in flight.
"""

import uuid
from dataclasses import dataclass

from ..kernel.errors import (
    ConflictError,
    NotFoundError,
    OrderError,
    OrderUnderWayError,
    PlatformError,
    PlatformUnknownError,
)

FENCE_KIND = "fence"
FENCE_MAX_AGE_S = 1.0


@dataclass(frozen=True)
class Fence:
    """The fencing number of one order.

    :param version: the version of the record that holds the number.
    :param allocated_at_s: boot time just before the number was allocated. Boot time
        includes the time for which the machine was suspended.
    """

    number: int
    version: int
    allocated_at_s: float


class Fences:
    """Allocates the fencing numbers of one target.

    :param objects: the platform's `ObjectApi`.
    :param target: the target's name.
    :param order_timeout_s: the longest time that an order can be in flight.
    """

    def __init__(self, clock, objects, target, order_timeout_s):
        self._clock = clock
        self._objects = objects
        self._target = target
        self._order_timeout_s = order_timeout_s
        self._owner = uuid.uuid4().hex
        self._unsettled_seen = None

    def allocate(self):
        """Return a `Fence` whose number is above all earlier ones.

        :raises OrderUnderWayError: while another daemon's order may be in flight.
        :raises PlatformError: if the record can't be updated now.
        :raises ConflictError: if another daemon allocated a number at the same time.
        """
        allocated_at_s = self._clock.boottime_s()
        held_version, held = self._read()
        self._check_predecessor(held_version, held)
        number = held.get("fence", 0) + 1
        attempt = uuid.uuid4().hex
        value = {
            "fence": number,
            "owner": self._owner,
            "attempt": attempt,
            "settled": False,
        }
        try:
            version = self._objects.put(FENCE_KIND, self._target, value, held_version)
        except PlatformUnknownError:
            version, found = self._read()
            if found.get("attempt") != attempt:
                raise
        return Fence(number, version, allocated_at_s)

    def check_age(self, fence):
        """Check, just before the send, that `fence` was allocated recently.

        A daemon that was paused after it allocated a number must not send its order.

        :raises OrderError: if `fence` is older than `FENCE_MAX_AGE_S`.
        """
        age_s = self._clock.boottime_s() - fence.allocated_at_s
        if age_s > FENCE_MAX_AGE_S:
            raise OrderError(
                f"order not sent, fence {fence.number} is {age_s:.1f} s old"
            )

    def mark_settled(self, fence):
        """Record that the order is no longer in flight.

        Failures are ignored: the record then stays unsettled, and only another daemon
        has to wait for the order timeout.
        """
        value = {"fence": fence.number, "owner": self._owner, "settled": True}
        try:
            self._objects.put(FENCE_KIND, self._target, value, fence.version)
        except (PlatformError, ConflictError):
            return

    def is_newest(self, fence):
        """Return whether no higher number was allocated; False if that is unknown."""
        try:
            return self._read()[1].get("fence") == fence.number
        except PlatformError:
            return False

    def _read(self):
        """Return version and value of the record; version 0 if it does not exist."""
        try:
            found = self._objects.get(FENCE_KIND, self._target)
        except NotFoundError:
            return 0, {}
        return found.version, found.value

    def _check_predecessor(self, version, held):
        """Check that no order of another daemon can be in flight.

        The order timeout counts from when this daemon first read the unsettled record.
        """
        if held.get("settled", True) or held.get("owner") == self._owner:
            return
        now_s = self._clock.monotonic_s()
        if self._unsettled_seen is None or self._unsettled_seen[0] != version:
            self._unsettled_seen = version, now_s
        remaining_s = self._unsettled_seen[1] + self._order_timeout_s - now_s
        if remaining_s > 0:
            raise OrderUnderWayError(
                f"another daemon's order may be in flight for {remaining_s:.1f} s",
                retry_after_s=remaining_s,
            )
