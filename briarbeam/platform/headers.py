"""Decodes and encodes the headers of requests and answers.

Header names are lower-case ``bytes``; values are ``bytes`` as they were received.
"""

import re
from dataclasses import dataclass, field

from prometheus_client import Counter

REQUEST_ID = b"x-request-id"
READY_PATH = b"/-/ready"
_DEADLINE_MS = b"x-deadline-ms"
_LAST_EVENT_ID = b"last-event-id"
_EXPECT_INSTANCE = b"x-expect-instance"
_EXPECT_VERSION = b"x-expect-version"
_TEAM = b"x-tenant"
_PRIORITY = b"x-request-priority"
_KEY_SCHEME = b"bearer "
_MODEL = b"x-model"
# The number of prompt tokens, then the limit on output tokens.
_TOKENS = b"x-token-usage"
# The number of output tokens that the caller expects.
_ANSWER_TOKENS = b"x-length-hint"
_PROMPT_PARTS = b"x-prefix-hash"
_PROMPT_PART = re.compile(rb"([0-9a-f]{1,16}):[0-9]{1,9}")
_PROOF = b"x-response-seal"
_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
# Statuses that state to a caller that its request did not run. Of an instance, only 421
# states that without a header.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_DECIMAL = re.compile(rb"[+-]?(\d+\.?\d*|\.\d+)")

# Upper limit on the Retry-After of an instance, so that a wrong one can't exclude it
# for the rest of its run.
RETRY_AFTER_MAX_S = 30.0
# Assumed if none of its values is a number. Dates are not evaluated, as the clocks of
# two machines may differ by more than the wait.
RETRY_AFTER_DEFAULT_S = 1.0

# Headers that concern one connection only, or that briarbeam sets itself.
_NOT_FORWARDED = {
    b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate",
    b"proxy-authorization", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    b"http2-settings", b"content-length", b"expect", b"authorization", b"path",
    _DEADLINE_MS, _LAST_EVENT_ID, _EXPECT_INSTANCE, _EXPECT_VERSION, _TEAM, _PRIORITY,
}  # fmt: skip
_NOT_RETURNED = {
    b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer",
    b"transfer-encoding", b"upgrade", b"content-length",
}  # fmt: skip
MAX_PRIORITY = 9
# Upper limit on the stated duration of work, in percent of the usual.
SLOWDOWN_PERCENT_MAX = 10_000
# Later parts of longer prompts are ignored. A head of 16 KiB names at most 2,778 different
# ones.
PROMPT_PARTS_MAX = 4096
_PARTS_IGNORED = Counter(
    "briarbeam_prompt_parts_ignored",
    "Parts of prompts that are not watched because a prompt has too many",
)
# Prompts are far shorter; a longer one is treated as if its length were not stated.
TOKENS_MAX = 10_000_000


@dataclass
class RequestMeta:
    """The decoded headers of a caller's request.

    :param host: the lower-case host without a port.
    :param key: the key of the caller's team, or None if it sent none.
    :param time_left_s: the seconds until the caller's deadline, or None if it set no
        valid one.
    :param last_event_id: the last event that a resuming caller received, or None.
    :param model: the model that the caller asks for, or None.
    :param prompt_tokens: the length of the prompt, or None if not stated.
    :param answer_tokens: the length of the answer that the caller expects, or None if
        not stated. Often far off.
    :param prompt_parts: the ids of the parts of the prompt that other requests may
        share, in order.
    :param forwarded: headers that are forwarded to an instance unchanged.
    """

    request_id: bytes = b""
    host: str = ""
    key: str | None = None
    time_left_s: float | None = None
    last_event_id: bytes | None = None
    model: str | None = None
    prompt_tokens: int | None = None
    answer_tokens: int | None = None
    prompt_parts: tuple = ()
    forwarded: list = field(default_factory=list)


@dataclass(frozen=True)
class RetryAfter:
    """How long an instance that refused a request wants no others.

    :param wait_s: from 0 to `RETRY_AFTER_MAX_S`.
    :param odd_value: the value as received if it is not a single number within these
        limits, else None.
    """

    wait_s: float
    odd_value: bytes | None = None


