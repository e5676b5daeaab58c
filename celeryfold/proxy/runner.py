"""What running statements of all kinds has in common."""

from __future__ import annotations

__all__ = ["Runner", "TryElsewhere", "describe_error"]

import logging
from collections.abc import Sequence

import trio

from ..exceptions import CeleryfoldError, RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.metrics import Metrics
from .answers import Ending, Sent, find_answer
from .calls import Call, remaining_s
from .clock import Clock
from .directory import Directory
from .exchanges import ExchangeFailed, exchange
from .pool import Pool, PooledConnection, Recycled
from .routing import Router
from .samples import Sample, SampleBook
from .statements import Begin, Request, Rollback
from .upstream import Reply, TransactionState

log = logging.getLogger(__name__)

# Who cannot be given to an upstream within this part of its target is refused, so that
# the client can come back while that still helps.
WAIT_SHARE = 0.25
# Who waited for a change of primary still gets this long to wait for a connection.
LEAST_WAIT_S = 0.1
# How long a change of primary takes from the last sign of life of the old one: a second
# until it is suspected, up to another until the new one leads.
CHANGE_S = 2.2
# An instance that has just started finds the primary within this.
FIRST_SAMPLE_S = 0.6
# A connection that rested longer is tried with an empty transaction before a write.
RESTED_S = 1.0
# The empty transaction is answered in a round trip or not at all.
CHECK_TIMEOUT_S = 0.5


class TryElsewhere(CeleryfoldError):
    """The statement did not run or may be repeated; another upstream may run it."""

    def __init__(self, kind: ErrorKind, text: str) -> None:
        super().__init__(text)
        self.kind = kind
        self.text = text


def describe_error(reply: Reply) -> TryElsewhere:
    """Return an upstream's error as a reason to try elsewhere."""
    assert reply.error is not None
    return TryElsewhere(reply.error.kind, reply.error.text)


