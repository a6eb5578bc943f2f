"""At the daemon beside an engine: tells entries of desired states that others hold."""

from .messages import StateNews


class StateRelay:
    """Remembers the newest desired state that an entry greeted with.

    Entries that can't see each other, or the store, hear of it here.

    :param roster: the `Roster` of entries.
    :param failure_domain: of this daemon.
    :param send: a function of a `StateNews` and a host.
    """

    def __init__(self, roster, failure_domain, send):
        self._roster = roster
        self._failure_domain = failure_domain
        self._send = send
        self._revision = 0
        self._holder = None
        self._holder_is_near = False
        self._without = set()

    def note(self, greeting):
        """Take a greeting: learn from it, or tell the entry what it lacks."""
        is_near = greeting.failure_domain == self._failure_domain
        if greeting.state_revision:
            self._without.discard(greeting.host)
        elif is_near:
            self._without.add(greeting.host)
        if greeting.state_revision > self._revision:
            self._revision = greeting.state_revision
            self._holder, self._holder_is_near = greeting.host, is_near
            self._tell_at_once(greeting.host)
        elif greeting.state_revision == self._revision:
            if is_near or not self._holder_is_near:
                self._holder, self._holder_is_near = greeting.host, is_near
        else:
            self._send(StateNews(self._revision, self._holder), greeting.host)

    def _tell_at_once(self, but_host):
        """Tell the entry here that tells the others, and those that hold no state yet."""
        here = [e[0] for e in self._roster if e[1] == self._failure_domain]
        told = self._without.intersection(here)
        told.update(
            host
            for host, domain in self._roster.forwarders()
            if domain == self._failure_domain
        )
        for host in sorted(told - {but_host}):
            self._send(StateNews(self._revision, self._holder), host)
