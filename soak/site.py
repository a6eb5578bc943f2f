"""The processes of a soak run, with their stand-ins and proxies."""

import random
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import gevent
from gevent import socket

from bench.node_process import NodePorts, NodeProcess
from bench.site import reserve_prefix
from standins.platform import MODEL, Origin, Store, desired_state

from .backends import Backend, Engine, Records
from .proxy import Proxy

READY_POLL_S = 0.5
READY_TIMEOUT_S = 0.5
ROUTES = (
    # Name, path prefix, kind, service and maximum number of attempts.
    ("settle", "/settle/", "non_idempotent", "ledger", 2),
    ("read", "/read/", "idempotent", "ledger", 2),
)


@dataclass(frozen=True)
class SiteSize:
    """The number of failure domains, and of instances in each of them."""

    domains: int = 2
    entries: int = 2
    engines: int = 1
    ledgers: int = 1


class SoakStore(Store):
    """A store that can be down, silent or slow, or have its history compacted."""

    def __init__(self, address):
        self.mode = None
        super().__init__(address)

    def answer(self, path, fields):
        if self.mode == "slow":
            gevent.sleep(0.3)
        if self.mode == "compacted" and "watch" in fields:
            return 410, [], b""
        return super().answer(path, fields)

    def set_mode(self, mode):
        self.mode = mode
        self.down = mode == "down"
        self.silent = mode == "silent"


@dataclass
class Target:
    """A back end with its proxy, its failure domain and the name it registers."""

    backend: Backend
    proxy: Proxy
    domain: str

    @property
    def name(self):
        return self.backend.name


