"""The executor of each listed upstream."""

from __future__ import annotations

__all__ = ["ExecutorRegistry"]

from collections.abc import Awaitable, Callable

import trio

from ..balancing.home_health import HomeHealth, register_ping_handler
from ..kernel.ids import PlaceId, ServiceId, UpstreamId
from ..kernel.metrics import Metrics
from ..links import PeerLink
from .admission import UNLIMITED, divide_slots
from .clock import Clock
from .directory import Directory
from .executors import Executor
from .home import RemoteExecutor
from .local_executor import LocalExecutor
from .messages import Peer
from .peers import PeerTable
from .placement import PlacementCache, divide_among_homes, divide_connections
from .pool import Pool
from .routes import Routes
from .upstream import Connector, Upstream

# Connections to an upstream whose service has no rules in the configuration.
DEFAULT_N_CONNECTIONS = 16
# Connections to an upstream while a new instance is discovering its peers and does not
# know with how many of them it shares the limit.
STARTUP_CONNECTION_LIMIT = 1
PEER_DISCOVERY_S = 1.0


class ExecutorRegistry:
    """Keeps one executor for each listed upstream.

    :param estimate_distance_s: returns the round-trip time to a data centre, in
        seconds.
    :param is_suspended: returns whether writes to an upstream are suspended.
    """

    def __init__(
        self,
        connector: Connector,
        link: PeerLink,
        directory: Directory,
        routes: Routes,
        peers: PeerTable,
        estimate_distance_s: Callable[[PlaceId], float],
        is_suspended: Callable[[ServiceId, UpstreamId], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._connector = connector
        self._link = link
        self._directory = directory
        self._routes = routes
        self._peers = peers
        self._estimate_distance_s = estimate_distance_s
        self._is_suspended = is_suspended
        self._clock = clock
        self._metrics = metrics
        self._started_at = clock()
        self._executors: dict[UpstreamId, Executor] = {}
        self._fallbacks: dict[UpstreamId, RemoteExecutor] = {}
        self._homes: dict[UpstreamId, list[Peer]] = {}
        self._placement = PlacementCache(peers.regions)
        self._sharing = PlacementCache(peers.regions)
        self._nursery: trio.Nursery | None = None
        self._health = HomeHealth(link, self._spawn, clock, metrics)
        register_ping_handler(link)
        directory.subscribe(self.update)

    async def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery of the executors, and open them."""
        self._nursery = nursery
        self.update()

    def _spawn(
        self, task: Callable[..., Awaitable[object]], *arguments: object
    ) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(task, *arguments)

    def find(self, upstream_id: UpstreamId) -> Executor | None:
        """Return the executor of an upstream, or None if it is not listed."""
        return self._executors.get(upstream_id)

    def find_local(self, upstream_id: UpstreamId) -> LocalExecutor | None:
        """Return the executor of an upstream if this instance is one of its homes."""
        executor = self._executors.get(upstream_id)
        return executor if isinstance(executor, LocalExecutor) else None

    def find_fallback(self, upstream_id: UpstreamId) -> Executor | None:
        """Return an executor through the other homes of an upstream, or None."""
        executor = self._executors.get(upstream_id)
        if executor is None or not self._list_other_homes(upstream_id):
            return None
        fallback = self._fallbacks.get(upstream_id)
        if fallback is None or not _is_same_process(
            fallback.upstream, executor.upstream
        ):
            fallback = self._fallbacks[upstream_id] = self.make_remote(
                executor.upstream
            )
            self._metrics.count("lane.detours")
        return fallback

    def update(self) -> None:
        """Update executors and their limits after changes of upstreams or peers."""
        if self._nursery is None:
            return
        listed = {u.upstream_id: u for u in self._directory.list_all()}
        for upstream_id in list(self._executors):
            if upstream_id not in listed:
                self._close(upstream_id)
        members = self._list_members()
        holders = [self._peers.local_peer, *self._peers.list_connection_holders()]
        self._placement.set_members(members, len(holders))
        self._sharing.set_members(holders)
        current = set(listed.values())
        self._placement.forget(current)
        self._sharing.forget(current)
        for upstream in listed.values():
            self._update_one(upstream, len(holders))

    def _list_members(self) -> list[Peer]:
        """Return the instances that may be homes.

        An instance that stops gives up its connections at once, so that those which
        replace it as a home do not exceed the limit of the upstream.
        """
        me = self._peers.local_peer
        others = self._peers.list_alive()
        return others if me.is_leaving and others else [me, *others]

    def _update_one(self, upstream: Upstream, n_holders: int) -> None:
        n_connections = self._find_n_connections(upstream)
        homes = self._placement.find_homes(upstream, n_connections)
        self._homes[upstream.upstream_id] = homes
        sharing_homes = self._sharing.find_homes(upstream, n_connections)
        me = self._peers.local_peer.instance_id
        is_home = any(home.instance_id == me for home in homes)
        executor = self._executors.get(upstream.upstream_id)
        if executor is not None and not _is_same_process(upstream, executor.upstream):
            self._close(upstream.upstream_id)
            executor = None
        if executor is not None and executor.is_local != is_home:
            self._close(upstream.upstream_id)
            executor = None
        if executor is None:
            executor = self._open(upstream, is_home)
        executor.upstream = upstream
        if isinstance(executor, LocalExecutor):
            executor.pool.upstream = upstream
            is_shared = len(sharing_homes) < n_holders
            executor.pool.limit = self._find_limit(
                n_connections, sharing_homes, is_shared
            )
            n_admitted = divide_slots(upstream.n_slots, len(homes))
            executor.limiter.limit = n_admitted if is_shared else UNLIMITED
            executor.pool.trim()
            if executor.is_unreachable:
                executor.pool.probe()

    def _find_limit(
        self, n_connections: int, homes: list[Peer], is_shared: bool
    ) -> int:
        """Return how many connections this instance may open as one of the homes.

        :param homes: the homes, as chosen among the instances that may still hold
            connections.
        :param is_shared: whether other instances use the connections, too.
        """
        is_new = self._clock() - self._started_at < PEER_DISCOVERY_S
        if is_new and len(homes) == 1 and self._peers.has_seeds():
            return STARTUP_CONNECTION_LIMIT
        names = sorted(home.instance_id for home in homes)
        me = self._peers.local_peer.instance_id
        if is_shared:
            return divide_among_homes(n_connections, len(names), me not in names)
        rank = names.index(me) if me in names else len(names)
        return divide_connections(n_connections, len(names), rank)

    def _open(self, upstream: Upstream, is_local: bool) -> Executor:
        assert self._nursery is not None
        executor: Executor
        if is_local:
            pool = Pool(upstream, self._connector, 1, self._clock, self._metrics)
            pool.start(self._nursery)
            executor = LocalExecutor(
                pool, self._clock, self._metrics, self._is_suspended
            )
        else:
            executor = self.make_remote(upstream)
        executor.distance_s = self._estimate_distance_s(upstream.place)
        self._executors[upstream.upstream_id] = executor
        return executor

    def make_remote(self, upstream: Upstream) -> RemoteExecutor:
        """Return an executor that runs work at the other homes of an upstream."""
        assert self._nursery is not None
        return RemoteExecutor(
            upstream,
            self._link,
            lambda: self._list_other_homes(upstream.upstream_id),
            self._estimate_distance_s,
            self._nursery.start_soon,
            self._health,
            self._clock,
            self._metrics,
        )

    def _list_other_homes(self, upstream_id: UpstreamId) -> list[Peer]:
        me = self._peers.local_peer.instance_id
        homes = self._homes.get(upstream_id, [])
        return [home for home in homes if home.instance_id != me]

    def _close(self, upstream_id: UpstreamId) -> None:
        executor = self._executors.pop(upstream_id)
        self._fallbacks.pop(upstream_id, None)
        if isinstance(executor, LocalExecutor):
            executor.pool.close()

    def _find_n_connections(self, upstream: Upstream) -> int:
        table = self._routes.table
        rules = table.services.get(upstream.service) if table else None
        return rules.n_connections if rules else DEFAULT_N_CONNECTIONS


def _is_same_process(now: Upstream, before: Upstream) -> bool:
    """Return whether two entries of an upstream belong to the same process."""
    return (now.address, now.born_ms) == (before.address, before.born_ms)
