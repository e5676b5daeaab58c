"""Base class of the runners: upstream selection, retries, waiting and logging."""

from __future__ import annotations

__all__ = ["ATTEMPT_TIME_SHARE", "Plan", "Runner", "make_retryable_failure"]

import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import trio

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import UpstreamId
from ..kernel.metrics import Metrics
from .answers import FailureCause, SentRequest, find_error_kind
from .calls import Call, remaining_s
from .clock import Clock
from .executors import Executor, RetryableFailure, Work, WorkResult
from .routing import Router
from .samples import Sample, SampleHistory
from .statements import Begin, Request
from .upstream import Reply

log = logging.getLogger(__name__)

# A call that gets no connection within this share of its target time is refused, early
# enough for the client to retry.
QUEUE_WAIT_SHARE = 0.25
# Share of the time of an attempt that it may wait for a connection. A write sent near
# the end of its time ends with an unknown outcome; refused, it can be repeated.
QUEUE_TIME_SHARE = 0.5
# A call that has waited for a failover still gets this long to wait for a connection.
MIN_WAIT_S = 0.1
# Duration of a failover, counted from the last contact with the old primary: one second
# until it is suspected, up to another until the new primary leads.
FAILOVER_S = 2.2
# A new instance finds the primary within this time.
FIRST_SAMPLE_TIMEOUT_S = 0.6
# Share of a call's remaining time that one attempt may take if the work can be repeated
# at another upstream.
ATTEMPT_TIME_SHARE = 0.5
N_ATTEMPTS = 6
# Pause after all upstreams have been tried: replicas lag by tens of milliseconds.
RETRY_ROUND_PAUSE_S = 0.02


@dataclass(frozen=True)
class Plan:
    """The executor of an attempt; each runner adds how the call is run there."""

    executor: Executor


P = TypeVar("P", bound=Plan)


