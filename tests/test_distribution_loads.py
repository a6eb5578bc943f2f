"""Tests that loads reach all entries, through one forwarder in each failure domain."""

import dataclasses
import json

import gevent
from hypothesis import given, strategies

from briarbeam.distribution.forwarder import (
    SILENCE_REPORTED_S,
    SILENT_AFTER_S,
    LoadForwarder,
)
from briarbeam.distribution.messages import (
    MAX_BYTES,
    Greeting,
    Load,
    LoadBatch,
    decode,
    encode,
    encode_batches,
)
from briarbeam.distribution.reporter import LoadReporter
from briarbeam.distribution.roster import (
    GREETING_EXPIRY_S,
    SILENCE_REPORT_EXPIRY_S,
    Roster,
)
from briarbeam.kernel.clock import ManualClock
from briarbeam.platform.engines import EngineReport

DOMAINS = ("z1", "z2", "z3")


def load(running=3, forward=False, entries=()):
    return Load(1796352982301, 2, True, running, 1, 1.0, forward, entries)


def report(running):
    return EngineReport({}, False, 0, running, 0, 1, 1.0)


def filled_roster(clock, per_domain):
    roster = Roster(clock.monotonic_s)
    for domain in DOMAINS:
        for number in range(per_domain):
            roster.record_greeting(f"10.{domain[1]}.0.{number}", domain)
    return roster


@given(
    strategies.integers(0, 800),
    strategies.integers(0, 300),
)
def test_batches_carry_every_load_and_entry_in_datagrams_that_fit(loads, entries):
    hosts = [f"10.200.{number // 250}.{number % 250}" for number in range(loads)]
    listed = [
        (f"10.100.{number // 250}.{number % 250}", "z1") for number in range(entries)
    ]
    datagrams = encode_batches([(host, load(forward=True)) for host in hosts], listed)
    assert all(len(data) <= MAX_BYTES for data in datagrams)
    batches = [decode(data) for data in datagrams]
    assert [host for batch in batches for host, _ in batch.loads] == hosts
    assert [tuple(entry) for batch in batches for entry in batch.entries] == listed
    # A load that was forwarded is not forwarded again.
    assert not any(item.forward for batch in batches for _, item in batch.loads)


def test_messages_are_decoded_as_they_were_encoded():
    greeting = Greeting(
        "10.0.0.1", "z1", "m", ((1, 0.5, 1.0, True),), 1, 3, 8.0, "10.0.0.2"
    )
    messages = [
        load(), load(forward=True), load(entries=(("10.0.0.1", "z1"),)), greeting,
        LoadBatch((), (("10.0.0.1", "z1"),)),
    ]  # fmt: skip
    for message in messages:
        decoded = decode(encode(message))
        assert json.loads(encode(decoded)) == json.loads(encode(message))
        assert type(decoded) is type(message)


def test_stagers_that_know_the_same_entries_choose_the_same_forwarders():
    clock = ManualClock()
    first, second = filled_roster(clock, 10), Roster(clock.monotonic_s)
    for host, domain in reversed(list(first)):
        second.record_greeting(host, domain)
    assert first.forwarders() == second.forwarders()
    assert [domain for _, domain in first.forwarders()] == list(DOMAINS)


def test_forwarder_that_neighbours_report_silent_is_replaced_for_a_while():
    clock = ManualClock()
    roster = filled_roster(clock, 3)
    host, domain = roster.forwarders()[0]
    other = next(h for h, d in roster if d == domain and h != host)
    roster.record_greeting(other, domain, silent_forwarder=host)
    replacement = roster.forwarders()[0][0]
    assert (
        replacement != host
        and roster.forwarders()[1:] == filled_roster(clock, 3).forwarders()[1:]
    )
    clock.advance(SILENCE_REPORT_EXPIRY_S)
    for entry in list(roster):
        roster.record_greeting(*entry)
    roster.remove_expired()
    assert roster.forwarders()[0][0] == host


def test_forwarder_that_stops_greeting_is_replaced():
    clock = ManualClock()
    roster = filled_roster(clock, 2)
    host, domain = roster.forwarders()[0]
    clock.advance(GREETING_EXPIRY_S - 0.1)
    for entry in list(roster):
        if entry != (host, domain):
            roster.record_greeting(*entry)
    clock.advance(0.2)
    roster.remove_expired()
    assert (host, domain) not in list(roster)
    assert roster.forwarders()[0][0] != host


