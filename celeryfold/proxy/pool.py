"""Connection pool of one upstream."""

from __future__ import annotations

__all__ = ["Pool", "PooledConnection", "ReleaseState"]

import logging
from collections import Counter
from collections.abc import Iterable
from enum import Enum

import trio

from ..accounts import NO_ACCOUNT
from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import AccountId
from ..kernel.metrics import Metrics
from .clock import Clock
from .connection_waiters import ConnectionWaiters, Waiter
from .idle_connections import IdleConnections
from .pooled_connection import PooledConnection
from .statements import INTERNAL_REQUEST_ID, Request, Rollback
from .upstream import (
    ConnectFailed,
    ConnectFailure,
    ConnectionLost,
    Connector,
    Reply,
    TransactionState,
    Upstream,
    UpstreamConnection,
)

log = logging.getLogger(__name__)

# Back-off at the connection limit of an upstream: other instances seldom close a
# connection sooner.
CONNECTION_LIMIT_BACKOFF_S = 0.25
# Exponential back-off between attempts to reach an upstream.
INITIAL_BACKOFF_S = 0.15
MAX_BACKOFF_S = 1.0
# Opening a connection occupies a slot of the upstream; more at a time would delay
# statements.
N_CONCURRENT_OPENS = 2
# An upstream counts a closed connection until it has read the close, which may wait for
# a running statement. A replacement that it refuses is repeated once after this time.
CLOSE_NOTICE_S = 0.02
# Idle connections are closed after this time, except for one. When all instances are
# lost, the upstream keeps their connections for seconds, and those of new instances
# must fit within its limit beside them.
IDLE_TIMEOUT_S = 2.0
# An upstream replies to a rollback at once or not at all.
ROLLBACK_TIMEOUT_S = 1.0


class ReleaseState(Enum):
    """State in which a connection is returned to the pool."""

    CLEAN = "clean"
    IN_TRANSACTION = "in_transaction"
    BROKEN = "broken"


