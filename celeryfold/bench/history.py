"""What callers saw, and the verdict whether every promise was held."""

from __future__ import annotations

__all__ = ["History", "ReadNote", "Verdict", "WriteNote", "WriteOutcome"]

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec


class WriteOutcome(Enum):
    """Tell how a write ended for its caller."""

    ACKNOWLEDGED = "acknowledged"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass
class WriteNote:
    """Record one write of a caller.

    :param marker: a text of its own, stored in the row that the write adds.
    :param owner: whose data it belongs to.
    :param began_at: monotonic seconds of the first try.
    :param ended_at: monotonic seconds of the answer.
    """

    marker: str
    owner: str
    group: str
    outcome: WriteOutcome
    began_at: float
    ended_at: float


@dataclass
class ReadNote:
    """Record one read of an owner's rows.

    :param own: markers that the reader itself had acknowledged before.
    """

    owner: str
    markers: frozenset[str]
    own: frozenset[str]
    began_at: float
    accepted_age_s: float
    from_replica: bool


class Verdict(msgspec.Struct):
    """Hold the figures of a run; all from `n_lost` to `n_false_not_run` must be 0."""

    n_requests: int
    n_acknowledged: int
    n_lost: int
    n_doubled: int
    n_stale_reads: int
    n_false_not_run: int
    n_unknown: int
    n_failed_reads: int
    replica_read_share: float
    failover_gap_s: float | None

    @property
    def is_good(self) -> bool:
        """Whether every promise was held."""
        broken = (
            self.n_lost + self.n_doubled + self.n_stale_reads + self.n_false_not_run
        )
        return broken == 0 and self.n_acknowledged > 0


class History:
    """Collect notes from all callers of a run."""

    def __init__(self) -> None:
        self.writes: list[WriteNote] = []
        self.reads: list[ReadNote] = []
        self.n_failed_reads = 0

    def find_gap_s(self, group: str, since: float) -> float | None:
        """Return seconds until a write begun later was acknowledged by a group."""
        ends = [
            note.ended_at
            for note in self.writes
            if note.group == group
            and note.outcome is WriteOutcome.ACKNOWLEDGED
            and note.began_at > since
        ]
        return min(ends) - since if ends else None

    def count_stale(self) -> int:
        """Return how many reads missed a write that they had to show."""
        acknowledged: dict[str, list[WriteNote]] = {}
        for note in self.writes:
            if note.outcome is WriteOutcome.ACKNOWLEDGED:
                acknowledged.setdefault(note.owner, []).append(note)
        n_stale = 0
        for read in self.reads:
            not_before = read.began_at - read.accepted_age_s
            due = {
                note.marker
                for note in acknowledged.get(read.owner, [])
                if note.ended_at < not_before
            }
            n_stale += not (due | read.own) <= read.markers
        return n_stale

    def judge(
        self, final: Mapping[str, int], gaps: Iterable[float | None] = ()
    ) -> Verdict:
        """Return the verdict.

        :param final: how often each marker is found in the end.
        :param gaps: the service gaps that were measured.
        """
        outcomes = {note.marker: note.outcome for note in self.writes}
        acknowledged = {
            m for m, out in outcomes.items() if out is WriteOutcome.ACKNOWLEDGED
        }
        refused = {m for m, out in outcomes.items() if out is WriteOutcome.NOT_RUN}
        n_replica = sum(read.from_replica for read in self.reads)
        known_gaps = [gap for gap in gaps if gap is not None]
        return Verdict(
            n_requests=len(self.writes) + len(self.reads) + self.n_failed_reads,
            n_acknowledged=len(acknowledged),
            n_lost=sum(marker not in final for marker in acknowledged),
            n_doubled=sum(count > 1 for count in final.values()),
            n_stale_reads=self.count_stale(),
            n_false_not_run=sum(marker in final for marker in refused),
            n_unknown=len(outcomes) - len(acknowledged) - len(refused),
            n_failed_reads=self.n_failed_reads,
            replica_read_share=round(n_replica / max(1, len(self.reads)), 4),
            failover_gap_s=round(max(known_gaps), 3) if known_gaps else None,
        )
