"""Interface to the key-value store of the deployment."""

from __future__ import annotations

__all__ = [
    "HistoryLost",
    "Store",
    "StoreConflict",
    "StoreEntry",
    "StoreUnavailable",
]

from abc import ABC, abstractmethod

import msgspec

from ..exceptions import HistoryLost, StoreConflict, StoreUnavailable


class StoreEntry(msgspec.Struct, frozen=True):
    """A key with its value and the revision that wrote it."""

    key: str
    revision: int
    value: bytes


class Store(ABC):
    """Key-value store of the deployment; each call counts against its rate limits.

    ``era`` is that of the latest answer, 0 before the first one. It rises when the
    store is restored from an older copy of its data: what it has acknowledged since the
    copy is lost, and its revisions are given out again.
    """

    era: int = 0

    @property
    def restore_age_s(self) -> float | None:
        """Seconds since the first answer after a restore; None if none was seen."""
        return None

    @abstractmethod
    async def get(self, key: str) -> StoreEntry | None:
        """Return an entry, or None if the key is absent.

        :raises StoreUnavailable: if the store does not respond.
        """

    @abstractmethod
    async def compare_and_swap(self, key: str, expected: int, value: bytes) -> int:
        """Write a value if the key is at the expected revision.

        :param expected: revision read before, or 0 for an absent key.
        :returns: the new revision.
        :raises StoreConflict: if the key is at another revision.
        :raises StoreUnavailable: if no response comes; the write may have happened.
        """

    @abstractmethod
    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> list[StoreEntry]:
        """Return the entries below a prefix that changed after a revision.

        :param wait_s: seconds to wait for a change; the result may then be empty.
        :raises HistoryLost: if the store has not given out the revision.
        :raises StoreUnavailable: if the store does not respond.
        """

    async def close(self) -> None:
        """Release the resources of the driver."""
