"""A session of the in-memory replicated database."""

from __future__ import annotations

__all__ = ["ReplicaSession"]

import random
from collections.abc import Sequence
from typing import TYPE_CHECKING

import trio

from ..accounts import NO_ACCOUNT
from ..kernel.errors import ErrorKind
from ..kernel.ids import AccountId, RequestId
from ..proxy.statements import (
    Access,
    Begin,
    Commit,
    Deallocate,
    Demote,
    Execute,
    Pause,
    Prepare,
    Read,
    ReadStatus,
    Request,
    Reset,
    Resume,
    Rollback,
    SetValue,
    Write,
)
from ..proxy.upstream import (
    ConnectionLost,
    Reply,
    TransactionState,
    UpstreamConnection,
    UpstreamError,
    UpstreamRole,
    UpstreamStatus,
)
from .database import Database, StatementRun

if TYPE_CHECKING:
    from .replicas import ReplicaSet


class ReplicaSession(UpstreamConnection):
    """A session at one database of a replica set.

    :param number: number of the connection, unique within the replica set.
    :param caller: name of the endpoint that opened the connection.
    :param account: the account under whose name it opened the connection.
    """

    def __init__(
        self,
        replicas: ReplicaSet,
        database: Database,
        number: int,
        caller: str,
        account: AccountId = NO_ACCOUNT,
    ) -> None:
        self.caller = caller
        self.account = account
        self._replicas = replicas
        self._database = database
        self._number = number
        self._requests: list[Request] = []
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepare] = {}
        self._state = TransactionState.IDLE
        self._is_read_write = False
        self._writes: list[tuple[str, str, RequestId]] = []
        self._has_ended = False
        self._ended = trio.Event()
        self.is_silent = False
        database.connections.add(self)

    def end(self) -> None:
        """Break the connection for both ends."""
        self._has_ended = True
        self._ended.set()
        self._database.connections.discard(self)

    async def send(self, requests: Sequence[Request]) -> None:
        """Send requests; see :class:`UpstreamConnection`."""
        await trio.lowlevel.checkpoint()
        if self._has_ended:
            raise ConnectionLost("the connection has ended")
        self._requests.extend(requests)

    async def receive(self) -> Reply:
        """Run the oldest pending request and return its reply.

        :raises ConnectionLost: if the connection ends before the reply.
        """
        if self._has_ended:
            raise ConnectionLost("the connection has ended")
        request = self._requests.pop(0)
        if self._is_unresponsive():
            await self._ended.wait()
            raise ConnectionLost("the connection has ended")
        await trio.sleep(self._replicas.network_delay_s * 2)
        if self._is_unresponsive():
            await self._ended.wait()
        if self._has_ended:
            raise ConnectionLost("the connection has ended")
        if self._replicas.is_late(self._database, request.statement):
            self.is_silent = True
            await self._ended.wait()
            raise ConnectionLost("the connection has ended")
        reply = await self._run(request)
        if self._has_ended:
            raise ConnectionLost("the connection ended before the reply")
        if request.request_id and self._replicas.n_answers_to_lose:
            self._replicas.n_answers_to_lose -= 1
            self.end()
            raise ConnectionLost("the reply was lost")
        return reply

    def _is_unresponsive(self) -> bool:
        return self.is_silent or not self._database.is_alive

    async def _run(self, request: Request) -> Reply:
        statement = request.statement
        if request.since is not None and not self._database.has_applied(request.since):
            return self._refuse(ErrorKind.NOT_CAUGHT_UP, "the position is not applied")
        if isinstance(statement, Reset | SetValue | Prepare):
            if self._replicas.setup_errors:
                return self._refuse(self._replicas.setup_errors.pop(0), "set-up failed")
        match statement:
            case Reset():
                self._values = {}
                self._prepared = {}
            case SetValue(name, value):
                self._values[name] = value
            case Prepare(name):
                self._prepared[name] = statement
            case Deallocate(name):
                self._prepared.pop(name, None)
            case Begin(read_only):
                return self._begin(read_only)
            case Rollback():
                self._state = TransactionState.IDLE
                self._writes = []
            case ReadStatus():
                return self._report_status()
            case Pause() | Demote():
                if self._replicas.execute_control(self._database, statement):
                    return self._report_status()
                return self._refuse(
                    ErrorKind.BAD_REQUEST, "not a replica, or an old term"
                )
            case Resume():
                self._replicas.execute_control(self._database, statement)
            case Commit():
                return await self._commit(request)
            case _:
                return await self._run_statement(request)
        return self._succeed()

    def _begin(self, read_only: bool) -> Reply:
        if not read_only and self._database.role is not UpstreamRole.PRIMARY:
            return self._refuse(ErrorKind.READ_ONLY, "not the primary")
        self._state = TransactionState.OPEN
        self._is_read_write = not read_only
        self._writes = []
        return self._succeed()

    async def _run_statement(self, request: Request) -> Reply:
        statement = request.statement
        shape = ""
        if isinstance(statement, Execute):
            prepared = self._prepared.get(statement.name)
            if prepared is None:
                return self._refuse(
                    ErrorKind.UNKNOWN_STATEMENT,
                    "no statement is prepared under this name",
                )
            shape = prepared.shape
            writes = prepared.access is Access.WRITE
        else:
            writes = isinstance(statement, Write)
        is_open = self._state is TransactionState.OPEN
        is_primary = self._database.role is UpstreamRole.PRIMARY
        if (writes or (is_open and self._is_read_write)) and not is_primary:
            return self._refuse(ErrorKind.READ_ONLY, "not the primary")
        self._record_run(request, shape, is_open)
        if random.random() < self._database.failing_share:
            return self._refuse(ErrorKind.STATEMENT_FAILED, "failed")
        assert isinstance(statement, Read | Write | Execute)
        if not writes:
            return self._succeed(request, (self._read(statement.arguments),))
        item, _, value = statement.arguments.partition(" ")
        write = (item, value, request.request_id)
        if is_open:
            self._writes.append(write)
            return self._succeed(request)
        return await self._acknowledge(request, (write,))

    def _read(self, item: str) -> str:
        item = item.split(" ")[0]
        for name, value, _ in reversed(self._writes):
            if name == item:
                return value
        for entry in reversed(self._database.log[: self._database.n_applied]):
            for name, value, _ in reversed(entry.writes):
                if name == item:
                    return value
        return ""

    async def _commit(self, request: Request) -> Reply:
        writes, self._writes = tuple(self._writes), []
        was_open = self._state is TransactionState.OPEN
        self._state = TransactionState.IDLE
        if not was_open:
            return self._refuse(ErrorKind.BAD_REQUEST, "no transaction")
        self._record_run(request, "", True)
        if not writes:
            return self._succeed(request)
        if self._database.role is not UpstreamRole.PRIMARY:
            return self._refuse(ErrorKind.READ_ONLY, "not the primary")
        return await self._acknowledge(request, writes)

    async def _acknowledge(
        self, request: Request, writes: tuple[tuple[str, str, RequestId], ...]
    ) -> Reply:
        entry = await self._replicas.commit(self._database, writes)
        if self._has_ended or self._is_unresponsive():
            raise ConnectionLost("the database stopped before it replied")
        if self._database.role is not UpstreamRole.PRIMARY:
            raise ConnectionLost("the database was demoted before it replied")
        self._replicas.acknowledged.append((trio.current_time(), entry))
        return self._succeed(request)

    def _report_status(self) -> Reply:
        database = self._database
        status = UpstreamStatus(
            database.role, database.term, database.received, database.held_term
        )
        return Reply((), "-", None, self._state, database.applied, status)

    def _record_run(self, request: Request, shape: str, is_open: bool) -> None:
        self._replicas.runs.append(
            StatementRun(
                upstream=self._database.upstream.upstream_id,
                request_id=request.request_id,
                connection=self._number,
                in_transaction=is_open,
                values=dict(self._values),
                shape=shape,
                applied=self._database.applied,
                at=trio.current_time(),
                account=self.account,
                caller=self.caller,
            )
        )

    def _succeed(
        self, request: Request | None = None, rows: tuple[str, ...] = ()
    ) -> Reply:
        signature = "-"
        if request is not None:
            signature = f"{self._database.upstream.upstream_id}/{request.request_id}"
        position = self._database.applied
        return Reply(rows, signature, None, self._state, position)

    def _refuse(self, kind: ErrorKind, text: str) -> Reply:
        if self._state is TransactionState.OPEN:
            self._state = TransactionState.FAILED
        error = UpstreamError(kind, text)
        return Reply((), "", error, self._state, self._database.applied)

    def is_broken(self) -> bool:
        """Return whether the connection has ended."""
        return self._has_ended

    async def close(self) -> None:
        """Close the connection and roll back its open transaction."""
        self._writes = []
        self._has_ended = True
        self._replicas.notice_close(self)
        await trio.lowlevel.checkpoint()
