"""Shares the places of one priority at an engine among teams by max-min fairness.

Load that it answers: one team with a third or nearly all of the requests. By chance, it
gets places in proportion to what it asks for, and the others are refused for it. With
max-min shares, a team that asks for less than the others' share gets all of it, and those
that ask for more get equal parts of what is left.
"""

from .recent_counts import RecentCounts

# Memory of the counts. A team sends an engine about one request in several seconds if
# there are two dozen teams, so that a shorter memory would see chance only.
MEMORY_S = 5.0
# Share of the questions of a priority that has to be granted for places to be plentiful;
# then teams take what they ask for.
PLENTY_SHARE = 0.95
# A team whose granted share of questions is below this part of the share of all of its
# priority is exempt. Callers require a quarter of the overall service rate.
MINIMUM_SHARE = 0.4
# How long the share of a priority is cached, so that it isn't computed for each request.
LEVEL_CACHE_S = 0.1


class TeamShares:
    """The teams' shares of one engine, from what was asked for and granted recently."""

    def __init__(self):
        self._asked = RecentCounts(MEMORY_S)
        self._granted = RecentCounts(MEMORY_S)
        self._levels = {}

    def record_question(self, priority, team, now_s):
        """Count a question."""
        self._asked.add((priority, team), now_s)

    def record_grant(self, priority, team, now_s):
        """Count a grant."""
        self._granted.add((priority, team), now_s)

    def others_per_s(self, priority, team, now_s):
        """Return the rate of questions of teams to be preferred to `team`.

        :returns: 0 unless places are scarce and `team` has more than its share.
        """
        level = self._level(priority, now_s)
        if level is None:
            return 0.0
        share_per_s, overall_share, rates_per_s = level
        key = (priority, team)
        granted_per_s = self._granted.rate_per_s(key, now_s)
        # One grant alone is no sign of a rate.
        if granted_per_s - 1.0 / MEMORY_S <= share_per_s:
            return 0.0
        asked_per_s = self._asked.rate_per_s(key, now_s)
        if granted_per_s < MINIMUM_SHARE * overall_share * asked_per_s:
            return 0.0
        return sum(
            rate
            for other, rate in rates_per_s.items()
            if other != team and rate <= share_per_s
        )

    def _level(self, priority, now_s):
        """Return the share of a team, the share of granted questions, and all rates.

        :returns: None if places are not scarce.
        """
        cached = self._levels.get(priority)
        if cached is not None and 0.0 <= now_s - cached[0] < LEVEL_CACHE_S:
            return cached[1]
        asked = self._of_priority(self._asked, priority, now_s)
        granted_per_s = sum(self._of_priority(self._granted, priority, now_s).values())
        overall_share = granted_per_s / max(1e-9, sum(asked.values()))
        level = None
        if overall_share < PLENTY_SHARE:
            share_per_s = max_min_share(asked.values(), granted_per_s)
            level = share_per_s, overall_share, asked
        self._levels[priority] = now_s, level
        return level

    def _of_priority(self, counts, priority, now_s):
        return {
            team: rate
            for (other, team), rate in counts.rates_per_s(now_s).items()
            if other == priority
        }


def max_min_share(demands, capacity):
    """Return the share above which no demand is served.

    The sum of all demands, each up to this share, is `capacity`.
    """
    left, share = capacity, 0.0
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        share = left / (len(ordered) - index)
        if demand >= share:
            return share
        left -= demand
    return max(share, ordered[-1]) if ordered else 0.0
