"""Settings of a process: one TOML file, validated before anything starts."""

import tomllib
from difflib import get_close_matches
from pathlib import Path
from typing import Literal, get_args

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from .kernel.errors import SettingsError
from .setting_types import AddressField


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSettings(_Section):
    """Name and location of this process."""

    name: str
    region: str
    failure_domain: str


class ListenSettings(_Section):
    """Addresses on which this process listens, and those at which peers reach it."""

    http: AddressField
    control: AddressField
    advertised_http: AddressField | None = None
    advertised_control: AddressField | None = None
    source_host: str | None = None

    @property
    def peers_http(self):
        """The HTTP address at which peers reach this process."""
        return self.advertised_http or self.http

    @property
    def peers_control(self):
        """The control address at which peers reach this process."""
        return self.advertised_control or self.control


class PlatformSettings(_Section):
    """Addresses of the platform's services."""

    object_api: AddressField
    origin: AddressField
    call_timeout_s: float = Field(2.0, gt=0)
    status_interval_s: float = Field(1.0, gt=0)


class SpreadSettings(_Section):
    """Distribution of configuration and membership to this process.

    :param exchange_interval_s: mean seconds between two exchanges with peers.
    :param watch_timeout_s: the longest time that a watch waits for a change.
    :param stale_after_s: seconds without a confirmation by the platform after which the
        first standby reads the document.
    """

    exchange_interval_s: float = Field(1.0, gt=0)
    watch_timeout_s: float = Field(1.0, gt=0)
    stale_after_s: float = Field(3.0, gt=0)
    bootstrap_peers: list[AddressField] = Field(default_factory=list)


class EntrySettings(_Section):
    """Settings of an entry daemon.

    :param operator_tokens: SHA-256 digests of tokens by operator, accepted while no
        operator is declared.
    :param head_silence_s: seconds without any data from a target after which it gets a
        liveness check, while the head of an idempotent request's reply is awaited.
    :param stream_silence_s: the read timeout of the reply to an idempotent request.
    """

    operator_tokens: dict[str, str] = Field(default_factory=dict)
    default_deadline_s: float = Field(30.0, gt=0)
    attempts_max: int = Field(3, ge=1)
    retry_budget_ratio: float = Field(0.2, ge=0)
    deadline_max_s: float = Field(600.0, gt=0)
    routing_policy: Literal["balanced", "random"] = "balanced"
    subset_size: int = Field(12, ge=1)
    head_silence_s: float = Field(1.0, gt=0)
    stream_silence_s: float = Field(3.0, gt=0)


class TargetSettings(_Section):
    """Settings of a target daemon: its backend and limits."""

    backend: Literal["engine", "service"]
    backend_address: AddressField
    models: list[str] = Field(default_factory=list)
    service: str | None = None
    cold_concurrency: int = Field(2, ge=1)
    warm_concurrency: int = Field(16, ge=1)
    queue_max: int = Field(16, ge=0)
    order_timeout_s: float = Field(30.0, gt=0)
    engine_checks_fencing: bool = True
    claim_retention_s: float = Field(86_400.0, ge=3_600)

    @model_validator(mode="after")
    def _check_backend(self):
        if self.backend == "engine" and not self.models:
            raise ValueError("an engine needs 'models', a list of model names")
        if self.backend == "service" and not self.service:
            raise ValueError("a service needs 'service', its name")
        return self


class WeightsSettings(_Section):
    """Transfer and storage of weights.

    :param link_bytes_per_s: the speed of the link, or None to not limit transfers.
    :param link_share: the fraction of the link that transfers use in each direction.
    :param source_order: the name of the plan that assigns chunks to targets.
    :param fetchers: the number of concurrent pulls from peers.
    :param drawers: the number of concurrent draws from the origin.
    :param step_in_delay_s: the delay per rank until a target adopts an orphaned chunk.
    :param stall_after_s: seconds of waiting for data after which a sender of too few
        bytes counts as stalled.
    :param wave_patience_s: seconds without a change after which a failure domain no
        longer blocks the next one of a rollout.
    """

    memory_max_bytes: int = Field(8 * 1024**3, gt=0)
    link_bytes_per_s: float | None = Field(None, gt=0)
    link_share: float = Field(0.9, gt=0, le=1)
    source_order: str = "scatter"
    fetchers: int = Field(8, ge=1)
    drawers: int = Field(1, ge=1)
    step_in_delay_s: float = Field(2.0, gt=0)
    stall_after_s: float = Field(3.0, gt=0)
    out_budget_ratio: float = Field(1.05, gt=0)
    permit_expiry_s: float = Field(45.0, gt=0)
    wave_patience_s: float = Field(10.0, gt=0)


class TelemetrySettings(_Section):
    """Logs, metrics and traces."""

    log_format: Literal["json", "console"] = "json"
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    trace_sample_ratio: float = Field(0.01, ge=0, le=1)
    trace_spans_per_s_max: float = Field(50.0, ge=0)
    trace_spans_kept: int = Field(500, ge=0)


class Settings(_Section):
    """All settings of one process.

    :param stop_notice_s: seconds for which a stopping process still serves new requests
        after it has reported that it is not ready.
    :param drain_timeout_s: the longest wait for running requests.
    """

    role: Literal["entry", "target"]
    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    spread: SpreadSettings = SpreadSettings()
    entry: EntrySettings | None = None
    target: TargetSettings | None = None
    weights: WeightsSettings = WeightsSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    stop_notice_s: float = Field(1.0, ge=0)
    drain_timeout_s: float = Field(60.0, gt=0)

    @model_validator(mode="after")
    def _check_role(self):
        if getattr(self, self.role) is None:
            raise ValueError(f"role {self.role!r} needs a section [{self.role}]")
        return self


def load(path):
    """Read and validate the settings file at `path`.

    :raises SettingsError: if it is invalid; the message contains each invalid key, its
        value and what is expected.
    """
    try:
        raw = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    return check(raw, str(path))


def check(raw, source="settings"):
    """Return validated settings from the mapping `raw`.

    :param source: the origin of `raw`, for error messages.
    :raises SettingsError: as for `load`.
    """
    try:
        return Settings.model_validate(raw)
    except ValidationError as error:
        lines = [
            f"{source}: {_format_error(error_details)}"
            for error_details in error.errors()
        ]
        raise SettingsError("\n".join(lines)) from error


def keys(section=Settings, prefix=""):
    """Yield each key with its sections, as ``section.key``, and its pydantic field."""
    for name, field in section.model_fields.items():
        inner_section = _section_of(field.annotation)
        if inner_section is not None:
            yield from keys(inner_section, f"{prefix}{name}.")
        else:
            yield f"{prefix}{name}", field


def _section_of(annotation):
    """Return the section class in a type annotation, or None."""
    for candidate in (annotation, *get_args(annotation)):
        if isinstance(candidate, type) and issubclass(candidate, _Section):
            return candidate
    return None


def _format_error(error_details):
    key = ".".join(str(part) for part in error_details["loc"]) or "(file)"
    value = error_details["input"]
    shown = "" if isinstance(value, dict) else f" = {value!r}"
    expected = error_details["msg"]
    if error_details["type"] == "extra_forbidden":
        expected = f"unknown key{_suggest_key(key)}"
    return f"{key}{shown}: {expected}"


def _suggest_key(key):
    close_matches = get_close_matches(
        key, [known for known, _ in keys()], n=1, cutoff=0.7
    )
    return f"; did you mean {close_matches[0]!r}?" if close_matches else ""
