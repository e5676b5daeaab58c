"""The queue before a slot's connections: deadlines, fair shares, lanes."""

from __future__ import annotations

__all__ = ["Ticket", "WorkQueue"]

import math
from collections import deque

import trio

from ..exceptions import RequestFailure
from ..kernel.errors import ErrorKind
from ..kernel.ids import ServiceId
from .work import Lane

LONG_SHARE = 0.25
SHORT_HEADROOM = 1.5
PEAK_FADES_S = 5.0
MIN_RETRY_AFTER_S = 0.05
WAIT_SHARE = 0.5
COST_MARGIN = 1.5


class Ticket:
    """Hold one piece of work from its arrival until it has finished.

    :param cost_s: expected running time in seconds.
    :param deadline: moment after which the answer is of no use.
    """

    def __init__(
        self,
        service: ServiceId,
        weight: int,
        lane: Lane,
        cost_s: float,
        deadline: float,
    ) -> None:
        self.service = service
        self.weight = weight
        self.lane = lane
        self.cost_s = cost_s
        self.deadline = deadline
        self.granted = trio.Event()
        self.refused = False
        self.holds_place = False


class _ServiceLine:
    def __init__(self) -> None:
        self.tickets: deque[Ticket] = deque()
        self.virtual_s = 0.0
        self.waiting_s = 0.0


class WorkQueue:
    """Grant places to tickets: as many at once as there are connections.

    Between services, the one that has used least of its share goes first; within a
    service, the first to come, so that the wait expected at arrival holds. Long work
    leaves the places that short work needs.
    """

    def __init__(self, n_places: int) -> None:
        self.n_places = n_places
        self.n_running = 0
        self.n_running_long = 0
        self._lines: dict[tuple[Lane, ServiceId], _ServiceLine] = {}
        self._virtual_s = 0.0
        self._waiting_s = {Lane.SHORT: 0.0, Lane.LONG: 0.0}
        self._n_waiting = {Lane.SHORT: 0, Lane.LONG: 0}
        self._peak = 0.0
        self._peak_at = 0.0

    @property
    def n_waiting(self) -> int:
        """How many tickets wait."""
        return sum(self._n_waiting.values())

    @property
    def n_long_places(self) -> int:
        """How many places long work may take at once.

        Always a share, and what short work has not needed of late.
        """
        kept = math.ceil(self._short_peak() * SHORT_HEADROOM) + 1
        return max(1, int(self.n_places * LONG_SHARE), self.n_places - kept)

    def _short_peak(self) -> float:
        """Return how many places short work took at its recent most."""
        n_short = self.n_running - self.n_running_long
        now = trio.current_time()
        faded = self._peak * math.exp((self._peak_at - now) / PEAK_FADES_S)
        if n_short >= faded:
            self._peak = n_short
            self._peak_at = now
        return max(n_short, faded)

    def expect_wait_s(self, lane: Lane, service: ServiceId, weight: int) -> float:
        """Return how long a new ticket of a service would wait, in seconds."""
        if self._has_free_place(lane):
            return 0.0
        n_places = self.n_places
        if lane is Lane.LONG:
            n_places = self.n_long_places
        line = self._lines.get((lane, service))
        own_s = line.waiting_s if line else 0.0
        share = weight / self._sum_weights(lane, service, weight)
        fair_wait_s = own_s / (n_places * share)
        return min(fair_wait_s, self._waiting_s[lane] / n_places)

    def _sum_weights(self, lane: Lane, service: ServiceId, weight: int) -> int:
        total = weight
        for (line_lane, name), line in self._lines.items():
            if line_lane is lane and name != service and line.tickets:
                total += line.tickets[0].weight
        return total

    def _has_free_place(self, lane: Lane) -> bool:
        if self.n_running >= self.n_places:
            return False
        return lane is Lane.SHORT or self.n_running_long < self.n_long_places

    def admit(self, ticket: Ticket) -> None:
        """Take a ticket in, or refuse it at once where it could not be in time.

        The expected wait may take a share of the slack only: the estimate errs, and
        work that ends late has wasted its place.

        :raises RequestFailure: with the time after which a retry is worth while.
        """
        now = trio.current_time()
        wait_s = self.expect_wait_s(ticket.lane, ticket.service, ticket.weight)
        slack_s = ticket.deadline - now - ticket.cost_s
        late_s = wait_s - WAIT_SHARE * slack_s
        if late_s > 0 and wait_s > 0:
            raise RequestFailure(
                ErrorKind.OVERLOADED,
                f"the wait would be {wait_s:.2f} s, past the deadline",
                max(MIN_RETRY_AFTER_S, late_s),
            )
        key = (ticket.lane, ticket.service)
        line = self._lines.setdefault(key, _ServiceLine())
        if not line.tickets:
            line.virtual_s = max(line.virtual_s, self._virtual_s)
        line.tickets.append(ticket)
        line.waiting_s += ticket.cost_s
        self._waiting_s[ticket.lane] += ticket.cost_s
        self._n_waiting[ticket.lane] += 1
        self._grant()

    def release(self, ticket: Ticket) -> None:
        """Give a place back, or withdraw a ticket that still waits."""
        if ticket.holds_place:
            ticket.holds_place = False
            self.n_running -= 1
            self.n_running_long -= ticket.lane is Lane.LONG
        else:
            self._withdraw(ticket)
        self._grant()

    def move_to_long(self, ticket: Ticket) -> None:
        """Count running work as long once it has run for long."""
        if ticket.holds_place and ticket.lane is Lane.SHORT:
            ticket.lane = Lane.LONG
            self.n_running_long += 1

    def resize(self, n_places: int) -> None:
        """Change the number of places."""
        self.n_places = n_places
        self._grant()

    def _withdraw(self, ticket: Ticket) -> None:
        line = self._lines.get((ticket.lane, ticket.service))
        if line is None:
            return
        if ticket in line.tickets:
            line.tickets.remove(ticket)
            self._forget_waiting(line, ticket)

    def _forget_waiting(self, line: _ServiceLine, ticket: Ticket) -> None:
        line.waiting_s -= ticket.cost_s
        self._waiting_s[ticket.lane] -= ticket.cost_s
        self._n_waiting[ticket.lane] -= 1

    def _grant(self) -> None:
        while True:
            ticket = self._take_next()
            if ticket is None:
                return
            ticket.granted.set()

    def _take_next(self) -> Ticket | None:
        for lane in (Lane.LONG, Lane.SHORT):
            if self._n_waiting[lane] and self._has_free_place(lane):
                ticket = self._take_from(lane)
                if ticket is not None:
                    return ticket
        return None

    def _take_from(self, lane: Lane) -> Ticket | None:
        lines = [
            line
            for (line_lane, _), line in self._lines.items()
            if line_lane is lane and line.tickets
        ]
        if not lines:
            return None
        line = min(lines, key=lambda item: item.virtual_s)
        ticket = line.tickets.popleft()
        self._forget_waiting(line, ticket)
        self._virtual_s = line.virtual_s
        line.virtual_s += ticket.cost_s / ticket.weight
        if self._is_too_late(ticket):
            ticket.refused = True
            ticket.granted.set()
            return self._take_from(lane)
        ticket.holds_place = True
        self.n_running += 1
        self.n_running_long += lane is Lane.LONG
        if lane is Lane.SHORT:
            self._short_peak()
        return ticket

    @staticmethod
    def _is_too_late(ticket: Ticket) -> bool:
        needed_s = COST_MARGIN * ticket.cost_s
        return trio.current_time() + needed_s > ticket.deadline
