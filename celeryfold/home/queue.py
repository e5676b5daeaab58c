"""Work queue of a slot: deadlines, fair shares, short and long work."""

from __future__ import annotations

__all__ = ["Ticket", "WorkQueue"]

import math
from collections import deque

import trio

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import ServiceId
from .work_classes import WorkClass

# Share of the capacity that long requests may always use.
MIN_LONG_SHARE = 0.25
# Capacity kept for short requests, as a multiple of their recent peak.
SHORT_PEAK_FACTOR = 1.5
# Time constant of the exponential decay of that peak.
PEAK_DECAY_S = 5.0
MIN_RETRY_AFTER_S = 0.05
# Share of the slack before the deadline that the estimated wait may use.
MAX_WAIT_SHARE = 0.5
# A waiting request is refused if this multiple of its cost exceeds the time left.
COST_SAFETY_FACTOR = 1.5


class Ticket:
    """One request in the queue, from its arrival until it has finished.

    :param service: service that sends the request.
    :param weight: share of the service.
    :param work_class: whether the request is expected to run for a short or long time.
    :param cost_s: expected running time in seconds.
    :param deadline: monotonic time in seconds after which the answer is useless.
    """

    def __init__(
        self,
        service: ServiceId,
        weight: int,
        work_class: WorkClass,
        cost_s: float,
        deadline: float,
    ) -> None:
        self.service = service
        self.weight = weight
        self.work_class = work_class
        self.cost_s = cost_s
        self.deadline = deadline
        self.granted = trio.Event()
        self.refused = False
        self.is_running = False


class _ServiceQueue:
    """Waiting tickets of one service in one work class.

    ``virtual_s`` is the admitted running time divided by the weight of the service, by
    which services are compared; ``waiting_s`` is the expected running time of the
    waiting tickets. Both are in seconds.
    """

    def __init__(self) -> None:
        self.tickets: deque[Ticket] = deque()
        self.virtual_s = 0.0
        self.waiting_s = 0.0


