"""A database slot on in-memory SQLite with a replicated statement log."""

from __future__ import annotations

__all__ = ["SlotEngine", "SlotSettings"]

import sqlite3

import msgspec
import trio

from ..drivers.slot import (
    ConnectionRefused,
    OrderRefused,
    SlotRole,
    SlotStatus,
    SlotUnreachable,
)
from ..kernel.ids import Position, SlotId, Term
from .faults import Faults
from .log import LogBatch, LogEntry, LogSource, OpenSource
from .session import SlotSession

REPLICATION_WAIT_S = 1.0
REPLICATION_RETRY_S = 0.05
IDLE_CHECK_S = 0.5
MAX_ENTRIES_PER_FETCH = 500


class SlotSettings(msgspec.Struct, frozen=True):
    """Settings of a simulated slot.

    :param schema: statements that create an empty database.
    :param connection_limit: maximum number of open connections.
    :param connect_cost_s: seconds that opening a connection takes.
    :param statement_cost_s: seconds that a statement takes.
    :param work_s: seconds that a statement takes, by a text that it contains.
    :param lag_s: seconds between receiving and applying a log entry.
    """

    slot_id: SlotId
    schema: tuple[str, ...] = ()
    connection_limit: int = 16
    connect_cost_s: float = 0.012
    statement_cost_s: float = 0.0
    work_s: dict[str, float] = {}
    lag_s: float = 0.0


class SlotEngine:
    """A slot with its database, log and role.

    :param open_source: returns a source for the log of a slot by its id and address.
    """

    def __init__(self, settings: SlotSettings, open_source: OpenSource) -> None:
        self.settings = settings
        self.faults = Faults()
        self.role = SlotRole.REPLICA
        self.ordered_term = Term(0)
        self.following: SlotId | None = None
        self.leaving = False
        self.lag_s = settings.lag_s
        self.log: list[LogEntry] = []
        self.n_applied = 0
        self.n_connections = 0
        self.n_connections_peak = 0
        self.n_statements = 0
        self.database_lock = trio.Semaphore(1)
        self._received_at: list[float] = []
        self._open_source = open_source
        self._sessions: set[SlotSession] = set()
        self._source: LogSource | None = None
        self._follow_scope = trio.CancelScope()
        self._changed = trio.Event()
        self.database = self._make_database()

    def _make_database(self) -> sqlite3.Connection:
        database = sqlite3.connect(":memory:", isolation_level=None)
        for statement in self.settings.schema:
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
        """Return the state of the slot."""
        return SlotStatus(
            self.role,
            self.term,
            self.position,
            self.ordered_term,
            self.following,
            self.leaving,
        )

    async def wait_status(self, position: Position, wait_s: float) -> SlotStatus:
        """Return the state once a position is received or after `wait_s` seconds."""
        with trio.move_on_after(wait_s):
            while self.position < position:
                await self._changed.wait()
        return self.read_status()

    def notify(self) -> None:
        """Wake all tasks that wait for a change of state."""
        self._changed.set()
        self._changed = trio.Event()

    def promote(self, term: Term) -> SlotStatus:
        """Become primary: apply the whole log and append an entry that starts the term.

        :raises OrderRefused: if the term is not newer than the last ordered one.
        """
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
        """Become a replica of a primary.

        :raises OrderRefused: if the term is older than the last ordered one, or if this
            slot is its primary.
        """
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
        """Append an entry that this slot, as primary, has already applied."""
        self.log.append(entry)
        self._received_at.append(trio.current_time())
        self.n_applied = len(self.log)
        self.notify()

    async def run(self) -> None:
        """Replicate, apply log entries and close idle sessions until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._apply_entries)
            nursery.start_soon(self._close_idle_sessions)
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
            self._received_at.append(trio.current_time())
        if batch.entries:
            self.notify()

    def _reset(self) -> None:
        self.log.clear()
        self._received_at.clear()
        self.n_applied = 0
        self.database = self._make_database()
        self.notify()

    async def _close_idle_sessions(self) -> None:
        while True:
            await trio.sleep(IDLE_CHECK_S)
            for session in list(self._sessions):
                session.close_if_idle()

    async def _apply_entries(self) -> None:
        while True:
            if self.n_applied >= len(self.log):
                await self._changed.wait()
                continue
            due = self._received_at[self.n_applied] + self.lag_s
            if trio.current_time() < due:
                with trio.move_on_at(due):
                    await self._changed.wait()
                continue
            async with self.database_lock:
                while self._is_due():
                    self._apply_next()

    def _is_due(self) -> bool:
        if self.role is SlotRole.PRIMARY or self.n_applied >= len(self.log):
            return False
        return self._received_at[self.n_applied] + self.lag_s <= trio.current_time()

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
        """Return the entries after a position, waiting for the first one.

        :param after_term: the term of the caller's last entry; if this log has another
            one there, the batch is marked as diverged and starts at the first entry.
        :param wait_s: longest wait, in seconds.
        :raises SlotUnreachable: if this slot is cut off.
        """
        if self.faults.cut_replication or self.faults.cut:
            raise SlotUnreachable(f"{self.settings.slot_id} is cut off")
        known = self.log[after - 1].term if 0 < after <= len(self.log) else Term(0)
        if known != after_term or after > len(self.log):
            return LogBatch(tuple(self.log[:MAX_ENTRIES_PER_FETCH]), diverged=True)
        with trio.move_on_after(wait_s):
            while len(self.log) == after:
                await self._changed.wait()
        if self.faults.cut_replication or self.faults.cut:
            raise SlotUnreachable(f"{self.settings.slot_id} is cut off")
        entries = tuple(self.log[after : after + MAX_ENTRIES_PER_FETCH])
        return LogBatch(entries)

    async def open_session(self) -> SlotSession:
        """Open a connection, which takes `connect_cost_s` seconds.

        :raises ConnectionRefused: if the connection limit is reached.
        """
        if self.n_connections >= self.settings.connection_limit:
            raise ConnectionRefused(f"{self.settings.slot_id} is at its limit")
        self.n_connections += 1
        self.n_connections_peak = max(self.n_connections_peak, self.n_connections)
        try:
            await trio.sleep(self.settings.connect_cost_s)
        except BaseException:
            self.n_connections -= 1
            raise
        session = SlotSession(self)
        self._sessions.add(session)
        return session

    def close_session(self, session: SlotSession) -> None:
        """Release the connection of a session."""
        self._sessions.discard(session)
        self.n_connections -= 1

    def find_work_s(self, text: str) -> float:
        """Return how many seconds a statement takes."""
        for fragment, work_s in self.settings.work_s.items():
            if fragment in text:
                return work_s
        return self.settings.statement_cost_s
