"""Records in the store of the instances of each region, for those that start."""

from __future__ import annotations

__all__ = ["FLEET_FOLDER", "FleetRecord", "FleetRecordKeeper"]

import logging
from collections.abc import Callable, Collection

import msgspec
import trio

from ..accounts.fleet import Fleet, RecordedInstance
from ..exceptions import CeleryfoldError, Unreadable
from ..kernel.decoding import decode_json
from ..kernel.ids import RegionId
from ..kernel.metrics import Metrics
from .peers import PeerTable
from .store import CoordinationStore, Expectation, Item, ItemWrite
from .watcher import StoreWatcher

log = logging.getLogger(__name__)

# The records lie in this folder, each under the name of its region.
FLEET_FOLDER = "fleet/"
# Changes of the fleet come in bursts, as when it is restarted.
CHECK_INTERVAL_S = 3.0


class FleetRecord(msgspec.Struct, frozen=True):
    """The instances of a region that its others know, missing ones included."""

    instances: tuple[RecordedInstance, ...] = ()


class FleetRecordKeeper:
    """Keeps the record of this instance's region, and reads all of them at the start.

    Instances that start while others are out of their reach take themselves for the
    whole fleet otherwise, and grant the whole rate of each account. One instance of
    each region writes, so that both sides of a cut between regions do.

    :param prefix: the prefix of the keys of celeryfold in the store.
    :param has_rates: returns whether any account has a rate; nothing is written
        without.
    """

    def __init__(
        self,
        prefix: str,
        region: RegionId | None,
        store: CoordinationStore,
        watcher: StoreWatcher,
        peers: PeerTable,
        fleet: Fleet,
        has_rates: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._folder = f"{prefix}{FLEET_FOLDER}"
        self._region = region
        self._store = store
        self._watcher = watcher
        self._peers = peers
        self._fleet = fleet
        self._has_rates = has_rates
        self._metrics = metrics

    def read(self, items: Collection[Item]) -> None:
        """Expect the instances in the records; unreadable ones name none."""
        expected: list[RecordedInstance] = []
        for item in items:
            if not item.key.startswith(self._folder):
                continue
            try:
                expected += decode_json(item.value, FleetRecord).instances
            except Unreadable as error:
                extra = {"key": item.key, "reason": str(error)}
                log.error("unreadable fleet record", extra=extra)
        if expected:
            log.info("instances expected", extra={"n": len(expected)})
            self._fleet.expect(expected)

    async def run(self) -> None:
        """Write the record when it has changed, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._has_rates() and self._is_writer():
                await self._write()

    def _is_writer(self) -> bool:
        """Return whether this instance writes the record of its region."""
        regions = self._peers.regions
        watchers = [
            peer.instance_id
            for place, peer in self._peers.find_watchers().items()
            if regions.get(place) == self._region
        ]
        me = self._peers.local_peer.instance_id
        return self._watcher.is_connected and min(watchers, default=me) == me

    async def _write(self) -> None:
        record = FleetRecord(self._fleet.list_recorded(self._region))
        key = f"{self._folder}{self._region or ''}"
        item = self._watcher.items.get(key)
        value = msgspec.json.encode(record)
        if item is not None and item.value == value:
            return
        expected = [Expectation(key, item.revision if item is not None else 0)]
        try:
            await self._store.commit(expected, [ItemWrite(key, value)])
        except CeleryfoldError as error:
            # Tried again after the next interval, with what the watch has brought.
            self._metrics.count("rate.fleet_not_recorded")
            log.info("fleet record not written", extra={"reason": str(error)})
