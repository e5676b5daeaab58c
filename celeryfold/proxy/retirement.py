"""Replicas that leave are kept from receiving while a replica that stays keeps up."""

from __future__ import annotations

__all__ = ["Retirement"]

import logging
import math
from collections.abc import Callable, Collection, Iterable, Mapping

import trio

from ..kernel.ids import ServiceId, Term, UpstreamId
from ..kernel.metrics import Metrics
from .clock import Clock
from .control_book import ControlConnections
from .final_positions import FinalPositions
from .members import Member
from .positions import LogPosition
from .samples import Sample
from .upstream import UpstreamRole, UpstreamStatus

log = logging.getLogger(__name__)

# Interval at which members are asked while a replica leaves.
CHECK_INTERVAL_S = 0.45
# While leaving ones are paused, a member that lacks the position that the primary has
# just reported is asked again, so often and after this time.
N_REPEATS = 2
REPEAT_INTERVAL_S = 0.15
# A member that does not answer within this time is asked again the next time.
STATUS_TIMEOUT_S = 0.25
# A leaving replica is paused after so many checks in a row in which one that stays has
# kept up.
N_CHECKS_KEPT_UP = 2


class Retirement:
    """Pauses the replicas of one service that leave, and records their last positions.

    A leaving replica takes its log along. Once it is paused, each commit is on the
    primary and on a replica that stays, and its :class:`FinalPosition` tells the next
    holder of the duty that it need not be waited for. Where none stays, the one that
    reported last goes on receiving. If none of those that receive keeps up with the
    primary, all receive again, so that writes go on.

    :param final_positions: the final positions, which the holder writes to the record.
    :param find_leaving_s: returns for how many seconds an upstream has been leaving.
    """

    def __init__(
        self,
        service: ServiceId,
        controls: ControlConnections,
        final_positions: FinalPositions,
        find_leaving_s: Callable[[UpstreamId], float | None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._find_leaving_s = find_leaving_s
        self._clock = clock
        self._service = service
        self._controls = controls
        self._final_positions = final_positions
        self._metrics = metrics
        self.forget()

    def forget(self) -> None:
        """Discard what was seen in an earlier turn of the duty."""
        # A position of the primary from the previous check.
        self._target: LogPosition | None = None
        self._checked_at = -math.inf
        self._n_kept_up = 0

    async def step(self, newest: Sample, members: Collection[Member]) -> bool:
        """Pause leaving replicas, or let them receive again.

        :param newest: the newest sample of the primary, which leads.
        :param members: the members of the service.
        :returns: whether paused members are to receive again.
        :raises DutyLost: if the duty may have passed to another holder.
        """
        self._final_positions.retain(members)
        replicas = [m for m in members if m.upstream_id != newest.upstream]
        leaving = [m for m in replicas if self._controls.is_leaving(m)]
        self._discard_withdrawn()
        if not leaving:
            self.forget()
            return False
        if self._clock() - self._checked_at < CHECK_INTERVAL_S:
            return False
        self._checked_at = self._clock()
        statuses = await self._controls.read_statuses(members, STATUS_TIMEOUT_S)
        target = self._target
        self._target = max([newest.position, *_list_leading(statuses)])
        self._discard_receiving(statuses)
        if target is None:
            return False
        replicas.sort(key=self._find_departure)
        kept_up = _list_kept_up(replicas, statuses, target)
        if self._final_positions.list_members():
            kept_up = _list_kept_up(replicas, statuses, self._target)
            if not kept_up:
                kept_up = await self._ask_again(replicas, self._target)
        if not kept_up:
            self._n_kept_up = 0
            return self._release(statuses)
        self._n_kept_up += 1
        if self._n_kept_up >= N_CHECKS_KEPT_UP:
            later = replicas[: replicas.index(kept_up[0]) + 1]
            await self._pause([m for m in leaving if m not in later], statuses)
        return False

    async def _ask_again(
        self, replicas: Collection[Member], target: LogPosition
    ) -> list[Member]:
        """Return the members that receive and soon reach a position of the primary.

        Entries may be on their way between data centres.
        """
        asked = [m for m in replicas if m not in self._final_positions]
        for _ in range(N_REPEATS):
            await trio.sleep(REPEAT_INTERVAL_S)
            statuses = await self._controls.read_statuses(asked, STATUS_TIMEOUT_S)
            if kept_up := _list_kept_up(asked, statuses, target):
                return kept_up
        return []

    def _find_departure(self, member: Member) -> tuple[bool, float, Member]:
        """Return a key that puts those that stay first and those that go first last."""
        is_leaving = self._controls.is_leaving(member)
        leaving_s = self._find_leaving_s(member.upstream_id) or 0.0
        return is_leaving, leaving_s, member

    def _discard_withdrawn(self) -> None:
        """Forget the final positions of members that do not leave any more."""
        for member in self._final_positions.list_members():
            if not self._controls.is_leaving(member):
                self._discard(member, "it does not leave any more")

    def _discard_receiving(self, statuses: Mapping[Member, UpstreamStatus]) -> None:
        """Forget the final positions of members that receive again."""
        for member, status in statuses.items():
            if member in self._final_positions and not status.held_term:
                self._discard(member, "it has received again")

    def _release(self, statuses: Collection[Member]) -> bool:
        """Let members that run receive again, since no other replica keeps up."""
        released = [m for m in self._final_positions.list_members() if m in statuses]
        for member in released:
            self._discard(member, "no other replica keeps up")
        return bool(released)

    def _discard(self, member: Member, reason: str) -> None:
        """Forget a final position; the guardian lets the member receive again."""
        self._final_positions.discard(member)
        self._controls.recheck_paused()
        self._metrics.count("failover.retirement_ended")
        extra = {"service": self._service, "upstream": member.upstream_id}
        log.warning("leaving replica receives again", extra={**extra, "reason": reason})

    async def _pause(
        self, leaving: Collection[Member], statuses: Mapping[Member, UpstreamStatus]
    ) -> None:
        """Pause leaving replicas that receive, and record their final positions."""
        resuming = self._controls.list_resuming()
        receiving = [
            member
            for member in leaving
            if member in statuses
            and member not in self._final_positions
            and member not in resuming
            and statuses[member].role is UpstreamRole.REPLICA
        ]
        if not receiving:
            return
        terms = [max(s.term, s.held_term, s.received.term) for s in statuses.values()]
        term = Term(max(terms) + 1)
        answers = await self._controls.pause(receiving, term)
        for member, status in answers.items():
            if status.role is not UpstreamRole.REPLICA or status.held_term < term:
                continue
            self._final_positions.record(member, status.received)
            self._metrics.count("failover.retired")
            extra = {"service": self._service, "upstream": member.upstream_id}
            extra["position"] = str(status.received)
            log.info("leaving replica paused", extra=extra)


def _list_kept_up(
    members: Iterable[Member],
    statuses: Mapping[Member, UpstreamStatus],
    target: LogPosition,
) -> list[Member]:
    """Return the members that receive and have reached a position, in order."""
    return [
        member
        for member in members
        if member in statuses
        and not statuses[member].held_term
        and statuses[member].received >= target
    ]


def _list_leading(statuses: Mapping[Member, UpstreamStatus]) -> list[LogPosition]:
    """Return the positions of the members that report to be primary."""
    primary = UpstreamRole.PRIMARY
    return [s.received for s in statuses.values() if s.role is primary]
