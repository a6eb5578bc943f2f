"""The evacuated failure domains, also while a restored store lacks some of them."""

from .fleet import REWIND_MEMORY_S


class Evacuations:
    """Keeps evacuations that a restore of the store undid until they are written again.

    :param clock: the `Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._recorded = frozenset()
        self._lost = frozenset()
        self._rewound_s = None

    def update(self, domains, rewound_s):
        """Apply the failure domains that the store's records name.

        :param rewound_s: boot time of the first list after the last restore, or None.
        """
        if rewound_s != self._rewound_s:
            self._lost |= self._recorded
            self._rewound_s = rewound_s
        self._recorded = frozenset(domains)
        self._lost -= self._recorded

    def domains(self):
        """Return the failure domains that are evacuated now."""
        if self._rewound_s is None:
            return self._recorded
        if self._clock.boottime_s() - self._rewound_s >= REWIND_MEMORY_S:
            self._lost = frozenset()
        return self._recorded | self._lost
