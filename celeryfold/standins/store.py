"""An in-memory key-value store with compare-and-swap, leases, watches and faults."""

from __future__ import annotations

__all__ = ["EngineCopy", "StoreEngine"]

from collections import Counter
from dataclasses import dataclass

import trio

from ..drivers.store import HistoryLost, StoreConflict, StoreEntry
from .faults import Faults


@dataclass(frozen=True)
class EngineCopy:
    """The entries of a store at one moment."""

    entries: dict[str, StoreEntry]
    revision: int


class StoreEngine:
    """A key-value store that counts its calls by kind.

    ``era`` rises with each restore from an older copy.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._entries: dict[str, StoreEntry] = {}
        self._revision = 0
        self.era = 1
        self._changed = trio.Event()
        self._leases: dict[str, float] = {}

    def get(self, key: str) -> StoreEntry | None:
        """Return an entry, or None."""
        self.calls["get"] += 1
        self._expire()
        return self._entries.get(key)

    def compare_and_swap(
        self, key: str, expected: int, value: bytes, lease_s: float | None = None
    ) -> int:
        """Write a value if the key is at the expected revision.

        :param expected: the expected revision, 0 for a key that does not exist.
        :param lease_s: seconds after which the key expires unless it is rewritten.
        :returns: the new revision.
        :raises StoreConflict: if the key is at another revision.
        """
        self.calls["swap"] += 1
        self._expire()
        current = self._entries.get(key)
        if (current.revision if current else 0) != expected:
            raise StoreConflict(f"{key} is not at revision {expected}")
        self._revision += 1
        self._entries[key] = StoreEntry(key, self._revision, value)
        if lease_s is not None:
            self._leases[key] = trio.current_time() + lease_s
        self._changed.set()
        self._changed = trio.Event()
        return self._revision

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> list[StoreEntry]:
        """Return the entries below a prefix that changed after a revision.

        :param wait_s: longest wait for a change, in seconds.
        :raises HistoryLost: if the revision is not yet given out.
        """
        self.calls["watch"] += 1
        if after_revision > self._revision:
            raise HistoryLost(f"revision {after_revision} is not given out")
        era = self.era
        found = self._find(prefix, after_revision)
        with trio.move_on_after(wait_s):
            while not found and self.era == era:
                await self._changed.wait()
                found = self._find(prefix, after_revision)
        return found

    def copy(self) -> EngineCopy:
        """Return a copy of the entries, to which the store can return."""
        self._expire()
        return EngineCopy(dict(self._entries), self._revision)

    def restore(self, copy: EngineCopy) -> None:
        """Return to a copy; what was acknowledged since is lost and the era rises.

        Revisions that were given out since are given out again.
        """
        self._entries = dict(copy.entries)
        self._revision = copy.revision
        self.era += 1
        self._changed.set()
        self._changed = trio.Event()

    def _find(self, prefix: str, after_revision: int) -> list[StoreEntry]:
        self._expire()
        return [
            entry
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix) and entry.revision > after_revision
        ]

    def _expire(self) -> None:
        now = trio.current_time()
        for key, deadline in list(self._leases.items()):
            if deadline <= now:
                del self._leases[key]
                self._entries.pop(key, None)
