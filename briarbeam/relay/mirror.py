"""A local copy of one kind of the store's records, kept up by a watch."""

import gevent
import structlog

from .errors import HistoryGoneError, StoreUnavailableError

# A store that refuses or is silent is asked again after this, growing up to the
# second figure: a tenth of a second finds its return early, and the rest of an
# outage costs few calls.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5

_log = structlog.get_logger()


class Mirror:
    """Keeps the records of a kind, and when they were last confirmed.

    :param store: the `StoreClient`.
    :param clock: the `Clock`.
    :param wait_s: how long one watch waits; also bounds how long a dead connection
        to the store goes unnoticed.
    :param on_change: called with the dictionary of records by name after each change.
    """

    def __init__(self, store, kind, clock, wait_s, on_change, settle_s=0.0):
        self._store = store
        self._kind = kind
        self._clock = clock
        self._wait_s = wait_s
        self._on_change = on_change
        self._settle_s = settle_s
        self._records = {}
        self._revision = None
        self._reachable = True
        self.confirmed_s = None
        self.restored_s = None

    def run(self):
        """Follow the store for ever."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                changed = self._step()
                pause_s = RETRY_MIN_S
                self._note_reachable()
                if changed and self._settle_s:
                    gevent.sleep(self._settle_s)
            except HistoryGoneError:
                _log.info("history_gone", kind=self._kind, revision=self._revision)
                self._revision = None
            except StoreUnavailableError as error:
                self._note_unreachable(error)
                gevent.sleep(pause_s)
                pause_s = min(RETRY_MAX_S, pause_s * 2)
            except Exception:
                # A change that can't be taken over must not end the watch for good.
                _log.exception("mirror_failed", kind=self._kind)
                self._revision = None
                gevent.sleep(RETRY_MAX_S)

    @property
    def age_s(self):
        """Seconds since the records were last known to be the store's, or None.

        Counts from when the confirming call was sent, and counts time suspended.
        """
        if self.confirmed_s is None:
            return None
        return self._clock.boottime_s() - self.confirmed_s

    def _step(self):
        sent_s = self._clock.boottime_s()
        if self._revision is None or not self._reachable:
            records, self._revision = self._store.list(self._kind)
            self._records = {record.name: record for record in records}
            self.confirmed_s = sent_s
            self._on_change(self._records)
            return True
        changes, self._revision = self._store.watch(
            self._kind, self._revision, self._wait_s
        )
        for change in changes:
            if change.removed:
                self._records.pop(change.record.name, None)
            else:
                self._records[change.record.name] = change.record
        self.confirmed_s = sent_s
        if changes:
            self._on_change(self._records)
        return bool(changes)

    def _note_reachable(self):
        if not self._reachable:
            self._reachable = True
            self.restored_s = self._clock.boottime_s()
            _log.info("store_regained", kind=self._kind, revision=self._revision)

    def _note_unreachable(self, error):
        if self._reachable:
            self._reachable = False
            _log.warning("store_lost", kind=self._kind, error=str(error))
