"""An instance: it serves clients, pools connections to slots and guards groups."""

from __future__ import annotations

__all__ = ["Instance", "Platform"]

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from .config.adoption import Configuration
from .config.objects import Catalog, SlotDefinition, UpstreamGroup
from .drivers.listing import InstanceList
from .drivers.slot import Slot
from .drivers.store import Store
from .entry.entry import Entry
from .entry.router import Router
from .entry.sender import EntryPorts
from .entry.sessions import SessionTokens
from .exceptions import CeleryfoldError, RequestFailure
from .fleet.members import Member, SlotNews
from .fleet.membership import Membership
from .fleet.messages import CheckSlot, CheckSlotReply
from .fleet.placement import Placement, find_guarded
from .fleet.replicated_state import ReplicatedState
from .fleet.watcher import Watcher
from .fleet.write_back import WriteBack
from .groups.freshness import Sample
from .groups.guardian import Guardian, GuardianPorts
from .groups.record_cache import KnownRecord, RecordCache
from .home.home import Home
from .home.messages import (
    Begin,
    CancelKey,
    Finish,
    RunInTransaction,
    RunRead,
    RunWrite,
    TakeSample,
)
from .home.ports import HomePorts
from .kernel.errors import ErrorKind
from .kernel.events import EventKind, Timeline
from .kernel.ids import GroupId, InstanceId, SlotId
from .kernel.metrics import Metrics
from .links.link import PeerLink

log = logging.getLogger(__name__)

# Interval at which an instance looks for groups that it has come to guard.
GUARDIAN_CHECK_INTERVAL_S = 0.5
CHECK_SLOT_TIMEOUT_S = 0.6
PEER_CHECK_TIMEOUT_S = 1.0
SAMPLE_TIMEOUT_S = 1.0
# Added to the timeout of a forwarded request, so that the home times out first.
REPLY_MARGIN_S = 0.1
# Instances asked whether they reach a slot, before its group is failed over.
MAX_PEERS_ASKED = 3


@dataclass(frozen=True)
class Platform:
    """The drivers of the services outside the fleet.

    :param open_slot: returns a new driver for a slot.
    """

    store: Store
    instance_list: InstanceList
    open_slot: Callable[[SlotDefinition], Slot]


