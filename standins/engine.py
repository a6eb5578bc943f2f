"""A stand-in for a model engine with continuous batching.

Each token is derived from the digest of the weights that generated it, so that
checks can tell for every token of an answer which weights it came from.
"""

from .base import Faults, EventLog, new_router, new_parser, serve  # isort: skip

import hashlib
import json
import uuid

import gevent

from briarbeam.kernel.http import Response
from briarbeam.kernel.network import Address, HttpNetwork, HttpRequest, fetch

WARM_CONCURRENCY = 16
COLLAPSE_FACTOR = 2


def token_of(weights_digest, adapter_digest, prompt, index):
    """Return the token that the given weights generate at `index`."""
    text = f"{weights_digest}/{adapter_digest}/{prompt}/{index}"
    return hashlib.sha256(text.encode()).hexdigest()[:6]


class Engine:
    """Generates tokens, executes orders, and restarts when it is overloaded.

    The engine tolerates `cold_concurrency` concurrent requests after a restart, and one
    more with each finished request, up to `WARM_CONCURRENCY`. If more than
    `COLLAPSE_FACTOR` times this limit run, it breaks all streams and restarts.

    Faults: ``step_s`` is the time per token; ``load_s`` the time per order;
    ``break_after`` breaks each stream after this number of tokens, 0 for none;
    ``silent`` sends no answer for 60 s; ``ignore_fencing`` accepts orders with any
    fencing number.
    """

    def __init__(self, cold_concurrency, event_log):
        self.faults = Faults(
            step_s=0.01, load_s=0.2, break_after=0, silent=False, ignore_fencing=False
        )
        self._cold_concurrency = cold_concurrency
        self._event_log = event_log
        self._fence = 0
        self._loaded = {}
        self._adapters = {}
        self._running = {}
        self._restart("start")

    def router(self):
        """Return a router with the HTTP interface of this stand-in."""
        router = new_router(self.faults)
        router.add("GET", "/status", self.status)
        router.add("POST", "/generate", self.generate)
        router.add("POST", "/cancel", self.cancel)
        router.add("POST", "/orders", self.order)
        router.add("POST", "/turn_cold", self.turn_cold)
        router.add("GET", "/truth", self._event_log.show)
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
        fields = request.json()
        model = self._loaded.get(fields["model"])
        adapter = self._adapters.get(fields.get("adapter"))
        if model is None or (fields.get("adapter") and adapter is None):
            return Response.of_json({"error": "not loaded"}, 404)
        if self.faults.silent:
            gevent.sleep(60)
        if request.caller_disconnected():
            raise ConnectionResetError("caller disconnected before the start")
        versions = {"version": model["version"]}
        if adapter:
            versions["adapter_version"] = adapter["version"]
        if fields.get("expected_versions", versions) != versions:
            return Response.of_json({"error": "other version", **versions}, 409)
        self._admit(fields)
        return Response(200, self._stream(fields, model, adapter))

    def cancel(self, request):
        cancelled = self._running.pop(request.json()["request_id"], None)
        return Response.of_json({"cancelled": cancelled is not None})

    def turn_cold(self, request):
        """Become cold without notice, as after a restart in place."""
        self._restart("turned_cold")
        return Response.of_json({"incarnation": self._incarnation})

    def order(self, request):
        fields = request.json()
        if fields["fence"] < self._fence and not self.faults.ignore_fencing:
            return Response.of_json({"error": "stale fence", "fence": self._fence}, 409)
        self._fence = max(self._fence, fields["fence"])
        gevent.sleep(self.faults.load_s)
        if self._running:
            self._event_log.add(
                event="loaded_while_running", running=len(self._running)
            )
        digest = self._fetch_weights_digest(fields["weights_url"])
        if digest != fields["weights_digest"]:
            self._event_log.add(event="bad_weights", order=fields, digest=digest)
            return Response.of_json({"error": "bad weights"}, 422)
        loaded = {"version": fields["version"], "weights_digest": digest}
        if fields["kind"] == "adapter":
            base = self._loaded.get(fields["base"], {})
            if base.get("version") != fields["base_version"]:
                return Response.of_json({"error": "wrong base version"}, 409)
            self._adapters[fields["name"]] = {**loaded, "base": fields["base"]}
        else:
            self._loaded[fields["name"]] = loaded
            self._adapters = {
                name: adapter
                for name, adapter in self._adapters.items()
                if adapter["base"] != fields["name"]
            }
            self._restart("loaded")
        self._event_log.add(
            event="order", name=fields["name"], **loaded, fence=self._fence
        )
        return Response.of_json({"incarnation": self._incarnation, **loaded})

    def _fetch_weights_digest(self, url):
        """Return the digest of the weights at `url`; None if the status is not 200."""
        address, _, path = url.partition("/")
        request = HttpRequest("GET", f"/{path}", timeout_s=30.0)
        status, _, body = fetch(HttpNetwork(), Address.parse(address), request)
        return hashlib.sha256(body).hexdigest() if status == 200 else None

    def _restart(self, event):
        self._incarnation = uuid.uuid4().hex
        self._concurrency_limit = self._cold_concurrency
        self._running = {}
        self._event_log.add(event=event, incarnation=self._incarnation)

    def _admit(self, fields):
        """Count a request as running, and restart if too many run."""
        self._running[fields["request_id"]] = fields
        running = len(self._running)
        if running > self._concurrency_limit:
            self._event_log.add(
                event="over_limit", running=running, limit=self._concurrency_limit
            )
        if running > self._concurrency_limit * COLLAPSE_FACTOR:
            self._restart("collapsed")

    def _stream(self, fields, model, adapter):
        incarnation = self._incarnation
        request_id = fields["request_id"]
        source = {"version": model["version"], "incarnation": incarnation}
        if adapter:
            source["adapter_version"] = adapter["version"]
        digests = model["weights_digest"], (adapter or {}).get("weights_digest")
        start = fields.get("resume_from", 0)
        prompt = fields["prompt"]
        self._event_log.add(event="ran", request_id=request_id, prompt=prompt, **source)
        try:
            yield json.dumps({"started": True, **source}).encode() + b"\n"
            for index in range(start, fields["max_tokens"]):
                gevent.sleep(self.faults.step_s)
                if self._is_stream_broken(request_id, incarnation, index - start):
                    raise ConnectionResetError("stream broken")
                token = token_of(*digests, fields["prompt"], index)
                yield (
                    json.dumps({"token": token, "index": index, **source}).encode()
                    + b"\n"
                )
            end = {"done": True, "tokens": fields["max_tokens"], **source}
            self._event_log.add(event="finished", request_id=request_id)
            if incarnation == self._incarnation:
                self._concurrency_limit = min(
                    WARM_CONCURRENCY, self._concurrency_limit + 1
                )
            self._remove_request(fields)
            yield json.dumps(end).encode() + b"\n"
        finally:
            self._remove_request(fields)

    def _remove_request(self, fields):
        if self._running.get(fields["request_id"]) is fields:
            del self._running[fields["request_id"]]

    def _is_stream_broken(self, request_id, incarnation, sent_tokens):
        if incarnation != self._incarnation or request_id not in self._running:
            return True
        return self.faults.break_after and sent_tokens >= self.faults.break_after


def main():
    arguments = new_parser(__doc__)
    arguments.add_argument("--cold-concurrency", type=int, default=2)
    arguments.add_argument("--truth", default=None)
    options = arguments.parse_args()
    engine = Engine(options.cold_concurrency, EventLog(options.truth))
    serve(options.listen, engine.router())


if __name__ == "__main__":
    main()
