"""Gossip of documents, which reaches every daemon with few calls to the platform.

Every daemon exchanges digests with one peer at a time. The caller then fetches each
document that is newer at the peer, and sends each document that is older there. Updates
therefore also pass between two daemons if only one of them can connect to the other. A
daemon that received an update exchanges digests with a few peers immediately.
"""

import random

import gevent
import structlog
from gevent.event import Event
from prometheus_client import Counter, Gauge

from ..kernel.errors import NetworkError, NotFoundError, PlatformError
from ..kernel.plugin import Plugin, plugins
from ..membership.view import Membership
from ..wire import control_grpc, control_pb2
from .documents import CONFIGURATION, INSTANCES, Documents
from .resources import Configuration
from .watcher import WATCHERS_PER_DOMAIN, Watcher

PUSH_PEERS_OWN_DOMAIN = 2
PUSH_PEERS_OTHER_DOMAINS = 1
PEER_TRIES_MAX = 4
SYNC_PEERS_OWN_DOMAIN = 3
SYNC_PEERS_OTHER_DOMAINS = 3
SYNC_ANSWERS_MIN = 2
SYNC_TIMEOUT_S = 15.0
SYNC_INTERVAL_S = 0.5
OTHER_DOMAIN_EVERY = 4
STANDBYS = 2
EXCHANGE_TIMEOUT_S = 1.0
AGE_MAX_MS = 2**32 - 1

_EXCHANGES = Counter("briarbeam_exchanges", "Digest exchanges", ["result"])
_REVISION = Gauge("briarbeam_document_revision", "Revision in force", ["document"])
_AGE = Gauge("briarbeam_document_age_s", "Seconds since confirmed", ["document"])
_log = structlog.get_logger()


