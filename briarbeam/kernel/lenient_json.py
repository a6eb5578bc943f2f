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
# Everything up to a run of brackets outside of strings, and the run. The end quote is
# optional and the end of the text matches, so that nothing is scanned twice.
_BRACKETS = re.compile(
    r'(?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+"?)*+([\[{]++|[\]}]++|\Z)', re.DOTALL
)


class _Unreadable:
    """Stands for a value that can't be decoded."""


_UNREADABLE = _Unreadable()
_NESTED_TYPES = frozenset({dict, list, _Unreadable})


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
    return not level


def _select_nested(values):
    return [value for value in values if type(value) in _NESTED_TYPES]


def _replace_deep_values(text):
    """Return JSON in which ``NaN`` replaces values nested too deeply."""
    parts, depth, kept_to = [], 0, 0
    for match in _BRACKETS.finditer(text):
        run, start = match[1], match.start(1)
        if run[:1] in ("[", "{"):
            if depth < _TEXT_DEPTH_MAX <= depth + len(run):
                parts.append(text[kept_to : start + _TEXT_DEPTH_MAX - depth - 1])
            depth += len(run)
        else:
            if depth - len(run) < _TEXT_DEPTH_MAX <= depth:
                parts.append("NaN")
                kept_to = start + depth - _TEXT_DEPTH_MAX + 1
            depth -= len(run)
    # The rest of a text whose brackets don't match is malformed anyway.
    return "".join(parts) + text[kept_to:] if depth == 0 else ""


def _parse_integer(digits):
    try:
        return int(digits)
    except ValueError:
        return _UNREADABLE


def _parse_float(digits):
    value = float(digits)
    return value if math.isfinite(value) else _UNREADABLE
