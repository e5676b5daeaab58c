"""Members of the fleet and the state updates that instances exchange by gossip."""

from __future__ import annotations

__all__ = [
    "ConfigNews",
    "Member",
    "MemberNews",
    "MemberState",
    "News",
    "RecordNews",
    "SlotNews",
]

from enum import Enum

import msgspec

from ..groups.record_cache import KnownRecord
from ..kernel.ids import Generation, InstanceId, PlaceId, SlotId


class MemberState(Enum):
    """State of an instance as seen by the fleet."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


_SEVERITY = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


class Member(msgspec.Struct, frozen=True):
    """One instance of the fleet.

    :param address: address to which other instances connect.
    :param place: key of the data centre in which the instance runs.
    :param caller_address: address to which callers connect.
    :param incarnation: number that only the instance itself raises, to refute an
        outdated state that others spread about it.
    """

    instance_id: InstanceId
    address: str
    place: PlaceId
    caller_address: str = ""
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE

    def overrides(self, other: Member) -> bool:
        """Return whether this description supersedes another of the same instance.

        A higher incarnation wins. At the same incarnation, the more severe state wins.
        """
        if self.incarnation != other.incarnation:
            return self.incarnation > other.incarnation
        return _SEVERITY[self.state] > _SEVERITY[other.state]


class MemberNews(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """State update on a member."""

    member: Member

    @property
    def subject(self) -> str:
        """Subject of the update; a later update replaces one on the same subject."""
        return f"member/{self.member.instance_id}"


class RecordNews(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """State update with a group's record."""

    known: KnownRecord

    @property
    def subject(self) -> str:
        """Subject of the update."""
        return f"record/{self.known.group}"


class ConfigNews(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """State update with the latest generation of the configuration.

    :param digest: hash of the manifest of the configuration set.
    :param holder: address of an instance that has the set, empty if none is known.
    """

    generation: Generation
    digest: str
    holder: str

    @property
    def subject(self) -> str:
        """Subject of the update."""
        return "config"


class SlotNews(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """State update on whether a slot is leaving.

    :param stamp_ms: hybrid logical time of the update in milliseconds; the latest
        update on a slot wins.
    """

    slot: SlotId
    leaving: bool
    stamp_ms: int

    @property
    def subject(self) -> str:
        """Subject of the update."""
        return f"slot/{self.slot}"


News = MemberNews | RecordNews | ConfigNews | SlotNews
