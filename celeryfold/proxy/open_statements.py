"""Control statements that may be executed although they had no answer."""

from __future__ import annotations

__all__ = ["LATE_STATEMENT_S", "OpenStatements", "StatementKind"]

from collections.abc import Collection
from enum import Enum

from .members import Member

# A statement without an answer is executed at most 12 s later; the rest is margin.
LATE_STATEMENT_S = 13.0


class StatementKind(Enum):
    """A control statement that changes what its member receives or leads."""

    PAUSE = "pause"
    RESUME = "resume"
    DEMOTE = "demote"


class OpenStatements:
    """The control statements of a service that may be executed at any moment.

    A later answer of the same member does not settle an earlier statement: they may
    have travelled on different connections.

    :param bound_s: how long after a statement was given up it may be executed, seconds.
    """

    def __init__(self, bound_s: float) -> None:
        self._bound_s = bound_s
        # When the last statement of a kind to a member was given up.
        self._given_up_at: dict[tuple[Member, StatementKind], float] = {}

    def record_unanswered(
        self, member: Member, kind: StatementKind, now: float
    ) -> None:
        """Record that a statement was given up without an answer.

        :param now: the current time, in seconds of this instance's clock.
        """
        earlier = self._given_up_at.get((member, kind), now)
        self._given_up_at[member, kind] = max(earlier, now)

    def list_open(self, kind: StatementKind, now: float) -> frozenset[Member]:
        """Return the members that may execute a statement of this kind.

        :param now: the current time, in seconds of this instance's clock.
        """
        return frozenset(
            member
            for (member, open_kind), given_up_at in self._given_up_at.items()
            if open_kind is kind and now - given_up_at < self._bound_s
        )

    def restore(
        self, members: Collection[Member], kind: StatementKind, now: float
    ) -> None:
        """Add what the record of the previous holder names, counted from now.

        :param members: the members to which it may have sent statements of this kind.
        :param now: the current time, in seconds of this instance's clock.
        """
        for member in members:
            self.record_unanswered(member, kind, now)

    def forget(self, member: Member) -> None:
        """Remove a member that executes nothing any more."""
        for kind in StatementKind:
            self._given_up_at.pop((member, kind), None)
