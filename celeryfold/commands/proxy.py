"""The command ``proxy``: run an instance on the hosting platform."""

from __future__ import annotations

__all__ = ["run"]

import logging
import signal
from pathlib import Path

import trio

from ..exceptions import BadInput
from ..kernel.garbage_collection import tune_garbage_collector
from ..kernel.logs import configure_stdout_logging
from ..kernel.metrics import Metrics
from ..links.zmq_link import ZmqLink
from ..platform.clients import LineClientChannel
from ..platform.connections import LineConnector
from ..platform.entries import PlatformEntryDecoder
from ..platform.monitoring import MonitoringHandler
from ..platform.promotions import HttpPromotions
from ..platform.settings import (
    PlatformSettings,
    find_settings_path,
    load_platform_settings,
)
from ..platform.store import HttpCoordinationStore
from ..proxy.clock import read_boot_clock
from ..proxy.codec import PEER_CODEC
from ..proxy.instance import Platform, ProxyInstance
from ..proxy.ordered_store import OrderedStore
from ..wire.client import split_address
from ..wire.server import HttpServer

log = logging.getLogger(__name__)


def run(settings_path: Path | None) -> None:
    """Run an instance until SIGTERM.

    :param settings_path: None takes the path that the platform sets in the environment.
    :raises BadInput: if the settings are missing or invalid.
    """
    path = settings_path or find_settings_path()
    settings = load_platform_settings(path)
    configure_stdout_logging("INFO", settings.instance)
    trio.run(_run, settings, path)


def make_instance(settings: PlatformSettings, metrics: Metrics) -> ProxyInstance:
    """Return an instance with the drivers of the platform."""
    platform = Platform(
        store=OrderedStore(
            HttpCoordinationStore(settings.store, metrics), read_boot_clock, metrics
        ),
        decoder=PlatformEntryDecoder(),
        connector=LineConnector(settings.instance),
        promotions=HttpPromotions(settings.promotions, metrics),
        make_channel=LineClientChannel,
    )
    host, port = split_address(settings.peers)
    link = ZmqLink(host, port, PEER_CODEC, metrics=metrics)
    proxy_settings = settings.make_proxy_settings()
    return ProxyInstance(proxy_settings, platform, link, read_boot_clock, metrics)


async def _run(settings: PlatformSettings, path: Path) -> None:
    metrics = Metrics()
    instance = make_instance(settings, metrics)
    link = instance.link
    assert isinstance(link, ZmqLink)
    # The receiver restores this handler when it closes, so that a second SIGTERM does
    # not kill the process while it exits.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            await link.start(nursery)
            await instance.start(nursery)
            for address in _list_page_addresses(settings):
                host, port = split_address(address)
                server = HttpServer(
                    host,
                    port,
                    lambda: MonitoringHandler(lambda: instance.is_ready, metrics),
                )
                await server.start(nursery)
            tune_garbage_collector()
            log.info("instance started", extra={"place": settings.data_centre})
            async for number in signals:
                if number == signal.SIGTERM:
                    break
                _reload(path, settings)
            log.info("instance stopping", extra={"grace_s": settings.grace_s})
            await instance.stop()
            log.info(
                "instance stopped",
                extra={"n_sessions": instance.client_listener.n_sessions},
            )
            await instance.close()
            nursery.cancel_scope.cancel()


def _list_page_addresses(settings: PlatformSettings) -> list[str]:
    host, _ = split_address(settings.probes)
    return [settings.probes, f"{host}:{settings.metrics_port}"]


def _reload(path: Path, settings: PlatformSettings) -> None:
    """Check the settings file and log the result; addresses need a restart to change.

    :param settings: the settings that the process was started with.
    """
    try:
        changed = load_platform_settings(path)
    except BadInput as error:
        log.error("settings not reloaded", extra={"reason": str(error)})
        return
    log.info("settings reloaded", extra={"is_same": changed == settings})
