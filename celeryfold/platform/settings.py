"""Settings of a process on the platform, in the format of `deploy/settings.json`."""

from __future__ import annotations

__all__ = [
    "SETTINGS_VARIABLE",
    "CapacitySettings",
    "KeyRevocationSettings",
    "PlatformSettings",
    "RateLimitSettings",
    "find_settings_path",
    "load_platform_settings",
]

import math
import os
from pathlib import Path

import msgspec

from ..accounts import KeyRevocation, RateLimitBounds
from ..balancing import Capacity
from ..exceptions import BadInput, Unreadable
from ..kernel.decoding import decode_json
from ..kernel.ids import InstanceId, PlaceId, RegionId
from ..proxy.instance import ProxySettings
from ..wire.client import is_address
from .protocol import NAME_PATTERN

# Metrics port declared in deploy/system.toml.
METRICS_PORT = 9464
# Descriptors that the platform reserves for files, and the share of the others that
# client sessions may take; upstreams, peers and the store need the rest.
N_FILE_DESCRIPTORS = 200
SESSION_SHARE = 0.75
# Environment variable in which the platform passes the path of the settings file.
SETTINGS_VARIABLE = "CELERYFOLD_BOOT"


class KeyRevocationSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Handling of API keys while the store does not confirm the configuration.

    :param timeout_ms: time without a confirmation, in milliseconds.
    :param is_strict: whether requests that need a key are refused from then on.
    """

    timeout_ms: float
    is_strict: bool = False

    def make_key_revocation(self) -> KeyRevocation:
        """Return the settings of the proxy, in seconds."""
        return KeyRevocation(self.timeout_ms / 1000, self.is_strict)


class RateLimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Tolerance of the rate limits of accounts.

    :param window_s: length of the sliding window, in seconds.
    :param excess: relative excess over rate and burst.
    :param slack: further operations.
    """

    window_s: float
    excess: float = 0.0
    slack: float = 0.0

    def make_bounds(self) -> RateLimitBounds:
        """Return the settings of the proxy."""
        return RateLimitBounds(self.window_s, self.excess, self.slack)


class CapacitySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity of the machine that runs the instance.

    :param n_cores: number of cores of the machine.
    :param cpu_share: share of them that the instance gets.
    :param link_mbps: throughput of its network link, in Mbit/s.
    """

    n_cores: float
    cpu_share: float
    link_mbps: float

    def make_capacity(self) -> Capacity:
        """Return the settings of the proxy."""
        return Capacity(self.cpu_share * self.n_cores, self.link_mbps)


# Fields of the optional tables by their bound, with their unit for error messages.
_POSITIVE_FIELDS = {
    "key_revocation.timeout_ms": "of milliseconds",
    "rate_limit.window_s": "of seconds",
    "capacity.n_cores": "of cores",
    "capacity.cpu_share": "(a share of the cores)",
    "capacity.link_mbps": "of Mbit/s",
}
_NON_NEGATIVE_FIELDS = {
    "rate_limit.excess": "(a share of the rate)",
    "rate_limit.slack": "of operations",
}


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that the platform passes to a process.

    :param clients: address of the client listener.
    :param probes: address of the readiness probe and the metrics page.
    :param regions: region of each data centre.
    :param peers: address of the listener for other instances.
    :param seeds: peer addresses of instances that are contacted first.
    :param store: address of the platform's store.
    :param promotions: address of the platform's machine interface.
    :param grace_s: seconds between the stop signal and the kill signal.
    :param metrics_port: port of the metrics page, on the host of ``probes``.
    :param rate_limit: required for the rates of accounts to be limited.
    :param max_descriptors: how many descriptors the process may have open; without it
        the number of client sessions is not limited.
    """

    instance: str
    data_centre: str
    regions: dict[str, str]
    clients: str
    probes: str
    peers: str
    seeds: list[str]
    store: str
    promotions: str
    grace_s: float
    metrics_port: int = METRICS_PORT
    key_revocation: KeyRevocationSettings | None = None
    rate_limit: RateLimitSettings | None = None
    capacity: CapacitySettings | None = None
    max_descriptors: int | None = None

    @property
    def max_sessions(self) -> int | None:
        """How many client sessions leave enough descriptors for all other work."""
        if self.max_descriptors is None:
            return None
        n_sockets = self.max_descriptors - N_FILE_DESCRIPTORS
        return int(n_sockets * SESSION_SHARE)

    def make_proxy_settings(self) -> ProxySettings:
        """Return the settings of the proxy instance."""
        host, _, port = self.clients.rpartition(":")
        regions = {PlaceId(p): RegionId(r) for p, r in self.regions.items()}
        return ProxySettings(
            instance_id=InstanceId(self.instance),
            place=PlaceId(self.data_centre),
            regions=regions,
            client_host=host,
            client_port=int(port),
            peer_address=self.peers,
            seeds=tuple(self.seeds),
            grace_s=self.grace_s,
            key_revocation=self.key_revocation.make_key_revocation()
            if self.key_revocation
            else None,
            rate_limit=self.rate_limit.make_bounds() if self.rate_limit else None,
            capacity=self.capacity.make_capacity() if self.capacity else None,
            max_sessions=self.max_sessions,
        )


def find_settings_path() -> Path:
    """Return the path of the settings file from the environment.

    :raises BadInput: if the platform's variable is not set.
    """
    text = os.environ.get(SETTINGS_VARIABLE)
    if not text:
        raise BadInput(f"{SETTINGS_VARIABLE} is not set; set it or give --settings")
    return Path(text)


def load_platform_settings(path: Path) -> PlatformSettings:
    """Load and validate a settings file.

    :raises BadInput: if the file or a field is invalid; the message names the file,
        each invalid field and its correction.
    """
    try:
        settings = decode_json(path.read_bytes(), PlatformSettings)
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}; name a file that exists") from error
    except Unreadable as error:
        raise BadInput(f"{path}: {error}; correct that field") from error
    errors = list(_find_errors(settings))
    if errors:
        raise BadInput("\n".join(f"{path}: {text}" for text in errors))
    return settings


def _find_errors(settings: PlatformSettings) -> list[str]:
    errors: list[str] = []
    if not NAME_PATTERN.fullmatch(settings.instance):
        errors.append("instance: give a printable word in ASCII without blanks")
    for name in ("clients", "probes", "peers", "store", "promotions"):
        if not is_address(getattr(settings, name)):
            errors.append(f"{name}: give an IP address and a port, such as 10.0.0.1:80")
    for index, seed in enumerate(settings.seeds):
        if not is_address(seed):
            errors.append(f"seeds[{index}]: give an IP address and a port")
    if settings.data_centre not in settings.regions:
        errors.append("data_centre: give one of the keys of regions")
    if settings.max_sessions is not None and settings.max_sessions < 1:
        errors.append(
            f"max_descriptors: give at least {N_FILE_DESCRIPTORS + 2}, or leave it out"
        )
    if settings.grace_s <= 0:
        errors.append("grace_s: give a number of seconds above 0")
    for name, unit in _POSITIVE_FIELDS.items():
        if _find_number(settings, name) <= 0:
            errors.append(f"{name}: give a number {unit} above 0")
    for name, unit in _NON_NEGATIVE_FIELDS.items():
        if _find_number(settings, name) < 0:
            errors.append(f"{name}: give a number {unit} of at least 0")
    return errors


def _find_number(settings: PlatformSettings, name: str) -> float:
    """Return a field of an optional table; infinite, thus valid, without the table."""
    table_name, _, field = name.partition(".")
    table = getattr(settings, table_name)
    return math.inf if table is None else float(getattr(table, field))
