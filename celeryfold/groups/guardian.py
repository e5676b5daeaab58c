"""Monitor one upstream group, order promotions and keep its record up to date."""

from __future__ import annotations

__all__ = ["Guardian", "GuardianPorts"]

import logging
from abc import ABC, abstractmethod

import msgspec
import trio

from ..config.objects import Catalog, UpstreamGroup
from ..drivers.slot import OrderRefused, Slot, SlotStatus, SlotUnreachable
from ..drivers.store import Store, StoreConflict, StoreUnavailable
from ..exceptions import CeleryfoldError, Unreadable
from ..kernel.decoding import decode_json
from ..kernel.events import EventKind, Timeline
from ..kernel.ids import GroupId, SlotId
from ..kernel.metrics import Metrics
from .decisions import Action, Follow, GroupView, Promote, ReplaceRecord, decide
from .record import GroupRecord, make_first_record
from .record_cache import KEY_PREFIX, KnownRecord, RecordCache

log = logging.getLogger(__name__)

PROBE_INTERVAL_S = 0.5
# Probe interval while the primary does not answer or the term has not started.
SUSPECT_INTERVAL_S = 0.2
# Least interval between probes of slots that neither confirm writes nor may do so.
PASSIVE_PROBE_INTERVAL_S = 2.0
PROBE_TIMEOUT_S = 0.6
STORE_TIMEOUT_S = 1.0
# A primary silent for this long is suspected, and other instances are asked about it.
SUSPECT_AFTER_S = 0.7
# A suspected primary silent for this long is replaced if other instances agree.
UNREACHABLE_AFTER_S = 1.4
# A slot silent for this long no longer has to confirm writes.
UNRESPONSIVE_AFTER_S = 1.2
# A slot is readmitted after answering for this long; the time doubles with each further
# drop, up to the maximum.
STABLE_AFTER_S = 2.0
MAX_PROBATION_S = 60.0
# Delay per rank, so that a backup guardian acts only if those before it do not.
RANK_DELAY_S = 1.5
# After a restore of the store from an older copy, the watchers write back the records
# that they know: they notice it within the retry interval of their watch, 0.5 s.
RESTORE_GRACE_S = 2.0


class GuardianPorts(ABC):
    """Interface of the instance in which a guardian runs."""

    @abstractmethod
    def find_slot(self, slot: SlotId) -> Slot:
        """Return the driver of a slot."""

    @abstractmethod
    def find_rank(self, group: GroupId) -> int | None:
        """Return this instance's rank among the group's guardians, or None."""

    @abstractmethod
    def find_leaving(self) -> frozenset[SlotId]:
        """Return the slots that receive no new work."""

    @abstractmethod
    def find_catalog(self) -> Catalog:
        """Return the configuration in force."""

    @abstractmethod
    async def publish_record(self, known: KnownRecord) -> None:
        """Adopt a record and broadcast it to the fleet."""

    @abstractmethod
    async def confirm_unreachable(self, slot: SlotId) -> bool:
        """Return whether other instances agree that a slot is unreachable."""


