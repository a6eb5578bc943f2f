"""How a desired state reaches entries of one failure domain, which run as processes."""

import contextlib
import json
import time

import gevent
import pytest
from gevent import socket

from bench.node_process import NodePorts, NodeProcess
from briarbeam.relay.entry import STATE_WAIT_S, WATCH_WAIT_S
from standins.platform import (
    CHUNK_COUNT,
    Engine,
    Origin,
    Server,
    Store,
    chunk,
    desired_state,
)

from .test_node_processes import free_ports, wait_until

STAGER_HOST, LEDGER_HOST = "127.0.0.2", "127.0.0.4"
# In these tests only states with several hundred routes are larger.
LARGE_BODY_BYTES = 16384
CHANGED = '"instance_changed"'


class StoreProxy(Server):
    """A proxy between an entry and the store that counts large answers and calls.

    `instance_calls` counts the calls for the records of instances. While `silent` is true it answers nothing; while `refuses` is true it answers 503.

    :param large_answer_s: the seconds by which a large answer is delayed.
    """

    def __init__(self, address, store, large_answer_s=0.0):
        self.large_answers = self.instance_calls = 0
        self.refuses = False
        self._large_answer_s = large_answer_s
        self._store = store
        super().__init__(address)

    def handle(self, method, path, fields, body, environ):
        self.instance_calls += "/servers" in path
        if self.refuses:
            return 503, [], b""
        answer = self._store.handle(method, path, fields, body, environ)
        # A watch that is already waiting must not get an answer either.
        while self.silent:
            gevent.sleep(0.05)
        if len(answer[2]) >= LARGE_BODY_BYTES:
            self.large_answers += 1
            gevent.sleep(self._large_answer_s)
        return answer


class Ledger(Server):
    """An instance of a plain service that records when it ran requests."""

    def __init__(self, address, name):
        self.name = name
        self.ran_s = []
        super().__init__(address)

    def registration(self):
        return {
            "service": "ledger", "address": self.address, "zone": "z1",
            "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
            "seq": 1, "born": 1,
        }  # fmt: skip

    def handle(self, method, path, fields, body, environ):
        self.ran_s.append(time.monotonic())
        return 200, [("X-Response-Seal", "sealed")], b"done"


