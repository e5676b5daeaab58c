"""Serve requests for the slots placed on this instance, from any instance."""

from __future__ import annotations

__all__ = ["Home"]

import trio

from ..groups.acknowledgement import AcknowledgementTracker
from ..groups.freshness import Sample
from ..groups.record_cache import RecordCache
from ..groups.sampling import SampleCache, SampleCollector
from ..kernel.events import Timeline
from ..kernel.ids import GroupId, SlotId
from ..kernel.metrics import Metrics
from .messages import TakeSample, TakeSampleReply
from .pool import SlotPool
from .ports import HomePorts
from .reads import Reader
from .transactions import Transactions
from .writes import Writer

MAINTENANCE_INTERVAL_S = 0.5
DEFAULT_CONNECTION_LIMIT = 16


class Home:
    """Connection pools of the slots placed on this instance and the work on them.

    :param ports: interface of the instance.
    :param record_cache: source of the groups' current records.
    :param timeline: receives an event for each confirmed write.
    :param metrics: receives counters.
    """

    def __init__(
        self,
        ports: HomePorts,
        record_cache: RecordCache,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self._ports = ports
        self._record_cache = record_cache
        self._metrics = metrics
        self._nursery: trio.Nursery | None = None
        self.pools: dict[str, SlotPool] = {}
        self._acknowledgements: dict[GroupId, AcknowledgementTracker] = {}
        self._sample_collectors: dict[GroupId, SampleCollector] = {}
        self._sample_caches: dict[GroupId, SampleCache] = {}
        self.writer = Writer(
            ports,
            record_cache,
            timeline,
            metrics,
            self._find_pool,
            self._find_acknowledgements,
        )
        self.reader = Reader(
            ports, record_cache, metrics, self._find_pool, self._find_sample_cache
        )
        self.transactions = Transactions(ports, self.writer, self._find_pool)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the periodic eviction of idle connections and transactions."""
        self._nursery = nursery
        nursery.start_soon(self._maintain)

    async def take_sample(self, request: TakeSample) -> TakeSampleReply:
        """Take a sample that bounds the acknowledged writes of a group.

        :raises RequestFailure: ``too_stale`` if the current term cannot be confirmed.
        """
        collector = self._sample_collectors.get(request.group)
        if collector is None:
            collector = SampleCollector(
                request.group, self._record_cache, self._ports.find_slot
            )
            self._sample_collectors[request.group] = collector
        sample = await collector.take()
        return TakeSampleReply(sample.term, sample.position)

    def _find_pool(self, slot: str) -> SlotPool:
        if slot not in self.pools:
            name = SlotId(slot)
            definition = self._ports.find_catalog().slots.get(name)
            limit = DEFAULT_CONNECTION_LIMIT
            if definition is not None:
                limit = definition.connection_limit
            driver = self._ports.find_slot(name)
            assert self._nursery is not None
            self.pools[slot] = SlotPool(
                driver,
                limit,
                self._metrics,
                self._nursery,
                lambda: self._ports.is_placed_here(name),
            )
        return self.pools[slot]

    def _find_acknowledgements(self, group: GroupId) -> AcknowledgementTracker:
        assert self._nursery is not None
        if group not in self._acknowledgements:
            self._acknowledgements[group] = AcknowledgementTracker(
                group, self._record_cache, self._ports.find_slot, self._nursery
            )
        return self._acknowledgements[group]

    def _find_sample_cache(self, group: GroupId) -> SampleCache:
        assert self._nursery is not None
        if group not in self._sample_caches:

            async def fetch() -> Sample:
                return await self._ports.fetch_sample(group)

            self._sample_caches[group] = SampleCache(fetch, self._nursery)
        return self._sample_caches[group]

    async def _maintain(self) -> None:
        while True:
            await trio.sleep(MAINTENANCE_INTERVAL_S)
            await self.transactions.evict_idle()
            for pool in list(self.pools.values()):
                await pool.evict_idle()

    async def close(self) -> None:
        """Roll back open transactions and close every idle connection."""
        await self.transactions.close()
        for pool in self.pools.values():
            await pool.close()
