"""Replicas are replaced: their logs leave, move, or come back empty."""

from __future__ import annotations

__all__ = ["REPLACEMENT_FAULTS"]

from collections.abc import Awaitable, Callable

import msgspec
import trio

from ..kernel.ids import UpstreamId
from ..proxy.upstream import UpstreamRole
from .membership_faults import MembershipFault

# A replica serves for this time at least after its report, and for longer at times.
MIN_DRAIN_S = 6.0
MAX_DRAIN_S = 9.0
# From before the report to after the replica has left.
MIN_LOSS_AT_S = -1.0
MAX_LOSS_AT_S = MAX_DRAIN_S + 2.0
MAX_KILL_DELAY_S = 0.5
MAX_JOIN_DELAY_S = 1.0
LOSS_SHARE = 0.5
DEAF_SHARE = 0.3
POLL_S = 0.05


class _Replace(MembershipFault):
    """Replaces a replica, in some runs beside the loss of the primary and of all.

    No commit is lost that no other database has: the replica stays until others hold
    all, and the primary is lost only while one that stays holds all. In some runs the
    others receive nothing for a while.
    """

    async def change_members(self) -> None:
        name = self.choose_replica()
        if name is None:
            return
        loss_at_s = self.rng.uniform(MIN_LOSS_AT_S, MAX_LOSS_AT_S)
        async with trio.open_nursery() as nursery:
            if self.rng.random() < LOSS_SHARE:
                nursery.start_soon(self._lose_primary_and_all, name, loss_at_s)
            if self.rng.random() < DEAF_SHARE:
                nursery.start_soon(self._receive_alone, name)
            await trio.sleep(-MIN_LOSS_AT_S)
            await self._replace(name)

    async def _replace(self, name: UpstreamId) -> None:
        database = self.replicas.databases.get(name)
        if database is None:
            return
        database.upstream = msgspec.structs.replace(database.upstream, is_leaving=True)
        self.deployment.record(f"{name} leaves")
        is_new_first = self.rng.random() < 0.5
        if is_new_first:
            await trio.sleep(self.rng.uniform(0.0, MAX_JOIN_DELAY_S))
            await self.deployment.add_database(self.deployment.make_id(), None)
        await trio.sleep(self.rng.uniform(MIN_DRAIN_S, MAX_DRAIN_S))
        while not self.deployment.may_lose_log(name):
            if not self._is_leaving_replica(name):
                return
            await trio.sleep(POLL_S)
        depart = self._remove if is_new_first else self.rng.choice(self._departures)
        await depart(name)
        # The entry of a database that has left is removed at once.
        if name not in self.replicas.databases:
            self.deployment.standin.delete_entry(name)
        self.deployment.record(f"{name} has left ({depart.__name__.strip('_')})")

    @property
    def _departures(self) -> list[Callable[[UpstreamId], Awaitable[None]]]:
        return [self._return_renamed, self._move, self._return_empty]

    def _is_leaving_replica(self, name: UpstreamId) -> bool:
        database = self.replicas.databases.get(name)
        if database is None or not database.is_alive:
            return False
        is_replica = database.role is UpstreamRole.REPLICA
        return is_replica and database.upstream.is_leaving

    async def _remove(self, name: UpstreamId) -> None:
        self.deployment.remove_database(name)

    async def _return_renamed(self, name: UpstreamId) -> None:
        self.replicas.crash(name)
        self.deployment.rename_database(name, self.deployment.make_id())

    async def _move(self, name: UpstreamId) -> None:
        await self.deployment.add_database(self.deployment.make_id(), name)
        self.deployment.remove_database(name)

    async def _return_empty(self, name: UpstreamId) -> None:
        self.replicas.crash(name)
        self.deployment.empty_database(name)

    async def _receive_alone(self, name: UpstreamId) -> None:
        """Let no database but the one that leaves receive, for a while."""
        await trio.sleep(self.rng.uniform(0.0, MIN_DRAIN_S))
        others = self.cut_replication_of_others(name)
        await trio.sleep(self.choose_duration_s())
        self.restore_replication(others)

    async def _lose_primary_and_all(self, name: UpstreamId, at_s: float) -> None:
        await trio.sleep(at_s - MIN_LOSS_AT_S)
        primary = self.find_running_primary()
        if primary in (None, name) or self.deployment.lost_databases:
            return
        staying = self.replicas.databases.keys() - {primary, name}
        if not any(self.deployment.holds_all(other) for other in staying):
            return
        self.deployment.lose_for_good(primary, is_silent=self.rng.random() < 0.5)
        await trio.sleep(self.rng.uniform(0.0, MAX_KILL_DELAY_S))
        self.deployment.kill_all()


REPLACEMENT_FAULTS: dict[str, type[MembershipFault]] = {"replace": _Replace}
