"""Detects requests that begin on superseded weights after the time allowed for them."""

import structlog
from prometheus_client import Counter

_OVERDUE_BEGINS = Counter(
    "briarbeam_overdue_begins",
    "Requests seen to begin on superseded weights after their time",
)
_log = structlog.get_logger()


class OverdueDetector:
    """Compares successive reports of an engine.

    All its requests are covered, whichever entries sent them.

    :param namings: the `NamingHistory`.
    """

    def __init__(self, namings):
        self._namings = namings
        self._overdue_report = None
        self._logged_version = None

    def observe(self, report, version, within_s):
        """Count the requests that began since the previous report.

        They are counted if the time in which requests may begin had ended before both
        reports. Reports during an order, and those before and after a restart, are not
        compared. The count is a lower bound, as a request that ends between two reports
        hides one that begins.

        :param report: the `EngineReport`.
        :param version: the version of the weights that the engine holds, 0 for none.
        :param within_s: how long requests may begin on superseded weights.
        """
        previous, self._overdue_report = self._overdue_report, None
        if not self._is_overdue(version, within_s) or report.busy:
            return
        self._overdue_report = report
        if previous is None or previous.started_ms != report.started_ms:
            return
        begun = report.running - previous.running
        if begun <= 0:
            return
        _OVERDUE_BEGINS.inc(begun)
        if self._logged_version != version:
            self._logged_version = version
            _log.warning("overdue_begun", version=version, running=report.running)

    def _is_overdue(self, version, within_s):
        ages_s = [
            age_s
            for named, age_s, certain in self._namings.describe()
            if certain and named > version
        ]
        return version > 0 and max(ages_s, default=0.0) > within_s
