"""HTTP/1.1 server that handles each connection in its own trio task."""

from __future__ import annotations

__all__ = ["ConnectionHandler", "HttpServer"]

import logging
import math
import ssl
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial

import h11
import trio

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from .failures import make_failure_response
from .listening import open_listeners
from .messages import MAX_BODY_BYTES, MAX_HEADER_BYTES, HttpRequest, HttpResponse

log = logging.getLogger(__name__)

READ_CHUNK_BYTES = 65_536
IDLE_TIMEOUT_S = 300.0
REQUEST_READ_TIMEOUT_S = 10.0
WRITE_TIMEOUT_S = 10.0
DRAIN_IDLE_TIMEOUT_S = 0.5
HEADERS_TOO_LARGE_TEXT = f"headers exceed {MAX_HEADER_BYTES} bytes; shorten them"


class ConnectionHandler(ABC):
    """Handles the requests of one connection in order."""

    @abstractmethod
    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request.

        :raises RequestFailure: if the request fails; it becomes an error response.
        """

    async def close(self) -> None:
        """Release the resources of the connection."""


class HttpServer:
    """Listens on one address and gives each connection a task and a handler.

    :param port: TCP port, or 0 to choose a free one.
    :param make_handler: creates the handler of each new connection.
    :param tls: TLS context, or None for plain TCP.
    """

    def __init__(
        self,
        host: str,
        port: int,
        make_handler: Callable[[], ConnectionHandler],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self._make_handler = make_handler
        self._tls = tls
        self._listeners: list[trio.SocketListener] = []
        self._accept_scope = trio.CancelScope()
        self._n_requests_in_progress = 0
        self._idle_scopes: set[trio.CancelScope] = set()
        self.is_stopping = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the port and serve until the server is closed.

        :param nursery: nursery that runs the tasks of the connections.
        :raises BadInput: if the port cannot be opened.
        """
        self._listeners = await open_listeners(self.host, self.port)
        self.port = self._listeners[0].socket.getsockname()[1]
        nursery.start_soon(self._accept, nursery)

    async def _accept(self, nursery: trio.Nursery) -> None:
        with self._accept_scope:
            serve = partial(
                trio.serve_listeners,
                self._serve,
                self._listeners,
                handler_nursery=nursery,
            )
            await serve()

    async def stop_accepting(self) -> None:
        """Stop accepting connections and let the open ones finish.

        Each open connection closes after its next response, or after
        ``DRAIN_IDLE_TIMEOUT_S`` if it is idle, so that a request in transit is still
        served.
        """
        self.is_stopping = True
        self._accept_scope.cancel()
        for listener in self._listeners:
            await listener.aclose()
        for scope in self._idle_scopes:
            scope.deadline = trio.current_time() + DRAIN_IDLE_TIMEOUT_S

    async def wait_idle(self) -> None:
        """Wait until no connection has a request in progress or in transit."""
        while self._n_requests_in_progress or self._idle_scopes:
            await trio.sleep(0.01)

    async def close(self) -> None:
        """Stop accepting connections; idle ones close after a short delay."""
        await self.stop_accepting()

    async def _serve(self, stream: trio.abc.Stream) -> None:
        if self._tls is not None:
            stream = trio.SSLStream(stream, self._tls, server_side=True)
        handler = self._make_handler()
        scope = trio.CancelScope()
        try:
            with scope:
                await self._serve_requests(stream, handler, scope)
        except (trio.BrokenResourceError, trio.ClosedResourceError, ssl.SSLError):
            pass
        finally:
            self._idle_scopes.discard(scope)
            with trio.CancelScope(shield=True):
                await handler.close()
            await trio.aclose_forcefully(stream)

    async def _serve_requests(
        self,
        stream: trio.abc.Stream,
        handler: ConnectionHandler,
        scope: trio.CancelScope,
    ) -> None:
        parser = h11.Connection(h11.SERVER, MAX_HEADER_BYTES)
        while True:
            try:
                request = await self._read_request(stream, parser, scope)
            except RequestFailure as failure:
                scope.deadline = trio.current_time() + WRITE_TIMEOUT_S
                await _send(stream, parser, make_failure_response(failure), True)
                return
            if request is None:
                return
            self._n_requests_in_progress += 1
            try:
                scope.deadline = math.inf
                response = await self._handle_request(handler, request)
                scope.deadline = trio.current_time() + WRITE_TIMEOUT_S
                is_head = request.method == "HEAD"
                await _send(stream, parser, response, self.is_stopping, is_head)
            finally:
                self._n_requests_in_progress -= 1
            if response.close or parser.our_state is not h11.DONE:
                return
            parser.start_next_cycle()

    async def _handle_request(
        self, handler: ConnectionHandler, request: HttpRequest
    ) -> HttpResponse:
        try:
            return await handler.handle(request)
        except RequestFailure as failure:
            return make_failure_response(failure)
        except trio.BrokenResourceError:
            raise
        except Exception:
            log.exception("request failed", extra={"path": request.path})
            text = "internal error, see the log"
            return make_failure_response(RequestFailure(ErrorKind.INTERNAL, text))

    async def _read_request(
        self, stream: trio.abc.Stream, parser: h11.Connection, scope: trio.CancelScope
    ) -> HttpRequest | None:
        """Read one request; the deadline of ``scope`` limits slow clients."""
        head: h11.Request | None = None
        body = bytearray()
        idle_s = DRAIN_IDLE_TIMEOUT_S if self.is_stopping else IDLE_TIMEOUT_S
        scope.deadline = trio.current_time() + idle_s
        self._idle_scopes.add(scope)
        while True:
            event = _next_event(parser)
            if event is h11.NEED_DATA:
                data = await stream.receive_some(READ_CHUNK_BYTES)
                if scope in self._idle_scopes:
                    self._idle_scopes.discard(scope)
                    scope.deadline = trio.current_time() + REQUEST_READ_TIMEOUT_S
                _feed_parser(parser, bytes(data))
            elif isinstance(event, h11.Request):
                _check_header_size(event)
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    text = f"body exceeds {MAX_BODY_BYTES} bytes; send a smaller one"
                    raise RequestFailure(ErrorKind.BODY_TOO_LARGE, text)
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        self._idle_scopes.discard(scope)
        if head is None:
            return None
        path, _, query = head.target.decode("ascii", "replace").partition("?")
        method = head.method.decode("ascii")
        if method == "CONNECT":
            text = "CONNECT is not supported; use another method"
            raise RequestFailure(ErrorKind.BAD_REQUEST, text)
        return HttpRequest(method, path, bytes(body), query, head.headers)