class Runner:
    """Lend connections and exchange messages for a call; root of all runners."""

    def __init__(
        self,
        router: Router,
        directory: Directory,
        samples: SampleBook,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.router = router
        self.directory = directory
        self.samples = samples
        self.clock = clock
        self.metrics = metrics

    def find_wait_s(self, call: Call) -> float:
        """Return how long a call may still wait before it is sent."""
        waited_s = self.clock() - call.arrived_at
        wait_s = call.route.target_s * WAIT_SHARE - waited_s
        return min(max(wait_s, LEAST_WAIT_S), max(remaining_s(call, self.clock), 0.0))

    async def acquire(self, pool: Pool, call: Call) -> PooledConnection:
        """Lend a connection for a call.

        :raises TryElsewhere: where none can be had in time.
        """
        wait_s = self.find_wait_s(call)
        try:
            return await pool.acquire(call.values, call.route.priority, wait_s)
        except RequestFailure as failure:
            raise TryElsewhere(failure.kind, failure.message) from failure

    async def exchange(
        self,
        pool: Pool,
        pooled: PooledConnection,
        requests: Sequence[Request],
        timeout_s: float,
    ) -> list[Reply]:
        """Exchange requests for replies and note how long the upstream took."""
        sent_at = self.clock()
        replies = await exchange(pool, pooled, requests, timeout_s)
        distance_s = self.router.estimate_distance_s(pool.upstream.place)
        pool.note_duration(max(self.clock() - sent_at - distance_s, 0.0))
        return replies

    async def wait_leader(self, call: Call) -> Pool:
        """Return the pool of the service's primary, once there is one.

        A call that can still be served after the change of primary that is under way
        waits for it; others are refused at once.

        :raises RequestFailure: where none is known in time.
        """
        service = call.route.service
        with trio.move_on_after(self._find_change_s(call)):
            while True:
                pool = self.router.find_leader(service)
                if pool is not None:
                    return pool
                await self.samples.wait_newer(service)
        newest = self.samples.newest(service)
        age_ms = (self.clock() - newest.taken_at) * 1000 if newest else -1.0
        self.log_refusal(call, "no primary is known", sample_age_ms=round(age_ms))
        raise RequestFailure(ErrorKind.NO_PRIMARY, "no primary is known; come back")

    def _find_change_s(self, call: Call) -> float:
        """Return how long it makes sense to wait for a primary."""
        newest = self.samples.newest(call.route.service)
        if newest is None:
            return min(FIRST_SAMPLE_S, max(remaining_s(call, self.clock), 0.0))
        change_s = newest.taken_at + CHANGE_S - self.clock()
        left_s = remaining_s(call, self.clock)
        return change_s if 0 < change_s < left_s else 0.0

    async def check(self, pool: Pool, pooled: PooledConnection, call: Call) -> None:
        """Try a connection that rested with an empty transaction.

        A write on a connection that went silent has no known outcome; the check fails
        first, without one.

        :raises TryElsewhere: the connection is closed.
        """
        if self.clock() - pooled.answered_at < RESTED_S:
            return
        requests = [Request(Begin()), Request(Rollback())]
        timeout_s = min(CHECK_TIMEOUT_S, remaining_s(call, self.clock))
        sent_at = self.clock()
        try:
            replies = await exchange(pool, pooled, requests, timeout_s)
        except ExchangeFailed as failure:
            raise TryElsewhere(ErrorKind.NOT_RUN, str(failure)) from failure
        self.note_begin(pool, replies[0], sent_at)

    def note_begin(self, pool: Pool, reply: Reply, sent_at: float) -> bool:
        """Take in what the reply to a plain begin says of who leads.

        :returns: whether the transaction is open.
        """
        upstream = pool.upstream
        if reply.error is not None:
            if reply.error.kind is ErrorKind.READ_ONLY:
                self.samples.refuse(upstream.service, upstream.upstream_id)
            return False
        self.note_leader(pool, reply, sent_at)
        return True

    def note_leader(self, pool: Pool, reply: Reply, sent_at: float) -> None:
        """Take in that an upstream led when it handled a request."""
        if reply.position is not None:
            sample = Sample(pool.upstream.upstream_id, reply.position, sent_at)
            self.samples.add(pool.upstream.service, sample)

    def settle(
        self,
        pool: Pool,
        pooled: PooledConnection,
        call: Call,
        replies: Sequence[Reply],
        n_prelude: int,
    ) -> None:
        """Give a connection back after its replies, unless its state is in doubt.

        :raises TryElsewhere: where the session's state could not be set up.
        """
        self.check_prelude(pool, pooled, replies[:n_prelude])
        self.forget_unknown(pooled, call, replies)
        self.give_back(pool, pooled, replies[-1])

    def check_prelude(
        self, pool: Pool, pooled: PooledConnection, replies: Sequence[Reply]
    ) -> None:
        """Close a connection that could not be put into a session's state.

        :raises TryElsewhere: with the error.
        """
        for reply in replies:
            if reply.error is not None:
                pool.release(pooled, Recycled.BROKEN)
                raise describe_error(reply)

    def forget_unknown(
        self, pooled: PooledConnection, call: Call, replies: Sequence[Reply]
    ) -> None:
        """Note that the upstream does not know the prepared statement after all."""
        for reply in replies:
            error = reply.error
            if error is not None and error.kind is ErrorKind.UNKNOWN_STATEMENT:
                if call.needed is not None:
                    pooled.prepared.discard(call.needed.name)

    def give_back(self, pool: Pool, pooled: PooledConnection, last: Reply) -> None:
        """Give a connection back in the state that its last reply reported."""
        is_idle = last.state is TransactionState.IDLE
        how = Recycled.CLEAN if is_idle else Recycled.IN_TRANSACTION
        pool.release(pooled, how)

    def fail(self, call: Call, sent: Sent, ending: Ending, text: str) -> RequestFailure:
        """Return the failure that a client hears, and log what decided it."""
        kind = find_answer(sent, ending)
        self.metrics.count(f"statement.{kind.value}")
        extra = self._describe(call)
        extra.update(sent=sent.value, ending=ending.value, reason=text)
        extra["answer"] = kind.value
        log.warning("statement ended without an answer", extra=extra)
        return RequestFailure(kind, text)

    def log_refusal(self, call: Call, reason: str, **inputs: object) -> None:
        """Log that a call is refused before anything of it was sent."""
        self.metrics.count("statement.refused")
        extra = self._describe(call)
        extra.update(reason=reason, **inputs)
        log.info("statement refused", extra=extra)

    def log_retry(self, call: Call, pool: Pool, failure: TryElsewhere) -> None:
        """Log that a call is tried at another upstream."""
        self.metrics.count(f"statement.retried.{failure.kind.value}")
        extra = self._describe(call)
        extra.update(
            upstream=pool.upstream.upstream_id,
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