class Site:
    """A store, an engine with its stager, a ledger and some entries.

    :param routes: the number of routes that a desired state has in addition.
    :param large_answer_s: see `StoreProxy`.
    :param first_era: the era of the store before its first restore.
    """

    def __init__(self, folder, entry_count, routes=0, large_answer_s=0.0, first_era=1):
        self.folder, self.routes = folder, routes
        self.store = Store(("127.0.0.1", 0))
        self.store.era = first_era
        self.origin = Origin(("127.0.0.1", 0))
        self.engine = Engine((STAGER_HOST, 0), "i-1")
        self.engine.staged = {n: chunk(1, n) for n in range(CHUNK_COUNT)}
        self.ledger = Ledger((LEDGER_HOST, 0), "i-2")
        self.put_state(1)
        self.store.put("servers", "i-1", self.engine.registration("z1"))
        self.store.put("servers", "i-2", self.ledger.registration())
        self.ports = NodePorts(*free_ports(4))
        self.proxies, self.nodes = [], []
        self.engines, self.stagers = [], []
        self.stager = self._node("stager", STAGER_HOST, self.store, self.engine.address)
        # Entries learn of each other from the stager; those that start before it read
        # the store.
        wait_until(lambda: '"started"' in self.stager.log_path.read_text())
        for number in range(entry_count):
            self.start_entry(number, large_answer_s)

    def start_entry(self, number, large_answer_s=0.0):
        host = f"127.0.0.{10 + number}"
        proxy = StoreProxy((host, 0), self.store, large_answer_s)
        self.proxies.append(proxy)
        self.nodes.append(self._node("entry", host, proxy))

    def start_engine(self, number):
        """Start one more engine and its stager, without waiting for the stager."""
        host = f"127.0.0.{30 + number}"
        engine = Engine((host, 0), f"i-{30 + number}")
        engine.staged = dict(self.engine.staged)
        self.store.put("servers", engine.name, engine.registration("z1"))
        self.engines.append(engine)
        self.stagers.append(self._node("stager", host, self.store, engine.address))

    def _node(self, role, host, store, engine=None):
        node = NodeProcess(
            name=f"{role}-{host}", role=role, host=host, domain="z1",
            ports=self.ports, store=store.address, folder=self.folder,
            domains=("z1", "z2"), engine=engine,
        )  # fmt: skip
        node.start()
        return node

    def put_state(self, version, regions=(), routes=None):
        """Put a desired state in which ``/led/`` is public.

        :param regions: the regions in which it may be served; all if empty.
        :param routes: the number of further routes; that of the site if None.
        """
        spec = desired_state(version, self.origin.address)
        spec["services"].append({"name": "ledger"})
        ledger = {
            "name": "led", "host": "h.example", "path_prefix": "/led/",
            "kind": "idempotent", "timeout_ms": 3000, "target_latency_ms": 400,
            "service": "ledger", "max_attempts": 2, "public": True,
            "allowed_regions": list(regions),
        }  # fmt: skip
        spec["routes"].append(ledger)
        for number in range(self.routes if routes is None else routes):
            name = f"more-{version}-{number}"
            spec["routes"].append(
                dict(ledger, name=name, path_prefix=f"/{name}/", public=False)
            )
        self.store.put("config", "main", spec)

    def ask(self, number, path="/led/x", timeout_s=4.0):
        """Return the status of the answer of entry `number`, or None without one."""
        text = (
            f"GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id1\r\n"
            "X-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n"
        )
        with contextlib.suppress(OSError), gevent.Timeout(timeout_s, OSError):
            host = self.nodes[number].host
            sock = socket.create_connection((host, self.ports.callers))
            sock.sendall(text.encode())
            data = b""
            while part := sock.recv(65536):
                data += part
            return int(data.split()[1])
        return None

    def is_serving(self):
        return all(self.ask(number) == 200 for number in range(len(self.nodes)))

    def has_state(self, number, version):
        """Return whether an entry logged that a version is in force."""
        lines = self.nodes[number].log_path.read_text().splitlines()
        in_force = [
            json.loads(line) for line in lines if "desired_state_in_force" in line
        ]
        return version in [line["version"] for line in in_force]

    def all_have_state(self, version):
        return all(self.has_state(n, version) for n in range(len(self.nodes)))

    def all_follow(self):
        """Return whether all entries but one follow a neighbour."""
        texts = [node.log_path.read_text() for node in self.nodes]
        return sum("follow_begun" in text for text in texts) >= len(texts) - 1

    def stop(self):
        for node in [*self.nodes, *self.stagers, self.stager]:
            node.kill()
        standins = (self.store, self.origin, self.engine, self.ledger)
        for server in (*self.proxies, *self.engines, *standins):
            server.silent = False
            server.stop()


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a `Site` whose entries serve."""
    sites = []

    def start(entry_count, routes=0, first_era=1):
        site = Site(tmp_path, entry_count, routes, first_era=first_era)
        sites.append(site)
        wait_until(site.is_serving)
        wait_until(site.all_follow)
        # Wait for the end of watches that were open when an entry began to follow.
        gevent.sleep(2 * STATE_WAIT_S)
        return site

    yield start
    for site in sites:
        site.stop()


def test_state_that_only_neighbours_can_read_keeps_requests_in_allowed_regions(start):
    """Incident HOME: public requests ran under a state superseded 5 s before."""
    site = start(2)
    site.proxies[1].silent = True
    site.put_state(2, regions=["z2-region"])
    wait_until(lambda: site.has_state(0, 2))
    # A change must be in force within 2 s; the stand-in's other region has no instance.
    gevent.sleep(2.0)
    served = []
    for _ in range(50):
        served.append(site.ask(1))
        gevent.sleep(0.1)
    assert 200 not in served


def test_entries_serve_public_requests_while_none_can_reach_the_store(start):
    """The desired state can't be changed then, so the one that all hold is current."""
    site = start(2)
    for proxy in (*site.proxies, site.store):
        proxy.silent = True
    gevent.sleep(6.0)
    served = [site.ask(number) for number in (0, 1) for _ in range(5)]
    assert served == [200] * 10


def test_large_state_crosses_the_link_to_the_store_once_for_a_failure_domain(start):
    """Incident HOME: a copy per entry filled the link; most were aborted halfway."""
    site = start(4, routes=500)
    before = sum(proxy.large_answers for proxy in site.proxies)
    started_s = time.monotonic()
    site.put_state(2)
    wait_until(lambda: site.all_have_state(2))
    assert time.monotonic() - started_s < 1.0
    gevent.sleep(2.0)
    assert sum(proxy.large_answers for proxy in site.proxies) - before == 1


def reader_of(site):
    """Return the number of the entry that reads the store for the others."""
    texts = [node.log_path.read_text() for node in site.nodes]
    return next(n for n, text in enumerate(texts) if "follow_begun" not in text)


def test_reader_that_alone_lost_the_store_is_replaced_by_one_entry(start):
    """Otherwise all followers leave it at the same time, and each reads a copy."""
    site = start(4, routes=500)
    site.proxies[reader_of(site)].silent = True
    gevent.sleep(8.0)
    for version in (2, 3):
        before = sum(proxy.large_answers for proxy in site.proxies)
        site.put_state(version)
        wait_until(lambda version=version: site.all_have_state(version))
        gevent.sleep(2.0)
        assert sum(proxy.large_answers for proxy in site.proxies) - before == 1


