"""Tells whether the weights that an engine holds were whole when it took them.

An engine takes the staged chunks as they are when it accepts an order. The stager knows
when it checked them and when it learnt of the acceptance, but may be stopped in between,
and an order without an answer may be accepted later. Chunks that are corrupt do not
become right again by themselves, so chunks that are right afterwards were right before.
"""

from dataclasses import dataclass

import structlog
from prometheus_client import Counter

from .staging_area import TAKEN_AGE_MAX_S

_PROOFS = Counter(
    "briarbeam_load_proofs",
    "Loads by how their chunks are known to be right",
    ["result"],
)
_log = structlog.get_logger()


@dataclass
class _PendingOrder:
    """An order that may have been accepted.

    `changed` is whether staged chunks were written since, for the same load or another.
    """

    copy: object
    started_ms: int
    accepted_orders: int
    changed: bool = False

    def matches(self, report):
        """Return whether it is not accepted as of `report`, by the same process."""
        return (self.started_ms, self.accepted_orders) == (
            report.started_ms,
            report.accepted_orders,
        )


class LoadProof:
    """Follows the orders to one engine.

    :param staging_area: the `StagingArea`.
    """

    def __init__(self, staging_area):
        self._staging_area = staging_area
        self._pending = None
        # Start and number of accepted orders of the engine whose last load is doubtful.
        self._doubtful = None
        self._seen_id = None
        self._answered_id = None
        self._writes_known = 0

    def observe(self, report, writes_ended):
        """Log each load as it shows in the engine's reports, and how it became known.

        :param report: an `EngineReport`.
        :param writes_ended: that of the staging area before the report was requested.
        """
        if report.load_id != self._seen_id:
            self._log_load(report)
            self._seen_id = report.load_id
        self._writes_known = writes_ended

    def _log_load(self, report):
        if not report.accepted_orders:
            known_by = "engine_start"
        elif report.load_id == self._answered_id:
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
            written=self._staging_area.writes_begun - self._writes_known,
        )

    def record_order(self, copy, report):
        """Record that an order to load `copy` is about to be sent.

        :param report: the engine's `EngineReport` before the order.
        """
        pending = self._pending
        changed = pending is not None and pending.matches(report) and pending.changed
        self._pending = _PendingOrder(
            copy, report.started_ms, report.accepted_orders, changed
        )

    def record_written(self, count):
        """Record that `count` chunks were written to the staging area."""
        if self._pending is not None and count:
            self._pending.changed = True

    def record_begun(self):
        """Record that the engine states that it began the last order now.

        It can't have accepted an earlier one, as those require the same number of
        accepted orders.
        """
        self._pending.changed = False
        self._answered_id = (
            self._pending.started_ms,
            self._pending.accepted_orders + 1,
        )
        self._prove(self._pending.accepted_orders + 1)

    def settle(self, report):
        """Decide on an order without an answer, once `report` shows its outcome."""
        pending = self._pending
        if pending is None or pending.matches(report):
            return
        if report.started_ms == pending.started_ms:
            self._prove(report.accepted_orders)
        else:
            # The engine restarted, so it holds no weights.
            self._pending = None

    def is_open(self, report):
        """Return whether the weights that the engine holds are not known to be whole.

        :param report: its `EngineReport`.
        """
        if self._doubtful == (report.started_ms, report.accepted_orders):
            return True
        pending = self._pending
        return (
            pending is not None
            and pending.started_ms == report.started_ms
            and not pending.matches(report)
        )

    def _prove(self, accepted_orders):
        """Decide on the pending order, which the engine accepted.

        :param accepted_orders: the number of accepted orders with it.
        """
        pending, copy = self._pending, self._pending.copy
        age_s = self._staging_area.checked_age_s(copy)
        if pending.changed:
            result = "doubtful"
        elif age_s <= TAKEN_AGE_MAX_S:
            result = "in_time"
        else:
            result = "verified" if self._staging_area.is_whole(copy) else "doubtful"
        if result == "doubtful":
            self._doubtful = pending.started_ms, accepted_orders
        self._pending = None
        _PROOFS.labels(result).inc()
        if result != "in_time":
            _log.warning(
                "load_checked_late",
                version=copy.manifest.version,
                checked_age_s=round(age_s, 3),
                changed=pending.changed,
                result=result,
            )
