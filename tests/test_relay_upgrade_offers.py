"""Callers that offer an upgrade of their connection, which is ignored."""

import re

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarbeam.catalog import CallerLimits
from briarbeam.relay.callers import RequestReader
from briarbeam.relay.errors import (
    BodyTooLargeError,
    ChunkFramingTooLargeError,
    HeaderTooLargeError,
    MalformedRequestError,
    TrailersTooLargeError,
)

from .relay_fakes import (
    NON_IDEMPOTENT,
    Entry,
    FakeInstance,
    desired_state,
    ok,
    read_all,
    reply,
)

H2C = (
    b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\n"
    b"http2-settings: AAMAAABkAAQ\r\n"
)
OFFERS = [
    H2C,
    b"Connection: upgrade\r\nUpgrade: websocket\r\nsec-websocket-key: dGhl\r\n",
    b"upgrade: TLS/1.0\r\nconnection: keep-alive\r\nconnection: Upgrade\r\n",
    b"upgrade: h2c\r\n",
    b"connection: upgrade\r\n",
    b"",
]


class Peer:
    """A socket whose peer sends `blocks`, one for each read."""

    def __init__(self, blocks):
        self._blocks = iter(blocks)

    def settimeout(self, timeout_s):
        pass

    def recv(self, size_bytes):
        return next(self._blocks, b"")


def message(method, number, offer, body=None, sizes=None):
    """Return a request with a body of a stated length, or in chunks of `sizes`."""
    head = b"%b /a/%d HTTP/1.1\r\nhost: h.example\r\n" % (method, number)
    head += b"x-request-id: id%d\r\nauthorization: Bearer k1\r\n" % number + offer
    if body is None:
        return head + b"\r\n"
    if sizes is None:
        return head + b"content-length: %d\r\n\r\n%b" % (len(body), body)
    data, rest = head + b"transfer-encoding: chunked\r\n\r\n", body
    for size in sizes:
        part, rest = rest[:size], rest[size:]
        data += b"%x\r\n%b\r\n" % (len(part), part) if part else b""
    data += b"%x\r\n%b\r\n" % (len(rest), rest) if rest else b""
    return data + b"0\r\nx-trailer: 1\r\n\r\n"


@st.composite
def series(draw):
    """Return requests as tuples of method, body and bytes."""
    requests = []
    for number in range(draw(st.integers(1, 6))):
        method = draw(st.sampled_from([b"GET", b"POST", b"HEAD", b"PUT"]))
        body = draw(st.none() | st.binary(max_size=40) | st.just(b"b" * 9000))
        # Bodies that look like another request.
        body = draw(st.sampled_from([body, body, message(b"GET", 99, H2C)]))
        sizes = draw(st.none() | st.lists(st.integers(1, 5000), max_size=3))
        offer = draw(st.sampled_from(OFFERS))
        data = message(method, number, offer, body, sizes)
        requests.append((method, body or b"", data))
    return requests


