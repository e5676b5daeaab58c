"""Run reads on one slot and return only data that is fresh enough."""

from __future__ import annotations

__all__ = ["Reader", "includes"]

from collections.abc import Callable

import trio

from ..drivers.slot import BatchResult
from ..exceptions import RequestFailure
from ..groups.record_cache import RecordCache
from ..groups.sampling import SampleCache
from ..kernel.errors import ErrorKind
from ..kernel.ids import GroupId, Position, SlotId, Term
from ..kernel.metrics import Metrics
from .batches import run_batch
from .messages import RunRead, StatementAnswer
from .pool import SlotPool
from .ports import HomePorts

CATCH_UP_STEP_S = 0.005


def includes(answer: BatchResult, term: Term, position: Position) -> bool:
    """Return whether an answer includes an acknowledged write.

    Each started term includes every write that was acknowledged in an earlier term.

    :param answer: answer to a read, with its term and log position.
    :param term: term of the write.
    :param position: log position of the write.
    """
    if answer.term != term:
        return answer.term > term
    return answer.position >= position


class Reader:
    """Runs reads on the slots that are placed on this instance."""

    def __init__(
        self,
        ports: HomePorts,
        record_cache: RecordCache,
        metrics: Metrics,
        find_pool: Callable[[str], SlotPool],
        find_sample_cache: Callable[[GroupId], SampleCache],
    ) -> None:
        self._ports = ports
        self._record_cache = record_cache
        self._metrics = metrics
        self._find_pool = find_pool
        self._find_sample_cache = find_sample_cache

    async def run(self, request: RunRead) -> StatementAnswer:
        """Run one read, repeating it until the slot has caught up.

        :raises RequestFailure: ``too_stale`` or ``not_caught_up`` if the slot is still
            behind after the local wait of the request.
        """
        arrived = trio.current_time()
        deadline = arrived + request.budget_s
        if request.slot in self._ports.find_leaving():
            raise RequestFailure(ErrorKind.NOT_RUN, f"{request.slot} is leaving")
        sample_cache = self._find_sample_cache(request.group)
        sample_cache.prefetch(request.accepted_age_s)
        give_up_at = min(arrived + request.local_wait_s, deadline)
        step_s = CATCH_UP_STEP_S
        while True:
            answer = await self._execute(request, deadline)
            shortfall = await self._find_shortfall(request, answer, arrived, deadline)
            if shortfall is None:
                return StatementAnswer(
                    request.request_id,
                    answer.results[0],
                    answer.term,
                    answer.position,
                    request.slot,
                )
            if trio.current_time() + step_s > give_up_at:
                self._metrics.count(f"home.{shortfall.value}")
                text = f"{request.slot} is behind the requested position or age"
                raise RequestFailure(shortfall, text)
            await trio.sleep(step_s)
            step_s *= 2

    async def _execute(self, request: RunRead, deadline: float) -> BatchResult:
        pool = self._find_pool(request.slot)
        shape = request.statement.text
        lease = await pool.acquire(request.service, request.weight, shape, deadline)
        try:
            return await run_batch(
                lease,
                [request.statement],
                deadline,
                begin=True,
                commit=True,
                writes=False,
            )
        finally:
            await pool.release(lease, shape)

    async def _find_shortfall(
        self, request: RunRead, answer: BatchResult, arrived: float, deadline: float
    ) -> ErrorKind | None:
        """Return the reason for which an answer is too old, or None if it is not."""
        if not includes(answer, request.seen_term, request.seen_position):
            return ErrorKind.NOT_CAUGHT_UP
        sample_cache = self._find_sample_cache(request.group)
        not_before = arrived - request.accepted_age_s
        if sample_cache.buffer.find(not_before) is None:
            with trio.move_on_at(deadline):
                await sample_cache.refresh(not_before)
        is_primary = self._is_primary(request.group, request.slot, answer.term)
        if sample_cache.buffer.proves_fresh(answer, not_before, is_primary):
            return None
        return ErrorKind.TOO_STALE

    def _is_primary(self, group: GroupId, slot: SlotId, term: Term) -> bool:
        known = self._record_cache.find(group)
        if known is None:
            return False
        return known.record.primary == slot and known.record.term == term
