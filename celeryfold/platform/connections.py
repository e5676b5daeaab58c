"""Connections to upstream databases in the platform's session protocol."""

from __future__ import annotations

__all__ = ["LineConnection", "LineConnector"]

from collections import deque
from collections.abc import Sequence

import trio

from ..accounts import NO_ACCOUNT
from ..kernel.errors import ErrorKind
from ..kernel.ids import AccountId, UpstreamId
from ..proxy.statements import Demote, Pause, ReadStatus, Request
from ..proxy.upstream import (
    ConnectFailed,
    ConnectFailure,
    ConnectionLost,
    Connector,
    Reply,
    Upstream,
    UpstreamConnection,
    UpstreamError,
)
from ..wire.client import split_address
from .lines import LineStream, LineTooLong, open_line_stream
from .protocol import (
    NAME_PATTERN,
    decode_position,
    decode_state,
    decode_status,
    encode_request,
    find_error_kind,
)

# A database needs up to 30 ms to open a connection and may queue the request behind
# running statements.
CONNECT_TIMEOUT_S = 1.0
# A key of the store has at most 200 bytes.
MAX_ID_LENGTH = 200

_CONNECT_FAILURES = {
    ErrorKind.TOO_MANY_CONNECTIONS: ConnectFailure.TOO_MANY,
    ErrorKind.WRONG_INSTANCE: ConnectFailure.WRONG_INSTANCE,
    ErrorKind.NOT_AUTHENTICATED: ConnectFailure.ACCOUNT_REFUSED,
}
_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    LineTooLong,
)


class LineConnection(UpstreamConnection):
    """A database connection that exchanges lines of the session protocol."""

    def __init__(self, lines: LineStream) -> None:
        self._lines = lines
        self._pending_requests: deque[Request] = deque()

    async def start(self, service: str, caller: str, expected_id: str) -> None:
        """Open the session, naming the service and the expected database.

        :param caller: name under which the session is opened.
        :param expected_id: identifier of the database expected at this address.
        :raises ConnectFailed: if the database refuses the session.
        :raises ConnectionLost: if the connection ends before an answer.
        """
        await self._send([f"START {service} {caller} {expected_id}"])
        keyword, _, rest = (await self._receive_line()).partition(" ")
        if keyword == "READY":
            return
        code, _, text = rest.partition(" ")
        kind = find_error_kind(code) if keyword == "ERROR" else ErrorKind.INTERNAL
        failure = _CONNECT_FAILURES.get(kind, ConnectFailure.SESSION_REFUSED)
        is_named = NAME_PATTERN.fullmatch(text) and len(text) <= MAX_ID_LENGTH
        is_other = failure is ConnectFailure.WRONG_INSTANCE and text != expected_id
        raise ConnectFailed(
            failure,
            f"{expected_id} refused the session: {code} {text}",
            UpstreamId(text) if is_other and is_named else None,
        )

    async def send(self, requests: Sequence[Request]) -> None:
        """Send requests in a single write."""
        self._pending_requests.extend(requests)
        await self._send([encode_request(request) for request in requests])

    async def _send(self, lines: list[str]) -> None:
        try:
            await self._lines.send(lines)
        except _CONNECTION_ERRORS as error:
            raise ConnectionLost("the connection broke") from error

    async def _receive_line(self) -> str:
        try:
            line = await self._lines.receive()
        except _CONNECTION_ERRORS as error:
            raise ConnectionLost("the connection broke") from error
        if line is None:
            raise ConnectionLost("the database closed the connection")
        return line.decode("utf-8", "surrogateescape")

    async def receive(self) -> Reply:
        """Return the reply to the oldest pending request.

        :raises ConnectionLost: if the connection ends or the reply is malformed.
        """
        request = self._pending_requests.popleft()
        rows: list[str] = []
        signature = ""
        error: UpstreamError | None = None
        while True:
            keyword, _, rest = (await self._receive_line()).partition(" ")
            if keyword == "ROW":
                rows.append(rest)
            elif keyword == "COMPLETE":
                signature = rest
            elif keyword == "ERROR":
                code, _, text = rest.partition(" ")
                error = UpstreamError(find_error_kind(code), text)
            elif keyword == "READY" and (signature or error is not None):
                return _make_reply(request, rows, signature, error, rest)
            else:
                raise ConnectionLost(f"unexpected '{keyword[:20]}' in a database reply")

    def is_broken(self) -> bool:
        """Return whether the connection has ended or holds unsolicited data."""
        return self._lines.has_data()

    async def close(self) -> None:
        """Close the connection at once."""
        await self._lines.close()


def _make_reply(
    request: Request,
    rows: list[str],
    signature: str,
    error: UpstreamError | None,
    ready: str,
) -> Reply:
    try:
        state, _, position = ready.partition(" ")
        is_control_statement = isinstance(
            request.statement, ReadStatus | Pause | Demote
        )
        has_status = is_control_statement and error is None
        return Reply(
            rows=tuple(rows),
            signature=signature,
            error=error,
            state=decode_state(state),
            position=decode_position(position),
            status=decode_status(rows[0]) if has_status else None,
        )
    except (ValueError, KeyError, IndexError) as decode_error:
        raise ConnectionLost(
            f"malformed database reply: {ready[:40]}"
        ) from decode_error


class LineConnector(Connector):
    """Opens connections to databases.

    :param caller: name under which this instance opens connections for no account.
    """

    def __init__(self, caller: str) -> None:
        self._caller = caller

    async def connect(
        self, upstream: Upstream, account: AccountId = NO_ACCOUNT
    ) -> UpstreamConnection:
        """Open a connection to this database, checked by its identifier.

        :raises ConnectFailed: if no session can be opened; holds the kind of failure.
        """
        caller = account if account != NO_ACCOUNT else self._caller
        _check_names(upstream, caller, account)
        connection: LineConnection | None = None
        try:
            host, port = split_address(upstream.address)
            with trio.fail_after(CONNECT_TIMEOUT_S):
                connection = LineConnection(await open_line_stream(host, port))
                await connection.start(upstream.service, caller, upstream.upstream_id)
                return connection
        except BaseException as error:
            if connection is not None:
                with trio.CancelScope(shield=True):
                    await connection.close()
            text = f"{upstream.upstream_id} at {upstream.address}: {error!r}"
            if isinstance(error, ConnectionRefusedError):
                raise ConnectFailed(ConnectFailure.REFUSED, text) from error
            is_bad_address = isinstance(error, ValueError | OverflowError)
            is_lost = isinstance(error, OSError | trio.TooSlowError | ConnectionLost)
            if is_lost or is_bad_address:
                raise ConnectFailed(ConnectFailure.UNREACHABLE, text) from error
            raise


def _check_names(upstream: Upstream, caller: str, account: AccountId) -> None:
    if not NAME_PATTERN.fullmatch(caller):
        is_account = account != NO_ACCOUNT
        text = f"the name {caller!r} is not a printable word without blanks"
        raise ConnectFailed(
            ConnectFailure.ACCOUNT_REFUSED
            if is_account
            else ConnectFailure.UNREACHABLE,
            text,
        )
    for name in (upstream.service, upstream.upstream_id):
        if not NAME_PATTERN.fullmatch(name):
            text = f"the name {name!r} is not a printable word without blanks"
            raise ConnectFailed(ConnectFailure.UNREACHABLE, text)
