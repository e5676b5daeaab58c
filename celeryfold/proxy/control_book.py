"""Control connections to all members of a service."""

from __future__ import annotations

__all__ = ["ControlConnections"]

import logging
import math
from collections.abc import Awaitable, Callable, Collection, Iterable

import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import PlaceId, ServiceId, Term, UpstreamId
from ..kernel.metrics import Metrics
from .clock import Clock
from .control import ControlConnection, ControlFailed
from .duty_record import MemberAddress
from .leases import DutyLost
from .members import (
    UNKNOWN_BORN_MS,
    Contact,
    Contacts,
    Member,
    ReplicaProgress,
)
from .open_statements import LATE_STATEMENT_S, OpenStatements, StatementKind
from .positions import LogPosition
from .upstream import (
    ConnectFailed,
    ConnectFailure,
    Connector,
    Upstream,
    UpstreamRole,
    UpstreamStatus,
)

log = logging.getLogger(__name__)

ControlCall = Callable[[ControlConnection], Awaitable[UpstreamStatus]]

# Interval of the check that every member has an open connection.
OPEN_INTERVAL_S = 1.0
# Interval of the check whether members are still paused after an attempt.
PAUSE_CHECK_INTERVAL_S = 0.5
# Members that do not answer within this time are asked again later, so that the others
# need not wait for them.
PAUSE_CHECK_TIMEOUT_S = 0.25
# Interval at which dropped members are asked whether they are back.
SEEK_INTERVAL_S = 1.0
# Time for a dropped member to answer a statement of a failover attempt: opening a
# connection and the statement take 180 ms between regions.
DROPPED_TIMEOUT_S = 0.3
# A started upstream registers within this time, and the entry has been read.
REGISTRATION_S = 2.5
# At most this many of the latest dropped members are asked.
N_DROPPED_ASKED = 8


