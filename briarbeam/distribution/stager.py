"""The daemon beside an engine: stages the wanted weights and orders their load."""

import random
import time

import gevent
import structlog
from gevent import socket
from gevent.lock import Semaphore
from prometheus_client import Counter, Gauge

from ..kernel.errors import BriarbeamError
from ..kernel.network import Address
from ..platform import engines
from .chunks import fetch_peer_chunk, fetch_peer_manifest
from .copies import Copy, matches
from .errors import ChunkUnavailableError, CorruptChunkError, MalformedDatagramError
from .messages import MAX_BYTES, Greeting, Load, decode, encode
from .peer_server import PeerServer
from .ranking import rank_entries
from .waves import WAVES, choose_strategy

# The engine's own report is free of charge on its machine. Entries fill engines that
# they know too little of: at nine tenths of the capacity, reports every 0.2 s let a
# sixth of the requests meet a full engine, every 0.05 s a fiftieth.
REPORT_INTERVAL_S = 0.05
IDLE_REPORT_INTERVAL_S = 0.1
# With more entries than this each is told less often: a stager's datagrams share the
# link with weights and streams, and their number would grow with the entries.
ENTRIES_AT_FULL_RATE = 9
# Loads of engines that are far from full are told less often, and less often to entries
# elsewhere: datagrams between failure domains are priced. Counted in reports.
NEAR_EVERY, NEAR_IDLE_EVERY = 1, 2
FAR_EVERY, FAR_IDLE_EVERY = 2, 4
ENTRIES_EVERY = 10
# Running and waiting requests from which on an engine is told of as busy.
BUSY_LOAD = 6
ENTRY_EXPIRY_S = 3.0
# Of the machine's link, what chunks for entries nearby may take: at the whole of it the
# median first token of requests there came a tenth of a second later.
SERVE_SHARE = 0.5
LOAD_POLL_S = 0.05
RETRY_PAUSE_S = 0.1
# An entry makes a peer wait for a chunk that is on its way, so failures are real.
FETCH_PAUSE_S = 0.03
AVOID_S = 2.0
# What the entries need to hear that an engine takes no more before it is ordered.
ANNOUNCE_S = 0.03
# About how long an engine takes to end what it runs; the first wave stops taking
# requests so long before its copy is complete.
DRAIN_S = 1.2
# A first wave whose copy comes late takes requests again.
DRAIN_MAX_S = 2.0
# A load that takes longer than this is looked at anew.
LOAD_TIMEOUT_S = 12.0

_FETCHED = Counter(
    "briarbeam_chunks_fetched", "Chunks fetched from entries", ["result"]
)
_STAGED = Counter("briarbeam_chunks_staged", "Chunks put beside the engine")
_ORDERS = Counter("briarbeam_orders", "Orders to the engine", ["result"])
_VERSION = Gauge("briarbeam_engine_version", "Weights that the engine holds")
_log = structlog.get_logger()


