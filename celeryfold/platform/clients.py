"""Client connections in the platform's session protocol."""

from __future__ import annotations

__all__ = ["LineClientChannel"]

import trio

from ..accounts import digest_key
from ..exceptions import BadInput
from ..kernel.errors import ErrorKind
from ..proxy.calls import Answer
from ..proxy.client_listener import (
    ClientChannel,
    ClientDisconnected,
    ClientMessage,
    MalformedMessage,
    Query,
    StartSession,
    Terminate,
)
from ..proxy.statements import Execute, Prepare, Read, Statement
from ..proxy.upstream import UpstreamError
from .lines import MAX_LINE_BYTES, LineStream, LineTooLong
from .protocol import decode_query, decode_request_id, encode_error, encode_state

# A position of two numbers and the shared name of a prepared statement.
N_ADDED_BYTES = 100
# For a client that sends a line that is too long to read the error.
UNREAD_LINE_TIMEOUT_S = 1.0
_CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class LineClientChannel(ClientChannel):
    """A client connection that exchanges lines of the session protocol."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._lines = LineStream(stream)
        self._has_unread_line = False

    async def receive(self) -> ClientMessage:
        """Return the next message, or a :class:`MalformedMessage` if it is invalid.

        :raises ClientDisconnected: if the connection is closed or broken.
        """
        try:
            line = await self._lines.receive()
        except LineTooLong as error:
            self._has_unread_line = True
            return MalformedMessage(ErrorKind.BODY_TOO_LARGE, str(error), True)
        except _CONNECTION_ERRORS as error:
            raise ClientDisconnected("the connection broke") from error
        if line is None:
            raise ClientDisconnected("the client closed the connection")
        return _decode_line(line)

    async def accept(self) -> None:
        """Confirm to the client that its session is open."""
        await self._send(["READY I -"])

    async def reject(self, error: UpstreamError) -> None:
        """Send the client the error that prevents its session from opening."""
        await self._send([encode_error(error)])

    async def answer(self, answer: Answer) -> None:
        """Send the response to the message received last."""
        lines = [f"ROW {row}" for row in answer.rows]
        if answer.error is not None:
            lines = [encode_error(answer.error)]
        else:
            lines.append(f"COMPLETE {answer.signature or '-'}")
        lines.append(f"READY {encode_state(answer.state)} -")
        await self._send(lines)

    async def _send(self, lines: list[str]) -> None:
        try:
            await self._lines.send(lines)
        except _CONNECTION_ERRORS as error:
            raise ClientDisconnected("the connection broke") from error

    async def close(self) -> None:
        """Close the connection; a client that still sends a line reads its error."""
        if self._has_unread_line:
            await self._lines.discard_input(UNREAD_LINE_TIMEOUT_S)
        await self._lines.close()


def _decode_line(line: bytes) -> ClientMessage:
    text = line.decode("utf-8", "surrogateescape")
    keyword, _, rest = text.partition(" ")
    if keyword == "QUERY":
        request_id, _, query = rest.partition(" ")
        try:
            statement = decode_query(query)
            if _may_grow(statement) and len(line) > MAX_LINE_BYTES - N_ADDED_BYTES:
                text = "the statement is too long by what is added; it was not run"
                return MalformedMessage(ErrorKind.BODY_TOO_LARGE, text)
            return Query(decode_request_id(request_id), statement)
        except BadInput as error:
            return MalformedMessage(ErrorKind.BAD_REQUEST, str(error))
    if keyword == "START" and rest:
        return _decode_start(rest)
    if keyword == "TERMINATE":
        return Terminate()
    # The text does not repeat the message: a malformed START may contain an API key.
    text = "unknown message; use START, QUERY or TERMINATE"
    return MalformedMessage(ErrorKind.BAD_REQUEST, text)


def _may_grow(statement: Statement) -> bool:
    """Return whether a position or a longer name may be added to a statement."""
    return isinstance(statement, Read | Execute | Prepare)


def _decode_start(fields: str) -> StartSession:
    """Return the session request of a database name and an API key, if there is one."""
    database, _, rest = fields.partition(" ")
    key = rest.partition(" ")[0]
    return StartSession(database, digest_key(key) if key else None)
