"""A simulation of entries that receive a desired state over shared links.

Entries use the real `StateSpread` with its `Mirror` and copies; links, time and
processor time are simulated. TCP slow start is not.
"""

import contextlib
import dataclasses
import json
import random
from dataclasses import dataclass
from functools import cache, partial
from types import SimpleNamespace
from unittest import mock

import gevent

from briarbeam.distribution import exchange, forwarder, state_copy
from briarbeam.distribution.errors import ChunkUnavailableError
from briarbeam.distribution.messages import StateAnnouncement
from briarbeam.kernel.errors import ExchangeError
from briarbeam.platform.store import BODY_TIMEOUT_S, Record
from briarbeam.relay import follower, mirror, spread

from .model_links import Link, Links, ModelClock
from .state_group import Group, Reply

REGION_LINK_MBIT_PER_S = 11.5
ENTRY_LINK_MBIT_PER_S = 20.0
STORE_LINK_MBIT_PER_S = 1000.0
INTRA_REGION_DELAY_S = 0.0009
INTER_REGION_DELAY_S = 0.0018
STORE_ANSWER_S = 0.004
REGIONS = 3
STORE_REGION = 0
# The domain whose reader dies if `Case.reader_dies`; not in the region of the store.
FAILED_READER_DOMAIN = 1
# Time from the last message of a forwarder until the next one takes over.
TAKEOVER_S = forwarder.SILENT_AFTER_S + exchange.SILENCE_POLL_S + follower.POLL_S
INITIAL_REVISION, REVISION = 4, 5
NO_TREE_FANOUT = 10**6
# More than the 5 s within which a change has to be in force.
RUN_MAX_S = 6.0


@dataclass(frozen=True)
class ProcessorTimes:
    """Processor time for one state, in seconds.

    :param read_s: to decode the store's answer and put the state in force.
    :param pack_s: to pack a copy of the state.
    :param apply_s: to unpack a copy and put the state in force.
    """

    read_s: float
    pack_s: float
    apply_s: float


@dataclass(frozen=True)
class Case:
    """The parameters of one run of the model.

    :param way: ``"before"`` if each entry reads the store itself, or ``"spread"``.
    :param tree: whether announcements are forwarded along a tree; if not, the reader
        sends them to all entries itself.
    :param compare_after_s: how long a reader must have had the state in force before
        entries can learn of it by comparing with that reader instead of from the tree.
    :param loss: the share of `StateAnnouncement` datagrams that is lost.
    :param reader_dies: whether a reader dies right after it has announced the state.
    """

    way: str
    entries: int
    routes: int
    domains: int = REGIONS
    compressed: bool = True
    tree: bool = True
    compare_after_s: float = 0.0
    loss: float = 0.0
    reader_dies: bool = False


class Domain(Group):
    """The entries of one failure domain in the `Model`."""

    def __init__(self, model, number, count):
        self.model = model
        self.region = number % REGIONS
        self.announcements_sent = 0
        loss = model.case.loss
        super().__init__(
            count,
            is_lost=lambda sender, announcement, to: random.random() < loss,
            clock=model.clock,
            prefix=f"10.{number}",
        )
        self.current_reader = self.reader
        for member in self.members.values():
            member.domain = self
            member.is_reading = False
            member.in_force_at_s = None
            member.link_in, member.link_out = (
                Link(ENTRY_LINK_MBIT_PER_S) for _ in range(2)
            )
            member.mirror.replace_if_newer(model.initial_records, INITIAL_REVISION, 0.0)

    def handle_applied(self, member):
        if member.spread.revision == REVISION:
            self.model.handle_applied(member)

    def send_announcement(self, sender, announcement, to):
        if announcement.revision < REVISION or self.model.case.way == "before":
            return
        self.announcements_sent += 1
        if not self.is_lost(sender, announcement, to):
            self.model.deliver(sender, announcement, to)

    def request_copy(self, requester, address, request):
        self.copy_requests.append(address.host)
        return self.model.transmit_copy(requester, address.host, request)


