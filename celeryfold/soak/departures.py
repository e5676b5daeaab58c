"""The times in which a replica was registered as leaving and need not be used."""

from __future__ import annotations

__all__ = ["Departures"]

import math
from collections.abc import Iterable, Mapping

import msgspec
import trio

from ..kernel.ids import RequestId, UpstreamId
from ..proxy.upstream import UpstreamRole
from ..standins.database import StatementRun
from .deployment import SoakDeployment
from .disturbances import Disturbances
from .history import SentStatement

POLL_S = 0.05
# The time from an acknowledged registration until no undisturbed instance sends to it.
LEAVE_S = 5.0
# Reads go on at a leaving replica if the others lag further behind than this.
MAX_LAG_S = 0.2


class Departures:
    """Records since when each replica has been leaving while all others were healthy.

    A time in which another database was down, cut off or far behind does not count,
    since reads may need the leaving one then.
    """

    def __init__(self, disturbances: Disturbances) -> None:
        self._disturbances = disturbances
        self._since: dict[UpstreamId, float] = {}
        self._intervals: list[tuple[UpstreamId, float, float]] = []

    async def watch(self, deployment: SoakDeployment) -> None:
        """Record departures until cancelled."""
        while True:
            self.record(_list_leaving(deployment), trio.current_time())
            await trio.sleep(POLL_S)

    def record(self, leaving: Iterable[UpstreamId], now: float) -> None:
        """Record which replicas are leaving now while the others are healthy."""
        current = set(leaving)
        for name in current:
            self._since.setdefault(name, now)
        for name in self._since.keys() - current:
            self._intervals.append((name, self._since.pop(name), now))

    def find_violations(
        self, runs: Iterable[StatementRun], sent: Mapping[RequestId, SentStatement]
    ) -> list[str]:
        """Return the statements that ran too late at a leaving replica.

        Those that were sent before the bound, and those of a transaction that was begun
        before it, may run there.
        """
        intervals = [*self._intervals]
        intervals += [(name, since, math.inf) for name, since in self._since.items()]
        violations = []
        for run in runs:
            statement = sent.get(run.request_id)
            if statement is None:
                continue
            started_at = statement.begun_at or statement.sent_at
            for name, since, until in intervals:
                deadline = self._disturbances.find_deadline(
                    statement.port, since, LEAVE_S
                )
                if run.upstream == name and deadline < started_at < run.at < until:
                    late_s = run.at - since
                    text = f"{run.request_id} ran at {name} {late_s:.1f} s after"
                    violations.append(f"DRAIN: {text} it registered as leaving")
        return violations


def _list_leaving(deployment: SoakDeployment) -> list[UpstreamId]:
    """Return the replicas registered as leaving.

    Returns none if a database is unhealthy, or if all are leaving.
    """
    store, replicas = deployment.standin.store, deployment.standin.replicas
    databases = replicas.databases
    is_healthy = all(
        d.is_alive and not d.is_replication_cut and d.lag_s <= MAX_LAG_S
        for d in databases.values()
    )
    is_cut = any(f.is_disturbed for f in deployment.databases.values())
    if not is_healthy or is_cut or replicas.has_cuts:
        return []
    registered = {}
    for name in databases:
        item = store.items.get(f"servers/{name}")
        if item is not None:
            registered[name] = msgspec.json.decode(item.value)["state"]
    leaving = [name for name, state in registered.items() if state == "draining"]
    if len(registered) < len(databases) or len(leaving) == len(databases):
        return []
    return [n for n in leaving if databases[n].role is UpstreamRole.REPLICA]
