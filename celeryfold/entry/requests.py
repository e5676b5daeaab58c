"""JSON bodies of caller requests and responses."""

from __future__ import annotations

__all__ = [
    "BeginRequest",
    "BeginResponse",
    "CancelRequest",
    "FinishRequest",
    "Mode",
    "StatementRequest",
    "StatementResponse",
    "decode_body",
]

from enum import Enum
from typing import Annotated, TypeVar

import msgspec

from ..drivers.slot import Scalar
from ..exceptions import RequestFailure, Unreadable
from ..kernel.decoding import decode_json
from ..kernel.errors import ErrorKind

T = TypeVar("T")

MAX_KEY_LENGTH = 200
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
MAX_AGE_MS = 2**53


class Mode(Enum):
    """Whether a statement only reads or may change data."""

    READ = "read"
    WRITE = "write"


class StatementRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to run one statement.

    :param key: data key that selects the upstream group.
    :param accepted_age_ms: maximum age of read data in milliseconds, or None to use the
        read rule of the service.
    :param idempotency_key: allows a write to be repeated without running twice.
    :param deadline_ms: milliseconds until the deadline, or None to use the service's.
    :param session: session token of the caller's last response.
    """

    statement: str
    parameters: tuple[Scalar, ...] = ()
    key: str = ""
    mode: Mode = Mode.READ
    accepted_age_ms: (
        Annotated[int, msgspec.Meta(ge=-MAX_AGE_MS, le=MAX_AGE_MS)] | None
    ) = None
    idempotency_key: str = ""
    deadline_ms: int | None = None
    session: str = ""

    def __post_init__(self) -> None:
        for value in self.parameters:
            if isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
                text = "an integer of more than 64 bits in `parameters`; give a text"
                raise ValueError(text)


class StatementResponse(msgspec.Struct):
    """Response to a statement.

    :param session: session token to send with the next request.
    """

    request_id: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Scalar, ...], ...]
    n_changed: int
    session: str
    slot: str
    replayed: bool = False


class BeginRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to open a transaction."""

    key: str = ""
    idempotency_key: str = ""
    deadline_ms: int | None = None


class BeginResponse(msgspec.Struct):
    """Response that names the opened transaction."""

    transaction: str


class FinishRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to commit or roll back a transaction."""

    session: str = ""
    deadline_ms: int | None = None


class CancelRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request for the definite outcome of an idempotency key."""

    idempotency_key: str
    key: str = ""
    session: str = ""
    deadline_ms: int | None = None


def decode_body(body: bytes, kind: type[T]) -> T:
    """Return the typed body of a request.

    :raises RequestFailure: if the body is invalid; the message names the field.
    """
    try:
        return decode_json(body or b"{}", kind)
    except Unreadable as error:
        raise RequestFailure(ErrorKind.BAD_REQUEST, f"body: {error}") from error
