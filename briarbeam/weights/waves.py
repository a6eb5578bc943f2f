"""Waves, which limit how many targets change over at once so that enough keep serving.

There is no leader. Each failure domain has a record in the platform's object API
that lists the holders of a permit and the targets that have changed. A target takes
a permit by a conditional update. Permits expire, so a holder that died blocks nobody.
If this lets one holder too many through, some capacity is lost but no request fails.
"""

import math
import random
from dataclasses import dataclass, field

from prometheus_client import Counter

from ..kernel.errors import (
    ConflictError,
    NotFoundError,
    PlatformError,
    RolloutStoppedError,
    WaitingForPermitError,
)
from ..membership.members import rendezvous_order

PERMIT_KIND = "permit"
ROLLOUT_STATUS_KIND = "rollout-status"
UPDATE_TRIES_MAX = 10
RETRY_PAUSE_S = 0.05
FAILURES_KEPT = 20
REASON_MAX_CHARACTERS = 300

_PERMITS = Counter("briarbeam_changeover_permits", "Permits", ["result"])


@dataclass(frozen=True)
class Wave:
    """The order in which a rollout changes the failure domains.

    :param generation: the generation of the rollout. Failures are counted for each
        generation separately.
    :param spec: the `RolloutSpec`.
    :param targets: the names of the targets that need the model, by failure domain.
    """

    model: str
    generation: int
    spec: object
    targets: dict

    @property
    def domains(self):
        """The failure domains in the order in which they change."""
        return rendezvous_order(f"{self.model}/{self.spec.version}", self.targets)

    def limit(self, domain):
        """Return how many targets of `domain` may change at once."""
        count = len(self.targets[domain])
        return max(1, math.floor((1 - self.spec.capacity_floor) * count + 1e-9))

    def predecessor(self, domain):
        """Return the failure domain that must be done before `domain`, or None."""
        index = self.domains.index(domain) - self.spec.domains_at_once
        return self.domains[index] if index >= 0 else None


@dataclass
class _PermitRecord:
    version: int = 0
    holders: dict = field(default_factory=dict)
    changed: list = field(default_factory=list)


