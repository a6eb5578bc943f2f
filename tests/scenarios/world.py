"""State of a scenario: a site, its callers, and the changes and faults so far."""

import contextlib
import itertools
import signal
import time

import gevent

from bench.callers import Callers
from bench.layout import DERWENT, KHANGAI
from bench.settlements import Settlements
from briarbeam.kernel.errors import NetworkError

LAYOUTS = {"derwent": DERWENT, "khangai": KHANGAI}
ADAPTER = "tone"
IN_FORCE_WITHIN_S = 5.0
STOP_TIMEOUT_S = 90.0
POLL_S = 0.3


class RevisionWatch:
    """Records the revision in force at each daemon, and each regression of it."""

    def __init__(self, site):
        self._site = site
        self._highest = {}
        self.regressions = []
        self._tasks = [
            gevent.spawn(self._poll, item) for item in site.instances.values()
        ]

    def stop(self):
        """Stop polling."""
        gevent.killall(self._tasks)

    def _poll(self, instance):
        while True:
            revision = self._site.revision(instance)
            highest = self._highest.get(instance.name, 0)
            if revision and revision < highest:
                self.regressions.append((instance.name, highest, revision))
            self._highest[instance.name] = max(highest, revision or 0)
            gevent.sleep(POLL_S)


class World:
    """State of one scenario.

    :param site: the `Site`; several scenarios may use it one after another.
    :param number: distinguishes the versions of this scenario from those of others.
    """

    def __init__(self, site, number):
        self.site = site
        self._number = number
        self.started_unix_s = time.time()
        self.callers = None
        self.settlements = None
        self.watch = None
        self.out_of_service_at_unix_s = {}
        self.revision = 0
        self.accepted_at_s = 0.0
        self.unreachable = set()
        self.cuts = []
        self.base_versions = {}
        self.race_results = []
        self.accepted_in_service = None

    def close(self):
        """Stop the callers and undo all faults."""
        with contextlib.suppress(Exception):
            self.site.heal()
        self.end_requests()
        if self.watch:
            self.watch.stop()

    def end_requests(self):
        """Stop the callers and wait for every answer."""
        for caller in (self.callers, self.settlements):
            if caller and caller.is_sending:
                caller.stop()

    def name_of(self, version):
        """Return the name of a version in this scenario; all scenarios share v1."""
        return version if version == "v1" else f"{version}-{self._number}"

    def start_callers(self, rate_per_s, **options):
        self.callers = Callers(self.site, rate_per_s, **options)
        self.callers.start()

    def start_settlements(self, rate_per_s, **options):
        self.settlements = Settlements(self.site, rate_per_s, **options)
        self.settlements.start()

    def apply(self, *resources):
        """Apply resources as an operator does, trying one entry after another."""
        for entry in self.site.entries():
            if entry.name in self.unreachable:
                continue
            with contextlib.suppress(RuntimeError, NetworkError):
                self.revision = self.site.apply(*resources, entry=entry)
                self.accepted_at_s = time.monotonic()
                return
        raise RuntimeError(f"no entry accepted {resources}")

    def apply_version(self, version, **options):
        name = self.name_of(version)
        self.apply(self.site.publish(name, **options), self.site.rollout_resource(name))

    def race(self, count, changes):
        """Let operators change the same resource concurrently through different entries."""
        entries = itertools.cycle(self.site.entries())
        operators = [
            gevent.spawn(self._change_repeatedly, next(entries), number, changes)
            for number in range(count)
        ]
        gevent.joinall(operators)
        self.race_results = [result for task in operators for result in task.value]
        self.revision = max(self.race_results)[0]

    def _change_repeatedly(self, entry, number, changes):
        results = []
        for change in range(changes):
            spec = {"weight": 1 + number * changes + change}
            team = {"kind": "team", "name": "contested", "spec": spec}
            try:
                revision = self.site.apply(team, entry=entry)
            except (RuntimeError, NetworkError):
                continue
            results.append((revision, spec["weight"]))
        return results

    def take_out_of_service(self, domain):
        self.apply(self.site.domain_resource(domain, False))
        self.out_of_service_at_unix_s[domain] = time.time()

    def members(self, name, role=None):
        """Return the instances of a failure domain, or the one with that name."""
        return [
            item
            for item in self.site.instances.values()
            if name in (item.name, item.failure_domain) and role in (None, item.role)
        ]

    def signal(self, name, number):
        """Send a signal to the daemons of an instance or failure domain."""
        for instance in self.members(name):
            self.site.signal(instance.name, number)
            stopped = number == signal.SIGSTOP
            change = self.unreachable.add if stopped else self.unreachable.discard
            change(instance.name)

    def kill(self, name):
        """Kill the daemon and the back end of an instance."""
        instance = self.site.instances[name]
        self.unreachable.add(name)
        self.site.kill_daemon(instance)
        if instance.backend:
            self.site.kill_backend(instance)

    def stop_daemon(self, name):
        """Stop a daemon gracefully and wait until it has ended."""
        instance = self.site.instances[name]
        self.unreachable.add(name)
        instance.daemon.send_signal(signal.SIGTERM)
        self.site.wait_for(lambda: instance.daemon.poll() is not None, STOP_TIMEOUT_S)

    def start_daemon(self, name):
        """Start an instance's daemon again and wait until it is ready."""
        instance = self.site.instances[name]
        self.site.start_daemon(instance)
        self.unreachable.discard(name)
        self.site.wait_for(lambda: self._is_ready(instance))

    def outdated_daemons(self):
        """Return the reachable daemons below the accepted revision, with theirs."""
        polls = {
            name: gevent.spawn(self.site.revision, instance)
            for name, instance in self.site.instances.items()
            if name not in self.unreachable
        }
        gevent.joinall(polls.values())
        return {
            name: poll.value
            for name, poll in polls.items()
            if (poll.value or 0) < self.revision
        }

    def wait_until_in_force(self, timeout_s):
        """Wait until each reachable daemon has the accepted revision."""
        until_s = time.monotonic() + timeout_s
        while outdated_daemons := self.outdated_daemons():
            assert time.monotonic() < until_s, (
                f"below {self.revision}: {outdated_daemons}"
            )
            time.sleep(POLL_S)

    def adapters(self):
        """Return the adapter versions that engines serve; None if one serves none."""
        statuses = [
            self.site.ask(instance.backend_address, "GET", "/status")
            for instance in self.site.targets()
        ]
        return {
            status["adapters"].get(ADAPTER, {}).get("version") for status in statuses
        }

    def contested_weights(self):
        """Return the values that entries show of the resource changed in `race`."""
        shown_weights = set()
        for entry in self.site.entries():
            for item in self.site.resources(entry):
                if item["name"] == "contested":
                    shown_weights.add(item["spec"]["weight"])
        return shown_weights

    def records(self, event, instances=None):
        """Return the back ends' records of one event in this scenario."""
        instances = instances or self.site.targets() + self.site.targets("service")
        return [
            {**record, "instance": instance.name}
            for instance in instances
            for record in self.site.backend_records(instance)
            if record["event"] == event and record["at"] >= self.started_unix_s
        ]

    def prompts_that_ran(self):
        """Return the prompts that reached an engine."""
        return {record["prompt"] for record in self.records("ran", self.site.targets())}

    def _is_ready(self, instance):
        try:
            return self.site.ask(instance.http, "GET", "/readyz", timeout_s=2.0)[
                "ready"
            ]
        except NetworkError:
            return False
