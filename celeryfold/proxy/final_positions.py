"""Up to which positions members that receive nothing any more have acknowledged."""

from __future__ import annotations

__all__ = ["FinalPosition", "FinalPositions"]

from collections.abc import Collection, Iterable, Mapping

import msgspec

from ..kernel.ids import UpstreamId
from .members import BornMs, Member
from .positions import LogPosition


class FinalPosition(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The position after which a member has received nothing, nor will it.

    :param position: each commit that the member may have acknowledged is at this
        position of the log or before it.
    """

    upstream_id: UpstreamId
    born_ms: BornMs
    position: LogPosition

    @property
    def member(self) -> Member:
        """The member that receives nothing after the position."""
        return Member(self.upstream_id, self.born_ms)


class FinalPositions:
    """The final positions of the members of a service.

    A log is a prefix of the primary's log, so a member that has received a position
    holds every commit before it, wherever its log came from. A member with a final
    position is therefore dispensable for each member that has reached that position.

    A final position ends when its member receives again. Any promotion lets paused
    members receive. An open promotion call counts as carried out unless the upstreams
    that it may name have been asked: one of them that has led holds what it led, and
    it alone could have had others acknowledge it.
    """

    def __init__(self) -> None:
        self._positions: dict[Member, LogPosition] = {}

    def record(self, member: Member, position: LogPosition) -> None:
        """Record that a member receives nothing after a position."""
        self._positions[member] = position

    def discard(self, member: Member) -> bool:
        """Forget the final position of a member; return whether it had one."""
        return self._positions.pop(member, None) is not None

    def clear(self) -> None:
        """Forget all final positions, as after a promotion."""
        self._positions.clear()

    def __contains__(self, member: Member) -> bool:
        return member in self._positions

    def list_members(self) -> list[Member]:
        """Return the members that have a final position."""
        return list(self._positions)

    def find_valid(
        self, targets: frozenset[UpstreamId] | None, held: Collection[Member]
    ) -> Mapping[Member, LogPosition]:
        """Return the final positions if no promotion can have ended them unseen.

        :param targets: the upstreams that open promotion calls may name, or None if
            they are not known.
        :param held: the members that are paused.
        """
        if targets is None or targets - {member.upstream_id for member in held}:
            return {}
        return self._positions

    @property
    def positions(self) -> Mapping[Member, LogPosition]:
        """The final position of each member that has one."""
        return self._positions

    def restore(self, recorded: Iterable[FinalPosition]) -> None:
        """Replace all final positions by those of the previous holder's record."""
        self._positions = {found.member: found.position for found in recorded}

    def retain(self, members: Collection[Member]) -> None:
        """Forget the final positions of all but some members."""
        for member in self._positions.keys() - set(members):
            del self._positions[member]

    def export(self) -> tuple[FinalPosition, ...]:
        """Return the final positions for the record."""
        return tuple(
            FinalPosition(member.upstream_id, member.born_ms, self._positions[member])
            for member in sorted(self._positions)
        )
