"""An in-memory coordination store with revisions, leases, watches and faults."""

from __future__ import annotations

__all__ = ["MemoryStore", "StoreCopy"]

from collections import Counter
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import LeaseId
from ..kernel.metrics import Metrics
from ..proxy.ordered_store import OrderedStore
from ..proxy.store import (
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
    StoreRefused,
    StoreUnavailable,
)

T = TypeVar("T")


@dataclass(frozen=True)
class StoreCopy:
    """The data of a store at one moment.

    :param leases: the remaining time of each lease and its time to live, in seconds.
    """

    items: dict[str, Item]
    revision: int
    leases: dict[LeaseId, tuple[float, float]]
    lease_of: dict[str, LeaseId]


class MemoryStore(CoordinationStore):
    """The coordination store in memory, with faults set by attributes.

    :param answer_s: delay of each response, in seconds.
    """

    def __init__(self, answer_s: float = 0.004) -> None:
        self.answer_s = answer_s
        self.is_down = False
        self.is_silent = False
        self.n_answers_to_lose = 0
        self.calls: Counter[str] = Counter()
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.era = 1
        self._history: list[Change] = []
        self._compacted_revision = 0
        self._leases: dict[LeaseId, tuple[float, float]] = {}
        self._lease_of: dict[str, LeaseId] = {}
        self._changed = trio.Event()

    def write(self, key: str, value: bytes, lease: LeaseId | None = None) -> int:
        """Write a key without a precondition, as an operator or an upstream does."""
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created)
        self.items[key] = item
        if lease is not None:
            self._lease_of[key] = lease
        else:
            self._lease_of.pop(key, None)
        self._record_change(Change(key, self.revision, item))
        return self.revision

    def write_if_changed(self, key: str, value: bytes) -> None:
        """Write a key if its value differs, as upstreams do with their entries."""
        known = self.items.get(key)
        if known is None or known.value != value:
            self.write(key, value)

    def connect(self) -> CoordinationStore:
        """Return the store as one instance uses it."""
        connection = _Connection(self)
        return OrderedStore(connection, trio.current_time, Metrics())

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._lease_of.pop(key, None)
            self._record_change(Change(key, self.revision, None))

    def compact(self) -> None:
        """Drop all history; a watch from an earlier revision then fails."""
        self._history = []
        self._compacted_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the data, to which the store can return."""
        self._expire()
        now = trio.current_time()
        leases = {k: (until - now, ttl) for k, (until, ttl) in self._leases.items()}
        return StoreCopy(dict(self.items), self.revision, leases, dict(self._lease_of))

    def restore(self, copy: StoreCopy, own_prefix: str = "") -> None:
        """Return to a copy; what was acknowledged since is lost and the era rises.

        Revisions that were given out since are given out again. Waiting watches are
        cut.

        :param own_prefix: the keys of the system that uses the store, empty for all.
            Operators and upstreams write other keys again as they were.
        """
        before = self.items
        now = trio.current_time()
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.era += 1
        self._leases = {k: (now + left, ttl) for k, (left, ttl) in copy.leases.items()}
        self._lease_of = dict(copy.lease_of)
        self._history = [c for c in self._history if c.revision <= copy.revision]
        self._changed.set()
        self._changed = trio.Event()
        for key in sorted(before.keys() | copy.items.keys()):
            if key.startswith(own_prefix):
                continue
            if key not in before:
                self.delete(key)
            elif key not in self.items or self.items[key].value != before[key].value:
                self.write(key, before[key].value)

    def _record_change(self, change: Change) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed = trio.Event()

    def _expire(self) -> None:
        now = trio.current_time()
        for lease, (until, _) in list(self._leases.items()):
            if until <= now:
                self._drop_lease(lease)

    def _drop_lease(self, lease: LeaseId) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, bound in self._lease_of.items() if bound == lease]:
            self.delete(key)

    async def _answer(self, kind: str) -> None:
        self.calls[kind] += 1
        await trio.sleep(self.answer_s)
        if self.is_silent:
            await trio.sleep(1.0)
            raise StoreUnavailable("no response")
        if self.is_down:
            raise StoreRefused("the store is down")
        self._expire()

    def _lose_answer(self) -> None:
        if self.n_answers_to_lose:
            self.n_answers_to_lose -= 1
            raise StoreUnavailable("the response was lost")

    async def get(self, key: str) -> Item | None:
        """Return an item, or None."""
        await self._answer("get")
        return self.items.get(key)

    async def list_items(self, prefix: str) -> ItemList:
        """Return all items below a prefix."""
        await self._answer("range")
        found = tuple(i for k, i in sorted(self.items.items()) if k.startswith(prefix))
        return ItemList(found, self.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first one.

        :param wait_s: longest wait, in seconds.
        :raises HistoryLost: if the revision was compacted or is not yet given out.
        """
        await self._answer("watch")
        era = self.era
        if after < self._compacted_revision or after > self.revision:
            raise HistoryLost("the revision was compacted; list the items again")
        with trio.move_on_after(wait_s):
            while self.era == era and not self._find(prefix, after):
                await self._changed.wait()
        self._expire()
        if self.is_down or self.is_silent or self.era != era:
            raise StoreUnavailable("the watch was interrupted")
        return Changes(tuple(self._find(prefix, after)), self.revision)

    def _find(self, prefix: str, after: int) -> list[Change]:
        return [
            change
            for change in self._history
            if change.revision > after and change.key.startswith(prefix)
        ]

    async def commit(
        self,
        expected: Sequence[Expectation],
        writes: Sequence[ItemWrite] = (),
        deletes: Sequence[str] = (),
    ) -> int:
        """Apply all writes and deletes atomically.

        :raises StoreConflict: if a key is not at the expected revision.
        :raises LeaseLost: if a write names a lease that has expired.
        """
        await self._answer("txn")
        for expectation in expected:
            item = self.items.get(expectation.key)
            if (item.revision if item else 0) != expectation.revision:
                raise StoreConflict(
                    f"{expectation.key} is not at the expected revision"
                )
        for write in writes:
            if write.lease is not None and write.lease not in self._leases:
                raise LeaseLost("the lease is unknown or has expired")
        for write in writes:
            self.write(write.key, write.value, write.lease)
        for key in deletes:
            self.delete(key)
        self._lose_answer()
        return self.revision

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease.

        :param ttl_s: seconds until it expires unless renewed.
        """
        await self._answer("lease")
        self.revision += 1
        lease = LeaseId(self.revision)
        self._leases[lease] = (trio.current_time() + ttl_s, ttl_s)
        return Lease(lease, ttl_s)

    async def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease for its time to live.

        :raises LeaseLost: if it has expired.
        """
        await self._answer("keep")
        if lease not in self._leases:
            raise LeaseLost("the lease is unknown or has expired")
        _, ttl_s = self._leases[lease]
        self._leases[lease] = (trio.current_time() + ttl_s, ttl_s)

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys bound to it."""
        await self._answer("end")
        self._drop_lease(lease)

    async def close(self) -> None:
        """Do nothing: the store holds no resources."""


class _Connection(CoordinationStore):
    """A store as one caller sees it, who learns of its era only from answers."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store

    async def _call(self, call: Awaitable[T]) -> T:
        try:
            result = await call
        except StoreUnavailable:
            raise
        except CeleryfoldError:
            self.era = self._store.era
            raise
        self.era = self._store.era
        return result

    async def get(self, key: str) -> Item | None:
        """Return an item, or None."""
        return await self._call(self._store.get(key))

    async def list_items(self, prefix: str) -> ItemList:
        """Return all items below a prefix."""
        return await self._call(self._store.list_items(prefix))

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first one.

        :param wait_s: longest wait, in seconds.
        """
        return await self._call(self._store.watch(prefix, after, wait_s))

    async def commit(
        self,
        expected: Sequence[Expectation],
        writes: Sequence[ItemWrite] = (),
        deletes: Sequence[str] = (),
    ) -> int:
        """Apply all writes and deletes atomically."""
        return await self._call(self._store.commit(expected, writes, deletes))

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease.

        :param ttl_s: seconds until it expires unless renewed.
        """
        return await self._call(self._store.grant_lease(ttl_s))

    async def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease for its time to live."""
        await self._call(self._store.renew_lease(lease))

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease and delete the keys bound to it."""
        await self._call(self._store.end_lease(lease))

    async def close(self) -> None:
        """Do nothing: the connection holds no resources."""
