"""The desired state in force here, and how sure it is."""

import structlog

from ..platform.records import (
    CONFIG_NAME,
    decode_desired_state,
    decode_named_version,
)
from .errors import MalformedRecordError

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
        named; the store does not say when it was.
    """

    def __init__(self, clock, on_change, first_age_s):
        self._clock = clock
        self._on_change = on_change
        self._first_age_s = first_age_s
        self._heard = {}
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
        heard = self._heard.get(model)
        return heard[-1][0] if heard else 1

    def superseded_s(self, model, version):
        """Return when the first version above `version` was heard of, or None.

        :returns: a monotonic time in seconds.
        """
        for known, heard_s in self._heard.get(model, ()):
            if known > version:
                return heard_s
        return None

    def ages(self, model):
        """Return pairs of version and seconds since it was heard of, oldest first."""
        now_s = self._clock.monotonic_s()
        heard = self._heard.get(model) or [(1, now_s)]
        return tuple((v, round(now_s - at_s, 3)) for v, at_s in heard[-2:])

    def required(self, model, within_s):
        """Return the newest version that was heard of `within_s` seconds ago or more."""
        now_s = self._clock.monotonic_s()
        due = [v for v, at_s in self._heard.get(model, ()) if now_s - at_s >= within_s]
        return due[-1] if due else 0

    def _note(self, model, version):
        heard = self._heard.setdefault(model, [])
        if heard and version <= heard[-1][0]:
            return
        age_s = max(0.0, self._first_age_s) if self._first else 0.0
        heard.append((version, self._clock.monotonic_s() - age_s))
        _log.info("version_named", model=model, version=version)
        self._on_change(model, version)
