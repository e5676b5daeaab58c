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
    """Ask a slot to run a batch."""

    statements: tuple[Statement, ...]
    begin: bool = False
    commit: bool = False


class PromoteBody(msgspec.Struct):
    """Order a slot to lead a term."""

    term: Term


class FollowBody(msgspec.Struct):
    """Order a slot to replicate."""

    primary: SlotId
    address: str
    term: Term


class SwapBody(msgspec.Struct):
    """Ask the store for a compare-and-swap."""

    key: str
    expected: int
    value: bytes


class SwapResult(msgspec.Struct):
    """Hold the new revision of a key, or None after a conflict."""

    revision: int | None


class WatchResult(msgspec.Struct):
    """Hold the entries that a watch found."""

    entries: list[StoreEntry]


class RefusalKind(Enum):
    """Name why a slot refused."""

    LIMIT = "connection_limit"
    STATEMENT = "statement"
    NOT_PRIMARY = "not_primary"
    ORDER = "order"


class Refusal(msgspec.Struct):
    """Hold a slot's refusal."""

    kind: RefusalKind
    message: str
