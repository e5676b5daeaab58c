"""The store is restored from an older copy and lacks what it acknowledged since."""

from __future__ import annotations

import msgspec
import pytest
import trio
import trio.testing

from celeryfold.exceptions import CeleryfoldError
from celeryfold.kernel.ids import InstanceId, UpstreamId
from celeryfold.proxy.leases import (
    ERA_KEY,
    LEASE_TTL_S,
    Duty,
    EraTooRecent,
    LeaseManager,
)
from celeryfold.proxy.store import (
    CoordinationStore,
    Expectation,
    ItemWrite,
    Lease,
    StoreUnavailable,
)
from celeryfold.standins.coordination import MemoryStore, StoreCopy
from celeryfold.standins.deployment import SimulatedDeployment

from .test_failover import FIRST, SECOND, THIRD, check_nothing_lost, wait_written
from .test_sessions import run_scenario
from .test_store_faults import list_versions

KEY = "celeryfold/duties/orders"
OWN_PREFIX = "celeryfold/"
OUTAGE_S = 1.5


def run_with_unchanged_entries(scenario, n_databases: int = 3) -> SimulatedDeployment:
    """Run a scenario in which heartbeats do not raise the store's revision.

    They would pass the lost revisions within seconds.
    """
    deployment = SimulatedDeployment(n_databases=n_databases)
    deployment.rewrites_unchanged_entries = False
    return run_scenario(scenario, deployment)


async def restore(
    deployment: SimulatedDeployment, copy: StoreCopy, outage_s: float = OUTAGE_S
) -> None:
    """Take the store away and bring it back as of the copy."""
    deployment.store.is_down = True
    await trio.sleep(outage_s)
    deployment.store.restore(copy, OWN_PREFIX)
    deployment.store.is_down = False


async def write_often(deployment: SimulatedDeployment, n_writes: int) -> None:
    """Raise the store's revision by writes that change nothing."""
    for _ in range(n_writes):
        deployment.store.write("other", b"")
    await trio.sleep(1.0)


def set_leaving(deployment: SimulatedDeployment, name: UpstreamId) -> None:
    database = deployment.replicas.databases[name]
    database.upstream = msgspec.structs.replace(database.upstream, is_leaving=True)


def list_leaving(deployment: SimulatedDeployment, name: UpstreamId) -> list[bool]:
    """Return for each instance whether it knows that an upstream is leaving."""
    found = [instance.directory.find(name) for instance in deployment.instances]
    return [upstream is not None and upstream.is_leaving for upstream in found]


def run_with_store(scenario) -> None:
    async def run() -> None:
        store = MemoryStore()
        store.write(ERA_KEY, b"1")
        await scenario(store)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def make_duty(store: CoordinationStore, name: str) -> Duty:
    manager = LeaseManager(store, trio.current_time)
    return Duty(KEY, InstanceId(name), store, manager, trio.current_time)


def test_an_upstream_that_leaves_after_the_restore_is_noticed():
    """Its entry has a lower revision than the last change before the restore."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        copy = deployment.store.copy()
        await write_often(deployment, 30)
        set_leaving(deployment, UpstreamId("orders-1"))
        await trio.sleep(3.0)
        await restore(deployment, copy)
        await trio.sleep(4.0)
        set_leaving(deployment, UpstreamId("orders-2"))
        await trio.sleep(4.0)
        assert list_leaving(deployment, UpstreamId("orders-2")) == [True] * 3

    run_with_unchanged_entries(scenario)


def test_changes_are_found_once_the_revisions_have_passed_the_old_ones():
    """The store cannot tell that a watch from an old revision misses changes."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        copy = deployment.store.copy()
        await write_often(deployment, 8)
        deployment.store.is_down = True
        await trio.sleep(OUTAGE_S)
        deployment.store.restore(copy, OWN_PREFIX)
        set_leaving(deployment, UpstreamId("orders-2"))
        deployment._write_entries()
        for _ in range(10):
            deployment.store.write("other", b"")
        deployment.store.is_down = False
        await trio.sleep(3.5)
        assert list_leaving(deployment, UpstreamId("orders-2")) == [True] * 3

    run_with_unchanged_entries(scenario)


