"""Sessions of the simulated slot, with their transactions."""

from __future__ import annotations

__all__ = ["SlotSession"]

import sqlite3
from collections.abc import Sequence
from typing import TYPE_CHECKING

import trio

from ..drivers.slot import (
    BatchResult,
    BatchResultLost,
    NotPrimary,
    ResultSet,
    SlotRole,
    Statement,
    StatementRejected,
)
from ..kernel.ids import Position, Term
from .log import LogEntry

if TYPE_CHECKING:
    from .slot import SlotEngine

TRANSACTION_IDLE_S = 2.0


class SlotSession:
    """A session on one connection; an open transaction holds the database lock."""

    def __init__(self, engine: SlotEngine) -> None:
        self.engine = engine
        self._written: list[Statement] | None = None
        self._last_used = 0.0
        self._database: sqlite3.Connection | None = None
        self._term = Term(0)
        self._is_open = True

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._written is not None

    async def execute(
        self, statements: Sequence[Statement], begin: bool, commit: bool
    ) -> BatchResult:
        """Run a batch; `begin` inside an open transaction has no effect.

        :raises BatchResultLost: if the connection is closed or no transaction is open.
        :raises NotPrimary: if the batch writes to a replica, or the role has changed.
        :raises StatementRejected: if a statement fails.
        """
        self._last_used = float("inf")
        work_s = sum(self.engine.find_work_s(item.text) for item in statements)
        if work_s:
            await trio.sleep(work_s)
        if not self._is_open:
            raise BatchResultLost("the connection is closed")
        if not begin and not self.in_transaction:
            self.close()
            raise BatchResultLost("no transaction is open; begin one")
        if not self.in_transaction:
            await self._begin()
        try:
            results = tuple(self._run(statement) for statement in statements)
        except sqlite3.Error as error:
            self.rollback()
            if "readonly" in str(error):
                raise NotPrimary("this slot is a replica") from error
            raise StatementRejected(str(error)) from error
        if commit:
            self._commit()
        self._last_used = trio.current_time()
        engine = self.engine
        return BatchResult(results, engine.applied_term, Position(engine.n_applied))

    async def _begin(self) -> None:
        await self.engine.database_lock.acquire()
        if not self._is_open:
            self.engine.database_lock.release()
            raise BatchResultLost("the connection is closed")
        self._written = []
        self._database = self.engine.database
        self._term = self.engine.ordered_term
        is_primary = self.engine.role is SlotRole.PRIMARY
        self._database.execute(f"PRAGMA query_only = {int(not is_primary)}")
        self._database.execute("BEGIN")

    def _run(self, statement: Statement) -> ResultSet:
        self._check_term()
        self.engine.n_statements += 1
        assert self._database is not None and self._written is not None
        cursor = self._database.execute(statement.text, statement.parameters)
        rows = tuple(cursor.fetchall())
        columns = tuple(column[0] for column in cursor.description or ())
        if not statement.text.lstrip().upper().startswith("SELECT"):
            self._written.append(statement)
        return ResultSet(columns, rows, max(cursor.rowcount, 0))

    def _check_term(self) -> None:
        if self._term != self.engine.ordered_term:
            raise sqlite3.OperationalError("readonly: the role has changed")

    def _commit(self) -> None:
        try:
            self._check_term()
        except sqlite3.Error as error:
            self.rollback()
            raise NotPrimary("the role has changed") from error
        assert self._database is not None and self._written is not None
        self._database.execute("COMMIT")
        if self._written:
            entry = LogEntry(self.engine.ordered_term, tuple(self._written))
            self.engine.append(entry)
        self._finish()

    def rollback(self) -> None:
        """Roll back the open transaction."""
        if self._database is not None and self._database.in_transaction:
            self._database.execute("ROLLBACK")
        if self.in_transaction:
            self._finish()

    def _finish(self) -> None:
        assert self._database is not None
        self._database.execute("PRAGMA query_only = 0")
        self._written = None
        self._database = None
        self.engine.database_lock.release()

    def close_if_idle(self) -> None:
        """Close the session if its open transaction has been idle for too long."""
        idle_s = trio.current_time() - self._last_used
        if self.in_transaction and idle_s > TRANSACTION_IDLE_S:
            self.close()

    def close(self) -> None:
        """Roll back the open transaction and release the connection."""
        if self._is_open:
            self._is_open = False
            self.rollback()
            self.engine.close_session(self)
