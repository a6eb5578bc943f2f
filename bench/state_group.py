"""The entries of a failure domain in one process, to test how desired states spread."""

import gevent

from briarbeam.distribution.errors import ChunkUnavailableError
from briarbeam.kernel.clock import SystemClock
from briarbeam.kernel.errors import ExchangeError
from briarbeam.kernel.network import Address
from briarbeam.platform.store import Record
from briarbeam.relay.mirror import Mirror
from briarbeam.relay.spread import StateSpread

PORT = 7700
DELAY_S = 0.001


class Reply:
    """A reply over an in-memory network."""

    def __init__(self, status, body=b""):
        self.status, self.headers, self._body = status, {}, body

    def read(self, size_bytes=None):
        body, self._body = self._body, b""
        return body

    def close(self):
        pass


def state_records(revision, routes=1):
    """Return the records in which the store keeps a desired state."""
    spec = {"version": revision, "routes": [{"name": f"r{n}"} for n in range(routes)]}
    return {"main": Record("main", revision, spec)}


class Member:
    """One entry: its mirror, its spread, and the revisions it applied, in order.

    :param is_supplied_by_peers: false for the reader of the group, which gets desired
        states from the store.
    """

    def __init__(self, group, host, is_supplied_by_peers):
        self.group, self.host, self.is_supplied_by_peers = (
            group,
            host,
            is_supplied_by_peers,
        )
        self.alive = True
        self.applied_revisions = []
        self.mirror = Mirror(
            None, "config", group.clock, lambda: 1.0, self._handle_change
        )
        self.spread = StateSpread(
            self,
            Address(host, PORT),
            group.clock,
            self.mirror,
            lambda: self.is_supplied_by_peers,
        )
        self.spread.send = lambda announcement, to: group.send_announcement(
            self, announcement, to
        )
        self.spread.neighbours = lambda: [h for h in group.members if h != host]

    def _handle_change(self, records):
        self.applied_revisions.append(records["main"].revision)
        self.spread.handle_records_update()
        self.group.handle_applied(self)

    def send(self, address, request):
        """Request a copy from a peer, as a replacement of `Network.send`."""
        return self.group.request_copy(self, address, request)

    def apply_from_store(self, revision, routes=1):
        """Apply a state as an entry does that has read it from the store."""
        at_s = self.group.clock.boottime_s()
        self.mirror.replace_if_newer(state_records(revision, routes), revision, at_s)


class Group:
    """All entries of a failure domain and the network between them.

    :param is_lost: a function of sender, announcement and receiver that returns whether
        the datagram is lost.
    :param count: the number of entries.
    :param clock: the `Clock`; the system clock if None.
    :param prefix: the first two numbers of the entries' addresses.
    """

    def __init__(
        self,
        count,
        is_lost=lambda sender, announcement, to: False,
        clock=None,
        prefix="10.0",
    ):
        self.clock = clock or SystemClock()
        self.is_lost = is_lost
        self.copy_requests = []
        self.members = {}
        for number in range(count):
            host = f"{prefix}.{number // 250}.{number % 250 + 1}"
            self.members[host] = Member(self, host, is_supplied_by_peers=number > 0)

    @property
    def reader(self):
        """The first entry, which reads the store for the others."""
        return next(iter(self.members.values()))

    @property
    def followers(self):
        """All entries but the reader."""
        return list(self.members.values())[1:]

    def handle_applied(self, member):
        """Called when an entry has applied a state; does nothing in this class."""

    def send_announcement(self, sender, announcement, to):
        """Deliver an announcement, unless it is lost or the receiver is not alive."""
        member = self.members.get(to)
        if (
            member is not None
            and member.alive
            and not self.is_lost(sender, announcement, to)
        ):
            gevent.spawn(member.spread.handle_announcement, announcement)

    def request_copy(self, requester, address, request):
        """Return the reply of the peer at `address` to a request for a copy.

        :raises ExchangeError: if the peer is not alive.
        """
        member = self.members[address.host]
        self.copy_requests.append(address.host)
        self.clock.sleep(DELAY_S)
        if not member.alive:
            raise ExchangeError(f"no reply from {address.host}")
        try:
            revision = int(request.path.rsplit("/", 1)[1])
            return Reply(200, member.spread.encode_state(revision))
        except ChunkUnavailableError as error:
            return Reply(error.status, b"")

    def count_holding(self, revision):
        """Return how many of the live entries hold the state of `revision`."""
        live = [m for m in self.members.values() if m.alive]
        return sum(member.spread.revision == revision for member in live)
