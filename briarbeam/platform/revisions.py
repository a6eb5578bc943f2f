"""Revisions of the store that also order the states before and after a restore.

A store that is restored from an older copy continues with the revisions of that copy,
so the same numbers are given out again. It counts its restores as its era. A revision
in this package is a plain integer that contains both: the era times `ERA_UNIT`, plus
the store's number. Revisions of a later era compare as newer than all earlier ones, in
memory, in datagrams and in copies of records. A store that states no era has era 0,
whose revisions are the store's numbers.
"""

# A power of ten, so that both parts can be read from a logged revision.
ERA_UNIT = 10**12
# With this limit, readers of JSON that use floats read revisions exactly.
ERA_MAX = 9000


def join_revision(era, number):
    """Return the revision of the store's `number` in `era`.

    :raises ValueError: if either is out of range.
    :raises TypeError: if `number` is no integer.
    """
    if not 0 <= era <= ERA_MAX or not 0 <= number < ERA_UNIT:
        raise ValueError(f"era {era} or revision {number} is out of range")
    return era * ERA_UNIT + number


def era_of(revision):
    """Return the era of a revision."""
    return revision // ERA_UNIT


def number_of(revision):
    """Return the store's number of a revision, which only its era gives a meaning."""
    return revision % ERA_UNIT
