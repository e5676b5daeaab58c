"""Choose the slots for a read and the instances that are home to them."""

from __future__ import annotations

__all__ = ["Router"]

from collections import Counter
from collections.abc import Callable, Iterable

import trio

from ..config.objects import Catalog, UpstreamGroup
from ..fleet.members import Member
from ..fleet.placement import rank_homes
from ..groups.book import RecordBook
from ..kernel.ids import InstanceId, PlaceId, SlotId

AVOID_INSTANCE_S = 2.0
AVOID_STALE_SLOT_S = 0.25
AVOID_FAILED_SLOT_S = 1.0


class Router:
    """Order candidates by nearness, recent failures and work in progress.

    :param list_members: returns the instances that may be given work.
    :param find_placed: returns the home of a slot as everyone computes it.
    """

    def __init__(
        self,
        place: PlaceId,
        find_catalog: Callable[[], Catalog],
        find_leaving: Callable[[], frozenset[SlotId]],
        list_members: Callable[[], Iterable[Member]],
        find_placed: Callable[[SlotId], Member | None],
        book: RecordBook,
    ) -> None:
        self._place = place
        self._find_catalog = find_catalog
        self._find_leaving = find_leaving
        self._list_members = list_members
        self._find_placed = find_placed
        self._book = book
        self._avoid_instances: dict[InstanceId, float] = {}
        self._avoid_slots: dict[SlotId, float] = {}
        self.n_in_progress: Counter[SlotId] = Counter()

    def list_slots(self, group: UpstreamGroup) -> list[SlotId]:
        """Return the slots of a group that may serve a read, the best first.

        Slots that have just failed or been found stale come later, replicas before
        the primary, near before far, idle before busy.
        """
        leaving = self._find_leaving()
        known = self._book.find(group.name)
        primary = known.record.primary if known else None
        now = trio.current_time()
        regions = self._find_catalog().regions
        region = regions.get(self._place)

        def preference(name: SlotId, place: PlaceId) -> tuple[bool, bool, bool, int]:
            is_avoided = self._avoid_slots.get(name, 0.0) > now
            is_far = regions.get(place) != region
            return (is_avoided, is_far, name == primary, self.n_in_progress[name])

        slots = [slot for slot in group.slots if slot.name not in leaving]
        slots.sort(key=lambda slot: preference(slot.name, slot.place))
        return [slot.name for slot in slots]

    def find_home(self, slot: SlotId) -> Member | None:
        """Return the instance that is home to a slot."""
        home = self._find_placed(slot)
        if home is None or not self._is_avoided(home):
            return home
        catalog = self._find_catalog()
        place = catalog.slots[slot].place
        ranked = rank_homes(self._list_usable(), slot, place, catalog.regions)
        return ranked[0] if ranked else None

    def _is_avoided(self, member: Member) -> bool:
        until = self._avoid_instances.get(member.instance_id, 0.0)
        return until > trio.current_time()

    def _list_usable(self) -> list[Member]:
        members = list(self._list_members())
        usable = [member for member in members if not self._is_avoided(member)]
        return usable or members

    def avoid_instance(self, instance: InstanceId) -> None:
        """Give an instance that did not reply no work for a while."""
        self._avoid_instances[instance] = trio.current_time() + AVOID_INSTANCE_S

    def avoid_slot(self, slot: SlotId, is_stale: bool) -> None:
        """Try a slot last for a while."""
        pause_s = AVOID_STALE_SLOT_S if is_stale else AVOID_FAILED_SLOT_S
        self._avoid_slots[slot] = trio.current_time() + pause_s
