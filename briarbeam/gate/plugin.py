"""The gate: the only way to a target's back end."""

import hashlib
import json

import gevent
from prometheus_client import Counter, Gauge

from ..kernel.errors import (
    BriarbeamError,
    DeadlineExpiredError,
    InvalidRequestError,
    OutcomeUnknownError,
    UnavailableError,
)
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from .admission import Admission, Ticket
from .backends import backends
from .claims import Claims, claim_name

LOAD_HEADER = "x-briarbeam-load"
PROBE_INTERVAL_S = 0.25
CALLER_POLL_S = 0.1

_ADMITTED = Counter("briarbeam_admitted", "Requests sent to the back end")
_REFUSED = Counter("briarbeam_refused", "Requests refused", ["code"])
_LIMIT = Gauge("briarbeam_admission_limit", "Requests admitted at once")
_COLD = Counter("briarbeam_turned_cold", "Changes of the back end's incarnation")


@plugins.register("gate")
class GatePlugin(Plugin):
    """Admits requests to the back end and watches over its state."""

    roles = ("target",)

    def __init__(self, kernel):
        super().__init__(kernel)
        chosen = self.settings.target
        self.admission = Admission(
            kernel.clock,
            chosen.cold_concurrency,
            chosen.warm_concurrency,
            chosen.queue_max,
        )
        self.backend = backends.get(chosen.backend)(
            kernel.network, chosen.backend_address
        )
        self.loaded = {}
        self._incarnation = None
        self._claims = Claims(kernel.find("platform").objects)
        self._configuration = kernel.find("configuration")
        kernel.router.add("POST", "/gate/generate", self._generate)
        kernel.router.add("POST", "/gate/call", self._call)
        _LIMIT.set_function(lambda: self.admission.load().limit)

    def start(self):
        self.kernel.tasks.repeat(self.probe, PROBE_INTERVAL_S, self.clock)

    def ready(self):
        return not self.admission.load().closed

    def drain(self):
        self.admission.close("leaving")
        self.admission.wait_idle(self.settings.drain_timeout_s)

    def probe(self):
        """Look at the back end and at the configuration."""
        domain = self.settings.instance.failure_domain
        if self._configuration.configuration.in_service(domain):
            self.admission.open("out_of_service")
        else:
            self.admission.close("out_of_service", domain)
        try:
            status = self.backend.status()
        except UnavailableError as error:
            self.admission.close("backend", str(error))
            return
        self.note_incarnation(status.incarnation)
        self.loaded = status.loaded
        self.admission.open("backend")

    def note_incarnation(self, incarnation):
        """Start cold if the back end is not the one seen last."""
        if incarnation == self._incarnation:
            return
        self._incarnation = incarnation
        self.admission.turn_cold()
        _COLD.inc()

    def _generate(self, request):
        envelope = _Envelope(request.json(), self.clock)
        ticket = self._enter(envelope)
        try:
            version = self._check_version(envelope)
            self.admission.check(ticket)
            response = self.backend.generate(envelope.backend_body())
        except BriarbeamError as error:
            self.admission.leave(ticket, finished=False)
            return self._refuse(error)
        _ADMITTED.inc()
        frames = self._frames(response, envelope, ticket, request)
        headers = {**self._load_headers(), "x-briarbeam-version": version}
        return Response(200, frames, headers)

    def _frames(self, response, envelope, ticket, request):
        finished = False
        watcher = gevent.spawn(self._cancel_when_gone, request, envelope, response)
        try:
            for line in response.lines():
                frame = json.loads(line)
                self.note_incarnation(frame["incarnation"])
                finished = bool(frame.get("done"))
                if finished:
                    frame["load"] = str(self.admission.load())
                yield json.dumps(frame).encode() + b"\n"
        except BriarbeamError as error:
            unknown = OutcomeUnknownError(f"the engine's stream broke: {error}")
            yield json.dumps(unknown.to_dict()).encode() + b"\n"
        finally:
            watcher.kill(block=False)
            response.close()
            if not finished:
                gevent.spawn(self.backend.cancel, envelope.request_id)
            self.admission.leave(ticket, finished)

    def _cancel_when_gone(self, request, envelope, response):
        while not request.caller_gone():
            gevent.sleep(CALLER_POLL_S)
        self.backend.cancel(envelope.request_id)

    def _call(self, request):
        envelope = _Envelope(request.json(), self.clock)
        ticket = self._enter(envelope)
        finished = False
        try:
            answer = self._run_call(envelope, ticket)
            finished = True
        except BriarbeamError as error:
            return self._refuse(error)
        finally:
            self.admission.leave(ticket, finished)
        return Response.of_json(answer, 200, **self._load_headers())

    def _run_call(self, envelope, ticket):
        key = envelope.get("idempotency_key")
        if not key:
            self.admission.check(ticket)
            return self._send_call(envelope)
        name = claim_name(envelope.get("service"), envelope.get("team"), key)
        call_digest = envelope.call_digest()
        earlier = self._claims.take(name, envelope.request_id, call_digest)
        if earlier is not None:
            return earlier
        try:
            self.admission.check(ticket)
            answer = self._send_call(envelope)
        except OutcomeUnknownError:
            self._claims.leave(name)
            raise
        except BriarbeamError:
            self._claims.release(name)
            raise
        self._claims.finish(name, envelope.request_id, call_digest, answer)
        return answer

    def _send_call(self, envelope):
        _ADMITTED.inc()
        status, headers, body = self.backend.call(
            envelope.get("method"),
            envelope.get("path"),
            envelope.get("body", "").encode(),
            envelope.request_id,
            envelope.remaining_s(),
        )
        if "x-incarnation" in headers:
            self.note_incarnation(headers["x-incarnation"])
        return {
            "status": status,
            "content_type": headers.get("content-type", ""),
            "body": body.decode("utf-8", "replace"),
        }

    def _enter(self, envelope):
        remaining_s = envelope.remaining_s()
        if remaining_s <= 0:
            raise DeadlineExpiredError("the deadline passed on the way")
        ticket = Ticket(
            team=envelope.get("team", "default"),
            priority=envelope.get("priority", 0),
            weight=envelope.get("weight", 1.0),
            deadline_s=self.clock.monotonic_s() + remaining_s,
        )
        try:
            self.admission.enter(ticket)
        except BriarbeamError as error:
            _REFUSED.labels(error.code).inc()
            raise
        return ticket

    def _check_version(self, envelope):
        model = envelope.get("adapter") or envelope.get("model")
        version = self.loaded.get(model)
        if version is None:
            raise UnavailableError(f"no version of {model!r} is loaded")
        wanted = envelope.get("version")
        if wanted and wanted != version:
            raise UnavailableError(f"{model!r} is at {version!r}, not {wanted!r}")
        return version

    def _refuse(self, error):
        _REFUSED.labels(error.code).inc()
        response = Response.of_error(error)
        response.headers.update(self._load_headers())
        return response

    def _load_headers(self):
        return {LOAD_HEADER: str(self.admission.load())}


class _Envelope:
    """What an entry sends along with a request."""

    def __init__(self, raw, clock):
        self._raw = raw
        self._clock = clock
        for name in ("request_id", "deadline_unix_s"):
            if name not in raw:
                raise InvalidRequestError(f"the envelope has no {name!r}")
        self.request_id = raw["request_id"]

    def get(self, name, default=None):
        """Return a field."""
        return self._raw.get(name, default)

    def remaining_s(self):
        """Return the seconds left until the deadline."""
        return self._raw["deadline_unix_s"] - self._clock.now().timestamp()

    def backend_body(self):
        """Return what the engine is sent."""
        names = (
            "request_id",
            "model",
            "adapter",
            "prompt",
            "max_tokens",
            "resume_from",
        )
        return {name: self._raw[name] for name in names if self._raw.get(name)}

    def call_digest(self):
        """Return a digest of what shall run."""
        parts = [
            self._raw.get(name, "") for name in ("service", "method", "path", "body")
        ]
        return hashlib.sha256(json.dumps(parts).encode()).hexdigest()
