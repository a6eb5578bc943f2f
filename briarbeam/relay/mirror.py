"""A local copy of the store's records of one kind, updated by a watch."""

import json
import math
import random

import gevent
import structlog
from gevent.event import Event

from ..platform.revisions import era_of
from .era_age import REWRITE_GRACE_S
from .errors import (
    ChangesTooLargeError,
    HistoryGoneError,
    RecheckError,
    StoreRewoundError,
    StoreUnavailableError,
)

# Limits of the back-off of calls to a store that refuses them or does not answer. The
# lower one detects its return early, the growth keeps calls in a long outage few.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
# The longest pause before a list where each watch fails because its history is gone. A
# state that is listed this often is still fresh enough for neighbours to rely on.
HISTORY_PAUSE_MAX_S = 1.0
# Range of the random interval for an entry that gets the records from the reader.
FOLLOWER_RETRY_MIN_S = 1.0
FOLLOWER_RETRY_MAX_S = 2.5
# Changes that follow each other within this time form a burst.
BURST_GAP_S = 1.0
# In a burst, the pause between lists is this many times as long as a list took, so that
# lists leave most of a link's capacity to other traffic.
PAUSE_PER_LIST_DURATION = 2.0
BURST_PAUSE_MAX_S = 1.4
# A watch returns each state since its revision. Changes of large records that exceed the
# first size, and are this many times as large as the records, are not read: a list
# returns only the last state. The size takes 0.4 s on a link of 10 Mbit/s.
CHANGES_READ_BYTES = 512 * 1024
CHANGES_PER_RECORDS_MAX = 1.5
# Interval between checks whether other entries still supply the records.
PEER_POLL_S = 0.1

_log = structlog.get_logger()


