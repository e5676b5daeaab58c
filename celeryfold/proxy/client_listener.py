"""Listener for client connections; runs one session and one task for each."""

from __future__ import annotations

__all__ = [
    "EXIT_MARGIN_S",
    "STOP_POLL_S",
    "ClientChannel",
    "ClientDisconnected",
    "ClientListener",
    "ClientMessage",
    "MalformedMessage",
    "Query",
    "StartSession",
    "Terminate",
]

import logging
import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

import msgspec
import trio

from ..accounts import KeyDigest, abbreviate_digest
from ..exceptions import CeleryfoldError, RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import RequestId
from ..kernel.metrics import Metrics
from ..wire.listening import open_listeners
from .calls import Answer
from .clock import Clock
from .session import Session, SessionPorts, describe_failure
from .statements import Statement
from .upstream import TransactionState, UpstreamError

# The logger keeps the former name of this module, by which operators filter the log.
log = logging.getLogger("celeryfold.proxy.door")

# Clients drop a session that is not open within 2 s.
CONFIGURATION_TIMEOUT_S = 1.5
START_TIMEOUT_S = 10.0
# Time-out for sending an answer. A client that does not read blocks only its session.
SEND_TIMEOUT_S = 10.0
# Interval at which sessions check their transaction for the idle time-out.
IDLE_CHECK_INTERVAL_S = 0.5
# The load balancer checks once a second and removes an instance after two failures;
# until then new clients connect.
BALANCER_REMOVAL_S = 2.4
# Part of the grace period reserved for closing connections and ending the process.
EXIT_MARGIN_S = 0.5
# Time for a query that is already on its way when the session's key is revoked: its
# client gets an error instead of a lost connection.
REVOCATION_GRACE_S = 0.05
# A client with an unknown key may connect again and again.
UNKNOWN_KEY_LOG_INTERVAL_S = 1.0
# Interval at which a stopping instance checks for running work.
STOP_POLL_S = 0.02


class StartSession(msgspec.Struct, frozen=True):
    """Request to open a session with a database.

    :param key: digest of the client's API key; None if it gave none.
    """

    database: str
    key: KeyDigest | None = None


class Query(msgspec.Struct, frozen=True):
    """Request to run a statement."""

    request_id: RequestId
    statement: Statement


class Terminate(msgspec.Struct, frozen=True):
    """Request to end the session."""


class MalformedMessage(msgspec.Struct, frozen=True):
    """A message that could not be parsed.

    :param kind: the error kind of the answer.
    :param is_fatal: whether the start of the next message is unknown, so that the
        session must end.
    """

    kind: ErrorKind
    text: str
    is_fatal: bool = False


ClientMessage = StartSession | Query | Terminate | MalformedMessage


class ClientDisconnected(CeleryfoldError):
    """The client closed its connection, or the connection broke."""


class ClientChannel(ABC):
    """Exchanges typed messages with one client."""

    @abstractmethod
    async def receive(self) -> ClientMessage:
        """Return the next message; can be cancelled without losing one.

        :raises ClientDisconnected: the connection has ended.
        """

    @abstractmethod
    async def accept(self) -> None:
        """Inform the client that its session is open.

        :raises ClientDisconnected: the connection has ended.
        """

    @abstractmethod
    async def reject(self, error: UpstreamError) -> None:
        """Inform the client that its session was refused.

        :param error: the reason.
        :raises ClientDisconnected: the connection has ended.
        """

    @abstractmethod
    async def answer(self, answer: Answer) -> None:
        """Send the answer to the message received last.

        :raises ClientDisconnected: the connection has ended.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connection."""


class _Client:
    """State of one client connection.

    :param idle_scope: cancels the wait for the next message; None while one is run.
    """

    def __init__(self) -> None:
        self.idle_scope: trio.CancelScope | None = None
        self.session: Session | None = None

    @property
    def state(self) -> TransactionState:
        return self.session.state if self.session else TransactionState.IDLE


