"""Run writes on the primary, at most once per key, and wait for confirmation."""

from __future__ import annotations

__all__ = ["Writer"]

from collections.abc import Callable

import trio

from ..drivers.slot import BatchResult, ResultSet
from ..exceptions import RequestFailure
from ..groups.acknowledgement import AcknowledgementTracker
from ..groups.record import GroupRecord
from ..groups.record_cache import RecordCache
from ..kernel.errors import ErrorKind
from ..kernel.events import EventKind, Timeline
from ..kernel.ids import GroupId, Position, Term
from ..kernel.metrics import Metrics
from .batches import run_batch
from .messages import CancelKey, RunWrite, StatementAnswer
from .outcomes import (
    CANCELLED,
    find_outcome,
    insert_outcome,
    read_outcome,
    update_outcome,
)
from .pool import Lease, SlotPool
from .ports import HomePorts

CANCEL_SHAPE = "celeryfold cancel"


class Writer:
    """Runs writes for the groups whose primaries are placed on this instance."""

    def __init__(
        self,
        ports: HomePorts,
        record_cache: RecordCache,
        timeline: Timeline,
        metrics: Metrics,
        find_pool: Callable[[str], SlotPool],
        find_acknowledgements: Callable[[GroupId], AcknowledgementTracker],
    ) -> None:
        self._ports = ports
        self._record_cache = record_cache
        self._timeline = timeline
        self._metrics = metrics
        self._find_pool = find_pool
        self._find_acknowledgements = find_acknowledgements

    def find_record(self, group: GroupId) -> GroupRecord:
        """Return the record of a group that accepts writes.

        :raises RequestFailure: ``no_primary`` if the group's term has not started or
            its primary is leaving.
        """
        known = self._record_cache.find(group)
        if known is None or not known.record.started:
            raise RequestFailure(
                ErrorKind.NO_PRIMARY, f"no primary of {group} is known"
            )
        if known.record.primary in self._ports.find_leaving():
            raise RequestFailure(
                ErrorKind.NO_PRIMARY, f"the primary of {group} is leaving"
            )
        return known.record

    async def run(self, request: RunWrite) -> StatementAnswer:
        """Run one write and return its answer once the write is confirmed.

        :raises RequestFailure: ``outcome_unknown`` if the write may have taken effect,
            another kind if it has not.
        """
        deadline = trio.current_time() + request.budget_s
        record = self.find_record(request.group)
        pool = self._find_pool(record.primary)
        shape = request.statement.text
        lease = await pool.acquire(request.service, request.weight, shape, deadline)
        is_replay = False
        try:
            if request.key:
                answer, result, is_replay = await self._run_once(
                    lease, request, deadline
                )
            else:
                answer = await run_batch(
                    lease, [request.statement], deadline, begin=True, commit=True
                )
                result = answer.results[0]
        finally:
            await pool.release(lease, shape)
        self._metrics.count("home.replayed", int(is_replay))
        await self.confirm(request.group, answer.term, answer.position, deadline)
        detail = f"term {answer.term} position {answer.position} at {record.primary}"
        self._timeline.add(
            EventKind.WRITE_CONFIRMED, request.group, detail, request.request_id
        )
        return StatementAnswer(
            request.request_id,
            result,
            answer.term,
            answer.position,
            record.primary,
            is_replay,
        )

    async def confirm(
        self, group: GroupId, term: Term, position: Position, deadline: float
    ) -> None:
        """Wait until a write may be acknowledged.

        :raises RequestFailure: ``outcome_unknown`` if the write is not confirmed before
            the deadline or the term ends.
        """
        acknowledgements = self._find_acknowledgements(group)
        if not await acknowledgements.wait(term, position, deadline):
            self._metrics.count("home.unconfirmed")
            text = (
                "the write was not confirmed in its term before the deadline; "
                "it may be kept or lost"
            )
            raise RequestFailure(ErrorKind.OUTCOME_UNKNOWN, text)

    async def _run_once(
        self, lease: Lease, request: RunWrite, deadline: float
    ) -> tuple[BatchResult, ResultSet, bool]:
        claim = insert_outcome(request.key, request.digest)
        statements = [claim, request.statement]
        answer = await self._claim_and_run(lease, statements, request, deadline)
        if answer is None:
            found = await self._look_up(lease, request.key, deadline)
            recorded = read_outcome(found.results[0], request.digest)
            if recorded is None:
                raise RequestFailure(
                    ErrorKind.NOT_RUN,
                    "an earlier attempt with the key was rolled back; retry",
                )
            return found, recorded, True
        result = answer.results[1]
        record = update_outcome(request.key, result)
        committed = await run_batch(lease, [record], deadline, commit=True)
        return committed, result, False

    async def _claim_and_run(
        self, lease: Lease, statements: list, request: RunWrite, deadline: float
    ) -> BatchResult | None:
        """Claim the key and run the statement without a commit.

        :returns: the answer, or None if the key is taken.
        """
        try:
            answer = await run_batch(lease, statements, deadline, begin=True)
        except RequestFailure as failure:
            if failure.kind is not ErrorKind.STATEMENT_FAILED:
                raise
            found = await self._look_up(lease, request.key, deadline)
            if not found.results[0].rows:
                raise
            return None
        if answer.results[0].n_changed:
            return answer
        lease.is_broken = True
        await lease.connection.rollback()
        lease.is_broken = False
        return None

    async def _look_up(self, lease: Lease, key: str, deadline: float) -> BatchResult:
        return await run_batch(
            lease,
            [find_outcome(key)],
            deadline,
            begin=True,
            commit=True,
            writes=False,
        )

    async def cancel(self, request: CancelKey) -> StatementAnswer:
        """Record a key as cancelled, or return the answer recorded for it.

        :raises RequestFailure: ``key_cancelled`` once no write with the key can run any
            more.
        """
        deadline = trio.current_time() + request.budget_s
        record = self.find_record(request.group)
        pool = self._find_pool(record.primary)
        lease = await pool.acquire(
            request.service, request.weight, CANCEL_SHAPE, deadline
        )
        try:
            claim = insert_outcome(request.key, CANCELLED)
            statements = [claim, find_outcome(request.key)]
            answer = await run_batch(
                lease, statements, deadline, begin=True, commit=True
            )
        finally:
            await pool.release(lease)
        await self.confirm(request.group, answer.term, answer.position, deadline)
        recorded = read_outcome(answer.results[1], None)
        return StatementAnswer(
            request.request_id,
            recorded or ResultSet(),
            answer.term,
            answer.position,
            record.primary,
            True,
        )