def _check_header_size(head: h11.Request) -> None:
    n_bytes = sum(len(name) + len(value) for name, value in head.headers)
    if n_bytes + len(head.target) > MAX_HEADER_BYTES:
        raise RequestFailure(ErrorKind.HEADERS_TOO_LARGE, HEADERS_TOO_LARGE_TEXT)


def _feed_parser(parser: h11.Connection, data: bytes) -> None:
    try:
        parser.receive_data(data)
    except h11.RemoteProtocolError as error:
        raise _describe_protocol_error(error) from error


def _next_event(parser: h11.Connection) -> object:
    try:
        return parser.next_event()
    except h11.RemoteProtocolError as error:
        raise _describe_protocol_error(error) from error


def _describe_protocol_error(error: h11.RemoteProtocolError) -> RequestFailure:
    if error.error_status_hint == 431:
        return RequestFailure(ErrorKind.HEADERS_TOO_LARGE, HEADERS_TOO_LARGE_TEXT)
    return RequestFailure(ErrorKind.BAD_REQUEST, f"invalid HTTP/1.1 request: {error}")


async def _send(
    stream: trio.abc.Stream,
    parser: h11.Connection,
    response: HttpResponse,
    close: bool = False,
    is_head: bool = False,
) -> None:
    """Send a response.

    :param close: whether the connection is closed after it.
    :param is_head: whether it answers a HEAD request, so that its body is left out.
    """
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    if close or response.close:
        headers.append(("Connection", "close"))
    if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return
    head = h11.Response(status_code=response.status, headers=headers)
    events: list[h11.Event] = [head]
    if not is_head:
        events.append(h11.Data(data=response.body))
    events.append(h11.EndOfMessage())
    try:
        parts = [parser.send(event) or b"" for event in events]
    except h11.LocalProtocolError:
        log.exception("response not sent", extra={"status": response.status})
        raise trio.BrokenResourceError("the response breaks the protocol") from None
    await stream.send_all(b"".join(parts))
