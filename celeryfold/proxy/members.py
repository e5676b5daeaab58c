"""Replicas that may hold the only copy of a commit, and the choice of a successor."""

from __future__ import annotations

__all__ = [
    "UNKNOWN_BORN_MS",
    "BornMs",
    "Contact",
    "Contacts",
    "Member",
    "ReplicaProgress",
    "choose_caught_up",
    "choose_successor",
    "is_other_incarnation",
]

from collections.abc import Collection, Mapping
from enum import Enum
from typing import Annotated

import msgspec

from ..kernel.ids import Term, UpstreamId
from .positions import LogPosition
from .upstream import ConnectFailure, UpstreamStatus

# The largest integer that every JSON decoder reads exactly.
MAX_BORN_MS = 2**53
# The start of an upstream whose entry was not seen.
UNKNOWN_BORN_MS = 0
BornMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)]


class Member(msgspec.Struct, frozen=True, order=True):
    """One incarnation of an upstream.

    An upstream that restarted with empty data is another member, since its commits are
    lost.

    :param born_ms: when the incarnation started, Unix milliseconds.
    """

    upstream_id: UpstreamId
    born_ms: BornMs


class ReplicaProgress(msgspec.Struct, frozen=True):
    """The log position that a replica has reached.

    :param received: the last position that the replica has received.
    :param is_leaving: whether the replica is leaving or no longer listed. Instances do
        not route to it, so other replicas are preferred for promotion.
    """

    received: LogPosition
    is_leaving: bool


class Contact(Enum):
    """How a member answered when it was last asked.

    RUNS means that it answered without a status: it is busy, has too many connections,
    refused the statement or took too long for it.
    """

    STATUS = "answers"
    RUNS = "runs, but did not confirm"
    REFUSED = "refuses connections"
    UNREACHABLE = "out of reach"
    OTHER_UPSTREAM = "another upstream has its address"
    OTHER_INCARNATION = "another incarnation answers"
    NO_ADDRESS = "no address known"

    @property
    def is_running(self) -> bool:
        """Whether the member runs, so that it may acknowledge commits."""
        return self in (Contact.STATUS, Contact.RUNS)


_FAILURES = {
    ConnectFailure.REFUSED: Contact.REFUSED,
    ConnectFailure.UNREACHABLE: Contact.UNREACHABLE,
    ConnectFailure.WRONG_INSTANCE: Contact.OTHER_UPSTREAM,
}


class Contacts:
    """The last contact with each member and the last status that it reported."""

    def __init__(self) -> None:
        self._last: dict[Member, Contact] = {}
        self._reported: dict[Member, UpstreamStatus] = {}
        # The highest term in which any upstream was seen to lead.
        self.leader_term = Term(0)

    def find(self, member: Member) -> Contact:
        """Return the last contact with a member."""
        return self._last.get(member, Contact.NO_ADDRESS)

    def record_status(self, member: Member, status: UpstreamStatus) -> bool:
        """Record a reported status; return whether it comes from the member itself."""
        before = self._reported.get(member)
        if before and is_other_incarnation(before, status, self.leader_term):
            self._last[member] = Contact.OTHER_INCARNATION
            return False
        self._last[member] = Contact.STATUS
        self._reported[member] = status
        return True

    def record_failure(self, member: Member, failure: ConnectFailure | None) -> None:
        """Record that a member returned no status.

        :param failure: why no connection was opened, or None if one was open.
        """
        known = _FAILURES.get(failure) if failure else None
        self._last[member] = known or Contact.RUNS

    def record_other_incarnation(self, member: Member) -> None:
        """Record that a later incarnation of the upstream is listed."""
        self._last[member] = Contact.OTHER_INCARNATION

    def forget_last(self, member: Member) -> None:
        """Forget the last contact with a member, which was at another address."""
        self._last.pop(member, None)

    def forget(self, member: Member) -> None:
        """Forget a member."""
        self._last.pop(member, None)
        self._reported.pop(member, None)


