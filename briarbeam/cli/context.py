"""Selection of the log lines that explain the outcome of a request."""

from datetime import datetime, timedelta

# Changes in what a daemon knows belong to the context of a request that follows within
# this time.
STATE_CHANGES_WITHIN_S = 10.0
# The naming of versions and the loading of weights affect requests for longer.
WEIGHTS_WITHIN_S = 60.0
_STATE_EVENTS = frozenset({
    "store_lost", "store_regained", "history_gone", "desired_state_in_force",
    "version_named", "namings_learned", "evacuated", "instance_seen",
    "instance_changed", "instance_gone", "instance_leaving", "weights_seen",
    "started", "stopping", "load_ordered", "load_ended",
})  # fmt: skip
_NAMING_EVENTS = frozenset({"version_named", "namings_learned"})
_LOAD_EVENTS = frozenset({
    "copy_complete", "load_ordered", "load_ended", "load_timed_out", "engine_lost",
    "engine_restarted",
})  # fmt: skip


def find_context(records, request_records):
    """Return the records that explain the outcome of one request, in order of time.

    These show what its daemons knew, which versions of weights were named to them,
    which daemon learned of each version first, and what was loaded into the engines
    that the request was sent to.

    :param records: the log records of all daemons, in order of time.
    :param request_records: those of the request.
    """
    context = _Context(records, request_records)
    return [record for record in records if context.is_related(record)]


class _Context:
    def __init__(self, records, request_records):
        self._sources = {record["source"] for record in request_records}
        self._request_time = max(map(time_of, request_records))
        self._targets = _find_targets(request_records)
        self._loader_sources = _find_loader_sources(records, self._targets)
        self._first_mentions = self._find_first_mentions(records)

    def is_related(self, record):
        event, age_s = record.get("event"), self._age_s(record)
        if not 0 <= age_s <= WEIGHTS_WITHIN_S:
            return False
        if id(record) in self._first_mentions:
            return True
        if event in _LOAD_EVENTS and record["source"] in self._loader_sources:
            return True
        if record["source"] not in self._sources or event not in _STATE_EVENTS:
            return False
        if event in _NAMING_EVENTS:
            return True
        if _is_instance_event(record) and self._targets:
            return record.get("instance") in self._targets
        return age_s <= STATE_CHANGES_WITHIN_S

    def _find_first_mentions(self, records):
        """Return the ``id()`` of the first certain record of each version's naming."""
        first_mentions = {}
        for record in records:
            if (
                record.get("event") == "version_named"
                and record.get("certain") is not False
                and self._age_s(record) <= WEIGHTS_WITHIN_S
            ):
                first_mentions.setdefault(
                    (record.get("model"), record.get("version")), record
                )
        return set(map(id, first_mentions.values()))

    def _age_s(self, record):
        """Return how many seconds before the request's last record it was written.

        0 if a time can't be parsed, so that the record is not left out.
        """
        try:
            request_time = datetime.fromisoformat(self._request_time)
            return (
                request_time - datetime.fromisoformat(time_of(record))
            ).total_seconds()
        except ValueError:
            return 0.0


def time_of(record):
    """Return the time of a record as text, empty if it has none."""
    return str(record.get("timestamp", ""))


def naming_times(record):
    """Return the times at which versions were named according to a record, by version.

    Daemons that assume different times stop using older weights at different times.

    :returns: times of day as text; empty for a record that states none.
    """
    try:
        if record.get("age_s") is not None and "version" in record:
            ages_s = [(record["version"], record["age_s"])]
        else:
            ages_s = [pair[:2] for pair in record.get("told") or ()]
        written = datetime.fromisoformat(time_of(record))
        return {
            str(version): (written - timedelta(seconds=age_s)).strftime("%H:%M:%S.%f")
            for version, age_s in ages_s
        }
    except (ValueError, TypeError):
        return {}


def _is_instance_event(record):
    """Return whether a record is about a single instance that serves requests."""
    event = str(record.get("event"))
    return event.startswith("instance_") or event == "weights_seen"


def _find_targets(request_records):
    """Return the ids of the instances that the request was sent to."""
    targets = {record.get("target") for record in request_records}
    targets.update(*(record.get("tried") or () for record in request_records))
    return targets - {None}


def _find_loader_sources(records, targets):
    """Return the log sources of the stagers on the same machines as `targets`."""
    hosts = {
        record.get("host")
        for record in records
        if record.get("event") == "instance_seen" and record.get("instance") in targets
    }
    return {
        record["source"]
        for record in records
        if record.get("event") == "started"
        and record.get("role") == "stager"
        and record.get("host") in hosts - {None}
    }