def test_a_configuration_of_the_restored_store_is_in_force_within_seconds():
    async def scenario(deployment: SimulatedDeployment) -> None:
        copy = deployment.store.copy()
        deployment.publish(5)
        await trio.sleep(2.0)
        deployment.store.is_down = True
        await trio.sleep(OUTAGE_S)
        deployment.store.restore(copy)
        deployment.store.is_down = False
        await trio.sleep(3.0)
        assert list_versions(deployment) == [5, 5, 5]
        deployment.publish(7)
        await trio.sleep(2.5)
        assert list_versions(deployment) == [7, 7, 7]

    run_with_unchanged_entries(scenario)


def test_tokens_rise_over_a_restore_of_the_store():
    """A lower token is refused by the platform, and no promotion succeeds."""

    async def scenario(store: MemoryStore) -> None:
        duty = make_duty(store.connect(), "one")
        copy = store.copy()
        for _ in range(20):
            store.write("other", b"")
        await duty.take(None)
        before = duty.require_token()
        store.restore(copy)
        duty.drop("the store was restored")
        with pytest.raises(CeleryfoldError):
            await duty.verify()
        while not duty.is_held:
            try:
                await duty.take(None)
            except CeleryfoldError:
                await trio.sleep(0.1)
        assert duty.require_token() > before

    run_with_store(scenario)


def test_a_lease_that_was_lost_is_not_renewed_under_a_number_given_out_again():
    async def scenario(store: MemoryStore) -> None:
        one, two = make_duty(store.connect(), "one"), make_duty(store.connect(), "two")
        copy = store.copy()
        await one.take(None)
        store.restore(copy)
        await two._store.grant_lease(LEASE_TTL_S)
        assert one._lease_id is not None
        await one._lease_manager._renew(one._lease_id)
        assert not one.is_held

    run_with_store(scenario)


def test_a_condition_of_the_lost_history_confirms_nothing():
    """Another instance wrote the key again at the same revision."""

    async def scenario(store: MemoryStore) -> None:
        one, two = store.connect(), store.connect()
        copy = store.copy()
        revision = await one.commit([Expectation(KEY, 0)], [ItemWrite(KEY, b"one")])
        store.restore(copy)
        await two.commit([Expectation(KEY, 0)], [ItemWrite(KEY, b"two")])
        with pytest.raises(CeleryfoldError):
            await one.commit([Expectation(KEY, revision)], [ItemWrite(KEY, b"one")])
        # The first call after the restore had to reach the store to learn of it.
        assert store.calls["txn"] == 3

    run_with_store(scenario)


