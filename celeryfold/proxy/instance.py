"""A proxy instance: creates, starts and stops all components."""

from __future__ import annotations

__all__ = ["Platform", "ProxyInstance", "ProxySettings"]

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio

from ..accounts import (
    AccountTable,
    Authenticator,
    KeyRevocation,
    RateLimitBounds,
    RateLimiter,
)
from ..accounts.coordinators import RateCoordinator
from ..accounts.distributed_rates import DistributedRateLimiter
from ..balancing.capacity import Capacity, compute_capacity_weight
from ..kernel.ids import Generation, InstanceId, PlaceId, RegionId, ServiceId
from ..kernel.metrics import Metrics
from ..kernel.supervision import supervise
from ..links.link import PeerLink
from .client_listener import EXIT_MARGIN_S, STOP_POLL_S, ClientChannel, ClientListener
from .clock import Clock
from .directory import Directory
from .executor_registry import ExecutorRegistry
from .fleet_records import FleetRecordKeeper
from .gossip import PeerGossip
from .home import HomeServer
from .leases import Duty, LeaseManager
from .messages import Peer
from .peers import PeerTable
from .promotions import Promotions
from .reads import ReadRunner
from .routes import DEFAULT_TRANSACTION_IDLE_S, Route, Routes
from .routing import Router
from .runner import Runner
from .sampler import Sampler
from .samples import SampleHistory
from .session import SessionPorts
from .store import CoordinationStore
from .transactions import TransactionRunner
from .upstream import Connector
from .watcher import EntryDecoder, StoreWatcher
from .write_suspensions import RECORD_FOLDER, SuspensionReader, WriteSuspender
from .writes import WriteRunner

if TYPE_CHECKING:
    from .guardian import Guardian

KEY_PREFIX = "celeryfold/"
HOUSEKEEPING_INTERVAL_S = 0.5
# A watch without changes gets a reply every 2.3 s, and peers pass this contact on
# within two gossip exchanges.
MAX_STORE_AGE_S = 3.2


@dataclass(frozen=True)
class ProxySettings:
    """Start-up settings of an instance.

    :param place: the data centre of the instance.
    :param regions: the region of each data centre.
    :param client_host: the host on which clients connect.
    :param client_port: the port on which clients connect.
    :param peer_address: the address on which other instances connect.
    :param seeds: addresses of instances to contact first.
    :param grace_s: time from the request to stop to the end of the process, in seconds.
    :param key_revocation: None to accept keys whatever the configuration's age.
    :param rate_limit: tolerance of the accounts' rates; None for no rate limits.
    :param capacity: None if all instances count as equal.
    :param max_sessions: how many client connections there may be; None for any number.
    """

    instance_id: InstanceId
    place: PlaceId
    regions: Mapping[PlaceId, RegionId]
    client_host: str
    client_port: int
    peer_address: str
    seeds: tuple[str, ...]
    grace_s: float
    key_revocation: KeyRevocation | None = None
    rate_limit: RateLimitBounds | None = None
    capacity: Capacity | None = None
    max_sessions: int | None = None


@dataclass(frozen=True)
class Platform:
    """Drivers of the external systems."""

    store: CoordinationStore
    decoder: EntryDecoder
    connector: Connector
    promotions: Promotions
    make_channel: Callable[[trio.SocketStream], ClientChannel]


