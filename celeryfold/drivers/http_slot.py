"""Slot driver for servers that accept HTTP/1.1 with JSON bodies."""

from __future__ import annotations

__all__ = ["HttpConnection", "HttpSlot"]

import ssl
from collections.abc import Sequence
from typing import Any, TypeVar

import msgspec
import trio

from ..exceptions import Unreadable
from ..kernel.decoding import DECODE_ERRORS, decode_json
from ..kernel.ids import Position, SlotId, Term
from ..kernel.metrics import Metrics
from ..wire.client import HttpChannel, HttpClient, ResponseLost, Unreachable
from ..wire.messages import HttpResponse
from .requests import ExecuteBody, FollowBody, PromoteBody, Refusal, RefusalKind
from .slot import (
    NO_POSITION,
    SLOT_DRIVERS,
    BatchResult,
    BatchResultLost,
    Connection,
    ConnectionRefused,
    NotPrimary,
    OrderRefused,
    Slot,
    SlotStatus,
    SlotUnreachable,
    Statement,
    StatementRejected,
)

T = TypeVar("T")

CONNECT_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_S = 1.0
HTTP_OK = 200

_REFUSAL_ERRORS = {
    RefusalKind.LIMIT: ConnectionRefused,
    RefusalKind.STATEMENT: StatementRejected,
    RefusalKind.NOT_PRIMARY: NotPrimary,
    RefusalKind.ORDER: OrderRefused,
}

_encoder = msgspec.json.Encoder()
_result_decoder = msgspec.json.Decoder(BatchResult)
_status_decoder = msgspec.json.Decoder(SlotStatus)


def _check_status(response: HttpResponse) -> bytes:
    if response.status == HTTP_OK:
        return response.body
    try:
        refusal = decode_json(response.body, Refusal)
    except Unreadable as error:
        raise BatchResultLost(f"the slot returned status {response.status}") from error
    raise _REFUSAL_ERRORS[refusal.kind](refusal.message)


def _decode(decoder: msgspec.json.Decoder[T], body: bytes) -> T:
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as error:
        raise BatchResultLost("malformed response from the slot") from error


class HttpConnection(Connection):
    """TCP connection that counts towards the slot's connection limit."""

    def __init__(self, channel: HttpChannel) -> None:
        self._channel = channel

    async def execute(
        self,
        statements: Sequence[Statement],
        *,
        begin: bool = False,
        commit: bool = False,
    ) -> BatchResult:
        """Run a batch of statements; see :class:`Connection`."""
        body = _encoder.encode(ExecuteBody(tuple(statements), begin, commit))
        return _decode(_result_decoder, await self._post("/execute", body))

    async def rollback(self) -> None:
        """Roll back the open transaction."""
        await self._post("/rollback", b"")

    async def _post(self, path: str, body: bytes) -> bytes:
        try:
            return _check_status(await self._channel.request("POST", path, body))
        except (ResponseLost, Unreachable) as error:
            raise BatchResultLost(str(error)) from error

    async def close(self) -> None:
        """Close the connection at once."""
        await self._channel.close()


class HttpSlot(Slot):
    """A slot reached over HTTP.

    :param address: IP address and port.
    :param tls: TLS context, or None for plain TCP.
    """

    def __init__(
        self,
        slot_id: SlotId,
        address: str,
        tls: ssl.SSLContext | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.slot_id = slot_id
        self.address = address
        self._tls = tls
        used_metrics = metrics or Metrics()
        self._control = HttpClient(
            address,
            tls,
            lambda n_bytes: used_metrics.count("slot.control_bytes", n_bytes),
        )

    async def connect(self) -> Connection:
        """Open a connection that counts towards the slot's limit."""
        channel = HttpChannel(self.address, self._tls)
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await channel.start()
                _check_status(await channel.request("POST", "/connect"))
        except (Unreachable, ResponseLost, trio.TooSlowError, BatchResultLost) as error:
            await channel.close()
            raise SlotUnreachable(f"cannot connect to {self.slot_id}") from error
        except BaseException:
            with trio.CancelScope(shield=True):
                await channel.close()
            raise
        return HttpConnection(channel)

    async def fetch_status(
        self, wait_position: Position = NO_POSITION, wait_s: float = 0.0
    ) -> SlotStatus:
        """Return the status of the slot."""
        path = f"/status?position={wait_position}&wait_ms={int(wait_s * 1000)}"
        body = await self._call("GET", path, b"", CONTROL_TIMEOUT_S + wait_s)
        return self._read_status(body)

    async def promote(self, term: Term) -> SlotStatus:
        """Order the slot to become the primary of a term."""
        return self._read_status(await self._send_order("/promote", PromoteBody(term)))

    async def follow(self, primary: SlotId, address: str, term: Term) -> None:
        """Order the slot to replicate from the primary of a term."""
        await self._send_order("/follow", FollowBody(primary, address, term))

    def _read_status(self, body: bytes) -> SlotStatus:
        try:
            return _decode(_status_decoder, body)
        except BatchResultLost as error:
            raise SlotUnreachable(f"{self.slot_id}: {error}") from error

    async def _send_order(self, path: str, order: Any) -> bytes:
        return await self._call("POST", path, _encoder.encode(order), CONTROL_TIMEOUT_S)

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> bytes:
        try:
            with trio.fail_after(timeout_s):
                return _check_status(await self._control.request(method, path, body))
        except (Unreachable, ResponseLost, trio.TooSlowError, BatchResultLost) as error:
            raise SlotUnreachable(f"no valid response from {self.slot_id}") from error

    async def close(self) -> None:
        """Close the control connections."""
        await self._control.close()


SLOT_DRIVERS.add("http", HttpSlot)
