"""Who draws which chunk from the origin, without agreement."""

from ..membership.members import rendezvous_order


class Plan:
    """The order of the targets of one region for each chunk of a version.

    The targets stand in one rendezvous order for the version; chunk i starts at the
    i-th of them, so that every target draws the same share.

    :param key: names the version.
    :param names: the targets of the region that need it.
    """

    def __init__(self, key, names):
        self._order = rendezvous_order(key, names)

    def rank(self, name, index):
        """Return the rank of a target for chunk `index`; rank 0 draws it."""
        count = len(self._order)
        return (self._order.index(name) - index) % count

    def holders(self, index):
        """Return the targets in their order for chunk `index`."""
        start = index % len(self._order)
        return self._order[start:] + self._order[:start]
