"""A store client whose revisions and leases are those of one history."""

from __future__ import annotations

__all__ = ["OrderedStore"]

import logging
import math
from collections.abc import Awaitable, Sequence
from typing import TypeVar

import msgspec

from ..exceptions import CeleryfoldError
from ..kernel.ids import LeaseId
from ..kernel.metrics import Metrics
from ..kernel.revisions import find_era, find_number, join_revision
from .clock import Clock
from .store import (
    Change,
    Changes,
    CoordinationStore,
    Expectation,
    HistoryLost,
    Item,
    ItemList,
    ItemWrite,
    Lease,
    LeaseLost,
    StoreConflict,
    StoreUnavailable,
)

log = logging.getLogger(__name__)

T = TypeVar("T")


class OrderedStore(CoordinationStore):
    """Orders the answers of a store that may be restored from an older copy.

    Revisions rise over all eras. What refers to an earlier era fails as if the store
    had refused it: a watch with :class:`HistoryLost`, a condition with
    :class:`StoreConflict`, a lease with :class:`LeaseLost`. An answer of an earlier era
    that arrives late counts as no answer.

    :param store: the store as it numbers its revisions itself.
    """

    def __init__(
        self, store: CoordinationStore, clock: Clock, metrics: Metrics
    ) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._era_seen_at = -math.inf
        # The leases granted in the present era.
        self._leases: set[LeaseId] = set()

    @property
    def era_age_s(self) -> float:
        """Seconds since the first answer of the present era."""
        return self._clock() - self._era_seen_at

    async def get(self, key: str) -> Item | None:
        """Return an item, or None if the key is absent."""
        item = await self._call(self._store.get(key))
        return None if item is None else self._order_item(item)

    async def list_items(self, prefix: str) -> ItemList:
        """Return all items below a prefix."""
        listed = await self._call(self._store.list_items(prefix))
        items = tuple(self._order_item(item) for item in listed.items)
        return ItemList(items, join_revision(self.era, listed.as_of))

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes below a prefix after a revision.

        :param wait_s: how long to wait for a first change, in seconds.
        :raises HistoryLost: if the revision is of an earlier era. The store cannot tell
            once its numbers have passed it.
        """
        if find_era(after) == self.era:
            number = find_number(after)
            found = await self._call(self._store.watch(prefix, number, wait_s))
            if find_era(after) == self.era:
                changes = tuple(self._order_change(c) for c in found.changes)
                return Changes(changes, join_revision(self.era, found.as_of))
        raise HistoryLost("the store was restored from an older copy since")

    async def commit(
        self,
        expected: Sequence[Expectation],
        writes: Sequence[ItemWrite] = (),
        deletes: Sequence[str] = (),
    ) -> int:
        """Apply writes and deletes atomically and return the new revision.

        :raises StoreConflict: if an expectation does not hold or is of an earlier era.
        :raises LeaseLost: if the lease of a write has ended or is of an earlier era.
        :raises StoreUnavailable: if no answer was received, or if the store returned
            from an older copy before it applied the commit: its conditions then held by
            numbers that were given out again.
        """
        era = self.era
        for condition in expected:
            if condition.revision and find_era(condition.revision) != era:
                raise StoreConflict(f"{condition.key}: the store was restored since")
        if any(write.lease and write.lease not in self._leases for write in writes):
            raise LeaseLost("the store was restored since its grant")
        numbered = [Expectation(e.key, find_number(e.revision)) for e in expected]
        number = await self._call(self._store.commit(numbered, writes, deletes))
        if era not in (0, self.era):
            raise StoreUnavailable("the store was restored meanwhile")
        return join_revision(self.era, number)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease.

        :param ttl_s: the time to live, in seconds.
        """
        lease = await self._call(self._store.grant_lease(ttl_s))
        self._leases.add(lease.lease_id)
        return lease

    async def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease.

        :raises LeaseLost: if the lease has ended or is of an earlier era, as its number
            may have been given out again.
        """
        if lease in self._leases:
            await self._call(self._store.renew_lease(lease))
        if lease not in self._leases:
            raise LeaseLost("the store was restored since its grant")

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease and remove its keys; one of an earlier era is left to expire."""
        if lease in self._leases:
            await self._call(self._store.end_lease(lease))
            self._leases.discard(lease)

    async def close(self) -> None:
        """Close the connections to the store."""
        await self._store.close()

    async def _call(self, call: Awaitable[T]) -> T:
        """Return the result of a call after its era has been recorded.

        :raises StoreUnavailable: if the answer is of an earlier era.
        """
        try:
            result = await call
        except CeleryfoldError:
            self._record_era(self._store.era)
            raise
        self._record_era(self._store.era)
        return result

    def _record_era(self, era: int) -> None:
        if era < self.era:
            raise StoreUnavailable(f"late answer of era {era}, not {self.era}")
        if era == self.era:
            return
        if self.era:
            self._metrics.count("store.restored")
            extra = {"era": era, "previous": self.era}
            log.warning("store restored from an older copy", extra=extra)
            self.has_seen_restore = True
        self.era = era
        self._era_seen_at = self._clock()
        self._leases.clear()

    def _order_item(self, item: Item) -> Item:
        return msgspec.structs.replace(
            item,
            revision=join_revision(self.era, item.revision),
            created=join_revision(self.era, item.created),
        )

    def _order_change(self, change: Change) -> Change:
        item = None if change.item is None else self._order_item(change.item)
        return Change(change.key, join_revision(self.era, change.revision), item)
