"""Settings of a process on the platform, in the format of `deploy/settings.json`."""

from __future__ import annotations

__all__ = [
    "SETTINGS_VARIABLE",
    "PlatformSettings",
    "find_settings_path",
    "load_platform_settings",
]

import os
from pathlib import Path

import msgspec

from ..exceptions import BadInput
from ..kernel.ids import InstanceId, PlaceId, RegionId
from ..proxy.instance import ProxySettings
from ..wire.client import is_address

# Metrics port declared in deploy/system.toml.
METRICS_PORT = 9464
# Environment variable in which the platform passes the path of the settings file.
SETTINGS_VARIABLE = "CELERYFOLD_BOOT"


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
        settings = msgspec.json.decode(path.read_bytes(), type=PlatformSettings)
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}; name a file that exists") from error
    except msgspec.DecodeError as error:
        raise BadInput(f"{path}: {error}; correct that field") from error
    errors = list(_find_errors(settings))
    if errors:
        raise BadInput("\n".join(f"{path}: {text}" for text in errors))
    return settings


def _find_errors(settings: PlatformSettings) -> list[str]:
    errors = []
    for name in ("clients", "probes", "peers", "store", "promotions"):
        if not is_address(getattr(settings, name)):
            errors.append(f"{name}: give an IP address and a port, such as 10.0.0.1:80")
    for index, seed in enumerate(settings.seeds):
        if not is_address(seed):
            errors.append(f"seeds[{index}]: give an IP address and a port")
    if settings.data_centre not in settings.regions:
        errors.append("data_centre: give one of the keys of regions")
    if settings.grace_s <= 0:
        errors.append("grace_s: give a number of seconds above 0")
    return errors
