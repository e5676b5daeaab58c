"""Homes that are replaced: by restarts in turn, and by both parts of a split fleet.

The pattern is a hand-over between two holders of a limited resource. An upstream
refuses connections over its limit, whoever opens them, so a new home must not take what
the old one still holds.
"""

from __future__ import annotations

import trio
from hypothesis import given
from hypothesis import strategies as st

from celeryfold.kernel.ids import UpstreamId
from celeryfold.proxy.placement import (
    N_RESERVED_CONNECTIONS,
    choose_homes,
    divide_among_homes,
)
from celeryfold.proxy.statements import Write
from celeryfold.standins.deployment import SimulatedDeployment

from .test_admission import REGIONS, make_peers, make_upstream
from .test_sessions import OWN, run_scenario

PRIMARY = UpstreamId("orders-0")


@given(
    st.integers(8, 200),
    st.integers(20, 200),
    st.integers(1, 8),
    st.sets(st.integers(0, 199)),
)
def test_homes_of_both_parts_of_a_split_fleet_stay_within_the_limit(
    n_members, n_connections, n_slots, cut_off
):
    """Each part replaces the homes of the other one, which still hold connections."""
    members = make_peers(n_members)
    upstream = make_upstream(n_slots)
    everyone = choose_homes(upstream, members, REGIONS, n_connections)
    if len(everyone) == n_members:
        return
    n_open = N_RESERVED_CONNECTIONS
    for side in (False, True):
        part = [m for n, m in enumerate(members) if (n in cut_off) is side]
        homes = choose_homes(upstream, part, REGIONS, n_connections, n_members)
        assert len(homes) <= len(everyone)
        for home in homes:
            is_substitute = home not in everyone
            n_open += divide_among_homes(n_connections, len(everyone), is_substitute)
    assert n_open <= n_connections


def test_a_small_part_of_a_large_fleet_does_not_connect_directly():
    part = make_peers(80)[:5]
    assert len(choose_homes(make_upstream(4), part, REGIONS, 46)) == 5
    assert len(choose_homes(make_upstream(4), part, REGIONS, 46, n_holders=80)) == 4


def test_an_instance_that_stops_gives_up_its_connections_and_still_serves():
    async def scenario(deployment: SimulatedDeployment) -> None:
        instance = deployment.instances[0]
        session = deployment.open_session(0, OWN)
        assert (await deployment.run(session, Write("a 1"))).error is None
        executor = instance.executors.find_local(PRIMARY)
        assert executor is not None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(instance.stop)
            await trio.sleep(0.1)
            assert executor.pool.n_open == 0
            assert instance.executors.find_local(PRIMARY) is None
            for number in range(5):
                answer = await deployment.run(session, Write(f"b {number}"))
                assert answer.error is None

    run_scenario(scenario)


def test_the_last_instance_keeps_its_connections_while_it_stops():
    async def scenario(deployment: SimulatedDeployment) -> None:
        instance = deployment.instances[0]
        session = deployment.open_session(0, OWN)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(instance.stop)
            await trio.sleep(0.1)
            assert (await deployment.run(session, Write("a 1"))).error is None

    run_scenario(scenario, SimulatedDeployment(n_instances=1))
