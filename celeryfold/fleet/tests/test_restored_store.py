"""The key-value store is restored from an older copy and lacks recent changes."""

from __future__ import annotations

import random

import pytest
import trio
from returns.result import Success

from celeryfold.bench.simulated_clients import SimulatedClients, make_small_simulation
from celeryfold.bench.simulation import Simulation, run_simulation
from celeryfold.config.publishing import publish
from celeryfold.config.tests.test_publishing import (
    ADOPTION_DEADLINE_S,
    add_places,
    read_generations,
)
from celeryfold.kernel.ids import GroupId, InstanceId, PlaceId
from celeryfold.standins.local import STORE_NAME, LocalStore

pytestmark = pytest.mark.proof

GROUP = GroupId("g1")
FAILOVER_DEADLINE_S = 12.0


def connect(simulation: Simulation) -> LocalStore:
    return LocalStore(simulation.network, STORE_NAME, simulation.store)


def list_digests(simulation: Simulation) -> set[str]:
    return {i.configuration.digest for i in simulation.instances.values()}


def test_a_set_that_is_accepted_after_the_restore_is_in_force():
    """Its generation was given out before, to a set that the store has lost."""

    async def use(simulation: Simulation) -> None:
        copy = simulation.store.copy()
        await publish(connect(simulation), add_places(simulation, 1))
        await trio.sleep(ADOPTION_DEADLINE_S)
        simulation.store.restore(copy)
        result = await publish(connect(simulation), add_places(simulation, 2))
        pointer = result.unwrap()
        await trio.sleep(ADOPTION_DEADLINE_S)
        assert list_digests(simulation) == {pointer.digest}

    run_simulation(make_small_simulation(), use)


def test_a_set_that_the_store_has_lost_is_written_again():
    """A fleet that starts anew after the restore must not go back to an older set."""

    async def use(simulation: Simulation) -> None:
        copy = simulation.store.copy()
        result = await publish(connect(simulation), add_places(simulation, 1))
        assert isinstance(result, Success)
        await trio.sleep(ADOPTION_DEADLINE_S)
        before = read_generations(simulation)
        simulation.store.restore(copy)
        await trio.sleep(ADOPTION_DEADLINE_S)
        for number, place in enumerate(simulation.settings.places):
            simulation.kill(InstanceId(f"i{number + 1}"))
            assert place
        for number, place in enumerate(simulation.settings.places):
            await simulation.start_instance(
                InstanceId(f"i{number + 1}"), PlaceId(place)
            )
        await trio.sleep(ADOPTION_DEADLINE_S)
        assert read_generations(simulation) == before
        assert list_digests(simulation) == {result.unwrap().digest}

    run_simulation(make_small_simulation(), use)


def test_a_primary_is_replaced_after_the_restore():
    """The record has a lower revision than the one that the instances know."""

    async def use(simulation: Simulation) -> None:
        copy = simulation.store.copy()
        clients = SimulatedClients(simulation)
        caller = clients.make_caller("c", random.Random(1))
        owner = clients.find_owner(GROUP)
        first = simulation.find_record(GROUP).primary
        simulation.network.cut(first)
        await trio.sleep(FAILOVER_DEADLINE_S)
        second = simulation.find_record(GROUP).primary
        assert second != first
        simulation.network.heal_endpoint(first)
        await trio.sleep(FAILOVER_DEADLINE_S)
        simulation.store.restore(copy)
        await trio.sleep(FAILOVER_DEADLINE_S)
        assert simulation.find_record(GROUP).primary == second
        await caller.write(owner)
        simulation.network.cut(second)
        await trio.sleep(FAILOVER_DEADLINE_S)
        assert simulation.find_record(GROUP).primary != second
        assert clients.make_verdict().is_good

    run_simulation(make_small_simulation(), use)
