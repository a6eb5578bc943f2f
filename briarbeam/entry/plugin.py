"""The callers' HTTP API: language-model requests and calls to plain services."""

import contextlib
import json
import uuid
from urllib.parse import quote

from prometheus_client import Gauge

from ..gate.envelope import decode_body, encode_body
from ..kernel.errors import (
    BriarbeamError,
    ExchangeError,
    NotFoundError,
    OutcomeUnknownError,
)
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from ..routing.router import Job
from .answers import Answer
from .bodies import Completion
from .headers import Teams, make_traceparent, read_deadline_s, read_idempotency_key
from .replies import EventStream, ReplyFormatter

AFFINITY_CHARACTERS = 64
REQUEST_ID_HEADER = "x-request-id"
DRAIN_POLL_S = 0.05

_RUNNING = Gauge("briarbeam_entry_running", "Callers' requests being answered")


@plugins.register("entry")
class EntryPlugin(Plugin):
    """Serves the callers' HTTP API."""

    roles = ("entry",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self._routing = kernel.find("routing")
        self._configuration = kernel.find("configuration")
        self._running = 0
        self._cached_teams = None, None
        _RUNNING.set_function(lambda: self._running)
        router = kernel.router
        router.add("GET", "/v1/models", self._list_models)
        router.add("GET", "/v1/models/{model}", self._show_model)
        router.add("POST", "/v1/completions", self._complete)
        router.add("POST", "/v1/chat/completions", self._chat)
        for method in ("GET", "POST", "PUT", "DELETE"):
            router.add(
                method, "/services/{service}/{path...}", self._handle_service_call
            )

    def drain(self):
        """Wait until no request runs or `drain_timeout_s` has passed.

        Requests that arrive meanwhile are served.
        """
        until_s = self.clock.monotonic_s() + self.settings.drain_timeout_s
        while self._running and self.clock.monotonic_s() < until_s:
            self.clock.sleep(DRAIN_POLL_S)

    def _list_models(self, request):
        models = self._configuration.configuration.of_kind("model")
        data = [{"id": name, "object": "model"} for name in sorted(models)]
        return Response.of_json({"object": "list", "data": data})

    def _show_model(self, request, model):
        self._find_spec("model", model)
        return Response.of_json({"id": model, "object": "model"})

    def _complete(self, request):
        return self._handle_completion(
            request, Completion.parse(request.json(), chat=False)
        )

    def _chat(self, request):
        return self._handle_completion(
            request, Completion.parse(request.json(), chat=True)
        )

    def _handle_completion(self, request, completion):
        job = self._make_completion_job(request, completion)
        return _with_request_id(job, lambda: self._run_completion(job, completion))

    def _run_completion(self, job, completion):
        release = self._begin_request(job)
        try:
            answer = Answer(self._routing, job, not completion.stream, release)
        except BaseException:
            release()
            raise
        formatter = ReplyFormatter(completion, answer)
        if completion.stream:
            headers = {"content-type": "text/event-stream", "cache-control": "no-store"}
            return Response(200, EventStream(formatter, answer), headers)
        with contextlib.closing(answer):
            return Response.of_json(formatter.complete_body())

    def _begin_request(self, job):
        """Count `job` as running; return the function that counts it as ended."""
        self._running += 1
        self._routing.shares.begin_request(job.team, job.weight, job.priority)

        def release():
            self._running -= 1
            self._routing.shares.end_request(job.team)

        return release

    def _make_completion_job(self, request, completion):
        spec = self._find_spec("model", completion.model)
        envelope = {
            "model": spec.base or completion.model,
            "adapter": completion.model if spec.base else None,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
        }
        return self._make_job(
            request,
            idempotent=True,
            path="/gate/generate",
            envelope=envelope,
            model=completion.model,
            base_model=spec.base,
            affinity=completion.prompt[:AFFINITY_CHARACTERS],
            caller_disconnected=request.caller_disconnected,
        )

    def _handle_service_call(self, request, service, path):
        spec = self._find_spec("service", service)
        envelope = {
            "service": service,
            "method": request.method,
            "path": _target_path(request, path),
            **encode_body(request.body),
            "idempotency_key": read_idempotency_key(request),
        }
        job = self._make_job(
            request,
            idempotent=request.method in spec.idempotent_methods,
            path="/gate/call",
            envelope=envelope,
            service=service,
        )
        return _with_request_id(job, lambda: self._run_call(job))

    def _run_call(self, job):
        release = self._begin_request(job)
        try:
            answer = self._call(job)
        finally:
            release()
        headers = {"content-type": answer["content_type"]}
        return Response(answer["status"], decode_body(answer), headers)

    def _call(self, job):
        """Send a call and return the answer of the plain service.

        :raises OutcomeUnknownError: if the answer was lost.
        """
        member, response = self._routing.send(job)
        try:
            return json.loads(response.read())
        except (ExchangeError, ValueError) as error:
            raise OutcomeUnknownError(f"the answer was lost: {error}") from error
        finally:
            self._routing.finish(member, response)

    def _make_job(self, request, **fields):
        """Return a `Job` of the caller's team with `fields`.

        :raises NotRunError: if a header of the request is invalid.
        """
        configuration = self._configuration.configuration
        team = self._get_teams().team_of(request)
        spec = configuration.get("team", team)
        entry_settings = self.settings.entry
        remaining_s = read_deadline_s(
            request, entry_settings.default_deadline_s, entry_settings.deadline_max_s
        )
        return Job(
            request_id=uuid.uuid4().hex,
            team=team,
            deadline_unix_s=self.clock.now().timestamp() + remaining_s,
            traceparent=make_traceparent(request),
            priority=spec.priority if spec else 0,
            weight=spec.weight if spec else 1.0,
            **fields,
        )

    def _get_teams(self):
        configuration = self._configuration.configuration
        cached_for, teams = self._cached_teams
        if cached_for is not configuration:
            teams = Teams(configuration)
            self._cached_teams = configuration, teams
        return teams

    def _find_spec(self, kind, name):
        """Return the spec of a declared resource.

        :raises NotFoundError: if there is no such resource.
        """
        spec = self._configuration.configuration.get(kind, name)
        if spec is None:
            raise NotFoundError(f"{kind} {name!r} does not exist")
        return spec


def _with_request_id(job, run):
    """Return the response of ``run()``, or to its error, with the request id."""
    try:
        response = run()
    except BriarbeamError as error:
        response = Response.of_error(error)
    response.headers[REQUEST_ID_HEADER] = job.request_id
    return response


def _target_path(request, path):
    """Return the quoted path and the query of a service call."""
    query = request.query_text
    return quote(path) + (f"?{query}" if query else "")
