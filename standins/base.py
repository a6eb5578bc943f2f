"""What the stand-ins share: a process around a router, and fault switches."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from briarbeam.kernel.http import HttpServer, Response, Router  # noqa: E402
from briarbeam.kernel.network import Address  # noqa: E402


class Faults:
    """Named switches, set with ``POST /faults`` and reset with ``DELETE /faults``."""

    def __init__(self, **defaults):
        self._defaults = defaults
        self.__dict__.update(defaults)

    def set(self, request):
        """Set the given switches; those not named keep their value."""
        for name, value in request.json().items():
            if name not in self._defaults:
                return Response.of_json({"unknown": name}, 400)
            setattr(self, name, value)
        return Response.of_json({name: getattr(self, name) for name in self._defaults})

    def reset(self, request):
        """Set every switch back to its default."""
        self.__dict__.update(self._defaults)
        return Response.of_json(self._defaults)


class Pacer:
    """Lets bytes through at a rate shared by all its users.

    :param rate_bytes_per_s: bytes a second, or None for no limit.
    """

    def __init__(self, rate_bytes_per_s):
        self.rate_bytes_per_s = rate_bytes_per_s
        self._free_at_s = 0.0

    def reserve(self, size_bytes):
        """Take room for `size_bytes` and return the seconds until they have passed."""
        if not self.rate_bytes_per_s:
            return 0.0
        now_s = time.monotonic()
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + size_bytes / self.rate_bytes_per_s
        return self._free_at_s - now_s

    def pass_bytes(self, size_bytes):
        """Wait until `size_bytes` have passed."""
        gevent.sleep(self.reserve(size_bytes))


class EventLog:
    """An append-only file of what really happened; outlives its process.

    :param path: the file, or None to keep the records in memory only.
    """

    def __init__(self, path):
        self._path = path
        self.records = []

    def add(self, **record):
        """Append one record with the wall-clock time ``at``, in unix seconds."""
        record["at"] = time.time()
        self.records.append(record)
        if self._path:
            with open(self._path, "a") as file:
                file.write(json.dumps(record) + "\n")

    def show(self, request):
        """Serve the records of this process."""
        return Response.of_json({"records": self.records})


def lose_answer(request):
    """End the caller's connection without an answer, after the effect."""
    request.connection.shutdown(socket.SHUT_RDWR)
    raise ConnectionResetError("answer lost on purpose")


def parser(description):
    """Return an argument parser with what every stand-in takes."""
    arguments = argparse.ArgumentParser(description=description)
    arguments.add_argument("--listen", required=True, type=Address.parse)
    return arguments


def serve(address, router):
    """Serve `router` until the process is ended or its parent is gone."""
    HttpServer(address, router).start()
    parent = os.getppid()
    while os.getppid() == parent:
        Event().wait(1.0)


def new_router(faults=None):
    """Return a router that answers ``/healthz`` and takes faults."""
    router = Router()
    router.add("GET", "/healthz", lambda request: Response.of_json({"ok": True}))
    if faults is not None:
        router.add("POST", "/faults", faults.set)
        router.add("DELETE", "/faults", faults.reset)
    return router
