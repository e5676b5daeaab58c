"""A database slot on in-memory sqlite3 with a statement log and replicas."""

from __future__ import annotations

__all__ = ["LogEntry", "LogSource", "SlotEngine", "SlotSession", "SlotShape"]

import sqlite3
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
import trio

from ..kernel.ids import Position, SlotId, Term
from ..platform.slot import (
    AnswerLost,
    BatchAnswer,
    ConnectionRefused,
    NotPrimary,
    OrderRefused,
    ResultSet,
    SlotRole,
    SlotStatus,
    SlotUnreachable,
    Statement,
    StatementRejected,
)
from .faults import Faults

REPLICATION_WAIT_S = 1.0
REPLICATION_RETRY_S = 0.05
TRANSACTION_IDLE_S = 2.0
IDLE_CHECK_S = 0.5
N_ENTRIES_A_FETCH = 500


class SlotShape(msgspec.Struct, frozen=True):
    """Describe a slot stand-in.

    :param connection_limit: how many counted connections it takes.
    :param connect_cost_s: seconds that a new connection costs.
    :param statement_cost_s: seconds of work of a statement.
    :param work_s: seconds of work of statements that contain a text.
    :param lag_s: seconds between receiving and applying a log entry.
    """

    slot_id: SlotId
    schema: tuple[str, ...] = ()
    connection_limit: int = 16
    connect_cost_s: float = 0.012
    statement_cost_s: float = 0.0
    work_s: dict[str, float] = {}
    lag_s: float = 0.0


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one committed transaction; an entry without statements starts a term."""

    term: Term
    statements: tuple[Statement, ...] = ()


class LogBatch(msgspec.Struct, frozen=True):
    """Hold log entries for a replica, or tell it that its log has diverged."""

    entries: tuple[LogEntry, ...] = ()
    diverged: bool = False


class LogSource(Protocol):
    """Give log entries to a replica."""

    async def fetch_log(
        self, after: Position, after_term: Term, wait_s: float
    ) -> LogBatch:
        """Return the entries after a position."""


OpenSource = Callable[[SlotId, str], LogSource]


class SlotEngine:
    """Hold the database, the log and the role of one slot.

    :param open_source: opens the log of another slot by id and address.
    """

    def __init__(self, shape: SlotShape, open_source: OpenSource) -> None:
        self.shape = shape
        self.faults = Faults()
        self.role = SlotRole.REPLICA
        self.ordered_term = Term(0)
        self.following: SlotId | None = None
        self.leaving = False
        self.lag_s = shape.lag_s
        self.log: list[LogEntry] = []
        self.n_applied = 0
        self.n_connections = 0
        self.n_connections_peak = 0
        self.n_statements = 0
        self.gate = trio.Semaphore(1)
        self._arrivals: list[float] = []
        self._open_source = open_source
        self._sessions: set[SlotSession] = set()
        self._source: LogSource | None = None
        self._follow_scope = trio.CancelScope()
        self._changed = trio.Event()
        self.database = self._make_database()

    def _make_database(self) -> sqlite3.Connection:
        database = sqlite3.connect(":memory:", isolation_level=None)
        for statement in self.shape.schema:
            database.execute(statement)
        return database

    @property
    def position(self) -> Position:
        """The position of the last log entry received."""
        return Position(len(self.log))

    @property
    def term(self) -> Term:
        """The term of the last log entry received."""
        return self.log[-1].term if self.log else Term(0)

    @property
    def applied_term(self) -> Term:
        """The term of the last log entry applied."""
        return self.log[self.n_applied - 1].term if self.n_applied else Term(0)

    def read_status(self) -> SlotStatus:
        """Return the slot's state."""
        return SlotStatus(
            self.role,
            self.term,
            self.position,
            self.ordered_term,
            self.following,
            self.leaving,
        )

    async def wait_status(self, position: Position, wait_s: float) -> SlotStatus:
        """Return the state once a position is received or the wait is over."""
        with trio.move_on_after(wait_s):
            while self.position < position:
                await self._changed.wait()
        return self.read_status()

    def notify(self) -> None:
        """Wake everyone who waits for a change."""
        self._changed.set()
        self._changed = trio.Event()

    def promote(self, term: Term) -> SlotStatus:
        """Lead a term: apply the whole log and start the term in it."""
        if term <= self.ordered_term:
            raise OrderRefused(f"term {term} is not above {self.ordered_term}")
        self._abort_transactions()
        self._follow_scope.cancel()
        self._source = None
        self.ordered_term = term
        self.role = SlotRole.PRIMARY
        self.following = None
        while self.n_applied < len(self.log):
            self._apply_next()
        self.append(LogEntry(term))
        return self.read_status()

    def follow(self, primary: SlotId, address: str, term: Term) -> None:
        """Replicate from a primary."""
        if term < self.ordered_term:
            raise OrderRefused(f"term {term} is below {self.ordered_term}")
        if term == self.ordered_term and self.role is SlotRole.PRIMARY:
            raise OrderRefused(f"this slot leads term {term}")
        self._abort_transactions()
        self.ordered_term = term
        self.role = SlotRole.REPLICA
        self.following = primary
        self._source = self._open_source(primary, address)
        self._follow_scope.cancel()
        self.notify()

    def _abort_transactions(self) -> None:
        for session in self._sessions:
            session.rollback()

    def append(self, entry: LogEntry) -> None:
        """Add an entry of this primary, already applied."""
        self.log.append(entry)
        self._arrivals.append(trio.current_time())
        self.n_applied = len(self.log)
        self.notify()

    async def run(self) -> None:
        """Replicate for as long as the slot lives."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_applying)
            nursery.start_soon(self._run_idle_checks)
            while True:
                with trio.CancelScope() as scope:
                    self._follow_scope = scope
                    await self._replicate()

    async def _replicate(self) -> None:
        if self._source is None:
            await self._changed.wait()
            return
        source = self._source
        if self.faults.cut_replication or self.faults.cut:
            await trio.sleep(REPLICATION_RETRY_S)
            return
        try:
            batch = await source.fetch_log(self.position, self.term, REPLICATION_WAIT_S)
        except SlotUnreachable:
            await trio.sleep(REPLICATION_RETRY_S)
            return
        if self._source is not source or self.faults.cut_replication:
            return
        if batch.diverged:
            self._reset()
        for entry in batch.entries:
            self.log.append(entry)
            self._arrivals.append(trio.current_time())
        if batch.entries:
            self.notify()

    def _reset(self) -> None:
        self.log.clear()
        self._arrivals.clear()
        self.n_applied = 0
        self.database = self._make_database()
        self.notify()

    async def _run_idle_checks(self) -> None:
        while True:
            await trio.sleep(IDLE_CHECK_S)
            for session in list(self._sessions):
                session.end_idle()

    async def _run_applying(self) -> None:
        while True:
            if self.n_applied >= len(self.log):
                await self._changed.wait()
                continue
            due = self._arrivals[self.n_applied] + self.lag_s
            if trio.current_time() < due:
                with trio.move_on_at(due):
                    await self._changed.wait()
                continue
            async with self.gate:
                while self._is_due():
                    self._apply_next()

    def _is_due(self) -> bool:
        if self.role is SlotRole.PRIMARY or self.n_applied >= len(self.log):
            return False
        return self._arrivals[self.n_applied] + self.lag_s <= trio.current_time()

    def _apply_next(self) -> None:
        entry = self.log[self.n_applied]
        self.database.execute("BEGIN")
        for statement in entry.statements:
            self.database.execute(statement.text, statement.parameters)
        self.database.execute("COMMIT")
        self.n_applied += 1

    async def fetch_log(
        self, after: Position, after_term: Term, wait_s: float
    ) -> LogBatch:
        """Return the entries after a position, waiting for the first.

        :raises SlotUnreachable: where this slot is cut off.
        """
        if self.faults.cut_replication or self.faults.cut:
            raise SlotUnreachable(f"{self.shape.slot_id} is cut off")
        known = self.log[after - 1].term if 0 < after <= len(self.log) else Term(0)
        if known != after_term or after > len(self.log):
            return LogBatch(tuple(self.log[:N_ENTRIES_A_FETCH]), diverged=True)
        with trio.move_on_after(wait_s):
            while len(self.log) == after:
                await self._changed.wait()
        if self.faults.cut_replication or self.faults.cut:
            raise SlotUnreachable(f"{self.shape.slot_id} is cut off")
        entries = tuple(self.log[after : after + N_ENTRIES_A_FETCH])
        return LogBatch(entries)

    async def open_session(self) -> SlotSession:
        """Open a counted connection, at its cost."""
        if self.n_connections >= self.shape.connection_limit:
            raise ConnectionRefused(f"{self.shape.slot_id} is at its limit")
        self.n_connections += 1
        self.n_connections_peak = max(self.n_connections_peak, self.n_connections)
        try:
            await trio.sleep(self.shape.connect_cost_s)
        except BaseException:
            self.n_connections -= 1
            raise
        session = SlotSession(self)
        self._sessions.add(session)
        return session

    def close_session(self, session: SlotSession) -> None:
        """Take a counted connection back."""
        self._sessions.discard(session)
        self.n_connections -= 1

    def find_work_s(self, text: str) -> float:
        """Return the seconds of work that a statement stands for."""
        for fragment, work_s in self.shape.work_s.items():
            if fragment in text:
                return work_s
        return self.shape.statement_cost_s


class SlotSession:
    """One counted connection; an open transaction holds the slot's gate."""

    def __init__(self, engine: SlotEngine) -> None:
        self.engine = engine
        self._written: list[Statement] | None = None
        self._last_used = 0.0
        self._database: sqlite3.Connection | None = None
        self._term = Term(0)
        self._open = True

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._written is not None

    async def execute(
        self, statements: Sequence[Statement], begin: bool, commit: bool
    ) -> BatchAnswer:
        """Run a batch; a begin inside a transaction changes nothing, as is usual."""
        self._last_used = float("inf")
        work_s = sum(self.engine.find_work_s(item.text) for item in statements)
        if work_s:
            await trio.sleep(work_s)
        if not self._open:
            raise AnswerLost("the connection is closed")
        if not begin and not self.in_transaction:
            self.close()
            raise AnswerLost("no transaction is open")
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
        return BatchAnswer(results, engine.applied_term, Position(engine.n_applied))

    async def _begin(self) -> None:
        await self.engine.gate.acquire()
        if not self._open:
            self.engine.gate.release()
            raise AnswerLost("the connection is closed")
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
        """Undo the open transaction."""
        if self._database is not None and self._database.in_transaction:
            self._database.execute("ROLLBACK")
        if self.in_transaction:
            self._finish()

    def _finish(self) -> None:
        assert self._database is not None
        self._database.execute("PRAGMA query_only = 0")
        self._written = None
        self._database = None
        self.engine.gate.release()

    def end_idle(self) -> None:
        """End a connection whose transaction was left idle for too long."""
        idle_s = trio.current_time() - self._last_used
        if self.in_transaction and idle_s > TRANSACTION_IDLE_S:
            self.close()

    def close(self) -> None:
        """Give the connection back."""
        if self._open:
            self._open = False
            self.rollback()
            self.engine.close_session(self)
