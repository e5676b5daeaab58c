"""Line streams of the session protocol over TCP."""

from __future__ import annotations

__all__ = ["MAX_LINE_BYTES", "LineStream", "LineTooLong", "open_line_stream"]

import socket

import trio

from ..exceptions import CeleryfoldError

# Message size limit of the session protocol.
MAX_LINE_BYTES = 1024 * 1024
READ_CHUNK_BYTES = 65_536
LINE_END = b"\r\n"
# Time limit for unacknowledged data: short enough to detect a dead host before
# statements time out; network interruptions shorter than this keep the connection.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
N_KEEPALIVE_PROBES = 3


class LineTooLong(CeleryfoldError):
    """A line exceeds the size limit; the lines after it cannot be delimited."""


async def open_line_stream(host: str, port: int) -> LineStream:
    """Open a line stream to a TCP server.

    :param host: IP address.
    :raises ConnectionRefusedError: if nothing listens on the port.
    :raises OSError: if the host cannot be reached.
    """
    sock = trio.socket.socket()
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return LineStream(trio.SocketStream(sock))


class LineStream:
    """Reads and writes lines; cancelling ``receive`` loses no data."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self._n_searched = 0
        _set_timeouts(stream.socket)

    async def receive(self) -> bytes | None:
        """Return the next line without its terminator, or None at end of stream.

        :raises LineTooLong: if the line exceeds ``MAX_LINE_BYTES``.
        :raises OSError: if the connection breaks.
        :raises trio.BrokenResourceError: if the connection breaks.
        """
        while True:
            end = self._buffer.find(LINE_END, self._n_searched)
            n_bytes = end if end >= 0 else len(self._buffer)
            if n_bytes > MAX_LINE_BYTES:
                text = f"line exceeds {MAX_LINE_BYTES} bytes; send shorter lines"
                raise LineTooLong(text)
            if end >= 0:
                line = bytes(self._buffer[:end])
                del self._buffer[: end + len(LINE_END)]
                self._n_searched = 0
                return line
            self._n_searched = max(len(self._buffer) - 1, 0)
            data = await self._stream.receive_some(READ_CHUNK_BYTES)
            if not data:
                return None
            self._buffer += data

    async def send(self, lines: list[str]) -> None:
        """Send lines in a single write.

        :raises trio.BrokenResourceError: if the connection breaks.
        """
        text = "".join(f"{line}\r\n" for line in lines)
        await self._stream.send_all(text.encode("utf-8", "surrogateescape"))

    def has_data(self) -> bool:
        """Return whether data or the end of the stream can be read."""
        return bool(self._buffer) or self._stream.socket.is_readable()

    async def discard_input(self, timeout_s: float) -> None:
        """End the output, then read and drop what comes until the other side closes.

        Closing a connection with unread data resets it, and the other side loses what
        it has not read yet.

        :param timeout_s: how long to wait for the end, in seconds.
        """
        self._buffer.clear()
        try:
            with trio.move_on_after(timeout_s):
                await self._stream.send_eof()
                while await self._stream.receive_some(READ_CHUNK_BYTES):
                    pass
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The other side has closed the connection.
            pass

    async def close(self) -> None:
        """Close the connection at once."""
        await trio.aclose_forcefully(self._stream)


def _set_timeouts(sock: trio.socket.SocketType) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, N_KEEPALIVE_PROBES)
