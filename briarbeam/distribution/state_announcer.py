"""The part of a stager that announces to entries who holds the newest desired state."""

from ..relay.era_age import REWRITE_GRACE_S
from .messages import StateAnnouncement, StateReader


class StateAnnouncer:
    """Tracks the newest desired state that greetings mention, and announces it.

    Entries that can't reach each other or the store learn of it in this way. While only
    entries of other failure domains hold it, a holder is announced only to the
    forwarder. It fetches a copy over the link between the failure domains, and the
    others fetch theirs from the forwarder.

    Of the entries of this failure domain that hold no state, the one that greeted first
    is announced as the reader for all. Otherwise each would read a copy over the link
    to the store.

    Entries that start learn the age of the store's era here, see `EraAge`.

    :param roster: the `Roster` of entries.
    :param failure_domain: the failure domain of this stager.
    :param send: a function of a `StateAnnouncement` or a `StateReader`, and a host.
    :param era_age: the `EraAge` of the stager, which greetings update.
    """

    def __init__(self, roster, failure_domain, send, era_age):
        self._roster = roster
        self._failure_domain = failure_domain
        self._send = send
        self._era_age = era_age
        self._revision = 0
        self._holder = None
        # Hosts of this failure domain without a state, in the order of their first
        # greetings; the values are not used.
        self._hosts_without_state = {}

    def handle_greeting(self, greeting):
        """Handle a greeting: record what is newer, or announce what the entry lacks."""
        holder = (greeting.host, greeting.failure_domain)
        self._era_age.record_reported(
            greeting.store_era, greeting.store_era_age_s, greeting.host
        )
        self._track_hosts_without_state(greeting)
        if greeting.state_revision > self._revision:
            self._revision, self._holder = greeting.state_revision, holder
            self._announce_to_waiting(greeting.host)
        elif greeting.state_revision < self._revision:
            self._announce_to(greeting.host, greeting.failure_domain)
        elif self._revision and self._is_preferred(holder):
            was_remote = not self._is_local(self._holder)
            self._holder = holder
            if was_remote and self._is_local(holder):
                self._announce_to_waiting(greeting.host)
        if greeting.host in self._hosts_without_state:
            self._send_reader(self._choose_reader(), greeting.host)
        elif greeting.state_revision and self._lacks_era_age(greeting):
            self._send_reader(greeting.host, greeting.host)

    def _track_hosts_without_state(self, greeting):
        if greeting.state_revision:
            self._hosts_without_state.pop(greeting.host, None)
        elif greeting.failure_domain == self._failure_domain:
            self._hosts_without_state.setdefault(greeting.host)

    def _send_reader(self, reader, host):
        self._send(StateReader(reader, *self._era_age.describe()), host)

    def _lacks_era_age(self, greeting):
        """Return whether only this stager knows that the era is not a young one."""
        era, age_s = self._era_age.describe()
        return (
            era == greeting.store_era
            and greeting.store_era_age_s < REWRITE_GRACE_S <= age_s
        )

    def _is_local(self, holder):
        return holder[1] == self._failure_domain

    def _is_preferred(self, holder):
        """Return whether to announce `holder`, which greets now, as the holder."""
        if self._is_local(holder):
            return True
        return not self._is_local(self._holder) or self._holder not in self._roster

    def _choose_reader(self):
        """Return the first host without a state that still greets; remove lost ones.

        :returns: None if there is none.
        """
        for host in list(self._hosts_without_state):
            if (host, self._failure_domain) in self._roster:
                return host
            del self._hosts_without_state[host]
        return None

    def _find_forwarder(self, failure_domain):
        for host, domain in self._roster.forwarders():
            if domain == failure_domain:
                return host
        return None

    def _announce_to_waiting(self, excluded_host):
        """Announce the state to the local forwarder and to the entries without a state.

        :param excluded_host: a host to leave out.
        """
        local_hosts = {
            host for host, domain in self._roster if domain == self._failure_domain
        }
        receivers = local_hosts.intersection(self._hosts_without_state)
        receivers.add(self._find_forwarder(self._failure_domain))
        for host in sorted(receivers - {excluded_host, None}):
            self._announce_to(host, self._failure_domain)

    def _announce_to(self, host, failure_domain):
        is_local_to_both = failure_domain == self._failure_domain == self._holder[1]
        may_fetch = is_local_to_both or host == self._find_forwarder(failure_domain)
        # A holder that has restarted lacks the state itself and can't fetch its own
        # copy.
        holder = self._holder[0] if may_fetch and self._holder[0] != host else None
        self._send(StateAnnouncement(self._revision, holder), host)
