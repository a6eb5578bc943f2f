"""Which entry this one is among the others, and how long the others count."""

from briarbeam.distribution.exchange import ENTRIES_UNKNOWN, FAR_GREETERS, EntryExchange
from briarbeam.distribution.messages import Load
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.network import Address
from briarbeam.relay.fleet import Fleet


def build():
    clock = ManualClock()
    fleet = Fleet(clock, dict)
    address = Address("10.0.0.2", 77)
    return clock, EntryExchange(
        address, "z1", fleet, clock, lambda target: None, lambda *named: None, None
    )


def load(*hosts):
    entries = tuple((host, "z1") for host in hosts)
    return Load(1, 1, True, 0, 0, 1.0, entries=entries)


def test_entry_that_has_heard_of_nobody_takes_a_small_share():
    _, exchange = build()
    assert exchange.place() == (0, ENTRIES_UNKNOWN)


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
    exchange._hear("10.0.9.9", load("10.0.0.1", "10.0.0.2", "10.0.0.3"))
    assert exchange.place() == (1, 3)
    clock.advance(20.0)
    assert exchange.place() == (1, 3)
    assert exchange.entries() == {("10.0.0.2", "z1")}
