"""The role ``entry``: receives requests from the load balancer and answers them."""

import collections
import math
import random

import gevent
import structlog
from prometheus_client import Gauge

from ..catalog import CallerLimits
from ..distribution.chunks import ChunkCache
from ..distribution.exchange import EntryExchange
from ..distribution.grant_client import GrantClient
from ..distribution.peer_server import PeerServer
from ..distribution.waves import plan_turn, plan_wave, updated_share
from ..kernel.pause import PauseDetector
from ..node import roles
from ..placement.rolling_update import TurnPlan
from ..platform import records
from ..platform.store import StoreClient
from ..telemetry.request_log import RequestLog
from .admission import SUPERSEDED_STATE_MAX_S, Admission, find_team_name
from .crash_evidence import CrashEvidence
from .crash_guard import CrashGuard
from .delivery import Delivery
from .dispatch import Dispatcher
from .era_age import EraAge
from .evacuations import Evacuations
from .first_read import FirstRead
from .fleet import REWIND_MEMORY_S, Fleet
from .follower import StoreFollower
from .hold import HoldingPlaceFinder
from .limits import RetryBudget
from .memory_budget import HeldMemory
from .mirror import Mirror
from .places import PlaceFinder
from .process_watch import ProcessWatches
from .quarantine import Quarantine
from .read_turn import ReadTurn
from .record_copies import RecordCopies
from .server import CallerServer, ReadinessServer
from .spread import StateSpread
from .state_in_force import NamedVersions, StateInForce
from .target_selector import TargetSelector

# How long a watch on the desired state waits for changes. Its answer confirms the state
# as of the time at which the watch was sent, so the state gets up to twice this old.
# Together with a probe of a neighbour, and the time until another entry becomes the
# reader, its age stays below the bound on keys.
STATE_WAIT_S = 0.6
# How long other watches wait while no neighbour confirms the mirrors. A dead connection
# costs this plus the time-out of a call, unless another call detects it earlier.
WATCH_WAIT_S = 4.0
# How long the watch on named versions waits. Its answer also confirms them as of the
# time at which the watch was sent. Even with one lost call, their age stays below the
# bound on versions.
VERSIONS_WAIT_S = 2.5
# Part of the bound on keys that is reserved for sending a request to its target.
KEY_MARGIN_S = 0.6
# Part of the bound on versions that is reserved for the wait of a request at its target
# before it begins to run.
VERSION_MARGIN_S = 0.35
# Pauses after a change, so that further changes in quick succession are read together.
STATE_CHANGE_PAUSE_S = 0.25
CHANGE_PAUSE_S = 0.5
# A longer pause, because records of engines change often while weights change, and each
# answer to a watch is billed.
INSTANCE_CHANGE_PAUSE_S = 0.9

_REQUIRED = Gauge(
    "briarbeam_required_version",
    "Oldest weights that a request may be sent to now",
    ["model"],
)
_STATE_AGE = Gauge(
    "briarbeam_desired_state_age_seconds",
    "Seconds since the desired state was last confirmed; NaN before the first time",
)
_log = structlog.get_logger()


