"""Run transactions, each on one connection from its first statement to its end."""

from __future__ import annotations

__all__ = ["OpenTransaction", "TransactionRunner"]

from dataclasses import dataclass

import trio

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import UpstreamId
from .answers import RETRIED_ELSEWHERE, Ending, Sent, find_answer
from .calls import Call, remaining_s
from .exchanges import ExchangeFailed
from .pool import Pool, PooledConnection, Recycled
from .positions import LogPosition
from .reads import ATTEMPT_SHARE, ROUND_PAUSE_S, find_needed
from .routes import Consistency
from .runner import Runner, TryElsewhere, describe_error
from .statements import Access, Begin, Commit, Execute, Request, Write
from .upstream import Reply, TransactionState

N_TRIES = 6


@dataclass
class OpenTransaction:
    """Hold a client's transaction.

    :param is_read_only: whether the client said that it only reads.
    :param pooled: its connection, None until its first statement.
    :param has_written: whether a write of it was sent.
    :param used_at: when its last statement ended, in seconds of our clock.
    """

    is_read_only: bool
    used_at: float
    pool: Pool | None = None
    pooled: PooledConnection | None = None
    has_written: bool = False
    has_failed: bool = False

    def abandon(self) -> None:
        """Undo the transaction at its upstream and give the connection back."""
        if self.pool is not None and self.pooled is not None:
            self.pool.release(self.pooled, Recycled.IN_TRANSACTION)
        self.pooled = None

    def lose(self) -> None:
        """Note that the connection has been closed, which undid the transaction."""
        self.pooled = None
        self.has_failed = True


@dataclass(frozen=True)
class _Plan:
    pool: Pool
    begin: Request


