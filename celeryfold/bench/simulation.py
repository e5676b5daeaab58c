"""Simulated deployment: all processes in one, over a local network and a mock clock."""

from __future__ import annotations

__all__ = ["LocalEndpoint", "Simulation", "SimulationSettings", "run_simulation"]

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

import trio
import trio.testing
from returns.result import Success

from ..config.objects import ObjectSet, SlotDefinition
from ..config.publishing import publish
from ..drivers.listing import ListedInstance, Listing
from ..drivers.ordered_store import OrderedStore
from ..drivers.slot import Slot
from ..entry.requests import StatementRequest, StatementResponse
from ..exceptions import RequestFailure
from ..fleet.members import Member
from ..groups.record import GroupRecord
from ..instance import Instance, Platform
from ..kernel.errors import Ran
from ..kernel.events import HybridClock, Timeline
from ..kernel.ids import GroupId, InstanceId, PlaceId, ServiceId, SlotId
from ..kernel.metrics import Metrics
from ..standins.listing import ListEngine
from ..standins.local import (
    LIST_NAME,
    STORE_NAME,
    LocalLink,
    LocalList,
    LocalLogSource,
    LocalSlot,
    LocalStore,
    run_in,
)
from ..standins.log import LogSource
from ..standins.network import LocalNetwork, NetworkSettings
from ..standins.slot import SlotEngine, SlotSettings
from ..standins.store import StoreEngine
from ..wire.failures import FailureBody, make_failure_body
from .callers import InstanceEndpoint

T = TypeVar("T")

SECRET = b"world"
READY_TIMEOUT_S = 30.0
READY_CHECK_S = 0.05


@dataclass(frozen=True)
class SimulationSettings:
    """Configuration of a simulated deployment.

    :param places: the place of each instance, in order.
    :param store_place: the place of the key-value store and of the instance list.
    :param client_delay_s: one-way delay between callers and instances.
    :param list_lag_s: age of the instance list that instances read.
    :param seed: seed of all random choices in the simulation.
    :param extra_s: additional one-way delay of network endpoints, by name.
    """

    objects: ObjectSet
    slot_settings: dict[SlotId, SlotSettings]
    places: tuple[PlaceId, ...]
    store_place: PlaceId
    client_delay_s: float = 0.001
    list_lag_s: float = 0.0
    seed: int = 1
    extra_s: dict[str, float] = field(default_factory=dict)


