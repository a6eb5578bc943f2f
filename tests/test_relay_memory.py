"""How much an entry holds of requests and answers, however many there are."""

import gevent
import pytest
from hypothesis import strategies
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from briarbeam.relay.memory_budget import (
    FREE_BYTES,
    GROUP_SHARE,
    HeldMemory,
    MemoryBudget,
    MemoryBudgetError,
)

from .relay_fakes import (
    MEMORY_BYTES,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    Entry,
    FakeInstance,
    event,
    never_answer,
    ok,
    reply,
    request_bytes,
    stream_head,
)

MIB = 2**20
LIMIT_BYTES = 100 * FREE_BYTES


class BudgetMachine(RuleBasedStateMachine):
    """Holders of some groups grow, shrink, are given up and end in any order."""

    holders = Bundle("holders")

    def __init__(self):
        super().__init__()
        self.budget = MemoryBudget("test", LIMIT_BYTES)
        self.open, self.given_up = {}, []

    @rule(
        target=holders,
        group=strategies.sampled_from("abc"),
        may_be_given_up=strategies.booleans(),
    )
    def open_holder(self, group, may_be_given_up):
        given_up = []
        holder = self.budget.open(
            group, (lambda: given_up.append(True)) if may_be_given_up else None
        )
        self.open[holder] = (0, given_up)
        return holder

    @rule(holder=holders, size_bytes=strategies.integers(0, LIMIT_BYTES))
    def resize(self, holder, size_bytes):
        if holder not in self.open or self.open[holder][1]:
            return
        before_bytes, given_up = self.open[holder]
        try:
            holder.resize(size_bytes)
        except MemoryBudgetError:
            # What was held is held on, and no small holder is refused.
            assert holder.size_bytes == before_bytes
            assert size_bytes > FREE_BYTES
        else:
            self.open[holder] = (size_bytes, given_up)
        # The one that asks is refused, not given up.
        assert not given_up

    @rule(holder=holders)
    def keep(self, holder):
        holder.keep()

    @rule(holder=consumes(holders))
    def release(self, holder):
        holder.release()
        self.open.pop(holder, None)

    @invariant()
    def holds_what_is_held_and_no_more_than_its_limits(self):
        counted = {}
        for holder, (size_bytes, given_up) in self.open.items():
            if not given_up:
                counted.setdefault(holder.group, 0)
                counted[holder.group] += max(0, size_bytes - FREE_BYTES)
        assert self.budget.held_bytes == sum(counted.values()) <= LIMIT_BYTES
        assert all(b <= LIMIT_BYTES * GROUP_SHARE for b in counted.values())


TestBudgetMachine = BudgetMachine.TestCase


def test_answers_of_a_faulty_target_are_given_up_before_those_of_others():
    budget = HeldMemory.divide(400 * FREE_BYTES).answers
    given_up = []
    for number in range(5):
        holder = budget.open("faulty", lambda n=number: given_up.append(n))
        holder.resize((8 + number) * FREE_BYTES)
    others = [budget.open(f"t{n}", lambda: given_up.append("sound")) for n in range(7)]
    for holder in others:
        holder.resize(11 * FREE_BYTES)
    assert given_up and "sound" not in given_up
    assert given_up[0] == 4


def test_complete_answer_is_not_given_up():
    budget = MemoryBudget("answers", LIMIT_BYTES)
    ready = budget.open("a", lambda: pytest.fail("a complete answer was given up"))
    ready.resize(50 * FREE_BYTES)
    ready.keep()
    with pytest.raises(MemoryBudgetError):
        budget.open("a", lambda: None).resize(3 * FREE_BYTES)
    budget.open("b", lambda: None).resize(40 * FREE_BYTES)


def send_without_end(instance, sock, request):
    sock.sendall(ok()[: ok().index(b"content-length")] + b"\r\n")
    while True:
        sock.sendall(b"a" * 65536)
        gevent.sleep(0.002)


def test_answers_without_end_leave_room_for_the_answers_of_others():
    """All of them together filled the memory, each within its own limit."""
    faulty = FakeInstance(send_without_end)
    sound = FakeInstance(reply(ok(b"x" * MIB)))
    entry = Entry({"faulty": faulty, "sound": sound}, **NON_IDEMPOTENT)
    most_bytes = 0

    def watch():
        nonlocal most_bytes
        while True:
            most_bytes = max(most_bytes, entry.held.answers.held_bytes)
            gevent.sleep(0.001)

    watcher = gevent.spawn(watch)
    entry.fleet.get("sound").outstanding = 12
    tasks = [gevent.spawn(entry.ask, method=b"POST") for _ in range(12)]
    gevent.sleep(0.1)
    entry.fleet.get("sound").outstanding = 0
    entry.fleet.get("faulty").outstanding = 100
    answers = [entry.ask(method=b"POST") for _ in range(8)]
    gevent.joinall(tasks, timeout=20, raise_error=True)
    watcher.kill()
    assert all(answer.endswith(b"x" * MIB) for answer in answers)
    assert all(task.value.split()[1] in (b"502", b"200") for task in tasks)
    assert entry.held.answers.held_bytes == 0
    assert most_bytes <= MEMORY_BYTES / 4


