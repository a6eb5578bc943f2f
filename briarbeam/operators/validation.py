"""Rules that all resources together have to follow.

A change that breaks rules is refused with a message that names every fault.
"""

from dataclasses import dataclass

from ..kernel.registry import Registry

rules = Registry("rule")


@dataclass(frozen=True)
class Proposal:
    """The resources as they would be after a change.

    :param configuration: the `Configuration` after the change.
    :param failure_domains: the names of the failure domains that have instances.
    :param now: the wall-clock time of the change.
    :param force: whether to allow changes that are valid but dangerous.
    """

    configuration: object
    failure_domains: frozenset
    now: object
    force: bool = False

    def specs_of(self, kind):
        """Return the pairs of name and spec of a kind, sorted by name."""
        found = self.configuration.of_kind(kind)
        return [(name, found[name].spec) for name in sorted(found)]

    def has(self, kind, name):
        """Return whether a resource would exist after the change."""
        return self.configuration.get(kind, name) is not None


def faults_of(proposal):
    """Return the faults that the rules find, as messages that name the resource."""
    return [fault for _, rule in rules.items() for fault in rule(proposal)]


@rules.register("model")
def _check_models(proposal):
    for name, spec in proposal.specs_of("model"):
        if spec.base is None:
            continue
        base = proposal.configuration.get("model", spec.base)
        if base is None:
            yield f"model/{name}: base {spec.base!r} is not declared"
        elif base.base is not None:
            yield f"model/{name}: base {spec.base!r} is itself an adapter"


@rules.register("version")
def _check_versions(proposal):
    for name, spec in proposal.specs_of("version"):
        model = proposal.configuration.get("model", spec.model)
        if model is None:
            yield f"version/{name}: model {spec.model!r} is not declared"
            continue
        if not name.startswith(f"{spec.model}@"):
            yield f"version/{name}: the name must begin with '{spec.model}@'"
        if model.base is None and spec.base_version is not None:
            yield f"version/{name}: base_version is for adapters only"
        elif model.base is not None and spec.base_version is None:
            yield f"version/{name}: an adapter's version needs base_version"
        elif model.base is not None:
            base = f"{model.base}@{spec.base_version}"
            if not proposal.has("version", base):
                yield f"version/{name}: base version {base!r} is not declared"


@rules.register("rollout")
def _check_rollouts(proposal):
    for name, spec in proposal.specs_of("rollout"):
        if not proposal.has("model", name):
            yield f"rollout/{name}: model {name!r} is not declared"
        for version in filter(None, (spec.version, spec.previous_version)):
            if not proposal.has("version", f"{name}@{version}"):
                yield f"rollout/{name}: version {name}@{version} is not declared"


@rules.register("failure-domain")
def _check_domains(proposal):
    declared = {name for name, _ in proposal.specs_of("failure-domain")}
    known = declared | proposal.failure_domains
    in_service = filter(proposal.configuration.in_service, known)
    if declared and not any(in_service) and not proposal.force:
        yield "failure-domain: the last one in service can't be taken out without force"


@rules.register("operator")
def _check_operators(proposal):
    operators = proposal.specs_of("operator")
    valid = any(spec.valid_at(proposal.now) for _, spec in operators)
    if operators and not valid and not proposal.force:
        yield "operator: none would be valid now, so nobody could make changes"
