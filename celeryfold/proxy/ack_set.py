"""The members of a service that may have acknowledged commits, and the dropped ones."""

from __future__ import annotations

__all__ = ["AckSet"]

import math
from collections.abc import Collection, Iterable, Mapping

import msgspec

from ..kernel.ids import UpstreamId
from .members import UNKNOWN_BORN_MS, Member
from .positions import LogPosition
from .upstream import Upstream

# The entry of an upstream that has stopped lapses within this time.
MAX_ENTRY_LIFE_S = 5.0


class _Departure(msgspec.Struct, frozen=True):
    """A member that does not run.

    :param since: since when that is known, in seconds of this instance's clock.
    :param address: where it ran.
    """

    since: float
    address: str


class AckSet:
    """The members that may have acknowledged commits.

    Every upstream that was ever listed is a member until it is missing from the list
    and another replica has reached a position that the primary had after that. A
    dropped member may restart unseen while the store is unavailable and acknowledge
    commits: after each gap in the watch it is in doubt until another replica has caught
    up again. One that answers is a member again, whether it is listed or not.
    """

    def __init__(self) -> None:
        self._missing_since: dict[Member, float | None] = {}
        self._revisions: dict[Member, int] = {}
        self._leaving: set[Member] = set()
        self._dropped: set[Member] = set()
        self._in_doubt_since: dict[Member, float] = {}
        # Members that have ended for good: another upstream has their address, or a
        # later incarnation their id.
        self._ended: dict[Member, _Departure] = {}
        # Members that are not running, but may come back.
        self._stopped: dict[Member, _Departure] = {}
        # When members that were dropped have answered; they were not listed again.
        self._readmitted_at: dict[Member, float] = {}
        # What the entries say of dropped members that are not running, but are listed:
        # their addresses and whether they leave.
        self._stale_entries: dict[Member, tuple[str, bool]] = {}
        # The revision of the list with which a member was dropped. A record that is not
        # newer than that does not make it a member again: after a restore of the store
        # from an older copy it may be from before the drop.
        self._dropped_at: dict[Member, int] = {}
        self._last_gap_at = -math.inf

    @property
    def members(self) -> frozenset[Member]:
        """All members, including those that are missing from the list."""
        return frozenset(self._missing_since)

    @property
    def in_doubt(self) -> frozenset[Member]:
        """The dropped members that may have acknowledged commits since, unseen."""
        return frozenset(self._in_doubt_since)

    @property
    def last_gap_at(self) -> float:
        """When the last gap in the watch ended, in seconds of this instance's clock."""
        return self._last_gap_at

    def update(self, listed: Iterable[Upstream], now: float, revision: int = 0) -> bool:
        """Apply a list of upstreams.

        :param listed: all upstreams of the service that are listed.
        :param now: the current time, in seconds of this instance's clock.
        :param revision: the store's revision of the list.
        :returns: whether members were added.
        """
        present = {Member(u.upstream_id, u.born_ms): u for u in listed}
        for member in list(self._stale_entries):
            readmitted_at = self._readmitted_at.get(member, now)
            upstream = present.get(member)
            if now - readmitted_at > MAX_ENTRY_LIFE_S or not (
                upstream is not None and self.has_stale_entry(upstream)
            ):
                del self._stale_entries[member]
                if upstream is None and member in self._dropped & self._leaving:
                    self._dropped.discard(member)
                    self._leaving.discard(member)
            else:
                del present[member]
        self._identify(present)
        added = present.keys() - self.members
        for member, upstream in present.items():
            self._missing_since[member] = None
            self._revisions[member] = revision
            self._dropped.discard(member)
            self._dropped_at.pop(member, None)
            self._in_doubt_since.pop(member, None)
            self._readmitted_at.pop(member, None)
            if upstream.is_leaving:
                self._leaving.add(member)
            else:
                self._leaving.discard(member)
        for member in self.members - present.keys():
            if self._missing_since[member] is None:
                self._missing_since[member] = now
        return bool(added)

    def _identify(self, listed: Iterable[Member]) -> None:
        """Replace members whose entries had not been seen by the listed ones."""
        for member in listed:
            unknown = Member(member.upstream_id, UNKNOWN_BORN_MS)
            if unknown != member:
                self._missing_since.pop(unknown, None)
                self._dropped.discard(unknown)
                self._dropped_at.pop(unknown, None)
                self._in_doubt_since.pop(unknown, None)

    @property
    def dropped(self) -> frozenset[Member]:
        """The dropped members that were not leaving and may come back."""
        return frozenset(self._dropped)

    @property
    def readmitted(self) -> frozenset[Member]:
        """The members that were dropped and answered, but were not listed again."""
        return frozenset(self._readmitted_at)

    @property
    def stale(self) -> frozenset[Member]:
        """The dropped members whose entries have not lapsed yet."""
        return frozenset(self._dropped.intersection(self._stale_entries))

    def has_stale_entry(self, upstream: Upstream) -> bool:
        """Return whether an entry is from before its upstream was dropped."""
        member = Member(upstream.upstream_id, upstream.born_ms)
        entry = (upstream.address, upstream.is_leaving)
        return self._stale_entries.get(member) == entry

    @property
    def leaving(self) -> frozenset[Member]:
        """The members that have announced that they leave."""
        return frozenset(self._leaving)

    @property
    def has_departures(self) -> bool:
        """Whether a member is missing, in doubt, stopped or has ended."""
        is_missing = any(s is not None for s in self._missing_since.values())
        return is_missing or any((self._in_doubt_since, self._ended, self._stopped))

    def record_stopped(self, stopped: Mapping[Member, str], now: float) -> None:
        """Record which members are not running, listed or not.

        Their hosts refuse connections, so that they have not just been cut off. One of
        them that is covered is dropped before its entry has lapsed.

        :param stopped: all of them, with the addresses at which they ran.
        :param now: the current time, in seconds of this instance's clock.
        """
        self._stopped = {
            member: self._stopped.get(member, _Departure(now, address))
            for member, address in stopped.items()
            if member in self._missing_since
        }

    def record_ended(self, ended: Mapping[Member, str], now: float) -> None:
        """Record which members have ended for good, listed or not.

        :param ended: all of them, with the addresses at which they ran.
        :param now: the current time, in seconds of this instance's clock.
        """
        known = {*self._missing_since, *self._dropped}
        self._ended = {
            member: self._ended.get(member, _Departure(now, address))
            for member, address in ended.items()
            if member in known
        }

    def restore(
        self,
        members: Collection[Member],
        now: float,
        as_of: int | None = None,
        dropped: Collection[Member] = (),
        leaving: Collection[Member] = (),
        stale: Mapping[Member, str] | None = None,
    ) -> list[Member]:
        """Add the members that the previous holder of the duty recorded.

        Missing members that the previous holder had dropped are dropped here, too.
        Members that were dropped here with a list at least as new are not added.

        :param members: the recorded members.
        :param now: the current time, in seconds of this instance's clock.
        :param as_of: the revision of the list that the previous holder had seen, or
            None if the record has none.
        :param dropped: the members that the previous holder had dropped and that may
            come back.
        :param leaving: the members that had announced that they leave.
        :param stale: the dropped members that were still listed, with their addresses.
            They may have come back since, and are in doubt.
        :returns: the members dropped.
        """
        for member, address in (stale or {}).items():
            if self._missing_since.pop(member, 0.0) is None:
                self._stale_entries[member] = (address, member in leaving)
                if member not in leaving:
                    self._in_doubt_since[member] = now
                self._revisions.pop(member, None)
        known = set(self._missing_since)
        # A leaving one whose entry has been removed does not come back.
        self._dropped.update(
            m
            for m in dropped
            if m not in known and (m not in leaving or m in self._stale_entries)
        )
        for member in members:
            dropped_at = self._dropped_at.get(member)
            if dropped_at is None or as_of is None or as_of > dropped_at:
                self._missing_since.setdefault(member, now)
        present = self._missing_since.keys() | self._dropped
        self._leaving.update(m for m in leaving if m not in known and m in present)
        self._identify(known)
        if as_of is None:
            return []
        superseded = [
            member
            for member in self.list_missing()
            if member not in members and self._revisions.get(member, 0) <= as_of
        ]
        for member in superseded:
            since = self._missing_since[member]
            self._drop(member, as_of)
            if (
                member in self._dropped
                and since is not None
                and since < self._last_gap_at
            ):
                self._in_doubt_since[member] = self._last_gap_at
        return superseded

    def record_watch_gap(self, now: float) -> None:
        """Record that changes of the list may have been missed up to this moment.

        :param now: the current time, in seconds of this instance's clock.
        """
        self._last_gap_at = now
        may_return = self._dropped - self._leaving
        self._in_doubt_since.update(dict.fromkeys(may_return, now))

    def readmit(self, members: Iterable[Member], now: float) -> None:
        """Make dropped members that answer members again; they may not be listed yet.

        :param now: the current time, in seconds of this instance's clock.
        """
        for member in members:
            if member not in self._missing_since:
                self._missing_since[member] = now
                self._readmitted_at[member] = now
            self._dropped.discard(member)
            self._dropped_at.pop(member, None)
            self._in_doubt_since.pop(member, None)

    def list_missing(self) -> list[Member]:
        """Return the members that are missing from the list."""
        return [m for m, since in self._missing_since.items() if since is not None]

    def describe(self, member: Member) -> str:
        """Return in which state a member is: listed, not listed or dropped."""
        if member not in self._missing_since:
            return "dropped"
        return "listed" if self._missing_since[member] is None else "not listed"

    def drop_covered(
        self,
        leader_position: LogPosition,
        sampled_at: float,
        positions: Mapping[Member, LogPosition],
        leader: UpstreamId,
        revision: int = 0,
        running: Collection[Member] = (),
    ) -> list[Member]:
        """Drop the missing members whose commits another replica holds.

        The primary stays a member, so that each commit is on two of them. A member that
        runs is kept even if it is not listed. Where another incarnation of the upstream
        is listed, the answer comes from that one, so the former incarnation is dropped
        all the same.

        :param leader_position: a position of the primary that covers every commit
            acknowledged before ``sampled_at``.
        :param sampled_at: when that position was sampled, in seconds of this instance's
            clock.
        :param positions: the positions of the members that answer.
        :param leader: the id of the primary, whose own position does not count.
        :param revision: the store's revision of the list.
        :param running: further members that run, though they returned no position.
        :returns: the members dropped.
        """
        others = [p for member, p in positions.items() if member.upstream_id != leader]
        if not any(position >= leader_position for position in others):
            return []
        for member, in_doubt_since in list(self._in_doubt_since.items()):
            if in_doubt_since < sampled_at:
                del self._in_doubt_since[member]
        ended = [
            member
            for member, departure in self._ended.items()
            if departure.since < sampled_at and member.upstream_id != leader
        ]
        listed = {m.upstream_id for m, s in self._missing_since.items() if s is None}
        alive = {m for m in {*positions, *running} if m.upstream_id not in listed}
        dropped = [
            member
            for member, since in self._missing_since.items()
            if since is not None
            and since < sampled_at
            and member not in alive
            and member.upstream_id != leader
        ]
        dropped += [
            member
            for member, departure in self._stopped.items()
            if departure.since < sampled_at
            and member not in dropped
            and member not in ended
            and member.upstream_id != leader
        ]
        for member in dropped:
            self._ignore_entry(member, self._stopped.pop(member, None))
            self._drop(member, revision)
        for member in ended:
            self._forget(member)
        return [*dropped, *(m for m in ended if m not in dropped)]

    def _forget(self, member: Member) -> None:
        """Remove a member that has ended for good and whose commits others hold."""
        self._ignore_entry(member, self._ended.pop(member))
        self._missing_since.pop(member, None)
        self._revisions.pop(member, None)
        self._in_doubt_since.pop(member, None)
        self._readmitted_at.pop(member, None)
        self._dropped.discard(member)
        self._leaving.discard(member)

    def _ignore_entry(self, member: Member, departure: _Departure | None) -> None:
        """Ignore the entry that a member which does not run still has."""
        if departure is not None and self._missing_since.get(member, 0.0) is None:
            entry = (departure.address, member in self._leaving)
            self._stale_entries[member] = entry

    def _drop(self, member: Member, revision: int) -> None:
        """Remove a member, but remember one that may come back.

        A leaving one may come back until its entry has been removed.
        """
        del self._missing_since[member]
        self._readmitted_at.pop(member, None)
        self._dropped_at[member] = revision
        self._revisions.pop(member, None)
        if member not in self._leaving or member in self._stale_entries:
            self._dropped.add(member)
        else:
            self._leaving.discard(member)
