"""Connections for control statements to upstreams, apart from the statement pools."""

from __future__ import annotations

__all__ = ["ControlConnection", "ControlFailed"]

import logging
from collections.abc import Callable

import trio

from ..accounts import NO_ACCOUNT
from ..exceptions import CeleryfoldError
from ..kernel.ids import Term
from .positions import LogPosition
from .statements import (
    Begin,
    Demote,
    Pause,
    ReadStatus,
    Request,
    Resume,
    Rollback,
    Statement,
)
from .upstream import (
    ConnectFailed,
    ConnectFailure,
    ConnectionLost,
    Connector,
    Reply,
    Upstream,
    UpstreamConnection,
    UpstreamStatus,
)

log = logging.getLogger(__name__)

# A round trip between regions takes 60 ms; a healthy upstream answers within a few
# milliseconds.
COMMAND_TIMEOUT_S = 0.6


class ControlFailed(CeleryfoldError):
    """A control statement failed or got no answer; it may have been executed.

    :param failure: why no connection was opened, if that was the cause.
    :param is_unanswered: whether the statement was sent and may be executed later.
    """

    def __init__(
        self,
        text: str,
        failure: ConnectFailure | None = None,
        is_unanswered: bool = False,
    ) -> None:
        super().__init__(text)
        self.failure = failure
        self.is_unanswered = is_unanswered


class ControlConnection:
    """A connection for control statements to one upstream, opened on demand.

    :param require_duty: raises an error if this instance may have lost the duty. It is
        called right before each statement that changes the upstream.
    """

    def __init__(
        self,
        upstream: Upstream,
        connector: Connector,
        require_duty: Callable[[], object],
    ) -> None:
        self.upstream = upstream
        self._connector = connector
        self._require_duty = require_duty
        self._connection: UpstreamConnection | None = None
        self._lock = trio.Lock()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, so that the upstream has not restarted."""
        return self._connection is not None and not self._connection.is_broken()

    async def open(self) -> None:
        """Open the connection if it is not open.

        :raises ControlFailed: if no connection can be opened in time.
        """
        if self.is_open:
            return
        await self.close()
        try:
            with trio.fail_after(COMMAND_TIMEOUT_S):
                self._connection = await self._connector.connect(
                    self.upstream, NO_ACCOUNT
                )
        except ConnectFailed as error:
            raise ControlFailed(str(error), error.failure) from error
        except trio.TooSlowError as error:
            raise ControlFailed(
                "opening a control connection timed out", ConnectFailure.UNREACHABLE
            ) from error

    async def read_status(self) -> UpstreamStatus:
        """Return the upstream's status.

        :raises ControlFailed: if no status is returned.
        """
        return await self._execute_for_status(ReadStatus())

    async def pause(self, term: Term) -> UpstreamStatus:
        """Pause replication on a replica and return its status.

        :raises ControlFailed: if it does not confirm; it may be paused.
        :raises DutyLost: if the duty may have passed to another holder.
        """
        return await self._execute_for_status(Pause(term))

    async def resume(self) -> None:
        """Resume replication on a paused replica.

        :raises ControlFailed: if no answer is received.
        :raises DutyLost: if the duty may have passed to another holder.
        """
        await self._execute(Resume())

    async def demote(self, term: Term) -> UpstreamStatus:
        """Demote a primary to a replica and return its status.

        :raises ControlFailed: if it does not confirm; it may be a replica.
        :raises DutyLost: if the duty may have passed to another holder.
        """
        return await self._execute_for_status(Demote(term))

    async def read_leader_position(self) -> LogPosition | None:
        """Return the position of a primary, or None if the upstream is none.

        Only a primary accepts a read-write transaction, so an empty one is the test.

        :raises ControlFailed: if no answer is received.
        """
        begin = await self._execute(Begin())
        if begin.error is not None:
            return None
        await self._execute(Rollback())
        return begin.position

    async def _execute_for_status(self, statement: Statement) -> UpstreamStatus:
        reply = await self._execute(statement)
        if reply.error is not None:
            raise ControlFailed(
                f"statement refused: {reply.error.kind.value} {reply.error.text}"
            )
        if reply.status is None:
            raise ControlFailed("the reply contains no status")
        return reply.status

    async def _execute(self, statement: Statement) -> Reply:
        async with self._lock:
            await self.open()
            assert self._connection is not None
            is_order = isinstance(statement, (Pause, Resume, Demote))
            if is_order:
                self._require_duty()
            sent_at = trio.current_time()
            try:
                with trio.fail_after(COMMAND_TIMEOUT_S):
                    await self._connection.send([Request(statement)])
                    reply = await self._connection.receive()
                if is_order:
                    self._log_answer(statement, reply, sent_at)
                return reply
            except (ConnectionLost, trio.TooSlowError) as error:
                if is_order:
                    extra = {**self._describe(statement), "reason": repr(error)}
                    log.warning("control statement unanswered", extra=extra)
                await self.close()
                text = f"{self.upstream.upstream_id} did not answer a control statement"
                raise ControlFailed(text, is_unanswered=True) from error
            except trio.Cancelled:
                with trio.CancelScope(shield=True):
                    await self.close()
                raise

    def _describe(self, statement: Statement) -> dict[str, object]:
        description: dict[str, object] = {
            "service": self.upstream.service,
            "upstream": self.upstream.upstream_id,
            "born_ms": self.upstream.born_ms,
            "address": self.upstream.address,
            "statement": type(statement).__name__.lower(),
        }
        if isinstance(statement, (Pause, Demote)):
            description["term"] = statement.term
        return description

    def _log_answer(self, statement: Statement, reply: Reply, sent_at: float) -> None:
        extra = self._describe(statement)
        extra["took_ms"] = round((trio.current_time() - sent_at) * 1000)
        if reply.error is not None:
            extra["error"] = f"{reply.error.kind.value} {reply.error.text}"
        if reply.status is not None:
            extra["role"] = reply.status.role.value
            extra["received"] = str(reply.status.received)
            extra["held_term"] = reply.status.held_term
        log.info("control statement answered", extra=extra)

    async def close(self) -> None:
        """Close the connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()
