"""Settings of a process on the platform, as `deploy/settings.json` lays them out."""

from __future__ import annotations

__all__ = ["PlatformSettings", "load_platform_settings"]

from pathlib import Path

import msgspec

from ..exceptions import BadInput
from ..kernel.ids import InstanceId, PlaceId, RegionId
from ..proxy.instance import ProxySettings
from ..wire.client import is_address

# Where deploy/system.toml says that metrics are read.
METRICS_PORT = 9464


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold what the platform tells a process.

    :param clients: address that clients connect to.
    :param probes: address of the readiness probe and of the metrics.
    :param peers: address that other instances connect to.
    :param store: address of the platform's store.
    :param promotions: address of the platform's machine interface.
    :param grace_s: seconds between the order to stop and the kill.
    :param metrics_port: port of the page of metrics, on the probes' host.
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
        """Return the settings of the instance."""
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


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read and check a settings file.

    :raises BadInput: naming the file, each wrong field and the mend.
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
            errors.append(f"{name}: write an IP number and a port, such as 10.0.0.1:80")
    for index, seed in enumerate(settings.seeds):
        if not is_address(seed):
            errors.append(f"seeds[{index}]: write an IP number and a port")
    if settings.data_centre not in settings.regions:
        errors.append("data_centre: name one of those under regions")
    if settings.grace_s <= 0:
        errors.append("grace_s: write seconds above 0")
    return errors
