"""Which of the entries that start together reads the desired state from the store."""

import random
from itertools import pairwise

import gevent
import pytest

from briarbeam.distribution.messages import StateNews, StateReader
from briarbeam.distribution.roster import Roster
from briarbeam.distribution.state_relay import StateRelay
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.network import Address
from briarbeam.relay.errors import StoreUnavailableError
from briarbeam.relay.first_read import (
    ANSWERS_WITHIN_S,
    NO_ANSWER_MAX_S,
    NO_ANSWER_MIN_S,
    FirstRead,
)
from briarbeam.relay.mirror import Mirror
from briarbeam.relay.spread import (
    STORE_READ_AFTER_S,
    STORE_READ_PER_RANK_S,
    StateSpread,
)

from .test_relay_spread import greeting

HOSTS = [f"10.0.0.{number}" for number in range(1, 41)]


class StartingEntry:
    """An entry that starts, and what it knows of others."""

    def __init__(self, clock, host=HOSTS[0], neighbours=()):
        self.host, self.restored_s = host, None
        self.mirror = Mirror(None, "config", clock, lambda: 1.0, lambda records: None)
        self.spread = StateSpread(None, Address(host, 77), clock, self.mirror, bool)
        self.spread.neighbours = lambda: [h for h in neighbours if h != host]
        self.first_read = FirstRead(clock, host, self.spread, lambda: self.restored_s)
        self.first_read.begin()

    @property
    def is_due(self):
        return self.first_read.is_due()


def daemon(starts, heard):
    """Let a daemon hear entries in the order of `heard`, and return its `StateRelay`."""
    by_host = {start.host: start for start in starts}

    def send(message, host):
        if isinstance(message, StateReader):
            by_host[host].first_read.note_reader(message.host)

    roster = Roster(lambda: 0.0)
    relay = StateRelay(roster, "z1", send)
    for host in heard:
        roster.note(host, "z1")
        relay.note(greeting(host, 0))
    return relay


def test_entry_that_a_daemon_names_reads_once_all_have_answered():
    clock = ManualClock()
    start = StartingEntry(clock)
    start.first_read.note_reader(start.host)
    assert not start.is_due
    clock.advance(ANSWERS_WITHIN_S + 0.01)
    assert start.is_due


def test_entry_that_no_daemon_answers_reads_after_a_moment():
    clock = ManualClock()
    start = StartingEntry(clock)
    clock.advance(NO_ANSWER_MIN_S - 0.01)
    assert not start.is_due
    clock.advance(NO_ANSWER_MAX_S - NO_ANSWER_MIN_S + 0.02)
    assert start.is_due


@pytest.mark.parametrize("seed", range(10))
def test_daemons_that_hear_entries_in_other_orders_agree_on_one_reader(seed):
    """Each of eight daemons had a first of its own, and so many copies were read."""
    draw = random.Random(seed)
    clock = ManualClock()
    starts = [StartingEntry(clock, host, HOSTS[:20]) for host in HOSTS[:20]]
    for _ in range(8):
        daemon(starts, draw.sample(HOSTS[:20], 20))
    clock.advance(ANSWERS_WITHIN_S + 0.01)
    assert sum(start.is_due for start in starts) == 1


def test_daemon_that_starts_later_names_no_further_reader():
    clock = ManualClock()
    starts = [StartingEntry(clock, host, HOSTS[:4]) for host in HOSTS[:4]]
    daemon(starts, HOSTS[:4])
    clock.advance(ANSWERS_WITHIN_S + 0.01)
    readers = [start.host for start in starts if start.is_due]
    for host in HOSTS[1:4]:
        daemon(starts, [host, *HOSTS[:4]])
    assert [start.host for start in starts if start.is_due] == readers == HOSTS[:1]


def test_entries_whose_reader_is_silent_read_in_turn():
    """At a cap on the patience 31 of 40 read in the same tenth of a second."""
    clock = ManualClock()
    starts = [StartingEntry(clock, host, HOSTS) for host in HOSTS]
    daemon(starts, HOSTS)
    due = []
    for _ in range(round((STORE_READ_AFTER_S + 40 * STORE_READ_PER_RANK_S) / 0.1) + 1):
        due.append(sum(start.is_due for start in starts))
        clock.advance(0.1)
    assert due[round(STORE_READ_AFTER_S / 0.1) - 1] == 1
    steps = [after - before for before, after in pairwise(due[2:])]
    assert max(steps) <= 1
    assert due[-1] == len(starts)