class WorkQueue:
    """Weighted fair queue that admits as many requests at once as its capacity.

    Between services, the one that has used least of its share goes first. Within a
    service, requests run in order of arrival, so that the wait estimated at arrival
    stays valid. Long requests leave the capacity free that short requests need.

    :param capacity: number of requests that run at once, one per connection.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.n_running = 0
        self.n_running_long = 0
        self._queues: dict[tuple[WorkClass, ServiceId], _ServiceQueue] = {}
        self._virtual_s = 0.0
        self._waiting_s = {WorkClass.SHORT: 0.0, WorkClass.LONG: 0.0}
        self._n_waiting = {WorkClass.SHORT: 0, WorkClass.LONG: 0}
        self._peak = 0.0
        self._peak_at = 0.0

    @property
    def n_waiting(self) -> int:
        """Number of waiting tickets."""
        return sum(self._n_waiting.values())

    @property
    def long_capacity(self) -> int:
        """Number of long requests that may run at once.

        It is at least a fixed share of the capacity, and more if the recent peak of
        short requests leaves more free.
        """
        reserved = math.ceil(self._short_peak() * SHORT_PEAK_FACTOR) + 1
        return max(1, int(self.capacity * MIN_LONG_SHARE), self.capacity - reserved)

    def _short_peak(self) -> float:
        """Return the recent peak of running short requests, which decays over time."""
        n_short = self.n_running - self.n_running_long
        now = trio.current_time()
        decayed = self._peak * math.exp((self._peak_at - now) / PEAK_DECAY_S)
        if n_short >= decayed:
            self._peak = n_short
            self._peak_at = now
        return max(n_short, decayed)

    def estimate_wait_s(
        self, work_class: WorkClass, service: ServiceId, weight: int
    ) -> float:
        """Return the estimated wait of a new ticket in seconds."""
        if self._has_free_capacity(work_class):
            return 0.0
        capacity = self.capacity
        if work_class is WorkClass.LONG:
            capacity = self.long_capacity
        queue = self._queues.get((work_class, service))
        own_s = queue.waiting_s if queue else 0.0
        share = weight / self._sum_weights(work_class, service, weight)
        fair_wait_s = own_s / (capacity * share)
        return min(fair_wait_s, self._waiting_s[work_class] / capacity)

    def _sum_weights(
        self, work_class: WorkClass, service: ServiceId, weight: int
    ) -> int:
        total = weight
        for (queued_class, name), queue in self._queues.items():
            if queued_class is work_class and name != service and queue.tickets:
                total += queue.tickets[0].weight
        return total

    def _has_free_capacity(self, work_class: WorkClass) -> bool:
        if self.n_running >= self.capacity:
            return False
        return work_class is WorkClass.SHORT or self.n_running_long < self.long_capacity

    def admit(self, ticket: Ticket) -> None:
        """Queue a ticket, or refuse it at once if it would miss its deadline.

        The estimated wait may use only a share of the slack, since the estimate has an
        error and a request that ends late has wasted a connection.

        :raises RequestFailure: ``overloaded``, with the seconds until a retry.
        """
        now = trio.current_time()
        wait_s = self.estimate_wait_s(ticket.work_class, ticket.service, ticket.weight)
        slack_s = ticket.deadline - now - ticket.cost_s
        late_s = wait_s - MAX_WAIT_SHARE * slack_s
        if late_s > 0 and wait_s > 0:
            raise RequestFailure(
                ErrorKind.OVERLOADED,
                f"the expected wait of {wait_s:.2f} s is too long for the deadline",
                max(MIN_RETRY_AFTER_S, late_s),
            )
        key = (ticket.work_class, ticket.service)
        queue = self._queues.setdefault(key, _ServiceQueue())
        if not queue.tickets:
            queue.virtual_s = max(queue.virtual_s, self._virtual_s)
        queue.tickets.append(ticket)
        queue.waiting_s += ticket.cost_s
        self._waiting_s[ticket.work_class] += ticket.cost_s
        self._n_waiting[ticket.work_class] += 1
        self._grant()

    def release(self, ticket: Ticket) -> None:
        """Free the capacity of a running ticket, or withdraw a waiting one."""
        if ticket.is_running:
            ticket.is_running = False
            self.n_running -= 1
            self.n_running_long -= ticket.work_class is WorkClass.LONG
        else:
            self._withdraw(ticket)
        self._grant()

    def reclassify_as_long(self, ticket: Ticket) -> None:
        """Count a running ticket as long from now on."""
        if ticket.is_running and ticket.work_class is WorkClass.SHORT:
            ticket.work_class = WorkClass.LONG
            self.n_running_long += 1

    def resize(self, capacity: int) -> None:
        """Change the capacity."""
        self.capacity = capacity
        self._grant()

    def _withdraw(self, ticket: Ticket) -> None:
        queue = self._queues.get((ticket.work_class, ticket.service))
        if queue is None:
            return
        if ticket in queue.tickets:
            queue.tickets.remove(ticket)
            self._remove_waiting(queue, ticket)

    def _remove_waiting(self, queue: _ServiceQueue, ticket: Ticket) -> None:
        queue.waiting_s -= ticket.cost_s
        self._waiting_s[ticket.work_class] -= ticket.cost_s
        self._n_waiting[ticket.work_class] -= 1

    def _grant(self) -> None:
        while True:
            ticket = self._pop_next()
            if ticket is None:
                return
            ticket.granted.set()

    def _pop_next(self) -> Ticket | None:
        for work_class in (WorkClass.LONG, WorkClass.SHORT):
            if self._n_waiting[work_class] and self._has_free_capacity(work_class):
                ticket = self._pop_from(work_class)
                if ticket is not None:
                    return ticket
        return None

    def _pop_from(self, work_class: WorkClass) -> Ticket | None:
        queues = [
            queue
            for (queued_class, _), queue in self._queues.items()
            if queued_class is work_class and queue.tickets
        ]
        if not queues:
            return None
        queue = min(queues, key=lambda item: item.virtual_s)
        ticket = queue.tickets.popleft()
        self._remove_waiting(queue, ticket)
        self._virtual_s = queue.virtual_s
        queue.virtual_s += ticket.cost_s / ticket.weight
        if self._is_too_late(ticket):
            ticket.refused = True
            ticket.granted.set()
            return self._pop_from(work_class)
        ticket.is_running = True
        self.n_running += 1
        self.n_running_long += work_class is WorkClass.LONG
        if work_class is WorkClass.SHORT:
            self._short_peak()
        return ticket

    @staticmethod
    def _is_too_late(ticket: Ticket) -> bool:
        needed_s = COST_SAFETY_FACTOR * ticket.cost_s
        return trio.current_time() + needed_s > ticket.deadline
