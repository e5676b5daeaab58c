"""Executor that runs work on connections of this instance."""

from __future__ import annotations

__all__ = ["LocalExecutor"]

from collections.abc import Callable, Sequence

import msgspec

from ..balancing.load_reports import HomeLoad
from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import ServiceId, UpstreamId
from ..kernel.metrics import Metrics
from .admission import UNLIMITED, AdmissionLimiter, AdmissionRefused
from .answers import SentRequest, find_error_kind
from .clock import Clock
from .exchanges import ExchangeFailed, exchange
from .executors import Executor, PinnedConnection, RetryableFailure, Work, WorkResult
from .pool import Pool, PooledConnection, ReleaseState
from .statements import Begin, Request, Rollback
from .upstream import Reply, TransactionState, UpstreamError

# A connection idle for longer is validated with an empty transaction before a write.
VALIDATION_IDLE_S = 1.0
# The empty transaction takes one round trip; a dead connection never replies.
VALIDATION_TIMEOUT_S = 0.5


class LocalExecutor(Executor):
    """Runs work on the connections of a pool.

    :param pool: the pool of connections to the upstream.
    :param is_suspended: returns whether writes to an upstream are suspended.
    """

    def __init__(
        self,
        pool: Pool,
        clock: Clock,
        metrics: Metrics,
        is_suspended: Callable[[ServiceId, UpstreamId], bool] = lambda *_: False,
    ) -> None:
        super().__init__(pool.upstream, clock)
        self.pool = pool
        self._is_suspended = is_suspended
        self.limiter = AdmissionLimiter(UNLIMITED, clock, metrics)

    @property
    def is_local(self) -> bool:
        """Whether the connections belong to this instance."""
        return True

    @property
    def is_unreachable(self) -> bool:
        """Whether no reply has come since the last time-out or connection failure."""
        return (
            self.pool.is_unreachable or self.last_silence_at > self.pool.last_reply_at
        )

    @property
    def n_in_use(self) -> int:
        """Number of statements that run or wait at this executor."""
        return self.pool.n_busy + self.pool.n_waiting + self.limiter.n_waiting

    @property
    def load(self) -> HomeLoad:
        """The load that this instance reports as a home.

        A statement is admitted for the round trip to the upstream as well.
        """
        n_admitted = max(min(self.limiter.limit, self.pool.limit), 1)
        n_waiting = self.limiter.n_waiting + self.pool.n_waiting
        service_time_s = self.service_time_s + self.distance_s
        return HomeLoad(n_waiting, int(n_admitted), service_time_s)

    def is_available(self) -> bool:
        """Return whether the upstream is expected to be reachable."""
        return self.pool.is_available()

    async def run(self, work: Work) -> WorkResult:
        """Run requests in order on one connection, after admission."""
        deadline = self._clock() + work.timeout_s
        await self._admit(work)
        admitted_at = self._clock()
        try:
            result = await self._run_admitted(work, deadline)
            self.limiter.service_time.record(self._clock() - admitted_at)
            return result
        finally:
            self.limiter.release()

    async def _admit(self, work: Work) -> None:
        """Wait for a slot.

        :raises RetryableFailure: none is free in time, or none is expected to be.
        """
        demand = (work.priority, work.wait_s, work.account)
        text = f"no slot of {self.upstream.upstream_id}"
        within = f"within {work.wait_s:.2f} s"
        try:
            is_admitted = await self.limiter.acquire(*demand)
        except AdmissionRefused as refusal:
            raise RetryableFailure(
                ErrorKind.OVERLOADED,
                f"{text} is expected to become available {within}",
                refusal.retry_after_s,
            ) from refusal
        if not is_admitted:
            raise RetryableFailure(
                ErrorKind.OVERLOADED,
                f"{text} became available {within}",
                self.limiter.find_retry_s(*demand),
            )

    async def _run_admitted(self, work: Work, deadline: float) -> WorkResult:
        """Run requests on a connection; the time spent waiting counts as well."""
        try:
            pooled = await self.pool.acquire(
                work.account, work.values, work.priority, work.wait_s
            )
        except RequestFailure as failure:
            raise RetryableFailure(failure.kind, failure.message) from failure
        if work.validates_connection:
            await self._validate(pooled)
            self._check_not_suspended(pooled)
        left = msgspec.structs.replace(work, timeout_s=deadline - self._clock())
        replies = await self.exchange(pooled, left)
        return WorkResult(replies, self._release_or_pin(pooled, work, replies))

    def _check_not_suspended(self, pooled: PooledConnection) -> None:
        """Check that a single write may still be sent after it has waited.

        :raises RetryableFailure: if another upstream is about to lead.
        """
        upstream = self.upstream
        if self._is_suspended(upstream.service, upstream.upstream_id):
            self.pool.release(pooled, ReleaseState.CLEAN)
            text = "the primary is being replaced"
            raise RetryableFailure(ErrorKind.NOT_RUN, text)

    def _release_or_pin(
        self, pooled: PooledConnection, work: Work, replies: Sequence[Reply]
    ) -> PinnedConnection | None:
        if replies[-1].state is TransactionState.IDLE:
            self.pool.release(pooled, ReleaseState.CLEAN)
        elif work.keeps_connection and replies[-1].state is TransactionState.OPEN:
            return _LocalPinnedConnection(self, pooled)
        else:
            self.pool.release(pooled, ReleaseState.IN_TRANSACTION)
        return None

    async def exchange_admitted(
        self, pooled: PooledConnection, work: Work
    ) -> list[Reply]:
        """Run requests in an open transaction, which are admitted at once.

        :raises RetryableFailure: the session state could not be set.
        :raises ExchangeFailed: replies are missing.
        """
        self.limiter.acquire_unconditionally()
        admitted_at = self._clock()
        try:
            replies = await self.exchange(pooled, work)
            self.limiter.service_time.record(self._clock() - admitted_at)
            return replies
        finally:
            self.limiter.release()

    async def exchange(self, pooled: PooledConnection, work: Work) -> list[Reply]:
        """Set a session's state on a connection, then run requests on it.

        The requests are sent once every set-up statement has succeeded. Sent together,
        an upstream that refuses the set-up would still run them, with the state of
        another session.

        :raises RetryableFailure: the session state could not be set, or a key has
            moved to another account during a transaction; none of the requests was
            sent and the connection is closed.
        :raises ExchangeFailed: replies are missing; the connection is closed.
        """
        deadline = self._clock() + work.timeout_s
        if work.account != pooled.account:
            self.pool.release(pooled, ReleaseState.BROKEN)
            text = "the connection belongs to another account"
            raise RetryableFailure(ErrorKind.NOT_RUN, text)
        setup = pooled.make_setup_requests(work.values, work.prepared)
        if setup:
            await self._set_up(pooled, setup, work.timeout_s)
        sent_at = self._clock()
        try:
            replies = await exchange(
                self.pool, pooled, work.requests, deadline - sent_at
            )
        except ExchangeFailed as failure:
            if failure.is_silent:
                self.record_silence()
            raise
        self.record_duration(self._clock() - sent_at)
        for reply in replies:
            self.record_reply(reply)
        _discard_unknown_prepared(pooled, work, replies)
        return replies

    async def _set_up(
        self, pooled: PooledConnection, setup: Sequence[Request], timeout_s: float
    ) -> None:
        """Set a session's state on a connection; close the connection if it fails."""
        try:
            replies = await exchange(self.pool, pooled, setup, timeout_s)
        except ExchangeFailed as failure:
            if failure.is_silent:
                self.record_silence()
            kind = find_error_kind(SentRequest.NOTHING, failure.cause)
            raise RetryableFailure(kind, str(failure)) from failure
        for reply in replies:
            self.record_reply(reply)
        errors = [reply.error for reply in replies if reply.error is not None]
        if errors:
            self.pool.release(pooled, ReleaseState.BROKEN)
            text = f"the session state could not be set: {errors[0].text}"
            raise RetryableFailure(ErrorKind.NOT_RUN, text)

    async def _validate(self, pooled: PooledConnection) -> None:
        """Run an empty transaction on a connection that has been idle for too long."""
        if self._clock() - pooled.last_reply_at < VALIDATION_IDLE_S:
            return
        requests = [Request(Begin()), Request(Rollback())]
        try:
            await exchange(self.pool, pooled, requests, VALIDATION_TIMEOUT_S)
        except ExchangeFailed as failure:
            raise RetryableFailure(ErrorKind.NOT_RUN, str(failure)) from failure


