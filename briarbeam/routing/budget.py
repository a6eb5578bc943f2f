"""Retry budgets: retries of a team are a share of its requests."""

BALANCE_MAX = 10.0
TEAMS_MAX = 1000


class RetryBudgets:
    """One budget a team.

    :param ratio: retries earned by each request.
    """

    def __init__(self, ratio):
        self._ratio = ratio
        self._balances = {}

    def balance(self, team):
        """Return the retries that a team has left."""
        return self._balances.get(team, BALANCE_MAX)

    def earn(self, team):
        """Note a request of `team`."""
        if len(self._balances) >= TEAMS_MAX:
            self._forget_full()
        self._balances[team] = min(BALANCE_MAX, self.balance(team) + self._ratio)

    def spend(self, team):
        """Take one retry from the budget and return whether there was one."""
        if self.balance(team) < 1:
            return False
        self._balances[team] = self.balance(team) - 1
        return True

    def _forget_full(self):
        self._balances = {
            team: balance
            for team, balance in self._balances.items()
            if balance < BALANCE_MAX
        }
