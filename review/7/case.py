"""A server fails requests with 503 after it has run them, and doesn't say otherwise."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from sitekit import (  # noqa: E402
    BROKEN,
    HELD,
    LIMITS,
    PlainServer,
    Process,
    Store,
    call,
    main,
    plain_service,
    reserve_prefix,
    route,
)

ZONE = "hba-a"
# One of the servers fails this part of its requests for so long.
SERVERS = 7
FAILED_SHARE = 0.4
GREY_S = 6.0
INTERVAL_S = 0.04
NOT_RUN_STATUSES = (408, 421, 429, 503)


class GreyServer(PlainServer):
    """A server that fails a part of the requests that it has run.

    The answer has no `X-Not-Run`.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.is_grey = False
        self.applied = []

    async def handle(self, request):
        status, headers, body = await super().handle(request)
        if status == 200:
            self.applied.append(request.body.decode())
        number = int(request.request_id or "0", 16)
        if self.is_grey and status == 200 and number % 10 < 10 * FAILED_SHARE:
            return 503, headers, b"out of service"
        return status, headers, body


async def run(record, folder, has_trouble):
    prefix = reserve_prefix()
    store = Store(f"{prefix}.0.1")
    await store.start()
    servers = [
        GreyServer(f"{prefix}.2.{n}", f"i-{n}", "xano55b", ZONE, record)
        for n in range(1, SERVERS + 1)
    ]
    for server in servers:
        await server.start()
        await store.put("servers", server.name, server.entry())
    state = {
        "version": 7,
        "routes": [route("r-1", "/filo73/", "non_idempotent", "xano55b")],
        "services": [plain_service("xano55b")],
        "limits": LIMITS,
    }
    await store.put("config", "main", state)
    entry = Process(
        "entry", "front-hba-a-1", f"{prefix}.1.1", ZONE, store.address, folder,
        {ZONE: "hobart"},
    )  # fmt: skip
    entry.start()
    try:
        await entry.wait_ready()
        servers[0].is_grey = has_trouble
        return await send_all(record, entry, servers)
    finally:
        entry.end()
        for server in (*servers, store):
            server.stop()


async def send_all(record, entry, servers):
    end_s = time.monotonic() + GREY_S
    tasks = []
    while time.monotonic() < end_s:
        tasks.append(asyncio.create_task(instruct(record, entry, servers, len(tasks))))
        await asyncio.sleep(INTERVAL_S)
    results = await asyncio.gather(*tasks)
    broken = sum(broken for broken, _ in results)
    applied_twice = sum(count > 1 for _, count in results)
    record.add(
        f"{broken} answers promise that a request that ran did not run; "
        f"{applied_twice} of {len(tasks)} instructions were applied more than once"
    )
    return BROKEN if broken else HELD


async def instruct(record, entry, servers, number):
    """Send one instruction as a requester does, who relies on the promise.

    :returns: the number of false promises, and how often it was applied.
    """
    instruction = f"instruction {number}"
    broken = 0
    for attempt in (0, 1):
        answer, runs = await send(
            record, entry, servers, 1000 * attempt + number, instruction
        )
        if answer.status not in NOT_RUN_STATUSES:
            break
        broken += bool(runs)
    applied = [s.name for s in servers for body in s.applied if body == instruction]
    if len(applied) > 1:
        record.add(f"{instruction} was applied at {applied}")
    return broken, len(applied)


async def send(record, entry, servers, number, instruction):
    """Send one attempt; return its answer, and the servers that ran it."""
    request_id = f"{number:016x}"
    record.add(f"{request_id} is sent to {entry.name}: {instruction}")
    answer = await call(
        entry.callers, "POST", "/filo73/de11", "jepu9.example", request_id,
        [("X-Deadline-Ms", "2500")], instruction.encode(),
    )  # fmt: skip
    runs = [s.name for s in servers for r in s.runs if r.request_id == request_id]
    record.add(
        f"{request_id} is answered {answer.status}, "
        f"seal {answer.headers.get('x-response-seal')}, ran at {runs}"
    )
    return answer, runs


if __name__ == "__main__":
    main(run)
