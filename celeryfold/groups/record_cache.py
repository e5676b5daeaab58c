"""Local cache of the latest known record of each group."""

from __future__ import annotations

__all__ = ["KnownRecord", "RecordCache"]

from collections.abc import Callable

import msgspec
import trio

from ..kernel.ids import GroupId
from .record import GroupRecord

KEY_PREFIX = "celeryfold/groups/"


class KnownRecord(msgspec.Struct, frozen=True):
    """Group record with the store revision that wrote it."""

    group: GroupId
    revision: int
    record: GroupRecord

    @property
    def key(self) -> str:
        """Store key of the record."""
        return KEY_PREFIX + self.group


class RecordCache:
    """Cache of the group records that this instance has received.

    A cached record is replaced only by a record of a higher store revision that is not
    an earlier version of it: a store that is restored from an older copy has earlier
    versions under higher revisions.
    """

    def __init__(self) -> None:
        self._known: dict[GroupId, KnownRecord] = {}
        self._changed: dict[GroupId, trio.Event] = {}
        self.version = 0
        self.listeners: list[Callable[[KnownRecord], None]] = []

    def find(self, group: GroupId) -> KnownRecord | None:
        """Return the latest known record of a group, or None."""
        return self._known.get(group)

    def all(self) -> list[KnownRecord]:
        """Return the latest known record of every group."""
        return list(self._known.values())

    def adopt(self, known: KnownRecord) -> bool:
        """Store a record if it is newer than the known one.

        :returns: whether the record was stored.
        """
        current = self._known.get(known.group)
        if current is not None and (
            current.revision >= known.revision
            or current.record.progress > known.record.progress
        ):
            return False
        self._known[known.group] = known
        self.version += 1
        for listener in self.listeners:
            listener(known)
        event = self._changed.pop(known.group, None)
        if event is not None:
            event.set()
        return True

    async def wait_change(self, group: GroupId) -> None:
        """Wait until the record of a group changes."""
        await self._changed.setdefault(group, trio.Event()).wait()
