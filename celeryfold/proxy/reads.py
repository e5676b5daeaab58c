"""Run single reads where they are fresh enough."""

from __future__ import annotations

__all__ = ["ReadRunner", "find_needed"]

from dataclasses import dataclass

import trio

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import UpstreamId
from .answers import RETRIED_ELSEWHERE, Sent, find_answer
from .calls import Call, OwnWrite, remaining_s
from .exchanges import ExchangeFailed
from .pool import Pool
from .positions import LogPosition
from .routes import Consistency
from .runner import Runner, TryElsewhere, describe_error
from .samples import Sample
from .statements import Begin, Request, Rollback
from .upstream import Reply

N_TRIES = 6
# The part of the time left after which a read that got no answer is sent elsewhere.
ATTEMPT_SHARE = 0.5
# Replicas lag by some tens of milliseconds; a round over all of them waits this long.
ROUND_PAUSE_S = 0.02


@dataclass(frozen=True)
class _Plan:
    """Say where a read runs.

    :param since: the position it must see; None inside a transaction of our own, which
        only the primary opens.
    """

    pool: Pool
    since: LogPosition | None


def find_needed(sample: Sample, own_write: OwnWrite | None) -> LogPosition:
    """Return the position that a read of own writes must see.

    A sample taken after the session's commit was acknowledged covers that commit. The
    commit's own position may be ahead of it and, after a change of primary, hold
    entries of others that were never acknowledged.
    """
    if own_write is None or sample.taken_at >= own_write.acknowledged_at:
        return sample.position
    return max(sample.position, own_write.position)


class ReadRunner(Runner):
    """Run reads, at another upstream again where that is safe."""

    async def run(self, call: Call) -> Reply:
        """Return an upstream's reply to a read.

        :raises RequestFailure: where none could be had in time.
        """
        avoided: set[UpstreamId] = set()
        failure: TryElsewhere | None = None
        for _ in range(N_TRIES):
            if remaining_s(call, self.clock) <= 0:
                break
            plan = self._plan(call, avoided)
            if plan is None and avoided:
                avoided.clear()
                await trio.sleep(ROUND_PAUSE_S)
                continue
            if plan is None:
                plan = _Plan(await self.wait_leader(call), None)
            try:
                return await self._attempt(call, plan)
            except TryElsewhere as error:
                failure = error
                avoided.add(plan.pool.upstream.upstream_id)
                self.log_retry(call, plan.pool, error)
        return self._give_up(call, failure)

    def _give_up(self, call: Call, failure: TryElsewhere | None) -> Reply:
        kind = failure.kind if failure else ErrorKind.OVERLOADED
        text = failure.text if failure else "no upstream could run the read in time"
        self.log_refusal(call, text, kind=kind.value)
        raise RequestFailure(kind, f"{text}; come back")

    def _plan(self, call: Call, avoided: set[UpstreamId]) -> _Plan | None:
        """Choose an upstream; the primary in a transaction where no sample will do."""
        route = call.route
        leader = self.router.find_leader(route.service)
        if leader is not None and leader.upstream.upstream_id in avoided:
            leader = None
        bound = self._find_bound(call)
        if bound is not None:
            needed = find_needed(bound, call.own_write)
            pool = self.router.find_reader(route.service, needed, avoided)
            if pool is not None:
                return _Plan(pool, needed)
        return _Plan(leader, None) if leader is not None else None

    def _find_bound(self, call: Call) -> Sample | None:
        route = call.route
        if route.consistency is Consistency.PRIMARY:
            return None
        not_before = call.arrived_at - route.max_staleness_s
        return self.samples.find_bound(route.service, not_before)

    async def _attempt(self, call: Call, plan: _Plan) -> Reply:
        pool = plan.pool
        pooled = await self.acquire(pool, call)
        requests = pooled.make_prelude(call.values, call.needed)
        n_prelude = len(requests)
        statement = call.request.statement
        if plan.since is None:
            requests += [Request(Begin()), call.request, Request(Rollback())]
        else:
            read = Request(statement, call.request.request_id, plan.since)
            requests.append(read)
        sent_at = self.clock()
        timeout_s = remaining_s(call, self.clock) * ATTEMPT_SHARE
        try:
            replies = await self.exchange(pool, pooled, requests, timeout_s)
        except ExchangeFailed as failure:
            raise TryElsewhere(
                find_answer(Sent.READ, failure.ending), str(failure)
            ) from failure
        self.settle(pool, pooled, call, replies, n_prelude)
        if plan.since is None:
            begin = replies[n_prelude]
            if not self.note_begin(pool, begin, sent_at):
                raise describe_error(begin)
            return _judge(replies[n_prelude + 1])
        return _judge(replies[n_prelude])


def _judge(reply: Reply) -> Reply:
    """Return a reply that answers the read.

    A read that failed at one upstream may still succeed at another.
    """
    if reply.error is None:
        return reply
    if reply.error.kind in RETRIED_ELSEWHERE:
        raise describe_error(reply)
    if reply.error.kind is ErrorKind.STATEMENT_FAILED:
        raise describe_error(reply)
    return reply
