"""Peer links over real sockets: replies, keys, malformed data, silent connections."""

from __future__ import annotations

import trio
import zmq
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryfold.conftest import count_examples
from celeryfold.exceptions import RequestFailure, Unreadable
from celeryfold.fleet.messages import FLEET_CODEC, CheckSlot, CheckSlotReply
from celeryfold.kernel.errors import ErrorKind
from celeryfold.kernel.ids import SlotId
from celeryfold.links import zmq_link
from celeryfold.links.link import MessageNotSent, PeerUnreachable
from celeryfold.links.zmq_link import MAX_MESSAGE_BYTES, PeerKeys, ZmqLink


async def exchange(n_requests: int) -> list[bool]:
    """Send concurrent requests over two real links; return the replies in order.

    The last value tells whether a request to the closed peer got a reply.
    """
    replies: dict[int, bool] = {}
    async with trio.open_nursery() as nursery:
        server = ZmqLink("127.0.0.1", 0, FLEET_CODEC)
        client = ZmqLink("127.0.0.1", 0, FLEET_CODEC)

        async def answer(message: CheckSlot) -> CheckSlotReply:
            number = int(message.slot)
            await trio.sleep(0.001 * ((number * 7) % 5))
            return CheckSlotReply(number % 2 == 0)

        server.register_handler(CheckSlot, answer)
        await server.start(nursery)
        await client.start(nursery)

        async def send_request(number: int) -> None:
            address = f"127.0.0.1:{server.port}"
            message = CheckSlot(SlotId(str(number)))
            replies[number] = (await client.request(address, message, 5.0)).reached

        async with trio.open_nursery() as request_nursery:
            for number in range(n_requests):
                request_nursery.start_soon(send_request, number)
        await server.close()
        address = f"127.0.0.1:{server.port}"
        try:
            await client.request(address, CheckSlot(SlotId("1")), 0.2)
            replies[-1] = True
        except PeerUnreachable:
            replies[-1] = False
        await client.close()
        nursery.cancel_scope.cancel()
    return [replies[number] for number in (*range(n_requests), -1)]


def test_replies_match_their_requests_and_a_closed_peer_sends_none():
    replies = trio.run(exchange, 200)
    assert replies == [number % 2 == 0 for number in range(200)] + [False]


async def request_with_keys(server_keys: PeerKeys, client_keys: PeerKeys) -> bool:
    """Send a request over links with keys; return whether a reply came."""
    async with trio.open_nursery() as nursery:
        server = ZmqLink("127.0.0.1", 0, FLEET_CODEC, keys=server_keys)
        client = ZmqLink("127.0.0.1", 0, FLEET_CODEC, keys=client_keys)

        async def answer(message: CheckSlot) -> CheckSlotReply:
            return CheckSlotReply(True)

        server.register_handler(CheckSlot, answer)
        await server.start(nursery)
        await client.start(nursery)
        try:
            address = f"127.0.0.1:{server.port}"
            await client.request(address, CheckSlot(SlotId("s")), 1.0)
            replied = True
        except PeerUnreachable:
            replied = False
        await client.close()
        await server.close()
        nursery.cancel_scope.cancel()
    return replied


def test_a_link_accepts_only_the_fleet_key_pair():
    fleet_keys = PeerKeys(*zmq.curve_keypair())
    other_keys = PeerKeys(*zmq.curve_keypair())
    mixed_keys = PeerKeys(fleet_keys.public, other_keys.secret)
    assert trio.run(request_with_keys, fleet_keys, fleet_keys)
    assert not trio.run(request_with_keys, fleet_keys, other_keys)
    assert not trio.run(request_with_keys, fleet_keys, mixed_keys)


@given(st.binary(max_size=200))
def test_random_bytes_raise_only_decode_errors(data):
    try:
        FLEET_CODEC.decode(data)
    except Unreadable:
        return