class TransactionRunner(Runner):
    """Run the statements of transactions."""

    async def run(self, call: Call, transaction: OpenTransaction) -> Reply:
        """Run one statement of an open transaction, its commit among them.

        :raises RequestFailure: the transaction has failed.
        """
        try:
            if transaction.pooled is None:
                return await self._run_first(call, transaction)
            return await self._run_next(call, transaction)
        except RequestFailure:
            transaction.lose()
            raise
        finally:
            transaction.used_at = self.clock()

    async def _run_first(self, call: Call, transaction: OpenTransaction) -> Reply:
        """Open the transaction at an upstream; nothing of it has run before."""
        avoided: set[UpstreamId] = set()
        failure: TryElsewhere | None = None
        for _ in range(N_TRIES):
            if remaining_s(call, self.clock) <= 0:
                break
            plan = self._plan(call, transaction, avoided)
            if plan is None and avoided:
                avoided.clear()
                await trio.sleep(ROUND_PAUSE_S)
                continue
            if plan is None:
                plan = _Plan(await self.wait_leader(call), Request(Begin()))
            try:
                return await self._open(call, transaction, plan)
            except TryElsewhere as error:
                failure = error
                avoided.add(plan.pool.upstream.upstream_id)
                self.log_retry(call, plan.pool, error)
        kind = failure.kind if failure else ErrorKind.OVERLOADED
        text = failure.text if failure else "no upstream took the transaction in time"
        self.log_refusal(call, text, kind=kind.value)
        raise RequestFailure(kind, f"{text}; come back")

    def _plan(
        self, call: Call, transaction: OpenTransaction, avoided: set[UpstreamId]
    ) -> _Plan | None:
        """Choose where a transaction runs.

        One that must see all commits is opened plainly whatever the client said, since
        a primary that lost its lead still opens read-only ones.
        """
        route = call.route
        may_be_old = route.consistency is not Consistency.PRIMARY
        if transaction.is_read_only and may_be_old:
            plan = self._plan_replica(call, avoided)
            if plan is not None:
                return plan
        leader = self.router.find_leader(route.service)
        if leader is None or leader.upstream.upstream_id in avoided:
            return None
        return _Plan(leader, Request(Begin()))

    def _plan_replica(self, call: Call, avoided: set[UpstreamId]) -> _Plan | None:
        route = call.route
        not_before = call.arrived_at - route.max_staleness_s
        bound = self.samples.find_bound(route.service, not_before)
        if bound is None:
            return None
        needed: LogPosition = find_needed(bound, call.own_write)
        pool = self.router.find_reader(route.service, needed, avoided)
        if pool is None:
            return None
        return _Plan(pool, Request(Begin(read_only=True), since=needed))

    async def _open(
        self, call: Call, transaction: OpenTransaction, plan: _Plan
    ) -> Reply:
        """Open a transaction and run its first statement.

        The statement is sent only once the transaction is known to be open: it would
        run outside of it where the upstream refused to open one.
        """
        pool = plan.pool
        pooled = await self.acquire(pool, call)
        prelude = pooled.make_prelude(call.values, None)
        requests = [*prelude, plan.begin]
        replies = await self._send_opening(call, pool, pooled, requests)
        self.check_prelude(pool, pooled, replies[:-1])
        begin = replies[-1]
        if begin.error is not None:
            self._note_refusal(pool, begin, plan)
            self.give_back(pool, pooled, begin)
            raise describe_error(begin)
        transaction.pool = pool
        transaction.pooled = pooled
        reply = await self._run_next(call, transaction)
        if reply.error is not None and reply.error.kind in RETRIED_ELSEWHERE:
            transaction.abandon()
            transaction.has_failed = False
            raise describe_error(reply)
        return reply

    async def _send_opening(
        self, call: Call, pool: Pool, pooled: PooledConnection, requests: list[Request]
    ) -> list[Reply]:
        """Send what opens a transaction; none of it leaves anything behind."""
        sent_at = self.clock()
        timeout_s = remaining_s(call, self.clock) * ATTEMPT_SHARE
        try:
            replies = await self.exchange(pool, pooled, requests, timeout_s)
        except ExchangeFailed as failure:
            kind = find_answer(Sent.IN_TRANSACTION, failure.ending)
            raise TryElsewhere(kind, str(failure)) from failure
        for request, reply in zip(requests, replies, strict=True):
            if request.statement == Begin() and reply.error is None:
                self.note_leader(pool, reply, sent_at)
        return replies

    def _note_refusal(self, pool: Pool, begin: Reply, plan: _Plan) -> None:
        error = begin.error
        is_plain = plan.begin.statement == Begin()
        if is_plain and error is not None and error.kind is ErrorKind.READ_ONLY:
            upstream = pool.upstream
            self.samples.refuse(upstream.service, upstream.upstream_id)

    async def _run_next(self, call: Call, transaction: OpenTransaction) -> Reply:
        """Run a statement on the transaction's own connection."""
        pool, pooled = transaction.pool, transaction.pooled
        assert pool is not None and pooled is not None
        sent = _name_sent(call, transaction)
        transaction.has_written |= _writes(call)
        prelude = pooled.make_prelude(call.values, call.needed)
        requests = [*prelude, call.request]
        timeout_s = remaining_s(call, self.clock)
        sent_at = self.clock()
        try:
            replies = await self.exchange(pool, pooled, requests, timeout_s)
        except ExchangeFailed as failure:
            raise self.fail(call, sent, failure.ending, str(failure)) from failure
        try:
            self.check_prelude(pool, pooled, replies[: len(prelude)])
        except TryElsewhere as error:
            raise self.fail(
                call, Sent.IN_TRANSACTION, Ending.LOST, error.text
            ) from error
        self.forget_unknown(pooled, call, replies)
        reply = replies[-1]
        if sent is Sent.COMMIT_OF_WRITES and reply.error is None:
            self.note_leader(pool, reply, sent_at)
        self._note_end(call, transaction, reply)
        return reply

    def _note_end(self, call: Call, transaction: OpenTransaction, reply: Reply) -> None:
        """Follow the transaction's state; give its connection back at its end."""
        transaction.has_failed |= reply.state is TransactionState.FAILED
        is_over = reply.state is TransactionState.IDLE
        if not is_over and not isinstance(call.request.statement, Commit):
            return
        assert transaction.pool is not None and transaction.pooled is not None
        self.give_back(transaction.pool, transaction.pooled, reply)
        transaction.pooled = None
        transaction.has_failed |= not isinstance(call.request.statement, Commit)


def _writes(call: Call) -> bool:
    statement = call.request.statement
    if isinstance(statement, Execute):
        return call.needed is not None and call.needed.access is Access.WRITE
    return isinstance(statement, Write)


def _name_sent(call: Call, transaction: OpenTransaction) -> Sent:
    if not isinstance(call.request.statement, Commit):
        return Sent.IN_TRANSACTION
    return Sent.COMMIT_OF_WRITES if transaction.has_written else Sent.COMMIT_OF_READS
