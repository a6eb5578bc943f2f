"""Control calls between daemons: grpclib on an asyncio event loop inside gevent.

The loop runs in one greenlet. Callers in other greenlets submit their coroutine with
``call_soon_threadsafe``, which wakes the loop, and wait on an ``AsyncResult``.
"""

import asyncio
from collections import Counter, OrderedDict
from contextlib import contextmanager
from functools import partial

import asyncio_gevent
import gevent
from gevent.event import AsyncResult
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from .errors import ConnectError, ExchangeError
from .rpc_server import BoundedServer

CALL_TIMEOUT_S = 2.0
CHANNELS_MAX = 64
# Documents have at most 900,000 bytes.
MESSAGE_MAX_BYTES = 4 * 1024 * 1024
# Of all messages that are received at a time. Small ones are not counted.
MESSAGES_MAX_BYTES = 64 * 1024 * 1024
SMALL_MESSAGE_MAX_BYTES = 64 * 1024


class RpcLoop:
    """The asyncio event loop of a process, with the channels to its peers.

    :param source_host: the local IP address to connect from, or None for any.
    """

    def __init__(self, source_host=None):
        self._loop = asyncio_gevent.EventLoop()
        self._source_host = source_host
        self._channels = OrderedDict()
        self._active_calls = Counter()
        self._replies = _MessageBudget()
        self._servers = []
        self._greenlet = None

    def start(self):
        """Run the event loop in its own greenlet."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Close servers and channels and stop the event loop."""
        for server in self._servers:
            server.close()
        for channel in self._channels.values():
            channel.close()
        self._loop.call_soon_threadsafe(self._loop.stop)
        if self._greenlet is not None:
            self._greenlet.join(timeout=1.0)

    def serve(self, address, services):
        """Start a server for `services` on `address`."""
        budget = _MessageBudget()
        bounded = [_BoundedService(service, budget) for service in services]
        server = BoundedServer(bounded, loop=self._loop)
        self._servers.append(server)
        self.run_coroutine(server.listen(address))

    def call(self, address, stub, method, message, timeout_s=CALL_TIMEOUT_S):
        """Call ``stub.method`` at `address` with `message` and return the reply.

        :param timeout_s: seconds until the call fails.
        :raises ConnectError: if no connection was made.
        :raises ExchangeError: if the call failed after that, or timed out.
        """
        channel = self._get_channel(address)
        self._active_calls[channel] += 1
        call = self._exchange(getattr(stub(channel), method), message, timeout_s)
        try:
            return self.run_coroutine(self._await_call(channel, call), timeout_s + 0.5)
        except ConnectionRefusedError as error:
            raise ConnectError(f"no connection to {address}: {error}") from error
        except (
            GRPCError,
            StreamTerminatedError,
            OSError,
            TimeoutError,
            gevent.Timeout,
        ) as error:
            if self._channels.get(address) is channel:
                self._close_channel(address)
            raise ExchangeError(f"{method} at {address} failed: {error!r}") from error

    def run_coroutine(self, coroutine, timeout_s=None):
        """Run `coroutine` on the event loop and return its result.

        :param timeout_s: seconds to wait for the result, or None for no limit.
        :raises gevent.Timeout: if there is no result in time.
        """
        result = AsyncResult()

        def start():
            task = self._loop.create_task(coroutine)
            task.add_done_callback(lambda done: _copy_result(done, result))

        self._loop.call_soon_threadsafe(start)
        return result.get(timeout=timeout_s)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def _get_channel(self, address):
        channel = self._channels.get(address)
        if channel is None:
            self._evict_idle_channel()
            channel = _SourceChannel(address.host, address.port, loop=self._loop)
            channel.source_host = self._source_host
            self._channels[address] = channel
        self._channels.move_to_end(address)
        return channel

    def _evict_idle_channel(self):
        """Close the least recently used idle channel if `CHANNELS_MAX` are open."""
        if len(self._channels) < CHANNELS_MAX:
            return
        for address, channel in self._channels.items():
            if not self._active_calls[channel]:
                self._close_channel(address)
                return

    def _close_channel(self, address):
        channel = self._channels.pop(address, None)
        if channel is not None:
            self._loop.call_soon_threadsafe(channel.close)

    async def _exchange(self, method, message, timeout_s):
        async with method.open(timeout=timeout_s) as stream:
            await stream.send_message(message, end=True)
            with self._replies.bound(stream):
                reply = await stream.recv_message()
        assert reply is not None
        return reply

    async def _await_call(self, channel, call):
        """Return the result of `call`; close a dropped channel after its last call.

        A call that waited for the connection may open one after the channel was closed.
        The garbage collector must not be left to close it: it does so in whichever
        greenlet it runs, also while the selector updates its watchers, and a watcher of
        a closed descriptor makes libev abort the process.
        """
        try:
            return await call
        finally:
            self._active_calls[channel] -= 1
            if not self._active_calls[channel]:
                del self._active_calls[channel]
                if channel not in self._channels.values():
                    channel.close()


class _MessageBudget:
    """Messages that are being received, at most `MESSAGES_MAX_BYTES` at a time.

    grpclib has no limit of its own.
    """

    def __init__(self):
        self._held_bytes = 0

    @contextmanager
    def bound(self, stream):
        """While in this context, `stream` receives messages within the budget."""
        raw = stream._stream
        raw.recv_data = partial(self._receive, raw.recv_data)
        try:
            yield
        finally:
            # Leaves no cycle to the garbage collector.
            del raw.recv_data

    async def _receive(self, receive, size_bytes):
        """Return what `receive` returns for `size_bytes`, which are held meanwhile.

        :raises GRPCError: if that is above a limit; nothing is received.
        """
        counted_bytes = size_bytes if size_bytes > SMALL_MESSAGE_MAX_BYTES else 0
        held_bytes = self._held_bytes + counted_bytes
        if size_bytes > MESSAGE_MAX_BYTES or (
            counted_bytes and held_bytes > MESSAGES_MAX_BYTES
        ):
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"message of {size_bytes} bytes, {held_bytes} bytes at a time, is "
                f"above the limit of {MESSAGE_MAX_BYTES} or {MESSAGES_MAX_BYTES} bytes",
            )
        self._held_bytes += counted_bytes
        try:
            return await receive(size_bytes)
        finally:
            self._held_bytes -= counted_bytes


class _BoundedService:
    """A service whose streams receive messages within a `_MessageBudget`."""

    def __init__(self, service, budget):
        self._service = service
        self._budget = budget

    def __mapping__(self):
        return {
            path: handler._replace(func=partial(self._handle, handler.func))
            for path, handler in self._service.__mapping__().items()
        }

    async def _handle(self, function, stream):
        connection = stream._stream._transport.get_protocol()
        with self._budget.bound(stream), connection.call():
            await function(stream)


class _SourceChannel(Channel):
    """A channel that connects from the local address `source_host`."""

    source_host = None

    async def _create_connection(self):
        local = (self.source_host, 0) if self.source_host else None
        _, protocol = await self._loop.create_connection(
            self._protocol_factory, self._host, self._port, local_addr=local
        )
        return protocol


def _copy_result(task, result):
    if task.cancelled():
        result.set_exception(TimeoutError("the call was cancelled"))
    elif task.exception() is not None:
        result.set_exception(task.exception())
    else:
        result.set(task.result())
