"""HTTP/1.1 client connections and a small keep-alive pool of them."""

from __future__ import annotations

__all__ = [
    "HttpChannel",
    "HttpClient",
    "ResponseLost",
    "Unreachable",
    "is_address",
    "is_ip_address",
    "split_address",
]

import socket
import ssl
from collections.abc import Callable, Sequence

import h11
import trio

from ..exceptions import CeleryfoldError
from .messages import HttpResponse

READ_CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 2.0
# Far above any response of the store, a slot or the platform.
MAX_RESPONSE_BYTES = 32_000_000
MAX_PORT = 65_535
N_PORT_DIGITS = 5
MAX_IDLE_CHANNELS = 8
IDLE_CHANNEL_TIMEOUT_S = 20.0


Headers = Sequence[tuple[str, str]]


class Unreachable(CeleryfoldError):
    """No usable connection: nothing was sent."""


class ResponseLost(CeleryfoldError):
    """The request may have been received, but no complete response arrived."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address such as ``127.0.0.1:8080``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(text: str) -> bool:
    """Return whether a text is an address that :func:`split_address` accepts."""
    host, _, port = text.rpartition(":")
    # Python refuses to convert a number of thousands of digits.
    is_number = port.isascii() and port.isdigit() and len(port) <= N_PORT_DIGITS
    return bool(host) and is_number and 0 < int(port) <= MAX_PORT


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IPv4 address with a port."""
    host, _, _ = text.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return is_address(text)


class HttpChannel:
    """One HTTP connection; after a failure it is closed and not used again.

    :param address: IP address and port of the server.
    :param tls: TLS context, or None for plain TCP.
    :param connect_timeout_s: how long opening the connection may take, in seconds.
    """

    def __init__(
        self,
        address: str,
        tls: ssl.SSLContext | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self.is_usable = False
        self.idle_since = 0.0
        self.n_bytes = 0
        self._tls = tls
        self._stream: trio.abc.Stream | None = None
        self._parser = h11.Connection(h11.CLIENT)

    async def start(self) -> None:
        """Open the connection.

        :raises Unreachable: if the connection does not open in time.
        """
        host, port = split_address(self.address)
        try:
            with trio.fail_after(self._connect_timeout_s):
                stream: trio.abc.Stream = await trio.open_tcp_stream(host, port)
                if self._tls is not None:
                    stream = trio.SSLStream(stream, self._tls, server_hostname=host)
                    await stream.do_handshake()
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as error:
            raise Unreachable(f"cannot open a connection to {self.address}") from error
        self._stream = stream
        self.is_usable = True

    async def request(
        self, method: str, path: str, body: bytes = b"", headers: Headers = ()
    ) -> HttpResponse:
        """Send a request and return the complete response.

        :raises Unreachable: if the connection is unusable; nothing was sent.
        :raises ResponseLost: if the connection ends before the response is complete.
        """
        if self._stream is None or not self.is_usable:
            raise Unreachable(f"the connection to {self.address} is closed")
        if self.has_unsolicited_data():
            self.is_usable = False
            raise Unreachable(
                f"{self.address} closed the connection or sent extra data"
            )
        self.is_usable = False
        data = self._encode(method, path, body, headers)
        self.n_bytes += len(data)
        try:
            await self._stream.send_all(data)
            response = await self._read_response(self._stream)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ResponseLost(f"the connection to {self.address} broke") from error
        except h11.RemoteProtocolError as error:
            raise ResponseLost(
                f"incomplete or invalid response from {self.address}"
            ) from error
        if self._is_exchange_complete():
            self._parser.start_next_cycle()
            self.is_usable = True
        return response

    def _is_exchange_complete(self) -> bool:
        """Return whether the response is complete and no data follows it."""
        if self._parser.trailing_data[0]:
            return False
        states = (self._parser.our_state, self._parser.their_state)
        return states == (h11.DONE, h11.DONE)

    def has_unsolicited_data(self) -> bool:
        """Return whether the server sent unsolicited data or closed the connection."""
        stream = self._stream
        if isinstance(stream, trio.SSLStream):
            stream = stream.transport_stream
        if isinstance(stream, trio.SocketStream):
            return bool(stream.socket.is_readable())
        return False

    def _encode(
        self, method: str, path: str, body: bytes, extra_headers: Headers
    ) -> bytes:
        headers = [
            ("Host", self.address),
            ("Content-Length", str(len(body))),
            *extra_headers,
        ]
        head = h11.Request(method=method, target=path, headers=headers)
        parts = [self._parser.send(head) or b""]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)) or b"")
        parts.append(self._parser.send(h11.EndOfMessage()) or b"")
        return b"".join(parts)

    async def _read_response(self, stream: trio.abc.Stream) -> HttpResponse:
        status = 0
        headers: list[tuple[str, str]] = []
        body = bytearray()
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(READ_CHUNK_BYTES)
                self.n_bytes += len(data)
                self._parser.receive_data(bytes(data))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = [(n.decode(), v.decode("latin-1")) for n, v in event.headers]
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    text = f"a response of {self.address} exceeds {MAX_RESPONSE_BYTES}"
                    raise ResponseLost(f"{text} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return HttpResponse(status, bytes(body), headers)
            elif event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ResponseLost(f"{self.address} sent no complete response")

    async def close(self) -> None:
        """Close the connection at once."""
        self.is_usable = False
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
            self._stream = None


class HttpClient:
    """Sends requests to one server over a pool of keep-alive connections.

    :param address: IP address and port of the server.
    :param tls: TLS context, or None for plain TCP.
    :param count_bytes: called with the size of each request and its response in bytes.
    :param connect_timeout_s: how long opening a connection may take, in seconds.
    """

    def __init__(
        self,
        address: str,
        tls: ssl.SSLContext | None = None,
        count_bytes: Callable[[int], None] | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.address = address
        self._connect_timeout_s = connect_timeout_s
        self._count_bytes = count_bytes
        self._tls = tls
        self._idle: list[HttpChannel] = []

    async def request(
        self, method: str, path: str, body: bytes = b"", headers: Headers = ()
    ) -> HttpResponse:
        """Send one request on an idle connection or a new one.

        :raises Unreachable: if nothing was sent.
        :raises ResponseLost: if the outcome of the request is unknown.
        """
        channel = await self._acquire_channel()
        n_bytes_before = channel.n_bytes
        try:
            response = await channel.request(method, path, body, headers)
            if self._count_bytes is not None:
                self._count_bytes(channel.n_bytes - n_bytes_before)
        except BaseException:
            with trio.CancelScope(shield=True):
                await channel.close()
            raise
        if channel.is_usable and len(self._idle) < MAX_IDLE_CHANNELS:
            channel.idle_since = trio.current_time()
            self._idle.append(channel)
        else:
            await channel.close()
        return response

    async def _acquire_channel(self) -> HttpChannel:
        while self._idle:
            channel = self._idle.pop()
            idle_s = trio.current_time() - channel.idle_since
            if idle_s < IDLE_CHANNEL_TIMEOUT_S and not channel.has_unsolicited_data():
                return channel
            await channel.close()
        channel = HttpChannel(self.address, self._tls, self._connect_timeout_s)
        await channel.start()
        return channel

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().close()
