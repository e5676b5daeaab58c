"""The replicated statement log of simulated slots."""

from __future__ import annotations

__all__ = ["LogBatch", "LogEntry", "LogSource", "OpenSource"]

from collections.abc import Callable
from typing import Protocol

import msgspec

from ..drivers.slot import Statement
from ..kernel.ids import Position, SlotId, Term


class LogEntry(msgspec.Struct, frozen=True):
    """One committed transaction; an entry without statements starts a term."""

    term: Term
    statements: tuple[Statement, ...] = ()


class LogBatch(msgspec.Struct, frozen=True):
    """Log entries for a replica.

    :param diverged: whether the replica must drop its log first and take the entries as
        the start of the new one.
    """

    entries: tuple[LogEntry, ...] = ()
    diverged: bool = False


class LogSource(Protocol):
    """Source of log entries for a replica."""

    async def fetch_log(
        self, after: Position, after_term: Term, wait_s: float
    ) -> LogBatch:
        """Return the log entries after a position.

        :param after_term: the term of the last entry that the replica has.
        :param wait_s: longest wait for an entry, in seconds.
        """


OpenSource = Callable[[SlotId, str], LogSource]