@pytest.mark.parametrize("large_answer_s", [0.0, 0.5])
def test_entries_that_start_together_share_a_large_state(tmp_path, large_answer_s):
    """After a loss of all machines, a copy per entry would fill the store's link."""
    site = Site(tmp_path, 4, routes=500, large_answer_s=large_answer_s)
    try:
        wait_until(site.is_serving)
        gevent.sleep(1.0)
        assert sum(proxy.large_answers for proxy in site.proxies) <= 2
    finally:
        site.stop()


def test_stagers_that_start_with_the_entries_let_one_read_a_large_state(tmp_path):
    """Each stager named the entry that greeted it first, so many copies were read."""
    site = Site(tmp_path, 0, routes=500)
    try:
        for number in range(6):
            site.start_entry(number, large_answer_s=0.6)
            site.start_engine(number)
        wait_until(site.is_serving)
        gevent.sleep(1.0)
        assert sum(proxy.large_answers for proxy in site.proxies) <= 2
    finally:
        site.stop()


def test_change_of_an_instance_costs_calls_of_one_entry_only(tmp_path):
    """It ended a watch at every entry of the failure domain."""
    site = Site(tmp_path, 4)
    try:
        wait_until(site.is_serving)
        # The watches from before a reader confirmed the records end first.
        gevent.sleep(WATCH_WAIT_S + 2.0)
        before = [proxy.instance_calls for proxy in site.proxies]
        logged = [node.log_path.read_text().count(CHANGED) for node in site.nodes]
        for state in ("draining", "ready", "draining"):
            site.store.put(
                "servers", "i-2", {**site.ledger.registration(), "state": state}
            )
            gevent.sleep(1.5)
        calls = [
            p.instance_calls - n for p, n in zip(site.proxies, before, strict=True)
        ]
        assert sum(count > 0 for count in calls) == 1, calls
        for node, count in zip(site.nodes, logged, strict=True):
            assert node.log_path.read_text().count(CHANGED) == count + 3
    finally:
        site.stop()


def test_entries_that_started_without_the_store_share_a_large_state(tmp_path):
    """When the store returned, all of them read the state from it at the same time."""
    site = Site(tmp_path, 0, routes=500)
    try:
        for number in range(4):
            site.start_entry(number, large_answer_s=0.5)
            site.proxies[number].refuses = True
        gevent.sleep(5.0)
        for proxy in site.proxies:
            proxy.refuses = False
        wait_until(site.is_serving)
        gevent.sleep(1.0)
        assert sum(proxy.large_answers for proxy in site.proxies) <= 2
    finally:
        site.stop()


def test_entries_that_reach_the_store_again_share_what_they_missed(start):
    """Each read every state since the outage, and the link was full for seconds."""
    site = start(6, routes=500)
    for proxy in site.proxies:
        proxy.refuses = True
    gevent.sleep(5.0)
    before = sum(proxy.large_answers for proxy in site.proxies)
    site.put_state(2)
    for proxy in site.proxies:
        proxy.refuses = False
    wait_until(lambda: site.all_have_state(2))
    gevent.sleep(2.0)
    assert sum(proxy.large_answers for proxy in site.proxies) - before <= 2


def test_entries_that_restart_on_a_copy_share_the_next_state(start):
    """Each of them read it before it had learnt which entry is the reader."""
    site = start(6, routes=500)
    others = [n for n in range(6) if n != reader_of(site)]
    for number in others:
        site.nodes[number].kill()
        site.nodes[number].log_path.write_text("")
    for number in others:
        site.nodes[number].start()
    wait_until(lambda: all(site.has_state(number, 1) for number in others))
    before = sum(proxy.large_answers for proxy in site.proxies)
    site.put_state(2)
    wait_until(lambda: site.all_have_state(2))
    gevent.sleep(2.0)
    assert sum(proxy.large_answers for proxy in site.proxies) - before <= 2


def test_entry_that_restarts_alone_does_not_wait_for_lost_entries(tmp_path):
    """It waited in turn for each entry that stagers remember for some seconds."""
    site = Site(tmp_path, 4)
    try:
        wait_until(site.is_serving)
        gevent.sleep(2.0)
        for node in site.nodes:
            node.kill()
        node = site.nodes[0]
        node.log_path.write_text("")
        node.start()
        wait_until(lambda: '"started"' in node.log_path.read_text())
        started_s = time.monotonic()
        wait_until(lambda: site.has_state(0, 1))
        assert time.monotonic() - started_s < 1.0
    finally:
        site.stop()
