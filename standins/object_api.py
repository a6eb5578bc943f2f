"""A stand-in for the platform's object API with its delayed instance list."""

from .base import Faults, lose_answer, new_router, new_parser, serve  # isort: skip

import time
from collections import Counter

import gevent
from gevent.event import Event

from briarbeam.kernel.http import Response

VALUE_MAX_BYTES = 1_000_000


class ObjectApi:
    """Keeps objects in memory, with versions, conditional updates and watches.

    Faults: ``mode`` is ``ok``, ``down`` (503), ``silent`` (no answer for 60 s) or
    ``lose`` (writes take effect but their answers are lost); ``delay_s`` delays calls;
    ``rate_per_s`` refuses calls above this rate; ``list_lag_s`` delays changes of the
    instance list; ``stale_reads`` returns the previous version of each object;
    ``stale_watches`` does the same for watches, so that answers arrive out of order;
    ``down_after`` names a kind whose next write succeeds, after which the API is down.
    """

    def __init__(self):
        self.faults = Faults(
            mode="ok", delay_s=0.0, rate_per_s=0, list_lag_s=1.0, stale_reads=False,
            stale_watches=False, down_after="",
        )  # fmt: skip
        self._objects = {}
        self._previous = {}
        self._revision = 0
        self._changed = Event()
        self._instances = {}
        self._list_history = [(0.0, 0, [])]
        self._counts = Counter()
        self._rate_window = (0, 0)
        self._snapshot = ({}, 0)

    def router(self):
        """Return a router with the HTTP interface of this stand-in."""
        router = new_router(self.faults)
        router.add("GET", "/objects/{kind}", self._with_faults(self.list))
        router.add("GET", "/objects/{kind}/{name}", self._with_faults(self.get))
        router.add("PUT", "/objects/{kind}/{name}", self._with_faults(self.put))
        router.add("DELETE", "/objects/{kind}/{name}", self._with_faults(self.delete))
        router.add("GET", "/watch/{kind}/{name}", self._with_faults(self.watch))
        router.add("GET", "/instances", self._with_faults(self.instances))
        router.add("PUT", "/instances/{name}", self.put_instance)
        router.add("DELETE", "/instances/{name}", self.delete_instance)
        router.add("POST", "/snapshot", self.snapshot)
        router.add("POST", "/restore", self.restore)
        router.add("GET", "/counts", self.counts)
        return router

    def get(self, request, kind, name):
        item = self._find(kind, name, self.faults.stale_reads)
        if item is None:
            return Response.of_json({"version": 0}, 404)
        if request.headers.get("if-none-match") == str(item[0]):
            return Response(304)
        return Response.of_json({"version": item[0], "value": item[1]})

    def list(self, request, kind):
        items = [
            {"name": name, "version": version, "value": value}
            for (stored_kind, name), (version, value) in sorted(self._objects.items())
            if stored_kind == kind
        ]
        return Response.of_json({"revision": self._revision, "items": items})

    def put(self, request, kind, name):
        if len(request.body) > VALUE_MAX_BYTES:
            return Response.of_json({"error": "value too large"}, 413)
        stored = self._objects.get((kind, name))
        conflict = self._conflict(request, stored)
        if conflict:
            return conflict
        self._revision += 1
        if stored:
            self._previous[kind, name] = stored
        self._objects[kind, name] = (self._revision, request.json())
        if kind == self.faults.down_after:
            self.faults.mode = "down"
        self._notify_watches()
        return Response.of_json({"version": self._revision})

    def delete(self, request, kind, name):
        stored = self._objects.get((kind, name))
        conflict = self._conflict(request, stored)
        if conflict:
            return conflict
        self._revision += 1
        self._objects.pop((kind, name), None)
        self._notify_watches()
        return Response.of_json({"version": self._revision})

    def watch(self, request, kind, name):
        after = int(request.query["after"])
        until_s = time.monotonic() + float(request.query["wait_s"])
        while time.monotonic() < until_s and self.faults.mode == "ok":
            stored = self._objects.get((kind, name))
            if stored and stored[0] > after:
                stored = self._find(kind, name, self.faults.stale_watches)
                return Response.of_json({"version": stored[0], "value": stored[1]})
            self._changed.wait(min(0.5, until_s - time.monotonic()))
        return Response.of_json({"version": 0}, 404)

    def instances(self, request):
        visible_s = time.monotonic() - self.faults.list_lag_s
        visible = [entry for entry in self._list_history if entry[0] <= visible_s]
        _, revision, instances = (visible or self._list_history[:1])[-1]
        if request.headers.get("if-none-match") == str(revision):
            return Response(304)
        return Response.of_json({"revision": revision, "instances": instances})

    def put_instance(self, request, name):
        self._instances[name] = request.json()
        return self._record_instances()

    def delete_instance(self, request, name):
        self._instances.pop(name, None)
        return self._record_instances()

    def counts(self, request):
        return Response.of_json(dict(self._counts))

    def snapshot(self, request):
        """Save a snapshot of all objects for a later restore."""
        self._snapshot = (dict(self._objects), self._revision)
        return Response.of_json({"revision": self._revision})

    def restore(self, request):
        """Restore the objects of the snapshot with their versions, as from a backup."""
        self._objects, self._revision = dict(self._snapshot[0]), self._snapshot[1]
        self._previous = {}
        self._notify_watches()
        return Response.of_json({"revision": self._revision})

    def _find(self, kind, name, stale):
        """Return the version and value of an object, or None.

        :param stale: return the previous version if there is one.
        """
        objects = self._previous if stale else self._objects
        return objects.get((kind, name)) or self._objects.get((kind, name))

    def _record_instances(self):
        revision = self._list_history[-1][1] + 1
        snapshot = [self._instances[name] for name in sorted(self._instances)]
        self._list_history.append((time.monotonic(), revision, snapshot))
        return Response.of_json({"revision": revision})

    def _conflict(self, request, stored):
        """Return a 409 response if the expected version is not stored, or None."""
        expected = request.query.get("if_version")
        version = stored[0] if stored else 0
        if expected is None or int(expected) == version:
            return None
        return Response.of_json({"version": version}, 409)

    def _notify_watches(self):
        self._changed.set()
        self._changed.clear()

    def _with_faults(self, handler):
        """Return `handler` wrapped with call counts, the rate limit and the faults."""

        def wrapped(request, **names):
            self._counts[handler.__name__] += 1
            if self._is_over_rate():
                return Response.of_json({}, 429, retry_after=1)
            gevent.sleep(self.faults.delay_s)
            if self.faults.mode == "down":
                return Response.of_json({}, 503, retry_after=1)
            if self.faults.mode == "silent":
                gevent.sleep(60)
            response = handler(request, **names)
            if self.faults.mode == "lose" and request.method != "GET":
                lose_answer(request)
            return response

        return wrapped

    def _is_over_rate(self):
        """Count a call and return whether this second has more calls than the limit."""
        second, count = self._rate_window
        now = int(time.monotonic())
        self._rate_window = (now, count + 1 if second == now else 1)
        return self.faults.rate_per_s and self._rate_window[1] > self.faults.rate_per_s


def main():
    arguments = new_parser(__doc__).parse_args()
    serve(arguments.listen, ObjectApi().router())


if __name__ == "__main__":
    main()
