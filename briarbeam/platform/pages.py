"""Decodes the pages of the store; an unreadable entry affects no other one.

Other writers may store values that `json` accepts only within limits, and one of them
would make the whole page unreadable: nested deeply, numbers of thousands of digits, or
bytes that are no UTF-8.
"""

import json
import math
import re

# The store counts its changes one by one, and times in milliseconds are far smaller.
INTEGER_MAX = 2**53
# Entries of instances have a depth of 4, desired states of 5.
SPEC_DEPTH_MAX = 32
# A spec is nested in an item (or the object of an event), a list and the page.
_PAGE_DEPTH_MAX = SPEC_DEPTH_MAX + 8
# The end quote is optional, so that an unterminated string is scanned only once.
_TOKEN = re.compile(r'"(?:[^"\\]++|\\.)*+"?|[\[{]|[\]}]', re.DOTALL)


class _Unreadable:
    """Stands for a value that can't be decoded."""


_UNREADABLE = _Unreadable()


def parse_page(content):
    """Return the decoded JSON of a page, with placeholders for unreadable values.

    `read_item` recognizes the placeholders.

    :param content: the bytes of the page.
    :raises ValueError: if the page as a whole is not JSON.
    """
    try:
        return json.loads(content)
    except (ValueError, RecursionError):
        text = content.decode(errors="surrogateescape")
        return json.loads(
            _replace_deep_values(text),
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=lambda constant: _UNREADABLE,
            strict=False,
        )


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
    return name, revision, spec if _is_readable(spec) else None


def _is_revision(value):
    return type(value) is int and 0 <= value <= INTEGER_MAX


def _is_readable(spec):
    """Return whether `spec` has no placeholder and at most `SPEC_DEPTH_MAX` levels."""
    level = _select_nested([spec])
    for _ in range(SPEC_DEPTH_MAX):
        if not level:
            return True
        if any(value is _UNREADABLE for value in level):
            return False
        level = _select_nested(
            child
            for value in level
            for child in (value.values() if isinstance(value, dict) else value)
        )
    return False


def _select_nested(values):
    return [value for value in values if isinstance(value, (dict, list, _Unreadable))]


def _replace_deep_values(text):
    """Return JSON in which ``NaN`` replaces values nested too deeply."""
    parts, depth, kept_to = [], 0, 0
    for token in _TOKEN.finditer(text):
        if token[0] in ("[", "{"):
            depth += 1
            if depth == _PAGE_DEPTH_MAX:
                parts.append(text[kept_to : token.start()])
        elif token[0] in ("]", "}"):
            if depth == _PAGE_DEPTH_MAX:
                parts.append("NaN")
                kept_to = token.end()
            depth -= 1
    # A value that is not closed leaves the rest malformed.
    return "".join(parts) + text[kept_to:] if depth == 0 else ""


def _parse_integer(digits):
    try:
        return int(digits)
    except ValueError:
        return _UNREADABLE


def _parse_float(digits):
    value = float(digits)
    return value if math.isfinite(value) else _UNREADABLE
