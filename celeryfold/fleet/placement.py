"""Placement of slots and guardians on instances by rendezvous hashing.

All instances compute the same placement from the same members. A change of one member
affects only the slots that it gains or loses, so that the cost of a change grows with
the slots of one place, and not with the product of members and slots.
"""

from __future__ import annotations

__all__ = ["Placement", "find_guarded", "rank_members"]

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from ..config.objects import Catalog
from ..kernel.ids import GroupId, InstanceId, PlaceId, SlotId
from ..kernel.rendezvous import compute_weight
from .members import Member


def rank_members(members: Iterable[Member], key: str) -> list[Member]:
    """Return members by their rendezvous weight for a key, highest first."""
    return sorted(
        members,
        key=lambda member: compute_weight(key, member.instance_id),
        reverse=True,
    )


class _Best:
    """Member of a place with the highest weight for a slot."""

    def __init__(self, member: Member, weight: int) -> None:
        self.member = member
        self.weight = weight


class Placement:
    """Homes and guardians among the members that may receive work.

    :param find_catalog: returns the configuration in force.
    """

    def __init__(self, find_catalog: Callable[[], Catalog]) -> None:
        self._find_catalog = find_catalog
        self._members: dict[PlaceId, dict[InstanceId, Member]] = defaultdict(dict)
        self._best: dict[PlaceId, dict[SlotId, _Best]] = defaultdict(dict)
        self._places: dict[SlotId, list[PlaceId]] = {}
        self._catalog: Catalog | None = None
        self.version = 0

    def add(self, member: Member) -> None:
        """Add a member that may receive work, or replace its description."""
        self.version += 1
        self._members[member.place][member.instance_id] = member
        for slot, best in self._best[member.place].items():
            weight = compute_weight(slot, member.instance_id)
            if weight >= best.weight:
                best.member = member
                best.weight = weight

    def remove(self, member: Member) -> None:
        """Remove a member that may no longer receive work."""
        self.version += 1
        self._members[member.place].pop(member.instance_id, None)
        held = self._best[member.place]
        lost = [
            slot
            for slot, best in held.items()
            if best.member.instance_id == member.instance_id
        ]
        for slot in lost:
            del held[slot]

    def find_home(
        self, slot: SlotId, excluded: Collection[InstanceId] = ()
    ) -> Member | None:
        """Return the instance that is home to a slot, or None if there is none.

        :param excluded: instances that must not be returned.
        """
        for place in self._list_places(slot):
            best = self._find_best(slot, place)
            if best is None:
                continue
            if best.instance_id not in excluded:
                return best
            members = self._members[place].values()
            others = [m for m in members if m.instance_id not in excluded]
            if others:
                return rank_members(others, slot)[0]
        return None

    def find_guardians(self, primary: SlotId) -> list[Member]:
        """Return the guardians of a primary's group, ordered by rank.

        The second guardian is in another place if possible, so that the loss of one
        place does not stop both.
        """
        found: list[Member] = []
        for place in self._list_places(primary):
            best = self._find_best(primary, place)
            if best is not None:
                found.append(best)
            if len(found) == 2:
                return found
        for place in self._list_places(primary):
            ranked = rank_members(self._members[place].values(), primary)
            if ranked:
                return ranked[:2]
        return []

    def is_guarded_by(self, primary: SlotId, instance: InstanceId) -> bool:
        """Return whether an instance is one of the guardians of a primary's group."""
        return any(m.instance_id == instance for m in self.find_guardians(primary))

    def _find_best(self, slot: SlotId, place: PlaceId) -> Member | None:
        known = self._best[place].get(slot)
        if known is not None:
            return known.member
        members = self._members[place]
        if not members:
            return None
        weight, name = max((compute_weight(slot, name), name) for name in members)
        self._best[place][slot] = _Best(members[name], weight)
        return members[name]

    def _list_places(self, slot: SlotId) -> list[PlaceId]:
        """Return the places in the order of preference for a slot's home.

        The slot's own place comes first, then the others of its region, then the rest.
        """
        catalog = self._find_catalog()
        if catalog is not self._catalog:
            self._catalog = catalog
            self._places.clear()
            self.version += 1
        known = self._places.get(slot)
        if known is None:
            known = self._order_places(slot, catalog)
            self._places[slot] = known
        return known

    def _order_places(self, slot: SlotId, catalog: Catalog) -> list[PlaceId]:
        definition = catalog.slots.get(slot)
        if definition is None:
            return []
        home = definition.place
        regions = catalog.regions

        def preference(place: PlaceId) -> tuple[bool, bool, int]:
            is_far = regions[place] != regions[home]
            return (place != home, is_far, -compute_weight(slot, place))

        return sorted(regions, key=preference)


def find_guarded(
    placement: Placement, groups: Iterable[tuple[GroupId, SlotId]], instance: InstanceId
) -> list[GroupId]:
    """Return the groups that an instance guards.

    :param placement: placement of the fleet.
    :param groups: each group with its primary.
    :param instance: instance whose groups are returned.
    """
    return [
        group for group, primary in groups if placement.is_guarded_by(primary, instance)
    ]
