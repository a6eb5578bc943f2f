"""Common parts of the stand-ins: the server process, fault switches and pacing."""

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
    """Named fault switches: ``POST /faults`` sets them, ``DELETE /faults`` resets them.

    :param defaults: the switches with their default values.
    """

    def __init__(self, **defaults):
        self._defaults = defaults
        self.__dict__.update(defaults)

    def set(self, request):
        """Set the switches that the request names; the others keep their values."""
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
    """A rate limiter whose rate is shared by all its users.

    :param rate_bytes_per_s: bytes per second, or None for no limit.
    """

    def __init__(self, rate_bytes_per_s):
        self.rate_bytes_per_s = rate_bytes_per_s
        self._free_at_s = 0.0

    def reserve(self, size_bytes):
        """Reserve time for `size_bytes`; return the seconds until they have passed."""
        if not self.rate_bytes_per_s:
            return 0.0
        now_s = time.monotonic()
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + size_bytes / self.rate_bytes_per_s
        return self._free_at_s - now_s

    def consume(self, size_bytes):
        """Wait until `size_bytes` have passed at the rate."""
        gevent.sleep(self.reserve(size_bytes))


class EventLog:
    """An append-only log of what a stand-in did; its file outlives the process.

    :param path: the file, or None to keep the records only in memory.
    """

    def __init__(self, path):
        self._path = path
        self.records = []

    def add(self, **record):
        """Append a record, with the wall-clock time ``at`` in unix seconds."""
        record["at"] = time.time()
        self.records.append(record)
        if self._path:
            with open(self._path, "a") as file:
                file.write(json.dumps(record) + "\n")

    def show(self, request):
        """Return a response with all records of this process."""
        return Response.of_json({"records": self.records})


def lose_answer(request):
    """Close the caller's connection without an answer, after the request took effect.

    :raises ConnectionResetError: always, so that no answer is sent.
    """
    request.connection.shutdown(socket.SHUT_RDWR)
    raise ConnectionResetError("answer lost on purpose")


def new_parser(description):
    """Return an argument parser with the options that all stand-ins have."""
    arguments = argparse.ArgumentParser(description=description)
    arguments.add_argument("--listen", required=True, type=Address.parse)
    return arguments


def serve(address, router):
    """Serve `router` until this process is killed or its parent process ends."""
    HttpServer(address, router).start()
    parent = os.getppid()
    while os.getppid() == parent:
        Event().wait(1.0)


def new_router(faults=None):
    """Return a router that answers ``/healthz`` and, with `faults`, ``/faults``."""
    router = Router()
    router.add("GET", "/healthz", lambda request: Response.of_json({"ok": True}))
    if faults is not None:
        router.add("POST", "/faults", faults.set)
        router.add("DELETE", "/faults", faults.reset)
    return router