class Runner:
    """Base class of the runners of reads, writes and transactions.

    :param router: selects the upstream of an attempt.
    :param samples: what is known of each service's primary.
    """

    def __init__(
        self, router: Router, samples: SampleHistory, clock: Clock, metrics: Metrics
    ) -> None:
        self.router = router
        self.samples = samples
        self.clock = clock
        self.metrics = metrics

    def find_wait_s(self, call: Call) -> float:
        """Return how long a call may still wait for a connection, in seconds."""
        waited_s = self.clock() - call.arrived_at
        wait_s = call.route.target_s * QUEUE_WAIT_SHARE - waited_s
        return max(wait_s, MIN_WAIT_S)

    def make_work(self, call: Call, *requests: Request, share: float = 1.0) -> Work:
        """Return the work that runs requests for a call.

        :param share: share of the call's remaining time that the work may take, the
            wait for a connection included.
        """
        left_s = max(remaining_s(call, self.clock), 0.0) * share
        return Work(
            requests=requests,
            values=call.values,
            prepared=call.prepared,
            priority=call.route.priority,
            wait_s=min(self.find_wait_s(call), left_s * QUEUE_TIME_SHARE),
            timeout_s=left_s,
            account=call.account,
        )

    async def run_work(self, executor: Executor, work: Work) -> WorkResult:
        """Run work and record which upstream leads, as reported by the replies.

        :raises RetryableFailure: none of the requests ran.
        :raises ExchangeFailed: replies are missing.
        """
        sent_at = self.clock()
        result = await executor.run(work)
        for request, reply in zip(work.requests, result.replies, strict=True):
            if request.statement == Begin():
                self.record_begin_reply(executor, reply, sent_at)
        return result

    async def try_upstreams(
        self,
        call: Call,
        make_plan: Callable[[set[UpstreamId]], P | None],
        make_leader_plan: Callable[[Executor], P],
        attempt: Callable[[P], Awaitable[Reply]],
    ) -> Reply:
        """Try upstreams until one runs a call, and return its reply.

        :param make_plan: returns the plan of the next attempt, given the upstreams that
            have been tried; None if no other is available.
        :param make_leader_plan: returns the plan of an attempt at the primary.
        :param attempt: runs a plan.
        :raises RequestFailure: no attempt succeeded in time.
        """
        excluded: set[UpstreamId] = set()
        failure: RetryableFailure | None = None
        failures: list[RetryableFailure] = []
        for _ in range(N_ATTEMPTS):
            if remaining_s(call, self.clock) <= 0:
                break
            plan = make_plan(excluded)
            if plan is None and excluded:
                failure = _find_soonest(failures)
                if not await self.wait_for_retry(call, failure, RETRY_ROUND_PAUSE_S):
                    break
                excluded.clear()
                failures.clear()
                continue
            if plan is None:
                plan = make_leader_plan(await self.wait_for_leader(call))
            try:
                return await attempt(plan)
            except RetryableFailure as error:
                failure = error
                failures.append(error)
                excluded.add(plan.executor.upstream.upstream_id)
                self.log_retry(call, plan.executor, error)
        raise self.make_refusal(call, failure, "no upstream ran the statement in time")

    async def wait_for_retry(
        self, call: Call, failure: RetryableFailure, min_s: float = 0.0
    ) -> bool:
        """Wait until a retry at the same upstream makes sense.

        An upstream that is overloaded tells when. If that is later than the call may
        wait, further attempts would only add to its load.

        :param min_s: how long to wait at least, in seconds.
        :returns: False, without waiting, if that is too late for the call.
        """
        retry_s = failure.retry_after_s or 0.0
        if retry_s > min(self.find_wait_s(call), remaining_s(call, self.clock)):
            return False
        await trio.sleep(max(retry_s, min_s))
        return True

    async def wait_for_leader(self, call: Call) -> Executor:
        """Return the executor of the service's primary, waiting for a failover.

        A call whose remaining time covers the failover in progress waits for it; other
        calls are refused at once.

        :raises RequestFailure: no primary is known in time.
        """
        service = call.route.service
        with trio.move_on_after(self._find_failover_wait_s(call)):
            while True:
                executor = self.router.find_leader(service)
                if executor is not None:
                    return executor
                await self.samples.wait_newer(service)
        newest = self.samples.newest(service)
        age_ms = (self.clock() - newest.taken_at) * 1000 if newest else -1.0
        self.log_refusal(call, "no primary is known", sample_age_ms=round(age_ms))
        raise RequestFailure(ErrorKind.NO_PRIMARY, "no primary is known; retry")

    def _find_failover_wait_s(self, call: Call) -> float:
        """Return how long to wait for a primary, in seconds; 0 to refuse at once.

        Once a failover has taken longer than usual, nothing tells how long it takes.
        """
        service = call.route.service
        left_s = max(remaining_s(call, self.clock), 0.0)
        leaderless_s = self.clock() - self.samples.find_leaderless_since(service)
        failover_s = FAILOVER_S - leaderless_s
        if failover_s > 0 and self.samples.newest(service) is None:
            return min(FIRST_SAMPLE_TIMEOUT_S, left_s)
        return failover_s if 0 < failover_s < left_s else 0.0

    def record_begin_reply(
        self, executor: Executor, reply: Reply, sent_at: float
    ) -> None:
        """Record from the reply to a read-write begin whether the upstream leads."""
        upstream = executor.upstream
        if reply.error is None:
            self.record_leader(executor, reply, sent_at)
        elif reply.error.kind is ErrorKind.READ_ONLY:
            self.samples.record_not_leader(upstream.service, upstream.upstream_id)

    def record_leader(self, executor: Executor, reply: Reply, sent_at: float) -> None:
        """Record that an upstream led when it handled a request."""
        if reply.position is not None:
            sample = Sample(executor.upstream.upstream_id, reply.position, sent_at)
            self.samples.add(executor.upstream.service, sample)

    def check_not_suspended(
        self, call: Call, sent: SentRequest, executor: Executor
    ) -> None:
        """Check that no other upstream is about to lead without a commit.

        :param sent: what the upstream may have received.
        :raises RequestFailure: if writes to the upstream are suspended.
        """
        upstream = executor.upstream
        if self.samples.is_suspended(upstream.service, upstream.upstream_id):
            text = "the primary is being replaced"
            raise self.make_failure(call, sent, FailureCause.LOST, text)

    def make_failure(
        self, call: Call, sent: SentRequest, cause: FailureCause, text: str
    ) -> RequestFailure:
        """Return the error of a call that has no reply, and log how it was chosen."""
        kind = find_error_kind(sent, cause)
        self.metrics.count(f"statement.{kind.value}")
        extra = self._describe(call)
        extra.update(sent=sent.value, ending=cause.value, reason=text)
        extra["answer"] = kind.value
        log.warning("statement ended without an answer", extra=extra)
        return RequestFailure(kind, text)

    def make_refusal(
        self, call: Call, failure: RetryableFailure | None, text: str
    ) -> RequestFailure:
        """Return the error of a call whose attempts all failed, and log it."""
        kind = failure.kind if failure else ErrorKind.OVERLOADED
        text = failure.text if failure else text
        retry_s = failure.retry_after_s if failure else None
        self.log_refusal(call, text, kind=kind.value, retry_after_s=retry_s)
        advice = "retry" if retry_s is None else f"retry after {retry_s:.2f} s"
        return RequestFailure(kind, f"{text}; {advice}", retry_s)

    def log_refusal(self, call: Call, reason: str, **inputs: object) -> None:
        """Log a call that is refused; the client may repeat it.

        :param inputs: values behind the decision, added to the log record.
        """
        self.metrics.count("statement.refused")
        extra = self._describe(call)
        extra.update(reason=reason, **inputs)
        log.info("statement refused", extra=extra)

    def log_retry(
        self, call: Call, executor: Executor, failure: RetryableFailure
    ) -> None:
        """Log that an attempt failed and the call is retried."""
        self.metrics.count(f"statement.retried.{failure.kind.value}")
        extra = self._describe(call)
        extra.update(
            upstream=executor.upstream.upstream_id,
            kind=failure.kind.value,
            reason=failure.text,
        )
        log.info("statement retried", extra=extra)

    def _describe(self, call: Call) -> dict[str, object]:
        return {
            "request": call.request_id,
            "database": call.route.database,
            "service": call.route.service,
            "waited_ms": round((self.clock() - call.arrived_at) * 1000, 1),
        }


def _find_soonest(failures: Sequence[RetryableFailure]) -> RetryableFailure:
    """Return the failure after which a retry makes sense first; the last one of them.

    A failure without a known time can be retried at once.
    """
    return min(reversed(failures), key=lambda failure: failure.retry_after_s or 0.0)


def make_retryable_failure(reply: Reply) -> RetryableFailure:
    """Return an upstream's error as a failure after which another one is tried."""
    assert reply.error is not None
    return RetryableFailure(reply.error.kind, reply.error.text)
