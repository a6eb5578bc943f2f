"""Fair sharing of an entry's concurrency among teams during overload."""

from dataclasses import dataclass

# A team without running requests stays active for this time after its last start.
ACTIVE_AFTER_START_S = 1.0


@dataclass
class _Team:
    weight: float = 1.0
    priority: int = 0
    running: int = 0
    active_until_s: float = 0.0


class Shares:
    """Counts the running requests of each team.

    Requests of a team over its share of this entry's running requests are shed first.
    Shares have no effect while targets have free slots.
    """

    def __init__(self, clock):
        self._clock = clock
        self._teams = {}

    def begin_request(self, name, weight=1.0, priority=0):
        """Record the start of a request of a team."""
        team = self._teams.setdefault(name, _Team())
        team.weight, team.priority = weight, priority
        team.running += 1
        team.active_until_s = self._clock.monotonic_s() + ACTIVE_AFTER_START_S

    def end_request(self, name):
        """Record the end of a request of a team."""
        self._teams[name].running -= 1

    def is_over(self, name):
        """Return whether a team is over its share, including its newest request.

        A team of higher priority than another active team is never over its share, and
        neither is the only active team.
        """
        active = self._active()
        team = self._teams.get(name)
        if team is None or len(active) < 2:
            return False
        if team.priority > min(other.priority for other in active):
            return False
        running = sum(other.running for other in active)
        share = running * team.weight / sum(other.weight for other in active)
        return team.running > max(1, share)

    def is_within(self, name):
        """Return whether a team is within its share, including its newest request.

        Return False if no other team is active, as there are no shares then.
        """
        return len(self._active()) > 1 and not self.is_over(name)

    def _active(self):
        now_s = self._clock.monotonic_s()
        self._teams = {
            name: team
            for name, team in self._teams.items()
            if team.running or now_s < team.active_until_s
        }
        return list(self._teams.values())
