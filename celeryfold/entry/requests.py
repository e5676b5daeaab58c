"""JSON bodies that callers send and get."""

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
from typing import TypeVar

import msgspec

from ..drivers.slot import Scalar
from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind

T = TypeVar("T")

MAX_KEY_LENGTH = 200


class Mode(Enum):
    """Tell whether a statement may change data."""

    READ = "read"
    WRITE = "write"


class StatementRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for one statement.

    :param key: the data key that chooses the upstream group.
    :param accepted_age_ms: how old read data may be; the service's read rule if None.
    :param idempotency_key: lets a write be repeated without running twice.
    :param session: the token of the caller's last answer.
    """

    statement: str
    parameters: tuple[Scalar, ...] = ()
    key: str = ""
    mode: Mode = Mode.READ
    accepted_age_ms: int | None = None
    idempotency_key: str = ""
    deadline_ms: int | None = None
    session: str = ""


class StatementResponse(msgspec.Struct):
    """Answer a statement.

    :param session: the token to send with the next request.
    """

    request_id: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Scalar, ...], ...]
    n_changed: int
    session: str
    slot: str
    replayed: bool = False


class BeginRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for a transaction."""

    key: str = ""
    idempotency_key: str = ""
    deadline_ms: int | None = None


class BeginResponse(msgspec.Struct):
    """Name the open transaction."""

    transaction: str


class FinishRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask to commit or to roll back."""

    session: str = ""
    deadline_ms: int | None = None


class CancelRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ask for the definite outcome of an idempotency key."""

    idempotency_key: str
    key: str = ""
    session: str = ""
    deadline_ms: int | None = None


def decode_body(body: bytes, kind: type[T]) -> T:
    """Return the typed body of a request.

    :raises RequestFailure: naming the field that is wrong.
    """
    try:
        return msgspec.json.decode(body or b"{}", type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestFailure(ErrorKind.BAD_REQUEST, f"body: {error}") from error