class Simulation:
    """Simulated deployment: stand-ins, network and instances.

    :param nursery: runs the stand-ins and instances until it is cancelled.
    """

    def __init__(self, settings: SimulationSettings, nursery: trio.Nursery) -> None:
        self.settings = settings
        self.nursery = nursery
        self.rng = random.Random(settings.seed)
        regions = {place.name: place.region for place in settings.objects.places}
        self.network = LocalNetwork(
            NetworkSettings(regions, extra_s=settings.extra_s), nursery
        )
        self.network.add(STORE_NAME, settings.store_place)
        self.network.add(LIST_NAME, settings.store_place)
        self.store = StoreEngine()
        self.list = ListEngine(lag_s=settings.list_lag_s)
        self.links: dict[str, LocalLink] = {}
        self.slots: dict[SlotId, SlotEngine] = {}
        self.instances: dict[InstanceId, Instance] = {}
        self._nurseries: dict[InstanceId, trio.Nursery] = {}

    async def start(self) -> None:
        """Start all parts and wait until every instance knows each group's primary.

        :raises trio.TooSlowError: if that takes longer than ``READY_TIMEOUT_S``.
        """
        for group in self.settings.objects.upstream_groups:
            for definition in group.slots:
                self._start_slot(definition)
        planned = {
            InstanceId(f"i{number + 1}"): place
            for number, place in enumerate(self.settings.places)
        }
        for name, place in planned.items():
            self.network.add(name, place)
        listed = [ListedInstance(name, name, place) for name, place in planned.items()]
        self.list.set(Listing(tuple(listed)))
        for name, place in planned.items():
            await self.start_instance(name, place)
        store = LocalStore(self.network, STORE_NAME, self.store)
        published = await publish(store, self.settings.objects)
        assert isinstance(published, Success)
        with trio.fail_after(READY_TIMEOUT_S):
            while not self.is_ready():
                await trio.sleep(READY_CHECK_S)

    def _start_slot(self, definition: SlotDefinition) -> None:
        name = definition.name

        def open_source(primary: SlotId, _address: str) -> LogSource:
            return LocalLogSource(self.network, name, self.slots[primary])

        settings = self.settings.slot_settings.get(name, SlotSettings(name))
        engine = SlotEngine(settings, open_source)
        self.slots[name] = engine
        self.network.add(name, definition.place)
        self.nursery.start_soon(engine.run)

    async def start_instance(self, name: InstanceId, place: PlaceId) -> Instance:
        """Start an instance, or restart it under the name of one that was killed."""
        self.network.add(name, place)

        def open_slot(definition: SlotDefinition) -> Slot:
            return LocalSlot(self.network, name, self.slots[definition.name])

        platform = Platform(
            OrderedStore(LocalStore(self.network, name, self.store)),
            LocalList(self.network, name, self.list),
            open_slot,
        )
        clock = HybridClock(trio.current_time)
        incarnation = int(trio.current_time() * 1000)
        member = Member(name, name, place, incarnation=incarnation)
        link = LocalLink(self.network, name, self.links)
        instance = Instance(
            member, platform, link, SECRET, Timeline(name, clock), Metrics()
        )
        instance.membership.rng.seed(self.rng.random())
        self.instances[name] = instance
        await self.nursery.start(self._run_instance, instance)
        return instance

    async def _run_instance(
        self, instance: Instance, task_status: trio.TaskStatus[None]
    ) -> None:
        async with trio.open_nursery() as nursery:
            self._nurseries[instance.instance_id] = nursery
            self.links[instance.instance_id].nursery = nursery
            await instance.start(nursery)
            task_status.started()

    def is_running(self, name: InstanceId) -> bool:
        """Return whether an instance has started and not ended."""
        return name in self._nurseries

    def kill(self, name: InstanceId) -> None:
        """End an instance without draining, as SIGKILL does."""
        self.links.pop(name, None)
        self._nurseries.pop(name).cancel_scope.cancel()
        instance = self.instances.pop(name)
        for pool in instance.home.pools.values():
            self.nursery.start_soon(pool.close)
        self.nursery.start_soon(instance.home.transactions.close)

    async def stop(self, name: InstanceId, drain_s: float = 10.0) -> None:
        """Drain an instance and end it.

        :param drain_s: upper limit of the drain in seconds.
        """
        instance = self.instances.pop(name)
        await instance.leave(drain_s)
        await instance.home.close()
        await instance.link.close()
        self._nurseries.pop(name).cancel_scope.cancel()

    def is_ready(self) -> bool:
        """Return whether every instance knows a started primary of each group."""
        for instance in self.instances.values():
            for group in self.settings.objects.upstream_groups:
                known = instance.record_cache.find(group.name)
                if known is None or not known.record.started:
                    return False
        return True

    def find_record(self, group: GroupId) -> GroupRecord:
        """Return the newest record of a group that any live instance has cached."""
        known = [item.record_cache.find(group) for item in self.instances.values()]
        latest = max((k for k in known if k is not None), key=lambda k: k.revision)
        return latest.record

    def make_endpoints(self) -> list[LocalEndpoint]:
        """Return one endpoint for each live instance."""
        return [LocalEndpoint(self, name) for name in self.instances]

    def count(self, counter: str) -> int:
        """Return the sum of a counter over the live instances."""
        return sum(i.metrics.counters[counter] for i in self.instances.values())

    def count_markers(self, query: str) -> dict[str, int]:
        """Return how many rows of all primaries contain each marker.

        :param query: a query that returns markers with their counts.
        """
        counts: dict[str, int] = {}
        for group in self.settings.objects.upstream_groups:
            primary = self.slots[self.find_record(group.name).primary]
            for marker, count in primary.database.execute(query):
                counts[marker] = counts.get(marker, 0) + count
        return counts


class LocalEndpoint(InstanceEndpoint):
    """Endpoint of an instance of a simulated deployment."""

    def __init__(
        self, simulation: Simulation, name: InstanceId, timeout_s: float = 5.0
    ) -> None:
        self._simulation = simulation
        self.name = name
        self._timeout_s = timeout_s

    async def send(
        self, service: str, request: StatementRequest
    ) -> StatementResponse | FailureBody | None:
        """Send a statement and return the answer, or None if none arrived in time."""
        delay_s = self._simulation.settings.client_delay_s
        await trio.sleep(delay_s)
        instance = self._simulation.instances.get(self.name)
        if instance is None:
            return FailureBody("unreachable", "nothing was sent", Ran.NO, 100)
        nursery = self._simulation.links[self.name].nursery
        answer: StatementResponse | FailureBody | None = None
        with trio.move_on_after(self._timeout_s):
            answer = await run_in(
                nursery, lambda: _ask(instance, ServiceId(service), request)
            )
        await trio.sleep(delay_s)
        return answer


async def _ask(
    instance: Instance, service: ServiceId, request: StatementRequest
) -> StatementResponse | FailureBody:
    try:
        return await instance.entry.run_statement(service, request)
    except RequestFailure as failure:
        return make_failure_body(failure)


def run_simulation(
    settings: SimulationSettings, use: Callable[[Simulation], Awaitable[T]]
) -> T:
    """Run a function on a started simulated deployment under a mock clock.

    :returns: the result of the function.
    """

    async def run() -> T:
        async with trio.open_nursery() as nursery:
            simulation = Simulation(settings, nursery)
            await simulation.start()
            result = await use(simulation)
            nursery.cancel_scope.cancel()
        return result

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run, clock=clock)
