"""Runs single writes at the primary, each at most once."""

from __future__ import annotations

__all__ = ["WriteRunner"]

import msgspec

from ..kernel.errors import ErrorKind
from .answers import RETRYABLE_ERRORS, SentRequest
from .calls import Call, remaining_s
from .exchanges import ExchangeFailed
from .executors import Executor, RetryableFailure
from .runner import Runner, make_retryable_failure
from .upstream import Reply

N_ATTEMPTS = 3


class WriteRunner(Runner):
    """Runs single writes; retries only those that an upstream reports as not run."""

    async def run(self, call: Call) -> Reply:
        """Return the primary's reply to a write.

        :raises RequestFailure: the kind tells whether the write may have run.
        """
        failure: RetryableFailure | None = None
        for _ in range(N_ATTEMPTS):
            executor = await self.wait_for_leader(call)
            try:
                return await self._attempt(call, executor)
            except RetryableFailure as error:
                failure = error
                self.log_retry(call, executor, error)
                if error.retry_after_s is not None:
                    if not await self.wait_for_retry(call, error):
                        break
            if remaining_s(call, self.clock) <= 0:
                break
        raise self.make_refusal(
            call, failure, "the primary did not run the write in time"
        )

    async def _attempt(self, call: Call, executor: Executor) -> Reply:
        work = self.make_work(call, call.request)
        work = msgspec.structs.replace(work, validates_connection=True)
        sent_at = self.clock()
        try:
            [reply] = (await self.run_work(executor, work)).replies
        except ExchangeFailed as failure:
            text = str(failure)
            raise self.make_failure(
                call, SentRequest.WRITE, failure.cause, text
            ) from failure
        if reply.error is None:
            self.check_not_suspended(call, SentRequest.WRITE, executor)
            self.record_leader(executor, reply, sent_at)
            return reply
        if reply.error.kind is ErrorKind.READ_ONLY:
            upstream = executor.upstream
            self.samples.record_not_leader(upstream.service, upstream.upstream_id)
        if reply.error.kind in RETRYABLE_ERRORS:
            raise make_retryable_failure(reply)
        return reply
