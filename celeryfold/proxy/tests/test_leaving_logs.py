"""A log leaves, moves or comes back empty beside the loss of the primary and of all."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
import pytest
import trio

from celeryfold.kernel.decoding import decode_json
from celeryfold.kernel.ids import UpstreamId
from celeryfold.proxy.duty_record import DutyRecord
from celeryfold.proxy.routes import Consistency
from celeryfold.proxy.statements import Write
from celeryfold.standins.deployment import SimulatedDeployment

from .test_failover import (
    FIRST,
    SECOND,
    THIRD,
    check_nothing_lost,
    find_leader_id,
    restart_all,
    wait_written,
)
from .test_sessions import run_scenario
from .test_unlisted_members import acknowledge_alone, write

PRIMARY = Consistency.PRIMARY
FOURTH = UpstreamId("orders-3")
# Time for the holder to see the report of a replica, to pause it and to record that.
PREPARED_S = 4.0
# Time for the holder to see that a log has ended and that others hold its commits.
COVERED_S = 4.0

Change = Callable[[SimulatedDeployment], None]


def report_leaving(deployment: SimulatedDeployment, upstream_id: UpstreamId) -> None:
    database = deployment.replicas.databases[upstream_id]
    database.upstream = msgspec.structs.replace(database.upstream, is_leaving=True)


def lose_log(deployment: SimulatedDeployment) -> None:
    """Let a replica without a log take the place of the third one."""
    deployment.replicas.remove_database(THIRD)
    deployment.replicas.add_database(FOURTH)


def start_under_new_id(deployment: SimulatedDeployment) -> None:
    deployment.replicas.restart(THIRD, new_id=FOURTH)


def start_at_new_address(deployment: SimulatedDeployment) -> None:
    deployment.replicas.add_database(FOURTH, copy_of=THIRD)
    deployment.replicas.remove_database(THIRD)


def start_empty(deployment: SimulatedDeployment) -> None:
    deployment.replicas.restart(THIRD, is_empty=True)


DEPARTURES: list[Change] = [
    lose_log,
    start_under_new_id,
    start_at_new_address,
    start_empty,
]


async def lose_primary_and_all(deployment: SimulatedDeployment) -> None:
    """Lose the primary for good and all processes, which start again."""
    deployment.replicas.crash(FIRST)
    await trio.sleep(0.2)
    await restart_all(deployment)


def read_record(deployment: SimulatedDeployment) -> DutyRecord:
    item = deployment.store.items[f"celeryfold/members/{deployment.service}"]
    return decode_json(item.value, DutyRecord)


async def write_meanwhile(deployment: SimulatedDeployment, gaps: list[float]) -> None:
    """Write again and again; add the seconds from one success to the next."""
    succeeded_at = trio.current_time()
    while True:
        session = deployment.open_session(0, PRIMARY)
        answer = await deployment.run(session, Write("b 1"))
        if answer.error is None:
            gaps.append(trio.current_time() - succeeded_at)
            succeeded_at = trio.current_time()
        await trio.sleep(0.02)


# Guards against review case 8: the primary is lost for good beside all processes while
# a replica is being replaced, and its former id is waited for without an end.
@pytest.mark.parametrize("depart", DEPARTURES)
@pytest.mark.parametrize("is_gone_first", [False, True])
def test_a_log_that_has_left_is_not_waited_for(depart, is_gone_first):
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        report_leaving(deployment, THIRD)
        await trio.sleep(PREPARED_S)
        await write(deployment, 2, 1.0)
        if is_gone_first:
            depart(deployment)
            await lose_primary_and_all(deployment)
        else:
            await lose_primary_and_all(deployment)
            depart(deployment)
        assert await wait_written(deployment, 1, 30.0) < 10.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a former id that is waited for although its log is at its address again
# or has ended, and others hold all that it may have acknowledged.
@pytest.mark.parametrize("depart", [start_under_new_id, start_empty])
@pytest.mark.parametrize("down_s", [0.5, 6.0])
def test_a_log_that_ended_without_a_report_is_not_waited_for(depart, down_s):
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        deployment.replicas.crash(THIRD)
        await trio.sleep(down_s)
        depart(deployment)
        await trio.sleep(COVERED_S)
        await write(deployment, 2, 1.0)
        await lose_primary_and_all(deployment)
        assert await wait_written(deployment, 1, 30.0) < 10.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a former id in the record that outlives many changes of its log.
def test_logs_that_change_one_after_the_other_are_not_waited_for():
    async def scenario(deployment: SimulatedDeployment) -> None:
        name = THIRD
        for number in range(4, 8):
            new_id = UpstreamId(f"orders-{number}")
            if number % 2:
                report_leaving(deployment, name)
                await trio.sleep(PREPARED_S)
            deployment.replicas.crash(name)
            await trio.sleep(0.5)
            deployment.replicas.restart(name, is_empty=number == 6, new_id=new_id)
            name = new_id
            await trio.sleep(COVERED_S)
            await write(deployment, number, 1.0)
        record = read_record(deployment)
        assert {m.upstream_id for m in record.members} == {FIRST, SECOND, name}
        assert not record.dropped
        await lose_primary_and_all(deployment)
        assert await wait_written(deployment, 1, 30.0) < 10.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a first attempt that begins only once the leaving replica is gone, the
# newest commits being there alone.
def test_the_first_attempt_after_a_restart_begins_before_a_replica_has_left():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        deployment.replicas.databases[SECOND].is_replication_cut = True
        report_leaving(deployment, THIRD)
        await trio.sleep(PREPARED_S)
        await write(deployment, 2, 3.0)
        await lose_primary_and_all(deployment)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        with trio.fail_after(3.5):
            while find_leader_id(deployment) == FIRST:
                await trio.sleep(0.05)
        assert find_leader_id(deployment) == THIRD
        await wait_written(deployment, 1, 5.0)

    check_nothing_lost(run_scenario(scenario))


# Guards against a recovery that loses commits which only the lost primary and the
# replica that has left had received.
@pytest.mark.parametrize("depart", [lose_log, start_empty])
def test_the_primary_is_waited_for_if_only_a_log_that_left_had_its_commits(depart):
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        deployment.replicas.databases[SECOND].is_replication_cut = True
        report_leaving(deployment, THIRD)
        await trio.sleep(PREPARED_S)
        await write(deployment, 2, 3.0)
        depart(deployment)
        await lose_primary_and_all(deployment)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await trio.sleep(10.0)
        assert not deployment.replicas.promotions
        deployment.replicas.restart(FIRST)
        await wait_written(deployment, 1, 10.0)

    check_nothing_lost(run_scenario(scenario))


# Guards against writes that stop while a replica drains and the others receive nothing.
@pytest.mark.parametrize("cut_s", [-1.0, 3.0])
def test_writes_go_on_while_a_replica_leaves_and_the_others_receive_nothing(cut_s):
    gaps: list[float] = []

    async def scenario(deployment: SimulatedDeployment) -> None:
        second = deployment.replicas.databases[SECOND]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write_meanwhile, deployment, gaps)
            await trio.sleep(1.0)
            second.is_replication_cut = cut_s < 0
            await trio.sleep(1.0)
            report_leaving(deployment, THIRD)
            await trio.sleep(max(cut_s, 0.0))
            second.is_replication_cut = True
            await trio.sleep(6.0)
            assert deployment.replicas.databases[THIRD].paused_term is None
            second.is_replication_cut = False
            deployment.replicas.ship_log()
            await trio.sleep(3.0)
            assert deployment.replicas.databases[THIRD].paused_term is not None
            nursery.cancel_scope.cancel()

    check_nothing_lost(run_scenario(scenario))
    assert max(gaps) < (0.3 if cut_s < 0 else 1.2)


# Guards against commits that a leaving replica receives unseen after it was paused.
@pytest.mark.parametrize("is_report_withdrawn", [False, True])
def test_a_leaving_replica_that_receives_again_is_waited_for(is_report_withdrawn):
    async def scenario(deployment: SimulatedDeployment) -> None:
        third = deployment.replicas.databases[THIRD]
        await write(deployment, 1, 1.0)
        report_leaving(deployment, THIRD)
        await trio.sleep(PREPARED_S)
        assert third.paused_term is not None
        if is_report_withdrawn:
            third.upstream = msgspec.structs.replace(third.upstream, is_leaving=False)
            await trio.sleep(PREPARED_S)
            assert third.paused_term is None
        else:
            deployment.replicas.databases[SECOND].is_replication_cut = True
            deployment.replicas.crash(THIRD)
            deployment.replicas.restart(THIRD)
            await trio.sleep(1.0)
        await acknowledge_alone(deployment)
        await trio.sleep(1.0)
        assert not read_record(deployment).final_positions
        deployment.replicas.crash(THIRD)
        await lose_primary_and_all(deployment)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await trio.sleep(8.0)
        assert not deployment.replicas.promotions
        deployment.replicas.restart(THIRD)
        await wait_written(deployment, 1, 15.0)

    check_nothing_lost(run_scenario(scenario))


async def kill_holder(deployment: SimulatedDeployment) -> None:
    guardian = deployment.find_guardian()
    assert guardian is not None
    deployment.kill(guardian)
    await trio.sleep(1.0)
    await deployment.start_again(guardian)
    await trio.sleep(4.0)


async def lose_nothing(deployment: SimulatedDeployment) -> None:
    """Let the last holder go on."""


# Guards against a next holder that lets a replica receive which the record calls final.
@pytest.mark.parametrize("disturb", [lose_nothing, kill_holder])
def test_a_next_holder_keeps_a_leaving_replica_paused(
    disturb: Callable[[SimulatedDeployment], Awaitable[None]],
):
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        report_leaving(deployment, THIRD)
        await trio.sleep(PREPARED_S)
        await disturb(deployment)
        await write(deployment, 2, 1.0)
        third = deployment.replicas.databases[THIRD]
        assert third.paused_term is not None
        assert [m.upstream_id for m in read_record(deployment).final_positions] == [
            THIRD
        ]
        lose_log(deployment)
        await lose_primary_and_all(deployment)
        assert await wait_written(deployment, 1, 30.0) < 10.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a final position from before a promotion, which lets paused replicas
# receive again.
def test_a_final_position_ends_with_a_promotion():
    async def scenario(deployment: SimulatedDeployment) -> None:
        replicas = deployment.replicas
        replicas.add_database(FOURTH)
        await trio.sleep(3.0)
        await write(deployment, 1, 1.0)
        report_leaving(deployment, THIRD)
        await trio.sleep(PREPARED_S)
        replicas.crash(FIRST)
        with trio.fail_after(10.0):
            while find_leader_id(deployment) == FIRST:
                await trio.sleep(0.005)
        leader = find_leader_id(deployment)
        staying = replicas.databases[SECOND if leader == FOURTH else FOURTH]
        staying.is_replication_cut = True
        await write(deployment, 2, 5.0)
        replicas.crash(THIRD)
        replicas.crash(leader)
        await restart_all(deployment)
        staying.is_replication_cut = False
        n_promotions = len(replicas.promotions)
        await trio.sleep(8.0)
        assert len(replicas.promotions) == n_promotions
        replicas.restart(leader)
        await wait_written(deployment, 1, 15.0)

    check_nothing_lost(run_scenario(scenario))


# Guards against a wait without an end where the record could not be written in time.
def test_a_replica_that_leaves_during_an_outage_of_the_store_is_not_waited_for():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        report_leaving(deployment, THIRD)
        await trio.sleep(PREPARED_S)
        deployment.store.is_down = True
        await trio.sleep(3.0)
        lose_log(deployment)
        await lose_primary_and_all(deployment)
        await trio.sleep(3.0)
        deployment.store.is_down = False
        assert await wait_written(deployment, 1, 30.0) < 15.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a wait for a stopped replica in the record: its log comes back under
# another id after all who knew of it are lost.
@pytest.mark.parametrize("depart", [start_under_new_id, start_empty])
@pytest.mark.parametrize("stopped_s", [2.5, 8.0])
def test_a_stopped_replica_that_is_replaced_after_the_loss_is_not_waited_for(
    depart, stopped_s
):
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        deployment.replicas.crash(THIRD)
        await trio.sleep(stopped_s)
        await write(deployment, 2, 1.0)
        await lose_primary_and_all(deployment)
        depart(deployment)
        assert await wait_written(deployment, 1, 30.0) < 12.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a wait for a stopped replica until its entry has lapsed.
def test_a_stopped_replica_is_not_waited_for_while_it_is_listed():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.add_database(FOURTH)
        await trio.sleep(3.0)
        await write(deployment, 1, 1.0)
        deployment.replicas.crash(THIRD)
        await trio.sleep(2.0)
        await write(deployment, 2, 1.0)
        deployment.replicas.crash(FIRST)
        assert await wait_written(deployment, 1, 10.0) < 2.5

    check_nothing_lost(run_scenario(scenario))


# Guards against commits of a stopped replica that is back before its entry has lapsed.
@pytest.mark.parametrize("is_memory_lost", [False, True])
def test_a_stopped_replica_that_is_back_is_asked(is_memory_lost):
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        deployment.replicas.crash(THIRD)
        await trio.sleep(2.0)
        await write(deployment, 2, 1.0)
        deployment.replicas.restart(THIRD)
        await acknowledge_alone(deployment)
        await trio.sleep(1.5 if is_memory_lost else 0.0)
        deployment.replicas.crash(FIRST)
        if is_memory_lost:
            await restart_all(deployment)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await trio.sleep(6.0)
        assert find_leader_id(deployment) == THIRD
        await wait_written(deployment, 1, 5.0)

    check_nothing_lost(run_scenario(scenario))


# Guards against a wait for the first of two leaving replicas where none stays.
def test_where_all_replicas_leave_the_last_one_receives():
    async def scenario(deployment: SimulatedDeployment) -> None:
        databases = deployment.replicas.databases
        await write(deployment, 1, 1.0)
        report_leaving(deployment, THIRD)
        await trio.sleep(PREPARED_S)
        report_leaving(deployment, SECOND)
        await trio.sleep(PREPARED_S)
        await write(deployment, 2, 1.0)
        assert databases[THIRD].paused_term is not None
        assert databases[SECOND].paused_term is None
        lose_log(deployment)
        await trio.sleep(PREPARED_S)
        assert databases[SECOND].paused_term is not None
        await write(deployment, 3, 1.0)
        await lose_primary_and_all(deployment)
        assert await wait_written(deployment, 1, 30.0) < 10.0

    check_nothing_lost(run_scenario(scenario))


# Guards against a wait for a replica that was not paused before it left: its entry is
# still there when the primary and all processes are lost.
def test_a_replica_that_left_unpaused_is_covered_before_its_entry_is_gone():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await write(deployment, 1, 1.0)
        report_leaving(deployment, THIRD)
        await trio.sleep(2.0)
        deployment.replicas.databases[SECOND].is_replication_cut = True
        await trio.sleep(2.0)
        await write(deployment, 2, 3.0)
        assert deployment.replicas.databases[THIRD].paused_term is None
        deployment.replicas.crash(THIRD)
        deployment.replicas.databases[SECOND].is_replication_cut = False
        await write(deployment, 3, 1.0)
        await trio.sleep(1.6)
        assert "upstreams/orders-2" in deployment.store.items
        await lose_primary_and_all(deployment)
        deployment.replicas.add_database(FOURTH)
        assert await wait_written(deployment, 1, 30.0) < 10.0

    check_nothing_lost(run_scenario(scenario))


# Guards against the loss of commits that an instance has heard of: a dropped replica
# came back in an outage of the store, acknowledged alone, and started again empty.
def test_a_replaced_replica_is_waited_for_while_its_commits_are_remembered():
    async def scenario(deployment: SimulatedDeployment) -> None:
        replicas = deployment.replicas
        await write(deployment, 1, 1.0)
        replicas.crash(THIRD)
        await trio.sleep(10.0)
        deployment.store.is_down = True
        await trio.sleep(4.0)
        replicas.restart(THIRD)
        await acknowledge_alone(deployment)
        await trio.sleep(1.0)
        replicas.databases[THIRD].is_replication_cut = True
        replicas.crash(THIRD)
        replicas.restart(THIRD, is_empty=True, new_id=FOURTH)
        replicas.crash(FIRST)
        replicas.databases[SECOND].is_replication_cut = False
        deployment.store.is_down = False
        await trio.sleep(10.0)
        assert not replicas.promotions
        replicas.restart(FIRST)
        replicas.databases[FOURTH].is_replication_cut = False
        await wait_written(deployment, 1, 15.0)

    check_nothing_lost(run_scenario(scenario))
