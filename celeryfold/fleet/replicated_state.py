"""State replicated by gossip: group records, configuration, leaving slots."""

from __future__ import annotations

__all__ = ["ReplicatedState"]

import logging
import random

import msgspec
import trio
import xxhash

from ..config.adoption import Configuration
from ..config.parts import Manifest, compute_digest
from ..config.publishing import Pointer, load_blob
from ..drivers.store import Store, StoreEntry
from ..exceptions import CeleryfoldError, Unreadable
from ..groups.record import GroupRecord
from ..groups.record_cache import KnownRecord, RecordCache
from ..kernel.decoding import decode_json
from ..kernel.events import EventKind, Timeline
from ..kernel.ids import GroupId, SlotId
from ..links.link import PeerLink
from .members import ConfigNews, News, RecordNews, SlotNews
from .membership import Membership, ReplicatedStatePorts
from .messages import ConfigReply, FetchConfig

# Log filters refer to the logger by this name, which differs from the module's.
log = logging.getLogger("celeryfold.fleet.knowledge")

FETCH_TIMEOUT_S = 2.0
FETCH_RETRY_S = 0.2
N_PEERS_QUERIED = 2
N_FETCHES_AT_ONCE = 8
GROUP_KEY_PREFIX = "celeryfold/groups/"


