"""An in-memory replicated database with promotion and fault injection."""

from __future__ import annotations

__all__ = ["ReplicaSet"]

from collections import Counter

import msgspec
import trio

from ..accounts import NO_ACCOUNT
from ..kernel.errors import ErrorKind
from ..kernel.ids import (
    AccountId,
    InstanceId,
    PlaceId,
    Position,
    RequestId,
    ServiceId,
    Term,
    UpstreamId,
)
from ..proxy.positions import LogPosition
from ..proxy.promotions import (
    PromotionNotMade,
    PromotionRefused,
    Promotions,
    PromotionUnanswered,
)
from ..proxy.statements import Demote, Pause, Resume, Statement
from ..proxy.upstream import (
    ConnectFailed,
    ConnectFailure,
    Connector,
    Upstream,
    UpstreamConnection,
    UpstreamRole,
)
from .database import Database, Entry, StatementRun
from .replica_session import ReplicaSession

# A caller learns after this time that its promotion call gets no answer.
LOST_ANSWER_S = 1.0
N_PLACES = 3


class ReplicaSet(Connector, Promotions):
    """The primary and the replicas of one service, with faults set by attributes.

    :param n_databases: number of databases; the first one starts as primary.
    :param n_connections: connection limit of each database.
    :param network_delay_s: one-way delay, in seconds.
    :param promotion_delay_s: seconds from an accepted promotion to the new term.
    :param n_sync_replicas: replicas that must receive a commit before it is
        acknowledged.
    """

    def __init__(
        self,
        service: ServiceId,
        n_databases: int = 3,
        n_connections: int = 16,
        network_delay_s: float = 0.002,
        promotion_delay_s: float = 0.5,
        n_sync_replicas: int = 1,
    ) -> None:
        self.service = service
        self.n_connections = n_connections
        self.network_delay_s = network_delay_s
        self.promotion_delay_s = promotion_delay_s
        self.n_sync_replicas = n_sync_replicas
        self.runs: list[StatementRun] = []
        self.acknowledged: list[tuple[float, Entry]] = []
        self.promotions: list[tuple[float, InstanceId, int, UpstreamId]] = []
        self.lost: list[Entry] = []
        self.n_answers_to_lose = 0
        # Errors of the next statements that set up a session, one for each.
        self.setup_errors: list[ErrorKind] = []
        self.n_promotions_to_lose = 0
        # Promotion calls received, those that are carried out later included.
        self.n_promotion_calls = 0
        # Seconds after which each of the next promotion calls is carried out, without
        # an answer.
        self.promotion_lateness_s: list[float] = []
        # The upstreams that such calls name.
        self.waiting_promotions: list[UpstreamId] = []
        # Seconds after which the next control statements of a class are executed, each
        # without an answer. A database that is not running then, or that has started
        # again under another id or without its log, does not execute them.
        self.statement_lateness: dict[type, list[float]] = {}
        # The control statements that were not refused, each with the time of its
        # execution.
        self.executed_statements: list[tuple[float, UpstreamId, Statement]] = []
        # Databases whose registration does not reach the list of upstreams.
        self.unlisted: set[UpstreamId] = set()
        # Whether the platform's promotion service cannot be reached.
        self.is_promotion_down = False
        self.highest_token = 0
        self.databases: dict[UpstreamId, Database] = {}
        self._nursery: trio.Nursery | None = None
        self._changed = trio.Event()
        # The callers that are cut off, with the address of the database.
        self._cuts: set[tuple[str, str]] = set()
        self._n_added = 0
        self.n_opened = 0
        # The most connections of each caller that one database had at a time.
        self.n_connections_peak: Counter[str] = Counter()
        # Seconds until a database notices that a connection was closed.
        self.close_delay_s = 0.0
        for number in range(n_databases):
            role = UpstreamRole.REPLICA if number else UpstreamRole.PRIMARY
            self._add(
                UpstreamId(f"{service}-{number}"), role, PlaceId(f"place-{number}")
            )

    def _add(
        self, upstream_id: UpstreamId, role: UpstreamRole, place: PlaceId
    ) -> Database:
        """Add a database at a new address."""
        self._n_added += 1
        upstream = Upstream(
            upstream_id=upstream_id,
            service=self.service,
            address=f"10.0.0.{self._n_added}:5000",
            place=place,
            n_slots=2,
            born_ms=1,
            claimed_role=role,
        )
        database = self.databases[upstream_id] = Database(upstream, role)
        return database

    def add_database(
        self, upstream_id: UpstreamId, copy_of: UpstreamId | None = None
    ) -> Database:
        """Add a replica, which receives from now on.

        :param copy_of: the database whose log it starts with, or None for an empty log.
        """
        place = PlaceId(f"place-{self._n_added % N_PLACES}")
        database = self._add(upstream_id, UpstreamRole.REPLICA, place)
        if copy_of is not None:
            source = self.databases[copy_of]
            database.log = list(source.log)
            database.n_applied = source.n_applied
            database.term = source.term
        self.ship_log()
        return database

    def start(self, nursery: trio.Nursery) -> None:
        """Set the nursery that runs log shipping and promotions."""
        self._nursery = nursery

    def list_upstreams(self) -> tuple[Upstream, ...]:
        """Return the upstreams that are alive and listed, as each registers itself."""
        return tuple(
            database.upstream
            for upstream_id, database in self.databases.items()
            if self.is_registering(upstream_id)
        )

    def is_registering(self, upstream_id: UpstreamId) -> bool:
        """Return whether a database is running and its registration arrives."""
        database = self.databases.get(upstream_id)
        is_alive = database is not None and database.is_alive
        return is_alive and upstream_id not in self.unlisted

    def find_leader(self) -> Database | None:
        """Return the primary of the highest term, whether alive or not, or None."""
        leading = [d for d in self.databases.values() if d.role is UpstreamRole.PRIMARY]
        return max(leading, key=lambda d: d.term) if leading else None

    def crash(self, upstream_id: UpstreamId, is_silent: bool = False) -> None:
        """Stop a database; its log is kept.

        :param is_silent: the host does not respond at all, so that connection attempts
            time out instead of being refused.
        """
        database = self.databases[upstream_id]
        database.is_alive = False
        database.is_silent = is_silent
        database.paused_term = None
        if not is_silent:
            for connection in list(database.connections):
                connection.end()

    def restart(
        self,
        upstream_id: UpstreamId,
        is_empty: bool = False,
        new_id: UpstreamId | None = None,
    ) -> None:
        """Restart a database, which is not paused after that.

        :param is_empty: whether it knows nothing of before: it is a replica with an
            empty log, and ``born_ms`` is higher.
        :param new_id: the id under which it starts at the same address, or None for the
            same id. It keeps its log and its role unless ``is_empty``.
        """
        database = self.databases[upstream_id]
        for connection in list(database.connections):
            connection.end()
        if is_empty:
            database.log = []
            database.n_applied = 0
            database.role = UpstreamRole.REPLICA
            database.term = database.held_term = Term(1)
        if is_empty or new_id is not None:
            database.upstream = msgspec.structs.replace(
                database.upstream,
                upstream_id=new_id or upstream_id,
                born_ms=database.upstream.born_ms + 1,
                is_leaving=False,
            )
        if new_id is not None:
            del self.databases[upstream_id]
            self.databases[new_id] = database
        database.is_alive = True
        database.is_silent = False
        database.paused_term = None
        self.ship_log()

    def remove_database(self, upstream_id: UpstreamId) -> None:
        """Stop a replica for good; its log is lost."""
        self.crash(upstream_id)
        del self.databases[upstream_id]

    def silence_connections(self, upstream_id: UpstreamId) -> None:
        """Make the open connections unresponsive; new connections work."""
        for connection in self.databases[upstream_id].connections:
            connection.is_silent = True

    def cut(self, caller: str, upstream_id: UpstreamId) -> None:
        """Cut the network between a caller and a database."""
        database = self.databases[upstream_id]
        self._cuts.add((caller, database.upstream.address))
        for connection in database.connections:
            if connection.caller == caller:
                connection.is_silent = True

    def heal(self) -> None:
        """Undo all cuts; connections that were open during a cut stay unresponsive."""
        self._cuts.clear()

    def heal_cut(self, caller: str, address: str) -> None:
        """Undo the cut between a caller and the database at an address."""
        self._cuts.discard((caller, address))

    @property
    def has_cuts(self) -> bool:
        """Whether a caller is cut off from a database."""
        return bool(self._cuts)

    async def connect(
        self, upstream: Upstream, account: AccountId = NO_ACCOUNT
    ) -> UpstreamConnection:
        """Open a connection; see :class:`Connector`."""
        return await self.open_connection(upstream, "", account)

    async def open_connection(
        self, upstream: Upstream, caller: str, account: AccountId = NO_ACCOUNT
    ) -> UpstreamConnection:
        """Open a connection for a named caller.

        :param account: the account under whose name the caller opens it.
        :raises ConnectFailed: with the cause; an unreachable database fails after 1 s.
        """
        await trio.sleep(self.network_delay_s * 2)
        if (caller, upstream.address) in self._cuts:
            await trio.sleep(1.0)
            raise ConnectFailed(ConnectFailure.UNREACHABLE, "network cut")
        database = self._find_at(upstream.address)
        if database is None or (
            database.is_alive and database.upstream.upstream_id != upstream.upstream_id
        ):
            raise ConnectFailed(
                ConnectFailure.WRONG_INSTANCE,
                "the upstream does not have this address",
                database.upstream.upstream_id if database else None,
            )
        if not database.is_alive:
            if database.is_silent:
                await trio.sleep(1.0)
                raise ConnectFailed(ConnectFailure.UNREACHABLE, "no response")
            raise ConnectFailed(ConnectFailure.REFUSED, "connection refused")
        if len(database.connections) >= self.n_connections:
            raise ConnectFailed(ConnectFailure.TOO_MANY, "too many connections")
        self.n_opened += 1
        session = ReplicaSession(self, database, self.n_opened, caller, account)
        n_own = sum(other.caller == caller for other in database.connections)
        self.n_connections_peak[caller] = max(self.n_connections_peak[caller], n_own)
        return session

    def _find_at(self, address: str) -> Database | None:
        for database in self.databases.values():
            if database.upstream.address == address:
                return database
        return None

    def is_late(self, database: Database, statement: Statement) -> bool:
        """Return whether a statement gets no answer and is executed some time later."""
        lateness_s = self.statement_lateness.get(type(statement))
        if not lateness_s or not isinstance(statement, Pause | Resume | Demote):
            return False
        assert self._nursery is not None
        self._nursery.start_soon(
            self._execute_later, lateness_s.pop(0), database, statement
        )
        return True

    async def _execute_later(
        self, late_s: float, database: Database, statement: Pause | Resume | Demote
    ) -> None:
        incarnation = database.incarnation
        await trio.sleep(late_s)
        if database.is_alive and database.incarnation == incarnation:
            self.execute_control(database, statement)

    def execute_control(
        self, database: Database, statement: Pause | Resume | Demote
    ) -> bool:
        """Execute a control statement; return whether it was not refused."""
        if not database.execute_control(statement):
            return False
        name = database.upstream.upstream_id
        self.executed_statements.append((trio.current_time(), name, statement))
        if isinstance(statement, Resume):
            self.ship_log()
        return True

    def notice_close(self, session: ReplicaSession) -> None:
        """Stop counting a closed connection, once the database has noticed it."""
        if not self.close_delay_s or self._nursery is None:
            session.end()
            return
        self._nursery.start_soon(self._end_later, session)

    async def _end_later(self, session: ReplicaSession) -> None:
        await trio.sleep(self.close_delay_s)
        session.end()

    def ship_log(self) -> None:
        """Start sending the primary's log to all replicas."""
        leader = self.find_leader()
        if leader is None or self._nursery is None:
            return
        for database in self.databases.values():
            if database is not leader:
                self._nursery.start_soon(self._ship_log_to, leader, database)

    async def _ship_log_to(self, leader: Database, replica: Database) -> None:
        term = leader.term
        await trio.sleep(self.network_delay_s)
        if replica.is_replication_cut or not replica.is_alive or not leader.is_alive:
            return
        if replica.paused_term is not None or self.find_leader() is not leader:
            return
        if leader.term != term:
            return
        n_common = _count_common_entries(leader.log, replica.log)
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
        self, leader: Database, writes: tuple[tuple[str, str, RequestId], ...]
    ) -> Entry:
        """Append a commit and return once the required replicas have received it."""
        number = Position(leader.received.number + 1)
        entry = Entry(LogPosition(leader.term, number), writes)
        leader.log.append(entry)
        leader.n_applied = len(leader.log)
        self.ship_log()
        while self.n_sync_replicas and not self._is_received(leader, entry):
            await self._changed.wait()
        return entry

    def _is_received(self, leader: Database, entry: Entry) -> bool:
        holders = [
            d
            for d in self.databases.values()
            if d is not leader and any(e is entry for e in d.log)
        ]
        return len(holders) >= self.n_sync_replicas

    async def promote(
        self, service: ServiceId, upstream: UpstreamId, holder: InstanceId, token: int
    ) -> None:
        """Promote a database; see :class:`Promotions`."""
        assert self._nursery is not None
        if self.is_promotion_down:
            raise PromotionNotMade("the platform cannot be reached")
        self.n_promotion_calls += 1
        if self.promotion_lateness_s:
            late_s = self.promotion_lateness_s.pop(0)
            call = (late_s, upstream, holder, token)
            self._nursery.start_soon(self._carry_out_later, *call)
            await trio.sleep(LOST_ANSWER_S)
            raise PromotionUnanswered("the call waits at the platform")
        await self._carry_out(upstream, holder, token)

    async def _carry_out(
        self, upstream: UpstreamId, holder: InstanceId, token: int
    ) -> None:
        assert self._nursery is not None
        self.promotions.append((trio.current_time(), holder, token, upstream))
        if token < self.highest_token:
            raise PromotionRefused("the fencing token is older than one already used")
        self.highest_token = token
        database = self.databases.get(upstream)
        if database is None or not database.is_alive:
            raise PromotionRefused("the database is not running")
        if self.find_leader() is not database:
            self._nursery.start_soon(self._complete_promotion, database)
        if self.n_promotions_to_lose:
            self.n_promotions_to_lose -= 1
            await trio.sleep(LOST_ANSWER_S)
            raise PromotionUnanswered("the response was lost")

    async def _carry_out_later(
        self, late_s: float, upstream: UpstreamId, holder: InstanceId, token: int
    ) -> None:
        """Carry out a call whose caller has no answer; its token is checked now."""
        self.waiting_promotions.append(upstream)
        await trio.sleep(late_s)
        self.waiting_promotions.remove(upstream)
        try:
            await self._carry_out(upstream, holder, token)
        except (PromotionRefused, PromotionUnanswered):
            # Nobody waits for the answer.
            return

    async def _complete_promotion(self, database: Database) -> None:
        incarnation = database.incarnation
        await trio.sleep(self.promotion_delay_s)
        if not database.is_alive or database.incarnation != incarnation:
            return
        kept = {entry.position for entry in database.log}
        self.lost += [e for _, e in self.acknowledged if e.position not in kept]
        term = Term(max(d.term for d in self.databases.values()) + 1)
        for other in self.databases.values():
            other.role = UpstreamRole.REPLICA
            other.paused_term = None
        database.role = UpstreamRole.PRIMARY
        database.term = term
        database.held_term = max(database.held_term, term)
        database.paused_term = None
        database.n_applied = len(database.log)
        self.ship_log()


def _count_common_entries(one: list[Entry], other: list[Entry]) -> int:
    n_common = 0
    for left, right in zip(one, other, strict=False):
        if left is not right:
            break
        n_common += 1
    return n_common