def test_bodies_of_one_team_leave_room_for_those_of_others():
    """Bodies within their limit filled the memory, and the process ended."""
    entry = Entry({"i1": FakeInstance(never_answer)}, **NON_IDEMPOTENT)
    body = b"x" * (4 * MIB)
    socks = []
    for _ in range(24):
        sock = entry.connect()
        gevent.spawn(_send_quietly, sock, request_bytes(method=b"POST", body=body))
        socks.append(sock)
    refused, open_socks = [], list(socks)
    with gevent.Timeout(15.0, False):
        while len(refused) < 10:
            gevent.sleep(0.1)
            assert entry.held.requests.held_bytes <= MEMORY_BYTES / 4
            refused += [sock for sock in open_socks if _is_refused(sock)]
            open_socks = [sock for sock in socks if sock not in refused]
    assert 10 <= len(refused) < 24
    assert entry.held.requests.fits("another team", len(body))
    for sock in socks:
        sock.close()


def _send_quietly(sock, data):
    try:
        sock.sendall(data)
    except OSError:
        return


def _is_refused(sock):
    """Return whether a socket has received a refusal that says that nothing ran."""
    sock.settimeout(0.01)
    try:
        head = sock.recv(4096)
    except OSError:
        return False
    assert head.startswith(b"HTTP/1.1 503") and b"retry-after: " in head
    return True


def test_small_requests_are_served_while_no_room_is_left():
    entry = Entry({"i1": FakeInstance(reply(ok()))}, **NON_IDEMPOTENT)
    holder = entry.held.requests.open("others")
    holder.resize(int(MEMORY_BYTES / 8) - FREE_BYTES)
    other = entry.held.requests.open("more")
    other.resize(int(MEMORY_BYTES / 8) - FREE_BYTES)
    for size_bytes in (0, 100, FREE_BYTES):
        answer = entry.ask(method=b"POST", body=b"x" * size_bytes)
        assert answer.endswith(b"done")
    answer = entry.ask(method=b"POST", body=b"x" * MIB)
    assert answer.split()[1] == b"503"


def test_memory_of_bodies_is_free_again_after_their_answers():
    entry = Entry({"i1": FakeInstance(reply(ok()))}, **NON_IDEMPOTENT)
    for _ in range(60):
        assert entry.ask(method=b"POST", body=b"x" * (2 * MIB)).endswith(b"done")
    assert entry.held.requests.held_bytes == 0


@pytest.mark.parametrize("end", ["caller leaves", "malformed"])
def test_memory_of_a_body_that_never_ends_is_free_again(end):
    entry = Entry({"i1": FakeInstance(reply(ok()))}, **NON_IDEMPOTENT)
    sock = entry.connect()
    head = b"POST /a/x HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n"
    sock.sendall(head + b"transfer-encoding: chunked\r\n\r\n80000\r\n" + b"x" * 0x80000)
    gevent.sleep(0.3)
    assert entry.held.requests.held_bytes == 0x80000 - FREE_BYTES
    if end == "malformed":
        sock.sendall(b"\r\nno size\r\n")
    else:
        sock.close()
    gevent.sleep(0.3)
    assert entry.held.requests.held_bytes == 0


def test_event_without_end_counts_as_held_until_its_stream_ends():
    script = reply(stream_head() + event(1) + b"20000\r\n" + b"x" * 0x20000)
    entry = Entry({"i1": FakeInstance(_then_wait(script))}, **RESUMABLE_STREAM)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST"))
    gevent.sleep(0.3)
    assert entry.held.answers.held_bytes == 0x20000 - FREE_BYTES
    sock.close()
    gevent.sleep(0.3)
    assert entry.held.answers.held_bytes == 0


def _then_wait(script):
    def wait(instance, sock, request):
        script(instance, sock, request)
        never_answer(instance, sock, request)

    return wait


def test_requests_that_callers_send_ahead_are_not_read_without_limit():
    entry = Entry({"i1": FakeInstance(never_answer)}, **NON_IDEMPOTENT)
    entry.held.requests.open("others").resize(int(MEMORY_BYTES / 8) - FREE_BYTES)
    entry.held.requests.open("more").resize(int(MEMORY_BYTES / 8) - FREE_BYTES)
    sock = entry.connect()
    sock.sendall(request_bytes(method=b"POST").replace(b"connection: close\r\n", b""))
    gevent.sleep(0.1)
    gevent.spawn(_send_quietly, sock, b"x" * (4 * MIB))
    gevent.sleep(0.3)
    assert entry.held.requests.held_bytes <= MEMORY_BYTES / 4
    sock.close()
