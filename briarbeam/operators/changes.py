"""Changes to the resources: the requests of operators, and their effect on the head."""

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..configuration.resources import Configuration, parse_spec
from ..kernel.errors import (
    InvalidRequestError,
    ResourceConflictError,
    SettingsError,
)
from .validation import Proposal, faults_of


class _ResourceKey(BaseModel):
    model_config = ConfigDict(extra="forbid")

    kind: str
    name: str = Field(min_length=1, pattern=r"^[^/\s]+$")
    generation: int | None = None

    @property
    def key(self):
        return f"{self.kind}/{self.name}"


class _NewResource(_ResourceKey):
    spec: dict


class _RequestBody(BaseModel):
    model_config = ConfigDict(extra="forbid")

    resources: list[_NewResource] = []
    delete: list[_ResourceKey] = []
    if_revision: int | None = None
    force: bool = False
    dry_run: bool = False


@dataclass
class Change:
    """A parsed request to change resources.

    :param specs: the new specs by key (``kind/name``), in their stored form.
    :param deleted: the keys to delete.
    :param generations: the generations that keys are expected to have now.
    :param faults: messages about invalid specs in the request.
    :param if_revision: the revision that the head is expected to have, or None.
    :param force: whether to apply the change even if it is dangerous.
    :param dry_run: whether to check the change without writing it.
    """

    specs: dict
    deleted: list
    generations: dict
    faults: list
    if_revision: int | None
    force: bool
    dry_run: bool

    @classmethod
    def parse(cls, raw):
        """Return the change that the body of a request describes.

        :raises InvalidRequestError: if the body does not have the required fields.
        """
        try:
            body = _RequestBody.model_validate(raw)
        except ValidationError as error:
            faults = [
                f"{'.'.join(map(str, fault['loc']))}: {fault['msg']}"
                for fault in error.errors()
            ]
            raise InvalidRequestError("; ".join(faults)) from error
        if not body.resources and not body.delete:
            raise InvalidRequestError("no resources were given")
        specs, faults = {}, []
        for item in body.resources:
            try:
                spec = parse_spec(item.kind, item.spec)
                specs[item.key] = spec.model_dump(mode="json")
            except (InvalidRequestError, SettingsError) as error:
                faults.append(f"{item.key}: {error}")
        return cls(
            specs=specs,
            deleted=[item.key for item in body.delete],
            generations={
                item.key: item.generation
                for item in body.resources + body.delete
                if item.generation is not None
            },
            faults=faults,
            if_revision=body.if_revision,
            force=body.force,
            dry_run=body.dry_run,
        )

    def check_expectations(self, head):
        """Check that the head still has the revision and generations expected.

        :raises ResourceConflictError: with the changes made since, and their operators.
        """
        mismatches = []
        if self.if_revision is not None and self.if_revision != head.revision:
            mismatches.append(f"revision is {head.revision}, not {self.if_revision}")
        stale_keys = []
        for key, expected in self.generations.items():
            found = head.resources.get(key, {}).get("generation", 0)
            if found != expected:
                stale_keys.append(key)
                mismatches.append(f"{key} is at generation {found}, not {expected}")
        if not mismatches:
            return
        conflicting = [
            {name: change[name] for name in ("revision", "at", "operator", "changed")}
            for change in head.changes
            if set(stale_keys) & {item["key"] for item in change["changed"]}
            or change["revision"] > (self.if_revision or change["revision"])
        ]
        raise ResourceConflictError("; ".join(mismatches), changed=conflicting)

    def apply_to(self, resources, revision):
        """Return the resources after the change, and the list of changed keys.

        :param revision: the generation that changed resources get.
        """
        after, changed = dict(resources), []
        for key, spec in self.specs.items():
            held = after.get(key)
            if held is not None and held["spec"] == spec:
                continue
            after[key] = {"spec": spec, "generation": revision}
            action = "created" if held is None else "changed"
            changed.append({"key": key, "action": action})
        for key in self.deleted:
            if after.pop(key, None) is not None:
                changed.append({"key": key, "action": "deleted"})
        return after, changed

    def check(self, resources, revision, failure_domains, now):
        """Check that the request is valid and that its result follows all rules.

        :param resources: all resources after the change.
        :param failure_domains: the names of the failure domains that have instances.
        :raises InvalidRequestError: with a message that names every fault.
        """
        configuration = Configuration.from_head(revision, {"resources": resources})
        proposal = Proposal(configuration, failure_domains, now, self.force)
        faults = self.faults + faults_of(proposal)
        if faults:
            raise InvalidRequestError("; ".join(faults))
