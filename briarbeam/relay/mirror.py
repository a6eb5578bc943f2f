"""A local copy of one kind of the store's records, kept up by a watch."""

import math

import gevent
import structlog
from gevent.event import Event

from .errors import HistoryGoneError, RecheckError, StoreUnavailableError

# A store that refuses or is silent is asked again after this, growing up to the
# second figure: a tenth of a second finds its return early, and the rest of an
# outage costs few calls.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
# Changes that follow each other sooner than this are a series.
SERIES_S = 1.0

_log = structlog.get_logger()


class Mirror:
    """Keeps the records of a kind, and when they were last confirmed.

    `unseen_s` is for how long no call would have shown a change, before the last one did.

    :param store: the `StoreClient`.
    :param clock: the `Clock`.
    :param wait_s: a function that returns how long the next watch waits, in seconds.
    :param on_change: called with the dictionary of records by name after each change.
    :param settle_s: the pause after a change, in seconds.
    :param series_pause_s: a function that returns the pause in a series of changes, in
        seconds. After it the records are listed: a watch would bring each state of the
        series. None where records are so small that this does not matter.
    :param canary: a `Mirror` of the same store, or None. While it can't reach the store
        this one makes no calls, and its return is this one's.
    """

    def __init__(
        self,
        store,
        kind,
        clock,
        wait_s,
        on_change,
        settle_s=0.0,
        series_pause_s=None,
        canary=None,
    ):
        self._store = store
        self._kind = kind
        self._clock = clock
        self._wait_s = wait_s
        self._on_change = on_change
        self._settle_s = settle_s
        self._series_pause_s = series_pause_s
        self._in_series = False
        self._changed_s = -math.inf
        self._records = {}
        self._revision = None
        self._canary = canary
        self._task = None
        self.reachable = Event()
        self.reachable.set()
        self.unseen_s = math.inf
        self._answered_s = -math.inf
        self.confirmed_s = None
        self.restored_s = None

    @property
    def kind(self):
        """The kind of records."""
        return self._kind

    def run(self):
        """Follow the store for ever."""
        while True:
            try:
                self._follow()
            except RecheckError:
                # It may also come just after the watch that it was meant for.
                self._revision = None

    def _follow(self):
        pause_s = RETRY_MIN_S
        while True:
            if self._canary is not None:
                self._canary.reachable.wait()
            try:
                pause_is_due = self._step()
                pause_s = RETRY_MIN_S
                self._note_reachable()
                if pause_is_due:
                    self._pause_after_change()
            except RecheckError:
                raise
            except HistoryGoneError:
                _log.info("history_gone", kind=self._kind, revision=self._revision)
                self._revision = None
                gevent.sleep(RETRY_MIN_S)
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

    @property
    def summary(self):
        """The newest revision of a record, and how many records there are.

        Two copies of the store's records with the same summary are the same.
        """
        newest = max((r.revision for r in self._records.values()), default=0)
        return newest, len(self._records)

    @property
    def watching(self):
        """Whether a watch is waiting for changes now."""
        return self._task is not None

    def confirm(self, at_s):
        """Note that the records were the store's at `at_s`, in boot time."""
        if self.confirmed_s is not None:
            self.confirmed_s = max(self.confirmed_s, at_s)

    def recheck(self):
        """List the records anew, if only a watch is waiting now."""
        if self._task is not None:
            gevent.kill(self._task, RecheckError("asked to look again"))

    def _watch(self):
        self._task = gevent.getcurrent()
        try:
            return self._store.watch(self._kind, self._revision, self._wait_s())
        finally:
            self._task = None

    def _step(self):
        """List or watch once, and return whether a pause is due before the next call."""
        sent_s = self._clock.boottime_s()
        if self._in_series or self._revision is None or not self.reachable.is_set():
            before = self.summary
            records, self._revision = self._store.list(self._kind)
            self._records = {record.name: record for record in records}
            self._note_answer(self._clock.boottime_s())
            self.confirmed_s = sent_s
            self._on_change(self._records)
            self._in_series = self._in_series and self.summary != before
            return self._in_series
        changes, self._revision = self._watch()
        for change in changes:
            if change.removed:
                self._records.pop(change.record.name, None)
            else:
                self._records[change.record.name] = change.record
        self._note_answer(sent_s)
        self.confirmed_s = sent_s
        if changes:
            self._on_change(self._records)
            self._note_series()
        return bool(changes)

    def _note_answer(self, unseen_until_s):
        """Note that the store answered a call that shows all changes from then on."""
        self.unseen_s = unseen_until_s - self._answered_s
        self._answered_s = self._clock.boottime_s()

    def _note_series(self):
        """Notice changes in quick succession."""
        now_s = self._clock.monotonic_s()
        if self._series_pause_s is not None:
            self._in_series = now_s - self._changed_s < SERIES_S
        self._changed_s = now_s

    def _pause_after_change(self):
        if self._in_series:
            gevent.sleep(self._series_pause_s())
        else:
            gevent.sleep(self._settle_s)

    def _note_reachable(self):
        if not self.reachable.is_set():
            self.reachable.set()
            self.restored_s = self._clock.boottime_s()
            _log.info("store_regained", kind=self._kind, revision=self._revision)

    def _note_unreachable(self, error):
        if self.reachable.is_set():
            self.reachable.clear()
            _log.warning("store_lost", kind=self._kind, error=str(error))
