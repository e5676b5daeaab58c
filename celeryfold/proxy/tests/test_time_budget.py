"""Calls that queue for a connection keep to the time-out of their route.

The pattern is a deadline that is passed on: time spent in a queue is taken from the
time that is left to run. No call is held past its time, and a write that could only be
sent near its end is refused instead, which its client can repeat.
"""

from __future__ import annotations

import pytest
import trio

from celeryfold.kernel.errors import ErrorKind
from celeryfold.kernel.ids import UpstreamId
from celeryfold.proxy.statements import Begin, Write
from celeryfold.standins.deployment import SimulatedDeployment

from .test_sessions import OWN, get_kind, run_scenario

PRIMARY = UpstreamId("orders-0")
STATEMENT_TIMEOUT_S = 0.8
# Answers that promise the client that nothing of its attempt is kept.
NOT_RUN = {ErrorKind.OVERLOADED, ErrorKind.NOT_RUN, ErrorKind.NO_PRIMARY}


async def fill_pool(
    deployment: SimulatedDeployment, seconds: float, *, task_status
) -> None:
    """Use all connections of an instance to the primary for some seconds."""
    executor = deployment.instances[0].executors.find_local(PRIMARY)
    assert executor is not None
    sessions = [deployment.open_session(0, OWN) for _ in range(executor.pool.limit)]
    for session in sessions:
        await deployment.run(session, Begin())
        assert (await deployment.run(session, Write("a 1"))).error is None
    task_status.started()
    await trio.sleep(seconds)
    for session in sessions:
        session.close()


@pytest.mark.parametrize("seconds", [0.05, 0.3, 0.39, 0.45, 0.7, 0.79, 2.0])
def test_a_queued_write_ends_within_its_time_and_is_answered_truthfully(seconds):
    async def scenario(deployment: SimulatedDeployment) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(fill_pool, deployment, seconds)
            session = deployment.open_session(0, OWN)
            started_at = trio.current_time()
            answer = await deployment.run(session, Write("b 1"))
            assert trio.current_time() - started_at <= STATEMENT_TIMEOUT_S
            assert get_kind(answer) in {None, *NOT_RUN}

    run_scenario(scenario)


def test_a_write_that_got_its_connection_late_has_only_the_rest_of_its_time():
    """The upstream falls silent as soon as the write has its connection."""

    async def scenario(deployment: SimulatedDeployment) -> None:
        async with trio.open_nursery() as nursery:
            await nursery.start(fill_pool, deployment, 0.15)
            nursery.start_soon(_silence_after_wait, deployment)
            session = deployment.open_session(0, OWN)
            started_at = trio.current_time()
            answer = await deployment.run(session, Write("b 1"))
            assert trio.current_time() - started_at <= STATEMENT_TIMEOUT_S + 0.001
            assert get_kind(answer) is ErrorKind.TIMED_OUT

    run_scenario(scenario)


async def _silence_after_wait(deployment: SimulatedDeployment) -> None:
    """Make all connections of the primary silent once no request waits for one."""
    executor = deployment.instances[0].executors.find_local(PRIMARY)
    assert executor is not None
    while not executor.pool.n_waiting:
        await trio.sleep(0.001)
    while executor.pool.n_waiting:
        await trio.sleep(0.0005)
    for connection in deployment.replicas.databases[PRIMARY].connections:
        connection.is_silent = True
