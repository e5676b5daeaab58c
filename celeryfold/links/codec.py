"""The codec of messages between instances."""

from __future__ import annotations

__all__ = ["Envelope", "FailureReply", "MessageCodec"]

from typing import Any, Generic, TypeVar

import msgspec

from ..kernel.errors import ErrorKind

M = TypeVar("M")


class FailureReply(msgspec.Struct, frozen=True, array_like=True, tag="failure"):
    """Carry a request failure back to the peer that asked."""

    kind: ErrorKind
    message: str
    retry_after_s: float | None = None


class Envelope(msgspec.Struct, Generic[M], frozen=True, array_like=True):
    """Wrap a message with what matches replies to requests.

    :param number: chosen by the asker; the reply carries the same.
    :param stamp_ms: the sender's hybrid time.
    """

    number: int
    stamp_ms: int
    message: M


class MessageCodec:
    """Encode and decode the messages of one set of types.

    :param messages: the union of all message types besides failures.
    """

    def __init__(self, messages: Any) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope[messages | FailureReply])

    def encode(self, envelope: Envelope[Any]) -> bytes:
        """Return the bytes of an envelope."""
        return self._encoder.encode(envelope)

    def decode(self, data: bytes) -> Envelope[Any]:
        """Return the envelope in the bytes.

        :raises msgspec.DecodeError: where they hold none.
        """
        return self._decoder.decode(data)
