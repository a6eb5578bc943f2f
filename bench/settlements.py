"""Callers of a plain service whose calls must run at most once, each with a key."""

import hashlib
import itertools
import json
import time
import uuid
from collections import Counter
from dataclasses import dataclass, field

import gevent

from briarbeam.kernel.errors import NetworkError
from briarbeam.kernel.network import HttpRequest, fetch

from .callers import Balancer

PATH = "settlements"
CALL_TIMEOUT_S = 15.0
RETRY_PAUSE_S = 0.2


@dataclass
class Settlement:
    """One instruction and the result of each attempt to send it.

    :param attempts: the results: ``ok``, ``wrong`` (a wrong receipt), ``lost`` (no
        valid answer), or the field ``ran`` of a refusal: ``no``, ``yes`` or
        ``unknown``.
    :param codes: the error code of each attempt, empty without an error answer.
    :param not_run_ids: request ids of the attempts that were refused as "not run".
    """

    body: str
    key: str
    started_s: float
    attempts: list = field(default_factory=list)
    codes: list = field(default_factory=list)
    not_run_ids: list = field(default_factory=list)

    @property
    def answered(self):
        """Whether the caller received the correct receipt."""
        return "ok" in self.attempts

    @property
    def reported_not_run(self):
        """Whether every attempt was refused as "not run"."""
        return bool(self.attempts) and set(self.attempts) == {"no"}


class Settlements:
    """Sends instructions at a fixed rate, each retried with its key until answered.

    :param site: the `Site` to call.
    :param rate_per_s: instructions per second.
    :param attempts_max: the most attempts that a caller makes with one key.
    :param racing: send each instruction twice at the same time.
    :param keyed: send an idempotency key with each instruction; if false, set
        `attempts_max` to 1, because a retry could run an instruction twice.
    """

    def __init__(self, site, rate_per_s, attempts_max=4, racing=False, keyed=True):
        self._site = site
        self._rate_per_s = rate_per_s
        self._attempts_max = attempts_max
        self._racing = racing
        self._keyed = keyed
        self._balancer = Balancer(site)
        self._name = uuid.uuid4().hex[:8]
        self._running = []
        self._sender = None
        self.settlements = []

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
        """Whether instructions are being sent."""
        return self._sender is not None and not self._sender.dead

    def run_counts(self):
        """Return how often each instruction ran, by body, as the services recorded."""
        return Counter(record["body"] for record in self._records())

    def answered_since(self, since_s):
        """Return whether an instruction first sent after `since_s` was answered."""
        return any(
            item.answered for item in self.settlements if item.started_s > since_s
        )

    def doubled(self):
        """Return the instructions that ran more than once."""
        return [body for body, count in self.run_counts().items() if count > 1]

    def lost(self):
        """Return the instructions that were answered but never ran."""
        run_counts = self.run_counts()
        return [
            item
            for item in self.settlements
            if item.answered and not run_counts[item.body]
        ]

    def false_not_run(self):
        """Return the instructions that ran in an attempt refused as "not run"."""
        run_counts = self.run_counts()
        ids = {record["request_id"] for record in self._records()}
        return [
            item
            for item in self.settlements
            if ids.intersection(item.not_run_ids)
            or (item.reported_not_run and run_counts[item.body])
        ]

    def wrong(self):
        """Return the instructions that were answered with a wrong receipt."""
        return [item for item in self.settlements if "wrong" in item.attempts]

    def _records(self):
        """Return the services' records of these instructions."""
        return [
            record
            for instance in self._site.targets("service")
            for record in self._site.backend_records(instance)
            if record["event"] == "ran" and self._name in record["body"]
        ]

    def _send(self):
        for number in itertools.count():
            body = json.dumps({"settlement": f"{self._name}-{number}"})
            item = Settlement(body, uuid.uuid4().hex, time.monotonic())
            self.settlements.append(item)
            for _ in range(2 if self._racing else 1):
                self._running.append(gevent.spawn(self._send_until_answered, item))
            gevent.sleep(1 / self._rate_per_s)

    def _send_until_answered(self, item):
        for _ in range(self._attempts_max):
            result, code = self._attempt(self._balancer.choose(), item)
            item.attempts.append(result)
            item.codes.append(code)
            if result in ("ok", "wrong", "yes"):
                return
            gevent.sleep(RETRY_PAUSE_S)

    def _attempt(self, entry, item):
        headers = {"content-type": "application/json"}
        if self._keyed:
            headers["idempotency-key"] = item.key
        path = f"/services/{self._site.service}/{PATH}"
        request = HttpRequest(
            "POST", path, item.body.encode(), headers, CALL_TIMEOUT_S, fresh=True
        )
        try:
            status, headers, answer = fetch(self._site.network, entry.http, request)
            value = json.loads(answer)
        except (NetworkError, ValueError):
            return "lost", ""
        if status != 200:
            if value["error"]["ran"] == "no" and "x-request-id" in headers:
                item.not_run_ids.append(headers["x-request-id"])
            return value["error"]["ran"], value["error"]["code"]
        receipt = hashlib.sha256(f"{PATH}/{item.body}".encode()).hexdigest()
        return ("ok" if value["receipt"] == receipt else "wrong"), ""
