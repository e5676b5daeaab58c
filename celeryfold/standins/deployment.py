"""A simulated deployment: proxy instances, databases and a store in one process."""

from __future__ import annotations

__all__ = ["MemoryDecoder", "SimulatedDeployment", "make_route_table"]

from collections.abc import Sequence
from typing import NoReturn

import msgspec
import trio

from ..accounts import NO_ACCOUNT, AccountTable, KeyRevocation, digest_key
from ..balancing.capacity import Capacity
from ..exceptions import BadInput, Unreadable
from ..kernel.decoding import decode_json
from ..kernel.ids import (
    AccountId,
    Generation,
    InstanceId,
    PlaceId,
    RegionId,
    RequestId,
    ServiceId,
    UpstreamId,
)
from ..kernel.metrics import Metrics
from ..proxy.calls import Answer
from ..proxy.instance import Platform, ProxyInstance, ProxySettings
from ..proxy.leases import ERA_KEY
from ..proxy.routes import Consistency, Route, RouteTable, ServiceRules
from ..proxy.session import Session
from ..proxy.statements import Statement
from ..proxy.upstream import Connector, Upstream, UpstreamConnection
from ..proxy.watcher import EntryDecoder
from .coordination import MemoryStore
from .local import LocalLink
from .network import LocalNetwork, NetworkSettings
from .replicas import ReplicaSet

HEARTBEAT_INTERVAL_S = 1.2
ENTRY_TTL_S = 3.6
# Long enough for the instances to find each other and the primary.
STARTUP_S = 3.0


class MemoryDecoder(EntryDecoder):
    """Decoder of store entries in which the project's own types are JSON."""

    upstream_prefix = "upstreams/"
    table_key = "table"

    def decode_upstream(self, upstream_id: UpstreamId, value: bytes) -> Upstream | None:
        """Return the upstream in an entry, or None if the entry is malformed."""
        try:
            return decode_json(value, Upstream)
        except Unreadable:
            return None

    def decode_table(self, value: bytes) -> RouteTable:
        """Return the route table in an entry.

        :raises BadInput: if the entry is malformed.
        """
        try:
            return decode_json(value, RouteTable)
        except Unreadable as error:
            raise BadInput(f"table: {error}") from error


def make_route_table(
    version: int, services: Sequence[ServiceId], n_connections: int = 16
) -> RouteTable:
    """Return a table with one route per service and consistency level.

    :param n_connections: connection limit of each service.
    """
    routes = {}
    for service in services:
        for consistency in Consistency:
            database = f"{service}-{consistency.value}"
            routes[database] = Route(
                database=database,
                service=service,
                consistency=consistency,
                max_staleness_s=1.5,
                statement_timeout_s=0.8,
                target_s=0.8,
                priority=1,
            )
    rules = {service: ServiceRules(n_connections, 1) for service in services}
    return RouteTable(Generation(version), routes, rules)


class _CallerConnector(Connector):
    """Connector of one instance, so that it can be cut off from single databases."""

    def __init__(self, replicas: ReplicaSet, caller: str) -> None:
        self._replicas = replicas
        self._caller = caller

    async def connect(
        self, upstream: Upstream, account: AccountId = NO_ACCOUNT
    ) -> UpstreamConnection:
        """Open a connection."""
        return await self._replicas.open_connection(upstream, self._caller, account)


def _refuse_channel(stream: trio.SocketStream) -> NoReturn:
    raise BadInput(
        "the simulated deployment opens sessions without sockets; use open_session"
    )


