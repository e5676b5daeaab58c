"""Faults that change who receives: late statements, returns, arrivals, departures.

No fault takes more copies than one synchronous replica allows for. Each acknowledged
commit is on the primary and on one replica, so databases that are away for a time come
back with their logs, and one log is lost at a time; see
:meth:`SoakDeployment.may_lose_log`.
"""

from __future__ import annotations

__all__ = ["MEMBERSHIP_FAULTS", "MembershipFault"]

from abc import abstractmethod
from collections.abc import Awaitable, Callable, Iterable

import msgspec
import trio

from ..kernel.ids import UpstreamId
from ..proxy.statements import Demote, Pause, Resume
from ..proxy.upstream import UpstreamRole
from ..standins.database import Database
from .fault import Fault

# The share of faults that begin although a database is away already.
OVERLAPPING_SHARE = 0.05
# Without a commit for this time the service is disturbed.
CALM_S = 0.5
# Long enough for an attempt to begin in most runs, and to end in some.
MIN_AWAY_S = 0.8
MAX_AWAY_S = 5.0
# A database registers within this time of its start.
MAX_LISTING_DELAY_S = 4.0
# Longer than an entry lives and a guardian needs to drop its upstream.
MIN_UNLISTED_S = 2.0
MAX_UNLISTED_S = 6.0
# Time for clients to commit with a single replica.
COMMIT_S = 0.7
MAX_DATABASES = 5
# An attempt begins within this time.
MAX_ATTEMPT_DELAY_S = 5.0
POLL_S = 0.02
MAX_RETURN_DELAY_S = 0.5
MAX_LATE_PROMOTIONS = 8
MAX_LATE_STATEMENTS = 3


