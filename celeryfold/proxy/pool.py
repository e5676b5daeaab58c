"""Connection pool of one upstream."""

from __future__ import annotations

__all__ = ["Pool", "PooledConnection", "ReleaseState"]

import itertools
import logging
from enum import Enum
from heapq import heappop, heappush

import trio

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.metrics import Metrics
from .clock import Clock
from .statements import (
    INTERNAL_REQUEST_ID,
    Prepare,
    Request,
    Reset,
    Rollback,
    SetValue,
)
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


class PooledConnection:
    """A connection and the session state that is set on it at the upstream."""

    def __init__(self, connection: UpstreamConnection, now: float) -> None:
        self.connection = connection
        self.values: dict[str, str] = {}
        self.prepared_names: set[str] = set()
        self.last_reply_at = now

    def make_setup_requests(
        self, values: dict[str, str], prepared: Prepare | None
    ) -> list[Request]:
        """Return the requests that set a session's state on the connection.

        :param values: the session's values.
        :param prepared: the prepared statement that runs next, if any.
        """
        requests = []
        if not self.values.items() <= values.items():
            requests.append(Request(Reset(), INTERNAL_REQUEST_ID))
            self.values = {}
            self.prepared_names = set()
        for name, value in values.items():
            if self.values.get(name) != value:
                requests.append(Request(SetValue(name, value), INTERNAL_REQUEST_ID))
        self.values = dict(values)
        if prepared is not None and prepared.name not in self.prepared_names:
            requests.append(Request(prepared, INTERNAL_REQUEST_ID))
            self.prepared_names.add(prepared.name)
        return requests


class _Waiter:
    def __init__(self) -> None:
        self.done = trio.Event()
        self.connection: PooledConnection | None = None
        self.failure: RequestFailure | None = None


