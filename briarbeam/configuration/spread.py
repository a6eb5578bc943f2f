"""How documents reach every daemon with few calls to the platform.

In each failure domain the first members in rendezvous order watch the platform.
Every daemon exchanges digests with one peer at a time and fetches a body only when
the peer's revision is higher; a daemon that learns something new tells a few peers
at once. When nobody has confirmed a document for a while, the next rank steps in.
"""

import json
import random

import gevent
from prometheus_client import Counter, Gauge

from ..kernel.errors import NetworkError, NotFoundError, PlatformError
from ..kernel.plugin import Plugin, plugins
from ..membership.members import parse_members, rendezvous_order
from ..wire import control_grpc, control_pb2
from .documents import CONFIGURATION, INSTANCES, Documents
from .resources import HEAD_KIND, HEAD_NAME, Configuration

WATCHERS_PER_DOMAIN = 2
PUSH_FANOUT = 3
LIST_INTERVAL_S = 1.0
AGE_MAX_MS = 2**32 - 1

_EXCHANGES = Counter("briarbeam_exchanges", "Digest exchanges", ["result"])
_REVISION = Gauge("briarbeam_document_revision", "Revision in force", ["document"])
_AGE = Gauge("briarbeam_document_age_s", "Seconds since confirmed", ["document"])