class MembershipFault(Fault):
    """A fault that mostly begins while commits succeed and nothing else is disturbed.

    While several databases are away, a guardian promotes none and waits.
    """

    async def inject(self) -> None:
        """Cause the fault, wait, and undo it; mostly do nothing amid other faults."""
        if not self._is_calm() and self.rng.random() >= OVERLAPPING_SHARE:
            return
        self.deployment.n_membership_faults += 1
        try:
            await self.change_members()
        finally:
            self.deployment.n_membership_faults -= 1

    @abstractmethod
    async def change_members(self) -> None:
        """Cause the fault, wait, and undo it."""

    def _is_calm(self) -> bool:
        acknowledged = self.replicas.acknowledged
        if not acknowledged or trio.current_time() - acknowledged[-1][0] > CALM_S:
            return False
        if self.deployment.n_membership_faults or self.deployment.find_holder() is None:
            return False
        forwarders = self.deployment.databases.values()
        databases = self.replicas.databases.items()
        are_running = all(
            database.is_alive or name in self.deployment.lost_databases
            for name, database in databases
        )
        return are_running and not any(f.is_disturbed for f in forwarders)

    async def take_primary_away(self) -> None:
        """Stop the primary, or cut it off from all instances, for a time."""
        seconds = self.rng.uniform(MIN_AWAY_S, MAX_AWAY_S)
        name = self.find_running_primary()
        if name is None:
            return
        if self.rng.random() < 0.6:
            await self.stop_for(name, seconds)
            return
        forwarder = self.deployment.databases[name]
        forwarder.cuts_to_target = forwarder.cuts_from_target = True
        await trio.sleep(seconds)
        forwarder.heal()

    async def interrupt_attempt(
        self, change: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        """Take the primary away until a promotion is called; calls are late.

        :param change: called when the attempt has begun, shortly before the primary is
            back.
        """
        if self.find_running_primary() is None:
            return
        n_late = self.rng.randrange(1, MAX_LATE_PROMOTIONS + 1)
        self.replicas.promotion_lateness_s += [
            self.choose_late_s() for _ in range(n_late)
        ]
        n_calls = self.replicas.n_promotion_calls
        away = trio.CancelScope()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stay_away, away)
            with trio.move_on_after(MAX_ATTEMPT_DELAY_S):
                while self.replicas.n_promotion_calls == n_calls:
                    await trio.sleep(POLL_S)
                self.deployment.record("promotion called, primary returns soon")
            if change is not None:
                nursery.start_soon(change)
            await trio.sleep(self.rng.uniform(0.0, MAX_RETURN_DELAY_S))
            away.cancel()
        await trio.sleep(self.choose_duration_s())

    async def _stay_away(self, away: trio.CancelScope) -> None:
        name = self.find_running_primary()
        if name is None:
            return
        forwarder = self.deployment.databases[name]
        is_stopped = self.rng.random() < 0.5
        if is_stopped:
            self.replicas.crash(name, is_silent=self.rng.random() < 0.5)
        else:
            forwarder.cuts_to_target = forwarder.cuts_from_target = True
        with away:
            await trio.sleep_forever()
        if is_stopped:
            self.deployment.restart_database(name)
        else:
            forwarder.heal()

    def cut_replication_of_others(self, upstream_id: UpstreamId) -> list[Database]:
        """Let no database but one receive; return the others."""
        databases = self.replicas.databases.items()
        others = [database for name, database in databases if name != upstream_id]
        for database in others:
            database.is_replication_cut = True
        return others

    def restore_replication(self, databases: Iterable[Database]) -> None:
        """Let databases receive again."""
        for database in databases:
            database.is_replication_cut = False
        self.replicas.ship_log()

    def choose_replica(self) -> UpstreamId | None:
        """Return a random replica that is running, or None."""
        names = [
            name
            for name, database in sorted(self.replicas.databases.items())
            if database.is_alive and database.role is UpstreamRole.REPLICA
        ]
        return self.rng.choice(names) if names else None

    def choose_listing_delay_s(self) -> float:
        """Return after how many seconds a database is listed, 0 for at once."""
        if self.rng.random() < 0.5:
            return 0.0
        return self.rng.uniform(0.0, MAX_LISTING_DELAY_S)

    async def list_later(self, upstream_id: UpstreamId, seconds: float) -> None:
        """List a database after a time."""
        await trio.sleep(seconds)
        self.replicas.unlisted.discard(upstream_id)

    async def start_renamed(self, upstream_id: UpstreamId) -> None:
        """Start a database again under a new id, listed at once or later."""
        if upstream_id not in self.replicas.databases:
            return
        new_id, delay_s = self.deployment.make_id(), self.choose_listing_delay_s()
        self.replicas.unlisted.add(new_id)
        self.deployment.rename_database(upstream_id, new_id)
        self.deployment.record(f"{upstream_id} is {new_id}, listed {delay_s:.1f} s on")
        await self.list_later(new_id, delay_s)

    async def join(self) -> None:
        """Let a replica join, listed at once or later."""
        copied = self.choose_database() if self.rng.random() < 0.5 else None
        new_id, delay_s = self.deployment.make_id(), self.choose_listing_delay_s()
        self.replicas.unlisted.add(new_id)
        await self.deployment.add_database(new_id, copied)
        self.deployment.record(f"{new_id} joins, listed {delay_s:.1f} s on")
        await self.list_later(new_id, delay_s)


class _LateStatement(MembershipFault):
    """Leaves control statements unanswered while the primary leaves or is away."""

    async def change_members(self) -> None:
        kind = self.rng.choice([Pause, Resume, Demote])
        lateness_s = self.replicas.statement_lateness.setdefault(kind, [])
        n_late = self.rng.randrange(1, MAX_LATE_STATEMENTS + 1)
        lateness_s += [self.choose_late_s() for _ in range(n_late)]
        name = self.find_running_primary()
        if kind is not Demote:
            if self.rng.random() < 0.5:
                await self.interrupt_attempt()
            else:
                await self.take_primary_away()
        elif name is not None:
            await self._let_leave(name, self.choose_duration_s())

    async def _let_leave(self, upstream_id: UpstreamId, seconds: float) -> None:
        database = self.replicas.databases[upstream_id]
        for is_leaving in (True, False):
            database.upstream = msgspec.structs.replace(
                database.upstream, is_leaving=is_leaving
            )
            await trio.sleep(seconds)


class _ReturnRenamed(MembershipFault):
    """Crashes a database, which comes back under a new id at its address."""

    async def change_members(self) -> None:
        name = self.choose_database()
        self.replicas.crash(name, is_silent=self.rng.random() < 0.5)
        await trio.sleep(self.choose_duration_s())
        await self.start_renamed(name)


