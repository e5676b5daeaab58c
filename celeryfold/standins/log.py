"""The statement log that slot stand-ins replicate."""

from __future__ import annotations

__all__ = ["LogBatch", "LogEntry", "LogSource", "OpenSource"]

from collections.abc import Callable
from typing import Protocol

import msgspec

from ..drivers.slot import Statement
from ..kernel.ids import Position, SlotId, Term


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one committed transaction; an entry without statements starts a term."""

    term: Term
    statements: tuple[Statement, ...] = ()


class LogBatch(msgspec.Struct, frozen=True):
    """Hold log entries for a replica, or tell it that its log has diverged."""

    entries: tuple[LogEntry, ...] = ()
    diverged: bool = False


class LogSource(Protocol):
    """Give log entries to a replica."""

    async def fetch_log(
        self, after: Position, after_term: Term, wait_s: float
    ) -> LogBatch:
        """Return the entries after a position."""


OpenSource = Callable[[SlotId, str], LogSource]
