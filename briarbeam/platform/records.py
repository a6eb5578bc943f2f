"""Decodes records of the platform's store into the types of `briarbeam.catalog`.

Kinds of records: ``config`` (the desired state, named ``main``), ``servers`` (running
instances), ``evacuations`` (failure domains to evacuate) and ``versions`` (for each
model, the version of the weights that is wanted).
"""

import ipaddress
import math
import re
import reprlib
from types import NoneType

import structlog

from ..catalog import (
    CallerLimits,
    DesiredState,
    Instance,
    RequestKind,
    Route,
    Service,
    Team,
    WeightOrigin,
)
from ..kernel.errors import SettingsError
from ..kernel.network import Address
from ..placement.engine_cost import EngineCost, PassCost
from ..relay.errors import MalformedRecordError
from .pages import INTEGER_MAX

CONFIG_KIND = "config"
CONFIG_NAME = "main"
INSTANCE_KIND = "servers"
EVACUATION_KIND = "evacuations"
VERSION_KIND = "versions"

_DRAINING_BY_STATE = {"ready": False, "draining": True}
# Limits of plausible values. Larger ones overflow in the arithmetic of the request path
# or would keep an instance cold for good.
SLOTS_MAX = 1_000_000
COLD_LEFT_MAX_S = 86400.0
# The errors by which values of the wrong type, form or size show.
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError,
                  SettingsError)  # fmt: skip
_PATH = re.compile(r"/[!-~]*")
# Length of a malformed value's description in an error.
_DESCRIPTION_MAX = 300

_log = structlog.get_logger()


def decode_desired_state(spec):
    """Return the `DesiredState` in `spec`.

    :raises MalformedRecordError: if a required field is missing or has the wrong type.
    """
    try:
        return DesiredState(
            version=get_integer(spec, "version", 0),
            routes=tuple(_decode_route(item) for item in spec["routes"]),
            services={item["name"]: _decode_service(item) for item in spec["services"]},
            limits=_decode_limits(spec.get("limits") or {}),
            teams_by_key=_decode_teams(spec.get("tenants") or ()),
            uses_keys="tenants" in spec,
        )
    except _DECODE_ERRORS as error:
        raise MalformedRecordError(
            f"desired state can't be decoded: {_describe(error)}"
        ) from error


def decode_instance(name, spec):
    """Return the `Instance` that registered itself as `name`.

    :raises MalformedRecordError: if a required field is missing or has the wrong type.
    """
    try:
        # Not used, but a record without them is not one of an instance.
        get_text(spec, "version")
        get_integer(spec, "seq", 0)
        return Instance(
            id=name,
            service=get_text(spec, "service"),
            address=_get_address(spec, "address"),
            failure_domain=get_text(spec, "zone"),
            slots=get_integer(spec, "slots", 1, SLOTS_MAX),
            draining=_DRAINING_BY_STATE[get_typed(spec, "state", str)],
            cold_left_s=_get_cold_left_s(spec),
            started_ms=get_integer(spec, "born", 0) if "born" in spec else 0,
            models=decode_models(spec["models"], spec.get("layers"))
            if "models" in spec
            else None,
        )
    except _DECODE_ERRORS as error:
        raise MalformedRecordError(
            f"instance {name!r} can't be decoded: {_describe(error)}"
        ) from error


def decode_models(models, layers=None):
    """Return the version of each model that is held completely.

    An engine lists a model while some of its layers are still missing; if `layers`, the
    range of layers that it holds, is empty, it holds no model. A model without a
    version, or with version 0, has no weights.
    """
    held = {}
    for model in check_list(models):
        if model.get("version") is None:
            continue
        version = get_integer(model, "version", 0)
        if version:
            held[get_text(model, "name")] = version
    if not isinstance(layers, (dict, list, NoneType)):
        raise TypeError(f"expected a range of layers, got {reprlib.repr(layers)}")
    if layers is not None and not layers:
        return {}
    return held


def decode_named_version(spec):
    """Return the name of the model and the wanted version in `spec`.

    :raises MalformedRecordError: if either is missing or has the wrong type.
    """
    try:
        return get_text(spec, "model"), get_integer(spec, "version", 0)
    except _DECODE_ERRORS as error:
        raise MalformedRecordError(
            f"named version can't be decoded: {_describe(error)}"
        ) from error


def get_typed(spec, field, types):
    """Return a field's value.

    :param types: a type, or a tuple of types.
    :raises KeyError: if the field is missing.
    :raises TypeError: if the value has another type; a bool is no int.
    """
    value = spec[field]
    if not isinstance(value, types) or isinstance(value, bool):
        raise TypeError(f"{field} is {reprlib.repr(value)}, which has the wrong type")
    return value


def get_text(spec, field):
    """Return a field's text, which may be used in headers, logs and metrics.

    :raises ValueError: if it is empty or has characters that are not printable.
    """
    value = get_typed(spec, field, str)
    if not value or not value.isprintable():
        raise ValueError(f"{field} is {reprlib.repr(value)}, which is not printable")
    return value


def get_integer(spec, field, minimum, maximum=INTEGER_MAX):
    """Return a field's integer.

    :raises ValueError: if it is not in the range, which includes both limits.
    """
    value = get_typed(spec, field, int)
    if not minimum <= value <= maximum:
        raise ValueError(
            f"{field} is {reprlib.repr(value)}, expected {minimum} to {maximum}"
        )
    return value