class Guardian:
    """Probes the slots of one group, and fails over or updates its record as needed.

    The guardian of rank 0 is in charge. Guardians of a higher rank are backups and act
    after a delay that grows with the rank.

    :param group: name of the group; its definition is read again in each cycle.
    """

    def __init__(
        self,
        group: GroupId,
        ports: GuardianPorts,
        store: Store,
        record_cache: RecordCache,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.group = group
        self._ports = ports
        self._store = store
        self._record_cache = record_cache
        self._timeline = timeline
        self._metrics = metrics
        self._statuses: dict[SlotId, SlotStatus] = {}
        self._answered_at: dict[SlotId, float] = {}
        self._stable_since: dict[SlotId, float] = {}
        self._unreachable: frozenset[SlotId] = frozenset()
        self._n_drops: dict[SlotId, int] = {}
        self._started_at = 0.0

    async def run(self) -> None:
        """Guard the group while this instance is one of its guardians."""
        self._started_at = trio.current_time()
        while True:
            rank = self._ports.find_rank(self.group)
            definition = self._ports.find_catalog().groups.get(self.group)
            if rank is None or definition is None:
                return
            cycle_started_at = trio.current_time()
            try:
                await self._run_cycle(definition, rank)
            except CeleryfoldError as error:
                log.debug("guardian cycle of group %s failed: %s", self.group, error)
            interval = SUSPECT_INTERVAL_S if self._has_suspects() else PROBE_INTERVAL_S
            await trio.sleep_until(
                max(cycle_started_at + interval, trio.current_time() + 0.01)
            )

    def _has_suspects(self) -> bool:
        known = self._record_cache.find(self.group)
        if known is None or not known.record.started:
            return True
        return known.record.primary not in self._statuses

    async def _run_cycle(self, definition: UpstreamGroup, rank: int) -> None:
        await self._probe_all(definition, rank)
        known = self._record_cache.find(self.group)
        if known is None:
            known = await self._load_or_create(definition)
        if known is None:
            return
        await self._check_primary(known.record, rank)
        view = self._make_view(definition)
        for action in decide(known.record, view):
            if rank == 0 or self._may_act_as_backup(known.record, rank):
                await self._execute(known, action)

    def _may_act_as_backup(self, record: GroupRecord, rank: int) -> bool:
        unanswered_s = trio.current_time() - self._answered_at.get(record.primary, 0.0)
        if record.primary in self._unreachable:
            return unanswered_s >= UNREACHABLE_AFTER_S + rank * RANK_DELAY_S
        guarded_s = trio.current_time() - self._started_at
        return not record.started and guarded_s >= rank * RANK_DELAY_S

    def _choose_slots_to_probe(
        self, definition: UpstreamGroup, rank: int
    ) -> list[SlotId]:
        """Return the slots to probe in this cycle.

        While the primary answers, a backup guardian probes only the primary, and slots
        that confirm no writes are probed less often, since they may be in another
        region.
        """
        names = [slot.name for slot in definition.slots]
        known = self._record_cache.find(self.group)
        if known is None or known.record.primary not in self._statuses:
            return names
        if rank > 0:
            return [known.record.primary]
        now = trio.current_time()
        confirming = known.record.confirming
        eligible = self._ports.find_catalog().find_confirming_slots(definition)
        return [
            name
            for name in names
            if name in confirming
            or name in eligible
            or now - self._answered_at.get(name, 0.0) >= PASSIVE_PROBE_INTERVAL_S
        ]

    async def _probe_all(self, definition: UpstreamGroup, rank: int) -> None:
        found: dict[SlotId, SlotStatus] = {}
        probed = self._choose_slots_to_probe(definition, rank)

        async def probe(slot: SlotId) -> None:
            try:
                with trio.fail_after(PROBE_TIMEOUT_S):
                    found[slot] = await self._ports.find_slot(slot).fetch_status()
            except (SlotUnreachable, trio.TooSlowError):
                self._metrics.count("guardian.probe_failed")

        async with trio.open_nursery() as nursery:
            for name in probed:
                nursery.start_soon(probe, name)
        now = trio.current_time()
        for name in probed:
            if name in found:
                self._statuses[name] = found[name]
                self._answered_at[name] = now
                self._stable_since.setdefault(name, now)
            else:
                self._statuses.pop(name, None)
                self._answered_at.setdefault(name, self._started_at)
                self._stable_since.pop(name, None)

    async def _check_primary(self, record: GroupRecord, rank: int) -> None:
        primary = record.primary
        silent_s = trio.current_time() - self._answered_at.get(
            primary, self._started_at
        )
        if primary in self._statuses:
            self._unreachable = frozenset()
            return
        if silent_s < SUSPECT_AFTER_S:
            return
        self._timeline.add(EventKind.PRIMARY_SUSPECT, self.group, primary)
        agreed = await self._ports.confirm_unreachable(primary)
        silent_s = trio.current_time() - self._answered_at.get(
            primary, self._started_at
        )
        needed_s = UNREACHABLE_AFTER_S + rank * RANK_DELAY_S
        is_unreachable = agreed and silent_s >= needed_s
        self._unreachable = frozenset({primary}) if is_unreachable else frozenset()

    def _make_view(self, definition: UpstreamGroup) -> GroupView:
        now = trio.current_time()
        names = [slot.name for slot in definition.slots]
        unresponsive = {
            name
            for name in names
            if name not in self._statuses
            and now - self._answered_at.get(name, self._started_at)
            >= UNRESPONSIVE_AFTER_S
        }
        stable = {
            slot
            for slot, since in self._stable_since.items()
            if now - since >= self._compute_probation_s(slot)
        }
        return GroupView(
            statuses=self._statuses,
            unreachable=self._unreachable,
            unresponsive=frozenset(unresponsive),
            stable=frozenset(stable),
            leaving=self._find_leaving(),
            eligible=self._ports.find_catalog().find_confirming_slots(definition),
        )

    def _compute_probation_s(self, slot: SlotId) -> float:
        """Return for how many seconds a slot must answer before it is readmitted.

        The time doubles each time the slot is dropped, since each readmission needs a
        new term.
        """
        n_drops = self._n_drops.get(slot, 0)
        return float(min(MAX_PROBATION_S, STABLE_AFTER_S * 2 ** max(0, n_drops - 1)))

    def _find_leaving(self) -> frozenset[SlotId]:
        reported = {slot for slot, status in self._statuses.items() if status.leaving}
        return self._ports.find_leaving() | reported

    async def _execute(self, known: KnownRecord, action: Action) -> None:
        try:
            with trio.fail_after(STORE_TIMEOUT_S):
                if isinstance(action, ReplaceRecord):
                    await self._replace_record(known, action)
                elif isinstance(action, Promote):
                    await self._promote(known, action)
                else:
                    await self._order_follow(action)
        except (OrderRefused, SlotUnreachable, trio.TooSlowError) as error:
            log.info("action on group %s not confirmed: %s", self.group, error)

    async def _promote(self, known: KnownRecord, action: Promote) -> None:
        status = await self._ports.find_slot(action.slot).promote(action.term)
        self._statuses[action.slot] = status
        for next_action in decide(known.record, GroupView(self._statuses)):
            if isinstance(next_action, ReplaceRecord):
                await self._replace_record(known, next_action)

    async def _order_follow(self, action: Follow) -> None:
        address = self._ports.find_catalog().slots[action.primary].address
        slot = self._ports.find_slot(action.slot)
        await slot.follow(action.primary, address, action.term)
        self._answered_at[action.slot] = 0.0
        self._timeline.add(EventKind.SLOT_FOLLOWS, self.group, action.slot)

    async def _replace_record(
        self, known: KnownRecord, replacement: ReplaceRecord
    ) -> None:
        restore_age_s = self._store.restore_age_s
        if restore_age_s is not None and restore_age_s < RESTORE_GRACE_S:
            return
        value = msgspec.json.encode(replacement.record)
        try:
            revision = await self._store.compare_and_swap(
                known.key, known.revision, value
            )
        except (StoreConflict, StoreUnavailable) as error:
            self._metrics.count("guardian.swap_failed")
            log.info(
                "replacement of the record of group %s not confirmed: %s",
                self.group,
                error,
            )
            await self._reload()
            return
        new = KnownRecord(self.group, revision, replacement.record)
        await self._ports.publish_record(new)
        detail = f"term {replacement.record.term} primary {replacement.record.primary}"
        self._timeline.add(replacement.event, self.group, detail)
        self._metrics.count(f"guardian.{replacement.event.value}")
        for slot in known.record.confirming - replacement.record.confirming:
            self._n_drops[slot] = self._n_drops.get(slot, 0) + 1
        if replacement.event is EventKind.TERM_PROPOSED:
            order = Promote(replacement.record.primary, replacement.record.term)
            await self._promote(new, order)
        elif replacement.event is EventKind.TERM_STARTED:
            await self._order_all_to_follow(replacement.record)

    async def _order_all_to_follow(self, record: GroupRecord) -> None:
        for action in decide(record, GroupView(self._statuses)):
            if isinstance(action, Follow):
                await self._order_follow(action)

    async def _reload(self) -> None:
        try:
            entry = await self._store.get(KEY_PREFIX + self.group)
        except StoreUnavailable:
            return
        if entry is not None:
            try:
                record = decode_json(entry.value, GroupRecord)
            except Unreadable as error:
                log.error("unreadable record of group %s: %s", self.group, error)
                return
            known = KnownRecord(self.group, entry.revision, record)
            await self._ports.publish_record(known)

    async def _load_or_create(self, definition: UpstreamGroup) -> KnownRecord | None:
        await self._reload()
        known = self._record_cache.find(self.group)
        if known is not None:
            return known
        eligible = self._ports.find_catalog().find_confirming_slots(definition)
        record = make_first_record(definition.slots[0].name, eligible)
        unwritten = KnownRecord(self.group, 0, record)
        await self._replace_record(
            unwritten, ReplaceRecord(record, EventKind.TERM_PROPOSED)
        )
        return self._record_cache.find(self.group)
