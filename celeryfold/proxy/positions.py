"""Positions in the replicated log of a service."""

from __future__ import annotations

__all__ = ["LogPosition"]

import msgspec

from ..kernel.ids import Position, Term


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The position of an entry in a replicated log, ordered by term, then by index.

    :param term: the term of the primary that wrote the entry.
    :param number: the index of the entry in the log.
    """

    term: Term
    number: Position

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"
