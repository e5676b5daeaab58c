"""The rate coordinator: grants tokens to other instances and keeps its leases."""

from __future__ import annotations

__all__ = ["RateCoordinator"]

from collections.abc import Awaitable, Callable, Iterable

import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import AccountId, Generation, InstanceId
from ..kernel.metrics import Metrics
from ..links import PeerLink
from .fleet import Fleet, Sighting
from .rate_messages import LeaseReply, RenewLease, TakeToken, TokenReply
from .rates import RateLimitBounds
from .roles import LEASE_S, CoordinatorRoles
from .rules import AccountTable
from .token_granting import TokenGranter

# A lease is renewed three times before it ends.
RENEWAL_INTERVAL_S = LEASE_S / 3

ReadAccounts = Callable[[], tuple[AccountTable | None, Generation]]


class RateCoordinator:
    """Grants the tokens of the accounts that this instance coordinates.

    :param list_sightings: returns all known instances, this one included.
    :param read_accounts: returns the accounts and the version of the configuration.
    :param wait_until_changed: waits until the configuration is replaced.
    :param has_others: whether other instances are expected to exist.
    """

    def __init__(
        self,
        instance_id: InstanceId,
        link: PeerLink,
        list_sightings: Callable[[], Iterable[Sighting]],
        read_accounts: ReadAccounts,
        wait_until_changed: Callable[[], Awaitable[None]],
        has_others: bool,
        bounds: RateLimitBounds,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._instance_id = instance_id
        self._link = link
        self._list_sightings = list_sightings
        self._read_accounts = read_accounts
        self._wait_until_changed = wait_until_changed
        self._clock = clock
        self._metrics = metrics
        # How many instances the partners of leases know, by address.
        self._n_known_at: dict[str, int] = {}
        self.fleet = Fleet(clock)
        self.roles = CoordinatorRoles(instance_id, self.fleet, clock, has_others)
        self.granter = TokenGranter(self.roles, bounds, clock)
        link.register_handler(TakeToken, self._take)
        link.register_handler(RenewLease, self._grant_leases)

    async def run(self) -> None:
        """Keep roles, leases and buckets current, until cancelled.

        Without accounts that have a rate, it waits for a new configuration.
        """
        while True:
            if not self.update():
                await self._wait_until_changed()
                continue
            async with trio.open_nursery() as nursery:
                for address, accounts in self.roles.list_renewals().items():
                    nursery.start_soon(self._renew, address, tuple(accounts))
                with trio.move_on_after(RENEWAL_INTERVAL_S):
                    await self._wait_until_changed()

    def update(self) -> bool:
        """Apply the known instances and the configuration.

        :returns: whether any account has a rate.
        """
        table, version = self._read_accounts()
        self.granter.adopt(table.accounts if table is not None else {}, version)
        if self.granter.has_rates:
            self.fleet.update(self._list_sightings())
        self.granter.update()
        return self.granter.has_rates

    async def _renew(self, address: str, accounts: tuple[AccountId, ...]) -> None:
        sent_at = self._clock()
        n_known = self.fleet.n_known
        knows_more = n_known > self._n_known_at.get(address, n_known)
        missing = self.fleet.list_missing() if knows_more else ()
        message = RenewLease(self._instance_id, accounts, False, n_known, missing)
        try:
            reply = await self._link.request(address, message, RENEWAL_INTERVAL_S)
        except CeleryfoldError:
            self._metrics.count("rate.lease_unanswered")
            return
        if isinstance(reply, LeaseReply):
            self._n_known_at[address] = reply.n_known
            self.fleet.merge_missing(reply.missing)
            self.roles.record_leases(address, reply.accounts, sent_at, reply.n_known)

    async def _take(self, message: TakeToken) -> TokenReply:
        return self.take(message)

    def take(self, message: TakeToken) -> TokenReply:
        """Decide on a token for this instance or another one."""
        return self.granter.take(message.account, message.wait_s, message.version)

    async def _grant_leases(self, message: RenewLease) -> LeaseReply:
        if message.is_leaving:
            self.roles.release_leases(message.holder, message.accounts)
            self.fleet.mark_leaving(message.holder)
            self.update()
            return LeaseReply(())
        if not self.granter.has_rates:
            # The holder has a newer configuration.
            self.fleet.update(self._list_sightings())
        self.fleet.merge_missing(message.missing)
        n_known = self.fleet.n_known
        missing = self.fleet.list_missing() if n_known > message.n_known else ()
        accounts = self.roles.grant_leases(message.holder, message.accounts)
        return LeaseReply(accounts, n_known, missing)

    async def leave(self) -> None:
        """Grant nothing from now on, and hand over to the other coordinators."""
        renewals = self.roles.end()
        self.update()
        async with trio.open_nursery() as nursery:
            for address, accounts in renewals.items():
                message = RenewLease(self._instance_id, tuple(accounts), True)
                nursery.start_soon(self._send, address, message)

    async def _send(self, address: str, message: RenewLease) -> None:
        try:
            await self._link.request(address, message, RENEWAL_INTERVAL_S)
        except CeleryfoldError:
            # The lease ends by itself.
            self._metrics.count("rate.lease_unanswered")