class Instance(EntryPorts, HomePorts, GuardianPorts):
    """One instance with all its roles.

    :param local_member: this instance, as the fleet knows it.
    :param secret: signs session tokens; the same on all instances.
    """

    def __init__(
        self,
        local_member: Member,
        platform: Platform,
        link: PeerLink,
        secret: bytes,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.instance_id = local_member.instance_id
        self.platform = platform
        self.link = link
        self.timeline = timeline
        self.metrics = metrics
        self.configuration = Configuration()
        self.record_cache = RecordCache()
        self.replicated_state = ReplicatedState(
            local_member.address,
            self.configuration,
            self.record_cache,
            platform.store,
            link,
            timeline,
        )
        self.membership = Membership(
            local_member, link, self.replicated_state, timeline, metrics
        )
        self.placement = Placement(self.find_catalog)
        self.membership.subscribe(self.placement)
        self.watcher = Watcher(
            platform,
            self.membership,
            self.replicated_state,
            WriteBack(
                platform.store,
                self.configuration,
                self.record_cache,
                self.replicated_state,
            ),
            timeline,
        )
        self.home = Home(self, self.record_cache, timeline, metrics)
        router = Router(
            local_member.place,
            self.find_catalog,
            self.find_leaving,
            self.placement,
            self.record_cache,
        )
        self.entry = Entry(
            self, router, self.record_cache, SessionTokens(secret), timeline, metrics
        )
        self._slots: dict[SlotId, tuple[SlotDefinition, Slot]] = {}
        self._guarded_groups: set[GroupId] = set()
        self._nursery: trio.Nursery | None = None
        self._n_in_progress = 0
        self._local_handlers: dict[type, Callable[[Any], Any]] = {
            RunRead: self.home.reader.run,
            RunWrite: self.home.writer.run,
            CancelKey: self.home.writer.cancel,
            Begin: self.home.transactions.begin,
            RunInTransaction: self.home.transactions.run,
            Finish: self.home.transactions.finish,
            TakeSample: self.home.take_sample,
        }
        for kind in self._local_handlers:
            link.register_handler(kind, self._serve)
        link.register_handler(CheckSlot, self._check_slot)

    async def start(self, nursery: trio.Nursery) -> None:
        """Join the fleet and start all roles.

        :param nursery: runs the tasks of the instance.
        """
        self._nursery = nursery
        self.timeline.add(EventKind.INSTANCE_STARTED, self.instance_id)
        await self.home.start(nursery)
        await self.replicated_state.start(nursery, self.membership)
        await self.watcher.start(nursery)
        await self.membership.start(nursery)
        nursery.start_soon(self._run_guardians)

    async def leave(self, drain_s: float) -> None:
        """Announce that this instance leaves, then wait for requests in progress.

        The fleet places new work elsewhere. Open transactions count as in progress.

        :param drain_s: the longest time to wait, in seconds.
        """
        self.timeline.add(EventKind.INSTANCE_LEAVING, self.instance_id)
        await self.membership.leave()
        with trio.move_on_after(drain_s):
            while self._is_busy():
                await trio.sleep(0.02)

    def _is_busy(self) -> bool:
        """Return whether a request or transaction is in progress on this instance."""
        n_open = len(self.home.transactions)
        return bool(self._n_in_progress or self.entry.n_in_progress or n_open)

    async def close(self) -> None:
        """Close the connection pools, the drivers and the link to other instances."""
        await self.home.close()
        for _, slot in self._slots.values():
            await slot.close()
        await self.platform.store.close()
        await self.platform.instance_list.close()
        await self.link.close()

    async def set_slot_leaving(self, slot: SlotId, leaving: bool) -> None:
        """Apply an operator's instruction to drain a slot or to return it to service.

        :param leaving: True to drain the slot.
        :raises RequestFailure: if the slot is not defined.
        """
        if slot not in self.find_catalog().slots:
            raise RequestFailure(ErrorKind.NOT_FOUND, f"slot '{slot}' is not defined")
        stamp_ms, _ = self.timeline.clock.advance()
        await self.replicated_state.publish_slot(SlotNews(slot, leaving, stamp_ms))

    def find_catalog(self) -> Catalog:
        """Return the configuration in force."""
        return self.configuration.catalog

    def find_leaving(self) -> frozenset[SlotId]:
        """Return the slots that are being drained and get no new work."""
        return self.replicated_state.leaving

    def find_member(self, instance: InstanceId) -> Member | None:
        """Return a member of the fleet, or None if the instance is unknown."""
        return self.membership.find(instance)

    def find_slot(self, slot: SlotId) -> Slot:
        """Return the driver of a slot; opens a new one if its definition has changed.

        :raises RequestFailure: if the slot is not defined and has no open driver.
        """
        definition = self.find_catalog().slots.get(slot)
        known = self._slots.get(slot)
        if known is not None and (definition is None or known[0] == definition):
            return known[1]
        if definition is None:
            raise RequestFailure(ErrorKind.NOT_RUN, f"slot '{slot}' is not defined")
        driver = self.platform.open_slot(definition)
        self._slots[slot] = (definition, driver)
        return driver

    def is_placed_here(self, slot: SlotId) -> bool:
        """Return whether this instance is the home of a slot."""
        if slot not in self.find_catalog().slots:
            return False
        home = self.placement.find_home(slot)
        return home is not None and home.instance_id == self.instance_id

    def find_rank(self, group: GroupId) -> int | None:
        """Return this instance's rank among a group's guardians, or None."""
        definition = self.find_catalog().groups.get(group)
        if definition is None:
            return None
        guardians = self.placement.find_guardians(self._find_primary(definition))
        for rank, member in enumerate(guardians):
            if member.instance_id == self.instance_id:
                return rank
        return None

    def _find_primary(self, definition: UpstreamGroup) -> SlotId:
        """Return the recorded primary of a group, or its first slot without one."""
        known = self.record_cache.find(definition.name)
        if known is not None and known.record.primary in self.find_catalog().slots:
            return known.record.primary
        return definition.slots[0].name

    async def send(
        self, home: Member, message: msgspec.Struct, timeout_s: float
    ) -> Any:
        """Send a request to an instance; handle it directly if it is this instance.

        :param timeout_s: seconds that the instance has to answer.
        """
        if home.instance_id == self.instance_id:
            return await self._serve(message)
        self._count_cross_region_request(home, message)
        return await self.link.request(
            home.address, message, timeout_s + REPLY_MARGIN_S
        )

    def _count_cross_region_request(
        self, home: Member, message: msgspec.Struct
    ) -> None:
        regions = self.find_catalog().regions
        if regions.get(home.place) != regions.get(self.membership.me.place):
            name = type(message).__name__
            n_bytes = len(msgspec.msgpack.encode(message))
            self.metrics.count(f"region.requests.{name}")
            self.metrics.count(f"region.bytes.{name}", n_bytes)

    async def _serve(self, message: Any) -> Any:
        self._n_in_progress += 1
        try:
            return await self._local_handlers[type(message)](message)
        finally:
            self._n_in_progress -= 1

    async def fetch_sample(self, group: GroupId) -> Sample:
        """Request a sample from the home of a group's primary.

        :raises RequestFailure: if no primary of the group or no live instance is known.
        """
        known = self.record_cache.find(group)
        if known is None:
            raise RequestFailure(
                ErrorKind.NO_PRIMARY, f"no primary of {group} is known"
            )
        home = self.placement.find_home(known.record.primary)
        if home is None:
            raise RequestFailure(
                ErrorKind.NO_PRIMARY, "no instance is known to be alive"
            )
        asked_at = trio.current_time()
        reply = await self.send(home, TakeSample(group), SAMPLE_TIMEOUT_S)
        return Sample(reply.term, reply.position, asked_at)

    async def _check_slot(self, request: CheckSlot) -> CheckSlotReply:
        try:
            with trio.fail_after(CHECK_SLOT_TIMEOUT_S):
                await self.find_slot(request.slot).fetch_status()
        except (CeleryfoldError, trio.TooSlowError):
            return CheckSlotReply(False)
        return CheckSlotReply(True)

    async def publish_record(self, known: KnownRecord) -> None:
        """Adopt a record and send it to the fleet."""
        await self.replicated_state.publish_record(known)

    async def confirm_unreachable(self, slot: SlotId) -> bool:
        """Return whether the other instances that answer cannot reach a slot either.

        False if no other instance answers: an instance that is cut off from the
        fleet must not start a failover. True if this instance is the only member.
        """
        others = [
            member
            for member in self.membership.usable()
            if member.instance_id != self.instance_id
        ]
        if not others:
            return len(self.membership.members) == 1
        local_place = self.membership.me.place
        others.sort(key=lambda member: member.place == local_place)
        replies: list[bool] = []

        async def ask(member: Member) -> None:
            try:
                reply = await self.link.request(
                    member.address, CheckSlot(slot), PEER_CHECK_TIMEOUT_S
                )
                replies.append(reply.reached)
            except CeleryfoldError:
                return

        async with trio.open_nursery() as nursery:
            for member in _choose_across_places(others):
                nursery.start_soon(ask, member)
        return bool(replies) and not any(replies)

    async def _run_guardians(self) -> None:
        assert self._nursery is not None
        seen: tuple[int, int, int] | None = None
        while True:
            current = (
                self.placement.version,
                self.record_cache.version,
                self.configuration.generation,
            )
            if current != seen:
                seen = current
                self._start_guardians(self._nursery)
            with trio.move_on_after(GUARDIAN_CHECK_INTERVAL_S):
                await self.configuration.wait_for_adoption()

    def _start_guardians(self, nursery: trio.Nursery) -> None:
        groups = [
            (definition.name, self._find_primary(definition))
            for definition in self.find_catalog().groups.values()
        ]
        for group in find_guarded(self.placement, groups, self.instance_id):
            if group not in self._guarded_groups:
                self._guarded_groups.add(group)
                nursery.start_soon(self._run_guardian, group)

    async def _run_guardian(self, group: GroupId) -> None:
        guardian = Guardian(
            group,
            self,
            self.platform.store,
            self.record_cache,
            self.timeline,
            self.metrics,
        )
        try:
            await guardian.run()
        finally:
            self._guarded_groups.discard(group)


def _choose_across_places(members: list[Member]) -> list[Member]:
    """Return up to ``MAX_PEERS_ASKED`` members, in different places if possible."""
    chosen: list[Member] = []
    for member in members:
        if all(member.place != other.place for other in chosen):
            chosen.append(member)
    rest = [member for member in members if member not in chosen]
    return (chosen + rest)[:MAX_PEERS_ASKED]
