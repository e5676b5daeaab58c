"""JSON bodies of the HTTP interfaces of slots, the store and the list."""

from __future__ import annotations

__all__ = [
    "ExecuteBody",
    "FollowBody",
    "PromoteBody",
    "Refusal",
    "RefusalKind",
    "SwapBody",
    "SwapResult",
    "WatchResult",
]

from enum import Enum

import msgspec

from ..kernel.ids import SlotId, Term
from .slot import Statement
from .store import StoreEntry


class ExecuteBody(msgspec.Struct):
    """Request to a slot to run a batch of statements."""

    statements: tuple[Statement, ...]
    begin: bool = False
    commit: bool = False


class PromoteBody(msgspec.Struct):
    """Body of the order that makes a slot the primary of a term."""

    term: Term


class FollowBody(msgspec.Struct):
    """Body of the order that makes a slot replicate from a primary."""

    primary: SlotId
    address: str
    term: Term


class SwapBody(msgspec.Struct):
    """Request to the store for a compare-and-swap."""

    key: str
    expected: int
    value: bytes


class SwapResult(msgspec.Struct):
    """New revision of a key, or None after a conflict."""

    revision: int | None


class WatchResult(msgspec.Struct):
    """Changed entries that a watch found."""

    entries: list[StoreEntry]


class RefusalKind(Enum):
    """Reason why a slot refused a request."""

    LIMIT = "connection_limit"
    STATEMENT = "statement"
    NOT_PRIMARY = "not_primary"
    ORDER = "order"


class Refusal(msgspec.Struct):
    """Response of a slot that refuses a request."""

    kind: RefusalKind
    message: str