class SimulatedDeployment:
    """Proxy instances, a replicated database and the store, all in one process.

    :param n_instances: number of instances, assigned to three data centres in turn.
    :param n_databases: number of databases; the first one starts as primary.
    """

    def __init__(self, n_instances: int = 3, n_databases: int = 3) -> None:
        self.service = ServiceId("orders")
        self.store = MemoryStore()
        # The store is one that instances have used in this era before.
        self.store.write(ERA_KEY, str(self.store.era).encode())
        self.replicas = ReplicaSet(self.service, n_databases)
        self.instances: list[ProxyInstance] = []
        self.n_service_connections = 16
        self.accounts: AccountTable | None = None
        self.key_revocation: KeyRevocation | None = None
        # Capacities of instances by number, set before the start.
        self.capacities: dict[int, Capacity] = {}
        self.killed: set[int] = set()
        # Running databases whose registration does not reach the store.
        self.unregistered = self.replicas.unlisted
        # Whether each heartbeat writes the entry, also if nothing else has changed.
        self.rewrites_unchanged_entries = True
        self._n_instances = n_instances
        self._n_requests = 0
        self._scopes: dict[InstanceId, trio.CancelScope] = {}
        self._links: dict[str, LocalLink] = {}
        self._expires_at: dict[UpstreamId, float] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all parts and wait until the instances know the primary."""
        places = [PlaceId(f"place-{n}") for n in range(3)]
        regions = {place: RegionId("region") for place in places}
        self._regions = regions
        self.network = LocalNetwork(NetworkSettings(regions), nursery)
        self._nursery = nursery
        self.replicas.start(nursery)
        self.publish(1)
        nursery.start_soon(self._register)
        for number in range(self._n_instances):
            await self._start_instance(number, places[number % len(places)])
        await trio.sleep(STARTUP_S)

    def publish(self, version: int) -> None:
        """Write a route table of a version to the store."""
        table = make_route_table(version, [self.service], self.n_service_connections)
        table = msgspec.structs.replace(table, accounts=self.accounts)
        self.store.write(MemoryDecoder.table_key, msgspec.json.encode(table))

    async def _register(self) -> None:
        """Renew the entries of running databases; entries of stopped ones expire."""
        while True:
            if not self.store.is_down:
                self._write_entries()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def _write_entries(self) -> None:
        now = trio.current_time()
        for upstream_id, database in self.replicas.databases.items():
            key = f"{MemoryDecoder.upstream_prefix}{upstream_id}"
            if self.replicas.is_registering(upstream_id):
                self._expires_at[upstream_id] = now + ENTRY_TTL_S
                upstream = msgspec.structs.replace(
                    database.upstream, claimed_role=database.role
                )
                value = msgspec.json.encode(upstream)
                if self.rewrites_unchanged_entries:
                    self.store.write(key, value)
                else:
                    self.store.write_if_changed(key, value)
        for upstream_id, expires_at in self._expires_at.items():
            if now > expires_at:
                self.store.delete(f"{MemoryDecoder.upstream_prefix}{upstream_id}")

    async def _start_instance(self, number: int, place: PlaceId) -> None:
        instance_id = InstanceId(f"instance-{number}")
        self.network.add(instance_id, place)
        link = LocalLink(self.network, instance_id, self._links)
        settings = ProxySettings(
            instance_id=instance_id,
            place=place,
            regions=self._regions,
            client_host="127.0.0.1",
            client_port=0,
            peer_address=instance_id,
            seeds=("instance-0",),
            grace_s=6.0,
            key_revocation=self.key_revocation,
            capacity=self.capacities.get(number),
        )
        platform = Platform(
            store=self.store.connect(),
            decoder=MemoryDecoder(),
            connector=_CallerConnector(self.replicas, instance_id),
            promotions=self.replicas,
            make_channel=_refuse_channel,
        )
        instance = ProxyInstance(settings, platform, link, trio.current_time, Metrics())
        self.instances.append(instance)
        scope = self._scopes[instance_id] = trio.CancelScope()
        self._nursery.start_soon(self._run_instance, instance, link, scope)

    async def _run_instance(
        self, instance: ProxyInstance, link: LocalLink, scope: trio.CancelScope
    ) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                link.nursery = nursery
                await instance.start(nursery)

    def kill(self, number: int) -> None:
        """Stop an instance at once and cut it off from the network, as in a crash."""
        instance_id = InstanceId(f"instance-{number}")
        self.killed.add(number)
        self.network.cut(instance_id)
        self._scopes[instance_id].cancel()

    async def start_again(self, number: int) -> None:
        """Start an instance that was killed, as a new process."""
        self.killed.discard(number)
        self.network.heal_endpoint(f"instance-{number}")
        places = list(self._regions)
        await self._start_instance(number, places[number % len(places)])
        self.instances[number] = self.instances.pop()

    def find_guardian(self) -> int | None:
        """Return the number of the instance that guards the service, or None."""
        item = self.store.items.get(f"celeryfold/duties/{self.service}")
        if item is None:
            return None
        return int(item.value.decode().split(" ")[0].removeprefix("instance-"))

    def open_session(
        self, number: int, consistency: Consistency, key: str = ""
    ) -> Session:
        """Open a session at an instance.

        :param key: the client's API key, empty if it gives none.
        """
        database = f"{self.service}-{consistency.value}"
        digest = digest_key(key) if key else None
        return Session(database, self.instances[number], digest)

    async def run(self, session: Session, statement: Statement) -> Answer:
        """Run a statement under a new request id."""
        return await session.run(self.make_request_id(), statement)

    def make_request_id(self) -> RequestId:
        """Return a unique request id."""
        self._n_requests += 1
        return RequestId(f"r{self._n_requests}")
