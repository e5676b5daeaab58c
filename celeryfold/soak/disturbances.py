"""The times in which an instance could not learn of a new configuration."""

from __future__ import annotations

__all__ = ["Disturbances"]

import trio

from .deployment import SoakDeployment

POLL_S = 0.05
# A later wake-up of the soak means that the host was too busy for any bound.
STALL_S = 0.5
# A call that a disturbance has swallowed times out later: 2.5 s for a watch of the
# store, most of it overlapping the disturbance.
RECOVERY_S = 2.0


class Disturbances:
    """Records when instances were paused, not running or cut off from the store.

    Instances are known by the ports to which clients connect.
    """

    def __init__(self) -> None:
        self._intervals: dict[int, list[tuple[float, float]]] = {}

    async def watch(self, deployment: SoakDeployment) -> None:
        """Record the disturbances of a deployment until cancelled."""
        seen_at = trio.current_time()
        while True:
            await trio.sleep(POLL_S)
            now = trio.current_time()
            is_stalled = now - seen_at > STALL_S
            for instance in deployment.instances:
                if is_stalled or deployment.is_disturbed(instance):
                    self.record(instance.clients.port, seen_at, now)
            seen_at = now

    def record(self, port: int, since: float, until: float) -> None:
        """Record a disturbance, in the order of time."""
        intervals = self._intervals.setdefault(port, [])
        if intervals and since <= intervals[-1][1]:
            since = intervals.pop()[0]
        intervals.append((since, until + RECOVERY_S))

    def find_deadline(self, port: int, at: float, bound_s: float) -> float:
        """Return when an instance has been undisturbed for a time after an event."""
        for since, until in self._intervals.get(port, []):
            if until <= at:
                continue
            free_s = max(since - at, 0.0)
            if free_s >= bound_s:
                break
            bound_s -= free_s
            at = until
        return at + bound_s

    def find_last_deadline(self, at: float, bound_s: float) -> float:
        """Return the latest deadline of all instances."""
        deadlines = [self.find_deadline(p, at, bound_s) for p in self._intervals]
        return max(deadlines, default=at + bound_s)
