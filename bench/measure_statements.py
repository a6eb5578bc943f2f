"""``make measure-statements``: requests at a target that wants no more of them.

Runs entries as processes and callers against stand-ins. In each round one target states
in its answers that it is leaving, while the list shows it as ready, and one refuses all
requests with Retry-After. Prints one JSON line per round.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402

import gevent  # noqa: E402

from soak.backends import seal  # noqa: E402
from soak.callers import Caller  # noqa: E402
from soak.site import SiteSize, SoakSite  # noqa: E402

ROUNDS = 5
CALLERS = 24
SIZE = SiteSize(domains=2, entries=2, engines=1, ledgers=2)
# The platform's time for requests that were sent before an entry passed on that a
# target leaves.
DRAIN_S = 2.0
LEAVING_S = 4.0
RETRY_AFTER_S = 3.0
GRACE_S = 0.5
PAUSE_S = 2.0


def main():
    """Play all rounds at one site."""
    site = SoakSite(SIZE)
    attempts = []
    callers = [
        Caller(f"c{number}", site.choose_entry, lambda: ["main"], number, attempts)
        for number in range(CALLERS)
    ]
    tasks = []
    try:
        with gevent.Timeout(30.0):
            while len(site.ready_entries) < len(site.entry_proxies):
                gevent.sleep(0.1)
        tasks += [gevent.spawn(caller.run) for caller in callers]
        ledgers = [t for t in site.targets if "ledger" in t.name]
        rng = random.Random(1)
        for number in range(ROUNDS):
            gevent.sleep(PAUSE_S)
            leaving, refusing = rng.sample(ledgers, 2)
            figures = measure_leaving(site, leaving, attempts)
            gevent.sleep(PAUSE_S)
            figures |= measure_refusal(site, refusing, attempts)
            print(json.dumps({"round": number, **figures}), flush=True)
    finally:
        gevent.killall(tasks)
        site.stop()
        shutil.rmtree(site.folder)


def measure_leaving(site, target, attempts):
    """Count requests that callers sent after their entry had passed on the leaving."""
    # Requests that are already running get the statement in their answers too.
    first_attempt, name = max(0, len(attempts) - CALLERS), target.name
    target.backend.leaving = True
    gevent.sleep(LEAVING_S)
    target.backend.crash()
    site.store.remove("servers", name)
    site.restart_target(target)
    gevent.sleep(GRACE_S)
    recent = attempts[first_attempt:]
    passed_on_s = {}
    for attempt in recent:
        answer_seal = seal(attempt.request_id, name).encode()
        if attempt.headers.get(b"x-response-seal") == answer_seal and (
            b"server-leaving" in attempt.headers
        ):
            passed_on_s.setdefault(attempt.entry, attempt.ended_s)
    by_id = {attempt.request_id: attempt for attempt in recent}
    late_s = [
        by_id[arrival.request_id].started_s
        - passed_on_s[by_id[arrival.request_id].entry]
        for arrival in site.records.arrivals
        if arrival.backend == name
        and arrival.request_id in by_id
        and by_id[arrival.request_id].entry in passed_on_s
    ]
    return {
        "entries_that_passed_it_on": len(passed_on_s),
        "after_leaving": sum(late > 0.0 for late in late_s),
        "after_drain_time": sum(late > DRAIN_S for late in late_s),
    }


def measure_refusal(site, target, attempts):
    """Count requests that an entry sent within the wait after its first refusal."""
    first_attempt = max(0, len(attempts) - CALLERS)
    backend = target.backend
    backend.refused_share, backend.retry_after_s = 1.0, RETRY_AFTER_S
    gevent.sleep(RETRY_AFTER_S)
    backend.clear_faults()
    gevent.sleep(GRACE_S)
    recent = {attempt.request_id: attempt for attempt in attempts[first_attempt:]}
    refused_s, within_grace, within_wait = {}, 0, 0
    for arrival in site.records.arrivals:
        if arrival.backend != target.name or arrival.request_id not in recent:
            continue
        entry = recent[arrival.request_id].entry
        if arrival.wait_s is not None:
            first_s = refused_s.setdefault(entry, arrival.at_s)
            late_s = arrival.at_s - first_s
            within_grace += 0.0 < late_s <= GRACE_S
            within_wait += GRACE_S < late_s < RETRY_AFTER_S
    return {
        "entries_that_were_refused": len(refused_s),
        "within_grace": within_grace,
        "within_wait": within_wait,
        "callers_refused": sum(a.status == 503 for a in recent.values()),
        "callers": len(recent),
    }


if __name__ == "__main__":
    main()
