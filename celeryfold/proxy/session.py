"""State of a client session: values, prepared statements, transaction, last write."""

from __future__ import annotations

__all__ = ["Session", "SessionPorts", "describe_failure"]

import logging
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from ..accounts import (
    NO_ACCOUNT,
    Authenticator,
    KeyDigest,
    RateLimiter,
    abbreviate_digest,
)
from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import AccountId, Generation, RequestId
from .calls import Answer, Call, OwnWrite
from .clock import Clock
from .reads import ReadRunner
from .routes import Route
from .runner import QUEUE_WAIT_SHARE
from .statement_names import make_statement_name
from .statements import (
    Access,
    Begin,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Request,
    Rollback,
    SetValue,
    Statement,
    Write,
)
from .transactions import OpenTransaction, TransactionRunner
from .upstream import Reply, TransactionState, UpstreamError
from .writes import WriteRunner

log = logging.getLogger(__name__)

MAX_PREPARED = 1000
MAX_VALUES = 1000
# Values and shapes of prepared statements. Together with the longest statement, they
# fit into a message between instances.
MAX_STATE_BYTES = 2_500_000


class SessionPorts(ABC):
    """Services of the instance that a session uses."""

    clock: Clock
    reads: ReadRunner
    writes: WriteRunner
    transactions: TransactionRunner
    authenticator: Authenticator
    rates: RateLimiter

    @property
    @abstractmethod
    def config_version(self) -> Generation:
        """The version of the configuration in force, 0 without one."""

    @abstractmethod
    def find_route(self, database: str) -> Route | None:
        """Return the current route of a database name, or None if there is none."""

    @property
    @abstractmethod
    def transaction_idle_s(self) -> float:
        """Idle time after which a transaction is rolled back, in seconds."""


@dataclass(frozen=True)
class _BoundStatement:
    """A statement in the form that is sent to an upstream."""

    statement: Statement
    prepared: Prepare | None
    access: Access


