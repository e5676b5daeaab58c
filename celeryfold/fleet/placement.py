"""Decide by rendezvous hashing which instance does what; everyone computes the same."""

from __future__ import annotations

__all__ = ["Placement", "rank_guardians", "rank_homes", "rank_members"]

from collections.abc import Callable, Iterable, Mapping

import xxhash

from ..config.objects import Catalog
from ..kernel.ids import GroupId, PlaceId, RegionId, SlotId
from .members import Member
from .membership import Membership


def _weigh(key: str, member: Member) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{member.instance_id}".encode())


def rank_members(members: Iterable[Member], key: str) -> list[Member]:
    """Return members by their rendezvous weight for a key, highest first."""
    return sorted(members, key=lambda member: _weigh(key, member), reverse=True)


def rank_homes(
    members: Iterable[Member],
    key: str,
    place: PlaceId,
    regions: Mapping[PlaceId, RegionId],
) -> list[Member]:
    """Return members by how well they suit as home of a slot in a place.

    Those in the slot's place come first, then those in its region, then the rest.
    """
    region = regions.get(place)

    def preference(member: Member) -> tuple[bool, bool, int]:
        is_far = regions.get(member.place) != region
        return (member.place != place, is_far, -_weigh(key, member))

    return sorted(members, key=preference)


def rank_guardians(
    members: Iterable[Member],
    key: str,
    place: PlaceId,
    regions: Mapping[PlaceId, RegionId],
) -> list[Member]:
    """Return the guardians of a group whose primary is in a place.

    The second is in another place where there is one, so that the loss of one place
    does not take both.
    """
    ranked = rank_homes(members, key, place, regions)
    if not ranked:
        return []
    first = ranked[0]
    others = [member for member in ranked[1:] if member.place != first.place]
    return [first, *(others or ranked[1:])[:1]]


class Placement:
    """Remember homes and guardians until the fleet or the configuration changes."""

    def __init__(
        self, membership: Membership, find_catalog: Callable[[], Catalog]
    ) -> None:
        self._membership = membership
        self._find_catalog = find_catalog
        self._version = -1
        self._catalog: Catalog | None = None
        self._homes: dict[SlotId, Member | None] = {}
        self._guardians: dict[tuple[GroupId, SlotId], list[Member]] = {}

    def _refresh(self) -> Catalog:
        catalog = self._find_catalog()
        if self._version != self._membership.version or self._catalog is not catalog:
            self._version = self._membership.version
            self._catalog = catalog
            self._homes.clear()
            self._guardians.clear()
        return catalog

    def find_home(self, slot: SlotId) -> Member | None:
        """Return the instance that is home to a slot, if there is any."""
        catalog = self._refresh()
        if slot not in self._homes:
            place = catalog.slots[slot].place
            members = self._membership.usable()
            ranked = rank_homes(members, slot, place, catalog.regions)
            self._homes[slot] = ranked[0] if ranked else None
        return self._homes[slot]

    def find_guardians(self, group: GroupId, primary: SlotId) -> list[Member]:
        """Return the guardians of a group, the first in charge first."""
        catalog = self._refresh()
        key = (group, primary)
        if key not in self._guardians:
            place = catalog.slots[primary].place
            members = self._membership.usable()
            ranked = rank_guardians(members, primary, place, catalog.regions)
            self._guardians[key] = ranked
        return self._guardians[key]