class Mirror:
    """Keeps the records of a kind, and the time at which they were last confirmed.

    `unseen_s` is the time in seconds, between the last two answers of the store, during
    which no call would have shown a change. `restored_s` is the boot time at which the
    store was last reached again or its records were replaced by those of a later era,
    or None; `rewound_s` counts the latter only. `reachable` is an `Event` that is set
    while the store answers. `on_rewound` is called with the era when that has risen,
    `on_regained` with the boot time at which the store was lost, when it is reached
    again.

    :param store: the `StoreClient`.
    :param kind: the kind of the records, as in the store's paths.
    :param clock: the `Clock`.
    :param wait_s: a function that returns how long the next watch waits, in seconds.
    :param on_change: called with the dictionary of records by name after each change.
    :param change_pause_s: the pause after a change, in seconds.
    :param is_large: whether the records are so large that they take up a considerable
        part of a link. In a burst of changes, or after many missed ones, they are listed
        with pauses in between, because a watch would return each intermediate state.
    :param is_supplied_by_peers: a function that returns whether other entries supply
        the records through `replace_if_newer`; then the store is not called.
    :param is_reader: a function that returns whether no other entry reads the records
        for this one; otherwise calls to an unreachable store are retried less often.
    :param awaits_peer_copy: a function that returns whether other entries may still
        supply the records before the first list.
    :param peer_copy_wait_s: a function that returns for how many seconds other entries
        may supply the records of a new era before this one lists them.
    :param is_read_due: a function that returns whether this entry calls the store now
        for records that it has; otherwise other entries may supply what changed.
    :param lacks_writes: a function that returns whether the records are known to lack
        what was written before the store was restored.
    :param era_age: the `EraAge`, by which the first list is settled or not, or None if
        it always is.
    :param outage_detector: a `Mirror` of the same store, or None. While that one can't
        reach the store, this one makes no calls; it resumes when that one reaches it
        again.
    """

    def __init__(
        self,
        store,
        kind,
        clock,
        wait_s,
        on_change,
        change_pause_s=0.0,
        is_large=False,
        is_supplied_by_peers=None,
        is_reader=None,
        awaits_peer_copy=None,
        peer_copy_wait_s=None,
        is_read_due=None,
        lacks_writes=None,
        era_age=None,
        outage_detector=None,
    ):
        self._store = store
        self._kind = kind
        self._clock = clock
        self._wait_s = wait_s
        self._on_change = on_change
        self._change_pause_s = change_pause_s
        self._is_large = is_large
        self._is_supplied_by_peers = is_supplied_by_peers or (lambda: False)
        self._is_reader = is_reader or (lambda: True)
        self._awaits_peer_copy = awaits_peer_copy or (lambda: False)
        self._peer_copy_wait_s = peer_copy_wait_s or (lambda: 0.0)
        self._is_read_due = is_read_due or (lambda: True)
        self._lacks_writes = lacks_writes or (lambda: False)
        self._era_age = era_age
        self._list_duration_s = 0.0
        self._history_pause_s = RETRY_MIN_S
        self._in_burst = False
        self._changed_s = -math.inf
        # The newest revision whose size is known, and the size in bytes.
        self._measured = (0, 0)
        self._records = {}
        self._revision = None
        # The era of the records, None before the first ones; the latest era that is
        # known; and the monotonic time at which that became known.
        self._era = None
        self._known_era = 0
        self._known_era_at_s = -math.inf
        self._outage_detector = outage_detector
        self._watch_task = None
        self.reachable = Event()
        self.reachable.set()
        self.unseen_s = math.inf
        self._answered_s = -math.inf
        self.confirmed_s = None
        # Boot time since which calls have failed, None while the store answers.
        self.lost_s = None
        self.restored_s = None
        self.rewound_s = None
        # Since when the records may lack what a restored store has lost, or None; and
        # when they were last confirmed before that.
        self._unsettled_since_s = None
        self._confirmed_before_s = None
        # Whether the records are unsettled only because the era may be young.
        self._awaits_era_age = False
        self.on_rewound = lambda era: None
        self.on_regained = lambda lost_s: None

    @property
    def kind(self):
        """The kind of the records."""
        return self._kind

    def run(self):
        """Follow the store forever."""
        while True:
            try:
                self._follow()
            except RecheckError:
                # It may also be raised just after the watch that it was meant to end.
                self._revision = None

    def _follow(self):
        pause_s = RETRY_MIN_S
        while True:
            if self._outage_detector is not None:
                self._outage_detector.reachable.wait()
            try:
                self._await_peer_copy()
                pause_is_due = self._step()
                pause_s = RETRY_MIN_S
                if pause_is_due:
                    self._pause_after_change()
            except RecheckError:
                raise
            except StoreRewoundError as error:
                self._drop_history(error.era)
            except ChangesTooLargeError as error:
                _log.info("changes_not_read", kind=self._kind, error=str(error))
                self._in_burst = True
            except HistoryGoneError:
                _log.info("history_gone", kind=self._kind, revision=self._revision)
                self._revision = None
                gevent.sleep(self._history_pause_s)
                self._history_pause_s = min(
                    HISTORY_PAUSE_MAX_S, self._history_pause_s * 2
                )
            except StoreUnavailableError as error:
                self._mark_unreachable(error)
                gevent.sleep(pause_s if self._is_reader() else _follower_retry_s())
                pause_s = min(RETRY_MAX_S, pause_s * 2)
            except Exception:
                # A change that can't be applied must not end this task.
                _log.exception("mirror_failed", kind=self._kind)
                self._revision = None
                gevent.sleep(RETRY_MAX_S)

    @property
    def age_s(self):
        """Seconds since the records were last known to match the store, or None.

        They count from the time at which the confirming call was sent, and include time
        during which the machine was suspended.
        """
        if self.confirmed_s is None:
            return None
        return self._clock.boottime_s() - self.confirmed_s

    @property
    def settled_age_s(self):
        """Seconds since the records were last known to have all that was written.

        Like `age_s`, but after a restore of the store its answers don't count until
        what it lost has been written again. None if the records were never known to
        have it, also before the first list.
        """
        if self.is_settled():
            return self.age_s
        if self._confirmed_before_s is None:
            return None
        return self._clock.boottime_s() - self._confirmed_before_s

    def is_settled(self):
        """Return whether the records count as having all that was written."""
        if self._unsettled_since_s is None:
            return True
        if self._awaits_era_age and self._is_settled_by_age():
            self._end_era_age_wait("era_age")
            self._unsettled_since_s = None
            return True
        if self._clock.boottime_s() - self._unsettled_since_s < REWRITE_GRACE_S:
            return False
        if self._awaits_era_age:
            self._end_era_age_wait("waited")
        return not self._lacks_writes()

    def _is_settled_by_age(self):
        return self.confirmed_s is not None and self._era_age.is_settled(
            self._era, self.confirmed_s
        )

    def _log_unsettled(self, era):
        _log.warning(
            "first_records_unsettled",
            kind=self._kind,
            era=era,
            cause="era_age" if self._awaits_era_age else "copy",
            era_age_s=_rounded(self._era_age and self._era_age.age_s(era)),
        )

    def _end_era_age_wait(self, cause):
        self._awaits_era_age = False
        _log.info(
            "first_records_settled",
            kind=self._kind,
            era=self._era,
            cause=cause,
            era_age_s=_rounded(self._era_age.age_s(self._era)),
            waited_s=round(self._clock.boottime_s() - self._unsettled_since_s, 3),
        )

    @property
    def summary(self):
        """The newest revision of a record, and the number of records.

        Two copies of the store's records with the same summary are equal.
        """
        return _newest_revision(self._records), len(self._records)

    @property
    def watching(self):
        """Whether a watch is waiting for changes at present."""
        return self._watch_task is not None

    def confirm(self, at_s):
        """Record that the records matched the store at `at_s`, in boot time.

        Has no effect before the first list.
        """
        if self.confirmed_s is not None:
            self.confirmed_s = max(self.confirmed_s, at_s)

    @property
    def store_revision(self):
        """The store's revision that the records were read at, 0 before the first list."""
        return self._revision or self.summary[0]

    def snapshot(self):
        """Return the records by name, and the store's revision to watch from."""
        return dict(self._records), self.store_revision

    def replace_if_newer(self, records, revision, at_s, is_settled=True):
        """Replace the records by those of another entry if these are newer.

        :param revision: the store's revision to resume a watch from.
        :param at_s: when they matched the store, in boot time of this entry.
        :param is_settled: whether the other entry counts them as settled.
        """
        newest = _newest_revision(records)
        if newest <= self.summary[0] or era_of(newest) < (self._era or 0):
            return
        confirmed_s = max(at_s, self.confirmed_s or -math.inf)
        self._replace(dict(records), revision, confirmed_s, is_settled)

    def replace_if_later(self, records, revision, at_s):
        """Replace the records by those that another entry read at a later revision.

        Unlike `replace_if_newer`, it also replaces them by fewer records.

        :param revision: the store's revision that they were read at, to resume a watch
            from.
        :param at_s: when they matched the store, in boot time of this entry.
        """
        if self._revision is None or revision <= self._revision:
            return
        self._replace(dict(records), revision, max(at_s, self.confirmed_s))

    def reapply(self):
        """Call `on_change` with the present records."""
        if self.confirmed_s is not None:
            self._on_change(self._records)

    def recheck(self):
        """End a waiting watch and list the records again; do nothing if none waits."""
        if self._watch_task is not None:
            gevent.kill(self._watch_task, RecheckError("recheck was requested"))

    def recheck_before(self, era):
        """List the records again if they are from before `era` and a watch waits.

        The store ends the watches of all kinds at about the same time, so this one gets
        a moment to end by itself.
        """
        if self._era is not None and self._era < era:
            self._record_known_era(era)
            gevent.spawn_later(PEER_POLL_S, self._recheck_if_behind)

    def _recheck_if_behind(self):
        if self._era < self._known_era:
            self.recheck()

    def _drop_history(self, era):
        """Forget the revision to watch from if it is from before `era`."""
        self._record_known_era(era)
        if self._revision is not None and era_of(self._revision) < era:
            self._revision = None

    def _record_known_era(self, era):
        if era > self._known_era:
            self._known_era, self._known_era_at_s = era, self._clock.monotonic_s()

    def _watch(self):
        limits = {"max_bytes": self._changes_max_bytes()} if self._is_large else {}
        self._watch_task = gevent.getcurrent()
        try:
            return self._store.watch(
                self._kind, self._revision, self._wait_s(), **limits
            )
        finally:
            self._watch_task = None

    def _changes_max_bytes(self):
        """Return the size up to which changes are read rather than a list."""
        revision, size_bytes = self._measured
        if revision != self.summary[0]:
            size_bytes = sum(len(json.dumps(r.spec)) for r in self._records.values())
            self._measured = self.summary[0], size_bytes
        return max(CHANGES_READ_BYTES, int(CHANGES_PER_RECORDS_MAX * size_bytes))

    def _await_peer_copy(self):
        """Wait while other entries may supply the first records or those of a new era.

        Otherwise all entries would list a large state when the store returns.
        """
        while self.confirmed_s is None and self._awaits_peer_copy():
            gevent.sleep(PEER_POLL_S / 2)
        while self._revision is None and self._awaits_new_era():
            gevent.sleep(PEER_POLL_S / 2)
        while self._awaits_missed_changes():
            gevent.sleep(PEER_POLL_S / 2)

    def _awaits_new_era(self):
        if self._era is None or self._era >= self._known_era:
            return False
        waited_s = self._clock.monotonic_s() - self._known_era_at_s
        return waited_s < self._peer_copy_wait_s()

    def _awaits_missed_changes(self):
        # The wait for the records of a new era is another one.
        return (
            self._revision is not None
            and self._era >= self._known_era
            and not self._is_supplied_by_peers()
            and not self._is_read_due()
        )

    def _relies_on_peers(self):
        if self._revision is None or not self._is_supplied_by_peers():
            return False
        if self._is_large and self._detector_reached_store():
            # A watch of this mirror would return each state since the outage.
            self._mark_reachable()
        # While the store is unreachable, other mirrors wait for this one to reach it.
        return self.reachable.is_set()

    def _detector_reached_store(self):
        """Return whether the detector of outages was answered since the loss."""
        detector = self._outage_detector
        return (
            detector is not None
            and self.lost_s is not None
            and detector._answered_s > self.lost_s
        )

    def _needs_list(self):
        if self._in_burst or self._revision is None:
            return True
        # For large records a watch is cheaper, as it returns them only after a change.
        return not self.reachable.is_set() and not self._is_large

    def _step(self):
        """Make one list or watch call; return whether a pause is due after it.

        No call is made while other entries supply the records.
        """
        if self._relies_on_peers():
            self._in_burst = False
            gevent.sleep(PEER_POLL_S)
            return False
        sent_s = self._clock.boottime_s()
        if self._needs_list():
            return self._list(sent_s)
        watched_revision = self._revision
        changes, revision = self._watch()
        self._history_pause_s = RETRY_MIN_S
        self._mark_reachable()
        if era_of(revision) < self._era:
            # Another entry has supplied records of a newer era in the meantime.
            return False
        if self._revision != watched_revision and not self._is_large:
            # Another entry has supplied records in the meantime. The changes are from
            # before them, or the next watch shows them again.
            return False
        if self._is_large:
            # Another entry may have supplied newer records in the meantime.
            current_revision = self.summary[0]
            changes = [c for c in changes if c.record.revision > current_revision]
        revision = max(revision, self._revision or 0)
        self._record_answer(sent_s)
        if not changes:
            self._revision = revision
            self.confirm(sent_s)
            return False
        self._replace(self._apply_changes(changes), revision, sent_s)
        self._update_burst()
        return True

    def _apply_changes(self, changes):
        """Return the records after `changes`."""
        records = dict(self._records)
        for change in changes:
            if change.removed:
                records.pop(change.record.name, None)
            else:
                records[change.record.name] = change.record
        return records

    def _replace(self, records, revision, confirmed_s, is_settled=True):
        """Replace the records; restore the previous ones if `on_change` raises.

        :param is_settled: whether the records count as settled if they are the first.
        """
        self._update_era(era_of(revision), is_settled)
        previous = self._records, self._revision, self.confirmed_s
        self._records, self._revision, self.confirmed_s = records, revision, confirmed_s
        try:
            self._on_change(records)
        except Exception:
            self._records, self._revision, self.confirmed_s = previous
            raise

    def _update_era(self, era, is_settled):
        """Record the era of the records that are about to replace the present ones."""
        previous, self._era = self._era, era
        if previous is None and not is_settled:
            self._unsettled_since_s = self._clock.boottime_s()
            self._log_unsettled(era)
        if previous is None or era <= previous:
            return
        if self.is_settled():
            self._confirmed_before_s = self.confirmed_s
        self.rewound_s = self.restored_s = self._clock.boottime_s()
        self._unsettled_since_s, self._awaits_era_age = self.rewound_s, False
        _log.warning("records_rewound", kind=self._kind, era=era, before=previous)
        self.on_rewound(era)

    def _list(self, sent_s):
        """Replace the records by a list; return whether a pause is due after it.

        :param sent_s: boot time at which the call is sent.
        """
        previous = self.summary
        records, revision = self._store.list(self._kind)
        self._mark_reachable()
        answered_s = self._clock.boottime_s()
        self._list_duration_s = answered_s - sent_s
        listed = {record.name: record for record in records}
        if self._is_large and _newest_revision(listed) < self.summary[0]:
            # Another entry supplied a newer state while the answer was on its way, or
            # the store was restored without the state, which will be written again.
            return True
        self._record_answer(answered_s)
        is_settled = self._era_age is None or self._era_age.is_settled(
            era_of(revision), sent_s
        )
        if self._era is None:
            self._awaits_era_age = not is_settled
        self._replace(listed, revision, sent_s, is_settled)
        self._in_burst = self._in_burst and self.summary != previous
        return self._in_burst

    def _record_answer(self, unseen_until_s):
        """Record an answer of the store that shows all changes, and update `unseen_s`.

        :param unseen_until_s: boot time until which no call would have shown a change.
        """
        self.unseen_s = unseen_until_s - self._answered_s
        self._answered_s = self._clock.boottime_s()

    def _update_burst(self):
        """Record a change, and whether it is part of a burst."""
        now_s = self._clock.monotonic_s()
        if self._is_large:
            self._in_burst = now_s - self._changed_s < BURST_GAP_S
        self._changed_s = now_s

    def _pause_after_change(self):
        pause_s = self._change_pause_s
        if self._in_burst:
            pause_s = max(pause_s, PAUSE_PER_LIST_DURATION * self._list_duration_s)
        gevent.sleep(min(BURST_PAUSE_MAX_S, pause_s))

    def _mark_reachable(self):
        if not self.reachable.is_set():
            self.reachable.set()
            lost_s, self.lost_s = self.lost_s, None
            self.restored_s = self._clock.boottime_s()
            self.on_regained(lost_s)
            _log.info("store_regained", kind=self._kind, revision=self._revision)

    def _mark_unreachable(self, error):
        if self.reachable.is_set():
            self.reachable.clear()
            self.lost_s = self._clock.boottime_s()
            _log.warning("store_lost", kind=self._kind, error=str(error))


def _rounded(value_s):
    return None if value_s is None else round(value_s, 3)


def _newest_revision(records):
    return max((record.revision for record in records.values()), default=0)


def _follower_retry_s():
    return random.uniform(FOLLOWER_RETRY_MIN_S, FOLLOWER_RETRY_MAX_S)
