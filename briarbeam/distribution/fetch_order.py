"""Decides which versions a stager fetches, and in which order.

Loads that it answers: two versions that are named within a few seconds, or that become
known together after an outage of the store, over a link that carries one copy in most
of the time that a version has.
"""

from .waves import older_is_useful


class FetchOrder:
    """Ranks the versions that an engine lacks.

    :param clock: the `Clock`.
    :param namings: the `NamingHistory`.
    :param link_bytes_per_s: the rate of the machine's link.
    """

    def __init__(self, clock, namings, link_bytes_per_s):
        self._clock = clock
        self._namings = namings
        self._link_bytes_per_s = link_bytes_per_s

    def rank(self, greeting, held, copies):
        """Return the versions to fetch, the most urgent one first.

        Of the last two versions, the newer one is fetched first, unless the older one
        is mostly complete, or only the older one can be complete by the older one's
        deadline. The other one is fetched while no chunk of the first is available.

        :param greeting: the `Greeting` that names the wanted versions.
        :param held: the version that the engine holds, 0 for none.
        :param copies: the `Copy` objects by version.
        """
        complete = [version for version, copy in copies.items() if not copy.missing()]
        newest_complete = max([held, *complete])
        within_s = greeting.version_within_s
        waiting = [
            version
            for version, _, _, _ in greeting.versions
            if version > newest_complete and not self._is_expired(version, within_s)
        ]
        if len(waiting) < 2:
            return waiting
        older, newest = waiting[-2:]
        if not held:
            # An engine without weights can serve with the older version meanwhile.
            return [newest, older]
        left_s = within_s - self._namings.age_s(older)
        only_older_in_time = (
            self.fetch_time_s(older, copies)
            <= left_s
            < self.fetch_time_s(newest, copies)
        )
        copy = copies.get(older)
        finishes_older = (
            copy is not None
            and copy.is_mostly_complete()
            and older_is_useful(within_s, self._namings.age_s(newest))
        )
        if only_older_in_time or finishes_older:
            return [older, newest]
        return [newest, older]

    def fetch_time_s(self, version, copies):
        """Return the estimated seconds until a copy is complete over a free link."""
        sizes_bytes = [copy.size_bytes() for copy in copies.values()]
        copy_time_s = max(sizes_bytes, default=0) / self._link_bytes_per_s
        copy = copies.get(version)
        return copy_time_s * (1.0 if copy is None else copy.missing_share())

    def _is_expired(self, version, within_s):
        """Return whether requests may no longer begin on `version`."""
        superseded_at_s = self._namings.superseded_at_s(version)
        if superseded_at_s is None:
            return False
        return self._clock.boottime_s() - superseded_at_s >= within_s