def test_entry_that_takes_a_copy_reads_none_meanwhile():
    """It listed the state while its neighbour's copy was on the way."""
    clock = ManualClock()
    start = StartingEntry(clock, neighbours=HOSTS[1:2])
    start.spread._pulling = True
    start.spread.handle_announcement(StateNews(5, HOSTS[1]))
    start.first_read.note_reader(start.host)
    clock.advance(NO_ANSWER_MAX_S + 0.01)
    assert not start.is_due
    clock.advance(STORE_READ_AFTER_S + STORE_READ_PER_RANK_S)
    assert start.is_due


def test_turns_begin_again_when_the_store_is_back():
    """All had waited long enough during an outage, and read at its end."""
    clock = ManualClock()
    starts = [StartingEntry(clock, host, HOSTS[:4]) for host in HOSTS[:4]]
    daemon(starts, HOSTS[:4])
    clock.advance(60.0)
    assert sum(start.is_due for start in starts) == 4
    for start in starts:
        start.restored_s = clock.boottime_s()
    clock.advance(ANSWERS_WITHIN_S + 0.01)
    assert sum(start.is_due for start in starts) == 1


def test_first_list_that_failed_is_not_tried_again_while_a_copy_is_awaited():
    class Store:
        lists = 0

        def list(self, kind):
            Store.lists += 1
            awaited.append(True)
            raise StoreUnavailableError("status 503")

    awaited = []
    mirror = Mirror(
        Store(), "config", ManualClock(), lambda: 1.0, lambda records: None,
        awaits_peer_copy=lambda: bool(awaited),
    )  # fmt: skip
    task = gevent.spawn(mirror.run)
    gevent.sleep(0.8)
    assert Store.lists == 1
    awaited.clear()
    gevent.sleep(0.2)
    assert Store.lists == 2
    task.kill()


def relay_of(*greetings):
    """Return what a daemon sent after greetings, as pairs of message and host."""
    sent = []
    roster = Roster(lambda: 0.0)
    relay = StateRelay(roster, "z1", lambda message, host: sent.append((message, host)))
    for item in greetings:
        roster.note(item.host, item.failure_domain)
        relay.note(item)
    return sent


def test_daemon_names_the_entry_that_it_heard_first_until_a_state_is_held():
    sent = relay_of(greeting("b", 0), greeting("a", 0), greeting("far", 0, "z2"))
    assert sent == [(StateReader("b"), "b"), (StateReader("b"), "a")]
    sent = relay_of(greeting("b", 0), greeting("b", 5), greeting("a", 0))
    assert sent[-2:] == [(StateNews(5, "b"), "a"), (StateReader("a"), "a")]


def test_reader_that_is_heard_no_more_is_not_named():
    now_s = [0.0]
    sent = []
    roster = Roster(lambda: now_s[0])
    relay = StateRelay(roster, "z1", lambda message, host: sent.append((message, host)))
    for host in ("a", "b"):
        roster.note(host, "z1")
        relay.note(greeting(host, 0))
    now_s[0] = 5.0
    roster.note("b", "z1")
    roster.forget_lost()
    relay.note(greeting("b", 0))
    assert sent[-1] == (StateReader("b"), "b")


def test_entry_that_started_again_is_not_sent_to_itself_for_its_state():
    sent = relay_of(greeting("a", 5), greeting("a", 0))
    assert sent == [(StateNews(5, None), "a"), (StateReader("a"), "a")]


def test_far_state_is_fetched_by_one_entry_of_a_failure_domain():
    """A daemon of another one gave each entry that started its holder."""
    far = [greeting(host, 0, "z2") for host in HOSTS[:10]]
    sent = relay_of(greeting("near", 5), *far, *far)
    holders = {host for news, host in sent[10:] if news.host is not None}
    assert len(holders) == 1
