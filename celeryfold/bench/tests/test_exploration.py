"""Model check of group records: no reachable state loses an acknowledged write.

The second test replaces one rule at a time by a weaker one. It fails if the exploration
finds no violation then, as it would miss a fault in this rule.
"""

from __future__ import annotations

import os
from dataclasses import replace

import pytest

from celeryfold.bench.exploration import Bounds, Rules, explore
from celeryfold.groups.freshness import Sample
from celeryfold.groups.record import GroupRecord, covers
from celeryfold.kernel.ids import Position

pytestmark = pytest.mark.proof

SMALL = Bounds(n_slots=2, n_writes=1, n_terms=3)
RESTORES = Bounds(n_slots=2, n_writes=1, n_terms=2, n_restores=1)
LARGE = [replace(RESTORES, n_terms=3), Bounds(2, 2, 3), Bounds(3, 1, 2)]
IS_THOROUGH = os.environ.get("HYPOTHESIS_PROFILE") == "prove"
BOUNDS = [SMALL, RESTORES, *LARGE] if IS_THOROUGH else [SMALL, RESTORES]


def promote_anyone(record, slot, status) -> bool:
    """Allow any slot, whether or not its log contains every acknowledged write."""
    return True


def promote_before_start(record: GroupRecord, slot, status) -> bool:
    """Omit the check that the slot has reached the start of the last started term."""
    return slot in record.last_started.confirming


def acknowledge_unstarted(record, term, position, reports) -> bool:
    """Omit the check that the term is started."""
    others = record.confirming - {record.primary}
    return record.term == term and all(
        slot in reports and covers(reports[slot], term, position) for slot in others
    )


def acknowledge_alone(record, term, position, reports) -> bool:
    """Omit the check that the other confirming slots have the write."""
    return record.started and record.term == term


def sample_lowest(record: GroupRecord, reports, taken_at) -> Sample | None:
    """Use the lowest position of the confirming slots as the position of the sample."""
    members = [reports[slot] for slot in record.confirming]
    if not record.started or any(s.ordered_term != record.term for s in members):
        return None
    if any(status.term != record.term for status in members):
        return None
    lowest = min(status.position for status in members)
    return Sample(record.term, Position(lowest), taken_at)


def sample_by_last_entry(record: GroupRecord, reports, taken_at) -> Sample | None:
    """Check the term of a slot's last log entry, but not the term of its last order."""
    members = [reports[slot] for slot in record.confirming]
    if not record.started or any(status.term != record.term for status in members):
        return None
    return Sample(record.term, reports[record.primary].position, taken_at)


MUTATIONS = {
    "any candidate": (replace(Rules(), can_promote=promote_anyone), SMALL),
    "no start position": (replace(Rules(), can_promote=promote_before_start), SMALL),
    "follow before started": (
        replace(Rules(), may_follow=lambda record: True),
        SMALL,
    ),
    "acknowledge before started": (
        replace(Rules(), may_acknowledge=acknowledge_unstarted),
        SMALL,
    ),
    "acknowledge alone": (replace(Rules(), may_acknowledge=acknowledge_alone), SMALL),
    "grow within a term": (replace(Rules(), can_grow_within_term=True), SMALL),
    "lowest position as bound": (replace(Rules(), make_sample=sample_lowest), SMALL),
    "no write-back after a restore": (replace(Rules(), writes_back=False), RESTORES),
    "term of last entry only": (
        replace(Rules(), make_sample=sample_by_last_entry),
        Bounds(2, 2, 3),
    ),
}


@pytest.mark.parametrize("bounds", BOUNDS, ids=str)
def test_no_counterexample_with_the_shipped_rules(bounds):
    result = explore(bounds)
    print(f"{bounds}: {result.n_states} states")
    assert result.counterexample is None
    assert result.n_states > 10_000


@pytest.mark.parametrize("name", MUTATIONS)
def test_each_rule_is_needed(name):
    rules, bounds = MUTATIONS[name]
    counterexample = explore(bounds, rules).counterexample
    assert counterexample is not None
    print(name, counterexample.description, counterexample.steps)
