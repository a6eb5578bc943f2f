"""At the daemon beside an engine: tells entries of desired states that others hold."""

from .messages import StateNews


class StateRelay:
    """Remembers the newest desired state that an entry greeted with.

    Entries that can't see each other, or the store, hear of it here. While only entries
    of other failure domains hold it, the forwarder alone is told who does: it fetches the
    copy that crosses the link, and the others take it from there.

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
        self._without = set()

    def note(self, greeting):
        """Take a greeting: learn from it, or tell the entry what it lacks.

        :returns: whether an entry of this failure domain begins here without a state.
        """
        holder = (greeting.host, greeting.failure_domain)
        begins = self._note_without(greeting)
        if greeting.state_revision > self._revision:
            self._revision, self._holder = greeting.state_revision, holder
            self._tell_at_once(greeting.host)
        elif greeting.state_revision < self._revision:
            self._tell(greeting.host, greeting.failure_domain)
        elif self._revision and self._is_better(holder):
            was_far = not self._is_near(self._holder)
            self._holder = holder
            if was_far and self._is_near(holder):
                self._tell_at_once(greeting.host)
        return begins

    def _note_without(self, greeting):
        """Note whether the entry lacks a state; return whether it does from now on."""
        if greeting.state_revision:
            self._without.discard(greeting.host)
            return False
        if greeting.failure_domain != self._failure_domain:
            return False
        begins = greeting.host not in self._without
        self._without.add(greeting.host)
        return begins

    def _is_near(self, holder):
        return holder[1] == self._failure_domain

    def _is_better(self, holder):
        """Return whether `holder`, who greets now, is a better one to name."""
        if self._is_near(holder):
            return True
        return not self._is_near(self._holder) or self._holder not in self._roster

    def _forwarder(self):
        for host, domain in self._roster.forwarders():
            if domain == self._failure_domain:
                return host
        return None

    def _tell_at_once(self, but_host):
        """Tell the entry here that tells the others, and those that hold no state yet."""
        here = {host for host, domain in self._roster if domain == self._failure_domain}
        told = self._without & here
        told.add(self._forwarder())
        for host in sorted(told - {but_host, None}):
            self._tell(host, self._failure_domain)

    def _tell(self, host, failure_domain):
        fetches = (
            self._is_near(self._holder)
            or failure_domain != self._failure_domain
            or host == self._forwarder()
        )
        holder = self._holder[0] if fetches else None
        self._send(StateNews(self._revision, holder), host)
