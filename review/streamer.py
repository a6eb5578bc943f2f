"""A model runner, some of whose streams have neither a length nor chunks.

A process of its own, so that the kernel ends its connections as it does when a process is
killed. It follows PROTOCOL.md and needs the standard library only.
"""

import asyncio
import json
import random
import sys

from sitekit import encode_answer, read_body, read_head

EVENTS = 21
EVENT_GAP_S = 0.15


def event(request_id, number):
    """Return the event of a stream with `number`, from 1 to `EVENTS`."""
    last = " last" if number == EVENTS else ""
    return f"id: {number}\ndata: {request_id} {number}{last}\n\n".encode()


class Streamer:
    """Answers requests that expect its id, and `GET /-/report`.

    :param state: what it states about its weights and its start.
    :param unframed_share: the share of its streams that end with their channel; the
        others come in chunks.
    """

    def __init__(self, name, state, unframed_share):
        self._name = name
        self._state = state
        self._unframed_share = unframed_share
        self._running = 0

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        while (request := await read_head(reader)) is not None:
            await read_body(reader, request)
            if request.path == "/-/report":
                writer.write(encode_answer(200, body=self._report()))
            elif request.path.startswith("/-/stage-get/"):
                writer.write(encode_answer(200, body=b'{"held":[]}'))
            elif request.headers.get("x-expect-instance") != self._name:
                writer.write(encode_answer(421, [("X-Instance-Id", self._name)]))
            else:
                await self._stream(request, writer)
                break
            await writer.drain()
        writer.close()

    def _report(self):
        report = {
            "stage": "both", "busy": False, "seq": 0, "queued": 0,
            "running": self._running, "kv_used": 0, "kv_total": 90000, "handles": 0,
            **self._state,
        }  # fmt: skip
        return json.dumps(report).encode()

    async def _stream(self, request, writer):
        headers = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request.request_id}",
            f"X-Response-Seal: seal.{self._name}.{request.request_id}",
            "X-Weight-Versions: 1",
            "Connection: close",
        ]
        is_unframed = random.random() < self._unframed_share
        if not is_unframed:
            headers.append("Transfer-Encoding: chunked")
        how = "unframed" if is_unframed else "in chunks"
        print(f"{request.request_id} begins to run, {how}", flush=True)
        self._running += 1
        try:
            writer.write("\r\n".join(headers).encode() + b"\r\n\r\n")
            for number in range(1, EVENTS + 1):
                content = event(request.request_id, number)
                if not is_unframed:
                    content = b"%x\r\n%b\r\n" % (len(content), content)
                writer.write(content)
                await writer.drain()
                await asyncio.sleep(EVENT_GAP_S)
            if not is_unframed:
                writer.write(b"0\r\n\r\n")
        finally:
            self._running -= 1
        print(f"{request.request_id} has run to its end", flush=True)


async def main(host, port, name, state, unframed_share):
    streamer = Streamer(name, json.loads(state), float(unframed_share))
    server = await asyncio.start_server(streamer.serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
