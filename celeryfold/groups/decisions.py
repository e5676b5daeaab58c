"""Decide the next actions of a guardian for its group, without I/O."""

from __future__ import annotations

__all__ = ["Action", "Follow", "GroupView", "Promote", "ReplaceRecord", "decide"]

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from ..drivers.slot import SlotRole, SlotStatus
from ..kernel.events import EventKind
from ..kernel.ids import SlotId, Term
from .record import (
    GroupRecord,
    can_promote,
    drop_confirming,
    propose_readmission,
    propose_term,
    start_term,
)

# A slot that lags further would delay the writes that it has to confirm.
MAX_LAG_ENTRIES = 64


@dataclass(frozen=True)
class Promote:
    """Order the record's primary to start its term."""

    slot: SlotId
    term: Term


@dataclass(frozen=True)
class Follow:
    """Order a slot to replicate from the primary of a started term."""

    slot: SlotId
    primary: SlotId
    term: Term


@dataclass(frozen=True)
class ReplaceRecord:
    """Replace the record on which the decision was based.

    :param record: new record.
    :param event: timeline event to add once the new record is stored.
    """

    record: GroupRecord
    event: EventKind


Action = Promote | Follow | ReplaceRecord


@dataclass(frozen=True)
class GroupView:
    """State of a group as observed by its guardian.

    :param statuses: answers to the latest probes.
    :param unreachable: slots that several instances agree they cannot reach.
    :param unresponsive: slots that have not answered this guardian for
        ``UNRESPONSIVE_AFTER_S``.
    :param stable: slots that have answered for long enough to be readmitted.
    :param leaving: slots that receive no new work.
    :param eligible: slots that may confirm writes, in order of preference.
    """

    statuses: Mapping[SlotId, SlotStatus]
    unreachable: frozenset[SlotId] = frozenset()
    unresponsive: frozenset[SlotId] = frozenset()
    stable: frozenset[SlotId] = frozenset()
    leaving: frozenset[SlotId] = frozenset()
    eligible: Sequence[SlotId] = field(default_factory=tuple)


def decide(record: GroupRecord, view: GroupView) -> list[Action]:
    """Return the next actions for a group; at most one of them replaces the record."""
    if _needs_new_primary(record, view):
        proposal = _propose_primary(record, view)
        return [ReplaceRecord(proposal, EventKind.TERM_PROPOSED)] if proposal else []
    if not record.started:
        return _advance_term_start(record, view)
    actions: list[Action] = list(_find_misdirected_replicas(record, view))
    replacement = _change_confirming(record, view)
    if replacement is not None:
        actions.append(replacement)
    return actions


def _needs_new_primary(record: GroupRecord, view: GroupView) -> bool:
    primary = record.primary
    if primary in view.unreachable:
        return True
    status = view.statuses.get(primary)
    if status is None:
        return False
    if not record.started:
        return status.ordered_term >= record.term > status.term
    if primary in view.leaving:
        return True
    return status.role is not SlotRole.PRIMARY or status.ordered_term != record.term


def _propose_primary(record: GroupRecord, view: GroupView) -> GroupRecord | None:
    usable = [
        slot
        for slot, status in view.statuses.items()
        if slot not in view.unreachable | view.leaving
        and can_promote(record, slot, status)
    ]
    if not usable:
        return None
    order = {slot: rank for rank, slot in enumerate(view.eligible)}

    def preference(slot: SlotId) -> tuple[int, int, int]:
        status = view.statuses[slot]
        return (-status.term, order.get(slot, len(order)), -status.position)

    best = min(usable, key=preference)
    answering = (
        view.statuses.keys() - view.unreachable - view.unresponsive - view.leaving
    )
    confirming = answering & set(view.eligible)
    return propose_term(record, best, view.statuses[best], confirming)


def _advance_term_start(record: GroupRecord, view: GroupView) -> list[Action]:
    status = view.statuses.get(record.primary)
    if status is None:
        return []
    started = start_term(record, status)
    if started is not None:
        return [ReplaceRecord(started, EventKind.TERM_STARTED)]
    return [Promote(record.primary, record.term)]


def _find_misdirected_replicas(record: GroupRecord, view: GroupView) -> list[Follow]:
    return [
        Follow(slot, record.primary, record.term)
        for slot, status in view.statuses.items()
        if slot != record.primary
        and (status.following != record.primary or status.ordered_term < record.term)
    ]


def _change_confirming(record: GroupRecord, view: GroupView) -> ReplaceRecord | None:
    primary_status = view.statuses.get(record.primary)
    if primary_status is None:
        return None
    for slot in sorted(record.confirming - {record.primary}):
        if slot in view.unresponsive | view.leaving:
            smaller = drop_confirming(record, slot)
            if smaller is not None:
                return ReplaceRecord(smaller, EventKind.MEMBER_DROPPED)
    for slot in view.eligible:
        status = view.statuses.get(slot)
        if slot in record.confirming or status is None or slot in view.leaving:
            continue
        is_caught_up = primary_status.position - status.position <= MAX_LAG_ENTRIES
        if slot in view.stable and status.term == record.term and is_caught_up:
            larger = propose_readmission(record, slot, primary_status)
            if larger is not None:
                return ReplaceRecord(larger, EventKind.TERM_PROPOSED)
    return None
