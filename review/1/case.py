"""An unanswered promotion is carried out after its holder has promoted another one.

Two primaries crash one after the other. The platform does not answer the first
promotion call and carries it out some seconds later.
"""

from __future__ import annotations

from pathlib import Path

import trio
from harness.deployment import SERVICE, Deployment, check_lost, run, write

# Few users at first, then the usual number.
N_EARLY_WRITERS = 1
EARLY_WRITE_INTERVAL_S = 0.5
N_WRITERS = 10
WRITE_INTERVAL_S = 0.04
# A crash of a database lasts up to 7 s on the site.
CRASH_S = 3.0
# The pages allow 2 to 12 s.
LATE_S = 8.0
ONE_WAY_BETWEEN_REGIONS_S = 0.030
PROMOTION_TIMEOUT_S = 20.0


async def scenario(
    deployment: Deployment, nursery: trio.Nursery, has_trouble: bool
) -> int:
    platform, replicas = deployment.platform, deployment.platform.replicas
    # The last database stands in the other region.
    replicas.replication_delay_s[f"{SERVICE}-2"] = ONE_WAY_BETWEEN_REGIONS_S
    n_calls = 0

    def delay_first(upstream: str, holder: str) -> float | None:
        nonlocal n_calls
        n_calls += 1
        return LATE_S if n_calls == 1 else None

    replicas.delay_promotion = delay_first
    acked: dict[str, float] = {}
    for number in range(N_EARLY_WRITERS):
        nursery.start_soon(write, deployment, number, EARLY_WRITE_INTERVAL_S, acked)
    await trio.sleep(6.0)
    for n_promotions in (1, 2):
        leader = replicas.find_leader()
        assert leader is not None
        if has_trouble:
            name = leader.upstream.upstream_id
            nursery.start_soon(platform.crash_for, name, CRASH_S)
            with trio.fail_after(PROMOTION_TIMEOUT_S):
                while len(replicas.completed) < n_promotions:
                    await trio.sleep(0.05)
        await trio.sleep(1.5)
    for number in range(N_WRITERS):
        nursery.start_soon(write, deployment, 10 + number, WRITE_INTERVAL_S, acked)
    await trio.sleep(LATE_S)
    return check_lost(deployment, acked)


run(Path(__file__).resolve().parent, ["here", "here", "muscat-a"], scenario)
