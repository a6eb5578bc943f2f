"""Keeps an entry's mirrors of the store up to date with few calls.

Each call to the store is billed, and a waiting watch counts as one call. In each
failure domain, the entry that forwards load reports is the reader: its watches have
short waits. Its neighbours, the followers, probe it about once a second to learn
whether their mirrors equal the reader's, and their watches have long waits. They don't
watch the desired state at all, but get it from each other, see `spread`.
"""

import gevent
import structlog

# A neighbour's confirmation states the age of its own desired state, at most 1.2 s in
# normal operation. An age above this means that the neighbour can't reach the store.
NEIGHBOUR_AGE_MAX_S = 1.6
# An entry whose calls to the store have failed for this long is no reader. Its desired
# state may still be young, as entries of other failure domains confirm it.
STORE_LOST_MAX_S = 0.8
# An entry without a confirmation for this long returns to short waits. Two consecutive
# probes may be lost.
CONFIRMATION_TIMEOUT_S = 1.6
# A change reaches both entries almost at once. A mirror that differs for longer than
# this is listed again.
DIFFERS_MAX_S = 1.2
# How long a watch waits while a neighbour confirms the mirrors. The platform allows at
# most 30 s.
FOLLOWING_WAIT_S = 25.0
POLL_S = 0.25

_log = structlog.get_logger()


class StoreFollower:
    """Decides how long watches wait, and when a mirror has to be listed again.

    :param clock: the `Clock`.
    :param state_mirror: the `Mirror` of the desired state.
    :param others: the other mirrors, in the same order at every entry.

    `is_reader` is a function that returns whether this entry forwards load reports and
    thus is the reader. `following` is whether a neighbour confirms the mirrors.
    """

    def __init__(self, clock, state_mirror, others):
        self._clock = clock
        self._state_mirror = state_mirror
        self.is_reader = lambda: False
        self._mirrors = [state_mirror, *others]
        self._confirmation_sent_s = None
        self._differs_since_s = {}
        self.following = False

    def run(self):
        """Call `check` every `POLL_S`, forever."""
        while True:
            gevent.sleep(POLL_S)
            self.check()

    def check(self):
        """Return to short waits if this entry is the reader or lacks confirmations."""
        if self.following and (self.is_reader() or not self._is_confirmed()):
            self.following = False
            _log.info("follow_lost")
            # A watch on the desired state is short. A list would return all of it.
            for mirror in self._mirrors[1:]:
                mirror.recheck()

    def watch_wait_s(self, unconfirmed_wait_s):
        """Return how long a watch should wait for changes, in seconds.

        :param unconfirmed_wait_s: the wait while no neighbour confirms the mirrors.
        """
        return FOLLOWING_WAIT_S if self.following else unconfirmed_wait_s

    def has_lost_store(self):
        """Return whether a mirror has not reached the store for `STORE_LOST_MAX_S`."""
        now_s = self._clock.boottime_s()
        return any(
            mirror.lost_s is not None and now_s - mirror.lost_s > STORE_LOST_MAX_S
            for mirror in self._mirrors
        )

    def describe(self):
        """Return the tuple of the ages and the tuple of the summaries of all mirrors.

        The mirror of the desired state is the first. Ages are in seconds, and None
        before the first list.
        """
        ages_s = tuple(m.age_s for m in self._mirrors)
        return ages_s, tuple(m.summary for m in self._mirrors)

    def handle_confirmation(self, sent_s, ages_s, summaries):
        """Apply a neighbour's answer to a probe: it confirms mirrors that are equal.

        :param sent_s: when the probe was sent, in boot time of this entry.
        :param ages_s: as in `describe`.
        :param summaries: as in `describe`.
        """
        now_s = self._clock.boottime_s()
        if ages_s[0] > NEIGHBOUR_AGE_MAX_S or sent_s > now_s:
            return
        for mirror, age_s, summary in zip(
            self._mirrors, ages_s, summaries, strict=False
        ):
            if mirror is not self._state_mirror:
                self._check_difference(mirror, tuple(summary), now_s)
            if age_s is not None and tuple(summary) == mirror.summary:
                mirror.confirm(sent_s - age_s)
        self._confirmation_sent_s = sent_s
        if not self.following and self._is_confirmed() and not self.is_reader():
            self.following = True
            _log.info("follow_begun")

    def _check_difference(self, mirror, summary, now_s):
        # A mirror that is being listed or pauses after a change is expected to differ.
        if summary == mirror.summary or not mirror.watching:
            self._differs_since_s.pop(mirror, None)
            return
        since_s = self._differs_since_s.setdefault(mirror, now_s)
        if now_s - since_s > DIFFERS_MAX_S:
            del self._differs_since_s[mirror]
            _log.info(
                "copy_differs", kind=mirror.kind, here=mirror.summary, there=summary
            )
            mirror.recheck()

    def _is_confirmed(self):
        if self._confirmation_sent_s is None:
            return False
        return (
            self._clock.boottime_s() - self._confirmation_sent_s
            <= CONFIRMATION_TIMEOUT_S
        )
