"""The instances that requests may go to, and what is known of each.

Three sources feed it: the store's entries (who exists, who leaves), reports that the
daemons beside the engines send (load and weights, a fraction of a second old), and the
answers to this entry's own requests.
"""

import random
from collections import deque
from dataclasses import dataclass, field

import structlog

from ..platform.records import decode_instance
from .errors import MalformedRecordError
from .limits import ColdWindow

# An entry that lapsed during an outage of the store is written again within about
# two seconds of the store's return; leaving instances must be dropped within two.
REMOVAL_GRACE_S = 1.7
# Instances remembered after their entry lapsed, in case it is written again.
REMOVED_MAX = 100
# A report older than this tells less than this entry's own counts.
REPORT_MAX_AGE_S = 1.5
# What an engine whose load nobody tells is thought to have of other entries, as a factor
# of this entry's own requests: a third of the entries share a failure domain with it.
OTHER_ENTRIES_FACTOR_MAX = 3.0
# Pauses after failures in a row: long enough to spare callers a broken instance,
# short against the seconds that a crash lasts.
AVOID_MIN_S = 0.4
AVOID_MAX_S = 4.0

# The store drops the entry of an instance that crashed after about four seconds.
REPLACED_FOR_S = 4.0

_log = structlog.get_logger()


@dataclass
class LoadReport:
    """What the daemon beside an engine says of it.

    :param received_s: monotonic time of arrival.
    :param accepting: False while the engine is about to load weights.
    :param version: the version of the weights that it holds, 0 for none.
    """

    received_s: float
    started_ms: int
    accepting: bool
    version: int
    running: int
    waiting: int
    pace: float = 1.0


@dataclass
class Target:
    """One instance with what this entry knows of it."""

    instance: object
    cold_until_s: float
    cold_window: ColdWindow = field(default_factory=ColdWindow)
    outstanding: int = 0
    report: LoadReport | None = None
    sent_since_report: int = 0
    answer_load: int | None = None
    answer_load_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = 0.0
    remove_at_s: float | None = None
    seen_version: int | None = None
    replaced_until_s: float = 0.0
    results: deque = field(default_factory=lambda: deque(maxlen=20))

    @property
    def id(self):
        return self.instance.id

    @property
    def started_ms(self):
        """The newest start that is known; the store's entry can be seconds behind."""
        reported_ms = self.report.started_ms if self.report is not None else 0
        return max(self.instance.started_ms, reported_ms)

    def version_of(self, model):
        """Return the version of `model` that it holds, 0 if none."""
        if self.report is not None:
            return self.report.version
        held = (self.instance.models or {}).get(model, 0)
        return max(held, self.seen_version or 0) if held else 0

    def is_cold(self, now_s):
        return now_s < self.cold_until_s

    def has_fresh_report(self, now_s):
        """Return whether its load was told lately."""
        report = self.report
        return report is not None and now_s - report.received_s < REPORT_MAX_AGE_S

    def load(self, now_s, entry_count):
        """Return how many requests it is thought to hold."""
        report = self.report
        if self.has_fresh_report(now_s):
            return report.running + report.waiting + self.sent_since_report
        if self.answer_load is not None and now_s - self.answer_load_s < 1.0:
            return max(self.outstanding, self.answer_load)
        if self.instance.models is None:
            return self.outstanding
        return self.outstanding * min(
            OTHER_ENTRIES_FACTOR_MAX, max(1.0, entry_count / 3)
        )

    def note_sent(self):
        self.outstanding += 1
        self.sent_since_report += 1

    def note_done(self):
        self.outstanding -= 1

    def note_answer_load(self, running, waiting, now_s):
        """Take over the load that an answer names; it is as of now."""
        if self.report is not None:
            self.report.running, self.report.waiting = running, waiting
            self.report.received_s = now_s
            self.sent_since_report = 0
        self.answer_load = running + waiting
        self.answer_load_s = now_s

    def note_success(self):
        """Note an answer that the instance gave in good order."""
        self.failures = 0
        self.results.append(True)

    def note_failure(self, now_s):
        """Note a failure that is the instance's own, and avoid it for a while."""
        self.failures += 1
        self.results.append(False)
        pause_s = min(AVOID_MAX_S, AVOID_MIN_S * 2 ** (self.failures - 1))
        self.avoid_until_s = now_s + pause_s * random.uniform(0.8, 1.2)

    def note_replaced(self, now_s):
        """Note that another instance answers at its address."""
        self.replaced_until_s = now_s + REPLACED_FOR_S

    def failure_ratio(self):
        """Return the share of the last answers that were failures."""
        if len(self.results) < 4:
            return 0.0
        return self.results.count(False) / len(self.results)