@pytest.mark.parametrize("is_restored", [False, True])
def test_a_replica_that_was_dropped_is_not_required_again(is_restored):
    """The restored record names a replica that has since been lost for good.

    Another replica holds all commits, so the loss of the primary must not wait for it.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        copy = deployment.store.copy()
        deployment.replicas.crash(THIRD)
        await wait_written(deployment, 1, 5.0)
        await trio.sleep(10.0)
        deployment.store.is_down = True
        await trio.sleep(2 * LEASE_TTL_S)
        deployment.replicas.crash(FIRST)
        if is_restored:
            deployment.store.restore(copy, OWN_PREFIX)
        deployment.store.is_down = False
        await wait_written(deployment, 1, 10.0)

    check_nothing_lost(run_with_unchanged_entries(scenario, n_databases=4))


def test_two_instances_never_hold_a_duty_over_a_restore_of_the_store():
    """The restored key names an instance that had lost the duty before.

    The later holder cannot learn of the restore, and its lease still runs.
    """

    async def scenario(deployment: SimulatedDeployment) -> None:
        first = deployment.find_guardian()
        assert first is not None
        copy = deployment.store.copy()
        instance = deployment.instances[first]
        instance._guardian_scope.cancel()
        await trio.sleep(0.1)
        instance._guardians.clear()
        deployment.store.delete(KEY)
        await trio.sleep(3.0)
        second = deployment.find_guardian()
        assert second not in (None, first)
        later = deployment.instances[second]._guardians[deployment.service]._duty
        refusing = MemoryStore()
        refusing.is_down = True
        later._lease_manager._store = refusing
        later._store = refusing
        deployment.store.restore(copy, OWN_PREFIX)
        again = make_duty(instance._platform.store, f"instance-{first}")
        while later.is_held:
            await trio.sleep(0.05)
            item = await instance._platform.store.get(KEY)
            if item is not None and again.is_from_earlier_process(item):
                try:
                    await again.take(item)
                except CeleryfoldError:
                    continue
            assert not (again.is_held and later.is_held)

    run_with_unchanged_entries(scenario)


def test_a_late_answer_of_an_earlier_era_counts_as_no_answer():
    """It may tell of keys that the store has lost since."""

    async def scenario(store: MemoryStore) -> None:
        client = store.connect()
        await client.get(KEY)
        store.era = 2
        await client.get(KEY)
        store.era = 1
        with pytest.raises(StoreUnavailable):
            await client.get(KEY)
        assert client.era == 2

    run_with_store(scenario)


def test_a_new_instance_waits_for_leases_only_in_an_era_that_is_not_recorded():
    """It cannot know how long ago the store returned."""

    async def scenario(store: MemoryStore) -> None:
        one = make_duty(store.connect(), "one")
        started_at = trio.current_time()
        await one.take(None)
        assert trio.current_time() - started_at < 0.1
        store.restore(store.copy())
        two = make_duty(store.connect(), "two")
        with pytest.raises(EraTooRecent):
            await two._lease_manager.acquire()
        assert two.must_wait
        await trio.sleep(LEASE_TTL_S + 0.1)
        assert two.must_wait
        await trio.sleep(LEASE_TTL_S)
        assert not two.must_wait
        await two._lease_manager.acquire()
        assert store.items[ERA_KEY].value == b"2"
        three = make_duty(store.connect(), "three")
        await three._lease_manager.acquire()

    run_with_store(scenario)


def test_a_primary_lost_beside_the_restore_is_replaced():
    """Duties are vacant for one lease after the restore, not for longer."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        copy = deployment.store.copy()
        await wait_written(deployment, 1, 5.0)
        deployment.store.restore(copy, OWN_PREFIX)
        deployment.replicas.crash(FIRST, is_silent=True)
        assert await wait_written(deployment, 1, 12.0) < 3 * LEASE_TTL_S

    check_nothing_lost(run_scenario(scenario))


def test_no_lease_is_taken_if_the_store_is_restored_while_it_is_granted():
    async def scenario(store: MemoryStore) -> None:
        one = make_duty(store.connect(), "one")
        real_grant = store.grant_lease

        async def grant_lease(ttl_s: float) -> Lease:
            store.restore(store.copy())
            return await real_grant(ttl_s)

        store.grant_lease = grant_lease  # type: ignore[method-assign]
        with pytest.raises(EraTooRecent):
            await one.take(None)
        assert not one.is_held

    run_with_store(scenario)


def test_a_started_instance_does_not_guard_first_after_the_restore():
    """Only the instances that ran before know a replica that the record lacks.

    The replica was listed after the copy, acknowledged commits alone and is gone.
    """
    deployment = SimulatedDeployment()
    deployment.rewrites_unchanged_entries = False
    deployment.unregistered.add(THIRD)
    databases = deployment.replicas.databases
    databases[THIRD].is_replication_cut = True

    async def scenario(deployment: SimulatedDeployment) -> None:
        copy = deployment.store.copy()
        deployment.unregistered.discard(THIRD)
        await trio.sleep(4.0)
        databases[SECOND].is_replication_cut = True
        databases[THIRD].is_replication_cut = False
        await wait_written(deployment, 1, 5.0)
        deployment.replicas.crash(THIRD)
        await trio.sleep(8.0)
        guardian = deployment.find_guardian()
        assert guardian is not None
        deployment.kill(guardian)
        deployment.store.is_down = True
        deployment.replicas.crash(FIRST)
        databases[SECOND].is_replication_cut = False
        deployment.store.restore(copy, OWN_PREFIX)
        await deployment.start_again(guardian)
        await trio.sleep(OUTAGE_S)
        deployment.store.is_down = False
        await trio.sleep(15.0)
        assert not deployment.replicas.promotions

    run_scenario(scenario, deployment)
