"""Run single writes at the primary, each at most once."""

from __future__ import annotations

__all__ = ["WriteRunner"]

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from .answers import RETRIED_ELSEWHERE, Sent
from .calls import Call, remaining_s
from .exchanges import ExchangeFailed
from .pool import Pool
from .runner import Runner, TryElsewhere, describe_error
from .upstream import Reply

N_TRIES = 3


class WriteRunner(Runner):
    """Run writes; repeat only what an upstream said it did not run."""

    async def run(self, call: Call) -> Reply:
        """Return the primary's reply to a write.

        :raises RequestFailure: with what is known of the outcome.
        """
        failure: TryElsewhere | None = None
        for _ in range(N_TRIES):
            pool = await self.wait_leader(call)
            try:
                return await self._attempt(call, pool)
            except TryElsewhere as error:
                failure = error
                self.log_retry(call, pool, error)
            if remaining_s(call, self.clock) <= 0:
                break
        kind = failure.kind if failure else ErrorKind.OVERLOADED
        text = failure.text if failure else "the primary took no write in time"
        self.log_refusal(call, text, kind=kind.value)
        raise RequestFailure(kind, f"{text}; come back")

    async def _attempt(self, call: Call, pool: Pool) -> Reply:
        pooled = await self.acquire(pool, call)
        await self.check(pool, pooled, call)
        prelude = pooled.make_prelude(call.values, call.needed)
        requests = [*prelude, call.request]
        sent_at = self.clock()
        try:
            replies = await self.exchange(
                pool, pooled, requests, remaining_s(call, self.clock)
            )
        except ExchangeFailed as failure:
            raise self.fail(call, Sent.WRITE, failure.ending, str(failure)) from failure
        reply = replies[-1]
        self.settle(pool, pooled, call, replies, len(prelude))
        if reply.error is None:
            self.note_leader(pool, reply, sent_at)
            return reply
        if reply.error.kind is ErrorKind.READ_ONLY:
            upstream = pool.upstream
            self.samples.refuse(upstream.service, upstream.upstream_id)
        if reply.error.kind in RETRIED_ELSEWHERE:
            raise describe_error(reply)
        return reply
