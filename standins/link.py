"""A stand-in for the network: the link of each instance and those between regions.

Each instance has an IP address of its own, from which it opens its connections. The
stand-in listens on the addresses that instances advertise. It thus knows both ends of
each connection and can pace, count, delay, stall or cut it.
"""

from .base import Faults, Pacer, new_router, new_parser, serve  # isort: skip

import contextlib
import json
from pathlib import Path

import gevent
from gevent import socket
from gevent.server import StreamServer

from briarbeam.kernel.http import Response

PIECE_BYTES = 65536
PACED_PIECE_S = 0.02
PIECE_MIN_BYTES = 4096
POLL_S = 0.05
CORRUPT_MIN_BYTES = 2048
CONNECT_TIMEOUT_S = 1.0
BACKLOG = 1024


class Links:
    """Relays connections between instances.

    The plan lists ``instances`` with their ``name``, ``host``, ``region`` and
    ``failure_domain``, and ``relays`` from one address to another with the ``instance``
    that they lead to. It may set the rates ``link_bytes_per_s``, also for a single
    instance, and ``region_bytes_per_s``, and the one-way latencies ``domain_latency_s``
    between failure domains and ``region_latency_s`` between regions.

    Faults: ``cut`` lists pairs of failure domains or instances between which
    connections are blocked without notice or, if ``mode`` is ``reset``, reset;
    ``stalled`` lists instances whose link passes no bytes; ``corrupt`` lists instances
    for which one byte is changed in each large piece that they send.
    """

    def __init__(self, plan):
        self.faults = Faults(cut=[], stalled=[], corrupt=[], mode="silence")
        self._by_host = {item["host"]: item for item in plan["instances"]}
        self._by_name = {item["name"]: item for item in plan["instances"]}
        self._rate = plan.get("link_bytes_per_s")
        self._region_rate = plan.get("region_bytes_per_s")
        self._domain_latency_s = plan.get("domain_latency_s", 0.0)
        self._region_latency_s = plan.get("region_latency_s", 0.0)
        self._pacers = {}
        self._servers = []
        self.bytes_passed = {}
        for relay in plan["relays"]:
            self._listen(relay)

    def router(self):
        """Return a router with the HTTP interface of this stand-in."""
        router = new_router(self.faults)
        router.add("GET", "/counts", self.counts)
        return router

    def stop(self):
        """Stop listening."""
        for server in self._servers:
            server.stop(timeout=0)

    def counts(self, request):
        return Response.of_json(self.bytes_passed)

    def _listen(self, relay):
        def accept(sock, address):
            self._relay(sock, address[0], relay)

        address = (relay["from_host"], relay["from_port"])
        server = StreamServer(address, accept, backlog=BACKLOG)
        server.start()
        self._servers.append(server)

    def _relay(self, client, client_host, relay):
        source = self._by_host.get(client_host)
        target = self._by_name.get(relay["instance"])
        try:
            self._wait_until_open(source, target)
            upstream = _connect((relay["to_host"], relay["to_port"]))
        except OSError:
            client.close()
            return
        for sock in (client, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        forward = gevent.spawn(self._pump, client, upstream, source, target)
        backward = gevent.spawn(self._pump, upstream, client, target, source)
        gevent.joinall([forward, backward])
        client.close()
        upstream.close()

    def _pump(self, reader, writer, source, target):
        links = self._links(source, target)
        latency_s = self._latency_s(source, target)
        size_bytes = _piece_bytes(links)
        try:
            while data := reader.recv(size_bytes):
                wait_s = max(latency_s, self._count_and_reserve(len(data), links))
                if wait_s:
                    gevent.sleep(wait_s)
                self._wait_until_open(source, target)
                writer.sendall(self._corrupt(data, source))
            self._wait_until_open(source, target)
            writer.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (reader, writer):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def _links(self, source, target):
        """Return the names and pacers of all links from `source` to `target`.

        Either is None if the plan has no such instance.
        """
        rates = []
        if source:
            rates.append((f"{source['name']}/out", self._rate_of(source)))
        if target:
            rates.append((f"{target['name']}/in", self._rate_of(target)))
        if source and target and source["region"] != target["region"]:
            rates.append((f"{source['region']}>{target['region']}", self._region_rate))
        return [(key, self._pacers.setdefault(key, Pacer(rate))) for key, rate in rates]

    def _count_and_reserve(self, size_bytes, links):
        """Count the bytes; return the seconds until all `links` have passed them."""
        wait_s = 0.0
        for key, pacer in links:
            self.bytes_passed[key] = self.bytes_passed.get(key, 0) + size_bytes
            wait_s = max(wait_s, pacer.reserve(size_bytes))
        return wait_s

    def _corrupt(self, data, source):
        if not source or source["name"] not in self.faults.corrupt:
            return data
        if len(data) < CORRUPT_MIN_BYTES:
            return data
        return data[:-1] + bytes([data[-1] ^ 1])

    def _rate_of(self, item):
        return item.get("link_bytes_per_s", self._rate)

    def _latency_s(self, source, target):
        if not source or not target:
            return 0.0
        if source["region"] != target["region"]:
            return self._region_latency_s
        if source["failure_domain"] != target["failure_domain"]:
            return self._domain_latency_s
        return 0.0

    def _wait_until_open(self, source, target):
        """Return when no fault blocks the connection any more.

        :raises ConnectionResetError: if the connection is cut by a reset.
        """
        while self._is_blocked(source, target):
            if self.faults.mode == "reset":
                raise ConnectionResetError("cut on purpose")
            gevent.sleep(POLL_S)

    def _is_blocked(self, source, target):
        if not self.faults.cut and not self.faults.stalled:
            return False
        ends = [item for item in (source, target) if item]
        if any(item["name"] in self.faults.stalled for item in ends):
            return True
        if len(ends) < 2:
            return False
        return any(self._is_between(pair, *ends) for pair in self.faults.cut)

    def _is_between(self, pair, source, target):
        first, second = pair
        names = [{item["name"], item["failure_domain"]} for item in (source, target)]
        return (first in names[0] and second in names[1]) or (
            first in names[1] and second in names[0]
        )


def _connect(address):
    """Connect without a resolver, whose threads could delay the connection."""
    sock = socket.socket()
    try:
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(address)
        sock.settimeout(None)
    except BaseException:
        sock.close()
        raise
    return sock


def _piece_bytes(links):
    """Return the bytes that the slowest link passes in `PACED_PIECE_S`, with limits."""
    rates = [pacer.rate_bytes_per_s for _, pacer in links if pacer.rate_bytes_per_s]
    if not rates:
        return PIECE_BYTES
    return max(PIECE_MIN_BYTES, min(PIECE_BYTES, int(min(rates) * PACED_PIECE_S)))


def main():
    arguments = new_parser(__doc__)
    arguments.add_argument("--plan", required=True, type=Path)
    options = arguments.parse_args()
    links = Links(json.loads(options.plan.read_text()))
    serve(options.listen, links.router())


if __name__ == "__main__":
    main()
