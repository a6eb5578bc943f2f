"""At the daemon beside an engine: tells entries of desired states that others hold."""

from .messages import StateAnnouncement, StateReader


class StateRelay:
    """Remembers the newest desired state that an entry greeted with.

    Entries that can't see each other, or the store, hear of it here. While only entries
    of other failure domains hold it, the forwarder alone is told who does: it fetches the
    copy that crosses the link, and the others take it from there.

    Of the entries nearby that hold no state, it names the one that it heard first as the
    reader for all: they would fill the link to the store with copies otherwise.

    :param roster: the `Roster` of entries.
    :param failure_domain: of this daemon.
    :param send: a function of a `StateAnnouncement` or a `StateReader`, and a host.
    """

    def __init__(self, roster, failure_domain, send):
        self._roster = roster
        self._failure_domain = failure_domain
        self._send = send
        self._revision = 0
        self._holder = None
        # Hosts nearby without a state, in the order of their first greetings.
        self._without = {}

    def note(self, greeting):
        """Take a greeting: learn from it, or tell the entry what it lacks."""
        holder = (greeting.host, greeting.failure_domain)
        self._note_without(greeting)
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
        if greeting.host in self._without:
            self._send(StateReader(self._reader()), greeting.host)

    def _note_without(self, greeting):
        if greeting.state_revision:
            self._without.pop(greeting.host, None)
        elif greeting.failure_domain == self._failure_domain:
            self._without.setdefault(greeting.host)

    def _is_near(self, holder):
        return holder[1] == self._failure_domain

    def _is_better(self, holder):
        """Return whether `holder`, who greets now, is a better one to name."""
        if self._is_near(holder):
            return True
        return not self._is_near(self._holder) or self._holder not in self._roster

    def _reader(self):
        """Return the first of the entries without a state that is still heard."""
        for host in list(self._without):
            if (host, self._failure_domain) in self._roster:
                return host
            del self._without[host]
        return None

    def _forwarder(self, failure_domain):
        for host, domain in self._roster.forwarders():
            if domain == failure_domain:
                return host
        return None

    def _tell_at_once(self, but_host):
        """Tell the entry here that tells the others, and those that hold no state yet."""
        here = {host for host, domain in self._roster if domain == self._failure_domain}
        told = here.intersection(self._without)
        told.add(self._forwarder(self._failure_domain))
        for host in sorted(told - {but_host, None}):
            self._tell(host, self._failure_domain)

    def _tell(self, host, failure_domain):
        is_near_both = failure_domain == self._failure_domain == self._holder[1]
        fetches = is_near_both or host == self._forwarder(failure_domain)
        # An entry that started again lacks what its earlier self held.
        holder = self._holder[0] if fetches and self._holder[0] != host else None
        self._send(StateAnnouncement(self._revision, holder), host)
