"""One pool for each upstream that is listed, and how many connections each may hold."""

from __future__ import annotations

__all__ = ["N_RESERVED", "PoolBook", "divide_connections"]

from collections.abc import Callable

import trio

from ..kernel.ids import UpstreamId
from ..kernel.metrics import Metrics
from .clock import Clock
from .directory import Directory
from .pool import Pool
from .routes import Routes
from .upstream import Connector, Upstream

# Connections of an upstream kept for whoever guards its service, also in a change of
# guardian, when the new one connects before the old one has closed.
N_RESERVED = 2
DEFAULT_N_CONNECTIONS = 16


def divide_connections(n_connections: int, n_instances: int, rank: int) -> int:
    """Return how many connections to an upstream one instance may hold.

    All shares together and the reserve stay within the limit where there are no more
    instances than connections; the remainder goes to the instances of lowest rank.

    :param rank: this instance's place among the live ones, from 0.
    """
    n_shared = max(n_connections - N_RESERVED, 1)
    share, n_left = divmod(n_shared, max(n_instances, 1))
    return max(share + (1 if rank < n_left else 0), 1)


class PoolBook:
    """Open pools for listed upstreams and close those of upstreams that left."""

    def __init__(
        self,
        connector: Connector,
        directory: Directory,
        routes: Routes,
        clock: Clock,
        metrics: Metrics,
        find_share: Callable[[Upstream], tuple[int, int]],
    ) -> None:
        self._connector = connector
        self._directory = directory
        self._routes = routes
        self._clock = clock
        self._metrics = metrics
        self._find_share = find_share
        self._pools: dict[UpstreamId, Pool] = {}
        self._nursery: trio.Nursery | None = None
        directory.watch(self.update)

    async def start(self, nursery: trio.Nursery) -> None:
        """Take the nursery of all pools."""
        self._nursery = nursery
        self.update()

    def find(self, upstream_id: UpstreamId) -> Pool | None:
        """Return the pool of an upstream."""
        return self._pools.get(upstream_id)

    def list_all(self) -> list[Pool]:
        """Return all pools."""
        return list(self._pools.values())

    def update(self) -> None:
        """Bring pools and their limits in line with what is listed."""
        if self._nursery is None:
            return
        listed = {u.upstream_id: u for u in self._directory.list_all()}
        for upstream_id, pool in list(self._pools.items()):
            upstream = listed.get(upstream_id)
            if upstream is None or not _is_same(upstream, pool.upstream):
                del self._pools[upstream_id]
                pool.close()
        for upstream_id, upstream in listed.items():
            known = self._pools.get(upstream_id)
            if known is None:
                known = self._make(upstream)
            known.upstream = upstream
            known.limit = self._find_limit(upstream)
            known.trim()

    def _make(self, upstream: Upstream) -> Pool:
        assert self._nursery is not None
        pool = Pool(upstream, self._connector, 1, self._clock, self._metrics)
        pool.start(self._nursery)
        self._pools[upstream.upstream_id] = pool
        return pool

    def _find_limit(self, upstream: Upstream) -> int:
        table = self._routes.table
        rules = table.services.get(upstream.service) if table else None
        n_connections = rules.n_connections if rules else DEFAULT_N_CONNECTIONS
        n_instances, rank = self._find_share(upstream)
        return divide_connections(n_connections, n_instances, rank)


def _is_same(now: Upstream, before: Upstream) -> bool:
    """Tell whether an entry still speaks of the same process."""
    return (now.address, now.born_ms) == (before.address, before.born_ms)
