"""What callers talk to: language-model requests and plain services over HTTP."""

import hashlib
import json
import uuid

from ..kernel.errors import (
    BackendError,
    BriarbeamError,
    InvalidRequestError,
    NotFoundError,
    OutcomeUnknownError,
)
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from ..routing.router import Job
from .bodies import Completion

TEAM_HEADER = "x-team"
DEADLINE_HEADER = "x-deadline-s"
AFFINITY_CHARACTERS = 64


@plugins.register("entry")
class EntryPlugin(Plugin):
    """Serves the callers' API."""

    roles = ("entry",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self._routing = kernel.find("routing")
        self._configuration = kernel.find("configuration")
        self._running = 0
        router = kernel.router
        router.add("GET", "/v1/models", self._models)
        router.add("POST", "/v1/completions", self._complete)
        router.add("POST", "/v1/chat/completions", self._chat)
        for method in ("GET", "POST", "PUT", "DELETE"):
            router.add(method, "/services/{service}/{path...}", self._service)

    def drain(self):
        deadline_s = self.clock.monotonic_s() + self.settings.drain_timeout_s
        while self._running and self.clock.monotonic_s() < deadline_s:
            self.clock.sleep(0.05)

    def _models(self, request):
        models = self._configuration.configuration.of_kind("model")
        data = [{"id": name, "object": "model"} for name in sorted(models)]
        return Response.of_json({"object": "list", "data": data})

    def _complete(self, request):
        return self._answer(request, Completion.parse(request.json(), chat=False))

    def _chat(self, request):
        return self._answer(request, Completion.parse(request.json(), chat=True))

    def _answer(self, request, completion):
        job = self._job(request, completion)
        self._running += 1
        try:
            member, response = self._routing.send(job)
        except BaseException:
            self._running -= 1
            raise
        reply = _Reply(job, completion, response.headers.get("x-briarbeam-version", ""))
        frames = self._frames(member, response)
        if completion.stream:
            return Response(
                200, reply.events(frames), {"content-type": "text/event-stream"}
            )
        return Response.of_json(reply.whole(frames))

    def _frames(self, member, response):
        """Yield the frames of an answer; raise unless its end marker came."""
        try:
            for line in response.lines():
                frame = json.loads(line)
                if "error" in frame:
                    raise OutcomeUnknownError(frame["error"]["message"])
                if "load" in frame:
                    self._routing.targets.report(member.name, frame["load"])
                yield frame
                if frame.get("done"):
                    return
            raise OutcomeUnknownError("the answer broke off before its end")
        finally:
            self._running -= 1
            self._routing.done(member, response)

    def _job(self, request, completion):
        configuration = self._configuration.configuration
        model, adapter = completion.model, None
        spec = configuration.get("model", model)
        if spec is None:
            raise NotFoundError(f"no model is called {model!r}")
        if spec.base:
            model, adapter = spec.base, model
        envelope = {
            "model": model,
            "adapter": adapter,
            "prompt": completion.prompt,
            "max_tokens": completion.max_tokens,
        }
        return self._new_job(
            request,
            idempotent=True,
            path="/gate/generate",
            envelope=envelope,
            model=adapter or model,
            affinity=completion.prompt[:AFFINITY_CHARACTERS],
        )

    def _service(self, request, service, path):
        spec = self._configuration.configuration.get("service", service)
        if spec is None:
            raise NotFoundError(f"no service is called {service!r}")
        envelope = {
            "service": service,
            "method": request.method,
            "path": path,
            "body": request.body.decode("utf-8", "replace"),
            "idempotency_key": request.headers.get("idempotency-key"),
        }
        job = self._new_job(
            request,
            idempotent=request.method in spec.idempotent_methods,
            path="/gate/call",
            envelope=envelope,
            service=service,
        )
        self._running += 1
        try:
            member, response = self._routing.send(job)
            try:
                answer = json.loads(response.read())
            except (BriarbeamError, ValueError) as error:
                raise OutcomeUnknownError(f"the answer was lost: {error}") from error
            finally:
                self._routing.done(member, response)
        finally:
            self._running -= 1
        headers = {
            "content-type": answer["content_type"],
            "x-request-id": job.request_id,
        }
        return Response(answer["status"], answer["body"].encode(), headers)

    def _new_job(self, request, **fields):
        team = self._team(request)
        deadline_s = request.headers.get(DEADLINE_HEADER)
        try:
            wait_s = float(deadline_s or self.settings.entry.default_deadline_s)
        except ValueError:
            raise InvalidRequestError(
                f"{DEADLINE_HEADER} must be seconds, got {deadline_s!r}"
            ) from None
        job = Job(
            request_id=uuid.uuid4().hex,
            team=team,
            deadline_unix_s=self.clock.now().timestamp() + wait_s,
            traceparent=request.headers.get("traceparent", ""),
            **fields,
        )
        spec = self._configuration.configuration.get("team", team)
        if spec is not None:
            job.envelope.update(priority=spec.priority, weight=spec.weight)
        return job

    def _team(self, request):
        """Return the caller's team, by its key or by its name."""
        kind, _, key = request.headers.get("authorization", "").partition(" ")
        if kind.lower() == "bearer" and key:
            digest = hashlib.sha256(key.encode()).hexdigest()
            teams = self._configuration.configuration.of_kind("team")
            for name, resource in teams.items():
                if resource.spec.key_digest == digest:
                    return name
        return request.headers.get(TEAM_HEADER, "default")


class _Reply:
    """Writes an answer in the form that callers know."""

    def __init__(self, job, completion, version):
        self._job = job
        self._completion = completion
        self._version = version

    def whole(self, frames):
        """Return the whole answer as one JSON value."""
        tokens, end = [], None
        for frame in frames:
            if frame.get("done"):
                end = frame
            else:
                tokens.append(frame["token"])
            self._check_version(frame)
        if end is None or len(tokens) != end["tokens"]:
            raise BackendError("the answer is not whole")
        return self._body(" ".join(tokens), "stop", len(tokens))

    def events(self, frames):
        """Yield the answer as server-sent events, closed by ``[DONE]``."""
        try:
            for frame in frames:
                self._check_version(frame)
                if frame.get("done"):
                    yield _event(self._body("", "stop", frame["tokens"]))
                    yield b"data: [DONE]\n\n"
                else:
                    lead = " " if frame["index"] else ""
                    yield _event(self._body(lead + frame["token"], None, None))
        except BriarbeamError as error:
            yield b"event: error\n" + _event(error.to_dict())

    def _check_version(self, frame):
        found = frame.get("adapter_version") or frame["version"]
        if self._version and found != self._version:
            raise OutcomeUnknownError(f"an answer of {self._version} met {found}")

    def _body(self, text, finish_reason, tokens):
        chat = self._completion.chat
        choice = {"index": 0, "finish_reason": finish_reason}
        if not chat:
            choice["text"] = text
        elif self._completion.stream:
            choice["delta"] = {"content": text}
        else:
            choice["message"] = {"role": "assistant", "content": text}
        kind = "chat.completion" if chat else "text_completion"
        body = {
            "id": self._job.request_id,
            "object": kind + (".chunk" if self._completion.stream and chat else ""),
            "model": self._completion.model,
            "choices": [choice],
            "briarbeam": {"version": self._version, "target": self._job.tried[-1]},
        }
        if tokens is not None:
            body["usage"] = {"completion_tokens": tokens}
        return body


def _event(body):
    return b"data: " + json.dumps(body).encode() + b"\n\n"
