"""The record of the fleet in the store, for instances that start during a partition."""

from __future__ import annotations

import msgspec
import trio

from celeryfold.accounts import AccountRules, AccountTable
from celeryfold.kernel.decoding import decode_json
from celeryfold.kernel.ids import AccountId, InstanceId
from celeryfold.proxy.fleet_records import FleetRecord
from celeryfold.standins.deployment import SimulatedDeployment

from .test_failover import restart_all
from .test_sessions import run_scenario

KEY = "celeryfold/fleet/region"
ACCOUNT = AccountId("shop")
RECORDED_S = 5.0


def make_deployment() -> SimulatedDeployment:
    deployment = SimulatedDeployment()
    rules = AccountRules(ACCOUNT, 40.0, 20.0)
    deployment.accounts = AccountTable({ACCOUNT: rules}, {})
    return deployment


def read_names(deployment: SimulatedDeployment) -> set[InstanceId]:
    record = decode_json(deployment.store.items[KEY].value, FleetRecord)
    return {recorded.instance_id for recorded in record.instances}


def test_one_instance_records_the_fleet_when_it_changes():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await trio.sleep(RECORDED_S)
        assert read_names(deployment) == {f"instance-{n}" for n in range(3)}
        revision = deployment.store.items[KEY].revision
        await trio.sleep(10.0)
        assert deployment.store.items[KEY].revision == revision

    run_scenario(scenario, make_deployment())


def test_nothing_is_recorded_without_rates():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await trio.sleep(RECORDED_S)
        assert KEY not in deployment.store.items

    run_scenario(scenario)


# Guards against review case 6: instances that start during a partition take their side
# for the whole fleet.
def test_a_started_instance_counts_those_that_it_does_not_see():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await trio.sleep(RECORDED_S)
        for number in range(3):
            deployment.kill(number)
        await trio.sleep(1.0)
        await deployment.start_again(2)
        await trio.sleep(3.0)
        fleet = deployment.instances[2].rate_coordinator.fleet
        assert fleet.n_known == 3
        assert fleet.reached_share <= 1 / 3 + 0.01
        assert len(read_names(deployment)) == 3

    run_scenario(scenario, make_deployment())


def test_a_restart_of_all_lowers_no_share():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await trio.sleep(RECORDED_S)
        await restart_all(deployment)
        await trio.sleep(4.0)
        for instance in deployment.instances:
            assert instance.rate_coordinator.fleet.reached_share == 1.0

    run_scenario(scenario, make_deployment())


def test_an_unreadable_record_names_no_instance():
    async def scenario(deployment: SimulatedDeployment) -> None:
        odd = msgspec.json.encode({"instances": [["a", 5]]})
        deployment.store.write("celeryfold/fleet/elsewhere", odd)
        await restart_all(deployment)
        await trio.sleep(4.0)
        fleet = deployment.instances[0].rate_coordinator.fleet
        assert fleet.reached_share == 1.0

    run_scenario(scenario, make_deployment())