class _LocalPinnedConnection(PinnedConnection):
    def __init__(self, executor: LocalExecutor, pooled: PooledConnection) -> None:
        self._executor = executor
        self._pooled: PooledConnection | None = pooled

    @property
    def has_ended(self) -> bool:
        return self._pooled is None

    async def run(self, work: Work) -> list[Reply]:
        pooled, self._pooled = self._pooled, None
        assert pooled is not None
        replies = await self._executor.exchange_admitted(pooled, work)
        if replies[-1].state is TransactionState.IDLE:
            self._executor.pool.release(pooled, ReleaseState.CLEAN)
        else:
            self._pooled = pooled
        return replies

    def abandon(self) -> None:
        pooled, self._pooled = self._pooled, None
        if pooled is not None:
            self._executor.pool.release(pooled, ReleaseState.IN_TRANSACTION)


def _discard_unknown_prepared(
    pooled: PooledConnection, work: Work, replies: Sequence[Reply]
) -> None:
    """Forget a prepared statement that the upstream reports as unknown."""
    errors = [reply.error for reply in replies if reply.error is not None]
    if work.prepared is not None and any(map(_is_unknown, errors)):
        pooled.prepared_names.discard(work.prepared.name)


def _is_unknown(error: UpstreamError) -> bool:
    return error.kind is ErrorKind.UNKNOWN_STATEMENT
