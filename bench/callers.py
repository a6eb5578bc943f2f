"""Callers that send live requests and check every token of the answers."""

import contextlib
import itertools
import json
import random
import time
import uuid
from collections import Counter
from dataclasses import dataclass

import gevent

from briarbeam.kernel.errors import NetworkError
from briarbeam.kernel.network import HttpRequest
from standins.engine import token_of

BALANCER_POLL_S = 0.25
BALANCER_TIMEOUT_S = 1.0


@dataclass
class Outcome:
    """The outcome of one request.

    :param result: ``ok``, ``wrong``, ``partial`` (an incomplete answer that was ended
        as if complete), ``refused`` or ``failed`` (the caller can detect that the
        answer is incomplete).
    :param started_s: monotonic time.
    :param first_token_s: seconds from the start to the first token, or None.
    :param took_s: seconds from the start to the end.
    :param ran: the field ``ran`` of the refusal: whether the request ran.
    :param code: the error code of a refusal or failure, empty if there is none.
    """

    result: str
    started_s: float
    prompt: str = ""
    first_token_s: float | None = None
    took_s: float = 0.0
    target: str = ""
    version: str = ""
    ran: str = ""
    code: str = ""
    team: str = ""
    request_id: str = ""

    @property
    def ended_s(self):
        """Monotonic time at which the answer was complete or the request had failed."""
        return self.started_s + self.took_s


class Balancer:
    """The platform's load balancer: spreads requests over the entries that are ready.

    Like the real one, it polls readiness, so it sees a change only at the next poll. If
    no entry is ready, it spreads requests over all entries.

    :param site: the `Site` whose entries it polls.
    """

    def __init__(self, site):
        self._site = site
        self._ready = list(site.entries())
        self._poller = None

    def start(self):
        """Start polling the entries."""
        self._poller = gevent.spawn(self._poll)

    def stop(self):
        """Stop polling."""
        self._poller.kill()

    def choose(self):
        """Return a random entry that was ready at the last poll."""
        return random.choice(self._ready)

    def _poll(self):
        while True:
            entries = self._site.entries()
            polls = [gevent.spawn(self._is_ready, entry) for entry in entries]
            gevent.joinall(polls)
            ready = [
                entry for entry, poll in zip(entries, polls, strict=True) if poll.value
            ]
            self._ready = ready or entries
            gevent.sleep(BALANCER_POLL_S)

    def _is_ready(self, entry):
        with contextlib.suppress(NetworkError):
            answer = self._site.ask(
                entry.http, "GET", "/readyz", timeout_s=BALANCER_TIMEOUT_S
            )
            return answer["ready"]
        return False


class Callers:
    """Sends streamed completions at a given mean rate, spread over the entries.

    :param site: the `Site` to call.
    :param rate_per_s: mean number of requests per second; may be changed while sending.
    :param team: the only team that sends requests if `teams` is None.
    :param teams: the share of the requests that each team sends, by team.
    """

    def __init__(self, site, rate_per_s, max_tokens=8, team="default", teams=None):
        self._site = site
        self.rate_per_s = rate_per_s
        self._max_tokens = max_tokens
        self._teams = teams or {team: 1.0}
        self._balancer = Balancer(site)
        self._name = uuid.uuid4().hex[:8]
        self._numbers = itertools.count()
        self._running = []
        self._sender = None
        self.outcomes = []

    def start(self):
        """Start sending."""
        self._balancer.start()
        self._sender = gevent.spawn(self._send)

    def stop(self):
        """Stop sending and wait for the requests in flight."""
        self._sender.kill()
        self._balancer.stop()
        gevent.joinall(self._running)

    @property
    def is_sending(self):
        """Whether requests are being sent."""
        return self._sender is not None and not self._sender.dead

    def counts(self):
        """Return the number of outcomes by result."""
        return Counter(outcome.result for outcome in self.outcomes)

    def first_token_p95_s(self, since_s=0.0, until_s=float("inf")):
        """Return the 95th percentile of the time to the first token; NaN without any.

        :param since_s: monotonic time from which on requests that start are counted.
        :param until_s: monotonic time until which they are counted.
        """
        times = sorted(
            outcome.first_token_s
            for outcome in self.outcomes
            if outcome.first_token_s and since_s <= outcome.started_s < until_s
        )
        return times[int(len(times) * 0.95)] if times else float("nan")

    def _send(self):
        next_s = time.monotonic()
        while True:
            entry = self._balancer.choose()
            self._running = [task for task in self._running if not task.dead]
            self._running.append(gevent.spawn(self._send_completion, entry))
            next_s += random.expovariate(self.rate_per_s)
            gevent.sleep(max(0.0, next_s - time.monotonic()))

    def _send_completion(self, entry):
        prompt = f"prompt {self._name} {next(self._numbers)}"
        outcome = self.complete(entry, prompt)
        self.outcomes.append(outcome)

    def complete(self, entry, prompt):
        """Send one streamed completion, check its tokens and return the `Outcome`."""
        outcome = Outcome("failed", time.monotonic(), prompt)
        outcome.team = random.choices(*zip(*self._teams.items(), strict=True))[0]
        body = {
            "model": self._site.model,
            "prompt": prompt,
            "max_tokens": self._max_tokens,
            "stream": True,
        }
        headers = {"content-type": "application/json", "x-team": outcome.team}
        request = HttpRequest(
            "POST", "/v1/completions", json.dumps(body).encode(), headers, 30.0, True
        )
        try:
            response = self._site.network.send(entry.http, request)
            try:
                self._read_answer(response, outcome, prompt)
            finally:
                response.close()
        except NetworkError as error:
            outcome.code = error.code
        outcome.took_s = time.monotonic() - outcome.started_s
        return outcome

    def _read_answer(self, response, outcome, prompt):
        outcome.request_id = response.headers.get("x-request-id", "")
        if response.status != 200:
            error = json.loads(response.read())["error"]
            outcome.result = "refused"
            outcome.ran, outcome.code = error["ran"], error["code"]
            return
        texts, is_complete = [], False
        for line in response.lines():
            data = line.removeprefix(b"data: ")
            if line.startswith(b"event: error"):
                outcome.code = "stream_error"
            if not line.startswith(b"data: ") or outcome.code:
                continue
            if data == b"[DONE]":
                is_complete = True
                break
            event = json.loads(data)
            if outcome.first_token_s is None:
                outcome.first_token_s = time.monotonic() - outcome.started_s
            outcome.version = event["briarbeam"]["version"]
            outcome.target = event["briarbeam"]["target"]
            texts.append(event["choices"][0]["text"])
        if not is_complete:
            outcome.code = outcome.code or "broken_off"
            return
        digest = self._site.weights_digests.get(outcome.version)
        expected = " ".join(
            token_of(digest, None, prompt, index) for index in range(self._max_tokens)
        )
        outcome.result = _classify("".join(texts), expected)


def _classify(text, expected):
    if text == expected:
        return "ok"
    return "partial" if expected.startswith(text) else "wrong"
