"""The daemon on an engine's machine: fetches, stages and loads the wanted weights."""

import dataclasses
import random
import time

import gevent
import structlog
from gevent import socket
from gevent.lock import Semaphore
from prometheus_client import Gauge

from ..kernel.errors import BriarbeamError
from ..kernel.pause import PauseDetector
from ..placement.rolling_update import DRAIN_MAX_S, DRAIN_S, Step
from ..platform import engines
from ..relay.era_age import EraAge
from .copies import Copy
from .datagram_sender import DatagramSender
from .engine_orders import EngineOrders
from .errors import (
    ChunkUnavailableError,
    CorruptChunkError,
    MalformedDatagramError,
)
from .fetch_order import FetchOrder
from .fetcher import ChunkFetcher
from .grant_server import GrantServer
from .load_proof import LoadProof
from .messages import MAX_BYTES, GrantRequest, Greeting, decode, encode
from .namings import NamingHistory
from .overdue import OverdueDetector
from .peer_server import PeerServer
from .reporter import LoadReporter
from .roster import Roster
from .staging_area import StagingArea
from .state_announcer import StateAnnouncer
from .turns import TurnFollower
from .waves import WAVES_MAX, choose_strategy

# The share of the machine's link that chunks served to entries may use. When they used
# all of it, the median time to the first token of the engine's requests rose by a tenth
# of a second.
SERVE_LINK_SHARE = 0.5
# How often the stager checks whether a version can be loaded.
LOAD_POLL_S = 0.05
RETRY_PAUSE_S = 0.1
# Delay before a manifest is requested again; chunks of another version may be fetched
# meanwhile.
MANIFEST_RETRY_S = 0.3
# The first delay. An entry that has just started gets its manifest within a fraction of
# a second, and an engine without weights serves nothing meanwhile.
MANIFEST_RETRY_MIN_S = 0.05
# Pause after a failed fetch, or while all missing chunks have to wait. It is short, as
# an entry that is still downloading a chunk waits for it before it answers.
FETCH_PAUSE_S = 0.03

_VERSION = Gauge("briarbeam_engine_version", "Weights that the engine holds")
_log = structlog.get_logger()


