"""The state of one in-memory database of a replica set."""

from __future__ import annotations

__all__ = ["LOG_START", "Database", "Entry", "StatementRun"]

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..accounts import NO_ACCOUNT
from ..kernel.ids import AccountId, Position, RequestId, Term, UpstreamId
from ..proxy.positions import LogPosition
from ..proxy.statements import Demote, Pause, Resume
from ..proxy.upstream import Upstream, UpstreamRole

if TYPE_CHECKING:
    from .replica_session import ReplicaSession

# The position of an empty log.
LOG_START = LogPosition(Term(1), Position(0))


@dataclass(frozen=True)
class Entry:
    """One committed transaction in the log.

    :param writes: item, value and request id of each write.
    """

    position: LogPosition
    writes: tuple[tuple[str, str, RequestId], ...]


@dataclass(frozen=True)
class StatementRun:
    """One execution of a client's statement at an upstream.

    :param connection: number of the connection, unique within the replica set.
    :param values: the connection's session values at the time of execution.
    :param shape: the shape of the prepared statement, empty for a plain one.
    :param applied: the last log position that the upstream had applied.
    :param at: the time of execution, in seconds of the event loop's clock.
    :param account: the account under whose name the connection was opened.
    :param caller: the name under which the connection was opened.
    """

    upstream: UpstreamId
    request_id: RequestId
    connection: int
    in_transaction: bool
    values: dict[str, str]
    shape: str
    applied: LogPosition
    at: float
    account: AccountId = NO_ACCOUNT
    caller: str = ""


@dataclass
class Database:
    """One database with its log, its open connections and the injected faults.

    :param held_term: the highest term for which the database was paused, demoted or
        promoted.
    :param n_applied: how many entries of the log are applied.
    :param lag_s: seconds between receiving and applying entries.
    :param is_silent: whether a stopped database does not even refuse connections.
    :param is_replication_cut: whether no log entries arrive from the primary.
    :param failing_share: the share of statements that fail after they are recorded as
        run.
    :param paused_term: the term for which replication is paused, or None.
    """

    upstream: Upstream
    role: UpstreamRole
    term: Term = Term(1)
    held_term: Term = Term(1)
    log: list[Entry] = field(default_factory=list)
    n_applied: int = 0
    lag_s: float = 0.02
    is_alive: bool = True
    is_silent: bool = False
    is_replication_cut: bool = False
    failing_share: float = 0.0
    paused_term: Term | None = None
    connections: set[ReplicaSession] = field(default_factory=set)

    @property
    def received(self) -> LogPosition:
        """The position of the last entry received; the start of the log if none."""
        return self.log[-1].position if self.log else LOG_START

    @property
    def applied(self) -> LogPosition:
        """The position of the last entry applied; the start of the log if none."""
        return self.log[self.n_applied - 1].position if self.n_applied else LOG_START

    @property
    def incarnation(self) -> tuple[UpstreamId, int]:
        """The id and the start of the process, in Unix milliseconds."""
        return self.upstream.upstream_id, self.upstream.born_ms

    def execute_control(self, statement: Pause | Resume | Demote) -> bool:
        """Execute a control statement.

        :returns: False if it is refused: a pause at a primary, or with a term that is
            not above the newest one known here.
        """
        match statement:
            case Pause(term):
                is_primary = self.role is UpstreamRole.PRIMARY
                if is_primary or term <= self.held_term:
                    return False
                self.held_term = self.paused_term = term
            case Resume():
                self.paused_term = None
            case Demote(term):
                if self.role is UpstreamRole.PRIMARY and term > self.term:
                    self.role = UpstreamRole.REPLICA
                self.held_term = max(self.held_term, term)
        return True

    def has_applied(self, position: LogPosition) -> bool:
        """Return whether the entry at a position is in the log and applied."""
        if position == LOG_START:
            return True
        held = self.log[: self.n_applied]
        return any(entry.position == position for entry in held)