class ProxyInstance(SessionPorts):
    """Serves sessions, watches the store, gossips with peers and runs guardians."""

    def __init__(
        self,
        settings: ProxySettings,
        platform: Platform,
        link: PeerLink,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self._platform = platform
        self.link = link
        self.routes = Routes()
        self.directory = Directory(clock)
        self.samples = SampleHistory(clock)
        me = Peer(
            settings.instance_id,
            settings.peer_address,
            settings.place,
            capacity=compute_capacity_weight(settings.capacity),
        )
        self.peers = PeerTable(me, settings.seeds, settings.regions, clock)
        self.executors = ExecutorRegistry(
            platform.connector,
            link,
            self.directory,
            self.routes,
            self.peers,
            self._estimate_distance_s,
            self.samples.is_suspended,
            clock,
            metrics,
        )
        self.home_server = HomeServer(link, self.executors.find_local, clock, metrics)
        self.router = Router(
            settings.place,
            settings.regions,
            self.directory,
            self.executors,
            self.samples,
            clock,
        )
        runner_arguments = (self.router, self.samples, clock, metrics)
        self.reads = ReadRunner(*runner_arguments)
        self.writes = WriteRunner(*runner_arguments)
        self.transactions = TransactionRunner(*runner_arguments)
        self.gossip = PeerGossip(
            self.peers,
            link,
            self.routes,
            self.directory,
            self.samples,
            platform.decoder.decode_table,
            clock,
            metrics,
        )
        self.write_suspender = WriteSuspender(link, self.peers, self.samples, metrics)
        self._suspension_reader = SuspensionReader(KEY_PREFIX, self.samples)
        self.watcher = StoreWatcher(
            platform.store,
            platform.decoder,
            self.routes,
            self.directory,
            metrics,
            self._should_watch,
            self._record_store_contact,
            KEY_PREFIX,
        )
        self.watcher.subscribe(self._suspension_reader.read)
        self.sampler = Sampler(
            Runner(*runner_arguments),
            self.routes,
            self.directory,
            self.executors,
            self._should_sample_for_all,
            clock,
            metrics,
        )
        self._make_account_parts()
        self.lease_manager = LeaseManager(platform.store, clock)
        self.client_listener = ClientListener(
            settings.client_host,
            settings.client_port,
            platform.make_channel,
            self.routes.wait_until_loaded,
            self,
            clock,
            metrics,
            settings.max_sessions,
        )
        self._guardians: dict[ServiceId, Guardian] = {}
        self._guardian_scope = trio.CancelScope()

    def _make_account_parts(self) -> None:
        """Create what checks the keys and the rates of client accounts."""
        self.authenticator = Authenticator(
            lambda: self._read_accounts()[0],
            lambda: self.gossip.store_age_s,
            self.settings.key_revocation,
            self.metrics,
        )
        self.rate_coordinator = RateCoordinator(
            self.settings.instance_id,
            self.link,
            self.peers.list_sightings,
            self._read_accounts,
            self.routes.wait_until_changed,
            self.peers.has_seeds(),
            self.settings.rate_limit or RateLimitBounds(),
            self.clock,
            self.metrics,
        )
        self.fleet_records = FleetRecordKeeper(
            KEY_PREFIX,
            self.settings.regions.get(self.settings.place),
            self._platform.store,
            self.watcher,
            self.peers,
            self.rate_coordinator.fleet,
            lambda: self.rate_coordinator.granter.has_rates,
            self.metrics,
        )
        self.watcher.subscribe(self.fleet_records.read)
        self.rates: RateLimiter = DistributedRateLimiter(
            self.settings.instance_id,
            self.link,
            self.rate_coordinator,
            self._read_accounts,
            self.clock,
            self.metrics,
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all components in a nursery."""
        await self.executors.start(nursery)
        components = {
            "watcher": self.watcher.run,
            "gossip": self.gossip.run,
            "sampler": self.sampler.run,
            "leases": self.lease_manager.run,
            "rates": self.rate_coordinator.run,
            "fleet record": self.fleet_records.run,
            "housekeeping": self._run_housekeeping,
            "key revocation": self._end_revoked_sessions,
        }
        for name, run in components.items():
            nursery.start_soon(supervise, name, run, self.metrics)
        nursery.start_soon(self._run_guardians)
        await self.client_listener.start(nursery)

    async def stop(self) -> None:
        """Release duties, end all sessions and finish the work of other instances."""
        self.peers.local_peer = msgspec.structs.replace(
            self.peers.local_peer, is_leaving=True
        )
        self._guardian_scope.cancel()
        self.executors.update()
        end_at = trio.current_time() + self.settings.grace_s - EXIT_MARGIN_S
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.lease_manager.end)
            nursery.start_soon(self.rate_coordinator.leave)
            await self.client_listener.stop(self.settings.grace_s)
            nursery.cancel_scope.cancel()
        with trio.move_on_at(end_at):
            while self.home_server.n_busy:
                await trio.sleep(STOP_POLL_S)

    async def close(self) -> None:
        """Close the store and the links to peers."""
        await self._platform.store.close()
        await self.link.close()

    @property
    def is_leaving(self) -> bool:
        """Whether the instance is draining."""
        return self.peers.local_peer.is_leaving

    @property
    def is_ready(self) -> bool:
        """Whether the instance can serve new clients."""
        if self.is_leaving or self.routes.table is None:
            return False
        if self.client_listener.is_full:
            return False
        services = self.routes.table.list_services()
        return not services or any(
            self.directory.list_service(service) for service in services
        )

    @property
    def config_version(self) -> Generation:
        """The version of the configuration in force, 0 without one."""
        return self.routes.version

    def find_route(self, database: str) -> Route | None:
        """Return the current route of a database name, or None if there is none."""
        return self.routes.find(database)

    def _read_accounts(self) -> tuple[AccountTable | None, Generation]:
        table = self.routes.table
        return (table.accounts if table is not None else None), self.routes.version

    @property
    def transaction_idle_s(self) -> float:
        """Idle time after which a transaction is rolled back, in seconds."""
        table = self.routes.table
        return table.transaction_idle_s if table else DEFAULT_TRANSACTION_IDLE_S

    def _should_watch(self) -> bool:
        """Return whether to watch the store.

        One instance of each data centre does, and each instance that guards a service,
        that has no recent state of the store from peers, or that failed to reach the
        store, until it reaches the store again.
        """
        if self._is_on_duty():
            return True
        if self.peers.is_watcher() or not self.peers.local_peer.reaches_store:
            return True
        return self.gossip.store_age_s > MAX_STORE_AGE_S

    def _is_on_duty(self) -> bool:
        return any(guardian.is_on_duty for guardian in self._guardians.values())

    def _record_store_contact(self, is_reached: bool) -> None:
        self.peers.set_store_reachable(is_reached)
        if is_reached:
            self.gossip.record_store_contact()

    def _should_sample_for_all(self, service: ServiceId) -> bool:
        """Return whether this instance samples a service for all instances.

        The guardian does, and so does the store watcher in the primary's data centre.
        """
        guardian = self._guardians.get(service)
        if guardian is not None and guardian.is_on_duty:
            return True
        newest = self.samples.newest(service)
        leader = self.directory.find(newest.upstream) if newest else None
        is_in_same_place = leader is not None and leader.place == self.settings.place
        return is_in_same_place and self.peers.is_watcher()

    def _estimate_distance_s(self, place: PlaceId) -> float:
        return self.router.estimate_distance_s(place)

    async def _run_housekeeping(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.directory.expire()
            self.peers.log_changes()
            self.executors.update()
            self.home_server.expire()

    async def _end_revoked_sessions(self) -> None:
        while True:
            self.client_listener.end_revoked()
            await self.routes.wait_until_changed()

    async def _run_guardians(self) -> None:
        """Run a guardian for the service of each route until the instance stops."""
        with self._guardian_scope:
            await supervise("guardians", self._start_guardians, self.metrics)

    async def _start_guardians(self) -> None:
        """Start the known guardians, and one for each service that gets a route."""
        async with trio.open_nursery() as nursery:
            for service, guardian in self._guardians.items():
                self._start_guardian(service, guardian, nursery)
            while True:
                table = self.routes.table
                for service in table.list_services() if table else []:
                    if service not in self._guardians:
                        guardian = self._make_guardian(service)
                        self._guardians[service] = guardian
                        self._start_guardian(service, guardian, nursery)
                await self.routes.wait_until_changed()

    def _start_guardian(
        self, service: ServiceId, guardian: Guardian, nursery: trio.Nursery
    ) -> None:
        name = f"guardian of {service}"
        nursery.start_soon(supervise, name, guardian.run, self.metrics)

    def _make_guardian(self, service: ServiceId) -> Guardian:
        # Serving starts before the first guardian.
        from .guardian import Guardian, GuardianPorts

        settings = self.settings
        ports = GuardianPorts(
            me=settings.instance_id,
            store=self._platform.store,
            watcher=self.watcher,
            directory=self.directory,
            samples=self.samples,
            peers=self.peers,
            ask_peers=self.gossip.ask_watchers,
            suspend_writes=self.write_suspender.announce,
            connector=self._platform.connector,
            promotions=self._platform.promotions,
            clock=self.clock,
            metrics=self.metrics,
        )
        duty = Duty(
            f"{KEY_PREFIX}duties/{service}",
            settings.instance_id,
            self._platform.store,
            self.lease_manager,
            self.clock,
        )
        return Guardian(service, duty, f"{KEY_PREFIX}{RECORD_FOLDER}{service}", ports)
