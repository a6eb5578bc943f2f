"""Reads team, deadline, idempotency key and trace from a caller's request headers."""

import hashlib
import math
import re
import secrets

from ..kernel.errors import InvalidRequestError, UnauthorizedError

TEAM_HEADER = "x-team"
DEADLINE_HEADER = "x-deadline-s"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
TRACEPARENT_HEADER = "traceparent"
DEFAULT_TEAM = "default"

_TEAM_NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}\Z")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}\Z")
_TRACEPARENT = re.compile(
    r"00-(?!0{32})([0-9a-f]{32})-(?!0{16})[0-9a-f]{16}-([0-9a-f]{2})\Z"
)


class Teams:
    """Looks up the teams of one configuration, by API key or by name.

    :param configuration: the `Configuration` that declares the teams.
    """

    def __init__(self, configuration):
        self._team_by_key_digest = {
            resource.spec.key_digest: name
            for name, resource in configuration.of_kind("team").items()
            if resource.spec.key_digest
        }
        self._teams_with_key = set(self._team_by_key_digest.values())

    def team_of(self, request):
        """Return the caller's team, by its API key or by its name.

        A request without either belongs to `DEFAULT_TEAM`. API keys are ignored as long
        as no team has one.

        :raises UnauthorizedError: if the key is unknown, or if a team that has a key is
            named without it.
        :raises InvalidRequestError: if the name is malformed.
        """
        kind, _, key = request.headers.get("authorization", "").partition(" ")
        if self._teams_with_key and kind.lower() == "bearer":
            digest = hashlib.sha256(key.strip().encode()).hexdigest()
            if digest not in self._team_by_key_digest:
                raise UnauthorizedError("the API key is unknown")
            return self._team_by_key_digest[digest]
        name = request.headers.get(TEAM_HEADER, DEFAULT_TEAM)
        if not _TEAM_NAME.match(name):
            raise InvalidRequestError(
                f"{TEAM_HEADER} is not a valid team name: {name!r}"
            )
        if name in self._teams_with_key:
            raise UnauthorizedError(f"team {name!r} must authenticate with its API key")
        return name


def read_deadline_s(request, default_s, max_s):
    """Return the caller's deadline, in seconds from now.

    :param default_s: returned if the caller sent no deadline.
    :raises InvalidRequestError: unless it is positive, finite and at most `max_s`.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return default_s
    try:
        remaining_s = float(text)
    except ValueError:
        remaining_s = math.nan
    if not 0 < remaining_s <= max_s:
        raise InvalidRequestError(
            f"{DEADLINE_HEADER} must be above 0 and at most {max_s} s, got {text!r}"
        )
    return remaining_s


def read_idempotency_key(request):
    """Return the caller's idempotency key, or None if there is none.

    :raises InvalidRequestError: unless it is 1 to 255 printable ASCII characters.
    """
    key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is not None and not _IDEMPOTENCY_KEY.match(key):
        raise InvalidRequestError(
            f"{IDEMPOTENCY_KEY_HEADER} must be 1 to 255 printable ASCII characters, "
            f"got {key!r}"
        )
    return key


def make_traceparent(request):
    """Return a traceparent with the caller's trace id and a new span id.

    Return "" if the caller sent no valid traceparent.
    """
    match = _TRACEPARENT.match(request.headers.get(TRACEPARENT_HEADER, ""))
    if match is None:
        return ""
    trace_id, flags = match.groups()
    return f"00-{trace_id}-{secrets.token_hex(8)}-{flags}"
