"""How an entry's copies of the store's records stay current with few calls.

Each call to the store is priced, a waiting watch as one. The entry that passes loads on
in a failure domain watches with short waits; its neighbours ask it about once a second
whether their copies are the same as its own, and let their watches wait for long. The
desired state they take from it, see `spread`, and don't watch at all.
"""

import gevent
import structlog

# A confirmation from a neighbour counts with its own age, at most 1.2 s where all is
# well. Above this the neighbour itself has lost the store.
NEIGHBOUR_AGE_MAX_S = 1.6
# Without a confirmation for so long, an entry goes back to short waits. Two questions in a
# row may be lost.
CONFIRMATION_TIMEOUT_S = 1.6
# A change reaches both within moments; a copy that differs for longer is looked at.
DIFFERS_MAX_S = 1.2
# The longest wait of a watch that the platform allows is 30 s.
FOLLOWING_WAIT_S = 25.0
POLL_S = 0.25

_log = structlog.get_logger()


class StoreFollower:
    """Decides how long watches wait, and when a copy is to be listed anew.

    :param clock: the `Clock`.
    :param config: the `Mirror` of the desired state.
    :param others: the other mirrors, in the same order at every entry.

    `is_reader` is a function that tells whether this entry passes loads on itself.
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
        """Notice the end of confirmations, for ever."""
        while True:
            gevent.sleep(POLL_S)
            self.check()

    def check(self):
        """Go back to short waits if no neighbour has confirmed for too long."""
        if self.following and (self.is_reader() or not self._is_confirmed()):
            self.following = False
            _log.info("follow_lost")
            for mirror in self._mirrors:
                mirror.recheck()

    def wait_s(self, unconfirmed_wait_s):
        """Return how long a watch is to wait.

        :param alone_s: how long where no neighbour confirms.
        """
        return FOLLOWING_WAIT_S if self.following else unconfirmed_wait_s

    def describe(self):
        """Return the ages and the summaries of all mirrors.

        An age is None before the first list.
        """
        ages_s = tuple(m.age_s for m in self._mirrors)
        return ages_s, tuple(m.summary for m in self._mirrors)

    def note_confirmation(self, sent_s, ages_s, summaries):
        """Take over what a neighbour answered to what was asked at `sent_s`.

        :param sent_s: boot time of this entry.
        :param ages_s: as in `describe`.
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
        # A copy that is just being read, or pauses after a change, is not behind.
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
