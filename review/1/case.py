"""A killed entry leaves streams that look complete and lack their last events."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

KEY = "key-0001"
EVENTS = 21
STREAMS = 24
ROUNDS = 7
# On a slow machine, no round begins later than this.
LAST_ROUND_S = 85.0
# `garble` with `unframed`: this share of the answers of half of the runners.
UNFRAMED_SHARE = 0.05


async def play(folder, trouble):
    site = s.Site(folder, {"z-a": "r-a"})
    await site.store.start()
    try:
        return await _play(site, site.store, trouble)
    finally:
        site.close()


async def _play(site, store, trouble):
    engines = [
        s.Engine(
            f"e-{n}", site.host(10 + n), site.ports["app"], "z-a", store, site.record
        )
        for n in range(2)
    ]
    for engine in engines:
        engine.events, engine.gap_s = EVENTS, 0.08
        await engine.start()
        engine.register()
    # An answer, a stream too, may have neither a length nor chunks.
    engines[0].unframed_share = UNFRAMED_SHARE
    route = s.plain_route(
        "llm", kind="streaming", timeout_ms=6000, max_attempts=2, resumable=True,
        sticky=True, gap_target_ms=400,
    )  # fmt: skip
    state = s.desired_state(3, [route], [s.engine_service()], [s.tenant("alpha", KEY)])
    store.put("config", "main", state)
    store.put("versions", s.MODEL, {"model": s.MODEL, "version": 1})
    entry = site.add_node("entry", 1, "z-a")
    for number, engine in enumerate(engines):
        site.add_node("stager", 10 + number, "z-a", app=engine.address)
    for node in site.nodes:
        node.start()
    await entry.wait_ready()
    await asyncio.sleep(3.0)
    headers = {**s.STREAM_HEADERS, "Authorization": f"Bearer {KEY}"}

    async def send(name):
        return name, await s.send_request(
            site.record, entry.callers, name, headers, 6.0, "/p/x"
        )

    short, began, marked = [], 0, 0
    for number in range(ROUNDS):
        tasks = []
        for i in range(STREAMS):
            tasks.append(asyncio.ensure_future(send(f"r{number}-{i}")))
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        if trouble:
            entry.signal(signal.SIGKILL)
        results = await asyncio.gather(*tasks)
        for name, answer in results:
            if answer.status != 200:
                continue
            began += 1
            marked += "transfer-encoding" in answer.headers
            count = answer.body.count(b"id: ")
            site.record(f"{name}: {count} of {EVENTS}, complete={answer.complete}")
            if answer.complete and count < EVENTS:
                short.append(count)
            elif count > EVENTS:
                raise s.CannotRunError("the stand-in repeated events")
        if s.now_s() > LAST_ROUND_S:
            break
        if trouble and number < ROUNDS - 1:
            entry.kill()
            await asyncio.sleep(0.5)
            entry.start()
            await entry.wait_ready()
            await asyncio.sleep(3.0)
    if began < (number + 1) * STREAMS // 2:
        raise s.CannotRunError(f"only {began} streams began")
    if not short:
        return ""
    return (
        f"{len(short)} of {began - marked} streams without chunks ended in order, so as "
        f"complete, after {min(short)} to {max(short)} of {EVENTS} events"
    )


s.main(Path(__file__).parent, play)