@roles.register("entry")
class EntryRole:
    """Builds and runs all components of an entry."""

    def __init__(self, settings, clock, network):
        self._settings = settings
        self._clock = clock
        self._stopping = False
        self._in_force = StateInForce(clock)
        self._pause_detector = PauseDetector(clock)
        self._versions = NamedVersions(
            clock,
            self._on_version,
            settings.bounds.version_within_s - settings.bounds.contact_s,
            self._versions_unseen_s,
            clock.started_s,
        )
        self._fleet = Fleet(clock, self._services)
        self._turn_plans = collections.defaultdict(TurnPlan)
        self._evacuations = Evacuations(clock)
        self._record_copies = RecordCopies(
            network,
            settings.peer_address,
            clock,
            lambda: self._follower.following,
        )
        self._era_age = EraAge(clock)
        store = StoreClient(network, settings.store.address)
        store.on_era = self._era_age.observe
        self._build_mirrors(store)
        self._spread = StateSpread(
            network,
            settings.peer_address,
            clock,
            self._state_mirror,
            self._is_supplied_by_peers,
        )
        self._first_read = FirstRead(
            clock,
            settings.peer_address.host,
            self._spread,
            lambda: self._version_mirror.restored_s,
        )
        self._read_turn = ReadTurn(
            clock,
            self._spread,
            lambda: self._state_mirror.age_s,
            settings.bounds.key_revocation_s - KEY_MARGIN_S,
        )
        self._version_mirror.on_regained = self._read_turn.record_outage
        self._evidence = CrashEvidence(clock)
        self._quarantine = Quarantine(clock, self._evidence)
        self._grants = GrantClient(clock)
        self._exchange = EntryExchange(
            settings.peer_address,
            settings.instance.failure_domain,
            self._fleet,
            clock,
            self._greeting_fields,
            self._on_namings_reported,
            self._follower,
            self._spread,
            self._first_read.record_named_reader,
            settings.regions,
            self._evidence,
            self._quarantine,
            self._grants,
            self._record_copies,
            self._era_age,
        )
        self._fleet.on_weights_changed = self._exchange.schedule_greeting
        self._chunks = ChunkCache(
            network,
            settings.peer_address,
            settings.instance.failure_domain,
            self._find_origin,
            self._exchange.entries,
            self._hosts_with_weights,
            self._superseded_left_s,
            self._chunk_count,
        )
        self._build_servers()

    def start(self):
        """Start all tasks and listeners.

        Requests are refused until a desired state is known.
        """
        for mirror in self._mirrors:
            gevent.spawn(mirror.run)
        gevent.spawn(self._follower.run)
        gevent.spawn(self._pause_detector.run)
        self._exchange.start()
        self._peers.start()
        self._callers.start()
        self._readiness.start()

    def stop(self, grace_s):
        """Report to the load balancer that this entry is not ready, then stop serving.

        :param grace_s: seconds until the process will be killed.
        """
        self._stopping = True
        self._callers.close_gracefully(grace_s)

    def reload(self, settings):
        """Apply changed settings; changed addresses take effect at the next start."""
        self._settings = settings

    def _build_mirrors(self, store):
        # This mirror detects outages of the store for all, since its records are the
        # smallest.
        self._version_mirror = Mirror(
            store,
            records.VERSION_KIND,
            self._clock,
            lambda: self._follower.watch_wait_s(VERSIONS_WAIT_S),
            self._versions.update,
        )
        self._state_mirror = Mirror(
            store,
            records.CONFIG_KIND,
            self._clock,
            lambda: STATE_WAIT_S,
            self._update_state,
            STATE_CHANGE_PAUSE_S,
            is_large=True,
            is_supplied_by_peers=lambda: self._is_supplied_by_peers(),
            is_reader=lambda: not self._exchange.has_reader(),
            awaits_peer_copy=lambda: not self._first_read.is_due(),
            peer_copy_wait_s=self._state_copy_wait_s,
            is_read_due=lambda: self._read_turn.is_due(),
            lacks_writes=lambda: self._in_force.is_ahead_of_store,
            era_age=self._era_age,
            outage_detector=self._version_mirror,
        )
        watched_kinds = (
            (
                records.INSTANCE_KIND,
                self._update_fleet,
                INSTANCE_CHANGE_PAUSE_S,
                WATCH_WAIT_S,
                self._record_copies.is_supplied,
            ),
            (
                records.EVACUATION_KIND,
                self._update_evacuated,
                CHANGE_PAUSE_S,
                WATCH_WAIT_S,
                None,
            ),
        )
        others = [
            Mirror(
                store, kind, self._clock,
                lambda wait_s=wait_s: self._follower.watch_wait_s(wait_s),
                on_change, change_pause_s, is_supplied_by_peers=is_supplied,
                outage_detector=self._version_mirror,
            )
            for kind, on_change, change_pause_s, wait_s, is_supplied in watched_kinds
        ]  # fmt: skip
        self._instance_mirror, self._evacuation_mirror = others
        self._record_copies.mirror = self._instance_mirror
        others.append(self._version_mirror)
        self._mirrors = [self._state_mirror, *others]
        for mirror in self._mirrors:
            mirror.on_rewound = self._handle_rewind
        self._follower = StoreFollower(self._clock, self._state_mirror, others)
        _STATE_AGE.set_function(lambda: _or_nan(self._state_mirror.settled_age_s))

    def _build_servers(self):
        settings, bounds = self._settings, self._settings.bounds
        admission = Admission(
            self._in_force,
            self._spread,
            lambda: self._state_mirror.settled_age_s,
            bounds.key_revocation_s - KEY_MARGIN_S,
            bounds.config_apply_s,
            self._versions,
            lambda: self._version_mirror.age_s,
            bounds.version_within_s,
            VERSION_MARGIN_S,
        )
        selector = TargetSelector(
            self._fleet,
            self._clock,
            settings.instance.failure_domain,
            settings.regions,
            self._exchange.position,
        )
        budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
        )
        request_log = RequestLog(lambda: self._state_mirror.settled_age_s)
        guard = CrashGuard(self._clock, self._evidence, self._quarantine)
        held = HeldMemory.divide(settings.memory.limit_bytes)
        delivery = Delivery(
            admission,
            selector,
            budget,
            self._exchange.position,
            request_log,
            guard,
            HoldingPlaceFinder(
                PlaceFinder(
                    selector, self._grants, self._clock, self._settings.load_control
                ),
                selector,
            ),
            held.answers,
            ProcessWatches(self._pause_detector.max_read_delay_s),
        )
        dispatcher = Dispatcher(admission, budget, delivery, guard, request_log)
        self._callers = CallerServer(
            settings.listen.callers,
            dispatcher,
            self._limits,
            held.requests,
            self._find_team,
            settings.caller_input,
        )
        self._readiness = ReadinessServer(
            settings.listen.readiness,
            self._is_ready,
            settings.caller_input.max_connections,
        )
        self._peers = PeerServer(
            settings.peer_address,
            self._chunks,
            self._spread.encode_state,
            self._record_copies.encode,
            max_connections=settings.caller_input.max_connections,
        )

    def _is_supplied_by_peers(self):
        """Return whether neighbours supply the desired state."""
        return self._follower.following and not self._spread.needs_store_read()

    def _state_copy_wait_s(self):
        """Return how long neighbours may supply the desired state of a new era."""
        # The reader may change at the store's return; a copy of the new one then counts
        # for the former one, too.
        if self._exchange.has_reader() or self._spread.is_pulling():
            return self._spread.store_read_wait_s()
        return 0.0

    def _handle_rewind(self, era):
        """End the watches of all mirrors that are from before `era`."""
        for mirror in self._mirrors:
            mirror.recheck_before(era)
        # Applies the records once more when nothing from before counts any longer.
        gevent.spawn_later(REWIND_MEMORY_S + 0.1, self._reapply_records)

    def _reapply_records(self):
        for mirror in (self._instance_mirror, self._evacuation_mirror):
            mirror.reapply()

    def _update_state(self, new_records):
        self._in_force.update(new_records)
        self._spread.handle_records_update()

    def _is_ready(self):
        age_s = self._state_mirror.settled_age_s
        bound_s = self._settings.bounds.key_revocation_s - KEY_MARGIN_S
        is_known = age_s is not None and self._version_mirror.age_s is not None
        superseded_s = self._spread.superseded_for_s() or 0.0
        return (
            not self._stopping
            and is_known
            and age_s < bound_s
            and superseded_s <= SUPERSEDED_STATE_MAX_S
        )

    def _limits(self):
        state = self._in_force.state
        return state.limits if state is not None else CallerLimits()

    def _find_team(self, headers):
        return find_team_name(self._in_force.state, headers)

    def _services(self):
        state = self._in_force.state
        return state.services if state is not None else {}

    def _find_origin(self):
        state = self._in_force.state
        return state.find_origin() if state is not None else None

    def _chunk_count(self, model):
        state = self._in_force.state
        return state.find_chunk_count(model) if state is not None else None

    def _hosts_with_weights(self, model, version):
        own_domain = self._settings.instance.failure_domain
        return [
            target.instance.address.host
            for target in self._fleet.all()
            if target.instance.failure_domain == own_domain
            and target.report is not None
            and target.report.version == version
        ]

    def _update_fleet(self, new_records):
        self._first_read.start_waiting()
        restored_times_s = [
            m.restored_s for m in self._mirrors if m.restored_s is not None
        ]
        self._fleet.store_restored_s = max(restored_times_s, default=None)
        self._fleet.store_rewound_s = self._instance_mirror.rewound_s
        self._fleet.update(new_records)
        self._record_copies.announce()

    def _update_evacuated(self, new_records):
        self._evacuations.update(new_records, self._evacuation_mirror.rewound_s)
        evacuated_domains = self._evacuations.domains()
        if evacuated_domains != self._fleet.evacuated_domains:
            _log.info("evacuated", failure_domains=sorted(evacuated_domains))
        self._fleet.evacuated_domains = evacuated_domains

    def _on_namings_reported(self, reported):
        state = self._in_force.state
        # A message that waited while the process was paused is older than it states. It
        # is ignored, since it will be sent again.
        if state is not None and not self._pause_detector.max_read_delay_s():
            self._versions.merge(state.find_model(), reported)

    def _superseded_left_s(self, model, version):
        within_s = self._settings.bounds.version_within_s
        return self._versions.superseded_left_s(model, version, within_s)

    def _on_version(self, model, version):
        self._exchange.greet_repeatedly()
        # Computed when the metric is read, because it changes with time alone.
        _REQUIRED.labels(model).set_function(
            lambda: self._versions.required(
                model, self._settings.bounds.version_within_s - VERSION_MARGIN_S
            )
        )
        gevent.spawn_later(
            random.uniform(0.0, 0.01), self._chunks.prefetch, model, version
        )

    def _versions_unseen_s(self):
        """Return the maximum age of the naming of a version that is read now."""
        return max(
            self._version_mirror.unseen_s, self._pause_detector.max_read_delay_s()
        )

    def _greeting_fields(self, target):
        """Return the fields of a `Greeting` to the stager of `target`.

        :returns: a dictionary, or None if `target` is not an engine of a declared
            service.
        """
        state = self._in_force.state
        if state is None:
            if target.instance.models is None:
                return None
            # An engine that has lost its weights loads them while the state is read.
            model = self._versions.only_model()
            if model is None:
                return {"model": None, "versions": ()}
        else:
            service = self._services().get(target.instance.service)
            if service is None or not service.models:
                return None
            model = state.find_model()
        engines = self._fleet.targets(target.instance.service)
        namings = self._versions.describe(model)
        fields = {
            "model": model,
            "versions": tuple(
                (version, age_s, updated_share(engines, model, version), certain)
                for version, age_s, certain in namings
            ),
            **plan_wave(engines, target, model),
            "version_within_s": self._settings.bounds.version_within_s,
        }
        if state is not None and namings and self._settings.load_control:
            plan = self._turn_plans[target.instance.service]
            fields |= plan_turn(plan, engines, target, (model, namings[-1][0]))
        return fields


def _or_nan(value):
    return math.nan if value is None else value