class ControlConnections:
    """Sends control statements to members and tracks which of them were paused.

    A dropped member that may come back is asked, too: about once a second, and with
    each failover attempt. One that answers is returned by :meth:`take_returned`. None
    is asked any more once its address belongs to another upstream.

    :param require_duty: raises :class:`DutyLost` if this instance may have lost the
        duty, so that it changes no member any more.
    """

    def __init__(
        self,
        service: ServiceId,
        connector: Connector,
        clock: Clock,
        metrics: Metrics,
        require_duty: Callable[[], object],
    ) -> None:
        self._require_duty = require_duty
        self._service = service
        self._connector = connector
        self._clock = clock
        self._metrics = metrics
        self._controls: dict[Member, ControlConnection] = {}
        # The members that an attempt may have left paused.
        self._paused: set[Member] = set()
        self._checked_at = -math.inf
        self._open_statements = OpenStatements(LATE_STATEMENT_S)
        self._opened_at = -math.inf
        self._contacts = Contacts()
        # Dropped members that may come back, in the order in which they were dropped.
        self._dropped: dict[Member, ControlConnection] = {}
        self._returned: list[Member] = []
        self._sought_at = -math.inf
        # Upstreams that answered at the address of a member and were not listed nor
        # asked yet, and those that turned out not to be there.
        self._found: set[Member] = set()
        self._refuted: set[UpstreamId] = set()
        # When members first returned a status.
        self._first_status_at: dict[Member, float] = {}
        # Where members ran whose address another upstream has, as far as it is known.
        self._taken_addresses: dict[Member, str] = {}
        # When a statement of a failover attempt to a dropped member timed out.
        self._timed_out_at: dict[Member, float] = {}

    def refresh(self, listed: Iterable[Upstream]) -> None:
        """Update the addresses of upstreams; unlisted ones keep their connections."""
        for upstream in listed:
            member = Member(upstream.upstream_id, upstream.born_ms)
            known = self._find(member) or self._identify(member)
            if known is None or known.upstream.address != upstream.address:
                known = self._make_control(upstream)
                self._contacts.forget_last(member)
            known.upstream = upstream
            self._controls[member] = known
            self._taken_addresses.pop(member, None)
            # A dropped incarnation of this upstream does not come back.
            for dropped in list(self._dropped):
                if dropped.upstream_id == upstream.upstream_id:
                    self._stop_asking(dropped)

    def _identify(self, member: Member) -> ControlConnection | None:
        """Return the connection to a member whose entry had not been seen."""
        unknown = Member(member.upstream_id, UNKNOWN_BORN_MS)
        control = self._controls.pop(unknown, None) or self._dropped.pop(unknown, None)
        if unknown in self._returned:
            self._returned.remove(unknown)
        if unknown in self._paused:
            self._paused ^= {unknown, member}
        self._found.discard(unknown)
        return control

    def restore(
        self,
        addresses: Iterable[MemberAddress],
        members: Collection[Member],
        dropped: Collection[Member],
        leaving: Collection[Member] = (),
    ) -> None:
        """Add connections to addresses that the previous holder of the duty recorded.

        :param members: the members now.
        :param dropped: the dropped members that may come back.
        :param leaving: the members that had announced that they leave.
        """
        for recorded in addresses:
            member = recorded.member
            upstream = Upstream(
                recorded.upstream_id,
                self._service,
                recorded.address,
                PlaceId(""),
                0,
                recorded.born_ms,
                member in leaving,
            )
            known = self._find(member) or self._make_control(upstream)
            if self._taken_addresses.get(member) != recorded.address:
                self._taken_addresses.pop(member, None)
            if member in members:
                self._controls[member] = known
                self._dropped.pop(member, None)
            elif member in dropped:
                self._controls.pop(member, None)
                self._ask_dropped(member, known)

    def _make_control(self, upstream: Upstream) -> ControlConnection:
        return ControlConnection(upstream, self._connector, self._require_duty)

    def _find(self, member: Member) -> ControlConnection | None:
        return self._controls.get(member) or self._dropped.get(member)

    def list_addresses(self) -> tuple[MemberAddress, ...]:
        """Return the addresses of all members and of dropped ones that are asked."""
        controls = {**self._dropped, **self._controls}
        controls = {m: c for m, c in controls.items() if m not in self._found}
        return tuple(
            MemberAddress(
                member.upstream_id, member.born_ms, controls[member].upstream.address
            )
            for member in sorted(controls)
        )

    def find_addresses(self) -> dict[Member, str]:
        """Return the address of each member, of those that were dropped as well."""
        controls = {**self._dropped, **self._controls}
        return {m: control.upstream.address for m, control in controls.items()}

    def list_except(self, excluded: UpstreamId | None) -> list[Member]:
        """Return all members except those of one upstream.

        Dropped members are included, unless a statement to them has just timed out.
        """
        oldest = self._clock() - SEEK_INTERVAL_S
        dropped = [
            member
            for member in self._dropped
            if self._timed_out_at.get(member, -math.inf) <= oldest
        ]
        return [m for m in (*self._controls, *dropped) if m.upstream_id != excluded]

    def list_of(self, upstream_id: UpstreamId) -> list[Member]:
        """Return the incarnations of one upstream."""
        return [m for m in self._controls if m.upstream_id == upstream_id]

    def find_member(self, upstream_id: UpstreamId) -> Member | None:
        """Return the latest incarnation of an upstream, or None if it is not known."""
        members = [m for m in self._controls if m.upstream_id == upstream_id]
        return max(members, default=None)

    def are_open(self, members: Iterable[Member]) -> bool:
        """Return whether every member still has its connection open.

        A member that has restarted since the last statement has lost its connection.
        """
        controls = [self._find(member) for member in members]
        return all(control is not None and control.is_open for control in controls)

    async def open_all(self) -> None:
        """Open missing connections in advance.

        When a primary is lost, statements may have taken every connection that a
        replica allows.
        """
        if self._clock() - self._opened_at < OPEN_INTERVAL_S:
            return
        self._opened_at = self._clock()
        async with trio.open_nursery() as nursery:
            for member, control in self._controls.items():
                if not control.is_open and not self._is_superseded(member):
                    nursery.start_soon(self._open, member, control)

    async def _open(self, member: Member, control: ControlConnection) -> None:
        """Open a connection and record the status, for the check of later answers."""
        await self._ask(member, control, _read_status)
        if not control.is_open:
            self._metrics.count("failover.control_not_opened")

    @property
    def is_seek_due(self) -> bool:
        """Whether dropped members are to be asked again whether they are back."""
        is_due = self._clock() - self._sought_at >= SEEK_INTERVAL_S
        return bool(self._dropped) and is_due

    async def seek_dropped(self) -> None:
        """Ask dropped members whether they are back."""
        self._sought_at = self._clock()
        async with trio.open_nursery() as nursery:
            for member, control in list(self._dropped.items()):
                nursery.start_soon(self._ask, member, control, _read_status)

    def take_returned(self) -> list[Member]:
        """Return the dropped members that have answered since the last call."""
        returned, self._returned = self._returned, []
        return returned

    def list_running(self) -> list[Member]:
        """Return the members that run, as far as their last answers show."""
        return [m for m in self._controls if self._contacts.find(m).is_running]

    def find_contact(self, member: Member) -> Contact:
        """Return how a member answered when it was last asked."""
        return self._contacts.find(member)

    def record_leader(self, term: Term) -> None:
        """Record the term in which an upstream was seen to lead."""
        self._contacts.leader_term = max(self._contacts.leader_term, term)

    async def is_connection_refused(self, upstream_id: UpstreamId) -> bool:
        """Return whether an upstream's host refuses connections to its port."""
        for member, control in self._controls.items():
            if member.upstream_id != upstream_id:
                continue
            try:
                await control.open()
            except ControlFailed as error:
                return error.failure is ConnectFailure.REFUSED
        return False

    async def read_statuses(
        self, members: Iterable[Member] | None = None, timeout_s: float = math.inf
    ) -> dict[Member, UpstreamStatus]:
        """Return the status of each member that answers.

        :param members: the members to ask, or None for all.
        :param timeout_s: for how long to wait for all answers, in seconds.
        """
        chosen = self._controls if members is None else members
        answers: dict[Member, UpstreamStatus] = {}
        with trio.move_on_after(timeout_s):
            await self._execute_on_each(chosen, _read_status, answers=answers)
        return answers

    async def pause(
        self, members: Collection[Member], term: Term
    ) -> dict[Member, UpstreamStatus]:
        """Pause replication on members.

        :returns: the statuses of the members that confirmed it. The others may be
            paused as well, or later.
        :raises DutyLost: if the duty may have passed to another holder.
        """
        self._require_duty()
        self._paused |= set(members)
        self._checked_at = -math.inf
        return await self._execute_on_each(
            members, lambda control: control.pause(term), StatementKind.PAUSE
        )

    async def demote(self, member: Member, term: Term) -> UpstreamStatus:
        """Demote a primary and return its status.

        :raises ControlFailed: if it does not confirm; it may be demoted.
        :raises DutyLost: if the duty may have passed to another holder.
        """
        return await self._controls[member].demote(term)

    async def read_leader_position(self, member: Member) -> LogPosition | None:
        """Return the position of a member, or None if it is no primary or is silent."""
        try:
            return await self._controls[member].read_leader_position()
        except ControlFailed as error:
            _log_unanswered(member.upstream_id, error)
            return None

    async def _execute_on_each(
        self,
        members: Iterable[Member],
        execute: ControlCall,
        kind: StatementKind | None = None,
        answers: dict[Member, UpstreamStatus] | None = None,
    ) -> dict[Member, UpstreamStatus]:
        """Call all members concurrently; those that fail are left out.

        :param kind: the kind of statement, if one without an answer may be executed
            later.
        :param answers: where to add the answers as they come.
        """
        if answers is None:
            answers = {}

        async def execute_one(member: Member) -> None:
            control = self._find(member)
            if control is None:
                return
            timeout_s = DROPPED_TIMEOUT_S if member in self._dropped else math.inf
            with trio.move_on_after(timeout_s) as scope:
                status = await self._ask(member, control, execute, kind)
                if status is not None:
                    answers[member] = status
            if scope.cancelled_caught:
                self._timed_out_at[member] = self._clock()

        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(execute_one, member)
        return answers

    async def _ask(
        self,
        member: Member,
        control: ControlConnection,
        execute: ControlCall,
        kind: StatementKind | None = None,
    ) -> UpstreamStatus | None:
        """Return the status with which a member answers, or None."""
        if self._is_superseded(member):
            self._contacts.record_other_incarnation(member)
            return None
        is_known = member in self._controls
        status = None
        try:
            status = await execute(control)
        except DutyLost as error:
            _log_unanswered(member.upstream_id, error)
            return None
        except trio.Cancelled:
            if kind is not None:
                self._record_unanswered(member, kind)
            raise
        except ControlFailed as error:
            if kind is not None and error.is_unanswered:
                self._record_unanswered(member, kind)
            self._contacts.record_failure(member, error.failure)
            self._follow(control.upstream, error)
            if is_known:
                _log_unanswered(member.upstream_id, error)
        if status is not None and not self._contacts.record_status(member, status):
            _log_other_incarnation(member, status)
            status = None
        if status is not None:
            self._first_status_at.setdefault(member, self._clock())
        self._apply_contact(member)
        return status

    def _follow(self, upstream: Upstream, error: ControlFailed) -> None:
        """Ask the upstream that has the address of a member; it may not be listed yet.

        An upstream that crashed may come back with its log under another id.
        """
        cause = error.__cause__
        found = cause.found if isinstance(cause, ConnectFailed) else None
        if found is None or found in self._refuted or self.list_of(found):
            return
        member = Member(found, UNKNOWN_BORN_MS)
        if member in self._dropped:
            return
        successor = Upstream(
            found, self._service, upstream.address, upstream.place, 0, UNKNOWN_BORN_MS
        )
        extra = {"service": self._service, "upstream": found}
        log.info("upstream found", extra={**extra, "instead": upstream.upstream_id})
        self._found.add(member)
        self._ask_dropped(member, self._make_control(successor))

    def _is_superseded(self, member: Member) -> bool:
        """Return whether a later incarnation of the same upstream is known.

        A connection names the id only, so that it cannot reach an earlier incarnation.
        """
        return any(m.born_ms > member.born_ms for m in self.list_of(member.upstream_id))

    def _apply_contact(self, member: Member) -> None:
        """Return a dropped member that runs, or stop asking one that is gone."""
        control = self._dropped.get(member)
        if control is None:
            return
        contact = self._contacts.find(member)
        extra = {"service": self._service, "upstream": member.upstream_id}
        if contact.is_running:
            log.warning("dropped member answers", extra=extra)
            self._metrics.count("failover.member_returned")
            self._controls[member] = self._dropped.pop(member)
            self._returned.append(member)
            # An earlier holder may have paused it before it was dropped.
            self._paused.add(member)
            self._found.discard(member)
        elif contact is Contact.OTHER_UPSTREAM:
            self._taken_addresses[member] = control.upstream.address
            if member in self._found:
                self._refuted.add(member.upstream_id)
            self._stop_asking(member)

    def find_progress(
        self,
        statuses: dict[Member, UpstreamStatus],
        missing: Collection[Member] = (),
    ) -> dict[Member, ReplicaProgress]:
        """Return the progress of members from their statuses.

        :param missing: the members that are missing from the list of upstreams.
        """
        return {
            member: ReplicaProgress(
                status.received, self.is_leaving(member) or member in missing
            )
            for member, status in statuses.items()
        }

    def is_leaving(self, member: Member) -> bool:
        """Return whether a member has announced that it is leaving."""
        control = self._find(member)
        return control is not None and control.upstream.is_leaving

    def is_unconfirmed(self, member: Member) -> bool:
        """Return whether another incarnation may have answered for a member.

        One that has started again registers within this time, and so do the others
        that were listed before. Until then nothing tells them apart, unless a position
        of the member is known from before.
        """
        first_at = self._first_status_at.get(member, self._clock())
        return self._clock() - first_at < REGISTRATION_S

    def find_stopped(self) -> dict[Member, str]:
        """Return the members whose hosts refuse connections, with their addresses."""
        return {
            member: control.upstream.address
            for member, control in self._controls.items()
            if self._contacts.find(member) is Contact.REFUSED
        }

    def list_replaced(
        self, members: Iterable[Member], held: Collection[Member]
    ) -> list[Member]:
        """Return the members whose address or id has passed to one that is held."""
        addresses = self.find_addresses()
        names = {member.upstream_id for member in held}
        places = {addresses[member] for member in held if member in addresses}
        return [
            member
            for member in members
            if member not in held
            and (
                (member.upstream_id in names and self._is_superseded(member))
                or self._taken_addresses.get(member) in places
            )
        ]

    def find_ended(self, members: Iterable[Member]) -> dict[Member, str]:
        """Return the members whose processes have ended for good, with their addresses.

        Another upstream has the address, or a later incarnation the id.
        """
        ended = {}
        for member in members:
            contact = self._contacts.find(member)
            if contact is Contact.OTHER_UPSTREAM or self._is_superseded(member):
                control = self._find(member)
                ended[member] = control.upstream.address if control else ""
        return ended

    def _record_unanswered(self, member: Member, kind: StatementKind) -> None:
        self._metrics.count("failover.statement_unanswered")
        self._open_statements.record_unanswered(member, kind, self._clock())

    def list_resuming(self) -> frozenset[Member]:
        """Return the members that a RESUME without an answer may let receive again."""
        return self._open_statements.list_open(StatementKind.RESUME, self._clock())

    def assume_all_paused(
        self, resuming: Collection[Member] = (), may_be_pausing: bool = False
    ) -> None:
        """Treat all members as paused, as an earlier holder may have paused any.

        :param resuming: members to which it may have sent a RESUME without an answer.
        :param may_be_pausing: whether it may have sent a PAUSE without an answer.
        """
        self._paused = set(self._controls)
        now = self._clock()
        self._open_statements.restore(resuming, StatementKind.RESUME, now)
        if may_be_pausing:
            members = list(self._controls)
            self._open_statements.restore(members, StatementKind.PAUSE, now)

    def recheck_paused(self) -> None:
        """Look at once for members that are paused, at the next call."""
        self._checked_at = -math.inf

    async def find_paused(self, excluded: Collection[Member] = ()) -> list[Member]:
        """Return the members that an earlier attempt has left paused.

        A member to which a PAUSE without an answer was sent is asked again until it can
        no longer be executed.

        :param excluded: members that are to stay paused.
        """
        self._paused &= self._controls.keys()
        asked = self._paused.difference(excluded)
        if not asked or self._clock() - self._checked_at < PAUSE_CHECK_INTERVAL_S:
            return []
        self._checked_at = self._clock()
        statuses = await self.read_statuses(asked, PAUSE_CHECK_TIMEOUT_S)
        pausing = self._open_statements.list_open(StatementKind.PAUSE, self._clock())
        found = []
        for member, status in statuses.items():
            if status.role is UpstreamRole.REPLICA and status.held_term:
                found.append(member)
            elif member not in pausing:
                self._paused.discard(member)
        return found

    async def resume(self, members: Collection[Member]) -> None:
        """Resume replication on members; those that do not answer stay paused.

        :raises DutyLost: if the duty may have passed to another holder.
        """
        self._require_duty()
        answers = await self._execute_on_each(members, _resume, StatementKind.RESUME)
        for member in members:
            if member not in answers:
                self._metrics.count("failover.not_resumed")
                extra = {"service": self._service, "upstream": member.upstream_id}
                log.warning("replica not resumed", extra=extra)

    async def drop(self, member: Member, may_return: bool = False) -> None:
        """Remove a member and close its connection.

        :param may_return: whether it is asked from time to time whether it is back.
        """
        extra = {"service": self._service, "upstream": member.upstream_id}
        contact = self._contacts.find(member)
        log.info("member dropped", extra={**extra, "contact": contact.value})
        control = self._controls.pop(member, None)
        self._contacts.forget(member)
        self._first_status_at.pop(member, None)
        if not may_return:
            self._open_statements.forget(member)
        if control is None:
            return
        if may_return:
            self._ask_dropped(member, control)
        await control.close()

    def _ask_dropped(self, member: Member, control: ControlConnection) -> None:
        """Ask a dropped member from now on, unless another incarnation is known."""
        if self.list_of(member.upstream_id):
            return
        self._dropped[member] = control
        for earliest in list(self._dropped)[:-N_DROPPED_ASKED]:
            self._stop_asking(earliest)

    def _stop_asking(self, member: Member) -> None:
        self._dropped.pop(member, None)
        self._timed_out_at.pop(member, None)
        self._found.discard(member)

    async def close(self) -> None:
        """Close all connections; later calls open them again."""
        for control in [*self._controls.values(), *self._dropped.values()]:
            await control.close()


def _read_status(control: ControlConnection) -> Awaitable[UpstreamStatus]:
    return control.read_status()


async def _resume(control: ControlConnection) -> UpstreamStatus:
    await control.resume()
    return await control.read_status()


def _log_unanswered(upstream_id: UpstreamId, error: CeleryfoldError) -> None:
    extra = {"upstream": upstream_id, "reason": str(error)}
    log.info("member does not answer", extra=extra)


def _log_other_incarnation(member: Member, status: UpstreamStatus) -> None:
    extra = {"upstream": member.upstream_id, "received": str(status.received)}
    log.warning("another incarnation of the member answers", extra=extra)
