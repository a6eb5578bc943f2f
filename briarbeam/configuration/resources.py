"""The resource kinds that operators declare, and the snapshot of all resources.

All resources are stored in one object of the platform, the head. Its revision orders
all changes, so a revision and a value describe a daemon's configuration completely.
"""

import json
from dataclasses import dataclass, field
from functools import cached_property
from typing import Annotated

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field, ValidationError

from ..kernel.errors import InvalidRequestError
from ..kernel.registry import Registry

HEAD_KIND = "configuration"
HEAD_NAME = "head"

kinds = Registry("resource kind")

Fraction = Annotated[float, Field(ge=0, le=1)]


class Spec(BaseModel):
    """Base class of the specs that operators write."""

    model_config = ConfigDict(extra="forbid", frozen=True)


@kinds.register("model")
class ModelSpec(Spec):
    """A model, or an adapter if `base` names the model that it is based on."""

    base: str | None = None


@kinds.register("version")
class VersionSpec(Spec):
    """One version of a model's weights; the resource is named MODEL@VERSION."""

    model: str
    manifest_digest: str = Field(pattern="^[0-9a-f]{64}$")
    weights_digest: str = Field(pattern="^[0-9a-f]{64}$")
    size_bytes: int = Field(gt=0)
    base_version: str | None = None


@kinds.register("rollout")
class RolloutSpec(Spec):
    """The version that a model's targets should serve; named like the model.

    :param attempt: raised to start a new generation without any other change, which
        resets the count of failed changeovers.
    """

    version: str
    previous_version: str | None = None
    paused: bool = False
    capacity_floor: Fraction = 0.5
    domains_at_once: int = Field(1, ge=1)
    failures_max: int = Field(0, ge=0)
    attempt: int = Field(0, ge=0)


@kinds.register("failure-domain")
class FailureDomainSpec(Spec):
    """Whether a failure domain accepts new work."""

    in_service: bool = True


@kinds.register("team")
class TeamSpec(Spec):
    """A team of callers, with its weight and priority under overload.

    :param key_digest: the digest of the team's API key, or None if it has no key.
    """

    weight: float = Field(1.0, gt=0)
    priority: int = Field(0, ge=0, le=9)
    key_digest: str | None = None


@kinds.register("service")
class ServiceSpec(Spec):
    """A plain service; calls with `idempotent_methods` count as idempotent."""

    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")


@kinds.register("operator")
class OperatorSpec(Spec):
    """An operator, who may change resources with one of the tokens while valid.

    :param token_digests: the SHA-256 digests of the operator's tokens.
    """

    token_digests: tuple[Annotated[str, Field(pattern="^[0-9a-f]{64}$")], ...]
    valid_from: AwareDatetime | None = None
    valid_until: AwareDatetime | None = None

    def valid_at(self, now):
        """Return whether the operator may make changes at the time `now`."""
        has_begun = self.valid_from is None or self.valid_from <= now
        return has_begun and (self.valid_until is None or now < self.valid_until)


@dataclass(frozen=True)
class Resource:
    """A declared resource.

    :param generation: the head's revision at which the spec last changed.
    """

    kind: str
    name: str
    spec: Spec
    generation: int = 0


@dataclass(frozen=True)
class Configuration:
    """A consistent snapshot of all resources.

    :param revision: the head's revision; 0 is the empty configuration.
    """

    revision: int = 0
    resources: dict = field(default_factory=dict)

    @classmethod
    def from_head(cls, revision, value):
        """Return the snapshot in the head's value."""
        resources = {}
        for key, item in value.get("resources", {}).items():
            kind, _, name = key.partition("/")
            generation = item.get("generation") or revision
            spec = parse_spec(kind, item["spec"])
            resources[kind, name] = Resource(kind, name, spec, generation)
        return cls(revision, resources)

    @classmethod
    def from_document(cls, revision, body):
        """Return the snapshot in the body of the configuration document."""
        return cls.from_head(revision, json.loads(body))

    def get(self, kind, name):
        """Return the spec of a resource, or None."""
        resource = self.resources.get((kind, name))
        return resource.spec if resource else None

    def of_kind(self, kind):
        """Return the resources of `kind` by name."""
        return self._by_kind.get(kind, {})

    @cached_property
    def _by_kind(self):
        by_kind = {}
        for (kind, name), resource in self.resources.items():
            by_kind.setdefault(kind, {})[name] = resource
        return by_kind

    def in_service(self, failure_domain):
        """Return whether a failure domain accepts new work."""
        spec = self.get("failure-domain", failure_domain)
        return spec is None or spec.in_service

    def wanted_version(self, model):
        """Return the name and `VersionSpec` of the version that `model` should serve.

        Return None if the model has no rollout or the version is not declared.
        """
        rollout = self.get("rollout", model)
        if rollout is None:
            return None
        spec = self.get("version", f"{model}@{rollout.version}")
        return (rollout.version, spec) if spec else None


def parse_spec(kind, raw):
    """Return the validated spec of a resource.

    :raises InvalidRequestError: with a message that names all invalid fields.
    """
    try:
        return kinds.get(kind).model_validate(raw)
    except ValidationError as error:
        faults = "; ".join(
            f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}"
            for fault in error.errors()
        )
        raise InvalidRequestError(f"{kind}: {faults}") from error
