"""Failover of a service: detect the loss of its primary and promote a replica."""

from __future__ import annotations

__all__ = ["Guardian", "GuardianPorts"]

import logging
import math
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass

import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, ServiceId, UpstreamId
from ..kernel.metrics import Metrics
from ..kernel.rendezvous import compute_weight
from ..kernel.revisions import find_era
from .ack_set import AckSet
from .clock import Clock
from .control_book import ControlConnections
from .directory import MISSING_GRACE_S, Directory
from .duty_record import DutyRecord, DutyRecordStore
from .final_positions import FinalPositions
from .leases import LEASE_TTL_S, Duty, DutyLost
from .members import Member, choose_caught_up
from .open_statements import LATE_STATEMENT_S
from .peers import PeerTable
from .positions import LogPosition
from .promoter import Promoter
from .promotion_fence import PromotionFence, SuspendWritesAtAll
from .promotions import Promotions
from .retirement import Retirement
from .samples import Sample, SampleHistory
from .store import CoordinationStore
from .upstream import Connector, Upstream, UpstreamRole, UpstreamStatus
from .watcher import StoreWatcher

log = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.25
IDLE_STEP_INTERVAL_S = 1.0
# The primary is suspected if its newest sample is older than this: two missed samples
# and a round trip between regions.
PRIMARY_TIMEOUT_S = 0.9
# A sample older than this is overdue; the guardian then checks whether the host of the
# primary refuses connections.
SAMPLE_OVERDUE_S = 0.5
# A guardian that has just asked its peers and had no contact within this time may be
# cut off from the network itself.
PEER_CONTACT_MAX_AGE_S = 0.5
# A service that never had a primary gets this time to start one by itself.
FIRST_PRIMARY_TIMEOUT_S = 4.0
# Where instances have guarded the service before, those that started again find a
# primary that leads within this time.
KNOWN_PRIMARY_TIMEOUT_S = 2.0
# Interval at which a guardian tries to settle open promotion calls.
SETTLE_INTERVAL_S = 1.0
# Time for a replica to receive the remaining entries of a demoted primary.
CATCH_UP_TIMEOUT_S = 1.0
CATCH_UP_POLL_S = 0.05
STEP_RETRY_S = 0.2
# A store that was never restored reports this era, or none.
FIRST_ERA = 1
# Instances try to take a vacant duty one after the other, in the order of their rank.
DELAY_PER_RANK_S = 0.6


@dataclass(frozen=True)
class GuardianPorts:
    """Dependencies of a guardian.

    :param me: the id of this instance.
    :param ask_peers: requests the newest samples of all watchers and waits for them, up
        to a short time-out.
    :param suspend_writes: suspends the writes to a service at all instances; see
        :meth:`WriteSuspender.announce`.
    """

    me: InstanceId
    store: CoordinationStore
    watcher: StoreWatcher
    directory: Directory
    samples: SampleHistory
    peers: PeerTable
    ask_peers: Callable[[], Awaitable[None]]
    suspend_writes: SuspendWritesAtAll
    connector: Connector
    promotions: Promotions
    clock: Clock
    metrics: Metrics