async def send_malformed_frames(frames: list[list[bytes]]) -> bool:
    """Send malformed frames to a link; return whether it still replies."""
    context = zmq.Context()
    malformed_sender = context.socket(zmq.DEALER)
    malformed_sender.linger = 0
    async with trio.open_nursery() as nursery:
        server = ZmqLink("127.0.0.1", 0, FLEET_CODEC)
        client = ZmqLink("127.0.0.1", 0, FLEET_CODEC)

        async def answer(message: CheckSlot) -> CheckSlotReply:
            return CheckSlotReply(True)

        server.register_handler(CheckSlot, answer)
        await server.start(nursery)
        await client.start(nursery)
        malformed_sender.connect(f"tcp://127.0.0.1:{server.port}")
        for parts in frames:
            malformed_sender.send_multipart(parts)
        address = f"127.0.0.1:{server.port}"
        reply = await client.request(address, CheckSlot(SlotId("s")), 5.0)
        await client.close()
        await server.close()
        nursery.cancel_scope.cancel()
    context.destroy(linger=0)
    return reply.reached


frames = st.lists(st.lists(st.binary(max_size=40), min_size=1, max_size=4), max_size=8)


@settings(max_examples=count_examples(20, 300))
@given(frames)
def test_malformed_frames_do_not_stop_a_link(frame_lists):
    assert trio.run(send_malformed_frames, frame_lists)


class SilencingProxy:
    """Forwards bytes; raising ``n_silences`` silences the open connections."""

    def __init__(self, port: int) -> None:
        self.n_silences = 0
        self._port = port

    async def serve(self, stream: trio.SocketStream) -> None:
        """Forward the bytes of one connection in both directions."""
        epoch = self.n_silences
        try:
            server_stream = await trio.open_tcp_stream("127.0.0.1", self._port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, stream, server_stream, epoch)
                nursery.start_soon(self._forward, server_stream, stream, epoch)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass

    async def _forward(self, source, target, epoch: int) -> None:
        async for data in source:
            if epoch == self.n_silences:
                await target.send_all(data)


async def request_over_silenced_connection() -> list[bool]:
    """Send requests over a link whose connection is silenced after the first reply."""
    replied: list[bool] = []
    async with trio.open_nursery() as nursery:
        server = ZmqLink("127.0.0.1", 0, FLEET_CODEC)
        client = ZmqLink("127.0.0.1", 0, FLEET_CODEC)

        async def answer(message: CheckSlot) -> CheckSlotReply:
            return CheckSlotReply(True)

        server.register_handler(CheckSlot, answer)
        await server.start(nursery)
        await client.start(nursery)
        proxy = SilencingProxy(server.port)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, proxy.serve, listeners)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        for number in range(3):
            if number == 1:
                proxy.n_silences += 1
            try:
                await client.request(address, CheckSlot(SlotId("s")), 0.5)
                replied.append(True)
            except PeerUnreachable:
                replied.append(False)
        await client.close()
        await server.close()
        nursery.cancel_scope.cancel()
    return replied


def test_a_silent_connection_is_replaced():
    assert trio.run(request_over_silenced_connection) == [True, False, True]


def test_a_silent_connection_is_kept_without_retirement(monkeypatch):
    """Without retirement, later requests also wait on the silent connection."""
    monkeypatch.setattr(ZmqLink, "_retire", lambda self, address, peer: None)
    assert trio.run(request_over_silenced_connection) == [True, False, False]


# Guards against text or numbers of another program that end the process of a peer.
def test_a_message_that_cannot_be_encoded_ends_no_link():
    async def run() -> tuple[ErrorKind | None, bool, bool]:
        failure: ErrorKind | None = None
        async with trio.open_nursery() as nursery:
            server = ZmqLink("127.0.0.1", 0, FLEET_CODEC)
            client = ZmqLink("127.0.0.1", 0, FLEET_CODEC)

            async def answer(message: CheckSlot) -> CheckSlotReply:
                odd = 10**30 if message.slot == "odd" else True
                return CheckSlotReply(odd)  # type: ignore[arg-type]

            server.register_handler(CheckSlot, answer)
            await server.start(nursery)
            await client.start(nursery)
            address = f"127.0.0.1:{server.port}"
            try:
                await client.request(address, CheckSlot(SlotId("odd")), 5.0)
            except RequestFailure as error:
                failure = error.kind
            is_sent = True
            try:
                await client.request(address, CheckSlot(SlotId("\ud800")), 5.0)
            except PeerUnreachable:
                is_sent = False
            reply = await client.request(address, CheckSlot(SlotId("1")), 5.0)
            nursery.cancel_scope.cancel()
        return failure, is_sent, reply.reached

    async def run_in_time() -> tuple[ErrorKind | None, bool, bool]:
        with trio.fail_after(20.0):
            return await run()

    assert trio.run(run_in_time) == (ErrorKind.INTERNAL, False, True)


