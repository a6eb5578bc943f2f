"""A stager that is frozen before it orders a load has spoilt pieces loaded."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

FREEZE_S = 4.0
# `x` of the pieces that lie at a model runner turn bad.
ROTTEN_SHARE = 0.06
KEY = "key-0001"


async def play(folder, trouble):
    site = s.Site(folder, {"z-a": "r-a"})
    await site.store.start()
    try:
        return await _play(site, site.store, trouble)
    finally:
        site.close()


async def _play(site, store, trouble):
    origin = s.Origin(
        site.host(150), site.ports["app"], site.record, lambda path, query, data: data
    )
    await origin.start()
    engine = s.Engine(
        "e-0", site.host(10), site.ports["app"], "z-a", store, site.record
    )
    await engine.start()
    engine.register()
    route = s.plain_route(
        "llm", kind="streaming", timeout_ms=6000, max_attempts=2, resumable=True,
        sticky=True, gap_target_ms=400,
    )  # fmt: skip
    services = [s.engine_service(), s.origin_service(origin.address, "z-a")]
    state = s.desired_state(3, [route], services, [s.tenant("alpha", KEY)])
    store.put("config", "main", state)
    entry = site.add_node("entry", 1, "z-a")
    stager = site.add_node("stager", 10, "z-a", app=engine.address)
    entry.start()
    stager.start()
    await entry.wait_ready()
    await asyncio.sleep(3.0)
    staging = asyncio.Event()

    def on_stage_put(count):
        if count == s.CHUNKS * 2 // 3:
            if trouble:
                stager.signal(signal.SIGSTOP)
            staging.set()

    engine.on_stage_put = on_stage_put
    store.put("versions", s.MODEL, {"model": s.MODEL, "version": 2})
    async with asyncio.timeout(30):
        await staging.wait()
    if trouble:
        await asyncio.sleep(0.3)
        count = max(1, int(s.CHUNKS * ROTTEN_SHARE))
        engine.turn_bad(random.sample(sorted(engine.staged), count))
        await asyncio.sleep(FREEZE_S - 0.3)
        stager.signal(signal.SIGCONT)
    headers = {**s.STREAM_HEADERS, "Authorization": f"Bearer {KEY}"}
    until_s = s.now_s() + 20
    served = 0
    while s.now_s() < until_s and served < 20:
        answer = await s.send_request(
            site.record, entry.callers, f"r-{s.now_s():.2f}", headers, 6.0, "/p/x"
        )
        served += (
            answer.status == 200 and answer.headers.get("x-weight-versions") == "2"
        )
        await asyncio.sleep(0.2)
    if not served:
        raise s.CannotRunError("the new version was not loaded")
    bad = [(name, pieces) for _, name, version, pieces in engine.tokens if pieces]
    if not bad:
        return ""
    return (
        f"{len(bad)} streams were made with layers of which the pieces {bad[0][1]} had "
        "been spoilt for more than 3 s when the runner took them"
    )


s.main(Path(__file__).parent, play)
