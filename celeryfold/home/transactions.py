"""Open transactions, each of which owns its connection until it ends."""

from __future__ import annotations

__all__ = ["Transactions", "find_holder"]

import secrets
from collections.abc import Callable

import trio

from ..drivers.slot import ResultSet, Statement
from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import (
    GroupId,
    InstanceId,
    Position,
    SlotId,
    Term,
    TransactionId,
)
from .batches import run_batch
from .messages import Begin, BeginReply, Finish, RunInTransaction, StatementAnswer
from .outcomes import insert_outcome
from .pool import Lease, SlotPool
from .ports import HomePorts
from .writes import Writer

IDLE_TIMEOUT_S = 10.0
NO_OPERATION = Statement("SELECT 1")


def find_holder(transaction: TransactionId) -> InstanceId:
    """Return the instance that holds a transaction, from the transaction's id."""
    return InstanceId(transaction.rpartition("~")[0])


class _OpenTransaction:
    def __init__(self, group: GroupId, slot: SlotId, lease: Lease) -> None:
        self.group = group
        self.slot = slot
        self.lease = lease
        self.lock = trio.Lock()
        self.last_used_at = trio.current_time()
        self.is_ended = False


class Transactions:
    """Open transactions of this instance."""

    def __init__(
        self, ports: HomePorts, writer: Writer, find_pool: Callable[[str], SlotPool]
    ) -> None:
        self._ports = ports
        self._writer = writer
        self._find_pool = find_pool
        self._open: dict[TransactionId, _OpenTransaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    async def begin(self, request: Begin) -> BeginReply:
        """Open a transaction on the group's primary.

        :raises RequestFailure: ``key_reused`` if its key was used before, or another
            kind if the transaction cannot be opened.
        """
        deadline = trio.current_time() + request.budget_s
        record = self._writer.find_record(request.group)
        pool = self._find_pool(record.primary)
        lease = await pool.acquire(request.service, request.weight, "begin", deadline)
        first = NO_OPERATION
        if request.key:
            first = insert_outcome(request.key, request.digest)
        try:
            answer = await run_batch(lease, [first], deadline, begin=True)
            if request.key and not answer.results[0].n_changed:
                lease.is_broken = True
                text = "the key was used before; ask for its outcome"
                raise RequestFailure(ErrorKind.KEY_REUSED, text)
        except BaseException:
            await pool.release(lease)
            raise
        name = f"{self._ports.instance_id}~{secrets.token_hex(8)}"
        transaction = TransactionId(name)
        self._open[transaction] = _OpenTransaction(request.group, record.primary, lease)
        return BeginReply(transaction)

    def _find(self, transaction: TransactionId) -> _OpenTransaction:
        found = self._open.get(transaction)
        if found is None:
            text = "no such transaction is open; begin a new one"
            raise RequestFailure(ErrorKind.UNKNOWN_TRANSACTION, text)
        return found

    def _find_to_finish(self, request: Finish) -> _OpenTransaction:
        if request.commit and request.transaction not in self._open:
            text = "no such transaction is open; it may have been committed before"
            raise RequestFailure(ErrorKind.OUTCOME_UNKNOWN, text)
        return self._find(request.transaction)

    async def run(self, request: RunInTransaction) -> StatementAnswer:
        """Run a statement in a transaction; a failure rolls the transaction back.

        :raises RequestFailure: ``statement_failed`` if the slot rejects the statement,
            ``transaction_lost`` if the transaction ended for another reason.
        """
        opened = self._find(request.transaction)
        deadline = trio.current_time() + request.budget_s
        async with opened.lock:
            if opened.is_ended:
                raise RequestFailure(
                    ErrorKind.TRANSACTION_LOST,
                    "the transaction has ended; begin a new one",
                )
            try:
                answer = await run_batch(opened.lease, [request.statement], deadline)
            except RequestFailure as failure:
                await self._end(request.transaction, opened)
                if failure.kind is ErrorKind.STATEMENT_FAILED:
                    raise
                text = f"the transaction ended without a commit: {failure.message}"
                raise RequestFailure(ErrorKind.TRANSACTION_LOST, text) from failure
            except BaseException:
                await self._end(request.transaction, opened)
                raise
            opened.last_used_at = trio.current_time()
        return StatementAnswer(
            request.request_id,
            answer.results[0],
            answer.term,
            answer.position,
            opened.slot,
        )

    async def finish(self, request: Finish) -> StatementAnswer:
        """Commit a transaction and wait until it is confirmed, or roll it back.

        :raises RequestFailure: ``outcome_unknown`` if the commit may have taken effect.
        """
        opened = self._find_to_finish(request)
        deadline = trio.current_time() + request.budget_s
        async with opened.lock:
            if opened.is_ended:
                opened = self._find_to_finish(request)
            opened.lease.is_broken = True
            try:
                if not request.commit:
                    return _make_answer(request, opened, Term(0), Position(0))
                done = await run_batch(
                    opened.lease, [NO_OPERATION], deadline, commit=True
                )
            finally:
                await self._end(request.transaction, opened)
        await self._writer.confirm(opened.group, done.term, done.position, deadline)
        return _make_answer(request, opened, done.term, done.position)

    async def _end(self, transaction: TransactionId, opened: _OpenTransaction) -> None:
        opened.is_ended = True
        self._open.pop(transaction, None)
        await self._find_pool(opened.slot).release(opened.lease)

    async def evict_idle(self) -> None:
        """Roll back transactions that have been idle for ``IDLE_TIMEOUT_S``."""
        oldest = trio.current_time() - IDLE_TIMEOUT_S
        for transaction, opened in list(self._open.items()):
            if opened.last_used_at < oldest and not opened.lock.locked():
                opened.lease.is_broken = True
                await self._end(transaction, opened)

    async def close(self) -> None:
        """Roll back every open transaction."""
        for transaction, opened in list(self._open.items()):
            opened.lease.is_broken = True
            await self._end(transaction, opened)


def _make_answer(
    request: Finish, opened: _OpenTransaction, term: Term, position: Position
) -> StatementAnswer:
    return StatementAnswer(request.request_id, ResultSet(), term, position, opened.slot)
