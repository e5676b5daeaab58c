"""What celeryfold needs of the platform's key-value service."""

from __future__ import annotations

__all__ = ["Store", "StoreConflict", "StoreEntry", "StoreUnavailable"]

from abc import ABC, abstractmethod

import msgspec

from ..exceptions import CeleryfoldError


class StoreEntry(msgspec.Struct, frozen=True):
    """Hold one key with its value and the revision that wrote it."""

    key: str
    revision: int
    value: bytes


class StoreUnavailable(CeleryfoldError):
    """No answer came; a change may have taken effect all the same."""


class StoreConflict(CeleryfoldError):
    """The key was not at the expected revision: nothing was changed."""


class Store(ABC):
    """The platform's key-value service; each call counts against its rates."""

    @abstractmethod
    async def get(self, key: str) -> StoreEntry | None:
        """Return an entry, or None where the key is absent.

        :raises StoreUnavailable: where no answer comes.
        """

    @abstractmethod
    async def compare_and_swap(self, key: str, expected: int, value: bytes) -> int:
        """Write a value where the key is at the expected revision.

        :param expected: the revision read before, 0 for an absent key.
        :returns: the new revision.
        :raises StoreConflict: where the key has moved on.
        :raises StoreUnavailable: where no answer comes; the write may have happened.
        """

    @abstractmethod
    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> list[StoreEntry]:
        """Return entries below a prefix changed after a revision.

        :param wait_s: how long to wait for a change; the list may then be empty.
        :raises StoreUnavailable: where no answer comes.
        """

    async def close(self) -> None:
        """Release what the driver holds."""
