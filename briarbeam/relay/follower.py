"""Keeps an entry's copies of the store's records current with few calls.

Each call to the store is billed, and a waiting watch counts as one call. In each failure
domain, the entry that forwards load reports watches with short waits. Its neighbours ask
it about once a second whether their copies equal its own, and use long waits. They get the
desired state from it, see `spread`, without watching it at all.
"""

import gevent
import structlog

# A confirmation from a neighbour has the age of the neighbour's own copy, at most 1.2 s in
# normal operation. A larger age than this means that the neighbour can't reach the store.
NEIGHBOUR_AGE_MAX_S = 1.6
# Without a confirmation for this long, an entry returns to short waits. Two consecutive
# queries may be lost.
CONFIRMATION_TIMEOUT_S = 1.6
# A change reaches both entries almost at once. A copy that differs for longer than this is
# listed again.
DIFFERS_MAX_S = 1.2
# How long a watch waits while a neighbour confirms the copies; the platform allows 30 s.
FOLLOWING_WAIT_S = 25.0
POLL_S = 0.25

_log = structlog.get_logger()


class StoreFollower:
    """Decides how long watches wait, and when a copy has to be listed again.

    :param clock: the `Clock`.
    :param config: the `Mirror` of the desired state.
    :param others: the other mirrors, in the same order at every entry.

    `is_reader` is a function that returns whether this entry is the one that forwards load
    reports. `following` is whether a neighbour confirms the copies.
    """

    def __init__(self, clock, config, others):
        self._clock = clock
        self._config = config
        self.is_reader = lambda: False
        self._mirrors = [config, *others]
        self._confirmed_s = None
        self._differs_since_s = {}
        self.following = False

    def run(self):
        """Check every `POLL_S` whether confirmations have ended, forever."""
        while True:
            gevent.sleep(POLL_S)
            self.check()

    def check(self):
        """Return to short waits if no neighbour has confirmed the copies for too long."""
        if self.following and (self.is_reader() or not self._is_confirmed()):
            self.following = False
            _log.info("follow_lost")
            for mirror in self._mirrors:
                mirror.recheck()

    def wait_s(self, unconfirmed_wait_s):
        """Return how long a watch has to wait, in seconds.

        :param unconfirmed_wait_s: the wait while no neighbour confirms the copies.
        """
        return FOLLOWING_WAIT_S if self.following else unconfirmed_wait_s

    def describe(self):
        """Return a tuple of the ages and one of the summaries of all mirrors.

        Ages are in seconds, and None before the first list.
        """
        ages_s = tuple(m.age_s for m in self._mirrors)
        return ages_s, tuple(m.summary for m in self._mirrors)

    def handle_confirmation(self, sent_s, ages_s, summaries):
        """Apply a neighbour's answer to a query.

        :param sent_s: when the query was sent, in boot time of this entry.
        :param ages_s: as in `describe`.
        :param summaries: as in `describe`.
        """
        now_s = self._clock.boottime_s()
        if ages_s[0] > NEIGHBOUR_AGE_MAX_S or sent_s > now_s:
            return
        for mirror, age_s, summary in zip(
            self._mirrors, ages_s, summaries, strict=False
        ):
            if mirror is not self._config:
                self._compare(mirror, tuple(summary), now_s)
            if age_s is not None and tuple(summary) == mirror.summary:
                mirror.confirm(sent_s - age_s)
        self._confirmed_s = sent_s
        if not self.following and self._is_confirmed() and not self.is_reader():
            self.following = True
            _log.info("follow_begun")

    def _compare(self, mirror, summary, now_s):
        # A copy that is being listed, or pauses after a change, is expected to differ.
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
        if self._confirmed_s is None:
            return False
        return self._clock.boottime_s() - self._confirmed_s <= CONFIRMATION_TIMEOUT_S
