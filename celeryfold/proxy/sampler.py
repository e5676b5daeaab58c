"""Take samples of primaries that nothing else has sampled lately."""

from __future__ import annotations

__all__ = ["Sampler"]

import trio

from ..exceptions import RequestFailure
from ..kernel.ids import ServiceId
from ..kernel.metrics import Metrics
from .clock import Clock
from .directory import Directory
from .exchanges import ExchangeFailed
from .pool import Pool
from .pools import PoolBook
from .routes import Routes
from .runner import Runner
from .statements import Begin, Request, Rollback
from .upstream import Upstream, UpstreamRole

# A third of the smallest accepted age that the users name, 1.5 s, less a round trip.
SAMPLE_INTERVAL_S = 0.4
# How long to look for a primary between two rounds when none is known.
SEARCH_INTERVAL_S = 0.15
SAMPLE_TIMEOUT_S = 0.5
ACQUIRE_TIMEOUT_S = 0.3
SAMPLE_PRIORITY = -1


class Sampler:
    """Keep the samples of all routed services fresh."""

    def __init__(
        self,
        runner: Runner,
        routes: Routes,
        directory: Directory,
        pools: PoolBook,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._runner = runner
        self._samples = runner.samples
        self._routes = routes
        self._directory = directory
        self._pools = pools
        self._clock = clock
        self._metrics = metrics
        self._running: set[ServiceId] = set()

    async def run(self) -> None:
        """Sample every service that a route leads to, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                table = self._routes.table
                for service in table.list_services() if table else []:
                    if service not in self._running:
                        self._running.add(service)
                        nursery.start_soon(self._sample_service, service)
                await self._routes.wait_change()

    async def _sample_service(self, service: ServiceId) -> None:
        while self._is_routed(service):
            await trio.sleep(self._find_pause_s(service))
            newest = self._samples.newest(service)
            age_s = self._clock() - newest.taken_at if newest else SAMPLE_INTERVAL_S
            if age_s < SAMPLE_INTERVAL_S:
                continue
            await self.sample(service)
        self._running.discard(service)

    def _is_routed(self, service: ServiceId) -> bool:
        table = self._routes.table
        return table is not None and service in table.list_services()

    def _find_pause_s(self, service: ServiceId) -> float:
        newest = self._samples.newest(service)
        if newest is None or self._samples.find_leader(service) is None:
            return SEARCH_INTERVAL_S
        age_s = self._clock() - newest.taken_at
        return max(SAMPLE_INTERVAL_S - age_s, SEARCH_INTERVAL_S)

    async def sample(self, service: ServiceId) -> None:
        """Ask the primary for a sample, or all upstreams where none is known."""
        leader = self._samples.find_leader(service)
        upstream = self._directory.find(leader) if leader else None
        if upstream is not None:
            candidates = [upstream]
        else:
            candidates = self._list_candidates(service)
        async with trio.open_nursery() as nursery:
            for candidate in candidates:
                pool = self._pools.find(candidate.upstream_id)
                if pool is not None:
                    nursery.start_soon(self._ask, pool)

    def _list_candidates(self, service: ServiceId) -> list[Upstream]:
        """Return who may lead: those that claim it at first, all after a loss."""
        listed = self._directory.list_service(service)
        if self._samples.newest(service) is not None:
            return listed
        claiming = [u for u in listed if u.claimed_role is UpstreamRole.PRIMARY]
        refused = [u for u in claiming if self._samples.has_refused(u)]
        return listed if len(refused) == len(claiming) else claiming

    async def _ask(self, pool: Pool) -> None:
        try:
            pooled = await pool.acquire({}, SAMPLE_PRIORITY, ACQUIRE_TIMEOUT_S)
        except RequestFailure:
            self._metrics.count("sample.no_connection")
            return
        sent_at = self._clock()
        requests = [Request(Begin()), Request(Rollback())]
        try:
            replies = await self._runner.exchange(
                pool, pooled, requests, SAMPLE_TIMEOUT_S
            )
        except ExchangeFailed:
            self._metrics.count("sample.unanswered")
            return
        self._metrics.count("sample.taken")
        self._runner.note_begin(pool, replies[0], sent_at)
        self._runner.give_back(pool, pooled, replies[-1])
