"""The record of one upstream group and the rules by which it may change.

No function here performs I/O, so that the guardian, the acknowledgement of writes and
the exhaustive model check call the same code.
"""

from __future__ import annotations

__all__ = [
    "Base",
    "GroupRecord",
    "can_promote",
    "covers",
    "drop_confirming",
    "make_first_record",
    "may_acknowledge",
    "propose_readmission",
    "propose_term",
    "start_term",
]

from collections.abc import Iterable, Mapping

import msgspec

from ..drivers.slot import SlotStatus
from ..kernel.ids import Position, SlotId, Term


class Base(msgspec.Struct, frozen=True):
    """Guarantees of a started term.

    :param term: the started term.
    :param confirming: slots that hold every acknowledged write.
    :param start_position: log position at which the term started.
    """

    term: Term
    confirming: frozenset[SlotId]
    start_position: Position


class GroupRecord(msgspec.Struct, frozen=True):
    """Agreed state of one upstream group.

    :param term: current term, raised at each change of primary and each readmission.
    :param primary: slot that is the primary of the term.
    :param confirming: slots, including the primary, that must all hold a write before
        it is acknowledged.
    :param started: whether the primary has started the term.
    :param start_position: log position at which the term started, 0 before the start.
    :param base: guarantees of the last term that was started before this one.
    """

    term: Term
    primary: SlotId
    confirming: frozenset[SlotId]
    started: bool
    start_position: Position
    base: Base

    @property
    def progress(self) -> tuple[int, bool, int]:
        """Measure that rises with each change of the record.

        Within a term, the primary starts it once and confirming slots are only dropped.
        """
        return self.term, self.started, -len(self.confirming)

    @property
    def last_started(self) -> Base:
        """Guarantees of the last started term, which may be the current one."""
        if self.started:
            return Base(self.term, self.confirming, self.start_position)
        return self.base


def make_first_record(primary: SlotId, confirming: Iterable[SlotId]) -> GroupRecord:
    """Return the first record of a group, whose primary has not started its term."""
    slots = frozenset(confirming) | {primary}
    base = Base(Term(0), slots, Position(0))
    return GroupRecord(Term(1), primary, slots, False, Position(0), base)


def can_promote(record: GroupRecord, slot: SlotId, status: SlotStatus) -> bool:
    """Return whether a slot holds every acknowledged write and may become primary."""
    last_started = record.last_started
    if slot not in last_started.confirming:
        return False
    if status.term < last_started.term:
        return False
    return status.position >= last_started.start_position


def propose_term(
    record: GroupRecord,
    slot: SlotId,
    status: SlotStatus,
    confirming: Iterable[SlotId],
) -> GroupRecord | None:
    """Return the record of the next term with a slot as primary.

    :param record: current record.
    :param slot: slot to be promoted.
    :param status: latest status of the slot.
    :param confirming: slots that must confirm the writes of the new term.
    :returns: the new record, or None if the slot must not be promoted.
    """
    if not can_promote(record, slot, status):
        return None
    slots = frozenset(confirming) | {slot}
    term = Term(record.term + 1)
    return GroupRecord(term, slot, slots, False, Position(0), record.last_started)


def propose_readmission(
    record: GroupRecord, slot: SlotId, primary_status: SlotStatus
) -> GroupRecord | None:
    """Return the record of a new term with the same primary and one more slot.

    :param record: current record.
    :param slot: slot that will confirm writes again.
    :param primary_status: latest status of the primary.
    :returns: the new record, or None if the current term has not started or the primary
        must not be promoted again.
    """
    if not record.started:
        return None
    slots = record.confirming | {slot}
    return propose_term(record, record.primary, primary_status, slots)


def start_term(record: GroupRecord, status: SlotStatus) -> GroupRecord | None:
    """Return the record with its term started.

    :param record: record of a proposed term.
    :param status: latest status of the primary.
    :returns: the new record, or None if the term has been started before or the log of
        the primary has not reached it.
    """
    if record.started or status.term != record.term:
        return None
    return msgspec.structs.replace(record, started=True, start_position=status.position)


def drop_confirming(record: GroupRecord, slot: SlotId) -> GroupRecord | None:
    """Return the record without one of its confirming slots.

    :returns: the new record, or None if the slot is the primary or does not confirm.
    """
    if slot == record.primary or slot not in record.confirming:
        return None
    return msgspec.structs.replace(record, confirming=record.confirming - {slot})


def covers(status: SlotStatus, term: Term, position: Position) -> bool:
    """Return whether a slot holds the log of a term up to a position."""
    return status.term == term and status.position >= position


def may_acknowledge(
    record: GroupRecord,
    term: Term,
    position: Position,
    statuses: Mapping[SlotId, SlotStatus],
) -> bool:
    """Return whether a write on the primary may be acknowledged to its caller.

    :param record: record of the group.
    :param term: term in which the write was committed.
    :param position: log position of the write.
    :param statuses: latest status of each slot. The primary is not looked up, since its
        answer to the write already confirms it.
    """
    if not record.started or record.term != term:
        return False
    others = record.confirming - {record.primary}
    return all(
        slot in statuses and covers(statuses[slot], term, position) for slot in others
    )