class Pool:
    """Pools a limited number of connections to one upstream.

    A connection serves only the client account under whose name it was opened.

    :param connector: opens connections.
    :param limit: connections that this instance may have open.
    """

    def __init__(
        self,
        upstream: Upstream,
        connector: Connector,
        limit: int,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.upstream = upstream
        self.limit = limit
        self.is_closed = False
        self.is_unreachable = False
        self.has_wrong_identity = False
        self._connector = connector
        self._clock = clock
        self._metrics = metrics
        self._idle = IdleConnections()
        self._waiters = ConnectionWaiters()
        self._n_open = 0
        self._n_open_of: Counter[AccountId] = Counter()
        self._n_opening: Counter[AccountId] = Counter()
        self._has_accounts = False
        self._has_replaced = False
        # Set while the upstream refuses connections because it has too many.
        self._is_upstream_full = False
        self._retry_at = 0.0
        self._backoff_s = INITIAL_BACKOFF_S
        self._is_retry_scheduled = False
        self._nursery: trio.Nursery | None = None
        self.last_reply_at = clock()

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery in which connections are opened, rolled back and closed."""
        self._nursery = nursery

    @property
    def n_open(self) -> int:
        """Number of open connections."""
        return self._n_open

    @property
    def n_busy(self) -> int:
        """Number of connections in use."""
        return self._n_open - len(self._idle)

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for a connection."""
        return len(self._waiters)

    @property
    def _n_held(self) -> int:
        """Number of connections that are open or being opened."""
        return self._n_open + self._n_opening.total()

    def is_available(self) -> bool:
        """Return whether the upstream is expected to be reachable."""
        if self.is_closed or self.has_wrong_identity:
            return False
        return self._n_open > 0 or not self.is_unreachable or self._may_open()

    def record_reply(self, pooled: PooledConnection) -> None:
        """Record the time of a reply on a connection."""
        pooled.last_reply_at = self.last_reply_at = self._clock()

    async def acquire(
        self, account: AccountId, values: dict[str, str], priority: int, wait_s: float
    ) -> PooledConnection:
        """Return a connection of an account, preferably with a session's values set.

        :param account: the account under whose name the connection is open.
        :param values: the session's values.
        :param priority: the lowest number is served first.
        :param wait_s: how long to wait for a connection, in seconds.
        :raises RequestFailure: no connection became available in time, or none can be
            opened.
        """
        found = self._take_idle(account, values)
        if found is not None:
            return found
        self._check_reachable(account)
        self._has_accounts |= account != NO_ACCOUNT
        waiter = Waiter(account, priority)
        self._waiters.add(waiter)
        self._open_for_waiters()
        try:
            with trio.move_on_after(wait_s):
                await waiter.done.wait()
        except trio.Cancelled:
            self._release_unused(waiter)
            raise
        finally:
            self._waiters.remove(waiter)
        if waiter.connection is not None:
            return waiter.connection
        raise waiter.failure or RequestFailure(
            ErrorKind.OVERLOADED,
            f"no connection to {self.upstream.upstream_id} came free within "
            f"{wait_s * 1000:.0f} ms",
        )

    def _release_unused(self, waiter: Waiter) -> None:
        if waiter.connection is not None:
            self.release(waiter.connection, ReleaseState.CLEAN)

    def _check_reachable(self, account: AccountId) -> None:
        if self.is_closed:
            raise RequestFailure(
                ErrorKind.NOT_RUN, "the connection pool of the upstream is closed"
            )
        if not self._n_open_of[account] and self.is_unreachable:
            if self._clock() < self._retry_at:
                text = f"{self.upstream.upstream_id} cannot be reached"
                raise RequestFailure(ErrorKind.NOT_RUN, text)

    def _take_idle(
        self, account: AccountId, values: dict[str, str]
    ) -> PooledConnection | None:
        for pooled in self._idle.take_broken(account):
            self._discard(pooled)
        return self._idle.take(account, values)

    def _may_open(self) -> bool:
        return self._n_held < self.limit and self._may_start_opening()

    def _may_start_opening(self) -> bool:
        """Return whether a connection may be opened if there is room for it."""
        return (
            not self.is_closed
            and self._n_opening.total() < N_CONCURRENT_OPENS
            and self._clock() >= self._retry_at
        )

    def _open_for_waiters(self) -> None:
        """Open connections as long as waiters outnumber those being opened."""
        while self._may_start_opening():
            waiter = self._waiters.find_first_unserved(self._n_opening)
            if waiter is None or not self._open_for(waiter.account):
                break
        if self._waiters and self._clock() < self._retry_at:
            self._schedule_retry()

    def _open_for(self, account: AccountId) -> bool:
        """Open a connection, if necessary in place of the one that is idle longest.

        An account that waits has no idle connection, so the one that is closed belongs
        to another account.

        :returns: whether there was room for a connection.
        """
        while self._n_held > self.limit and self._idle:
            self._close_in_background(self._idle.take_longest_idle())
        if self._n_held < self.limit and not (self._is_upstream_full and self._idle):
            self._start_opening(account)
        elif self._n_held <= self.limit and self._idle:
            self._replace(self._idle.take_longest_idle(), account)
        else:
            return False
        return True

    def _replace(self, pooled: PooledConnection, account: AccountId) -> None:
        """Close a connection, then open one for another account."""
        self._metrics.count("upstream.connections_evicted")
        self._count_closed(pooled)
        self._start_opening(account, pooled)

    def _start_opening(
        self, account: AccountId, evicted: PooledConnection | None = None
    ) -> None:
        assert self._nursery is not None
        self._n_opening[account] += 1
        self._nursery.start_soon(self._open, account, evicted)

    def _schedule_retry(self) -> None:
        if not self._is_retry_scheduled and not self.is_closed:
            assert self._nursery is not None
            self._is_retry_scheduled = True
            self._nursery.start_soon(self._retry)

    async def _retry(self) -> None:
        await trio.sleep(max(self._retry_at - self._clock(), 0.0))
        self._is_retry_scheduled = False
        self._open_for_waiters()

    async def _open(self, account: AccountId, evicted: PooledConnection | None) -> None:
        try:
            connection = await self._connect(account, evicted)
        except ConnectFailed as failure:
            _decrement(self._n_opening, account)
            self._record_connect_failure(account, failure)
            return
        except Exception as error:
            _decrement(self._n_opening, account)
            extra = {"upstream": self.upstream.upstream_id}
            log.exception("connection attempt failed", extra=extra)
            self._record_connect_failure(
                account, ConnectFailed(ConnectFailure.UNREACHABLE, repr(error))
            )
            return
        except BaseException:
            _decrement(self._n_opening, account)
            raise
        _decrement(self._n_opening, account)
        self._n_open += 1
        self._n_open_of[account] += 1
        self.last_reply_at = self._clock()
        self._record_reachable()
        self._metrics.count("upstream.connections_opened")
        self._hand_over(PooledConnection(connection, self._clock(), account))

    async def _connect(
        self, account: AccountId, evicted: PooledConnection | None
    ) -> UpstreamConnection:
        """Open a connection, after closing the one that it replaces.

        :raises ConnectFailed: if no connection can be opened.
        """
        if evicted is None:
            return await self._connector.connect(self.upstream, account)
        await evicted.connection.close()
        try:
            return await self._connector.connect(self.upstream, account)
        except ConnectFailed as failure:
            if failure.failure is not ConnectFailure.TOO_MANY:
                raise
        await trio.sleep(CLOSE_NOTICE_S)
        return await self._connector.connect(self.upstream, account)

    def _record_reachable(self) -> None:
        if self.is_unreachable:
            log.info("upstream reached", extra={"upstream": self.upstream.upstream_id})
        self.is_unreachable = False
        self._is_upstream_full = False
        self._backoff_s = INITIAL_BACKOFF_S

    def _record_connect_failure(
        self, account: AccountId, failure: ConnectFailed
    ) -> None:
        self._metrics.count(f"upstream.connect_{failure.failure.value}")
        is_refused = failure.failure is ConnectFailure.ACCOUNT_REFUSED
        if is_refused and account != NO_ACCOUNT:
            refused = [w for w in self._waiters if w.account == account]
            self._fail_waiters(refused, str(failure))
        else:
            self._back_off(failure)
            for pooled in self._idle.take_broken_of_others(account):
                self._close_in_background(pooled)
            if not self._n_opening:
                self._fail_waiters(self._list_unservable(failure), str(failure))
        self._continue_opening()

    def _back_off(self, failure: ConnectFailed) -> None:
        if failure.failure is ConnectFailure.TOO_MANY:
            self._is_upstream_full = True
            self._retry_at = self._clock() + CONNECTION_LIMIT_BACKOFF_S
        else:
            self._record_unreachable(str(failure))
        if failure.failure is ConnectFailure.WRONG_INSTANCE:
            self.has_wrong_identity = True

    def _list_unservable(self, failure: ConnectFailed) -> list[Waiter]:
        """Return the waiters for which no connection is expected soon.

        At the connection limit of the upstream, a connection of another account can
        still be replaced; if the upstream cannot be reached, it cannot.
        """
        if self._n_open and failure.failure is ConnectFailure.TOO_MANY:
            return []
        return [w for w in self._waiters if not self._n_open_of[w.account]]

    def _continue_opening(self) -> None:
        """Open connections for waiters that no released connection may ever serve.

        Without accounts, any connection that is released serves a waiter; more are
        opened only when further requests arrive.
        """
        if self._waiters and self._has_accounts:
            self._open_for_waiters()

    def _record_unreachable(self, reason: str) -> None:
        if not self.is_unreachable:
            extra = {"upstream": self.upstream.upstream_id, "reason": reason}
            log.warning("upstream lost", extra=extra)
        self.is_unreachable = True
        self._retry_at = self._clock() + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _fail_waiters(self, waiters: Iterable[Waiter], reason: str) -> None:
        for waiter in list(waiters):
            self._waiters.remove(waiter)
            waiter.failure = RequestFailure(ErrorKind.NOT_RUN, reason)
            waiter.done.set()

    def close_idle(self) -> None:
        """Close all idle connections, because a connection in use got no reply.

        The network between both ends may have lost all of them at once.
        """
        self._metrics.count("upstream.silent")
        while self._idle:
            self._discard(self._idle.take_longest_idle())

    def release(self, pooled: PooledConnection, state: ReleaseState) -> None:
        """Return a connection to the pool."""
        if state is ReleaseState.BROKEN or self.is_closed or self._n_open > self.limit:
            self._discard(pooled)
        elif state is ReleaseState.IN_TRANSACTION:
            assert self._nursery is not None
            self._nursery.start_soon(self._roll_back, pooled)
        else:
            self._make_available(pooled)

    async def _roll_back(self, pooled: PooledConnection) -> None:
        reply: Reply | None = None
        with trio.move_on_after(ROLLBACK_TIMEOUT_S):
            try:
                await pooled.connection.send([Request(Rollback(), INTERNAL_REQUEST_ID)])
                reply = await pooled.connection.receive()
            except ConnectionLost:
                self._metrics.count("upstream.rollback_lost")
        if reply is not None and reply.state is TransactionState.IDLE:
            self.record_reply(pooled)
            self._make_available(pooled)
        else:
            self._discard(pooled)

    def _make_available(self, pooled: PooledConnection) -> None:
        """Give a released connection to a waiter, replace it, or keep it idle."""
        other = self._find_successor(pooled.account)
        if other is None:
            self._hand_over(pooled)
        else:
            self._replace(pooled, other.account)

    def _find_successor(self, account: AccountId) -> Waiter | None:
        """Return the waiter for whose account a connection is to be replaced, or None.

        With waiters of the same priority on both sides, every second connection is
        replaced, so that the upstream is not mostly occupied by opening connections.

        :param account: the account of the connection.
        """
        if not self._waiters or not self._has_accounts:
            return None
        self._open_for_waiters()
        other = self._waiters.find_first_unserved(self._n_opening)
        if other is None or other.account == account:
            return None
        if not self._may_start_opening() or self._n_held > self.limit:
            return None
        own = self._waiters.find_first(account)
        if own is None or other.priority < own.priority:
            return other
        if own.order < other.order:
            return None
        self._has_replaced = not self._has_replaced
        return other if self._has_replaced else None

    def _hand_over(self, pooled: PooledConnection) -> None:
        """Give a connection to the first waiter of its account, or keep it idle."""
        if self.is_closed:
            self._discard(pooled)
            return
        waiter = self._waiters.find_first(pooled.account)
        if waiter is None:
            self._idle.add(pooled)
        else:
            self._waiters.remove(waiter)
            waiter.connection = pooled
            waiter.done.set()
        self._continue_opening()

    def probe(self) -> None:
        """Try to open a connection to an upstream that could not be reached."""
        if not self._n_opening and self._may_open():
            self._start_opening(NO_ACCOUNT)

    def trim(self) -> None:
        """Close connections that were idle for too long, but keep the last used one."""
        oldest = self._clock() - IDLE_TIMEOUT_S
        while len(self._idle) > 1 and self._idle.longest_idle.last_reply_at < oldest:
            self._discard(self._idle.take_longest_idle())

    def _discard(self, pooled: PooledConnection) -> None:
        self._close_in_background(pooled)
        self._open_for_waiters()

    def _close_in_background(self, pooled: PooledConnection) -> None:
        self._count_closed(pooled)
        assert self._nursery is not None
        self._nursery.start_soon(pooled.connection.close)

    def _count_closed(self, pooled: PooledConnection) -> None:
        self._n_open -= 1
        _decrement(self._n_open_of, pooled.account)

    def close(self) -> None:
        """Close idle connections now and those in use when they are released."""
        self.is_closed = True
        reason = "the connection pool of the upstream is closed"
        self._fail_waiters(self._waiters, reason)
        while self._idle:
            self._discard(self._idle.take_longest_idle())


def _decrement(counter: Counter[AccountId], account: AccountId) -> None:
    """Decrement a count; counts of zero are dropped, since accounts come and go."""
    counter[account] -= 1
    if not counter[account]:
        del counter[account]
