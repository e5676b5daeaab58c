"""Selection of slots for reads and of the home instances of slots."""

from __future__ import annotations

__all__ = ["Router"]

from collections import Counter
from collections.abc import Callable

import trio

from ..config.objects import Catalog, UpstreamGroup
from ..fleet.members import Member
from ..fleet.placement import Placement
from ..groups.record_cache import RecordCache
from ..kernel.errors import ErrorKind
from ..kernel.ids import InstanceId, PlaceId, SlotId

AVOID_INSTANCE_S = 2.0
# Added to the requests in progress at the primary, so that reads prefer replicas.
PRIMARY_LOAD_PENALTY = 3
AVOID_STALE_SLOT_S = 0.25
AVOID_FAILED_SLOT_S = 1.0


class Router:
    """Ranks slots by recent failures, region and requests in progress.

    :param place: data centre of this instance.
    :param find_leaving: returns the slots that are draining.
    :param placement: computes the home of a slot identically on all instances.
    """

    def __init__(
        self,
        place: PlaceId,
        find_catalog: Callable[[], Catalog],
        find_leaving: Callable[[], frozenset[SlotId]],
        placement: Placement,
        record_cache: RecordCache,
    ) -> None:
        self._place = place
        self._find_catalog = find_catalog
        self._find_leaving = find_leaving
        self._placement = placement
        self._record_cache = record_cache
        self._avoid_instance_until: dict[InstanceId, float] = {}
        self._avoid_slot_until: dict[SlotId, float] = {}
        self._stale_slots: dict[SlotId, tuple[float, float]] = {}
        self.n_in_progress: Counter[SlotId] = Counter()

    def list_slots(self, group: UpstreamGroup, age_s: float) -> list[SlotId]:
        """Return the slots of a group that may serve a read, in order of preference.

        Slots that failed recently or were too stale for the accepted age come last.
        Slots of the same region come before others, then those with fewer requests in
        progress, where ``PRIMARY_LOAD_PENALTY`` is added for the primary.

        :param age_s: accepted age of the data in seconds.
        """
        leaving = self._find_leaving()
        known = self._record_cache.find(group.name)
        primary = known.record.primary if known else None
        now = trio.current_time()
        regions = self._find_catalog().regions
        region = regions.get(self._place)

        def rank_slot(name: SlotId, place: PlaceId) -> tuple[bool, bool, int]:
            is_avoided = self._avoid_slot_until.get(name, 0.0) > now
            stale_age_s, avoided_until = self._stale_slots.get(name, (0.0, 0.0))
            is_avoided = is_avoided or (avoided_until > now and age_s <= stale_age_s)
            is_far = regions.get(place) != region
            load = self.n_in_progress[name] + PRIMARY_LOAD_PENALTY * (name == primary)
            return (is_avoided, is_far, load)

        slots = [slot for slot in group.slots if slot.name not in leaving]
        slots.sort(key=lambda slot: rank_slot(slot.name, slot.place))
        return [slot.name for slot in slots]

    def find_home(self, slot: SlotId) -> Member | None:
        """Return the home instance of a slot, or None if there is none.

        While the home is avoided after a missing reply, the home among the other
        instances is returned, if there is one.
        """
        home = self._placement.find_home(slot)
        if home is None or not self._is_avoided(home.instance_id):
            return home
        avoided = {
            name for name in self._avoid_instance_until if self._is_avoided(name)
        }
        return self._placement.find_home(slot, avoided) or home

    def _is_avoided(self, instance: InstanceId) -> bool:
        return self._avoid_instance_until.get(instance, 0.0) > trio.current_time()

    def avoid_instance(self, instance: InstanceId) -> None:
        """Send no requests to an unresponsive instance for ``AVOID_INSTANCE_S``."""
        self._avoid_instance_until[instance] = trio.current_time() + AVOID_INSTANCE_S

    def record_failure(self, slot: SlotId, kind: ErrorKind, age_s: float) -> None:
        """Rank a slot last for a time that depends on the kind of failure.

        A slot that lacks only the caller's own write keeps its rank, since the failure
        does not affect other callers.
        """
        if kind is ErrorKind.TOO_STALE:
            self._avoid_stale_slot(slot, age_s)
        elif kind is not ErrorKind.NOT_CAUGHT_UP:
            self._avoid_slot_until[slot] = trio.current_time() + AVOID_FAILED_SLOT_S

    def _avoid_stale_slot(self, slot: SlotId, age_s: float) -> None:
        avoided_until = trio.current_time() + AVOID_STALE_SLOT_S
        known_age_s, known_until = self._stale_slots.get(slot, (0.0, 0.0))
        if known_until > trio.current_time():
            age_s = max(age_s, known_age_s)
        self._stale_slots[slot] = (age_s, avoided_until)
