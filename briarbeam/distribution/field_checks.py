"""Checks of the values in the fields of a datagram.

Each check raises `ValueError` or `TypeError` for a value that is not valid.
"""

import functools
import ipaddress
import math

# Times in milliseconds, revisions and counts are far smaller.
NUMBER_MAX = 2**53
# Number of addresses that are known to be valid. The loads of all engines arrive many
# times a second, and to parse their addresses took a quarter of the time to decode them.
HOSTS_CACHED = 1024


class Host(str):
    """The type of a field that has an IPv4 address."""


def check_age(age_s):
    if not 0 <= age_s < math.inf:
        raise ValueError(f"age is {age_s!r}, expected finite seconds from 0")


def check_ages(ages_s):
    """Raise an error unless there is a first age and all ages are valid.

    NaN is refused, too: it would never compare as too old.
    """
    if not ages_s or ages_s[0] is None:
        raise ValueError(f"first age is missing in {ages_s!r}")
    for age_s in ages_s:
        if age_s is not None:
            check_rows([(age_s,)], (float,))
            check_age(age_s)


def check_from_minus_one(value):
    """Raise an error unless `value` is a whole number from -1, which means none."""
    if value != -1 or type(value) is not int:
        check_row((value,), (int,))


def check_optional(value, expected):
    """Raise an error unless `value` is of the type `expected` or None."""
    if value is not None:
        check_row((value,), (expected,))


def check_rows(rows, types):
    """Raise an error unless each row has values of `types`."""
    if not isinstance(rows, (list, tuple)):
        raise TypeError(f"value is {rows!r}, expected rows")
    for row in rows:
        if not isinstance(row, (list, tuple)):
            raise TypeError(f"value is {row!r}, expected a row")
        check_row(row, types)


def check_row(row, types):
    """Raise an error unless `row` has values of `types`; ints count as floats.

    Numbers may be as large as `NUMBER_MAX`, and only floats negative.
    """
    for value, expected in zip(row, types, strict=True):
        if expected is Host:
            check_host(value)
            continue
        if expected is str:
            check_text(value)
        is_integral = expected is float and type(value) is int
        if type(value) is not expected and not is_integral:
            raise TypeError(f"value is {value!r}, expected {expected.__name__}")
        minimum = -NUMBER_MAX if expected is float else 0
        if expected in (int, float) and not minimum <= value <= NUMBER_MAX:
            raise ValueError(f"value is {value!r}, expected {minimum} to {NUMBER_MAX}")


@functools.lru_cache(maxsize=HOSTS_CACHED)
def check_host(value):
    """Raise an error unless `value` is an IPv4 address as text."""
    ipaddress.IPv4Address(check_text(value))


def check_text(value):
    """Return `value`, or raise an error unless it is a printable text."""
    if type(value) is not str or not value.isprintable():
        raise TypeError(f"value is {value!r}, expected printable text")
    return value
