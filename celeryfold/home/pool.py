"""The connections of one slot, shared by all work that is sent to it."""

from __future__ import annotations

__all__ = ["Lease", "SlotPool"]

import trio

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import ServiceId
from ..kernel.metrics import Metrics
from ..platform.slot import Connection, ConnectionRefused, Slot, SlotUnreachable
from .queue import Ticket, WorkQueue
from .work import WorkHistory

IDLE_CLOSE_S = 30.0
FOREIGN_IDLE_CLOSE_S = 0.2
CHECK_IDLE_AFTER_S = 5.0
CHECK_TIMEOUT_S = 0.3
REFUSED_PAUSE_S = 0.05
N_REFUSALS_BEFORE_SHRINK = 3
GROW_INTERVAL_S = 1.0


class Lease:
    """Hold a connection for one piece of work.

    :param connection: the connection; drop it where its state is not known.
    """

    def __init__(self, connection: Connection, ticket: Ticket, began: float) -> None:
        self.connection = connection
        self.ticket = ticket
        self.began = began
        self.is_broken = False


class _Idle:
    def __init__(self, connection: Connection, epoch: int) -> None:
        self.connection = connection
        self.since = trio.current_time()
        self.epoch = epoch


class SlotPool:
    """Pool the connections of one slot and queue the work for them.

    :param limit: how many connections the slot allows in all.
    """

    def __init__(self, slot: Slot, limit: int, metrics: Metrics) -> None:
        self.slot = slot
        self.limit = limit
        self.queue = WorkQueue(limit)
        self.history = WorkHistory()
        self.n_open = 0
        self._metrics = metrics
        self._idle: list[_Idle] = []
        self._epoch = 0
        self._grown_at = 0.0

    async def acquire(
        self, service: ServiceId, weight: int, shape: str, deadline: float
    ) -> Lease:
        """Wait for a turn and return a connection.

        :raises RequestFailure: where no connection can be had in time.
        """
        lane = self.history.find_lane(shape)
        cost_s = self.history.expect_s(shape)
        ticket = Ticket(service, weight, lane, cost_s, deadline)
        try:
            self.queue.admit(ticket)
        except RequestFailure:
            self._metrics.count("home.refused")
            raise
        try:
            if not ticket.granted.is_set():
                with trio.move_on_at(deadline):
                    await ticket.granted.wait()
            if not ticket.holds_place:
                self._metrics.count("home.expired")
                text = "no connection came free before the deadline"
                raise RequestFailure(ErrorKind.OVERLOADED, text)
            connection = await self._find_connection(deadline)
        except BaseException:
            self.queue.release(ticket)
            raise
        return Lease(connection, ticket, trio.current_time())

    async def release(self, lease: Lease, shape: str = "") -> None:
        """Take a connection back; a broken one is closed."""
        if shape:
            self.history.record(shape, trio.current_time() - lease.began)
        if lease.is_broken:
            self.suspect_idle()
            await self._close(lease.connection)
        else:
            self._idle.append(_Idle(lease.connection, self._epoch))
        self.queue.release(lease.ticket)

    def suspect_idle(self) -> None:
        """Check every idle connection before its next use.

        One connection that went silent makes the others suspect.
        """
        self._epoch += 1

    async def _find_connection(self, deadline: float) -> Connection:
        while self._idle:
            idle = self._idle.pop()
            if await self._is_live(idle):
                return idle.connection
            self._metrics.count("home.silent_connection")
            await self._close(idle.connection)
        return await self._open(deadline)

    async def _is_live(self, idle: _Idle) -> bool:
        rested_s = trio.current_time() - idle.since
        if idle.epoch == self._epoch and rested_s < CHECK_IDLE_AFTER_S:
            return True
        with trio.move_on_after(CHECK_TIMEOUT_S) as scope:
            try:
                await idle.connection.rollback()
            except Exception:
                return False
        return not scope.cancelled_caught

    async def _open(self, deadline: float) -> Connection:
        n_refused = 0
        with trio.move_on_at(deadline):
            while True:
                self.n_open += 1
                try:
                    connection = await self.slot.connect()
                except BaseException as error:
                    self.n_open -= 1
                    if not isinstance(error, ConnectionRefused):
                        self._raise_unreachable(error)
                    n_refused += 1
                    self._metrics.count("home.connection_refused")
                    self._shrink(n_refused)
                    await trio.sleep(REFUSED_PAUSE_S)
                    continue
                self._metrics.count("home.connection_opened")
                self._grow()
                return connection
        text = "the slot has no connection to spare"
        raise RequestFailure(ErrorKind.OVERLOADED, text)

    @staticmethod
    def _raise_unreachable(error: BaseException) -> None:
        if isinstance(error, SlotUnreachable):
            raise RequestFailure(ErrorKind.NOT_RUN, str(error)) from error
        raise error

    def _shrink(self, n_refused: int) -> None:
        if n_refused >= N_REFUSALS_BEFORE_SHRINK and self.queue.n_places > 1:
            self.queue.resize(max(1, self.n_open))
            self._grown_at = trio.current_time()

    def _grow(self) -> None:
        now = trio.current_time()
        if self.queue.n_places < self.limit and now - self._grown_at > GROW_INTERVAL_S:
            self._grown_at = now
            self.queue.resize(min(self.limit, 2 * self.queue.n_places))

    async def tend(self, is_mine: bool) -> None:
        """Close connections that have rested for long.

        :param is_mine: whether the slot is placed on this instance; where it is not,
            connections are given up soon.
        """
        now = trio.current_time()
        keep_s = IDLE_CLOSE_S if is_mine else FOREIGN_IDLE_CLOSE_S
        if is_mine:
            self._grow()
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