class _Join(MembershipFault):
    """Lets a replica join, and one leave for good if there are many."""

    async def change_members(self) -> None:
        await self.join()
        await trio.sleep(self.choose_duration_s())
        name = self.choose_replica()
        if len(self.replicas.databases) <= MAX_DATABASES or name is None:
            return
        if self.deployment.may_lose_log(name):
            self.deployment.remove_database(name)
            self.deployment.record(f"{name} leaves for good")


class _Reborn(MembershipFault):
    """Crashes a database, which comes back under its id without its log.

    In some runs it was the only replica that received, and the primary is away when it
    comes back.
    """

    async def change_members(self) -> None:
        name = self.choose_database()
        if name == self.find_running_primary() or self.rng.random() < 0.5:
            await self._come_back_empty(name, self.choose_duration_s())
            return
        async with trio.open_nursery() as nursery:
            others = self.cut_replication_of_others(name)
            await trio.sleep(COMMIT_S)
            seconds = self.rng.uniform(0.2, MIN_AWAY_S)
            nursery.start_soon(self._come_back_empty, name, seconds)
            await self.take_primary_away()
            self.restore_replication(others)

    async def _come_back_empty(self, name: UpstreamId, seconds: float) -> None:
        self.replicas.crash(name, is_silent=self.rng.random() < 0.5)
        await trio.sleep(seconds)
        if self.deployment.may_lose_log(name):
            self.deployment.empty_database(name)
            self.deployment.record(f"{name} is reborn")
        else:
            self.deployment.restart_database(name)


class _Unlisted(MembershipFault):
    """Cuts a replica off from the store, or lets it come back before it is listed.

    In some runs it then is the only replica that receives, and the primary is away.
    """

    async def change_members(self) -> None:
        name = self.choose_replica()
        if name is None:
            return
        self.replicas.unlisted.add(name)
        unlisted_s = self.rng.uniform(MIN_UNLISTED_S, MAX_UNLISTED_S)
        if self.rng.random() < 0.5:
            await self.stop_for(name, unlisted_s)
        else:
            await trio.sleep(unlisted_s)
        if self.rng.random() < 0.7:
            await self._take_others_away(name)
        self.replicas.unlisted.discard(name)

    async def _take_others_away(self, name: UpstreamId) -> None:
        others = self.cut_replication_of_others(name)
        await trio.sleep(COMMIT_S)
        await self.take_primary_away()
        self.restore_replication(others)


class _CutHolderFromReplica(MembershipFault):
    """Cuts the holder of the duty off from a replica while the primary is away."""

    async def change_members(self) -> None:
        holder, name = self.deployment.find_holder(), self.choose_replica()
        if holder is None or name is None:
            return
        address = self.replicas.databases[name].upstream.address
        self.replicas.cut(holder, name)
        await trio.sleep(self.choose_duration_s())
        if self.rng.random() < 0.5:
            await self.take_primary_away()
        self.replicas.heal_cut(holder, address)


class _JoinDuringFailover(MembershipFault):
    """Lets a replica join or restart between an attempt's begin and its promotion.

    The promotion calls are late, and the primary is back meanwhile.
    """

    async def change_members(self) -> None:
        await self.interrupt_attempt(self._let_member_receive)

    async def _let_member_receive(self) -> None:
        name = self.choose_replica()
        chance = self.rng.random()
        if name is None or (
            chance < 0.4 and len(self.replicas.databases) < MAX_DATABASES
        ):
            await self.join()
            return
        self.replicas.crash(name)
        await trio.sleep(self.rng.uniform(0.0, MAX_RETURN_DELAY_S))
        if chance < 0.7:
            await self.start_renamed(name)
        else:
            self.deployment.restart_database(name)


MEMBERSHIP_FAULTS: dict[str, type[MembershipFault]] = {
    "late-statement": _LateStatement,
    "return-renamed": _ReturnRenamed,
    "join": _Join,
    "reborn": _Reborn,
    "unlisted": _Unlisted,
    "cut-holder-from-replica": _CutHolderFromReplica,
    "join-during-failover": _JoinDuringFailover,
}
