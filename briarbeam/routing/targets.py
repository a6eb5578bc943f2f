"""What an entry knows of each target: its place, its load and its failures."""

import math
from dataclasses import dataclass

from ..gate.admission import Load

LOAD_FRESH_S = 2.0
EJECTED_S = 1.0


@dataclass
class TargetState:
    """One target as this entry last saw it.

    :param reported_at_s: monotonic time of the last reply.
    :param ejected_until_s: monotonic time until which it is passed over.
    """

    load: Load | None = None
    reported_at_s: float = -math.inf
    ejected_until_s: float = -math.inf
    sent: int = 0


class Targets:
    """The states of all targets that this entry has met."""

    def __init__(self, clock):
        self._clock = clock
        self._states = {}

    def state(self, name):
        """Return the state of a target."""
        return self._states.setdefault(name, TargetState())

    def report(self, name, load_text):
        """Take in the load that came with a reply."""
        state = self.state(name)
        state.load = Load.parse(load_text)
        state.reported_at_s = self._clock.monotonic_s()

    def fail(self, name):
        """Note that a target could not be reached."""
        self.state(name).ejected_until_s = self._clock.monotonic_s() + EJECTED_S

    def usable(self, name):
        """Return whether a target may be tried now."""
        state = self.state(name)
        now_s = self._clock.monotonic_s()
        if now_s < state.ejected_until_s:
            return False
        fresh = now_s - state.reported_at_s < LOAD_FRESH_S
        return not (fresh and state.load.closed)

    def pressure(self, name):
        """Return how full a target is; 1 or more means that it has no free place."""
        state = self.state(name)
        now_s = self._clock.monotonic_s()
        if state.load is None or now_s - state.reported_at_s >= LOAD_FRESH_S:
            return state.sent / 2
        running = max(state.load.running, state.sent)
        return (running + state.load.queued) / max(1, state.load.limit)
