"""Runs transactions, each pinned to one connection from first statement to end."""

from __future__ import annotations

__all__ = ["OpenTransaction", "TransactionRunner"]

from dataclasses import dataclass

import msgspec

from ..exceptions import RequestFailure
from ..kernel.ids import UpstreamId
from .answers import RETRYABLE_ERRORS, FailureCause, SentRequest, find_error_kind
from .calls import Call
from .exchanges import ExchangeFailed
from .executors import Executor, PinnedConnection, RetryableFailure
from .reads import find_required_position
from .routes import Consistency
from .runner import ATTEMPT_TIME_SHARE, Plan, Runner, make_retryable_failure
from .statements import Access, Begin, Commit, Execute, Request, Write
from .upstream import Reply, TransactionState


@dataclass
class OpenTransaction:
    """An open transaction of a client.

    :param is_read_only: whether the client declared it read-only.
    :param last_used_at: when its last statement ended, in seconds of the clock.
    :param executor: where it runs, None until its first statement.
    :param pinned: its connection, None before its first statement and after its end.
    :param has_written: whether one of its writes has been sent.
    :param has_failed: whether it can only be rolled back.
    """

    is_read_only: bool
    last_used_at: float
    executor: Executor | None = None
    pinned: PinnedConnection | None = None
    has_written: bool = False
    has_failed: bool = False

    def abandon(self) -> None:
        """Roll back the transaction at its upstream and release the connection."""
        if self.pinned is not None:
            self.pinned.abandon()
        self.pinned = None


@dataclass(frozen=True)
class _Plan(Plan):
    """The executor of a transaction and the request that opens it there."""

    begin: Request


class TransactionRunner(Runner):
    """Runs the statements of transactions."""

    async def run(self, call: Call, transaction: OpenTransaction) -> Reply:
        """Run one statement of an open transaction, including its commit.

        :raises RequestFailure: the transaction has failed.
        """
        try:
            if transaction.pinned is None:
                return await self._run_first(call, transaction)
            return await self._run_next(call, transaction)
        except RequestFailure:
            transaction.abandon()
            transaction.has_failed = True
            raise
        finally:
            transaction.last_used_at = self.clock()

    async def _run_first(self, call: Call, transaction: OpenTransaction) -> Reply:
        """Open the transaction at an upstream and run its first statement."""
        return await self.try_upstreams(
            call,
            lambda excluded: self._plan(call, transaction, excluded),
            lambda executor: _Plan(executor, Request(Begin())),
            lambda plan: self._open(call, transaction, plan),
        )

    def _plan(
        self, call: Call, transaction: OpenTransaction, excluded: set[UpstreamId]
    ) -> _Plan | None:
        """Select the upstream of a transaction; None if none is available.

        A transaction that must see all commits is opened as read-write even if the
        client declared it read-only, because a primary that has lost its leadership
        still opens read-only transactions.
        """
        route = call.route
        accepts_stale_reads = route.consistency is not Consistency.PRIMARY
        if transaction.is_read_only and accepts_stale_reads:
            plan = self._plan_replica(call, excluded)
            if plan is not None:
                return plan
        leader = self.router.find_leader(route.service)
        if leader is None or leader.upstream.upstream_id in excluded:
            return None
        return _Plan(leader, Request(Begin()))

    def _plan_replica(self, call: Call, excluded: set[UpstreamId]) -> _Plan | None:
        route = call.route
        not_before = call.arrived_at - route.max_staleness_s
        bound = self.samples.find_freshness_bound(route.service, not_before)
        if bound is None:
            return None
        min_position = find_required_position(bound, call.own_write)
        executor = self.router.find_reader(route.service, min_position, excluded)
        if executor is None:
            return None
        return _Plan(executor, Request(Begin(read_only=True), since=min_position))

    async def _open(
        self, call: Call, transaction: OpenTransaction, plan: _Plan
    ) -> Reply:
        """Open a transaction and run its first statement.

        The statement is sent after the reply to the begin: if the upstream refused to
        open the transaction, it would run the statement outside of one.
        """
        work = self.make_work(call, plan.begin, share=ATTEMPT_TIME_SHARE)
        work = msgspec.structs.replace(work, prepared=None, keeps_connection=True)
        try:
            result = await self.run_work(plan.executor, work)
        except ExchangeFailed as failure:
            kind = find_error_kind(SentRequest.IN_TRANSACTION, failure.cause)
            raise RetryableFailure(kind, str(failure)) from failure
        if result.pinned is None:
            raise make_retryable_failure(result.replies[0])
        transaction.executor = plan.executor
        transaction.pinned = result.pinned
        reply = await self._run_next(call, transaction)
        if reply.error is not None and reply.error.kind in RETRYABLE_ERRORS:
            transaction.abandon()
            transaction.has_failed = False
            raise make_retryable_failure(reply)
        return reply

    async def _run_next(self, call: Call, transaction: OpenTransaction) -> Reply:
        """Run a statement on the connection pinned to the transaction."""
        executor, pinned = transaction.executor, transaction.pinned
        assert executor is not None and pinned is not None
        sent = _classify_sent(call, transaction)
        transaction.has_written |= _is_write(call)
        if sent is SentRequest.COMMIT_OF_WRITES:
            self.check_not_suspended(call, SentRequest.IN_TRANSACTION, executor)
        sent_at = self.clock()
        try:
            [reply] = await pinned.run(self.make_work(call, call.request))
        except ExchangeFailed as failure:
            raise self.make_failure(
                call, sent, failure.cause, str(failure)
            ) from failure
        except RetryableFailure as error:
            cause = FailureCause.LOST
            raise self.make_failure(
                call, SentRequest.IN_TRANSACTION, cause, error.text
            ) from error
        if sent is SentRequest.COMMIT_OF_WRITES and reply.error is None:
            self.check_not_suspended(call, sent, executor)
            self.record_leader(executor, reply, sent_at)
        self._update_state(call, transaction, reply)
        return reply

    def _update_state(
        self, call: Call, transaction: OpenTransaction, reply: Reply
    ) -> None:
        """Update the transaction from a reply; release its connection at its end."""
        is_commit = isinstance(call.request.statement, Commit)
        has_ended = reply.state is TransactionState.IDLE
        transaction.has_failed |= reply.state is TransactionState.FAILED
        transaction.has_failed |= has_ended and not is_commit
        if has_ended or is_commit:
            transaction.abandon()


def _is_write(call: Call) -> bool:
    statement = call.request.statement
    if isinstance(statement, Execute):
        return call.prepared is not None and call.prepared.access is Access.WRITE
    return isinstance(statement, Write)


def _classify_sent(call: Call, transaction: OpenTransaction) -> SentRequest:
    if not isinstance(call.request.statement, Commit):
        return SentRequest.IN_TRANSACTION
    return (
        SentRequest.COMMIT_OF_WRITES
        if transaction.has_written
        else SentRequest.COMMIT_OF_READS
    )
