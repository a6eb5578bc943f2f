"""A stand-in of a model engine with continuous batching.

What a token says depends on the digest of the weights that made it, so that a
check can tell which weights an answer came from, token by token.
"""

from .base import Faults, EventLog, new_router, parser, serve  # isort: skip

import hashlib
import json
import uuid

import gevent

from briarbeam.kernel.http import Response
from briarbeam.kernel.network import Address, HttpNetwork, HttpRequest, fetch

WARM_CONCURRENCY = 16
COLLAPSE_FACTOR = 2


def token_of(weights_digest, adapter_digest, prompt, index):
    """Return the token that the given weights make at `index`."""
    text = f"{weights_digest}/{adapter_digest}/{prompt}/{index}"
    return hashlib.sha256(text.encode()).hexdigest()[:6]


class Engine:
    """Generates tokens, takes orders, and collapses under more than it can bear.

    Faults: ``step_s`` is the time of one token; ``load_s`` the time of an order;
    ``break_after`` breaks each stream after so many tokens; ``silent`` answers
    nothing; ``ignore_fencing`` takes orders with any fencing number.
    """

    def __init__(self, cold_concurrency, truth):
        self.faults = Faults(
            step_s=0.01, load_s=0.2, break_after=0, silent=False, ignore_fencing=False
        )
        self._cold_concurrency = cold_concurrency
        self._truth = truth
        self._fence = 0
        self._loaded = {}
        self._adapters = {}
        self._running = {}
        self._restart("start")

    def router(self):
        """Return the router that serves this object."""
        router = new_router(self.faults)
        router.add("GET", "/status", self.status)
        router.add("POST", "/generate", self.generate)
        router.add("POST", "/cancel", self.cancel)
        router.add("POST", "/orders", self.order)
        router.add("POST", "/turn_cold", self.turn_cold)
        router.add("GET", "/truth", self._truth.show)
        return router

    def status(self, request):
        if self.faults.silent:
            gevent.sleep(60)
        return Response.of_json(
            {
                "incarnation": self._incarnation,
                "loaded": self._loaded,
                "adapters": self._adapters,
                "running": len(self._running),
                "fence": self._fence,
            }
        )

    def generate(self, request):
        asked = request.json()
        model = self._loaded.get(asked["model"])
        adapter = self._adapters.get(asked.get("adapter"))
        if model is None or (asked.get("adapter") and adapter is None):
            return Response.of_json({"error": "not loaded"}, 404)
        if self.faults.silent:
            gevent.sleep(60)
        if request.caller_disconnected():
            raise ConnectionResetError("the caller went before the start")
        found = {"version": model["version"]}
        if adapter:
            found["adapter_version"] = adapter["version"]
        if asked.get("expected_versions", found) != found:
            return Response.of_json({"error": "other version", **found}, 409)
        self._admit(asked)
        return Response(200, self._stream(asked, model, adapter))

    def cancel(self, request):
        found = self._running.pop(request.json()["request_id"], None)
        return Response.of_json({"cancelled": found is not None})

    def turn_cold(self, request):
        """Lose the warmth without a word, as a restart in place does."""
        self._restart("turned_cold")
        return Response.of_json({"incarnation": self._incarnation})

    def order(self, request):
        asked = request.json()
        if asked["fence"] < self._fence and not self.faults.ignore_fencing:
            return Response.of_json({"error": "stale fence", "fence": self._fence}, 409)
        self._fence = max(self._fence, asked["fence"])
        gevent.sleep(self.faults.load_s)
        if self._running:
            self._truth.add(event="loaded_while_running", running=len(self._running))
        digest = self._read_weights(asked["weights_url"])
        if digest != asked["weights_digest"]:
            self._truth.add(event="bad_weights", order=asked, digest=digest)
            return Response.of_json({"error": "bad weights"}, 422)
        entry = {"version": asked["version"], "weights_digest": digest}
        if asked["kind"] == "adapter":
            base = self._loaded.get(asked["base"], {})
            if base.get("version") != asked["base_version"]:
                return Response.of_json({"error": "wrong base version"}, 409)
            self._adapters[asked["name"]] = {**entry, "base": asked["base"]}
        else:
            self._loaded[asked["name"]] = entry
            self._adapters = {
                name: adapter
                for name, adapter in self._adapters.items()
                if adapter["base"] != asked["name"]
            }
            self._restart("loaded")
        self._truth.add(event="order", name=asked["name"], **entry, fence=self._fence)
        return Response.of_json({"incarnation": self._incarnation, **entry})

    def _read_weights(self, url):
        address, _, path = url.partition("/")
        request = HttpRequest("GET", f"/{path}", timeout_s=30.0)
        status, _, body = fetch(HttpNetwork(), Address.parse(address), request)
        return hashlib.sha256(body).hexdigest() if status == 200 else None

    def _restart(self, event):
        self._incarnation = uuid.uuid4().hex
        self._bearable = self._cold_concurrency
        self._running = {}
        self._truth.add(event=event, incarnation=self._incarnation)

    def _admit(self, asked):
        self._running[asked["request_id"]] = asked
        running = len(self._running)
        if running > self._bearable:
            self._truth.add(event="over_limit", running=running, limit=self._bearable)
        if running > self._bearable * COLLAPSE_FACTOR:
            self._restart("collapsed")

    def _stream(self, asked, model, adapter):
        incarnation = self._incarnation
        request_id = asked["request_id"]
        stamp = {"version": model["version"], "incarnation": incarnation}
        if adapter:
            stamp["adapter_version"] = adapter["version"]
        digests = model["weights_digest"], (adapter or {}).get("weights_digest")
        start = asked.get("resume_from", 0)
        prompt = asked["prompt"]
        self._truth.add(event="ran", request_id=request_id, prompt=prompt, **stamp)
        try:
            yield json.dumps({"started": True, **stamp}).encode() + b"\n"
            for index in range(start, asked["max_tokens"]):
                gevent.sleep(self.faults.step_s)
                if self._broken(request_id, incarnation, index - start):
                    raise ConnectionResetError("stream broken")
                token = token_of(*digests, asked["prompt"], index)
                yield (
                    json.dumps({"token": token, "index": index, **stamp}).encode()
                    + b"\n"
                )
            end = {"done": True, "tokens": asked["max_tokens"], **stamp}
            self._truth.add(event="finished", request_id=request_id)
            if incarnation == self._incarnation:
                self._bearable = min(WARM_CONCURRENCY, self._bearable + 1)
            self._forget(asked)
            yield json.dumps(end).encode() + b"\n"
        finally:
            self._forget(asked)

    def _forget(self, asked):
        if self._running.get(asked["request_id"]) is asked:
            del self._running[asked["request_id"]]

    def _broken(self, request_id, incarnation, sent):
        if incarnation != self._incarnation or request_id not in self._running:
            return True
        return self.faults.break_after and sent >= self.faults.break_after


def main():
    arguments = parser(__doc__)
    arguments.add_argument("--cold-concurrency", type=int, default=2)
    arguments.add_argument("--truth", default=None)
    options = arguments.parse_args()
    engine = Engine(options.cold_concurrency, EventLog(options.truth))
    serve(options.listen, engine.router())


if __name__ == "__main__":
    main()