def test_reporter_sends_few_datagrams_however_many_entries_there_are():
    sent = []
    roster = filled_roster(ManualClock(), 100)
    reporter = LoadReporter(lambda data, host: sent.append(host), roster, "z1")
    for _ in range(20):
        reporter.send_load(report(running=12), 1, True)
    forwarders = {host for host, _ in roster.forwarders()}
    assert sum(host in forwarders for host in sent) <= 20 * len(DOMAINS)
    assert sum(host not in forwarders for host in sent) <= 20


def test_all_entries_receive_loads_in_turn():
    sent = []
    roster = filled_roster(ManualClock(), 25)
    reporter = LoadReporter(
        lambda data, host: sent.append((host, decode(data))), roster, "z1"
    )
    for _ in range(80):
        reporter.send_load(report(running=12), 1, True)
    listed = {tuple(entry) for _, message in sent for entry in message.entries}
    assert listed == set(roster)
    assert {host for host, _ in sent} == {host for host, _ in roster}


def test_new_entry_receives_the_list_of_all_others_at_once():
    sent = []
    roster = filled_roster(ManualClock(), 30)
    reporter = LoadReporter(lambda data, host: sent.append(data), roster, "z1")
    reporter.send_entries(report(running=0), 1, True, "10.1.0.99")
    listed = {tuple(entry) for data in sent for entry in decode(data).entries}
    assert listed == set(roster)
    assert all(len(data) <= MAX_BYTES for data in sent)


def test_forwarder_sends_the_newest_load_of_each_engine():
    sent = []
    forwarder = LoadForwarder(
        ManualClock(), lambda: ["10.0.0.2"], lambda *item: sent.append(item)
    )
    forwarder.add("10.9.0.1", load(running=1))
    forwarder.add("10.9.0.1", load(running=2))
    forwarder.add("10.9.0.2", load(running=5))
    forwarder.flush()
    forwarder.flush()
    ((data, host),) = sent
    running = {engine: item.running for engine, item in decode(data).loads}
    assert (host, running) == ("10.0.0.2", {"10.9.0.1": 2, "10.9.0.2": 5})


def test_engine_that_stops_accepting_is_forwarded_at_once():
    sent = []
    forwarder = LoadForwarder(
        ManualClock(), lambda: ["10.0.0.2"], lambda *item: sent.append(item)
    )
    forwarder.add("10.9.0.1", load())
    gevent.sleep(0.01)
    sent.clear()
    forwarder.add("10.9.0.1", load(running=4))
    gevent.sleep(0.01)
    assert not sent
    forwarder.add("10.9.0.1", dataclasses.replace(load(), accepting=False))
    gevent.sleep(0.01)
    assert len(sent) == 1


def test_neighbour_whose_batches_stop_is_reported_silent_for_a_while():
    clock = ManualClock()
    forwarder = LoadForwarder(clock, list, lambda *item: None)
    clock.advance(SILENT_AFTER_S * 2)
    assert forwarder.find_silent_forwarder() is None
    forwarder.record_batch("10.0.0.3")
    assert forwarder.find_silent_forwarder() is None
    clock.advance(SILENT_AFTER_S + 0.1)
    assert forwarder.find_silent_forwarder() == "10.0.0.3"
    clock.advance(SILENCE_REPORTED_S)
    assert forwarder.find_silent_forwarder() is None


def test_forwarder_follows_no_other_forwarder():
    """If two entries followed each other, neither would read the store."""
    clock = ManualClock()
    forwarder = LoadForwarder(clock, list, lambda *item: None)
    forwarder.add("10.9.0.1", load(forward=True))
    forwarder.record_batch("10.0.0.3")
    assert forwarder.find_forwarder() is None
    clock.advance(SILENT_AFTER_S + 0.1)
    forwarder.record_batch("10.0.0.3")
    assert forwarder.find_forwarder() == "10.0.0.3"
    forwarder.add("10.9.0.1", load(forward=True))
    clock.advance(SILENT_AFTER_S - 0.1)
    assert forwarder.find_silent_forwarder() is None
