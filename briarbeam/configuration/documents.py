"""Documents that every daemon holds, each with a revision that never goes back."""

import math
from dataclasses import dataclass

from ..kernel.clock import Clock

CONFIGURATION = "configuration"
INSTANCES = "instances"


@dataclass
class Document:
    """A document as this daemon holds it.

    :param confirmed_at_s: monotonic time at which the platform last confirmed the
        revision, as far as this daemon has heard.
    """

    name: str
    revision: int = 0
    body: bytes = b"{}"
    confirmed_at_s: float = -math.inf


class Documents:
    """The documents of this daemon."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._held = {name: Document(name) for name in (CONFIGURATION, INSTANCES)}
        self._listeners = []

    def get(self, name):
        """Return the document called `name`."""
        return self._held[name]

    def all(self):
        """Return all documents."""
        return list(self._held.values())

    def subscribe(self, name, listener):
        """Call ``listener(document)`` after each step forward of a document."""
        self._listeners.append((name, listener))

    def offer(self, name, revision, body, confirmed_age_s=math.inf):
        """Take a revision in if it is above the one held.

        :param confirmed_age_s: seconds since the platform confirmed the revision.
        :returns: whether the document stepped forward.
        """
        held = self._held[name]
        if revision < held.revision:
            return False
        newer = revision > held.revision
        if newer:
            held.revision = revision
            held.body = body
        self.confirm(name, revision, confirmed_age_s)
        if newer:
            for its_name, listener in self._listeners:
                if its_name == name:
                    listener(held)
        return newer

    def confirm(self, name, revision, confirmed_age_s):
        """Note that the platform held `revision` as its newest so many seconds ago."""
        held = self._held[name]
        if revision == held.revision:
            confirmed_at_s = self._clock.monotonic_s() - confirmed_age_s
            held.confirmed_at_s = max(held.confirmed_at_s, confirmed_at_s)

    def confirmed_age_s(self, name):
        """Return seconds since the platform confirmed what is held."""
        return self._clock.monotonic_s() - self._held[name].confirmed_at_s
