"""Run an instance or a stand-in as a process until SIGTERM or SIGINT."""

from __future__ import annotations

__all__ = ["InstanceDaemon", "build_instance", "run_instance", "run_until_signal"]

import logging
import signal
import ssl
from collections.abc import Awaitable, Callable

import trio

from .config.objects import SlotDefinition
from .config.settings import InstanceSettings
from .drivers.http_slot import HttpSlot
from .drivers.http_store import HttpInstanceList, HttpStore
from .drivers.ordered_store import OrderedStore
from .drivers.slot import SLOT_DRIVERS, Slot
from .exceptions import BadInput
from .fleet.members import Member
from .fleet.messages import FLEET_CODEC
from .http_handlers import CallerHandler, OperatorHandler
from .instance import Instance, Platform
from .kernel.events import Timeline
from .kernel.garbage_collection import tune_garbage_collector
from .kernel.metrics import Metrics
from .links.zmq_link import PeerKeys, ZmqLink
from .wire.server import HttpServer

log = logging.getLogger(__name__)

# Clients are accepted after this time even without a configuration.
CONFIGURATION_WAIT_S = 5.0


class InstanceDaemon:
    """An instance with its HTTP listeners for clients and for operators."""

    def __init__(self, settings: InstanceSettings) -> None:
        self.settings = settings
        self.instance = build_instance(settings)
        self.client_listener = HttpServer(
            settings.caller.host,
            settings.caller.port,
            lambda: CallerHandler(self.instance),
            _load_tls(settings),
        )
        self.operator_listener = HttpServer(
            settings.operator.host,
            settings.operator.port,
            lambda: OperatorHandler(self.instance),
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Open all listeners and join the fleet.

        The client listener opens once a configuration is in force, or after
        ``CONFIGURATION_WAIT_S`` without one.
        """
        link = self.instance.link
        assert isinstance(link, ZmqLink)
        await link.start(nursery)
        await self.operator_listener.start(nursery)
        await self.instance.start(nursery)
        with trio.move_on_after(CONFIGURATION_WAIT_S):
            await self.instance.configuration.wait_configured()
        await self.client_listener.start(nursery)

    async def close(self) -> None:
        """Drain and stop.

        New client connections are refused, and requests in progress finish before the
        instance leaves the fleet, unless they take longer than ``drain_s``.
        """
        await self.client_listener.stop_accepting()
        with trio.move_on_after(self.settings.drain_s):
            await self.client_listener.wait_idle()
        await self.instance.leave(self.settings.drain_s)
        await self.operator_listener.close()
        await self.instance.close()


def build_instance(settings: InstanceSettings) -> Instance:
    """Return an instance with the drivers, keys and listeners of its settings.

    :raises BadInput: if a key or certificate file is not valid.
    """
    metrics = Metrics()
    if settings.statsd is not None:
        metrics = Metrics.connect(
            settings.statsd.host,
            settings.statsd.port,
            f"celeryfold.{settings.instance}",
        )
    timeline = Timeline(settings.instance)
    link = ZmqLink(
        settings.peer.host,
        settings.peer.port,
        FLEET_CODEC,
        timeline.clock,
        metrics,
        _load_peer_keys(settings),
    )
    slot_tls = _load_slot_tls(settings)

    def open_slot(definition: SlotDefinition) -> Slot:
        driver = SLOT_DRIVERS.find(definition.driver)
        if driver is HttpSlot:
            return HttpSlot(definition.name, definition.address, slot_tls, metrics)
        return driver(definition.name, definition.address)  # type: ignore[call-arg]

    platform = Platform(
        OrderedStore(HttpStore(settings.store.address, metrics)),
        HttpInstanceList(settings.instance_list.address),
        open_slot,
    )
    local_member = Member(
        settings.instance,
        settings.peer.address,
        settings.place,
        settings.caller.address,
        incarnation=_make_incarnation(timeline),
    )
    secret = settings.session_key_file.read_bytes().strip()
    return Instance(local_member, platform, link, secret, timeline, metrics)


def _make_incarnation(timeline: Timeline) -> int:
    """Return a number greater than that of any earlier run of the same instance."""
    stamp_ms, _ = timeline.clock.advance()
    return stamp_ms


def _load_tls(settings: InstanceSettings) -> ssl.SSLContext | None:
    if settings.tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(settings.tls.certificate_file, settings.tls.key_file)
    except (ssl.SSLError, OSError) as error:
        path = settings.tls.certificate_file
        raise BadInput(
            f"tls: {path}: {error}; use a PEM certificate and a PEM key"
        ) from error
    return context


def _load_slot_tls(settings: InstanceSettings) -> ssl.SSLContext | None:
    if settings.slot_ca_file is None:
        return None
    try:
        return ssl.create_default_context(cafile=str(settings.slot_ca_file))
    except (ssl.SSLError, OSError) as error:
        path = settings.slot_ca_file
        raise BadInput(f"slot_ca_file: {path}: {error}; use a PEM file") from error


def _load_peer_keys(settings: InstanceSettings) -> PeerKeys | None:
    if settings.peer_keys is None:
        return None
    public = settings.peer_keys.public_key_file.read_bytes().strip()
    secret = settings.peer_keys.secret_key_file.read_bytes().strip()
    if len(public) != 40 or len(secret) != 40:
        path = settings.peer_keys.public_key_file.parent
        raise BadInput(f"peer_keys: {path}: each key must have 40 characters of Z85")
    return PeerKeys(public, secret)


async def run_until_signal(
    start: Callable[[trio.Nursery], Awaitable[None]],
    close: Callable[[], Awaitable[None]],
) -> None:
    """Run a service until SIGTERM or SIGINT, then close it.

    :param start: starts the service's tasks in the nursery.
    :param close: drains and stops the service; remaining tasks are cancelled after it.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            await start(nursery)
            async for number in signals:
                log.info("stopping on signal %s", number)
                break
            await close()
            nursery.cancel_scope.cancel()


async def run_instance(settings: InstanceSettings) -> None:
    """Run an instance until SIGTERM or SIGINT."""
    daemon = InstanceDaemon(settings)

    async def start(nursery: trio.Nursery) -> None:
        await daemon.start(nursery)
        tune_garbage_collector()
        log.info("%s accepts clients on %s", settings.instance, settings.caller.address)

    await run_until_signal(start, daemon.close)
