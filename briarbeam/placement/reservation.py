"""Reserves slots of an engine for the more urgent requests that are expected.

Load that it answers: more requests than the engines bear, of several priorities. By load
alone, a request that tolerates more latency is granted where an urgent one is refused,
so that the urgent ones are served worst (trunk reservation is the usual remedy).
"""

import math

from .recent_counts import RecentCounts

# Share of an engine's slots that can be reserved. At least this much of the engine stays
# open to all, so that a wrong rate does not idle it.
RESERVED_SHARE_MAX = 0.5
# A priority whose granted share of questions is below this part of the share of all
# questions is exempt from the reservation. Callers require a quarter of the overall
# service rate; operator A's least urgent kind is to be served at 0.5 of its requests at
# 1.2 of the capacity and at 0.3 at 1.5, of which the overall rates are 0.75 and 0.6.
MINIMUM_SHARE = 0.4


class SlotReservation:
    """The reservation at one engine, from what was asked for and granted recently."""

    def __init__(self):
        self._asked = RecentCounts()
        self._granted = RecentCounts()

    def record_question(self, priority, now_s):
        """Count a question.

        :param priority: from 0, the most urgent.
        """
        self._asked.add(priority, now_s)

    def record_grant(self, priority, now_s):
        """Count a grant."""
        self._granted.add(priority, now_s)

    def reserved_slots(self, priority, slots, slot_free_s, now_s, others_per_s=0.0):
        """Return the number of slots that a request has to leave free.

        The requests expected until a slot is free, and their standard deviation as they
        arrive at random.

        :param slots: the number of slots of the engine.
        :param slot_free_s: the time after which the next of its slots becomes free.
        :param others_per_s: the rate of other requests that go before it.
        """
        asked = self._asked.rates_per_s(now_s)
        urgent_per_s = sum(rate for other, rate in asked.items() if other < priority)
        if urgent_per_s and self._is_below_minimum(priority, asked, now_s):
            urgent_per_s = 0.0
        expected = (urgent_per_s + others_per_s) * slot_free_s
        return min(RESERVED_SHARE_MAX * slots, expected + math.sqrt(expected))

    def _is_below_minimum(self, priority, asked, now_s):
        """Return whether a priority is granted less than its minimum share."""
        granted = self._granted.rates_per_s(now_s)
        own_asked, own_granted = asked[priority], granted.get(priority, 0.0)
        overall_share = sum(granted.values()) / sum(asked.values())
        return own_granted < MINIMUM_SHARE * overall_share * own_asked
