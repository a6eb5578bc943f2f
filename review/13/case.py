"""A request that ends runners after its first event is never refused if it is resumed."""

import os
import random
import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent.parent), str(FOLDER.parent)]

import gevent  # noqa: E402
import kit3  # noqa: E402

ENTRIES, ENGINES = 3, 6
SOUND_PER_S, LASTS_S = 10.0, 40.0
# A client sends the deadly request again after such a pause, until it is answered.
PAUSE_S = (1.0, 2.0)
# A runner begins to write after `FIRST_S`, and ends `ENDS_AFTER_S` after it has begun
# to run the request. CONTROL=1: the rest is begun so soon that the guard holds.
FIRST_S = 0.03 if os.environ.get("CONTROL") == "1" else 0.4
ENDS_AFTER_S = 0.15
PATH = "/gen/deadly"
CRASHES, RETRIES_MAX = 3, 3


class Engine(kit3.LlmRunner):
    """A sound model runner that ends in each run of one request."""

    is_deadly = False

    def _handle(self, sock, method, path, headers, body):
        if path == PATH and self.is_deadly:
            headers["x-deadly"] = "1"
        super()._handle(sock, method, path, headers, body)

    def _stream(self, sock, headers, parts):
        gevent.sleep(FIRST_S - 0.03)
        if "x-deadly" in headers:
            gevent.spawn_later(
                0.03 + ENDS_AFTER_S, self._end, self.born, headers["x-request-id"]
            )
        super()._stream(sock, headers, parts)

    def _end(self, born, request_id):
        if self.born == born and self._server.started:
            self.crash(request_id)


def run(trouble, folder):
    site = kit3.Site(folder, ENTRIES, idle_engine=False)
    try:
        return _run(site, trouble)
    finally:
        site.stop()


def _run(site, trouble):
    engines = [
        Engine(site.store, site.record, f"127.0.2.{10 + n}", "z1")
        for n in range(ENGINES)
    ]
    site.runners += engines
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
        engine.is_deadly = trouble
    answers = {"sound": [], "deadly": []}

    callers = [
        gevent.spawn(_call_sound, site, answers["sound"]),
        gevent.spawn(_call_deadly, site, answers["deadly"]),
    ]
    gevent.sleep(LASTS_S)
    gevent.killall(callers)
    gevent.sleep(2.0)
    return _judge(site, engines, answers)


def _call_sound(site, answers):
    while True:
        gevent.sleep(random.expovariate(SOUND_PER_S))
        own = f"{random.getrandbits(32):08x}"
        gevent.spawn(lambda own=own: answers.append(_ask(site, f"/gen/{own}", own)[0]))


def _call_deadly(site, answers):
    while True:
        answers.append(_ask(site, PATH, "91bd3f06"))
        gevent.sleep(random.uniform(*PAUSE_S))


def _ask(site, path, own):
    """Send a request; return whether it was answered in full, and its id."""
    headers = (
        "X-Model: m\r\nX-Token-Usage: 1290,105\r\n"
        f"X-Prefix-Hash: 5c1e07a2:40,{own}:1250\r\n"
    )
    answer = site.ask(
        random.randrange(ENTRIES), path, method="POST", timeout_s=6.5,
        deadline_ms=6000, headers=headers,
    )  # fmt: skip
    return answer[3] == 200 and answer[4].count(b"data:") == 8, answer[0], answer[3]


def _judge(site, engines, answers):
    ids = {request_id for _, request_id, _ in answers["deadly"]}
    crashes = sorted(at_s for engine in engines for at_s in engine.crashes)
    reached = sorted(
        (at_s, request_id)
        for engine in engines
        for at_s, request_id, _ in engine.reached
        if request_id in ids
    )
    sound = answers["sound"]
    site.record.add("sound", asked=len(sound), whole=sum(sound))
    statuses = [status for _, _, status in answers["deadly"]]
    site.record.add("deadly", asked=len(ids), refused=statuses.count(503))
    if len(crashes) < CRASHES:
        site.record.add("crashes", count=len(crashes))
        return False
    bound_s = crashes[CRASHES - 1] + kit3.CONTACT_S
    late = {request_id for at_s, request_id in reached if at_s > bound_s}
    site.record.add(
        "the deadly one", crashes=len(crashes),
        third=f"{site.record.at(bound_s - kit3.CONTACT_S):.3f}", reached=len(reached),
        later_retries=len(late),
    )  # fmt: skip
    return len(late) > RETRIES_MAX


if __name__ == "__main__":
    kit3.main(run, FOLDER)
