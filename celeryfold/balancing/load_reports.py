"""What an ingress instance knows of the load of the homes of one upstream."""

from __future__ import annotations

__all__ = [
    "REPORT_LIFETIME_S",
    "HomeEstimate",
    "HomeLoad",
    "LoadReports",
    "SentStatement",
]

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from ..kernel.ids import InstanceId

# Queues grow and drain within tens of milliseconds, so a report says nothing about the
# queue after this time.
REPORT_LIFETIME_S = 1.0
# The speed of an instance and of its link changes slowly, so what is known of it is
# kept longer. Instances that send one statement a second would know nothing otherwise.
SPEED_LIFETIME_S = 3.0
# Weight of a new reply in the moving average of the excess, which spans about five
# replies: a single long statement changes it little.
EXCESS_WEIGHT = 0.2
# Means of values with lower weights would consist of rounding errors.
MIN_WEIGHT = 1e-6
# Weight of a new report in the mean time of the upstream, as for measured durations.
MEAN_WEIGHT = 0.1


class HomeLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of a home for one upstream.

    :param n_waiting: statements that wait.
    :param n_admitted: statements that the home admits at a time.
    :param service_time_s: mean time for which a statement is admitted, in seconds.
    """

    n_waiting: int
    n_admitted: int
    service_time_s: float

    @property
    def wait_s(self) -> float:
        """Expected wait of a new statement, in seconds."""
        return self.n_waiting * self.wait_per_statement_s

    @property
    def wait_per_statement_s(self) -> float:
        """Wait that one waiting statement causes, in seconds."""
        return self.service_time_s / max(self.n_admitted, 1)


class HomeEstimate(msgspec.Struct, frozen=True):
    """The expected times of a new statement at a home, in seconds.

    :param queue_s: wait for admission in the queue of the home.
    :param excess_s: the part of reply times that the reports of the home do not
        explain.
    :param service_time_s: time from admission to the reply.
    :param distance_s: round trip to the home.
    :param age_s: age of the report of the queue, at most its lifetime.
    """

    queue_s: float
    excess_s: float
    service_time_s: float
    distance_s: float
    age_s: float

    @property
    def wait_s(self) -> float:
        """Expected wait, the excess included."""
        return self.queue_s + self.excess_s

    @property
    def unqueued_s(self) -> float:
        """Expected time until the reply, but for the wait in the queue."""
        return self.excess_s + self.service_time_s + self.distance_s

    @property
    def total_s(self) -> float:
        """Expected time until the reply."""
        return self.queue_s + self.unqueued_s


class SentStatement(msgspec.Struct, frozen=True):
    """A statement that was sent to a home.

    :param sent_at: when it was sent, in seconds of the instance's clock.
    :param expected_wait_s: wait at the home that was expected when it was sent.
    """

    home: InstanceId
    number: int
    sent_at: float
    expected_wait_s: float


@dataclass
class _HomeState:
    """What is known of one home.

    :ivar covers_until: statements sent until then are counted in the report.
    :ivar in_flight: when each statement without a reply was sent, by number.
    """

    load: HomeLoad | None = None
    reported_at: float = -math.inf
    covers_until: float = -math.inf
    excess_s: float = 0.0
    excess_at: float = -math.inf
    in_flight: dict[int, float] = field(default_factory=dict)

    def count_unreported(self) -> int:
        """Return the number of statements in flight that the report does not count."""
        return sum(sent_at > self.covers_until for sent_at in self.in_flight.values())

    def find_longest_s(self, now: float) -> float:
        """Return how long the oldest statement in flight has been without a reply."""
        return now - next(iter(self.in_flight.values()), now)

    def find_excess_s(self, now: float) -> float:
        """Return the average excess, which decays without replies."""
        return self.excess_s * _find_weight(now - self.excess_at, SPEED_LIFETIME_S)


# What is known of a home to which nothing was sent; it is never changed.
NO_LOAD = HomeLoad(n_waiting=0, n_admitted=1, service_time_s=0.0)
NO_STATE = _HomeState()


class LoadReports:
    """The newest load report of each home of one upstream.

    Reports are soft state: one that is lost or stale counts as no information, and the
    home as an average one.
    """

    def __init__(self) -> None:
        self._states: dict[InstanceId, _HomeState] = {}
        self._n_sent = 0
        self._mean_s = 0.0
        self._mean_at = -math.inf

    def record_sent(self, home: InstanceId, now: float) -> SentStatement:
        """Record that a statement is sent; :meth:`record_end` must follow.

        :param now: the current time, in seconds of the instance's clock.
        """
        state = self._states.setdefault(home, _HomeState())
        wait_s = 0.0
        if state.load is not None:
            wait_s = state.load.wait_s * _find_weight(
                now - state.reported_at, REPORT_LIFETIME_S
            )
            wait_s += state.count_unreported() * state.load.wait_per_statement_s
        self._n_sent += 1
        state.in_flight[self._n_sent] = now
        return SentStatement(home, self._n_sent, now, wait_s)

    def record_end(self, sent: SentStatement) -> None:
        """Record that a statement is no longer in flight, with or without a reply."""
        state = self._states.get(sent.home)
        if state is not None:
            state.in_flight.pop(sent.number, None)

    def record_report(
        self, home: InstanceId, load: HomeLoad, now: float, distance_s: float
    ) -> None:
        """Keep a report that has just arrived.

        :param distance_s: round trip to the home. What was sent within this time had
            not arrived when the report was written.
        """
        state = self._states.setdefault(home, _HomeState())
        state.load = load
        state.reported_at = now
        state.covers_until = now - distance_s
        time_s = load.wait_s + load.service_time_s
        mean_s = self.find_mean_s(now)
        if mean_s is None:
            mean_s = time_s
        self._mean_s = mean_s + MEAN_WEIGHT * (time_s - mean_s)
        self._mean_at = now

    def record_reply(
        self, sent: SentStatement, load: HomeLoad, now: float, distance_s: float
    ) -> None:
        """Update the excess: the part of reply times that reports do not explain.

        It is high where the instance or its link is slow. The wait is the longer one of
        those reported before and after the statement. The average is signed, so that
        statements of varying length cancel out.

        :param load: the report in the reply.
        """
        state = self._states.get(sent.home)
        if state is None:
            return
        explained_s = max(sent.expected_wait_s, load.wait_s) + load.service_time_s
        excess_s = now - sent.sent_at - distance_s - explained_s
        if now - state.excess_at > SPEED_LIFETIME_S:
            state.excess_s = 0.0
        state.excess_s += EXCESS_WEIGHT * (excess_s - state.excess_s)
        state.excess_at = now

    def estimate(
        self, distances_s: Mapping[InstanceId, float], now: float
    ) -> dict[InstanceId, HomeEstimate]:
        """Return the expected times at homes, empty if there is no report of any.

        The wait and the service time of a home whose report is stale tend to the mean
        of the others.

        :param distances_s: the round trip to each home of the upstream, in seconds.
        """
        self._drop_unused(distances_s)
        queues = _WeightedMean()
        services = _WeightedMean()
        steps = _WeightedMean()
        for home in distances_s:
            state = self._states.get(home)
            if state is not None and state.load is not None:
                age_s = now - state.reported_at
                speed_weight = _find_weight(age_s, SPEED_LIFETIME_S)
                queues.add(_find_weight(age_s, REPORT_LIFETIME_S), state.load.wait_s)
                services.add(speed_weight, state.load.service_time_s)
                steps.add(speed_weight, state.load.wait_per_statement_s)
        if not services.sum_of_weights:
            return {}
        means = (queues, services, steps)
        return {
            home: self._estimate_one(home, distance_s, now, *means)
            for home, distance_s in distances_s.items()
        }

    def _estimate_one(
        self,
        home: InstanceId,
        distance_s: float,
        now: float,
        queues: _WeightedMean,
        services: _WeightedMean,
        steps: _WeightedMean,
    ) -> HomeEstimate:
        """Return the expected times at one home.

        :param queues: the mean wait at homes.
        :param services: the mean service time at homes.
        :param steps: the mean wait that one statement causes at homes.
        """
        state = self._states.get(home, NO_STATE)
        age_s = now - state.reported_at
        load = state.load or NO_LOAD
        speed_weight = _find_weight(age_s, SPEED_LIFETIME_S)
        queue_s = queues.blend(_find_weight(age_s, REPORT_LIFETIME_S), load.wait_s)
        service_time_s = services.blend(speed_weight, load.service_time_s)
        n_unreported = state.count_unreported()
        if n_unreported:
            step_s = steps.blend(speed_weight, load.wait_per_statement_s)
            queue_s += n_unreported * step_s
        overdue_s = state.find_longest_s(now) - queue_s - service_time_s - distance_s
        return HomeEstimate(
            queue_s=queue_s,
            excess_s=max(state.find_excess_s(now), overdue_s, 0.0),
            service_time_s=service_time_s,
            distance_s=distance_s,
            age_s=min(age_s, REPORT_LIFETIME_S),
        )

    def find_mean_s(self, now: float) -> float | None:
        """Return the recent mean of reported times, None without recent reports."""
        if now - self._mean_at > SPEED_LIFETIME_S:
            return None
        return self._mean_s

    def _drop_unused(self, homes: Mapping[InstanceId, float]) -> None:
        """Drop the state of instances that are not homes any more."""
        if len(self._states) <= len(homes):
            return
        for home, state in list(self._states.items()):
            if home not in homes and not state.in_flight:
                del self._states[home]


def _find_weight(age_s: float, lifetime_s: float) -> float:
    """Return the weight of information, which falls linearly from 1 to 0."""
    weight = 1.0 - age_s / lifetime_s
    return weight if weight > MIN_WEIGHT else 0.0


class _WeightedMean:
    """A mean over the homes of an upstream, weighted by the age of their reports."""

    def __init__(self) -> None:
        self.sum_of_weights = 0.0
        self._sum = 0.0

    def add(self, weight: float, value: float) -> None:
        """Add the value of a home."""
        self.sum_of_weights += weight
        self._sum += weight * value

    def blend(self, weight: float, value: float) -> float:
        """Return the value of a home, replaced by the mean as far as it is stale.

        :param weight: the weight with which the value was added, 0 if it was not.
        """
        weight_of_others = self.sum_of_weights - weight
        if weight_of_others <= 0.0:
            return value if weight > 0.0 else 0.0
        mean_of_others = (self._sum - weight * value) / weight_of_others
        return weight * value + (1.0 - weight) * mean_of_others