# Guards against a statement that ends at the link because a byte of it is no UTF-8.
def test_bytes_that_are_no_utf8_reach_the_handler():
    async def run() -> list[str]:
        received: list[str] = []
        async with trio.open_nursery() as nursery:
            server = ZmqLink("127.0.0.1", 0, FLEET_CODEC)
            client = ZmqLink("127.0.0.1", 0, FLEET_CODEC)

            async def answer(message: CheckSlot) -> CheckSlotReply:
                received.append(message.slot)
                return CheckSlotReply(True)

            server.register_handler(CheckSlot, answer)
            await server.start(nursery)
            await client.start(nursery)
            address = f"127.0.0.1:{server.port}"
            for text in ("M\udcfcller", "M\xfcller", ""):
                await client.request(address, CheckSlot(SlotId(text)), 5.0)
            nursery.cancel_scope.cancel()
        return received

    assert trio.run(run) == ["M\udcfcller", "M\xfcller", ""]


# Guards against a message over the size limit: its receiver closes the connection, and
# requests of others that are under way get no reply.
def test_a_message_over_the_limit_is_refused_alone():
    async def run() -> tuple[ErrorKind | None, bool, float, list[bool]]:
        failure: ErrorKind | None = None
        replies: list[bool] = []
        async with trio.open_nursery() as nursery:
            server = ZmqLink("127.0.0.1", 0, FLEET_CODEC)
            client = ZmqLink("127.0.0.1", 0, FLEET_CODEC)

            async def answer(message: CheckSlot) -> CheckSlotReply:
                if message.slot == "slow":
                    await trio.sleep(0.5)
                long_text = "x" * MAX_MESSAGE_BYTES
                reached = long_text if message.slot == "long" else True
                return CheckSlotReply(reached)  # type: ignore[arg-type]

            server.register_handler(CheckSlot, answer)
            await server.start(nursery)
            await client.start(nursery)
            address = f"127.0.0.1:{server.port}"

            async def send_slow(task_status: trio.TaskStatus[None]) -> None:
                task_status.started()
                try:
                    await client.request(address, CheckSlot(SlotId("slow")), 3.0)
                except PeerUnreachable:
                    replies.append(False)
                else:
                    replies.append(True)

            began = trio.current_time()
            async with trio.open_nursery() as requests:
                await requests.start(send_slow)
                await trio.sleep(0.1)
                is_refused = False
                try:
                    long = SlotId("x" * MAX_MESSAGE_BYTES)
                    await client.request(address, CheckSlot(long), 3.0)
                except MessageNotSent:
                    is_refused = True
                try:
                    await client.request(address, CheckSlot(SlotId("long")), 3.0)
                except RequestFailure as error:
                    failure = error.kind
                seconds = trio.current_time() - began
            nursery.cancel_scope.cancel()
        return failure, is_refused, seconds, replies

    failure, is_refused, seconds, replies = trio.run(run)
    assert (failure, is_refused) == (ErrorKind.INTERNAL, True)
    assert replies == [True]
    assert seconds < 2.0


# Guards against a process that ends, or a guardian whose steps fail, where the link has
# no socket left for a further peer.
def test_a_link_without_free_sockets_reports_peers_as_unreachable(monkeypatch):
    monkeypatch.setattr(zmq_link, "MAX_SOCKETS", 4)

    async def ask(link: ZmqLink, address: str, results: list[str]) -> None:
        try:
            await link.request(address, CheckSlot(SlotId("1")), 0.2)
        except PeerUnreachable as error:
            results.append(str(error))

    async def run() -> list[str]:
        results: list[str] = []
        async with trio.open_nursery() as nursery:
            link = ZmqLink("127.0.0.1", 0, FLEET_CODEC)
            await link.start(nursery)
            async with trio.open_nursery() as requests:
                for number in range(1, 8):
                    address = f"127.0.0.{number}:9"
                    requests.start_soon(ask, link, address, results)
            await link.close()
            nursery.cancel_scope.cancel()
        return results

    results = trio.run(run)
    assert len(results) == 7
    assert any("no socket" in text for text in results)


def test_a_link_has_sockets_for_more_than_a_thousand_peers():
    link = ZmqLink("127.0.0.1", 0, FLEET_CODEC)
    assert link._context.get(zmq.MAX_SOCKETS) > 2_100
    link._close_sockets()
