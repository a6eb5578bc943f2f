"""A runner that drains is gone, and its broken streams reach callers as complete."""

import asyncio
import json
import subprocess
import sys
import time
from pathlib import Path

REVIEW = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(REVIEW))

from sitekit import (  # noqa: E402
    BROKEN,
    HELD,
    LIMITS,
    Process,
    Store,
    main,
    model_service,
    read_head,
    reserve_prefix,
    route,
    split_address,
)
from streamer import EVENTS, event  # noqa: E402

ZONE, REGIONS = "hba-a", {"hba-a": "hobart"}
SERVICE, MODEL = "dele69a", "daka510000"
PORT = 8740
# How long after its notice the runner is gone.
GONE_AFTER_S = 2.0
# It lives for longer without the trouble.
LIVES_FOR_S = 4.5
RUNNERS = 7
# Three of the runners send so much of their streams with neither a length nor chunks.
UNFRAMED_SHARE = 0.05
ROUNDS = 8
SENT_BEFORE_S = 0.5
REQUESTS = 98
SHORT = "short, and ended as if complete"
STATE = {
    "models": [{"name": MODEL, "version": 1, "adapters": []}],
    "layers": {"from": 0, "to": 16, "version": 1},
}


class Runner:
    """A runner's process, and the daemon beside it."""

    def __init__(self, prefix, number, store, folder):
        # Each one that replaces another does as that one did.
        self.is_unframed = number in (1, 2, 3) or number > RUNNERS
        self.name, self.host = f"i-{number:02}", f"{prefix}.3.{number}"
        self._state = STATE | {"born": int(time.time() * 1000)}
        self.address = f"{self.host}:{PORT}"
        self._log_path = Path(folder) / f"runner-{number}.log"
        self.side = Process(
            "stager", f"side-hba-a-{number}", self.host, ZONE, store.address, folder,
            REGIONS, self.address,
        )  # fmt: skip
        self.process = None

    def start(self):
        command = [
            "python3", str(REVIEW / "streamer.py"), self.host, str(PORT), self.name,
            json.dumps(self._state), str(UNFRAMED_SHARE if self.is_unframed else 0.0),
        ]  # fmt: skip
        with self._log_path.open("w") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log)
        self.side.start()

    def entry(self, state="ready"):
        return {
            "service": SERVICE, "address": self.address, "zone": ZONE, "version": "v1",
            "slots": 16, "state": state, "cold_left_ms": 0, "stage": "both", "seq": 1,
            **self._state,
        }  # fmt: skip

    def kill(self):
        self.process.kill()
        self.process.wait()

    def log(self):
        return self._log_path.read_text()


async def run(record, folder, has_trouble):
    prefix = reserve_prefix()
    store = Store(f"{prefix}.0.1")
    await store.start()
    runners = []
    entry = Process(
        "entry", "front-hba-a-1", f"{prefix}.1.1", ZONE, store.address, folder, REGIONS
    )
    try:
        for _ in range(RUNNERS):
            await add_runner(prefix, store, folder, runners)
        await store.put("versions", MODEL, {"model": MODEL, "version": 1})
        state = {
            "version": 7,
            "routes": [
                route(
                    "r-1", "/lepu270/", "streaming", SERVICE,
                    timeout_ms=6000, gap_target_ms=400,
                )
            ],
            "services": [model_service(SERVICE, MODEL)],
            "limits": LIMITS,
        }  # fmt: skip
        await store.put("config", "main", state)
        entry.start()
        await entry.wait_ready()
        await asyncio.sleep(4.0)
        results = []
        for _ in range(ROUNDS):
            results += await drain(record, store, runners, entry, has_trouble)
            await add_runner(prefix, store, folder, runners)
            await asyncio.sleep(2.0)
        record.add(
            f"streams: { ({r: results.count(r) for r in sorted(set(results))}) }"
        )
        return BROKEN if SHORT in results else HELD
    finally:
        for process in (entry, *(runner.side for runner in runners)):
            process.end()
        for runner in runners:
            if runner.process is not None:
                runner.kill()
        store.stop()


async def add_runner(prefix, store, folder, runners):
    """Start a runner, which registers itself."""
    runner = Runner(prefix, len(runners) + 1, store, folder)
    runners.append(runner)
    runner.start()
    await asyncio.sleep(0.3)
    await store.put("servers", runner.name, runner.entry())


async def drain(record, store, runners, entry, has_trouble):
    """Have a runner drain, and be gone later, while streams run; return their results."""
    leaving = next(r for r in runners if r.is_unframed and r.process.poll() is None)
    first = 1000 * len(runners)
    calls = []
    for number in range(first, first + REQUESTS):
        calls.append(asyncio.create_task(stream(record, entry, number)))
        await asyncio.sleep(SENT_BEFORE_S / REQUESTS)
    await store.put("servers", leaving.name, leaving.entry("draining"))
    record.add(f"the store accepts that {leaving.name} is draining")
    await asyncio.sleep(GONE_AFTER_S if has_trouble else LIVES_FOR_S)
    leaving.kill()
    leaving.side.end()
    record.add(f"{leaving.name} is gone; it wrote:\n{leaving.log()}")
    await store.remove("servers", leaving.name)
    return await asyncio.gather(*calls)


async def stream(record, entry, number):
    """Ask for a stream; return what its requester has to make of it."""
    request_id = f"{number:016x}"
    record.add(f"{request_id} is sent to {entry.name}")
    reader, writer = await asyncio.open_connection(*split_address(entry.callers))
    lines = [
        "POST /lepu270/2f HTTP/1.1", "Host: jepu9.example",
        f"X-Request-Id: {request_id}", f"X-Model: {MODEL}", "X-Token-Usage: 1460,80",
        "X-Prefix-Hash: 5c1e07a2:800,e4402b7d:660", "X-Deadline-Ms: 6000",
        "Content-Length: 5",
    ]  # fmt: skip
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\nhello")
    head, body, is_whole_end = await read_head(reader), b"", False
    try:
        if head is not None and head.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            is_whole_end = True
        elif head is not None and "content-length" in head.headers:
            length = int(head.headers["content-length"])
            body = await reader.readexactly(length)
            is_whole_end = True
        elif head is not None:
            # The end of the channel is that of the answer, unless it is reset.
            while data := await reader.read(65536):
                body += data
            is_whole_end = True
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        is_whole_end = False
    finally:
        writer.transport.abort()
    status = None if head is None else int(head.start[1])
    expected = b"".join(event(request_id, n) for n in range(1, EVENTS + 1))
    if status != 200:
        result = f"answered {status}"
    elif not is_whole_end:
        result = "broken off"
    elif body == expected:
        result = "whole"
    else:
        result = SHORT
    record.add(
        f"{request_id}: {status}, seal "
        f"{head.headers.get('x-response-seal') if head else None}, "
        f"{body.count(b'data:')} of {EVENTS} events, orderly end: {is_whole_end}: {result}"
    )
    return result


if __name__ == "__main__":
    main(run)
