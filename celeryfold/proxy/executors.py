"""Executors run work at an upstream, on local connections or through a home."""

from __future__ import annotations

__all__ = ["Executor", "PinnedConnection", "RetryableFailure", "Work", "WorkResult"]

import math
from abc import ABC, abstractmethod

import msgspec

from ..accounts import NO_ACCOUNT
from ..balancing.load_reports import HomeLoad
from ..exceptions import CeleryfoldError
from ..kernel.errors import ErrorKind
from ..kernel.ids import AccountId
from .clock import Clock
from .outliers import FailureRate
from .positions import LogPosition
from .statements import Prepare, Request
from .upstream import Reply, Upstream

# Weight of a new duration in the moving average, which spans about ten statements; an
# average without new durations expires.
DURATION_WEIGHT = 0.1
DURATION_EXPIRY_S = 3.0
DEFAULT_DURATION_S = 0.010


class RetryableFailure(CeleryfoldError):
    """The statement did not run or may be repeated; another upstream can be tried.

    :param retry_after_s: seconds until a retry at the same upstream makes sense; None
        if it is not known.
    """

    def __init__(
        self, kind: ErrorKind, text: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(text)
        self.kind = kind
        self.text = text
        self.retry_after_s = retry_after_s


class Work(msgspec.Struct, frozen=True, array_like=True):
    """Requests that run in order on one connection.

    :param values: the session's values, set before the requests run.
    :param prepared: the prepared statement of a request, prepared before they run.
    :param priority: the lowest number is served first when connections are scarce.
    :param wait_s: how long to wait for a connection, in seconds.
    :param timeout_s: how long the wait and all replies may take together, in seconds.
    :param validates_connection: whether an idle connection is validated before use;
        the outcome of a write that is sent on a dead connection is unknown.
    :param keeps_connection: whether the connection is returned pinned if a transaction
        is open at the end.
    :param account: the client account on whose connection they run.
    """

    requests: tuple[Request, ...]
    values: dict[str, str]
    prepared: Prepare | None
    priority: int
    wait_s: float
    timeout_s: float
    validates_connection: bool = False
    keeps_connection: bool = False
    account: AccountId = NO_ACCOUNT


class PinnedConnection(ABC):
    """A connection that is reserved for one open transaction."""

    @abstractmethod
    async def run(self, work: Work) -> list[Reply]:
        """Run requests; release the connection when the transaction has ended.

        :raises RetryableFailure: the session state could not be set; the connection is
            closed.
        :raises ExchangeFailed: replies are missing; the connection is closed.
        """

    @property
    @abstractmethod
    def has_ended(self) -> bool:
        """Whether the transaction has ended or its connection is closed."""

    @abstractmethod
    def abandon(self) -> None:
        """Roll back the transaction and release the connection, without waiting."""


class WorkResult(msgspec.Struct, frozen=True):
    """The replies to the requests of a piece of work.

    :param pinned: the connection, if the work keeps it and a transaction is open.
    """

    replies: list[Reply]
    pinned: PinnedConnection | None = None


class Executor(ABC):
    """Runs work at one upstream and tracks its position, latency and failures."""

    def __init__(self, upstream: Upstream, clock: Clock) -> None:
        self.upstream = upstream
        self.position: LogPosition | None = None
        self.last_silence_at = -math.inf
        self.distance_s = 0.0
        self.failures = FailureRate(upstream.upstream_id, clock)
        self._clock = clock
        self._duration_s = DEFAULT_DURATION_S
        self._duration_at = -math.inf

    @abstractmethod
    async def run(self, work: Work) -> WorkResult:
        """Run requests in order on one connection.

        :raises RetryableFailure: none of the requests ran.
        :raises ExchangeFailed: replies are missing.
        """

    @abstractmethod
    def is_available(self) -> bool:
        """Return whether the upstream is expected to be reachable."""

    @property
    def is_local(self) -> bool:
        """Whether the connections belong to this instance."""
        return False

    @property
    def is_unreachable(self) -> bool:
        """Whether this executor appears to be unable to reach the upstream."""
        return False

    @property
    def n_in_use(self) -> int:
        """Number of statements that run or wait at this executor."""
        return 0

    @property
    def load(self) -> HomeLoad | None:
        """The load that a home reports, None if this executor is not a home's."""
        return None

    @property
    def reported_time_s(self) -> float | None:
        """Recent mean time of a statement by reports of homes, None without any."""
        return None

    def record_position(self, position: LogPosition | None) -> None:
        """Record the log position that a reply reported."""
        if position is not None:
            if self.position is None or position > self.position:
                self.position = position

    def record_reply(self, reply: Reply) -> None:
        """Record the position of a reply, and whether the statement failed."""
        self.record_position(reply.position)
        error = reply.error
        has_failed = error is not None and error.kind is ErrorKind.STATEMENT_FAILED
        if error is None or has_failed:
            self.failures.record(has_failed)

    def record_duration(self, seconds: float) -> None:
        """Record the duration of a statement in seconds, round trip included."""
        seconds = max(seconds - self.distance_s, 0.0)
        self._duration_s += DURATION_WEIGHT * (seconds - self._duration_s)
        self._duration_at = self._clock()

    def record_silence(self) -> None:
        """Record that the upstream sent nothing before a time-out."""
        self.last_silence_at = self._clock()

    @property
    def service_time_s(self) -> float:
        """Recent mean service time of a statement at the upstream, in seconds."""
        if self._clock() - self._duration_at > DURATION_EXPIRY_S:
            return DEFAULT_DURATION_S
        return self._duration_s
