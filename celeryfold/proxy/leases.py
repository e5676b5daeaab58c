"""The lease of this instance in the store, and the duties bound to it."""

from __future__ import annotations

__all__ = ["ERA_KEY", "Duty", "DutyLost", "EraTooRecent", "LeaseManager"]

import logging
import math
import secrets

import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId, LeaseId
from .clock import Clock
from .store import (
    CoordinationStore,
    Expectation,
    Item,
    ItemWrite,
    LeaseLost,
    StoreConflict,
    StoreUnavailable,
)

log = logging.getLogger(__name__)

# A dead holder is replaced after this time. The lease is renewed three times as often,
# so that one lost answer does not let it expire.
LEASE_TTL_S = 2.4
RENEW_INTERVAL_S = 0.8
# The store key that names the era in which all leases of earlier ones have expired.
ERA_KEY = "celeryfold/era"


class DutyLost(CeleryfoldError):
    """This instance does not hold the duty, or may no longer hold it."""


class EraTooRecent(DutyLost):
    """The era of the store began too recently: leases of an earlier one may run."""


class LeaseManager:
    """Keeps one lease alive while any duty is held.

    A store that was restored from an older copy may no longer have leases that still
    run at their holders, and may have keys of earlier holders again. Instances
    therefore wait for one time to live before they take a lease in a new era, and then
    record the era in the store: those that start later need not wait. An instance that
    has not seen an earlier era waits for two, since it knows nothing of the replicas
    that the restored records lack; others take the vacant duties before it.
    """

    def __init__(self, store: CoordinationStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lease_id: LeaseId | None = None
        self._lease_era = 0
        self._expires_at = -math.inf
        self._acquire_lock = trio.Lock()
        # The era in which no lease of an earlier era runs any more.
        self._confirmed_era = 0
        # The era of the answer when the recorded era was last read.
        self._recorded_era_read_in = 0
        self.n_duties = 0

    @property
    def is_active(self) -> bool:
        """Whether the lease has certainly not expired."""
        if self._lease_id is None or self._lease_era != self._store.era:
            return False
        return self._clock() < self._expires_at

    def is_current(self, lease_id: LeaseId | None) -> bool:
        """Return whether a lease is the current one and has certainly not expired."""
        return self.is_active and lease_id == self._lease_id

    async def acquire(self) -> LeaseId:
        """Return an active lease; concurrent callers get the same one.

        A lease without duties is not renewed, so it is used only if it outlasts the
        renewal interval.

        :raises StoreUnavailable: if the store grants no lease.
        :raises EraTooRecent: if leases of an earlier era may still run.
        """
        async with self._acquire_lock:
            if self.is_active and (self.n_duties or self._outlasts_renewal_interval()):
                assert self._lease_id is not None
                return self._lease_id
            await self._confirm_era()
            asked_at = self._clock()
            lease = await self._store.grant_lease(LEASE_TTL_S)
            if self._store.era not in (0, self._confirmed_era):
                raise EraTooRecent("the store was restored meanwhile")
            self._lease_era = self._store.era
            self._lease_id = lease.lease_id
            self._expires_at = asked_at + lease.ttl_s
            return lease.lease_id

    @property
    def must_wait(self) -> bool:
        """Whether leases of an earlier era are known to run for some time yet."""
        era = self._store.era
        if era in (0, self._confirmed_era) or self._recorded_era_read_in != era:
            return False
        wait_s = LEASE_TTL_S if self._store.has_seen_restore else 2 * LEASE_TTL_S
        return self._store.era_age_s < wait_s

    async def _confirm_era(self) -> None:
        """Check that leases of earlier eras have expired, and record the era if so.

        :raises EraTooRecent: if they may still run.
        :raises StoreUnavailable: if the store does not answer.
        """
        if self.must_wait:
            raise EraTooRecent("leases of an earlier era may still run")
        if self._store.era and self._store.era == self._confirmed_era:
            return
        item = await self._store.get(ERA_KEY)
        era = self._recorded_era_read_in = self._store.era
        value = str(era).encode()
        if era and (item is None or item.value != value):
            if self.must_wait:
                raise EraTooRecent("leases of an earlier era may still run")
            await self._record_era(item, value)
        self._confirmed_era = era

    async def _record_era(self, existing: Item | None, value: bytes) -> None:
        expected = [Expectation(ERA_KEY, existing.revision if existing else 0)]
        try:
            await self._store.commit(expected, [ItemWrite(ERA_KEY, value)])
        except StoreConflict:
            # Another instance has recorded it.
            return
        log.info("era recorded", extra={"era": self._store.era})

    def _outlasts_renewal_interval(self) -> bool:
        """Return whether the lease lasts until the next renewal."""
        return self._expires_at - self._clock() > RENEW_INTERVAL_S

    async def run(self) -> None:
        """Renew the lease while any duty is held, until cancelled."""
        while True:
            await trio.sleep(RENEW_INTERVAL_S)
            if self._lease_id is not None and self.n_duties:
                await self._renew(self._lease_id)

    async def _renew(self, lease_id: LeaseId) -> None:
        """Renew the lease; its expiry counts from before the call was sent."""
        asked_at = self._clock()
        try:
            await self._store.renew_lease(lease_id)
        except LeaseLost:
            log.warning("lease lost", extra={"lease": lease_id})
            self._lease_id = None
        except StoreUnavailable as error:
            extra = {"lease": lease_id, "reason": str(error)}
            log.warning("lease not renewed", extra=extra)
        else:
            self._expires_at = asked_at + LEASE_TTL_S

    async def end(self) -> None:
        """End the lease, so that others can take the duties without waiting for it."""
        if self._lease_id is None:
            return
        lease_id, self._lease_id = self._lease_id, None
        try:
            await self._store.end_lease(lease_id)
        except StoreUnavailable as error:
            log.warning("lease not ended", extra={"reason": str(error)})


class Duty:
    """A duty, held through a store key that is bound to the lease.

    The revision at which the key was written is the fencing token, which only rises.

    :param key: the store key of the duty.
    :param holder: the id of this instance.
    """

    def __init__(
        self,
        key: str,
        holder: InstanceId,
        store: CoordinationStore,
        lease_manager: LeaseManager,
        clock: Clock,
    ) -> None:
        self.key = key
        self.holder = holder
        self._store = store
        self._lease_manager = lease_manager
        self._clock = clock
        self._token = 0
        self._lease_id: LeaseId | None = None
        self._own_values: set[bytes] = set()

    @property
    def is_held(self) -> bool:
        """Whether the duty is certainly held."""
        return self._token > 0 and self._lease_manager.is_current(self._lease_id)

    @property
    def has_expired(self) -> bool:
        """Whether the duty was taken and its lease may have expired since."""
        return self._token > 0 and not self.is_held

    def require_token(self) -> int:
        """Return the fencing token.

        :raises DutyLost: if the duty may have passed to another holder.
        """
        if not self.is_held:
            raise DutyLost(f"{self.key} is not held, or its lease may have expired")
        return self._token

    def expect(self) -> Expectation:
        """Return the condition that makes a write succeed only while the duty is held.

        A valid lease is not enough: the store may have removed the key.

        :raises DutyLost: if the duty may have passed to another holder.
        """
        return Expectation(self.key, self.require_token())

    async def verify(self) -> None:
        """Check in the store that the key is unchanged; drop the duty if it is not.

        :raises DutyLost: if the key was removed or written again.
        :raises StoreUnavailable: if the store does not answer.
        """
        token = self.require_token()
        item = await self._store.get(self.key)
        if item is None or item.revision != token:
            self.drop("the key was removed or written again")
            raise DutyLost(f"{self.key} was removed or written again")

    def is_from_earlier_process(self, item: Item) -> bool:
        """Return whether a key was written by an earlier process of this instance.

        That process has ended, since an instance runs one process at a time.
        """
        holder = item.value.decode("utf-8", "replace").split(" ")[0]
        return holder == self.holder and item.value not in self._own_values

    @property
    def must_wait(self) -> bool:
        """Whether the duty cannot be taken yet after a restore of the store."""
        return self._lease_manager.must_wait

    async def take(self, existing: Item | None) -> None:
        """Write the key if it is absent or still as given.

        :param existing: the key as an earlier process of this instance left it.
        :raises DutyLost: if the key has changed in the store or the lease has ended.
        :raises StoreUnavailable: if the store does not answer. The key may have been
            written, or may be written later; :meth:`claim_if_own` then finds it.
        """
        await self._write(existing.revision if existing is not None else 0)

    async def _write(self, expected_revision: int) -> None:
        lease = self._lease_id = await self._lease_manager.acquire()
        value = f"{self.holder} {secrets.token_hex(8)}".encode()
        self._own_values.add(value)
        expected = [Expectation(self.key, expected_revision)]
        write = ItemWrite(self.key, value, lease)
        try:
            token = await self._store.commit(expected, [write])
        except StoreConflict as error:
            raise DutyLost(f"{self.key} has changed in the store") from error
        except LeaseLost as error:
            raise DutyLost("the lease of this instance has ended") from error
        self._mark_held(token)

    def claim_if_own(self, item: Item) -> bool:
        """Mark the duty as held if the store's key was written by this process.

        This finds a key whose write got no answer.

        :returns: whether the duty is held.
        """
        is_own = item.value in self._own_values
        if not is_own or not self._lease_manager.is_current(self._lease_id):
            return False
        if not self.is_held:
            self._mark_held(item.revision)
        return True

    def _mark_held(self, token: int) -> None:
        self._token = token
        self._lease_manager.n_duties += 1
        extra = {"key": self.key, "token": token, "holder": self.holder}
        log.info("duty taken", extra=extra)

    def drop(self, reason: str) -> None:
        """Mark the duty as not held and discard its fencing token.

        :param reason: the reason for the log.
        """
        if self._token:
            extra = {"key": self.key, "token": self._token, "reason": reason}
            log.info("duty dropped", extra=extra)
            self._lease_manager.n_duties -= 1
        self._token = 0
        self._own_values.clear()

    async def renew_token(self) -> None:
        """Write the key again for a newer token, so that the old one is refused.

        :raises DutyLost: if the duty was lost meanwhile.
        :raises StoreUnavailable: if the store does not answer; the duty is dropped.
        """
        token = self.require_token()
        self.drop("a newer token is needed")
        await self._write(token)
