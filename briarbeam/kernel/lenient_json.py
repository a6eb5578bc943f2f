"""Decodes JSON of which another writer may have made parts unreadable.

`json` accepts values only within limits, and one value beyond them makes the whole text
unreadable: nested deeply, a number of thousands of digits, or bytes that are no UTF-8.
"""

import json
import math
import re

# Levels of one value; resources and instances have less than 10.
DEPTH_MAX = 32
# A value may itself be nested in a list or an item of a page.
_TEXT_DEPTH_MAX = DEPTH_MAX + 8
# The end quote is optional, so that an unterminated string is scanned only once.
_TOKEN = re.compile(r'"(?:[^"\\]++|\\.)*+"?|[\[{]|[\]}]', re.DOTALL)


class _Unreadable:
    """Stands for a value that can't be decoded."""


_UNREADABLE = _Unreadable()


def parse_leniently(content):
    """Return the decoded JSON, with placeholders for unreadable values.

    `is_readable` recognizes the placeholders.

    :param content: the bytes of the JSON.
    :raises ValueError: if it is not JSON.
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


def is_readable(value):
    """Return whether `value` has no placeholder and at most `DEPTH_MAX` levels."""
    level = _select_nested([value])
    for _ in range(DEPTH_MAX):
        if not level:
            return True
        if any(item is _UNREADABLE for item in level):
            return False
        level = _select_nested(
            child
            for item in level
            for child in (item.values() if isinstance(item, dict) else item)
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
            if depth == _TEXT_DEPTH_MAX:
                parts.append(text[kept_to : token.start()])
        elif token[0] in ("]", "}"):
            if depth == _TEXT_DEPTH_MAX:
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
