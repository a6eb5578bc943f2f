"""The failures that can be injected while a rollout is measured."""

import time
from contextlib import suppress

import gevent

from briarbeam.kernel.errors import NetworkError
from briarbeam.kernel.registry import Registry

failures = Registry("rollout failure")

POLL_S = 0.2
OUTAGE_S = 4.0
STALL_S = 8.0


class Trial:
    """The rollout that is measured, for the functions that inject failures.

    :param site: the running `Site`.
    :param payload_bytes: the size of the new version.
    :param chunk_bytes: the size of its chunks.

    `killed` holds the names of the targets that were killed and are not restarted;
    `expected_version` is the version that all others have to load in the end.
    """

    def __init__(self, site, payload_bytes, chunk_bytes):
        self.site = site
        self.chunk_bytes = chunk_bytes
        self.payload_bytes = payload_bytes
        self.killed = set()
        self.expected_version = "v2"
        self._received_at_start = self._received_by_target()

    def wait_for_share(self, share):
        """Wait until targets have received `share` of the payload, on average."""
        targets = self.site.targets()
        while True:
            received = self._received_by_target()
            received_bytes = [
                received.get(item.name, 0) - self._received_at_start.get(item.name, 0)
                for item in targets
            ]
            if sum(received_bytes) >= share * self.payload_bytes * len(targets):
                return
            time.sleep(POLL_S)

    def victim(self, number=0):
        """Return the target `number` places after the middle of the list."""
        targets = self.site.targets()
        return targets[(len(targets) // 2 + number) % len(targets)]

    def kill(self, instance):
        """Kill a target's daemon and engine, which are not restarted."""
        self.site.kill_daemon(instance)
        self.site.kill_backend(instance)
        self.killed.add(instance.name)

    def _received_by_target(self):
        counts = self.site.ask(self.site.links, "GET", "/counts")
        return {
            key.removesuffix("/in"): value
            for key, value in counts.items()
            if key.endswith("/in")
        }


def _kill_at_share(share):
    def kill_seeder(trial):
        trial.wait_for_share(share)
        trial.kill(trial.victim())

    return kill_seeder


for _percent in (10, 50, 90):
    failures.register(f"seeder-killed-{_percent}")(_kill_at_share(_percent / 100))


@failures.register("link-stalled")
def _stall_link(trial):
    trial.wait_for_share(0.3)
    site = trial.site
    site.set_faults(site.links, stalled=[trial.victim().name])
    gevent.sleep(STALL_S)
    site.set_faults(site.links, stalled=[])


@failures.register("peer-corrupts")
def _corrupt_peer(trial):
    trial.site.set_faults(trial.site.links, corrupt=[trial.victim().name])


@failures.register("origin-down")
def _stop_origin(trial):
    trial.wait_for_share(0.2)
    site = trial.site
    site.set_faults(site.origin, mode="down")
    gevent.sleep(OUTAGE_S)
    site.set_faults(site.origin, mode="ok")


@failures.register("origin-short")
def _shorten_origin(trial):
    trial.wait_for_share(0.05)
    site = trial.site
    site.set_faults(site.origin, mode="short")
    gevent.sleep(OUTAGE_S)
    site.set_faults(site.origin, mode="ok")


@failures.register("origin-refuses-rate")
def _limit_origin(trial):
    trial.wait_for_share(0.05)
    site = trial.site
    site.set_faults(site.origin, mode="limit")
    gevent.sleep(OUTAGE_S)
    site.set_faults(site.origin, mode="ok")


@failures.register("list-lags")
def _list_dead_members(trial):
    """Kill two members at the start of the rollout; they stay on the instance list."""
    for number in range(2):
        trial.kill(trial.victim(2 * number))


@failures.register("domain-cut")
def _cut_domain(trial):
    trial.wait_for_share(0.4)
    site = trial.site
    domains = sorted({item.failure_domain for item in site.targets()})
    cut_domain = site.targets()[-1].failure_domain
    pairs = [[cut_domain, other] for other in domains if other != cut_domain]
    site.cut(*pairs)
    gevent.sleep(STALL_S)
    site.cut()


@failures.register("version-follows")
def _follow_version(trial):
    trial.wait_for_share(0.3)
    site = trial.site
    site.apply(
        site.publish("v3", trial.payload_bytes, trial.chunk_bytes, keep=0.5),
        site.rollout_resource("v3", previous_version="v1"),
    )
    trial.expected_version = "v3"


@failures.register("rolled-back")
def _roll_back(trial):
    trial.wait_for_share(0.5)
    trial.site.apply(trial.site.rollout_resource("v1", previous_version="v2"))
    trial.expected_version = "v1"


@failures.register("daemon-replaced")
def _replace_daemon(trial):
    trial.wait_for_share(0.5)
    instance = trial.victim()
    trial.site.kill_daemon(instance)
    trial.site.start_daemon(instance)


@failures.register("killed-and-stalled")
def _kill_and_stall(trial):
    trial.wait_for_share(0.4)
    trial.kill(trial.victim())
    site = trial.site
    site.set_faults(site.links, stalled=[trial.victim(1).name])
    gevent.sleep(STALL_S)
    site.set_faults(site.links, stalled=[])


@failures.register("killed-and-origin-down")
def _kill_without_origin(trial):
    trial.wait_for_share(0.3)
    site = trial.site
    site.set_faults(site.origin, mode="down")
    with suppress(NetworkError):
        trial.kill(trial.victim())
    gevent.sleep(OUTAGE_S)
    site.set_faults(site.origin, mode="ok")
