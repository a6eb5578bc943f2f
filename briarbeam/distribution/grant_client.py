"""Asks the daemons beside engines whether they can take a request."""

import itertools

from gevent.event import AsyncResult
from prometheus_client import Counter, Histogram

from ..placement.grants import Decision
from .messages import TEAM_MAX_CHARS, GrantRequest, encode

# How long an answer is waited for. It takes two ways of a few milliseconds; the daemon
# beside a busy engine answers a few milliseconds later.
ANSWER_TIMEOUT_S = 0.03
# How long a daemon is not asked again after it gave no answer. It doubles with each
# further one: a daemon that is loading weights answers a little late, one behind a cut
# not at all.
SILENCE_PAUSE_MIN_S, SILENCE_PAUSE_MAX_S = 0.1, 0.8
SILENCES_MAX = 10

_ASKED = Counter("briarbeam_grants_asked", "Questions to daemons", ["result"])
_ANSWER_S = Histogram(
    "briarbeam_grant_answer_seconds",
    "Time until a daemon beside an engine answered",
    buckets=(0.001, 0.002, 0.004, 0.008, 0.016, 0.03),
)


class GrantClient:
    """Asks for the places of engines, and matches the answers to the questions.

    :param clock: the `Clock`.

    `send` sends a datagram's bytes to a host.
    """

    def __init__(self, clock):
        self._clock = clock
        self._numbers = itertools.count(1)
        self._open = {}
        self.send = lambda data, host: None

    def covers(self, target):
        """Return whether the places of `target` are granted by the daemon beside it."""
        now_s = self._clock.monotonic_s()
        return target.has_fresh_report(now_s) and target.not_asked_until_s <= now_s

    def ask(self, target, demand, cost):
        """Return the `Decision` of the daemon beside `target`, or None if it is silent.

        :param demand: the `Demand` of the request.
        :param cost: the `PassCost` of the engine.
        """
        host, number = target.instance.address.host, next(self._numbers)
        answer = self._open[number, host] = AsyncResult()
        request = GrantRequest(
            number,
            round(demand.read_s, 5),
            None if demand.within_s is None else round(demand.within_s, 4),
            demand.wait_max_s,
            demand.cold_requests_per_s,
            cost.slots,
            round(cost.base_s, 6),
            round(cost.per_request_s, 7),
            round(cost.passes_per_answer, 3),
            demand.priority,
            _team_field(demand.team),
            demand.returned,
            demand.prompt_tokens,
            demand.answer_tokens,
            demand.token_capacity,
        )
        asked_s = self._clock.monotonic_s()
        try:
            self.send(encode(request), host)
            reply = answer.wait(ANSWER_TIMEOUT_S)
        finally:
            del self._open[number, host]
        now_s = self._clock.monotonic_s()
        if reply is None:
            self._record_silence(target, asked_s, now_s)
            _ASKED.labels("silent").inc()
            return None
        target.silences = 0
        _ANSWER_S.observe(now_s - asked_s)
        _ASKED.labels("granted" if reply.granted else "refused").inc()
        return Decision(reply.granted, reply.wait_s, free_slots=reply.free_slots)

    def _record_silence(self, target, asked_s, now_s):
        # Questions that were open together count as one.
        if asked_s < target.not_asked_until_s:
            return
        pause_s = SILENCE_PAUSE_MIN_S * 2 ** min(target.silences, SILENCES_MAX)
        target.silences += 1
        target.not_asked_until_s = now_s + min(SILENCE_PAUSE_MAX_S, pause_s)

    def handle_reply(self, host, reply):
        """Apply a `GrantReply` of the daemon at `host`; a late one has no effect."""
        answer = self._open.get((reply.number, host))
        if answer is not None:
            answer.set(reply)


def _team_field(team):
    """Return a name that a `GrantRequest` may have; daemons refuse all others."""
    return team[:TEAM_MAX_CHARS] if team.isprintable() else ""