class Permits:
    """Takes and releases the permits of one target.

    :param objects: the platform's `ObjectApi`.
    :param instance: the `InstanceSettings` of this target.
    :param expiry_s: seconds after which a permit expires.
    :param stall_timeout_s: seconds without a change after which a failure domain no
        longer blocks the next one.
    """

    def __init__(self, clock, objects, instance, expiry_s, stall_timeout_s):
        self._clock = clock
        self._objects = objects
        self._instance = instance
        self._expiry_s = expiry_s
        self._stall_timeout_s = stall_timeout_s
        self._last_changes = {}

    def take(self, wave):
        """Take a permit of this target's failure domain.

        :raises RolloutStoppedError: if the rollout is paused or had too many failures.
        :raises WaitingForPermitError: if other targets have to change first, or a newer
            rollout has begun.
        :raises PlatformError: if the record can't be read or updated.
        """
        if wave.spec.paused:
            self._last_changes.clear()
            raise RolloutStoppedError("the rollout is paused")
        domain = self._instance.failure_domain
        self._check_predecessor(wave, domain)
        record = self._read(wave, domain)
        own = self._instance.name
        limit = wave.limit(domain)
        if self._is_first_change(wave, domain, record):
            self._check_goes_alone(wave, domain)
            limit = 1
        if own not in record.holders and len(record.holders) >= limit:
            raise WaitingForPermitError(
                f"{len(record.holders)} targets of {domain} change now, "
                f"limit is {limit}"
            )
        self._check_failures(wave)
        record.holders[own] = self._now_unix_s() + self._expiry_s
        try:
            self._write(wave, domain, record)
        except ConflictError as error:
            _PERMITS.labels("lost").inc()
            raise WaitingForPermitError(
                "another target updated the permits at the same time"
            ) from error
        _PERMITS.labels("taken").inc()

    def release(self, wave, changed):
        """Release the permit; after `UPDATE_TRIES_MAX` failures it is left to expire.

        :param changed: whether the target serves the wanted version now.
        """
        domain, own = self._instance.failure_domain, self._instance.name
        for attempt in range(UPDATE_TRIES_MAX):
            try:
                record = self._read(wave, domain)
                record.holders.pop(own, None)
                if changed and own not in record.changed:
                    record.changed.append(own)
                self._write(wave, domain, record)
                return
            except (ConflictError, PlatformError):
                self._clock.sleep(RETRY_PAUSE_S * random.uniform(1, 2 + attempt))
        _PERMITS.labels("not_released").inc()

    def record_failure(self, wave, reason):
        """Record that this target's changeover failed.

        The rollout stops once more targets failed than its spec allows. After
        `UPDATE_TRIES_MAX` failed updates, the failure is not recorded.
        """
        name = self._instance.name
        for attempt in range(UPDATE_TRIES_MAX):
            try:
                version, failures = self._failures(wave)
                failures = [item for item in failures if item["target"] != name]
                failures.append(
                    {"target": name, "reason": reason[:REASON_MAX_CHARACTERS]}
                )
                value = {
                    "generation": wave.generation,
                    "failures": failures[-FAILURES_KEPT:],
                }
                self._objects.put(ROLLOUT_STATUS_KIND, wave.model, value, version)
                return
            except (ConflictError, PlatformError):
                self._clock.sleep(RETRY_PAUSE_S * random.uniform(1, 2 + attempt))

    def _check_predecessor(self, wave, domain):
        predecessor = wave.predecessor(domain)
        if predecessor is not None and not self._is_done(wave, predecessor):
            raise WaitingForPermitError(f"failure domain {predecessor} changes first")
        first = wave.domains[0]
        if domain == first or predecessor == first:
            return
        if not self._read(wave, first).changed and not self._is_stalled(wave, first):
            raise WaitingForPermitError(f"the first target of {first} changes first")

    def _is_done(self, wave, domain):
        record = self._read(wave, domain)
        unchanged = set(wave.targets[domain]) - set(record.changed)
        return not unchanged or self._is_stalled(wave, domain, record)

    def _is_stalled(self, wave, domain, record=None):
        """Return whether a failure domain has stopped making progress.

        This is so if none of its targets holds a permit, and the stall timeout has
        passed since this target first read the record in its current state.
        """
        record = record or self._read(wave, domain)
        key = wave.model, domain
        state = wave.generation, record.version
        now_s = self._clock.monotonic_s()
        if self._last_changes.get(key, (None,))[0] != state:
            self._last_changes[key] = state, now_s
        waited_s = now_s - self._last_changes[key][1]
        return not record.holders and waited_s >= self._stall_timeout_s

    def _is_first_change(self, wave, domain, record):
        if record.changed:
            return False
        first = wave.domains[0]
        return domain == first or not self._read(wave, first).changed

    def _check_goes_alone(self, wave, domain):
        """Check that no target elsewhere changes while none has changed yet.

        A failure domain that stalled gives way to others, and may resume meanwhile.
        """
        others = {
            other: self._read(wave, other) for other in wave.domains if other != domain
        }
        if any(record.changed for record in others.values()):
            return
        for other, record in others.items():
            if record.holders:
                raise WaitingForPermitError(
                    f"{min(record.holders)} of {other} changes alone first"
                )

    def _check_failures(self, wave):
        _, failures = self._failures(wave)
        if len(failures) > wave.spec.failures_max:
            self._last_changes.clear()
            reasons = "; ".join(f"{f['target']}: {f['reason']}" for f in failures[-3:])
            raise RolloutStoppedError(f"changeovers failed: {reasons}")

    def _failures(self, wave):
        try:
            found = self._objects.get(ROLLOUT_STATUS_KIND, wave.model)
        except NotFoundError:
            return 0, []
        if found.value["generation"] != wave.generation:
            return found.version, []
        return found.version, found.value["failures"]

    def _read(self, wave, domain):
        """Return the record of a failure domain, as it applies to this rollout.

        Expired permits are left out, and so are targets that changed to other versions.
        """
        try:
            found = self._objects.get(PERMIT_KIND, f"{wave.model}.{domain}")
        except NotFoundError:
            return _PermitRecord()
        value = found.value
        if value["generation"] > wave.generation:
            raise WaitingForPermitError("a newer rollout has begun")
        now_s = self._now_unix_s()
        holders = {
            name: expires_unix_s
            for name, expires_unix_s in value["holders"].items()
            if expires_unix_s > now_s
        }
        is_same_version = value["target_version"] == wave.spec.version
        changed = list(value["changed"]) if is_same_version else []
        return _PermitRecord(found.version, holders, changed)

    def _write(self, wave, domain, record):
        name = f"{wave.model}.{domain}"
        value = {
            "generation": wave.generation,
            "target_version": wave.spec.version,
            "holders": record.holders,
            "changed": sorted(record.changed),
        }
        self._objects.put(PERMIT_KIND, name, value, record.version)

    def _now_unix_s(self):
        return self._clock.now().timestamp()
