"""The rollout status that this target publishes for operators, as one object.

It is written by the platform's status writer, which merges writes.
"""

import random

from prometheus_client import Gauge

TARGET_STATUS_KIND = "target-status"
INTERVAL_MIN_S = 2.0
WRITES_PER_S = 50.0

_HELD = Gauge(
    "briarbeam_rollout_held_bytes", "Bytes held of the wanted version", ["model"]
)
_SIZE = Gauge("briarbeam_rollout_size_bytes", "Size of the wanted version", ["model"])
_SERVED = Gauge(
    "briarbeam_rollout_served", "Whether the wanted version is served", ["model"]
)


class ProgressReporter:
    """Reports this target's progress towards the wanted version of each model.

    :param kernel: the `Kernel`; its ``platform`` plug-in has the status writer.
    :param weights: the `WeightsPlugin`.
    """

    def __init__(self, kernel, weights):
        self._clock = kernel.clock
        self._instance = kernel.settings.instance
        self._status = kernel.find("platform").status
        self._configuration = kernel.find("configuration")
        self._weights = weights
        self._last_samples = {}

    def report(self):
        """Queue the current state for writing; an unchanged state isn't written."""
        snapshot = self._configuration.configuration
        models = {}
        for model in self._weights.reconciler.models():
            wanted = snapshot.wanted_version(model)
            if wanted is not None:
                models[model] = self._describe(model, *wanted)
        if models:
            value = {"failure_domain": self._instance.failure_domain, "models": models}
            self._status.put(self._instance.name, value, TARGET_STATUS_KIND)

    def interval_s(self):
        """Return the seconds until the next report.

        The interval grows with the number of targets, so that all of them together
        make about `WRITES_PER_S` writes.
        """
        members = self._configuration.members.values()
        targets = sum(bool(member.models) for member in members)
        return max(INTERVAL_MIN_S, targets / WRITES_PER_S) * random.uniform(0.8, 1.2)

    def _describe(self, model, version, spec):
        weights = self._weights
        served = weights.reconciler.loaded_version(model)
        held_bytes, origin_bytes = self._held_and_origin_bytes(spec)
        _HELD.labels(model).set(held_bytes)
        _SIZE.labels(model).set(spec.size_bytes)
        _SERVED.labels(model).set(served == version)
        reason = weights.transfer_errors.get(model) or weights.reconciler.reasons.get(
            model, ""
        )
        return {
            "wanted": version,
            "served": served,
            "held_bytes": held_bytes,
            "size_bytes": spec.size_bytes,
            "origin_bytes": origin_bytes,
            "rate_bytes_per_s": self._rate_bytes_per_s(model, version, held_bytes),
            "reason": "" if served == version else reason,
        }

    def _held_and_origin_bytes(self, spec):
        """Return the bytes held of a version and those drawn for it from the origin."""
        transfer = self._weights.library.transfer(spec.manifest_digest)
        origin_bytes = transfer.origin_bytes if transfer else 0
        if self._weights.library.is_complete(spec.manifest_digest):
            return spec.size_bytes, origin_bytes
        if transfer is None or transfer.manifest is None:
            return 0, origin_bytes
        chunks = transfer.manifest.chunks
        missing = sum(
            chunks[index].size_bytes for index in transfer.missing_chunks.indexes
        )
        return spec.size_bytes - missing, origin_bytes

    def _rate_bytes_per_s(self, model, version, held_bytes):
        now_s = self._clock.monotonic_s()
        last_sample = self._last_samples.get(model)
        self._last_samples[model] = version, now_s, held_bytes
        if last_sample is None or last_sample[0] != version or now_s <= last_sample[1]:
            return 0
        return round(max(0, held_bytes - last_sample[2]) / (now_s - last_sample[1]))
