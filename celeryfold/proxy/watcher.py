"""Watching the store: configuration, upstreams and the holders of duties."""

from __future__ import annotations

__all__ = ["EntryDecoder", "StoreWatcher"]

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection

import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import UpstreamId
from ..kernel.metrics import Metrics
from .directory import Directory, Listing
from .routes import Routes, RouteTable
from .store import (
    Changes,
    CoordinationStore,
    HistoryLost,
    Item,
    StoreUnavailable,
)
from .upstream import Upstream

log = logging.getLogger(__name__)

# Changes come in bursts; the pause after each answer collects a burst into one call.
WATCH_PAUSE_S = 0.8
# The store answers a watch without changes after this time.
WATCH_WAIT_S = 1.5
RETRY_INTERVAL_S = 0.6
# Interval at which an instance that does not watch checks whether it has to.
INACTIVE_POLL_S = 0.5
# A change of the configuration that a watch missed is still found before the deadline
# for its adoption on all instances.
TABLE_REFRESH_INTERVAL_S = 3.0
# A watch that was cut may miss changes that the store has since dropped from its
# history, so all keys are listed again at this interval.
RELIST_INTERVAL_S = 10.0


class EntryDecoder(ABC):
    """Decodes the platform's entries in the store.

    ``upstream_prefix`` is the key prefix of upstreams, ``table_key`` the key of the
    configuration.
    """

    upstream_prefix: str
    table_key: str

    @abstractmethod
    def decode_upstream(self, upstream_id: UpstreamId, value: bytes) -> Upstream | None:
        """Return the upstream in an entry, or None if the entry is not usable."""

    @abstractmethod
    def decode_table(self, value: bytes) -> RouteTable:
        """Return the configuration in an entry.

        :raises BadInput: if the entry is malformed.
        """


