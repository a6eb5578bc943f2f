"""Reconciliation of an engine with the versions that it should serve.

A single task does this, so that orders never overlap.
"""

import random

import structlog
from prometheus_client import Counter

from ..kernel.errors import (
    BaseVersionError,
    BriarbeamError,
    ChangeoverFailedError,
    OrderUnansweredError,
    PlatformError,
    UnavailableError,
)
from .changeover import Changeover
from .fence import Fences
from .waves import Permits, Wave

RECONCILE_INTERVAL_S = 0.1
# Polls for a permit by all targets together.
PERMIT_POLLS_PER_S = 200.0
PERMIT_PAUSE_MIN_S = 0.1
PLATFORM_PAUSE_S = 1.0
RETRY_PAUSE_S = 1.0
FAILED_PAUSE_S = 5.0
# Unanswered orders in a row after which a changeover counts as failed.
ORDER_TRIES_MAX = 3

_DELAYS = Counter("briarbeam_changeover_delays", "Changeovers put off", ["code"])
_log = structlog.get_logger()


class Reconciler:
    """Switches this target's engine to the wanted versions whose weights are complete.

    Its `changing_digest` is the manifest digest of the changeover in progress, or None.
    The engine may read those weights even if they are no longer wanted. Its `reasons`
    holds, by model, why the wanted version is not served yet.

    :param is_complete: a function that returns whether a manifest's weights are held
        completely and verified.
    """

    def __init__(self, kernel, is_complete):
        self._kernel = kernel
        self._clock = kernel.clock
        self._is_complete = is_complete
        self._settings = kernel.settings
        self._gate = kernel.find("gate")
        self._configuration = kernel.find("configuration")
        objects = kernel.find("platform").objects
        instance = self._settings.instance
        weights = self._settings.weights
        self._fences = Fences(
            kernel.clock,
            objects,
            instance.name,
            self._settings.target.order_timeout_s,
        )
        self._permits = Permits(
            kernel.clock,
            objects,
            instance,
            weights.permit_expiry_s,
            weights.wave_patience_s,
        )
        self._not_before_s = {}
        self._unanswered = {}
        self.reasons = {}
        self.changing_digest = None

    def reconcile_once(self):
        """Switch each model to its wanted version if the engine serves another one.

        At most one changeover is made for each model.
        """
        for model in self.models():
            self._reconcile_model(model)

    def models(self):
        """Return the models of this target, followed by the adapters based on them."""
        served = self._settings.target.models
        specs = {
            name: resource.spec
            for name, resource in self._snapshot().of_kind("model").items()
        }
        bases = [name for name in served if name in specs and not specs[name].base]
        adapters = [name for name, spec in specs.items() if spec.base in bases]
        return bases + sorted(adapters)

    def loaded_version(self, model):
        """Return the version of `model` that the gate last read from the engine."""
        return self._gate.loaded_versions.get(model)

    def _reconcile_model(self, model):
        wanted = self._snapshot().wanted_version(model)
        if wanted is None or self.loaded_version(model) == wanted[0]:
            self.reasons.pop(model, None)
            return
        if self._clock.monotonic_s() < self._not_before_s.get(model, 0.0):
            return
        version, spec = wanted
        if not self._is_complete(spec.manifest_digest):
            self.reasons[model] = "weights"
            return
        self.changing_digest = spec.manifest_digest
        try:
            self._change(model, version, spec)
        except BriarbeamError as error:
            self._postpone(model, error)
            return
        finally:
            self.changing_digest = None
        self.reasons.pop(model, None)
        _log.info("version_in_force", model=model, version=version)

    def _change(self, model, version, spec):
        loaded = self._gate.backend.status().loaded_versions
        if loaded.get(model) == version:
            self._gate.probe()
            return
        order = self._build_order(model, version, spec, loaded)
        wave = self._build_wave(model)
        changeover = Changeover(
            self._kernel,
            self._fences,
            order,
            lambda: self._is_wanted(model, version),
        )
        domain = self._settings.instance.failure_domain
        if model not in loaded or not self._snapshot().in_service(domain):
            changeover.run()
            return
        self._permits.take(wave)
        changed = False
        try:
            changeover.run()
            changed = True
            self._unanswered.pop(model, None)
        except (ChangeoverFailedError, OrderUnansweredError) as error:
            if not self._may_order_again(wave, error):
                self._permits.record_failure(wave, str(error))
            raise
        finally:
            self._permits.release(wave, changed)

    def _may_order_again(self, wave, error):
        """Return whether a failed changeover is retried and not counted as a failure.

        This is so if the order was unanswered, and fewer than `ORDER_TRIES_MAX` orders
        in a row were unanswered for this generation of the rollout.
        """
        if not isinstance(error, OrderUnansweredError):
            return False
        generation, count = self._unanswered.get(wave.model, (None, 0))
        count = count + 1 if generation == wave.generation else 1
        self._unanswered[wave.model] = wave.generation, count
        return count < ORDER_TRIES_MAX

    def _is_wanted(self, model, version):
        wanted = self._snapshot().wanted_version(model)
        return wanted is not None and wanted[0] == version

    def _build_order(self, model, version, spec, loaded):
        order = {
            "kind": "model",
            "name": model,
            "version": version,
            "weights_digest": spec.weights_digest,
            "weights_url": self._weights_url(spec.manifest_digest),
        }
        base = self._snapshot().get("model", model).base
        if base is None:
            return order
        if loaded.get(base) != spec.base_version:
            raise BaseVersionError(
                f"{model} {version} needs {base} at {spec.base_version!r}, "
                f"but the engine serves {loaded.get(base)!r}"
            )
        order.update(kind="adapter", base=base, base_version=spec.base_version)
        return order

    def _weights_url(self, manifest_digest):
        return f"{self._settings.listen.http}/weights/{manifest_digest}"

    def _build_wave(self, model):
        snapshot = self._snapshot()
        resource = snapshot.resources["rollout", model]
        base = snapshot.get("model", model).base or model
        own = self._settings.instance
        targets = {own.failure_domain: {own.name}}
        for member in self._configuration.members.values():
            if base in member.models and not member.leaving:
                targets.setdefault(member.failure_domain, set()).add(member.name)
        return Wave(model, resource.generation, resource.spec, targets)

    def _postpone(self, model, error):
        _DELAYS.labels(error.code).inc()
        reason = f"{error.code}: {error}"
        if self.reasons.get(model, "").partition(":")[0] != error.code:
            _log.warning("changeover_delayed", model=model, reason=reason)
        self.reasons[model] = reason
        self._not_before_s[model] = self._clock.monotonic_s() + self._pause_s(error)

    def _pause_s(self, error):
        if isinstance(error, PlatformError):
            pause_s = max(PLATFORM_PAUSE_S, error.retry_after_s or 0.0)
        elif error.code in ("waiting_for_permit", "rollout_stopped"):
            targets = sum(
                bool(member.models) for member in self._configuration.members.values()
            )
            pause_s = max(PERMIT_PAUSE_MIN_S, targets / PERMIT_POLLS_PER_S)
        elif isinstance(error, ChangeoverFailedError):
            pause_s = FAILED_PAUSE_S
        elif isinstance(error, UnavailableError):
            pause_s = RECONCILE_INTERVAL_S
        else:
            pause_s = min(RETRY_PAUSE_S, error.retry_after_s or RETRY_PAUSE_S)
        return pause_s * random.uniform(0.5, 1.5)

    def _snapshot(self):
        return self._configuration.configuration
