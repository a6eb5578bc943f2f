"""A server of control calls with a limit on its connections.

grpclib has no limit of its own. A connection is idle while none of its calls is under
way. Above the limit, the one that has been idle longest is closed, or, if none is idle,
the one that has had calls under way longest: handlers do not wait, so such a call waits
for its peer.
"""

from contextlib import ExitStack, contextmanager

from grpclib.protocol import H2Protocol
from grpclib.server import Server

from .connections import OTHER_CONNECTIONS_MAX, OpenConnections, others_max

BACKLOG = 128


class BoundedServer(Server):
    """A grpclib server whose connections are limited like those of other ports."""

    def __init__(self, handlers, *, loop):
        super().__init__(handlers, loop=loop)
        self._connections = OpenConnections(
            "control", others_max(OTHER_CONNECTIONS_MAX)
        )
        # In the order in which their oldest call began.
        self._in_call = {}

    async def listen(self, address):
        """Start to accept connections at `address`."""
        # The event loop accepts as many connections in a turn as the backlog that it
        # is given, before it counts the first of them.
        await self.start(address.host, address.port, backlog=1)
        for sock in self._server.sockets:
            with sock.dup() as listener:
                listener.listen(BACKLOG)

    def _protocol_factory(self):
        made = super()._protocol_factory()
        return _Connection(
            made.handler, made.config, made.h2_config, self._connections, self._in_call
        )


class _Connection(H2Protocol):
    """One connection of a `BoundedServer`.

    :param connections: the `OpenConnections` of the server.
    :param in_call: the connections of the server that have calls under way.
    """

    def __init__(self, handler, config, h2_config, connections, in_call):
        super().__init__(handler, config, h2_config)
        self._connections = connections
        self._in_call = in_call
        self._transport = None
        self._idle = ExitStack()
        self._call_count = 0

    def connection_made(self, transport):
        super().connection_made(transport)
        self._transport = transport
        connections = self._connections
        full = len(connections) >= connections.limit
        if full and not connections.waiting and self._in_call:
            next(iter(self._in_call))._begin_idle()
        if connections.admit(self):
            self._begin_idle()
        else:
            self.close()

    def connection_lost(self, exc):
        self._forget()
        super().connection_lost(exc)

    def close(self):
        """Close the connection, also if its peer does not read."""
        self._forget()
        self._transport.abort()

    @contextmanager
    def call(self):
        """While in this context, a call is under way."""
        self._call_count += 1
        if self._call_count == 1 and not self._transport.is_closing():
            self._idle.close()
            self._in_call[self] = True
        try:
            yield
        finally:
            self._call_count -= 1
            if not self._call_count:
                self._begin_idle()

    def _begin_idle(self):
        self._in_call.pop(self, None)
        if not self._transport.is_closing():
            self._idle.enter_context(self._connections.wait(self))

    def _forget(self):
        self._idle.close()
        self._in_call.pop(self, None)
        self._connections.remove(self)
