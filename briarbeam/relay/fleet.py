"""The instances that requests may be sent to, and what this entry knows about them.

The knowledge has three sources: the store's records (which instances exist, and which
are draining), the reports of the stagers, which are the daemons on the engines'
machines (load and weights, a fraction of a second old), and the answers to this entry's
own requests.
"""

import dataclasses

import structlog
from prometheus_client import Counter

from ..placement.speed import SpeedEstimate, UsualAnswerTime
from ..platform.records import decode_instance
from .errors import MalformedRecordError, MalformedSpeedError
from .notices import Statement
from .target import Target

# How long after the return of the store an instance is kept without a record. Records
# that expired during an outage are written again within about 2 s of the return.
# Draining instances must be removed within 2 s.
REMOVAL_GRACE_S = 1.7
# How long after a restore of the store an instance that was leaving or gone before is
# still treated as such, whatever its record says. By then, the instance has written its
# record again, or the record has expired.
REWIND_MEMORY_S = 5.0
# Maximum number of removed instances that are remembered in case their records are
# written again.
REMOVED_MAX = 100


# Interval between log lines about the speed that one instance states.
ODD_SPEED_LOG_INTERVAL_S = 10.0

_SPEEDS = Counter(
    "briarbeam_stated_speeds", "Answers that state the speed of an instance", ["result"]
)
_READ_SPEEDS, _ODD_SPEEDS = _SPEEDS.labels("read"), _SPEEDS.labels("malformed")
_REFUSALS = Counter(
    "briarbeam_refusals_with_wait", "Answers 503 of instances with Retry-After"
)
_log = structlog.get_logger()


