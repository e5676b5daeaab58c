"""Requests for the promotion of upstreams, under the fencing token of a duty."""

from __future__ import annotations

__all__ = ["N_PROMOTION_ATTEMPTS", "Promoter"]

import logging
import math
from collections.abc import Awaitable, Callable, Collection

import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, ServiceId, Term, UpstreamId
from ..kernel.metrics import Metrics
from .clock import Clock
from .control_book import ControlConnections
from .leases import Duty
from .members import Member
from .promotion_calls import PromotionCalls
from .promotion_fence import PromotionFence
from .promotions import (
    PromotionNotMade,
    PromotionRefused,
    Promotions,
    PromotionUnanswered,
)
from .samples import Sample, SampleHistory

log = logging.getLogger(__name__)

# An accepted call takes effect within this time: some hundred milliseconds, and up to
# a second on a slow upstream.
PROMOTION_DURATION_S = 1.5
# A promoted upstream becomes the primary within about a second.
PROMOTION_TIMEOUT_S = 2.5
PROMOTION_POLL_S = 0.1
# Interval at which members that joined or restarted are looked for.
WATCH_INTERVAL_S = 0.1
# Delay before an unanswered promotion is requested again; the first request may still
# take effect.
PROMOTION_RETRY_S = 0.25
N_PROMOTION_ATTEMPTS = 8


