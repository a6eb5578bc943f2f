"""Reads pages of the store; an unreadable entry of another writer affects no other."""

from ..kernel.lenient_json import is_readable
from .revisions import ERA_UNIT

# Limit on integers in specs: times in milliseconds are far smaller.
INTEGER_MAX = 2**53


def read_items(page, field):
    """Return the list in a field of a page.

    :raises KeyError, TypeError: if it is missing or no list.
    """
    if not isinstance(page[field], list):
        raise TypeError(f"{field} is no list")
    return page[field]


def read_revision(page):
    """Return the store's revision of a page.

    :raises KeyError, TypeError: if it is missing or no valid revision.
    """
    if not _is_revision(page["store_revision"]):
        raise TypeError("store_revision is no valid revision")
    return page["store_revision"]


def read_item(item):
    """Return the name, the revision and the spec of an object, or None without a name.

    The spec is None if it is unreadable or the revision is invalid; the revision is
    then 0 in the latter case.
    """
    metadata = item.get("metadata") if isinstance(item, dict) else None
    if not isinstance(metadata, dict):
        return None
    name, revision = metadata.get("name"), metadata.get("revision")
    if not (isinstance(name, str) and name and name.isprintable()):
        return None
    if not _is_revision(revision):
        return name, 0, None
    spec = item.get("spec")
    return name, revision, spec if is_readable(spec) else None


def _is_revision(value):
    return type(value) is int and 0 <= value < ERA_UNIT
