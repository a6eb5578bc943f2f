"""Faults that are injected from outside, chosen and timed by the seed of the run.

Each fault is a function, registered by a decorator, that causes the fault, waits and
undoes it. Several tasks inject faults at the same time, so faults overlap.
"""

import signal
import time
from dataclasses import dataclass

import gevent

from briarbeam.kernel.registry import Registry

from .proxy import MODES

# A process must exit within the platform's grace period after SIGTERM.
GRACE_S = 8.0
STORE_MODES = ("down", "silent", "slow", "compacted")
# The registration of a silent instance expires after three intervals of 1.2 s.
REGISTRATION_EXPIRY_S = 3.6
# An instance that leaves as planned continues to serve for about this long.
DRAIN_OVERLAP_S = 2.6
# The same for one that the list shows as ready until its end. It outlasts the time for
# which entries may send to it after they have passed on that it leaves.
UNLISTED_DRAIN_S = 4.0

faults = Registry("fault")
# Planned work and changes by operators; all other faults are unplanned.
PLANNED_FAULTS = frozenset({"entry_stops", "settings_change", "state_changes", "key_goes",
                     "version_is_named", "target_leaves",
                     "target_leaves_unlisted"})  # fmt: skip


@dataclass
class InjectedFault:
    """A fault that was injected, recorded for the checks.

    :param subject: what the fault affects, such as a process, link or target, or the
        API key that was removed; may be empty.
    :param ended_s: monotonic time of its end, or None while it lasts.
    """

    name: str
    subject: str
    started_s: float
    ended_s: float | None = None

    def overlaps(self, first_s, last_s):
        """Return whether the fault was active at any time in the interval."""
        ended = self.ended_s is None or self.ended_s >= first_s
        return ended and self.started_s <= last_s


class FaultInjector:
    """Injects faults in several concurrent tasks until `end` is called.

    :param site: the `SoakSite`.
    :param rng: the seeded `random.Random`.
    :param series_count: the number of tasks, each of which injects one fault at a time.
    """

    def __init__(self, site, rng, series_count):
        self.site = site
        self.rng = rng
        self.injected = []
        self.errors = []
        self._reserved = set()
        self._is_ending = False
        self._tasks = [gevent.spawn(self._inject_series) for _ in range(series_count)]

    def end(self):
        """Inject no more faults and wait until the running ones are undone."""
        self._is_ending = True
        gevent.joinall(self._tasks)

    def reserve(self, names):
        """Reserve and return a name that no fault uses, or None if all are in use."""
        free = sorted(set(names) - self._reserved)
        if not free:
            return None
        name = self.rng.choice(free)
        self._reserved.add(name)
        return name

    def _inject_series(self):
        while not self._is_ending:
            gevent.sleep(self.rng.uniform(0.1, 1.2))
            name = self.rng.choice(sorted(faults.names()))
            reserved_before = set(self._reserved)
            fault = InjectedFault(name, "", time.monotonic())
            self.injected.append(fault)
            try:
                faults.get(name)(self, fault)
            except Exception as error:
                self.errors.append(f"fault {name}: {error!r}")
            fault.ended_s = time.monotonic()
            self._reserved -= {fault.subject} - reserved_before


def _nodes(injector, role):
    return [node.name for node in injector.site.nodes.values() if node.role == role]


def _reserve_node(injector, fault, role):
    fault.subject = injector.reserve(_nodes(injector, role)) or ""
    return injector.site.nodes.get(fault.subject)


def _reserve_target(injector, fault):
    fault.subject = injector.reserve([t.name for t in injector.site.targets]) or ""
    return next((t for t in injector.site.targets if t.name == fault.subject), None)


def _kill(injector, fault, role):
    node = _reserve_node(injector, fault, role)
    if node is not None:
        node.kill()
        gevent.sleep(injector.rng.uniform(0.1, 1.5))
        node.start()


def _pause(injector, fault, role):
    node = _reserve_node(injector, fault, role)
    if node is not None:
        node.process.send_signal(signal.SIGSTOP)
        gevent.sleep(injector.rng.uniform(0.5, 6.0))
        node.process.send_signal(signal.SIGCONT)


@faults.register("entry_dies")
def entry_dies(injector, fault):
    _kill(injector, fault, "entry")


@faults.register("stager_dies")
def stager_dies(injector, fault):
    _kill(injector, fault, "stager")


@faults.register("entry_pauses")
def entry_pauses(injector, fault):
    _pause(injector, fault, "entry")


@faults.register("stager_pauses")
def stager_pauses(injector, fault):
    _pause(injector, fault, "stager")


@faults.register("entry_stops")
def entry_stops(injector, fault):
    node = _reserve_node(injector, fault, "entry")
    if node is None:
        return
    node.process.send_signal(signal.SIGTERM)
    end_s = time.monotonic() + GRACE_S
    while node.process.poll() is None and time.monotonic() < end_s:
        gevent.sleep(0.05)
    if node.process.poll() != 0:
        injector.errors.append(
            f"{node.name}: status {node.process.poll()} after SIGTERM"
        )
    node.kill()
    node.start()


@faults.register("settings_change")
def settings_change(injector, fault):
    node = _reserve_node(injector, fault, "entry")
    if node is not None:
        path = node.folder / f"{node.name}.toml"
        path.write_text(path.read_text().replace("mbit_per_s = 100", "mbit_per_s = 90"))
        node.process.send_signal(signal.SIGHUP)


@faults.register("store_fails")
def store_fails(injector, fault):
    fault.subject = injector.reserve(["store"]) or ""
    if fault.subject:
        injector.site.store.set_mode(injector.rng.choice(STORE_MODES))
        gevent.sleep(injector.rng.uniform(0.5, 6.0))
        injector.site.store.set_mode(None)


