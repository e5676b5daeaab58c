"""Which share of an account's rate this instance may grant at the moment.

The rate is divided into parts, one for each coordinator of an account. A coordinator
grants its part, or lends it to the first one by a lease. While the first one holds
leases of all others, it grants the whole rate and the others nothing.
"""

from __future__ import annotations

__all__ = [
    "LEASE_S",
    "LENDER_HOLD_S",
    "START_HOLD_S",
    "CoordinatorRoles",
    "RoleRules",
]

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ..kernel.ids import AccountId, InstanceId
from .fleet import (
    FORGOTTEN_AFTER_S,
    MAX_VIEW_LAG_S,
    N_RANKED,
    REPLACED_AFTER_S,
    Fleet,
    Sighting,
)

# Three attempts at renewal. After the loss of the first coordinator, its accounts are
# refused for this time at most.
LEASE_S = 1.2
# An instance grants nothing for this time after its start, a lease and one renewal: it
# learns the other instances meanwhile, and the leases that it granted before have
# expired. All accounts are refused for this time after a restart of all instances.
START_HOLD_S = 1.6
# A started instance takes over from others within this time: it starts to grant leases,
# and one renewal follows.
HANDOVER_S = START_HOLD_S + 1.0
# An instance that has become a further coordinator grants nothing until the first one
# knows it, too, and no longer uses leases of the one that it replaces.
LENDER_HOLD_S = MAX_VIEW_LAG_S + HANDOVER_S


class RoleRules(msgspec.Struct, frozen=True):
    """The rules in force; a test switches single ones off to show that each is needed.

    :param uses_leases: without it, the first coordinator always grants the whole rate,
        and each other one its part.
    :param heeds_others: whether a coordinator heeds how many instances others know.
    :param counts_leases: without it, one lease gives the first coordinator the whole
        rate, however many others there are.
    :param holds_at_start: whether a started instance first waits.
    :param scales_by_reach: whether the rate is scaled by the instances in reach.
    :param waits_as_lender: whether a new coordinator other than the first one waits.
    :param renews_former: whether a first coordinator goes on asking former other ones,
        which may not know yet that they were replaced.
    """

    uses_leases: bool = True
    counts_leases: bool = True
    heeds_others: bool = True
    holds_at_start: bool = True
    scales_by_reach: bool = True
    waits_as_lender: bool = True
    renews_former: bool = True


@dataclass
class _Role:
    """The place of this instance in the ranking of an account.

    :param rank: 0 for the first coordinator.
    :param since: when it got this place, in seconds.
    :param first: the first coordinator.
    :param coordinators: all coordinators of the account, this instance included.
    :param is_confirmed: whether the other coordinators have agreed to this instance's
        being one, or enough time has passed.
    :param joined_at: when the other coordinators were first seen as such, in seconds.
    :param outgoing_until: until when it acts as the first one although another instance
        has come before it; that one takes over with its first lease.
    :param n_known_to_lender: how many instances the last lender knew.
    """

    rank: int
    since: float
    first: InstanceId
    coordinators: tuple[Sighting, ...]
    is_confirmed: bool = False
    outgoing_until: float | None = None
    joined_at: dict[InstanceId, float] = field(default_factory=dict)
    n_known_to_lender: int = 0

    @property
    def n_parts(self) -> int:
        """Number of parts of the rate.

        After a start, this instance may know fewer coordinators than there are.
        """
        return max(len(self.coordinators), min(N_RANKED, self.n_known_to_lender))

    @property
    def lenders(self) -> tuple[Sighting, ...]:
        """The coordinators whose leases this instance asks for."""
        return self.coordinators[1:] if self.rank == 0 else ()

    def set_coordinators(self, ranked: tuple[Sighting, ...], now: float) -> None:
        self.first = ranked[0].instance_id
        self.coordinators = ranked
        ids = [member.instance_id for member in ranked]
        self.joined_at = {name: self.joined_at.get(name, now) for name in ids}


@dataclass
class _Promise:
    holder: InstanceId
    until: float


