"""Guard a service: suspect its primary, stop its replicas, promote one of them."""

from __future__ import annotations

__all__ = [
    "Guardian",
    "GuardianPorts",
    "PromotionRefused",
    "PromotionUnanswered",
    "Promotions",
]

import logging
import math
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import msgspec
import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, ServiceId, Term, UpstreamId
from ..kernel.metrics import Metrics
from ..kernel.rendezvous import weigh
from .clock import Clock
from .control import ControlConnection, ControlFailed
from .directory import Directory
from .leases import LEASE_S, Duty, DutyLost
from .members import AckSet, Held, Member, choose_caught_up, choose_successor
from .peers import PeerBook
from .positions import LogPosition
from .routes import Routes
from .samples import Sample, SampleBook
from .store import CoordinationStore, Expectation, ItemWrite
from .upstream import (
    ConnectFailure,
    Connector,
    Upstream,
    UpstreamRole,
    UpstreamStatus,
)
from .watcher import StoreWatcher

log = logging.getLogger(__name__)

STEP_S = 0.25
# Two missed samples and a round trip between regions.
SUSPECT_S = 0.9
# A sample is due by then: time to see whether the primary's machine refuses us.
OVERDUE_S = 0.5
# Who has just asked all peers and heard none of them may be cut off itself.
PEERS_HEARD_S = 0.5
# A service that never had a primary is left to start up by itself for so long.
FIRST_PRIMARY_S = 4.0
# The promoted upstream leads within about a second.
LEAD_WAIT_S = 2.5
LEAD_POLL_S = 0.1
# An order without an answer is repeated after this; it may still be carried out.
REPEAT_S = 0.25
# How long a replica is given to receive the rest from a primary that is stopped.
CATCH_UP_S = 1.0
CATCH_UP_POLL_S = 0.05
RETRY_S = 0.2
# How often a guardian looks whether it is connected to all members.
OPEN_INTERVAL_S = 1.0
N_PROMOTE_TRIES = 8
RANK_DELAY_S = 0.6


class PromotionRefused(CeleryfoldError):
    """The platform refused to promote: the token is old or the upstream is not up."""


class PromotionUnanswered(CeleryfoldError):
    """No answer came; the promotion may still happen, also later."""


class Promotions(ABC):
    """The platform's service that makes an upstream the primary."""

    @abstractmethod
    async def promote(
        self, service: ServiceId, upstream: UpstreamId, holder: InstanceId, token: int
    ) -> None:
        """Make an upstream the primary of a service.

        :param token: the fencing token of the duty.
        :raises PromotionRefused: nothing was done.
        :raises PromotionUnanswered: it may have been done or may be done later.
        """


@dataclass(frozen=True)
class GuardianPorts:
    """Bundle what a guardian needs.

    :param me: this instance.
    :param ask_peers: asks all peers for their newest samples.
    """

    me: InstanceId
    store: CoordinationStore
    watcher: StoreWatcher
    routes: Routes
    directory: Directory
    samples: SampleBook
    peers: PeerBook
    ask_peers: Callable[[], Awaitable[None]]
    connector: Connector
    promotions: Promotions
    clock: Clock
    metrics: Metrics


class _Record(msgspec.Struct, frozen=True):
    """Hold what a holder of the duty leaves to the next one.

    :param turn_of: who may have ordered a promotion a moment ago, or empty.
    """

    members: tuple[Member, ...] = ()
    turn_of: str = ""