def _get_address(spec, field):
    """Return a field's `Address`, which is that of a single machine."""
    address = Address.parse(get_typed(spec, field, str))
    ip = ipaddress.IPv4Address(address.host)
    if ip.is_unspecified or ip.is_multicast or address.host == "255.255.255.255":
        raise ValueError(f"{address} is not the address of a machine")
    return address


def _get_cold_left_s(spec):
    """Return for how many seconds an instance is cold; negative values mean warm."""
    cold_left_s = get_typed(spec, "cold_left_ms", (int, float)) / 1000
    if not -math.inf < cold_left_s <= COLD_LEFT_MAX_S:
        raise ValueError(f"cold_left_ms is {cold_left_s * 1000}")
    return cold_left_s


def check_list(value):
    if not isinstance(value, list):
        raise TypeError(f"expected a list, got {reprlib.repr(value)}")
    return value


def _describe(error):
    return repr(error)[:_DESCRIPTION_MAX]


def _decode_route(item):
    split = item.get("traffic_split")
    return Route(
        name=item["name"],
        host=item["host"],
        path_prefix=item["path_prefix"],
        kind=RequestKind(item["kind"]),
        services=tuple((part["service"], part["weight"]) for part in split)
        if split
        else ((item["service"], 1),),
        timeout_s=item["timeout_ms"] / 1000,
        target_latency_s=item["target_latency_ms"] / 1000,
        priority=item.get("priority", 0),
        max_attempts=max(1, item.get("max_attempts", 1)),
        public=bool(item.get("public")),
        resumable=bool(item.get("resumable")),
        max_gap_s=item.get("gap_target_ms", 0) / 1000,
        allowed_regions=frozenset(item.get("allowed_regions") or ()),
    )


def _decode_service(item):
    engine = item.get("engine")
    models = engine["models"] if engine else ()
    return Service(
        name=item["name"],
        cold_start_s=item.get("cold_start_s", 0.0),
        cold_requests_per_s=item.get("cold_per_s", 0.0),
        models=tuple(model["name"] for model in models),
        origin=_decode_origin(item) if item.get("origin") else None,
        engine_cost=_decode_engine_cost(item["name"], engine) if engine else None,
        chunk_count=_get_chunk_count(item["name"], engine) if engine else None,
        health_path=_get_health_path(item),
    )


def _get_health_path(item):
    """Return the path of a service's health checks, ``"/"`` without a valid one."""
    path = item.get("health_path")
    return path if isinstance(path, str) and _PATH.fullmatch(path) else "/"


def _get_chunk_count(service, engine):
    """Return the declared number of chunks of the weights, or None without one."""
    if "chunks" not in engine:
        return None
    try:
        return get_integer(engine, "chunks", 1)
    except _DECODE_ERRORS as error:
        _log.warning("chunk_count_odd", service=service, error=_describe(error))
        return None


def _decode_engine_cost(service, engine):
    """Return the `EngineCost` in a service's record, or None if it is incomplete.

    Requests are served without it, placed by the loads that engines report.
    """
    try:
        usual = engine["usual"]
        prompt_tokens = _get_cost(usual, "prompt")
        answer_tokens = _get_cost(usual, "answer")
        steps = get_integer(engine, "stride", 1, SLOTS_MAX)
        context_tokens = prompt_tokens + answer_tokens / 2
        per_request_ms = (
            _get_cost(engine, "per_seq_ms")
            + _get_cost(engine, "context_per_k") * context_tokens / 1000
        )
        return EngineCost(
            PassCost(
                slots=get_integer(engine, "slots", 1, SLOTS_MAX),
                base_s=steps * _get_cost(engine, "step_ms") / 1000,
                per_request_s=steps * per_request_ms / 1000,
                passes_per_answer=answer_tokens / steps,
            ),
            read_s_per_token=1 / max(1.0, _get_cost(engine, "read_per_s")),
            read_s_per_pair=_get_cost(engine, "pairs_per_m") / 1e9,
            usual_prompt_tokens=prompt_tokens,
            usual_answer_tokens=answer_tokens,
            token_capacity=_get_token_capacity(engine),
        )
    except _DECODE_ERRORS as error:
        _log.warning("engine_cost_odd", service=service, error=_describe(error))
        return None


def _get_token_capacity(engine):
    """Return the tokens that an engine's memory holds, 0 if not stated."""
    return get_integer(engine, "kv_capacity", 1) if "kv_capacity" in engine else 0


def _get_cost(spec, field):
    """Return a field's number, which is finite and not negative."""
    value = get_typed(spec, field, (int, float))
    if not 0 <= value <= INTEGER_MAX:
        raise ValueError(f"{field} is {value!r}, expected a number from 0")
    return float(value)


def _decode_origin(item):
    return WeightOrigin(
        address=Address.parse(item["origin"]),
        failure_domain=item["zone"],
    )


def _decode_limits(item):
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=item.get("max_header_bytes", default.max_header_bytes),
        max_body_bytes=item.get("max_body_bytes", default.max_body_bytes),
        header_timeout_s=item.get("header_timeout_ms", 3000) / 1000,
        idle_timeout_s=item.get("idle_timeout_ms", 15000) / 1000,
    )


def _decode_teams(items):
    teams = {}
    for item in items:
        team = Team(
            name=item["name"],
            priority=item.get("priority"),
            allowed_regions=frozenset(item.get("allowed_regions") or ()),
        )
        for key in item["api_keys"]:
            teams[key] = team
    return teams
