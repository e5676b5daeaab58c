"""Peer links over pyzmq: a ROUTER socket to serve and a DEALER socket per peer."""

from __future__ import annotations

__all__ = ["PeerKeys", "ZmqLink"]

import itertools
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import trio
import zmq

from ..exceptions import BadInput, RequestFailure, Unreadable
from ..kernel.decoding import DECODE_ERRORS
from ..kernel.errors import ErrorKind
from ..kernel.events import HybridClock
from ..kernel.metrics import Metrics
from .codec import Envelope, FailureReply, MessageCodec
from .link import MessageNotSent, PeerLink, PeerUnreachable

if TYPE_CHECKING:
    from zmq.auth.thread import ThreadAuthenticator

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 4_000_000
N_QUEUED_MESSAGES = 10_000
# A guardian of a large fleet sends requests to all of its peers at a time.
MAX_SOCKETS = 8_192
HEARTBEAT_INTERVAL_MS = 5000
HEARTBEAT_TIMEOUT_MS = 15000
PEER_IDLE_CLOSE_S = 20.0


@dataclass(frozen=True)
class PeerKeys:
    """CURVE key pair shared by all instances of the fleet, as Z85 text."""

    public: bytes
    secret: bytes


class _PeerConnection:
    def __init__(self, socket: zmq.Socket[bytes]) -> None:
        self.socket = socket
        self.scope = trio.CancelScope()
        self.last_used_at = trio.current_time()
        self.n_pending = 0
        self.is_retired = False

    def close_if_unused(self) -> None:
        """Close a retired connection that has no pending requests."""
        if self.is_retired and not self.n_pending:
            self.scope.cancel()


class _PendingRequest:
    def __init__(self) -> None:
        self.done = trio.Event()
        self.reply: Any = None


