"""The gate: the plug-in through which all requests reach a target's backend."""

from collections import deque

import gevent
from gevent.event import Event
from prometheus_client import Counter, Gauge

from ..configuration.documents import CONFIGURATION
from ..kernel.errors import (
    BriarbeamError,
    DeadlineExpiredError,
    NoFreeSlotError,
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
from .pause import PauseMonitor
from .stream import AnswerStream

PROBE_INTERVAL_S = 0.25
OPEN_PROBE_INTERVAL_S = 1.0
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
_INCARNATION_CHANGES = Counter(
    "briarbeam_turned_cold", "Changes of the back end's incarnation"
)


@plugins.register("gate")
class GatePlugin(Plugin):
    """Admits requests to the backend and monitors the backend's state."""

    roles = ("target",)

    def __init__(self, kernel):
        super().__init__(kernel)
        target_settings = self.settings.target
        self.admission = Admission(
            kernel.clock,
            target_settings.cold_concurrency,
            target_settings.warm_concurrency,
            target_settings.queue_max,
        )
        self.backend = backends.get(target_settings.backend)(
            kernel.network, target_settings.backend_address
        )
        self.loaded_versions = {}
        self._incarnation = None
        self._earlier_incarnations = deque(maxlen=INCARNATIONS_KEPT)
        self._probe_requested = Event()
        self._probe_count = 0
        self._newest_answered_probe = 0
        self._inherited_work_until_s = None
        self._paused_at_s = None
        self._configuration_confirmed = False
        self._pause_monitor = PauseMonitor(kernel.clock, self._on_pause)
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
        return not self.admission.load().closed_reason

    def drain(self):
        self.admission.close("leaving")
        self.admission.wait_idle(self.settings.drain_timeout_s)
        self._calls.drain()

    def probe(self):
        """Query the backend's status, and open or close the gate by it.

        This updates the backend's incarnation and loaded versions. The result is
        ignored if a later probe was answered first, or if an earlier incarnation sent
        it.
        """
        self._probe_count += 1
        number = self._probe_count
        started_s = self.clock.monotonic_s()
        try:
            status = self.backend.status()
        except UnavailableError as error:
            if number > self._newest_answered_probe:
                self.admission.close("backend", str(error))
            return
        if number < self._newest_answered_probe:
            return
        self._newest_answered_probe = number
        unchanged = status.incarnation == self._incarnation
        if not self.record_incarnation(status.incarnation):
            return
        self.loaded_versions = status.loaded_versions
        if self._is_inherited_work_running(status.running):
            self.admission.close("backend", "still runs requests of an earlier daemon")
            return
        if unchanged:
            self.admission.record_probe(started_s)
        self.admission.open("backend")

    def request_probe(self):
        """Send nothing until a probe has confirmed the backend; start that probe."""
        self.admission.require_probe()
        self._probe_requested.set()

    def record_incarnation(self, incarnation):
        """Record the backend's incarnation; return to the cold limit if it is new.

        :returns: whether it is the current incarnation rather than an earlier one.
        """
        if incarnation == self._incarnation:
            return True
        if incarnation in self._earlier_incarnations:
            return False
        if self._incarnation is not None:
            self._earlier_incarnations.append(self._incarnation)
        self._incarnation = incarnation
        self.admission.reset_limit()
        _INCARNATION_CHANGES.inc()
        return True

    def make_before_send(self, ticket):
        """Return the function to call right before the first byte of a request is sent.

        It raises a `NotRunError` if the request must not be sent any more.
        """

        def before_send():
            self._pause_monitor.check()
            self.admission.check_before_send(ticket)
            _ADMITTED.inc()

        return before_send

    def _generate(self, request):
        return self._serve(request, self._start_generation)

    def _call(self, request):
        return self._serve(request, self._run_call)

    def _serve(self, request, run):
        """Return the reply to a request, with its id and the current load in headers.

        :param run: function that serves the request and returns its response.
        """
        envelope = Envelope(request.json(), self.clock)
        try:
            self._pause_monitor.check()
            response = run(envelope, request)
        except BriarbeamError as error:
            _REFUSED.labels(error.code).inc()
            response = Response.of_error(error)
        response.headers[REQUEST_ID_HEADER] = envelope.request_id
        response.headers[LOAD_HEADER] = str(self.admission.load())
        return response

    def _start_generation(self, envelope, request):
        ticket = self._admit(envelope, request)
        self.admission.wait_to_send(ticket)
        try:
            expected = self._expected_versions(envelope)
            body = envelope.engine_body(expected)
            response = self.backend.generate(body, self.make_before_send(ticket))
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
            raise DeadlineExpiredError("the deadline passed before the request arrived")
        if (
            not envelope.get("may_wait", True)
            and not self.admission.load().has_free_slot
        ):
            raise NoFreeSlotError("the target has no free slot")
        ticket = Ticket(
            team=envelope.get("team", "default"),
            priority=envelope.get("priority", 0),
            weight=envelope.get("weight", 1.0),
            deadline_s=self.clock.monotonic_s() + remaining_s,
            caller_disconnected=request.caller_disconnected,
        )
        self.admission.acquire(ticket)
        return ticket

    def _handle_failed_start(self, ticket, envelope, error):
        """Release the slot of a request that failed to start.

        If the engine may run the request, the slot is kept until the request is known
        not to run any more.
        """
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
        """Return the versions that each frame of the answer must name, by field."""
        model, adapter = envelope.get("model"), envelope.get("adapter")
        expected = {"version": self._loaded_version(model)}
        if adapter:
            expected["adapter_version"] = self._loaded_version(adapter)
        required = envelope.get("version")
        loaded = expected.get("adapter_version") or expected["version"]
        if required and required != loaded:
            raise UnavailableError(
                f"loaded version of {adapter or model!r} is {loaded!r}"
            )
        return expected

    def _loaded_version(self, name):
        version = self.loaded_versions.get(name)
        if version is None:
            raise UnavailableError(f"no version of {name!r} is loaded")
        return version

    def _is_inherited_work_running(self, running):
        """Return whether requests started by a previous daemon are still running.

        Only a daemon that has just started can find any. It sends nothing until they
        have ended, or until `INHERITED_WORK_MAX_S` has passed.

        :param running: number of requests that run at the backend.
        """
        now_s = self.clock.monotonic_s()
        if self._inherited_work_until_s is None:
            self._inherited_work_until_s = now_s + INHERITED_WORK_MAX_S
        if running and now_s < self._inherited_work_until_s:
            return True
        self._inherited_work_until_s = now_s
        return False

    def _watch_backend(self):
        closed = self.admission.load().closed_reason
        self._probe_requested.wait(
            PROBE_INTERVAL_S if closed else OPEN_PROBE_INTERVAL_S
        )
        self._probe_requested.clear()
        self.probe()

    def _tick(self):
        self._pause_monitor.check()
        if self._configuration.synced and not self._configuration_confirmed:
            self._apply_domain_state()
        self.admission.sweep()
        if self.admission.blocked_on_probe():
            self._probe_requested.set()

    def _apply_domain_state(self, document=None):
        """Open or close the gate by whether this failure domain is in service.

        Until the platform or enough peers have confirmed the configuration, the domain
        counts as out of service.
        """
        domain = self.settings.instance.failure_domain
        self._configuration_confirmed = self._configuration.synced
        if not self._configuration_confirmed or not self.configuration.revision:
            self.admission.close("out_of_service", "no confirmed configuration yet")
        elif not self.configuration.in_service(domain):
            self.admission.close("out_of_service", domain)
        else:
            self.admission.open("out_of_service")

    def _on_pause(self):
        """Admit no requests until the configuration in force has been confirmed.

        It may have changed during the pause.
        """
        self.admission.close("unconfirmed")
        self._paused_at_s = self.clock.monotonic_s()
        self.request_probe()
        self.kernel.tasks.spawn(self._confirm_state, self._paused_at_s)

    def _confirm_state(self, paused_at_s):
        """Refresh the configuration from the platform and peers, then open the gate.

        A target that reaches neither opens after `CONFIRM_TIMEOUT_S`.
        """
        while self._paused_at_s == paused_at_s:
            unconfirmed_s = self.clock.monotonic_s() - paused_at_s
            if self._configuration.refresh() or unconfirmed_s >= CONFIRM_TIMEOUT_S:
                break
            gevent.sleep(REFRESH_INTERVAL_S)
        if self._paused_at_s == paused_at_s:
            self._paused_at_s = None
            self.admission.open("unconfirmed")
