"""Watch the store and the platform's instance list from a few instances per place."""

from __future__ import annotations

__all__ = ["WatchPorts", "Watcher"]

import logging
from typing import Protocol

import trio

from ..drivers.listing import InstanceList, Listing
from ..drivers.store import HistoryLost, Store, StoreUnavailable
from ..exceptions import CeleryfoldError
from ..kernel.events import EventKind, Timeline
from .members import Member
from .membership import Membership
from .placement import rank_members
from .replicated_state import ReplicatedState
from .write_back import WriteBack

log = logging.getLogger(__name__)

WATCH_PREFIX = "celeryfold/"
WATCH_WAIT_S = 10.0
RETRY_S = 0.5
LIST_INTERVAL_S = 1.0
N_WATCHERS_PER_PLACE = 2
INACTIVE_POLL_INTERVAL_S = 1.0


class WatchPorts(Protocol):
    """Interface of the platform that a watcher uses."""

    @property
    def store(self) -> Store:
        """Key-value service."""

    @property
    def instance_list(self) -> InstanceList:
        """List of live and leaving instances."""


class Watcher:
    """Watches the store and the list while this instance is a watcher of its place.

    :param platform: access to the store and the list.
    :param membership: receives new members.
    :param replicated_state: receives records, configuration and leaving slots.
    :param write_back: writes back what a store lacks after a restore.
    :param timeline: receives an event when the store fails or recovers.
    """

    def __init__(
        self,
        platform: WatchPorts,
        membership: Membership,
        replicated_state: ReplicatedState,
        write_back: WriteBack,
        timeline: Timeline,
    ) -> None:
        self._platform = platform
        self._membership = membership
        self._replicated_state = replicated_state
        self._write_back = write_back
        self._is_write_back_due = False
        self._timeline = timeline
        self._revision = 0
        self._is_store_down = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Join the fleet through the listed instances, then start to watch."""
        listing = await self._read_list()
        if listing is not None:
            await self._membership.join(_make_members(listing))
        nursery.start_soon(self._watch_store)
        nursery.start_soon(self._watch_list)

    def is_watcher(self) -> bool:
        """Return whether this instance is a watcher of its place."""
        me = self._membership.me
        here = [m for m in self._membership.usable() if m.place == me.place]
        ranked = rank_members(here, f"watcher/{me.place}")[:N_WATCHERS_PER_PLACE]
        return any(member.instance_id == me.instance_id for member in ranked)

    async def _watch_store(self) -> None:
        while True:
            if not self.is_watcher():
                await trio.sleep(INACTIVE_POLL_INTERVAL_S)
                continue
            try:
                if self._is_write_back_due:
                    await self._write_back.run()
                    self._is_write_back_due = False
                entries = await self._platform.store.watch(
                    WATCH_PREFIX, self._revision, WATCH_WAIT_S
                )
            except StoreUnavailable:
                self._record_store_state(is_down=True)
                await trio.sleep(RETRY_S)
                continue
            except HistoryLost:
                self._revision = 0
                self._is_write_back_due = True
                continue
            self._record_store_state(is_down=False)
            for entry in entries:
                self._revision = max(self._revision, entry.revision)
                await self._replicated_state.apply_store_entry(entry)

    def _record_store_state(self, is_down: bool) -> None:
        if is_down != self._is_store_down:
            self._is_store_down = is_down
            kind = EventKind.STORE_DOWN if is_down else EventKind.STORE_UP
            self._timeline.add(kind, "store")
            log.warning(
                "key-value service is %s", "unreachable" if is_down else "reachable"
            )

    async def _watch_list(self) -> None:
        while True:
            await trio.sleep(LIST_INTERVAL_S)
            if self.is_watcher():
                await self._read_list()

    async def _read_list(self) -> Listing | None:
        try:
            listing = await self._platform.instance_list.fetch()
        except CeleryfoldError:
            return None
        await self._replicated_state.apply_listed_leaving(
            frozenset(listing.leaving_slots)
        )
        self._membership.add_listed(_make_members(listing))
        return listing


def _make_members(listing: Listing) -> list[Member]:
    return [
        Member(item.instance_id, item.address, item.place, incarnation=-1)
        for item in listing.instances
        if not item.leaving
    ]
