"""Retry budgets: retries of a team are a share of its requests."""

from collections import defaultdict

BALANCE_MAX = 10.0


class RetryBudgets:
    """One budget a team.

    :param ratio: retries earned by each request.
    """

    def __init__(self, ratio):
        self._ratio = ratio
        self._balances = defaultdict(lambda: BALANCE_MAX)

    def earn(self, team):
        """Note a request of `team`."""
        self._balances[team] = min(BALANCE_MAX, self._balances[team] + self._ratio)

    def spend(self, team):
        """Take one retry from the budget and return whether there was one."""
        if self._balances[team] < 1:
            return False
        self._balances[team] -= 1
        return True
