"""A replicated database in memory: sessions, positions, terms, promotion, faults."""

from __future__ import annotations

__all__ = ["Entry", "ReplicaSet", "Run"]

from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from ..kernel.errors import ErrorKind
from ..kernel.ids import (
    InstanceId,
    PlaceId,
    Position,
    RequestId,
    ServiceId,
    Term,
    UpstreamId,
)
from ..proxy.positions import LogPosition
from ..proxy.promotions import PromotionRefused, Promotions, PromotionUnanswered
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
    ConnectFailed,
    ConnectFailure,
    ConnectionLost,
    Connector,
    Reply,
    TransactionState,
    Upstream,
    UpstreamConnection,
    UpstreamError,
    UpstreamRole,
    UpstreamStatus,
)

BEFORE_ANY = LogPosition(Term(1), Position(0))


@dataclass(frozen=True)
class Entry:
    """Hold one commit of the log."""

    position: LogPosition
    writes: tuple[tuple[str, str, RequestId], ...]


@dataclass(frozen=True)
class Run:
    """Record that a client's statement was run.

    :param connection: tells connections apart.
    :param values: the connection's session values at that moment.
    :param seen: the commits that the statement's log held.
    """

    upstream: UpstreamId
    request_id: RequestId
    connection: int
    in_transaction: bool
    values: dict[str, str]
    shape: str
    seen: LogPosition
    at: float


@dataclass
class _Database:
    upstream: Upstream
    role: UpstreamRole
    term: Term = Term(1)
    held_term: Term = Term(1)
    log: list[Entry] = field(default_factory=list)
    n_applied: int = 0
    lag_s: float = 0.02
    is_alive: bool = True
    is_silent: bool = False
    is_deaf: bool = False
    paused_term: Term | None = None
    connections: set[_Connection] = field(default_factory=set)

    @property
    def received(self) -> LogPosition:
        return self.log[-1].position if self.log else BEFORE_ANY

    @property
    def applied(self) -> LogPosition:
        return self.log[self.n_applied - 1].position if self.n_applied else BEFORE_ANY

    def holds(self, position: LogPosition) -> bool:
        """Tell whether the applied log contains a position."""
        if position == BEFORE_ANY:
            return True
        held = self.log[: self.n_applied]
        return any(entry.position == position for entry in held)


