"""Writing back what a store lacks that was restored from an older copy."""

from __future__ import annotations

__all__ = ["WriteBack"]

import logging
import secrets

import msgspec

from ..config.adoption import Configuration
from ..config.publishing import BLOB_PREFIX, CURRENT_KEY, Pointer, read_pointer
from ..drivers.store import Store, StoreConflict, StoreEntry
from ..exceptions import Unreadable
from ..groups.record import GroupRecord
from ..groups.record_cache import KnownRecord, RecordCache
from ..kernel.decoding import decode_json
from ..kernel.ids import Generation
from .replicated_state import ReplicatedState

log = logging.getLogger(__name__)


class WriteBack:
    """Writes the newest known records and configuration to a restored store.

    Each watcher does this when it notices the restore; of concurrent writes of a key
    one succeeds. What no running instance knows is lost.

    :param configuration: the configuration in force at this instance.
    :param record_cache: the records that this instance knows.
    """

    def __init__(
        self,
        store: Store,
        configuration: Configuration,
        record_cache: RecordCache,
        replicated_state: ReplicatedState,
    ) -> None:
        self._store = store
        self._configuration = configuration
        self._record_cache = record_cache
        self._replicated_state = replicated_state

    async def run(self) -> None:
        """Write back once.

        :raises StoreUnavailable: if the store does not answer; a part may be written.
        """
        for known in self._record_cache.all():
            try:
                await self._write_record(known)
            except StoreConflict:
                log.info("record of group %s was written by another", known.group)
        try:
            await self._write_pointer()
        except StoreConflict:
            log.info("the configuration was written by another instance")

    async def _write_record(self, known: KnownRecord) -> None:
        entry = await self._store.get(known.key)
        record = known.record
        if entry is not None:
            stored = _read_record(entry)
            if stored is not None and stored.progress >= record.progress:
                stored_known = KnownRecord(known.group, entry.revision, stored)
                await self._replicated_state.publish_record(stored_known)
                return
        value = msgspec.json.encode(record)
        expected = entry.revision if entry is not None else 0
        revision = await self._store.compare_and_swap(known.key, expected, value)
        log.warning("record of group %s written back", known.group)
        written = KnownRecord(known.group, revision, record)
        await self._replicated_state.publish_record(written)

    async def _write_pointer(self) -> None:
        """Write the configuration in force back, or mark the stored one as current.

        A set that was published since the restore is kept. It gets a new generation if
        its own was used before, since instances adopt only a higher one.
        """
        entry = await self._store.get(CURRENT_KEY)
        pointer = read_pointer(entry)
        current = self._configuration
        if pointer is not None and pointer.era == self._store.era:
            is_reused = pointer.generation <= current.generation
            if is_reused and pointer.digest != current.digest:
                following = Generation(current.generation + 1)
                await self._replace_pointer(entry, following, pointer.digest)
        elif pointer is not None and pointer.generation >= current.generation:
            await self._replace_pointer(entry, pointer.generation, pointer.digest)
        elif current.generation:
            await self._write_blobs()
            await self._replace_pointer(entry, current.generation, current.digest)
            log.warning("generation %s written back", current.generation)

    async def _write_blobs(self) -> None:
        for digest, content in self._configuration.blobs.items():
            try:
                await self._store.compare_and_swap(BLOB_PREFIX + digest, 0, content)
            except StoreConflict:
                continue

    async def _replace_pointer(
        self, entry: StoreEntry | None, generation: Generation, digest: str
    ) -> None:
        submission = secrets.token_hex(8)
        pointer = Pointer(generation, digest, submission, self._store.era)
        value = msgspec.json.encode(pointer)
        expected = entry.revision if entry is not None else 0
        await self._store.compare_and_swap(CURRENT_KEY, expected, value)


def _read_record(entry: StoreEntry) -> GroupRecord | None:
    """Return the record in an entry, or None if it cannot be decoded."""
    try:
        return decode_json(entry.value, GroupRecord)
    except Unreadable as error:
        log.error("unreadable record %s: %s", entry.key, error)
        return None