@dataclass
class CoordinatorRoles:
    """The roles of one instance for all accounts, and the leases that it has.

    :param has_others: whether other instances are expected to exist. Otherwise, this
        one need not meet another one before it grants.
    """

    instance_id: InstanceId
    fleet: Fleet
    clock: Callable[[], float]
    has_others: bool
    rules: RoleRules = RoleRules()
    _roles: dict[AccountId, _Role] = field(default_factory=dict)
    # Until when each lease lasts, by the instance that granted it.
    _leases: dict[AccountId, dict[InstanceId, float]] = field(default_factory=dict)
    _promises: dict[AccountId, _Promise] = field(default_factory=dict)
    # Former lenders may not know yet that they are; they would grant if their lease
    # ended.
    _former_lenders: dict[tuple[AccountId, InstanceId], tuple[Sighting, float]] = field(
        default_factory=dict
    )
    # A first coordinator may not know yet that this instance was replaced.
    _former_firsts: dict[AccountId, tuple[InstanceId, float]] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        self._started_at = self._updated_at = self.clock()

    def update(self, accounts: Iterable[AccountId]) -> None:
        """Determine the roles for all accounts that have a rate."""
        now = self._updated_at = self.clock()
        current = set(accounts)
        for account in current | self._roles.keys():
            self._update_role(account, account in current, now)
        for account, promise in list(self._promises.items()):
            if promise.until < now:
                del self._promises[account]
        for account, leases in list(self._leases.items()):
            self._leases[account] = {n: at for n, at in leases.items() if at >= now}
            if not self._leases[account]:
                del self._leases[account]
        for key, (_, until) in list(self._former_lenders.items()):
            if until < now:
                del self._former_lenders[key]
        for account, (_, until) in list(self._former_firsts.items()):
            if until < now:
                del self._former_firsts[account]

    def _update_role(self, account: AccountId, is_limited: bool, now: float) -> None:
        ranked = self.fleet.rank(account) if is_limited else ()
        ids = [member.instance_id for member in ranked]
        before = self._roles.get(account)
        rank = ids.index(self.instance_id) if self.instance_id in ids else None
        if before is not None:
            is_outgoing = before.rank == 0 and rank is not None and rank > 0
            if is_outgoing and self._is_handing_over(before, now):
                return
            self._remember_partners(account, before, ids, now)
        if rank != 0:
            self._leases.pop(account, None)
        if rank is None:
            self._roles.pop(account, None)
            return
        role = before
        if role is None or (role.rank == 0) != (rank == 0):
            # A coordinator that has granted before goes on in its new place.
            is_confirmed = role is not None and role.is_confirmed
            role = self._roles[account] = _Role(rank, now, ids[0], ranked, is_confirmed)
        role.rank = rank
        role.set_coordinators(ranked, now)
        role.outgoing_until = None
        if now - role.since >= self._find_hold_s(role):
            role.is_confirmed = True

    def _is_handing_over(self, role: _Role, now: float) -> bool:
        if role.outgoing_until is None:
            role.outgoing_until = now + HANDOVER_S
        return now < role.outgoing_until

    def _remember_partners(
        self, account: AccountId, before: _Role, ids: list[InstanceId], now: float
    ) -> None:
        """Keep the other coordinators of an earlier ranking for a while."""
        if before.rank > 0 and (self.instance_id not in ids or ids[0] != before.first):
            until = now + LENDER_HOLD_S
            self._former_firsts[account] = (before.first, until)
        if not self.rules.renews_former:
            return
        for lender in before.lenders:
            if lender.instance_id not in ids:
                key = (account, lender.instance_id)
                self._former_lenders[key] = (lender, now + MAX_VIEW_LAG_S)

    def _find_hold_s(self, role: _Role) -> float:
        """Return for how long a coordinator that no other has confirmed grants nothing.

        An instance that has seen no other since its start may be cut off from all, and
        cannot know how many there are.
        """
        if len(role.coordinators) == 1:
            return FORGOTTEN_AFTER_S if self.has_others else 0.0
        if role.rank == 0:
            return REPLACED_AFTER_S
        return LENDER_HOLD_S if self.rules.waits_as_lender else 0.0

    def find_share(self, account: AccountId) -> float:
        """Return the share of an account's rate that this instance may grant now."""
        now = self.clock()
        role = self._roles.get(account)
        if role is None or self._is_starting(now) or self._has_promised(account, now):
            return 0.0
        # After a pause of the process, the others may have replaced this instance.
        if now - self._updated_at > LEASE_S:
            return 0.0
        reach = self.fleet.reached_share if self.rules.scales_by_reach else 1.0
        if role.rank == 0 and not self.rules.uses_leases:
            return reach
        n_parts = self._count_parts(account, role, now)
        if n_parts == role.n_parts:
            return reach
        n_seen = sum(
            member.instance_id == self.instance_id
            or not self.fleet.is_missing(member.instance_id)
            for member in role.coordinators
        )
        # Coordinators that are missing have ended, or are on the other side of a
        # partition, where they grant at most their parts. Those on this side together
        # grant at most its share.
        return min(n_parts / role.n_parts, reach * min(n_parts / n_seen, 1.0))

    def _count_parts(self, account: AccountId, role: _Role, now: float) -> int:
        """Return how many parts of the rate this instance may grant.

        A new coordinator may still be starting, and grants neither leases nor tokens
        then. The lease of the one that it replaces counts in its place for a while.
        """
        n_own = 1 if role.is_confirmed else 0
        if role.rank > 0:
            return n_own
        leases = self._leases.get(account, {})
        held = {name for name, until in leases.items() if until > now}
        n_held, n_new = 0, 0
        for lender in role.lenders:
            if lender.instance_id in held:
                n_held += 1
            elif now - role.joined_at[lender.instance_id] < HANDOVER_S:
                n_new += 1
        held -= {lender.instance_id for lender in role.lenders}
        n_former = sum((account, name) in self._former_lenders for name in held)
        n_held += min(n_new, n_former)
        if n_held and not self.rules.counts_leases:
            return role.n_parts
        return n_own + n_held

    def _is_starting(self, now: float) -> bool:
        if not self.rules.holds_at_start:
            return False
        return now - self._started_at < START_HOLD_S

    def _has_promised(self, account: AccountId, now: float) -> bool:
        promise = self._promises.get(account)
        return promise is not None and promise.until > now

    def is_partial(self, account: AccountId) -> bool:
        """Return whether another coordinator may grant tokens besides this one."""
        role = self._roles.get(account)
        if role is None:
            return True
        return self._count_parts(account, role, self.clock()) < role.n_parts

    def list_renewals(self) -> dict[str, list[AccountId]]:
        """Return the accounts for which a lease is due, by the address to ask."""
        due: dict[str, list[AccountId]] = {}
        if not self.rules.uses_leases or self._is_starting(self.clock()):
            return due
        for account, role in self._roles.items():
            for lender in role.lenders:
                due.setdefault(lender.address, []).append(account)
        for (account, _), (former, _) in self._former_lenders.items():
            accounts = due.setdefault(former.address, [])
            if account not in accounts:
                accounts.append(account)
        return due

    def record_leases(
        self,
        address: str,
        accounts: Iterable[AccountId],
        sent_at: float,
        n_known: int,
    ) -> None:
        """Record the leases that another instance has granted.

        :param address: the address of that instance.
        :param sent_at: when the request was sent, in seconds.
        :param n_known: the number of instances known to that instance.
        """
        now = self.clock()
        for account in accounts:
            role = self._roles.get(account)
            if role is None or role.rank != 0 or self._has_promised(account, now):
                continue
            if self.rules.heeds_others:
                role.n_known_to_lender = n_known
            leases = self._leases.setdefault(account, {})
            former = [
                m for (of, _), (m, _) in self._former_lenders.items() if of == account
            ]
            for lender in (*role.lenders, *former):
                if lender.address == address:
                    name = lender.instance_id
                    leases[name] = max(leases.get(name, 0.0), sent_at + LEASE_S)
            role.is_confirmed |= self._has_all_leases(role, leases, now)

    def _has_all_leases(
        self, role: _Role, leases: dict[InstanceId, float], now: float
    ) -> bool:
        """Return whether all coordinators that are not missing have granted leases.

        One that has not may be the former first one, and not know it yet.
        """
        names = [lender.instance_id for lender in role.lenders]
        held = [name for name in names if leases.get(name, 0.0) > now]
        missing = [name for name in names if self.fleet.is_missing(name)]
        return bool(held) and set(names) == {*held, *missing}

    def grant_leases(
        self, holder: InstanceId, accounts: Iterable[AccountId]
    ) -> tuple[AccountId, ...]:
        """Grant leases to another instance.

        :returns: the accounts for which it is the first coordinator and this instance
            another one, as far as this instance knows.
        """
        now = self.clock()
        if self._is_starting(now):
            return ()
        return tuple(a for a in accounts if self._grant_lease(holder, a, now))

    def _grant_lease(self, holder: InstanceId, account: AccountId, now: float) -> bool:
        if not self._is_first(holder, account, now):
            return False
        promise = self._promises.get(account)
        if promise is not None and promise.until > now and promise.holder != holder:
            return False
        role = self._roles.get(account)
        if role is not None and role.rank == 0:
            self._hand_over(account, role, holder, now)
        self._promises[account] = _Promise(holder, now + LEASE_S)
        return True

    def _is_first(self, holder: InstanceId, account: AccountId, now: float) -> bool:
        """Return whether an instance is, or just was, first before this one."""
        ranked = [member.instance_id for member in self.fleet.rank(account)]
        if ranked[:1] == [holder] and self.instance_id in ranked:
            # Also if the rate is in a configuration that only the holder has yet.
            return True
        former, until = self._former_firsts.get(account, ("", 0.0))
        return former == holder and until > now

    def _hand_over(
        self, account: AccountId, role: _Role, first: InstanceId, now: float
    ) -> None:
        """Become a lender, at the first lease that the new first one asks for."""
        ranked = self.fleet.rank(account)
        ids = [first, *(member.instance_id for member in ranked)]
        self._remember_partners(account, role, ids, now)
        self._leases.pop(account, None)
        self._roles[account] = _Role(1, now, first, ranked, role.is_confirmed)

    def end(self) -> dict[str, list[AccountId]]:
        """Stop granting, and return the leases to give back, as for renewals."""
        renewals = self.list_renewals()
        self._roles.clear()
        self._leases.clear()
        self._former_lenders.clear()
        self._former_firsts.clear()
        return renewals

    def release_leases(self, holder: InstanceId, accounts: Iterable[AccountId]) -> None:
        """Take back the leases of an instance that is leaving."""
        for account in accounts:
            promise = self._promises.get(account)
            if promise is not None and promise.holder == holder:
                del self._promises[account]
