"""The desired state in force at this entry, and the versions that operators named."""

import math

import structlog
from gevent.event import Event
from prometheus_client import Gauge

from ..distribution.namings import FIRST_VERSION, NamingHistory
from ..platform.records import (
    CONFIG_NAME,
    decode_desired_state,
    decode_named_version,
)
from .errors import MalformedRecordError

# An age whose upper bound is at most this counts as certain.
CERTAIN_WITHIN_S = 1.0
# How long after its creation requests wait for the first state. If the store is away for
# longer, they are refused at once.
STARTING_S = 5.0

_VERSION = Gauge("briarbeam_desired_state_version", "Desired state in force here")
_log = structlog.get_logger()


class StateInForce:
    """Keeps the newest desired state that was read; never reverts to an older one.

    `state` is the `DesiredState`, or None before the first one. `is_ahead_of_store` is
    whether the store's records have an older one.

    :param clock: the `Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._has_state = Event()
        self._created_s = clock.monotonic_s()
        self.state = None
        self.is_ahead_of_store = False

    def await_first(self, timeout_s):
        """Wait for the first state, but only while this process is starting.

        :param timeout_s: how long to wait at most.
        """
        is_starting = self._clock.monotonic_s() - self._created_s < STARTING_S
        if self.state is None and is_starting and timeout_s > 0.0:
            self._has_state.wait(timeout_s)

    def update(self, records):
        """Apply the store's records of the desired state, if it is valid and newer."""
        record = records.get(CONFIG_NAME)
        if record is None:
            return
        try:
            state = decode_desired_state(record.spec)
        except MalformedRecordError as error:
            _log.error("desired_state_malformed", error=str(error))
            return
        newest = self.state.version if self.state is not None else -math.inf
        self.is_ahead_of_store = state.version < newest
        if state.version <= newest:
            return
        self.state = state
        self._has_state.set()
        _VERSION.set(state.version)
        _log.info(
            "desired_state_in_force",
            version=state.version,
            routes=len(state.routes),
            keys=len(state.teams_by_key),
        )


class NamedVersions:
    """The versions of weights that operators named, and when.

    A version that may have been named while the store was not observed gets an assumed
    age. It decides when requests require the version, until another daemon reports the
    real age.

    :param clock: the `Clock`.
    :param on_change: called with model and version when a newer version is known.
    :param assumed_age_s: the age that is assumed at the start, and the maximum age that
        is assumed after an outage of the store.
    :param unseen_s: a function that returns for how many seconds before the last change
        the records were not observed; infinite before they were first read.
    :param started_s: boot time at which the process started.
    """

    def __init__(self, clock, on_change, assumed_age_s, unseen_s, started_s):
        self._clock = clock
        self._on_change = on_change
        self._assumed_age_s = max(0.0, assumed_age_s)
        self._unseen_s = unseen_s
        self._started_s = started_s
        self._histories = {}
        self._malformed_revisions = {}
        self._awaits_first_update = True

    def update(self, records):
        """Apply the store's records of named versions."""
        malformed_revisions = {}
        for name, record in records.items():
            try:
                model, version = decode_named_version(record.spec)
            except MalformedRecordError as error:
                malformed_revisions[name] = record.revision
                if self._malformed_revisions.get(name) != record.revision:
                    _log.warning("named_version_malformed", name=name, error=str(error))
                continue
            self._record_naming(model, version)
        self._malformed_revisions = malformed_revisions
        self._awaits_first_update = False

    def history(self, model):
        """Return the `NamingHistory` of `model`."""
        if model not in self._histories:
            self._histories[model] = NamingHistory(self._clock)
        return self._histories[model]

    def only_model(self):
        """Return the model with named versions, or None if there is not exactly one."""
        models = [model for model, known in self._histories.items() if known.newest]
        return models[0] if len(models) == 1 else None

    def newest(self, model):
        """Return the newest version named for `model`; 1 before any was named."""
        return self.history(model).newest or FIRST_VERSION

    def describe(self, model):
        """Return the last named versions of `model` as triples.

        Each has the version, the seconds since it was named, and whether that age is
        certain.
        """
        return self.history(model).describe() or ((FIRST_VERSION, 0.0, False),)

    def superseded_left_s(self, model, version, within_s):
        """Return for how many seconds requests may still begin on `version`.

        :param within_s: for how many seconds after the naming of a newer version
            requests may begin on an older one.
        :returns: seconds, negative after that time; None if the version is not
            superseded.
        """
        history = self._histories.get(model)
        named_s = history.superseded_at_s(version) if history is not None else None
        return (
            None if named_s is None else named_s + within_s - self._clock.boottime_s()
        )

    def merge(self, model, reported):
        """Merge a history that another daemon reports, as in `NamingHistory.merge`."""
        history = self.history(model)
        newest = history.newest
        if history.lacks(reported):
            _log.info(
                "namings_learned", model=model, known=history.describe(), told=reported
            )
        if self._awaits_first_update and not history:
            newest_reported = reported[-1][0]
            history.record(newest_reported, *self._naming_age())
        history.merge(reported)
        if history.newest > newest:
            self._on_change(model, history.newest)

    def required(self, model, within_s):
        """Return the newest version that was named `within_s` seconds ago or more.

        :returns: 0 if there is none, also for an unknown model: callers may give any
            name.
        """
        history = self._histories.get(model)
        return 0 if history is None else history.required(within_s)

    def _record_naming(self, model, version):
        history = self.history(model)
        if version <= history.newest:
            return
        if not history and not self._awaits_first_update:
            # No version was named before, so engines may have loaded the first one.
            known_for_s = self._clock.boottime_s() - self._started_s
            history.record(FIRST_VERSION, known_for_s, True)
        age_s, certain = self._naming_age()
        history.record(version, age_s, certain)
        _log.info(
            "version_named",
            model=model,
            version=version,
            age_s=round(age_s, 3),
            certain=certain,
        )
        self._on_change(model, version)

    def _naming_age(self):
        """Return the age of a naming that was just read, and whether it is certain."""
        if self._awaits_first_update:
            running_s = self._clock.boottime_s() - self._started_s
            return self._assumed_age_s + running_s, False
        unseen_s = self._unseen_s()
        return min(unseen_s, self._assumed_age_s), unseen_s <= CERTAIN_WITHIN_S
