"""Orders an engine to load what is staged beside it, or to give up its weights."""

import time

import gevent
import structlog
from prometheus_client import Counter

from ..platform import engines
from .errors import EngineChangedError, StaleCheckError

# Time for the entries to receive the announcement that an engine stops accepting
# requests, before the engine is ordered to load.
ANNOUNCE_DELAY_S = 0.03
# A load that takes longer is no longer waited for. The next step then depends on what
# the engine reports.
LOAD_TIMEOUT_S = 12.0
LOAD_POLL_S = 0.05
# How often in a row the chunks may take longer to read than a check is trusted.
STALE_CHECKS_MAX = 2
# Time for the entries to tell a stager that was restarted which load was proven before;
# they greet it once a second.
VOUCH_WAIT_S = 1.5
# An engine that did not give up its weights is not ordered to again before this.
UNLOAD_RETRY_S = 1.0

_ORDERS = Counter("briarbeam_orders", "Orders to the engine", ["result"])
_log = structlog.get_logger()


class EngineOrders:
    """Orders one engine to load and to give up weights, one order at a time.

    `is_loading` is whether it is about to load; it gets no requests meanwhile.

    :param network: the `Network`.
    :param engine: the engine's `Address`, on this machine.
    :param staging_area: its `StagingArea`.
    :param load_proof: its `LoadProof`.
    :param fetch_report: a function that returns a fresh `EngineReport`.
    :param announce: a function that tells all entries whether it accepts requests.
    """

    def __init__(
        self, network, engine, staging_area, load_proof, fetch_report, announce
    ):
        self._network = network
        self._engine = engine
        self._staging_area = staging_area
        self._load_proof = load_proof
        self._fetch_report = fetch_report
        self._announce = announce
        self._stale_checks = 0
        self._vouched_by_s = time.monotonic() + VOUCH_WAIT_S
        self._unload_at_s = 0.0
        self.is_loading = False

    def load(self, copy, strategy, report, age_s):
        """Stage `copy`, order the engine to load it, and wait until it has.

        :param strategy: as in `engines.order_load`.
        :param report: the `EngineReport` on which the decision to load rests.
        :param age_s: the seconds since the version was named.
        :raises StaleCheckError: if chunks were checked too long before the order.
        :raises EngineChangedError: if the engine has accepted another order since.
        :raises BriarbeamError: if the engine does not answer.
        """
        self._staging_area.stage(copy)
        if self._stale_checks >= STALE_CHECKS_MAX:
            # The chunks are checked after the load, which running requests must not
            # take part in before.
            strategy = "queue"
        try:
            self._check_age(copy)
            self._order_load(copy, strategy, report.load_id, age_s)
        except StaleCheckError:
            self._stale_checks += 1
            raise

    def unload(self, model, version, report):
        """Order the engine to give up weights that can't be proven.

        It answers an order for the version that it holds with "in effect", so it takes
        the chunks again only once it holds none.

        :param report: its last `EngineReport`.
        :raises BriarbeamError: if the engine does not answer.
        """
        now_s = time.monotonic()
        may_be_vouched = (
            self._load_proof.was_found(report) and now_s < self._vouched_by_s
        )
        if may_be_vouched or now_s < self._unload_at_s:
            return
        self._unload_at_s = now_s + UNLOAD_RETRY_S
        result = engines.order_unload(
            self._network, self._engine, model, version, report.accepted_orders
        )
        _ORDERS.labels(result.value).inc()
        _log.warning(
            "unload_ordered",
            model=model,
            held=version,
            orders=report.accepted_orders,
            running=report.running,
            result=result.value,
        )
        self._fetch_report()

    def _check_age(self, copy):
        """Check that the chunks of `copy` were checked shortly before.

        An engine that is too slow for that is ordered to load all the same; its chunks
        are read once more when it has taken them.

        :raises StaleCheckError: as `StagingArea.check_age`.
        """
        if self._stale_checks < STALE_CHECKS_MAX:
            self._staging_area.check_age(copy)

    def _order_load(self, copy, strategy, load_id, age_s):
        manifest = copy.manifest
        report = self._fetch_report()
        if report.load_id != load_id or report.busy:
            raise EngineChangedError(
                f"the engine has accepted {report.accepted_orders} orders, "
                f"expected {load_id[1]}; busy: {report.busy}"
            )
        self.is_loading = True
        self._announce()
        gevent.sleep(ANNOUNCE_DELAY_S)
        self._announce()
        ordered_s, checked_age_s = time.monotonic(), 0.0

        def check_before_send():
            nonlocal checked_age_s
            self._check_age(copy)
            checked_age_s = self._staging_area.checked_age_s(copy)
            self._load_proof.record_order(report)

        result = engines.order_load(
            self._network,
            self._engine,
            manifest.model,
            manifest.version,
            report.accepted_orders,
            strategy,
            check_before_send,
        )
        if result is engines.OrderResult.BEGUN:
            self._stale_checks = 0
            self._load_proof.record_begun(report, copy)
        else:
            self._load_proof.record_refused()
        _ORDERS.labels(result.value).inc()
        _log.info(
            "load_ordered",
            model=manifest.model,
            version=manifest.version,
            held=report.models.get(manifest.model, 0),
            orders=report.accepted_orders,
            running=report.running,
            age_s=round(age_s, 3),
            strategy=strategy,
            checked_age_s=round(checked_age_s, 3),
            result=result.value,
        )
        if result is not engines.OrderResult.REFUSED:
            self._await_load(manifest, report, ordered_s)

    def _await_load(self, manifest, report_before, ordered_s):
        """Wait until the engine has loaded the weights, restarted or taken too long."""
        while time.monotonic() < ordered_s + LOAD_TIMEOUT_S:
            gevent.sleep(LOAD_POLL_S)
            report = self._fetch_report()
            if report.started_ms != report_before.started_ms:
                _log.warning("engine_restarted", version=manifest.version)
                return
            if (
                report.models.get(manifest.model) == manifest.version
                and not report.busy
            ):
                self.is_loading = False
                self._announce()
                _log.info(
                    "load_ended",
                    version=manifest.version,
                    elapsed_s=round(time.monotonic() - ordered_s, 3),
                )
                return
        _log.warning("load_timed_out", version=manifest.version)