class SoakSite:
    """Entries, stagers and back ends in several failure domains on loopback addresses.

    :param size: the `SiteSize`.
    """

    def __init__(self, size):
        self.folder = Path(tempfile.mkdtemp(prefix="briarbeam-soak-"))
        self.records = Records()
        self._prefix, self._reservation = reserve_prefix()
        self.version = 1
        self.state_version = 1
        self.keys = ["key0", "key1"]
        self._next_key = 2
        self._restarts = 0
        self.store = SoakStore((f"{self._prefix}.0.1", 0))
        self.origin = Origin((f"{self._prefix}.0.2", 0))
        self.origin_proxy = Proxy(
            f"{self._prefix}.0.3", lambda: _host_and_port(self.origin)
        )
        self.targets, self.nodes, self.store_proxies = [], {}, {}
        self.entry_proxies, self.ready_entries = {}, set()
        domains = tuple(f"z{number}" for number in range(1, size.domains + 1))
        for number, domain in enumerate(domains, start=1):
            self._build_domain(number, domain, domains, size)
        self.write_state()
        for target in self.targets:
            self.register(target)
        for node in self.nodes.values():
            node.start()
        self._readiness_poller = gevent.spawn(self._poll_readiness)

    def stop(self):
        """Stop all processes and stand-ins."""
        self._readiness_poller.kill()
        for node in self.nodes.values():
            node.kill()
        self.store.set_mode(None)
        proxies = [*self.store_proxies.values(), *self.entry_proxies.values()]
        proxies += [target.proxy for target in self.targets]
        for server in (self.store, self.origin, self.origin_proxy, *proxies):
            server.stop()
        for target in self.targets:
            target.backend.crash()
        self._reservation.close()

    # Writes of operators and instances to the store

    def write_state(self):
        """Write the next desired state."""
        self.state_version += 1
        state = desired_state(
            self.state_version, self.origin_proxy.address, ["main", *self.keys]
        )
        state["services"].append({"name": "ledger"})
        for name, prefix, kind, service, attempts in ROUTES:
            state["routes"].append({
                "name": name, "host": "h.example", "path_prefix": prefix, "kind": kind,
                "timeout_ms": 4000, "target_latency_ms": 300, "service": service,
                "max_attempts": attempts,
            })  # fmt: skip
        self.store.put("config", "main", state)

    def replace_key(self):
        """Replace the oldest API key; return that key and when it was removed.

        The time is monotonic, taken after the write to the store.
        """
        removed_key = self.keys.pop(0)
        self.keys.append(f"key{self._next_key}")
        self._next_key += 1
        self.write_state()
        return removed_key, time.monotonic()

    def name_version(self):
        """Name a new version of the weights as the one to load."""
        self.version += 1
        self.store.put("versions", MODEL, {"model": MODEL, "version": self.version})

    def register(self, target):
        """Write a target's registration to the store, as the instance itself would."""
        spec = target.backend.registration(target.proxy.address, target.domain)
        self.store.put("servers", target.name, spec)

    def restart_target(self, target):
        """Start a stopped target again under a new name."""
        self._restarts += 1
        target.backend.name = f"{target.name.partition('+')[0]}+{self._restarts}"
        target.backend.state = "ready"
        target.backend.start()
        self.register(target)

    # Choice of entries for callers

    def choose_entry(self, rng=random):
        """Return the name, host and port of a random ready entry, as a balancer would.

        If none is ready, choose among all entries.
        """
        names = sorted(self.ready_entries) or sorted(self.entry_proxies)
        name = rng.choice(names)
        host, port = self.entry_proxies[name].address.split(":")
        return name, host, int(port)

    def probe_readiness(self, name):
        """Return whether the entry called `name` reports that it is ready."""
        node = self.nodes[name]
        try:
            with gevent.Timeout(READY_TIMEOUT_S):
                address = (node.host, node.ports.readiness)
                sock = socket.create_connection(address)
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(200)
        except (OSError, gevent.Timeout):
            return False

    def _poll_readiness(self):
        """Update `ready_entries`; two failed probes in a row remove an entry."""
        failed_probes = dict.fromkeys(self.entry_proxies, 0)
        while True:
            for name in failed_probes:
                failed_probes[name] = (
                    0 if self.probe_readiness(name) else failed_probes[name] + 1
                )
                if failed_probes[name] == 0:
                    self.ready_entries.add(name)
                elif failed_probes[name] >= 2:
                    self.ready_entries.discard(name)
            gevent.sleep(READY_POLL_S)

    def _build_domain(self, number, domain, domains, size):
        for index in range(1, size.engines + 1):
            host = f"{self._prefix}.{number}.{100 + index}"
            engine = Engine(host, f"{domain}-engine-{index}", self.records, 1)
            # Daemons identify an engine by its host, so its proxy uses the same host.
            self.targets.append(self._new_target(engine, host, domain))
            name = f"{domain}-stager-{index}"
            # The engine listens on another port after each restart; this proxy, which
            # injects no faults, gives its stager a fixed address. It is kept here so
            # that `stop` stops it.
            engine_proxy = Proxy(host, lambda engine=engine: (engine.host, engine.port))
            self.store_proxies[f"{name}-engine"] = engine_proxy
            self._add_node(name, "stager", host, domain, domains, engine_proxy.address)
        for index in range(1, size.ledgers + 1):
            host = f"{self._prefix}.{number}.{200 + index}"
            ledger = Backend(host, f"{domain}-ledger-{index}", self.records)
            self.targets.append(self._new_target(ledger, host, domain))
        for index in range(1, size.entries + 1):
            host = f"{self._prefix}.{number}.{index}"
            name = f"{domain}-entry-{index}"
            self._add_node(name, "entry", host, domain, domains)
            self.entry_proxies[name] = Proxy(host, lambda host=host: (host, 8080))

    def _new_target(self, backend, host, domain):
        return Target(backend, Proxy(host, lambda: (host, backend.port)), domain)

    def _add_node(self, name, role, host, domain, domains, engine=None):
        proxy = Proxy(host, lambda: _host_and_port(self.store))
        self.store_proxies[name] = proxy
        self.nodes[name] = NodeProcess(
            name, role, host, domain, NodePorts(), proxy.address, self.folder, domains,
            engine,
        )  # fmt: skip


def _host_and_port(server):
    host, port = server.address.split(":")
    return host, int(port)