@dataclass(frozen=True)
class ReplyMeta:
    """The decoded head of an instance's answer.

    :param not_run: whether the instance states that the request did not run.
    :param misleading: whether its status would state that to the caller, although the
        instance did not.
    :param contradictory: whether it states that, but with the status of a success.
    :param request_id: the id of the answered request, or None if not stated.
    :param running: the number of requests that the instance runs, or None if not
        stated.
    :param waiting: the number of requests in its queue, or None if not stated.
    :param weights_version: the version of the weights that produced the answer, or
        None.
    :param leaving: whether the instance states that it is about to stop.
    :param retry_after: the `RetryAfter` of a 503, or None if it has none.
    :param unproven: whether it is a success without the proof that an instance made it.
    :param slowdown: how many times slower than usual the instance states to be, or None
        if not stated.
    :param odd_slowdown: the stated value as received if it can't be read, else None.
    """

    status: int
    not_run: bool
    request_id: bytes | None
    misleading: bool = False
    running: int | None = None
    waiting: int | None = None
    weights_version: int | None = None
    contradictory: bool = False
    leaving: bool = False
    retry_after: RetryAfter | None = None
    unproven: bool = False
    slowdown: float | None = None
    odd_slowdown: bytes | None = None


def decode_request(headers):
    """Return the `RequestMeta` of a list of pairs of header name and value."""
    meta = RequestMeta()
    hop_by_hop = _connection_options(headers)
    for name, value in headers:
        if name == REQUEST_ID:
            meta.request_id = value
        elif name == b"host":
            meta.host = value.decode("latin-1").lower().rsplit(":", 1)[0]
        elif name == b"authorization":
            key = _decode_key(value)
            meta.key = meta.key if key is None else key
        elif name == _DEADLINE_MS:
            meta.time_left_s = _parse_milliseconds(value)
        elif name == _LAST_EVENT_ID:
            meta.last_event_id = value
        elif name == _MODEL:
            meta.model = value.decode("latin-1")
        elif name == _TOKENS:
            meta.prompt_tokens = _parse_tokens(value)
        elif name == _ANSWER_TOKENS:
            meta.answer_tokens = _parse_tokens(value)
        elif name == _PROMPT_PARTS:
            meta.prompt_parts = _parse_prompt_parts(value)
        if name not in _NOT_FORWARDED and name not in hop_by_hop:
            meta.forwarded.append((name, value))
    return meta


def find_key(headers):
    """Return the caller's key in a list of pairs of header name and value, or None."""
    keys = [_decode_key(value) for name, value in headers if name == b"authorization"]
    return next((key for key in reversed(keys) if key is not None), None)


def _decode_key(value):
    if value[:7].lower() != _KEY_SCHEME:
        return None
    return value[7:].strip().decode("latin-1")


def encode_request(
    meta, method, target, body, instance_id, time_left_s, team, priority, last_event_id,
    expected_version=None,
):  # fmt: skip
    """Return the bytes of the head of a request to an instance.

    :param meta: the `RequestMeta` of the caller's request.
    :param target: the path and the query.
    :param time_left_s: the seconds until the answer has to be complete.
    :param team: the name of the caller's team, or None.
    :param priority: from 0, the highest, to `MAX_PRIORITY`.
    :param last_event_id: the event after which a stream should continue, or None.
    :param expected_version: the version of the weights that the instance must hold, or
        None for any.
    """
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % header for header in meta.forwarded]
    lines.append(b"%b: %d" % (_DEADLINE_MS, max(1, int(time_left_s * 1000))))
    lines.append(b"%b: %b" % (_EXPECT_INSTANCE, instance_id.encode()))
    lines.append(b"%b: %d" % (_PRIORITY, min(MAX_PRIORITY, max(0, priority))))
    if team is not None:
        lines.append(b"%b: %b" % (_TEAM, team.encode()))
    if last_event_id is not None:
        lines.append(b"%b: %b" % (_LAST_EVENT_ID, last_event_id))
    if expected_version is not None:
        lines.append(b"%b: %d" % (_EXPECT_VERSION, expected_version))
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"content-length: %d" % len(body))
    lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def decode_reply(status, headers):
    """Return the `ReplyMeta` of an instance's answer."""
    value_by_name = dict(headers)
    stated_load = value_by_name.get(b"x-server-load")
    running, waiting, slowdown_value = _parse_load(stated_load)
    slowdown = _parse_slowdown(slowdown_value)
    states_not_run = b"x-not-run" in value_by_name
    # An instance with another identity or other weights than expected answers 421.
    not_run = (states_not_run and status >= 400) or status == 421
    return ReplyMeta(
        status=status,
        not_run=not_run,
        misleading=status in _NOT_RUN_STATUSES and not not_run,
        contradictory=states_not_run and status < 400,
        request_id=_combine_ids(headers),
        running=running,
        waiting=waiting,
        weights_version=_parse_int(value_by_name.get(b"x-weight-versions")),
        leaving=(_LEAVING, b"1") in headers,
        retry_after=_parse_retry_after(headers) if status == 503 else None,
        unproven=200 <= status < 300 and _PROOF not in value_by_name,
        slowdown=slowdown,
        odd_slowdown=None if slowdown is not None else slowdown_value,
    )


