"""What daemons believed shortly before a request: the lines that explain its line."""

from datetime import datetime, timedelta

# Changes of belief within this before a request are its context.
BELIEFS_WITHIN_S = 10.0
# Names of weights and loads act for longer.
WEIGHTS_WITHIN_S = 60.0
_BELIEFS = frozenset({
    "store_lost", "store_regained", "history_gone", "desired_state_in_force",
    "version_named", "namings_learned", "evacuated", "instance_seen",
    "instance_changed", "instance_gone", "weights_seen", "started", "stopping",
    "load_ordered", "load_ended",
})  # fmt: skip
_NAMINGS = frozenset({"version_named", "namings_learned"})
_LOADS = frozenset({
    "copy_complete", "load_ordered", "load_ended", "load_timed_out", "engine_lost",
    "engine_restarted",
})  # fmt: skip


def context_of(records, found):
    """Return the records that explain `found`, the lines of one request, in order.

    These are what its daemons believed, which names of weights they knew, who heard each
    name first, and what was loaded into the engines that it was sent to.

    :param records: all records, in order of time.
    """
    context = _Context(records, found)
    return [record for record in records if context.explains(record)]


class _Context:
    def __init__(self, records, found):
        self._sources = {record["source"] for record in found}
        self._last = max(map(time_of, found))
        self._targets = _targets_of(found)
        self._loaders = _loaders_of(records, self._targets)
        self._firsts = self._find_firsts(records)

    def explains(self, record):
        event, age_s = record.get("event"), self._age_s(record)
        if not 0 <= age_s <= WEIGHTS_WITHIN_S:
            return False
        if id(record) in self._firsts:
            return True
        if event in _LOADS and record["source"] in self._loaders:
            return True
        if record["source"] not in self._sources or event not in _BELIEFS:
            return False
        if event in _NAMINGS:
            return True
        if _is_of_instance(record) and self._targets:
            return record.get("instance") in self._targets
        return age_s <= BELIEFS_WITHIN_S

    def _find_firsts(self, records):
        """Return the identities of the lines in which a name was heard first."""
        firsts = {}
        for record in records:
            if (
                record.get("event") == "version_named"
                and record.get("certain") is not False
                and self._age_s(record) <= WEIGHTS_WITHIN_S
            ):
                firsts.setdefault((record.get("model"), record.get("version")), record)
        return set(map(id, firsts.values()))

    def _age_s(self, record):
        """Return how long before the request's last line a record was written."""
        try:
            last = datetime.fromisoformat(self._last)
            return (last - datetime.fromisoformat(time_of(record))).total_seconds()
        except ValueError:
            return 0.0


def time_of(record):
    """Return a record's time as text."""
    return str(record.get("timestamp", ""))


def naming_times(record):
    """Return when versions were named by what a record says, as texts by version.

    Daemons that disagree about a time give requests different bounds.
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


def _is_of_instance(record):
    """Return whether a record tells of one instance that serves requests."""
    event = str(record.get("event"))
    return event.startswith("instance_") or event == "weights_seen"


def _targets_of(found):
    """Return the ids of the instances that a request was sent to."""
    targets = {record.get("target") for record in found}
    targets.update(*(record.get("tried") or () for record in found))
    return targets - {None}


def _loaders_of(records, targets):
    """Return the sources of the daemons on the same machines as `targets`."""
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
