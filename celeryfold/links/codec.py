"""Codec for messages between instances."""

from __future__ import annotations

__all__ = ["Envelope", "FailureReply", "MessageCodec", "encode_message"]

from typing import Annotated, Any, Generic, TypeVar

import msgspec

from ..exceptions import Unreadable
from ..kernel.decoding import DECODE_ERRORS
from ..kernel.errors import ErrorKind

M = TypeVar("M")

# In milliseconds. The clock follows received stamps, and later ones would overflow.
MAX_STAMP_MS = 2**53
# No MessagePack data begins with this byte.
RAW_TEXT_MARK = b"\xc1"
RAW_TEXT = 1

_encoder = msgspec.msgpack.Encoder()


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

    MessagePack has only texts in UTF-8. A message with a text that is none, decoded
    with ``surrogateescape``, begins with a mark and holds such texts as their bytes.

    :param messages: union of the message types, without :class:`FailureReply`. Their
        mappings have no keys of type ``bytes``.
    """

    def __init__(self, messages: Any) -> None:
        self._type = Envelope[messages | FailureReply]
        self._decoder = msgspec.msgpack.Decoder(self._type)
        self._raw_decoder = msgspec.msgpack.Decoder(ext_hook=_decode_raw_text)

    def encode(self, envelope: Envelope[Any]) -> bytes:
        """Return an envelope encoded as bytes.

        :raises ValueError: if a text was not decoded from bytes.
        :raises OverflowError: if an integer has more than 64 bits.
        """
        return encode_message(envelope)

    def decode(self, data: bytes) -> Envelope[Any]:
        """Return the envelope decoded from bytes.

        :raises Unreadable: if the bytes are not a valid envelope.
        """
        try:
            if data[:1] != RAW_TEXT_MARK:
                return self._decoder.decode(data)
            builtins = _restore_keys(self._raw_decoder.decode(data[1:]))
            return msgspec.convert(builtins, self._type)
        except DECODE_ERRORS as error:
            raise Unreadable(str(error)) from error


def encode_message(message: msgspec.Struct) -> bytes:
    """Return a message encoded as bytes; see :class:`MessageCodec`."""
    try:
        return _encoder.encode(message)
    except UnicodeEncodeError:
        builtins = msgspec.to_builtins(message, builtin_types=(bytes,))
        return RAW_TEXT_MARK + _encoder.encode(_escape_texts(builtins))


def _escape_texts(value: Any) -> Any:
    """Replace the texts that are no UTF-8; keys are replaced by plain bytes."""
    if isinstance(value, str):
        data = _escape_text(value)
        return msgspec.msgpack.Ext(RAW_TEXT, data) if isinstance(data, bytes) else value
    if isinstance(value, dict):
        return {_escape_text(k): _escape_texts(item) for k, item in value.items()}
    if isinstance(value, list | tuple):
        return [_escape_texts(item) for item in value]
    return value


def _escape_text(text: str) -> str | bytes:
    try:
        text.encode()
    except UnicodeEncodeError:
        return text.encode("utf-8", "surrogateescape")
    return text


def _decode_raw_text(code: int, data: memoryview) -> str:
    if code != RAW_TEXT:
        raise ValueError(f"unknown extension {code}")
    return bytes(data).decode("utf-8", "surrogateescape")


def _restore_keys(value: Any) -> Any:
    if isinstance(value, dict):
        return {_restore_key(key): _restore_keys(item) for key, item in value.items()}
    return [_restore_keys(v) for v in value] if isinstance(value, list) else value


def _restore_key(key: Any) -> Any:
    return key.decode("utf-8", "surrogateescape") if isinstance(key, bytes) else key
