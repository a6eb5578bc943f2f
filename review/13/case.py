"""A key that was taken away works again at an entry that restarts after a restore."""

import os
import random
import signal
import sys
import time
from pathlib import Path

from gevent import monkey

monkey.patch_all()

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent.parent), str(FOLDER.parent)]

import gevent  # noqa: E402
import kit3  # noqa: E402

ENTRIES, PER_S = 4, 10.0
REVOKE_S = 5.0
KEY, OTHER_KEY = "key1", "key2"
# Times after the ack of the state that takes the key away.
TERM_BEFORE_S, AWAY_S, RETURN_S, END_S = 1.0, 3.0, 3.6, 12.0
# How long after its return the store has what the operator wrote again.
REWRITE_S = float(os.environ.get("REWRITE_S", "6.0"))
START_AFTER_S = 0.2


def run(trouble, folder):
    site = kit3.Site(folder, ENTRIES)
    try:
        return _run(site, trouble)
    finally:
        site.stop()


def _put(site, keys):
    site.tenants = [{"name": "t1", "api_keys": keys}]
    return site.put_state(
        [kit3.plain_route("led", "/led/", "ledger", "non_idempotent")],
        [kit3.plain_service("ledger")],
    )


def _run(site, trouble):
    ledgers = site.add_runners(3, "ledger")
    _put(site, [KEY, OTHER_KEY])
    site.start()
    gevent.sleep(3.0)
    sent = {}

    def ask(number):
        request_id, sent_s, _, status, _ = site.ask(number, method="POST", key=KEY)
        sent[request_id] = number, sent_s, status

    def call(number):
        while True:
            gevent.sleep(random.expovariate(PER_S))
            gevent.spawn(ask, number)

    callers = [gevent.spawn(call, number) for number in range(ENTRIES)]
    gevent.sleep(2.0)
    if not any(status == 200 for _, _, status in sent.values()):
        raise kit3.CannotRunError("no request with the key ran before")
    node = site.nodes[-1]
    site.record.add("SIGTERM", entry=ENTRIES - 1)
    node.signal(signal.SIGTERM)
    ended = gevent.spawn(node.process.wait)
    gevent.sleep(TERM_BEFORE_S)
    acked_s = _put(site, [OTHER_KEY])

    def wait(after_s):
        gevent.sleep(max(0.0, acked_s + after_s - time.monotonic()))

    wait(AWAY_S)
    if trouble:
        site.store.down = True
        site.record.add("the store is away")
    wait(RETURN_S)
    if trouble:
        site.store.rewind(time.monotonic() - acked_s + 0.5)
        site.store.down = False
        site.record.add("the store is back from a copy", era=site.store.era)
    wait(RETURN_S + START_AFTER_S)
    ended.join()
    node.start()
    site.record.add("the process is started again", entry=ENTRIES - 1)
    wait(RETURN_S + REWRITE_S)
    if trouble:
        site.store.write_lost_again()
        site.record.add("the operator has written again")
    wait(END_S)
    gevent.killall(callers)
    gevent.sleep(1.0)
    return _judge(site, ledgers, sent, acked_s)


def _judge(site, ledgers, sent, acked_s):
    late = 0
    for at_s, request_id in (run for runner in ledgers for run in runner.runs):
        if request_id not in sent:
            continue
        number, sent_s, status = sent[request_id]
        after_s = sent_s - acked_s
        if after_s > REVOKE_S:
            late += 1
            site.record.add(
                "runs with the key", at_s, id=request_id, entry=number,
                after_ack=f"{after_s:.3f}", status=status,
            )  # fmt: skip
    site.record.add("in all", late=late)
    return late > 0


if __name__ == "__main__":
    kit3.main(run, FOLDER)
