"""The progress of rollouts for operators, who change them like other resources."""

from ..kernel.errors import NotFoundError
from ..kernel.http import Response
from ..kernel.plugin import Plugin, plugins
from .accounts import authorize

TARGET_STATUS_KIND = "target-status"
ROLLOUT_STATUS_KIND = "rollout-status"
STATUS_CACHE_S = 1.0
BEHIND_SHOWN = 10


@plugins.register("rollouts")
class RolloutsPlugin(Plugin):
    """Serves ``/operator/v1/rollouts/{model}``."""

    roles = ("entry",)

    def __init__(self, kernel):
        super().__init__(kernel)
        self._objects = kernel.find("platform").objects
        self._configuration = kernel.find("configuration")
        self._cache = {}
        kernel.router.add("GET", "/operator/v1/rollouts/{model}", self._show)

    def _show(self, request, model):
        configuration = self._configuration.configuration
        tokens = self.settings.entry.operator_tokens
        authorize(request, configuration, tokens, self.clock.now())
        resource = configuration.resources.get(("rollout", model))
        if resource is None:
            raise NotFoundError(f"no rollout of {model!r}")
        failures = [
            failure
            for stored in self._read(ROLLOUT_STATUS_KIND)
            if stored.name == model
            and stored.value["generation"] == resource.generation
            for failure in stored.value["failures"]
        ]
        statuses = self._read(TARGET_STATUS_KIND)
        return Response.of_json(summarise(model, resource, statuses, failures))

    def _read(self, kind):
        """Return all objects of a kind, cached for `STATUS_CACHE_S`."""
        now_s = self.clock.monotonic_s()
        read_at_s, found = self._cache.get(kind, (None, ()))
        if read_at_s is None or now_s - read_at_s > STATUS_CACHE_S:
            found = self._objects.list(kind)
            self._cache[kind] = now_s, found
        return found


def summarise(model, resource, statuses, failures):
    """Return the progress of a rollout, in total and by failure domain.

    :param statuses: the `StoredObject` with the status of each target.
    :param failures: the failed changeovers of this rollout.
    """
    spec = resource.spec
    domains = {}
    for stored in statuses:
        status = stored.value["models"].get(model)
        if status is None or status["wanted"] != spec.version:
            status = {
                **_NOT_REPORTED,
                **(status or {}),
                "reason": _NOT_REPORTED["reason"],
            }
            status.update(
                size_bytes=0, held_bytes=0, origin_bytes=0, rate_bytes_per_s=0
            )
        domain = domains.setdefault(stored.value["failure_domain"], _new_domain())
        _add_status(domain, stored.name, spec.version, status)
    total = {
        key: sum(domain[key] for domain in domains.values())
        for key in ("targets", "holding", "serving", "origin_bytes", "left_bytes")
    }
    rate = sum(domain["rate_bytes_per_s"] for domain in domains.values())
    done = total["serving"] == total["targets"] > 0
    return {
        "model": model,
        "version": spec.version,
        "previous_version": spec.previous_version,
        "generation": resource.generation,
        "state": _state(spec, done, failures),
        "failures": failures,
        **total,
        "rate_bytes_per_s": rate,
        "eta_s": round(total["left_bytes"] / rate, 1) if rate else None,
        "domains": domains,
    }


_NOT_REPORTED = {"served": None, "reason": "has not reported on this version yet"}


def _new_domain():
    return {
        "targets": 0,
        "holding": 0,
        "serving": 0,
        "origin_bytes": 0,
        "left_bytes": 0,
        "rate_bytes_per_s": 0,
        "behind": [],
    }


def _add_status(domain, name, version, status):
    left_bytes = status["size_bytes"] - status["held_bytes"]
    domain["targets"] += 1
    domain["holding"] += left_bytes == 0 and status["size_bytes"] > 0
    domain["serving"] += status["served"] == version
    domain["origin_bytes"] += status["origin_bytes"]
    domain["left_bytes"] += left_bytes
    domain["rate_bytes_per_s"] += status["rate_bytes_per_s"]
    if status["served"] != version and len(domain["behind"]) < BEHIND_SHOWN:
        reason = status["reason"] or "its changeover is under way"
        domain["behind"].append({"target": name, "reason": reason})


def _state(spec, done, failures):
    if done:
        return "done"
    if spec.paused:
        return "paused"
    return "stopped" if len(failures) > spec.failures_max else "running"
