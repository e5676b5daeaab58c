"""Recovery by an operator when no reachable slot holds every acknowledged write."""

from __future__ import annotations

__all__ = ["Loss", "describe_loss", "propose_recovery"]

from dataclasses import dataclass

from ..drivers.slot import SlotStatus
from ..kernel.ids import Position, SlotId, Term
from .record import Base, GroupRecord, can_promote


@dataclass(frozen=True)
class Loss:
    """Writes that may be lost if a slot becomes primary.

    :param is_needed: False if the slot holds every acknowledged write, so that no
        recovery is needed.
    :param text: description for the operator, one paragraph.
    """

    is_needed: bool
    text: str


def describe_loss(record: GroupRecord, slot: SlotId, status: SlotStatus) -> Loss:
    """Describe which acknowledged writes may be lost if a slot becomes primary.

    :param record: current record of the group.
    :param slot: slot chosen by the operator.
    :param status: latest status of the slot.
    """
    last_started = record.last_started
    holders = ", ".join(sorted(last_started.confirming))
    if can_promote(record, slot, status):
        text = f"{slot} holds every acknowledged write; the guardian promotes it itself"
        return Loss(False, text)
    return Loss(
        True,
        f"acknowledged writes of term {last_started.term} are held by {holders}. "
        f"{slot} ends at term {status.term}, position {status.position}. Every "
        f"acknowledged write after that is discarded, even if {holders} come back.",
    )


def propose_recovery(
    record: GroupRecord, slot: SlotId, status: SlotStatus
) -> GroupRecord:
    """Return the record of a new term with a slot as primary, whatever it holds.

    :param record: current record of the group.
    :param slot: slot chosen by the operator, the only one to confirm writes.
    :param status: latest status of the slot.
    """
    slots = frozenset({slot})
    base = Base(status.term, slots, Position(0))
    term = Term(record.term + 1)
    return GroupRecord(term, slot, slots, False, Position(0), base)
