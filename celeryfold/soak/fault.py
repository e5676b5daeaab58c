"""The base class of the faults of a soak."""

from __future__ import annotations

__all__ = ["MAX_FAULT_S", "MAX_LATE_S", "MIN_LATE_S", "Fault"]

import random
from abc import ABC, abstractmethod

import trio

from ..kernel.ids import UpstreamId
from .deployment import SoakDeployment
from .forwarder import Forwarder

# The longest pause of a host that the documentation allows for, and longer than a
# lease.
MAX_FAULT_S = 4.0
# Seconds after which a call that was left unanswered is carried out.
MIN_LATE_S = 2.0
MAX_LATE_S = 12.0


class Fault(ABC):
    """A fault that is injected into a deployment once and ends by itself."""

    def __init__(self, deployment: SoakDeployment, rng: random.Random) -> None:
        self.deployment = deployment
        self.rng = rng
        self.store = deployment.standin.store
        self.replicas = deployment.standin.replicas

    @abstractmethod
    async def inject(self) -> None:
        """Cause the fault, wait, and undo the fault."""

    def choose_duration_s(self) -> float:
        """Return a random duration of the fault, in seconds."""
        return self.rng.uniform(0.2, MAX_FAULT_S)

    def choose_late_s(self) -> float:
        """Return after how many seconds an unanswered call is carried out."""
        return self.rng.uniform(MIN_LATE_S, MAX_LATE_S)

    def choose_database(self) -> UpstreamId:
        """Return a random database that is not lost for good."""
        lost = self.deployment.lost_databases
        return self.rng.choice(sorted(set(self.replicas.databases) - lost))

    def choose_forwarder(self) -> Forwarder:
        """Return a random forwarder."""
        return self.rng.choice(self.deployment.list_forwarders())

    def find_running_primary(self) -> UpstreamId | None:
        """Return the primary, or None if there is none or it is not running."""
        leader = self.replicas.find_leader()
        if leader is None or not leader.is_alive:
            return None
        return leader.upstream.upstream_id

    async def stop_for(
        self, upstream_id: UpstreamId, seconds: float | None = None
    ) -> None:
        """Stop a database for a time, by default a random one.

        Its host is reachable or not.
        """
        self.replicas.crash(upstream_id, is_silent=self.rng.random() < 0.5)
        await trio.sleep(self.choose_duration_s() if seconds is None else seconds)
        self.deployment.restart_database(upstream_id)