class ReplicaSet(Connector, Promotions):
    """One service: a primary and its replicas, with faults to be switched on.

    :param n_databases: the first leads.
    :param network_s: one way between databases, seconds.
    """

    def __init__(
        self,
        service: ServiceId,
        n_databases: int = 3,
        n_connections: int = 16,
        network_s: float = 0.002,
        promote_s: float = 0.5,
        n_sync_replicas: int = 1,
    ) -> None:
        self.service = service
        self.n_connections = n_connections
        self.network_s = network_s
        self.promote_s = promote_s
        self.n_sync_replicas = n_sync_replicas
        self.runs: list[Run] = []
        self.acknowledged: list[tuple[float, Entry]] = []
        self.promotions: list[tuple[float, InstanceId, int, UpstreamId]] = []
        self.lost: list[Entry] = []
        self.n_answers_to_lose = 0
        self.n_promotions_to_lose = 0
        self.tokens_seen = 0
        self.databases: dict[UpstreamId, _Database] = {}
        self._nursery: trio.Nursery | None = None
        self._changed = trio.Event()
        self._cuts: set[tuple[str, UpstreamId]] = set()
        self.n_opened = 0
        for number in range(n_databases):
            self._add(number)

    def _add(self, number: int) -> None:
        name = UpstreamId(f"{self.service}-{number}")
        role = UpstreamRole.REPLICA if number else UpstreamRole.PRIMARY
        upstream = Upstream(
            upstream_id=name,
            service=self.service,
            address=f"10.0.0.{number + 1}:5000",
            place=PlaceId(f"place-{number}"),
            n_slots=2,
            born_ms=1,
            claimed_role=role,
        )
        self.databases[name] = _Database(upstream, role)

    def start(self, nursery: trio.Nursery) -> None:
        """Take the nursery in which logs are shipped."""
        self._nursery = nursery

    def list_upstreams(self) -> tuple[Upstream, ...]:
        """Return all that are alive, as they would register themselves."""
        return tuple(d.upstream for d in self.databases.values() if d.is_alive)

    def find_leader(self) -> _Database | None:
        """Return the database that leads, dead or alive."""
        leading = [d for d in self.databases.values() if d.role is UpstreamRole.PRIMARY]
        return max(leading, key=lambda d: d.term) if leading else None

    def crash(self, upstream_id: UpstreamId, is_silent: bool = False) -> None:
        """End a database; it keeps its log.

        :param is_silent: its host answers nothing, not even that nothing listens.
        """
        database = self.databases[upstream_id]
        database.is_alive = False
        database.is_silent = is_silent
        database.paused_term = None
        if not is_silent:
            for connection in list(database.connections):
                connection.end()

    def revive(self, upstream_id: UpstreamId, is_empty: bool = False) -> None:
        """Start a database again, with its log or without."""
        database = self.databases[upstream_id]
        for connection in list(database.connections):
            connection.end()
        database.is_alive = True
        database.is_silent = False
        if is_empty:
            database.log = []
            database.n_applied = 0
        self.ship()

    def silence_connections(self, upstream_id: UpstreamId) -> None:
        """Have the open connections answer nothing any more; new ones work."""
        for connection in self.databases[upstream_id].connections:
            connection.is_silent = True

    def cut(self, caller: str, upstream_id: UpstreamId) -> None:
        """Let nothing pass between a caller and a database."""
        self._cuts.add((caller, upstream_id))
        for connection in self.databases[upstream_id].connections:
            if connection.caller == caller:
                connection.is_silent = True

    def heal(self) -> None:
        """Undo all cuts; connections that were cut stay silent."""
        self._cuts.clear()

    async def connect(self, upstream: Upstream) -> UpstreamConnection:
        """Open a connection; see :class:`Connector`."""
        return await self.open(upstream, "")

    async def open(self, upstream: Upstream, caller: str) -> UpstreamConnection:
        """Open a connection for a caller."""
        await trio.sleep(self.network_s * 2)
        if (caller, upstream.upstream_id) in self._cuts:
            await trio.sleep(1.0)
            raise ConnectFailed(ConnectFailure.UNREACHABLE, "cut off")
        database = self.databases.get(upstream.upstream_id)
        if database is None or database.upstream.address != upstream.address:
            raise ConnectFailed(ConnectFailure.WRONG_INSTANCE, "another one is here")
        if not database.is_alive:
            if database.is_silent:
                await trio.sleep(1.0)
                raise ConnectFailed(ConnectFailure.UNREACHABLE, "no answer")
            raise ConnectFailed(ConnectFailure.REFUSED, "nothing listens")
        if len(database.connections) >= self.n_connections:
            raise ConnectFailed(ConnectFailure.TOO_MANY, "too many connections")
        self.n_opened += 1
        return _Connection(self, database, self.n_opened, caller)

    def ship(self) -> None:
        """Send the leader's log to its replicas."""
        leader = self.find_leader()
        if leader is None or self._nursery is None:
            return
        for database in self.databases.values():
            if database is not leader:
                self._nursery.start_soon(self._ship_to, leader, database)

    async def _ship_to(self, leader: _Database, replica: _Database) -> None:
        term = leader.term
        await trio.sleep(self.network_s)
        if replica.is_deaf or not replica.is_alive or not leader.is_alive:
            return
        if replica.paused_term is not None or self.find_leader() is not leader:
            return
        if leader.term != term:
            return
        n_common = _count_common(leader.log, replica.log)
        replica.log = list(leader.log)
        replica.n_applied = min(replica.n_applied, n_common)
        replica.term = leader.term
        n_received = len(replica.log)
        self._changed.set()
        self._changed = trio.Event()
        await trio.sleep(replica.lag_s)
        if len(replica.log) >= n_received and replica.is_alive:
            replica.n_applied = max(replica.n_applied, n_received)

    async def commit(
        self, leader: _Database, writes: tuple[tuple[str, str, RequestId], ...]
    ) -> Entry:
        """Append a commit and return once enough replicas have received it."""
        number = Position(leader.received.number + 1)
        entry = Entry(LogPosition(leader.term, number), writes)
        leader.log.append(entry)
        leader.n_applied = len(leader.log)
        self.ship()
        while self.n_sync_replicas and not self._is_received(leader, entry):
            await self._changed.wait()
        return entry

    def _is_received(self, leader: _Database, entry: Entry) -> bool:
        holders = [
            d
            for d in self.databases.values()
            if d is not leader and any(e is entry for e in d.log)
        ]
        return len(holders) >= self.n_sync_replicas

    async def promote(
        self, service: ServiceId, upstream: UpstreamId, holder: InstanceId, token: int
    ) -> None:
        """Make a database lead; see :class:`Promotions`."""
        self.promotions.append((trio.current_time(), holder, token, upstream))
        if token < self.tokens_seen:
            raise PromotionRefused("an older token")
        self.tokens_seen = token
        database = self.databases[upstream]
        if not database.is_alive:
            raise PromotionRefused("not running")
        assert self._nursery is not None
        if self.find_leader() is not database:
            self._nursery.start_soon(self._lead, database)
        if self.n_promotions_to_lose:
            self.n_promotions_to_lose -= 1
            await trio.sleep(1.0)
            raise PromotionUnanswered("the answer was lost")

    async def _lead(self, database: _Database) -> None:
        await trio.sleep(self.promote_s)
        if not database.is_alive:
            return
        kept = {entry.position for entry in database.log}
        self.lost += [e for _, e in self.acknowledged if e.position not in kept]
        term = Term(max(d.term for d in self.databases.values()) + 1)
        for other in self.databases.values():
            other.role = UpstreamRole.REPLICA
        database.role = UpstreamRole.PRIMARY
        database.term = term
        database.held_term = max(database.held_term, term)
        database.paused_term = None
        database.n_applied = len(database.log)
        self.ship()


