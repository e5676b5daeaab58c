"""Evidence of how fresh the log positions of a group are.

A sample says: every write acknowledged before `taken_at` is at or below `position` of
`term`. It holds without agreeing clocks, since the instance that uses a sample dates it
by the time at which it sent its own request.
"""

from __future__ import annotations

__all__ = ["Sample", "SampleBuffer", "make_sample"]

from collections import deque
from collections.abc import Mapping

import msgspec

from ..drivers.slot import BatchResult, SlotStatus
from ..kernel.ids import Position, SlotId, Term
from .record import GroupRecord

N_SAMPLES_KEPT = 256


class Sample(msgspec.Struct, frozen=True):
    """Bound the acknowledged writes of a group at one moment.

    :param taken_at: local monotonic seconds before which no acknowledged write is
        above the position.
    """

    term: Term
    position: Position
    taken_at: float


def make_sample(
    record: GroupRecord, statuses: Mapping[SlotId, SlotStatus], taken_at: float
) -> Sample | None:
    """Return a sample where every confirming slot reports the record's term.

    Its position is the primary's: a record that has since lost a confirming slot may
    have let writes through which that slot does not hold.

    :param statuses: answers to requests sent at or after `taken_at`.
    """
    if not record.started or not record.confirming <= statuses.keys():
        return None
    confirming_statuses = [statuses[slot] for slot in record.confirming]
    if not all(_is_in_term(status, record.term) for status in confirming_statuses):
        return None
    return Sample(record.term, statuses[record.primary].position, taken_at)


def _is_in_term(status: SlotStatus, term: Term) -> bool:
    """Tell whether a slot was in a term when it reported.

    A slot that starts over passes through earlier terms again, so the term of its last
    entry alone does not tell.
    """
    return status.term == term and status.ordered_term == term


class SampleBuffer:
    """Keep the latest samples of one group, newest last."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque(maxlen=N_SAMPLES_KEPT)

    def add(self, sample: Sample) -> None:
        """Add a sample."""
        if not self._samples or self._samples[-1].taken_at < sample.taken_at:
            self._samples.append(sample)

    def find(self, not_before: float) -> Sample | None:
        """Return the oldest sample taken at or after a moment."""
        for sample in self._samples:
            if sample.taken_at >= not_before:
                return sample
        return None

    def proves_fresh(
        self, answer: BatchResult, not_before: float, from_primary: bool
    ) -> bool:
        """Tell whether an answer shows every write acknowledged before a moment.

        The primary of a term holds every write of it, so there the term suffices.
        """
        sample = self.find(not_before)
        if sample is None or sample.term != answer.term:
            return False
        return from_primary or answer.position >= sample.position
