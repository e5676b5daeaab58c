"""Runs single reads at upstreams that are recent enough for the route's consistency."""

from __future__ import annotations

__all__ = ["ReadRunner", "find_required_position"]

from dataclasses import dataclass

from ..kernel.errors import ErrorKind
from ..kernel.ids import UpstreamId
from .answers import RETRYABLE_ERRORS, SentRequest, find_error_kind
from .calls import Call, OwnWrite
from .exchanges import ExchangeFailed
from .executors import RetryableFailure
from .positions import LogPosition
from .routes import Consistency
from .runner import ATTEMPT_TIME_SHARE, Plan, Runner, make_retryable_failure
from .samples import Sample
from .statements import Begin, Request, Rollback
from .upstream import Reply


@dataclass(frozen=True)
class _Plan(Plan):
    """The executor of a read and how recent it must be.

    :param since: the log position that the read must see. None to run the read inside a
        read-write transaction, which only the primary opens.
    """

    since: LogPosition | None


def find_required_position(sample: Sample, own_write: OwnWrite | None) -> LogPosition:
    """Return the log position that a read must see.

    A sample taken after the session's commit was acknowledged covers that commit. The
    position of the commit itself may be ahead of the sample and, after a failover, may
    include entries of other sessions that were never acknowledged.

    :param sample: bounds the commits that the read must see.
    :param own_write: the session's last commit, if any.
    """
    if own_write is None or sample.taken_at >= own_write.acknowledged_at:
        return sample.position
    return max(sample.position, own_write.position)


class ReadRunner(Runner):
    """Runs single reads and retries them at other upstreams."""

    async def run(self, call: Call) -> Reply:
        """Return an upstream's reply to a read.

        :raises RequestFailure: no upstream replied in time.
        """
        return await self.try_upstreams(
            call,
            lambda excluded: self._plan(call, excluded),
            lambda executor: _Plan(executor, None),
            lambda plan: self._attempt(call, plan),
        )

    def _plan(self, call: Call, excluded: set[UpstreamId]) -> _Plan | None:
        """Select the upstream; the primary if no sample is recent enough."""
        route = call.route
        leader = self.router.find_leader(route.service)
        if leader is not None and leader.upstream.upstream_id in excluded:
            leader = None
        bound = self._find_bounding_sample(call)
        if bound is not None:
            min_position = find_required_position(bound, call.own_write)
            executor = self.router.find_reader(route.service, min_position, excluded)
            if executor is not None:
                return _Plan(executor, min_position)
        return _Plan(leader, None) if leader is not None else None

    def _find_bounding_sample(self, call: Call) -> Sample | None:
        route = call.route
        if route.consistency is Consistency.PRIMARY:
            return None
        not_before = call.arrived_at - route.max_staleness_s
        return self.samples.find_freshness_bound(route.service, not_before)

    async def _attempt(self, call: Call, plan: _Plan) -> Reply:
        statement = call.request.statement
        if plan.since is None:
            requests = [Request(Begin()), call.request, Request(Rollback())]
        else:
            requests = [Request(statement, call.request.request_id, plan.since)]
        work = self.make_work(call, *requests, share=ATTEMPT_TIME_SHARE)
        try:
            result = await self.run_work(plan.executor, work)
        except ExchangeFailed as failure:
            kind = find_error_kind(SentRequest.READ, failure.cause)
            raise RetryableFailure(kind, str(failure)) from failure
        if plan.since is None:
            begin, reply, _ = result.replies
            if begin.error is not None:
                raise make_retryable_failure(begin)
        else:
            [reply] = result.replies
        return _check_reply(reply)


def _check_reply(reply: Reply) -> Reply:
    """Return the reply, or raise its error if another upstream can be tried.

    A read that failed at one upstream may succeed at another.
    """
    if reply.error is None:
        return reply
    if reply.error.kind in RETRYABLE_ERRORS:
        raise make_retryable_failure(reply)
    if reply.error.kind is ErrorKind.STATEMENT_FAILED:
        raise make_retryable_failure(reply)
    return reply