class Model:
    """Regions, the links between them, and the store in one of them.

    :param raw: the state's bytes as the store sends them.
    :param processor_times: the `ProcessorTimes` of the state.
    """

    def __init__(self, case, raw, processor_times):
        self.case, self.processor_times = case, processor_times
        self.raw_bytes = len(raw)
        self.clock = ModelClock()
        self.links = Links(self.clock)
        self.records = {"main": Record("main", REVISION, json.loads(raw))}
        self.initial_records = {"main": Record("main", INITIAL_REVISION, {})}
        self.store_link = Link(STORE_LINK_MBIT_PER_S)
        self.region_links = {
            (a, b): Link(REGION_LINK_MBIT_PER_S)
            for a in range(REGIONS)
            for b in range(REGIONS)
            if a != b
        }
        self.reads = 0
        self.copies_failed = 0
        share, remainder = divmod(case.entries, case.domains)
        self.domains = [
            Domain(self, number, share + (number < remainder))
            for number in range(case.domains)
        ]
        self.members = {
            host: member
            for domain in self.domains
            for host, member in domain.members.items()
        }
        self._packers = set()

    def run(self):
        """Simulate the spread of a new state until all live entries have it in force.

        Stop after `RUN_MAX_S` even if some do not.
        """
        with self._patched():
            for member in self.members.values():
                if self.case.way == "before" or member is member.domain.reader:
                    gevent.spawn(self._read_store, member)
                if self.case.way == "spread":
                    gevent.spawn(self._compare_with_reader, member)
            self.clock.run(RUN_MAX_S, self._is_done)

    def deliver(self, sender, announcement, to):
        """Deliver a `StateAnnouncement` to an entry after the network delay."""
        member = self.members[to]
        self.clock.call_later(
            self._delay_s(sender, member), partial(self._receive, member, announcement)
        )

    def transmit_copy(self, requester, host, request):
        """Return the reply of the entry at `host` to a request for a copy.

        :raises ExchangeError: if the entry is not alive or the transfer times out.
        """
        holder = self.members[host]
        delay_s = self._delay_s(requester, holder)
        # Two round trips: the connection, then the request and the first byte.
        self.clock.sleep(4 * delay_s)
        if not holder.alive:
            self.clock.sleep(request.connect_timeout_s)
            self.copies_failed += 1
            raise ExchangeError(f"no connection to {host}")
        try:
            data = holder.spread.encode_state(int(request.path.rsplit("/", 1)[1]))
        except ChunkUnavailableError as error:
            return Reply(error.status, b"")
        if host not in self._packers:
            self._packers.add(host)
            self.clock.sleep(self.processor_times.pack_s)
        path = [
            holder.link_out,
            requester.link_in,
            *self._region_links_between(holder, requester),
        ]
        if not self.links.transmit(len(data), path, request.timeout_s):
            self.copies_failed += 1
            raise ExchangeError(
                f"copy from {host} not complete within {request.timeout_s} s"
            )
        self.clock.sleep(self.processor_times.apply_s)
        return Reply(200, data)

    def region_of(self, member):
        return member.domain.region

    def _read_store(self, member):
        """Read the store as a mirror does, with retries, until the entry is current."""
        backoff_s = mirror.RETRY_MIN_S
        member.is_reading = True
        region = self.region_of(member)
        path = [self.store_link, member.link_in]
        if region != STORE_REGION:
            path.append(self.region_links[STORE_REGION, region])
        while member.alive and member.spread.revision < REVISION:
            sent_s = self.clock.boottime_s()
            self.clock.sleep(STORE_ANSWER_S + 2 * _delay_between(STORE_REGION, region))
            self.reads += 1
            if self.links.transmit(self.raw_bytes, path, BODY_TIMEOUT_S):
                self.clock.sleep(self.processor_times.read_s)
                member.mirror.replace_if_newer(self.records, REVISION, sent_s)
                break
            if self.case.way == "spread" and member.is_supplied_by_peers:
                backoff_s = random.uniform(
                    mirror.FOLLOWER_RETRY_MIN_S, mirror.FOLLOWER_RETRY_MAX_S
                )
            self.clock.sleep(backoff_s)
            backoff_s = min(mirror.RETRY_MAX_S, 2 * backoff_s)
        member.is_reading = False

    def _compare_with_reader(self, member):
        """Compare with the reader; read the store if no peer supplies the state."""
        self.clock.sleep(random.uniform(0.0, exchange.PROBE_INTERVAL_S))
        next_probe_s = self.clock.monotonic_s()
        while member.alive and member.in_force_at_s is None:
            if self.clock.monotonic_s() >= next_probe_s:
                next_probe_s += exchange.PROBE_INTERVAL_S
                reader = member.domain.current_reader
                if reader is not member and self._answers_comparisons(reader):
                    self.clock.sleep(2 * INTRA_REGION_DELAY_S)
                    member.spread.compare_with_neighbour(
                        reader.host, reader.spread.revision
                    )
            if member.spread.needs_store_read() and not member.is_reading:
                gevent.spawn(self._read_store, member)
            self.clock.sleep(mirror.PEER_POLL_S)

    def _answers_comparisons(self, reader):
        """Return whether a reader answers comparisons with the new revision already."""
        if not reader.alive or reader.in_force_at_s is None:
            return False
        age_s = self.clock.monotonic_s() - reader.in_force_at_s
        return age_s >= self.case.compare_after_s

    def handle_applied(self, member):
        """Record that an entry has the new state in force.

        If the entry is a reader, the state is announced to the readers of the other
        domains, and the entry may die, see `Case.reader_dies`.
        """
        member.in_force_at_s = self.clock.monotonic_s()
        domain = member.domain
        if self.case.way == "before" or member is not domain.reader:
            return
        # Stagers announce the state to the readers of other domains.
        self.clock.call_later(
            exchange.COALESCE_S, partial(self._announce_to_readers, member)
        )
        if self.case.reader_dies and domain is self.domains[FAILED_READER_DOMAIN]:
            member.alive = False
            member.in_force_at_s = None
            self.clock.call_later(TAKEOVER_S, partial(self._take_over, domain))

    def _announce_to_readers(self, holder):
        for domain in self.domains:
            reader = domain.current_reader
            if holder.alive and domain is not holder.domain:
                self.deliver(
                    holder, StateAnnouncement(REVISION, holder.host), reader.host
                )

    def _take_over(self, domain):
        """Make the next entry of a failure domain its reader."""
        domain.current_reader = new_reader = domain.followers[0]
        new_reader.is_supplied_by_peers = False
        if not new_reader.is_reading and new_reader.in_force_at_s is None:
            gevent.spawn(self._read_store, new_reader)

    def _receive(self, member, announcement):
        if member.alive:
            gevent.spawn(member.spread.handle_announcement, announcement)

    def _is_done(self):
        return all(
            m.in_force_at_s is not None for m in self.members.values() if m.alive
        )

    def _delay_s(self, a, b):
        return _delay_between(self.region_of(a), self.region_of(b))

    def _region_links_between(self, a, b):
        regions = self.region_of(a), self.region_of(b)
        return [self.region_links[regions]] if regions[0] != regions[1] else []

    @contextlib.contextmanager
    def _patched(self):
        """Patch the time and what the case varies; share packed and decoded copies."""
        with contextlib.ExitStack() as stack:

            def replace(owner, name, value):
                stack.enter_context(mock.patch.object(owner, name, value))

            simulated_gevent = SimpleNamespace(
                spawn=gevent.spawn, sleep=self.clock.sleep
            )
            replace(spread, "gevent", simulated_gevent)
            replace(spread, "decode_copy", _memoized_decode())
            replace(spread, "pack_records", _memoized_pack())
            if not self.case.compressed:
                replace(state_copy, "_COMPRESSION_LEVEL", 0)
            if not self.case.tree:
                replace(spread, "FANOUT", NO_TREE_FANOUT)
            yield


def _delay_between(a, b):
    return INTRA_REGION_DELAY_S if a == b else INTER_REGION_DELAY_S


def _memoized_pack():
    packed_by_revisions = {}

    def pack(records, store_revision):
        revisions = records["main"].revision, store_revision
        if revisions not in packed_by_revisions:
            packed_by_revisions[revisions] = state_copy.pack_records(
                records, store_revision
            )
        return packed_by_revisions[revisions]

    return pack


def _memoized_decode():
    @cache
    def decode_packed(packed):
        return state_copy.decode_copy(state_copy.encode_copy(packed, 0.0))

    def decode(data):
        line, _, packed = data.partition(b"\n")
        age, *mark = line.split()
        return dataclasses.replace(
            decode_packed(packed), age_s=float(age), is_settled=not mark
        )

    return decode