class ReplicatedState(ReplicatedStatePorts):
    """Merges updates from the store, the instance list and peers; broadcasts them.

    :param address: address at which peers fetch the configuration from this instance.
    :param configuration: configuration in force on this instance.
    :param record_cache: cache of the groups' records.
    :param store: key-value service that holds records and configuration.
    :param link: sends requests to peers.
    :param timeline: receives an event for each change.
    """

    def __init__(
        self,
        address: str,
        configuration: Configuration,
        record_cache: RecordCache,
        store: Store,
        link: PeerLink,
        timeline: Timeline,
    ) -> None:
        self._address = address
        self._configuration = configuration
        self._record_cache = record_cache
        self._store = store
        self._link = link
        self._timeline = timeline
        self._slot_updates: dict[SlotId, SlotNews] = {}
        self._listed: frozenset[SlotId] = frozenset()
        self.leaving: frozenset[SlotId] = frozenset()
        self._target: ConfigNews | None = None
        self._target_changed = trio.Event()
        self._digest: int | None = None
        self._membership: Membership | None = None
        link.register_handler(FetchConfig, self._answer_fetch_config)

    async def start(self, nursery: trio.Nursery, membership: Membership) -> None:
        """Start to fetch newer configuration once its generation is known."""
        self._membership = membership
        nursery.start_soon(self._run_fetches)

    def apply_update(self, update: News) -> bool:
        """Apply an update; return whether it is to be passed on.

        A newer configuration is fetched first and broadcast after its adoption.
        """
        self._digest = None
        if isinstance(update, RecordNews):
            return self._record_cache.adopt(update.known)
        if isinstance(update, ConfigNews):
            self._set_target(update)
            return False
        if isinstance(update, SlotNews):
            return self._apply_slot(update)
        return False

    def _apply_slot(self, update: SlotNews) -> bool:
        known = self._slot_updates.get(update.slot)
        if known is not None and known.stamp_ms >= update.stamp_ms:
            return False
        self._slot_updates[update.slot] = update
        self._update_leaving()
        return True

    async def apply_listed_leaving(self, listed: frozenset[SlotId]) -> None:
        """Apply the platform's list of leaving slots, and broadcast its changes.

        Only slots whose entry in the list changed are updated, so that a later
        instruction of an operator stays in effect.

        :param listed: slots that the list reports as leaving.
        """
        changed = listed ^ self._listed
        self._listed = listed
        for slot in sorted(changed):
            stamp_ms, _ = self._timeline.clock.advance()
            await self.publish_slot(SlotNews(slot, slot in listed, stamp_ms))

    async def publish_slot(self, update: SlotNews) -> None:
        """Apply an update on whether a slot is leaving; broadcast it if it is new."""
        if self.apply_update(update) and self._membership is not None:
            await self._membership.broadcast(update)

    def _update_leaving(self) -> None:
        leaving = frozenset(
            s for s, update in self._slot_updates.items() if update.leaving
        )
        for slot in sorted(leaving - self.leaving):
            self._timeline.add(EventKind.SLOT_LEAVING, slot)
        self.leaving = leaving

    def list_updates(self) -> list[News]:
        """Return the whole state as updates."""
        updates: list[News] = [RecordNews(known) for known in self._record_cache.all()]
        updates += self._slot_updates.values()
        config = self._configuration
        if config.generation:
            updates.append(ConfigNews(config.generation, config.digest, self._address))
        return updates

    def digest(self) -> int:
        """Return a hash of records, generation and leaving slots."""
        if self._digest is None:
            parts = [f"{k.group}:{k.revision}" for k in self._record_cache.all()]
            parts += [
                f"{slot}:{update.stamp_ms}"
                for slot, update in self._slot_updates.items()
            ]
            parts.append(str(self._configuration.generation))
            self._digest = xxhash.xxh64_intdigest("|".join(sorted(parts)).encode())
        return self._digest

    async def apply_store_entry(self, entry: StoreEntry) -> None:
        """Apply an entry that a watch of the store returned, and broadcast it.

        One that cannot be decoded is logged and changes nothing.
        """
        try:
            await self._apply_store_entry(entry)
        except Unreadable as error:
            log.error("unreadable store entry %s: %s", entry.key, error)

    async def _apply_store_entry(self, entry: StoreEntry) -> None:
        if entry.key.startswith(GROUP_KEY_PREFIX):
            group = GroupId(entry.key.removeprefix(GROUP_KEY_PREFIX))
            record = decode_json(entry.value, GroupRecord)
            await self.publish_record(KnownRecord(group, entry.revision, record))
        else:
            pointer = decode_json(entry.value, Pointer)
            self._set_target(ConfigNews(pointer.generation, pointer.digest, ""))

    async def publish_record(self, known: KnownRecord) -> None:
        """Adopt a record, and broadcast it if it is new."""
        if self._record_cache.adopt(known):
            self._digest = None
            if self._membership is not None:
                await self._membership.broadcast(RecordNews(known))

    def _set_target(self, update: ConfigNews) -> None:
        current = self._configuration.generation
        target = self._target.generation if self._target else current
        if update.generation > max(current, target):
            self._target = update
            self._target_changed.set()

    async def _run_fetches(self) -> None:
        while True:
            target = self._target
            if target is None or target.generation <= self._configuration.generation:
                self._target_changed = trio.Event()
                await self._target_changed.wait()
                continue
            if await self._adopt(target):
                await self._announce(target)
            elif self._target is target:
                await trio.sleep(FETCH_RETRY_S)

    async def _adopt(self, target: ConfigNews) -> bool:
        """Fetch the missing parts of a configuration set and put the set in force."""
        head = await self._fetch(target.digest, target.holder)
        if head is None:
            return False
        try:
            manifest = decode_json(head, Manifest)
        except Unreadable:
            return False
        missing = self._configuration.list_missing_parts(manifest)
        fetched = await self._fetch_all(missing, target.holder)
        if len(fetched) < len(set(missing)):
            return False
        return self._configuration.adopt(target.generation, head, fetched)

    async def _fetch_all(self, digests: list[str], holder: str) -> dict[str, bytes]:
        fetched: dict[str, bytes] = {}
        limiter = trio.CapacityLimiter(N_FETCHES_AT_ONCE)

        async def fetch(digest: str) -> None:
            async with limiter:
                content = await self._fetch(digest, holder)
            if content is not None:
                fetched[digest] = content

        async with trio.open_nursery() as nursery:
            for digest in set(digests):
                nursery.start_soon(fetch, digest)
        return fetched

    async def _announce(self, adopted: ConfigNews) -> None:
        self._digest = None
        detail = f"generation {adopted.generation}"
        self._timeline.add(EventKind.CONFIG_ADOPTED, adopted.digest, detail)
        log.info("configuration generation %s adopted", adopted.generation)
        if self._membership is not None:
            update = msgspec.structs.replace(adopted, holder=self._address)
            await self._membership.broadcast(update)

    async def _fetch(self, digest: str, holder: str) -> bytes | None:
        """Return a manifest or part from its holder, the store or random peers."""
        if holder:
            content = await self._fetch_from_peer(holder, digest)
            if content is not None:
                return content
        content = await self._fetch_from_store(digest)
        if content is not None or self._membership is None:
            return content
        others = [member.address for member in self._membership.others()]
        for address in random.sample(others, min(N_PEERS_QUERIED, len(others))):
            content = await self._fetch_from_peer(address, digest)
            if content is not None:
                return content
        return None

    async def _fetch_from_peer(self, address: str, digest: str) -> bytes | None:
        try:
            reply = await self._link.request(
                address, FetchConfig(digest), FETCH_TIMEOUT_S
            )
        except CeleryfoldError:
            return None
        content = reply.content
        if content is None or compute_digest(content) != digest:
            return None
        return bytes(content)

    async def _fetch_from_store(self, digest: str) -> bytes | None:
        try:
            return await load_blob(self._store, digest)
        except CeleryfoldError:
            return None

    async def _answer_fetch_config(self, request: FetchConfig) -> ConfigReply:
        config = self._configuration
        return ConfigReply(config.generation, config.blobs.get(request.digest))
