"""Admission control: statements queue fairly here instead of at the upstream."""

from __future__ import annotations

__all__ = ["UNLIMITED", "AdmissionLimiter", "AdmissionRefused", "divide_slots"]

import math

import trio

from ..accounts import NO_ACCOUNT
from ..balancing.account_queue import Entry
from ..balancing.fair_queue import FairQueue
from ..balancing.retry_times import RetryTimes
from ..balancing.service_time import ServiceTime
from ..exceptions import CeleryfoldError
from ..kernel.ids import AccountId
from ..kernel.metrics import Metrics
from .clock import Clock

# A slot is idle while a request or reply is in transit; one more statement fills it.
N_IN_TRANSIT = 1
UNLIMITED = math.inf
# Classes whose waiting statements are counted under their own name.
NAMED_CLASSES = (0, 1)


def divide_slots(n_slots: int, n_homes: int) -> int:
    """Return how many statements one home may have at an upstream at a time."""
    return math.ceil(max(n_slots, 1) / max(n_homes, 1)) + N_IN_TRANSIT


class AdmissionRefused(CeleryfoldError):
    """A statement was refused on arrival, because it would wait for too long.

    :param expected_wait_s: how long it would have waited, in seconds.
    :param retry_after_s: seconds until a retry makes sense.
    """

    def __init__(self, expected_wait_s: float, retry_after_s: float) -> None:
        super().__init__(f"the expected wait is {expected_wait_s:.2f} s")
        self.expected_wait_s = expected_wait_s
        self.retry_after_s = retry_after_s


class _Waiter(Entry):
    """A statement that waits for admission."""

    __slots__ = ("admitted",)

    def __init__(self, priority: int, account: AccountId, wait_s: float) -> None:
        super().__init__(priority, account, wait_s)
        self.admitted = trio.Event()


class AdmissionLimiter:
    """Admits a limited number of statements; the others wait in a fair queue.

    :param limit: number of statements at the upstream at a time.
    """

    def __init__(
        self,
        limit: float = UNLIMITED,
        clock: Clock = trio.current_time,
        metrics: Metrics | None = None,
    ) -> None:
        self.limit = limit
        self.service_time = ServiceTime(clock)
        self._metrics = metrics or Metrics()
        self._n_admitted = 0
        self._queue = FairQueue()
        self._retry_times = RetryTimes(clock)

    @property
    def n_waiting(self) -> int:
        """Number of statements that wait."""
        return len(self._queue)

    async def acquire(
        self, priority: int, wait_s: float, account: AccountId = NO_ACCOUNT
    ) -> bool:
        """Wait for admission and return whether it was granted in time.

        :param priority: the class; the lowest number is the highest.
        :param wait_s: how long to wait, in seconds.
        :param account: the client account that sent the statement.
        :raises AdmissionRefused: the expected wait is longer than that.
        """
        if self._n_admitted < self.limit:
            self._n_admitted += 1
            return True
        waiter = _Waiter(priority, account, wait_s)
        self._check_wait(waiter)
        return await self._wait(waiter)

    def _check_wait(self, waiter: _Waiter) -> None:
        """Refuse a statement that would wait for too long."""
        service_s = self.service_time.mean_s
        # The longest possible wait is cheaper to compute than the expected one.
        if service_s is None or self._find_wait_s(self._queue.cost) <= waiter.wait_s:
            return
        expected_s = self._find_wait_s(self._queue.find_cost_before(waiter))
        if expected_s > waiter.wait_s:
            self._metrics.count("admission.refused_early")
            retry_s = self._find_retry_s(expected_s - waiter.wait_s)
            raise AdmissionRefused(expected_s, retry_s)

    def _find_wait_s(self, cost: float) -> float:
        """Return the time in which statements are admitted, in seconds."""
        return cost * (self.service_time.mean_s or 0.0) / max(self.limit, 1)

    def _find_retry_s(self, earliest_s: float) -> float:
        """Return when to retry, later than what was returned before, in seconds."""
        return self._retry_times.find_retry_s(earliest_s, self._find_wait_s(1.0))

    def find_retry_s(
        self, priority: int, wait_s: float, account: AccountId = NO_ACCOUNT
    ) -> float | None:
        """Return when to retry a statement that was not admitted in time, in seconds.

        :returns: None if too few recent statements were measured.
        """
        if self.service_time.mean_s is None:
            return None
        cost = self._queue.find_cost_before(Entry(priority, account, wait_s))
        earliest_s = self._find_wait_s(cost) - wait_s
        return self._find_retry_s(max(earliest_s, self._find_wait_s(1.0)))

    async def _wait(self, waiter: _Waiter) -> bool:
        """Wait in the queue and return whether the statement was admitted in time."""
        name = _find_gauge(waiter.priority)
        self._queue.push(waiter)
        self._metrics.adjust(name, 1)
        try:
            with trio.move_on_after(waiter.wait_s):
                await waiter.admitted.wait()
        except trio.Cancelled:
            if waiter.admitted.is_set():
                self.release()
            raise
        finally:
            self._metrics.adjust(name, -1)
            if not waiter.admitted.is_set():
                self._queue.remove(waiter)
        if not waiter.admitted.is_set():
            self._metrics.count("admission.timed_out")
        return waiter.admitted.is_set()

    def acquire_unconditionally(self) -> None:
        """Admit at once: for work that holds a resource which waiting work needs."""
        self._n_admitted += 1

    def release(self) -> None:
        """End an admission and admit waiters up to the limit."""
        self._n_admitted -= 1
        while self._queue and self._n_admitted < self.limit:
            waiter = self._queue.pop()
            assert isinstance(waiter, _Waiter)
            self._n_admitted += 1
            waiter.admitted.set()


def _find_gauge(priority: int) -> str:
    """Return the name of the gauge that counts the waiting statements of a class."""
    name = priority if priority in NAMED_CLASSES else "others"
    return f"admission.waiting_{name}"
