"""Entries that first read a state just after the store came back from a copy."""

import contextlib

import gevent
import pytest

from briarbeam.distribution.errors import MalformedCopyError
from briarbeam.distribution.state_copy import decode_copy, encode_copy, pack_records
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.errors import BriarbeamError
from briarbeam.platform.store import StoreClient
from briarbeam.relay.errors import HistoryGoneError, StoreUnavailableError
from briarbeam.relay.mirror import REWRITE_GRACE_S, Mirror

from .era_fakes import STORE, RestorableStore
from .test_store_eras import Entry, state_records


class LostCallsStore(RestorableStore):
    """A store to which calls get lost while `is_away` is true."""

    is_away = False

    def send(self, address, request):
        if self.is_away:
            raise BriarbeamError("connection refused")
        return super().send(address, request)


def first_read(store, between):
    """Return a client, and a mirror whose first list follows on `between`.

    Another mirror of the process calls before it, which may fail.
    """
    clock = ManualClock()
    client = StoreClient(store, STORE)
    mirror = Mirror(
        client, "config", clock, lambda: 0.0, lambda records: None, is_large=True,
        may_be_restored=lambda: client.restored_within(REWRITE_GRACE_S),
    )  # fmt: skip
    with contextlib.suppress(StoreUnavailableError):
        client.list("versions")
    between()
    try:
        mirror._step()
    except HistoryGoneError:
        mirror._step()
    return clock, mirror


def restore(store):
    store.is_away = False
    store.rewind(1)


@pytest.mark.parametrize("is_away", [True, False])
def test_key_that_a_restore_brought_back_is_not_accepted_from_the_first_list(is_away):
    store = LostCallsStore()
    store.is_away = is_away
    store.write(2)
    clock, mirror = first_read(store, lambda: restore(store))
    assert mirror.age_s is not None
    assert mirror.settled_age_s is None
    clock.advance(REWRITE_GRACE_S - 0.1)
    mirror.confirm(clock.boottime_s())
    assert mirror.settled_age_s is None
    clock.advance(0.2)
    assert mirror.settled_age_s == pytest.approx(0.2)


@pytest.mark.parametrize("era", [0, 1, 7])
def test_first_list_of_a_store_that_answered_each_call_counts_at_once(era):
    """Otherwise each start would cost seconds of readiness."""
    store = RestorableStore()
    store.era = era
    _, mirror = first_read(store, lambda: None)
    assert mirror.settled_age_s == mirror.age_s == 0.0


def test_store_without_eras_that_was_away_counts_at_once():
    store = LostCallsStore()
    store.is_away = True
    store.header = lambda: None

    def return_store():
        store.is_away = False

    _, mirror = first_read(store, return_store)
    assert mirror.settled_age_s == 0.0


def test_restore_that_is_long_past_does_not_delay_the_first_list(monkeypatch):
    store = LostCallsStore()
    monkeypatch.setattr("briarbeam.relay.mirror.REWRITE_GRACE_S", 0.1)
    monkeypatch.setattr(f"{__name__}.REWRITE_GRACE_S", 0.1)
    store.is_away = True
    client = StoreClient(store, STORE)
    with pytest.raises(StoreUnavailableError):
        client.list("versions")
    restore(store)
    client.list("versions")
    assert client.restored_within(0.1)
    gevent.sleep(0.15)
    assert not client.restored_within(0.1)


def test_key_that_a_restore_brought_back_is_not_accepted_from_a_copy():
    """The neighbour keeps the newer state in force, but its records are the older."""
    store, clock = RestorableStore(), ManualClock()
    neighbour = Entry(store, clock, "10.0.0.1")
    store.write(2)
    neighbour.step()
    store.rewind(1)
    neighbour.step()
    neighbour.step()
    assert neighbour.in_force.state.version == 2
    starter = Entry(store, clock, "10.0.0.2")
    take_copy(starter, neighbour)
    starter.mirror.confirm(clock.boottime_s())
    assert starter.in_force.state.version == 1
    assert starter.mirror.settled_age_s is None
    # A third one that takes it from the second knows no more.
    third = Entry(store, clock, "10.0.0.3")
    take_copy(third, starter)
    assert third.mirror.settled_age_s is None
    clock.advance(REWRITE_GRACE_S + 0.1)
    neighbour.mirror.confirm(clock.boottime_s())
    late = Entry(store, clock, "10.0.0.4")
    take_copy(late, neighbour)
    assert late.mirror.settled_age_s == pytest.approx(0.0, abs=0.01)


def take_copy(entry, holder):
    entry.spread._fetch = lambda revision, host: holder.copy()
    entry.spread._pull(holder.spread.revision, "10.0.0.1", None)


def test_copy_says_whether_its_sender_knows_it_to_be_complete():
    packed = pack_records(state_records(5), 9)
    for is_settled in (True, False):
        copy = decode_copy(encode_copy(packed, 1.25, is_settled))
        assert (copy.age_s, copy.is_settled) == (1.25, is_settled)
    with pytest.raises(MalformedCopyError):
        decode_copy(b"1.250 odd\n" + packed)
