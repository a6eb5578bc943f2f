"""Decides when each engine changes weights while most engines are busy, and how.

Load pattern: engines that are busy for more than `BUSY_SHARE` while a new version of
the weights is rolled out. Its copy is complete at all engines at about the same time,
shortly before it has to be in use. Engines without running requests load at once. The
others take turns that are spread evenly over the remaining time, because each engine
that drains costs about half of `DRAIN_S` and the load, and fewer engines at a time
leave more slots to the requests. The first turns begin to drain before the copy is
complete. An engine whose copy is complete only after the bound interrupts its requests.

Times are seconds on one scale of the caller's choice, such as the time since the
weights that the engine holds were superseded.
"""

import enum
from dataclasses import dataclass

# Below this share of used slots, the other engines have room for the requests of a
# third of them, and the waves of `distribution.waves` end sooner.
BUSY_SHARE = 0.6
# The approximate time that an engine takes to finish its running requests.
DRAIN_S = 1.2
# An engine of the first wave whose copy is late accepts requests again after this time
# of draining. Engines with turns do so earlier: with the longer limit, more of them are
# idle on the model when a chunk is late.
DRAIN_MAX_S = 2.0
TURN_DRAIN_MAX_S = 1.5
# The turns for a newer version need at least this long to take place one after another.
# A version is skipped in favour of a newer one only if that much is left.
SKIP_SPREAD_S = 1.5


@dataclass(frozen=True)
class EngineState:
    """What is known of one engine.

    :param load: the number of requests that run or wait there.
    :param slots: the number of requests that it runs at a time.
    :param version: the version of the weights that it holds, 0 for none.
    """

    id: str
    failure_domain: str
    load: int
    slots: int
    version: int


class Step(enum.Enum):
    """What an engine does now."""

    SERVE = "serve"
    DRAIN = "drain"
    LOAD = "queue"
    INTERRUPT = "preempt"


class TurnPlan:
    """The turns in which the engines of one service change weights.

    The plan is made once for an update and kept until all engines have the newest
    version, so that a turn does not move while its engine drains.
    """

    def __init__(self):
        self._turns = {}

    def update(self, engines, newest):
        """Make the plan if an update begins on busy engines; drop it if it has ended.

        Engines that become known later share the last turn.

        :param engines: the `EngineState` objects of one service.
        :param newest: the newest named version.
        """
        serving = [engine for engine in engines if engine.version > 0]
        pending = [engine for engine in serving if engine.version < newest]
        if not pending:
            self._turns = {}
            return
        if not self._turns:
            if busy_share(serving) >= BUSY_SHARE:
                self._turns = {
                    engine_id: turn for turn, engine_id in enumerate(order(pending))
                }
            return
        last = max(self._turns.values())
        for engine in pending:
            self._turns.setdefault(engine.id, last)

    def turn(self, engine_id):
        """Return the turn of an engine and the number of turns.

        :returns: an empty tuple if the engine has no turn.
        """
        turn = self._turns.get(engine_id)
        if turn is None:
            return ()
        return turn, max(self._turns.values()) + 1


def busy_share(engines):
    """Return the share of the slots of `engines` that are used, from 0 to 1."""
    slots = sum(engine.slots for engine in engines)
    if not slots:
        return 0.0
    return sum(min(engine.load, engine.slots) for engine in engines) / slots


def order(engines):
    """Return the ids of engines in the order in which they change weights.

    The failure domains alternate in proportion to their engines, so that none of them
    is without many engines at a time. Within one, engines with few requests go first.
    """
    domains = {}
    for engine in engines:
        domains.setdefault(engine.failure_domain, []).append(engine)
    ranked = []
    for domain, members in domains.items():
        members.sort(key=lambda engine: (engine.load, engine.id))
        ranked += [
            ((rank + 0.5) / len(members), domain, engine.id)
            for rank, engine in enumerate(members)
        ]
    return [engine_id for _, _, engine_id in sorted(ranked)]


def close_time_s(turn, ready_s, latest_s):
    """Return the time at which an engine stops taking requests.

    :param turn: what `TurnPlan.turn` returned.
    :param ready_s: when its copy is complete, or is expected to be.
    :param latest_s: when the last engine has to be ordered to load.
    """
    index, count = turn
    first_s = min(ready_s - DRAIN_S, latest_s)
    share = index / (count - 1) if count > 1 else 0.0
    return first_s + share * (latest_s - first_s)


def is_skipped(ready_newer_s, latest_s):
    """Return whether a version is skipped, as the next one will be loaded in its time.

    :param ready_newer_s: when the copy of the next version is expected to be complete.
    :param latest_s: when the last engine has to be ordered to load the older one.
    """
    return ready_newer_s + SKIP_SPREAD_S <= latest_s


@dataclass
class EngineTurn:
    """Follows the turn of one engine to its load of one version.

    :param drains_since_s: when it began to drain, or None.
    """

    drains_since_s: float | None = None

    def choose_step(self, now_s, close_s, order_s, bound_s, is_complete, running):
        """Return the `Step` of the engine now.

        An engine that is ordered to load before the bound finishes its running requests
        first. None begins on superseded weights after that, so they may end later.

        :param close_s: its `close_time_s`.
        :param order_s: when it is ordered to load if requests are still running.
        :param bound_s: when the version has to be in use.
        :param is_complete: whether its copy is complete.
        :param running: the number of its running requests.
        """
        is_due = now_s >= close_s
        if is_complete:
            if now_s >= bound_s:
                return Step.INTERRUPT if running else Step.LOAD
            if not running or now_s >= order_s:
                return Step.LOAD
            return Step.DRAIN if is_due else Step.SERVE
        if now_s >= bound_s:
            return Step.DRAIN
        if self.drains_since_s is None and is_due:
            self.drains_since_s = now_s
        # The expected time of a copy varies, which must not interrupt the draining.
        drains = (
            self.drains_since_s is not None
            and now_s - self.drains_since_s < TURN_DRAIN_MAX_S
        )
        return Step.DRAIN if drains else Step.SERVE