class ZmqLink(PeerLink):
    """Serves on one TCP address and keeps a connection to each peer in use.

    :param port: TCP port to serve on, or 0 to choose a free one.
    :param codec: codec for the messages between instances.
    :param keys: CURVE keys, or None for plain TCP.
    """

    def __init__(
        self,
        host: str,
        port: int,
        codec: MessageCodec,
        clock: HybridClock | None = None,
        metrics: Metrics | None = None,
        keys: PeerKeys | None = None,
    ) -> None:
        super().__init__()
        self.host = host
        self.port = port
        self._codec = codec
        self._clock = clock or HybridClock()
        self._metrics = metrics or Metrics()
        self._keys = keys
        self._context = zmq.Context()
        self._context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self._router = self._context.socket(zmq.ROUTER)
        self._peers: dict[str, _PeerConnection] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._request_numbers = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._closed = trio.Event()
        self._authenticator: ThreadAuthenticator | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Bind the port and serve until the link is closed.

        :raises BadInput: if the port cannot be bound.
        """
        if self._keys is not None:
            self._start_authenticator(self._keys)
        _set_options(self._router)
        try:
            if self.port:
                self._router.bind(f"tcp://{self.host}:{self.port}")
            else:
                self.port = self._router.bind_to_random_port(f"tcp://{self.host}")
        except zmq.ZMQError as error:
            text = f"cannot listen on {self.host}:{self.port}: {error}"
            raise BadInput(f"{text}; free the port or configure another") from error
        await nursery.start(self._serve_until_closed)

    async def _serve_until_closed(self, task_status: trio.TaskStatus[None]) -> None:
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._serve)
                nursery.start_soon(self._close_idle_peers)
                task_status.started()
        finally:
            self._nursery = None
            self._close_sockets()
            self._closed.set()

    def _start_authenticator(self, keys: PeerKeys) -> None:
        # Imported here because it loads asyncio, which takes a while at the start.
        from zmq.auth.thread import ThreadAuthenticator

        self._authenticator = ThreadAuthenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            "*", credentials_provider=_SingleKeyProvider(keys.public)
        )
        self._router.curve_server = True
        self._router.curve_publickey = keys.public
        self._router.curve_secretkey = keys.secret

    async def _serve(self) -> None:
        while True:
            self._drain_router()
            await trio.lowlevel.wait_readable(self._router.fileno())

    def _drain_router(self) -> None:
        while True:
            try:
                identity, data = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            except ValueError:
                self._metrics.count("peer.unreadable")
                continue
            envelope = self._decode(data)
            if envelope is not None and self._nursery is not None:
                self._nursery.start_soon(self._answer, identity, envelope)

    def _decode(self, data: bytes) -> Envelope[Any] | None:
        self._metrics.count("peer.bytes_received", len(data))
        try:
            envelope = self._codec.decode(data)
        except Unreadable:
            self._metrics.count("peer.unreadable")
            return None
        self._clock.observe(envelope.stamp_ms)
        return envelope

    async def _answer(self, identity: bytes, envelope: Envelope[Any]) -> None:
        handler = self.handlers.get(type(envelope.message))
        if handler is None:
            self._metrics.count("peer.unexpected")
            return
        try:
            reply = await handler(envelope.message)
        except RequestFailure as failure:
            reply = FailureReply(failure.kind, failure.message, failure.retry_after_s)
        except Exception:
            log.exception("peer request failed")
            reply = FailureReply(ErrorKind.INTERNAL, "internal error, see the log")
        try:
            data = self._encode(envelope.number, reply)
        except MessageNotSent as error:
            log.exception("peer reply cannot be encoded")
            reply = FailureReply(ErrorKind.INTERNAL, f"the reply is lost: {error}")
            data = self._encode(envelope.number, reply)
        if self._nursery is None:
            return
        try:
            self._router.send_multipart([identity, data], zmq.NOBLOCK)
        except zmq.ZMQError:
            self._metrics.count("peer.reply_dropped")
        self._drain_router()

    def _encode(self, number: int, message: Any) -> bytes:
        """Return a message encoded as bytes.

        :raises MessageNotSent: if it holds a value of another program that has no
            encoding, or if it is too large: the peer would close the connection.
        """
        stamp_ms, _ = self._clock.advance()
        try:
            data = self._codec.encode(Envelope(number, stamp_ms, message))
        except DECODE_ERRORS as error:
            self._metrics.count("peer.unencodable")
            raise MessageNotSent(f"a message cannot be encoded: {error}") from error
        if len(data) > MAX_MESSAGE_BYTES:
            self._metrics.count("peer.too_large")
            text = f"a message of {len(data)} bytes exceeds {MAX_MESSAGE_BYTES}"
            raise MessageNotSent(text)
        self._metrics.count("peer.bytes_sent", len(data))
        return data

    async def request(
        self, address: str, message: msgspec.Struct, timeout_s: float
    ) -> Any:
        """Send a request to a peer and return its reply; see :class:`PeerLink`."""
        if self._nursery is None:
            raise PeerUnreachable("the link is not running")
        number = next(self._request_numbers)
        data = self._encode(number, message)
        peer = self._peers.get(address) or self._connect(address)
        pending = self._pending[number] = _PendingRequest()
        peer.last_used_at = trio.current_time()
        peer.n_pending += 1
        try:
            peer.socket.send(data, zmq.NOBLOCK)
            self._drain_dealer(peer.socket)
            with trio.move_on_after(timeout_s):
                await pending.done.wait()
        except zmq.ZMQError as error:
            raise PeerUnreachable(f"a request to {address} cannot be sent") from error
        finally:
            peer.n_pending -= 1
            del self._pending[number]
            peer.close_if_unused()
        if not pending.done.is_set():
            self._retire(address, peer)
            raise PeerUnreachable(f"{address} did not reply in time")
        if isinstance(pending.reply, FailureReply):
            reply = pending.reply
            raise RequestFailure(reply.kind, reply.message, reply.retry_after_s)
        return pending.reply

    def _retire(self, address: str, peer: _PeerConnection) -> None:
        """Replace a silent connection by a new one for further requests.

        A connection can stay silent permanently while new ones work. The old one stays
        open only for requests that are still pending on it.
        """
        if self._peers.get(address) is peer:
            del self._peers[address]
            self._metrics.count("peer.link_retired")
        peer.is_retired = True
        peer.close_if_unused()

    def _connect(self, address: str) -> _PeerConnection:
        """Open a connection to a peer.

        :raises PeerUnreachable: if the address is none, or no socket is left.
        """
        assert self._nursery is not None
        try:
            socket = self._context.socket(zmq.DEALER)
        except zmq.ZMQError as error:
            self._metrics.count("peer.no_socket")
            raise PeerUnreachable(f"no socket for {address}: {error}") from error
        _set_options(socket)
        if self._keys is not None:
            socket.curve_serverkey = self._keys.public
            socket.curve_publickey = self._keys.public
            socket.curve_secretkey = self._keys.secret
        try:
            socket.connect(f"tcp://{address}")
        except (zmq.ZMQError, *DECODE_ERRORS) as error:
            socket.close(linger=0)
            raise PeerUnreachable(f"{address!r} is no address of a peer") from error
        peer = self._peers[address] = _PeerConnection(socket)
        self._nursery.start_soon(self._receive, peer)
        return peer

    async def _receive(self, peer: _PeerConnection) -> None:
        with peer.scope:
            while True:
                self._drain_dealer(peer.socket)
                await trio.lowlevel.wait_readable(peer.socket.fileno())
        peer.socket.close(linger=0)

    def _drain_dealer(self, socket: zmq.Socket[bytes]) -> None:
        while True:
            try:
                data = socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            envelope = self._decode(data)
            if envelope is None:
                continue
            pending = self._pending.get(envelope.number)
            if pending is None:
                self._metrics.count("peer.late_reply")
                continue
            pending.reply = envelope.message
            pending.done.set()

    async def _close_idle_peers(self) -> None:
        while True:
            await trio.sleep(PEER_IDLE_CLOSE_S / 4)
            cutoff = trio.current_time() - PEER_IDLE_CLOSE_S
            for address, peer in list(self._peers.items()):
                if peer.last_used_at < cutoff and not peer.n_pending:
                    del self._peers[address]
                    peer.scope.cancel()

    async def close(self) -> None:
        """Close all connections; pending requests get no reply."""
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()
            await self._closed.wait()

    def _close_sockets(self) -> None:
        for peer in self._peers.values():
            peer.socket.close(linger=0)
        self._peers.clear()
        self._router.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)


class _SingleKeyProvider:
    def __init__(self, key: bytes) -> None:
        self._key = key

    def callback(self, domain: str, key: bytes) -> bool:
        return key == self._key


def _set_options(socket: zmq.Socket[bytes]) -> None:
    socket.linger = 0
    socket.maxmsgsize = MAX_MESSAGE_BYTES
    socket.sndhwm = N_QUEUED_MESSAGES
    socket.rcvhwm = N_QUEUED_MESSAGES
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
