"""The HTTP client and server with late, incomplete and malformed traffic.

A request must get its own complete response or an error, never the response to another
request that was sent on the same connection.
"""

from __future__ import annotations

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryfold.conftest import count_examples
from celeryfold.wire.client import (
    MAX_RESPONSE_BYTES,
    HttpChannel,
    HttpClient,
    ResponseLost,
    Unreachable,
)
from celeryfold.wire.messages import HttpRequest, HttpResponse
from celeryfold.wire.server import ConnectionHandler, HttpServer

pytestmark = pytest.mark.proof

RESPONSE_KINDS = ["whole", "late", "cut", "twice", "garbled"]


async def serve_response_kinds(
    stream: trio.SocketStream, response_kinds: list[str]
) -> None:
    """Respond to the requests of one connection, each with the next response kind."""
    buffer = b""
    while True:
        while b"\r\n\r\n" not in buffer:
            data = await stream.receive_some()
            if not data:
                return
            buffer += data
        head, _, buffer = buffer.partition(b"\r\n\r\n")
        path = head.split(b" ")[1]
        response_kind = response_kinds.pop(0) if response_kinds else "whole"
        length = str(len(path)).encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: " + length + b"\r\n\r\n" + path
        if response_kind == "late":
            await trio.sleep(0.02)
        elif response_kind == "cut":
            await stream.send_all(answer[:-1])
            await stream.aclose()
            return
        elif response_kind == "twice":
            answer += answer
        elif response_kind == "garbled":
            answer = b"\x00" + answer
        await stream.send_all(answer)


async def request_all(response_kinds: list[str]) -> list[tuple[str, bytes | None]]:
    """Request numbered paths over one client, giving up on late responses."""
    response_kinds = list(response_kinds)
    results: list[tuple[str, bytes | None]] = []
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]

        async def handle(stream: trio.SocketStream) -> None:
            try:
                await serve_response_kinds(stream, response_kinds)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

        nursery.start_soon(trio.serve_listeners, handle, listeners)
        client = HttpClient(f"127.0.0.1:{port}")
        for number in range(len(response_kinds) + 2):
            path = f"/{number}"
            body = None
            with trio.move_on_after(0.005 if response_kinds[:1] == ["late"] else 5):
                try:
                    body = (await client.request("GET", path)).body
                except (ResponseLost, Unreachable):
                    body = None
            results.append((path, body))
        await client.close()
        nursery.cancel_scope.cancel()
    return results


@settings(max_examples=count_examples(30, 500))
@given(st.lists(st.sampled_from(RESPONSE_KINDS), max_size=6))
def test_each_response_is_complete_and_matches_its_request(response_kinds):
    for path, body in trio.run(request_all, response_kinds):
        assert body is None or body == path.encode()


def test_reusing_a_connection_after_a_timeout_mixes_up_responses(monkeypatch):
    """Unless the connection is closed, a late response is taken for the next one."""

    async def keep_open(self) -> None:
        self.is_usable = True

    async def request_unparsed(self, method, path, body=b"", headers=()):
        if self._stream is None:
            await HttpChannel.start(self)
        await self._stream.send_all(f"GET {path} HTTP/1.1\r\n\r\n".encode())
        data = await self._stream.receive_some()
        return HttpResponse(200, bytes(data).rpartition(b"\r\n\r\n")[2])

    channels: dict[str, HttpChannel] = {}

    async def acquire_same(self) -> HttpChannel:
        if self.address not in channels:
            channels[self.address] = HttpChannel(self.address)
        return channels[self.address]

    monkeypatch.setattr(HttpChannel, "close", keep_open)
    monkeypatch.setattr(HttpChannel, "request", request_unparsed)
    monkeypatch.setattr(HttpClient, "_acquire_channel", acquire_same)
    results = trio.run(request_all, ["late", "whole", "whole"])
    assert any(body not in (None, path.encode()) for path, body in results)


class EchoHandler(ConnectionHandler):
    """Responds with the length of the body."""

    async def handle(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, str(len(request.body)).encode())


async def send_raw(data: bytes) -> bytes:
    """Send bytes to a server, end the stream and return all that it sends back."""
    async with trio.open_nursery() as nursery:
        server = HttpServer("127.0.0.1", 0, EchoHandler)
        await server.start(nursery)
        stream = await trio.open_tcp_stream("127.0.0.1", server.port)
        answer = b""
        try:
            await stream.send_all(data)
            await stream.send_eof()
            with trio.move_on_after(5):
                async for part in stream:
                    answer += part
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        good = await HttpClient(f"127.0.0.1:{server.port}").request("POST", "/", b"abc")
        assert good.body == b"3"
        await server.close()
        nursery.cancel_scope.cancel()
    return answer


