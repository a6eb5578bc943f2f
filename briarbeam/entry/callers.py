"""Reads team, deadline, idempotency key and trace from a caller's request headers."""

import hashlib
import math
import re
import secrets

from ..kernel.errors import InvalidRequestError, UnauthorizedError

TEAM_HEADER = "x-team"
DEADLINE_HEADER = "x-deadline-s"
KEY_HEADER = "idempotency-key"
TRACE_HEADER = "traceparent"
DEFAULT_TEAM = "default"

_TEAM_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}\Z")
_KEY = re.compile(r"[\x21-\x7e]{1,255}\Z")
_TRACE = re.compile(r"00-(?!0{32})([0-9a-f]{32})-(?!0{16})[0-9a-f]{16}-([0-9a-f]{2})\Z")


class Teams:
    """Looks up teams of one configuration, by API key or by name."""

    def __init__(self, configuration):
        self._by_key = {
            resource.spec.key_digest: name
            for name, resource in configuration.of_kind("team").items()
            if resource.spec.key_digest
        }
        self._keyed = set(self._by_key.values())

    def team_of(self, request):
        """Return the caller's team, by its API key or by its name.

        :raises UnauthorizedError: if the key is unknown, or if a team that has a key is
            named without it.
        :raises InvalidRequestError: if the name is malformed.
        """
        kind, _, key = request.headers.get("authorization", "").partition(" ")
        if self._keyed and kind.lower() == "bearer":
            digest = hashlib.sha256(key.strip().encode()).hexdigest()
            if digest not in self._by_key:
                raise UnauthorizedError("the API key is unknown")
            return self._by_key[digest]
        name = request.headers.get(TEAM_HEADER, DEFAULT_TEAM)
        if not _TEAM_NAME.match(name):
            raise InvalidRequestError(
                f"{TEAM_HEADER} is not a valid team name: {name!r}"
            )
        if name in self._keyed:
            raise UnauthorizedError(f"team {name!r} must authenticate with its API key")
        return name


def deadline_s(request, default_s, max_s):
    """Return the caller's deadline, in seconds from now.

    :raises InvalidRequestError: unless it is positive, finite and at most `max_s`.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return default_s
    try:
        wait_s = float(text)
    except ValueError:
        wait_s = math.nan
    if not 0 < wait_s <= max_s:
        raise InvalidRequestError(
            f"{DEADLINE_HEADER} must be above 0 and at most {max_s} s, got {text!r}"
        )
    return wait_s


def idempotency_key(request):
    """Return the caller's idempotency key, or None.

    :raises InvalidRequestError: unless it is 1 to 255 printable ASCII characters.
    """
    key = request.headers.get(KEY_HEADER)
    if key is not None and not _KEY.match(key):
        raise InvalidRequestError(
            f"{KEY_HEADER} must be 1 to 255 printable ASCII characters, got {key!r}"
        )
    return key


def next_traceparent(request):
    """Return a traceparent with the caller's trace id and a new span id, or "".

    Return "" if the caller sent no valid traceparent.
    """
    match = _TRACE.match(request.headers.get(TRACE_HEADER, ""))
    if match is None:
        return ""
    trace_id, flags = match.groups()
    return f"00-{trace_id}-{secrets.token_hex(8)}-{flags}"
