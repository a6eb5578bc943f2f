"""Changes in quick succession of a large state stay out of force behind a region's link."""

import random
import sys
import time
from pathlib import Path

from gevent import monkey

monkey.patch_all()

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent.parent), str(FOLDER.parent)]

import gevent  # noqa: E402
import kit3  # noqa: E402

# Entries in a zone of another region than the store's, and in the store's zone.
FAR, NEAR = 3, 2
LINK_MBIT_PER_S, CONFIG_APPLY_S = 11.5, 3.0
ROUTES = 1480
CHANGES, GAP_S, MOVING_CHANGE = 25, 0.06, 12
ZONE_LOST_S, BEFORE_S, AFTER_S = 5.0, 0.5, 9.0
PER_S = 10.0


def run(trouble, folder):
    site = kit3.Site(folder, FAR + NEAR, far=NEAR, mbit=LINK_MBIT_PER_S)
    site.entry_settings = {"apply_s": CONFIG_APPLY_S}
    try:
        return _run(site, trouble)
    finally:
        site.stop()


def _put(site, service, number):
    """Write a state in which `/led/` goes to `service`; all others are idle routes."""
    moved = kit3.plain_route("led", "/led/", service, public=True)
    idle = [
        {
            "name": f"r-{n:07x}", "host": "hulo84.example",
            "path_prefix": f"/xapu{n:04d}/ny95/", "kind": "streaming",
            "timeout_ms": 6000 + number, "target_latency_ms": 405, "priority": 1,
            "service": "llm", "max_attempts": 2, "public": False, "sticky": True,
            "resumable": True, "gap_target_ms": 400, "allowed_regions": [],
        }
        for n in range(ROUTES)
    ]  # fmt: skip
    services = [kit3.plain_service("led-a"), kit3.plain_service("led-b")]
    return site.put_state([moved, *idle], services)


def _run(site, trouble):
    old = site.add_runners(2, "led-a")
    site.add_runners(2, "led-b")
    _put(site, "led-a", 0)
    site.start()
    gevent.sleep(8.0)
    asked = {}

    def call(number):
        while True:
            gevent.sleep(random.expovariate(PER_S))
            gevent.spawn(ask, number)

    def ask(number):
        request_id, sent_s, _, status, _ = site.ask(number)
        asked[request_id] = number, sent_s, status

    callers = [gevent.spawn(call, number) for number in range(FAR)]
    gevent.sleep(2.0)
    if trouble:
        _lose_near_zone(site)
    gevent.sleep(BEFORE_S)
    began_s, acked_s = time.monotonic(), None
    for number in range(1, CHANGES + 1):
        is_moved = number >= MOVING_CHANGE
        at_s = _put(site, "led-b" if is_moved else "led-a", number)
        if is_moved and acked_s is None:
            acked_s = at_s
        gevent.sleep(max(0.0, began_s + number * GAP_S - time.monotonic()))
    gevent.sleep(AFTER_S)
    gevent.killall(callers)
    gevent.sleep(1.0)
    return _judge(site, old, asked, acked_s)


def _lose_near_zone(site):
    lost = site.nodes[FAR:]
    for node in lost:
        node.kill()
    site.record.add("the zone of the store is without power", entries=len(lost))

    def come_back():
        for node in lost:
            node.start()
        site.record.add("the zone of the store is back")

    gevent.spawn_later(ZONE_LOST_S, come_back)


def _judge(site, old, asked, acked_s):
    latest_s, late_count = 0.0, 0
    for runner in old:
        for at_s, request_id in runner.runs:
            if request_id not in asked:
                continue
            number, sent_s, status = asked[request_id]
            after_s = sent_s - acked_s
            if after_s <= CONFIG_APPLY_S:
                continue
            late_count, latest_s = late_count + 1, max(latest_s, after_s)
            site.record.add(
                "run by the old service", at_s, id=request_id, runner=runner.id,
                entry=number, sent_after_ack=f"{after_s:.3f}", status=status,
            )  # fmt: skip
    site.record.add(
        "in all", late=late_count, latest=f"{latest_s:.3f}",
        link_bytes=site.link.sent_bytes,
    )  # fmt: skip
    return late_count > 0


if __name__ == "__main__":
    kit3.main(run, FOLDER)
