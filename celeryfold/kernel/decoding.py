"""Decoding of JSON that another program wrote."""

from __future__ import annotations

__all__ = ["DECODE_ERRORS", "decode_json"]

from typing import TypeVar

import msgspec

from ..exceptions import Unreadable

T = TypeVar("T")

# Deep nesting exhausts the stack of the decoder, and a number may not fit its type.
DECODE_ERRORS = (ValueError, RecursionError, OverflowError)


def decode_json(data: bytes | str, kind: type[T]) -> T:
    """Return JSON decoded into a type.

    :raises Unreadable: if the data is no JSON, is nested too deeply, or does not have
        the type; the message names the field.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise Unreadable(str(error)) from error