class Guardian:
    """Take the duty of one service when it is free, and act while it is held.

    :param members_key: the key that the members are written to.
    """

    def __init__(
        self, service: ServiceId, duty: Duty, members_key: str, ports: GuardianPorts
    ) -> None:
        self.service = service
        self._duty = duty
        self._members_key = members_key
        self._ports = ports
        self._clock = ports.clock
        self._ack_set = AckSet()
        self._record = _Record()
        self._record_revision = 0
        self._turn_at = -math.inf
        self._opened_at = -math.inf
        self._controls: dict[Member, ControlConnection] = {}
        self._started_at = ports.clock()
        self._free_since = math.inf
        self._act_at = math.inf
        self._ordered: Member | None = None
        self._are_paused: set[Member] = set()

    @property
    def is_on_duty(self) -> bool:
        """Tell whether this instance guards the service now."""
        return self._duty.is_held

    async def run(self) -> None:
        """Guard until cancelled."""
        while True:
            await trio.sleep(STEP_S)
            try:
                await self._step()
            except CeleryfoldError as error:
                extra = {"service": self.service, "reason": str(error)}
                log.warning("guardian step failed", extra=extra)
                await trio.sleep(RETRY_S)

    async def _step(self) -> None:
        self._refresh()
        if not self._duty.is_held:
            await self._seek()
            return
        if self._clock() < self._act_at:
            return
        if self._is_key_in_doubt():
            await self._duty.verify()
        await self._write_record(self._clock() - self._turn_at < LEASE_S)
        await self._open_controls()
        newest = self._ports.samples.newest(self.service)
        if newest is None:
            if self._clock() - self._started_at > FIRST_PRIMARY_S:
                await self._suspect(None)
            return
        age_s = self._clock() - newest.taken_at
        if age_s > SUSPECT_S or (age_s > OVERDUE_S and await self._is_down(newest)):
            await self._suspect(newest)
            return
        await self._resume_all()
        await self._settle(newest)
        leader = self._ports.directory.find(newest.upstream)
        if leader is not None and leader.is_leaving:
            await self._hand_over(leader, newest)

    def _is_key_in_doubt(self) -> bool:
        """Tell whether the watch of the store shows no key of ours."""
        watcher = self._ports.watcher
        item = watcher.items.get(self._duty.key)
        return watcher.is_connected and not (item and self._duty.recognize(item))

    def _refresh(self) -> None:
        listed = self._ports.directory.list_service(self.service)
        self._ack_set.update(listed, self._clock())
        present = {Member(u.upstream_id, u.born_ms): u for u in listed}
        for member, upstream in present.items():
            known = self._controls.get(member)
            if known is None or known.upstream.address != upstream.address:
                self._controls[member] = ControlConnection(
                    upstream, self._ports.connector, self._clock
                )
            else:
                known.upstream = upstream

    async def _seek(self) -> None:
        """Take the duty where nobody holds it; the first in rank goes first."""
        if self._duty.was_held:
            self._duty.drop("the lease ran out")
            await self._close_controls()
        item = self._ports.watcher.items.get(self._duty.key)
        if item is not None and self._duty.recognize(item):
            await self._take_up()
            return
        is_free = item is None or self._duty.may_replace(item)
        if not is_free or not self._ports.watcher.is_connected:
            self._free_since = math.inf
            return
        self._free_since = min(self._free_since, self._clock())
        delay_s = self._find_rank() * RANK_DELAY_S if item is None else 0.0
        if self._clock() - self._free_since < delay_s:
            return
        self._free_since = math.inf
        try:
            await self._duty.take(item)
        except DutyLost as error:
            extra = {"service": self.service, "reason": str(error)}
            log.info("duty not taken", extra=extra)
            return
        await self._take_up()

    def _find_rank(self) -> int:
        watchers = self._ports.peers.find_watchers().values()
        names = [watcher.instance_id for watcher in watchers]
        ranked = sorted(names, key=self._weigh, reverse=True)
        if self._ports.me in ranked:
            return ranked.index(self._ports.me)
        return len(ranked)

    def _weigh(self, instance: InstanceId) -> int:
        return weigh(self.service, instance)

    async def _take_up(self) -> None:
        """Read what the last holder left; act once its turn is over for certain."""
        now = self._clock()
        await self._read_record()
        self._ack_set.restore(self._record.members, now)
        is_turn_open = self._record.turn_of not in ("", self._ports.me)
        self._act_at = now + LEASE_S if is_turn_open else now
        self._are_paused = set(self._controls)

    async def _read_record(self) -> None:
        item = await self._ports.store.get(self._members_key)
        self._record = _Record()
        self._record_revision = 0
        if item is None:
            return
        self._record_revision = item.revision
        try:
            self._record = msgspec.json.decode(item.value, type=_Record)
        except msgspec.DecodeError as error:
            extra = {"key": self._members_key, "reason": str(error)}
            log.error("unreadable record", extra=extra)

    async def _write_record(self, has_turn: bool) -> None:
        """Write down what the next holder needs, where it changed.

        :param has_turn: whether a promotion may be ordered, or was a moment ago.
        """
        members = tuple(sorted(self._ack_set.members))
        record = _Record(members, self._ports.me if has_turn else "")
        if record != self._record:
            await self._commit_record(record)

    async def _commit_record(self, record: _Record) -> None:
        """Write the record, which the store does only while the duty is ours."""
        expected = [
            self._duty.expect(),
            Expectation(self._members_key, self._record_revision),
        ]
        write = ItemWrite(self._members_key, msgspec.json.encode(record))
        try:
            self._record_revision = await self._ports.store.commit(expected, [write])
        except CeleryfoldError:
            await self._read_record()
            await self._duty.verify()
            raise
        self._record = record

    async def _begin_turn(self) -> None:
        """Have the store confirm the duty, and note that orders may follow.

        :raises CeleryfoldError: nothing may be ordered.
        """
        self._turn_at = self._clock()
        members = tuple(sorted(self._ack_set.members))
        await self._commit_record(_Record(members, self._ports.me))

    async def _settle(self, newest: Sample) -> None:
        """Drop members that are gone and whose commits others hold."""
        missing = self._ack_set.list_missing()
        if not missing:
            return
        statuses = await self._ask_all(lambda control: control.read_status())
        reached = {m.upstream_id: status.received for m, status in statuses.items()}
        dropped = self._ack_set.settle(
            newest.position, newest.taken_at, reached, newest.upstream
        )
        for member in dropped:
            extra = {"service": self.service, "upstream": member.upstream_id}
            log.info("member dropped", extra=extra)
            control = self._controls.pop(member, None)
            if control is not None:
                await control.close()

    async def _is_down(self, newest: Sample) -> bool:
        """Tell whether the primary's machine says that nothing listens there."""
        for member, control in self._controls.items():
            if member.upstream_id != newest.upstream:
                continue
            try:
                await control.open()
            except ControlFailed as error:
                return error.failure is ConnectFailure.REFUSED
        return False

    async def _suspect(self, newest: Sample | None) -> None:
        """Fail over, unless a peer still hears from the primary."""
        await self._ports.ask_peers()
        if self._is_alone():
            return
        heard = self._ports.samples.newest(self.service)
        if heard is not None and heard != newest:
            if self._clock() - heard.taken_at <= SUSPECT_S:
                return
        self._log_turn("primary suspected", heard)
        self._ports.metrics.count("failover.suspected")
        await self._fail_over(heard)

    async def _fail_over(self, newest: Sample | None) -> None:
        """Find who leads, or stop all replicas and promote the one with most.

        The lost primary is not asked: it has just not answered.
        """
        lost = newest.upstream if newest is not None else None
        others = [member for member in self._controls if member.upstream_id != lost]
        statuses = await self._ask_all(lambda control: control.read_status(), others)
        if await self._find_present_leader(statuses):
            return
        await self._begin_turn()
        term = self._find_next_term(statuses, newest)
        self._are_paused |= set(statuses)
        paused = await self._ask_all(lambda control: control.pause(term), others)
        required = [m for m in self._ack_set.members if m.upstream_id != lost]
        held = self._describe_held(paused)
        chosen = choose_successor(required, held)
        if chosen is None:
            absent = [m.upstream_id for m in required if m not in held]
            self._log_turn("promotion waits for members", newest, absent=absent)
            return
        if not all(self._controls[member].is_open for member in required):
            return
        await self._promote(chosen, term)

    def _is_alone(self) -> bool:
        """Tell whether this instance hears no other, so that it may be cut off."""
        peers = self._ports.peers
        if not peers.has_known() or peers.has_heard(PEERS_HEARD_S):
            return False
        log.info("guardian hears no peer", extra={"service": self.service})
        return True

    async def _find_present_leader(
        self, statuses: dict[Member, UpstreamStatus]
    ) -> bool:
        """Take a sample of an upstream that says it leads and can prove it."""
        for member, status in statuses.items():
            if status.role is not UpstreamRole.PRIMARY:
                continue
            if await self._prove(member):
                return True
        return False

    async def _prove(self, member: Member) -> bool:
        asked_at = self._clock()
        try:
            position = await self._controls[member].prove_lead()
        except ControlFailed:
            return False
        if position is None:
            return False
        sample = Sample(member.upstream_id, position, asked_at)
        self._ports.samples.add(self.service, sample)
        return True

    def _find_next_term(
        self, statuses: dict[Member, UpstreamStatus], newest: Sample | None
    ) -> Term:
        terms = [status.term for status in statuses.values()]
        terms += [status.held_term for status in statuses.values()]
        terms += [status.received.term for status in statuses.values()]
        if newest is not None:
            terms.append(newest.position.term)
        return Term(max(terms, default=Term(0)) + 1)

    def _describe_held(
        self, statuses: dict[Member, UpstreamStatus]
    ) -> dict[Member, Held]:
        return {
            member: Held(
                status.received,
                self._controls[member].upstream.is_leaving,
                self._controls[member].upstream.place,
            )
            for member, status in statuses.items()
        }

    async def _hand_over(self, leader: Upstream, newest: Sample) -> None:
        """Replace a primary that is leaving, once another holds all it has."""
        me = Member(leader.upstream_id, leader.born_ms)
        statuses = await self._ask_all(lambda control: control.read_status())
        fit = {
            member: held
            for member, held in self._describe_held(statuses).items()
            if not held.is_leaving and member != me
        }
        if not fit:
            return
        self._log_turn("primary leaves", newest)
        await self._begin_turn()
        term = self._find_next_term(statuses, newest)
        final = (await self._controls[me].demote(term)).received
        chosen = await self._wait_caught_up(final)
        await self._promote(chosen or me, term)

    async def _wait_caught_up(self, final: LogPosition) -> Member | None:
        """Return a replica that has received all of a stopped primary."""
        with trio.move_on_after(CATCH_UP_S):
            while True:
                statuses = await self._ask_all(lambda control: control.read_status())
                chosen = choose_caught_up(final, self._describe_held(statuses))
                if chosen is not None:
                    return chosen
                await trio.sleep(CATCH_UP_POLL_S)
        return None

    async def _promote(self, chosen: Member, term: Term) -> None:
        """Promote a member and wait until it leads."""
        if self._ordered not in (None, chosen):
            await self._duty.renew_token()
        self._ordered = chosen
        for _ in range(N_PROMOTE_TRIES):
            token = self._duty.use_token()
            wait_s = LEAD_WAIT_S
            self._turn_at = self._clock()
            extra = {
                "service": self.service,
                "upstream": chosen.upstream_id,
                "term": term,
                "token": token,
            }
            log.info("promotion ordered", extra=extra)
            self._ports.metrics.count("failover.ordered")
            try:
                await self._ports.promotions.promote(
                    self.service, chosen.upstream_id, self._ports.me, token
                )
            except PromotionRefused as error:
                log.warning("promotion refused", extra={**extra, "reason": str(error)})
                await self._duty.renew_token()
                return
            except PromotionUnanswered as error:
                wait_s = REPEAT_S
                extra["reason"] = str(error)
                log.warning("promotion unanswered", extra=extra)
            if await self._wait_lead(chosen, wait_s):
                self._ordered = None
                log.info("primary changed", extra=extra)
                await self._resume_all()
                return

    async def _wait_lead(self, chosen: Member, wait_s: float) -> bool:
        with trio.move_on_after(wait_s):
            while True:
                if await self._prove(chosen):
                    return True
                await trio.sleep(LEAD_POLL_S)
        return False

    async def _resume_all(self) -> None:
        """Let replicas receive again that were paused in a turn that is over."""
        for member in list(self._are_paused):
            control = self._controls.get(member)
            if control is not None:
                try:
                    await control.resume()
                except ControlFailed as error:
                    extra = {"upstream": member.upstream_id, "reason": str(error)}
                    log.warning("replica not resumed", extra=extra)
                    continue
            self._are_paused.discard(member)

    async def _ask_all(
        self,
        ask: Callable[[ControlConnection], Awaitable[UpstreamStatus]],
        members: Iterable[Member] | None = None,
    ) -> dict[Member, UpstreamStatus]:
        """Ask members at once, all where none are named; left out is who is silent."""
        answers: dict[Member, UpstreamStatus] = {}

        async def ask_one(member: Member, control: ControlConnection) -> None:
            try:
                answers[member] = await ask(control)
            except ControlFailed as error:
                extra = {"upstream": member.upstream_id, "reason": str(error)}
                log.info("member does not answer", extra=extra)

        async with trio.open_nursery() as nursery:
            for member in self._controls if members is None else members:
                nursery.start_soon(ask_one, member, self._controls[member])
        return answers

    async def _open_controls(self) -> None:
        """Connect to all members before it is needed.

        When a primary is lost, statements may have taken every connection.
        """
        if self._clock() - self._opened_at < OPEN_INTERVAL_S:
            return
        self._opened_at = self._clock()
        async with trio.open_nursery() as nursery:
            for control in self._controls.values():
                if not control.is_open:
                    nursery.start_soon(self._open_control, control)

    async def _open_control(self, control: ControlConnection) -> None:
        try:
            await control.open()
        except ControlFailed:
            self._ports.metrics.count("failover.control_not_opened")

    async def _close_controls(self) -> None:
        for control in self._controls.values():
            await control.close()

    def _log_turn(self, text: str, newest: Sample | None, **inputs: object) -> None:
        extra: dict[str, object] = {"service": self.service, **inputs}
        if newest is not None:
            extra["primary"] = newest.upstream
            extra["position"] = str(newest.position)
            extra["sample_age_ms"] = round((self._clock() - newest.taken_at) * 1000)
        log.warning(text, extra=extra)