class Fleet:
    """All targets, kept up from the store and from reports.

    :param clock: the `Clock`.
    :param services: a function that returns the declared `Service` objects by name.

    `store_restored_s` is the boot time of the store's last return, or None.
    `on_weights_changed` is called without arguments when a target appears or holds other weights.
    """

    def __init__(self, clock, services):
        self._clock = clock
        self._services = services
        self._targets = {}
        self._removed = {}
        self._malformed_revisions = {}
        self._awaits_first_update = True
        self.evacuated = frozenset()
        self.store_restored_s = None
        self.on_weights_changed = lambda: None

    def update(self, records):
        """Take the store's entries over.

        :param records: `Record` objects by name.
        """
        now_s = self._clock.monotonic_s()
        present = set()
        for name, record in records.items():
            instance = self._decode(name, record)
            if instance is None:
                continue
            present.add(name)
            self._upsert(instance, now_s)
        for name in self._targets.keys() - present:
            self._schedule_removal(self._targets[name], now_s)
        self._awaits_first_update = False

    def targets(self, service):
        """Return the targets of `service` that have not left."""
        now_s = self._clock.monotonic_s()
        for name in [
            n for n, t in self._targets.items() if _is_due_for_removal(t, now_s)
        ]:
            _log.info("instance_gone", instance=name)
            self._removed[name] = self._targets.pop(name)
        while len(self._removed) > REMOVED_MAX:
            del self._removed[next(iter(self._removed))]
        return [t for t in self._targets.values() if t.instance.service == service]

    def all(self):
        """Return all targets."""
        return list(self._targets.values())

    def get(self, instance_id):
        """Return the target called `instance_id`, or None."""
        return self._targets.get(instance_id)

    def find_by_host(self, host):
        """Return the targets at the IP number `host`."""
        return [t for t in self._targets.values() if t.instance.address.host == host]

    def note_report(self, host, report):
        """Take a report from the daemon at `host` over."""
        targets = self.find_by_host(host)
        known = any(t.instance.started_ms == report.started_ms for t in targets)
        for target in targets:
            if report.started_ms < target.started_ms:
                continue
            if target.instance.started_ms == report.started_ms:
                target.replaced_until_s = 0.0
            elif known and target.instance.started_ms:
                target.note_replaced(report.received_s)
                continue
            if 0 < target.started_ms < report.started_ms:
                self._note_restart(target)
            if target.report is None or target.report.version != report.version:
                self.on_weights_changed()
                _log.info(
                    "weights_seen",
                    instance=target.id,
                    version=report.version,
                    accepting=report.accepting,
                )
            target.report = report
            target.sent_since_report = 0

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

    def _upsert(self, instance, now_s):
        known = self._targets.get(instance.id) or self._restore(instance)
        service = self._services().get(instance.service)
        if known is None or known.instance.started_ms != instance.started_ms:
            known = self._create(instance, service, now_s, known)
            self._targets[instance.id] = known
        elif known.instance != instance:
            _log.info(
                "instance_changed",
                instance=instance.id,
                draining=instance.draining,
                models=instance.models,
                cold_left_s=instance.cold_left_s,
            )
        known.instance = instance
        known.remove_at_s = None
        if instance.cold_left_s > 0:
            known.cold_until_s = max(known.cold_until_s, now_s + instance.cold_left_s)

    def _restore(self, instance):
        """Return the target of a lapsed entry that is written again, or None.

        An instance that has not started anew meanwhile is no colder than it was.
        """
        target = self._removed.pop(instance.id, None)
        if target is None or not instance.started_ms:
            return None
        target.report = None
        self._targets[instance.id] = target
        _log.info("instance_returned", instance=instance.id)
        self.on_weights_changed()
        return target

    def _note_restart(self, target):
        """Note a start that the store's entry does not tell yet."""
        service = self._services().get(target.instance.service)
        if service is not None:
            target.cold_until_s = self._clock.monotonic_s() + service.cold_start_s
        _log.info("instance_restarted", instance=target.id)

    def _create(self, instance, service, now_s, before):
        cold_s = 0.0
        if before is not None and before.started_ms == instance.started_ms:
            cold_s = max(0.0, before.cold_until_s - now_s)
        elif service is not None and not self._awaits_first_update:
            cold_s = service.cold_start_s
        _log.info(
            "instance_seen",
            instance=instance.id,
            host=instance.address.host,
            service=instance.service,
            failure_domain=instance.failure_domain,
            restarted=before is not None,
            models=instance.models,
            cold_s=max(cold_s, instance.cold_left_s),
        )
        self.on_weights_changed()
        target = Target(instance, now_s + cold_s)
        if before is not None:
            target.cold_window = before.cold_window
        return target

    def _schedule_removal(self, target, now_s):
        """Let an entry go: at once, or a little after the return of a store that was away.

        Entries lapse while the store is away, and living instances write theirs again.
        """
        if target.remove_at_s is not None:
            return
        grace_s = 0.0
        if self.store_restored_s is not None and not target.instance.draining:
            restored_for_s = self._clock.boottime_s() - self.store_restored_s
            grace_s = max(0.0, REMOVAL_GRACE_S - restored_for_s)
        target.remove_at_s = now_s + grace_s


def _is_due_for_removal(target, now_s):
    return target.remove_at_s is not None and now_s >= target.remove_at_s