@plugins.register("configuration")
class ConfigurationPlugin(Plugin):
    """Keeps this daemon's documents up to date and passes them on."""

    def __init__(self, kernel):
        super().__init__(kernel)
        self.documents = Documents(kernel.clock)
        self.configuration = Configuration()
        self.members = {}
        self._objects = kernel.find("platform").objects
        self._asked = False
        self.documents.subscribe(CONFIGURATION, self._configure)
        self.documents.subscribe(INSTANCES, self._list_members)
        for document in self.documents.all():
            _AGE.labels(document.name).set_function(
                lambda name=document.name: self.documents.confirmed_age_s(name)
            )

    def start(self):
        listen = self.settings.listen
        self.kernel.rpc.serve(listen.control, [ControlService(self.kernel)])
        self._first_read()
        spread = self.settings.spread
        tasks = self.kernel.tasks
        tasks.repeat(self._exchange_once, self._exchange_interval_s, self.clock)
        tasks.repeat(self._watch_once, 0.2, self.clock)
        tasks.repeat(self._list_once, LIST_INTERVAL_S, self.clock)
        self._stale_after_s = spread.stale_after_s

    def ready(self):
        return self._asked and self.documents.get(CONFIGURATION).revision > 0

    def member(self):
        """Return this daemon's own entry in the instance list, or None."""
        return self.members.get(self.settings.instance.name)

    def watches(self, document):
        """Return whether this daemon should ask the platform for `document`."""
        rank = self._rank()
        if rank < WATCHERS_PER_DOMAIN:
            return True
        patience_s = self.settings.spread.stale_after_s * (1 + rank / 4)
        return self.documents.confirmed_age_s(document) > patience_s

    def push(self):
        """Tell a few peers at once about what this daemon holds."""
        for member in self._peers(PUSH_FANOUT):
            self.kernel.tasks.spawn(self.exchange, member)

    def refresh(self):
        """Ask the platform and a few peers at once what is in force.

        :returns: whether any of them answered.
        """
        asked = [gevent.spawn(self.exchange, peer) for peer in self._peers(PUSH_FANOUT)]
        asked.append(gevent.spawn(self._ask_platform))
        try:
            return any(done.value for done in gevent.iwait(asked))
        finally:
            gevent.killall(asked, block=False)

    def exchange(self, member):
        """Exchange digests with `member` and fetch what is newer there.

        :returns: whether it answered.
        """
        message = self.digest_exchange()
        call = self.kernel.rpc.call
        stub = control_grpc.ControlStub
        try:
            reply = call(member.control, stub, "Exchange", message)
            for digest in self.newer_digests(reply):
                request = control_pb2.DocumentRequest(
                    document=digest.document,
                    above_revision=self.documents.get(digest.document).revision,
                )
                found = call(member.control, stub, "Fetch", request)
                self.documents.offer(
                    found.document,
                    found.revision,
                    found.body,
                    digest.confirmed_age_ms / 1000,
                )
        except NetworkError:
            _EXCHANGES.labels("failed").inc()
            return False
        _EXCHANGES.labels("done").inc()
        return True

    def _ask_platform(self):
        try:
            self._read_head()
        except PlatformError:
            return False
        except NotFoundError:
            return True
        return True

    def digest_exchange(self):
        """Return the digests of what this daemon holds."""
        digests = [
            control_pb2.Digest(
                document=document.name,
                revision=document.revision,
                confirmed_age_ms=int(
                    min(
                        self.documents.confirmed_age_s(document.name) * 1000,
                        AGE_MAX_MS,
                    )
                ),
            )
            for document in self.documents.all()
        ]
        return control_pb2.DigestExchange(
            sender=self.settings.instance.name, digests=digests
        )

    def newer_digests(self, exchange):
        """Return the digests in `exchange` that are above what is held.

        Those that equal what is held refresh its confirmation.
        """
        newer = []
        for digest in exchange.digests:
            held = self.documents.get(digest.document)
            if digest.revision > held.revision:
                newer.append(digest)
            self.documents.confirm(
                digest.document, digest.revision, digest.confirmed_age_ms / 1000
            )
        return newer

    def _first_read(self):
        for step in (self._read_list, self._read_head):
            try:
                step()
            except (PlatformError, NotFoundError):
                continue
        for member in self._peers(PUSH_FANOUT):
            self.exchange(member)
        self._asked = True

    def _exchange_interval_s(self):
        return self.settings.spread.exchange_interval_s * random.uniform(0.8, 1.2)

    def _exchange_once(self):
        for member in self._peers(1):
            self.exchange(member)

    def _watch_once(self):
        if not self.watches(CONFIGURATION):
            return
        held = self.documents.get(CONFIGURATION)
        wait_s = self.settings.spread.watch_timeout_s
        if self._rank() >= WATCHERS_PER_DOMAIN:
            wait_s = 0.1
        try:
            self._read_head(wait_s if held.revision else 0)
        except PlatformError as error:
            self.clock.sleep((error.retry_after_s or 1.0) * random.uniform(0.5, 1.5))
        except NotFoundError:
            self.clock.sleep(1.0)

    def _read_head(self, wait_s=0):
        held = self.documents.get(CONFIGURATION)
        if wait_s:
            found = self._objects.watch(HEAD_KIND, HEAD_NAME, held.revision, wait_s)
        else:
            found = self._objects.get(HEAD_KIND, HEAD_NAME)
        if found is None:
            self.documents.confirm(CONFIGURATION, held.revision, 0.0)
            return
        body = json.dumps(found.value).encode()
        self.documents.offer(CONFIGURATION, found.version, body, 0.0)

    def _list_once(self):
        if self.watches(INSTANCES):
            try:
                self._read_list()
            except PlatformError as error:
                pause_s = error.retry_after_s or 1.0
                self.clock.sleep(pause_s * random.uniform(0.5, 1.5))

    def _read_list(self):
        revision, instances = self._objects.instances()
        body = json.dumps({"instances": instances}).encode()
        self.documents.offer(INSTANCES, revision, body, 0.0)

    def _configure(self, document):
        self.configuration = Configuration.from_document(
            document.revision, document.body
        )
        _REVISION.labels(document.name).set(document.revision)
        self.push()

    def _list_members(self, document):
        self.members = parse_members(document.body)
        _REVISION.labels(document.name).set(document.revision)
        self.push()

    def _rank(self):
        instance = self.settings.instance
        names = {
            member.name
            for member in self.members.values()
            if member.failure_domain == instance.failure_domain
        }
        names.add(instance.name)
        return rendezvous_order("watchers", names).index(instance.name)

    def _peers(self, count):
        own = self.settings.instance.name
        others = [member for member in self.members.values() if member.name != own]
        return random.sample(others, min(count, len(others)))


class ControlService(control_grpc.ControlBase):
    """Answers the control calls of peers.

    :param kernel: the `Kernel` whose plug-ins hold the answers.
    """

    def __init__(self, kernel):
        self._kernel = kernel

    async def Exchange(self, stream):
        plugin = self._kernel.find("configuration")
        message = await stream.recv_message()
        newer = plugin.newer_digests(message)
        sender = plugin.members.get(message.sender)
        if newer and sender is not None:
            self._kernel.tasks.spawn(plugin.exchange, sender)
        await stream.send_message(plugin.digest_exchange())

    async def Fetch(self, stream):
        message = await stream.recv_message()
        held = self._kernel.find("configuration").documents.get(message.document)
        await stream.send_message(
            control_pb2.Document(
                document=held.name, revision=held.revision, body=held.body
            )
        )

    async def Held(self, stream):
        message = await stream.recv_message()
        weights = self._kernel.find("weights")
        held, drawing = (
            weights.holdings(message.manifest_digest) if weights else (b"", b"")
        )
        await stream.send_message(control_pb2.Holdings(held=held, drawing=drawing))
