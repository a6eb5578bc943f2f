"""Operators' changes: atomic, applied once, not lost without an error; handover."""

import hashlib
import json
from datetime import timedelta
from types import SimpleNamespace

import pytest

from briarbeam.configuration.documents import CONFIGURATION, Documents
from briarbeam.configuration.resources import Configuration
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import (
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from briarbeam.kernel.http import Request, Router
from briarbeam.objects.client import StoredObject
from briarbeam.operators.plugin import OperatorsPlugin
from briarbeam.settings import EntrySettings


def _digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


class FakeObjects:
    """A head with conditional updates; `script` has the outcomes of the next calls.

    ``no read``: a read fails. ``never arrives``: a write is lost. ``answer lost``: a
    write takes effect, but its answer is lost.
    """

    def __init__(self):
        self.stored = None
        self.script = []
        self.writes = 0
        self.before_write = None

    def get(self, kind, name):
        if kind != "configuration" or self.stored is None:
            raise NotFoundError("absent")
        if self.script and self.script[0] == "no read":
            self.script.pop(0)
            raise PlatformUnavailableError("down")
        version, value = self.stored
        return StoredObject(kind, name, version, json.loads(value))

    def put(self, kind, name, value, if_version=None):
        before, self.before_write = self.before_write, None
        if before:
            before()
        outcome = self.script.pop(0) if self.script else "ok"
        if outcome == "never arrives":
            raise PlatformUnknownError("lost")
        held = self.stored[0] if self.stored else 0
        if if_version != held:
            raise ConflictError("raced")
        self.writes += 1
        self.stored = (held + 3, json.dumps(value))
        if outcome == "answer lost":
            raise PlatformUnknownError("lost")
        return held + 3


class Entry:
    """An operators plug-in with its own documents and a shared platform."""

    def __init__(self, objects, clock):
        self.objects = objects
        self.clock = clock
        self.documents = Documents(clock)
        self.synced = True
        members = ["a", "b"]
        self.members = {
            name: SimpleNamespace(failure_domain=name, name=name) for name in members
        }
        self.settings = SimpleNamespace(
            entry=EntrySettings(operator_tokens={"first": _digest("old")})
        )
        self.router = Router()
        OperatorsPlugin(self)

    def find(self, name):
        return self

    @property
    def configuration(self):
        return self.documents.get(CONFIGURATION).value or Configuration()

    def apply_head(self, head):
        self.documents.offer(CONFIGURATION, head.revision, head.body())

    def ask(self, method, path, body=None, token="old"):
        headers = {"authorization": f"Bearer {token}"}
        raw = json.dumps(body or {}).encode()
        request = Request(method, path, headers, {}, raw, "")
        reply = self.router.handle(request)
        return reply.status, json.loads(reply.body)

    def apply(self, *resources, token="old", **options):
        body = {"resources": list(resources), **options}
        return self.ask("POST", "/operator/v1/apply", body, token)


def _resource(kind, name, **spec):
    return {"kind": kind, "name": name, "spec": spec}


def _version(name, **spec):
    digest = "0" * 64
    spec = {"manifest_digest": digest, "weights_digest": digest, **spec}
    return _resource("version", name, size_bytes=1, **spec)


def _operator(name, token, **spec):
    return _resource("operator", name, token_digests=[_digest(token)], **spec)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def objects():
    return FakeObjects()


@pytest.fixture
def entry(objects, clock):
    return Entry(objects, clock)


def test_repeated_apply_changes_nothing(entry, objects):
    service = _resource("service", "ledger", idempotent_methods=["GET"])
    team = _resource("team", "t", weight=2.0)
    _, first = entry.apply(service, team)
    status, second = entry.apply(team, service)
    assert (status, second["changed"], objects.writes) == (200, [], 1)
    assert second["revision"] == first["revision"]
    _, got = entry.ask("GET", "/operator/v1/resources/team/t")
    assert got["generation"] == first["revision"]
    _, third = entry.apply(_resource("team", "t", weight=3.0))
    _, other = entry.ask("GET", "/operator/v1/resources/service/ledger")
    assert other["generation"] == first["revision"] < third["revision"]


def test_every_fault_of_a_change_is_named_and_nothing_is_written(entry, objects):
    status, answer = entry.apply(
        _resource("rollout", "chat", version="v9"),
        _version("other@v1", model="absent"),
        _resource("model", "law", base="chat"),
        _resource("team", "t", weight=-1),
        _resource("colour", "red"),
        _resource("failure-domain", "a", in_service=False),
        _resource("failure-domain", "b", in_service=False),
    )
    message = answer["error"]["message"]
    assert (status, answer["error"]["ran"], objects.writes) == (400, "no", 0)
    for fault in (
        "rollout/chat: model 'chat'",
        "rollout/chat: version chat@v9",
        "version/other@v1: model 'absent'",
        "model/law: base 'chat'",
        "team/t: team: weight",
        "colour/red: no resource kind",
        "failure-domain: the last one in service",
    ):
        assert fault in message


def test_referenced_resource_is_not_deleted(entry):
    model = _resource("model", "chat")
    version = _version("chat@v1", model="chat")
    assert entry.apply(model, version, _resource("rollout", "chat", version="v1"))
    body = {"delete": [{"kind": "version", "name": "chat@v1"}]}
    assert entry.ask("POST", "/operator/v1/apply", body)[0] == 400
    body["delete"].append({"kind": "rollout", "name": "chat"})
    status, answer = entry.ask("POST", "/operator/v1/apply", body)
    assert (status, len(answer["changed"])) == (200, 2)


def test_last_failure_domain_is_taken_out_of_service_only_by_force(entry):
    out_of_service = [
        _resource("failure-domain", name, in_service=False) for name in "ab"
    ]
    assert entry.apply(out_of_service[0])[0] == 200
    assert entry.apply(out_of_service[1])[0] == 400
    assert entry.apply(out_of_service[1], force=True)[0] == 200


def test_conflicting_change_is_refused_with_the_changes_since(entry, objects, clock):
    _, first = entry.apply(_resource("team", "t", weight=1.0))
    other = Entry(objects, clock)
    _, second = other.apply(_resource("team", "t", weight=2.0))
    stale_change = {
        **_resource("team", "t", weight=3.0),
        "generation": first["revision"],
    }
    status, answer = entry.apply(stale_change)
    assert (status, answer["error"]["code"]) == (409, "resource_conflict")
    (conflicting,) = [
        change
        for change in answer["error"]["changed"]
        if change["revision"] == second["revision"]
    ]
    assert (conflicting["operator"], conflicting["changed"][0]["key"]) == (
        "first",
        "team/t",
    )
    status, _ = entry.apply(_resource("team", "u"), if_revision=first["revision"])
    assert status == 409


def test_race_without_expected_generations_keeps_both_changes(entry, objects, clock):
    other = Entry(objects, clock)
    objects.before_write = lambda: other.apply(_resource("team", "theirs"))
    assert entry.apply(_resource("team", "mine"))[0] == 200
    assert set(entry.configuration.of_kind("team")) == {"mine", "theirs"}


@pytest.mark.parametrize(
    ("script", "writes"),
    [
        (["answer lost"], 1),
        (["answer lost", "no read", "no read"], 1),
        (["never arrives"], 1),
    ],
)
def test_lost_answer_is_resolved_by_reading_back(entry, objects, script, writes):
    objects.stored = (5, json.dumps({"resources": {}}))
    objects.script = script
    status, answer = entry.apply(_resource("team", "t"))
    assert (status, objects.writes) == (200, writes)
    assert entry.configuration.revision == answer["revision"]
    changes = json.loads(objects.stored[1])["changes"]
    assert [change["operator"] for change in changes] == ["first"]


def test_lost_answer_that_cannot_be_read_back_is_unknown(entry, objects):
    objects.stored = (5, json.dumps({"resources": {}}))
    objects.script = ["answer lost"] + ["no read"] * 9
    status, answer = entry.apply(_resource("team", "t"))
    assert (status, answer["error"]["ran"]) == (503, "unknown")


def test_change_is_refused_while_the_platform_has_lost_changes(entry, objects):
    entry.apply(_resource("team", "kept"))
    backup = objects.stored
    entry.apply(_resource("team", "lost"))
    objects.stored = backup
    status, answer = entry.apply(_resource("team", "new"))
    assert (status, answer["error"]["code"]) == (409, "platform_behind")
    assert entry.ask("POST", "/operator/v1/restore")[0] == 200
    assert entry.apply(_resource("team", "new"))[0] == 200
    assert set(entry.configuration.of_kind("team")) == {"kept", "lost", "new"}


def test_change_above_the_size_limit_of_the_head_is_refused(entry, objects):
    teams = [_resource("team", f"{n:05}" + "x" * 200) for n in range(3500)]
    status, answer = entry.apply(*teams)
    assert (status, answer["error"]["code"], objects.writes) == (413, "too_large", 0)


def test_handover_to_a_new_operator_has_no_gap(entry, objects, clock):
    change_at = clock.now() + timedelta(hours=1)
    assert entry.apply(
        _operator("first", "old", valid_until=change_at.isoformat()),
        _operator("second", "new", valid_from=change_at.isoformat()),
    )[0] == 200  # fmt: skip
    fresh = Entry(objects, clock)
    fresh.documents.offer(
        CONFIGURATION, entry.configuration.revision,
        entry.documents.get(CONFIGURATION).body,
    )  # fmt: skip
    for daemon in (entry, fresh):
        assert daemon.apply(_resource("team", "t"), token="new")[0] == 401
        assert daemon.apply(_resource("team", "t"), token="old")[0] == 200
    clock.advance(3600)
    for daemon in (entry, fresh):
        assert daemon.apply(_resource("team", "u"), token="old")[0] == 401
        assert daemon.apply(_resource("team", "u"), token="new")[0] == 200
    body = {"delete": [{"kind": "operator", "name": "second"}]}
    assert entry.ask("POST", "/operator/v1/apply", body, "new")[0] == 400
    _, answer = entry.ask("GET", "/operator/v1/changes", token="new")
    assert [item["operator"] for item in answer["changes"]] == [
        "first", "first", "second",
    ]  # fmt: skip


def test_stale_entry_authorizes_by_the_operators_in_the_head(entry, objects, clock):
    stale = Entry(objects, clock)
    entry.apply(_operator("second", "new"))
    assert stale.apply(_resource("team", "t"), token="old")[0] == 401
    assert objects.writes == 1


@pytest.mark.parametrize(("draining", "waited_s"), [(False, 30.0), (True, 1.0)])
def test_watch_ends_after_its_wait_or_when_the_daemon_drains(
    entry, clock, draining, waited_s
):
    entry.wait_above = lambda after, wait_s: clock.advance(wait_s)
    entry.router.draining = draining
    _, answer = entry.ask("GET", "/operator/v1/watch")
    assert answer["items"] is None
    assert clock.monotonic_s() == waited_s
