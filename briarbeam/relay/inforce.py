"""The desired state in force here, and how sure it is."""

from dataclasses import dataclass

import structlog
from prometheus_client import Gauge

from ..platform.records import (
    CONFIG_NAME,
    decode_desired_state,
    decode_named_version,
)
from .errors import MalformedRecordError

_REQUIRED = Gauge(
    "briarbeam_required_version", "Oldest weights that a request may begin on now"
)
_log = structlog.get_logger()


class InForce:
    """Holds the newest desired state seen; never goes back to an older one.

    :param clock: the `Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self.state = None

    def update(self, records):
        """Take the store's records of the desired state over."""
        record = records.get(CONFIG_NAME)
        if record is None:
            return
        try:
            state = decode_desired_state(record.spec)
        except MalformedRecordError as error:
            _log.error("desired_state_malformed", error=str(error))
            return
        if self.state is not None and state.version <= self.state.version:
            return
        self.state = state
        _log.info(
            "desired_state_in_force",
            version=state.version,
            routes=len(state.routes),
            keys=len(state.teams_by_key),
        )


class NamedVersions:
    """The weights' versions that operators named, and when each was heard of.

    :param clock: the `Clock`.
    :param on_change: called with model and version after each change.
    :param first_age_s: how long ago what the first list names is taken to have been
        named; the store does not say when it was. `learn_age` tells better.
    """

    def __init__(self, clock, on_change, first_age_s):
        self._clock = clock
        self._on_change = on_change
        self._first_age_s = first_age_s
        self._namings = {}
        self._first = True

    def update(self, records):
        """Take the store's records of named versions over."""
        for record in records.values():
            try:
                model, version = decode_named_version(record.spec)
            except MalformedRecordError as error:
                _log.warning("named_version_malformed", error=str(error))
                continue
            self._note(model, version)
        self._first = False

    def newest(self, model):
        """Return the newest version named of `model`; 1 before any was named."""
        namings = self._namings.get(model)
        return namings[-1].version if namings else 1

    def superseded_s(self, model, version):
        """Return when the first version above `version` was heard of, or None.

        :returns: a monotonic time in seconds.
        """
        for naming in self._namings.get(model, ()):
            if naming.version > version:
                return naming.at_s
        return None

    def ages(self, model):
        """Return for the last two versions the seconds since each was heard of.

        :returns: triples of version, age and whether the version was heard named, or
            its age is only assumed; oldest first.
        """
        now_s = self._clock.monotonic_s()
        namings = self._namings.get(model) or [_Naming(1, now_s)]
        return tuple(
            (naming.version, round(now_s - naming.at_s, 3), not naming.assumed)
            for naming in namings[-2:]
        )

    def learn_age(self, model, version, age_s):
        """Take over from another daemon how long ago a version was named.

        Counts only for versions that were found named at the start; of several daemons'
        words the oldest holds, as long as it is younger than what was assumed.
        """
        named_s = self._clock.monotonic_s() - age_s
        for naming in self._namings.get(model, ()):
            if naming.version != version or not naming.assumed:
                continue
            if (named_s < naming.at_s) if naming.told else (named_s > naming.at_s):
                naming.at_s, naming.told = named_s, True
                _log.info("naming_learned", version=version, age_s=round(age_s, 3))

    def required(self, model, within_s):
        """Return the newest version that was heard of `within_s` seconds ago or more."""
        now_s = self._clock.monotonic_s()
        namings = self._namings.get(model, ())
        due = [n.version for n in namings if now_s - n.at_s >= within_s]
        required = due[-1] if due else 0
        _REQUIRED.set(required)
        return required

    def _note(self, model, version):
        namings = self._namings.setdefault(model, [])
        if namings and version <= namings[-1].version:
            return
        age_s = max(0.0, self._first_age_s) if self._first else 0.0
        heard_s = self._clock.monotonic_s() - age_s
        namings.append(_Naming(version, heard_s, assumed=self._first))
        _log.info("version_named", model=model, version=version, assumed_age_s=age_s)
        self._on_change(model, version)


@dataclass
class _Naming:
    """When a version was named.

    :param at_s: monotonic time.
    :param assumed: it was found named at the start, so the time is a guess.
    :param told: another daemon told the time since.
    """

    version: int
    at_s: float
    assumed: bool = False
    told: bool = False
