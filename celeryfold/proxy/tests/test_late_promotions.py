"""Promotion calls that the platform leaves unanswered and carries out later."""

from __future__ import annotations

import pytest
import trio

from celeryfold.kernel.decoding import decode_json
from celeryfold.kernel.ids import UpstreamId
from celeryfold.proxy.duty_record import DutyRecord
from celeryfold.proxy.promoter import N_PROMOTION_ATTEMPTS
from celeryfold.proxy.routes import Consistency
from celeryfold.proxy.statements import Write
from celeryfold.proxy.store import Item, StoreUnavailable
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
from .test_restored_store import OWN_PREFIX
from .test_sessions import run_scenario

PRIMARY = Consistency.PRIMARY
DATABASES = (FIRST, SECOND, THIRD)


async def write_without(
    deployment: SimulatedDeployment, deaf: UpstreamId, number: int, n_writes: int = 5
) -> None:
    """Write while one database receives nothing from the primary."""
    deployment.replicas.databases[deaf].is_replication_cut = True
    session = deployment.open_session(number, PRIMARY)
    for value in range(n_writes):
        await deployment.run(session, Write(f"a {value}"))


# Guards against review case 1: the late call deposed the primary that was promoted
# after it with the same token.
def test_a_late_promotion_does_not_depose_a_primary_promoted_after_it():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.promotion_lateness_s = [8.0]
        started_at = trio.current_time()
        deployment.replicas.crash(FIRST, is_silent=True)
        await wait_written(deployment, 1, 7.0)
        first_choice = find_leader_id(deployment)
        deployment.replicas.restart(FIRST)
        deployment.replicas.crash(first_choice, is_silent=True)
        await wait_written(deployment, 1, 7.0)
        second_choice = find_leader_id(deployment)
        assert second_choice not in (FIRST, first_choice)
        assert trio.current_time() - started_at < 8.0
        deployment.replicas.restart(first_choice)
        await write_without(deployment, first_choice, 1)
        await trio.sleep(10.0)
        assert find_leader_id(deployment) == second_choice

    check_nothing_lost(run_scenario(scenario))


async def wait_unanswered(deployment: SimulatedDeployment) -> None:
    """Wait until a promotion call waits at the platform."""
    n_before = len(deployment.replicas.promotion_lateness_s)
    while len(deployment.replicas.promotion_lateness_s) == n_before:
        await trio.sleep(0.05)


async def write_and_wait(
    deployment: SimulatedDeployment, number: int, late_s: float
) -> None:
    """Write while a replica receives nothing, and wait for the late calls.

    The primary has to stay the same meanwhile.
    """
    await wait_written(deployment, number, 15.0)
    leader = find_leader_id(deployment)
    deaf = THIRD if leader == FIRST else FIRST
    await write_without(deployment, deaf, number)
    await trio.sleep(late_s)
    assert find_leader_id(deployment) == leader


# Guards against a dead holder's promotion that takes effect under the next holder.
def test_a_dead_holders_promotion_does_not_depose_the_primary_that_is_back():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.promotion_lateness_s = [11.0]
        deployment.replicas.crash(FIRST, is_silent=True)
        await wait_unanswered(deployment)
        guardian = deployment.find_guardian()
        assert guardian is not None
        deployment.kill(guardian)
        await trio.sleep(2.0)
        deployment.replicas.restart(FIRST)
        other = (guardian + 1) % 3
        await write_and_wait(deployment, other, 12.0)

    check_nothing_lost(run_scenario(scenario))


# Guards against a holder that goes back to the former primary with a call still open.
def test_an_open_promotion_does_not_depose_the_primary_that_is_back():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.promotion_lateness_s = [20.0] * N_PROMOTION_ATTEMPTS
        deployment.replicas.crash(FIRST, is_silent=True)
        while deployment.replicas.promotion_lateness_s:
            await trio.sleep(0.05)
        deployment.replicas.restart(FIRST)
        await wait_written(deployment, 1, 15.0)
        leader = find_leader_id(deployment)
        deaf = THIRD if leader == FIRST else FIRST
        await write_without(deployment, deaf, 1)
        await trio.sleep(20.0)
        assert find_leader_id(deployment) == leader

    check_nothing_lost(run_scenario(scenario))


