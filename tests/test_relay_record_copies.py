"""How followers keep their records of instances equal to their reader's."""

import gevent
import pytest

from briarbeam.distribution.errors import ChunkUnavailableError
from briarbeam.distribution.messages import RecordsAnnouncement, decode, encode
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.network import Address
from briarbeam.platform.revisions import join_revision
from briarbeam.platform.store import Change, Record
from briarbeam.relay.mirror import Mirror
from briarbeam.relay.record_copies import OUTDATED_MAX_S, RecordCopies

from .distribution_fakes import Reply

READER, FOLLOWER = "10.0.0.1", "10.0.0.2"


def records(*names, revision=1):
    return {name: Record(name, revision, {"n": name}) for name in names}


class Entry:
    """The records of instances of one entry, and the copies of them."""

    def __init__(self, network, host, following):
        self.clock, self.following = network.clock, following
        self.updates = 0
        self.copies = RecordCopies(
            network, Address(host, 77), self.clock, lambda: self.following
        )
        self.mirror = self.copies.mirror = Mirror(
            network.store,
            "servers",
            self.clock,
            lambda: 25.0,
            self._count_update,
            is_supplied_by_peers=self.copies.is_supplied,
        )

    def _count_update(self, new_records):
        self.updates += 1
        self.copies.announce()

    def hold(self, held, revision):
        """Replace the records as a list of the store does."""
        self.mirror._replace(held, revision, self.clock.boottime_s())


class Network:
    """Two entries of one failure domain; connects them and counts calls to the store.

    While `lost` is true, no announcement arrives. While `down` is true, the reader
    sends no copies.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(100.0)
        self.store = self
        self.lost = self.down = False
        self.store_calls = []
        self.reader = Entry(self, READER, following=False)
        self.follower = Entry(self, FOLLOWER, following=True)
        self.reader.copies.neighbours = lambda: [FOLLOWER]
        self.reader.copies.send = self._announce
        self.reader.hold(records("a", "b"), 5)
        self.follower.hold(records("a", "b"), 5)
        gevent.sleep(0.01)

    def _announce(self, message, host):
        if not self.lost:
            self.follower.copies.handle_announcement(READER, decode(encode(message)))

    def send(self, address, request):
        if self.down:
            return Reply(503)
        try:
            content = self.reader.copies.encode(int(request.path.split("/")[2]))
        except ChunkUnavailableError as error:
            return Reply(error.status)
        return Reply(200, content)

    def watch(self, kind, revision, wait_s):
        self.store_calls.append(revision)
        gevent.sleep(10.0)

    def confirm(self):
        """Let the reader confirm its records to the follower."""
        self.follower.copies.compare(READER, self.reader.mirror.summary)
        gevent.sleep(0.02)

    def run_follower(self):
        """Let the follower's mirror take its next step for a while."""
        task = gevent.spawn(self.follower.mirror.run)
        gevent.sleep(0.3)
        task.kill()


def held(entry):
    return entry.mirror.snapshot()


def test_change_reaches_a_follower_without_a_call_to_the_store():
    """Each change ended a watch at every entry, and each call is billed."""
    network = Network()
    network.reader.hold(records("a", "b", "c", revision=8), 8)
    gevent.sleep(0.02)
    assert held(network.follower) == held(network.reader)
    network.run_follower()
    assert not network.store_calls


def test_lost_announcement_is_made_up_for_by_the_next_confirmation():
    network = Network()
    network.lost = True
    network.reader.hold(records("a", "b", "c", revision=8), 8)
    network.confirm()
    assert held(network.follower) == held(network.reader)


def test_instance_that_is_gone_leaves_the_follower_too():
    """The newest revision of the records that are left does not show it."""
    network = Network()
    network.reader.hold(records("a"), 8)
    gevent.sleep(0.02)
    assert list(held(network.follower)[0]) == ["a"]


def test_follower_watches_the_store_when_its_reader_sends_no_copies():
    network = Network()
    network.down = True
    network.reader.hold(records("a", revision=8), 8)
    gevent.sleep(0.02)
    network.run_follower()
    assert not network.store_calls
    network.clock.advance(OUTDATED_MAX_S)
    network.run_follower()
    assert network.store_calls == [5]


def test_entry_without_a_reader_watches_the_store():
    network = Network()
    network.follower.following = False
    network.run_follower()
    assert network.store_calls == [5]


def test_older_copy_does_not_replace_newer_records():
    network = Network()
    network.follower.hold(records("c", revision=9), 9)
    network.confirm()
    assert held(network.follower) == (records("c", revision=9), 9)


def test_copy_of_a_new_era_replaces_records_of_the_one_before():
    network = Network()
    revision = join_revision(1, 3)
    network.reader.hold(records("a", revision=revision), revision)
    gevent.sleep(0.02)
    assert held(network.follower) == held(network.reader)


def test_changes_from_before_a_copy_are_not_applied_to_it():
    """A watch was answered after a copy that already contained a removal."""
    network = Network()
    follower = network.follower

    def watch(kind, revision, wait_s):
        follower.mirror.replace_if_later(records("a", revision=9), 9, 0.0)
        return [Change(Record("b", 7, {"n": "old"}), removed=False)], 7

    network.watch = watch
    follower.following = False
    follower.mirror._step()
    assert held(follower) == (records("a", revision=9), 9)


@pytest.mark.parametrize("data", [b"", b"x", b"1.0\n", b"1.0\nzzz", b"-1\n", b"nan\n"])
def test_malformed_copy_changes_nothing(data):
    network = Network()
    network.reader.copies.encode = lambda revision: data
    network.reader.hold(records("a", "b", "c", revision=8), 8)
    gevent.sleep(0.02)
    assert held(network.follower) == (records("a", "b"), 5)


def test_follower_announces_nothing():
    """Each entry would have announced each copy to all others."""
    network = Network()
    sent = []
    network.follower.copies.neighbours = lambda: [READER]
    network.follower.copies.send = lambda message, host: sent.append(message)
    network.reader.hold(records("a", revision=8), 8)
    gevent.sleep(0.02)
    assert network.follower.updates == 2
    assert not sent


def test_announcement_with_an_odd_revision_is_refused():
    assert decode(encode(RecordsAnnouncement(7))) == RecordsAnnouncement(7)
    for text in (b'["i",-1]', b'["i","7"]', b'["i"]', b'["i",7.5]'):
        with pytest.raises(Exception, match="can't be decoded"):
            decode(text)