def cut(data, cuts):
    """Return `data` in the pieces between the offsets `cuts`."""
    bounds = [0, *sorted(offset % len(data) for offset in cuts), len(data)]
    pieces = [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    return [piece for piece in pieces if piece]


@given(series(), st.lists(st.integers(0, 60_000), max_size=8))
def test_requests_behind_an_offer_are_read_as_they_were_sent(requests, cuts):
    """Bodies were lost, and what followed was no request."""
    data = b"".join(data for _, _, data in requests)
    reader = RequestReader(Peer(cut(data, cuts)), CallerLimits)
    for number, (method, body, _) in enumerate(requests):
        request = reader.read(1.0)
        assert (request.method, request.target) == (method, b"/a/%d" % number)
        assert request.body == body
        assert request.keep_alive
    assert reader.read(1.0) is None


class Answers:
    """Reads answers with a stated length from a connection."""

    def __init__(self, sock):
        self._file = sock.makefile("rb")

    def read(self, method):
        """Return the status and the body of the next answer."""
        status = int(self._file.readline().split()[1])
        size_bytes = 0
        while (line := self._file.readline()) not in (b"\r\n", b""):
            name, _, value = line.lower().partition(b":")
            size_bytes = int(value) if name == b"content-length" else size_bytes
        return status, b"" if method == b"HEAD" else self._file.read(size_bytes)


def echo(instance, sock, request):
    """Answer with the path of the request, and the length of its body."""
    head, _, body = request.partition(b"\r\n\r\n")
    size_bytes = int(instance.header(b"content-length") or 0)
    while len(body) < size_bytes:
        body += sock.recv(65536)
    path = head.split()[1]
    sock.sendall(ok(path + b" %d" % len(body), b"x-request-id: id%b\r\n" % path[3:]))


@pytest.fixture(scope="module")
def echoing_entry():
    fake = FakeInstance(echo)
    return Entry({"i1": fake}), fake


@settings(max_examples=30, deadline=None)
@given(requests=series(), pipelined=st.booleans())
def test_nth_answer_belongs_to_the_nth_request(echoing_entry, requests, pipelined):
    """A 400 that answered no request was taken for the answer to the next one."""
    entry, fake = echoing_entry
    fake.requests.clear()
    sock = entry.connect()
    answers = Answers(sock)
    if pipelined:
        sock.sendall(b"".join(data for _, _, data in requests))
    with gevent.Timeout(20):
        for number, (method, body, data) in enumerate(requests):
            if not pipelined:
                sock.sendall(data)
            status, answer = answers.read(method)
            assert status == 200
            if method != b"HEAD":
                assert answer == b"/a/%d %d" % (number, len(body))
    sock.close()
    assert [data.split()[1] for data in fake.requests] == [
        b"/a/%d" % number for number in range(len(requests))
    ]


@pytest.mark.parametrize(
    ("blocks", "error"),
    [
        ([b"content-length: 2000000\r\n\r\n"] + [b"b" * 8192] * 300, BodyTooLargeError),
        ([b"x: %b\r\n" % (b"v" * 8000)] * 20, HeaderTooLargeError),
        (
            [b"transfer-encoding: chunked\r\n\r\n", b"1;%b\r\nb\r\n" % (b"e" * 8000)]
            + [b"1;%b\r\nb\r\n" % (b"e" * 8000)] * 200,
            ChunkFramingTooLargeError,
        ),
        (
            [b"transfer-encoding: chunked\r\n\r\n0\r\n"]
            + [b"t: %b\r\n" % (b"v" * 8000)] * 20,
            TrailersTooLargeError,
        ),
        (
            [b"transfer-encoding: chunked\r\n\r\n0\r\nt: "] + [b"v" * 8000] * 20,
            TrailersTooLargeError,
        ),
    ],
)
def test_limits_hold_behind_an_offer(blocks, error):
    head = b"POST /a/ HTTP/1.1\r\nhost: h.example\r\n" + H2C
    limits = CallerLimits(max_body_bytes=1_000_000)
    reader = RequestReader(Peer([head, *blocks]), lambda: limits)
    with pytest.raises(error):
        reader.read(1.0)


def test_request_behind_an_offer_may_not_state_two_ends():
    data = message(b"POST", 1, H2C + b"transfer-encoding: chunked\r\n", b"x")
    with pytest.raises(MalformedRequestError):
        RequestReader(Peer([data]), CallerLimits).read(1.0)


def test_offer_with_a_close_ends_the_connection_after_the_answer():
    fake = FakeInstance(reply(ok()))
    offer = b"upgrade: h2c\r\nconnection: upgrade, close\r\n"
    sock = Entry({"i1": fake}).connect()
    sock.sendall(message(b"POST", 1, offer, b"x") * 2)
    answer = read_all(sock)
    assert answer.count(b"HTTP/1.1 ") == answer.count(b"HTTP/1.1 200") == 1
    assert b"connection: close\r\n" in answer
    assert len(fake.requests) == 1


PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0"
CONNECT = b"CONNECT h.example:80 HTTP/1.1\r\nhost: h.example:80\r\n"


@pytest.mark.parametrize(
    "data",
    [
        PREFACE,
        CONNECT + b"authorization: Bearer k1\r\n\r\n",
        CONNECT + b"authorization: Bearer k1\r\n" + H2C + b"\r\nbytes",
    ],
)
@pytest.mark.parametrize("number", [0, 1])
def test_other_protocols_get_one_error_and_the_end(data, number):
    """CONNECT got an answer of an instance or a 404, and a 400 behind it."""
    fake = FakeInstance(reply(ok()))
    entry = Entry({"i1": fake})
    entry.in_force.state = desired_state(entry.service, path_prefix="")
    sock = entry.connect()
    sock.sendall(message(b"GET", 1, b"") * number + data + message(b"GET", 2, b""))
    statuses = re.findall(rb"HTTP/1.1 (\d+)", read_all(sock))
    assert statuses == [b"200"] * number + [b"400"]
    assert len(fake.requests) == number


@pytest.mark.parametrize("offer", [*OFFERS, b"http2-settings: AAMAAABkAAQ\r\n"])
def test_request_that_is_passed_on_holds_no_offer(offer):
    """HTTP2-Settings was passed on if Connection did not name it."""
    fake = FakeInstance(reply(ok()))
    sock = Entry({"i1": fake}).connect()
    sock.sendall(message(b"POST", 1, offer, b"x"))
    assert Answers(sock).read(b"POST") == (200, b"done")
    assert fake.header(b"upgrade") is None
    assert fake.header(b"http2-settings") is None
    assert fake.header(b"connection") == b"close"


SWITCH = b"HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n"
BARE_SWITCH = b"HTTP/1.1 101 Switching\r\n\r\n"


@pytest.mark.parametrize("switch", [SWITCH, BARE_SWITCH])
@pytest.mark.parametrize("rest", [b"", b"\0\0\0\4", ok(b"another protocol")])
def test_instance_that_switches_unasked_has_not_answered(switch, rest):
    first, second = FakeInstance(reply(switch + rest)), FakeInstance(reply(ok()))
    entry = Entry({"i1": first, "i2": second})
    entry.fleet.get("i2").outstanding = 12
    answer = entry.ask(headers=b"upgrade: h2c\r\nconnection: upgrade\r\n")
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"\r\n\r\ndone")
    assert len(first.requests) == len(second.requests) == 1
    sole = Entry({"i1": FakeInstance(reply(switch + rest))}, **NON_IDEMPOTENT)
    assert sole.ask(method=b"POST", body=b"x").startswith(b"HTTP/1.1 502 ")


def test_offer_of_an_instance_is_not_passed_on():
    offer = b"upgrade: h2c\r\nconnection: upgrade, keep-alive\r\n"
    answer = Entry({"i1": FakeInstance(reply(ok(b"body", offer)))}).ask()
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"\r\n\r\nbody")
    assert b"upgrade" not in answer.lower()