class Stager:
    """Keeps the weights of one engine current and reports its load to entries.

    :param network: the `Network`.
    :param clock: the `Clock`.
    :param engine: the engine's `Address`, on this machine.
    :param address: where to receive datagrams; chunks are served at the same port.
    :param failure_domain: the failure domain of this machine.
    :param link_bytes_per_s: the rate of this machine's link.
    :param load_control: whether the turns of busy engines are followed.
    """

    def __init__(
        self,
        network,
        clock,
        engine,
        address,
        failure_domain,
        link_bytes_per_s,
        load_control=False,
    ):
        self._network = network
        self._engine = engine
        self._address = address
        self._failure_domain = failure_domain
        self._link_bytes_per_s = link_bytes_per_s
        self._roster = Roster(time.monotonic)
        self._reporter = LoadReporter(
            lambda data, host: self._send(data, host), self._roster, failure_domain
        )
        self._newest_by_host = {}
        self._state_announcer = StateAnnouncer(
            self._roster,
            failure_domain,
            lambda message, host: self._send(encode(message), host),
            EraAge(clock),
        )
        self._grant_server = GrantServer(
            clock,
            lambda data, host: self._send(data, host),
            self._accepts,
            self._drain_left_s,
        )
        self._greeting = None
        self._clock = clock
        self._copies = {}
        self._namings = NamingHistory(clock)
        self._turns = (
            TurnFollower(clock, self._namings, self._copies) if load_control else None
        )
        self._fetch_order = FetchOrder(clock, self._namings, link_bytes_per_s)
        self._pause_detector = PauseDetector(clock)
        self._overdue_detector = OverdueDetector(self._namings)
        self._manifest_retry_at_s = {}
        self._manifest_delay_s = {}
        self._report = None
        self._reports_requested = self._report_number = 0
        self._serve_lock = Semaphore()
        self._peer_server = PeerServer(address, self)
        self._draining_since_s = None
        self._staging_area = StagingArea(network, clock, engine)
        self._load_proof = LoadProof(self._staging_area)
        self._orders = EngineOrders(
            network,
            engine,
            self._staging_area,
            self._load_proof,
            self._fetch_report,
            self._announce_load,
        )
        self._fetcher = ChunkFetcher(
            network, self._roster, failure_domain, address.port
        )
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sender = DatagramSender(self._sock, address.port)

    def start(self):
        """Bind the sockets and start the background tasks."""
        self._sock.bind(tuple(self._address))
        self._peer_server.start()
        gevent.spawn(self._listen_forever)
        gevent.spawn(self._pause_detector.run)
        gevent.spawn(self._report_forever)
        gevent.spawn(self._fetch_forever)
        gevent.spawn(self._load_weights_forever)

    # Serving entries of the failure domain

    def get_manifest(self, model, version):
        """Refuse, as entries get manifests from each other.

        :raises ChunkUnavailableError: always.
        """
        raise ChunkUnavailableError(f"stagers serve no manifest of {model}/{version}")

    def get_chunk(self, model, version, number):
        """Return the unverified bytes of a staged chunk of the engine's weights.

        Chunks are served one at a time and with pauses, because the answers to running
        requests share the link.

        :raises ChunkUnavailableError: if the engine holds another version or has sent
            no report, or if the chunk is not staged.
        """
        report = self._report
        if report is None or report.models.get(model) != version:
            raise ChunkUnavailableError(
                f"chunk {model}/{version}/{number}: "
                "the engine is not known to hold that version"
            )
        self._serve_lock.acquire()
        pause_s = 0.0
        try:
            content = engines.read_staged(self._network, self._engine, model, number)
            if content is None:
                raise ChunkUnavailableError(
                    f"chunk {model}/{version}/{number} is not staged"
                )
            pause_s = len(content) / (self._link_bytes_per_s * SERVE_LINK_SHARE)
            return content
        finally:
            gevent.spawn_later(pause_s, self._serve_lock.release)

    # Datagrams

    def _listen_forever(self):
        while True:
            try:
                data, (host, _) = self._sock.recvfrom(MAX_BYTES)
                message = decode(data)
            except (OSError, MalformedDatagramError) as error:
                _log.warning("datagram_refused", error=repr(error))
                gevent.sleep(0.01)
                continue
            try:
                if isinstance(message, Greeting):
                    self._handle_greeting(message)
                elif isinstance(message, GrantRequest):
                    self._grant_server.answer(message, host)
            except Exception:
                # A message that can't be applied must not end this task.
                _log.exception("datagram_broke")

    def _handle_greeting(self, greeting):
        is_new = self._roster.record_greeting(
            greeting.host, greeting.failure_domain, greeting.silent_forwarder
        )
        # A greeting that waited while this process was paused is older than it states.
        may_be_late = self._pause_detector.max_read_delay_s() > 0
        for version, age_s, _, certain in greeting.versions:
            self._namings.record(version, age_s, certain and not may_be_late)
        self._state_announcer.handle_greeting(greeting)
        if greeting.proven_load:
            self._load_proof.record_vouched(tuple(greeting.proven_load))
        if greeting.unproven_load:
            self._load_proof.record_unproven(tuple(greeting.unproven_load))
        namings = self._namings.describe_certain()
        if self._report is not None and is_new:
            self._reporter.send_entries(*self._current_load(), greeting.host)
        if self._report is not None and self._lacks_namings(greeting, namings):
            self._reporter.send_namings(*self._current_load(), greeting.host, namings)
        if greeting.model is None or not greeting.versions:
            return
        newest = greeting.versions[-1][0]
        self._newest_by_host[greeting.host] = newest
        known = self._greeting.versions[-1][0] if self._greeting else 0
        if newest > known:
            _log.info("version_wanted", model=greeting.model, version=newest)
        if newest > known or greeting.host == self._find_leader(known):
            self._greeting = greeting

    def _lacks_namings(self, greeting, namings):
        """Return whether the sender of the greeting lacks some of `namings`."""
        known = NamingHistory(self._clock)
        for version, age_s, _, certain in greeting.versions:
            known.record(version, age_s, certain)
        return known.lacks(namings)

    def _find_leader(self, newest):
        """Return the host of the entry whose plan of waves is followed, or None.

        Entries may know different engines, so all stagers follow the plan of the same
        entry. Entries that don't know the version `newest`, for example because they
        are partitioned, are left out.
        """
        # Only some entries, among them the forwarders, greet stagers of other failure
        # domains. Forwarders are preferred, as all stagers know them.
        for entries in (self._roster.forwarders(), self._roster):
            hosts = [h for h, _ in entries if self._newest_by_host.get(h) == newest]
            if hosts:
                return min(hosts)
        return None

    def _report_forever(self):
        while True:
            try:
                self._fetch_report()
                load = self._current_load()
                _VERSION.set(load[1])
                if self._greeting is not None:
                    within_s = self._greeting.version_within_s
                    self._overdue_detector.observe(self._report, load[1], within_s)
                self._reporter.send_load(*load)
            except BriarbeamError as error:
                if self._report is not None:
                    _log.warning("engine_lost", error=str(error))
                self._report = None
            except Exception:
                _log.exception("report_broke")
            gevent.sleep(self._reporter.interval_s(self._report))

    def _fetch_report(self):
        """Return a fresh `EngineReport` and apply it.

        If a report that was requested later has arrived meanwhile, that one is returned.
        """
        self._reports_requested += 1
        number = self._reports_requested
        writes_ended = self._staging_area.writes_ended
        report = engines.fetch_report(self._network, self._engine)
        if number < self._report_number and self._report is not None:
            return self._report
        self._report, self._report_number = report, number
        self._grant_server.observe(report)
        self._load_proof.observe(report, writes_ended)
        return report

    def _current_load(self):
        """Return the engine's report, its version, and whether it accepts requests."""
        report, accepts = self._report, self._accepts()
        version = self._held_version(report)
        if not accepts and self._load_proof.was_found(report):
            # Entries would repeat it as a doubt that the process before had.
            report = dataclasses.replace(report, accepted_orders=0)
        return report, version, accepts

    def _accepts(self):
        """Return whether the engine can be reached, is whole and accepts requests."""
        report = self._report
        return report is not None and not (
            self._orders.is_loading
            or self._load_proof.is_open(report)
            or self._drains()
        )

    def _announce_load(self):
        if self._report is not None:
            self._reporter.send_load_to_all(*self._current_load())

    def _send(self, data, host):
        self._sender.send(data, host)

    def _held_version(self, report):
        """Return the version of the weights that the engine holds, 0 for none.

        That is the version of the model in the last greeting, or the highest one of any
        model while no greeting has named a model.
        """
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
                gevent.sleep(RETRY_PAUSE_S)
            except Exception:
                # A single unexpected greeting or report must not end this task.
                _log.exception("fetch_broke")
                gevent.sleep(RETRY_PAUSE_S)

    def _fetch_next(self):
        """Fetch one chunk, or pause if there is nothing to fetch."""
        versions = self._rank_versions()
        copies = [copy for copy in map(self._open_copy, versions) if copy is not None]
        copies.sort(key=lambda copy: copy.is_backing_off())
        for copy in copies:
            number = copy.next_number()
            if number is not None:
                self._fetch_chunk(copy, number)
                return
        gevent.sleep(
            (FETCH_PAUSE_S if copies else RETRY_PAUSE_S) * random.uniform(0.5, 1)
        )

    def _open_copy(self, version):
        """Return the `Copy` of a version; start one if there is none yet.

        :returns: None while the manifest can't be fetched.
        """
        copy = self._copies.get(version)
        if copy is None:
            if time.monotonic() < self._manifest_retry_at_s.get(version, 0.0):
                return None
            try:
                manifest = self._fetcher.fetch_manifest(self._greeting.model, version)
            except BriarbeamError as error:
                _log.info("manifest_not_fetched", version=version, error=str(error))
                self._defer_manifest(version)
                return None
            copy = self._copies[version] = Copy(manifest)
            self._staging_area.reuse(copy)
        return copy

    def _defer_manifest(self, version):
        """Delay the next request for a manifest, twice as long as the last time."""
        delay_s = self._manifest_delay_s.get(version, MANIFEST_RETRY_MIN_S)
        self._manifest_delay_s[version] = min(MANIFEST_RETRY_S, 2 * delay_s)
        self._manifest_retry_at_s[version] = time.monotonic() + delay_s

    def _rank_versions(self):
        """Return the versions to fetch, the most urgent one first."""
        report, greeting = self._report, self._greeting
        if report is None or greeting is None:
            return []
        held = self._held_version(report)
        ranked = self._fetch_order.rank(greeting, held, self._copies)
        if not self._load_proof.is_proven(report) and held not in self._copies:
            # The chunks of a load that is not proven are compared with its manifest.
            return [held, *ranked]
        return ranked

    def _updated_share(self, version):
        """Return the share of the engines that hold `version` or a newer one."""
        shares = {known: share for known, _, share, _ in self._greeting.versions}
        return shares.get(version, 0.0)

    def _is_complete(self, version):
        copy = self._copies.get(version)
        return copy is not None and not copy.missing()

    def _fetch_chunk(self, copy, number):
        try:
            content = self._fetcher.fetch_chunk(copy.digests, number)
        except ChunkUnavailableError as error:
            copy.record_miss(number)
            _log.info("chunk_not_fetched", number=number, error=str(error))
            return
        except CorruptChunkError as error:
            copy.record_mismatch(number)
            _log.info("chunk_not_fetched", number=number, error=str(error))
            return
        except BriarbeamError as error:
            _log.info("chunk_not_fetched", number=number, error=str(error))
            gevent.sleep(FETCH_PAUSE_S)
            return
        copy.add(number, content)
        if not copy.missing():
            _log.info(
                "copy_complete",
                version=copy.manifest.version,
                elapsed_s=round(copy.age_s(), 3),
            )

    # Loading weights

    def _load_weights_forever(self):
        while True:
            try:
                self._load_newest()
            except BriarbeamError as error:
                _log.info("load_failed", error=str(error))
            except Exception:
                _log.exception("load_broke")
            self._orders.is_loading = False
            gevent.sleep(LOAD_POLL_S)

    def _load_newest(self):
        """Stage and load the newest complete version, if the engine's wave may load.

        Copies that are older than the engine's weights are discarded instead if there
        is no newer one.
        """
        report, greeting = self._report, self._greeting
        if report is None or greeting is None:
            return
        if report.busy:
            return
        held = self._held_version(report)
        if not self._load_proof.is_proven(report) and held in self._copies:
            self._load_proof.decide(report, self._copies[held])
        is_doubtful = self._load_proof.is_doubtful(report)
        version = max((v for v in self._copies if self._is_complete(v)), default=0)
        if version <= held and is_doubtful:
            self._orders.unload(greeting.model, held, report)
        if version <= held:
            self._discard_older(held)
            return
        strategy = "preempt" if is_doubtful else "queue"
        # An order that may still be accepted is repeated, so that its outcome is known.
        if self._follows_turn(report):
            version, strategy = self._turns.choose_order(greeting, held, report.running)
        elif held and not self._load_proof.is_open(report):
            share = self._updated_share(version)
            strategy = choose_strategy(greeting, self._namings.age_s(version), share)
        if strategy is None:
            return
        copy = self._copies[version]
        self._orders.load(copy, strategy, report, self._namings.age_s(version))

    def _discard_older(self, held):
        for version in [v for v in self._copies if v < held]:
            del self._copies[version]

    def _follows_turn(self, report):
        """Return whether the engine changes weights in its turn instead of its wave."""
        return (
            self._turns is not None
            and self._greeting is not None
            and bool(self._greeting.turn)
            and self._held_version(report) > 0
            and not self._load_proof.is_open(report)
        )

    def _drains(self):
        """Return whether the engine takes no requests, as it is about to load."""
        report = self._report
        if not self._follows_turn(report):
            return self._drains_early()
        held = self._held_version(report)
        return self._turns.choose(self._greeting, held, report.running).is_closed

    def _drain_left_s(self):
        """Return how long the engine may run requests that it takes while it drains.

        :returns: None if it may take none.
        """
        report = self._report
        if (
            report is None
            or report.busy
            or self._orders.is_loading
            or self._load_proof.is_open(report)
            or not self._follows_turn(report)
        ):
            return None
        choice = self._turns.choose(
            self._greeting, self._held_version(report), report.running
        )
        return choice.left_s if choice.step is Step.DRAIN else None

    def _drains_early(self):
        """Return whether the engine drains although its copy is still incomplete.

        Records when this begins, as it lasts for `DRAIN_MAX_S` at most.
        """
        greeting = self._greeting
        if greeting is None or greeting.wave != 0 or greeting.wave_count < WAVES_MAX:
            return False
        incomplete = [c for c in self._copies.values() if c.missing()]
        if not incomplete or not self._held_version(self._report):
            return False
        if incomplete[-1].eta_s() > DRAIN_S:
            self._draining_since_s = None
            return False
        if self._draining_since_s is None:
            self._draining_since_s = time.monotonic()
            _log.info("drain_begun", version=incomplete[-1].manifest.version)
        return time.monotonic() - self._draining_since_s < DRAIN_MAX_S
