"""Promotion calls that the platform leaves unanswered and carries out later."""

from __future__ import annotations

import trio

from celeryfold.kernel.ids import UpstreamId
from celeryfold.proxy.routes import Consistency
from celeryfold.proxy.statements import Write
from celeryfold.standins.deployment import SimulatedDeployment

from .test_failover import (
    FIRST,
    SECOND,
    THIRD,
    check_nothing_lost,
    find_leader_id,
    wait_written,
)
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
