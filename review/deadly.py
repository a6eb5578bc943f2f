"""Requests with a part of their prompts that ends runners, and how many get through.

Used by the cases 11 and 14.
"""

import random

import gevent
import kit3

ENTRIES, ENGINES = 3, 6
SOUND_PER_S, DEADLY_PER_S, LASTS_S = 12.0, 0.7, 40.0
SHARED, DEADLY = "5c1e07a2", "91bd3f06"
RETRIES_MAX, CRASHES = 3, 5


def run(trouble, folder, writes_first, before=()):
    """Return whether too many requests with the part reach runners.

    :param writes_first: whether a runner has written the first event when it ends.
    :param before: ids of further shared parts of all prompts, before the others.
    """
    site = kit3.Site(folder, ENTRIES, idle_engine=False)
    try:
        return _run(site, trouble, writes_first, before)
    finally:
        site.stop()


def _run(site, trouble, writes_first, before):
    engines = site.add_engines(ENGINES)
    site.put_state(
        [
            kit3.plain_route(
                "gen", "/gen/", "llm", "streaming", timeout_ms=6000,
                target_latency_ms=500, resumable=True, gap_target_ms=400, sticky=True,
            )
        ],
        [],
    )  # fmt: skip
    site.start()
    gevent.sleep(4.0)
    for engine in engines:
        engine.writes_first = writes_first
        engine.deadly_part = DEADLY if trouble else None
    answers = {"sound": [], "deadly": []}

    def call(kind, per_s, parts):
        while True:
            gevent.sleep(random.expovariate(per_s))
            gevent.spawn(_ask, site, answers[kind], parts)

    callers = [
        gevent.spawn(call, "sound", SOUND_PER_S, (*before, SHARED)),
        gevent.spawn(call, "deadly", DEADLY_PER_S, (*before, SHARED, DEADLY)),
    ]
    gevent.sleep(LASTS_S)
    gevent.killall(callers)
    gevent.sleep(2.0)
    return _judge(site, engines, answers)


def _ask(site, answers, parts):
    own = f"{random.getrandbits(32):08x}"
    listed = (
        ",".join(f"{part}:40" for part in parts) + f",{own}:{random.randint(200, 900)}"
    )
    headers = f"X-Model: m\r\nX-Token-Usage: 700,80\r\nX-Prefix-Hash: {listed}\r\n"
    number = random.randrange(ENTRIES)
    answer = site.ask(
        number, f"/gen/{own}", method="POST", timeout_s=6.5, deadline_ms=6000,
        headers=headers,
    )  # fmt: skip
    answers.append(answer[3] == 200 and answer[4].count(b"data:") == 8)


def _judge(site, engines, answers):
    crashes = sorted(at_s for engine in engines for at_s in engine.crashes)
    reached = sorted(
        (at_s, request_id)
        for engine in engines
        for at_s, request_id, parts in engine.reached
        if DEADLY in parts
    )
    for kind, served in answers.items():
        site.record.add("in all", kind=kind, asked=len(served), whole=sum(served))
    if len(crashes) < CRASHES:
        site.record.add("crashes", count=len(crashes))
        return False
    bound_s = crashes[CRASHES - 1] + kit3.CONTACT_S
    late = [request_id for at_s, request_id in reached if at_s > bound_s]
    site.record.add(
        "with the part", crashes=len(crashes), fifth=f"{site.record.at(bound_s - 3):.3f}",
        reached=len(reached), later=len(late),
    )  # fmt: skip
    return len(late) > RETRIES_MAX
