"""Give a group a primary by an operator's word when no slot holds every write."""

from __future__ import annotations

__all__ = ["Loss", "describe_loss", "propose_recovery"]

from dataclasses import dataclass

from ..drivers.slot import SlotStatus
from ..kernel.ids import Position, SlotId, Term
from .record import Base, GroupRecord, can_promote


@dataclass(frozen=True)
class Loss:
    """Name what is given up by making a slot primary.

    :param is_needed: False where the slot holds every acknowledged write anyway.
    :param text: one paragraph for the operator.
    """

    is_needed: bool
    text: str


def describe_loss(record: GroupRecord, slot: SlotId, status: SlotStatus) -> Loss:
    """Return what may be lost."""
    promised = record.promised
    holders = ", ".join(sorted(promised.confirming))
    if can_promote(record, slot, status):
        text = f"{slot} holds every acknowledged write; the guardian promotes it itself"
        return Loss(False, text)
    return Loss(
        True,
        f"acknowledged writes of term {promised.term} are held by {holders}. {slot} "
        f"ends at term {status.term}, position {status.position}. Every acknowledged "
        f"write after that is given up, also when {holders} come back.",
    )


def propose_recovery(
    record: GroupRecord, slot: SlotId, status: SlotStatus
) -> GroupRecord:
    """Return the record of a term that a slot leads with what it holds."""
    members = frozenset({slot})
    base = Base(status.term, members, Position(0))
    term = Term(record.term + 1)
    return GroupRecord(term, slot, members, False, Position(0), base)
