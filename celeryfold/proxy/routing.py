"""Selection of the upstream that runs a statement."""

from __future__ import annotations

__all__ = ["Router", "estimate_queue_time_s"]

from collections.abc import Collection, Mapping

from ..kernel.ids import PlaceId, RegionId, ServiceId, UpstreamId
from .clock import Clock
from .directory import Directory
from .executor_registry import ExecutorRegistry
from .executors import Executor
from .positions import LogPosition
from .samples import SampleHistory
from .upstream import Upstream

# Assumed round-trip times: within a data centre, within a region, between regions.
SAME_PLACE_S = 0.001
SAME_REGION_S = 0.002
OTHER_REGION_S = 0.060
# Cost of a replica that refuses a read for replication lag, and of the retry.
LAGGING_COST_S = 0.050
# An upstream that timed out is avoided for this long if others are available.
SILENT_PENALTY_S = 2.0
# Cost of a failed statement: a retry, which may fail as well.
FAILED_COST_S = 0.5
# A draining primary still gets statements for this long; after it, a successor leads.
LEAVING_PRIMARY_GRACE_S = 4.0


def estimate_queue_time_s(executor: Executor) -> float:
    """Estimate the time of a statement at an upstream under its load, in seconds.

    The estimate is the recent mean service time, raised by the load: the statements
    that run or wait, per slot of the upstream. Where homes report their load, it is the
    mean of this and of the times by their reports, which also come with refusals. The
    newest reports alone would be too unsteady: instances that choose the upstream with
    the shortest time by delayed reports move to it together.
    """
    load = executor.n_in_use / max(executor.upstream.n_slots, 1)
    estimated_s = executor.service_time_s * (1.0 + load)
    reported_s = executor.reported_time_s
    if reported_s is None:
        return estimated_s
    return (estimated_s + reported_s) / 2.0


class Router:
    """Ranks upstreams by distance, load, replication lag and failure rate.

    :param place: the data centre of this instance.
    :param regions: the region of each data centre.
    """

    def __init__(
        self,
        place: PlaceId,
        regions: Mapping[PlaceId, RegionId],
        directory: Directory,
        executors: ExecutorRegistry,
        samples: SampleHistory,
        clock: Clock,
    ) -> None:
        self._place = place
        self._regions = regions
        self._directory = directory
        self._executors = executors
        self._samples = samples
        self._clock = clock

    def find_leader(self, service: ServiceId) -> Executor | None:
        """Return the executor of a service's primary, or None if none is usable.

        Statements for a primary that this instance cannot reach are sent through the
        other homes of the primary, if there are any.
        """
        leader = self._samples.find_leader(service)
        if leader is None:
            return None
        upstream = self._directory.find(leader)
        if upstream is None or upstream.service != service:
            return None
        draining_s = self._directory.find_leaving_s(leader)
        if draining_s is not None and draining_s > LEAVING_PRIMARY_GRACE_S:
            return None
        executor = self._executors.find(leader)
        if executor is not None and executor.is_unreachable:
            return self._executors.find_fallback(leader) or executor
        return executor

    def find_reader(
        self,
        service: ServiceId,
        min_position: LogPosition,
        excluded: Collection[UpstreamId] = (),
    ) -> Executor | None:
        """Return the executor with the lowest estimated cost for a read.

        :param min_position: the log position that the read must see.
        :param excluded: upstreams that have been tried already.
        :returns: None if no upstream of the service is available.
        """
        best: Executor | None = None
        best_cost_s = 0.0
        for upstream in self._directory.list_service(service):
            if upstream.is_leaving or upstream.upstream_id in excluded:
                continue
            executor = self._executors.find(upstream.upstream_id)
            if executor is None or not executor.is_available():
                continue
            cost_s = self._estimate_cost_s(upstream, executor, min_position)
            if best is None or cost_s < best_cost_s:
                best = executor
                best_cost_s = cost_s
        return best

    def _estimate_cost_s(
        self, upstream: Upstream, executor: Executor, min_position: LogPosition
    ) -> float:
        cost_s = self.estimate_distance_s(upstream.place) + estimate_queue_time_s(
            executor
        )
        if executor.position is None or executor.position < min_position:
            cost_s += LAGGING_COST_S
        cost_s += executor.failures.value * FAILED_COST_S
        if self._clock() - executor.last_silence_at < SILENT_PENALTY_S:
            cost_s += SILENT_PENALTY_S
        return cost_s

    def estimate_distance_s(self, place: PlaceId) -> float:
        """Estimate the round-trip time to a data centre, in seconds."""
        if place == self._place:
            return SAME_PLACE_S
        if self._regions.get(place) == self._regions.get(self._place):
            return SAME_REGION_S
        return OTHER_REGION_S
