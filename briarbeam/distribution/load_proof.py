"""Tells whether the weights that an engine holds were whole when it took them.

An engine takes the staged chunks as they are when it accepts an order. It need not be
the last order, nor one of this process: an order without an answer may be accepted
later, also after the process that sent it has ended. So each load is identified by what
the engine counts, and it gets requests only once that very load is proven.

Chunks that are corrupt do not become right again by themselves, so chunks that are
right afterwards were right before, unless they were written in between.
"""

from collections import deque

import structlog
from prometheus_client import Counter

from .staging_area import TAKEN_AGE_MAX_S

# Number of loads that are remembered because entries know of them. Entries may have
# heard of different ones, but of few.
LOADS_KEPT = 8

_PROOFS = Counter(
    "briarbeam_load_proofs",
    "Loads by how their chunks are known to be right",
    ["result"],
)
_log = structlog.get_logger()


class LoadProof:
    """Follows the loads of one engine.

    :param staging_area: the `StagingArea`.
    """

    def __init__(self, staging_area):
        self._staging_area = staging_area
        self._seen_id = self._found_id = None
        # How many writes are known to have ended before the engine took the chunks of
        # its last load, and before those of the next one.
        self._writes_before = self._writes_before_next = 0
        self._proven_id = self._doubtful_id = None
        self._vouched_ids = deque(maxlen=LOADS_KEPT)
        self._unproven_ids = deque(maxlen=LOADS_KEPT)
        # The load before an order that may still be accepted, and whether it was sent
        # before the order that is under way.
        self._open_id = None
        self._was_open = False

    # Reports

    def observe(self, report, writes_ended):
        """Follow the engine's loads.

        :param report: an `EngineReport`.
        :param writes_ended: that of the staging area before the report was requested.
        """
        if report.load_id != self._seen_id:
            self._writes_before = self._writes_before_next
            self._log_load(report)
            if self._seen_id is None:
                self._found_id = report.load_id
            self._seen_id = report.load_id
        self._writes_before_next = writes_ended
        if self._open_id != report.load_id:
            self._open_id = None

    def is_proven(self, report):
        """Return whether all weights that the engine holds are known to be whole.

        Those of an engine that accepted no order are from its own start.
        """
        return (
            not report.models
            or not report.accepted_orders
            or report.load_id in self._vouched_ids
            or (
                report.load_id == self._proven_id
                and report.load_id not in self._unproven_ids
            )
        )

    def is_doubtful(self, report):
        """Return whether what the engine holds can't be proven any more."""
        return not self.is_proven(report) and (
            report.load_id == self._doubtful_id or report.load_id in self._unproven_ids
        )

    def was_found(self, report):
        """Return whether the last load began before this process followed the engine."""
        return report.load_id == self._found_id

    def is_open(self, report):
        """Return whether an order may still be accepted, or a load is not proven."""
        return not self.is_proven(report) or self.has_open_order(report)

    def decide(self, report, copy):
        """Prove a load of `copy` that became known by `report`, or doubt it."""
        if report.load_id != self._seen_id or self.is_doubtful(report):
            return
        is_whole = not self._may_be_changed() and self._staging_area.is_whole(copy)
        # The engine may have accepted another order while the chunks were read.
        if report.load_id == self._seen_id:
            result = "verified" if is_whole else "doubtful"
            self._conclude(report.load_id, copy, result)

    def record_vouched(self, load_id):
        """Record a load that an entry knows as proven, by this process or one before.

        :param load_id: as in `EngineReport`.
        """
        if load_id in (self._proven_id, *self._vouched_ids):
            return
        self._vouched_ids.append(load_id)
        _PROOFS.labels("vouched").inc()
        _log.info("load_vouched", started_ms=load_id[0], orders=load_id[1])

    def record_unproven(self, load_id):
        """Record a load that an entry knows only as not accepting requests.

        Of a load that a process before this one did not prove, chunks may have been
        repaired after the engine took them, so that reading them proves nothing.
        """
        if load_id == self._found_id and load_id not in self._unproven_ids:
            self._unproven_ids.append(load_id)
            _log.info("load_not_vouched", started_ms=load_id[0], orders=load_id[1])

    # Orders

    def record_order(self, report):
        """Record that an order is about to be sent.

        :param report: the engine's `EngineReport` before the order.
        """
        self._was_open = self._open_id == report.load_id
        self._open_id = report.load_id

    def has_open_order(self, report):
        """Return whether an order that was sent may still be accepted."""
        return self._open_id == report.load_id

    def record_refused(self):
        """Record that the last order will not be accepted."""
        if not self._was_open:
            self._open_id = None

    def record_begun(self, report, copy):
        """Record that the engine states that it began the last order, to load `copy`.

        It can't have accepted an earlier one, as those require the same number of
        accepted orders.

        :param report: the engine's `EngineReport` before the order.
        """
        self._open_id = None
        load_id = (report.started_ms, report.accepted_orders + 1)
        area = self._staging_area
        if (
            area.checked_age_s(copy) <= TAKEN_AGE_MAX_S
            and area.writes_ended == area.writes_begun
        ):
            result = "in_time"
        else:
            result = "verified" if area.is_whole(copy) else "doubtful"
        self._conclude(load_id, copy, result)

    def _may_be_changed(self):
        """Return whether chunks may have been written since the last load took them."""
        return self._staging_area.writes_begun > self._writes_before

    def _conclude(self, load_id, copy, result):
        if result == "doubtful":
            self._doubtful_id = load_id
        else:
            self._proven_id = load_id
        _PROOFS.labels(result).inc()
        if result != "in_time":
            _log.warning(
                "load_checked_late",
                version=copy.manifest.version,
                orders=load_id[1],
                checked_age_s=round(self._staging_area.checked_age_s(copy), 3),
                changed=self._may_be_changed(),
                result=result,
            )

    def _log_load(self, report):
        if not report.accepted_orders:
            known_by = "engine_start"
        elif report.load_id in (self._proven_id, self._doubtful_id):
            known_by = "answer"
        else:
            known_by = "found" if self._seen_id is None else "report"
        _log.info(
            "load_seen",
            started_ms=report.started_ms,
            orders=report.accepted_orders,
            models=report.models,
            busy=report.busy,
            known_by=known_by,
            changed=self._may_be_changed(),
        )
