"""The resource API for operators."""

import hashlib
import hmac
import uuid

from ..configuration.resources import HEAD_KIND, HEAD_NAME, Configuration, parse_spec
from ..kernel.errors import (
    ConflictError,
    InvalidRequestError,
    NotFoundError,
    PlatformUnknownError,
    UnauthorizedError,
)
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from ..platform.client import StoredObject

RACES_MAX = 5
HEAD_MAX_BYTES = 900_000


@plugins.register("operators")
class OperatorsPlugin(Plugin):
    """Lets operators read and change the resources."""

    roles = ("entry",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self._objects = kernel.find("platform").objects
        self._configuration = kernel.find("configuration")
        router = kernel.router
        router.add("GET", "/operator/v1/resources", self._list)
        router.add("POST", "/operator/v1/apply", self._apply)

    def _list(self, request):
        self.operator(request)
        configuration = self._configuration.configuration
        items = [
            {
                "kind": resource.kind,
                "name": resource.name,
                "generation": resource.generation,
                "spec": resource.spec.model_dump(),
            }
            for resource in configuration.resources.values()
        ]
        return Response.of_json({"revision": configuration.revision, "items": items})

    def _apply(self, request):
        operator = self.operator(request)
        changes = request.json().get("resources", [])
        faults = []
        for change in changes:
            try:
                parse_spec(change["kind"], change["spec"])
            except (InvalidRequestError, KeyError) as error:
                faults.append(f"{change.get('kind')}/{change.get('name')}: {error}")
        if faults or not changes:
            raise InvalidRequestError("; ".join(faults) or "no resources were given")
        revision = self.change(changes, operator)
        return Response.of_json({"revision": revision})

    def change(self, changes, operator):
        """Make checked changes and return the revision."""
        for _ in range(RACES_MAX):
            head = self._read_head()
            resources = {
                key: {"generation": head.version, **item}
                for key, item in head.value.get("resources", {}).items()
            }
            before = dict(resources)
            for change in changes:
                _merge(resources, change)
            if resources == before:
                return head.version
            attempt = uuid.uuid4().hex
            value = {"resources": resources, "attempt": attempt, "operator": operator}
            try:
                version = self._write_head(value, head.version)
            except ConflictError:
                continue
            Configuration.from_head(version, value)
            return version
        raise ConflictError(f"lost {RACES_MAX} races against other changes")

    def _write_head(self, value, if_version):
        try:
            return self._objects.put(HEAD_KIND, HEAD_NAME, value, if_version)
        except PlatformUnknownError:
            found = self._read_head()
            if found.value.get("attempt") == value["attempt"]:
                return found.version
            raise

    def _read_head(self):
        try:
            return self._objects.get(HEAD_KIND, HEAD_NAME)
        except NotFoundError:
            return StoredObject(HEAD_KIND, HEAD_NAME, 0, {})

    def operator(self, request):
        """Return the name of the operator whose token came with the request."""
        token = request.headers.get("authorization", "").removeprefix("Bearer ")
        digest = hashlib.sha256(token.encode()).hexdigest()
        for name, known in self.settings.entry.operator_tokens.items():
            if hmac.compare_digest(digest, known):
                return name
        raise UnauthorizedError("an operator's token is needed")


def _merge(resources, change):
    key = f"{change['kind']}/{change['name']}"
    held = resources.get(key)
    expected = change.get("generation")
    if expected is not None and expected != (held or {}).get("generation", 0):
        raise ConflictError(
            f"{key} is at generation {(held or {}).get('generation', 0)}"
        )
    spec = parse_spec(change["kind"], change["spec"]).model_dump()
    if held and held["spec"] == spec:
        return
    resources[key] = {"spec": spec}
