"""The HTTP API by which operators read and change resources."""

import hashlib
import uuid

from prometheus_client import Counter

from ..configuration.documents import CONFIGURATION, canonical_json
from ..configuration.head import Head
from ..configuration.resources import HEAD_KIND, HEAD_NAME, Configuration
from ..kernel.errors import (
    ConflictError,
    InvalidRequestError,
    NotFoundError,
    PlatformBehindError,
    PlatformError,
    PlatformUnknownError,
    ResourceConflictError,
    UnavailableError,
)
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from ..objects.status import STATUS_KIND
from .accounts import authorize
from .changes import Change

TRIES_MAX = 5
READS_MAX = 4
READ_PAUSE_S = 0.25
WATCH_MAX_S = 60.0
WATCH_SLICE_S = 1.0
EXPORT_FORMAT = 1

_CHANGES = Counter("briarbeam_changes", "Changes of resources", ["result"])


@plugins.register("operators")
class OperatorsPlugin(Plugin):
    """Serves the paths below ``/operator/v1`` except rollouts."""

    roles = ("entry",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self._objects = kernel.find("platform").objects
        self._configuration = kernel.find("configuration")
        router = kernel.router
        router.add("GET", "/operator/v1/resources", self._list_resources)
        router.add("GET", "/operator/v1/resources/{kind}/{name}", self._get_resource)
        router.add("GET", "/operator/v1/watch", self._watch)
        router.add("GET", "/operator/v1/changes", self._list_changes)
        router.add("GET", "/operator/v1/members", self._list_members)
        router.add("GET", "/operator/v1/export", self._export)
        router.add("POST", "/operator/v1/apply", self._apply)
        router.add("POST", "/operator/v1/restore", self._restore)

    def _list_resources(self, request):
        self._authorize(request)
        return Response.of_json(_listing(self._configuration.configuration, request))

    def _get_resource(self, request, kind, name):
        self._authorize(request)
        configuration = self._configuration.configuration
        resource = configuration.resources.get((kind, name))
        if resource is None:
            raise NotFoundError(f"no {kind} is called {name!r}")
        return Response.of_json(
            {**_describe(resource), "status": self._status(kind, name)}
        )

    def _watch(self, request):
        self._authorize(request)
        try:
            after = int(request.query.get("after", 0))
            wait_s = min(WATCH_MAX_S, float(request.query.get("wait_s", 30)))
        except ValueError as error:
            raise InvalidRequestError(f"after and wait_s: {error}") from error
        found = self._wait_above(after, wait_s)
        if found is None:
            return Response.of_json({"revision": after, "items": None})
        return Response.of_json(_listing(found, request))

    def _wait_above(self, after, wait_s):
        """Return the configuration once its revision is above `after`, or None.

        The wait is split into slices, so that it ends soon when the daemon drains.
        """
        deadline_s = self.clock.monotonic_s() + wait_s
        while True:
            remaining_s = deadline_s - self.clock.monotonic_s()
            slice_s = min(WATCH_SLICE_S, max(0.0, remaining_s))
            found = self._configuration.wait_above(after, slice_s)
            if found or remaining_s <= 0 or self.kernel.router.draining:
                return found

    def _list_changes(self, request):
        self._authorize(request)
        return Response.of_json({"changes": self._read_head().changes})

    def _list_members(self, request):
        self._authorize(request)
        membership = self._configuration.membership
        items = [
            {
                "name": member.name,
                "role": member.role,
                "region": member.region,
                "failure_domain": member.failure_domain,
                "state": membership.state(member.name),
            }
            for member in membership.members.values()
        ]
        return Response.of_json({"items": items})

    def _export(self, request):
        self._authorize(request)
        listing = _listing(self._configuration.configuration, request)
        records = {
            "format": EXPORT_FORMAT,
            "revision": listing["revision"],
            "resources": listing["items"],
        }
        digest = hashlib.sha256(canonical_json(records)).hexdigest()
        return Response.of_json({**records, "digest": digest})

    def _apply(self, request):
        self._authorize(request)
        change = Change.parse(request.json())
        try:
            revision, changed = self._apply_change(request, change)
        except PlatformError:
            _CHANGES.labels("failed").inc()
            raise
        except (ConflictError, InvalidRequestError):
            _CHANGES.labels("refused").inc()
            raise
        _CHANGES.labels("accepted").inc()
        answer = {"revision": revision, "changed": changed, "dry_run": change.dry_run}
        return Response.of_json(answer)

    def _restore(self, request):
        """Write this daemon's configuration back to a platform that lost changes."""
        operator = self._authorize(request)
        held = self._configuration.documents.get(CONFIGURATION)
        resources = {
            f"{kind}/{name}": {
                "spec": resource.spec.model_dump(mode="json"),
                "generation": resource.generation,
            }
            for (kind, name), resource in held.value.resources.items()
        }
        head = self._read_stored()
        if head.revision >= held.revision:
            raise InvalidRequestError(
                "the platform is not behind the configuration in force"
            )
        head.revision = held.revision
        head.resources = resources
        changed = [{"key": "*", "action": "restored"}]
        revision = self._write(head, changed, operator, uuid.uuid4().hex)
        return Response.of_json({"revision": revision})

    def _apply_change(self, request, change):
        """Return the revision after the change and the list of changed keys.

        If the answer to a write was lost, the head is read back and searched for the
        identifier of the attempt. If it is not there, the change is written again on
        condition of the version just read, so that a write that arrives late can't take
        effect as well.
        """
        attempt, outcome_unknown = uuid.uuid4().hex, False
        for _ in range(TRIES_MAX):
            try:
                return self._apply_once(request, change, attempt)
            except ConflictError as error:
                if isinstance(error, ResourceConflictError):
                    raise
            except PlatformUnknownError:
                outcome_unknown = True
            except PlatformError:
                if not outcome_unknown:
                    raise
                self.clock.sleep(READ_PAUSE_S)
        if outcome_unknown:
            raise PlatformUnknownError(
                f"it is unknown whether change {attempt} took effect", retry_after_s=1.0
            )
        raise ResourceConflictError(
            f"other changes were made at the same time in {TRIES_MAX} attempts"
        )

    def _apply_once(self, request, change, attempt):
        head = self._read_head()
        earlier_change = head.change_by_attempt(attempt)
        if earlier_change is not None:
            self._configuration.apply_head(head)
            return earlier_change["revision"], earlier_change["changed"]
        before = Configuration.from_head(head.revision, {"resources": head.resources})
        operator = self._authorize(request, before)
        change.check_expectations(head)
        revision = head.next_revision(self.clock.now())
        resources, changed = change.apply_to(head.resources, revision)
        change.check(resources, revision, self._failure_domains(), self.clock.now())
        if not changed or change.dry_run:
            return head.revision, changed
        head.resources = resources
        return self._write(head, changed, operator, attempt, revision), changed

    def _write(self, head, changed, operator, attempt, revision=None):
        """Write `head` if the platform's one is unchanged, and return its revision.

        This daemon applies the change immediately.

        :raises ConflictError: if the platform's head was changed in the meantime.
        """
        head.revision = revision or head.next_revision(self.clock.now())
        head.changes.append(
            {
                "revision": head.revision,
                "at": self.clock.now().isoformat(),
                "operator": operator,
                "attempt": attempt,
                "changed": changed,
            }
        )
        head.version = self._objects.put(
            HEAD_KIND, HEAD_NAME, head.to_value(), head.version
        )
        self._configuration.apply_head(head)
        return head.revision

    def _read_head(self):
        """Return the head, at least as new as this daemon's configuration.

        :raises PlatformBehindError: if `READS_MAX` reads returned an older one.
        """
        held = self._configuration.configuration.revision
        for _ in range(READS_MAX):
            head = self._read_stored()
            if head.revision >= held:
                return head
            self.clock.sleep(READ_PAUSE_S)
        raise PlatformBehindError(
            f"the platform holds revision {head.revision}, in force is {held}; "
            "'briarbeam restore' writes it back"
        )

    def _read_stored(self):
        try:
            return Head.from_object(self._objects.get(HEAD_KIND, HEAD_NAME))
        except NotFoundError:
            return Head()

    def _status(self, kind, name):
        try:
            return self._objects.get(STATUS_KIND, f"{kind}.{name}").value
        except (NotFoundError, PlatformError):
            return None

    def _failure_domains(self):
        members = self._configuration.members.values()
        return frozenset(member.failure_domain for member in members)

    def _authorize(self, request, configuration=None):
        """Return the name of the operator who sent `request`."""
        if not self._configuration.synced:
            raise UnavailableError(
                "the configuration with the operators is not loaded yet",
                retry_after_s=1.0,
            )
        return authorize(
            request,
            configuration or self._configuration.configuration,
            self.settings.entry.operator_tokens,
            self.clock.now(),
        )


def _listing(configuration, request):
    kind = request.query.get("kind")
    keys = sorted(key for key in configuration.resources if kind in (None, key[0]))
    items = [_describe(configuration.resources[key]) for key in keys]
    return {"revision": configuration.revision, "items": items}


def _describe(resource):
    return {
        "kind": resource.kind,
        "name": resource.name,
        "generation": resource.generation,
        "spec": resource.spec.model_dump(mode="json"),
    }