class Session:
    """Runs the statements of one client, one at a time.

    :param database: the database name that the client connected to.
    :param ports: the services of the instance.
    :param key: digest of the client's API key; None if it gave none.
    """

    def __init__(
        self, database: str, ports: SessionPorts, key: KeyDigest | None = None
    ) -> None:
        self.database = database
        # Whether the key was refused, so that the session must end after the answer.
        self.has_ended = False
        self._ports = ports
        self._key = key
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepare] = {}
        self._n_state_bytes = 0
        self._transaction: OpenTransaction | None = None
        self._own_write: OwnWrite | None = None
        # Route and account of the open transaction, which keeps both.
        self._route: Route | None = None
        self._account = NO_ACCOUNT
        self._last_request = RequestId("")

    @property
    def state(self) -> TransactionState:
        """State of the session's transaction; IDLE if none is open."""
        if self._transaction is None:
            return TransactionState.IDLE
        if self._transaction.has_failed:
            return TransactionState.FAILED
        return TransactionState.OPEN

    async def run(self, request_id: RequestId, statement: Statement) -> Answer:
        """Run one statement and return its answer, which may be an error."""
        self._last_request = request_id
        try:
            self._check_key()
            self._check_account(statement)
            return await self._run(request_id, statement)
        except RequestFailure as failure:
            return Answer(self.state, error=describe_failure(failure))

    @property
    def is_key_revoked(self) -> bool:
        """Whether the configuration in force does not allow the session to go on."""
        return self._find_account_in_force() is None

    def _find_account_in_force(self) -> AccountId | None:
        """Return the account that the key has now, or None if the key was revoked.

        An open transaction keeps the route under which it began: a change of the route
        applies from the next transaction on.
        """
        route = self._route if self._transaction is not None else None
        route = route or self._ports.find_route(self.database)
        if route is None:
            return NO_ACCOUNT
        return self._ports.authenticator.find_account(route.is_public, self._key)

    def _check_key(self) -> None:
        """Refuse the statement and end the session if its key was revoked."""
        if not self.is_key_revoked:
            return
        extra = self._describe("the configuration in force does not allow its key")
        extra.update(
            key=abbreviate_digest(self._key), version=self._ports.config_version
        )
        log.info("session ended by revocation", extra=extra)
        self._end_transaction()
        self.has_ended = True
        text = "the API key was revoked; connect with a valid key"
        raise RequestFailure(ErrorKind.NOT_AUTHENTICATED, text)

    def _check_account(self, statement: Statement) -> None:
        """Roll back a transaction whose key has moved to another account.

        Its connection was opened under the name of the first account. A rollback needs
        no check, and a transaction goes on if accounts were removed altogether.
        """
        if self.state is not TransactionState.OPEN or isinstance(statement, Rollback):
            return
        if self._find_account_in_force() in (NO_ACCOUNT, self._account):
            return
        text = "the API key has moved to another account; the transaction was undone"
        self._log_rollback(text)
        self._fail_transaction()
        if isinstance(statement, Commit):
            self._end_transaction()
        raise RequestFailure(ErrorKind.TRANSACTION_LOST, text)

    async def _run(self, request_id: RequestId, statement: Statement) -> Answer:
        if isinstance(statement, Rollback):
            return self._roll_back()
        if self.state is TransactionState.FAILED:
            return self._answer_failed_transaction(statement)
        match statement:
            case Begin():
                return await self._begin(statement)
            case SetValue():
                return self._set_value(statement)
            case Prepare():
                return self._prepare(statement)
            case Deallocate():
                return self._deallocate(statement)
            case Read() | Write() | Execute() | Commit():
                return await self._forward(request_id, statement)
            case _:
                raise RequestFailure(
                    ErrorKind.BAD_REQUEST, "clients cannot send this statement"
                )

    def _answer_failed_transaction(self, statement: Statement) -> Answer:
        """Refuse a statement in a failed transaction; a commit also ends it."""
        if isinstance(statement, Commit):
            self._end_transaction()
            text = "the transaction had failed and was rolled back"
            raise RequestFailure(ErrorKind.TRANSACTION_LOST, text)
        raise RequestFailure(
            ErrorKind.BAD_REQUEST, "the transaction has failed; roll back"
        )

    async def _begin(self, statement: Begin) -> Answer:
        """Open a transaction; the first statement selects its upstream."""
        if self._transaction is not None:
            raise RequestFailure(ErrorKind.BAD_REQUEST, "a transaction is already open")
        route = self._find_route()
        account = await self._admit(route)
        self._route, self._account = route, account
        now = self._ports.clock()
        self._transaction = OpenTransaction(statement.read_only, now)
        return Answer(self.state)

    def _roll_back(self) -> Answer:
        if self._transaction is None:
            raise RequestFailure(ErrorKind.BAD_REQUEST, "no transaction is open")
        self._end_transaction()
        return Answer(self.state)

    def _end_transaction(self) -> None:
        if self._transaction is not None:
            self._transaction.abandon()
        self._transaction = None

    def _fail_transaction(self) -> None:
        """Roll back the transaction, which the client has yet to end."""
        if self._transaction is not None:
            self._transaction.abandon()
            self._transaction.has_failed = True

    def _set_value(self, statement: SetValue) -> Answer:
        if len(self._values) >= MAX_VALUES and statement.name not in self._values:
            text = f"a session can have at most {MAX_VALUES} values"
            raise RequestFailure(ErrorKind.BAD_REQUEST, text)
        known = self._values.get(statement.name)
        old = () if known is None else (statement.name, known)
        self._replace_state(old, (statement.name, statement.value))
        self._values[statement.name] = statement.value
        return Answer(self.state)

    def _prepare(self, statement: Prepare) -> Answer:
        if len(self._prepared) >= MAX_PREPARED:
            text = (
                f"a session can have at most {MAX_PREPARED} prepared statements; "
                "deallocate one first"
            )
            raise RequestFailure(ErrorKind.BAD_REQUEST, text)
        known = self._prepared.get(statement.name)
        old = () if known is None else (known.name, known.shape)
        self._replace_state(old, (statement.name, statement.shape))
        self._prepared[statement.name] = statement
        return Answer(self.state)

    def _deallocate(self, statement: Deallocate) -> Answer:
        known = self._prepared.pop(statement.name, None)
        if known is None:
            text = f"no statement is prepared under '{statement.name}'"
            raise RequestFailure(ErrorKind.UNKNOWN_STATEMENT, text)
        self._replace_state((known.name, known.shape), ())
        return Answer(self.state)

    def _replace_state(self, old: Sequence[str], new: Sequence[str]) -> None:
        """Count the bytes of texts that the session keeps.

        :raises RequestFailure: if they would be too many; nothing changes then.
        """
        n_bytes = self._n_state_bytes - _count_bytes(old) + _count_bytes(new)
        if new and n_bytes > MAX_STATE_BYTES:
            text = (
                f"values and prepared statements of a session may have at most "
                f"{MAX_STATE_BYTES} bytes together; this one was not kept"
            )
            raise RequestFailure(ErrorKind.BODY_TOO_LARGE, text)
        self._n_state_bytes = n_bytes

    async def _admit(self, route: Route) -> AccountId:
        """Return the account of an operation once its rate allows the operation.

        :raises RequestFailure: the key is not valid, or the account is over its rate.
        """
        try:
            account = self._ports.authenticator.authenticate(route.is_public, self._key)
        except RequestFailure as failure:
            extra = self._describe(failure.message)
            log.info("statement refused", extra=extra)
            raise
        if account != NO_ACCOUNT:
            await self._ports.rates.admit(account, route.target_s * QUEUE_WAIT_SHARE)
            # The key may have been revoked during the wait.
            self._check_key()
        return account

    async def _forward(self, request_id: RequestId, statement: Statement) -> Answer:
        """Send a statement to an upstream and return its answer."""
        arrived_at = self._ports.clock()
        bound = self._bind(statement)
        transaction = self._transaction
        if transaction is None and isinstance(statement, Commit):
            raise RequestFailure(ErrorKind.BAD_REQUEST, "no transaction is open")
        if transaction is not None:
            route, account = self._route, self._account
        else:
            route = self._find_route()
            account = await self._admit(route)
        assert route is not None
        call = Call(
            request=Request(bound.statement, request_id),
            prepared=bound.prepared,
            values=dict(self._values),
            route=route,
            own_write=self._own_write,
            arrived_at=arrived_at,
            account=account,
        )
        if transaction is not None:
            return await self._run_in_transaction(call, transaction)
        if bound.access is Access.WRITE:
            reply = await self._ports.writes.run(call)
            self._record_commit(reply)
        else:
            reply = await self._ports.reads.run(call)
        return Answer.from_reply(reply, self.state)

    async def _run_in_transaction(
        self, call: Call, transaction: OpenTransaction
    ) -> Answer:
        is_commit = isinstance(call.request.statement, Commit)
        try:
            self._check_confirmed()
            reply = await self._ports.transactions.run(call, transaction)
        finally:
            if is_commit:
                self._end_transaction()
        if is_commit and transaction.has_written:
            self._record_commit(reply)
        return Answer.from_reply(reply, self.state)

    def _check_confirmed(self) -> None:
        """Roll back a transaction whose key cannot be checked."""
        assert self._route is not None
        try:
            self._ports.authenticator.check_confirmed(self._route.is_public)
        except RequestFailure as failure:
            self._log_rollback(failure.message)
            self._fail_transaction()
            raise

    def _record_commit(self, reply: Reply) -> None:
        if reply.error is None and reply.position is not None:
            self._own_write = OwnWrite(reply.position, self._ports.clock())

    def _bind(self, statement: Statement) -> _BoundStatement:
        """Replace the client's name of a prepared statement by the shared name."""
        if isinstance(statement, Execute):
            prepared = self._prepared.get(statement.name)
            if prepared is None:
                text = f"no statement is prepared under '{statement.name}'"
                raise RequestFailure(ErrorKind.UNKNOWN_STATEMENT, text)
            shared = Prepare(
                make_statement_name(prepared), prepared.access, prepared.shape
            )
            renamed = Execute(shared.name, statement.arguments)
            return _BoundStatement(renamed, shared, prepared.access)
        access = Access.WRITE if isinstance(statement, Write) else Access.READ
        return _BoundStatement(statement, None, access)

    def _find_route(self) -> Route:
        route = self._ports.find_route(self.database)
        if route is None:
            text = "no database has the given name"
            raise RequestFailure(ErrorKind.UNKNOWN_SERVICE, text)
        return route

    def expire_idle(self) -> None:
        """Roll back a transaction that has been idle for too long.

        The client gets the error in the answer to its next statement.
        """
        transaction = self._transaction
        if transaction is None or transaction.has_failed:
            return
        if (
            self._ports.clock() - transaction.last_used_at
            > self._ports.transaction_idle_s
        ):
            self._log_rollback("idle for too long")
            self._fail_transaction()

    def close(self) -> None:
        """End the session and roll back its open transaction."""
        if self.state is TransactionState.OPEN:
            self._log_rollback("the session ended")
        self._end_transaction()

    def _log_rollback(self, reason: str) -> None:
        """Log a rollback that the client did not request."""
        log.info("transaction undone", extra=self._describe(reason))

    def _describe(self, reason: str) -> dict[str, object]:
        return {
            "request": self._last_request,
            "database": self.database,
            "reason": reason,
        }


def _count_bytes(texts: Sequence[str]) -> int:
    return sum(len(text.encode("utf-8", "surrogateescape")) for text in texts)


def describe_failure(failure: RequestFailure) -> UpstreamError:
    """Return the error of an answer, with the time to retry after if it is set."""
    text = failure.message
    if failure.retry_after_s is not None:
        text = f"{text}; retry after {failure.retry_after_s:.2f} s"
    return UpstreamError(failure.kind, text)
