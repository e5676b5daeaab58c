"""Wait until every confirming slot of a group holds a write."""

from __future__ import annotations

__all__ = ["AcknowledgementTracker"]

from collections.abc import Callable

import trio

from ..drivers.slot import Slot, SlotStatus
from ..exceptions import CeleryfoldError
from ..kernel.ids import GroupId, Position, SlotId, Term
from .record import covers, may_acknowledge
from .record_cache import KnownRecord, RecordCache

# A slot delays its status reply for this long, until it reaches the requested position.
STATUS_WAIT_S = 0.5
STATUS_RETRY_S = 0.05


class AcknowledgementTracker:
    """Tracks the log positions of the confirming slots of one group.

    Slots are polled only while writes wait. One outstanding status call per slot serves
    all waiting writes.

    :param group: group whose writes are tracked.
    :param record_cache: source of the group's current record.
    :param find_slot: returns the driver of a slot.
    :param nursery: runs the polling tasks.
    """

    def __init__(
        self,
        group: GroupId,
        record_cache: RecordCache,
        find_slot: Callable[[SlotId], Slot],
        nursery: trio.Nursery,
    ) -> None:
        self.group = group
        self._record_cache = record_cache
        self._find_slot = find_slot
        self._nursery = nursery
        self._statuses: dict[SlotId, SlotStatus] = {}
        self._targets: dict[int, tuple[Term, Position]] = {}
        self._polled_slots: set[SlotId] = set()
        self._last_wait_id = 0
        self._changed = trio.Event()
        record_cache.listeners.append(self._on_record_change)

    def _on_record_change(self, known: KnownRecord) -> None:
        if known.group == self.group:
            self._wake_waiters()

    def _wake_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def wait(self, term: Term, position: Position, deadline: float) -> bool:
        """Wait until a write may be acknowledged.

        :param term: term in which the write was committed.
        :param position: log position of the write.
        :param deadline: monotonic time in seconds at which waiting ends.
        :returns: True if every confirming slot holds the write, False if the term has
            ended or the deadline has passed and the outcome of the write is unknown.
        """
        self._last_wait_id += 1
        wait_id = self._last_wait_id
        self._targets[wait_id] = (term, position)
        try:
            with trio.move_on_at(deadline):
                while True:
                    known = self._record_cache.find(self.group)
                    if known is None or known.record.term > term:
                        return False
                    record = known.record
                    if may_acknowledge(record, term, position, self._statuses):
                        return True
                    self._start_polling(record.confirming - {record.primary})
                    await self._changed.wait()
            return False
        finally:
            del self._targets[wait_id]

    def _start_polling(self, slots: frozenset[SlotId]) -> None:
        for slot in slots - self._polled_slots:
            self._polled_slots.add(slot)
            self._nursery.start_soon(self._poll_slot, slot)

    async def _poll_slot(self, name: SlotId) -> None:
        try:
            slot = self._find_slot(name)
            while self._targets:
                target = self._next_target(name)
                try:
                    status = await slot.fetch_status(target, STATUS_WAIT_S)
                except CeleryfoldError:
                    await trio.sleep(STATUS_RETRY_S)
                    continue
                is_changed = self._statuses.get(name) != status
                self._statuses[name] = status
                if is_changed:
                    self._wake_waiters()
                else:
                    await trio.sleep(STATUS_RETRY_S)
                await trio.lowlevel.checkpoint()
        finally:
            self._polled_slots.discard(name)

    def _next_target(self, name: SlotId) -> Position:
        latest = self._statuses.get(name)
        unmet = [
            position
            for term, position in self._targets.values()
            if latest is None or not covers(latest, term, position)
        ]
        return min(unmet, default=Position(0))
