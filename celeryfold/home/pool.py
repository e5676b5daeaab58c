"""Connection pool of one slot."""

from __future__ import annotations

__all__ = ["Lease", "SlotPool"]

from collections.abc import Callable

import trio

from ..drivers.slot import Connection, ConnectionRefused, Slot, SlotUnreachable
from ..exceptions import CeleryfoldError, RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import ServiceId
from ..kernel.metrics import Metrics
from .queue import Ticket, WorkQueue
from .work_classes import WorkHistory

IDLE_TIMEOUT_S = 30.0
# A connection that was idle for longer may have been dropped silently.
IDLE_CHECK_AFTER_S = 5.0
CHECK_TIMEOUT_S = 0.3
REFUSED_BACKOFF_S = 0.05
GROW_BACKOFF_S = 0.1


class Lease:
    """Connection that is in use by one request.

    :param connection: the leased connection.
    :param ticket: admission of the request to the work queue.
    :param started_at: monotonic time in seconds at which the lease began.
    """

    def __init__(
        self, connection: Connection, ticket: Ticket, started_at: float
    ) -> None:
        self.connection = connection
        self.ticket = ticket
        self.started_at = started_at
        self.is_broken = False


class _IdleConnection:
    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.since = trio.current_time()


class SlotPool:
    """Pool of the connections to one slot, with the queue of requests for them.

    :param slot: driver of the slot.
    :param limit: number of connections that the slot allows in total.
    :param metrics: receives counters.
    :param nursery: runs checks and growth of the pool.
    :param is_placed_here: returns whether the slot is placed on this instance. If it is
        not, connections are closed as soon as no request needs them.
    """

    def __init__(
        self,
        slot: Slot,
        limit: int,
        metrics: Metrics,
        nursery: trio.Nursery,
        is_placed_here: Callable[[], bool],
    ) -> None:
        self.slot = slot
        self.limit = limit
        self.queue = WorkQueue(limit)
        self.history = WorkHistory()
        self.n_open = 0
        self._metrics = metrics
        self._idle: list[_IdleConnection] = []
        self._running: set[Lease] = set()
        self._nursery = nursery
        self._is_placed_here = is_placed_here
        self._is_growing = False

    async def acquire(
        self, service: ServiceId, weight: int, shape: str, deadline: float
    ) -> Lease:
        """Wait for admission and return a leased connection.

        :param service: service that sends the request.
        :param weight: share of the service when services compete for connections.
        :param shape: statement text by which running times are recorded.
        :param deadline: monotonic time in seconds.
        :raises RequestFailure: ``overloaded`` if no connection becomes free in time,
            ``not_run`` if the slot is unreachable.
        """
        if self.queue.n_waiting:
            self._reclassify_running()
        work_class = self.history.classify(shape)
        cost_s = self.history.estimate_s(shape)
        ticket = Ticket(service, weight, work_class, cost_s, deadline)
        try:
            self.queue.admit(ticket)
        except RequestFailure:
            self._metrics.count("home.refused")
            raise
        try:
            if not ticket.granted.is_set():
                with trio.move_on_at(deadline):
                    await ticket.granted.wait()
            if not ticket.is_running:
                self._metrics.count("home.expired")
                text = "no connection became available in time for the deadline"
                raise RequestFailure(ErrorKind.OVERLOADED, text)
            connection = await self._find_connection(deadline)
        except BaseException:
            self.queue.release(ticket)
            raise
        lease = Lease(connection, ticket, trio.current_time())
        self._running.add(lease)
        return lease

    def _reclassify_running(self) -> None:
        """Reclassify running requests as long once they exceed the threshold."""
        now = trio.current_time()
        for lease in self._running:
            if self.history.is_long(now - lease.started_at):
                self.queue.reclassify_as_long(lease.ticket)

    async def release(self, lease: Lease, shape: str = "") -> None:
        """Return a leased connection to the pool, or close it if it is broken.

        :param lease: lease to end.
        :param shape: statement text under which the running time is recorded, empty to
            record nothing.
        """
        self._running.discard(lease)
        if shape:
            self.history.record(shape, trio.current_time() - lease.started_at)
        try:
            if lease.is_broken:
                self.recheck_idle()
                await self._close(lease.connection)
            elif self.queue.n_waiting or self._is_placed_here():
                self._idle.append(_IdleConnection(lease.connection))
            else:
                await self._close(lease.connection)
        finally:
            self.queue.release(lease.ticket)

    def recheck_idle(self) -> None:
        """Check every idle connection before it is used again.

        If one connection stopped answering, the others may have failed with it. They
        are checked concurrently in the background, while requests open new connections.
        """
        suspects = self._idle
        self._idle = []
        for idle in suspects:
            self._nursery.start_soon(self._recheck_connection, idle)

    async def _recheck_connection(self, idle: _IdleConnection) -> None:
        if await self._is_live(idle.connection):
            self._idle.append(_IdleConnection(idle.connection))
        else:
            self._metrics.count("home.silent_connection")
            await self._close(idle.connection)

    async def _find_connection(self, deadline: float) -> Connection:
        while self._idle:
            idle = self._idle.pop()
            if trio.current_time() - idle.since < IDLE_CHECK_AFTER_S:
                return idle.connection
            if await self._is_live(idle.connection):
                return idle.connection
            self._metrics.count("home.silent_connection")
            self.recheck_idle()
            await self._close(idle.connection)
        return await self._open(deadline)

    @staticmethod
    async def _is_live(connection: Connection) -> bool:
        with trio.move_on_after(CHECK_TIMEOUT_S) as scope:
            try:
                await connection.rollback()
            except CeleryfoldError:
                return False
        return not scope.cancelled_caught

    async def _open(self, deadline: float) -> Connection:
        with trio.move_on_at(deadline):
            while True:
                try:
                    return await self._connect()
                except ConnectionRefused:
                    self._shrink_capacity()
                    await trio.sleep(REFUSED_BACKOFF_S)
                except SlotUnreachable as error:
                    raise RequestFailure(ErrorKind.NOT_RUN, str(error)) from error
        text = "no connection to the slot was opened before the deadline"
        raise RequestFailure(ErrorKind.OVERLOADED, text)

    async def _connect(self) -> Connection:
        try:
            connection = await self.slot.connect()
        except ConnectionRefused:
            self._metrics.count("home.connection_refused")
            raise
        self.n_open += 1
        self._metrics.count("home.connection_opened")
        return connection

    def _shrink_capacity(self) -> None:
        """Limit the queue to the open connections while other instances hold the rest.

        After a change of home, the previous home keeps its connections until they are
        no longer needed there.
        """
        self.queue.resize(max(1, self.n_open))
        if not self._is_growing:
            self._is_growing = True
            self._nursery.start_soon(self._grow)

    async def _grow(self) -> None:
        """Open further connections as other instances close theirs."""
        try:
            while self.queue.capacity < self.limit and self._is_placed_here():
                try:
                    connection = await self._connect()
                except (ConnectionRefused, SlotUnreachable):
                    await trio.sleep(GROW_BACKOFF_S)
                    continue
                self._idle.append(_IdleConnection(connection))
                self.queue.resize(min(self.limit, max(1, self.n_open)))
        finally:
            self._is_growing = False
            self.queue.resize(self.limit)

    async def evict_idle(self) -> None:
        """Close connections idle for ``IDLE_TIMEOUT_S``, or all if not placed here."""
        now = trio.current_time()
        keep_s = IDLE_TIMEOUT_S if self._is_placed_here() else 0.0
        old = [idle for idle in self._idle if now - idle.since >= keep_s]
        self._idle = [idle for idle in self._idle if now - idle.since < keep_s]
        for idle in old:
            await self._close(idle.connection)

    async def _close(self, connection: Connection) -> None:
        self.n_open -= 1
        with trio.move_on_after(CHECK_TIMEOUT_S, shield=True):
            await connection.close()

    async def close(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await self._close(self._idle.pop().connection)
