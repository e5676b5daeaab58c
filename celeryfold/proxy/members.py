"""The replicas that may hold a commit which nothing else holds."""

from __future__ import annotations

__all__ = ["AckSet", "Member", "choose_caught_up", "choose_successor"]

from collections.abc import Collection, Iterable, Mapping

import msgspec

from ..kernel.ids import UpstreamId
from .positions import LogPosition
from .upstream import Upstream


class Member(msgspec.Struct, frozen=True, order=True):
    """Name one life of an upstream; one that came back empty is another member."""

    upstream_id: UpstreamId
    born_ms: int


class Held(msgspec.Struct, frozen=True):
    """Hold what a stopped replica has received.

    :param is_leaving: whether it goes away soon; others are preferred to it.
    """

    received: LogPosition
    is_leaving: bool


class AckSet:
    """Keep the members that may have acknowledged commits.

    Every upstream that was ever listed counts, until it is gone and another replica has
    reached a position that the primary had after that.
    """

    def __init__(self) -> None:
        self._missing_since: dict[Member, float | None] = {}

    @property
    def members(self) -> frozenset[Member]:
        """All members, those that are gone among them."""
        return frozenset(self._missing_since)

    def update(self, listed: Iterable[Upstream], now: float) -> bool:
        """Take in who is listed; tell whether members were added."""
        present = {Member(u.upstream_id, u.born_ms) for u in listed}
        added = present - self.members
        for member in present:
            self._missing_since[member] = None
        for member in self.members - present:
            if self._missing_since[member] is None:
                self._missing_since[member] = now
        return bool(added)

    def restore(self, members: Collection[Member], now: float) -> None:
        """Take in members that an earlier holder of the duty wrote down."""
        for member in members:
            self._missing_since.setdefault(member, now)

    def list_missing(self) -> list[Member]:
        """Return the members that are no longer listed."""
        return [m for m, since in self._missing_since.items() if since is not None]

    def settle(
        self,
        led: LogPosition,
        led_at: float,
        reached: Mapping[UpstreamId, LogPosition],
        leader: UpstreamId,
    ) -> list[Member]:
        """Drop the missing members whose commits another replica holds by now.

        :param led: a position of the primary, covering what was acknowledged by then.
        :param led_at: the moment of that position, in seconds of our clock.
        :param reached: the positions that listed upstreams have.
        :returns: the members dropped.
        """
        others = [p for upstream, p in reached.items() if upstream != leader]
        if not any(position >= led for position in others):
            return []
        dropped = [
            member
            for member, since in self._missing_since.items()
            if since is not None and since < led_at
        ]
        for member in dropped:
            del self._missing_since[member]
        return dropped


def choose_successor(
    required: Collection[Member], held: Mapping[Member, Held]
) -> Member | None:
    """Return the member to promote once all that count have stopped receiving.

    Each acknowledged commit was received by one of them, and logs only grow at their
    end, so the one that received most holds all of them. Where one is missing it may
    hold the only copy.

    :param required: the members that may have acknowledged commits.
    :param held: what the stopped ones hold.
    """
    if not required or any(member not in held for member in required):
        return None

    def rate(member: Member) -> tuple[LogPosition, bool, Member]:
        found = held[member]
        return found.received, not found.is_leaving, member

    return max(held, key=rate)


def choose_caught_up(final: LogPosition, held: Mapping[Member, Held]) -> Member | None:
    """Return a member that holds all of a primary that was stopped.

    :param final: the last position of the primary, after it was demoted.
    :param held: what replicas have received.
    """
    fit = [m for m, h in held.items() if h.received >= final and not h.is_leaving]
    return min(fit) if fit else None