class Guardian:
    """Fails one service over while this instance holds its duty.

    While another instance holds the duty, the guardian only tries to take it once it
    is vacant.

    :param record_key: the store key of the record for the next holder of the duty.
    """

    def __init__(
        self, service: ServiceId, duty: Duty, record_key: str, ports: GuardianPorts
    ) -> None:
        self.service = service
        self._duty = duty
        self._ports = ports
        self._clock = ports.clock
        self._record = DutyRecordStore(record_key, duty, ports.store)
        self._controls = ControlConnections(
            service,
            ports.connector,
            ports.clock,
            ports.metrics,
            duty.require_token,
        )
        self._ack_set = AckSet()
        self._n_watch_gaps = 0
        self._final_positions = FinalPositions()
        self._fence = PromotionFence(
            service,
            self._ack_set,
            self._controls,
            ports.samples,
            ports.clock,
            ports.metrics,
            self._refresh,
            ports.watcher.read_upstreams,
            ports.suspend_writes,
            duty.require_token,
            self._final_positions,
            lambda: self._promoter.open_targets,
        )
        self._promoter = Promoter(
            service,
            ports.me,
            duty,
            self._controls,
            self._fence,
            ports.promotions,
            ports.samples,
            ports.clock,
            ports.metrics,
            self._record_targets,
        )
        self._retirement = Retirement(
            service,
            self._controls,
            self._final_positions,
            ports.directory.find_leaving_s,
            ports.clock,
            ports.metrics,
        )
        # The upstream that led when the final positions were last checked.
        self._last_leader: UpstreamId | None = None
        self._begun_at = -math.inf
        self._started_at = ports.clock()
        # When this instance last took the duty.
        self._began_at = -math.inf
        self._vacant_since = math.inf
        self._act_after = math.inf
        # Whether the record of the previous holder was read since the duty was taken.
        self._has_record = False
        # Whether a failover attempt may have left replicas paused.
        self._may_be_paused = False

    @property
    def is_on_duty(self) -> bool:
        """Whether this instance holds the duty of the service."""
        return self._duty.is_held

    async def run(self) -> None:
        """Run until cancelled; a failed step is logged and repeated."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wait_for_step()
                try:
                    await self._step()
                except CeleryfoldError as error:
                    extra = {"service": self.service, "reason": str(error)}
                    log.warning("guardian step failed", extra=extra)
                    await trio.sleep(STEP_RETRY_S)
                # Runs beside the steps, since a member that does not answer takes up
                # the whole time-out.
                if self._duty.is_held and self._controls.is_seek_due:
                    nursery.start_soon(self._controls.seek_dropped)

    async def _wait_for_step(self) -> None:
        """Wait until the next step is due.

        An instance that does not watch the store cannot take the duty; it only tracks
        the upstreams, which the directory keeps for longer than the idle interval.
        """
        if not self._duty.is_held:
            with trio.move_on_after(IDLE_STEP_INTERVAL_S - STEP_INTERVAL_S):
                await self._ports.watcher.wait_until_connected()
        await trio.sleep(STEP_INTERVAL_S)

    async def _step(self) -> None:
        self._refresh()
        if not self._duty.is_held:
            await self._try_take_duty()
            return
        if not self._has_record:
            await self._start_duty()
        if self._clock() < self._act_after:
            await self._fence.renew_suspension()
            return
        if self._is_key_unconfirmed():
            await self._duty.verify()
        newest = self._ports.samples.newest(self.service)
        self._end_final_positions(newest)
        await self._update_record(newest)
        if newest is None:
            if self._clock() - self._started_at > self._find_patience_s():
                await self._verify_and_fail_over(None)
            return
        if await self._is_new_primary_leading(newest):
            return
        age_s = self._clock() - newest.taken_at
        if age_s > PRIMARY_TIMEOUT_S or await self._is_primary_refusing(newest):
            await self._verify_and_fail_over(newest)
            return
        if not await self._settle_calls(newest):
            return
        # After the check of the primary, since an upstream that does not answer takes
        # up the whole time-out of a connection attempt.
        await self._resume_replicas()
        await self._controls.open_all()
        await self._drop_covered_members(newest)
        leader = self._ports.directory.find(newest.upstream)
        if leader is not None and leader.is_leaving:
            await self._hand_over(leader, newest)
        elif await self._retirement.step(newest, self._ack_set.members):
            await self._resume_replicas()

    def _find_patience_s(self) -> float:
        """Return for how long after the start a primary may stay unknown, in seconds.

        A replica that leaves may have the newest commits alone, so an attempt begins
        before it is gone.
        """
        if self._record.record.as_of is None:
            return FIRST_PRIMARY_TIMEOUT_S
        return KNOWN_PRIMARY_TIMEOUT_S

    def _end_final_positions(self, newest: Sample | None) -> None:
        """Forget the final positions once another upstream leads.

        Its promotion has let all members receive again.
        """
        leader = newest.upstream if newest is not None else None
        if self._last_leader is not None and leader != self._last_leader:
            self._final_positions.clear()
        self._last_leader = leader

    @property
    def _last_attempt_at(self) -> float:
        """When an attempt was last begun, or a promotion last requested."""
        return max(self._begun_at, self._promoter.requested_at)

    async def _update_record(self, newest: Sample | None) -> None:
        """Write the record for the next holder if it has changed."""
        is_attempt_open = self._clock() - self._last_attempt_at < LEASE_TTL_S
        attempt_by = self._ports.me if is_attempt_open else ""
        is_settled = self._record.record.is_settled
        if newest is not None and self._clock() - newest.taken_at <= PRIMARY_TIMEOUT_S:
            is_settled = not self._promoter.may_depose(newest.upstream)
            if is_settled and not self._record.record.is_settled:
                # One of the calls may have been carried out.
                self._final_positions.clear()
        await self._record.update(self._make_record(attempt_by, is_settled))

    async def _record_targets(self) -> None:
        """Record which upstreams promotion calls may name, before one is sent."""
        await self._record.update(self._make_record(self._ports.me, is_settled=False))

    def _make_record(
        self,
        turn_of: str,
        is_settled: bool,
        resuming: Collection[Member] = (),
        probable: UpstreamId | None = None,
    ) -> DutyRecord:
        """Return the record for the next holder.

        :param resuming: members to which a RESUME is about to be sent.
        :param probable: the upstream that a promotion call will probably name.
        """
        named = self._promoter.open_targets
        if named is not None and probable is not None:
            named |= {probable}
        if is_settled:
            named = frozenset()
        return DutyRecord(
            members=tuple(sorted(self._ack_set.members)),
            turn_of=turn_of,
            as_of=self._ports.directory.listing.revision,
            is_settled=is_settled,
            dropped=tuple(sorted(self._ack_set.dropped)),
            addresses=self._controls.list_addresses(),
            resuming=tuple(sorted({*resuming, *self._controls.list_resuming()})),
            stale=tuple(sorted(self._ack_set.stale)),
            leaving=tuple(sorted(self._ack_set.leaving)),
            final_positions=self._final_positions.export(),
            targets=None if named is None else tuple(sorted(named)),
        )

    async def _resume_replicas(self) -> None:
        """Let members receive again that an earlier attempt has left paused.

        The record names them first: a RESUME without an answer may be executed while
        the next holder has paused them again.
        """
        await self._fence.resume_writes()
        final = self._final_positions.list_members()
        paused = await self._controls.find_paused(final)
        if paused:
            record = self._record.record
            await self._record.update(
                self._make_record(record.turn_of, record.is_settled, paused)
            )
            await self._controls.resume(paused)
        self._may_be_paused = False

    def _is_key_unconfirmed(self) -> bool:
        """Return whether the connected store watch shows no own key of the duty."""
        watcher = self._ports.watcher
        item = watcher.items.get(self._duty.key)
        return watcher.is_connected and not (item and self._duty.claim_if_own(item))

    def _refresh(self) -> None:
        listed = self._ports.directory.list_service(self.service)
        revision = self._ports.directory.listing.revision
        self._ack_set.update(listed, self._clock(), revision)
        self._controls.refresh(
            [u for u in listed if not self._ack_set.has_stale_entry(u)]
        )
        newest = self._ports.samples.newest(self.service)
        if newest is not None:
            self._controls.record_leader(newest.position.term)
        self._readmit_returned()
        if self._ports.watcher.n_watch_gaps != self._n_watch_gaps:
            self._n_watch_gaps = self._ports.watcher.n_watch_gaps
            self._ack_set.record_watch_gap(self._clock())

    def _readmit_returned(self) -> None:
        """Make the dropped members that have answered members again."""
        self._ack_set.readmit(self._controls.take_returned(), self._clock())

    async def _try_take_duty(self) -> None:
        """Take the duty if it is vacant.

        Each instance waits by its rank, so that they do not all write at once.
        """
        if self._duty.has_expired:
            self._duty.drop("the lease may have expired")
            await self._controls.close()
        item = self._ports.watcher.items.get(self._duty.key)
        if item is not None and self._duty.claim_if_own(item):
            self._has_record = False
            await self._start_duty()
            return
        is_vacant = item is None or self._duty.is_from_earlier_process(item)
        if (
            not is_vacant
            or not self._ports.watcher.is_connected
            or self._duty.must_wait
        ):
            self._vacant_since = math.inf
            return
        self._vacant_since = min(self._vacant_since, self._clock())
        delay_s = self._find_rank() * DELAY_PER_RANK_S if item is None else 0.0
        if self._clock() - self._vacant_since < delay_s:
            return
        self._vacant_since = math.inf
        try:
            await self._duty.take(item)
        except DutyLost as error:
            extra = {"service": self.service, "reason": str(error)}
            log.info("duty not taken", extra=extra)
            return
        self._has_record = False
        await self._start_duty()

    def _find_rank(self) -> int:
        watchers = self._ports.peers.find_watchers().values()
        names = [watcher.instance_id for watcher in watchers]
        ranked = sorted(names, key=self._weigh, reverse=True)
        if self._ports.me in ranked:
            return ranked.index(self._ports.me)
        return len(ranked)

    def _weigh(self, instance: InstanceId) -> int:
        return compute_weight(self.service, instance)

    async def _start_duty(self) -> None:
        """Restore the previous holder's record.

        The previous holder begins nothing after one lease, and no action is taken
        before that. Its promotion calls may be open for longer.
        """
        now = self._clock()
        record = await self._record.read()
        addresses = {recorded.member: recorded.address for recorded in record.addresses}
        dropped = self._ack_set.restore(
            record.members,
            now,
            record.as_of,
            record.dropped,
            record.leaving,
            {m: addresses[m] for m in record.stale if m in addresses},
        )
        for member in dropped:
            await self._drop(member)
        self._controls.restore(
            record.addresses,
            self._ack_set.members,
            self._ack_set.dropped,
            self._ack_set.leaving,
        )
        is_attempt_open = record.turn_of not in ("", self._ports.me)
        self._act_after = now + LEASE_TTL_S if is_attempt_open else now
        is_up_to_date = self._is_up_to_date(record)
        self._promoter.restore(
            record.is_settled and is_up_to_date,
            record.targets if is_up_to_date else None,
        )
        self._final_positions.restore(record.final_positions if is_up_to_date else ())
        self._retirement.forget()
        self._last_leader = None
        self._may_be_paused = record.turn_of != ""
        self._has_record = True
        self._controls.assume_all_paused(record.resuming, self._may_be_paused)
        self._fence.forget()
        self._began_at = now
        if self._promoter.can_take_effect:
            await self._fence.suspend_writes(self._find_sole_target())
        else:
            await self._fence.resume_writes()

    def _find_sole_target(self) -> Member | None:
        """Return the member that all open calls name, or None if it is not known."""
        targets = self._promoter.open_targets
        if targets is None or len(targets) != 1:
            return None
        return self._controls.find_member(next(iter(targets)))

    def _is_up_to_date(self, record: DutyRecord) -> bool:
        """Return whether no later record can have been lost by a restore of the store.

        Without a record, none can have been in the first era.
        """
        era = self._ports.store.era
        if record.as_of is None:
            return era <= FIRST_ERA
        return find_era(record.as_of) == era

    async def _begin_attempt(
        self, may_request: bool, probable: Member | None = None
    ) -> None:
        """Confirm the duty in the store and record that an attempt has begun.

        The upstreams are read again from the store: a replica that was listed a moment
        ago may already have acknowledged commits.

        :param may_request: whether a promotion call will probably follow. The record
            then says that calls may be open.
        :param probable: the member that the call will probably name.
        :raises CeleryfoldError: if the duty was not confirmed; no upstream may be
            paused, demoted or promoted then.
        """
        await self._ports.watcher.read_upstreams()
        self._refresh()
        self._begun_at = self._clock()
        is_settled = self._record.record.is_settled and not may_request
        target = probable.upstream_id if probable is not None else None
        await self._record.confirm(
            self._make_record(self._ports.me, is_settled, probable=target)
        )

    async def _drop_covered_members(self, newest: Sample) -> None:
        """Drop missing members whose acknowledged commits another replica holds."""
        self._record_departures()
        if not self._ack_set.has_departures:
            return
        statuses = await self._controls.read_statuses()
        # One that has started again has just answered.
        self._record_departures()
        positions = {member: status.received for member, status in statuses.items()}
        dropped = self._ack_set.drop_covered(
            newest.position,
            newest.taken_at,
            positions,
            newest.upstream,
            self._ports.directory.listing.revision,
            self._controls.list_running(),
        )
        for member in dropped:
            await self._drop(member)

    def _record_departures(self) -> None:
        """Record which members do not run, as far as their last answers show."""
        known = self._ack_set.members | self._ack_set.dropped
        now = self._clock()
        self._ack_set.record_ended(self._controls.find_ended(known), now)
        self._ack_set.record_stopped(self._controls.find_stopped(), now)

    async def _drop(self, member: Member) -> None:
        """Close the connection of a dropped member; ask it later if it may be back."""
        await self._controls.drop(member, member in self._ack_set.dropped)

    async def _is_new_primary_leading(self, newest: Sample) -> bool:
        """Return whether a sample is overdue and a new, unlisted primary still leads.

        Only listed upstreams are sampled regularly. A replica that was promoted right
        after it came back is listed a moment later.
        """
        is_new = self._clock() - self._promoter.promoted_at < MISSING_GRACE_S
        is_overdue = self._clock() - newest.taken_at > SAMPLE_OVERDUE_S
        if not is_new or not is_overdue:
            return False
        if self._ports.directory.find(newest.upstream) is not None:
            return False
        member = self._controls.find_member(newest.upstream)
        return member is not None and await self._promoter.sample_if_leader(member)

    async def _is_primary_refusing(self, newest: Sample) -> bool:
        """Return whether a sample is overdue and the primary refuses connections."""
        if self._clock() - newest.taken_at < SAMPLE_OVERDUE_S:
            return False
        return await self._controls.is_connection_refused(newest.upstream)

    async def _verify_and_fail_over(self, newest: Sample | None) -> None:
        """Fail over unless this instance is isolated or a peer has a recent sample."""
        await self._ports.ask_peers()
        if self._is_isolated():
            return
        latest = self._ports.samples.newest(self.service)
        if latest is not None and latest != newest:
            if self._clock() - latest.taken_at <= PRIMARY_TIMEOUT_S:
                return
        self._log_attempt("primary suspected", latest)
        self._ports.metrics.count("failover.suspected")
        await self._fail_over(latest)

    async def _fail_over(
        self, newest: Sample | None, is_primary_back: bool = False
    ) -> bool:
        """Find the current leader, or pause all replicas and promote one of them.

        The replica that has received most is promoted. The lost primary is not asked,
        since it has just failed to answer.

        :param is_primary_back: whether the primary answers. Nothing is paused then
            unless a replica can probably be promoted.
        :returns: whether there is another leader or a replica was chosen.
        """
        fence = self._fence
        lost_id = newest.upstream if newest is not None else None
        others = self._controls.list_except(lost_id)
        statuses = await self._controls.read_statuses(others)
        if await self._find_current_leader(statuses):
            return True
        fence.begin(newest, statuses)
        probable = fence.choose_among(statuses)
        if is_primary_back and probable is None:
            return False
        await self._begin_attempt(probable is not None, probable)
        if self._may_entries_reappear():
            self._log_attempt("promotion waits for entries to come back", newest)
            return False
        self._may_be_paused = True
        await fence.pause(self._controls.list_except(lost_id), statuses)
        if fence.choose() is None and lost_id is not None:
            # It may have come back as a replica of a primary that was never seen here.
            await fence.pause_former_primary()
        chosen = fence.choose()
        if chosen is None:
            self._log_waiting(newest)
            return False
        self._log_choice(chosen, newest)
        if is_primary_back:
            fence.record_request(chosen)
        await self._promote(chosen)
        return True

    def _log_waiting(self, newest: Sample | None) -> None:
        silent = sorted(self._fence.list_absent())
        resuming = self._controls.list_resuming()
        told = str(self._ports.samples.find_highest_position(self.service))
        self._ports.metrics.count("failover.waited_for_members")
        self._log_attempt(
            "promotion waits for members",
            newest,
            absent=sorted({member.upstream_id for member in silent}),
            resuming=sorted({member.upstream_id for member in resuming}),
            unconfirmed=sorted(
                member.upstream_id
                for member in self._fence.list_unconfirmed(self._fence.fenced)
            ),
            told=told,
            waits_for=[self._describe(member) for member in silent],
        )

    def _log_choice(self, chosen: Member, newest: Sample | None) -> None:
        paused = self._fence.fenced
        self._log_attempt(
            "successor chosen",
            newest,
            chosen=chosen.upstream_id,
            paused={m.upstream_id: str(s.received) for m, s in paused.items()},
            not_paused=sorted(
                m.upstream_id for m in self._ack_set.members if m not in paused
            ),
            list_revision=self._ports.directory.listing.revision,
        )

    def _describe(self, member: Member) -> str:
        state = self._ack_set.describe(member)
        contact = self._controls.find_contact(member).value
        text = f"{member.upstream_id} born {member.born_ms}: {state}, {contact}"
        final = self._final_positions.positions.get(member)
        return text if final is None else f"{text}, nothing received after {final}"

    def _may_entries_reappear(self) -> bool:
        """Return whether a member in doubt may still be listed again.

        Entries that lapsed in a gap of the watch return shortly after it.
        """
        since_s = self._clock() - self._ack_set.last_gap_at
        return bool(self._ack_set.in_doubt) and since_s < MISSING_GRACE_S

    def _is_isolated(self) -> bool:
        """Return whether peers are known but none was in contact recently.

        This instance may then be cut off from the network itself.
        """
        peers = self._ports.peers
        if not peers.has_peers() or peers.has_recent_contact(PEER_CONTACT_MAX_AGE_S):
            return False
        log.info("guardian hears no peer", extra={"service": self.service})
        return True

    async def _find_current_leader(
        self, statuses: dict[Member, UpstreamStatus]
    ) -> bool:
        """Return whether an upstream reports that it is primary and yields a sample."""
        for member, status in statuses.items():
            if status.role is not UpstreamRole.PRIMARY:
                continue
            if await self._promoter.sample_if_leader(member):
                return True
        return False

    async def _hand_over(self, leader: Upstream, newest: Sample) -> None:
        """Demote a leaving primary and promote a replica that has caught up.

        Nothing is done while every other member is leaving, too. If no replica catches
        up in time, the old primary is promoted again.
        """
        leaving = Member(leader.upstream_id, leader.born_ms)
        statuses = await self._controls.read_statuses()
        progress_of = self._controls.find_progress(statuses)
        if not any(
            m != leaving and not progress.is_leaving
            for m, progress in progress_of.items()
        ):
            return
        self._log_attempt("primary leaves", newest)
        await self._begin_attempt(may_request=True)
        self._fence.begin(newest, statuses)
        final_position = await self._fence.demote_leaving(leaving)
        caught_up = await self._wait_caught_up(final_position)
        self._may_be_paused = True
        await self._fence.pause(self._controls.list_except(None), {})
        chosen = self._fence.choose(caught_up)
        if chosen is None:
            self._log_waiting(newest)
            return
        await self._promote(chosen)

    async def _wait_caught_up(self, final_position: LogPosition) -> Member | None:
        """Return a replica that has received all entries of a demoted primary.

        :param final_position: the last position of the demoted primary.
        :returns: None if no replica catches up in time.
        """
        with trio.move_on_after(CATCH_UP_TIMEOUT_S):
            while True:
                statuses = await self._controls.read_statuses()
                chosen = choose_caught_up(
                    final_position, self._controls.find_progress(statuses)
                )
                if chosen is not None:
                    return chosen
                await trio.sleep(CATCH_UP_POLL_S)
        return None

    async def _promote(self, chosen: Member) -> None:
        """Promote a member, and let replicas receive again once it is the primary.

        The record tells at once that no call is open any more: instances that start
        suspend their writes otherwise.
        """
        if await self._promoter.promote(chosen):
            self._final_positions.clear()
            await self._update_record(self._ports.samples.newest(self.service))
            await self._resume_replicas()

    async def _settle_calls(self, newest: Sample) -> bool:
        """Have the platform refuse the open calls that could depose the primary.

        Replicas stay paused and writes suspended until then: an open call would promote
        one without the commits that others acknowledge meanwhile. The primary itself is
        confirmed, unless instances that did not confirm the suspension may write to it;
        then the failover attempt that was cut short is carried through.

        :returns: whether no open call can depose the primary any more.
        """
        if not self._promoter.may_depose(newest.upstream):
            return not self._promoter.may_call_take_effect
        is_recent = self._clock() - self._began_at < LATE_STATEMENT_S
        if self._may_be_paused or is_recent:
            await self._fence.suspend_writes(None)
        if self._may_be_paused:
            await self._fence.extend(self._promoter.can_take_effect)
        if self._clock() - self._promoter.requested_at < SETTLE_INTERVAL_S:
            return False
        is_fenced = self._fence.is_suspension_confirmed or not self._may_be_paused
        if is_fenced or not await self._fail_over(newest, is_primary_back=True):
            await self._confirm_primary(newest)
        return False

    async def _confirm_primary(self, newest: Sample) -> None:
        """Request the promotion of the primary itself if it still leads."""
        primary = self._controls.find_member(newest.upstream)
        if primary is None or not await self._promoter.sample_if_leader(primary):
            return
        self._log_attempt("primary confirmed at the platform", newest)
        await self._begin_attempt(may_request=True, probable=primary)
        await self._promoter.confirm(primary, newest.position.term)

    def _log_attempt(self, text: str, newest: Sample | None, **inputs: object) -> None:
        extra: dict[str, object] = {"service": self.service, **inputs}
        if newest is not None:
            extra["primary"] = newest.upstream
            extra["position"] = str(newest.position)
            extra["sample_age_ms"] = round((self._clock() - newest.taken_at) * 1000)
        log.warning(text, extra=extra)