def returned_headers(headers):
    """Return the headers of an instance's answer that are forwarded to the caller."""
    hop_by_hop = _connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if name not in _NOT_RETURNED and name not in hop_by_hop
    ]


def _combine_ids(headers):
    """Return the id that `headers` state, or None; different ones make no valid id."""
    ids = dict.fromkeys(value for name, value in headers if name == REQUEST_ID)
    return b", ".join(ids) if ids else None


def _connection_options(headers):
    return {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }


def _parse_milliseconds(value):
    """Return the duration in seconds, at least 0, or None if `value` is malformed."""
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return None


def _parse_prompt_parts(value):
    """Return the ids of the shared parts of a prompt, all but the last.

    :returns: an empty tuple if `value` is malformed.
    """
    matches = [
        _PROMPT_PART.fullmatch(item.strip().lower()) for item in value.split(b",")
    ]
    if not all(matches):
        return ()
    *shared, _ = [match[1].decode() for match in matches]
    _PARTS_IGNORED.inc(max(0, len(shared) - PROMPT_PARTS_MAX))
    return tuple(dict.fromkeys(shared[:PROMPT_PARTS_MAX]))


def _parse_tokens(value):
    """Return the first number of tokens, or None if `value` is malformed."""
    tokens = _parse_int(value.partition(b",")[0])
    return tokens if tokens is not None and 0 <= tokens <= TOKENS_MAX else None


def _parse_load(value):
    """Return the running and the waiting requests, and the fourth value.

    All are None if not stated. What follows the first three has no effect on them.
    """
    try:
        running, waiting, _, *rest = (value or b"").split(b",", 3)
        return int(running), int(waiting), rest[0][:100] if rest else None
    except ValueError:
        return None, None, None


def _parse_slowdown(value):
    """Return the slowdown that a percentage states, or None if it can't be read."""
    digits = (value or b"").strip()
    if not _DECIMAL.fullmatch(digits):
        return None
    percent = float(digits)
    return percent / 100 if 0 < percent <= SLOWDOWN_PERCENT_MAX else None


def _parse_retry_after(headers):
    """Return the `RetryAfter`, by the longest of several waits, or None without any."""
    values = [value for name, value in headers if name == _RETRY_AFTER]
    if not values:
        return None
    parts = [part.strip() for value in values for part in value.split(b",")]
    waits_s = [float(part) for part in parts if _DECIMAL.fullmatch(part)]
    wait_s = max(waits_s, default=RETRY_AFTER_DEFAULT_S)
    bounded_s = min(RETRY_AFTER_MAX_S, max(0.0, wait_s))
    is_odd = len(parts) != 1 or not waits_s or bounded_s != wait_s
    return RetryAfter(bounded_s, b",".join(values)[:100] if is_odd else None)


def _parse_int(value):
    try:
        return int(value)
    except (TypeError, ValueError):
        return None
