"""Interface of the platform's coordination store."""

from __future__ import annotations

__all__ = [
    "Change",
    "Changes",
    "CoordinationStore",
    "Expectation",
    "HistoryLost",
    "Item",
    "ItemList",
    "ItemWrite",
    "Lease",
    "LeaseLost",
    "StoreConflict",
    "StoreRefused",
    "StoreUnavailable",
]

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from ..exceptions import (
    CeleryfoldError,
    HistoryLost,
    StoreConflict,
    StoreUnavailable,
)
from ..kernel.ids import LeaseId


class Item(msgspec.Struct, frozen=True):
    """A key of the store with its value.

    :param revision: the revision of the last change of the key.
    :param created: the revision at which the key was created.
    """

    key: str
    value: bytes
    revision: int
    created: int


class ItemList(msgspec.Struct, frozen=True):
    """All items below a prefix.

    :param as_of: the store's revision before the items were read.
    """

    items: tuple[Item, ...]
    as_of: int


class Change(msgspec.Struct, frozen=True):
    """A change of a key: the item as it was written, or None if it was deleted."""

    key: str
    revision: int
    item: Item | None


class Changes(msgspec.Struct, frozen=True):
    """The changes below a prefix.

    :param as_of: the revision from which the next watch continues.
    """

    changes: tuple[Change, ...]
    as_of: int


class Expectation(msgspec.Struct, frozen=True):
    """A condition of a commit: the key is at a revision, 0 for an absent key."""

    key: str
    revision: int


class ItemWrite(msgspec.Struct, frozen=True):
    """A write of a key, bound to a lease if one is given."""

    key: str
    value: bytes
    lease: LeaseId | None = None


class Lease(msgspec.Struct, frozen=True):
    """A lease and its time to live from the arrival of each renewal, in seconds."""

    lease_id: LeaseId
    ttl_s: float


class StoreRefused(StoreUnavailable):
    """The store refused the call; nothing was done."""


class LeaseLost(CeleryfoldError):
    """The lease has ended."""


class CoordinationStore(ABC):
    """Client of the platform's store, whose calls are counted and billed.

    ``era`` is that of the latest answer, 0 before the first one. It rises when the
    store is restored from an older copy of its data: what it has acknowledged since the
    copy is lost, and its revisions are given out again.
    """

    era: int = 0
    # Whether the era has risen since the first answer.
    has_seen_restore: bool = False

    @property
    def era_age_s(self) -> float:
        """Seconds since the first answer of the present era, infinite if not known."""
        return math.inf

    @abstractmethod
    async def get(self, key: str) -> Item | None:
        """Return an item, or None if the key is absent.

        :raises StoreUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def list_items(self, prefix: str) -> ItemList:
        """Return all items below a prefix.

        :raises StoreUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting for the first one.

        :param after: the revision after which changes are returned.
        :param wait_s: how long to wait for a first change, in seconds.
        :raises StoreUnavailable: if the store does not answer.
        :raises HistoryLost: if the store no longer has the history since then.
        """

    @abstractmethod
    async def commit(
        self,
        expected: Sequence[Expectation],
        writes: Sequence[ItemWrite] = (),
        deletes: Sequence[str] = (),
    ) -> int:
        """Apply writes and deletes atomically and return the new revision.

        :raises StoreConflict: if an expectation does not hold.
        :raises LeaseLost: if a write names a lease that has ended.
        :raises StoreRefused: if the store refused the call; nothing was done.
        :raises StoreUnavailable: if no answer was received; the commit may have been
            applied or may be applied later.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease.

        :param ttl_s: the time to live, in seconds.
        :raises StoreUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def renew_lease(self, lease: LeaseId) -> None:
        """Renew a lease; its time to live starts at the arrival of the call.

        :raises LeaseLost: if the lease has ended.
        :raises StoreUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease and remove its keys.

        :raises StoreUnavailable: if the store does not answer.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections to the store."""
