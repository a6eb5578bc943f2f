"""The gate: the only way to a target's back end."""

from collections import deque

import gevent
from gevent.event import Event
from prometheus_client import Counter, Gauge

from ..configuration.documents import CONFIGURATION
from ..kernel.errors import (
    BriarbeamError,
    DeadlineExpiredError,
    NoPlaceError,
    OutcomeUnknownError,
    OverloadedError,
    UnavailableError,
)
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from ..wire.headers import LOAD_HEADER, REQUEST_ID_HEADER, VERSION_HEADER
from .admission import Admission, Ticket
from .backends import backends
from .calls import Calls
from .envelope import Envelope
from .stall import StallWatch
from .stream import AnswerStream

PROBE_INTERVAL_S = 0.25
PROBE_OPEN_INTERVAL_S = 1.0
TICK_INTERVAL_S = 0.05
REFRESH_INTERVAL_S = 0.1
CONFIRM_TIMEOUT_S = 3.0
INHERITED_WORK_MAX_S = 10.0
INCARNATIONS_KEPT = 16

_ADMITTED = Counter("briarbeam_admitted", "Requests sent to the back end")
_REFUSED = Counter("briarbeam_refused", "Requests refused", ["code"])
_LIMIT = Gauge("briarbeam_admission_limit", "Requests admitted at once")
_RUNNING = Gauge("briarbeam_admission_running", "Requests that hold a place")
_QUEUED = Gauge("briarbeam_admission_queued", "Requests that wait for a place")
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
        self._earlier_incarnations = deque(maxlen=INCARNATIONS_KEPT)
        self._probe_wanted = Event()
        self._probes = 0
        self._newest_probe = 0
        self._inherited_work_until_s = None
        self._stalled_at_s = None
        self._configuration_trusted = False
        self._stalls = StallWatch(kernel.clock, self._on_stall)
        self._configuration = kernel.find("configuration")
        self._calls = Calls(self, kernel.find("platform").objects)
        self._configuration.documents.subscribe(CONFIGURATION, self._apply_domain_state)
        kernel.router.add("POST", "/gate/generate", self._generate)
        kernel.router.add("POST", "/gate/call", self._call)
        _LIMIT.set_function(lambda: self.admission.load().limit)
        _RUNNING.set_function(lambda: self.admission.load().running)
        _QUEUED.set_function(lambda: self.admission.load().queued)

    @property
    def configuration(self):
        """The configuration in force."""
        return self._configuration.configuration

    @property
    def members(self):
        """The listed members by name."""
        return self._configuration.members

    def start(self):
        self._apply_domain_state()
        self.kernel.tasks.repeat(self._watch_backend, 0.0, self.clock)
        self.kernel.tasks.repeat(self._tick, TICK_INTERVAL_S, self.clock)
        self._calls.start()

    def ready(self):
        return not self.admission.load().closed

    def drain(self):
        self.admission.close("leaving")
        self.admission.wait_idle(self.settings.drain_timeout_s)
        self._calls.drain()

    def probe(self):
        """Look at the back end and take in which one it is and what it has loaded."""
        self._probes += 1
        number = self._probes
        started_s = self.clock.monotonic_s()
        try:
            status = self.backend.status()
        except UnavailableError as error:
            if number > self._newest_probe:
                self.admission.close("backend", str(error))
            return
        if number < self._newest_probe:
            return
        self._newest_probe = number
        unchanged = status.incarnation == self._incarnation
        if not self.note_incarnation(status.incarnation):
            return
        self.loaded = status.loaded
        if self._inherited_work_runs(status.running):
            self.admission.close("backend", "finishes work of an earlier daemon")
            return
        if unchanged:
            self.admission.note_probe(started_s)
        self.admission.open("backend")

    def request_probe(self):
        """Send nothing more until a probe has shown who is there."""
        self.admission.require_probe()
        self._probe_wanted.set()

    def note_incarnation(self, incarnation):
        """Start cold if the back end is not the one seen last.

        :returns: whether it is the present one, rather than one of the past.
        """
        if incarnation == self._incarnation:
            return True
        if incarnation in self._earlier_incarnations:
            return False
        if self._incarnation is not None:
            self._earlier_incarnations.append(self._incarnation)
        self._incarnation = incarnation
        self.admission.reset_limit()
        _COLD.inc()
        return True

    def before_send_check(self, ticket):
        """Return what is called right before the first byte of a request leaves.

        It raises a typed "not run" if the request must not be sent any more.
        """

        def before_send():
            self._stalls.check()
            self.admission.check(ticket)
            _ADMITTED.inc()

        return before_send

    def _generate(self, request):
        return self._serve(request, self._start_generation)

    def _call(self, request):
        return self._serve(request, self._run_call)

    def _serve(self, request, run):
        """Return the reply to a request, with its id and the present load."""
        envelope = Envelope(request.json(), self.clock)
        try:
            self._stalls.check()
            response = run(envelope, request)
        except BriarbeamError as error:
            _REFUSED.labels(error.code).inc()
            response = Response.of_error(error)
        response.headers[REQUEST_ID_HEADER] = envelope.request_id
        response.headers[LOAD_HEADER] = str(self.admission.load())
        return response

    def _start_generation(self, envelope, request):
        ticket = self._admit(envelope, request)
        self.admission.start(ticket)
        try:
            expected = self._expected_versions(envelope)
            body = envelope.engine_body(expected)
            response = self.backend.generate(body, self.before_send_check(ticket))
        except BriarbeamError as error:
            self._handle_failed_start(ticket, envelope, error)
            raise
        except BaseException:
            self.admission.release(ticket, finished=False)
            raise
        stream = AnswerStream(self, response, envelope, ticket, request, expected)
        version = expected.get("adapter_version") or expected["version"]
        return Response(200, stream, {VERSION_HEADER: version})

    def _run_call(self, envelope, request):
        ticket = self._admit(envelope, request)
        finished = False
        try:
            answer = self._calls.run(envelope, ticket)
            finished = True
        finally:
            self.admission.release(ticket, finished)
        return Response.of_json(answer)

    def _admit(self, envelope, request):
        remaining_s = envelope.remaining_s()
        if remaining_s <= 0:
            raise DeadlineExpiredError("the deadline passed on the way")
        if (
            not envelope.get("may_wait", True)
            and not self.admission.load().has_free_slot
        ):
            raise NoPlaceError("no place is free")
        ticket = Ticket(
            team=envelope.get("team", "default"),
            priority=envelope.get("priority", 0),
            weight=envelope.get("weight", 1.0),
            deadline_s=self.clock.monotonic_s() + remaining_s,
            caller_disconnected=request.caller_gone,
        )
        self.admission.acquire(ticket)
        return ticket

    def _handle_failed_start(self, ticket, envelope, error):
        """End what could not be started; one that may run is cancelled first."""
        if isinstance(error, OverloadedError | OutcomeUnknownError):
            self.admission.shrink()
        if isinstance(error, UnavailableError | OutcomeUnknownError):
            self.request_probe()
        if isinstance(error, OutcomeUnknownError):
            self.kernel.tasks.spawn(self._cancel, ticket, envelope)
        else:
            self.admission.release(ticket, finished=False)

    def _cancel(self, ticket, envelope):
        while not self.backend.cancel(envelope.request_id):
            self.clock.sleep(PROBE_INTERVAL_S)
        self.admission.release(ticket, finished=False)

    def _expected_versions(self, envelope):
        """Return the versions that the answer's frames have to name, by field."""
        model, adapter = envelope.get("model"), envelope.get("adapter")
        expected = {"version": self._loaded_version(model)}
        if adapter:
            expected["adapter_version"] = self._loaded_version(adapter)
        wanted = envelope.get("version")
        found = expected.get("adapter_version") or expected["version"]
        if wanted and wanted != found:
            raise UnavailableError(f"{adapter or model!r} is at {found!r}")
        return expected

    def _loaded_version(self, name):
        version = self.loaded.get(name)
        if version is None:
            raise UnavailableError(f"no version of {name!r} is loaded")
        return version

    def _inherited_work_runs(self, running):
        """Return whether work that another daemon started is still running.

        Only a daemon that has just started can meet it; it gets the back end's
        whole room only afterwards.
        """
        now_s = self.clock.monotonic_s()
        if self._inherited_work_until_s is None:
            self._inherited_work_until_s = now_s + INHERITED_WORK_MAX_S
        if running and now_s < self._inherited_work_until_s:
            return True
        self._inherited_work_until_s = now_s
        return False

    def _watch_backend(self):
        closed = self.admission.load().closed
        self._probe_wanted.wait(PROBE_INTERVAL_S if closed else PROBE_OPEN_INTERVAL_S)
        self._probe_wanted.clear()
        self.probe()

    def _tick(self):
        self._stalls.check()
        if self._configuration.settled and not self._configuration_trusted:
            self._apply_domain_state()
        self.admission.sweep()
        if self.admission.blocked_on_probe():
            self._probe_wanted.set()

    def _apply_domain_state(self, document=None):
        """Put in force whether this failure domain is in service.

        Until enough was heard to trust the configuration, it counts as out.
        """
        domain = self.settings.instance.failure_domain
        self._configuration_trusted = self._configuration.settled
        if not self._configuration_trusted or not self.configuration.revision:
            self.admission.close("out_of_service", "no configuration yet")
        elif not self.configuration.in_service(domain):
            self.admission.close("out_of_service", domain)
        else:
            self.admission.open("out_of_service")

    def _on_stall(self):
        """Take no work until someone has confirmed what is in force now."""
        self.admission.close("unconfirmed")
        self._stalled_at_s = self.clock.monotonic_s()
        self.request_probe()
        self.kernel.tasks.spawn(self._confirm_state, self._stalled_at_s)

    def _confirm_state(self, stalled_at_s):
        """Ask platform and peers; a target that reaches nobody goes on after a while."""
        while self._stalled_at_s == stalled_at_s:
            unconfirmed_s = self.clock.monotonic_s() - stalled_at_s
            if self._configuration.refresh() or unconfirmed_s >= CONFIRM_TIMEOUT_S:
                break
            gevent.sleep(REFRESH_INTERVAL_S)
        if self._stalled_at_s == stalled_at_s:
            self._stalled_at_s = None
            self.admission.open("unconfirmed")
