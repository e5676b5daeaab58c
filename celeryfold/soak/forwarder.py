"""A TCP forwarder on the loopback interface that injects network faults."""

from __future__ import annotations

__all__ = ["Forwarder"]

import contextlib
import socket
import struct

import trio

READ_BYTES = 65_536
# The time after which databases close a connection whose client is unreachable.
TARGET_CLOSE_DELAY_S = 3.0
CUT_POLL_S = 0.02
# SO_LINGER with a timeout of 0: closing the socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _ForwardedConnection:
    """A forwarded connection: the stream to the client and the one to the target."""

    def __init__(self, client: trio.SocketStream, target: trio.SocketStream) -> None:
        self.client = client
        self.target = target
        self.is_silent = False


class Forwarder:
    """A forwarder of connections to a local port, with faults set by attributes.

    :param delay_s: delay in each direction, in seconds.
    :param cuts_to_target: whether bytes to the target are held back.
    :param cuts_from_target: whether bytes from the target are held back.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.delay_s = 0.0
        self.cuts_to_target = False
        self.cuts_from_target = False
        self._connections: set[_ForwardedConnection] = set()
        self._nursery: trio.Nursery | None = None
        self._listening = trio.CancelScope()

    async def start(self, nursery: trio.Nursery, port: int = 0) -> None:
        """Listen on a port, which becomes `port`.

        :param port: the port, or 0 for any that is free.
        """
        self.port = port
        self._nursery = nursery
        await self.accept()

    async def accept(self) -> None:
        """Accept connections, for the first time or again."""
        assert self._nursery is not None
        listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        self._listening = trio.CancelScope()
        self._nursery.start_soon(self._listen, listeners, self._listening)

    async def _listen(
        self, listeners: list[trio.SocketListener], scope: trio.CancelScope
    ) -> None:
        with scope:
            await trio.serve_listeners(
                self._forward, listeners, handler_nursery=self._nursery
            )

    def refuse(self) -> None:
        """Refuse new connections, as a host without the process does."""
        self._listening.cancel()

    @property
    def is_refusing(self) -> bool:
        """Whether new connections are refused."""
        return self._listening.cancel_called

    @property
    def is_disturbed(self) -> bool:
        """Whether bytes are delayed, held back or discarded."""
        is_cut = self.cuts_to_target or self.cuts_from_target
        is_silent = any(connection.is_silent for connection in self._connections)
        return is_cut or is_silent or self.delay_s > 0

    def heal(self) -> None:
        """End all faults; silenced connections stay silent."""
        self.delay_s = 0.0
        self.cuts_to_target = False
        self.cuts_from_target = False

    def reset_all(self) -> None:
        """Reset all open connections at both ends."""
        for connection in list(self._connections):
            for stream in (connection.client, connection.target):
                # A stream that is closed already has nothing to reset.
                with contextlib.suppress(OSError):
                    stream.socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                stream.socket.close()

    def silence_all(self) -> None:
        """Make the open connections discard all bytes; new connections work.

        The target closes such a connection later; the client is not notified.
        """
        for connection in self._connections:
            connection.is_silent = True
            if self._nursery is not None:
                self._nursery.start_soon(self._close_target, connection)

    async def _forward(self, client: trio.SocketStream) -> None:
        try:
            target = await trio.open_tcp_stream("127.0.0.1", self.target_port)
        except OSError:
            # The target cannot be reached, so this connection is closed.
            await trio.aclose_forcefully(client)
            return
        connection = _ForwardedConnection(client, target)
        self._connections.add(connection)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, connection, client, target, nursery)
                nursery.start_soon(self._copy, connection, target, client, nursery)
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(client)
            await trio.aclose_forcefully(target)

    async def _copy(
        self,
        connection: _ForwardedConnection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        nursery: trio.Nursery,
    ) -> None:
        try:
            while data := await source.receive_some(READ_BYTES):
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                while self._is_cut(connection, source) and not connection.is_silent:
                    await trio.sleep(CUT_POLL_S)
                if not connection.is_silent:
                    await sink.send_all(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # One end closed or failed; both streams are closed below.
            pass
        if connection.is_silent and source is connection.target:
            # The client must detect the failure by itself, so its stream stays open.
            await trio.sleep_forever()
        nursery.cancel_scope.cancel()

    async def _close_target(self, connection: _ForwardedConnection) -> None:
        """Close the target side of a silent connection, as a database would in time."""
        await trio.sleep(TARGET_CLOSE_DELAY_S)
        await trio.aclose_forcefully(connection.target)

    def _is_cut(
        self, connection: _ForwardedConnection, source: trio.SocketStream
    ) -> bool:
        is_cut = (
            self.cuts_to_target
            if source is connection.client
            else self.cuts_from_target
        )
        return is_cut
