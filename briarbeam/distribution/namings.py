"""When versions of the weights were named: a history that daemons tell each other.

The store's record holds the newest name only, so a daemon that starts can't read from it
when the versions before were superseded, nor when the newest one was named.
"""

from dataclasses import dataclass

# Versions count from here; engines may hold it before any version is named.
FIRST_VERSION = 1
# Names kept, and told to others. Several within the time that a version has are rare.
KEPT_MAX = 16
TOLD_MAX = 4
# Differences in age below this come from the way of a datagram.
AGE_TOLERANCE_S = 0.2


@dataclass
class Naming:
    """When a version was named.

    :param named_s: boot time, which counts time suspended.
    :param certain: False while the time is only assumed.
    """

    version: int
    named_s: float
    certain: bool


class NamingHistory:
    """The names of one model, oldest first.

    Between two names that are certain there is none that is not known here.

    :param clock: the `Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._namings = []

    def __len__(self):
        return len(self._namings)

    @property
    def newest(self):
        """The newest version named; 0 if none is known."""
        return self._namings[-1].version if self._namings else 0

    def note(self, version, age_s, certain):
        """Note a name that was heard, or whose age is assumed.

        Of several certain times the oldest holds: a name can be heard late.
        """
        named_s = self._clock.boottime_s() - age_s
        known = self._find(version)
        if known is None:
            self._insert(Naming(version, named_s, certain))
        elif certain and (not known.certain or named_s < known.named_s):
            known.named_s, known.certain = named_s, True

    def learn(self, told):
        """Take over what another daemon knows for certain.

        :param told: pairs of version and age in seconds, oldest first. It knows every
            name between them, but not the names before the first.
        """
        first_version, first_age_s = told[0]
        assumed = self._first_assumed(first_version)
        if assumed is not None and first_version > FIRST_VERSION:
            # Versions below the first may have been superseded before it.
            self._assume(first_version, first_age_s, assumed.named_s)
            told = told[1:]
        for version, age_s in told:
            self.note(version, age_s, True)

    def lacks(self, told):
        """Return whether `told`, as in `learn`, says more than this history.

        The age of the first name does not count: daemons know it since they started.
        """
        now_s = self._clock.boottime_s()
        for position, (version, age_s) in enumerate(told):
            known = self._find(version)
            if known is None or not known.certain:
                return True
            if position and age_s > now_s - known.named_s + AGE_TOLERANCE_S:
                return True
        return False

    def superseded_s(self, version):
        """Return when the first version above `version` was named, or None.

        :returns: boot time in seconds.
        """
        for naming in self._namings:
            if naming.version > version:
                return naming.named_s
        return None

    def required(self, within_s):
        """Return the newest version named `within_s` seconds ago or more; 0 if none."""
        now_s = self._clock.boottime_s()
        due = [n.version for n in self._namings if now_s - n.named_s >= within_s]
        return max(due, default=0)

    def age_s(self, version):
        """Return the seconds since `version` was named; 0 if it is not known."""
        known = self._find(version)
        return 0.0 if known is None else self._clock.boottime_s() - known.named_s

    def describe(self):
        """Return triples of version, age in seconds and certainty of the last names."""
        now_s = self._clock.boottime_s()
        return tuple(
            (naming.version, round(now_s - naming.named_s, 3), naming.certain)
            for naming in self._namings[-TOLD_MAX:]
        )

    def certain(self):
        """Return what others may `learn` from this history."""
        return tuple((v, age_s) for v, age_s, certain in self.describe() if certain)

    def _find(self, version):
        return next((n for n in self._namings if n.version == version), None)

    def _insert(self, naming):
        self._namings.append(naming)
        self._namings.sort(key=lambda n: n.version)
        del self._namings[:-KEPT_MAX]

    def _first_assumed(self, version):
        """Return the first name from `version` on if its time is only assumed."""
        later = [n for n in self._namings if n.version >= version]
        return later[0] if later and not later[0].certain else None

    def _assume(self, version, age_s, not_after_s):
        named_s = self._clock.boottime_s() - age_s
        known = self._find(version)
        if known is None:
            known = Naming(version, named_s, True)
            self._insert(known)
        known.certain = named_s <= not_after_s
        known.named_s = min(named_s, not_after_s)
