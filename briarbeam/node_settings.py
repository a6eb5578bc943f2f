"""Settings of a process on the users' platform: one TOML file, validated at the start.

The file is rendered from `deploy/settings.toml.in`. Unknown keys are ignored, as a
newer template may add some.
"""

import tomllib
from pathlib import Path
from typing import Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from .kernel.errors import SettingsError
from .kernel.network import Address
from .platform.contracts import has_load_control
from .setting_types import AddressField


class _Section(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class InstanceSettings(_Section):
    """Name and location of this process."""

    name: str
    host: str
    region: str
    failure_domain: str


class ListenSettings(_Section):
    """Addresses on which this process listens.

    `callers` and `readiness` are required for an entry and unused by a stager.
    `peer_ports` is the first and the last port for traffic between daemons.
    """

    callers: AddressField | None = None
    readiness: AddressField | None = None
    metrics_port: int = Field(9464, gt=0, lt=65536)
    peer_ports: list[int] = Field(min_length=2, max_length=2)


class StoreSettings(_Section):
    """Address of the platform's store."""

    address: AddressField


class BoundSettings(_Section):
    """Limits that the operators set, in the units of their names.

    `key_revocation_s`: after this time no request runs with a key that was revoked.
    `config_apply_s`: after this time every request is handled according to an accepted
    desired state.
    `version_within_s`: after this time every request runs on the weights named last.
    `grace_s`: time from SIGTERM to SIGKILL.
    `retry_ratio`: retries per request.
    `retry_slack`: additional retries in each window, for all entries together.
    `retry_window_s`: the length of the window in which retries are counted.
    `contact_s`: the time left to put a version into use if it is not known when it was
    named.
    """

    key_revocation_s: float = Field(gt=0)
    config_apply_s: float = Field(gt=0)
    version_within_s: float = Field(gt=0)
    grace_s: float = Field(gt=0)
    retry_ratio: float = Field(ge=0)
    retry_slack: float = Field(ge=0)
    retry_window_s: float = Field(gt=0)
    contact_s: float = Field(gt=0)


class LinkSettings(_Section):
    """The network link of this machine.

    `mbit_per_s`: its rate in megabits per second.
    """

    mbit_per_s: float = Field(gt=0)

    @property
    def bytes_per_s(self):
        return self.mbit_per_s * 1e6 / 8


class MemorySettings(_Section):
    """The memory that this process may use; the platform ends one that uses more.

    `limit_mb`: in megabytes.
    """

    limit_mb: float = Field(200, gt=0)

    @property
    def limit_bytes(self):
        return int(self.limit_mb * 1e6)


class CallerInputSettings(_Section):
    """Limits on what a connection may send in addition to the desired state's `limits`.

    `max_trailer_bytes`: of the trailers behind a chunked body. They are not used.
    `max_trailers`: their number.
    `max_chunk_framing_bytes`: of chunk sizes, their extensions and trailers of one
    body, beyond `CHUNK_FRAMING_PER_BODY_BYTE` for each byte of the body.
    `max_connections`: open at one port. The limit on descriptors of the process lowers
    it, and other ports than the callers' have a lower one (`relay/connections.py`).
    """

    max_trailer_bytes: int = Field(16384, gt=0)
    max_trailers: int = Field(256, gt=0)
    max_chunk_framing_bytes: int = Field(65536, gt=0)
    max_connections: int = Field(2048, gt=0)


class EngineSettings(_Section):
    """Address of the engine on the machine of a stager."""

    address: AddressField


class NodeSettings(_Section):
    """All settings of one process.

    `contracts`: the names of the platform's contracts that are in force.
    """

    role: Literal["entry", "stager"]
    instance: InstanceSettings
    listen: ListenSettings
    store: StoreSettings
    bounds: BoundSettings
    link: LinkSettings
    memory: MemorySettings = MemorySettings()
    caller_input: CallerInputSettings = CallerInputSettings()
    regions: dict[str, str]
    engine: EngineSettings | None = None
    contracts: list[str] = []

    @model_validator(mode="after")
    def _check_role(self):
        if self.role == "entry" and None in (
            self.listen.callers,
            self.listen.readiness,
        ):
            raise ValueError("role 'entry' needs listen.callers and listen.readiness")
        return self

    @property
    def load_control(self):
        """Whether places at engines are shared by priority and by team."""
        return has_load_control(self.contracts)

    @property
    def peer_address(self):
        """The address of this process for other daemons, for datagrams and HTTP."""
        return Address(self.instance.host, self.listen.peer_ports[0])


def load(path):
    """Read the settings file at `path` and return its `NodeSettings`.

    :raises SettingsError: if it can't be read or is invalid; the message contains each
        invalid key, its value and what is expected.
    """
    try:
        raw = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    try:
        return NodeSettings.model_validate(raw)
    except ValidationError as error:
        lines = [
            f"{path}: {_format_error(error_details)}"
            for error_details in error.errors()
        ]
        raise SettingsError("\n".join(lines)) from error


def _format_error(error_details):
    key = ".".join(str(part) for part in error_details["loc"]) or "(file)"
    value = error_details["input"]
    shown = "" if isinstance(value, dict) else f" = {value!r}"
    return f"{key}{shown}: {error_details['msg']}"