@plugins.register("configuration")
class ConfigurationPlugin(Plugin):
    """Keeps this daemon's documents up to date and gossips them to peers.

    Its `synced` is true once enough sources answered after the start; see `sync_once`.
    """

    def __init__(self, kernel):
        super().__init__(kernel)
        self.documents = Documents(kernel.clock)
        self.membership = Membership(
            kernel.clock, self.settings.instance, self.settings.role
        )
        self.configuration = Configuration()
        self.watcher = Watcher(
            kernel.find("platform").objects,
            self.documents,
            self.membership,
            kernel.clock,
            self.settings.spread,
        )
        self.synced = False
        self._started_at_s = kernel.clock.monotonic_s()
        self._rounds = 0
        self._exchanging = set()
        self._changed = Event()
        self.documents.subscribe(CONFIGURATION, self._on_configuration)
        self.documents.subscribe(INSTANCES, self._on_instances)
        for document in self.documents.all():
            _AGE.labels(document.name).set_function(
                lambda name=document.name: self.documents.confirmed_age_s(name)
            )

    @property
    def members(self):
        """The listed members by name."""
        return self.membership.members

    def start(self):
        listen = self.settings.listen
        self.kernel.rpc.serve(listen.control, [ControlService(self.kernel)])
        self.sync_once()
        tasks = self.kernel.tasks
        tasks.spawn(self._sync_until_done)
        tasks.repeat(self.exchange_once, self._exchange_interval_s, self.clock)

    def ready(self):
        return self.synced and self.documents.get(CONFIGURATION).revision > 0

    def member(self):
        """Return this daemon's own entry in the instance list, or None."""
        return self.members.get(self.settings.instance.name)

    def apply_head(self, head):
        """Apply a change that the platform accepted and push it to peers.

        :param head: the `Head` that the platform stored.
        """
        self.documents.offer(CONFIGURATION, head.revision, head.body(), 0.0)

    def wait_above(self, revision, wait_s):
        """Return the configuration once its revision is above `revision`.

        Return None if that takes longer than `wait_s`.
        """
        deadline_s = self.clock.monotonic_s() + wait_s
        while self.configuration.revision <= revision:
            remaining_s = deadline_s - self.clock.monotonic_s()
            if remaining_s <= 0:
                return None
            self._changed.wait(remaining_s)
        return self.configuration

    def push(self):
        """Exchange digests with a few peers now, without waiting for the interval."""
        for member in self.membership.choose_peers(
            PUSH_PEERS_OWN_DOMAIN, PUSH_PEERS_OTHER_DOMAINS
        ):
            self.kernel.tasks.spawn(self._exchange_with_fallback, member)

    def refresh(self):
        """Read documents from the platform and a few peers concurrently.

        :returns: True as soon as one of them answered, or False if none did.
        """
        requests = [gevent.spawn(self.exchange, *peer) for peer in self._sync_peers()]
        requests.append(gevent.spawn(self._read_platform_documents))
        try:
            return any(done.value for done in gevent.iwait(requests))
        finally:
            gevent.killall(requests, block=False)

    def exchange_once(self):
        """Start an exchange with one peer in a new task, unless one is in progress."""
        member = self._next_peer()
        if member is None or member.name in self._exchanging:
            return
        self.kernel.tasks.spawn(self._exchange_exclusively, member)

    def exchange(self, name, address):
        """Exchange digests with a peer and update the side with the older revision.

        :returns: the name that the peer gave in its answer, or "" if it did not answer.
        """
        try:
            reply = self._call(address, "Exchange", self.digest_exchange())
            for digest in reply.digests:
                self._sync_document(address, digest)
        except NetworkError:
            _EXCHANGES.labels("failed").inc()
            self.membership.record_failure(name)
            return ""
        _EXCHANGES.labels("done").inc()
        self.membership.record_success(name)
        return reply.sender

    def digest_exchange(self):
        """Return the message with the digests of this daemon's documents."""
        digests = [self._digest(document) for document in self.documents.all()]
        return control_pb2.DigestExchange(
            sender=self.settings.instance.name, digests=digests
        )

    def handle_digests(self, exchange):
        """Record the digests that a peer sent."""
        self.membership.record_contact(exchange.sender)
        for digest in exchange.digests:
            self._confirm(digest)

    def document_message(self, name):
        """Return the message that carries a complete document."""
        document = self.documents.get(name)
        return control_pb2.Document(
            document=name,
            revision=document.revision,
            body=document.compressed_body(),
            confirmed_age_ms=self._age_ms(name),
        )

    def receive_document(self, message):
        """Accept a complete document from a peer if it is newer."""
        self.documents.offer_compressed(
            message.document,
            message.revision,
            message.body,
            message.confirmed_age_ms / 1000,
        )

    def sync_once(self):
        """Read the instance list, then exchange with several peers, then read the head.

        The newest revisions are kept. A daemon is synced once `SYNC_ANSWERS_MIN` peers
        answered. The revision of a single peer or of the platform may be stale (a
        restored platform lacks the newest changes), so on its own it is enough only
        after `SYNC_TIMEOUT_S`, or if there are no other peers to ask.
        """
        list_was_read = self._try_read(self.watcher.read_instance_list)
        answered = set()
        peers = self._sync_peers()
        tasks = [
            self.kernel.tasks.spawn(self._ask_peer, answered, *peer) for peer in peers
        ]
        for task in tasks:
            task.join()
        # The bootstrap peers may include this daemon's own address under another port.
        other_count = len(peers) - (self.settings.instance.name in answered)
        answered -= {"", self.settings.instance.name}
        waited_s = self.clock.monotonic_s() - self._started_at_s
        needed = 1 if waited_s > SYNC_TIMEOUT_S else SYNC_ANSWERS_MIN
        enough_answered = len(answered) >= needed
        timed_out = waited_s > SYNC_TIMEOUT_S
        if not (enough_answered or timed_out or len(answered) >= other_count):
            # A site that starts for the first time has no configuration yet, so it need
            # not wait for its peers.
            self.synced = list_was_read and self.watcher.nothing_declared()
            return
        head_was_read = list_was_read and self._try_read(self.watcher.read_head)
        self.synced = enough_answered or head_was_read

    def _sync_until_done(self):
        while not self.synced:
            self.clock.sleep(SYNC_INTERVAL_S * random.uniform(0.5, 1.5))
            self.sync_once()
        _log.info("settled", revision=self.configuration.revision)
        # A watch may return a stale revision, so it starts only after the first sync.
        self.watcher.start(self.kernel.tasks)

    def _read_platform_documents(self):
        """Read all documents and return whether the platform answered the last read."""
        answered = [
            self._try_read(read)
            for read in (self.watcher.read_instance_list, self.watcher.read_head)
        ]
        return answered[-1]

    def _try_read(self, read):
        """Call `read` and return whether the platform answered it."""
        try:
            read()
        except NotFoundError:
            return True
        except PlatformError as error:
            _log.info("platform_not_read", error=str(error))
            return False
        return True

    def _ask_peer(self, answered, name, address):
        answered.add(self.exchange(name, address))

    def _sync_peers(self):
        """Return names and addresses of neighbours and bootstrap peers to ask."""
        chosen = self.membership.choose_peers(
            SYNC_PEERS_OWN_DOMAIN, SYNC_PEERS_OTHER_DOMAINS
        )
        peers = {member.control: member.name for member in chosen}
        for address in self.settings.spread.bootstrap_peers:
            peers.setdefault(address, str(address))
        peers.pop(self.settings.listen.control, None)
        return [(name, address) for address, name in peers.items()]

    def _next_peer(self):
        """Return the next peer to exchange with, or None.

        Every second time, the first standbys exchange with a watcher of their failure
        domain. Otherwise, every `OTHER_DOMAIN_EVERY`-th peer is in another domain.
        """
        self._rounds += 1
        standby_rank = self.membership.rank - WATCHERS_PER_DOMAIN
        if 0 <= standby_rank < STANDBYS and self._rounds % 2:
            watchers = self.membership.active_watchers(WATCHERS_PER_DOMAIN)
            watchers = [w for w in watchers if not self.membership.is_suspected(w.name)]
            if watchers:
                return random.choice(watchers)
        in_other_domain = self._rounds % OTHER_DOMAIN_EVERY == 0
        return next(
            iter(
                self.membership.choose_peers(
                    int(not in_other_domain), int(in_other_domain)
                )
            ),
            None,
        )

    def _exchange_exclusively(self, member):
        """Exchange with a peer; no other periodic exchange with it starts meanwhile."""
        self._exchanging.add(member.name)
        try:
            self._exchange_with_fallback(member)
        finally:
            self._exchanging.discard(member.name)

    def _exchange_with_fallback(self, member):
        """Exchange with a peer, or with a replacement if it does not answer.

        At most `PEER_TRIES_MAX` peers are tried.
        """
        for _ in range(PEER_TRIES_MAX):
            if member is None or self.exchange(member.name, member.control):
                return
            member = self.membership.choose_replacement(member)

    def _sync_document(self, address, digest):
        if digest.document not in self.documents:
            return
        document = self.documents.get(digest.document)
        if digest.revision > document.revision:
            request = control_pb2.DocumentRequest(
                document=document.name, above_revision=document.revision
            )
            self.receive_document(self._call(address, "Fetch", request))
        elif digest.revision < document.revision:
            self._call(address, "Offer", self.document_message(document.name))
        self._confirm(digest)

    def _call(self, address, method, message):
        stub = control_grpc.ControlStub
        return self.kernel.rpc.call(
            address, stub, method, message, timeout_s=EXCHANGE_TIMEOUT_S
        )

    def _digest(self, document):
        return control_pb2.Digest(
            document=document.name,
            revision=document.revision,
            confirmed_age_ms=self._age_ms(document.name),
        )

    def _confirm(self, digest):
        age_s = digest.confirmed_age_ms / 1000
        self.documents.confirm(digest.document, digest.revision, age_s)

    def _age_ms(self, name):
        age_ms = self.documents.confirmed_age_s(name) * 1000
        return int(min(age_ms, AGE_MAX_MS))

    def _exchange_interval_s(self):
        return self.settings.spread.exchange_interval_s * random.uniform(0.8, 1.2)

    def _on_configuration(self, document):
        self.configuration = document.value
        _REVISION.labels(document.name).set(document.revision)
        self._changed.set()
        self._changed.clear()
        self.push()

    def _on_instances(self, document):
        self.membership.update(document.value)
        _REVISION.labels(document.name).set(document.revision)
        self.push()


class ControlService(control_grpc.ControlBase):
    """Answers the control calls of peers.

    :param kernel: the `Kernel` whose plug-ins provide the answers.
    """

    def __init__(self, kernel):
        self._kernel = kernel

    async def Exchange(self, stream):
        plugin = self._kernel.find("configuration")
        plugin.handle_digests(await stream.recv_message())
        await stream.send_message(plugin.digest_exchange())

    async def Fetch(self, stream):
        message = await stream.recv_message()
        plugin = self._kernel.find("configuration")
        await stream.send_message(plugin.document_message(message.document))

    async def Offer(self, stream):
        message = await stream.recv_message()
        plugin = self._kernel.find("configuration")
        plugin.receive_document(message)
        document = plugin.documents.get(message.document)
        await stream.send_message(
            control_pb2.Digest(document=document.name, revision=document.revision)
        )

    async def Held(self, stream):
        message = await stream.recv_message()
        weights = self._kernel.find("weights")
        held, drawing = (
            weights.holdings(message.manifest_digest) if weights else (b"", b"")
        )
        await stream.send_message(control_pb2.Holdings(held=held, drawing=drawing))