class Pool:
    """Pools a limited number of connections to one upstream.

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
        self._idle: list[PooledConnection] = []
        self._waiters: list[tuple[int, int, _Waiter]] = []
        self._sequence = itertools.count()
        self._n_open = 0
        self._n_opening = 0
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

    def is_available(self) -> bool:
        """Return whether the upstream is expected to be reachable."""
        if self.is_closed or self.has_wrong_identity:
            return False
        return self._n_open > 0 or not self.is_unreachable or self._may_open()

    def record_reply(self, pooled: PooledConnection) -> None:
        """Record the time of a reply on a connection."""
        pooled.last_reply_at = self.last_reply_at = self._clock()

    async def acquire(
        self, values: dict[str, str], priority: int, wait_s: float
    ) -> PooledConnection:
        """Return a connection, preferably one with a session's values set.

        :param values: the session's values.
        :param priority: the lowest number is served first.
        :param wait_s: how long to wait for a connection, in seconds.
        :raises RequestFailure: no connection became available in time, or none can be
            opened.
        """
        found = self._take_idle(values)
        if found is not None:
            return found
        self._check_reachable()
        waiter = _Waiter()
        heappush(self._waiters, (priority, next(self._sequence), waiter))
        self._open_for_waiters()
        try:
            with trio.move_on_after(wait_s):
                await waiter.done.wait()
        except trio.Cancelled:
            self._release_unused(waiter)
            raise
        finally:
            self._waiters = [entry for entry in self._waiters if entry[2] is not waiter]
        if waiter.connection is not None:
            return waiter.connection
        raise waiter.failure or RequestFailure(
            ErrorKind.OVERLOADED,
            f"no connection to {self.upstream.upstream_id} came free within "
            f"{wait_s * 1000:.0f} ms",
        )

    def _release_unused(self, waiter: _Waiter) -> None:
        if waiter.connection is not None:
            self.release(waiter.connection, ReleaseState.CLEAN)

    def _check_reachable(self) -> None:
        if self.is_closed:
            raise RequestFailure(
                ErrorKind.NOT_RUN, "the connection pool of the upstream is closed"
            )
        if self._n_open == 0 and self.is_unreachable:
            if self._clock() < self._retry_at:
                text = f"{self.upstream.upstream_id} cannot be reached"
                raise RequestFailure(ErrorKind.NOT_RUN, text)

    def _take_idle(self, values: dict[str, str]) -> PooledConnection | None:
        """Return the most recently used idle connection with matching values.

        If none matches, the longest idle one is returned, to be reset: opening another
        occupies a slot of the upstream for as long as several statements.
        """
        self._discard_broken()
        best = None
        for pooled in reversed(self._idle):
            if pooled.values == values:
                best = pooled
                break
            if best is None and pooled.values.items() <= values.items():
                best = pooled
        if best is None and self._idle:
            best = self._idle[0]
        if best is not None:
            self._idle.remove(best)
        return best

    def _discard_broken(self) -> None:
        broken = [p for p in self._idle if p.connection.is_broken()]
        for pooled in broken:
            self._idle.remove(pooled)
            self._discard(pooled)

    def _may_open(self) -> bool:
        return (
            not self.is_closed
            and self._n_open + self._n_opening < self.limit
            and self._n_opening < N_CONCURRENT_OPENS
            and self._clock() >= self._retry_at
        )

    def _open_for_waiters(self) -> None:
        """Open connections as long as waiters outnumber those being opened."""
        while self._n_opening < len(self._waiters) and self._may_open():
            assert self._nursery is not None
            self._n_opening += 1
            self._nursery.start_soon(self._open)
        if self._waiters and self._clock() < self._retry_at:
            self._schedule_retry()

    def _schedule_retry(self) -> None:
        if not self._is_retry_scheduled and not self.is_closed:
            assert self._nursery is not None
            self._is_retry_scheduled = True
            self._nursery.start_soon(self._retry)

    async def _retry(self) -> None:
        await trio.sleep(max(self._retry_at - self._clock(), 0.0))
        self._is_retry_scheduled = False
        self._open_for_waiters()

    async def _open(self) -> None:
        try:
            connection = await self._connector.connect(self.upstream)
        except ConnectFailed as failure:
            self._n_opening -= 1
            self._record_connect_failure(failure)
            return
        except Exception as error:
            self._n_opening -= 1
            extra = {"upstream": self.upstream.upstream_id}
            log.exception("connection attempt failed", extra=extra)
            self._record_connect_failure(
                ConnectFailed(ConnectFailure.UNREACHABLE, repr(error))
            )
            return
        except BaseException:
            self._n_opening -= 1
            raise
        self._n_opening -= 1
        self._n_open += 1
        self.last_reply_at = self._clock()
        self._record_reachable()
        self._metrics.count("upstream.connections_opened")
        self._make_available(PooledConnection(connection, self._clock()))

    def _record_reachable(self) -> None:
        if self.is_unreachable:
            log.info("upstream reached", extra={"upstream": self.upstream.upstream_id})
        self.is_unreachable = False
        self._backoff_s = INITIAL_BACKOFF_S

    def _record_connect_failure(self, failure: ConnectFailed) -> None:
        self._metrics.count(f"upstream.connect_{failure.failure.value}")
        if failure.failure is ConnectFailure.TOO_MANY:
            self._retry_at = self._clock() + CONNECTION_LIMIT_BACKOFF_S
        else:
            self._record_unreachable(str(failure))
        if failure.failure is ConnectFailure.WRONG_INSTANCE:
            self.has_wrong_identity = True
        if self._n_open == 0 and self._n_opening == 0:
            self._fail_waiters(str(failure))

    def _record_unreachable(self, reason: str) -> None:
        if not self.is_unreachable:
            extra = {"upstream": self.upstream.upstream_id, "reason": reason}
            log.warning("upstream lost", extra=extra)
        self.is_unreachable = True
        self._retry_at = self._clock() + self._backoff_s
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _fail_waiters(self, reason: str) -> None:
        for _, _, waiter in self._waiters:
            if not waiter.done.is_set():
                waiter.failure = RequestFailure(ErrorKind.NOT_RUN, reason)
                waiter.done.set()
        self._waiters = []

    def close_idle(self) -> None:
        """Close all idle connections, because a connection in use got no reply.

        The network between both ends may have lost all of them at once.
        """
        self._metrics.count("upstream.silent")
        while self._idle:
            self._discard(self._idle.pop())

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
        """Give a connection to the first waiter, or keep it idle."""
        if self.is_closed:
            self._discard(pooled)
            return
        while self._waiters:
            _, _, waiter = heappop(self._waiters)
            if waiter.done.is_set():
                continue
            waiter.connection = pooled
            waiter.done.set()
            return
        self._idle.append(pooled)

    def probe(self) -> None:
        """Try to open a connection to an upstream that could not be reached."""
        if not self._n_opening and self._n_open < self.limit and self._may_open():
            assert self._nursery is not None
            self._n_opening += 1
            self._nursery.start_soon(self._open)

    def trim(self) -> None:
        """Close connections that were idle for too long, but keep the last used one."""
        oldest = self._clock() - IDLE_TIMEOUT_S
        while len(self._idle) > 1 and self._idle[0].last_reply_at < oldest:
            self._discard(self._idle.pop(0))

    def _discard(self, pooled: PooledConnection) -> None:
        self._n_open -= 1
        assert self._nursery is not None
        self._nursery.start_soon(pooled.connection.close)
        self._open_for_waiters()

    def close(self) -> None:
        """Close idle connections now and those in use when they are released."""
        self.is_closed = True
        self._fail_waiters("the connection pool of the upstream is closed")
        while self._idle:
            self._discard(self._idle.pop())