@settings(max_examples=count_examples(40, 1000))
@given(st.binary(max_size=300))
def test_random_bytes_do_not_stop_the_server(data):
    answer = trio.run(send_raw, data)
    assert answer == b"" or answer.startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 20_000 + b"\r\n\r\n", b"431"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1600000\r\n\r\n"
            + b"a" * 1_600_000,
            b"413",
        ),
        (b"nonsense\r\n\r\n", b"400"),
    ],
    ids=["headers", "body", "nonsense"],
)
def test_bad_input_gets_a_clear_status(data, status):
    assert trio.run(send_raw, data)[9:12] == status


async def stop_during_request() -> list[bytes | None]:
    """Shut a server down during a request and return the response bodies."""
    release = trio.Event()
    answers: list[bytes | None] = []

    class SlowHandler(ConnectionHandler):
        async def handle(self, request: HttpRequest) -> HttpResponse:
            await release.wait()
            return HttpResponse(200, request.path.encode())

    async def ask(port: int) -> None:
        client = HttpClient(f"127.0.0.1:{port}")
        try:
            answers.append((await client.request("GET", "/slow")).body)
        except ResponseLost:
            answers.append(None)
        await client.close()

    async def shut_down(server: HttpServer, serving: trio.Nursery) -> None:
        await server.stop_accepting()
        await server.wait_idle()
        serving.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        async with trio.open_nursery() as serving:
            server = HttpServer("127.0.0.1", 0, SlowHandler)
            await server.start(serving)
            nursery.start_soon(ask, server.port)
            await trio.testing.wait_all_tasks_blocked(0.02)
            nursery.start_soon(shut_down, server, serving)
            await trio.testing.wait_all_tasks_blocked()
            release.set()
    return answers


def test_a_stopping_server_completes_requests_in_progress():
    assert trio.run(stop_during_request) == [b"/slow"]


def test_requests_in_progress_are_cut_without_wait_idle(monkeypatch):
    """Without the wait, the shutdown cancels the request before its response."""

    async def return_at_once(self) -> None:
        return

    monkeypatch.setattr(HttpServer, "wait_idle", return_at_once)
    assert trio.run(stop_during_request) == [None]


async def send_slowly(n_bytes: int) -> tuple[float, bytes]:
    """Send one byte a second; return the time until the server closed and its data."""
    server = HttpServer("127.0.0.1", 0, EchoHandler)
    client_stream, server_stream = trio.testing.memory_stream_pair()
    started_at = trio.current_time()
    received = b""

    async def send() -> None:
        for byte in (b"POST / HTTP/1.1\r\nHost: x\r\n" * 9)[:n_bytes]:
            try:
                await client_stream.send_all(bytes([byte]))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            await trio.sleep(1.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(server._serve, server_stream)
        nursery.start_soon(send)
        async for part in client_stream:
            received += part
        nursery.cancel_scope.cancel()
    return trio.current_time() - started_at, received


def test_a_slow_client_is_disconnected_at_the_read_timeout():
    clock = trio.testing.MockClock(autojump_threshold=0)
    seconds, received = trio.run(send_slowly, 200, clock=clock)
    assert seconds <= 15.0
    assert received == b""


# Guards against a response that takes the memory of the process.
def test_a_response_without_end_is_lost():
    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
        try:
            await stream.send_all(head)
            for _ in range(MAX_RESPONSE_BYTES // 0x100000 + 100):
                await stream.send_all(chunk)
        except trio.BrokenResourceError:
            return

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            client = HttpClient(f"127.0.0.1:{port}")
            with pytest.raises(ResponseLost, match="exceeds"):
                await client.request("GET", "/")
            nursery.cancel_scope.cancel()

    trio.run(run)


# Guards against review case 7: a HEAD request ended the process.
@pytest.mark.parametrize("method", ["HEAD", "OPTIONS", "CONNECT", "BREW"])
def test_requests_with_any_method_are_answered_and_do_not_stop_the_server(method):
    request = f"{method} /metrics HTTP/1.1\r\nHost: x\r\n\r\n".encode()
    get = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    answer = trio.run(send_raw, request + get)
    expected = b"400" if method == "CONNECT" else b"200"
    assert answer.startswith(b"HTTP/1.1 " + expected)
    if method == "HEAD":
        head, _, rest = answer.partition(b"\r\n\r\n")
        assert b"content-length: 1" in head.lower()
        assert rest.startswith(b"HTTP/1.1 200")
        assert rest.endswith(b"\r\n\r\n0")


class OddHandler(ConnectionHandler):
    """Responds with a body where the protocol allows none."""

    async def handle(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(204, b"body")


# Guards against a handler whose response the protocol does not allow.
def test_a_response_that_breaks_the_protocol_ends_its_connection_only():
    async def run() -> list[bytes]:
        answers = []
        async with trio.open_nursery() as nursery:
            server = HttpServer("127.0.0.1", 0, OddHandler)
            await server.start(nursery)
            for _ in range(2):
                stream = await trio.open_tcp_stream("127.0.0.1", server.port)
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                with trio.fail_after(5):
                    answers.append(await stream.receive_some())
            await server.close()
            nursery.cancel_scope.cancel()
        return answers

    assert trio.run(run) == [b"", b""]
