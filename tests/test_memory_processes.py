"""Entry processes stay within the memory of their settings, whatever they are sent."""

import re
from pathlib import Path

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from bench.node_process import NodePorts, NodeProcess
from standins.platform import Store, desired_state

from .test_node_processes import free_ports, wait_until

HOST = "127.0.0.1"
# That of the smallest entries.
MEMORY_MB = 160
CALLS = 48
SOUND_CALLS = 20
BODY_BYTES = 4 * 2**20
WORK_S = 2.0
ANSWER = b"HTTP/1.1 200 OK\r\nX-Response-Seal: sealed\r\nContent-Length: 4\r\n\r\ndone"
HEADS = {
    "no length": b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\n",
    "huge length": b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
    "events": b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
    "head": b"HTTP/1.1 200 OK\r\nX-Long: ",
}


class Site:
    """An entry with two services: one answers, the other one does what a test says."""

    def __init__(self, folder, serve, more_settings=""):
        self.store = Store((HOST, 0))
        self.servers = [StreamServer((HOST, 0), s) for s in (answer_request, serve)]
        state = desired_state(1, f"{HOST}:9")
        state["routes"] = [
            state["routes"][0]
            | {"name": name, "service": name, "path_prefix": f"/{name}/"}
            | {"kind": "non_idempotent", "resumable": False, "max_attempts": 1}
            | {"timeout_ms": 30_000}
            for name in ("sound", "other")
        ]
        state["services"] = [{"name": "sound"}, {"name": "other"}]
        state["tenants"].append({"name": "team2", "api_keys": ["key2"]})
        for name, server in zip(("sound", "other"), self.servers, strict=True):
            server.start()
            self.store.put("servers", f"i-{name}", {
                "service": name, "address": f"{HOST}:{server.server_port}",
                "zone": "z1", "version": "v1", "slots": 64, "state": "ready",
                "cold_left_ms": 0, "seq": 1, "born": 1})  # fmt: skip
        self.store.put("config", "main", state)
        self.port, self.readiness, self.peer, self.metrics = free_ports(4)
        self.node = NodeProcess(
            name="entry-1",
            role="entry",
            host=HOST,
            domain="z1",
            ports=NodePorts(self.port, self.readiness, self.peer, self.metrics),
            store=self.store.address,
            folder=folder,
            domains=("z1",),
            memory_mb=MEMORY_MB,
            more_settings=more_settings,
        )
        self.node.start()

    def stop(self):
        self.node.kill()
        for server in (*self.servers, self.store):
            server.stop()

    def ask(self, service, key="key1", body=b"hi"):
        """Return the answer as far as it comes."""
        head = (
            f"POST /{service}/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id1\r\n"
            f"X-Deadline-Ms: 25000\r\nAuthorization: Bearer {key}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        data = b""
        try:
            with gevent.Timeout(30.0), socket.create_connection(
                (HOST, self.port)
            ) as sock:  # fmt: skip
                sender = gevent.spawn(_send, sock, head.encode() + body)
                while part := sock.recv(65536):
                    # Only the begin of an endless answer is kept.
                    data = (data + part)[:65536]
                sender.kill()
        except OSError:
            pass
        return data

    def peak_mb(self):
        """Return the most resident memory that the process has had."""
        status = Path(f"/proc/{self.node.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1000


def _send(sock, data):
    try:
        sock.sendall(data)
    except OSError:
        return


def answer_request(sock, _):
    read_request(sock)
    sock.sendall(ANSWER)


def read_request(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            # Otherwise the loop would leave no turn to the store of this process.
            raise ConnectionResetError("connection ended before a request")
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    left_bytes = int(re.search(rb"ength: (\d+)", head)[1]) - len(rest)
    while left_bytes > 0:
        left_bytes -= len(sock.recv(65536)) or left_bytes


def run_beside_sound_requests(folder, serve, **request):
    """Send `CALLS` requests to `serve`, and sound ones beside them.

    :returns: the status of each answer to the former, and the peak of the memory.
    """
    site = Site(folder, serve)
    try:
        wait_until(lambda: site.ask("sound", "key2").endswith(b"done"))
        tasks = [gevent.spawn(site.ask, "other", **request) for _ in range(CALLS)]
        for _ in range(SOUND_CALLS):
            gevent.sleep(0.05)
            assert site.ask("sound", "key2").endswith(b"done")
        gevent.joinall(tasks, timeout=40, raise_error=True)
        assert site.node.process.poll() is None
        return [task.value.split()[1:2] for task in tasks], site.peak_mb()
    finally:
        site.stop()


@pytest.mark.parametrize("kind", HEADS)
def test_endless_answers_of_a_faulty_instance_do_not_fill_the_memory(tmp_path, kind):
    """At 48 calls the process had 378 MB, and the requests of others ended with it."""

    def serve(sock, _):
        read_request(sock)
        sock.sendall(HEADS[kind])
        while True:
            sock.sendall(b"a" * 65536)
            # A send that need not wait leaves no turn to the store of this process.
            gevent.sleep(0)

    statuses, peak_mb = run_beside_sound_requests(tmp_path, serve)
    assert set(map(tuple, statuses)) <= {(b"502",), (b"503",)}
    assert peak_mb < MEMORY_MB


def test_large_requests_do_not_fill_the_memory(tmp_path):
    """Bodies of 4 MB, which the desired state allows, took 588 MB at 48 requests."""
    runs = []

    def serve(sock, _):
        read_request(sock)
        runs.append(True)
        gevent.sleep(WORK_S)
        sock.sendall(ANSWER)

    body = b"x" * BODY_BYTES
    statuses, peak_mb = run_beside_sound_requests(tmp_path, serve, body=body)
    served = statuses.count([b"200"])
    # What was refused did not run, and what has run was answered.
    assert served == len(runs) >= 4
    assert statuses.count([b"503"]) == CALLS - served
    assert peak_mb < MEMORY_MB