class Fleet:
    """All targets, updated from the store and from load reports.

    :param clock: the `Clock`.
    :param services: a function that returns the declared `Service` objects by name.

    `store_restored_s` is the boot time at which the store was last reached again, or
    None, and `store_rewound_s` that of the first list after it was restored from a copy.
    `on_weights_changed` is called without arguments when a target appears or reports
    other weights. `evacuated_domains` has the failure domains that get no requests.
    """

    def __init__(self, clock, services):
        self._clock = clock
        self._services = services
        self._targets = {}
        self._removed = {}
        self._malformed_revisions = {}
        self._usual_answers = {}
        self._awaits_first_update = True
        self.evacuated_domains = frozenset()
        self.store_restored_s = self.store_rewound_s = None
        self.on_weights_changed = lambda: None

    def update(self, records):
        """Apply the store's records of instances.

        :param records: `Record` objects by name.
        """
        now_s = self._clock.monotonic_s()
        self._malformed_revisions = {
            name: revision
            for name, revision in self._malformed_revisions.items()
            if name in records
        }
        present = set()
        for name, record in records.items():
            instance = self._decode(name, record)
            if instance is None:
                continue
            present.add(name)
            self._add_or_update(instance, record.revision, now_s)
        for name in self._targets.keys() - present:
            self._schedule_removal(self._targets[name], now_s)
        self._awaits_first_update = False

    def targets(self, service):
        """Remove all targets that are due for removal; return those of `service`."""
        now_s = self._clock.monotonic_s()
        for name in [
            n for n, t in self._targets.items() if _is_due_for_removal(t, now_s)
        ]:
            _log.info("instance_gone", instance=name)
            self._removed[name] = self._targets.pop(name)
        while len(self._removed) > REMOVED_MAX:
            self._forget_removed()
        return [t for t in self._targets.values() if t.instance.service == service]

    def all(self):
        """Return all targets."""
        return list(self._targets.values())

    def get(self, instance_id):
        """Return the target with the id `instance_id`, or None."""
        return self._targets.get(instance_id)

    def find_by_host(self, host):
        """Return the targets at the IP address `host`."""
        return [t for t in self._targets.values() if t.instance.address.host == host]

    def record_leaving(self, target):
        """Record that `target` has stated in an answer that it is leaving.

        It gets no further requests until a new boot of the instance is known.
        """
        if target.notices.record_leaving(self._statement_of(target)):
            _log.info("instance_leaving", instance=target.id)

    def record_refusal(self, target, retry_after):
        """Close `target`, which refused a request, until the time that it asks for.

        :param retry_after: its `RetryAfter`.
        """
        _REFUSALS.inc()
        now_s = self._clock.monotonic_s()
        if retry_after.odd_value is not None and target.closed_until_s <= now_s:
            _log.warning(
                "retry_after_odd",
                instance=target.id,
                value=repr(retry_after.odd_value),
                wait_s=retry_after.wait_s,
            )
        target.notices.record_refusal(
            self._statement_of(target), retry_after.wait_s, now_s
        )

    def record_speed(self, target, slowdown, now_s):
        """Record the slowdown that an answer of `target` states."""
        _READ_SPEEDS.inc()
        if target.speed is None:
            # Of one failure domain, as the way to others takes longer.
            group = target.instance.service, target.instance.failure_domain
            usual_answer = self._usual_answers.setdefault(group, UsualAnswerTime())
            target.speed = SpeedEstimate(usual_answer)
        target.speed.observe(slowdown, now_s)

    def record_odd_speed(self, target, value, now_s):
        """Log that an answer of `target` states a speed that can't be read."""
        _ODD_SPEEDS.inc()
        if now_s - target.odd_speed_logged_s < ODD_SPEED_LOG_INTERVAL_S:
            return
        target.odd_speed_logged_s = now_s
        error = MalformedSpeedError(f"{target.id} states the speed {value!r}")
        _log.warning(
            "speed_malformed",
            instance=target.id,
            value=repr(value),
            code=error.code,
            error=str(error),
        )

    def apply_report(self, host, report):
        """Apply a `LoadReport` from the stager at the IP address `host`.

        Of several instances with that address, the report is about the one with the
        same start, which has replaced the older ones.
        """
        targets = self.find_by_host(host)
        start_is_known = any(
            t.instance.started_ms == report.started_ms for t in targets
        )
        for target in targets:
            if report.started_ms < target.started_ms:
                continue
            if target.instance.started_ms == report.started_ms:
                target.replaced_until_s = 0.0
            elif start_is_known and target.instance.started_ms:
                target.mark_replaced(report.received_s)
                continue
            if 0 < target.started_ms < report.started_ms:
                self._handle_restart(target)
            if target.report is None or target.report.version != report.version:
                self.on_weights_changed()
                _log.info(
                    "weights_seen",
                    instance=target.id,
                    version=report.version,
                    accepting=report.accepting,
                )
            if _is_ready(target.report) != _is_ready(report):
                target.readiness_changed_s = report.received_s
            target.report = report
            if target.speed is not None:
                target.speed.observe(report.slowdown, report.received_s)
            target.sent_since_report = 0
            target.record_load()

    def _decode(self, name, record):
        if self._malformed_revisions.get(name) == record.revision:
            return None
        try:
            instance = decode_instance(name, record.spec)
        except MalformedRecordError as error:
            self._malformed_revisions[name] = record.revision
            _log.warning("entry_malformed", name=name, error=str(error))
            return None
        self._malformed_revisions.pop(name, None)
        return instance

    def _statement_of(self, target):
        current = self._targets.get(target.id, target)
        stated_ms = int(self._clock.now().timestamp() * 1000)
        return Statement(max(target.started_ms, current.started_ms), stated_ms)

    def _forget_removed(self):
        """Forget the removed target that is least likely to matter again.

        The record of a leaving instance may be restored while it still serves.
        """
        names = (name for name, target in self._removed.items() if not target.leaving)
        del self._removed[next(names, next(iter(self._removed)))]

    def _add_or_update(self, instance, revision, now_s):
        known = self._targets.get(instance.id) or self._removed.get(instance.id)
        if known is not None and self._may_be_rewound(known, instance):
            if self._left_before_rewind(known, now_s):
                return
            if known.instance.draining:
                instance = dataclasses.replace(instance, draining=True)
        target = self._targets.get(instance.id) or self._restore(instance)
        service = self._services().get(instance.service)
        if target is None or target.instance.started_ms != instance.started_ms:
            target = self._create(instance, service, now_s, target)
            self._targets[instance.id] = target
        elif target.instance != instance:
            _log.info(
                "instance_changed",
                instance=instance.id,
                draining=instance.draining,
                models=instance.models,
                cold_left_s=instance.cold_left_s,
            )
        target.instance = instance
        target.notices.apply_record(instance, revision)
        target.remove_at_s = None
        if instance.cold_left_s > 0:
            target.cold_until_s = max(target.cold_until_s, now_s + instance.cold_left_s)

    def _may_be_rewound(self, known, instance):
        """Return whether a record may be older than what is known of its instance."""
        return (
            self.store_rewound_s is not None
            and self._clock.boottime_s() - self.store_rewound_s < REWIND_MEMORY_S
            and known.instance.started_ms == instance.started_ms
        )

    def _left_before_rewind(self, target, now_s):
        if target.remove_at_s is None:
            return False
        rewound_for_s = self._clock.boottime_s() - self.store_rewound_s
        return now_s - target.remove_at_s >= rewound_for_s

    def _restore(self, instance):
        """Return the removed target of a record that was written again, or None.

        An instance that did not restart in the meantime stays as warm as it was.
        """
        target = self._removed.pop(instance.id, None)
        if target is None or not instance.started_ms:
            return None
        target.report = None
        self._targets[instance.id] = target
        _log.info("instance_returned", instance=instance.id)
        self.on_weights_changed()
        return target

    def _handle_restart(self, target):
        """Treat the target as cold again; the store's record doesn't show it yet."""
        service = self._services().get(target.instance.service)
        if service is not None:
            target.cold_until_s = self._clock.monotonic_s() + service.cold_start_s
        _log.info("instance_restarted", instance=target.id)

    def _create(self, instance, service, now_s, previous):
        cold_s = 0.0
        if previous is not None and previous.started_ms == instance.started_ms:
            cold_s = max(0.0, previous.cold_until_s - now_s)
        # Instances in the first list are not assumed to have just started.
        elif service is not None and not self._awaits_first_update:
            cold_s = service.cold_start_s
        _log.info(
            "instance_seen",
            instance=instance.id,
            host=instance.address.host,
            service=instance.service,
            failure_domain=instance.failure_domain,
            restarted=previous is not None,
            models=instance.models,
            cold_s=max(cold_s, instance.cold_left_s),
        )
        self.on_weights_changed()
        target = Target(instance, now_s + cold_s)
        if instance.models is not None:
            target.readiness_changed_s = now_s
        if previous is not None:
            target.cold_limiter = previous.cold_limiter
            target.notices = previous.notices
            target.proven_load = previous.proven_load
            target.unproven_load = previous.unproven_load
        return target

    def _schedule_removal(self, target, now_s):
        """Schedule the removal of a target whose record has disappeared.

        A draining target is removed at once, others not before `REMOVAL_GRACE_S` after
        the return of the store: records expire during an outage, and running instances
        write theirs again.
        """
        if target.remove_at_s is not None:
            return
        grace_s = 0.0
        if self.store_restored_s is not None and not target.instance.draining:
            restored_for_s = self._clock.boottime_s() - self.store_restored_s
            grace_s = max(0.0, REMOVAL_GRACE_S - restored_for_s)
        target.remove_at_s = now_s + grace_s


def _is_ready(report):
    return report is not None and report.accepting and report.version > 0


def _is_due_for_removal(target, now_s):
    return target.remove_at_s is not None and now_s >= target.remove_at_s
