"""Members that are kept from receiving until a promotion has taken effect."""

from __future__ import annotations

__all__ = ["PromotionFence", "SuspendWritesAtAll"]

import logging
import math
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from typing import TYPE_CHECKING

import msgspec

from ..kernel.ids import ServiceId, Term, UpstreamId
from ..kernel.metrics import Metrics
from .ack_set import AckSet
from .clock import Clock
from .control import ControlFailed
from .final_positions import FinalPositions
from .members import Member, choose_successor
from .open_statements import LATE_STATEMENT_S
from .positions import LogPosition
from .samples import Sample, SampleHistory
from .upstream import UpstreamRole, UpstreamStatus

if TYPE_CHECKING:
    from .control_book import ControlConnections

log = logging.getLogger(__name__)

# Interval at which the suspension of writes is announced again.
RENEWAL_INTERVAL_S = 0.5


SuspendWritesAtAll = Callable[
    [ServiceId, UpstreamId | None, float, int], Awaitable[bool]
]


class PromotionFence:
    """Keeps the members of a service from receiving during a failover attempt.

    A promotion takes effect some time after it was requested, and a request without an
    answer at any time. A replica that joins, restarts or executes an earlier RESUME
    meanwhile would acknowledge commits that the promoted one lacks. Members are
    therefore paused again before each request, and those that join or restart are
    paused as soon as they are seen. A primary that is back is demoted if an instance
    has not confirmed that it writes to it no more: without a primary nothing is
    acknowledged.

    :param refresh: applies the current list of upstreams to the members.
    :param read_list: reads the list of upstreams from the store.
    :param suspend_writes: suspends the writes to a service at all instances.
    :param require_token: returns the fencing token, or raises :class:`DutyLost`.
    :param final_positions: the positions after which members receive nothing.
    :param find_targets: returns the upstreams that open promotion calls may name, or
        None if they are not known.
    """

    def __init__(
        self,
        service: ServiceId,
        ack_set: AckSet,
        controls: ControlConnections,
        samples: SampleHistory,
        clock: Clock,
        metrics: Metrics,
        refresh: Callable[[], None],
        read_list: Callable[[], Awaitable[object]],
        suspend_writes: SuspendWritesAtAll,
        require_token: Callable[[], int],
        final_positions: FinalPositions,
        find_targets: Callable[[], frozenset[UpstreamId] | None],
    ) -> None:
        self._final_positions = final_positions
        self._find_targets = find_targets
        self._service = service
        self._ack_set = ack_set
        self._controls = controls
        self._samples = samples
        self._clock = clock
        self._metrics = metrics
        self._refresh = refresh
        self._read_list = read_list
        self._suspend_writes = suspend_writes
        self._require_token = require_token
        self._newest: Sample | None = None
        self._term = Term(0)
        # The newest term in which a member led when the attempt began.
        self._led_term = Term(0)
        self._fenced: dict[Member, UpstreamStatus] = {}
        # The last position of a primary that was demoted since it leaves.
        self._final: LogPosition | None = None
        # The member whose promotion was requested last, also in an earlier attempt.
        self._requested: Member | None = None
        self._has_requested = False
        # Former primaries that were demoted; one that restarts may lead again.
        self._demoted: set[Member] = set()
        # A member that leads a newer term than the one before the attempt.
        self._leader: Member | None = None
        # The former primary, if it is back and leads.
        self._returned: Member | None = None
        # Members that did not answer when they were last asked.
        self._silent: set[Member] = set()
        self._successor: UpstreamId | None = None
        self._suspended_at = -math.inf
        # Whether all known instances have replied to the last announcement.
        self.is_suspension_confirmed = False

    @property
    def fenced(self) -> Mapping[Member, UpstreamStatus]:
        """The statuses of the members that cannot receive, as last confirmed."""
        return self._fenced

    @property
    def next_term(self) -> Term:
        """The term that a promoted member will lead."""
        return Term(self._led_term + 1)

    def forget(self) -> None:
        """Discard what is known from an earlier turn of the duty.

        The last holder may have suspended the writes.
        """
        self.begin(None, {})
        self._requested = None
        self._successor = None
        self._suspended_at = self._clock() - RENEWAL_INTERVAL_S

    def begin(
        self, newest: Sample | None, statuses: Mapping[Member, UpstreamStatus]
    ) -> None:
        """Start an attempt.

        :param newest: the newest sample of the lost primary, or None if there is none.
        :param statuses: the statuses of the members that answer.
        """
        self._newest = newest
        self._fenced = {}
        self._demoted = set()
        self._final = None
        self._has_requested = False
        self._leader = None
        self._returned = None
        self._silent = set()
        terms = [status.term for status in statuses.values()]
        terms += [status.received.term for status in statuses.values()]
        if newest is not None:
            terms.append(newest.position.term)
        self._led_term = max(terms, default=Term(0))
        self._term = self._led_term
        self._raise_term(statuses.values())

    def record_request(self, chosen: Member) -> None:
        """Record that the promotion of a member is requested next."""
        self._requested = chosen
        self._has_requested = True

    def _raise_term(self, statuses: Iterable[UpstreamStatus]) -> None:
        """Raise the term of the next statements above all that are known."""
        terms = [max(s.term, s.held_term, s.received.term) for s in statuses]
        self._term = Term(max([self._term, *terms]) + 1)

    async def pause(
        self,
        members: Collection[Member],
        statuses: Mapping[Member, UpstreamStatus],
    ) -> None:
        """Pause the members that do not report to be primary.

        :raises DutyLost: if the duty may have passed to another holder.
        """
        primary = UpstreamRole.PRIMARY
        leading = {m for m, status in statuses.items() if status.role is primary}
        replicas = [member for member in members if member not in leading]
        answers = await self._controls.pause(replicas, self._term)
        self._silent |= set(replicas) - answers.keys()
        resuming = self._controls.list_resuming()
        for member in replicas:
            status = answers.get(member)
            if status is not None and status.held_term > self._led_term:
                self._fenced[member] = status
                if self._controls.is_leaving(member) and member not in resuming:
                    self._final_positions.record(member, status.received)
            else:
                self._fenced.pop(member, None)

    async def pause_former_primary(self) -> None:
        """Pause the former primary, which may have come back as a replica."""
        if self._newest is None:
            return
        former = self._controls.find_member(self._newest.upstream)
        statuses = await self._controls.read_statuses([former] if former else [])
        self._raise_term(statuses.values())
        await self.pause(list(statuses), statuses)

    async def demote_leaving(self, member: Member) -> LogPosition:
        """Demote a primary that leaves and return its last position.

        It holds all acknowledged commits, so members that are missing may stay so.

        :raises ControlFailed: if it does not confirm; it may be demoted.
        :raises DutyLost: if the duty may have passed to another holder.
        """
        status = await self._controls.demote(member, self.next_term)
        if status.role is UpstreamRole.REPLICA:
            self._fenced[member] = status
            self._final = status.received
        return status.received

    async def suspend_writes(self, successor: Member | None) -> None:
        """Have instances write to no upstream but the successor, once it leads.

        This lasts for as long as a request without an answer may take effect.

        :raises DutyLost: if the duty may have passed to another holder.
        """
        token = self._require_token()
        name = successor.upstream_id if successor is not None else None
        age_s = self._clock() - self._suspended_at
        if name == self._successor and age_s < RENEWAL_INTERVAL_S:
            return
        self._successor = name
        self._suspended_at = self._clock()
        self.is_suspension_confirmed = await self._suspend_writes(
            self._service, name, LATE_STATEMENT_S, token
        )

    async def renew_suspension(self) -> None:
        """Announce the suspension again if that is due.

        :raises DutyLost: if the duty may have passed to another holder.
        """
        if self._suspended_at == -math.inf:
            return
        token = self._require_token()
        if self._clock() - self._suspended_at >= RENEWAL_INTERVAL_S:
            self._suspended_at = self._clock()
            self.is_suspension_confirmed = await self._suspend_writes(
                self._service, self._successor, LATE_STATEMENT_S, token
            )

    async def resume_writes(self) -> None:
        """Have instances write to the primary again, whichever it is.

        :raises DutyLost: if the duty may have passed to another holder, which decides.
        """
        if self._suspended_at > -math.inf:
            token = self._require_token()
            self._suspended_at = -math.inf
            await self._suspend_writes(self._service, None, 0.0, token)

    async def confirm(self, chosen: Member, can_take_effect: bool) -> Member | None:
        """Pause the members again and choose by their positions.

        An upstream that was promoted by an earlier request is the choice, and so is the
        former primary if it is back: its promotion changes nothing, but has the
        platform refuse the earlier requests.

        :param chosen: the member chosen before, which is kept among equals.
        :param can_take_effect: whether an earlier request may still take effect.
        :returns: the member to promote, or None if others may hold the only copy of a
            commit or may receive.
        :raises StoreUnavailable: if the list of upstreams cannot be read.
        :raises DutyLost: if the duty may have passed to another holder.
        """
        resuming = self._controls.list_resuming()
        if self._has_requested:
            self._raise_term(self._fenced.values())
            fenced = list(self._fenced)
            await self.pause(fenced, {})
            self._silent -= set(fenced)
        # After the answers, which a new incarnation may have given.
        await self._read_list()
        self._refresh()
        await self._extend(can_take_effect, self._silent)
        if can_take_effect and self._returned is not None:
            return self._returned
        return self._leader or self.choose(chosen, resuming)

    async def extend(self, can_take_effect: bool) -> None:
        """Pause the members that joined or restarted, and demote a primary.

        :param can_take_effect: whether an earlier request may still take effect. A
            primary is demoted only then.
        :raises DutyLost: if the duty may have passed to another holder.
        """
        self._refresh()
        await self._extend(can_take_effect, ())

    async def _extend(self, can_take_effect: bool, skipped: Collection[Member]) -> None:
        lost = self._newest.upstream if self._newest is not None else None
        members = self._controls.list_except(None if can_take_effect else lost)
        unfenced = []
        known = set(self._controls.list_except(None))
        self._fenced = {m: s for m, s in self._fenced.items() if m in known}
        for member in members:
            if self._controls.are_open([member]) and member in self._fenced:
                continue
            self._fenced.pop(member, None)
            if member not in skipped:
                unfenced.append(member)
        self._returned = None
        if not unfenced:
            return
        statuses = await self._controls.read_statuses(unfenced)
        self._silent -= statuses.keys()
        self._silent |= set(unfenced) - statuses.keys()
        joined = [m for m, s in statuses.items() if s.role is UpstreamRole.REPLICA]
        if joined:
            self._log_joined(joined)
            self._raise_term([statuses[member] for member in joined])
            await self.pause(joined, statuses)
        for member, status in statuses.items():
            if status.role is not UpstreamRole.PRIMARY:
                continue
            if status.term > self._led_term:
                self._leader = member
            elif can_take_effect and not self.is_suspension_confirmed:
                await self._demote_former(member, status)
            else:
                self._returned = member

    def _log_joined(self, joined: Collection[Member]) -> None:
        self._metrics.count("failover.joined", len(joined))
        extra = {
            "service": self._service,
            "upstreams": sorted(member.upstream_id for member in joined),
        }
        log.warning("members joined during a failover attempt", extra=extra)

    async def _demote_former(self, member: Member, status: UpstreamStatus) -> None:
        """Demote the former primary if a member can be promoted after that."""
        demoted = msgspec.structs.replace(status, role=UpstreamRole.REPLICA)
        may_receive = {*self._controls.list_resuming(), member}
        if self.choose_among({**self._fenced, member: demoted}, may_receive) is None:
            return
        extra = {"service": self._service, "upstream": member.upstream_id}
        log.warning("former primary demoted during a failover attempt", extra=extra)
        self._metrics.count("failover.demoted")
        try:
            status = await self._controls.demote(member, self.next_term)
        except ControlFailed:
            # The connection logs the reason. The member is asked again later.
            return
        if status.role is UpstreamRole.REPLICA:
            self._fenced[member] = status
            self._demoted.add(member)

    def choose(
        self, preferred: Member | None = None, resuming: Collection[Member] = ()
    ) -> Member | None:
        """Return the member to promote, or None if others may hold the only copy.

        :param preferred: the member to choose among equals; that of an earlier request
            if it is not given, unless the primary leaves.
        :param resuming: further members that may receive, as a RESUME without an answer
            could have been executed since the members were paused.
        """
        if preferred is None and self._final is None:
            preferred = self._requested
        may_receive = {*resuming, *self._controls.list_resuming(), *self._demoted}
        if self._final is None:
            chosen = self.choose_among(self._fenced, may_receive)
        else:
            chosen = self._choose_complete(self._final)
        if chosen is None or preferred is None or preferred not in self._fenced:
            return chosen
        is_equal = self._fenced[preferred].received == self._fenced[chosen].received
        return preferred if is_equal and chosen not in may_receive else chosen

    def choose_among(
        self,
        statuses: Mapping[Member, UpstreamStatus],
        may_receive: Collection[Member] | None = None,
    ) -> Member | None:
        """Return the member that could be promoted if just these were paused.

        :param may_receive: members that count as absent unless chosen; by default those
            that may execute a RESUME.
        """
        # Dropped members that have answered count again.
        self._refresh()
        replicas = {
            member: status
            for member, status in statuses.items()
            if status.role is UpstreamRole.REPLICA
        }
        missing = self._ack_set.list_missing()
        chosen = choose_successor(
            self._ack_set.members - self._find_mistaken(replicas),
            self._controls.find_progress(replicas, missing),
            self._newest.upstream if self._newest is not None else None,
            self._list_doubted(replicas),
            self._samples.find_highest_position(self._service),
            self._controls.list_resuming() if may_receive is None else may_receive,
            self._controls.find_addresses(),
            self._final_positions.find_valid(self._find_targets(), replicas),
        )
        if chosen is None or self.list_unconfirmed(replicas, chosen):
            return None
        return chosen

    def list_unconfirmed(
        self, statuses: Mapping[Member, UpstreamStatus], chosen: Member | None = None
    ) -> list[Member]:
        """Return the members whose answers may be those of an empty incarnation.

        They are waited for until entries tell, if they could have held more than all
        others.

        :param chosen: the member to promote, or None for the most advanced one.
        """
        reached = max((s.received for s in statuses.values()), default=None)
        if chosen is not None:
            reached = statuses[chosen].received
        told = self._samples.find_highest_position(self._service)
        if reached is None or (told is not None and told <= reached):
            return []
        return [
            member
            for member, status in statuses.items()
            if not status.received.number
            and status.received < reached
            and self._controls.is_unconfirmed(member)
        ]

    def _choose_complete(self, final: LogPosition) -> Member | None:
        """Return a fenced member that holds all entries, one that stays if possible."""
        complete = {m: s for m, s in self._fenced.items() if s.received >= final}

        def rank(member: Member) -> tuple[LogPosition, bool, Member]:
            is_staying = not self._controls.is_leaving(member)
            return complete[member].received, is_staying, member

        return max(complete, key=rank, default=None)

    def list_absent(self) -> list[Member]:
        """Return the members that may hold the only copy and are not paused."""
        expected = self._ack_set.members | self._list_doubted(self._fenced)
        return [member for member in expected if member not in self._fenced]

    def _find_mistaken(self, held: Collection[Member]) -> frozenset[Member]:
        """Return the dropped members for which another one that is held has answered.

        One that was dropped answers under its id if it has started again empty, and
        nothing tells that to an instance to which it has not reported before.
        """
        if self._samples.find_highest_position(self._service) is not None:
            return frozenset()
        return frozenset(self._controls.list_replaced(self._ack_set.readmitted, held))

    def _list_doubted(self, held: Collection[Member]) -> frozenset[Member]:
        """Return the dropped members that may have acknowledged commits unseen.

        Where no position of a primary is known, one whose address or id has passed to a
        member that is held is not waited for: it does not come back.
        """
        doubted = self._ack_set.in_doubt
        if self._samples.find_highest_position(self._service) is not None:
            return doubted
        doubted |= self._ack_set.dropped - self._ack_set.leaving
        return doubted.difference(self._controls.list_replaced(doubted, held))
