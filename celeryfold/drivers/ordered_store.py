"""A key-value store whose revisions are those of one history."""

from __future__ import annotations

__all__ = ["OrderedStore"]

import logging
from collections.abc import Awaitable
from typing import TypeVar

import msgspec
import trio

from ..exceptions import CeleryfoldError
from ..kernel.revisions import find_era, find_number, join_revision
from .store import HistoryLost, Store, StoreConflict, StoreEntry, StoreUnavailable

log = logging.getLogger(__name__)

T = TypeVar("T")


class OrderedStore(Store):
    """Orders the answers of a store that may be restored from an older copy.

    Revisions rise over all eras. A watch from a revision of an earlier era fails with
    :class:`HistoryLost`, a write on such a condition with :class:`StoreConflict`.

    :param store: the store as it numbers its revisions itself.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._restored_at: float | None = None

    @property
    def restore_age_s(self) -> float | None:
        """Seconds since the first answer after a restore; None if none was seen."""
        if self._restored_at is None:
            return None
        return trio.current_time() - self._restored_at

    async def get(self, key: str) -> StoreEntry | None:
        """Return an entry, or None if the key is absent."""
        entry = await self._call(self._store.get(key))
        return None if entry is None else self._order(entry)

    async def compare_and_swap(self, key: str, expected: int, value: bytes) -> int:
        """Write a value if the key is at the expected revision.

        :param expected: revision read before, or 0 for an absent key.
        :returns: the new revision.
        :raises StoreConflict: if the key is at another revision, or the expected one is
            of an earlier era.
        :raises StoreUnavailable: if no response comes, or if the store returned from an
            older copy before the write.
        """
        era = self.era
        if expected and find_era(expected) != era:
            raise StoreConflict(f"{key}: the store was restored from an older copy")
        number = await self._call(
            self._store.compare_and_swap(key, find_number(expected), value)
        )
        if era not in (0, self.era):
            raise StoreUnavailable("the store was restored meanwhile")
        return join_revision(self.era, number)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> list[StoreEntry]:
        """Return the entries below a prefix that changed after a revision.

        :param wait_s: seconds to wait for a change; the result may then be empty.
        :raises HistoryLost: if the revision is of an earlier era.
        """
        if not after_revision or find_era(after_revision) == self.era:
            number = find_number(after_revision)
            entries = await self._call(self._store.watch(prefix, number, wait_s))
            if not after_revision or find_era(after_revision) == self.era:
                return [self._order(entry) for entry in entries]
        raise HistoryLost("the store was restored from an older copy since")

    async def close(self) -> None:
        """Release the resources of the driver."""
        await self._store.close()

    async def _call(self, call: Awaitable[T]) -> T:
        try:
            result = await call
        except CeleryfoldError:
            self._record_era(self._store.era)
            raise
        self._record_era(self._store.era)
        return result

    def _record_era(self, era: int) -> None:
        """Record the era of an answer.

        :raises StoreUnavailable: if it is an earlier one, that of a late answer.
        """
        if era < self.era:
            raise StoreUnavailable(f"late answer of era {era}, not {self.era}")
        if era == self.era:
            return
        if self.era:
            log.warning(
                "the store was restored from an older copy: era %s, before %s",
                era,
                self.era,
            )
            self._restored_at = trio.current_time()
        self.era = era

    def _order(self, entry: StoreEntry) -> StoreEntry:
        revision = join_revision(self.era, entry.revision)
        return msgspec.structs.replace(entry, revision=revision)
