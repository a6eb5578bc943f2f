"""A reader whose waiting call to the store fell silent lets its zone use a runner."""

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

ENTRIES, RUNNERS, LEAVING = 4, 12, 3
PER_S = 5.0
WATCH = b"/servers?watch"


def run(trouble, folder):
    site = kit3.Site(folder, ENTRIES)
    try:
        return _run(site, trouble)
    finally:
        site.stop()


def _run(site, trouble):
    ledgers = site.add_runners(RUNNERS, "ledger")
    site.put_state(
        [kit3.plain_route("led", "/led/", "ledger")], [kit3.plain_service("ledger")]
    )
    site.start()
    reader = site.wait_for_reader()
    site.record.add("reader", entry=reader)
    asked = {}

    def call(number):
        while True:
            gevent.sleep(random.expovariate(PER_S))
            gevent.spawn(lambda: asked.__setitem__(*_pair(site.ask(number), number)))

    callers = [gevent.spawn(call, n) for n in range(ENTRIES)]
    gevent.sleep(3.0)
    proxy = site.proxies[reader]
    silent_s = time.monotonic()
    if trouble:
        # Just after the reader has sent the call that waits for changes of runners.
        kit3.wait_until(lambda: proxy.is_fresh(WATCH), what="a fresh watch")
        silent_s = time.monotonic()
        found = proxy.silence(WATCH)
        site.record.add("connections fall silent", silent_s, calls=found)
    gevent.sleep(1.0)
    acked_s = {runner.id: runner.leave() for runner in random.sample(ledgers, LEAVING)}
    gevent.sleep(6.0)
    gevent.killall(callers)
    gevent.sleep(1.0)
    return _judge(site, ledgers, acked_s, silent_s if trouble else None, asked)


def _pair(answer, number):
    return answer[0], (number, *answer[1:])


def _judge(site, ledgers, acked_s, silent_s, asked):
    broken = False
    for runner in ledgers:
        if runner.id not in acked_s:
            continue
        for at_s, request_id in runner.runs:
            late_s = at_s - acked_s[runner.id] - kit3.DRAIN_S
            if late_s <= 0 or request_id not in asked:
                continue
            number, sent_s, _, status, _ = asked[request_id]
            in_touch = silent_s is None or sent_s > silent_s + kit3.CONTACT_S
            site.record.add(
                "late run", at_s, id=request_id, runner=runner.id, entry=number,
                late=f"{late_s:.3f}", in_touch=in_touch, status=status,
            )  # fmt: skip
            broken |= in_touch
    return broken


if __name__ == "__main__":
    kit3.main(run, FOLDER)
