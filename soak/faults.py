"""Faults from outside, each drawn and timed by the soak's seed.

A fault is a function that brings it about, waits and undoes it; a decorator registers
it. Series of faults overlap, since several tasks play them at the same time.
"""

import signal
import time
from dataclasses import dataclass

import gevent

from briarbeam.kernel.registry import Registry

from .proxy import MODES

# A process that was asked to end has to do so within the platform's grace.
GRACE_S = 8.0
STORE_MODES = ("down", "silent", "slow", "compacted")
# The entry of an instance that is silent lapses after three intervals of 1.2 s.
LAPSE_S = 3.6
# Around a planned leave the old instance serves on for about so long.
LINGER_S = 2.6

faults = Registry("fault")
# Planned work and operators' wishes; everything else is an unplanned disturbance.
PLANNED = frozenset({"entry_stops", "settings_change", "state_changes", "key_goes",
                     "version_is_named", "target_leaves"})  # fmt: skip


@dataclass
class Disturbance:
    """One fault that was played, for the checks.

    :param subject: the process or target that it hit, or what was taken away.
    :param ended_s: monotonic time, or None while it lasts.
    """

    name: str
    subject: str
    started_s: float
    ended_s: float | None = None

    def overlaps(self, first_s, last_s):
        """Return whether it was there at some time between the two."""
        ended = self.ended_s is None or self.ended_s >= first_s
        return ended and self.started_s <= last_s


class FaultPlayer:
    """Plays faults in several series until told to end.

    :param site: the `SoakSite`.
    :param rng: the seeded `random.Random`.
    """

    def __init__(self, site, rng, series):
        self.site = site
        self.rng = rng
        self.played = []
        self.problems = []
        self._busy = set()
        self._ending = False
        self._tasks = [gevent.spawn(self._play_series) for _ in range(series)]

    def end(self):
        """Let running faults end and be undone; play no others."""
        self._ending = True
        gevent.joinall(self._tasks)

    def lease(self, names):
        """Return one of `names` that no other fault holds, and hold it; None if none."""
        free = sorted(set(names) - self._busy)
        if not free:
            return None
        name = self.rng.choice(free)
        self._busy.add(name)
        return name

    def _play_series(self):
        while not self._ending:
            gevent.sleep(self.rng.uniform(0.1, 1.2))
            name = self.rng.choice(sorted(faults.names()))
            held = set(self._busy)
            done = Disturbance(name, "", time.monotonic())
            self.played.append(done)
            try:
                faults.get(name)(self, done)
            except Exception as error:
                self.problems.append(f"fault {name}: {error!r}")
            done.ended_s = time.monotonic()
            self._busy -= {done.subject} - held


def _nodes(player, role):
    return [node.name for node in player.site.nodes.values() if node.role == role]


def _lease_node(player, done, role):
    done.subject = player.lease(_nodes(player, role)) or ""
    return player.site.nodes.get(done.subject)


def _lease_target(player, done):
    done.subject = player.lease([t.name for t in player.site.targets]) or ""
    return next((t for t in player.site.targets if t.name == done.subject), None)


def _kill(player, done, role):
    node = _lease_node(player, done, role)
    if node is not None:
        node.kill()
        gevent.sleep(player.rng.uniform(0.1, 1.5))
        node.start()


def _pause(player, done, role):
    node = _lease_node(player, done, role)
    if node is not None:
        node.process.send_signal(signal.SIGSTOP)
        gevent.sleep(player.rng.uniform(0.5, 6.0))
        node.process.send_signal(signal.SIGCONT)


@faults.register("entry_dies")
def entry_dies(player, done):
    _kill(player, done, "entry")


@faults.register("stager_dies")
def stager_dies(player, done):
    _kill(player, done, "stager")


@faults.register("entry_pauses")
def entry_pauses(player, done):
    _pause(player, done, "entry")


@faults.register("stager_pauses")
def stager_pauses(player, done):
    _pause(player, done, "stager")


