"""Answers the entries that ask whether they may send a request to an engine."""

from prometheus_client import Counter

from ..placement.engine_cost import PassCost
from ..placement.grants import CLOSED_WAIT_S, Decision, Demand, GrantPolicy
from .messages import GrantReply, encode

_ANSWERS = Counter(
    "briarbeam_grant_answers", "Requests that entries asked to place", ["result"]
)
_DECISIONS = Counter(
    "briarbeam_grant_decisions",
    "Decisions on requests that state a priority",
    ["priority", "cause"],
)
# Priorities above this share one label, so that a metric has a bounded size.
LABELLED_PRIORITY_MAX = 9


class GrantServer:
    """Receives the questions of entries for the `GrantPolicy` of one engine.

    :param clock: the `Clock`.
    :param send: a function of a datagram's bytes and a host.
    :param accepts: a function that returns whether the engine accepts requests.
    :param drain_left_s: a function that returns how long an engine that drains may still
        run requests, or None if it may take none.
    """

    def __init__(self, clock, send, accepts, drain_left_s=lambda: None):
        self._clock = clock
        self._send = send
        self._accepts = accepts
        self._drain_left_s = drain_left_s
        self._policy = GrantPolicy()

    def observe(self, report):
        """Apply a fresh `EngineReport`."""
        self._policy.observe(
            report.running + report.waiting, report.slowdown, self._clock.monotonic_s()
        )

    def answer(self, request, host):
        """Answer the `GrantRequest` of the entry at `host`."""
        decision = self._decide(request)
        _ANSWERS.labels("granted" if decision.granted else "refused").inc()
        if request.priority >= 0:
            priority = min(request.priority, LABELLED_PRIORITY_MAX)
            _DECISIONS.labels(priority, decision.cause or "granted").inc()
        reply = GrantReply(
            request.number,
            decision.granted,
            round(decision.wait_s, 4),
            decision.free_slots,
        )
        self._send(encode(reply), host)

    def _decide(self, request):
        left_s = None
        if not self._accepts():
            left_s = self._drain_left_s()
            if left_s is None:
                return Decision(False, CLOSED_WAIT_S, "closed")
        demand = Demand(
            request.read_s,
            request.within_s,
            request.wait_max_s,
            request.cold_requests_per_s,
            request.priority,
            request.team,
            request.returned,
            request.prompt_tokens,
            request.answer_tokens,
            request.token_capacity,
        )
        cost = PassCost(
            request.slots,
            request.base_s,
            request.per_request_s,
            _passes(request),
        )
        if left_s is not None:
            now_s = self._clock.monotonic_s()
            if self._policy.predict_end_s(demand, cost, now_s) > left_s:
                return Decision(False, CLOSED_WAIT_S, "closed")
        return self._policy.decide(demand, cost, self._clock.monotonic_s())


def _passes(request):
    """Return the number of passes that the answer to a request is expected to take.

    Requests do not state the length of their answers, so the usual one applies.
    """
    return request.passes_per_answer
