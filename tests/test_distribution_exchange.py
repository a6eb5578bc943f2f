"""Which entry this one is among the others, and how long the others count."""

from briarbeam.distribution.exchange import (
    ENTRIES_UNKNOWN,
    FAR_GREETERS,
    UNKNOWN_FOR_S,
    EntryExchange,
)
from briarbeam.distribution.messages import Load
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.network import Address
from briarbeam.relay.fleet import Fleet
from briarbeam.relay.limits import ColdWindow


def build(host="10.0.0.2"):
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    address = Address(host, 77)
    return clock, EntryExchange(
        address, "z1", fleet, clock, lambda target: None, lambda *named: None, None
    )


def load(*hosts):
    entries = tuple((host, "z1") for host in hosts)
    return Load(1, 1, True, 0, 0, 1.0, entries=entries)


def test_entries_that_start_together_stay_within_a_cold_engines_rate():
    """Each would hear of a few others first and take a larger share than its own."""
    sent = 0
    for number in range(1, 42):
        clock, exchange = build(f"10.0.0.{number}")
        if number > 1:
            exchange._hear("10.0.9.9", load("10.0.0.1", f"10.0.0.{number}"))
        window = ColdWindow()
        clock.advance(0.5)
        sent += sum(window.try_send(22.0, exchange.place(), 0.5) for _ in range(30))
        assert exchange.place().count == ENTRIES_UNKNOWN
    assert 5 < sent <= 22 * 1.5


def test_entry_that_has_heard_of_nobody_takes_a_small_share():
    clock, exchange = build()
    clock.advance(UNKNOWN_FOR_S + 0.1)
    assert exchange.place().count == ENTRIES_UNKNOWN


def test_few_entries_of_a_large_failure_domain_greet_engines_elsewhere():
    _, exchange = build()
    assert exchange._greets_far()
    hosts = [f"10.0.0.{number}" for number in range(1, 21)]
    greeters = []
    for host in hosts:
        exchange._address = Address(host, 77)
        exchange._hear("10.0.9.9", load(*hosts))
        greeters += [host] * exchange._greets_far()
    assert len(greeters) == FAR_GREETERS


def test_entry_that_is_cut_off_goes_on_taking_its_own_share_only():
    clock, exchange = build()
    clock.advance(UNKNOWN_FOR_S)
    exchange._hear("10.0.9.9", load("10.0.0.1", "10.0.0.2", "10.0.0.3"))
    assert exchange.place() == (1, 3)
    clock.advance(20.0)
    assert exchange.place() == (1, 3)
    assert exchange.entries() == {("10.0.0.2", "z1")}
