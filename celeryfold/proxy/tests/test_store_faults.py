"""Configuration, upstreams and duties survive outages of the store."""

from __future__ import annotations

import logging

import msgspec
import pytest
import trio
import trio.testing

from celeryfold.kernel.ids import InstanceId, ServiceId, UpstreamId
from celeryfold.proxy.directory import Directory, Listing
from celeryfold.proxy.leases import (
    ERA_KEY,
    LEASE_TTL_S,
    Duty,
    DutyLost,
    LeaseManager,
)
from celeryfold.proxy.routes import Consistency
from celeryfold.proxy.statements import Read, Write
from celeryfold.proxy.store import ItemList
from celeryfold.standins.coordination import MemoryStore
from celeryfold.standins.deployment import (
    MemoryDecoder,
    SimulatedDeployment,
    make_route_table,
)
from celeryfold.standins.replicas import ReplicaSet

from .test_failover import FIRST, check_nothing_lost, wait_written
from .test_sessions import run_scenario

PRIMARY = Consistency.PRIMARY
KEY = "celeryfold/duties/orders"


def list_versions(deployment: SimulatedDeployment) -> list[int]:
    return [instance.routes.version for instance in deployment.instances]


def test_a_configuration_is_in_force_everywhere_within_seconds():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.publish(5)
        await trio.sleep(2.0)
        assert list_versions(deployment) == [5, 5, 5]

    run_scenario(scenario)


def test_no_instance_goes_back_to_an_older_configuration():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.publish(9)
        await trio.sleep(2.0)
        deployment.publish(4)
        await trio.sleep(12.0)
        assert list_versions(deployment) == [9, 9, 9]

    run_scenario(scenario)


def test_an_instance_without_the_store_receives_changes_from_peers():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.instances[1].watcher._is_needed = lambda: False
        deployment.publish(5)
        await trio.sleep(3.0)
        assert list_versions(deployment) == [5, 5, 5]

    run_scenario(scenario)


def test_changes_behind_a_lost_history_are_found():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.store.is_down = True
        await trio.sleep(6.0)
        deployment.publish(5)
        deployment.store.compact()
        deployment.store.is_down = False
        await trio.sleep(3.0)
        assert list_versions(deployment) == [5, 5, 5]

    run_scenario(scenario)


def test_statements_are_served_through_an_outage_in_which_entries_lapse():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.store.is_down = True
        for name in deployment.replicas.databases:
            deployment.store.delete(f"{MemoryDecoder.upstream_prefix}{name}")
        await trio.sleep(10.0)
        session = deployment.open_session(0, PRIMARY)
        assert (await deployment.run(session, Write("a 1"))).error is None
        deployment.store.is_down = False
        await trio.sleep(4.0)
        assert (await deployment.run(session, Read("a"))).rows == ("1",)
        assert len(deployment.instances[0].directory.list_all()) == 3

    run_scenario(scenario)


def test_an_unreadable_configuration_or_entry_is_ignored():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.store.write(MemoryDecoder.table_key, b"\xff nonsense")
        deployment.store.write(f"{MemoryDecoder.upstream_prefix}stranger", b"{}")
        await trio.sleep(3.0)
        assert list_versions(deployment) == [1, 1, 1]
        session = deployment.open_session(0, PRIMARY)
        assert (await deployment.run(session, Write("a 1"))).error is None
        table = make_route_table(3, [deployment.service])
        deployment.store.write(MemoryDecoder.table_key, msgspec.json.encode(table))
        await trio.sleep(2.0)
        assert list_versions(deployment) == [3, 3, 3]

    run_scenario(scenario)


def test_a_leaving_upstream_gets_no_reads():
    async def scenario(deployment: SimulatedDeployment) -> None:
        name = UpstreamId("orders-1")
        database = deployment.replicas.databases[name]
        database.upstream = msgspec.structs.replace(database.upstream, is_leaving=True)
        await trio.sleep(3.0)
        n_before = len(deployment.replicas.runs)
        for number in range(3):
            session = deployment.open_session(number, Consistency.BOUNDED)
            for _ in range(5):
                assert (await deployment.run(session, Read("a"))).error is None
        after = deployment.replicas.runs[n_before:]
        assert after
        assert all(run.upstream != name for run in after)

    run_scenario(scenario)


def test_a_primary_is_replaced_after_an_outage_of_the_store():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.store.is_down = True
        deployment.replicas.crash(FIRST, is_silent=True)
        await trio.sleep(6.0)
        assert not deployment.replicas.promotions
        deployment.store.is_down = False
        await wait_written(deployment, 1, 12.0)

    check_nothing_lost(run_scenario(scenario))


def run_with_duties(scenario) -> None:
    """Run a scenario with two instances that compete for one duty."""

    async def run() -> None:
        store = MemoryStore()
        store.write(ERA_KEY, b"1")
        async with trio.open_nursery() as nursery:
            duties = []
            for name in ("one", "two"):
                manager = LeaseManager(store, trio.current_time)
                nursery.start_soon(manager.run)
                holder = InstanceId(name)
                clock = trio.current_time
                duties.append(Duty(KEY, holder, store, manager, clock))
            await scenario(store, *duties)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_one_instance_holds_a_duty_and_tokens_rise():
    async def scenario(store: MemoryStore, one: Duty, two: Duty) -> None:
        await one.take(None)
        first = one.require_token()
        await trio.sleep(3 * LEASE_TTL_S)
        assert one.require_token() == first
        try:
            await two.take(None)
        except DutyLost:
            pass
        assert not two.is_held
        await one.renew_token()
        assert one.require_token() > first

    run_with_duties(scenario)


