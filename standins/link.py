"""A stand-in of the network: every instance's link, and those between regions.

Each instance has an IP number of its own, which its connections leave from. The
stand-in listens on the addresses that instances advertise, so it knows both ends
of a connection and can pace, count, stall or cut it.
"""

from .base import Faults, Pacer, new_router, parser, serve  # isort: skip

import json
from pathlib import Path

import gevent
from gevent import socket
from gevent.server import StreamServer

from briarbeam.kernel.http import Response

PIECE_BYTES = 16384


class Links:
    """Relays connections between instances.

    The plan maps ``instances`` to their ``host``, ``region`` and
    ``failure_domain``, and lists ``relays`` from one address to another with the
    ``instance`` they lead to.

    Faults: ``cut`` lists pairs of failure domains or instances whose connections
    stall; ``stalled`` lists instances whose link passes nothing.
    """

    def __init__(self, plan):
        self.faults = Faults(cut=[], stalled=[])
        self._by_host = {item["host"]: item for item in plan["instances"]}
        self._by_name = {item["name"]: item for item in plan["instances"]}
        self._rate = plan.get("link_bytes_per_s")
        self._region_rate = plan.get("region_bytes_per_s")
        self._pacers = {}
        self._bytes = {}
        for relay in plan["relays"]:
            self._listen(relay)

    def router(self):
        """Return the router that serves this object."""
        router = new_router(self.faults)
        router.add("GET", "/counts", self.counts)
        return router

    def counts(self, request):
        return Response.of_json(self._bytes)

    def _listen(self, relay):
        def accept(sock, address):
            self._relay(sock, address[0], relay)

        StreamServer((relay["from_host"], relay["from_port"]), accept).start()

    def _relay(self, near, near_host, relay):
        source = self._by_host.get(near_host)
        target = self._by_name.get(relay["instance"])
        while self._blocked(source, target):
            gevent.sleep(0.05)
        try:
            far = socket.create_connection((relay["to_host"], relay["to_port"]), 1.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        there = gevent.spawn(self._pump, near, far, source, target)
        back = gevent.spawn(self._pump, far, near, target, source)
        gevent.joinall([there, back])
        near.close()
        far.close()

    def _pump(self, reader, writer, source, target):
        try:
            while data := reader.recv(PIECE_BYTES):
                self._pass(len(data), source, target)
                while self._blocked(source, target):
                    gevent.sleep(0.05)
                writer.sendall(data)
            writer.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (reader, writer):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    continue

    def _pass(self, size_bytes, source, target):
        keys = []
        if source:
            keys.append((f"{source['name']}/out", self._rate_of(source)))
        if target:
            keys.append((f"{target['name']}/in", self._rate_of(target)))
        if source and target and source["region"] != target["region"]:
            keys.append((f"{source['region']}>{target['region']}", self._region_rate))
        wait_s = 0.0
        for key, rate in keys:
            self._bytes[key] = self._bytes.get(key, 0) + size_bytes
            pacer = self._pacers.setdefault(key, Pacer(rate))
            wait_s = max(wait_s, pacer.reserve(size_bytes))
        gevent.sleep(wait_s)

    def _rate_of(self, item):
        return item.get("link_bytes_per_s", self._rate)

    def _blocked(self, source, target):
        ends = [item for item in (source, target) if item]
        if any(item["name"] in self.faults.stalled for item in ends):
            return True
        if len(ends) < 2:
            return False
        return any(self._across(pair, *ends) for pair in self.faults.cut)

    def _across(self, pair, source, target):
        first, second = pair
        names = [{item["name"], item["failure_domain"]} for item in (source, target)]
        return (first in names[0] and second in names[1]) or (
            first in names[1] and second in names[0]
        )


def main():
    arguments = parser(__doc__)
    arguments.add_argument("--plan", required=True, type=Path)
    options = arguments.parse_args()
    links = Links(json.loads(options.plan.read_text()))
    serve(options.listen, links.router())


if __name__ == "__main__":
    main()