def is_other_incarnation(
    before: UpstreamStatus, status: UpstreamStatus, leader_term: Term
) -> bool:
    """Return whether a status shows less than the member itself reported before.

    A connection names only the id of an upstream, which keeps it if it starts again
    with empty data. A promotion rolls replicas back: a lower position proves nothing
    if an upstream has led a later term since.

    :param leader_term: the highest term in which any upstream was seen to lead.
    """
    latest_term = max(status.term, leader_term)
    return status.received < before.received and latest_term <= before.received.term


def choose_successor(
    members: Collection[Member],
    progress_of: Mapping[Member, ReplicaProgress],
    lost: UpstreamId | None = None,
    in_doubt: Collection[Member] = (),
    last_seen: LogPosition | None = None,
    may_resume: Collection[Member] = (),
    address_of: Mapping[Member, str] | None = None,
    final_positions: Mapping[Member, LogPosition] | None = None,
) -> Member | None:
    """Return the member to promote once at most one address has members not paused.

    Each acknowledged commit is in the logs of its primary and of one replica at least,
    which ran at different addresses, and logs are append-only. The paused member that
    has received most therefore holds all of them, whether the members of the absent
    address were primaries or replicas: an upstream that crashes may come back at its
    address under another id, and its former id is absent from then on. A member in
    doubt can hold the only copy only if all others lack a commit that an instance has
    seen.

    :param members: all members, the former primary included.
    :param progress_of: the positions of the paused members.
    :param lost: the former primary if it is known. It counts as absent unless it is
        paused.
    :param in_doubt: further members that may have acknowledged commits unseen. If no
        position of a primary was seen, none of them may be absent.
    :param last_seen: the highest position of a primary that any instance has seen.
    :param may_resume: members that a RESUME without an answer may let receive again.
        Each of them counts as absent unless it is the one to promote, which holds what
        it acknowledges.
    :param address_of: where members run or ran. An upstream whose address is not known
        counts as one of its own.
    :param final_positions: the positions after which members receive nothing. A member
        may be absent if the one to promote has received its final position.
    :returns: None if the only copy of a commit may be on members that are not paused.
    """
    if not progress_of:
        return None

    def rank(member: Member) -> tuple[LogPosition, bool, bool, Member]:
        progress = progress_of[member]
        may_receive = member in may_resume
        return progress.received, may_receive, not progress.is_leaving, member

    chosen = max(progress_of, key=rank)
    held = {m for m in progress_of if m == chosen or m not in may_resume}
    reached = progress_of[chosen].received
    finals = final_positions or {}
    dispensable = {m for m, final in finals.items() if final <= reached}
    addresses = address_of or {}
    waited_for = {*members, *progress_of} - held - dispensable
    absent = {addresses.get(m, m.upstream_id) for m in waited_for}
    if lost is not None and all(m.upstream_id != lost for m in held):
        known = [m for m in addresses if m.upstream_id == lost]
        absent.add(addresses[max(known)] if known else lost)
    if len(absent) > 1:
        return None
    if any(member not in held for member in in_doubt):
        if last_seen is None or _is_ahead_of_all(last_seen, progress_of):
            return None
    return chosen


def _is_ahead_of_all(
    position: LogPosition, progress_of: Mapping[Member, ReplicaProgress]
) -> bool:
    return all(progress.received < position for progress in progress_of.values())


def choose_caught_up(
    final_position: LogPosition, progress_of: Mapping[Member, ReplicaProgress]
) -> Member | None:
    """Return a member that holds all entries of a demoted primary.

    :param final_position: the last position of the primary, after it was demoted.
    :param progress_of: the positions of the replicas.
    :returns: None if no replica that stays has caught up.
    """
    candidates = [
        m
        for m, progress in progress_of.items()
        if progress.received >= final_position and not progress.is_leaving
    ]
    return min(candidates) if candidates else None
