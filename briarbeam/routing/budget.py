"""Retry budgets, which limit the retries of a team to a fraction of its requests."""

BALANCE_MAX = 10.0
TEAMS_MAX = 1000


class RetryBudgets:
    """Keeps a retry budget for each team.

    :param ratio: retries that each request adds to the budget.
    """

    def __init__(self, ratio):
        self._ratio = ratio
        self._balances = {}

    def balance(self, team):
        """Return the number of retries left in a team's budget."""
        return self._balances.get(team, BALANCE_MAX)

    def earn(self, team):
        """Add to the budget of `team` for a new request."""
        if len(self._balances) >= TEAMS_MAX:
            self._discard_full()
        self._balances[team] = min(BALANCE_MAX, self.balance(team) + self._ratio)

    def spend(self, team):
        """Deduct one retry from the budget of `team`; return False if none is left."""
        if self.balance(team) < 1:
            return False
        self._balances[team] = self.balance(team) - 1
        return True

    def _discard_full(self):
        self._balances = {
            team: balance
            for team, balance in self._balances.items()
            if balance < BALANCE_MAX
        }
