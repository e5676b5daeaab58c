"""Exhaustive model checking of group records, their slots and homes, for small bounds.

A state contains all versions of the record so far, the log of each slot, all answers
that primaries gave and the highest position that each slot reported in each term.
Guardians and homes may act on any version of the record at any later time. Their orders
may arrive late, twice or never, answers and reports may be arbitrarily old, and a slot
may be unreachable at any time. The store may be restored to any earlier version of
the record; an instance that knows the newest one then writes it back before guardians
change it. The functions of :mod:`celeryfold.groups.record` and
:mod:`celeryfold.groups.freshness` that instances run decide which transitions exist.
"""

from __future__ import annotations

__all__ = ["Bounds", "Counterexample", "Exploration", "Rules", "explore"]

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

import msgspec

from ..drivers.slot import SlotRole, SlotStatus
from ..groups import record as shipped
from ..groups.freshness import Sample, make_sample
from ..groups.record import GroupRecord
from ..kernel.ids import Position, SlotId, Term

Log = tuple[tuple[int, int], ...]
"""Entries as pairs of term and write number; write number 0 starts a term."""


@dataclass(frozen=True)
class Bounds:
    """Limits of the explored state space.

    :param n_restores: how often the store is restored to an earlier record.
    """

    n_slots: int = 2
    n_writes: int = 2
    n_terms: int = 3
    n_restores: int = 0


@dataclass(frozen=True)
class Rules:
    """Decision functions under test; a mutation replaces one of them."""

    can_promote: Callable[[GroupRecord, SlotId, SlotStatus], bool] = shipped.can_promote
    may_acknowledge: Callable[..., bool] = shipped.may_acknowledge
    may_follow: Callable[[GroupRecord], bool] = lambda record: record.started
    can_grow_within_term: bool = False
    writes_back: bool = True
    make_sample: Callable[..., Sample | None] = make_sample


@dataclass(frozen=True)
class Slot:
    """State of one slot.

    :param ordered_term: the newest term whose order the slot has received.
    :param following: the number of the slot whose log this slot replicates.
    """

    log: Log = ()
    ordered_term: int = 0
    following: int | None = None
    is_primary: bool = False


WriteAnswer = tuple[int, int, int]
"""Answer of a primary to a write: term, write number, position."""

ReachedPosition = tuple[int, int, int]
"""Report of a slot: slot number, term, position."""


@dataclass(frozen=True)
class State:
    """State of one upstream group.

    :param current: the record in the store.
    :param versions: all versions of the record so far.
    :param answers: the answers of primaries to homes.
    :param reached: the report with the highest position of each slot in each term.
    :param acknowledged: the answers that homes passed on to callers.
    :param newest: the record that the store lost when it was last restored to an
        earlier version.
    """

    current: GroupRecord
    versions: frozenset[GroupRecord]
    slots: tuple[Slot, ...]
    answers: frozenset[WriteAnswer] = frozenset()
    reached: frozenset[ReachedPosition] = frozenset()
    acknowledged: frozenset[WriteAnswer] = frozenset()
    newest: GroupRecord | None = None
    n_restores: int = 0

    @property
    def is_behind(self) -> bool:
        """Whether the store has an earlier version than instances know."""
        newest = self.newest
        return newest is not None and self.current.progress < newest.progress


@dataclass
class Counterexample:
    """Violation and the steps that lead to it."""

    description: str
    steps: list[str]


@dataclass
class Exploration:
    """Result of an exploration.

    :param parents: for each state, the state and step that first led to it.
    """

    n_states: int = 0
    counterexample: Counterexample | None = None
    parents: dict[State, tuple[State, str] | None] = field(default_factory=dict)


def make_slot_id(number: int) -> SlotId:
    """Return the id of the slot with a number."""
    return SlotId(f"s{number}")


def _get_slot_number(slot: SlotId) -> int:
    return int(slot[1:])


def make_status(slot: Slot) -> SlotStatus:
    """Return the status that a slot reports."""
    term = slot.log[-1][0] if slot.log else 0
    following = make_slot_id(slot.following) if slot.following is not None else None
    role = SlotRole.PRIMARY if slot.is_primary else SlotRole.REPLICA
    return SlotStatus(
        role, Term(term), Position(len(slot.log)), Term(slot.ordered_term), following
    )