class Stager:
    """Follows one engine.

    :param network: the `Network`.
    :param engine: the engine's `Address`, on this machine.
    :param address: where datagrams come in; chunks are served at the same port.
    :param link_bytes_per_s: the rate of this machine's link.
    """

    def __init__(self, network, engine, address, failure_domain, link_bytes_per_s):
        self._network = network
        self._engine = engine
        self._address = address
        self._failure_domain = failure_domain
        self._link_bytes_per_s = link_bytes_per_s
        self._entries = {}
        self._newest_of = {}
        self._greeting = None
        self._greeted_s = 0.0
        self._report = None
        self._serving = Semaphore()
        self._peers = PeerServer(address, self)
        self._loading = False
        self._draining_since_s = None
        self._copies = {}
        self._avoid_until_s = {}
        self._ticks = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def start(self):
        """Bind, and follow the engine in the background."""
        self._sock.bind(tuple(self._address))
        self._peers.start()
        gevent.spawn(self._listen_forever)
        gevent.spawn(self._report_forever)
        gevent.spawn(self._fetch_forever)
        gevent.spawn(self._load_forever)

    # For entries nearby

    def manifest(self, model, version):
        """Refuse: entries ask each other for manifests.

        :raises ChunkUnavailableError: always.
        """
        raise ChunkUnavailableError(f"no manifest of {model}/{version}")

    def chunk(self, model, version, number):
        """Return a staged chunk of the weights that the engine holds, unverified.

        One at a time and with pauses: the events of running requests share the link.

        :raises ChunkUnavailableError: if it is not here.
        """
        report = self._report
        if report is None or report.models.get(model) != version:
            raise ChunkUnavailableError(f"{model}/{version}/{number}")
        self._serving.acquire()
        pause_s = 0.0
        try:
            content = engines.read_staged(self._network, self._engine, model, number)
            if content is None:
                raise ChunkUnavailableError(f"{model}/{version}/{number}")
            pause_s = len(content) / (self._link_bytes_per_s * SERVE_SHARE)
            return content
        finally:
            gevent.spawn_later(pause_s, self._serving.release)

    # Datagrams

    def _listen_forever(self):
        while True:
            try:
                data, _ = self._sock.recvfrom(MAX_BYTES)
                message = decode(data)
            except (OSError, MalformedDatagramError) as error:
                _log.warning("datagram_refused", error=repr(error))
                gevent.sleep(0.01)
                continue
            if isinstance(message, Greeting):
                self._note(message)

    def _note(self, greeting):
        now_s = time.monotonic()
        entry = (greeting.host, greeting.failure_domain)
        if entry not in self._entries:
            _log.info("entry_seen", host=greeting.host)
        self._entries[entry] = now_s
        if greeting.model is None or not greeting.versions:
            return
        newest = greeting.versions[-1][0]
        self._newest_of[greeting.host] = newest
        known = self._greeting.versions[-1][0] if self._greeting else 0
        if newest > known:
            _log.info("version_wanted", model=greeting.model, version=newest)
        if newest > known or greeting.host == self._leader(known):
            self._greeting = greeting
            self._greeted_s = now_s

    def _leader(self, newest):
        """Return the host of the entry whose plan is followed.

        Entries may see different engines, so all stagers follow the same one; entries
        that are cut off and know no newer version don't count.
        """
        hosts = [host for host, _ in self._entries]
        return min((h for h in hosts if self._newest_of.get(h) == newest), default=None)

    def _report_forever(self):
        while True:
            try:
                self._report = engines.fetch_report(self._network, self._engine)
                self._send_load()
            except BriarbeamError as error:
                if self._report is not None:
                    _log.warning("engine_lost", error=str(error))
                self._report = None
            except Exception:
                _log.exception("report_broke")
            gevent.sleep(self._report_interval_s())

    def _report_interval_s(self):
        interval_s = REPORT_INTERVAL_S if self._is_busy() else IDLE_REPORT_INTERVAL_S
        return interval_s * max(1.0, len(self._entries) / ENTRIES_AT_FULL_RATE)

    def _is_busy(self):
        report = self._report
        return report is not None and report.running + report.waiting >= BUSY_LOAD

    def _send_load(self, urgent=False):
        report = self._report
        if report is None:
            return
        self._ticks += 1
        now_s = time.monotonic()
        self._forget_entries(now_s)
        version = self._held(report)
        _VERSION.set(version)
        entries = tuple(self._entries) if self._ticks % ENTRIES_EVERY == 0 else ()
        load = Load(
            report.started_ms, version, not (self._loading or self._drains_early()),
            report.running, report.waiting, report.pace, entries,
        )  # fmt: skip
        data = encode(load)
        busy = self._is_busy()
        near_due = not self._ticks % (NEAR_EVERY if busy else NEAR_IDLE_EVERY)
        far_due = not self._ticks % (FAR_EVERY if busy else FAR_IDLE_EVERY)
        everyone = urgent or bool(entries)
        for host, domain in self._entries:
            near = domain == self._failure_domain
            if everyone or (near_due if near else far_due):
                self._send(data, host)

    def _forget_entries(self, now_s):
        for entry, at_s in list(self._entries.items()):
            if now_s - at_s > ENTRY_EXPIRY_S:
                _log.info("entry_lost", host=entry[0])
                del self._entries[entry]

    def _send(self, data, host):
        try:
            self._sock.sendto(data, (host, self._address.port))
        except OSError as error:
            _log.debug("load_not_sent", host=host, error=repr(error))

    def _held(self, report):
        model = self._greeting.model if self._greeting else None
        if model is None:
            return max(report.models.values(), default=0)
        return report.models.get(model, 0)

    # Copies in memory

    def _fetch_forever(self):
        while True:
            try:
                self._fetch_next()
            except BriarbeamError as error:
                _log.info("fetch_failed", error=str(error))
            except Exception:
                # One odd greeting or report must not end the task for good.
                _log.exception("fetch_broke")
            gevent.sleep(RETRY_PAUSE_S * random.uniform(0.5, 1.0))

    def _fetch_next(self):
        version = self._choose_version()
        if version is None:
            return
        model = self._greeting.model
        copy = self._copies.get(version)
        if copy is None:
            copy = Copy(self._fetch_manifest(model, version))
            self._keep_staged(copy)
            self._copies[version] = copy
        started_s = time.monotonic()
        for number in copy.missing():
            while number not in copy.chunks:
                if self._choose_version() != version:
                    _log.info(
                        "fetch_superseded", version=version, chunks=len(copy.chunks)
                    )
                    return
                self._fetch_chunk(copy, number)
        _log.info(
            "copy_complete",
            version=version,
            elapsed_s=round(time.monotonic() - started_s, 3),
        )

    def _choose_version(self):
        """Return the version to fetch now, or None if all that is wanted is here.

        A version that was named while another is under way replaces it, unless the
        older one would then miss its time.
        """
        report, greeting = self._report, self._greeting
        if report is None or greeting is None:
            return None
        held = self._held(report)
        waiting = [
            (version, self._age_s(version))
            for version, _, _ in greeting.versions
            if version > held and not self._is_complete(version)
        ]
        if not waiting:
            return None
        if len(waiting) == 1 or not held:
            return waiting[-1][0]
        (older, older_age_s), (newest, _) = waiting[-2:]
        left_s = greeting.version_within_s - older_age_s
        return newest if left_s >= self._copy_time_s() or left_s <= 0 else older

    def _age_s(self, version):
        """Return how long ago an entry first heard of `version`, in seconds."""
        ages = {known: age_s for known, age_s, _ in self._greeting.versions}
        return ages.get(version, 0.0) + time.monotonic() - self._greeted_s

    def _updated_share(self, version):
        """Return the share of the engines that hold `version` or a newer one."""
        shares = {known: share for known, _, share in self._greeting.versions}
        return shares.get(version, 0.0)

    def _is_complete(self, version):
        copy = self._copies.get(version)
        return copy is not None and not copy.missing()

    def _copy_time_s(self):
        """Return about how long a whole copy takes over this machine's link."""
        sizes = [copy.size_bytes() for copy in self._copies.values()]
        return max(sizes, default=0) / self._link_bytes_per_s

    def _fetch_manifest(self, model, version):
        return self._from_entries(
            f"{model}/{version}",
            lambda peer: fetch_peer_manifest(self._network, peer, model, version),
        )

    def _keep_staged(self, copy):
        """Take over chunks that lie in the staging area since before a restart."""
        manifest = copy.manifest
        held = engines.list_staged(self._network, self._engine, manifest.model)
        for number in sorted(held):
            content = self._read_staged(manifest, number)
            if not matches(manifest, number, content):
                if not copy.chunks:
                    # Another version lies there: no digest of one equals one of the next.
                    return
                continue
            copy.chunks[number] = content

    def _fetch_chunk(self, copy, number):
        manifest = copy.manifest
        try:
            content = self._from_entries(
                f"{manifest.model}/{manifest.version}",
                lambda peer: fetch_peer_chunk(
                    self._network, peer, manifest.model, manifest.version, number
                ),
            )
            if not matches(manifest, number, content):
                raise CorruptChunkError(f"chunk {number} of {manifest.version}")
        except BriarbeamError as error:
            _FETCHED.labels("failed").inc()
            _log.info("chunk_not_fetched", number=number, error=str(error))
            gevent.sleep(FETCH_PAUSE_S)
            return
        _FETCHED.labels("ok").inc()
        copy.chunks[number] = content

    def _from_entries(self, subject, ask):
        """Return what the first entry in rank gives; entries that fail are asked last."""
        now_s = time.monotonic()
        ranked = rank_entries(self._entries, self._failure_domain, subject)
        ranked += [host for host, _ in self._entries if host not in ranked]
        if not ranked:
            raise ChunkUnavailableError("no entry is known")
        ranked.sort(key=lambda host: self._avoid_until_s.get(host, 0.0) > now_s)
        host = ranked[0]
        try:
            return ask(Address(host, self._address.port))
        except ChunkUnavailableError:
            raise
        except BriarbeamError:
            self._avoid_until_s[host] = now_s + AVOID_S
            raise

    # Loads

    def _load_forever(self):
        while True:
            try:
                self._load_next()
            except BriarbeamError as error:
                _log.info("load_failed", error=str(error))
            except Exception:
                _log.exception("load_broke")
            self._loading = False
            gevent.sleep(LOAD_POLL_S)

    def _load_next(self):
        report, greeting = self._report, self._greeting
        if report is None or greeting is None or report.busy:
            return
        held = self._held(report)
        version = max((v for v in self._copies if self._is_complete(v)), default=0)
        if version <= held:
            self._forget_older(held)
            return
        copy = self._copies[version]
        strategy = "queue"
        if held:
            share = self._updated_share(version)
            strategy = choose_strategy(greeting, self._age_s(version), share)
        if strategy is None:
            return
        self._stage(copy)
        self._load(copy.manifest, strategy)

    def _forget_older(self, held):
        for version in [v for v in self._copies if v < held]:
            del self._copies[version]

    def _drains_early(self):
        """Return whether this engine stops taking requests for a copy that is coming."""
        greeting = self._greeting
        if greeting is None or greeting.wave != 0 or greeting.wave_count < WAVES:
            return False
        coming = [c for c in self._copies.values() if c.missing()]
        if not coming or not self._held(self._report):
            return False
        if coming[-1].eta_s() > DRAIN_S:
            self._draining_since_s = None
            return False
        if self._draining_since_s is None:
            self._draining_since_s = time.monotonic()
            _log.info("drain_begun", version=coming[-1].manifest.version)
        return time.monotonic() - self._draining_since_s < DRAIN_MAX_S

    def _stage(self, copy):
        """Make the staging area hold `copy`; the engine does not check what it loads."""
        manifest = copy.manifest
        held = engines.list_staged(self._network, self._engine, manifest.model)
        written = 0
        for number, content in sorted(copy.chunks.items()):
            if number in held and self._read_staged(manifest, number) == content:
                continue
            engines.write_staged(
                self._network, self._engine, manifest.model, number, content
            )
            written += 1
        _STAGED.inc(written)
        _log.info("staged", version=manifest.version, written=written)

    def _read_staged(self, manifest, number):
        return engines.read_staged(self._network, self._engine, manifest.model, number)

    def _load(self, manifest, strategy):
        report = engines.fetch_report(self._network, self._engine)
        self._report, self._loading = report, True
        self._send_load(urgent=True)
        gevent.sleep(ANNOUNCE_S)
        self._send_load(urgent=True)
        ordered_s = time.monotonic()
        result = engines.order_load(
            self._network,
            self._engine,
            manifest.model,
            manifest.version,
            report.orders,
            strategy,
        )
        _ORDERS.labels(result.value).inc()
        _log.info(
            "load_ordered",
            model=manifest.model,
            version=manifest.version,
            held=self._held(report),
            orders=report.orders,
            running=report.running,
            age_s=round(self._age_s(manifest.version), 3),
            strategy=strategy,
            result=result.value,
        )
        if result is not engines.OrderResult.REFUSED:
            self._await_load(manifest, report, ordered_s)

    def _await_load(self, manifest, before, ordered_s):
        while time.monotonic() < ordered_s + LOAD_TIMEOUT_S:
            gevent.sleep(0.05)
            report = engines.fetch_report(self._network, self._engine)
            self._report = report
            if report.started_ms != before.started_ms:
                _log.warning("engine_restarted", version=manifest.version)
                return
            if (
                report.models.get(manifest.model) == manifest.version
                and not report.busy
            ):
                self._loading = False
                self._send_load(urgent=True)
                _log.info(
                    "load_ended",
                    version=manifest.version,
                    elapsed_s=round(time.monotonic() - ordered_s, 3),
                )
                return
        _log.warning("load_timed_out", version=manifest.version)