# Guards against paused replicas that stay so because the platform does not answer.
def test_writes_go_on_once_the_platform_answers():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.promotion_lateness_s = [30.0] * 1000
        deployment.replicas.crash(FIRST, is_silent=True)
        await trio.sleep(3.0)
        deployment.replicas.restart(FIRST)
        await trio.sleep(10.0)
        deployment.replicas.promotion_lateness_s.clear()
        assert await wait_written(deployment, 1, 12.0) < 6.0

    check_nothing_lost(run_scenario(scenario))


# Guards against replicas that stay paused for calls that were never sent.
def test_a_call_that_was_not_sent_does_not_keep_replicas_paused():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.is_promotion_down = True
        deployment.replicas.crash(FIRST, is_silent=True)
        await trio.sleep(3.0)
        deployment.replicas.restart(FIRST)
        assert await wait_written(deployment, 1, 8.0) < 4.0
        assert find_leader_id(deployment) == FIRST

    check_nothing_lost(run_scenario(scenario))


# Guards against a healthy primary that is replaced since the record cannot be read.
def test_a_primary_is_kept_where_the_record_does_not_tell_of_open_calls():
    async def scenario(deployment: SimulatedDeployment) -> None:
        await wait_written(deployment, 0, 5.0)
        guardian = deployment.find_guardian()
        assert guardian is not None
        deployment.kill(guardian)
        deployment.store.write(f"celeryfold/members/{deployment.service}", b"[]")
        other = (guardian + 1) % 3
        await trio.sleep(8.0)
        assert await wait_written(deployment, other, 1.0) < 0.5
        assert find_leader_id(deployment) == FIRST
        named = [upstream for _, _, _, upstream in deployment.replicas.promotions]
        assert named == [FIRST]

    check_nothing_lost(run_scenario(scenario))


# Guards against a holder that acts without the record since it could not read it.
def test_a_holder_reads_the_record_before_it_acts():
    async def scenario(deployment: SimulatedDeployment) -> None:
        deployment.replicas.promotion_lateness_s = [11.0]
        deployment.replicas.crash(FIRST, is_silent=True)
        await wait_unanswered(deployment)
        guardian = deployment.find_guardian()
        assert guardian is not None
        deployment.kill(guardian)
        n_failures = 0
        read = deployment.store.get

        async def get(key: str) -> Item | None:
            nonlocal n_failures
            if key.startswith("celeryfold/members/") and n_failures < 2:
                n_failures += 1
                raise StoreUnavailable("no response")
            return await read(key)

        deployment.store.get = get  # type: ignore[method-assign]
        await trio.sleep(2.0)
        deployment.replicas.restart(FIRST)
        other = (guardian + 1) % 3
        await write_and_wait(deployment, other, 12.0)
        assert n_failures == 2

    check_nothing_lost(run_scenario(scenario))


# Guards against a restored record that does not tell of the latest calls.
@pytest.mark.parametrize("is_holder_killed", [True, False])
def test_an_open_promotion_is_settled_after_a_restore_of_the_store(is_holder_killed):
    async def scenario(deployment: SimulatedDeployment) -> None:
        await trio.sleep(1.0)
        copy = deployment.store.copy()
        deployment.replicas.promotion_lateness_s = [20.0] * N_PROMOTION_ATTEMPTS
        deployment.replicas.crash(FIRST, is_silent=True)
        await wait_unanswered(deployment)
        guardian = deployment.find_guardian()
        assert guardian is not None
        if is_holder_killed:
            deployment.kill(guardian)
        deployment.store.restore(copy, OWN_PREFIX)
        deployment.replicas.promotion_lateness_s.clear()
        deployment.replicas.restart(FIRST)
        other = (guardian + 1) % 3
        await write_and_wait(deployment, other, 22.0)

    check_nothing_lost(run_scenario(scenario))