def explore(bounds: Bounds, rules: Rules | None = None) -> Exploration:
    """Visit all reachable states breadth first; stop at the first counterexample."""
    rules = rules or Rules()
    names = [make_slot_id(number) for number in range(bounds.n_slots)]
    record = shipped.make_first_record(names[0], names)
    first = State(record, frozenset({record}), tuple(Slot() for _ in names))
    result = Exploration()
    result.parents[first] = None
    queue = deque([first])
    while queue:
        state = queue.popleft()
        result.n_states += 1
        for description, successor in _list_transitions(state, bounds, rules):
            if successor in result.parents:
                continue
            result.parents[successor] = (state, description)
            violation = _find_violation(successor, rules)
            if violation is not None:
                steps = _list_steps_to(result, successor)
                result.counterexample = Counterexample(violation, steps)
                return result
            queue.append(successor)
    return result


def _list_steps_to(result: Exploration, state: State) -> list[str]:
    steps: list[str] = []
    parent = result.parents[state]
    while parent is not None:
        state, description = parent
        steps.append(description)
        parent = result.parents[state]
    return steps[::-1]


def _has_entry(log: Log, answer: WriteAnswer) -> bool:
    term, write, position = answer
    return len(log) >= position and log[position - 1] == (term, write)


def _find_violation(state: State, rules: Rules) -> str | None:
    """Return the description of a guarantee that a state violates, if any."""
    current = state.current
    primary = state.slots[_get_slot_number(current.primary)]
    if state.is_behind:
        # Instances go by the newer record that they know.
        return None
    if current.started and primary.is_primary and primary.ordered_term == current.term:
        for answer in state.acknowledged:
            if not _has_entry(primary.log, answer):
                return f"{answer} was acknowledged, {current.primary} misses it"
    reports = _make_reports(state)
    for record in state.versions:
        sample = rules.make_sample(record, reports, 0.0)
        if sample is not None:
            violation = _find_unsound_sample(state, record, sample.position)
            if violation is not None:
                return violation
    return None


def _find_unsound_sample(
    state: State, record: GroupRecord, position: int
) -> str | None:
    """Return the description of an acknowledged write that a sample misses, if any.

    A sample is sound if the primary's log up to the sample's position contains every
    acknowledged write, so that a replica at this position contains them, too.
    """
    log = state.slots[_get_slot_number(record.primary)].log[:position]
    for answer in state.acknowledged:
        if not _has_entry(log, answer):
            return f"a sample of term {record.term} misses {answer}"
    return None


Transitions = Iterator[tuple[str, State]]


def _list_transitions(state: State, bounds: Bounds, rules: Rules) -> Transitions:
    if state.is_behind and rules.writes_back:
        yield from _write_back(state)
    else:
        yield from _change_record(state, bounds, rules)
    yield from _restore_store(state, bounds)
    yield from _deliver_orders(state, rules)
    yield from _replicate(state)
    yield from _write(state, bounds)
    yield from _acknowledge(state, rules)


def _make_reports(state: State) -> dict[SlotId, SlotStatus]:
    return {make_slot_id(n): make_status(s) for n, s in enumerate(state.slots)}


def _replace_record(state: State, record: GroupRecord) -> State:
    """Return the state after a compare-and-swap of the record."""
    return replace(state, current=record, versions=state.versions | {record})


def _change_record(state: State, bounds: Bounds, rules: Rules) -> Transitions:
    current = state.current
    reports = _make_reports(state)
    names = list(reports)
    if current.term < bounds.n_terms:
        yield from _propose(state, reports, rules)
    started = shipped.start_term(current, reports[current.primary])
    if started is not None:
        yield f"start {current.term}", _replace_record(state, started)
    for slot in names:
        smaller = shipped.drop_confirming(current, slot)
        if smaller is not None:
            yield f"drop {slot}", _replace_record(state, smaller)
        if rules.can_grow_within_term and slot not in current.confirming:
            members = current.confirming | {slot}
            grown = msgspec.structs.replace(current, confirming=members)
            yield f"add {slot}", _replace_record(state, grown)


