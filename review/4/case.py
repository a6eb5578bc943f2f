"""One corrupted answer of the origin keeps all engines without weights for good."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

RECOVERY_S = 12.0
KEY = "key-0001"


async def play(folder, trouble):
    site = s.Site(folder, {"z-a": "r-a"})
    await site.store.start()
    try:
        return await _play(site, site.store, trouble)
    finally:
        site.close()


async def _play(site, store, trouble):
    spoils = {"left": 0}

    def spoil(path, query, content):
        """Change one byte of the next answer with a manifest."""
        if "manifest" not in path or not spoils["left"]:
            return content
        spoils["left"] -= 1
        at = content.index(b'"digests"') + 100
        changed = b"1" if content[at : at + 1] != b"1" else b"0"
        return content[:at] + changed + content[at + 1 :]

    origin = s.Origin(site.host(150), site.ports["app"], site.record, spoil)
    await origin.start()
    engines = [
        s.Engine(
            f"e-{n}", site.host(10 + n), site.ports["app"], "z-a", store, site.record
        )
        for n in range(2)
    ]
    for engine in engines:
        await engine.start()
        engine.register()
    route = s.plain_route(
        "llm", kind="streaming", timeout_ms=6000, max_attempts=2, resumable=True,
        sticky=True, gap_target_ms=400,
    )  # fmt: skip
    services = [s.engine_service(), s.origin_service(origin.address, "z-a")]
    state = s.desired_state(3, [route], services, [s.tenant("alpha", KEY)])
    store.put("config", "main", state)
    store.put("versions", s.MODEL, {"model": s.MODEL, "version": 1})
    entry = site.add_node("entry", 1, "z-a")
    stagers = [
        site.add_node("stager", 10 + n, "z-a", app=engine.address)
        for n, engine in enumerate(engines)
    ]
    for node in site.nodes:
        node.start()
    await entry.wait_ready()
    await asyncio.sleep(3.0)
    headers = {**s.STREAM_HEADERS, "Authorization": f"Bearer {KEY}"}

    async def count_served(name, count, pause_s):
        served = 0
        for i in range(count):
            answer = await s.send_request(
                site.record, entry.callers, f"{name}-{i}", headers, 6.0, "/p/x"
            )
            served += answer.status == 200 and answer.complete
            await asyncio.sleep(pause_s)
        return served

    before = await count_served("before", 12, 0.1)
    if before < 10:
        raise s.CannotRunError(f"only {before} of 12 requests are served in calm")
    # The final fault: all machines lose power, those of the runners included.
    for node in (entry, *stagers):
        node.signal(signal.SIGKILL)
        node.kill()
    for engine in engines:
        engine.lose_power()
    spoils["left"] = int(trouble)
    await asyncio.sleep(1.0)
    for engine in engines:
        await engine.come_back()
    for node in (entry, *stagers):
        node.start()
    back_s = s.now_s()
    await entry.wait_ready()
    await asyncio.sleep(max(0.0, back_s + RECOVERY_S - s.now_s()))
    after = await count_served("after", 40, 0.5)
    site.record(f"served: {before} of 12 before, {after} of 40 after")
    if trouble and spoils["left"]:
        raise s.CannotRunError("no manifest was asked for")
    if after >= 10:
        return ""
    held = [engine.version for engine in engines]
    return (
        f"{before} of 12 requests were served before the final fault, {after} of 40 that "
        f"were sent {RECOVERY_S:.0f} s after the machines were back and later; the "
        f"engines hold versions {held} (0 is none)"
    )


s.main(Path(__file__).parent, play)
