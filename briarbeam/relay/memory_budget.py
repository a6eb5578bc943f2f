"""Limits the bytes that an entry holds for others, however many send at once.

Each request body and each answer has a limit of its own, but there may be thousands of
them. They share a budget, which is part of the memory that the settings state:

- A holder's first `FREE_BYTES` are not counted, so that usual requests are served
  whatever large ones do.
- A group, such as the requests of one team or the answers of one target, may hold
  `GROUP_SHARE` of the budget.
- If the budget is spent, the largest holder of the largest group is given up, or the
  one that asks for more if none may be given up.
"""

import math
from collections import defaultdict
from dataclasses import dataclass

from prometheus_client import Counter, Gauge

from ..kernel.errors import BriarbeamError

FREE_BYTES = 16384
GROUP_SHARE = 0.5
# Shares of the memory of the settings. A process without any requests takes about 55 MB,
# which is a third of the smallest machine's memory.
REQUESTS_SHARE = 0.25
ANSWERS_SHARE = 0.25

_HELD = Gauge("briarbeam_held_bytes", "Bytes held for others", ["kind"])
_SPENT = Counter(
    "briarbeam_memory_budget_spent",
    "Holders that were refused more bytes or given up",
    ["kind", "result"],
)


class MemoryBudgetError(BriarbeamError):
    """The process may not hold more bytes of this kind."""

    code = "memory_budget"


class MemoryBudget:
    """Counts the bytes that are held of one kind.

    :param kind: the name of the kind, for metrics.
    :param limit_bytes: the most that may be held, apart from what is not counted.
    """

    def __init__(self, kind, limit_bytes):
        self._kind = kind
        self._limit_bytes = limit_bytes
        self._group_limit_bytes = limit_bytes * GROUP_SHARE
        self._holders = defaultdict(set)
        self._bytes_by_group = defaultdict(int)
        self.held_bytes = 0

    def open(self, group, give_up=None):
        """Return a `Holder` that holds nothing yet; always `release` it.

        :param group: the group that it belongs to.
        :param give_up: called if its bytes are needed for others; it must drop them
            soon. None if it can't be given up.
        """
        return Holder(self, group, give_up)

    def fits(self, group, size_bytes):
        """Return whether a new holder could hold `size_bytes` as things are."""
        size_bytes -= FREE_BYTES
        return size_bytes <= 0 or self._fits(group, size_bytes)

    def _fits(self, group, more_bytes):
        return self.held_bytes + more_bytes <= self._limit_bytes and self._fits_group(
            group, more_bytes
        )

    def _fits_group(self, group, more_bytes):
        return self._group_bytes(group) + more_bytes <= self._group_limit_bytes

    def _group_bytes(self, group):
        return self._bytes_by_group.get(group, 0)

    def _make_room(self, holder, more_bytes):
        """Give up others until `more_bytes` fit; raise if that does not suffice."""
        while not self._fits(holder.group, more_bytes):
            victim = self._find_victim(holder, more_bytes)
            if victim is None or victim is holder:
                self._count("refused")
                raise MemoryBudgetError(
                    f"{self.held_bytes} bytes of {self._limit_bytes:.0f} are held, "
                    f"{self._group_bytes(holder.group)} for {holder.group!r}, "
                    f"{holder.size_bytes} by this one"
                )
            self._count("given_up")
            victim.give_up_now()

    def _find_victim(self, holder, more_bytes):
        """Return the holder to give up, `holder` itself, or None if there is none."""
        group = holder.group
        if self._fits_group(group, more_bytes):
            group = max(
                self._bytes_by_group, key=self._bytes_by_group.get, default=group
            )
        candidates = [
            other for other in self._holders.get(group, ()) if other.give_up is not None
        ]
        victim = max(candidates, key=lambda other: other.size_bytes, default=None)
        if victim is None or holder.group != group:
            return victim
        # Within its own group, the one that asks counts with what it asks for.
        wanted_bytes = holder.size_bytes + more_bytes
        return victim if victim.size_bytes > wanted_bytes else holder

    def _count(self, result):
        _SPENT.labels(self._kind, result).inc()

    def _change(self, holder, counted_bytes):
        change_bytes = counted_bytes - holder.counted_bytes
        holder.counted_bytes = counted_bytes
        self.held_bytes += change_bytes
        self._bytes_by_group[holder.group] += change_bytes
        holders = self._holders[holder.group]
        if counted_bytes:
            holders.add(holder)
        else:
            holders.discard(holder)
        if not holders:
            del self._holders[holder.group]
            del self._bytes_by_group[holder.group]
        _HELD.labels(self._kind).set(self.held_bytes)


class Holder:
    """One request body or answer of which bytes are held.

    `size_bytes` is what it holds, `counted_bytes` the part that counts.
    """

    def __init__(self, budget, group, give_up):
        self._budget = budget
        self.group = group
        self.give_up = give_up
        self.size_bytes = 0
        self.counted_bytes = 0

    def resize(self, size_bytes):
        """Record that `size_bytes` are about to be held.

        :raises MemoryBudgetError: if they may not be; nothing changes then.
        """
        counted_bytes = max(0, size_bytes - FREE_BYTES)
        if counted_bytes > self.counted_bytes:
            self._budget._make_room(self, counted_bytes - self.counted_bytes)
        self.size_bytes = size_bytes
        if counted_bytes != self.counted_bytes:
            self._budget._change(self, counted_bytes)

    def keep(self):
        """Don't give this holder up any more."""
        self.give_up = None

    def give_up_now(self):
        """Release the bytes and have them dropped."""
        give_up, self.give_up = self.give_up, None
        self.release()
        give_up()

    def release(self):
        """Hold nothing any more."""
        self.size_bytes = 0
        if self.counted_bytes:
            self._budget._change(self, 0)


@dataclass(frozen=True)
class HeldMemory:
    """The budgets of what an entry holds, so that neither kind takes from the other.

    :param requests: of the bodies of requests and what callers send ahead.
    :param answers: of answers, and parts of events, that are not complete.
    """

    requests: MemoryBudget
    answers: MemoryBudget

    @classmethod
    def divide(cls, memory_bytes=math.inf):
        """Return the budgets of a process that may use `memory_bytes`."""
        return cls(
            MemoryBudget("requests", memory_bytes * REQUESTS_SHARE),
            MemoryBudget("answers", memory_bytes * ANSWERS_SHARE),
        )