@faults.register("store_rewinds")
def store_rewinds(injector, fault):
    """The store returns from a copy; what that lacks is written again after a while.

    All this takes less time than a removed key may still be used.
    """
    fault.subject = injector.reserve(["store"]) or ""
    if fault.subject:
        store, rng = injector.site.store, injector.rng
        outage_s = rng.uniform(0.2, 1.2)
        store.set_mode("down")
        gevent.sleep(outage_s)
        store.rewind(outage_s + rng.uniform(0.3, 2.0))
        store.set_mode(None)
        gevent.sleep(rng.uniform(0.0, 1.0))
        store.write_lost_again()


def _disturb_link(injector, fault, prefix, links, duration_max_s):
    name = injector.reserve([f"{prefix}/{name}" for name in links])
    if name is not None:
        fault.subject = name
        proxy = links[name.removeprefix(f"{prefix}/")]
        proxy.set_mode(injector.rng.choice(MODES))
        gevent.sleep(injector.rng.uniform(0.3, duration_max_s))
        proxy.set_mode(None)


@faults.register("store_link_breaks")
def store_link_breaks(injector, fault):
    links = {n: p for n, p in injector.site.store_proxies.items() if "-entry-" in n}
    _disturb_link(injector, fault, "store", links, 7.0)


@faults.register("caller_link_breaks")
def caller_link_breaks(injector, fault):
    _disturb_link(injector, fault, "front", injector.site.entry_proxies, 3.0)


@faults.register("target_link_breaks")
def target_link_breaks(injector, fault):
    links = {target.name: target.proxy for target in injector.site.targets}
    _disturb_link(injector, fault, "target", links, 4.0)


@faults.register("origin_link_breaks")
def origin_link_breaks(injector, fault):
    _disturb_link(injector, fault, "origin", {"": injector.site.origin_proxy}, 3.0)


@faults.register("target_fails_answers")
def target_fails_answers(injector, fault):
    target = _reserve_target(injector, fault)
    if target is None:
        return
    backend = target.backend
    backend.loss_mode = injector.rng.choice(["reset", "hang", "cut"])
    setattr(
        backend,
        injector.rng.choice(["lost_share", "stray_share", "refused_share"]),
        0.3,
    )
    gevent.sleep(injector.rng.uniform(1.0, 5.0))
    backend.clear_faults()


@faults.register("target_marks_no_ends")
def target_marks_no_ends(injector, fault):
    target = _reserve_target(injector, fault)
    if target is None:
        return
    backend = target.backend
    backend.unmarked_share = 1.0
    backend.lost_share = injector.rng.choice([0.0, 0.3])
    backend.loss_mode = injector.rng.choice(["reset", "end"])
    gevent.sleep(injector.rng.uniform(1.0, 5.0))
    backend.clear_faults()


@faults.register("target_crashes")
def target_crashes(injector, fault):
    target = _reserve_target(injector, fault)
    if target is None:
        return
    name = target.name
    target.backend.crash()
    if injector.rng.random() < 0.5 and hasattr(target.backend, "lose_power"):
        target.backend.lose_power()
    gevent.sleep(injector.rng.uniform(0.2, REGISTRATION_EXPIRY_S))
    injector.site.store.remove("servers", name)
    injector.site.restart_target(target)


@faults.register("target_leaves")
def target_leaves(injector, fault):
    target = _reserve_target(injector, fault)
    if target is None:
        return
    name = target.name
    target.backend.state = "draining"
    target.backend.leaving = injector.rng.random() < 0.5
    injector.site.register(target)
    gevent.sleep(DRAIN_OVERLAP_S)
    target.backend.crash()
    injector.site.store.remove("servers", name)
    injector.site.restart_target(target)


@faults.register("target_leaves_unlisted")
def target_leaves_unlisted(injector, fault):
    target = _reserve_target(injector, fault)
    if target is None:
        return
    name = target.name
    target.backend.leaving = True
    gevent.sleep(UNLISTED_DRAIN_S)
    target.backend.crash()
    injector.site.store.remove("servers", name)
    injector.site.restart_target(target)


@faults.register("target_asks_to_wait")
def target_asks_to_wait(injector, fault):
    target = _reserve_target(injector, fault)
    if target is None:
        return
    backend = target.backend
    backend.refused_share = injector.rng.choice([0.3, 1.0])
    backend.retry_after_s = injector.rng.choice([0.0, 0.4, 1.5, 4.0])
    gevent.sleep(injector.rng.uniform(1.0, 5.0))
    backend.clear_faults()


@faults.register("staged_chunk_rots")
def staged_chunk_rots(injector, fault):
    engines = [t for t in injector.site.targets if hasattr(t.backend, "staged")]
    target = injector.rng.choice(engines)
    fault.subject = f"rot/{target.name}"
    if target.backend.staged:
        number = injector.rng.choice(sorted(target.backend.staged))
        target.backend.staged[number] = b"rotten"


@faults.register("state_changes")
def state_changes(injector, fault):
    injector.site.write_state()


@faults.register("key_goes")
def key_goes(injector, fault):
    fault.subject, fault.started_s = injector.site.replace_key()


@faults.register("version_is_named")
def version_is_named(injector, fault):
    # The origin drops versions older than the previous one. It is up to the users not
    # to name versions in quick succession, so the soak waits before it names another.
    fault.subject = injector.reserve(["version"]) or ""
    if fault.subject:
        injector.site.name_version()
        gevent.sleep(injector.rng.uniform(2.0, 6.0))