class StoreWatcher:
    """Keeps the routes, the directory and the duty keys up to date with the store.

    :param is_needed: returns whether this instance has to watch the store. Otherwise
        it receives changes from peers.
    :param report_reachable: called after each call to the store with whether it
        answered.
    :param key_prefix: key prefix of the duties and records of celeryfold, whose items
        are kept in ``items``.
    """

    def __init__(
        self,
        store: CoordinationStore,
        decoder: EntryDecoder,
        routes: Routes,
        directory: Directory,
        metrics: Metrics,
        is_needed: Callable[[], bool],
        report_reachable: Callable[[bool], None],
        key_prefix: str,
    ) -> None:
        self._key_prefix = key_prefix
        self._store = store
        self._is_needed = is_needed
        self._report_reachable = report_reachable
        self._decoder = decoder
        self._routes = routes
        self._directory = directory
        self._metrics = metrics
        self._upstreams: dict[UpstreamId, Upstream] = {}
        # The revisions of unusable items that have been logged, by key.
        self._unusable: dict[str, int] = {}
        self._as_of = 0
        self._listed_at = 0.0
        self._table_read_at = 0.0
        self.is_connected = False
        self._connected = trio.Event()
        # Counts the gaps in the watch. An upstream that started and ended within a gap
        # was not seen.
        self.n_watch_gaps = 0
        self.items: dict[str, Item] = {}
        self._observers: list[Callable[[Collection[Item]], None]] = []

    def subscribe(self, observer: Callable[[Collection[Item]], None]) -> None:
        """Register an observer of the own items, called before the first listing."""
        self._observers.append(observer)

    async def run(self) -> None:
        """Watch the store until cancelled."""
        while True:
            if not self._is_needed():
                self._as_of = 0
                self.is_connected = False
                await trio.sleep(INACTIVE_POLL_S)
                continue
            try:
                await self._step()
            except StoreUnavailable as error:
                self._mark_disconnected(str(error))
                await trio.sleep(RETRY_INTERVAL_S)
            except HistoryLost:
                log.info("store history lost", extra={"as_of": self._as_of})
                self._as_of = 0

    async def _step(self) -> None:
        if not self._as_of or self._is_relist_due():
            await self._list_all()
        changes = await self._store.watch("", self._as_of, WATCH_WAIT_S)
        self._mark_connected()
        self._as_of = max(self._as_of, changes.as_of)
        self._apply(changes)
        if trio.current_time() - self._table_read_at > TABLE_REFRESH_INTERVAL_S:
            await self._read_table()
        await trio.sleep(WATCH_PAUSE_S)

    async def _observe_records(self) -> None:
        """Show the own items to observers before any upstream can be used."""
        own = await self._store.list_items(self._key_prefix)
        for observer in self._observers:
            observer(own.items)

    def _is_relist_due(self) -> bool:
        return trio.current_time() - self._listed_at > RELIST_INTERVAL_S

    async def _list_all(self) -> None:
        if not self._listed_at:
            await self._observe_records()
        as_of = await self.read_upstreams()
        await self._read_table()
        own = await self._store.list_items(self._key_prefix)
        self._mark_connected()
        self.items = {item.key: item for item in own.items}
        self._as_of = max(self._as_of, as_of)
        self._listed_at = trio.current_time()

    async def read_upstreams(self) -> int:
        """Read all upstreams from the store.

        A list that is older than what the watch has applied since changes nothing.

        :returns: the revision of the store that was read.
        :raises StoreUnavailable: if the store does not answer.
        """
        listed = await self._store.list_items(self._decoder.upstream_prefix)
        if not self.is_connected or not self._as_of:
            self.n_watch_gaps += 1
        if listed.as_of < self._as_of:
            return listed.as_of
        self._upstreams = {}
        for item in listed.items:
            self._update_upstream(item)
        self._publish(listed.as_of)
        return listed.as_of

    async def _read_table(self) -> None:
        """Read the configuration, as an interrupted watch may have missed a change."""
        table = await self._store.get(self._decoder.table_key)
        self._table_read_at = trio.current_time()
        if table is not None:
            self._apply_table(table)

    def _apply(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.key.startswith(self._decoder.upstream_prefix):
                if self._apply_upstream(change.key, change.item):
                    self._publish(change.revision)
            elif change.key == self._decoder.table_key and change.item is not None:
                self._apply_table(change.item)
            elif change.key.startswith(self._key_prefix):
                self._apply_item(change.key, change.item)

    def _apply_item(self, key: str, item: Item | None) -> None:
        if item is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item

    def _apply_upstream(self, key: str, item: Item | None) -> bool:
        """Apply a changed entry; return whether the upstream it describes changed."""
        upstream_id = self._parse_upstream_id(key)
        before = self._upstreams.get(upstream_id)
        if item is None:
            self._upstreams.pop(upstream_id, None)
            self._unusable.pop(key, None)
        else:
            self._update_upstream(item)
        return self._upstreams.get(upstream_id) != before

    def _parse_upstream_id(self, key: str) -> UpstreamId:
        return UpstreamId(key.removeprefix(self._decoder.upstream_prefix))

    def _update_upstream(self, item: Item) -> None:
        upstream_id = self._parse_upstream_id(item.key)
        upstream = self._decoder.decode_upstream(upstream_id, item.value)
        if upstream is not None:
            self._upstreams[upstream_id] = upstream
            return
        self._metrics.count("store.unusable_entry")
        if self._unusable.get(item.key) != item.revision:
            self._unusable[item.key] = item.revision
            extra = {"key": item.key, "revision": item.revision}
            log.warning("unusable entry", extra=extra)
        self._upstreams.pop(upstream_id, None)

    def _publish(self, revision: int) -> None:
        upstreams = tuple(self._upstreams.values())
        if upstreams != self._directory.listing.upstreams:
            self._directory.adopt(Listing(revision, upstreams), "store")

    def _apply_table(self, item: Item) -> None:
        try:
            table = self._decoder.decode_table(item.value)
        except CeleryfoldError as error:
            self._metrics.count("store.unreadable_configuration")
            if self._unusable.get(item.key) != item.revision:
                self._unusable[item.key] = item.revision
                extra = {"key": item.key, "revision": item.revision}
                extra["reason"] = str(error)
                log.error("unreadable configuration", extra=extra)
            return
        self._routes.adopt(table, item.value, "store")

    async def wait_until_connected(self) -> None:
        """Wait until the store has answered the watch; at once if it has."""
        if not self.is_connected:
            await self._connected.wait()

    def _mark_disconnected(self, reason: str) -> None:
        if self.is_connected:
            log.warning("store lost", extra={"reason": reason, "as_of": self._as_of})
        self.is_connected = False
        self._report_reachable(False)

    def _mark_connected(self) -> None:
        if not self.is_connected:
            self.n_watch_gaps += 1
            log.info("store reached", extra={"as_of": self._as_of})
        self.is_connected = True
        self._connected.set()
        self._connected = trio.Event()
        self._report_reachable(True)