@faults.register("entry_stops")
def entry_stops(player, done):
    node = _lease_node(player, done, "entry")
    if node is None:
        return
    node.process.send_signal(signal.SIGTERM)
    end_s = time.monotonic() + GRACE_S
    while node.process.poll() is None and time.monotonic() < end_s:
        gevent.sleep(0.05)
    if node.process.poll() != 0:
        player.problems.append(f"{node.name}: {node.process.poll()} after SIGTERM")
    node.kill()
    node.start()


@faults.register("settings_change")
def settings_change(player, done):
    node = _lease_node(player, done, "entry")
    if node is not None:
        path = node.folder / f"{node.name}.toml"
        path.write_text(path.read_text().replace("mbit_per_s = 100", "mbit_per_s = 90"))
        node.process.send_signal(signal.SIGHUP)


@faults.register("store_fails")
def store_fails(player, done):
    done.subject = player.lease(["store"]) or ""
    if done.subject:
        player.site.store.set_mode(player.rng.choice(STORE_MODES))
        gevent.sleep(player.rng.uniform(0.5, 6.0))
        player.site.store.set_mode(None)


def _disturb_link(player, done, prefix, links, longest_s):
    name = player.lease([f"{prefix}/{name}" for name in links])
    if name is not None:
        done.subject = name
        proxy = links[name.removeprefix(f"{prefix}/")]
        proxy.set_mode(player.rng.choice(MODES))
        gevent.sleep(player.rng.uniform(0.3, longest_s))
        proxy.set_mode(None)


@faults.register("store_link_breaks")
def store_link_breaks(player, done):
    links = {n: p for n, p in player.site.store_proxies.items() if "-entry-" in n}
    _disturb_link(player, done, "store", links, 7.0)


@faults.register("caller_link_breaks")
def caller_link_breaks(player, done):
    _disturb_link(player, done, "front", player.site.front_proxies, 3.0)


@faults.register("target_link_breaks")
def target_link_breaks(player, done):
    links = {target.name: target.proxy for target in player.site.targets}
    _disturb_link(player, done, "target", links, 4.0)


@faults.register("origin_link_breaks")
def origin_link_breaks(player, done):
    _disturb_link(player, done, "origin", {"": player.site.origin_proxy}, 3.0)


@faults.register("target_fails_answers")
def target_fails_answers(player, done):
    target = _lease_target(player, done)
    if target is None:
        return
    backend = target.backend
    backend.lose_how = player.rng.choice(["reset", "hang", "cut"])
    setattr(backend, player.rng.choice(["lose", "extra", "refuse"]), 0.3)
    gevent.sleep(player.rng.uniform(1.0, 5.0))
    backend.heal()


@faults.register("target_crashes")
def target_crashes(player, done):
    target = _lease_target(player, done)
    if target is None:
        return
    name = target.name
    target.backend.crash()
    if player.rng.random() < 0.5 and hasattr(target.backend, "lose_power"):
        target.backend.lose_power()
    gevent.sleep(player.rng.uniform(0.2, LAPSE_S))
    player.site.store.remove("servers", name)
    player.site.restart_target(target)


@faults.register("target_leaves")
def target_leaves(player, done):
    target = _lease_target(player, done)
    if target is None:
        return
    name = target.name
    target.backend.state = "draining"
    player.site.register(target)
    gevent.sleep(LINGER_S)
    target.backend.crash()
    player.site.store.remove("servers", name)
    player.site.restart_target(target)


@faults.register("staged_chunk_rots")
def staged_chunk_rots(player, done):
    engines = [t for t in player.site.targets if hasattr(t.backend, "staged")]
    target = player.rng.choice(engines)
    done.subject = f"rot/{target.name}"
    if target.backend.staged:
        number = player.rng.choice(sorted(target.backend.staged))
        target.backend.staged[number] = b"rotten"


@faults.register("state_changes")
def state_changes(player, done):
    player.site.write_state()


@faults.register("key_goes")
def key_goes(player, done):
    done.subject, done.started_s = player.site.replace_key()


@faults.register("version_is_named")
def version_is_named(player, done):
    # The origin forgets a version two back; names in quick succession are the users'.
    done.subject = player.lease(["version"]) or ""
    if done.subject:
        player.site.name_version()
        gevent.sleep(player.rng.uniform(2.0, 6.0))