class ClientListener:
    """Accepts client connections and runs their sessions.

    :param make_channel: returns the message channel of a connection.
    :param wait_until_loaded: returns once there is a configuration.
    :param ports: the services that sessions use.
    :param max_sessions: how many client connections there may be, or None for any
        number. Each takes a descriptor, and without descriptors nothing can be served.
    """

    def __init__(
        self,
        host: str,
        port: int,
        make_channel: Callable[[trio.SocketStream], ClientChannel],
        wait_until_loaded: Callable[[], Awaitable[None]],
        ports: SessionPorts,
        clock: Clock,
        metrics: Metrics,
        max_sessions: int | None = None,
    ) -> None:
        self._max_sessions = math.inf if max_sessions is None else max_sessions
        self.host = host
        self.port = port
        self._make_channel = make_channel
        self._wait_until_loaded = wait_until_loaded
        self._ports = ports
        self._clock = clock
        self._metrics = metrics
        self._clients: set[_Client] = set()
        self._accepting = trio.CancelScope()
        self._listeners: list[trio.SocketListener] = []
        self.is_closing_idle = False
        self.is_closing_all = False
        self._n_unknown_keys = 0
        self._unknown_key_logged_at = -math.inf

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the port and start to accept connections.

        :raises BadInput: the port cannot be opened.
        """
        self._listeners = await open_listeners(self.host, self.port)
        self.port = self._listeners[0].socket.getsockname()[1]
        nursery.start_soon(self._accept, nursery)

    async def _accept(self, nursery: trio.Nursery) -> None:
        with self._accepting:
            await trio.serve_listeners(
                self._serve, self._listeners, handler_nursery=nursery
            )

    @property
    def n_sessions(self) -> int:
        """Number of client connections."""
        return len(self._clients)

    @property
    def is_full(self) -> bool:
        """Whether a further client would be refused."""
        return len(self._clients) >= self._max_sessions

    async def stop(self, grace_s: float) -> None:
        """Stop accepting connections and end all sessions, but let statements finish.

        New clients are served until the load balancer has removed the instance. Then
        sessions without an open transaction end; the others end after half of the grace
        period.

        :param grace_s: time until the process must have ended, in seconds.
        """
        started_at = trio.current_time()
        await trio.sleep(min(BALANCER_REMOVAL_S, grace_s / 2))
        self._accepting.cancel()
        for listener in self._listeners:
            await listener.aclose()
        self.is_closing_idle = True
        self._cancel_idle()
        await trio.sleep_until(started_at + grace_s / 2)
        self.is_closing_all = True
        self._cancel_idle()
        with trio.move_on_at(started_at + grace_s - EXIT_MARGIN_S):
            while self._clients:
                await trio.sleep(STOP_POLL_S)
        if self._clients:
            log.warning(
                "sessions still open near the end of the grace period",
                extra={"n": len(self._clients)},
            )

    def end_revoked(self) -> None:
        """End the idle sessions whose keys the configuration in force does not have.

        Sessions with an open transaction or a running statement end later: after the
        answer to the statement, or after the error that the next one gets.
        """
        n_ended = self._cancel_idle()
        if n_ended and not self.is_closing_idle:
            extra = {"n": n_ended, "version": self._ports.config_version}
            log.info("sessions ended by revocation", extra=extra)

    def _cancel_idle(self) -> int:
        """Wake up the sessions that wait for a message and must end; count them."""
        ending = [
            client
            for client in self._clients
            if client.idle_scope is not None and self._should_end(client)
        ]
        for client in ending:
            assert client.idle_scope is not None
            client.idle_scope.cancel()
        return len(ending)

    def _should_end(self, client: _Client) -> bool:
        if self.is_closing_all or _is_revoked(client):
            return True
        return self.is_closing_idle and client.state is TransactionState.IDLE

    async def _serve(self, stream: trio.SocketStream) -> None:
        channel = self._make_channel(stream)
        client = _Client()
        client.idle_scope = trio.CancelScope()
        self._clients.add(client)
        self._metrics.count("session.opened")
        try:
            await self._run_session(channel, client)
        except ClientDisconnected:
            self._metrics.count("session.client_gone")
        except Exception:
            log.exception("session failed")
            self._metrics.count("session.failed")
        finally:
            self._clients.discard(client)
            if client.session is not None:
                client.session.close()
            with trio.CancelScope(shield=True):
                await channel.close()

    async def _run_session(self, channel: ClientChannel, client: _Client) -> None:
        with trio.move_on_after(START_TIMEOUT_S):
            session = await self._open_session(channel)
            client.session = session
        if client.session is None:
            return
        while True:
            message = await self._wait_message(channel, client, client.session)
            if message is None or isinstance(message, Terminate):
                return
            client.idle_scope = None
            answer = await self._run(client.session, message)
            with trio.fail_after(SEND_TIMEOUT_S):
                await channel.answer(answer)
            if client.session.has_ended:
                self._metrics.count("session.key_withdrawn")
                return
            if isinstance(message, MalformedMessage) and message.is_fatal:
                return

    async def _open_session(self, channel: ClientChannel) -> Session | None:
        message = await channel.receive()
        if isinstance(message, Terminate):
            return None
        if not isinstance(message, StartSession):
            await channel.reject(_describe_bad_start(message))
            return None
        if len(self._clients) > self._max_sessions:
            self._metrics.count("session.over_limit")
            text = "this instance has too many sessions; retry at another one"
            await channel.reject(UpstreamError(ErrorKind.OVERLOADED, text))
            return None
        with trio.move_on_after(CONFIGURATION_TIMEOUT_S) as waiting:
            await self._wait_until_loaded()
        if waiting.cancelled_caught:
            text = "this instance has no configuration yet; retry in a second"
            await channel.reject(UpstreamError(ErrorKind.OVERLOADED, text))
            return None
        try:
            self._check_start(message)
        except RequestFailure as failure:
            await channel.reject(describe_failure(failure))
            return None
        await channel.accept()
        return Session(message.database, self._ports, message.key)

    def _check_start(self, start: StartSession) -> None:
        """Check the database and then the key of a session.

        :raises RequestFailure: the database or the key is unknown, or keys cannot be
            checked.
        """
        route = self._ports.find_route(start.database)
        if route is None:
            self._metrics.count("session.unknown_database")
            # The name is not repeated: a client may have mistaken its key for it.
            text = "no database has the given name"
            raise RequestFailure(ErrorKind.UNKNOWN_SERVICE, text)
        try:
            self._ports.authenticator.authenticate(route.is_public, start.key)
        except RequestFailure as failure:
            if failure.kind is ErrorKind.NOT_AUTHENTICATED:
                self._record_unknown_key(start)
            raise

    def _record_unknown_key(self, start: StartSession) -> None:
        """Count a refused key, and log one refusal per interval with their number."""
        self._metrics.count("session.unknown_key")
        self._n_unknown_keys += 1
        now = self._clock()
        if now - self._unknown_key_logged_at < UNKNOWN_KEY_LOG_INTERVAL_S:
            return
        extra = {
            "database": start.database,
            "key": abbreviate_digest(start.key),
            "version": self._ports.config_version,
            "n": self._n_unknown_keys,
        }
        log.info("unknown key refused", extra=extra)
        self._n_unknown_keys = 0
        self._unknown_key_logged_at = now

    async def _wait_message(
        self, channel: ClientChannel, client: _Client, session: Session
    ) -> ClientMessage | None:
        """Return the next message, or None if the session must end."""
        while not self._should_end(client):
            is_open = session.state is TransactionState.OPEN
            check_s = IDLE_CHECK_INTERVAL_S if is_open else math.inf
            with trio.move_on_after(check_s) as client.idle_scope:
                return await channel.receive()
            session.expire_idle()
        if not _is_revoked(client):
            return None
        client.idle_scope = None
        with trio.move_on_after(REVOCATION_GRACE_S):
            return await channel.receive()
        self._metrics.count("session.key_withdrawn")
        return None

    async def _run(self, session: Session, message: ClientMessage) -> Answer:
        if isinstance(message, Query):
            started_at = self._clock()
            answer = await session.run(message.request_id, message.statement)
            self._record_answer(answer, self._clock() - started_at)
            return answer
        if isinstance(message, MalformedMessage):
            self._metrics.count("session.malformed")
            error = UpstreamError(message.kind, message.text)
            return Answer(session.state, error=error)
        error = UpstreamError(ErrorKind.BAD_REQUEST, "the session is already open")
        return Answer(session.state, error=error)

    def _record_answer(self, answer: Answer, seconds: float) -> None:
        self._metrics.time("statement.duration", seconds)
        if answer.error is None:
            self._metrics.count("statement.succeeded")
        else:
            self._metrics.count(f"statement.answered.{answer.error.kind.value}")


def _is_revoked(client: _Client) -> bool:
    """Return whether a session must end because its key was revoked.

    An open transaction is not cut: its client gets the error with its next statement,
    or the transaction is rolled back when it has been idle for too long.
    """
    session = client.session
    if session is None or session.state is TransactionState.OPEN:
        return False
    return session.is_key_revoked


def _describe_bad_start(message: ClientMessage) -> UpstreamError:
    if isinstance(message, MalformedMessage):
        return UpstreamError(message.kind, message.text)
    text = "the first message of a session must name its database"
    return UpstreamError(ErrorKind.BAD_REQUEST, text)