class Promoter:
    """Promotes members of one service and tracks which calls may still take effect.

    :param me: the id of this instance.
    :param record_targets: writes :attr:`open_targets` to the record of the duty.
    """

    def __init__(
        self,
        service: ServiceId,
        me: InstanceId,
        duty: Duty,
        controls: ControlConnections,
        fence: PromotionFence,
        promotions: Promotions,
        samples: SampleHistory,
        clock: Clock,
        metrics: Metrics,
        record_targets: Callable[[], Awaitable[object]],
    ) -> None:
        self._record_targets = record_targets
        self._service = service
        self._me = me
        self._duty = duty
        self._controls = controls
        self._fence = fence
        self._promotions = promotions
        self._samples = samples
        self._clock = clock
        self._metrics = metrics
        self._calls = PromotionCalls()
        self._confirmed_at = -math.inf
        self._accepted_at = -math.inf
        # The upstream that the last accepted call names.
        self._accepted: UpstreamId | None = None
        # When a promotion was last requested, and when one last succeeded.
        self.requested_at = -math.inf
        self.promoted_at = -math.inf

    def restore(
        self, is_settled: bool, targets: Collection[UpstreamId] | None = None
    ) -> None:
        """Apply the record of the previous holder of the duty.

        :param is_settled: whether none of its calls can depose the primary any more.
        :param targets: the upstreams that its open calls may name, or None if that is
            not known.
        """
        self._calls.restore(is_settled, targets)

    @property
    def open_targets(self) -> frozenset[UpstreamId] | None:
        """The upstreams that calls may still promote, or None if they are not known.

        An accepted call takes effect some time after its answer.
        """
        named = self._calls.named
        is_accepted = self._clock() - self._accepted_at <= PROMOTION_DURATION_S
        if named is None or self._accepted is None or not is_accepted:
            return named
        return named | {self._accepted}

    def may_depose(self, primary: UpstreamId) -> bool:
        """Return whether an open call may name an upstream other than the primary."""
        return self._calls.may_depose(primary)

    @property
    def may_call_take_effect(self) -> bool:
        """Whether a call that was accepted before the last one may take effect."""
        last_at = max(self._confirmed_at, self._accepted_at)
        return self._clock() - last_at <= PROMOTION_DURATION_S

    async def sample_if_leader(self, member: Member) -> bool:
        """Return whether a member leads; if so, add a sample of it."""
        asked_at = self._clock()
        position = await self._controls.read_leader_position(member)
        if position is None:
            return False
        sample = Sample(member.upstream_id, position, asked_at)
        self._samples.add(self._service, sample)
        return True

    async def confirm(self, primary: Member, term: Term) -> None:
        """Request the promotion of the present primary, until there is an answer.

        This changes nothing, but the answer shows that older tokens are refused.

        :raises CeleryfoldError: if the platform refused it, or the duty may be lost.
        """
        await self._run_watched(lambda: self._request_until_settled(primary, term))

    async def promote(self, chosen: Member) -> bool:
        """Promote a member and wait until it is the primary.

        Before each request the other members are paused again, and those that join or
        restart are paused all the while. If another member has received more since,
        that one is promoted.

        :returns: whether a member is the primary that no open call can depose.
        :raises CeleryfoldError: if the platform refused it, or the duty may be lost.
        """
        is_primary = await self._run_watched(
            lambda: self._request_until_primary(chosen)
        )
        if not is_primary and not self.can_take_effect:
            await self._fence.resume_writes()
        return is_primary

    async def _run_watched(self, run: Callable[[], Awaitable[bool]]) -> bool:
        """Run requests; members that join or restart meanwhile are paused."""
        is_primary = False
        failure: CeleryfoldError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_members)
            try:
                is_primary = await run()
            except CeleryfoldError as error:
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return is_primary

    async def _request_until_settled(self, primary: Member, term: Term) -> bool:
        await self._take_token_for(primary)
        for _ in range(N_PROMOTION_ATTEMPTS):
            wait_s = await self._request(primary, term)
            self._confirmed_at = self._clock()
            if not self._calls.may_depose(primary.upstream_id):
                return True
            await trio.sleep(wait_s)
            if not await self.sample_if_leader(primary):
                return False
        return False

    async def _request_until_primary(self, chosen: Member) -> bool:
        term = self._fence.next_term
        for _ in range(N_PROMOTION_ATTEMPTS):
            await self._fence.suspend_writes(self._find_safe_successor(chosen))
            choice = await self._fence.confirm(chosen, self.can_take_effect)
            if choice is None:
                self._log_end(chosen, term, "others may hold the only copy of a commit")
                return False
            if choice != chosen:
                extra = {"service": self._service, "upstream": choice.upstream_id}
                log.warning("another successor chosen", extra=extra)
                chosen = choice
            may_depose = self._calls.may_depose(chosen.upstream_id)
            await self._fence.suspend_writes(self._find_safe_successor(chosen))
            await self._take_token_for(chosen)
            self._fence.record_request(chosen)
            wait_s = await self._request(chosen, term)
            is_leader = await self._wait_until_leader(chosen, wait_s)
            if is_leader and may_depose:
                is_leader = await self._outlast_accepted_call(chosen)
            if is_leader and not self._calls.may_depose(chosen.upstream_id):
                extra = {"service": self._service, "upstream": chosen.upstream_id}
                log.info("primary changed", extra=extra)
                self.promoted_at = self._clock()
                return True
        self._log_end(chosen, term, "the promotion is not confirmed")
        return False

    def _find_safe_successor(self, chosen: Member) -> Member | None:
        """Return the successor, or None if an open call may still depose it."""
        return None if self._calls.may_depose(chosen.upstream_id) else chosen

    async def _outlast_accepted_call(self, chosen: Member) -> bool:
        """Wait for an earlier call that was accepted just before the last one.

        :returns: whether the member still leads.
        """
        left_s = self._accepted_at + PROMOTION_DURATION_S - self._clock()
        await trio.sleep(max(left_s, 0.0))
        return await self.sample_if_leader(chosen)

    async def _watch_members(self) -> None:
        """Pause members that join or restart, until cancelled."""
        while True:
            await trio.sleep(WATCH_INTERVAL_S)
            try:
                await self._fence.renew_suspension()
                await self._fence.extend(self.can_take_effect)
            except CeleryfoldError as error:
                extra = {"service": self._service, "reason": str(error)}
                log.warning("members not watched", extra=extra)

    @property
    def can_take_effect(self) -> bool:
        """Whether a promotion that was requested may still take effect."""
        is_accepted = self._clock() - self._accepted_at <= PROMOTION_DURATION_S
        return is_accepted or self._calls.named != frozenset()

    def _log_end(self, chosen: Member, term: Term, reason: str) -> None:
        self._metrics.count("failover.abandoned")
        extra = {
            "service": self._service,
            "upstream": chosen.upstream_id,
            "term": term,
            "reason": reason,
        }
        log.warning("promotion abandoned", extra=extra)

    async def _take_token_for(self, chosen: Member) -> None:
        """Take a newer token if the present one has named another upstream."""
        token = self._duty.require_token()
        if self._calls.needs_newer_token(token, chosen.upstream_id):
            await self._duty.renew_token()

    async def _request(self, chosen: Member, term: Term) -> float:
        """Request a promotion.

        :returns: seconds to wait for the promotion before it is requested again.
        :raises PromotionRefused: if the token is old or the upstream is down; a newer
            token has been taken.
        """
        named_before = self._calls.named
        token = self._duty.require_token()
        self._calls.record_sent(token, chosen.upstream_id)
        try:
            await self._record_targets()
            self._duty.require_token()
        except CeleryfoldError:
            self._calls.record_not_made(named_before)
            raise
        self.requested_at = self._clock()
        extra: dict[str, object] = {
            "service": self._service,
            "upstream": chosen.upstream_id,
            "term": term,
            "token": token,
        }
        log.info("promotion ordered", extra=extra)
        self._metrics.count("failover.ordered")
        try:
            await self._promotions.promote(
                self._service, chosen.upstream_id, self._me, token
            )
        except PromotionRefused:
            self._calls.record_not_made(named_before)
            await self._duty.renew_token()
            raise
        except PromotionNotMade as error:
            self._calls.record_not_made(named_before)
            log.warning("promotion not made", extra={**extra, "reason": str(error)})
            return PROMOTION_RETRY_S
        except PromotionUnanswered as error:
            log.warning("promotion unanswered", extra={**extra, "reason": str(error)})
            return PROMOTION_RETRY_S
        self._calls.record_answered(chosen.upstream_id)
        self._accepted_at = self._clock()
        self._accepted = chosen.upstream_id
        return PROMOTION_TIMEOUT_S

    async def _wait_until_leader(self, chosen: Member, wait_s: float) -> bool:
        with trio.move_on_after(wait_s):
            while True:
                if await self.sample_if_leader(chosen):
                    return True
                await trio.sleep(PROMOTION_POLL_S)
        return False
