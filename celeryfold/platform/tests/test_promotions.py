"""What is known of a promotion call after each way in which it can fail."""

from __future__ import annotations

import socket

import pytest
import trio

from celeryfold.exceptions import CeleryfoldError
from celeryfold.kernel.ids import InstanceId, ServiceId, UpstreamId
from celeryfold.kernel.metrics import Metrics
from celeryfold.platform.promotions import HttpPromotions
from celeryfold.proxy.promotions import (
    PromotionNotMade,
    PromotionRefused,
    PromotionUnanswered,
)

CALL = (ServiceId("orders"), UpstreamId("orders-1"), InstanceId("one"), 7)


async def promote_against(answer: bytes | None) -> type[CeleryfoldError] | None:
    """Request a promotion from a server that sends an answer, or closes.

    :returns: the kind of the failure.
    """
    failure: type[CeleryfoldError] | None = None

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(65_536)
        if answer is not None:
            await stream.send_all(answer)
        await stream.aclose()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        try:
            await HttpPromotions(f"127.0.0.1:{port}", Metrics()).promote(*CALL)
        except CeleryfoldError as error:
            failure = type(error)
        nursery.cancel_scope.cancel()
    return failure


def make_answer(status: int) -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode()


@pytest.mark.parametrize(
    ("answer", "failure"),
    [
        (make_answer(200), None),
        (make_answer(409), PromotionRefused),
        (make_answer(429), PromotionNotMade),
        (make_answer(503), PromotionUnanswered),
        (None, PromotionUnanswered),
    ],
)
def test_a_failed_call_tells_whether_it_may_still_be_carried_out(answer, failure):
    assert trio.run(promote_against, answer) is failure


def test_a_call_that_found_no_server_is_never_carried_out():
    async def run(port: int) -> None:
        await HttpPromotions(f"127.0.0.1:{port}", Metrics()).promote(*CALL)

    # A bound port without a listener refuses connections.
    with socket.socket() as bound, pytest.raises(PromotionNotMade):
        bound.bind(("127.0.0.1", 0))
        trio.run(run, bound.getsockname()[1])