def test_a_holder_that_cannot_renew_stops_before_another_can_start():
    async def scenario(store: MemoryStore, one: Duty, two: Duty) -> None:
        await one.take(None)
        token = one.require_token()
        store.is_silent = True
        while one.is_held:
            await trio.sleep(0.01)
        store.is_silent = False
        assert KEY in store.items
        while not two.is_held:
            await trio.sleep(0.05)
            try:
                await two.take(None)
            except DutyLost:
                assert not one.is_held
        assert two.require_token() > token
        assert one.has_expired

    run_with_duties(scenario)


def test_a_duty_is_read_back_after_a_lost_answer_before_it_is_held():
    async def scenario(store: MemoryStore, one: Duty, two: Duty) -> None:
        store.n_answers_to_lose = 1
        try:
            await one.take(None)
        except Exception as error:
            assert "lost" in str(error)
        assert not one.is_held
        item = store.items[KEY]
        assert not two.claim_if_own(item)
        assert one.claim_if_own(item)
        assert one.require_token() == item.revision

    run_with_duties(scenario)


def test_a_restarted_instance_takes_its_own_duty_back_at_once():
    async def scenario(store: MemoryStore, one: Duty, two: Duty) -> None:
        await one.take(None)
        token = one.require_token()
        manager = LeaseManager(store, trio.current_time)
        again = Duty(KEY, InstanceId("one"), store, manager, trio.current_time)
        item = store.items[KEY]
        assert again.is_from_earlier_process(item)
        assert not two.is_from_earlier_process(item)
        await again.take(item)
        assert again.require_token() > token

    run_with_duties(scenario)


def test_a_duty_expires_while_the_host_is_suspended():
    now = [100.0]
    store = MemoryStore()
    manager = LeaseManager(store, lambda: now[0])
    duty = Duty(KEY, InstanceId("one"), store, manager, lambda: now[0])

    async def run() -> None:
        await duty.take(None)
        assert duty.is_held
        now[0] += LEASE_TTL_S + 0.1
        assert not duty.is_held

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_duty_does_not_come_back_with_another_lease():
    """A duty stays lost when another duty of the same instance gets a new lease."""

    async def scenario(store: MemoryStore, one: Duty, two: Duty) -> None:
        await one.take(None)
        manager = one._lease_manager
        await manager.end()
        other = Duty("celeryfold/duties/x", one.holder, store, manager, manager._clock)
        await other.take(None)
        assert other.is_held
        assert not one.is_held
        assert one.has_expired

    run_with_duties(scenario)


def test_watchers_that_the_store_refuses_are_replaced():
    """The store refuses every watcher but not the other instance of each data centre.

    The other instances take over. Once the store answers all of them again, one watcher
    remains for each data centre.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        refusing = MemoryStore()
        refusing.is_down = True
        for instance in deployment.instances:
            if instance.peers.is_watcher():
                instance.watcher._store = refusing
        await trio.sleep(0.1)
        deployment.publish(5)
        await trio.sleep(3.5)
        assert list_versions(deployment) == [5] * 6
        for instance in deployment.instances:
            instance.watcher._store = deployment.store
        await trio.sleep(6.0)
        watching = [i for i in deployment.instances if i.peers.is_watcher()]
        assert len(watching) == 3

    run_scenario(scenario, SimulatedDeployment(n_instances=6))


def test_a_listing_that_is_not_applied_is_logged(caplog: pytest.LogCaptureFixture):
    """Without this line nobody can tell it from a listing that was never received."""
    directory = Directory(lambda: 0.0)
    upstream = ReplicaSet(ServiceId("orders"), 1).list_upstreams()[0]
    with caplog.at_level(logging.WARNING):
        directory.adopt(Listing(9, (upstream,)), "store")
        directory.adopt(Listing(8, (upstream,)), "peer a")
        assert not caplog.records
        directory.adopt(Listing(8, ()), "peer b")
    (line,) = caplog.records
    assert (vars(line)["revision"], vars(line)["current"]) == (8, 9)


def test_a_listing_that_arrives_late_does_not_undo_newer_changes():
    """The guardian lists the upstreams beside the watch, which may be ahead of it."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        watcher = deployment.instances[0].watcher
        real_list = deployment.store.list_items
        stale = await real_list(MemoryDecoder.upstream_prefix)
        second = deployment.replicas.databases[UpstreamId("orders-1")]
        second.upstream = msgspec.structs.replace(second.upstream, is_leaving=True)
        await trio.sleep(3.0)

        async def list_late(prefix: str) -> ItemList:
            return stale

        deployment.store.list_items = list_late  # type: ignore[method-assign]
        await watcher.read_upstreams()
        deployment.store.list_items = real_list  # type: ignore[method-assign]
        third = deployment.replicas.databases[UpstreamId("orders-2")]
        third.upstream = msgspec.structs.replace(third.upstream, n_slots=7)
        await trio.sleep(3.0)
        for instance in deployment.instances:
            upstream = instance.directory.find(UpstreamId("orders-1"))
            assert upstream is not None
            assert upstream.is_leaving

    deployment = SimulatedDeployment()
    deployment.rewrites_unchanged_entries = False
    run_scenario(scenario, deployment)
