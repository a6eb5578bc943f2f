"""Follows the turn of one engine to load new weights while engines are busy."""

from dataclasses import dataclass

import structlog
from prometheus_client import Counter

from ..placement.rolling_update import (
    EngineTurn,
    Step,
    close_time_s,
    is_skipped,
)
from .waves import LAST_ORDER_LEAD_S

_TURNS = Counter(
    "briarbeam_turns",
    "Loads of new weights in the turn of the engine",
    ["strategy"],
)
_log = structlog.get_logger()


@dataclass(frozen=True)
class Choice:
    """What an engine does now on its way to new weights.

    :param version: the version that it loads next, 0 for none.
    :param step: the `Step`.
    :param is_closed: whether it takes no usual requests. An engine that loads without
        having drained takes them until its copy is staged and the order is announced.
    :param left_s: the seconds until it loads if it drains.
    :param bound_left_s: the seconds until the version has to be in use.
    """

    version: int = 0
    step: Step = Step.SERVE
    is_closed: bool = False
    left_s: float = 0.0
    bound_left_s: float = 0.0


class TurnFollower:
    """Chooses what an engine does, by the turn in the greeting of one entry.

    :param clock: the `Clock`.
    :param namings: the `NamingHistory`.
    :param copies: the `Copy` objects of the stager, by version.
    :param short_s: how long an engine that drains may take short requests before it is
        ordered to load its complete copy. It is 0 as long as entries send it none: the
        engine itself loads sooner after its last request than a stager that waits.
    """

    def __init__(self, clock, namings, copies, short_s=0.0):
        self._clock = clock
        self._namings = namings
        self._copies = copies
        self._short_s = short_s
        self._ready_s = {}
        self._engine_turn = EngineTurn()
        self._target = 0
        self._order_logged = None
        self._drain_logged = 0

    def choose(self, greeting, held, running):
        """Return the `Choice` for now.

        :param greeting: a `Greeting` with a turn.
        :param held: the version of the weights that the engine holds.
        :param running: the number of its running requests.
        """
        superseded_s = self._namings.superseded_at_s(held)
        if superseded_s is None:
            return Choice()
        now_s = self._clock.boottime_s()
        latest_s = superseded_s + greeting.version_within_s - LAST_ORDER_LEAD_S
        version = self._choose_version(held, now_s, latest_s)
        if not version:
            return Choice()
        if version != self._target:
            self._target, self._engine_turn = version, EngineTurn()
        ready_s = self._expect_ready_s(version, now_s)
        close_s = close_time_s(greeting.turn, ready_s, latest_s)
        bound_s = superseded_s + greeting.version_within_s
        # Until then, it takes short requests.
        order_s = max(ready_s, min(close_s + self._short_s, latest_s))
        step = self._engine_turn.choose_step(
            now_s, close_s, order_s, bound_s, version in self._ready_s, running
        )
        if step is Step.DRAIN and self._drain_logged != version:
            self._drain_logged = version
            _log.info("drain_begun", version=version)
        loads_open = (
            step is Step.LOAD
            and running > 0
            and now_s < latest_s
            and self._engine_turn.drains_since_s is None
        )
        is_closed = step is not Step.SERVE and not loads_open
        left_s = max(0.0, max(ready_s, close_s + self._short_s) - now_s)
        return Choice(version, step, is_closed, left_s, bound_s - now_s)

    def choose_order(self, greeting, held, running):
        """Return the version to load now and the strategy of `order_load`.

        :returns: the strategy is None while the engine is not to load.
        """
        choice = self.choose(greeting, held, running)
        if choice.step not in (Step.LOAD, Step.INTERRUPT):
            return choice.version, None
        strategy = choice.step.value
        if self._order_logged != (choice.version, strategy):
            self._order_logged = choice.version, strategy
            _TURNS.labels(strategy).inc()
            turn, turns = greeting.turn
            _log.info(
                "turn_followed",
                version=choice.version,
                held=held,
                turn=turn,
                turns=turns,
                strategy=strategy,
                running=running,
                bound_left_s=round(choice.bound_left_s, 3),
            )
        return choice.version, strategy

    def _choose_version(self, held, now_s, latest_s):
        """Return the version that the engine loads next, 0 for none.

        That is the newest complete one, unless a newer copy will be complete early
        enough to be loaded everywhere in the time of the older one.
        """
        newer = [version for version in self._copies if version > held]
        complete = max((v for v in newer if self._is_complete(v)), default=0)
        expected_s = {
            version: self._expect_ready_s(version, now_s)
            for version in newer
            if version > complete
        }
        if not complete:
            return min(expected_s, key=expected_s.get, default=0)
        skipping = [v for v, at_s in expected_s.items() if is_skipped(at_s, latest_s)]
        return max(skipping, default=complete)

    def _is_complete(self, version):
        return not self._copies[version].missing()

    def _expect_ready_s(self, version, now_s):
        """Return when a copy was first found complete, or is expected to be."""
        if not self._is_complete(version):
            self._ready_s.pop(version, None)
            return now_s + self._copies[version].eta_s()
        return self._ready_s.setdefault(version, now_s)
