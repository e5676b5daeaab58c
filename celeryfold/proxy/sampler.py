"""Periodic sampling of primaries that statements have not sampled recently."""

from __future__ import annotations

__all__ = ["Sampler"]

from collections.abc import Callable

import trio

from ..kernel.ids import ServiceId
from ..kernel.metrics import Metrics
from .clock import Clock
from .directory import Directory
from .exchanges import ExchangeFailed
from .executor_registry import ExecutorRegistry
from .executors import Executor, RetryableFailure, Work
from .routes import Routes
from .runner import Runner
from .statements import Begin, Request, Rollback
from .upstream import Upstream, UpstreamRole

# Interval of the instance that samples for all others. After three hops of gossip the
# sample is about 1 s old, below the smallest staleness bound in use, 1.5 s.
SAMPLE_INTERVAL_S = 0.35
# The other instances sample by themselves once their newest sample is older than this.
FALLBACK_INTERVAL_S = 0.9
# Interval of the search for a primary while none is known.
SEARCH_INTERVAL_S = 0.15
SAMPLE_TIMEOUT_S = 0.5
ACQUIRE_TIMEOUT_S = 0.3
SAMPLE_PRIORITY = -1


class Sampler:
    """Keeps the samples of all routed services fresh.

    :param is_designated: returns whether this instance samples a service for all
        others.
    """

    def __init__(
        self,
        runner: Runner,
        routes: Routes,
        directory: Directory,
        executors: ExecutorRegistry,
        is_designated: Callable[[ServiceId], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._runner = runner
        self._samples = runner.samples
        self._routes = routes
        self._directory = directory
        self._executors = executors
        self._is_designated = is_designated
        self._clock = clock
        self._metrics = metrics
        self._running: set[ServiceId] = set()

    async def run(self) -> None:
        """Sample every service that has a route, until cancelled."""
        self._running.clear()
        async with trio.open_nursery() as nursery:
            while True:
                table = self._routes.table
                for service in table.list_services() if table else []:
                    if service not in self._running:
                        self._running.add(service)
                        nursery.start_soon(self._sample_service, service)
                await self._routes.wait_until_changed()

    async def _sample_service(self, service: ServiceId) -> None:
        while self._is_routed(service):
            leader = self._samples.find_leader(service)
            if leader is None or self._find_due_s(service) <= 0:
                await self.sample(service)
            due_s = self._find_due_s(service)
            if due_s <= 0 or self._samples.find_leader(service) is None:
                await trio.sleep(SEARCH_INTERVAL_S)
                continue
            # Samples that arrive meanwhile only move the next one back.
            with trio.move_on_after(due_s):
                await self._samples.wait_denied(service)
        self._running.discard(service)

    def _is_routed(self, service: ServiceId) -> bool:
        table = self._routes.table
        return table is not None and service in table.list_services()

    def _find_due_s(self, service: ServiceId) -> float:
        """Return the seconds until the next sample is due, negative if overdue."""
        newest = self._samples.newest(service)
        if newest is None:
            return 0.0
        is_designated = self._is_designated(service)
        interval_s = SAMPLE_INTERVAL_S if is_designated else FALLBACK_INTERVAL_S
        return newest.taken_at + interval_s - self._clock()

    async def sample(self, service: ServiceId) -> None:
        """Sample the primary, or all candidates if no primary is known."""
        leader = self._samples.find_leader(service)
        upstream = self._directory.find(leader) if leader else None
        if upstream is not None:
            candidates = [upstream]
        else:
            candidates = self._list_candidates(service)
        async with trio.open_nursery() as nursery:
            for candidate in candidates:
                executor = self._executors.find(candidate.upstream_id)
                if executor is not None:
                    nursery.start_soon(self._take_sample, executor)

    def _list_candidates(self, service: ServiceId) -> list[Upstream]:
        """Return the upstreams that may be primary.

        Before the first sample these are the ones that claim to be, unless all of them
        denied it; after the loss of a primary, all upstreams.
        """
        listed = self._directory.list_service(service)
        if self._samples.newest(service) is not None:
            return listed
        claiming = [u for u in listed if u.claimed_role is UpstreamRole.PRIMARY]
        denied = [u for u in claiming if self._samples.has_denied_leadership(u)]
        return listed if len(denied) == len(claiming) else claiming

    async def _take_sample(self, executor: Executor) -> None:
        work = Work(
            requests=(Request(Begin()), Request(Rollback())),
            values={},
            prepared=None,
            priority=SAMPLE_PRIORITY,
            wait_s=ACQUIRE_TIMEOUT_S,
            timeout_s=SAMPLE_TIMEOUT_S,
        )
        try:
            await self._runner.run_work(executor, work)
        # No log line here: connection pools log the loss of an upstream, and the
        # history of samples logs the first sample of a new primary.
        except RetryableFailure:
            self._metrics.count("sample.not_taken")
        except ExchangeFailed:
            self._metrics.count("sample.unanswered")
        else:
            self._metrics.count("sample.taken")