async def kill_all_after_promotion(
    deployment: SimulatedDeployment, after_s: float
) -> UpstreamId:
    """Have the primary replaced, and kill all processes soon after that."""
    deployment.replicas.crash(FIRST)
    with trio.fail_after(10.0):
        while find_leader_id(deployment) == FIRST:
            await trio.sleep(0.005)
    await trio.sleep(after_s)
    leader = find_leader_id(deployment)
    await restart_all(deployment)
    return leader


# Guards against writes that stay suspended after a restart of all processes, though the
# last call named the upstream that leads.
@pytest.mark.parametrize("after_s", [0.0, 0.1, 0.4])
def test_after_a_restart_writes_go_on_at_the_upstream_that_was_promoted(after_s):
    async def scenario(deployment: SimulatedDeployment) -> None:
        leader = await kill_all_after_promotion(deployment, after_s)
        assert await wait_written(deployment, 1, 20.0) < 1.5
        assert find_leader_id(deployment) == leader

    check_nothing_lost(run_scenario(scenario))


# Guards against a record that does not name an upstream which a call may promote.
def test_the_record_names_the_targets_before_a_call_is_sent(monkeypatch):
    async def scenario(deployment: SimulatedDeployment) -> None:
        recorded = []
        promote = deployment.replicas.promote

        async def record_targets(service, upstream, holder, token) -> None:
            item = deployment.store.items[f"celeryfold/members/{service}"]
            record = decode_json(item.value, DutyRecord)
            recorded.append((upstream, record.is_settled, record.targets))
            await promote(service, upstream, holder, token)

        monkeypatch.setattr(deployment.replicas, "promote", record_targets)
        deployment.replicas.n_promotions_to_lose = 2
        deployment.replicas.crash(FIRST)
        await wait_written(deployment, 1, 10.0)
        assert recorded
        for upstream, is_settled, targets in recorded:
            assert not is_settled
            assert targets is not None and upstream in targets

    check_nothing_lost(run_scenario(scenario))


# Guards against commits that are lost beside an open call whose target is known.
def test_a_next_holder_that_knows_the_target_settles_the_call():
    async def scenario(deployment: SimulatedDeployment) -> None:
        replicas = deployment.replicas
        replicas.promotion_lateness_s = [8.0] * 8
        replicas.crash(FIRST)
        with trio.fail_after(10.0):
            while not replicas.n_promotion_calls:
                await trio.sleep(0.01)
        replicas.restart(FIRST)
        await restart_all(deployment)
        await wait_written(deployment, 1, 20.0)
        await trio.sleep(10.0)
        await wait_written(deployment, 1, 5.0)

    check_nothing_lost(run_scenario(scenario))


# Guards against a next holder that lets clients write to the former primary although
# the platform has accepted a call that takes effect a second later.
@pytest.mark.parametrize("after_s", [0.05, 0.3, 0.6])
def test_the_record_names_the_target_of_an_accepted_call(after_s):
    async def scenario(deployment: SimulatedDeployment) -> None:
        replicas = deployment.replicas
        replicas.promotion_delay_s = 1.4
        replicas.crash(FIRST)
        with trio.fail_after(10.0):
            while not replicas.promotions:
                await trio.sleep(0.01)
        await trio.sleep(after_s)
        replicas.restart(FIRST)
        replicas.add_database(UpstreamId("orders-9"))
        item = deployment.store.items[f"celeryfold/members/{deployment.service}"]
        record = decode_json(item.value, DutyRecord)
        assert not record.is_settled
        accepted = replicas.promotions[-1][3]
        assert accepted in (record.targets or ())
        number = deployment.find_guardian()
        assert number is not None
        guardian = deployment.instances[number]._guardians[deployment.service]
        # A record that is written again meanwhile names it, too.
        assert accepted in (guardian._make_record("", False).targets or ())
        await restart_all(deployment)
        await wait_written(deployment, 1, 20.0)

    check_nothing_lost(run_scenario(scenario))
