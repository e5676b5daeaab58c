"""Codec for messages between instances."""

from __future__ import annotations

__all__ = ["Envelope", "FailureReply", "MessageCodec"]

from typing import Annotated, Any, Generic, TypeVar

import msgspec

from ..exceptions import Unreadable
from ..kernel.decoding import DECODE_ERRORS
from ..kernel.errors import ErrorKind

M = TypeVar("M")

# In milliseconds. The clock follows received stamps, and later ones would overflow.
MAX_STAMP_MS = 2**53


class FailureReply(msgspec.Struct, frozen=True, array_like=True, tag="failure"):
    """Reply that reports a request failure to the requesting peer.

    :param retry_after_s: seconds to wait before a retry, if known.
    """

    kind: ErrorKind
    message: str
    retry_after_s: float | None = None


class Envelope(msgspec.Struct, Generic[M], frozen=True, array_like=True):
    """Message with the number that matches a reply to its request.

    :param number: request number chosen by the requester; the reply repeats it.
    :param stamp_ms: hybrid logical clock of the sender in milliseconds.
    """

    number: int
    stamp_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_STAMP_MS)]
    message: M


class MessageCodec:
    """Encodes and decodes messages of one set of types.

    :param messages: union of the message types, without :class:`FailureReply`.
    """

    def __init__(self, messages: Any) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Envelope[messages | FailureReply])

    def encode(self, envelope: Envelope[Any]) -> bytes:
        """Return an envelope encoded as bytes."""
        return self._encoder.encode(envelope)

    def decode(self, data: bytes) -> Envelope[Any]:
        """Return the envelope decoded from bytes.

        :raises Unreadable: if the bytes are not a valid envelope.
        """
        try:
            return self._decoder.decode(data)
        except DECODE_ERRORS as error:
            raise Unreadable(str(error)) from error
