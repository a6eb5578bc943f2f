"""The history of namings, which daemons exchange with each other.

A version of the weights is named when an operator requests it in the store; from then
on the older versions are superseded. The store's record holds only the newest named
version, without its time, so a daemon that starts can't read from it when that version
was named, nor when older ones were superseded.
"""

from dataclasses import dataclass

# Versions start at this number; engines may hold it before any version is named.
FIRST_VERSION = 1
# Number of namings kept, and of those sent to other daemons. More than one within the
# time in which a version has to be in use is rare.
NAMINGS_MAX = 16
DESCRIBED_MAX = 4
# Differences in age up to this are attributed to the delay of datagrams. The safety
# margin on the time for which superseded versions are used has to cover them.
AGE_TOLERANCE_S = 0.1


@dataclass
class Naming:
    """When a version was named.

    :param named_s: boot time in seconds, which includes time in suspension.
    :param certain: False while the time is only assumed; namings directly before it may
        then be missing, too.
    """

    version: int
    named_s: float
    certain: bool


class NamingHistory:
    """The namings of one model's versions, oldest first.

    Between two consecutive namings that are certain there was no other one.

    :param clock: the `Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._namings = []

    def __len__(self):
        return len(self._namings)

    @property
    def newest(self):
        """The newest named version; 0 if none is known."""
        return self._namings[-1].version if self._namings else 0

    def record(self, version, age_s, certain):
        """Record a naming that was observed or received, or whose age is assumed.

        Of several certain times the earliest is kept, as a naming can be received late.

        :param age_s: the seconds since the version was named.
        :param certain: False if `age_s` is only assumed.
        """
        named_s = self._clock.boottime_s() - age_s
        known = self._find(version)
        if known is None:
            self._insert(Naming(version, named_s, certain))
        elif certain and (not known.certain or named_s < known.named_s):
            known.named_s, known.certain = named_s, True

    def merge(self, received):
        """Merge the history of another daemon into this one.

        :param received: what its `describe_certain` returned.
        """
        for version, age_s, certain, complete in _with_completeness(received):
            known = self._find(version)
            if complete or (certain and known is not None and known.certain):
                self.record(version, age_s, True)
            elif certain or known is None:
                self._assume(version, age_s)

    def lacks(self, received):
        """Return whether `received` has certain namings or earlier times missing here.

        :param received: as in `merge`.
        """
        now_s = self._clock.boottime_s()
        for version, age_s, certain, complete in _with_completeness(received):
            if not certain:
                continue
            known = self._find(version)
            if known is None or (complete and not known.certain):
                return True
            older_by_s = age_s - (now_s - known.named_s)
            # Each daemon counts the age of the first version from its own start.
            if version != FIRST_VERSION and older_by_s > AGE_TOLERANCE_S:
                return True
        return False

    def superseded_at_s(self, version):
        """Return when the first version above `version` was named.

        :returns: boot time in seconds, or None if no newer version is known.
        """
        newer_s = [n.named_s for n in self._namings if n.version > version]
        return min(newer_s, default=None)

    def required(self, within_s):
        """Return the newest version named `within_s` or more seconds ago; 0 if none."""
        now_s = self._clock.boottime_s()
        due = [n.version for n in self._namings if now_s - n.named_s >= within_s]
        return max(due, default=0)

    def age_s(self, version):
        """Return the seconds since `version` was named; 0 if it is not known."""
        known = self._find(version)
        return 0.0 if known is None else self._clock.boottime_s() - known.named_s

    def describe(self):
        """Return the last namings, as triples of version, age in s and certainty."""
        now_s = self._clock.boottime_s()
        return tuple(
            (naming.version, round(now_s - naming.named_s, 3), naming.certain)
            for naming in self._namings[-DESCRIBED_MAX:]
        )

    def describe_certain(self):
        """Return what others may `merge`: `describe` up to the last certain naming."""
        described = list(self.describe())
        while described and not described[-1][2]:
            described.pop()
        return tuple(described)

    def _find(self, version):
        return next((n for n in self._namings if n.version == version), None)

    def _insert(self, naming):
        self._namings.append(naming)
        self._namings.sort(key=lambda n: n.version)
        del self._namings[:-NAMINGS_MAX]

    def _assume(self, version, age_s):
        """Record a naming before which others may be missing.

        A missing one would have superseded older versions earlier. So if the time of
        this naming, or else of the next known one, is already assumed, the earlier time
        is kept.
        """
        later = [n for n in self._namings if n.version >= version]
        named_s = self._clock.boottime_s() - age_s
        if later and not later[0].certain:
            named_s = min(named_s, later[0].named_s)
        known = self._find(version)
        if known is None:
            self._insert(Naming(version, named_s, False))
        else:
            known.named_s = named_s


def _with_completeness(received):
    """Add to each naming whether it is complete.

    A complete naming is certain, and no other one lies between it and the one before.
    """
    after_certain = False
    for version, age_s, certain in received:
        complete = certain and (after_certain or version == FIRST_VERSION)
        yield version, age_s, certain, complete
        after_certain = certain
