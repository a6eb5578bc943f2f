"""Control calls: typed errors and a limit on open channels."""

import asyncio
import socket
from contextlib import ExitStack

import gevent
import pytest
from gevent.event import Event
from h2.connection import H2Connection

from briarbeam.kernel import rpc, rpc_server
from briarbeam.kernel.errors import ConnectError, ExchangeError
from briarbeam.kernel.network import Address
from briarbeam.kernel.rpc import RpcLoop
from briarbeam.wire import control_grpc, control_pb2


class _EchoService(control_grpc.ControlBase):
    """Echoes the message of an exchange; all other calls fail."""

    async def Exchange(self, stream):
        await stream.send_message(await stream.recv_message())

    async def Fetch(self, stream):
        raise RuntimeError("fails on purpose")

    async def Offer(self, stream):
        raise RuntimeError("fails on purpose")

    async def Held(self, stream):
        raise RuntimeError("fails on purpose")


@pytest.fixture
def loop():
    loop = RpcLoop()
    loop.start()
    yield loop
    loop.stop()


def _free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(*probe.getsockname())


def _exchange(loop, address, **options):
    message = control_pb2.DigestExchange(sender="a")
    return loop.call(address, control_grpc.ControlStub, "Exchange", message, **options)


def test_call_is_answered_and_errors_are_typed(loop):
    address = _free_address()
    with pytest.raises(ConnectError):
        _exchange(loop, address)
    loop.serve(address, [_EchoService()])
    assert _exchange(loop, address).sender == "a"
    request = control_pb2.HoldingsRequest(sender="a")
    with pytest.raises(ExchangeError):
        loop.call(address, control_grpc.ControlStub, "Held", request)
    assert _exchange(loop, address).sender == "a"


def test_call_to_a_silent_peer_times_out(loop):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = Address(*listener.getsockname())
        with pytest.raises(ExchangeError):
            _exchange(loop, address, timeout_s=0.1)


def test_open_channels_are_bounded(loop, monkeypatch):
    monkeypatch.setattr(rpc, "CHANNELS_MAX", 3)
    addresses = [_free_address() for _ in range(6)]
    for address in addresses:
        loop.serve(address, [_EchoService()])
    for address in addresses * 2:
        assert _exchange(loop, address).sender == "a"
        assert len(loop._channels) <= 3


def test_connection_of_a_call_that_outlives_its_channel_is_closed(loop, monkeypatch):
    """It was left to the garbage collector, which ended processes in libev."""
    original = loop._loop.create_connection

    async def connect_slowly(*args, **kwargs):
        await asyncio.sleep(0.2)
        return await original(*args, **kwargs)

    monkeypatch.setattr(loop._loop, "create_connection", connect_slowly)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = Address(*listener.getsockname())
        # Ends while it connects, so that the later one connects on a closed channel.
        early = gevent.spawn(_exchange_or_error, loop, address, 0.1)
        late = gevent.spawn(_exchange_or_error, loop, address, 0.8)
        gevent.sleep(0.05)
        # The garbage collector can't close a channel that is referenced.
        (channel,) = loop._channels.values()
        connection, _ = listener.accept()
        connection.settimeout(3.0)
        with connection:
            while connection.recv(4096):
                pass
        assert isinstance(early.get(), ExchangeError)
        assert isinstance(late.get(), ExchangeError)
        assert not loop._active_calls[channel]


def test_connection_of_a_call_is_closed_after_idle_ones_only(loop, monkeypatch):
    """No call within the limits may fail for connections that carry none."""
    monkeypatch.setattr(rpc_server, "OTHER_CONNECTIONS_MAX", 2)
    service, may_answer, begun = _EchoService(), asyncio.Event(), Event()

    async def answer_later(stream):
        message = await stream.recv_message()
        begun.set()
        await may_answer.wait()
        await stream.send_message(message)

    monkeypatch.setattr(service, "Exchange", answer_later)
    address = _free_address()
    loop.serve(address, [service])
    call = gevent.spawn(_exchange, loop, address)
    assert begun.wait(5.0)
    with ExitStack() as stack:
        idle = [_connect(stack, address) for _ in range(3)]
        _assert_closed(*idle[:2])
        loop._loop.call_soon_threadsafe(may_answer.set)
        assert call.get().sender == "a"
        # The connection of the call is idle now, and is made again after its end.
        idle += [_connect(stack, address) for _ in range(2)]
        _assert_closed(idle[2])
        assert _exchange(loop, address).sender == "a"


def test_calls_that_wait_for_their_peers_do_not_refuse_others(loop, monkeypatch):
    """A peer that begins calls and does not send them could hold all connections."""
    monkeypatch.setattr(rpc_server, "OTHER_CONNECTIONS_MAX", 2)
    address = _free_address()
    loop.serve(address, [_EchoService()])
    call = {":method": "POST", ":scheme": "http", ":authority": "h"}
    call |= {":path": "/briarbeam.Control/Exchange", "te": "trailers"}
    call["content-type"] = "application/grpc"
    with ExitStack() as stack:
        for _ in range(2):
            sock = _connect(stack, address)
            connection = H2Connection()
            connection.initiate_connection()
            connection.send_headers(1, call.items())
            sock.sendall(connection.data_to_send())
            gevent.sleep(0.05)
        assert _exchange(loop, address).sender == "a"


@pytest.mark.parametrize("size_bytes", [900_000, 5_000_000])
def test_reply_is_held_up_to_a_limit(loop, monkeypatch, size_bytes):
    """The 4 GB that a reply may announce were collected."""
    # Room for one reply at a time.
    monkeypatch.setattr(rpc, "MESSAGES_MAX_BYTES", 1_000_000)
    service = _EchoService()

    async def fetch(stream):
        await stream.recv_message()
        await stream.send_message(control_pb2.Document(body=b"b" * size_bytes))

    monkeypatch.setattr(service, "Fetch", fetch)
    address = _free_address()
    loop.serve(address, [service])
    request = control_pb2.DocumentRequest()
    for _ in range(3):
        if size_bytes > rpc.MESSAGE_MAX_BYTES:
            with pytest.raises(ExchangeError, match="RESOURCE_EXHAUSTED"):
                loop.call(address, control_grpc.ControlStub, "Fetch", request)
        else:
            reply = loop.call(address, control_grpc.ControlStub, "Fetch", request)
            assert len(reply.body) == size_bytes


def _connect(stack, address):
    sock = stack.enter_context(socket.create_connection(tuple(address)))
    sock.settimeout(5.0)
    gevent.sleep(0.05)
    return sock


def _assert_closed(*socks):
    for sock in socks:
        while sock.recv(4096):
            pass


def _exchange_or_error(loop, address, timeout_s):
    try:
        return _exchange(loop, address, timeout_s=timeout_s)
    except ExchangeError as error:
        return error