def _restore_store(state: State, bounds: Bounds) -> Transitions:
    if state.n_restores >= bounds.n_restores or state.is_behind:
        return
    for version in state.versions:
        if version.progress < state.current.progress:
            returned = replace(
                state,
                current=version,
                newest=state.current,
                n_restores=state.n_restores + 1,
            )
            yield f"the store is restored to {version.progress}", returned


def _write_back(state: State) -> Transitions:
    assert state.newest is not None
    yield "write back", replace(state, current=state.newest, newest=None)


def _propose(
    state: State, reports: dict[SlotId, SlotStatus], rules: Rules
) -> Transitions:
    current = state.current
    for slot in reports:
        if not rules.can_promote(current, slot, reports[slot]):
            continue
        for confirming in _list_confirming_sets(list(reports), slot):
            term = Term(current.term + 1)
            proposed = GroupRecord(
                term, slot, confirming, False, Position(0), current.last_started
            )
            description = f"propose {term} on {slot} with {sorted(confirming)}"
            yield description, _replace_record(state, proposed)


def _list_confirming_sets(
    names: list[SlotId], primary: SlotId
) -> Iterator[frozenset[SlotId]]:
    others = [name for name in names if name != primary]
    for mask in range(2 ** len(others)):
        chosen = {name for n, name in enumerate(others) if mask >> n & 1}
        yield frozenset(chosen | {primary})


def _set_slot(state: State, number: int, slot: Slot) -> State:
    slots = (*state.slots[:number], slot, *state.slots[number + 1 :])
    after = replace(state, slots=slots)
    if not slot.log:
        return after
    report = (number, slot.log[-1][0], len(slot.log))
    known = [r for r in state.reached if r[:2] == report[:2]]
    if known and known[0][2] >= report[2]:
        return after
    return replace(after, reached=state.reached - set(known) | {report})


def _deliver_orders(state: State, rules: Rules) -> Transitions:
    for record in state.versions:
        primary = _get_slot_number(record.primary)
        term = record.term
        leader = state.slots[primary]
        if not record.started and term > leader.ordered_term:
            changed = Slot((*leader.log, (term, 0)), term, None, True)
            yield f"s{primary} leads {term}", _set_slot(state, primary, changed)
        if rules.may_follow(record):
            yield from _deliver_follow(state, primary, term)


def _deliver_follow(state: State, primary: int, term: Term) -> Transitions:
    for number, slot in enumerate(state.slots):
        is_accepted = term > slot.ordered_term or (
            term == slot.ordered_term and not slot.is_primary
        )
        is_new = slot.following != primary or slot.ordered_term != term
        if number != primary and is_accepted and is_new:
            changed = Slot(slot.log, term, primary, False)
            yield f"s{number} follows s{primary}", _set_slot(state, number, changed)


def _replicate(state: State) -> Transitions:
    for number, slot in enumerate(state.slots):
        if slot.following is None:
            continue
        source = state.slots[slot.following].log
        if source[: len(slot.log)] != slot.log:
            emptied = replace(slot, log=())
            yield f"s{number} starts over", _set_slot(state, number, emptied)
        elif len(source) > len(slot.log):
            longer = replace(slot, log=source[: len(slot.log) + 1])
            yield f"s{number} takes an entry", _set_slot(state, number, longer)


def _write(state: State, bounds: Bounds) -> Transitions:
    n_written = len(state.answers)
    if n_written >= bounds.n_writes:
        return
    for number, slot in enumerate(state.slots):
        if not slot.is_primary:
            continue
        log = (*slot.log, (slot.ordered_term, n_written + 1))
        answer = (slot.ordered_term, n_written + 1, len(log))
        after = _set_slot(state, number, replace(slot, log=log))
        after = replace(after, answers=state.answers | {answer})
        yield f"write {answer} at s{number}", after


def _acknowledge(state: State, rules: Rules) -> Transitions:
    for answer in state.answers - state.acknowledged:
        term, _, position = answer
        reports = {
            make_slot_id(number): SlotStatus(
                SlotRole.REPLICA, Term(reached_term), Position(reached)
            )
            for number, reached_term, reached in state.reached
            if reached_term == term
        }
        for record in state.versions:
            if rules.may_acknowledge(record, Term(term), Position(position), reports):
                acknowledged = state.acknowledged | {answer}
                yield f"acknowledge {answer}", replace(state, acknowledged=acknowledged)
                break
