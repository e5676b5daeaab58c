"""Settings of a process, read from a JSON file."""

from __future__ import annotations

__all__ = [
    "Endpoint",
    "InstanceSettings",
    "ListStandinSettings",
    "Settings",
    "SlotStandinSettings",
    "StoreStandinSettings",
    "load_settings",
]

import json
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..exceptions import BadInput
from ..kernel.ids import InstanceId, PlaceId, SlotId
from .check import describe_errors
from .objects import NAME_PATTERN

S = TypeVar("S", bound="Settings")


class Settings(BaseModel):
    """Base of all settings files; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    log_level: str = Field("INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$")


class Endpoint(BaseModel):
    """An IP address and a port."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: str = Field("127.0.0.1", pattern=r"^[0-9.]+$")
    port: int = Field(ge=0, le=65535)

    @property
    def address(self) -> str:
        """The endpoint as ``host:port``."""
        return f"{self.host}:{self.port}"


class TlsSettings(BaseModel):
    """PEM files of the certificate that the client listener presents."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    certificate_file: Path
    key_file: Path


class PeerKeySettings(BaseModel):
    """CURVE key files for links between instances, 40 characters of Z85 each."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    public_key_file: Path
    secret_key_file: Path


class InstanceSettings(Settings):
    """Settings of an instance.

    :param caller: listener for clients.
    :param peer: listener for other instances.
    :param operator: listener for operators, who query state and drain slots.
    :param session_key_file: secret that signs session tokens; the same on all
        instances.
    :param slot_ca_file: certificate authority of the slots, PEM; None for no TLS.
    :param drain_s: how long a stopping instance waits for its client connections to
        become idle, and then for the requests and transactions that still run, in
        seconds each.
    """

    instance: InstanceId = Field(pattern=NAME_PATTERN)
    place: PlaceId
    caller: Endpoint
    peer: Endpoint
    operator: Endpoint
    store: Endpoint
    instance_list: Endpoint
    session_key_file: Path
    statsd: Endpoint | None = None
    tls: TlsSettings | None = None
    slot_ca_file: Path | None = None
    peer_keys: PeerKeySettings | None = None
    drain_s: float = Field(20.0, ge=0.0, le=600.0)


class SlotStandinSettings(Settings):
    """Settings of a stand-in for an upstream server."""

    slot: SlotId = Field(pattern=NAME_PATTERN)
    listen: Endpoint
    schema_file: Path | None = None
    connection_limit: int = Field(16, ge=1)
    connect_cost_ms: float = Field(12.0, ge=0.0)
    statement_cost_ms: float = Field(0.0, ge=0.0)
    work_ms: dict[str, float] = Field(default_factory=dict)
    lag_ms: float = Field(0.0, ge=0.0)


class StoreStandinSettings(Settings):
    """Settings of a stand-in for the store."""

    listen: Endpoint


class ListedInstanceSettings(BaseModel):
    """An instance in the initial list of a list stand-in."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance: InstanceId = Field(pattern=NAME_PATTERN)
    place: PlaceId
    peer: Endpoint


class ListStandinSettings(Settings):
    """Settings of a stand-in for the instance list."""

    listen: Endpoint
    lag_ms: float = Field(0.0, ge=0.0)
    instances: tuple[ListedInstanceSettings, ...] = ()


def load_settings(file: Path, kind: type[S]) -> S:
    """Read and validate a settings file; paths in it are relative to its folder.

    :raises BadInput: with one line for each error.
    """
    try:
        content = json.loads(file.read_bytes())
    except OSError as error:
        raise BadInput(
            f"{file}: cannot be read: {error.strerror}; check the path"
        ) from error
    except ValueError as error:
        raise BadInput(f"{file}: invalid JSON: {error}; correct the syntax") from error
    try:
        settings = kind.model_validate(content)
    except ValidationError as error:
        raise BadInput("\n".join(describe_errors(str(file), error))) from error
    return _check_files(file, settings)


def _check_files(file: Path, settings: S) -> S:
    resolved = _resolve(settings, file.parent)
    missing = [
        f"{file}: {name}: no file at {path}; create it or correct the path"
        for name, path in _find_paths(resolved)
        if not path.is_file()
    ]
    if missing:
        raise BadInput("\n".join(missing))
    return resolved


M = TypeVar("M", bound=BaseModel)


def _resolve(model: M, folder: Path) -> M:
    changes: dict[str, object] = {}
    for name in type(model).model_fields:
        value = getattr(model, name)
        if isinstance(value, Path):
            changes[name] = folder / value
        elif isinstance(value, BaseModel):
            changes[name] = _resolve(value, folder)
    return model.model_copy(update=changes)


def _find_paths(model: BaseModel, prefix: str = "") -> list[tuple[str, Path]]:
    found: list[tuple[str, Path]] = []
    for name in type(model).model_fields:
        value = getattr(model, name)
        if isinstance(value, Path):
            found.append((prefix + name, value))
        elif isinstance(value, BaseModel):
            found.extend(_find_paths(value, f"{prefix}{name}."))
    return found