def _count_common(one: list[Entry], other: list[Entry]) -> int:
    n_common = 0
    for left, right in zip(one, other, strict=False):
        if left is not right:
            break
        n_common += 1
    return n_common


class _Connection(UpstreamConnection):
    """One session at one database."""

    def __init__(
        self, owner: ReplicaSet, database: _Database, number: int, caller: str
    ) -> None:
        self.caller = caller
        self._owner = owner
        self._database = database
        self._number = number
        self._requests: list[Request] = []
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepare] = {}
        self._state = TransactionState.IDLE
        self._is_plain = False
        self._writes: list[tuple[str, str, RequestId]] = []
        self._has_ended = False
        self._ended = trio.Event()
        self.is_silent = False
        database.connections.add(self)

    def end(self) -> None:
        """Break the connection, as seen from both ends."""
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
        """Run the oldest request and return its reply."""
        if self._has_ended:
            raise ConnectionLost("the connection has ended")
        request = self._requests.pop(0)
        if self._is_unheard():
            await self._ended.wait()
            raise ConnectionLost("the connection has ended")
        await trio.sleep(self._owner.network_s * 2)
        if self._is_unheard():
            await self._ended.wait()
        if self._has_ended:
            raise ConnectionLost("the connection has ended")
        reply = await self._run(request)
        if self._has_ended:
            raise ConnectionLost("the connection ended before the answer")
        if request.request_id and self._owner.n_answers_to_lose:
            self._owner.n_answers_to_lose -= 1
            self.end()
            raise ConnectionLost("the answer was lost")
        return reply

    def _is_unheard(self) -> bool:
        return self.is_silent or not self._database.is_alive

    async def _run(self, request: Request) -> Reply:
        statement = request.statement
        if request.since is not None and not self._database.holds(request.since):
            return self._refuse(ErrorKind.NOT_CAUGHT_UP, "log lacks the position")
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
                return self._report()
            case Pause(term):
                return self._pause(term)
            case Resume():
                self._database.paused_term = None
                self._owner.ship()
            case Demote(term):
                return self._demote(term)
            case Commit():
                return await self._commit(request)
            case _:
                return await self._run_item(request)
        return self._succeed()

    def _begin(self, read_only: bool) -> Reply:
        if not read_only and self._database.role is not UpstreamRole.PRIMARY:
            return self._refuse(ErrorKind.READ_ONLY, "not the primary")
        self._state = TransactionState.OPEN
        self._is_plain = not read_only
        self._writes = []
        return self._succeed()

    async def _run_item(self, request: Request) -> Reply:
        statement = request.statement
        shape = ""
        if isinstance(statement, Execute):
            prepared = self._prepared.get(statement.name)
            if prepared is None:
                return self._refuse(ErrorKind.UNKNOWN_STATEMENT, "no such name")
            shape = prepared.shape
            writes = prepared.access is Access.WRITE
        else:
            writes = isinstance(statement, Write)
        is_open = self._state is TransactionState.OPEN
        leads = self._database.role is UpstreamRole.PRIMARY
        if (writes or (is_open and self._is_plain)) and not leads:
            return self._refuse(ErrorKind.READ_ONLY, "not the primary")
        self._note_run(request, shape, is_open)
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
        self._note_run(request, "", True)
        if not writes:
            return self._succeed(request)
        if self._database.role is not UpstreamRole.PRIMARY:
            return self._refuse(ErrorKind.READ_ONLY, "not the primary")
        return await self._acknowledge(request, writes)

    async def _acknowledge(
        self, request: Request, writes: tuple[tuple[str, str, RequestId], ...]
    ) -> Reply:
        entry = await self._owner.commit(self._database, writes)
        if self._has_ended or self._is_unheard():
            raise ConnectionLost("the database died before it answered")
        if self._database.role is not UpstreamRole.PRIMARY:
            raise ConnectionLost("the database lost its lead before it answered")
        self._owner.acknowledged.append((trio.current_time(), entry))
        return self._succeed(request)

    def _pause(self, term: Term) -> Reply:
        database = self._database
        if database.role is UpstreamRole.PRIMARY or term <= database.held_term:
            return self._refuse(ErrorKind.BAD_REQUEST, "not a replica, or an old term")
        database.held_term = term
        database.paused_term = term
        return self._report()

    def _demote(self, term: Term) -> Reply:
        database = self._database
        if database.role is UpstreamRole.PRIMARY and term > database.term:
            database.role = UpstreamRole.REPLICA
        database.held_term = max(database.held_term, term)
        return self._report()

    def _report(self) -> Reply:
        database = self._database
        status = UpstreamStatus(
            database.role, database.term, database.received, database.held_term
        )
        return Reply((), "-", None, self._state, database.applied, status)

    def _note_run(self, request: Request, shape: str, is_open: bool) -> None:
        self._owner.runs.append(
            Run(
                upstream=self._database.upstream.upstream_id,
                request_id=request.request_id,
                connection=self._number,
                in_transaction=is_open,
                values=dict(self._values),
                shape=shape,
                seen=self._database.applied,
                at=trio.current_time(),
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
        """Tell whether the connection has ended."""
        return self._has_ended

    async def close(self) -> None:
        """Close the connection, which rolls back."""
        self._writes = []
        self.end()
        await trio.lowlevel.checkpoint()
