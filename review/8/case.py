"""The primary is lost for good beside all processes while a replica is being replaced.

The replica drains and ends after the bounds of the pages; its log is at its address again,
in a database of another id. The other replica is there all the time. After their restart
the processes promote neither of them.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import trio
from harness.deployment import (
    BROKEN,
    HELD,
    RECOVER_S,
    SERVICE,
    Deployment,
    Instance,
    Record,
    Refused,
    Session,
    run,
    wait_ready,
)

from celeryfold.kernel.ids import UpstreamId

N_CLIENTS = 6
INTERVAL_S = 0.2
# bounds.drain_ms, and "a little longer".
DRAIN_S = 8.0
# From the report of the draining to the loss of the primary and of all processes.
LOSS_AFTER_S = 6.0
BEFORE_KILL_S = 0.2
# On the site all processes are down for up to 1.2 s when they are killed.
DOWN_S = 1.0
OBSERVED_S = 30.0
OLD, NEW = UpstreamId(f"{SERVICE}-1"), UpstreamId(f"{SERVICE}-3")


class Counts:
    """Requests sent and served in one span."""

    def __init__(self) -> None:
        self.n_sent = 0
        self.n_served = 0

    @property
    def share(self) -> float:
        return self.n_served / self.n_sent if self.n_sent else 0.0


class Spans:
    """The span that counts at the moment."""

    def __init__(self) -> None:
        self.before, self.between, self.after = Counts(), Counts(), Counts()
        self.current = self.before


async def ask(deployment: Deployment, number: int, spans: Spans) -> None:
    """Write and read in turn; a client that cannot connect tries the next instance."""
    n_asked = number
    while True:
        n_asked += 1
        instance = deployment.instances[n_asked % len(deployment.instances)]
        text = f"READ c{number}" if n_asked % 2 else f"WRITE c{number} v{n_asked}"
        counts = spans.current
        counts.n_sent += 1
        if await is_served(instance, number, text, deployment.record):
            counts.n_served += 1
        await trio.sleep(INTERVAL_S)


async def is_served(
    instance: Instance, number: int, text: str, record: Record, database: str = "issue"
) -> bool:
    name = f"client {number}"
    try:
        with trio.fail_after(4.0):
            session = await Session.open(instance, database, name, record)
            try:
                await session.ask(text)
            finally:
                with trio.CancelScope(shield=True):
                    await session.close()
    except (OSError, Refused, trio.BrokenResourceError, trio.TooSlowError) as error:
        record(f"{name} at {instance.name}: not served: {error!a}")
        return False
    return True


async def replace_replica(deployment: Deployment) -> None:
    """Drain a replica; after it has ended its log is in a new database there."""
    replicas = deployment.platform.replicas
    database = replicas.databases[OLD]
    database.upstream = msgspec.structs.replace(database.upstream, is_leaving=True)
    deployment.record(f"databases: {OLD} reports that it is draining")
    await trio.sleep(DRAIN_S)
    replicas.restart(OLD, new_id=NEW)
    deployment.platform.delete_entry(OLD)
    deployment.record(f"databases: {OLD} has left; {NEW} has its address and its log")


async def scenario(
    deployment: Deployment, nursery: trio.Nursery, has_trouble: bool
) -> int:
    spans = Spans()
    for number in range(N_CLIENTS):
        nursery.start_soon(ask, deployment, number, spans)
    await trio.sleep(6.0)
    nursery.start_soon(replace_replica, deployment)
    await trio.sleep(LOSS_AFTER_S)
    if has_trouble:
        deployment.platform.end(f"{SERVICE}-0")
        await trio.sleep(BEFORE_KILL_S)
        for instance in deployment.instances:
            instance.restart_s = DOWN_S
            deployment.kill(instance)
    spans.current = spans.between
    await trio.sleep(DOWN_S + 0.5)
    with trio.fail_after(20.0):
        for instance in deployment.instances:
            await wait_ready(instance)
    deployment.record("all instances are ready")
    await trio.sleep(RECOVER_S)
    spans.current = spans.after
    await trio.sleep(OBSERVED_S)
    for database in ("check", "quota"):
        served = await is_served(
            deployment.instances[0], 99, "READ c0", deployment.record, database
        )
        deployment.record(f"read through route {database}: served: {served}")
    deployment.record_logs('"promotion ', '"primary ', '"duty taken"')
    return check(deployment, spans)


def check(deployment: Deployment, spans: Spans) -> int:
    record = deployment.record
    for name, counts in (("before", spans.before), ("after", spans.after)):
        record(f"{name}: {counts.n_served} of {counts.n_sent} requests served")
    replicas = deployment.platform.replicas
    entries = {e.position for _, e in replicas.acknowledged}
    for name in (NEW, f"{SERVICE}-2"):
        held = {e.position for e in replicas.databases[name].log}
        record(f"{name} lacks {len(entries - held)} of {len(entries)} commits")
    is_broken = spans.before.share >= 0.25 and spans.after.share < 0.25
    record("rule RECOVER " + ("broken" if is_broken else "held"))
    return BROKEN if is_broken else HELD


run(Path(__file__).resolve().parent, ["here", "here", "muscat-a"], scenario)
